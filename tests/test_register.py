"""The register under loss, crashes, lost disks and rival operators."""

import unittest

from dandeliongw import codec
from dandeliongw.coordination import parts
from dandeliongw.coordination import register
from dandeliongw.coordination import register_messages as messages
from dandeliongw.protocol import register_pb2

VOTERS = ('gw-1', 'gw-2', 'gw-3')
TICK_S = 0.05


class Instance:
    """One register with its disk: synced records survive a crash."""

    def __init__(self, instance_id: str, disk_id: str | None) -> None:
        self.instance_id = instance_id
        self.disk_id = disk_id
        self.synced: list = []
        self.results_by_ticket: dict = {}
        self.changes: list = []
        self.start()

    def start(self) -> None:
        self.part = register.Register(
            instance_id=self.instance_id,
            initial_voters=VOTERS,
            disk_id=self.disk_id,
        )
        for record in self.synced:
            self.part.restore(record)


class Cluster:
    """Delivers messages in order, at once, unless a test says otherwise."""

    def __init__(self, *, voters=VOTERS, others=('gw-4',)) -> None:
        self.now = 0.0
        self.entropy = 0
        self.queue: list = []
        self.down: set = set()
        #: Called with (sender, to, message); true loses the message.
        self.loses = lambda sender, to, message: False
        self.sent: list = []
        self.by_id = {name: Instance(name, f'disk-{name}') for name in voters}
        self.by_id |= {name: Instance(name, None) for name in others}
        for name in self.by_id:
            event = register.InstancesChanged(
                now=0.0, instance_ids=tuple(self.by_id)
            )
            self.handle(name, event)

    def handle(self, name: str, event) -> None:
        instance = self.by_id[name]
        for effect in instance.part.handle(event):
            self.perform(instance, effect)

    def perform(self, instance: Instance, effect) -> None:
        if isinstance(effect, parts.Send):
            self.sent.append((instance.instance_id, effect.to, effect.message))
            self.queue.append(self.sent[-1])
        elif isinstance(effect, parts.Persist):
            instance.synced.extend(effect.records)
            event = parts.Persisted(now=self.now, token=effect.token)
            self.handle(instance.instance_id, event)
        elif isinstance(effect, parts.Complete):
            assert effect.ticket not in instance.results_by_ticket
            instance.results_by_ticket[effect.ticket] = effect.result
        else:
            instance.changes.append(effect)

    def deliver(self) -> None:
        while self.queue:
            sender, to, message = self.queue.pop(0)
            if {sender, to} & self.down or to not in self.by_id:
                continue
            if self.loses(sender, to, message):
                continue
            event = parts.Received(
                now=self.now, sender=sender, message=message
            )
            self.handle(to, event)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for name in self.by_id:
                if name not in self.down:
                    self.handle(name, self.ticked())
            self.deliver()

    def ticked(self) -> parts.Ticked:
        self.entropy += 1
        return parts.Ticked(now=self.now, entropy=self.entropy)

    def propose(
        self,
        name: str,
        *,
        change_id: str,
        expected: int,
        document: bytes = b'{}',
    ) -> str:
        self.entropy += 1
        ticket = f'{change_id}-{self.entropy}'
        event = register.Propose(
            now=self.now,
            ticket=ticket,
            change_id=change_id,
            author='ana',
            expected_revision=expected,
            document=document,
            entropy=self.entropy,
        )
        self.handle(name, event)
        return ticket

    def result(self, name: str, ticket: str):
        return self.by_id[name].results_by_ticket.get(ticket)

    def change(self, name: str, **options):
        ticket = self.propose(name, **options)
        self.deliver()
        if self.result(name, ticket) is None:
            self.run(5)
        return self.result(name, ticket)


def formed() -> Cluster:
    cluster = Cluster()
    cluster.run(1)
    return cluster


class FaultFreeTest(unittest.TestCase):
    def test_three_empty_disks_form_revision_0(self):
        cluster = formed()
        for instance in cluster.by_id.values():
            self.assertEqual(0, instance.part.revision)
            self.assertTrue(instance.part.is_fresh(cluster.now))

    def test_a_change_is_in_force_everywhere(self):
        cluster = formed()
        result = cluster.change(
            'gw-4', change_id='c1', expected=0, document=b'one'
        )
        self.assertEqual(register.Applied(revision=1, repeated=False), result)
        cluster.run(1)
        for instance in cluster.by_id.values():
            self.assertEqual(b'one', instance.part.document)
        states = cluster.by_id['gw-4'].part.in_force(1, cluster.now)
        self.assertEqual({'confirmed'}, set(states.values()))

    def test_the_second_of_two_operators_is_told_the_current_document(self):
        cluster = formed()
        cluster.change('gw-4', change_id='c1', expected=0, document=b'one')
        result = cluster.change('gw-1', change_id='c2', expected=0)
        expected = register.Conflict(revision=1, document=b'one', author='ana')
        self.assertEqual(expected, result)

    def test_a_restarted_voter_is_not_fresh_until_it_has_read(self):
        cluster = formed()
        cluster.change('gw-4', change_id='c1', expected=0, document=b'one')
        voter = cluster.by_id['gw-2']
        voter.start()
        self.assertFalse(voter.part.is_fresh(cluster.now))
        self.assertIsNone(voter.part.revision)
        cluster.run(1)
        self.assertEqual(1, voter.part.revision)
        self.assertTrue(voter.part.is_fresh(cluster.now))

    def test_every_message_and_record_survives_the_codec(self):
        mapped = codec.Codec(
            data_classes=[*messages.MESSAGES, *messages.RECORDS],
            wire_modules=[register_pb2],
        )
        cluster = formed()
        cluster.change('gw-4', change_id='c1', expected=0, document=b'one')
        cluster.run(1)
        records = [
            record
            for instance in cluster.by_id.values()
            for record in (*instance.synced, *instance.part.snapshot())
        ]
        sent = [message for _, _, message in cluster.sent]
        for value in (*sent, *records):
            kind, body = mapped.encode(value)
            self.assertEqual(value, mapped.decode(kind, body))
