"""The engine model: prefill, transfers, decode slots and reports."""

import math
import unittest

from nose2.tools import params

from tools import engine_model

SPEEDS = engine_model.EngineSpeeds(
    prefill_overhead_s=0.0, slots=2, step_s=0.01, step_per_stream_s=0.01
)


def make_model(**changes) -> engine_model.EngineModel:
    return engine_model.EngineModel(speeds=SPEEDS, **changes)


def prefill(model, stream_id='s1', now=0.0, tokens=1000, **changes):
    return model.start_prefill(
        now,
        stream_id=stream_id,
        attempt_id='a1',
        tokens=tokens,
        prefix=changes.pop('prefix', ()),
        **changes,
    )


def fill_slot(model, stream_id: str):
    return model.reserve_slot(0.0, stream_id=stream_id, attempt_id='a1')


class PrefillTest(unittest.TestCase):
    def test_an_urgent_prompt_runs_before_a_waiting_patient_one(self):
        model = make_model()
        prefill(model, 'running')
        prefill(model, 'patient', rank=1)
        prefill(model, 'urgent', rank=0)
        done = [each.stream_id for each in model.advance(0.31)]
        self.assertEqual(['running', 'urgent', 'patient'], done)

    def test_a_shared_prefix_is_not_computed_again(self):
        model = make_model()
        prefill(model, 's1', prefix=('x', 'y'))
        prefill(model, 's2', prefix=('x', 'z'))
        _, second = model.advance(0.3)
        self.assertEqual(64, second.cached_tokens)
        self.assertAlmostEqual(0.2 - 0.0064, second.at)

    def test_a_result_that_is_not_imported_is_evicted_and_wasted(self):
        model = make_model()
        prefill(model)
        evicted = model.advance(1.0)[-1]
        self.assertIsInstance(evicted, engine_model.Evicted)
        self.assertAlmostEqual(0.9, evicted.at)
        wasted = model.wasted_tokens_by_reason
        self.assertEqual({engine_model.Waste.EVICTED: 1000}, wasted)
        self.assertIs(engine_model.Reason.EVICTED, model.export(1, 's1.a1'))

    def test_a_cancel_stops_the_prompt_that_runs(self):
        model = make_model()
        prefill(model)
        self.assertTrue(model.cancel(0.05, stream_id='s1', attempt_id='a1'))
        self.assertEqual(math.inf, model.next_at())
        self.assertEqual(500, model.prefill_tokens_done)

    def test_transfers_share_the_link_one_after_the_other(self):
        model = make_model()
        prefill(model, 's1')
        prefill(model, 's2')
        model.advance(0.2)
        first = model.export(0.2, 's1.a1')
        second = model.export(0.2, 's2.a1')
        self.assertAlmostEqual(0.25, first.ends_at)
        self.assertAlmostEqual(0.30, second.ends_at)

    def test_a_result_is_kept_only_during_its_transfer(self):
        model = make_model()
        prefill(model, tokens=20_000)
        model.advance(2.0)
        # The transfer takes 1 s, longer than the 0.8 s until eviction.
        self.assertAlmostEqual(3.0, model.export(2.0, 's1.a1').ends_at)
        self.assertEqual([], model.advance(3.0))
        model.unpin_kv(3.0, 's1.a1')
        self.assertEqual(1, len(model.advance(3.0)))

    def test_a_stalled_transfer_never_ends(self):
        model = make_model()
        model.faults.stall_transfer = True
        prefill(model)
        model.advance(0.1)
        self.assertEqual(math.inf, model.export(0.1, 's1.a1').ends_at)


class DecodeTest(unittest.TestCase):
    def test_a_fuller_batch_steps_more_slowly(self):
        model = make_model()
        for stream_id in ('s1', 's2'):
            fill_slot(model, stream_id)
            model.start_decode(0.0, stream_id=stream_id, max_tokens=2)
        steps = model.advance(1.0)
        self.assertAlmostEqual(0.02, steps[0].at)
        self.assertAlmostEqual(0.05, steps[1].at)
        self.assertEqual(0, model.load().running)

    def test_a_full_engine_refuses_an_import(self):
        model = make_model()
        fill_slot(model, 's1')
        fill_slot(model, 's2')
        self.assertIs(engine_model.Reason.FULL, fill_slot(model, 's3'))

    def test_a_finished_stream_frees_its_slot_before_it_is_read(self):
        model = make_model()
        fill_slot(model, 's1')
        model.start_decode(0.0, stream_id='s1', max_tokens=1)
        model.advance(1.0)
        self.assertEqual(0, model.slots_used)
        self.assertIn('s1', model.streams_by_id)

    def test_a_cancel_for_another_attempt_frees_nothing(self):
        model = make_model()
        fill_slot(model, 's1')
        held = model.cancel(0.0, stream_id='s1', attempt_id='a2')
        self.assertFalse(held)
        self.assertEqual(1, model.slots_used)

    @params((True, False), (False, True))
    def test_an_old_fence_is_refused_only_where_it_is_checked(
        self, checks, ok
    ):
        model = make_model(checks_fence=checks)
        model.accept_fence(5)
        self.assertEqual(ok, model.accept_fence(4))


class ReporterTest(unittest.TestCase):
    def test_a_report_contains_an_earlier_load(self):
        model = make_model()
        reporter = engine_model.Reporter(model=model, lag_s=1.0)
        reporter.sample(0.0)
        fill_slot(model, 's1')
        self.assertEqual(0, reporter.report(0.5).load.slots_used)
        self.assertEqual(1, reporter.report(2.0).load.slots_used)

    def test_lost_cache_events_leave_a_gap_in_the_numbers(self):
        model = make_model()
        reporter = engine_model.Reporter(model=model, lag_s=0.0, gap_every=2)
        first_numbers = []
        for block in ('x', 'y', 'z'):
            model.cache.store((block,))
            report = reporter.report(1.0)
            first_numbers.append((report.first, len(report.events)))
        self.assertEqual([(0, 1), (2, 0), (2, 1)], first_numbers)
