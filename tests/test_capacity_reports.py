"""Metrics and log lines on the binding resource of owned cells."""

import unittest

from dandeliongw.cell import capacity
from dandeliongw.cell import capacity_reports
from dandeliongw import metrics
from tests import test_capacity_shares


class _Policy:
    found: capacity.Resource | None = None

    def binding(self, *, now, view):
        return self.found


class CapacityReportsTest(unittest.TestCase):
    def setUp(self):
        self.policy = _Policy()
        self.cell = test_capacity_shares.make_cell()
        self.cell.policy = self.policy
        self.reports = capacity_reports.CapacityReports()

    def update(self, now, found):
        self.policy.found = found
        cells_by_id = {self.cell.cell_id: self.cell}
        lines = self.reports.update(now, cells_by_id)
        return [dict(line.fields)['resource'] for line in lines]

    def test_changes_are_logged_at_most_once_in_10_s(self):
        """A resource near its bound may bind and not bind in turns."""
        memory = capacity.Resource.KV_MEMORY
        self.assertEqual([], self.update(0.0, None))
        self.assertEqual(['kv_memory'], self.update(1.0, memory))
        for now in range(2, 10):
            self.assertEqual([], self.update(float(now), None))
        self.assertEqual(['none'], self.update(11.0, None))

    def test_metrics_have_each_resource_of_owned_cells_only(self):
        exported = metrics.Metrics()
        exported.binding_resource.set_callback(self.reports.binding_by_label)
        exported.resource_used.set_callback(self.reports.used_by_label)
        self.update(0.0, capacity.Resource.PREFILL)
        labels = {'cell': self.cell.cell_id, 'resource': 'prefill'}
        self.assertEqual(1, exported.value('binding_resource', **labels))
        self.assertEqual(0, exported.value('resource_used_ratio', **labels))
        labels['resource'] = 'kv_memory'
        self.assertEqual(0, exported.value('binding_resource', **labels))
        self.reports.update(1.0, {})
        self.assertNotIn('kv_memory', exported.render().decode())
