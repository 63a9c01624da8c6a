"""The capacity tool: its lines, its bills, and that it runs at all."""

import os
import unittest

from nose2.tools import params

from tools import capacity_common
from tools import capacity_fits
from tools import capacity_model
from tools import capacity_page
from tools import capacity_processes
from tools import capacity_runs


class FitTest(unittest.TestCase):
    def test_points_on_a_line_give_the_line(self) -> None:
        line = capacity_fits.fit(
            'x', unit='B', per='y', points=[(1, 12), (2, 14), (4, 18)]
        )
        self.assertAlmostEqual(2, line.slope)
        self.assertAlmostEqual(10, line.intercept)
        self.assertAlmostEqual(0, line.residual)
        self.assertAlmostEqual(710, line.at(350))

    def test_a_bend_shows_as_a_residual(self) -> None:
        line = capacity_fits.fit(
            'x', unit='B', per='y', points=[(0, 0), (1, 10), (2, 10)]
        )
        self.assertGreater(line.residual, 0.1)


class AimTest(unittest.TestCase):
    @params((None, 12), (32, 41), (1000, 12))
    def test_cells_are_never_fewer_than_services_by_region(
        self, cell_size: int | None, cells: int
    ) -> None:
        aim = capacity_model.Aim(cell_size=cell_size)
        self.assertEqual(cells, aim.cells)

    def test_means_follow_from_the_rates(self) -> None:
        aim = capacity_model.Aim()
        self.assertAlmostEqual(1964, aim.prompt_tokens, delta=1)
        self.assertAlmostEqual(13.4, aim.held_s, delta=0.1)


class RunTest(unittest.TestCase):
    """One run at small sizes, for all tests."""

    @classmethod
    def setUpClass(cls) -> None:
        found = capacity_runs.all_fits(capacity_common.QUICK)
        cls.fits_by_name = {each.name: each for each in found}

    def test_a_request_costs_its_owner_four_messages(self) -> None:
        line = self.fits_by_name['request messages at the owner']
        self.assertAlmostEqual(4, line.slope, delta=0.01)

    def test_each_claim_costs_the_same(self) -> None:
        line = self.fits_by_name['claim bytes at a voter']
        self.assertLess(line.residual, 0.01)
        self.assertGreater(line.slope, 100)

    def test_the_document_travels_whole(self) -> None:
        line = self.fits_by_name['change bytes at an entry']
        # Of each account 32 bytes are a digest, which can't be packed.
        self.assertGreater(line.slope, 32)

    def test_every_line_of_the_bill_has_its_slope(self) -> None:
        model = capacity_model.Model(
            fits_by_name=self.fits_by_name,
            process_us_per_s=1.0,
            message_us=2.0,
            process_bytes=3.0,
            renewal_us=4.0,
        )
        bill = model.bill(capacity_model.Aim())
        self.assertEqual(3.0, bill[0].memory_bytes)
        self.assertTrue(all(each.bytes_per_s >= 0 for each in bill))
        lines = [each.as_line() | {'variant': 'whole'} for each in bill]
        table = capacity_page._costs(lines, 'whole')
        self.assertEqual(len(bill) + 2, len(table.splitlines()))


class ProcessTest(unittest.TestCase):
    def test_a_process_is_read_from_proc(self) -> None:
        read = capacity_processes._read([os.getpid()], set())[os.getpid()]
        self.assertGreater(read.cpu_s, 0)
        self.assertGreater(read.rss_bytes, 2**20)
        self.assertIn(read.peer_bytes, (0, None))


class PageTest(unittest.TestCase):
    @params((3072, '3,070'), (3073, '**3,070**'))
    def test_what_exceeds_a_limit_is_bold(self, value, shown) -> None:
        self.assertEqual(shown, capacity_page._marked(value, 3072))
