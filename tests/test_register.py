"""The register under loss, crashes, lost disks and rival operators."""

import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dandeliongw import codec
from dandeliongw.coordination import parts
from dandeliongw.coordination import register
from dandeliongw.coordination import register_messages as messages
from dandeliongw.protocol import register_pb2

VOTERS = ('gw-1', 'gw-2', 'gw-3')
TICK_S = 0.05
TTL_S = 5.0


class Instance:
    """One register with its disk: synced records survive a crash."""

    def __init__(self, instance_id: str, disk_id: str | None) -> None:
        self.instance_id = instance_id
        self.disk_id = disk_id
        self.synced: list = []
        self.results_by_ticket: dict = {}
        self.effects: list = []
        self.start()

    def start(self) -> None:
        self.unsynced: list = []
        self.part = register.Register(
            instance_id=self.instance_id,
            initial_voters=VOTERS,
            disk_id=self.disk_id,
        )
        for record in self.synced:
            self.part.restore(record)

    def lose_disk(self, disk_id: str) -> None:
        self.disk_id = disk_id
        self.synced = []
        self.start()


class Cluster:
    """Delivers messages in order, at once, unless a test says otherwise."""

    def __init__(self) -> None:
        self.now = 0.0
        self.entropy = 0
        self.queue: list = []
        self.down: set = set()
        #: Called with (sender, to, message); true loses the message.
        self.loses = lambda sender, to, message: False
        self.syncs_at_once = True
        self.sent: list = []
        self.by_id = {name: Instance(name, f'disk-{name}') for name in VOTERS}
        self.by_id['gw-4'] = Instance('gw-4', None)
        for name in self.by_id:
            self.introduce(name)

    def introduce(self, name: str) -> None:
        event = register.InstancesChanged(
            now=self.now, instance_ids=tuple(self.by_id)
        )
        self.handle(name, event)

    def part(self, name: str) -> register.Register:
        return self.by_id[name].part

    def handle(self, name: str, event) -> None:
        instance = self.by_id[name]
        for effect in instance.part.handle(event):
            self.perform(instance, effect)

    def perform(self, instance: Instance, effect) -> None:
        if isinstance(effect, parts.Send):
            self.sent.append((instance.instance_id, effect.to, effect.message))
            self.queue.append(self.sent[-1])
        elif isinstance(effect, parts.Persist):
            instance.unsynced.append(effect)
            if self.syncs_at_once:
                self.sync(instance.instance_id)
        elif isinstance(effect, parts.Complete):
            assert effect.ticket not in instance.results_by_ticket
            instance.results_by_ticket[effect.ticket] = effect.result
        else:
            instance.effects.append(effect)

    def sync(self, name: str) -> None:
        instance = self.by_id[name]
        effects, instance.unsynced = instance.unsynced, []
        for effect in effects:
            instance.synced.extend(effect.records)
            event = parts.Persisted(now=self.now, token=effect.token)
            self.handle(name, event)

    def deliver(self) -> None:
        while self.queue:
            self.deliver_one(self.queue.pop(0))

    def deliver_one(self, envelope: tuple) -> None:
        sender, to, message = envelope
        if {sender, to} & self.down or self.loses(sender, to, message):
            return
        event = parts.Received(now=self.now, sender=sender, message=message)
        self.handle(to, event)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.tick()
            self.deliver()

    def tick(self) -> None:
        self.now += TICK_S
        for name in self.by_id:
            if name not in self.down:
                self.entropy += 1
                event = parts.Ticked(now=self.now, entropy=self.entropy)
                self.handle(name, event)

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

    def replace(self, name: str, *, change_id: str, old: str, by: str) -> str:
        self.entropy += 1
        ticket = f'{change_id}-{self.entropy}'
        event = register.ReplaceVoter(
            now=self.now,
            ticket=ticket,
            change_id=change_id,
            instance_id=old,
            by=by,
            entropy=self.entropy,
        )
        self.handle(name, event)
        return ticket

    def catch_up(self, name: str) -> None:
        disk_id = self.by_id[name].disk_id
        event = register.CaughtUp(now=self.now, disk_id=disk_id, entropy=1)
        self.handle(name, event)

    def result(self, name: str, ticket: str):
        return self.by_id[name].results_by_ticket.get(ticket)

    def change(self, name: str, **options):
        ticket = self.propose(name, **options)
        return self.wait(name, ticket)

    def wait(self, name: str, ticket: str):
        self.deliver()
        for _ in range(100):
            if self.result(name, ticket) is not None:
                break
            self.run(TICK_S)
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


class Machine(stateful.RuleBasedStateMachine):
    """Real reducers over a network that drops, reorders and doubles."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster()
        self.cluster.syncs_at_once = False
        self.expected_by_change: dict = {}
        self.document_by_revision: dict = {0: b''}
        self.known_since_by_revision: dict = {}
        self.applied: dict = {}
        self.conflicts: set = set()
        self.losses = 0
        self.tickets: list = []

    @stateful.initialize()
    def form(self):
        self.run_well()

    @stateful.rule(seed=st.integers(0, 2**32), drop=st.integers(0, 4))
    def run_badly(self, seed, drop):
        # Drawing each choice from hypothesis makes most of them zero.
        rng = random.Random(seed)
        for _ in range(40):
            if rng.random() < 0.3:
                self.propose_any(rng)
            if rng.random() < 0.1:
                self.crash(rng.choice([*VOTERS, 'gw-4']))
            self.cluster.tick()
            for _ in range(40):
                self.step(rng, drop)
            self.check()

    def step(self, rng, drop):
        cluster = self.cluster
        for name in cluster.by_id:
            if rng.random() < 0.5:
                cluster.sync(name)
        if not cluster.queue:
            return
        envelope = cluster.queue.pop(rng.randrange(len(cluster.queue)))
        dice = rng.randrange(10)
        if dice < drop:
            return
        if dice == 9:
            cluster.queue.append(envelope)
        cluster.deliver_one(envelope)

    @stateful.rule()
    def run_well(self):
        for _ in range(30):
            self.cluster.tick()
            while self.cluster.queue or self.unsynced():
                for name in self.cluster.by_id:
                    self.cluster.sync(name)
                self.cluster.deliver()
            self.check()

    def unsynced(self):
        return any(i.unsynced for i in self.cluster.by_id.values())

    def propose_any(self, rng):
        """Rivals, resends, and what was made from an old revision."""
        name = rng.choice([*VOTERS, 'gw-4'])
        revision = self.cluster.part(name).revision
        if revision is None:
            return
        change_id = f'c{rng.randrange(len(self.expected_by_change) + 2)}'
        expected = self.expected_by_change.setdefault(change_id, revision)
        ticket = self.cluster.propose(
            name,
            change_id=change_id,
            expected=expected,
            document=change_id.encode(),
        )
        self.tickets.append((name, ticket, change_id))

    def crash(self, name):
        self.cluster.by_id[name].start()
        self.cluster.introduce(name)

    @stateful.precondition(lambda self: self.losses < 3)
    @stateful.rule(name=st.sampled_from(VOTERS))
    def lose_and_replace(self, name):
        """Lose one disk at a time: the next one when all hold all again."""
        voters = self.cluster.part(name).voters_by_id
        whole = {i: self.cluster.by_id[i].disk_id for i in VOTERS}
        if voters != whole or self.cluster.part(name).joining_by_id:
            return
        self.losses += 1
        self.cluster.by_id[name].lose_disk(f'disk-new-{self.losses}')
        self.cluster.introduce(name)
        self.cluster.replace(
            'gw-4', change_id=f'r{self.losses}', old=name, by=name
        )

    @stateful.rule(name=st.sampled_from(VOTERS))
    def catch_up(self, name):
        if name in self.cluster.part(name).joining_by_id:
            self.cluster.catch_up(name)

    def check(self):
        self.note_results()
        for name, instance in self.cluster.by_id.items():
            self.check_instance(name, instance.part)

    def note_results(self):
        for name, ticket, change_id in list(self.tickets):
            result = self.cluster.result(name, ticket)
            if result is None:
                continue
            self.tickets.remove((name, ticket, change_id))
            if isinstance(result, register.Applied):
                first = self.applied.setdefault(change_id, result.revision)
                assert first == result.revision
                self.note_revision(result.revision, change_id.encode())
            if isinstance(result, register.Conflict):
                self.conflicts.add(change_id)
                self.note_revision(result.revision, result.document)

    def note_revision(self, revision, document):
        first = self.document_by_revision.setdefault(revision, document)
        assert first == document, (revision, first, document)
        self.known_since_by_revision.setdefault(revision, self.cluster.now)

    def check_instance(self, name, part):
        if part.revision is None:
            return
        self.note_revision(part.revision, part.document)
        applied = [record.change_id for record in part.history()]
        assert len(set(applied)) == len(applied)
        assert not self.conflicts & set(applied)
        now = self.cluster.now
        if part.is_fresh(now):
            for revision, since in self.known_since_by_revision.items():
                assert part.revision >= revision or now - since < TTL_S
        for revision in self.document_by_revision:
            for other, state in part.in_force(revision, now).items():
                if state is not register.Enforcement.WAITING:
                    self.check_acts_on_nothing_older(other, revision)

    def check_acts_on_nothing_older(self, name, revision):
        part = self.cluster.part(name)
        assert not part.is_fresh(self.cluster.now) or part.revision >= revision


MachineTest = Machine.TestCase
MachineTest.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
