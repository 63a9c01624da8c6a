"""Measurements of policies: repeatable runs and correct figures."""

import dataclasses
import json
import unittest

from nose2.tools import params

from dandeliongw.cell import options
from tools import faults
from tools import measure
from tools import plots
from tools import workloads

SHORT = {'at_load': 0.8, 'duration_s': 15.0}


def run(name: str, deployment=workloads.BRAZOS, **changes):
    factory = measure.all_policies(deployment)[name]
    return measure.measure(deployment, factory, **(SHORT | changes))


class MeasureTest(unittest.TestCase):
    def test_equal_runs_give_equal_figures(self):
        first, second = (
            json.dumps(run(measure.CURRENT).figures()) for _ in range(2)
        )
        self.assertEqual(first, second)

    def test_all_policies_get_the_same_requests(self):
        offered = {
            run(name).counts['offered']
            for name in ('round-robin-8', 'v1-slots', measure.CURRENT)
        }
        self.assertEqual(1, len(offered))

    def test_capacity_is_the_least_of_the_three_resources(self):
        slow_link = dataclasses.replace(
            workloads.BRAZOS.speeds, link_bytes_per_s=2e8
        )
        tight = dataclasses.replace(workloads.BRAZOS, speeds=slow_link)
        ratio = workloads.capacity(tight) / workloads.capacity(
            workloads.BRAZOS
        )
        self.assertLess(ratio, 0.2)

    def test_the_current_policy_beats_plain_routers_above_capacity(self):
        names = (measure.CURRENT, 'round-robin-3', 'least-reported-3')
        ours, *plain = (
            run(name, at_load=1.2, duration_s=40.0).goodput for name in names
        )
        self.assertGreater(ours, 1.2 * max(plain))


class VersionsTest(unittest.TestCase):
    def test_the_last_version_is_the_current_policy(self):
        """The figures of old versions must not change with new options.

        They did when a version was defined by the options that it lacks,
        since it then had all options that were added later.
        """
        versions = measure.versions()
        self.assertEqual(options.Options(), versions[measure.CURRENT])
        self.assertFalse(versions['v1-slots'].links)


class FaultTest(unittest.TestCase):
    """No fault may cause a double, short or missing answer.

    Each fault of tools.faults is injected into a run under load.
    """

    @params(*faults.FAULTS_BY_NAME)
    def test_every_call_gets_one_complete_answer(self, name):
        result = run(
            measure.CURRENT,
            duration_s=28.0,
            inject_fault=faults.FAULTS_BY_NAME[name],
            leaving=0.05,
        )
        wrong = {
            count: result.counts[count]
            for count in (
                'double',
                'lost',
                'short',
                'streams_held',
                'bookings_held',
            )
            if result.counts[count]
        }
        self.assertEqual({}, wrong)
        self.assertGreater(result.counts['good'], 100)


class PlotsTest(unittest.TestCase):
    def test_only_the_best_limit_of_a_router_is_plotted(self):
        lines = [
            {'policy': policy, 'load': 1.0, 'goodput': goodput}
            for policy, goodput in (('rr-2', 3.0), ('rr-8', 5.0), ('v1', 4.0))
        ]
        points = plots.series(lines, lambda line: line['goodput'])
        self.assertEqual({'rr': [(1.0, 5.0)], 'v1': [(1.0, 4.0)]}, points)
