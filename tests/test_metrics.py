"""Every reason has a counter from the start; registries are separate."""

import unittest

from nose2.tools import params

from dandeliongw import metrics
from dandeliongw import verdict
from dandeliongw import waste


class MetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = metrics.Metrics()

    @params(
        ('answers', 'verdict', verdict.Verdict),
        ('refusals', 'reason', verdict.RefusalReason),
        ('retries', 'reason', verdict.RetryReason),
        ('wasted_prefill_tokens', 'reason', waste.WasteReason),
    )
    def test_every_value_is_there_at_zero(self, name, label, values):
        text = self.metrics.render().decode()
        for value in values:
            sample = f'dandeliongw_{name}_total{{{label}="{value}"}} 0.0'
            self.assertIn(sample, text.splitlines())

    def test_a_refusal_is_an_answer_too(self):
        self.metrics.count_refusal(
            verdict.Refusal(
                reason=verdict.RefusalReason.NO_CAPACITY,
                verdict=verdict.Verdict.NOT_RUN,
                message='full',
            )
        )
        value = self.metrics.value
        self.assertEqual(1, value('refusals_total', reason='no_capacity'))
        self.assertEqual(1, value('answers_total', verdict='not_run'))

    def test_two_instances_in_one_process_count_apart(self):
        self.metrics.count_retry(verdict.RetryReason.KV_EVICTED)
        other = metrics.Metrics()
        name = 'retries_total'
        self.assertEqual(1, self.metrics.value(name, reason='kv_evicted'))
        self.assertEqual(0, other.value(name, reason='kv_evicted'))

    def test_a_pool_that_went_leaves_no_slots_behind(self):
        self.metrics.set_pool('a', backends=2, slots=40, used=3, queue=1)
        self.assertEqual(40, self.metrics.value('slots', pool='a'))
        self.metrics.forget_pool('a')
        self.metrics.forget_pool('never-set')
        self.assertNotIn('pool="a"', self.metrics.render().decode())

    def test_histograms_hold_the_targets_as_bounds(self):
        self.metrics.observe_first_token('dieline-llm', 0.55)
        self.metrics.observe_token_gap('dieline-llm', 0.035)
        text = self.metrics.render().decode()
        service = 'service="dieline-llm"'
        self.assertIn(f'{{le="0.55",{service}}} 1.0', text)
        self.assertIn(f'{{le="0.034",{service}}} 0.0', text)
