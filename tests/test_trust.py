"""Whom an owner distrusts is told, and when that is over."""

import unittest

from dandeliongw.cell import cells
from dandeliongw.cell import scheduler
from dandeliongw.cell.trust import Trust
from dandeliongw.cell import vocabulary
from dandeliongw.coordination import parts
from dandeliongw import effects
from tests import test_cells


class TrustLinesTest(unittest.TestCase):
    """What the owner believes of a backend server can be read afterwards."""

    def setUp(self):
        self.cell = test_cells.make_cell(
            test_cells.make_backend('s1', 'plain'),
            test_cells.make_backend('s2', 'plain'),
        )

    def end(self, request_id: str, now: float, **changes) -> list:
        book = test_cells.make_book(request_id, stage=vocabulary.Stage.PLAIN)
        (booked,) = test_cells.send(self.cell, book, now)
        release = cells.Release(
            cell=self.cell.cell_id,
            request_id=request_id,
            attempt_id=book.attempt_id,
            **{
                'outcome': cells.Outcome.FAILED,
                'backend_fault': booked.message.plain_id,
                **changes,
            },
        )
        return [
            effect
            for effect in test_cells.send(self.cell, release, now)
            if isinstance(effect, effects.Log)
        ]

    def test_it_is_told_who_is_left_out_and_who_is_back(self):
        (told,) = self.end('r1', 1.0, is_down=True)
        self.assertEqual('backend server distrusted', told.message)
        fields = dict(told.fields)
        self.assertEqual(self.cell.cell_id, fields['cell'])
        self.assertEqual('it took no connection', fields['why'])
        self.assertEqual('2.000', fields['left_out_s'])
        # Connections that fail show at once, so there is no ramp.
        self.assertEqual([], self.lines_of_tick(2.9))
        (back,) = self.lines_of_tick(3.1)
        self.assertEqual('backend server trusted again', back.message)
        self.assertEqual(fields['backend_id'], dict(back.fields)['backend_id'])
        self.assertEqual([], self.lines_of_tick(3.2))

    def test_a_fault_that_changes_nothing_is_not_told(self):
        self.assertEqual([], self.end('r1', 1.0))

    def lines_of_tick(self, now: float) -> list:
        return [
            effect
            for effect in test_cells.tick(self.cell, now)
            if isinstance(effect, effects.Log)
        ]


class SharedLossTest(unittest.TestCase):
    """Symptom: work waits for seconds beside an engine that is nearly idle.

    Sequence: four in ten answers are lost on their way, whoever sends them;
    one of two decode engines is left out for it, and the other one fills.
    Cause: each was judged alone, and a place that works six times in ten
    counted for nothing though no other was left.
    """

    def setUp(self):
        self.cell = test_cells.make_cell(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode', slots=2),
            test_cells.make_backend('d2', 'decode', slots=2),
            policy=scheduler.Scheduler(),
        )
        self.health = {
            backend_id: state.health
            for backend_id, state in self.cell.view.backends_by_id.items()
        }

    def end(self, backend_id, *, faults, successes):
        trust = Trust(cell_id='c', epoch=1, view=self.cell.view)
        for _ in range(successes):
            self.health[backend_id].add_success(1.0)
        for _ in range(faults):
            trust.blame(1.0, backend_id)

    def test_what_all_lose_is_held_against_nobody(self):
        self.end('d1', faults=2, successes=3)
        self.end('d2', faults=4, successes=6)
        self.assertFalse(self.health['d2'].is_ejected(1.1))

    def test_what_one_loses_alone_is(self):
        self.end('d1', faults=0, successes=5)
        self.end('d2', faults=4, successes=6)
        self.assertTrue(self.health['d2'].is_ejected(1.1))

    def booked_ids(self):
        found = [
            effect.message.decode_id
            for number in range(4)
            for effect in test_cells.send(
                self.cell, test_cells.make_book(f'r{number}'), 1.5
            )
            if isinstance(effect.message, cells.Booked)
        ]
        for number in range(4):
            done = cells.PrefillDone(
                cell=self.cell.cell_id,
                request_id=f'r{number}',
                attempt_id='a1',
                tokens=1000,
                cached_tokens=0,
            )
            found += [
                effect.message.decode_id
                for effect in test_cells.send(self.cell, done, 1.6)
                if isinstance(effect, parts.Send)
                and isinstance(effect.message, cells.Booked)
            ]
        return found

    def test_one_that_works_in_part_serves_where_no_other_has_room(self):
        self.end('d1', faults=0, successes=5)
        self.end('d2', faults=4, successes=6)
        found = self.booked_ids()
        self.assertEqual(['d1', 'd1'], found[:2])
        self.assertIn('d2', found)

    def test_one_whose_work_all_fails_does_not(self):
        self.end('d1', faults=0, successes=5)
        self.end('d2', faults=4, successes=0)
        self.assertEqual({'d1'}, set(self.booked_ids()))
