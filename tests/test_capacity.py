"""The capacity tool: fits, calculated costs and a run at small sizes."""

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
    def test_points_on_a_line_give_that_line(self) -> None:
        line = capacity_fits.fit(
            'x', unit='B', per='y', points=[(1, 12), (2, 14), (4, 18)]
        )
        self.assertAlmostEqual(2, line.slope)
        self.assertAlmostEqual(10, line.intercept)
        self.assertAlmostEqual(0, line.residual)
        self.assertAlmostEqual(710, line.at(350))

    def test_a_curve_has_a_residual(self) -> None:
        line = capacity_fits.fit(
            'x', unit='B', per='y', points=[(0, 0), (1, 10), (2, 10)]
        )
        self.assertGreater(line.residual, 0.1)


class AimTest(unittest.TestCase):
    @params((None, 12), (32, 41), (1000, 12))
    def test_cells_are_never_fewer_than_services_by_region(
        self, cell_size: int | None, cells: int
    ) -> None:
        scale = capacity_model.TargetScale(cell_size=cell_size)
        self.assertEqual(cells, scale.cells)

    def test_means_are_derived_from_the_rates(self) -> None:
        scale = capacity_model.TargetScale()
        self.assertAlmostEqual(1964, scale.prompt_tokens, delta=1)
        self.assertAlmostEqual(13.4, scale.held_s, delta=0.1)


class RunTest(unittest.TestCase):
    """All tests use the same run at small sizes."""

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

    def test_a_change_sends_the_full_document(self) -> None:
        line = self.fits_by_name['change bytes at an entry']
        # Each account has a digest of 32 bytes, which can't be compressed.
        self.assertGreater(line.slope, 32)

    def test_every_cost_has_its_fit(self) -> None:
        model = capacity_model.Model(
            fits_by_name=self.fits_by_name,
            process_us_per_s=1.0,
            message_us=2.0,
            process_bytes=3.0,
            renewal_us=4.0,
        )
        costs = model.costs(capacity_model.TargetScale())
        self.assertEqual(3.0, costs[0].memory_bytes)
        self.assertTrue(all(each.bytes_per_s >= 0 for each in costs))
        lines = [each.as_line() | {'variant': 'whole'} for each in costs]
        table = capacity_page._costs(lines, 'whole')
        self.assertEqual(len(costs) + 2, len(table.splitlines()))


class ProcessTest(unittest.TestCase):
    def test_figures_of_a_process_are_read_from_proc(self) -> None:
        read = capacity_processes._read([os.getpid()], set())[os.getpid()]
        self.assertGreater(read.cpu_s, 0)
        self.assertGreater(read.rss_bytes, 2**20)
        self.assertIn(read.peer_bytes, (0, None))


class PageTest(unittest.TestCase):
    @params((3072, '3,070'), (3073, '**3,070**'))
    def test_values_above_a_limit_are_bold(self, value, shown) -> None:
        self.assertEqual(shown, capacity_page._bold_if_above(value, 3072))
