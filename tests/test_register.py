"""The register under loss, crashes, lost disks and rival operators."""

import collections
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from nose2.tools import params

from dandeliongw import codec
from dandeliongw.coordination import ballot
from dandeliongw.coordination import changes
from dandeliongw.coordination import configuration
from dandeliongw.coordination import parts
from dandeliongw.coordination import register
from dandeliongw.coordination import register_messages as messages
from dandeliongw.coordination import voters
from dandeliongw.protocol import register_pb2

VOTERS = ('gw-1', 'gw-2', 'gw-3')
TICK_S = 0.05
TTL_S = 5.0


class Instance:
    """One register with its disk: synced records survive a crash."""

    def __init__(
        self,
        instance_id: str,
        disk_id: str | None,
        *,
        initial_voters: tuple[str, ...] = VOTERS,
        ttl_s: float = TTL_S,
    ) -> None:
        self.instance_id = instance_id
        self.disk_id = disk_id
        self.options = {
            'initial_voters': initial_voters,
            'confirm_ttl_s': ttl_s,
        }
        self.synced: list = []
        self.results_by_ticket: dict = {}
        self.effects: list = []
        self.start()

    def start(self) -> None:
        self.unsynced: list = []
        self.part = register.Register(
            instance_id=self.instance_id,
            disk_id=self.disk_id,
            **self.options,
        )
        for record in self.synced:
            self.part.restore(record)

    def lose_disk(self, disk_id: str) -> None:
        self.disk_id = disk_id
        self.synced = []
        self.start()


class Cluster:
    """Delivers messages in order, at once, unless a test says otherwise."""

    def __init__(
        self,
        *,
        voters: tuple[str, ...] = VOTERS,
        others: tuple[str, ...] = ('gw-4',),
        ttl_s: float = TTL_S,
    ) -> None:
        self.now = 0.0
        self.entropy = 0
        self.queue: list = []
        self.down: set = set()
        #: Called with (sender, to, message); true loses the message.
        self.loses = lambda sender, to, message: False
        #: Their messages arrive after all others.
        self.slow: set = set()
        self.syncs_at_once = True
        self.sent: list = []
        self.by_id = {
            name: Instance(
                name,
                f'disk-{name}' if name in voters else None,
                initial_voters=voters,
                ttl_s=ttl_s,
            )
            for name in (*voters, *others)
        }
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
            fast = [e for e in self.queue if e[0] not in self.slow]
            envelope = (fast or self.queue)[0]
            self.queue.remove(envelope)
            self.deliver_one(envelope)

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

    def tick(self, seconds: float = TICK_S) -> None:
        self.now += seconds
        for name in self.by_id:
            if name not in self.down:
                self.entropy += 1
                entropy = self.entropy * 0x9E3779B97F4A7C15 % 2**64
                event = parts.Ticked(now=self.now, entropy=entropy)
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


def is_kind(*kinds):
    """Return a filter that loses messages of these kinds."""
    return lambda sender, to, message: isinstance(message, kinds)


def only(name, *kinds):
    """Return a filter: of these kinds, just those to ``name`` arrive."""
    return lambda sender, to, message: (
        isinstance(message, kinds) and to != name
    )


class ChangesTest(unittest.TestCase):
    def test_no_answer_tells_of_what_a_minority_holds(self):
        """Symptom: an operator is told of a revision that then vanishes.

        Sequence: a proposer reaches one voter and dies; a second one reads
        that value, finds a conflict and answers; that voter is lost.
        Cause: the answer left before a majority held the value it tells of.
        """
        cluster = formed()
        cluster.loses = only('gw-1', messages.AcceptVersion)
        cluster.propose('gw-4', change_id='c1', expected=0, document=b'one')
        cluster.deliver()
        cluster.by_id['gw-4'].start()
        cluster.down = {'gw-3'}
        cluster.loses = is_kind(messages.AcceptVersion)
        ticket = cluster.propose('gw-2', change_id='c2', expected=0)
        cluster.run(1)
        self.assertIsNone(cluster.result('gw-2', ticket))
        cluster.loses = lambda *_: False
        result = cluster.wait('gw-2', ticket)
        self.assertEqual((1, b'one'), (result.revision, result.document))
        holders = [
            name
            for name in VOTERS
            if cluster.part(name).snapshot()[0].update.full.revision == 1
        ]
        self.assertEqual(['gw-1', 'gw-2'], holders)

    def test_a_resend_gets_the_first_result_and_restores_nothing(self):
        """Symptom: an old document is back, days after it was replaced.

        Sequence: the answer to a change is lost, others change the document,
        the operator's tool sends the change again.
        Cause: the resend is taken for a change, or told of a conflict.
        """
        cluster = formed()
        cluster.change('gw-4', change_id='c1', expected=0, document=b'one')
        cluster.change('gw-1', change_id='c2', expected=1, document=b'two')
        cluster.run(1)
        result = cluster.change(
            'gw-3', change_id='c1', expected=0, document=b'one'
        )
        self.assertEqual(register.Applied(revision=1, repeated=True), result)
        cluster.run(1)
        self.assertEqual(b'two', cluster.part('gw-4').document)

    def test_a_change_id_with_other_content_is_refused(self):
        """Symptom: an operator is told that a change that never was is in.

        Sequence: a tool reuses a change id for another document.
        Cause: the id alone is compared.
        """
        cluster = formed()
        cluster.change('gw-4', change_id='c1', expected=0, document=b'one')
        result = cluster.change(
            'gw-4', change_id='c1', expected=0, document=b'other'
        )
        self.assertEqual(register.ChangeIdReused(revision=1), result)

    def test_rivals_under_equal_numbers_both_get_an_answer(self):
        """Symptom: two operators' changes block each other for seconds.

        Sequence: two instances propose at once under the same number; each
        refusal starts the other one anew.
        Cause: both wait equally long before the next attempt.
        """
        cluster = formed()
        tickets = {
            name: cluster.propose(name, change_id=name, expected=0)
            for name in ('gw-1', 'gw-2')
        }
        cluster.run(2)
        results = {
            type(cluster.result(name, ticket)).__name__
            for name, ticket in tickets.items()
        }
        self.assertEqual({'Applied', 'Conflict'}, results)

    def test_a_restarted_proposer_never_uses_a_ballot_twice(self):
        """Symptom: two documents are in force under one revision.

        Sequence: an instance without a disk proposes, restarts, proposes
        another document under the same number; readers compare ballots.
        Cause: its ballot numbers start again, and the proposer is the same.
        """
        cluster = formed()
        first = self.first_ballot(cluster, 'c1')
        cluster.by_id['gw-4'].start()
        cluster.loses = lambda *_: False
        cluster.run(2)
        second = self.first_ballot(cluster, 'c2')
        self.assertEqual(first.number, second.number)
        self.assertNotEqual(first, second)

    def first_ballot(self, cluster, change_id):
        cluster.loses = is_kind(messages.PrepareBallot)
        cluster.sent.clear()
        cluster.propose('gw-4', change_id=change_id, expected=0)
        kinds = [m for _, _, m in cluster.sent]
        return next(
            m.ballot for m in kinds if isinstance(m, messages.PrepareBallot)
        )

    @params(
        (messages.PrepareBallot, 'did not take effect'),
        (messages.AcceptVersion, 'may still take effect'),
    )
    def test_no_majority_is_said_with_what_is_known(self, lost, said):
        cluster = formed()
        cluster.loses = is_kind(lost)
        result = cluster.change('gw-4', change_id='c1', expected=0)
        self.assertIsInstance(result, register.Unavailable)
        self.assertIn(said, result.message)
        self.assertIn('same change id', result.message)

    def test_a_change_survives_lost_messages(self):
        """Symptom: a change takes a second try of the operator.

        Sequence: the first promise request and the first accept are lost.
        Cause: nobody sends them again.
        """
        cluster = formed()
        lost = set()

        def loses(sender, to, message):
            key = (to, type(message))
            is_first = key not in lost
            lost.add(key)
            wanted = (messages.PrepareBallot, messages.AcceptVersion)
            return is_first and isinstance(message, wanted)

        cluster.loses = loses
        cluster.sent.clear()
        result = cluster.change('gw-4', change_id='c1', expected=0)
        self.assertEqual(register.Applied(revision=1, repeated=False), result)
        prepared = [
            m.ballot
            for _, _, m in cluster.sent
            if isinstance(m, messages.PrepareBallot)
        ]
        self.assertEqual(1, len(set(prepared)))

    @params(False, True)
    def test_a_voter_that_missed_changes_is_sent_the_whole_value(
        self, promises
    ):
        """Symptom: a voter accepts a document with changes missing.

        Sequence: it is cut off for one change and back for the next, which
        comes as a step, as its promise with what it holds was lost.
        Cause: the step is applied to another value than it was made from.
        """
        cluster = formed()
        cluster.down = {'gw-3'}
        cluster.change('gw-4', change_id='c1', expected=0, document=b'one')
        cluster.down = set()
        accept = is_kind(messages.AcceptVersion)
        promised = is_kind(messages.BallotPromised)
        cluster.loses = lambda sender, to, message: (
            (to == 'gw-1' and accept(sender, to, message))
            or (sender == 'gw-3' and promised(sender, to, message) > promises)
        )
        result = cluster.change(
            'gw-4', change_id='c2', expected=1, document=b'two'
        )
        self.assertEqual(register.Applied(revision=2, repeated=False), result)
        held = [
            cluster.part(name).snapshot()[0].update.full
            for name in ('gw-2', 'gw-3')
        ]
        self.assertEqual(held[0], held[1])
        self.assertEqual(2, held[0].revision)


class VoterTest(unittest.TestCase):
    def test_nothing_is_told_before_it_is_synced(self):
        """Symptom: a voter breaks a promise after a power loss.

        Sequence: it promises, its promise is counted, it loses power before
        the sync and comes back free to accept an older ballot.
        Cause: the reply, or a repeat of it, overtook the sync.
        """
        cluster = formed()
        cluster.syncs_at_once = False
        cluster.propose('gw-4', change_id='c1', expected=0)
        for envelope in [e for e in cluster.queue if e[1] == 'gw-1'] * 2:
            cluster.deliver_one(envelope)
        told = [e for e in cluster.queue if e[0] == 'gw-1']
        self.assertEqual([], told)
        cluster.sync('gw-1')
        told = [e for e in cluster.queue if e[0] == 'gw-1']
        self.assertEqual(2, len(told))

    def test_a_late_accept_does_not_undo_a_later_one(self):
        """Symptom: an accepted revision is gone from a voter.

        Sequence: a slow accept of an earlier ballot arrives after a later
        ballot was promised.
        Cause: the voter does not compare it with its promise.
        """
        cluster = formed()
        cluster.loses = is_kind(messages.AcceptVersion)
        cluster.propose('gw-4', change_id='c1', expected=0, document=b'old')
        cluster.deliver()
        late = [
            e for e in cluster.sent if isinstance(e[2], messages.AcceptVersion)
        ][-3:]
        cluster.by_id['gw-4'].start()
        cluster.loses = lambda *_: False
        cluster.change('gw-1', change_id='c2', expected=0, document=b'new')
        for envelope in late:
            cluster.deliver_one(envelope)
        cluster.run(1)
        self.assertEqual(b'new', cluster.part('gw-2').document)

    def test_a_restart_keeps_promises_that_came_with_an_accept(self):
        cluster = formed()
        cluster.loses = lambda sender, to, message: (
            to == 'gw-3' and isinstance(message, messages.PrepareBallot)
        )
        cluster.change('gw-4', change_id='c1', expected=0)
        for name in VOTERS:
            instance = cluster.by_id[name]
            before = instance.part.snapshot()
            instance.start()
            self.assertEqual(before, instance.part.snapshot())
            copy = Instance(name, instance.disk_id)
            copy.synced = before
            copy.start()
            self.assertEqual(before, copy.part.snapshot())

    def test_a_lost_disk_does_not_vote_under_its_old_name(self):
        """Symptom: an accepted revision is gone.

        Sequence: a voter's disk is lost, it starts with an empty one; a
        majority of the empty one and one that missed the change decides.
        Cause: the instance's name is taken for its disk.
        """
        cluster = formed()
        cluster.down = {'gw-3'}
        cluster.change('gw-4', change_id='c1', expected=0, document=b'one')
        cluster.by_id['gw-1'].lose_disk('disk-new')
        cluster.down = {'gw-2'}
        cluster.by_id['gw-4'].start()
        result = cluster.change('gw-3', change_id='c2', expected=0)
        self.assertIsInstance(result, register.Unavailable)
        cluster.down = set()
        cluster.run(1)
        self.assertEqual(b'one', cluster.part('gw-4').document)


class ReplacementTest(unittest.TestCase):
    def replaced(self, cluster, name, disk_id, change_id):
        cluster.by_id[name].lose_disk(disk_id)
        ticket = cluster.replace(
            'gw-4', change_id=change_id, old=name, by=name
        )
        result = cluster.wait('gw-4', ticket)
        cluster.run(1)
        return result

    def test_a_second_loss_right_after_a_repair_loses_nothing(self):
        """Symptom: an accepted revision is gone after a repair.

        Sequence: a disk is lost and replaced, the repair is called finished,
        the next disk is lost; the third voter had missed the change.
        Cause: the new voter counted before it held what the lost one held.
        """
        cluster = formed()
        cluster.down = {'gw-3'}
        cluster.change('gw-4', change_id='c1', expected=0, document=b'one')
        cluster.down = set()
        result = self.replaced(cluster, 'gw-1', 'disk-5', 'r1')
        self.assertEqual(register.Applied(revision=1, repeated=False), result)
        cluster.run(3)
        self.assertEqual('disk-5', cluster.part('gw-2').joining_by_id['gw-1'])
        cluster.catch_up('gw-1')
        cluster.run(2)
        self.assertEqual({}, cluster.part('gw-2').joining_by_id)
        self.replaced(cluster, 'gw-2', 'disk-6', 'r2')
        cluster.catch_up('gw-2')
        cluster.run(2)
        voters = cluster.part('gw-3').voters_by_id
        self.assertEqual(
            {'gw-1': 'disk-5', 'gw-2': 'disk-6', 'gw-3': 'disk-gw-3'}, voters
        )
        self.assertEqual(b'one', cluster.part('gw-3').document)

    def test_while_a_voter_joins_both_majorities_are_needed(self):
        """Symptom: two documents are in force, one on each side.

        Sequence: a replacement is under way; a partition leaves a majority
        of the old voters on one side and one of the coming on the other.
        Cause: either majority is enough.
        """
        cluster = formed()
        ticket = cluster.replace('gw-4', change_id='r1', old='gw-1', by='gw-5')
        cluster.by_id['gw-5'] = Instance('gw-5', 'disk-5')
        cluster.wait('gw-4', ticket)
        cluster.run(1)
        cluster.down = {'gw-3', 'gw-5'}
        result = cluster.change('gw-4', change_id='c1', expected=0)
        self.assertIsInstance(result, register.Unavailable)
        cluster.down = {'gw-1', 'gw-2'}
        result = cluster.change('gw-4', change_id='c2', expected=0)
        self.assertIsInstance(result, register.Unavailable)

    def test_a_proposer_that_knows_the_old_voters_asks_the_new_ones(self):
        """Symptom: a change is accepted that nobody else ever sees.

        Sequence: an instance is cut off while a voter is replaced; back
        again, it reaches the old majority first.
        Cause: it counts the voters it knows, not those of the value it read.
        """
        cluster = formed()
        cluster.by_id['gw-5'] = Instance('gw-5', 'disk-5')
        stale = cluster.by_id.pop('gw-4')
        cluster.down = {'gw-4'}
        ticket = cluster.replace('gw-3', change_id='r1', old='gw-1', by='gw-5')
        cluster.wait('gw-3', ticket)
        cluster.run(1)
        cluster.catch_up('gw-5')
        cluster.run(2)
        self.assertIn('gw-5', cluster.part('gw-3').voters_by_id)
        cluster.by_id['gw-4'] = stale
        cluster.down = {'gw-3'}
        cluster.sent.clear()
        result = cluster.change('gw-4', change_id='c1', expected=0)
        self.assertEqual(register.Applied(revision=1, repeated=False), result)
        promised = [
            sender
            for sender, _, m in cluster.sent
            if isinstance(m, messages.BallotPromised)
        ]
        self.assertIn('gw-5', promised)

    def test_a_replacement_does_not_end_on_a_value_that_may_vanish(self):
        """Symptom: old and new voters decide apart from each other.

        Sequence: the value with both sets reached one voter only; the end of
        the replacement is written on top of it.
        Cause: a reader of the value before asks the old set only.
        """
        joint = voters.Voters(
            voters_by_id={'a': '1', 'b': '2', 'c': '3'}
        ).replace('a', 'a', '4')
        version = configuration.Version(
            ballot=ballot.Ballot(number=1, proposer='b', nonce=1),
            configuration=configuration.Configuration(
                revision=0, document=b'', author='', changes=(), voters=joint
            ),
        )
        end = changes.ReplacementEnd(disk_id='4')
        early = end.decide(version, is_chosen=False)
        self.assertEqual((True, None), (early.again, early.step.voters))
        late = end.decide(version, is_chosen=True)
        self.assertEqual({}, late.step.voters.joining_by_id)

    def test_a_newcomer_that_is_silent_holds_up_no_change(self):
        """Symptom: changes time out at one instance.

        Sequence: an operator names a dead instance as the new voter, another
        one changes the document there.
        Cause: the change waits behind the question which disk the dead one
        has.
        """
        cluster = formed()
        cluster.by_id['gw-5'] = Instance('gw-5', 'disk-5')
        cluster.down = {'gw-5'}
        ticket = cluster.replace('gw-2', change_id='r1', old='gw-1', by='gw-5')
        result = cluster.change('gw-2', change_id='c1', expected=0)
        self.assertEqual(register.Applied(revision=1, repeated=False), result)
        result = cluster.wait('gw-2', ticket)
        self.assertIn("'gw-5' did not say", result.message)

    def test_a_late_word_of_a_disk_is_not_taken_for_a_new_one(self):
        """Symptom: a replacement waits for ever for a disk that is gone.

        Sequence: the answer to an operator's first request is held up, the
        coming voter loses its disk, the operator asks again.
        Cause: the late answer passes for the one to the second request.
        """
        cluster = formed()
        cluster.by_id['gw-5'] = Instance('gw-5', 'disk-5')
        cluster.loses = is_kind(messages.DiskReport)
        ticket = cluster.replace('gw-2', change_id='r1', old='gw-1', by='gw-5')
        cluster.wait('gw-2', ticket)
        late = [
            e for e in cluster.sent if isinstance(e[2], messages.DiskReport)
        ]
        cluster.by_id['gw-5'].lose_disk('disk-6')
        ticket = cluster.replace('gw-2', change_id='r2', old='gw-1', by='gw-5')
        cluster.loses = lambda *_: False
        cluster.deliver_one(late[-1])
        cluster.wait('gw-2', ticket)
        cluster.run(1)
        self.assertEqual('disk-6', cluster.part('gw-2').joining_by_id['gw-5'])

    def test_a_resent_replacement_needs_no_disk(self):
        cluster = formed()
        cluster.by_id['gw-5'] = Instance('gw-5', 'disk-5')
        results = []
        for _ in range(2):
            ticket = cluster.replace(
                'gw-2', change_id='r1', old='gw-1', by='gw-5'
            )
            results.append(cluster.wait('gw-2', ticket).repeated)
            cluster.down = {'gw-5'}
        self.assertEqual([False, True], results)

    @params(
        ('gw-4', 'gw-4', 'is no voter'),
        ('gw-1', 'gw-1', 'present disk'),
        ('gw-1', 'gw-4', 'has no disk'),
    )
    def test_a_replacement_that_makes_no_sense_is_refused(self, old, by, said):
        cluster = formed()
        cluster.by_id['gw-4'].lose_disk('disk-4' if old == 'gw-4' else None)
        cluster.run(1)
        ticket = cluster.replace('gw-2', change_id='r1', old=old, by=by)
        result = cluster.wait('gw-2', ticket)
        self.assertIn(said, result.message)


class ConfirmationTest(unittest.TestCase):
    def test_an_isolated_voter_stops_and_confirms_nothing(self):
        """Symptom: callers are served under an old configuration for hours.

        Sequence: a partition leaves one voter with one entry; the others
        change the document.
        Cause: the voter answers from its own disk.
        """
        cluster = formed()
        cluster.loses = lambda sender, to, _: (
            (sender in ('gw-1', 'gw-4')) != (to in ('gw-1', 'gw-4'))
        )
        cluster.change('gw-2', change_id='c1', expected=0, document=b'one')
        cluster.run(TTL_S + 0.5)
        for name in ('gw-1', 'gw-4'):
            self.assertFalse(cluster.part(name).is_fresh(cluster.now))
        for name in ('gw-2', 'gw-3'):
            self.assertTrue(cluster.part(name).is_fresh(cluster.now))
        states = cluster.part('gw-2').in_force(1, cluster.now)
        self.assertEqual('stopped', states['gw-4'])

    def test_in_force_waits_for_an_instance_that_may_still_act(self):
        """Symptom: a change is called in force too early.

        Sequence: an instance confirms, is cut off, a change is accepted.
        Cause: silence is taken for having stopped before its time is out.
        """
        cluster = formed()
        cluster.down = {'gw-4'}
        cluster.change('gw-2', change_id='c1', expected=0)
        while cluster.part('gw-4').is_fresh(cluster.now):
            states = cluster.part('gw-2').in_force(1, cluster.now)
            self.assertEqual('waiting', states['gw-4'])
            cluster.run(TICK_S)
        cluster.run(1 + TICK_S)
        states = cluster.part('gw-2').in_force(1, cluster.now)
        self.assertEqual('stopped', states['gw-4'])
        self.assertEqual('confirmed', states['gw-1'])

    @params('gw-1', 'gw-2', 'gw-3')
    def test_one_silent_voter_leaves_everyone_fresh(self, name):
        """Symptom: entries stop admitting when one voter dies.

        Sequence: a voter goes silent while others wait for its answer.
        Cause: they wait too long, or ask the same one again.
        """
        cluster = formed()
        cluster.run(3)
        cluster.down = {name}
        for _ in range(round(3 * TTL_S / TICK_S)):
            cluster.run(TICK_S)
            for other in set(cluster.by_id) - {name}:
                self.assertTrue(cluster.part(other).is_fresh(cluster.now))
        cluster.sent.clear()
        cluster.run(2)
        asked = {
            to
            for _, to, m in cluster.sent
            if isinstance(m, messages.ConfirmConfiguration)
        }
        self.assertNotIn(name, asked)

    def test_many_voters_ask_few_and_outlast_a_silent_minority(self):
        """Symptom: twelve voters spend their share of the network on reads.

        Sequence: every check asks all of them, though a majority is enough.
        Cause: the silent few could be among those that were left out, so the
        others are asked as well when an answer is missing.
        """
        names = tuple(f'gw-{n:02}' for n in range(12))
        cluster = Cluster(voters=names, others=('other',))
        cluster.run(2)
        cluster.sent.clear()
        cluster.run(TTL_S)
        queries = collections.Counter(
            (sender, m.check_id)
            for sender, _, m in cluster.sent
            if isinstance(m, messages.CheckAccepted)
        )
        self.assertEqual({8}, set(queries.values()))
        cluster.down = set(names[:5])
        for _ in range(round(3 * TTL_S / TICK_S)):
            cluster.run(TICK_S)
            for name in (*names[5:], 'other'):
                self.assertTrue(cluster.part(name).is_fresh(cluster.now))

    def test_voters_that_lag_among_many_cause_no_write(self):
        """Symptom: reads write the register anew again and again.

        Sequence: three of twelve voters missed a change; a check asks them
        among a majority and a spare.
        Cause: the check is given up though the voters it spared agree.
        """
        names = tuple(f'gw-{n:02}' for n in range(12))
        cluster = Cluster(voters=names, others=())
        cluster.run(2)
        cluster.down = set(names[9:])
        cluster.change('gw-00', change_id='c1', expected=0)
        cluster.down = set()
        cluster.loses = is_kind(messages.AcceptVersion)
        cluster.sent.clear()
        cluster.run(TTL_S)
        kinds = {type(message) for _, _, message in cluster.sent}
        self.assertNotIn(messages.PrepareBallot, kinds)

    def test_a_late_answer_counts_from_its_ask(self):
        """Symptom: an entry serves the old document past its time.

        Sequence: the answer to an ask is held up for seconds.
        Cause: the time is counted from the arrival.
        """
        cluster = formed()
        cluster.run(2)
        kind = messages.ConfigurationConfirmed
        cluster.loses = is_kind(kind)
        cluster.sent.clear()
        while not any(isinstance(m, kind) for _, _, m in cluster.sent):
            cluster.run(TICK_S)
        asked = [
            m
            for _, _, m in cluster.sent
            if isinstance(m, messages.ConfirmConfiguration)
        ]
        self.assertTrue(asked)
        answer = next(e for e in cluster.sent if isinstance(e[2], kind))
        asked_by = cluster.now
        cluster.down = {*VOTERS, 'gw-4'}
        cluster.run(TTL_S - 0.2)
        cluster.down = set()
        cluster.loses = lambda *_: False
        cluster.deliver_one(answer)
        confirmed_at = cluster.part('gw-4').confirmed_at
        self.assertLessEqual(confirmed_at, asked_by)

    def test_a_check_answers_only_who_asked_before_it_began(self):
        """Symptom: a revision is confirmed after a later one was chosen.

        Sequence: a voter's check has read; a change is chosen; an ask
        arrives and gets the answer of that check.
        Cause: the check is older than the ask.
        """
        cluster = formed()
        cluster.run(1)
        cluster.queue.clear()
        voter = cluster.part('gw-1')
        for _ in range(40):
            cluster.tick()
            reports = [
                e
                for e in cluster.queue
                if isinstance(e[2], messages.CheckAccepted) and e[0] == 'gw-1'
            ]
            if reports:
                break
            cluster.deliver()
        ask = messages.ConfirmConfiguration(ask_id=99, base=None)
        cluster.handle(
            'gw-1',
            parts.Received(now=cluster.now, sender='gw-4', message=ask),
        )
        cluster.sent.clear()
        cluster.deliver()
        answered = [
            m.ask_id
            for _, _, m in cluster.sent
            if isinstance(m, messages.ConfigurationConfirmed)
        ]
        self.assertNotIn(99, answered)
        self.assertTrue(voter.is_fresh(cluster.now))

    def test_a_voter_that_lags_is_not_sent_the_value_by_everyone(self):
        """Symptom: a voter's return costs a dozen times the whole value.

        Sequence: it missed more changes than are kept as steps; all others
        see in their checks that it lags, and it sees that they are ahead.
        Cause: each of them sends, or is asked for, the value.
        """
        names = tuple(f'gw-{n}' for n in range(7))
        cluster = Cluster(voters=names, others=())
        cluster.run(1)
        cluster.down = {'gw-6'}
        for number in range(40):
            cluster.change('gw-1', change_id=f'c{number}', expected=number)
        cluster.down = set()
        cluster.slow = {'gw-6'}
        cluster.sent.clear()
        cluster.run(8)
        whole = [
            m
            for _, to, m in cluster.sent
            if to == 'gw-6' and getattr(m, 'update', None) and m.update.full
        ]
        self.assertLessEqual(len(whole), 2)
        cluster.sent.clear()
        for name in names[:6]:
            report = messages.AcceptedReport(
                from_disk_id='disk-gw-6', check_id=0, accepted=None
            )
            event = parts.Received(
                now=cluster.now, sender='gw-6', message=report
            )
            cluster.handle(name, event)
        self.assertLessEqual(len(cluster.sent), 2)
        held = cluster.part('gw-6').snapshot()[0].update.full
        self.assertEqual(40, held.revision)

    @params(
        ('gw-4', messages.ConfigurationConfirmed),
        ('gw-1', messages.AcceptedReport),
    )
    def test_answers_from_before_a_restart_count_for_nothing(self, name, kind):
        """Symptom: a restarted entry serves the document before.

        Sequence: an answer is held up, its asker restarts and asks anew
        while it is cut off, the answer arrives.
        Cause: ids start again, so it passes for the answer to the new ask.
        """
        cluster = Cluster()
        cluster.loses = is_kind(kind)
        cluster.run(1)
        late = [
            e for e in cluster.sent if isinstance(e[2], kind) and e[1] == name
        ]
        self.assertTrue(late)
        cluster.by_id[name].start()
        cluster.run(0.1)
        cluster.loses = lambda *_: True
        for envelope in late:
            event = parts.Received(
                now=cluster.now, sender=envelope[0], message=envelope[2]
            )
            cluster.handle(name, event)
        self.assertFalse(cluster.part(name).is_fresh(cluster.now))

    def test_a_late_confirmation_does_not_revert(self):
        """Symptom: an entry goes back to the document before.

        Sequence: an answer with the earlier revision arrives after a later
        one was confirmed.
        Cause: the last answer wins.
        """
        cluster = formed()
        part = cluster.part('gw-4')
        old = part._knowledge.confirmed
        cluster.change('gw-1', change_id='c1', expected=0, document=b'one')
        cluster.run(1)
        self.assertEqual([], part._confirm(old, cluster.now, cluster.now))
        self.assertEqual(b'one', part.document)

    def test_half_done_work_of_a_dead_proposer_is_repaired(self):
        """Symptom: no instance can confirm anything; all stop admitting.

        Sequence: a proposer dies after one of two reachable voters accepted.
        Cause: no value is held by a majority, and nobody writes one back.
        """
        cluster = formed()
        cluster.down = {'gw-3'}
        cluster.loses = only('gw-1', messages.AcceptVersion)
        cluster.propose('gw-4', change_id='c1', expected=0, document=b'one')
        cluster.deliver()
        cluster.by_id['gw-4'].start()
        cluster.loses = is_kind(messages.PrepareBallot)
        cluster.run(2)
        # Held by one voter, it may still vanish: nobody acts on it.
        self.assertEqual(0, cluster.part('gw-1').revision)
        cluster.loses = lambda *_: False
        cluster.run(TTL_S + 1)
        self.assertTrue(cluster.part('gw-4').is_fresh(cluster.now))
        self.assertEqual(b'one', cluster.part('gw-4').document)

    def test_a_restart_after_hundreds_of_changes_acts_on_none_of_them(self):
        """Symptom: a restarted voter serves a document of last week.

        Sequence: it is down for hundreds of changes, and starts while it
        can't reach the others.
        Cause: it takes its disk's word for the present.
        """
        cluster = formed()
        cluster.down = {'gw-3'}
        for number in range(200):
            cluster.change('gw-1', change_id=f'c{number}', expected=number)
        cluster.by_id['gw-3'].start()
        cluster.down = {'gw-1', 'gw-2'}
        cluster.run(TTL_S)
        self.assertFalse(cluster.part('gw-3').is_fresh(cluster.now))
        self.assertIsNone(cluster.part('gw-3').revision)
        cluster.down = set()
        # Its reports come when the others' have confirmed already.
        cluster.slow = {'gw-3'}
        cluster.run(5)
        self.assertEqual(200, cluster.part('gw-3').revision)
        held = cluster.part('gw-3').snapshot()[0].update.full
        self.assertEqual(200, held.revision)


class FormationTest(unittest.TestCase):
    def test_nothing_forms_while_a_first_voter_is_missing(self):
        """Symptom: two registers, each formed by a part of the voters.

        Sequence: a first voter is unreachable at the start.
        Cause: a majority of empty disks is taken for all of them.
        """
        cluster = Cluster()
        cluster.down = {'gw-3'}
        cluster.run(2)
        self.assertIsNone(cluster.part('gw-1').revision)
        cluster.down = set()
        cluster.run(1)
        self.assertEqual(0, cluster.part('gw-1').revision)

    def test_the_rest_of_a_lost_register_forms_no_other(self):
        """Symptom: revisions start anew at 0, all changes are gone.

        Sequence: the register forms, one voter misses the first accept; the
        disks of the two others are lost.
        Cause: three disks without a value are taken for a first start.
        """
        cluster = Cluster()
        cluster.loses = lambda sender, to, message: (
            to == 'gw-3' and isinstance(message, messages.AcceptVersion)
        )
        cluster.run(0.1)
        cluster.change('gw-1', change_id='c1', expected=0)
        cluster.by_id['gw-1'].lose_disk('disk-5')
        cluster.by_id['gw-2'].lose_disk('disk-6')
        cluster.by_id['gw-4'].start()
        cluster.by_id['gw-3'].start()
        cluster.loses = lambda *_: False
        cluster.run(5)
        self.assertIsNone(cluster.part('gw-3').revision)

    def test_a_lost_disk_of_the_first_voter_forms_no_other(self):
        cluster = formed()
        cluster.change('gw-1', change_id='c1', expected=0, document=b'one')
        cluster.by_id['gw-1'].lose_disk('disk-5')
        cluster.loses = is_kind(messages.ConfirmConfiguration)
        cluster.sent.clear()
        cluster.run(2)
        kinds = {type(message) for _, _, message in cluster.sent}
        self.assertIn(messages.DiskReport, kinds)
        self.assertNotIn(messages.PrepareBallot, kinds)
        cluster.loses = lambda *_: False
        cluster.run(2)
        self.assertEqual(b'one', cluster.part('gw-1').document)


class Machine(stateful.RuleBasedStateMachine):
    """Real reducers over a network that drops, reorders and doubles."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster()
        self.cluster.syncs_at_once = False
        self.expected_by_change: dict = {}
        self.document_by_revision: dict = {0: b''}
        self.known_since_by_revision: dict = {}
        self.conflicts: set = set()
        self.losses = 0
        self.tickets: list = []

    @stateful.initialize()
    def form(self):
        self.run_well()

    @stateful.rule(
        seed=st.integers(0, 2**32),
        drop=st.integers(0, 4),
        cut=st.sampled_from(['nobody', *VOTERS, 'gw-4']),
    )
    def run_badly(self, seed, drop, cut):
        """Longer than the time to live, with one instance cut off."""
        # Drawing each choice from hypothesis makes most of them zero.
        rng = random.Random(seed)
        for _ in range(40):
            if rng.random() < 0.3:
                self.propose_any(rng)
            if rng.random() < 0.1:
                self.crash(rng.choice([*VOTERS, 'gw-4']))
            self.cluster.tick(3 * TICK_S)
            for _ in range(40):
                self.step(rng, drop, cut)
            self.check()

    def step(self, rng, drop, cut):
        cluster = self.cluster
        for name in cluster.by_id:
            if rng.random() < 0.5:
                cluster.sync(name)
        if not cluster.queue:
            return
        envelope = cluster.queue.pop(rng.randrange(len(cluster.queue)))
        dice = rng.randrange(10)
        if dice < drop or cut in envelope[:2]:
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
                expected = self.expected_by_change[change_id] + 1
                assert result.revision == expected, (change_id, result)
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
    # Shrinking a failure takes minutes; the seed in its report is enough.
    phases=[hypothesis.Phase.generate],
    max_examples=12,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
