"""Metrics: initial zeros, watched values and separate registries."""

import asyncio
import collections
import unittest

from nose2.tools import params

from dandeliongw.cell import orders
from dandeliongw.coordination import lease_messages
from dandeliongw.coordination import rates
from dandeliongw import effects
from dandeliongw.entry import waste
from dandeliongw import envelopes
from dandeliongw import metrics
from dandeliongw import peers
from dandeliongw import server
from dandeliongw import verdict
from dandeliongw import wire
from tests import network
from tests import operators_fake


class MetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = metrics.Metrics()

    @params(
        ('answers', 'verdict', verdict.Verdict),
        ('refusals', 'reason', verdict.RefusalReason),
        ('retries', 'reason', verdict.RetryReason),
        ('wasted_prefill_tokens', 'reason', waste.WasteReason),
        ('peer_drops', 'reason', envelopes.DropReason),
        ('peer_faults', 'reason', peers.FaultReason),
        ('orders_held_back', 'reason', orders.HoldReason),
        ('account_charges', 'outcome', rates.ChargeOutcome),
    )
    def test_every_label_value_starts_at_zero(self, name, label, values):
        text = self.metrics.render().decode()
        for value in values:
            sample = f'dandeliongw_{name}_total{{{label}="{value}"}} 0.0'
            self.assertIn(sample, text.splitlines())

    def test_a_refusal_counts_as_an_answer_too(self):
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

    def test_every_lease_answer_starts_at_zero(self):
        text = self.metrics.render().decode().splitlines()
        for outcome in lease_messages.LeaseOutcome:
            label = f'outcome="{outcome.name.lower()}"'
            sample = f'dandeliongw_lease_answers_total{{{label}}} 0.0'
            self.assertIn(sample, text)
        self.assertIn('dandeliongw_order_repeats_total 0.0', text)

    def test_a_watched_counter_exports_the_current_count(self):
        counts = collections.Counter()
        self.metrics.peer_drops.set_callback(lambda: counts)
        counts[envelopes.DropReason.QUEUE_FULL] += 2
        value = self.metrics.value
        self.assertEqual(2, value('peer_drops_total', reason='queue_full'))
        counts[envelopes.DropReason.QUEUE_FULL] += 1
        self.assertEqual(3, value('peer_drops_total', reason='queue_full'))
        self.assertEqual(0, value('peer_drops_total', reason='expired'))
        self.assertEqual(0, counts[envelopes.DropReason.EXPIRED])

    def test_two_instances_in_one_process_count_separately(self):
        self.metrics.count_retry(verdict.RetryReason.KV_EVICTED)
        other = metrics.Metrics()
        name = 'retries_total'
        self.assertEqual(1, self.metrics.value(name, reason='kv_evicted'))
        self.assertEqual(0, other.value(name, reason='kv_evicted'))

    def test_a_removed_pool_has_no_gauges(self):
        self.metrics.set_pool(
            'a', backends=2, limited=1, slots=40, used=3, queue=1
        )
        self.assertEqual(40, self.metrics.value('slots', pool='a'))
        self.assertEqual(
            1, self.metrics.value('rate_limited_backends', pool='a')
        )
        self.metrics.remove_pool('a')
        self.metrics.remove_pool('never-set')
        self.assertNotIn('pool="a"', self.metrics.render().decode())

    def test_stages_of_a_request_are_labelled(self):
        took = effects.PhaseDuration(
            phase=effects.RequestPhase.QUEUE,
            service='dieline-llm',
            seconds=0.3,
        )
        self.metrics.observe_phase(took)
        value = self.metrics.value
        labels = {'service': 'dieline-llm', 'part': 'queue'}
        self.assertEqual(1, value('part_seconds_count', **labels))
        self.assertEqual(0.3, value('part_seconds_sum', **labels))

    def test_a_watched_gauge_drops_removed_values(self):
        epochs = {'a/x/0': 3}
        self.metrics.lease_epoch.set_callback(lambda: epochs)
        self.assertEqual(3, self.metrics.value('lease_epoch', cell='a/x/0'))
        del epochs['a/x/0']
        self.assertNotIn('a/x/0', self.metrics.render().decode())

    def test_latency_targets_are_bucket_bounds(self):
        self.metrics.observe_first_token('dieline-llm', 0.55)
        self.metrics.observe_token_gap('dieline-llm', 0.035)
        text = self.metrics.render().decode()
        service = 'service="dieline-llm"'
        self.assertIn(f'{{le="0.55",{service}}} 1.0', text)
        self.assertIn(f'{{le="0.034",{service}}} 0.0', text)

    def test_gauges_are_in_the_first_kilobyte(self):
        """The age of the configuration survives a truncated scrape.

        A monitor may store only the first 4 KB. If ``_created`` samples took
        half of them and the gauges came after all counters, no stored scrape
        would have the age.
        """
        page = self.metrics.render().decode()
        self.assertLess(page.index('configuration_age_seconds '), 1024)
        self.assertNotIn('_created', page)


class WatchedPartsTest(unittest.TestCase):
    """The components' own counts are exported as metrics."""

    def setUp(self):
        self.metrics = metrics.Metrics()

    def test_answers_to_lease_requests(self):
        net = network.Network()
        server.export_counts(self.metrics, net.reducers_by_id['gw-1'])
        net.apply_example()
        net.run(5.0)
        name = 'lease_answers_total'
        self.assertGreater(self.metrics.value(name, outcome='granted'), 0)

    def test_what_an_owner_holds(self):
        net = network.Network()
        reducer = net.reducers_by_id['gw-1']
        server.export_counts(self.metrics, reducer)
        net.apply_example()
        net.run(5.0)
        self.assertEqual(3, self.metrics.value('voters'))
        epochs = reducer.owner.epochs_by_cell()
        self.assertGreater(len(epochs), 0)
        for cell, epoch in epochs.items():
            value = self.metrics.value('lease_epoch', cell=cell)
            self.assertEqual(epoch, value)

    def test_orders_that_are_held_back(self):
        reducer = network.Network().reducers_by_id['gw-1']
        server.export_counts(self.metrics, reducer)
        counts = reducer.owner.order_dispatch.counts
        counts.holds_by_reason[orders.HoldReason.STORE_BUDGET] += 1
        counts.repeats += 4
        name = 'orders_held_back_total'
        self.assertEqual(1, self.metrics.value(name, reason='store_budget'))
        self.assertEqual(4, self.metrics.value('order_repeats_total'))

    def test_messages_to_peers_that_were_dropped(self):
        make_wire = server.make_wire(
            operators_fake.make_settings(),
            incarnation=1,
            codec=wire.make_codec(),
            on_message=lambda sender, message: None,
            metrics=self.metrics,
        )

        async def send_to_an_unknown_peer():
            make_wire().send('gw-9', None)

        asyncio.run(send_to_an_unknown_peer())
        name = 'peer_drops_total'
        self.assertEqual(1, self.metrics.value(name, reason='unknown_peer'))
