"""The register under loss, crashes, lost disks and competing operators."""

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
    """Delivers messages in order and without delay, unless a test differs."""

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

    def test_the_second_of_two_operators_gets_the_current_document(self):
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

    def test_every_message_and_record_round_trips_through_the_codec(self):
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
    """Return a filter that loses messages of these kinds, except to ``name``.

    Messages of other kinds arrive.
    """
    return lambda sender, to, message: (
        isinstance(message, kinds) and to != name
    )


class ChangesTest(unittest.TestCase):
    def test_no_answer_before_a_majority_holds_the_value(self):
        """Guards against a conflict that reports a revision later lost.

        A proposer reaches one voter and dies. A second one reads that value
        and finds a conflict. If it answered before a majority held the value,
        the loss of that one voter would undo the reported revision.
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
        """Guards against a resend that brings an old document back.

        The answer to a change is lost, others change the document, and the
        operator's tool resends the change. The resend must be neither applied
        again nor answered with a conflict.
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
        """Guards against reporting a change as applied that never was.

        That would happen if a tool reused a change id for another document
        and only the ids were compared.
        """
        cluster = formed()
        cluster.change('gw-4', change_id='c1', expected=0, document=b'one')
        result = cluster.change(
            'gw-4', change_id='c1', expected=0, document=b'other'
        )
        self.assertEqual(register.ChangeIdReused(revision=1), result)

    def test_competing_proposers_with_equal_numbers_both_get_an_answer(self):
        """Guards against two changes that block each other for seconds.

        Two instances propose at once under the same number, and each refusal
        makes the other one retry. Without jitter in the backoff they would
        collide again and again.
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
        """Guards against two documents in force under one revision.

        An instance without a disk proposes, restarts, and proposes another
        document under the same number. Readers compare ballots, so number and
        proposer alone would not tell the two values apart.
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
    def test_unavailable_says_whether_the_change_may_take_effect(
        self, lost, text
    ):
        cluster = formed()
        cluster.loses = is_kind(lost)
        result = cluster.change('gw-4', change_id='c1', expected=0)
        self.assertIsInstance(result, register.Unavailable)
        self.assertIn(text, result.message)
        self.assertIn('same change id', result.message)

    def test_a_change_survives_lost_messages(self):
        """Guards against a change that the operator has to send twice.

        The first prepare and the first accept request to each voter are lost;
        the proposer must resend them.
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
    def test_a_voter_that_missed_changes_is_sent_the_full_value(
        self, promises
    ):
        """Guards against a voter that accepts a value with changes missing.

        It is cut off for one change and back for the next. That arrives as a
        step, as its promise, which names the ballot that it holds, was lost.
        The step must not be applied to another value than its base.
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
    def test_no_reply_is_sent_before_its_sync(self):
        """Guards against a voter that breaks a promise after a power loss.

        If the reply, or a repeat of it, overtook the sync, the promise would
        be counted although the voter lost it with its power, and the voter
        could then accept an older ballot.
        """
        cluster = formed()
        cluster.syncs_at_once = False
        cluster.propose('gw-4', change_id='c1', expected=0)
        for envelope in [e for e in cluster.queue if e[1] == 'gw-1'] * 2:
            cluster.deliver_one(envelope)
        replies = [e for e in cluster.queue if e[0] == 'gw-1']
        self.assertEqual([], replies)
        cluster.sync('gw-1')
        replies = [e for e in cluster.queue if e[0] == 'gw-1']
        self.assertEqual(2, len(replies))

    def test_a_late_accept_does_not_undo_a_later_one(self):
        """Guards against a voter that loses an accepted revision.

        A delayed accept request of an earlier ballot arrives after a later
        ballot was promised; the voter must compare it with its promise.
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

    def test_a_new_disk_does_not_vote_in_place_of_the_lost_one(self):
        """Guards against the loss of an accepted revision.

        A voter's disk is lost and it starts with an empty one. If voters were
        identified by instance instead of disk, the empty disk and one that
        missed the change would be a majority.
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

    def test_a_second_loss_right_after_a_replacement_loses_nothing(self):
        """Guards against losing an accepted revision after a replacement.

        A disk is lost and replaced, then the next disk is lost; the third
        voter had missed the change. So the new voter must not count before it
        holds what the lost one held.
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
        """Guards against two documents in force during a partition.

        During a replacement, a partition leaves a majority of the old voters
        on one side and a majority of the joining set on the other. Neither
        may decide alone.
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

    def test_a_proposer_with_outdated_voters_queries_the_new_ones(self):
        """Guards against an accepted change that no other instance ever sees.

        An instance is cut off while a voter is replaced; back again, it
        reaches the old majority first. It must count the voters named in the
        value it read, not those that it had before.
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

    def test_a_replacement_does_not_end_before_its_value_is_chosen(self):
        """Guards against old and new voters that decide independently.

        The value with both sets has reached one voter only. If the end of
        the replacement were written on top of it, a proposer that reads the
        value before would query the old set only.
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

    def test_an_unresponsive_new_voter_blocks_no_change(self):
        """Guards against changes that time out at one instance.

        An operator names a dead instance as the new voter; another one
        changes the document at the same instance. The change must not wait
        for the answer to the disk query.
        """
        cluster = formed()
        cluster.by_id['gw-5'] = Instance('gw-5', 'disk-5')
        cluster.down = {'gw-5'}
        ticket = cluster.replace('gw-2', change_id='r1', old='gw-1', by='gw-5')
        result = cluster.change('gw-2', change_id='c1', expected=0)
        self.assertEqual(register.Applied(revision=1, repeated=False), result)
        result = cluster.wait('gw-2', ticket)
        self.assertIn("'gw-5' did not report its disk id", result.message)

    def test_a_late_disk_report_does_not_answer_a_later_request(self):
        """Guards against a replacement that waits forever for a lost disk.

        The disk report for a first request is delayed, the new voter loses
        its disk, and the operator sends a second request. The late report
        must not be taken for the answer to the second one.
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
        ('gw-4', 'gw-4', 'is not a voter'),
        ('gw-1', 'gw-1', 'present disk'),
        ('gw-1', 'gw-4', 'has no disk'),
    )
    def test_an_impossible_replacement_is_refused(self, old, by, text):
        cluster = formed()
        cluster.by_id['gw-4'].lose_disk('disk-4' if old == 'gw-4' else None)
        cluster.run(1)
        ticket = cluster.replace('gw-2', change_id='r1', old=old, by=by)
        result = cluster.wait('gw-2', ticket)
        self.assertIn(text, result.message)


class ConfirmationTest(unittest.TestCase):
    def test_an_isolated_voter_stops_and_confirms_nothing(self):
        """Guards against serving under an old configuration for hours.

        A partition leaves one voter with one entry, and the other voters
        change the document. The isolated voter must not confirm from its own
        disk alone.
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
        """Guards against reporting a change as in force too early.

        An instance confirms and is cut off, then a change is accepted. The
        instance must not count as stopped before its confirmation expires.
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
    def test_one_unresponsive_voter_leaves_everyone_fresh(self, name):
        """Guards against entries that stop admitting when one voter dies.

        A voter stops answering while others wait for it. They would stop if
        they waited too long or sent the next request to the same voter.
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
        recipients = {
            to
            for _, to, m in cluster.sent
            if isinstance(m, messages.ConfirmConfiguration)
        }
        self.assertNotIn(name, recipients)

    def test_many_voters_query_few_and_tolerate_a_lost_minority(self):
        """Guards against twelve voters that overload the network with checks.

        A check queries a majority and a spare, and the others only when
        answers are missing, as the unresponsive ones may be among those
        queried first.
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

    def test_lagging_voters_among_many_cause_no_write(self):
        """Guards against checks that rewrite the register repeatedly.

        Three of twelve voters missed a change, and a check queries them among
        a majority and a spare. It must not end in a repair, as the voters
        that it did not query first hold a common version.
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

    def test_a_late_answer_counts_from_its_request(self):
        """Guards against an entry that serves a document past the TTL.

        The answer to a confirmation request is delayed by seconds; the TTL
        must count from when the request was sent, not from the arrival.
        """
        cluster = formed()
        cluster.run(2)
        kind = messages.ConfigurationConfirmed
        cluster.loses = is_kind(kind)
        cluster.sent.clear()
        while not any(isinstance(m, kind) for _, _, m in cluster.sent):
            cluster.run(TICK_S)
        requests = [
            m
            for _, _, m in cluster.sent
            if isinstance(m, messages.ConfirmConfiguration)
        ]
        self.assertTrue(requests)
        answer = next(e for e in cluster.sent if isinstance(e[2], kind))
        requested_by = cluster.now
        cluster.down = {*VOTERS, 'gw-4'}
        cluster.run(TTL_S - 0.2)
        cluster.down = set()
        cluster.loses = lambda *_: False
        cluster.deliver_one(answer)
        confirmed_at = cluster.part('gw-4').confirmed_at
        self.assertLessEqual(confirmed_at, requested_by)

    def test_a_check_answers_only_requests_from_before_it_began(self):
        """Guards against confirming a revision after a later one was chosen.

        A voter's check has begun to read, a change is chosen, and then a
        confirmation request arrives. The older check must not answer it.
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
        request = messages.ConfirmConfiguration(ask_id=99, base=None)
        cluster.handle(
            'gw-1',
            parts.Received(now=cluster.now, sender='gw-4', message=request),
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

    def test_a_lagging_voter_is_not_sent_the_full_value_by_everyone(self):
        """Guards against sending a returning voter the full value many times.

        It missed more changes than are retained as steps. All others find in
        their checks that it lags, and it finds that they are ahead; not all
        of them may send the full value.
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
        full = [
            m
            for _, to, m in cluster.sent
            if to == 'gw-6' and getattr(m, 'update', None) and m.update.full
        ]
        self.assertLessEqual(len(full), 2)
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
    def test_answers_from_before_a_restart_are_ignored(self, name, kind):
        """Guards against a restarted entry that serves an older document.

        An answer is delayed, its recipient restarts and sends a new request
        while it is cut off. If ids started again, the late answer would be
        taken for the answer to the new request.
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
        """Guards against an entry that reverts to an earlier document.

        An answer with the earlier revision arrives after a later one was
        confirmed; the last answer to arrive must not win.
        """
        cluster = formed()
        part = cluster.part('gw-4')
        old = part._register_state.confirmed
        cluster.change('gw-1', change_id='c1', expected=0, document=b'one')
        cluster.run(1)
        self.assertEqual([], part._confirm(old, cluster.now, cluster.now))
        self.assertEqual(b'one', part.document)

    def test_an_unfinished_change_of_a_dead_proposer_is_repaired(self):
        """Guards against all instances failing to confirm and stopping.

        A proposer dies after one of two reachable voters accepted. Then no
        majority holds a common value until a voter writes one back.
        """
        cluster = formed()
        cluster.down = {'gw-3'}
        cluster.loses = only('gw-1', messages.AcceptVersion)
        cluster.propose('gw-4', change_id='c1', expected=0, document=b'one')
        cluster.deliver()
        cluster.by_id['gw-4'].start()
        cluster.loses = is_kind(messages.PrepareBallot)
        cluster.run(2)
        # One voter holds the value, which may still be lost; so no instance
        # may act on it.
        self.assertEqual(0, cluster.part('gw-1').revision)
        cluster.loses = lambda *_: False
        cluster.run(TTL_S + 1)
        self.assertTrue(cluster.part('gw-4').is_fresh(cluster.now))
        self.assertEqual(b'one', cluster.part('gw-4').document)

    def test_a_restart_after_hundreds_of_changes_acts_on_none_of_them(self):
        """Guards against a restarted voter that serves an outdated document.

        It is down for hundreds of changes, and starts while it can't reach
        the others. It must not act on the version on its disk.
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
        # Its reports arrive after the others' have ended the check.
        cluster.slow = {'gw-3'}
        cluster.run(5)
        self.assertEqual(200, cluster.part('gw-3').revision)
        held = cluster.part('gw-3').snapshot()[0].update.full
        self.assertEqual(200, held.revision)


class FormationTest(unittest.TestCase):
    def test_nothing_forms_while_a_first_voter_is_missing(self):
        """Guards against two registers, each formed by some of the voters.

        A first voter is unreachable at the start; a majority of empty disks
        must not be enough.
        """
        cluster = Cluster()
        cluster.down = {'gw-3'}
        cluster.run(2)
        self.assertIsNone(cluster.part('gw-1').revision)
        cluster.down = set()
        cluster.run(1)
        self.assertEqual(0, cluster.part('gw-1').revision)

    def test_remaining_disks_of_a_lost_register_form_no_other(self):
        """Guards against losing all changes and restarting at revision 0.

        The register forms, one voter misses the first accept, and the disks
        of the two others are lost. Three disks without a value must not be
        taken for a first start.
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
    """Real registers over a network that drops, reorders and duplicates."""

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
        """Run for longer than the TTL, with one instance cut off."""
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
        """Propose a new change, a resend, or one for an old revision."""
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
        """Lose and replace a disk, if the last replacement is finished."""
        voters = self.cluster.part(name).voters_by_id
        present = {i: self.cluster.by_id[i].disk_id for i in VOTERS}
        if voters != present or self.cluster.part(name).joining_by_id:
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
