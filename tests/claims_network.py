"""A fake network for claims: losses, crashes, lost disks and repairs.

Time is virtual: a test decides which packets are delivered and advances the
clock.
"""

from collections import abc
import dataclasses
import typing

import msgspec

from dandeliongw import codec
from dandeliongw.coordination import claim_messages as messages
from dandeliongw.coordination import claims
from dandeliongw.coordination import parts
from dandeliongw.protocol import claims_pb2

ROUND_TRIP_S = 0.01
RETENTION_S = 1000.0
DEADLINE_S = 10.0
#: Longer than the timeout of any operation at an entry.
GIVE_UP_S = 1.0
#: More than any test needs; only messages in an endless loop exceed it.
MAX_PACKETS = 5000
DIGEST = b'body'
CODEC = codec.Codec(
    data_classes=messages.MESSAGES + messages.RECORDS,
    wire_modules=[claims_pb2],
)


@dataclasses.dataclass(kw_only=True, eq=False)
class Packet:
    sender: str
    to: str
    message: typing.Any


class Network:
    """Instances, their disks, and the packets in transit between them.

    :param holders: ids of the first claim holders.
    :param max_records: most keys that a holder stores.
    :param first_epoch: of the first set of holders.

    ``journals_by_id`` has the synced, encoded records of each disk. ``cut``
    has the instances that are cut off from all others.
    """

    def __init__(
        self,
        *,
        holders: abc.Iterable[str] = 'ABC',
        max_records: int = 1000,
        first_epoch: int = 1,
    ) -> None:
        self.now = 0.0
        self.max_records = max_records
        self.parts_by_id: dict[str, claims.Claims] = {}
        self.disk_ids_by_id: dict[str, str] = {}
        self.journals_by_id: dict[str, list[typing.Any]] = {}
        self.packets: list[Packet] = []
        self.cut: set[str] = set()
        self.results_by_ticket: dict[str, typing.Any] = {}
        self.begun: set[str] = set()
        self.abandoned: set[str] = set()
        #: Whether changes of the holders are sent as packets.
        self.notifies_by_packet = False
        self.caught_up: list[messages.CaughtUp] = []
        self.syncs = 0
        self.epoch = first_epoch - 1
        self.sets = (dict[str, str](), dict[str, str]())
        for holder in holders:
            self.add_disk(holder, f'disk-{holder}')
        for entry in ('E', 'F'):
            self.start(entry)
        self.change(dict(self.disk_ids_by_id))
        self.run()

    def add_disk(self, holder: str, disk_id: str) -> None:
        self.disk_ids_by_id[holder] = disk_id
        self.journals_by_id[holder] = []
        self.start(holder)

    def start(self, instance: str) -> None:
        """Start an instance with the records that its disk has synced."""
        disk_id = self.disk_ids_by_id.get(instance)
        part = claims.Claims(
            instance_id=instance,
            is_holder=disk_id is not None,
            disk_id=disk_id,
            retention_s=RETENTION_S,
            max_records=self.max_records,
            max_outcome_bytes=8,
            round_trip_s=ROUND_TRIP_S,
        )
        for kind, body in self.journals_by_id.get(instance, []):
            part.restore(CODEC.decode(kind, body))
        self.parts_by_id[instance] = part
        if self.epoch:
            self.notify_holders(instance)

    def change(
        self, current: dict[str, str], joining: dict[str, str] | None = None
    ) -> None:
        self.epoch += 1
        self.sets = (current, joining or {})
        for instance in self.parts_by_id:
            if self.notifies_by_packet:
                self.packets.append(
                    Packet(
                        sender='', to=instance, message=self.holders_event()
                    )
                )
            elif instance not in self.cut:
                self.notify_holders(instance)

    def holders_event(self) -> messages.HoldersChanged:
        return messages.HoldersChanged(
            now=self.now,
            disk_ids_by_holder=self.sets[0],
            joining=self.sets[1],
            epoch=self.epoch,
        )

    def notify_holders(self, instance: str) -> None:
        self.handle(instance, self.holders_event())

    def replace(self, holder: str, disk_id: str) -> None:
        """Replace a holder's disk by an empty one; complete the repair."""
        current = self.sets[0]
        self.add_disk(holder, disk_id)
        self.change(current, {holder: disk_id})
        self.run()
        self.tick(2 * ROUND_TRIP_S)
        if self.caught_up and self.caught_up[-1].epoch == self.epoch:
            self.change({**current, holder: disk_id})
            self.run()

    def handle(self, instance: str, event: typing.Any) -> None:
        for effect in self.parts_by_id[instance].handle(event):
            self.perform(instance, effect)

    def perform(self, instance: str, effect: typing.Any) -> None:
        match effect:
            case parts.Send():
                self.packets.append(
                    Packet(
                        sender=instance, to=effect.to, message=effect.message
                    )
                )
            case parts.Persist():
                self.packets.append(
                    Packet(sender=instance, to=instance, message=effect)
                )
            case parts.Complete():
                assert effect.ticket not in self.results_by_ticket
                self.results_by_ticket[effect.ticket] = effect.result
            case messages.CaughtUp():
                self.caught_up.append(effect)

    def deliver(self, packet: Packet) -> None:
        """Deliver one packet: a message, or the end of a sync."""
        if packet.to not in self.parts_by_id:
            return
        message = packet.message
        if isinstance(message, parts.Persist):
            self.syncs += 1
            journal = self.journals_by_id[packet.to]
            journal += [CODEC.encode(record) for record in message.records]
            event = parts.Persisted(now=self.now, token=message.token)
        elif isinstance(message, messages.HoldersChanged):
            event = msgspec.structs.replace(message, now=self.now)
        elif self.cut & {packet.sender, packet.to}:
            return
        else:
            event = parts.Received(
                now=self.now,
                sender=packet.sender,
                message=CODEC.decode(*CODEC.encode(message)),
            )
        self.handle(packet.to, event)

    def run(self, only: abc.Callable[[Packet], bool] | None = None) -> None:
        """Deliver, in order, all packets that ``only`` allows."""
        for _ in range(MAX_PACKETS):
            ready = [p for p in self.packets if only is None or only(p)]
            if not ready:
                return
            self.packets.remove(ready[0])
            self.deliver(ready[0])
        raise AssertionError('messages still sent after the packet limit')

    def step(self, count: int) -> None:
        """Deliver this many packets, in order."""
        for _ in range(min(count, len(self.packets))):
            if self.packets:
                self.deliver(self.packets.pop(0))

    def run_until(self, ticket: str) -> None:
        """Deliver, in order, until a ticket is answered."""
        while ticket not in self.results_by_ticket and self.packets:
            self.step(1)

    def granted(self) -> set[str]:
        """Return the tickets whose result is a grant."""
        return {
            ticket
            for ticket, result in self.results_by_ticket.items()
            if result == messages.Granted()
        }

    def crash(self, instance: str) -> None:
        """Lose memory, unsynced records and packets in transit to it."""
        del self.parts_by_id[instance]
        self.packets = [p for p in self.packets if p.to != instance]

    def tick(self, seconds: float) -> None:
        self.now += seconds
        for instance in list(self.parts_by_id):
            self.handle(instance, parts.Ticked(now=self.now, entropy=0))
        self.run()

    def begin(
        self,
        entry: str,
        attempt: str,
        *,
        digest: bytes = DIGEST,
        key: str = 'key',
    ) -> None:
        self.begun.add(attempt)
        self.handle(
            entry,
            messages.Begin(
                now=self.now,
                ticket=attempt,
                key=key,
                digest=digest,
                attempt_id=attempt,
                deadline_s=DEADLINE_S,
            ),
        )

    def claim(
        self, entry: str, attempt: str, *, digest: bytes = DIGEST
    ) -> typing.Any:
        """Begin an attempt; run, with up to 50 ticks, until its result."""
        self.begin(entry, attempt, digest=digest)
        self.run()
        for _ in range(50):
            if attempt in self.results_by_ticket:
                break
            self.tick(2 * ROUND_TRIP_S)
        return self.results_by_ticket.get(attempt)

    def finish(self, entry: str, attempt: str, outcome: bytes) -> None:
        self.handle(
            entry,
            messages.Finish(
                now=self.now,
                ticket=f'finish {attempt}',
                key='key',
                attempt_id=attempt,
                outcome=outcome,
            ),
        )

    def record(self, entry: str, attempt: str, outcome: bytes) -> typing.Any:
        self.finish(entry, attempt, outcome)
        self.run()
        if f'finish {attempt}' not in self.results_by_ticket:
            self.tick(GIVE_UP_S)
        return self.results_by_ticket[f'finish {attempt}']

    def abandon(self, entry: str, attempt: str) -> None:
        self.handle(
            entry,
            messages.Abandon(now=self.now, key='key', attempt_id=attempt),
        )
