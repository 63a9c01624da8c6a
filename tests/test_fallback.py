"""Entries place work by themselves while a cell's owner doesn't answer."""

import unittest

import msgspec
from nose2.tools import params

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import fallback
from dandeliongw.cell import rate_limits
from dandeliongw.cell import scheduler
from dandeliongw.coordination import parts
from dandeliongw import decisions
from dandeliongw import effects
from dandeliongw.entry import reservations
from tests import entry_fake
from tests import test_cells
from tests import test_scheduler

OWN = 'gw-0'
CELL = 'dieline-llm/tx-central/0'
TERMS = msgspec.structs.replace(
    test_scheduler.TERMS, kv_tokens_by_role={cell_types.Role.DECODE: 80_000}
)


class EntryTest(unittest.TestCase):
    """The entry's side: when it places work by itself, and when it stops."""

    def setUp(self):
        self.entry = entry_fake.Entry()
        self.entry.directory.places_alone = True

    def books(self):
        """Return the recipient and the ``unowned`` flag of each ``Book``."""
        return [(to, book.unowned) for to, book in self.entry.sent(cells.Book)]

    def silence(self):
        """Send a request and wait until its owner counts as silent."""
        request_id = self.entry.arrive('lookup')
        self.entry.tick(reservations.OWNER_TIMEOUT_S)
        return request_id

    def test_an_entry_does_not_wait_for_a_silent_owner(self):
        """Calls must not wait for the lease of a failed owner to expire.

        The owner's machine freezes, and a call arrives. No other owner may
        book until the lease has expired, so the call would wait for seconds
        although backend servers are free.
        """
        request_id = self.silence()
        self.assertEqual(self.books(), [(OWN, True)])
        lines = [
            each
            for each in self.entry.found(effects.Log)
            if each.message == decisions.OwnerSilent.message
        ]
        self.assertEqual(len(lines), 1)
        self.entry.book(request_id, OWN, epoch=0)
        self.assertEqual(self.entry.one(effects.RunCall).url, 'http://s1')

    def test_the_next_calls_do_not_wait_at_all(self):
        self.silence()
        self.entry.arrive('lookup')
        self.assertEqual(self.books(), [(OWN, True)])

    def probe(self):
        """Let a call probe the silent owner; return its ``Book``."""
        self.silence()
        self.entry.now += reservations.PROBE_S
        self.entry.arrive('lookup')
        return self.entry.sent(cells.Book)[0][1]

    def test_some_calls_probe_the_silent_owner(self):
        """A call that probes the owner must not wait for its answer.

        Twice a second a call is also sent to the silent owner. If it were
        placed only after the owner's timeout, a third of the calls would be
        late while the owner is silent.
        """
        probe = self.probe()
        self.assertEqual(
            self.books(), [(entry_fake.OWNER, False), (OWN, True)]
        )
        ((to, given_back),) = self.entry.sent(cells.Release)
        self.assertEqual(
            (to, given_back.attempt_id), (entry_fake.OWNER, probe.attempt_id)
        )
        self.entry.arrive('lookup')
        self.assertEqual(self.books(), [(OWN, True)])

    def test_an_owner_that_answers_gets_the_next_calls(self):
        probe = self.probe()
        booked = self.entry.booked(
            probe.request_id, attempt_id=probe.attempt_id
        )
        self.entry.receive(booked)
        ((to, given_back),) = self.entry.sent(cells.Release)
        self.assertEqual(
            (to, given_back.attempt_id), (entry_fake.OWNER, probe.attempt_id)
        )
        self.entry.arrive('lookup')
        self.assertEqual(self.books(), [(entry_fake.OWNER, False)])

    def test_a_late_answer_of_the_entry_itself_is_not_the_owners(self):
        probe = self.probe()
        booked = self.entry.booked(
            probe.request_id, attempt_id=probe.attempt_id
        )
        self.entry.receive(booked, sender=OWN)
        self.entry.arrive('lookup')
        self.assertEqual(self.books(), [(OWN, True)])

    def test_a_call_leaves_the_queue_of_a_silent_owner(self):
        """Otherwise queued calls would wait until their clients give up."""
        request_id = self.entry.arrive('completion')
        queued = cells.Queued(
            **self.entry.ids_of(request_id), epoch=1, expected_in_s=0.5
        )
        self.entry.receive(queued)
        self.entry.tick(reservations.QUEUE_TIMEOUT_S)
        self.assertEqual(self.books(), [(OWN, True)])

    def test_the_end_of_a_reclaimed_call_is_sent_to_both(self):
        """The release of a call goes to the new owner and the entry itself.

        An entry places a call by itself, and a new owner takes it over. If
        only the new owner got the release, the entry's own share would shrink
        with each silent owner.
        """
        request_id = self.silence()
        self.entry.book(request_id, OWN, epoch=0)
        self.entry.receive(
            cells.Cancelled(**self.entry.ids_of(request_id), epoch=5),
            entry_fake.NEXT_OWNER,
        )
        self.entry.requests.reclaim_all(
            self.entry.now, entry_fake.CELL, entry_fake.NEXT_OWNER, 5
        )
        self.entry.answer(request_id)
        to = [each for each, _ in self.entry.sent(cells.Release)]
        self.assertEqual(to, [entry_fake.NEXT_OWNER, OWN])

    def test_without_the_setting_the_next_owner_is_asked(self):
        self.entry.directory.places_alone = False
        self.entry.arrive('lookup')
        for _ in range(2):
            self.entry.tick(reservations.OWNER_RETRY_S)
        self.assertEqual(self.books(), [(entry_fake.NEXT_OWNER, False)])


class FallbackCellsTest(unittest.TestCase):
    """The placing side: a share of every backend server, and no cancels."""

    def setUp(self):
        self.entries = 4
        self.backends = (
            test_cells.make_backend('p1', 'prefill', slots=8),
            test_cells.make_backend('d1', 'decode', slots=8),
        )
        self.fallback_cells = fallback.FallbackCells(
            terms_of=lambda cell: TERMS,
            backends_of=lambda now, cell: self.backends,
            entries=lambda: self.entries,
            make_policy=scheduler.Scheduler,
            rate_limits=fallback.make_rate_limits(OWN, lambda: self.entries),
        )

    def book(self, request_id):
        book = test_cells.make_book(request_id, unowned=True)
        return self.handle(book)

    def handle(self, message, now=1.0):
        out = self.fallback_cells.receive(
            parts.Received(now=now, sender=OWN, message=message)
        )
        return [each.message for each in out]

    def test_no_more_than_its_share_is_placed(self):
        """An entry uses only its share of the capacity.

        If each entry used all of it, engines would be overloaded while the
        owner doesn't answer.
        """
        booked = [self.book(f'r{number}') for number in range(3)]
        kinds = [type(each[0]) for each in booked]
        self.assertEqual(kinds[:2], [cells.Booked, cells.Queued])
        self.assertEqual(booked[0][0].decode_id, 'd1')
        used = self.fallback_cells.cells_by_id[CELL].view.backends_by_id['d1']
        self.assertEqual(used.backend.slots, 2)

    @params(1, 4, 8)
    def test_memory_is_shared_as_well(self, entries):
        self.entries = entries
        self.book('r1')
        shared = self.fallback_cells.cells_by_id[
            CELL
        ].view.terms.kv_tokens_by_role
        self.assertEqual(shared, {cell_types.Role.DECODE: 80_000 // entries})

    def test_a_prompt_larger_than_its_share_is_placed_if_an_engine_holds_it(
        self,
    ):
        for prompt_tokens, answer in (
            (80_000, cells.Booked),
            (80_001, cells.Declined),
        ):
            book = test_cells.make_book(
                f'r{prompt_tokens}', prompt_tokens=prompt_tokens, unowned=True
            )
            self.fallback_cells.cells_by_id.clear()
            (answered,) = self.handle(book)
            self.assertIsInstance(answered, answer)

    def test_a_release_frees_the_slot(self):
        self.book('r1')
        self.assertTrue(self.fallback_cells.holds(CELL, ('r1', 'a1')))
        release = cells.Release(
            cell=CELL,
            request_id='r1',
            attempt_id='a1',
            outcome=cells.Outcome.FAILED,
        )
        # An owner would also send cancels to the engines.
        self.assertEqual(self.handle(release), [])
        self.assertFalse(self.fallback_cells.holds(CELL, ('r1', 'a1')))

    def test_a_failed_call_leaves_its_slot_beside_other_work(self):
        """No cancel is sent here, so none that is unconfirmed holds a slot."""
        self.book('r1')
        ids = {'cell': CELL, 'attempt_id': 'a1'}
        self.handle(
            cells.PrefillDone(
                request_id='r1', tokens=1000, cached_tokens=0, **ids
            )
        )
        for number in range(4):
            request_id = f'failed-{number}'
            (booked,) = self.book(request_id)
            self.assertIsInstance(booked, cells.Booked)
            self.handle(
                cells.Release(
                    request_id=request_id,
                    outcome=cells.Outcome.FAILED,
                    **ids,
                )
            )

    def test_a_cell_without_bookings_is_dropped(self):
        self.book('r1')
        later = parts.Ticked(now=1.0 + cells.BOOKING_LEASE_S, entropy=0)
        self.fallback_cells.tick(later)
        self.assertEqual(self.fallback_cells.cells_by_id, {})


class RateLimitTest(unittest.TestCase):
    """Guards against a limited server that all entries use at one time."""

    COUNT = 12
    BACKEND = test_cells.make_backend('s1', 'plain', slots=24)

    def setUp(self):
        limit = rate_limits.RateLimit(
            backend_id='s1', incarnation=1, per_s=2.0
        )
        self.entries = []
        for number in range(self.COUNT):
            limits = fallback.make_rate_limits(
                f'gw-{number}', lambda: self.COUNT
            )
            limits.record(0.0, limit)
            self.entries.append(
                fallback.FallbackCells(
                    terms_of=lambda cell: TERMS,
                    backends_of=lambda now, cell: (self.BACKEND,),
                    entries=lambda: self.COUNT,
                    make_policy=scheduler.Scheduler,
                    rate_limits=limits,
                )
            )

    def booked(self, now):
        """Return how many entries book when each wants to."""
        out = [
            effect.message
            for number, entry in enumerate(self.entries)
            for effect in entry.receive(
                parts.Received(
                    now=now,
                    sender=OWN,
                    message=test_cells.make_book(
                        f'r{number}-{now}', stage='plain', unowned=True
                    ),
                )
            )
        ]
        return sum(isinstance(each, cells.Booked) for each in out)

    def test_nothing_is_saved_up_while_the_owner_places(self):
        self.assertEqual(self.booked(60.0), 0)
        booked = sum(self.booked(60.0 + step * 0.5) for step in range(1, 25))
        self.assertLessEqual(booked, 0.5 * 2.0 * 12.0 + 2)
        self.assertGreaterEqual(booked, 0.5 * 2.0 * 12.0 - 4)
