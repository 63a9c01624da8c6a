"""Work goes on while a cell's owner is silent: reducers, time passed in."""

import unittest

import msgspec
from nose2.tools import params

from dandeliongw.cell import cells
from dandeliongw.cell import scheduler
from dandeliongw.cell import stand_in
from dandeliongw.cell import vocabulary
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
    test_scheduler.TERMS, kv_tokens_by_role={vocabulary.Role.DECODE: 80_000}
)


class EntryTest(unittest.TestCase):
    """The entry's side: when it places by itself, and when no more."""

    def setUp(self):
        self.entry = entry_fake.Entry()
        self.entry.directory.places_alone = True

    def books(self):
        """Return who is asked to book, and whether by itself."""
        return [(to, book.unowned) for to, book in self.entry.sent(cells.Book)]

    def silence(self):
        """Let a request find out that the owner is silent."""
        request_id = self.entry.arrive('lookup')
        self.entry.tick(reservations.OWNER_SILENT_S)
        return request_id

    def test_a_silent_owner_is_not_waited_for(self):
        """Symptom: calls are held for seconds with backend servers free.

        Sequence: the owner's machine freezes; a call arrives.
        Cause: nobody else may book until its lease has run out.
        """
        request_id = self.silence()
        self.assertEqual(self.books(), [(OWN, True)])
        told = [
            each
            for each in self.entry.found(effects.Log)
            if each.message == decisions.OwnerSilent.message
        ]
        self.assertEqual(len(told), 1)
        self.entry.book(request_id, OWN, epoch=0)
        self.assertEqual(self.entry.one(effects.RunCall).url, 'http://s1')

    def test_the_next_calls_do_not_wait_at_all(self):
        self.silence()
        self.entry.arrive('lookup')
        self.assertEqual(self.books(), [(OWN, True)])

    def probe(self):
        """Let a call try the owner; return what was asked of that."""
        self.silence()
        self.entry.now += reservations.PROBE_S
        self.entry.arrive('lookup')
        return self.entry.sent(cells.Book)[0][1]

    def test_one_call_in_a_while_tries_the_owner(self):
        """Symptom: while an owner is silent a third of the calls is late.

        Sequence: twice a second a call asks the owner, and waits in vain.
        Cause: that call was placed only once the owner was found silent.
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

    def test_an_owner_that_answers_places_again(self):
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

    def test_its_own_late_answer_is_not_the_owner_s(self):
        probe = self.probe()
        booked = self.entry.booked(
            probe.request_id, attempt_id=probe.attempt_id
        )
        self.entry.receive(booked, sender=OWN)
        self.entry.arrive('lookup')
        self.assertEqual(self.books(), [(OWN, True)])

    def test_a_queue_whose_owner_dies_is_left(self):
        """Symptom: queued calls wait until their callers leave."""
        request_id = self.entry.arrive('completion')
        queued = cells.Queued(
            **self.entry.ids_of(request_id), epoch=1, expected_in_s=0.5
        )
        self.entry.receive(queued)
        self.entry.tick(reservations.QUEUE_TIMEOUT_S)
        self.assertEqual(self.books(), [(OWN, True)])

    def test_what_a_new_owner_took_over_is_given_back_to_both(self):
        """Symptom: this entry's share shrinks with each silent owner.

        Sequence: it places a call by itself; a new owner takes the call
        over; the call ends.
        Cause: only the new owner would hear of the end.
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
            self.entry.tick(reservations.OWNER_ANSWER_S)
        self.assertEqual(self.books(), [(entry_fake.NEXT_OWNER, False)])


class StandInsTest(unittest.TestCase):
    """The placing side: a share of every backend server, and no orders."""

    def setUp(self):
        self.entries = 4
        self.backends = (
            test_cells.make_backend('p1', 'prefill', slots=8),
            test_cells.make_backend('d1', 'decode', slots=8),
        )
        self.part = stand_in.StandIns(
            terms_of=lambda cell: TERMS,
            backends_of=lambda now, cell: self.backends,
            entries=lambda: self.entries,
            make_policy=scheduler.Scheduler,
        )

    def book(self, request_id):
        book = test_cells.make_book(request_id, unowned=True)
        return self.handle(book)

    def handle(self, message, now=1.0):
        out = self.part.receive(
            parts.Received(now=now, sender=OWN, message=message)
        )
        return [each.message for each in out]

    def test_no_more_than_its_share_is_placed(self):
        """Symptom: engines are overrun for as long as an owner is away.

        Cause: each entry would count on all that there is.
        """
        booked = [self.book(f'r{number}') for number in range(3)]
        kinds = [type(each[0]) for each in booked]
        self.assertEqual(kinds[:2], [cells.Booked, cells.Queued])
        self.assertEqual(booked[0][0].decode_id, 'd1')
        used = self.part.cells_by_id[CELL].view.backends_by_id['d1']
        self.assertEqual(used.backend.slots, 2)

    @params(1, 4, 8)
    def test_memory_is_shared_as_well(self, entries):
        self.entries = entries
        self.book('r1')
        shared = self.part.cells_by_id[CELL].view.terms.kv_tokens_by_role
        self.assertEqual(shared, {vocabulary.Role.DECODE: 80_000 // entries})

    def test_an_end_gives_its_place_back(self):
        self.book('r1')
        self.assertTrue(self.part.holds(CELL, ('r1', 'a1')))
        release = cells.Release(
            cell=CELL,
            request_id='r1',
            attempt_id='a1',
            outcome=cells.Outcome.FAILED,
        )
        # An owner would order the engines to free what they hold.
        self.assertEqual(self.handle(release), [])
        self.assertFalse(self.part.holds(CELL, ('r1', 'a1')))

    def test_a_cell_is_forgotten_once_it_holds_nothing(self):
        self.book('r1')
        later = parts.Ticked(now=1.0 + cells.BOOKING_LEASE_S, entropy=0)
        self.part.tick(later)
        self.assertEqual(self.part.cells_by_id, {})
