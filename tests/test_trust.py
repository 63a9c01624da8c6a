"""Whom an owner distrusts is told, and when that is over."""

import unittest

from dandeliongw.cell import cells
from dandeliongw.cell import policy
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
        book = test_cells.make_book(request_id, stage=policy.Stage.PLAIN)
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
        self.assertEqual([], self.lines_of_tick(4.0))
        (back,) = self.lines_of_tick(8.0)
        self.assertEqual('backend server trusted again', back.message)
        self.assertEqual(fields['backend_id'], dict(back.fields)['backend_id'])
        self.assertEqual([], self.lines_of_tick(8.1))

    def test_a_fault_that_changes_nothing_is_not_told(self):
        self.assertEqual([], self.end('r1', 1.0))

    def lines_of_tick(self, now: float) -> list:
        return [
            effect
            for effect in test_cells.tick(self.cell, now)
            if isinstance(effect, effects.Log)
        ]
