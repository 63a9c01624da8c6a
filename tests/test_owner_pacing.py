"""Bookings at owners that can't keep up."""

import math
import unittest

from nose2.tools import params

from dandeliongw.cell import cells
from dandeliongw.cell import takeover
from dandeliongw.coordination import parts
from dandeliongw import effects
from dandeliongw.entry import owner_pacing
from dandeliongw.entry import paced_reservations
from dandeliongw import verdict
from tests import entry_fake
from tests import owner_replay
from tests import test_cells

OWNER, NEXT_OWNER = entry_fake.OWNER, entry_fake.NEXT_OWNER
#: Streams that an entry may serve in these tests.
MANY = 10


def replay(**options):
    """Return a replay of 74 entries in which a burst has just ended."""
    made = owner_replay.Replay(**options)
    made.offer(38, 4)
    made.offer(150, 5)
    return made


class BurstTest(unittest.TestCase):
    """Guards against an owner that never recovers from a burst.

    On one day no stream was placed for 25 seconds, since repeats and searches
    of waiting calls took all of the owner's processor time.
    """

    def placed_after(self, made):
        ends_at = made.now
        made.offer(38, 6)
        return made.share_placed(ends_at + 2.0, ends_at + 5.0)

    def test_the_replay_shows_the_failure(self):
        self.assertGreater(replay().owner_changes, 0)
        # A successor begins without what waits for the former owner.
        made = replay(lease_lag_s=math.inf)
        self.assertLess(self.placed_after(made), 0.05)

    @params(owner_replay.LEASE_LAG_S, math.inf)
    def test_it_recovers_and_keeps_its_lease(self, lease_lag_s):
        made = replay(paces_bookings=True, lease_lag_s=lease_lag_s)
        self.assertGreater(self.placed_after(made), 0.95)
        self.assertEqual(0, made.owner_changes)
        self.assertLess(made.lag_s, 1.5)

    def test_its_successor_withstands_the_same_burst(self):
        """The entries turn to it at once, with all that waits."""
        made = owner_replay.Replay(paces_bookings=True)
        made.offer(38, 4)
        made.offer(150, 2)
        made.owners_by_id[made.holder].die()
        made.offer(150, 3)
        made.offer(38, 3)
        self.assertGreater(self.placed_after(made), 0.95)
        self.assertEqual(1, made.owner_changes)


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.entry = entry_fake.Entry(paces_bookings=True)

    def pass_time(self, seconds):
        """Tick as the runtime does; return all that was done."""
        out = []
        for _ in range(round(seconds / 0.05)):
            out += self.entry.tick(0.05)
        return out

    def books(self, among=None):
        return self.entry.sent(cells.Book, among)

    def queued(self, request_id, **changes):
        fields = {'epoch': 1, 'expected_in_s': 0.5, 'takes_renewals': True}
        return cells.Queued(
            **self.entry.ids_of(request_id), **{**fields, **changes}
        )

    def queue(self, **changes):
        request_id = self.entry.arrive('completion')
        self.entry.receive(self.queued(request_id, **changes))
        return request_id

    def slow_down(self):
        """Let the owner answer late, so that the window falls to 1."""
        request_id = self.entry.arrive('completion')
        self.pass_time(0.5)
        self.entry.receive(self.queued(request_id))
        self.entry.book(request_id)
        self.pass_time(0.8)

    def test_nothing_waits_for_an_owner_that_keeps_up(self):
        for _ in range(MANY):
            self.entry.arrive('completion')
            self.assertEqual(1, len(self.books()))

    def test_late_answers_bound_what_is_unanswered(self):
        self.slow_down()
        ids = [self.entry.arrive('completion') for _ in range(4)]
        self.assertEqual([ids[0]], [m.request_id for _, m in self.all_books()])
        self.entry.receive(self.queued(ids[0]))
        sent = [message.request_id for _, message in self.books()]
        self.assertEqual(ids[1:3], sent)

    def all_books(self):
        """Return the bookings since the last call that runs was placed."""
        books = self.books(self.entry.all)
        return books[-1:]

    def test_repeats_become_rarer(self):
        self.entry.arrive('completion')
        self.entry.directory.owners = (OWNER,)
        self.assertEqual(2, len(self.books(self.pass_time(1.45))))

    def test_what_waits_too_long_has_not_run(self):
        """Guards against a call that waits for an answer after its search."""
        self.slow_down()
        ids = [self.entry.arrive('completion') for _ in range(6)]
        out = self.pass_time(1.0)
        refused = self.entry.found(effects.Refuse, out)
        self.assertIn(ids[-1], [each.request_id for each in refused])
        for each in refused:
            self.assertEqual(
                (verdict.RefusalReason.NO_OWNER, verdict.Verdict.NOT_RUN),
                (each.refusal.reason, each.refusal.verdict),
            )
        never_sent = {each.request_id for each in refused} - {
            message.request_id for _, message in self.books(self.entry.all)
        }
        self.assertTrue(never_sent)

    def test_queued_calls_are_renewed_together(self):
        ids = [self.queue(), self.queue()]
        out = self.pass_time(paced_reservations.QUEUE_RENEWAL_S + 0.05)
        self.assertEqual([], self.books(out))
        renewals = self.entry.sent(cells.Progress, out)
        self.assertEqual([OWNER], [to for to, _ in renewals])
        (_, progress) = renewals[0]
        self.assertEqual(ids, [each.request_id for each in progress.queued])

    def test_an_owner_of_the_previous_release_is_renewed_one_by_one(self):
        request_id = self.queue(takes_renewals=False)
        out = self.pass_time(0.4)
        sent = [message.request_id for _, message in self.books(out)]
        self.assertEqual([request_id], sent)
        self.assertEqual([], self.entry.sent(cells.Progress, out))

    def test_a_call_keeps_its_place_while_its_owner_is_alive(self):
        """Guards against a new search, which voids all that was done."""
        ids = [self.queue(), self.queue()]
        for _ in range(6):
            out = self.pass_time(0.5)
            self.assertEqual([], self.books(out))
            self.entry.receive(self.queued(ids[0], others=1))

    @params('silent', 'disowned')
    def test_a_call_leaves_the_queue_of_an_owner_that_is_none(self, why):
        request_id = self.queue()
        old = self.entry.ids_of(request_id)
        if why == 'disowned':
            self.entry.receive(cells.NotOwner(**old, holder=NEXT_OWNER))
            self.entry.directory.owners = (NEXT_OWNER, OWNER)
        out = self.pass_time(1.8)
        ((to, book), *_) = self.books(out)
        self.assertEqual(NEXT_OWNER, to)
        self.assertNotEqual(old['attempt_id'], book.attempt_id)

    def test_a_slow_owner_that_is_still_named_is_not_left(self):
        """Guards against releases and new bookings at an owner that is late.

        The next candidate is only asked for the owner, and books nothing.
        """
        request_id = self.entry.arrive('completion')
        out = self.pass_time(0.6)
        ((to, inquiry),) = self.entry.sent(cells.Progress, out)
        self.assertEqual(
            (NEXT_OWNER, request_id), (to, inquiry.queued[0].request_id)
        )
        ids = self.entry.ids_of(request_id)
        self.entry.receive(cells.NotOwner(**ids, holder=OWNER), NEXT_OWNER)
        out = self.pass_time(0.8)
        self.assertEqual({OWNER}, {to for to, _ in self.books(out)})
        self.assertEqual([], self.entry.sent(cells.Release, out))
        self.entry.book(request_id)
        self.entry.one(effects.RunPrefill)

    def test_a_silent_owner_is_left(self):
        request_id = self.entry.arrive('completion')
        late = self.entry.booked(request_id)
        out = self.pass_time(1.3)
        self.assertEqual(NEXT_OWNER, self.books(out)[-1][0])
        self.entry.book(request_id, NEXT_OWNER, decode_id='d2')
        self.entry.one(effects.RunPrefill)
        self.entry.receive(late)
        ((to, _),) = self.entry.sent(cells.Release)
        self.assertEqual(OWNER, to)

    def test_what_waits_is_spread_at_a_new_owner(self):
        """Guards against a new owner that all entries overload at once."""
        ids = [self.queue() for _ in range(MANY)]
        self.entry.take(
            self.entry.requests.reclaim_all(
                self.entry.now, entry_fake.CELL, NEXT_OWNER, 2
            )
        )
        self.assertLessEqual(len(self.books()), owner_pacing.SUCCESSOR_WINDOW)
        asked = []
        for _ in range(20):
            for to, book in self.books(self.entry.tick(0.05)):
                self.assertEqual(NEXT_OWNER, to)
                asked.append(book.request_id)
                answer = self.queued(book.request_id, epoch=2)
                self.entry.receive(answer, NEXT_OWNER)
                asked += [each.request_id for _, each in self.books()]
        self.assertLessEqual(set(ids), {*asked, *self.first_asked()})

    def first_asked(self):
        return [
            book.request_id
            for to, book in self.books(self.entry.all)
            if to == NEXT_OWNER
        ]

    def test_an_entry_that_was_paused_does_not_blame_the_owner(self):
        request_id = self.queue()
        self.pass_time(0.6)
        self.entry.tick(3.0)
        self.assertEqual([], self.books())
        self.entry.receive(self.queued(request_id))
        self.assertEqual([], self.books(self.pass_time(0.4)))

    def test_two_instances_that_name_each_other(self):
        """Guards against redirections without end."""
        request_id = self.entry.arrive('completion')
        asked = 0
        for turn in range(20):
            holders = (OWNER, NEXT_OWNER)
            sender, holder = holders[turn % 2], holders[1 - turn % 2]
            ids = self.entry.ids_of(request_id)
            self.entry.receive(cells.NotOwner(**ids, holder=holder), sender)
            asked += len(self.books())
        self.assertEqual(owner_pacing.MAX_REDIRECTS, asked)

    def test_logs_and_gauges_tell_that_bookings_wait(self):
        self.slow_down()
        self.entry.arrive('completion')
        self.entry.arrive('completion')
        (load,) = self.entry.requests.booking_loads_by_cell().values()
        self.assertEqual(
            (1, 1, 1),
            tuple(
                map(load.__getattribute__, ('unanswered', 'window', 'waiting'))
            ),
        )
        lines = self.entry.found(effects.Log, self.entry.all)
        narrow = [each for each in lines if 'late' in each.message]
        self.assertEqual(1, len(narrow))


class RenewalTest(unittest.TestCase):
    """The owner's answers to the renewals of what it has queued."""

    def setUp(self):
        self.cell = test_cells.make_pair_cell(
            policy=owner_replay.SlotPolicy(slots=1)
        )
        self.book('r1', 'r2', 'r3')

    def book(self, *ids):
        for request_id in ids:
            test_cells.send(self.cell, test_cells.make_book(request_id))

    def renew(self, *ids, now=1.0):
        progress = cells.Progress(
            cell=self.cell.cell_id, bookings=(), queued=holdings(ids)
        )
        return [
            each.message for each in test_cells.send(self.cell, progress, now)
        ]

    def test_one_answer_stands_for_all_that_wait(self):
        (answer,) = self.renew('r2', 'r3')
        self.assertIsInstance(answer, cells.Queued)
        self.assertEqual(('r2', 1), (answer.request_id, answer.others))

    def test_a_lost_booked_message_is_recovered(self):
        """Guards against a call that waits until its deadline for its slot."""
        (answer,) = self.renew('r1')
        self.assertIsInstance(answer, cells.Booked)

    def test_unknown_calls_are_searched_for_anew(self):
        """Also right after a change of owner, when it collects bookings."""
        (answer,) = self.renew('r9')
        self.assertIsInstance(answer, cells.Cancelled)
        self.assertEqual('r9', answer.request_id)

    def test_renewals_extend_the_leases(self):
        """Otherwise queued calls would be forgotten after 4 s."""
        self.renew('r1', 'r2', now=1.0)
        self.assertEqual(
            [1.0, 1.0, 0.0],
            [each.renewed_at for each in self.cell.bookings_by_key.values()],
        )

    def test_bookings_that_wait_for_a_takeover_are_not_cancelled(self):
        current = takeover.Takeover(
            now=0.0, cell='cell', epoch=2, awaited=frozenset({'gw-1'})
        )
        book = parts.Received(
            now=0.1, sender='gw-1', message=test_cells.make_book('r8')
        )
        ((queued),) = current.delay_book(book)
        self.assertTrue(queued.message.takes_renewals)
        progress = cells.Progress(
            cell='cell', bookings=(), queued=holdings(['r8', 'r9'])
        )
        event = parts.Received(now=0.2, sender='gw-1', message=progress)
        left = current.without_delayed(event).message.queued
        self.assertEqual(['r9'], [each.request_id for each in left])


def holdings(ids):
    return tuple(
        cells.Holding(request_id=each, attempt_id='a1') for each in ids
    )
