"""Embeds claims in another program, with a network in memory.

Run it from the repository: ``PYTHONPATH=. python examples/embedding.py``.
Three holders and two entries live in this process. ``docs/EMBEDDING.md``
explains each step.
"""

import collections
import typing

from dandeliongw.coordination import claims
from dandeliongw.coordination import parts

HOLDERS = ('holder-1', 'holder-2', 'holder-3')
ENTRIES = ('entry-1', 'entry-2')
DIGEST = b'digest of POST /bookings and its body'


class Host:
    """Feeds events to one part and performs the effects it returns."""

    def __init__(self, *, instance_id: str, network: 'Network') -> None:
        self.instance_id = instance_id
        self.network = network
        self.journal: list[typing.Any] = []
        self.results_by_ticket: dict[str, typing.Any] = {}
        self.part = self.make_part()

    def make_part(self) -> claims.Claims:
        """Create the part and restore the records of its journal."""
        is_holder = self.instance_id in HOLDERS
        part = claims.Claims(
            instance_id=self.instance_id,
            is_holder=is_holder,
            disk_id=f'disk of {self.instance_id}' if is_holder else None,
            retention_s=3600.0,
            max_records=1000,
            max_outcome_bytes=4096,
            round_trip_s=0.01,
        )
        for record in self.journal:
            part.restore(record)
        return part

    def handle(self, event: typing.Any) -> None:
        """Let the part handle an event, and perform its effects at once."""
        for effect in self.part.handle(event):
            self.perform(effect)

    def perform(self, effect: typing.Any) -> None:
        """Perform one effect."""
        match effect:
            case parts.Send(to=to, message=message):
                self.network.send(self.instance_id, to, message)
            case parts.Persist(token=token, records=records):
                # A real host appends to a file and syncs it here.
                self.journal.extend(records)
                self.network.later(
                    self,
                    parts.Persisted(now=self.network.now, token=token),
                )
            case parts.Complete(ticket=ticket, result=result):
                self.results_by_ticket[ticket] = result


class Network:
    """Delivers messages in order; a real one may lose or duplicate them."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: collections.deque = collections.deque()
        self.hosts_by_id = {
            instance_id: Host(instance_id=instance_id, network=self)
            for instance_id in (*HOLDERS, *ENTRIES)
        }

    def send(self, sender: str, to: str, message: typing.Any) -> None:
        """Queue a message for another instance."""
        event = parts.Received(now=self.now, sender=sender, message=message)
        self.later(self.hosts_by_id[to], event)

    def later(self, host: Host, event: typing.Any) -> None:
        """Queue an event of a host."""
        self.events.append((host, event))

    def run(self) -> None:
        """Deliver events until the queue is empty."""
        while self.events:
            host, event = self.events.popleft()
            host.handle(event)

    def tell_holders(self) -> None:
        """Notify all hosts of the claim holders; usually a register does."""
        event = claims.HoldersChanged(
            now=self.now,
            disk_ids_by_holder={
                holder: f'disk of {holder}' for holder in HOLDERS
            },
            joining={},
            epoch=1,
        )
        for host in self.hosts_by_id.values():
            host.handle(event)
        self.run()

    def begin(self, entry: str, attempt_id: str) -> typing.Any:
        """Claim the key at an entry and return the result."""
        host = self.hosts_by_id[entry]
        host.handle(
            claims.Begin(
                now=self.now,
                ticket=attempt_id,
                key='studio/booking/key-17',
                digest=DIGEST,
                attempt_id=attempt_id,
                deadline_s=10.0,
            )
        )
        self.run()
        return host.results_by_ticket[attempt_id]

    def finish(self, entry: str, attempt_id: str) -> typing.Any:
        """Record an outcome and return the result."""
        host = self.hosts_by_id[entry]
        host.handle(
            claims.Finish(
                now=self.now,
                ticket='finish',
                key='studio/booking/key-17',
                attempt_id=attempt_id,
                outcome=b'booked: lesson 4',
            )
        )
        self.run()
        return host.results_by_ticket['finish']

    def restart(self, instance_id: str) -> None:
        """Replace an instance's part by one restored from the journal."""
        host = self.hosts_by_id[instance_id]
        host.part = host.make_part()


def main() -> None:
    """Print the results of a call, of resends, and of one after a restart."""
    network = Network()
    network.tell_holders()
    print('entry-1 begins:', network.begin('entry-1', 'attempt-1'))
    print('a resend to entry-2:', network.begin('entry-2', 'attempt-2'))
    print('entry-1 finishes:', network.finish('entry-1', 'attempt-1'))
    print('a resend to entry-2:', network.begin('entry-2', 'attempt-3'))
    for holder in HOLDERS:
        network.restart(holder)
    network.tell_holders()
    print('after a restart:', network.begin('entry-2', 'attempt-4'))


if __name__ == '__main__':
    main()
