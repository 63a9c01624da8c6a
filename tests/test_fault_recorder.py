"""Faults of backend servers: ejections, recoveries and their log lines."""

import unittest

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell.fault_recorder import FaultRecorder
from dandeliongw.cell import scheduler
from dandeliongw.coordination import parts
from dandeliongw import effects
from tests import test_cells


class TrustLogTest(unittest.TestCase):
    """Ejections and recoveries of a backend server are logged."""

    def setUp(self):
        self.cell = test_cells.make_cell(
            test_cells.make_backend('s1', 'plain'),
            test_cells.make_backend('s2', 'plain'),
        )

    def end(self, request_id: str, now: float, **changes) -> list:
        book = test_cells.make_book(request_id, stage=cell_types.Stage.PLAIN)
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

    def test_an_ejection_and_its_end_are_logged(self):
        (line,) = self.end('r1', 1.0, is_down=True)
        self.assertEqual('backend server distrusted', line.message)
        fields = dict(line.fields)
        self.assertEqual(self.cell.cell_id, fields['cell'])
        self.assertEqual('it took no connection', fields['why'])
        self.assertEqual('2.000', fields['left_out_s'])
        # A failing connection shows at once, so there is no slow start.
        self.assertEqual([], self.lines_of_tick(2.9))
        (back,) = self.lines_of_tick(3.1)
        self.assertEqual('backend server trusted again', back.message)
        self.assertEqual(fields['backend_id'], dict(back.fields)['backend_id'])
        self.assertEqual([], self.lines_of_tick(3.2))

    def test_a_fault_without_an_ejection_is_not_logged(self):
        self.assertEqual([], self.end('r1', 1.0))

    def lines_of_tick(self, now: float) -> list:
        return [
            effect
            for effect in test_cells.tick(self.cell, now)
            if isinstance(effect, effects.Log)
        ]


class SharedLossTest(unittest.TestCase):
    """Faults that all engines share must not eject one of them.

    The network loses four in ten answers of all engines. If one of two decode
    engines were ejected for that, and not used at all, the other one would be
    full and work would wait for seconds.
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
        recorder = FaultRecorder(cell_id='c', epoch=1, view=self.cell.view)
        for _ in range(successes):
            self.health[backend_id].add_success(1.0)
        for _ in range(faults):
            recorder.record_fault(1.0, backend_id)

    def test_a_failure_rate_that_all_share_ejects_none(self):
        self.end('d1', faults=2, successes=3)
        self.end('d2', faults=4, successes=6)
        self.assertFalse(self.health['d2'].is_ejected(1.1))

    def test_a_failure_rate_of_one_alone_ejects_it(self):
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

    def test_an_ejected_engine_that_works_in_part_is_used_if_others_are_full(
        self,
    ):
        self.end('d1', faults=0, successes=5)
        self.end('d2', faults=4, successes=6)
        found = self.booked_ids()
        self.assertEqual(['d1', 'd1'], found[:2])
        self.assertIn('d2', found)

    def test_an_ejected_engine_whose_work_all_fails_is_not_used(self):
        self.end('d1', faults=0, successes=5)
        self.end('d2', faults=4, successes=0)
        self.assertEqual({'d1'}, set(self.booked_ids()))
