"""Claims over a fake network: known failures, and random sequences."""

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
        """The register numbers its sets of holders from 0.

        If entries took epoch 0 for "no set yet", they would ignore the first
        set and no claim would be granted.
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

    def test_of_a_too_large_outcome_only_the_fact_is_stored(self):
        self.network.claim('E', 'e1')
        self.network.record('E', 'e1', b'more than eight')
        self.assertEqual(
            messages.Replayed(outcome=None), self.network.claim('F', 'f1')
        )

    def test_an_outcome_is_replayed_after_all_holders_restart(self):
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

    def grant_with_one_cut_off(self, holder, *, attempt='e1'):
        """Let E get a grant from the other two holders only."""
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
    def test_merging_different_copies(self, one, how, other, as_, kept):
        """If the copied holders differ, a joining holder picks neither slot.

        Otherwise a call could run twice after a repair.
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
    def test_possible_winners_of_a_round(self, shown, expected):
        """Unreachable holders and contested slots count for every attempt.

        If they counted for none, the next round could start although an
        attempt of this round has a majority, and a call could run twice.
        """
        holder_set = claim_slots.HolderSet(
            epoch=1,
            disk_ids_by_holder=dict.fromkeys('ABC', 'disk'),
            joining={},
            leaving=frozenset(),
        )
        found = claim_slots.possible_winners(
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
        self.assertEqual(expected, found)


class HolderTest(ClaimsTest):
    def test_no_reply_reports_an_unsynced_slot(self):
        """A refusal, like a grant, is sent only after the sync.

        Otherwise A could report to F that E has the slot, crash before its
        sync and grant the slot to another attempt; a call could run twice.
        """
        self.network.begin('E', 'e1')
        self.network.begin('F', 'f1')
        self.network.run(
            lambda packet: isinstance(packet.message, messages.ClaimPut)
        )
        replies = [p for p in self.network.packets if p.sender != p.to]
        self.assertEqual([], replies)

    def test_a_withdrawal_changes_no_other_attempt(self):
        """F's withdrawal reaches holders that granted the slot to E.

        If they applied it to E's attempt, the call could run twice.
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

    def test_a_put_of_an_old_epoch_is_refused(self):
        """A put sent before a repair arrives after the copy.

        If it were granted, the joining holder would not have the slot, and
        the call could run twice.
        """
        self.network.begin('E', 'e1')
        late, self.network.packets = self.network.packets, []
        self.network.cut.add('E')
        self.network.replace('A', 'disk-A2')
        self.network.cut.clear()
        self.network.packets = late
        self.network.run()
        self.assertEqual(1, len(self.network.parts_by_id['B'].snapshot()))

    def test_a_restarted_holder_keeps_its_epoch(self):
        """B restarts and receives the set of holders from before a repair.

        If it had not synced the epoch of the repair, it would accept puts of
        the older epoch, and a call could run twice.
        """
        old = self.network.holders_event()
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
    def test_a_retry_during_the_first_attempt_is_in_progress(self):
        """The caller loses its connection to E and retries through F.

        E's attempt is still running, so F must not run the call as well.
        """
        self.network.claim('E', 'e1')
        result = self.network.claim('F', 'f1')
        self.assertIsInstance(result, messages.InProgress)
        self.network.record('E', 'e1', b'done')
        self.assertEqual(
            messages.Replayed(outcome=b'done'), self.network.claim('F', 'f2')
        )

    def test_the_attempt_of_a_crashed_entry_never_runs_again(self):
        """E crashes after it sent its call; the caller retries later.

        An expired deadline does not prove that E's attempt did not run, so
        the call must not run again.
        """
        self.network.claim('E', 'e1')
        self.network.crash('E')
        self.network.tick(DEADLINE_S / 2)
        early = self.network.claim('F', 'f1')
        self.assertIsInstance(early, messages.InProgress)
        self.network.tick(DEADLINE_S)
        late = self.network.claim('F', 'f2')
        self.assertEqual(messages.OutcomeUnknown(), late)

    def test_an_unused_grant_is_evicted(self):
        """Calls that break off are neither finished nor abandoned.

        If their attempts were never evicted, the entry's memory would grow.
        """
        self.network.claim('E', 'e1')
        self.network.tick(3 * DEADLINE_S)
        self.assertEqual(
            messages.NotRecorded(), self.network.record('E', 'e1', b'done')
        )

    def test_a_lost_put_is_sent_again(self):
        """All puts are lost once.

        Without a resend, the call would be refused though all holders work.
        """
        self.network.begin('E', 'e1')
        self.network.packets.clear()
        self.network.tick(GIVE_UP_S / 20)
        self.assertEqual(
            messages.Granted(), self.network.results_by_ticket['e1']
        )

    def test_a_begin_without_a_majority_times_out(self):
        """Two of three holders are unreachable.

        Without a timeout, the caller would wait for a majority for ever.
        """
        self.network.cut |= {'A', 'B'}
        result = self.network.claim('E', 'e1')
        self.assertEqual(
            messages.UnavailableReason.HOLDERS_UNREACHABLE, result.reason
        )

    def test_an_earlier_attempt_never_runs_after_not_run(self):
        """A call must not run after its caller got the answer "not run".

        E's puts are delayed. The caller's retry through F is granted,
        abandoned and answered "not run"; then E's puts arrive and find a
        withdrawn slot.
        """
        self.network.begin('E', 'e1')
        self.network.now += 0.001
        delayed, self.network.packets = self.network.packets, []
        self.assertEqual(messages.Granted(), self.network.claim('F', 'f1'))
        self.network.abandon('F', 'f1')
        self.network.run()
        self.network.packets = delayed
        self.network.run()
        self.network.tick(GIVE_UP_S)
        self.assertIsInstance(
            self.network.results_by_ticket['e1'], messages.InProgress
        )

    def test_nor_does_an_earlier_attempt_run_in_a_later_round(self):
        """E must not join a round that started after "not run" was answered.

        As in the test above, but another retry has taken a slot of the next
        round before E's puts arrive.
        """
        self.network.begin('E', 'e1')
        self.network.now += 0.001
        delayed, self.network.packets = self.network.packets, []
        self.network.claim('F', 'f1')
        self.network.abandon('F', 'f1')
        self.network.run()
        self.network.now += 0.001
        self.network.begin('F', 'f2')
        self.network.run(lambda packet: not is_put(packet, to='BC', round=1))
        self.network.crash('F')
        self.network.packets = delayed
        self.network.run()
        self.network.tick(GIVE_UP_S)
        self.assertIsInstance(
            self.network.results_by_ticket['e1'], messages.InProgress
        )

    def test_an_abandoned_begin_frees_the_key_and_never_runs(self):
        """The caller disconnects while its claim is being made.

        Late grants and duplicate puts must not let the abandoned attempt
        run.
        """
        self.network.begin('E', 'e1')
        duplicates = list(self.network.packets)
        self.network.abandon('E', 'e1')
        self.network.run()
        self.network.packets = duplicates
        self.network.tick(GIVE_UP_S)
        self.assertNotIn('e1', self.network.results_by_ticket)
        self.assertEqual(messages.Granted(), self.network.claim('F', 'f1'))

    def test_a_split_of_three_ends_with_one_grant(self):
        """Three attempts at one call each get one of three holders.

        No attempt can win that round; exactly one must win a later round.
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

    def test_another_body_is_refused_only_with_proof(self):
        """A mismatch is reported only if a majority stores the other body.

        C has the slot of another body, whose entry crashed; A and B are full
        and do not report on the key. The caller's own call may have run.
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
    def test_an_empty_disk_grants_nothing(self):
        """A and B grant a claim; A loses its disk; B is cut off.

        A must not grant the key again from its empty disk, or the call could
        run twice.
        """
        self.grant_with_one_cut_off('C')
        self.network.add_disk('A', 'disk-A2')
        self.network.cut.add('B')
        result = self.network.claim('F', 'f1')
        self.assertNotEqual(messages.Granted(), result)

    def test_two_disk_losses_with_a_repair_between_lose_no_outcome(self):
        """A and B store an outcome; A's disk is replaced, then B's.

        If A counted before it had copied the slots, the outcome would be
        lost and the call would run again.
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
        """E is granted by A and B; one disk is lost and replaced.

        The replaced disk must not make the key claimable again, or the call
        could run twice.
        """
        self.grant_with_one_cut_off('C')
        self.network.replace(lost, 'disk-new')
        result = self.network.claim('F', 'f1')
        self.assertIsInstance(result, messages.InProgress)

    def test_a_joining_holder_grants_nothing(self):
        """A and B grant E; A's disk is lost; while A joins, B is cut off.

        A does not have the slot yet. If it granted the key, the call could
        run twice.
        """
        self.grant_with_one_cut_off('C')
        self.network.add_disk('A', 'disk-A2')
        current = self.network.sets[0]
        self.network.change(current, {'A': 'disk-A2'})
        self.network.run(lambda packet: packet.sender == packet.to)
        self.network.cut.add('B')
        result = self.network.claim('F', 'f1')
        self.assertNotEqual(messages.Granted(), result)

    @params('cut off', 'behind')
    def test_a_copy_needs_a_majority_under_the_new_epoch(self, how):
        """B is unreachable, or still in the old epoch, while A joins.

        A may miss slots of B, or slots that B grants after the copy. So A
        must not count as caught up, or a call could run twice.
        """
        self.grant_with_one_cut_off('C')
        self.network.add_disk('A', 'disk-A2')
        if how == 'cut off':
            self.network.cut.add('B')
        self.network.notifies_by_packet = True
        self.network.change(self.network.sets[0], {'A': 'disk-A2'})
        self.network.packets = [
            packet for packet in self.network.packets if packet.to != 'B'
        ]
        self.network.run()
        self.network.tick(GIVE_UP_S)
        self.assertEqual([], self.network.caught_up)

    def test_a_restarted_holder_keeps_what_it_had_copied(self):
        """Guards against a holder that counts without the slots it copied.

        A has caught up and the end of its joining is chosen; A learns of it
        only after a restart, before it could copy again.
        """
        self.grant_with_one_cut_off('C')
        self.network.add_disk('A', 'disk-A2')
        current = self.network.sets[0]
        self.network.change(current, {'A': 'disk-A2'})
        self.network.run()
        self.network.tick(2 * claims_network.ROUND_TRIP_S)
        self.assertNotEqual([], self.network.caught_up)
        self.network.crash('A')
        self.network.start('A')
        self.network.packets = [
            packet
            for packet in self.network.packets
            if isinstance(packet.message, parts.Persist)
        ]
        self.network.run()
        self.network.change({**current, 'A': 'disk-A2'})
        self.network.run()
        self.network.cut.add('B')
        result = self.network.claim('F', 'f1')
        self.assertNotEqual(messages.Granted(), result)

    def test_caught_up_waits_for_the_sync(self):
        """A joining holder reports the end of its copy after the sync.

        Otherwise A could report it, crash and lose the copied slots, but
        still count as a holder that stores them.
        """
        self.grant_with_one_cut_off('C')
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

    def test_a_repair_grants_nothing_to_a_claiming_attempt(self):
        """A and B grant E; C granted F, which is still claiming.

        When A's disk is replaced, A must not grant its slot to F, or both
        attempts would run.
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
        """A copy of more slots than fit into a page must be complete.

        Otherwise outcomes would be lost after two repairs.
        """
        for number in range(150):
            key = f'key-{number}'
            self.network.begin('E', key, key=key)
        self.network.run()
        self.network.replace('A', 'disk-A2')
        copied = [
            record.key
            for record in self.network.parts_by_id['A'].snapshot()
            if isinstance(record, messages.ClaimSlot)
        ]
        expected = [f'key-{number}' for number in range(150)]
        self.assertEqual(sorted(expected), sorted(copied))

    def test_grants_of_two_epochs_do_not_add_up(self):
        """A grants E, loses its disk and is repaired; A and C grant F.

        If E then added B's grant to the one of A's lost disk, both attempts
        would run.
        """
        self.network.begin('E', 'e1')
        self.network.run(
            lambda packet: {packet.sender, packet.to} <= set('AE')
        )
        delayed, self.network.packets = self.network.packets, []
        self.network.cut.add('E')
        self.network.replace('A', 'disk-A2')
        self.network.cut.add('B')
        self.assertEqual(messages.Granted(), self.network.claim('F', 'f1'))
        self.network.cut.clear()
        self.network.packets = delayed
        self.network.run()
        self.network.notify_holders('E')
        self.network.run()
        self.network.tick(GIVE_UP_S)
        self.assertNotEqual(
            messages.Granted(), self.network.results_by_ticket['e1']
        )

    def test_holders_that_disagree_leave_a_contested_slot(self):
        """A and B grant E, C granted F before; A's disk is lost.

        If the repaired A assigned its slot to F, F would be granted too, and
        the call could run twice.
        """
        self.network.begin('F', 'f1')
        self.network.run(lambda packet: packet.to == 'C')
        self.network.packets.clear()
        self.network.crash('F')
        self.network.start('F')
        self.grant_with_one_cut_off('C')
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
        """Only A stores the outcome; F replays it; A's disk is lost.

        If F replayed it before a majority stored it, the next caller would
        get a different answer.
        """
        self.network.claim('E', 'e1')
        self.network.cut |= {'B', 'C'}
        self.assertEqual(
            messages.NotRecorded(), self.network.record('E', 'e1', b'done')
        )
        self.network.cut.clear()
        replayed = self.network.claim('F', 'f1')
        self.assertEqual(messages.Replayed(outcome=b'done'), replayed)
        self.network.replace('A', 'disk-A2')
        self.assertEqual(replayed, self.network.claim('F', 'f2'))


class CrashTest(ClaimsTest):
    @params(*range(0, 26, 2))
    def test_holders_crash_at_any_step(self, step):
        """E begins; all holders crash after some steps; F begins.

        If any reply were sent before its sync, the call could run twice.
        """
        self.network.begin('E', 'e1')
        self.network.step(step)
        for holder in 'ABC':
            self.network.crash(holder)
            self.network.start(holder)
        self.network.claim('F', 'f1')
        self.assertLessEqual(len(self.network.granted()), 1)

    @params(*range(0, 30, 3))
    def test_an_entry_crashes_at_any_step(self, step):
        """E is granted, finishes and crashes after some steps.

        F begins then, and again after E's deadline. F can't query E, but must
        not run the call; it replays an outcome that E has reported.
        """
        self.network.begin('E', 'e1')
        self.network.run_until('e1')
        self.network.finish('E', 'e1', b'done')
        self.network.step(step)
        is_answered = 'finish e1' in self.network.results_by_ticket
        self.network.crash('E')
        first = self.network.claim('F', 'f1')
        self.network.tick(DEADLINE_S + GIVE_UP_S)
        second = self.network.claim('F', 'f2')
        self.assertNotIn(messages.Granted(), (first, second))
        if is_answered:
            self.assertEqual(messages.Replayed(outcome=b'done'), first)


class RetentionTest(unittest.TestCase):
    def test_a_restarted_holder_counts_from_its_start(self):
        """All holders restart while E's attempt is running.

        The restored slots' ages must not come from the clock of an earlier
        start, or outcomes would be evicted or reported as unknown too early.
        """
        network = claims_network.Network()
        network.claim('E', 'e1')
        network.tick(RETENTION_S / 2)
        for holder in 'ABC':
            network.crash(holder)
            network.start(holder)
        self.assertIsInstance(network.claim('F', 'f1'), messages.InProgress)

    def test_full_holders_refuse_new_keys_and_drop_none(self):
        """Full holders receive a claim of a new key.

        If they evicted the oldest claim for it, a retry of that call within
        the retention would run again.
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

    def test_a_deadline_beyond_half_the_retention_is_an_error(self):
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


#: Sides of a partition: instances that reach each other for a while.
GROUPS = [
    entries + holders
    for entries in ('E', 'F', 'EF')
    for holders in ('A', 'C', 'AB', 'AC', 'BC', 'ABC', 'ABC')
]


class Machine(stateful.RuleBasedStateMachine):
    """The real parts under losses, duplicates, reorderings and crashes.

    Disks are lost and repaired as well.
    """

    def __init__(self):
        super().__init__()
        self.network = claims_network.Network()
        self.network.notifies_by_packet = True
        self.begun = 0
        self.reported_not_run = set()
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
    def deliver_duplicate(self, index):
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
        """Deliver all packets among these instances, as in a partition."""
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
        """Lose an instance's memory, or all packets in transit to it."""
        if not is_crash:
            self.network.packets = [
                packet
                for packet in self.network.packets
                if packet.to != instance
                or isinstance(packet.message, parts.Persist)
            ]
            return
        # Attempts that the crashed entry was granted may have run.
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
        """Lose a disk, or advance the repair under way by one step."""
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
            self.reported_not_run |= (
                self.network.begun - self.network.granted()
            )
            self.network.abandoned.add(attempt)

    @stateful.invariant()
    def at_most_one_may_run(self):
        assert len(self.network.granted() - self.network.abandoned) <= 1

    @stateful.invariant()
    def an_attempt_reported_as_not_run_is_not_granted(self):
        assert not self.reported_not_run & self.network.granted()

    @stateful.invariant()
    def an_outcome_stays(self):
        replayed = [
            result
            for result in self.network.results_by_ticket.values()
            if isinstance(result, messages.Replayed)
        ]
        assert all(result.outcome == b'done' for result in replayed)


MachineTest = Machine.TestCase
MachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=30,
    database=None,
)
