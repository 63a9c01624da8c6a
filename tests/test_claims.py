"""Claims over a fake network: each trap once, and all of them at random."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import msgspec
from nose2.tools import params

from dandeliongw.coordination import claim_messages as messages
from dandeliongw.coordination import claim_slots
from dandeliongw.coordination import claims
from dandeliongw.coordination import parts
from tests import claims_network

DEADLINE_S = claims_network.DEADLINE_S
DIGEST = claims_network.DIGEST
GIVE_UP_S = claims_network.GIVE_UP_S
RETENTION_S = claims_network.RETENTION_S


class FaultFreeTest(unittest.TestCase):
    def setUp(self):
        self.network = claims_network.Network()

    def test_the_first_epoch_may_be_0(self):
        """Symptom: no claim is ever granted.

        Sequence: the register counts its sets from 0. Cause: entries take 0
        for what they knew before there was a set.
        """
        network = claims_network.Network(first_epoch=0)
        self.assertEqual(messages.Granted(), network.claim('E', 'e1'))

    def test_a_free_key_is_granted_and_its_outcome_replayed(self):
        self.assertEqual(messages.Granted(), self.network.claim('E', 'e1'))
        self.assertEqual(
            messages.Recorded(), self.network.record('E', 'e1', b'done')
        )
        self.assertEqual(
            messages.Replayed(outcome=b'done'), self.network.claim('F', 'f1')
        )

    def test_the_same_key_with_another_body_is_refused(self):
        self.network.claim('E', 'e1')
        other = self.network.claim('F', 'f1', digest=b'other body')
        self.assertEqual(messages.DigestMismatch(), other)

    def test_an_abandoned_key_is_free_for_a_resend(self):
        self.network.claim('E', 'e1')
        self.network.abandon('E', 'e1')
        self.network.run()
        self.network.tick(1.0)
        self.assertEqual(messages.Granted(), self.network.claim('F', 'f1'))

    def test_an_outcome_that_is_too_large_is_noted_without_it(self):
        self.network.claim('E', 'e1')
        self.network.record('E', 'e1', b'more than eight')
        self.assertEqual(
            messages.Replayed(outcome=None), self.network.claim('F', 'f1')
        )

    def test_all_holders_restarted_still_replay(self):
        self.network.claim('E', 'e1')
        self.network.record('E', 'e1', b'done')
        for holder in 'ABC':
            self.network.crash(holder)
            self.network.start(holder)
        self.assertEqual(
            messages.Replayed(outcome=b'done'), self.network.claim('F', 'f1')
        )


class ClaimsTest(unittest.TestCase):
    def setUp(self):
        self.network = claims_network.Network()

    def granted_while_cut(self, holder, *, attempt='e1'):
        """Let E be granted by the other two holders only."""
        self.network.cut.add(holder)
        result = self.network.claim('E', attempt)
        self.assertEqual(messages.Granted(), result)
        self.network.tick(GIVE_UP_S)
        self.network.cut.clear()


def is_put(packet, *, to, round):
    message = packet.message
    is_round = isinstance(message, messages.ClaimPut) and (
        message.round == round
    )
    return is_round and packet.to in to


def slot(attempt, state='claimed', round=0):
    return messages.ClaimSlot(
        key='key',
        round=round,
        state=messages.SlotState(state),
        digest=DIGEST,
        attempt_id=attempt,
    )


class RulesTest(unittest.TestCase):
    @params(
        ('a', 'claimed', 'b', 'claimed', ('', 'contested')),
        ('a', 'withdrawn', 'b', 'claimed', ('', 'contested')),
        ('a', 'withdrawn', 'a', 'claimed', ('a', 'withdrawn')),
        ('a', 'recorded', 'b', 'claimed', ('a', 'recorded')),
        ('', 'contested', 'b', 'claimed', ('', 'contested')),
        ('', 'contested', 'b', 'recorded', ('b', 'recorded')),
    )
    def test_a_joining_holder_takes_no_side(self, one, how, other, as_, kept):
        """Symptom: a booking is made twice after a repair.

        Sequence: two holders that are copied differ. Cause: one is picked.
        """
        for pair in ((slot(one, how), slot(other, as_)),):
            for first, second in (pair, pair[::-1]):
                merged = claim_slots.merge(first, second)
                self.assertEqual(kept, (merged.attempt_id, merged.state))

    def test_a_later_round_wins_a_merge(self):
        later = slot('b', round=1)
        self.assertEqual(later, claim_slots.merge(later, slot('a')))
        self.assertEqual(later, claim_slots.merge(slot('a'), later))

    @params(
        ({}, {''}),
        ({'A': slot('a'), 'B': slot('me')}, {'a'}),
        ({'A': slot('a'), 'B': slot('a'), 'C': slot('me')}, {'a'}),
        ({'A': slot('a'), 'B': slot('b'), 'C': slot('me')}, set()),
        ({'A': slot('a', 'withdrawn'), 'B': slot('me')}, set()),
        ({'A': slot('', 'contested'), 'B': slot('b')}, {'', 'b'}),
    )
    def test_a_round_is_dead_when_nobody_can_have_won(self, shown, rivals):
        """Symptom: a booking is made twice.

        Sequence: the next round starts while an unreachable holder, or a
        contested slot, may make a majority. Cause: it counts for nobody.
        """
        holder_set = claim_slots.HolderSet(
            epoch=1,
            disk_ids_by_holder=dict.fromkeys('ABC', 'disk'),
            joining={},
            leaving=frozenset(),
        )
        found = claim_slots.rivals(
            attempt_id='me',
            round=0,
            seen_by_holder={
                holder: claim_slots.SeenSlot(
                    slot=one, age_s=1.0, is_older=True
                )
                for holder, one in shown.items()
            },
            holder_set=holder_set,
        )
        self.assertEqual(rivals, found)


class HolderTest(ClaimsTest):
    def test_nothing_is_told_of_an_unsynced_slot(self):
        """Symptom: a booking is made twice after a crash.

        Sequence: A shows F that E has the slot; A crashes before its sync
        and gives the slot to another. Cause: a refusal proves as much as a
        grant, and was told before the sync.
        """
        self.network.begin('E', 'e1')
        self.network.begin('F', 'f1')
        self.network.run(
            lambda packet: isinstance(packet.message, messages.ClaimPut)
        )
        told = [p for p in self.network.packets if p.sender != p.to]
        self.assertEqual([], told)

    def test_a_withdrawal_touches_no_other_attempt(self):
        """Symptom: a booking is made twice.

        Sequence: F's withdrawal reaches holders that granted E. Cause: they
        take it for E's.
        """
        self.network.claim('E', 'e1')
        withdraw = messages.ClaimWithdraw(
            key='key', round=0, digest=DIGEST, attempt_id='f1', disk_id=''
        )
        for holder in 'ABC':
            message = msgspec.structs.replace(
                withdraw, disk_id=f'disk-{holder}'
            )
            event = parts.Received(now=0.0, sender='F', message=message)
            self.network.handle(holder, event)
        self.network.tick(GIVE_UP_S)
        result = self.network.claim('F', 'f2')
        self.assertIsInstance(result, messages.InProgress)

    def test_a_put_of_an_old_epoch_is_not_taken(self):
        """Symptom: a booking is made twice after a repair.

        Sequence: a put from before the repair arrives behind the copy.
        Cause: the holder grants what the joining one can't have copied.
        """
        self.network.begin('E', 'e1')
        late, self.network.packets = self.network.packets, []
        self.network.cut.add('E')
        self.network.replace('A', 'disk-A2')
        self.network.cut.clear()
        self.network.packets = late
        self.network.run()
        self.assertEqual(1, len(self.network.parts_by_id['B'].snapshot()))

    def test_a_restarted_holder_remembers_its_epoch(self):
        """Symptom: as above, after a crash.

        Sequence: B restarts and hears of the set from before the repair.
        Cause: the epoch that it acted under was never synced.
        """
        old = self.network.news()
        self.network.replace('A', 'disk-A2')
        self.network.crash('B')
        self.network.epoch = 0
        self.network.start('B')
        self.network.handle('B', old)
        self.network.begin('E', 'e1')
        put = self.network.packets[1].message
        event = parts.Received(
            now=0.0, sender='E', message=msgspec.structs.replace(put, epoch=1)
        )
        self.network.handle('B', event)
        self.network.run()
        self.assertEqual(1, len(self.network.parts_by_id['B'].snapshot()))


class ResendTest(ClaimsTest):
    def test_a_resend_while_the_first_works_is_told_to_come_back(self):
        """Symptom: a booking is made twice.

        Sequence: the caller loses its connection to E, which works on, and
        sends again through F. Cause: F knows nothing of E's attempt.
        """
        self.network.claim('E', 'e1')
        result = self.network.claim('F', 'f1')
        self.assertIsInstance(result, messages.InProgress)
        self.network.record('E', 'e1', b'done')
        self.assertEqual(
            messages.Replayed(outcome=b'done'), self.network.claim('F', 'f2')
        )

    def test_a_dead_entrys_attempt_never_runs_again(self):
        """Symptom: a booking is made twice, much later.

        Sequence: E dies after its call went out; its deadline passes; the
        caller sends again. Cause: the passed deadline is taken for a proof
        that E did not run it.
        """
        self.network.claim('E', 'e1')
        self.network.crash('E')
        self.network.tick(DEADLINE_S / 2)
        early = self.network.claim('F', 'f1')
        self.assertIsInstance(early, messages.InProgress)
        self.network.tick(DEADLINE_S)
        late = self.network.claim('F', 'f2')
        self.assertEqual(messages.OutcomeUnknown(), late)

    def test_a_grant_that_nobody_uses_is_dropped(self):
        """Symptom: an entry's memory grows for a day.

        Sequence: calls break off, and nobody knows whether they ran. Cause:
        their attempts are neither finished nor abandoned.
        """
        self.network.claim('E', 'e1')
        self.network.tick(3 * DEADLINE_S)
        self.assertEqual(
            messages.NotRecorded(), self.network.record('E', 'e1', b'done')
        )

    def test_a_lost_put_is_sent_again(self):
        """Symptom: a call is refused though all holders work.

        Sequence: all puts are lost once. Cause: nothing sends them again.
        """
        self.network.begin('E', 'e1')
        self.network.packets.clear()
        self.network.tick(GIVE_UP_S / 20)
        self.assertEqual(
            messages.Granted(), self.network.results_by_ticket['e1']
        )

    def test_a_begin_without_holders_ends(self):
        """Symptom: a caller waits for ever.

        Sequence: two holders are cut off. Cause: a begin waits for a
        majority that doesn't come.
        """
        self.network.cut |= {'A', 'B'}
        result = self.network.claim('E', 'e1')
        self.assertEqual(
            messages.UnavailableReason.HOLDERS_UNREACHABLE, result.reason
        )

    def test_told_not_run_an_earlier_send_never_runs(self):
        """Symptom: told "not run", the caller finds its booking made.

        Sequence: E's puts are slow; the caller sends again through F, which
        is granted, abandons, and tells "not run"; then E's puts arrive.
        Cause: to E the key looks free for a resend.
        """
        self.network.begin('E', 'e1')
        self.network.now += 0.001
        slow, self.network.packets = self.network.packets, []
        self.assertEqual(messages.Granted(), self.network.claim('F', 'f1'))
        self.network.abandon('F', 'f1')
        self.network.run()
        self.network.packets = slow
        self.network.run()
        self.network.tick(GIVE_UP_S)
        self.assertIsInstance(
            self.network.results_by_ticket['e1'], messages.InProgress
        )

    def test_a_later_round_is_no_way_round_that(self):
        """Symptom: as above.

        Sequence: as above, but another send after "not run" has taken a
        slot of the next round before E's puts arrive. Cause: E joins it.
        """
        self.network.begin('E', 'e1')
        self.network.now += 0.001
        slow, self.network.packets = self.network.packets, []
        self.network.claim('F', 'f1')
        self.network.abandon('F', 'f1')
        self.network.run()
        self.network.now += 0.001
        self.network.begin('F', 'f2')
        self.network.run(lambda packet: not is_put(packet, to='BC', round=1))
        self.network.crash('F')
        self.network.packets = slow
        self.network.run()
        self.network.tick(GIVE_UP_S)
        self.assertIsInstance(
            self.network.results_by_ticket['e1'], messages.InProgress
        )

    def test_an_abandoned_begin_frees_the_key_and_never_runs(self):
        """Symptom: a caller who left has its booking made later.

        Sequence: the caller leaves while the claim is on its way; the
        grants, and doubles of the puts, arrive late. Cause: a late grant
        counts for an attempt that was given up.
        """
        self.network.begin('E', 'e1')
        doubles = list(self.network.packets)
        self.network.abandon('E', 'e1')
        self.network.run()
        self.network.packets = doubles
        self.network.tick(GIVE_UP_S)
        self.assertNotIn('e1', self.network.results_by_ticket)
        self.assertEqual(messages.Granted(), self.network.claim('F', 'f1'))

    def test_a_split_of_three_ends_with_one_grant(self):
        """Symptom: a key is blocked though nobody ran; or two run.

        Sequence: three sends of one call reach a holder each first. Cause:
        no attempt can have a majority of that round any more.
        """
        self.network.start('G')
        for entry, holder in (('E', 'A'), ('F', 'B'), ('G', 'C')):
            self.network.begin(entry, entry)
            first = [p for p in self.network.packets if p.to == holder]
            self.network.run(lambda packet: packet is first[-1])
        self.network.run()
        self.network.tick(GIVE_UP_S / 20)
        self.network.tick(GIVE_UP_S)
        results = [self.network.results_by_ticket[one] for one in 'EFG']
        self.assertEqual(1, results.count(messages.Granted()), results)

    def test_another_body_is_refused_only_where_that_is_proved(self):
        """Symptom: told "another call, not run", the caller's own had run.

        Sequence: C has the slot of another body, whose entry died; A and B
        are full and say nothing of the key. Cause: one slot is taken for a
        majority.
        """
        network = claims_network.Network(max_records=1)
        network.cut.add('C')
        network.begin('E', 'e1', key='another key')
        network.run()
        network.cut.clear()
        network.begin('F', 'f1', digest=b'other body')
        network.run(lambda packet: packet.to == 'C')
        network.crash('F')
        network.start('F')
        self.assertIsInstance(network.claim('F', 'f2'), messages.InProgress)


class LostDiskTest(ClaimsTest):
    def test_an_empty_disk_does_not_answer_free(self):
        """Symptom: a booking is made twice.

        Sequence: A and B grant, A comes back with an empty disk, B is cut
        off. Cause: A finds no slot and grants anew.
        """
        self.granted_while_cut('C')
        self.network.add_disk('A', 'disk-A2')
        self.network.cut.add('B')
        result = self.network.claim('F', 'f1')
        self.assertNotEqual(messages.Granted(), result)

    def test_two_disks_lost_with_a_repair_between_lose_nothing(self):
        """Symptom: a told outcome is gone and the call runs again.

        Sequence: A and B keep the outcome; A's disk is lost and repaired,
        then B's. Cause: the repair counts A before it has copied.
        """
        self.network.cut.add('C')
        self.network.claim('E', 'e1')
        self.network.record('E', 'e1', b'done')
        self.network.cut.clear()
        self.network.replace('A', 'disk-A2')
        self.network.replace('B', 'disk-B2')
        self.assertEqual(5, self.network.epoch)
        self.network.cut.add('C')
        self.assertEqual(
            messages.Replayed(outcome=b'done'), self.network.claim('F', 'f1')
        )

    @params('A', 'B', 'C')
    def test_a_claim_survives_the_loss_of_any_disk(self, lost):
        """Symptom: a booking is made twice after a repair.

        Sequence: E is granted by A and B; a disk is lost and repaired.
        Cause: the repaired holder misses what the lost disk knew.
        """
        self.granted_while_cut('C')
        self.network.replace(lost, 'disk-new')
        result = self.network.claim('F', 'f1')
        self.assertIsInstance(result, messages.InProgress)

    def test_a_joining_holder_grants_nothing(self):
        """Symptom: a booking is made twice.

        Sequence: A and B grant E; A's disk is lost; while A joins, B is cut
        off. Cause: A has no slot yet and grants anew.
        """
        self.granted_while_cut('C')
        self.network.add_disk('A', 'disk-A2')
        current = self.network.sets[0]
        self.network.change(current, {'A': 'disk-A2'})
        self.network.run(lambda packet: packet.sender == packet.to)
        self.network.cut.add('B')
        result = self.network.claim('F', 'f1')
        self.assertNotEqual(messages.Granted(), result)

    @params('cut off', 'behind')
    def test_a_copy_needs_a_majority_under_the_new_epoch(self, how):
        """Symptom: a booking is made twice after a repair.

        Sequence: A joins; B can't be copied, or hasn't heard of the change
        and may still grant as before. Cause: A counts as caught up.
        """
        self.granted_while_cut('C')
        self.network.add_disk('A', 'disk-A2')
        if how == 'cut off':
            self.network.cut.add('B')
        self.network.tells_by_packet = True
        self.network.change(self.network.sets[0], {'A': 'disk-A2'})
        self.network.packets = [
            packet for packet in self.network.packets if packet.to != 'B'
        ]
        self.network.run()
        self.network.tick(GIVE_UP_S)
        self.assertEqual([], self.network.caught_up)

    def test_caught_up_waits_for_the_sync(self):
        """Symptom: an outcome is gone after a repair and a crash.

        Sequence: A has copied, tells so, crashes before its sync. Cause: it
        counts for what it has lost.
        """
        self.granted_while_cut('C')
        self.network.add_disk('A', 'disk-A2')
        self.network.change(self.network.sets[0], {'A': 'disk-A2'})
        self.network.run()
        self.network.now += GIVE_UP_S
        self.network.handle('A', parts.Ticked(now=self.network.now, entropy=0))
        self.network.run(
            lambda packet: (
                packet.to != 'A'
                or not isinstance(packet.message, parts.Persist)
            )
        )
        self.assertEqual([], self.network.caught_up)
        self.network.run()
        self.assertNotEqual([], self.network.caught_up)

    def test_a_working_attempt_gains_nothing_from_a_repair(self):
        """Symptom: a booking is made twice after a repair.

        Sequence: A and B grant E, C has granted F, which still asks; A's
        disk is lost and repaired. Cause: the repaired A takes F's side.
        """
        self.network.begin('F', 'f1')
        self.network.run(lambda packet: packet.to in 'CF')
        self.network.packets.clear()
        self.network.cut.add('C')
        self.network.begin('E', 'e1')
        self.network.run()
        self.network.cut.clear()
        self.network.replace('A', 'disk-A2')
        self.network.run()
        self.assertEqual({'e1'}, self.network.granted())

    def test_many_claims_are_copied_in_pages(self):
        """Symptom: after two repairs some outcomes are gone.

        Sequence: more slots than a page holds. Cause: a copy ends early.
        """
        for number in range(150):
            key = f'key-{number}'
            self.network.begin('E', key, key=key)
        self.network.run()
        self.network.replace('A', 'disk-A2')
        copied = self.network.parts_by_id['A'].snapshot()
        self.assertEqual(151, len(copied))

    def test_grants_of_two_epochs_do_not_add_up(self):
        """Symptom: a booking is made twice.

        Sequence: A grants E and loses its disk; A is repaired; F is granted
        by A and C; then B grants E. Cause: E counts a disk that is gone.
        """
        self.network.begin('E', 'e1')
        self.network.run(
            lambda packet: {packet.sender, packet.to} <= set('AE')
        )
        slow, self.network.packets = self.network.packets, []
        self.network.cut.add('E')
        self.network.replace('A', 'disk-A2')
        self.network.cut.add('B')
        self.assertEqual(messages.Granted(), self.network.claim('F', 'f1'))
        self.network.cut.clear()
        self.network.packets = slow
        self.network.run()
        self.network.tell_set('E')
        self.network.run()
        self.network.tick(GIVE_UP_S)
        self.assertNotEqual(
            messages.Granted(), self.network.results_by_ticket['e1']
        )

    def test_holders_that_disagree_leave_a_contested_slot(self):
        """Symptom: a booking is made twice after a repair.

        Sequence: A and B grant E while C had granted F; A's disk is lost.
        Cause: the repaired A takes F's side, and F is granted.
        """
        self.network.begin('F', 'f1')
        self.network.run(lambda packet: packet.to == 'C')
        self.network.packets.clear()
        self.network.crash('F')
        self.network.start('F')
        self.granted_while_cut('C')
        self.network.replace('A', 'disk-A2')
        self.network.tick(DEADLINE_S + GIVE_UP_S)
        for attempt in ('f2', 'f3'):
            result = self.network.claim('F', attempt)
            self.assertEqual(messages.OutcomeUnknown(), result)
        self.network.record('E', 'e1', b'done')
        self.assertEqual(
            messages.Replayed(outcome=b'done'), self.network.claim('F', 'f4')
        )

    def test_an_outcome_is_on_a_majority_before_it_is_replayed(self):
        """Symptom: a caller is told an outcome, the next one another thing.

        Sequence: only A keeps the outcome; F is told; A's disk is lost.
        Cause: F tells what one holder says.
        """
        self.network.claim('E', 'e1')
        self.network.cut |= {'B', 'C'}
        self.assertEqual(
            messages.NotRecorded(), self.network.record('E', 'e1', b'done')
        )
        self.network.cut.clear()
        told = self.network.claim('F', 'f1')
        self.assertEqual(messages.Replayed(outcome=b'done'), told)
        self.network.replace('A', 'disk-A2')
        self.assertEqual(told, self.network.claim('F', 'f2'))


class KilledTest(ClaimsTest):
    @params(*range(0, 26, 2))
    def test_holders_killed_at_any_step(self, step):
        """Symptom: a booking is made twice after a power cut.

        Sequence: E begins; after some steps all holders lose what was not
        synced; F begins. Cause: something was told before its sync.
        """
        self.network.begin('E', 'e1')
        self.network.step(step)
        for holder in 'ABC':
            self.network.crash(holder)
            self.network.start(holder)
        self.network.claim('F', 'f1')
        self.assertLessEqual(len(self.network.granted()), 1)

    @params(*range(0, 30, 3))
    def test_an_entry_killed_at_any_step(self, step):
        """Symptom: a call runs twice, or its key is blocked for nothing.

        Sequence: E begins, is granted, finishes; it dies after some steps;
        F begins, and again after E's deadline. Cause: F can't ask E.
        """
        self.network.begin('E', 'e1')
        self.network.run_until('e1')
        self.network.finish('E', 'e1', b'done')
        self.network.step(step)
        told = 'finish e1' in self.network.results_by_ticket
        self.network.crash('E')
        first = self.network.claim('F', 'f1')
        self.network.tick(DEADLINE_S + GIVE_UP_S)
        second = self.network.claim('F', 'f2')
        self.assertNotIn(messages.Granted(), (first, second))
        if told:
            self.assertEqual(messages.Replayed(outcome=b'done'), first)


class RetentionTest(unittest.TestCase):
    def test_a_restarted_holder_counts_from_its_start(self):
        """Symptom: an outcome is forgotten, or called lost, too early.

        Sequence: holders restart while E works. Cause: the age of a slot
        that was read back is taken from a clock that began elsewhere.
        """
        network = claims_network.Network()
        network.claim('E', 'e1')
        network.tick(RETENTION_S / 2)
        for holder in 'ABC':
            network.crash(holder)
            network.start(holder)
        self.assertIsInstance(network.claim('F', 'f1'), messages.InProgress)

    def test_full_holders_refuse_new_keys_and_drop_none(self):
        """Symptom: a resend within the retention runs again.

        Sequence: holders are full; another key comes. Cause: the oldest
        claim is dropped to make room.
        """
        network = claims_network.Network(max_records=1)
        network.claim('E', 'e1')
        network.begin('E', 'e2', key='another key')
        network.run()
        self.assertEqual(
            messages.UnavailableReason.HOLDERS_FULL,
            network.results_by_ticket['e2'].reason,
        )
        self.assertIsInstance(network.claim('F', 'f1'), messages.InProgress)

    @params((RETENTION_S - 1, False), (RETENTION_S + 1, True))
    def test_a_slot_is_kept_for_the_retention(self, passed, is_forgotten):
        network = claims_network.Network()
        network.claim('E', 'e1')
        network.record('E', 'e1', b'done')
        network.tick(passed)
        network.begin('F', 'f1')
        network.run()
        for holder in 'ABC':
            network.crash(holder)
            network.start(holder)
        result = network.results_by_ticket['f1']
        self.assertEqual(is_forgotten, result == messages.Granted())

    def test_a_deadline_beyond_the_retention_is_a_mistake(self):
        part = claims_network.Network().parts_by_id['E']
        begin = messages.Begin(
            now=0.0,
            ticket='t',
            key='key',
            digest=DIGEST,
            attempt_id='e1',
            deadline_s=RETENTION_S,
        )
        with self.assertRaisesRegex(ValueError, '1000'):
            part.handle(begin)

    def test_a_holder_needs_a_disk_id(self):
        with self.assertRaisesRegex(ValueError, "'A'"):
            claims.Claims(
                instance_id='A',
                is_holder=True,
                disk_id=None,
                retention_s=1.0,
                max_records=1,
                max_outcome_bytes=1,
                round_trip_s=1.0,
            )


#: Who reaches each other; the rest is cut off for a while.
GROUPS = [
    entries + holders
    for entries in ('E', 'F', 'EF')
    for holders in ('A', 'C', 'AB', 'AC', 'BC', 'ABC', 'ABC')
]


class Machine(stateful.RuleBasedStateMachine):
    """The real parts under losses, doubles, crossings, crashes, repairs."""

    def __init__(self):
        super().__init__()
        self.network = claims_network.Network()
        self.network.tells_by_packet = True
        self.begun = 0
        self.barred = set()
        self.ended = set()
        self.outcome = None

    @stateful.rule(
        entry=strategies.sampled_from('EF'),
        group=strategies.sampled_from(GROUPS),
    )
    def begin(self, entry, group):
        self.begun += 1
        if self.begun < 9:
            self.network.begin(entry, f'{entry}{self.begun}')
            self.run_among(group)

    @stateful.rule(index=strategies.integers(0, 30))
    def deliver(self, index):
        packets = self.network.packets
        if packets:
            self.network.deliver(packets.pop(index % len(packets)))

    @stateful.rule(index=strategies.integers(0, 30))
    def deliver_double(self, index):
        packets = [
            packet
            for packet in self.network.packets
            if not isinstance(packet.message, parts.Persist)
        ]
        if packets:
            self.network.deliver(packets[index % len(packets)])

    @stateful.rule(group=strategies.sampled_from(GROUPS))
    def run(self, group):
        self.run_among(group)

    def run_among(self, group):
        """Deliver all that is on its way among these, as in a partition."""
        self.network.run(
            lambda packet: (
                packet.to in group
                and (packet.sender in group or not packet.sender)
            )
        )

    @stateful.rule(
        instance=strategies.sampled_from('ABCEF'),
        is_crash=strategies.booleans(),
    )
    def lose(self, instance, is_crash):
        """Lose an instance's memory, or what is on its way to it."""
        if not is_crash:
            self.network.packets = [
                packet
                for packet in self.network.packets
                if packet.to != instance
                or isinstance(packet.message, parts.Persist)
            ]
            return
        # What the dead entry had been granted may have run.
        self.ended |= {
            attempt
            for attempt in self.network.granted()
            if attempt[0] == instance
        }
        self.network.crash(instance)
        self.network.start(instance)

    @stateful.rule(
        seconds=strategies.sampled_from([0.001, 0.025, 0.025, 20.0]),
        group=strategies.sampled_from(GROUPS),
    )
    def tick(self, seconds, group):
        self.network.now += seconds
        for instance in 'ABCEF':
            event = parts.Ticked(now=self.network.now, entropy=0)
            self.network.handle(instance, event)
        self.run_among(group)

    @stateful.rule(holder=strategies.sampled_from('ABC'))
    def repair(self, holder):
        """Lose a disk, or take the running repair a step further."""
        network = self.network
        current, joining = network.sets
        if not joining:
            network.crash(holder)
            network.add_disk(holder, f'disk-{holder}{network.epoch}')
            network.change(current, {holder: network.disk_ids_by_id[holder]})
        elif (
            network.caught_up and network.caught_up[-1].epoch == network.epoch
        ):
            network.change({**current, **joining})
        self.run_among('ABCEF'.replace(holder, ''))

    @stateful.rule(is_run=strategies.booleans())
    def use_grant(self, is_run):
        for attempt in self.network.granted() - self.ended:
            self.ended.add(attempt)
            if is_run:
                self.network.finish(attempt[0], attempt, b'done')
                continue
            self.network.abandon(attempt[0], attempt)
            self.barred |= self.network.begun - self.network.granted()
            self.network.abandoned.add(attempt)

    @stateful.invariant()
    def at_most_one_may_run(self):
        assert len(self.network.granted() - self.network.abandoned) <= 1

    @stateful.invariant()
    def what_was_told_not_run_does_not(self):
        assert not self.barred & self.network.granted()

    @stateful.invariant()
    def an_outcome_stays(self):
        told = [
            result
            for result in self.network.results_by_ticket.values()
            if isinstance(result, messages.Replayed)
        ]
        assert all(result.outcome == b'done' for result in told)


MachineTest = Machine.TestCase
MachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=30,
    database=None,
)
