"""The default scheduling policy, on small cells."""

import unittest

import msgspec
from nose2.tools import params

from dandeliongw.cell import candidates
from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import fault_recorder
from dandeliongw.cell import pairs
from dandeliongw.cell import scheduler
from dandeliongw.coordination import parts
from dandeliongw.verdict import RefusalReason
from tests import test_cells

TERMS = cell_types.CellTerms(
    first_token_s=1.0,
    token_gap_s=0.034,
    timeout_s=60.0,
    prefill_tokens_per_s=10_000.0,
    decode_tokens_per_s=33.0,
    kv_bytes_per_token=100_000.0,
    link_bytes_per_s=2e9,
    max_wait_s_by_priority={'urgent': 0.0, 'patient': 6.0},
    rank_by_priority={'urgent': 0, 'patient': 1},
)


def make_cell(*backends: cell_types.CellBackend, **changes) -> cells.Cell:
    return test_cells.make_cell(
        *backends,
        document_part=TERMS,
        policy=scheduler.Scheduler(),
        **changes,
    )


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_cell(
            test_cells.make_backend('p1', 'prefill', slots=1),
            test_cells.make_backend('d1', 'decode', slots=2),
        )

    def book(self, request_id: str, now: float = 0.0, **changes):
        book = test_cells.make_book(request_id, **changes)
        effects = test_cells.send(self.cell, book, now=now)
        return [each.message for each in effects]

    def release(self, request_id: str, now: float, **changes):
        release = cells.Release(
            cell=self.cell.cell_id,
            request_id=request_id,
            attempt_id='a1',
            **({'outcome': cells.Outcome.DONE} | changes),
        )
        effects = test_cells.send(self.cell, release, now=now)
        return [each.message for each in effects]

    def finish_prefill(self, request_id: str, now: float) -> None:
        done = cells.PrefillDone(
            cell=self.cell.cell_id,
            request_id=request_id,
            attempt_id='a1',
            tokens=1000,
            cached_tokens=0,
        )
        test_cells.send(self.cell, done, now=now)

    def fill(self, *, ends_at: float) -> None:
        """Book both decode slots until about ``ends_at``."""
        for request_id in ('full-1', 'full-2'):
            # Patient, so that no urgent work is predicted to go first.
            tokens = int(ends_at * 33)
            self.book(request_id, priority='patient', max_tokens=tokens)
            self.finish_prefill(request_id, 0.0)
            for state in self.cell.view.backends_by_id.values():
                test_cells.occupy_link(state, 0.0)

    def test_work_that_would_be_late_is_refused_at_once(self):
        self.fill(ends_at=9.0)
        (declined,) = self.book('urgent', now=0.0)
        self.assertIs(RefusalReason.TARGET_UNREACHABLE, declined.reason)
        # The slot is free in about 9 s, and up to half is added as jitter.
        self.assertGreater(declined.retry_after_s, 7.0)
        self.assertLess(declined.retry_after_s, 14.0)

    def test_urgent_work_goes_before_queued_patient_work(self):
        self.fill(ends_at=0.7)
        (queued,) = self.book('patient', now=0.1, priority='patient')
        self.assertIsInstance(queued, cells.Queued)
        (queued,) = self.book('urgent', now=0.2)
        self.assertIsInstance(queued, cells.Queued)
        (booked,) = self.release('full-1', now=0.3)
        self.assertEqual('urgent', booked.request_id)
        self.finish_prefill('urgent', 0.4)
        (booked,) = self.release('full-2', now=0.5)
        self.assertEqual('patient', booked.request_id)

    def test_no_work_waits_longer_than_the_document_allows(self):
        self.fill(ends_at=5.0)
        self.book('patient', now=0.0, priority='patient')
        holding = tuple(
            cells.Holding(request_id=request_id, attempt_id='a1')
            for request_id in ('full-1', 'full-2', 'patient')
        )
        progress = cells.Progress(cell=self.cell.cell_id, bookings=holding)
        for now in (3.0, 5.9):
            self.assertEqual([], test_cells.send(self.cell, progress, now))
        (effect,) = test_cells.without_listing(
            test_cells.tick(self.cell, 6.01)
        )
        self.assertIsInstance(effect.message, cells.Declined)
        # A message such as "0.0 s late" would wrongly point to a slow engine.
        self.assertIn('no backend server had room', effect.message.message)

    def test_a_client_that_left_the_queue_gets_no_slot(self):
        self.fill(ends_at=0.7)
        self.book('patient', now=0.1, priority='patient')
        self.release('patient', now=0.2, outcome=cells.Outcome.CANCELLED)
        self.assertEqual([], self.release('full-1', now=0.3))

    def test_a_prompt_waits_until_its_engine_is_nearly_free(self):
        self.book('first', priority='patient', prompt_tokens=5000)
        (queued,) = self.book('second', priority='patient')
        self.assertIsInstance(queued, cells.Queued)
        self.finish_prefill('first', 0.5)
        self.assertEqual(0, len(self.cell.view.queue))

    def test_an_unconfirmed_cancel_keeps_its_slot(self):
        """A cancelled stream holds its slot until the cancel is confirmed.

        The cancel may be lost while the engine still decodes. If the slot
        counted as free, the next import would be refused.
        """
        self.fill(ends_at=9.0)
        failed = cells.Outcome.FAILED
        effects = test_cells.send(
            self.cell,
            cells.Release(
                cell=self.cell.cell_id,
                request_id='full-1',
                attempt_id='a1',
                outcome=failed,
            ),
        )
        decode = self.cell.view.backends_by_id['d1']
        self.assertEqual(2, decode.slots_used)
        for effect in effects:
            self.cell.handle(
                cells.StreamCancelled(
                    now=1.0,
                    backend_id=effect.backend_id,
                    stream_id=effect.stream_id,
                    attempt_id=effect.attempt_id,
                )
            )
        self.assertEqual(1, decode.slots_used)


class ChoiceTest(unittest.TestCase):
    @params((False, 'p1'), (True, 'p2'))
    def test_a_prompt_goes_to_the_engine_with_its_prefix(
        self, is_known, prefill_id
    ):
        cell = make_cell(
            test_cells.make_backend('p1', 'prefill', slots=1),
            test_cells.make_backend('p2', 'prefill', slots=1),
            test_cells.make_backend('d1', 'decode'),
        )
        stored = ('x', 'y') if is_known else ()
        cell.handle(
            cells.CacheHint(
                now=0.0, backend_id='p2', stored=stored, evicted=(), gap=False
            )
        )
        book = test_cells.make_book(prefix=('x', 'y', 'z'))
        (effect,) = test_cells.send(cell, book)
        self.assertEqual(prefill_id, effect.message.prefill_id)

    def test_an_engine_with_a_busy_link_is_avoided(self):
        cell = make_cell(
            test_cells.make_backend('p1', 'prefill', slots=1),
            test_cells.make_backend('d1', 'decode'),
            test_cells.make_backend('d2', 'decode'),
        )
        test_cells.occupy_link(cell.view.backends_by_id['d1'], 0.3)
        (effect,) = test_cells.send(cell, test_cells.make_book())
        self.assertEqual('d2', effect.message.decode_id)

    def test_a_plain_call_waits_for_no_engine(self):
        cell = make_cell(
            test_cells.make_backend('p1', 'prefill', slots=1),
            test_cells.make_backend('d1', 'decode', slots=1),
            test_cells.make_backend('s1', 'plain'),
        )
        for number in range(5):
            test_cells.send(cell, test_cells.make_book(f'r{number}'))
        book = test_cells.make_book('lookup', stage=cell_types.Stage.PLAIN)
        (effect,) = test_cells.send(cell, book)
        self.assertEqual('s1', effect.message.plain_id)


class WeightsTest(unittest.TestCase):
    @params(
        (0.0, 1.0, 0.1), (1.0, 0.0, 0.7), (1.0, 3.0, 0.25), (0.0, 0.0, 0.4)
    )
    def test_the_weights_decide_how_long_a_link_is_waited_for(
        self, good, wasted, wait_s
    ):
        weights = cell_types.Weights(goodput=good, wasted_prefill=wasted)
        self.assertAlmostEqual(wait_s, pairs.link_wait_s(weights))


class NewOwnerTest(unittest.TestCase):
    """A new owner must not book slots that are in use already.

    It has no bookings until entries reclaim theirs. Without load reports, it
    would take the slots of full engines for free ones, and imports would be
    refused after each change of owner.
    """

    def test_slots_in_use_by_a_report_only_are_not_booked(self):
        cell = make_cell(
            test_cells.make_backend('p1', 'prefill', slots=1),
            test_cells.make_backend('d1', 'decode', slots=2),
            test_cells.make_backend('d2', 'decode', slots=1),
        )
        report = cells.LoadReported(
            now=0.1,
            backend_id='d1',
            running=2,
            waiting=0,
            queued_tokens=0,
            slots_used=2,
            kv_bytes=0,
        )
        cell.handle(report)
        (effect,) = test_cells.send(cell, test_cells.make_book(), now=0.2)
        self.assertEqual('d2', effect.message.decode_id)

    def test_an_old_report_of_its_own_streams_takes_no_slot(self):
        cell = make_cell(
            test_cells.make_backend('p1', 'prefill', slots=1),
            test_cells.make_backend('d1', 'decode', slots=1),
        )
        test_cells.send(cell, test_cells.make_book('r1'))
        release = cells.Release(
            cell=cell.cell_id,
            request_id='r1',
            attempt_id='a1',
            outcome=cells.Outcome.DONE,
        )
        test_cells.send(cell, release, now=0.3)
        report = cells.LoadReported(
            now=0.4,
            backend_id='d1',
            running=1,
            waiting=0,
            queued_tokens=0,
            slots_used=1,
            kv_bytes=0,
        )
        cell.handle(report)
        self.assertEqual(0, cell.view.backends_by_id['d1'].slots_used)


def make_burst(*, slots=1, **terms):
    """Return a cell with one engine of each role."""
    return test_cells.make_cell(
        test_cells.make_backend('p1', 'prefill', slots=slots),
        test_cells.make_backend('d1', 'decode', slots=slots),
        document_part=msgspec.structs.replace(TERMS, **terms),
        policy=scheduler.Scheduler(),
    )


class BurstTest(unittest.TestCase):
    """Bursts of more work than there is capacity for."""

    def book(self, cell, request_id, now, **changes):
        fields = {'priority': 'patient', 'deadline_s': 20.0, **changes}
        book = test_cells.make_book(request_id, **fields)
        return test_cells.send(cell, book, now=now)[0].message

    def finish(self, cell, request_id, now):
        release = cells.Release(
            cell=cell.cell_id,
            request_id=request_id,
            attempt_id='a1',
            outcome=cells.Outcome.DONE,
        )
        out = test_cells.send(cell, release, now=now)
        return [each.message.request_id for each in out]

    def test_work_that_can_be_in_time_goes_before_late_work(self):
        """After a burst only the surplus may be late.

        If late work were served first come, first served, all work that
        arrives after it would be late, too.
        """
        cell = make_burst()
        self.book(cell, 'runs', 0.0, max_tokens=60)
        self.book(cell, 'late', 0.1, max_tokens=20)
        self.book(cell, 'timely', 2.0, max_tokens=20)
        self.assertEqual(self.finish(cell, 'runs', 2.1), ['timely'])
        self.assertEqual(self.finish(cell, 'timely', 2.2), ['late'])

    def test_what_waited_at_its_entry_counts_as_late(self):
        """Guards against late work that is taken for work in time."""
        cell = make_burst()
        self.book(cell, 'runs', 0.0, max_tokens=60)
        self.book(cell, 'waited', 1.9, max_tokens=20, waited_s=1.5)
        self.book(cell, 'timely', 2.0, max_tokens=20)
        self.assertEqual(self.finish(cell, 'runs', 2.1), ['timely'])

    def test_a_routes_own_target_decides_what_is_in_time(self):
        """Guards against patient work that counts as late.

        A service has the least target of its routes. With it, work of a
        route that has more time is served as late work would be.
        """
        cell = make_burst()
        self.book(cell, 'runs', 0.0, max_tokens=60)
        self.book(cell, 'late', 0.1, max_tokens=20)
        self.book(cell, 'patient', 0.2, max_tokens=20, target_s=4.0)
        self.assertEqual(self.finish(cell, 'runs', 2.1), ['patient'])

    def test_resent_work_goes_between_timely_and_late_work(self):
        """Resent work must not go before work that can be in time.

        After an overload, refused requests come again while new ones arrive.
        If the former went first, the latter would all be late, and nothing
        would be in time for long.
        """
        cell = make_burst()
        self.book(cell, 'runs', 0.0, max_tokens=60)
        self.book(cell, 'late', 0.1, max_tokens=20)
        self.book(cell, 'again', 0.2, max_tokens=20, resent=True)
        self.book(cell, 'timely', 2.0, max_tokens=20)
        self.assertEqual(self.finish(cell, 'runs', 2.1), ['timely'])
        self.assertEqual(self.finish(cell, 'timely', 2.2), ['again'])
        self.assertEqual(self.finish(cell, 'again', 2.3), ['late'])

    def test_memory_that_is_full_keeps_a_prompt_waiting(self):
        """A prompt waits until its decode engine's KV cache has room.

        If only slots were counted, the decode engine would refuse the KV
        cache after the prefill.
        """
        cell = make_burst(
            slots=20, kv_tokens_by_role={cell_types.Role.DECODE: 2000}
        )
        first = self.book(cell, 'r1', 0.0)
        second = self.book(cell, 'r2', 1.0)
        self.assertIsInstance(first, cells.Booked)
        self.assertIsInstance(second, cells.Queued)

    def test_a_prompt_that_fits_without_its_longest_answer_is_sent(self):
        cell = make_burst(kv_tokens_by_role={cell_types.Role.DECODE: 1000})
        self.assertIsInstance(self.book(cell, 'r1', 0.0), cells.Booked)

    def test_a_prompt_that_no_engine_can_hold_is_refused(self):
        cell = make_burst(kv_tokens_by_role={cell_types.Role.DECODE: 999})
        refused = self.book(cell, 'r1', 0.0)
        self.assertIs(refused.reason, RefusalReason.EXCEEDS_MEMORY)

    def test_calls_of_a_plain_service_wait_for_a_slot(self):
        cell = test_cells.make_cell(
            test_cells.make_backend('s1', 'plain', slots=1),
            document_part=TERMS,
            policy=scheduler.Scheduler(),
        )
        plain = {'stage': cell_types.Stage.PLAIN, 'deadline_s': 2.0}
        self.book(cell, 'r1', 0.0, **plain)
        most = scheduler.PLAIN_QUEUE_PER_SLOT
        for number in range(2, 2 + most):
            queued = self.book(cell, f'r{number}', 0.0, **plain)
            self.assertIsInstance(queued, cells.Queued)
        refused = self.book(cell, f'r{2 + most}', 0.0, **plain)
        self.assertEqual(refused.reason, RefusalReason.NO_CAPACITY)
        self.assertEqual(self.finish(cell, 'r1', 0.1), ['r2'])


class RateLimitTest(unittest.TestCase):
    """Guards against work for backend servers that accept no more now."""

    def make(self, *backends, **limits):
        self.cell = make_cell(*backends)
        for backend_id, per_s in limits.items():
            self.state(backend_id, per_s)

    def state(self, backend_id, per_s, now=0.0, age_s=0.0):
        report = cells.RateLimitReported(
            cell=self.cell.cell_id,
            backend_id=backend_id,
            incarnation=1,
            per_s=per_s,
            age_s=age_s,
        )
        return test_cells.send(self.cell, report, now=now)

    def book(self, request_id, now, **changes):
        book = test_cells.make_book(request_id, **changes)
        (effect,) = test_cells.send(self.cell, book, now=now)
        return effect.message

    def call(self, request_id, now, **changes):
        stage = cell_types.Stage.PLAIN
        return self.book(request_id, now, stage=stage, **changes)

    def test_a_decode_engine_with_a_limit_leaves_streams_to_others(self):
        self.make(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode', slots=60),
            test_cells.make_backend('d2', 'decode', slots=20),
            d1=1.0,
        )
        placed = [
            self.book(f'r{number}', number * 0.2).decode_id
            for number in range(20)
        ]
        self.assertEqual(placed.count('d1'), 3)
        self.assertEqual(placed.count('d2'), 17)

    def test_a_prefill_engine_with_a_limit_leaves_prompts_to_others(self):
        self.make(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('p2', 'prefill'),
            test_cells.make_backend('d1', 'decode', slots=60),
            p1=1.0,
        )
        placed = [
            self.book(f'r{number}', number * 0.2).prefill_id
            for number in range(20)
        ]
        self.assertLessEqual(placed.count('p1'), 4)
        self.assertGreaterEqual(placed.count('p2'), 16)

    def test_a_prompt_that_would_wait_for_the_limit_is_refused_at_once(self):
        self.make(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode'),
            p1=0.5,
        )
        refused = self.book('r1', 0.0)
        self.assertIs(refused.reason, RefusalReason.TARGET_UNREACHABLE)
        self.assertGreaterEqual(refused.retry_after_s, 1.5)

    def test_a_stream_that_would_wait_for_the_limit_is_refused_at_once(self):
        self.make(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode'),
            d1=0.5,
        )
        refused = self.book('r1', 0.0)
        self.assertIs(refused.reason, RefusalReason.TARGET_UNREACHABLE)

    def test_decode_engines_read_prompts_that_readers_accept_too_late(self):
        self.make(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode'),
            p1=0.5,
        )
        booked = self.book('r1', 0.0, may_read_there=True)
        self.assertEqual((booked.prefill_id, booked.decode_id), ('', 'd1'))

    def test_a_call_waits_for_a_limit_that_allows_it_in_time(self):
        self.make(test_cells.make_backend('s1', 'plain'), s1=2.0)
        queued = self.call('r1', 0.0, deadline_s=3.0)
        self.assertIsInstance(queued, cells.Queued)
        self.assertAlmostEqual(queued.expected_in_s, 0.5)
        (booked,) = test_cells.without_listing(test_cells.tick(self.cell, 0.5))
        self.assertEqual(booked.message.plain_id, 's1')

    def test_a_call_that_a_limit_allows_too_late_is_refused_at_once(self):
        self.make(test_cells.make_backend('s1', 'plain'), s1=0.5)
        refused = self.call('r1', 0.0, deadline_s=3.0)
        self.assertIs(refused.reason, RefusalReason.BACKENDS_LIMITED)
        self.assertGreaterEqual(refused.retry_after_s, 2.0)

    def test_a_retry_does_not_wait_for_the_server_that_failed(self):
        self.make(
            test_cells.make_backend('s1', 'plain'),
            test_cells.make_backend('s2', 'plain'),
            s1=0.5,
        )
        refused = self.call('r1', 0.0, deadline_s=3.0, exclude=('s2',))
        self.assertIs(refused.reason, RefusalReason.BACKENDS_LIMITED)

    def test_urgent_calls_are_not_refused_for_patient_ones_that_wait(self):
        self.make(test_cells.make_backend('s1', 'plain'), s1=2.0)
        for number in range(3):
            self.call(f'r{number}', 0.0, priority='patient', deadline_s=7.0)
        queued = self.call('urgent', 0.0, deadline_s=3.0)
        self.assertIsInstance(queued, cells.Queued)
        (booked,) = test_cells.without_listing(test_cells.tick(self.cell, 0.5))
        self.assertEqual(booked.message.request_id, 'urgent')

    def test_the_end_of_a_limit_lets_waiting_calls_start(self):
        self.make(test_cells.make_backend('s1', 'plain'), s1=2.0)
        self.call('r1', 0.1, deadline_s=3.0)
        (booked,) = self.state('s1', None, now=0.2, age_s=0.1)
        self.assertEqual(booked.message.plain_id, 's1')

    def test_an_ejected_server_is_used_where_all_others_accept_no_more(self):
        self.make(
            test_cells.make_backend('s1', 'plain'),
            test_cells.make_backend('s2', 'plain'),
            test_cells.make_backend('s3', 'plain'),
            s1=0.5,
            s2=0.5,
        )
        state = self.cell.view.backends_by_id['s3']
        state.health.ejected_until = state.health.slow_start_at = 9.0
        self.assertEqual(self.call('r1', 0.0).plain_id, 's3')


class PrefillOnDecodeTest(unittest.TestCase):
    """Decode engines do prefills where prefill engines are missing or busy.

    Otherwise nothing would be served although decode engines are free.
    """

    def book(self, cell, **changes):
        fields = {'may_read_there': True, **changes}
        out = test_cells.send(cell, test_cells.make_book('r1', **fields))
        return out[0].message

    def make(self, *prefill_engines, terms=TERMS):
        return test_cells.make_cell(
            *prefill_engines,
            test_cells.make_backend('d1', 'decode', slots=4),
            document_part=terms,
            policy=scheduler.Scheduler(),
        )

    def test_without_prefill_engines_a_decode_engine_does_the_prefill(self):
        booked = self.book(self.make())
        self.assertEqual((booked.prefill_id, booked.decode_id), ('', 'd1'))

    def test_likewise_if_all_prefill_engines_are_ejected(self):
        cell = self.make(test_cells.make_backend('p1', 'prefill'))
        cell.view.backends_by_id['p1'].health.add_connection_failure(0.0)
        self.assertEqual(self.book(cell).prefill_id, '')

    def test_decode_engines_take_prefills_from_a_long_queue(self):
        """The queue counts, not only the prefill engine's own backlog.

        One of two prefill engines is lost, and more prompts arrive than the
        other one can compute. It is always nearly done with its prompt. If
        only that counted, there would be a queue of two seconds while decode
        engines are half empty.
        """
        booked = self.book_nine(token_gap_s=0.5)
        self.assertEqual('p1', booked[0].prefill_id)
        self.assertEqual(1, [each.prefill_id for each in booked].count(''))

    def test_but_not_if_that_would_pause_streams_for_too_long(self):
        booked = self.book_nine(token_gap_s=0.3)
        self.assertEqual({'p1'}, {each.prefill_id for each in booked})

    def book_nine(self, token_gap_s):
        """Return the ``Booked`` answers for nine prompts of 2,000 tokens.

        A prefill engine computes 10,000 tokens a second, a decode engine half
        of that, so it takes 0.4 s for each.
        """
        terms = msgspec.structs.replace(
            TERMS,
            token_gap_s=token_gap_s,
            prefill_tokens_per_s=10_000.0,
            decode_tokens_per_s=3_300.0,
            tokens_per_piece=100,
        )
        cell = self.make(test_cells.make_backend('p1', 'prefill'), terms=terms)
        return [
            each.message
            for number in range(9)
            for each in test_cells.send(
                cell,
                test_cells.make_book(
                    f'r{number}', may_read_there=True, prompt_tokens=2000
                ),
            )
            if isinstance(each.message, cells.Booked)
        ]

    def test_a_prefill_engine_gets_its_next_prompt_before_it_is_idle(self):
        """The next prompt is sent before the prefill ahead of it ends.

        Prompts of 90 ms arrive faster than one engine computes them. The
        messages between an answer and the next prompt take two thirds of that
        time. If the engine were idle meanwhile, it would serve half of the
        prompts that it could.
        """
        cell = self.make(test_cells.make_backend('p1', 'prefill'))
        for name in ('r0', 'r1'):
            test_cells.send(
                cell, test_cells.make_book(name, prompt_tokens=900), 0.0
            )
        sent = [
            effect.message.request_id
            for effect in test_cells.tick(cell, 0.01)
            if isinstance(getattr(effect, 'message', None), cells.Booked)
        ]
        held = cell.view.backends_by_id['p1'].bookings_by_key
        self.assertEqual(['r0', 'r1'], sorted(key for key, _ in held))
        self.assertLessEqual(len(sent), 1)

    def test_not_if_a_prefill_engine_is_free(self):
        cell = self.make(test_cells.make_backend('p1', 'prefill'))
        self.assertEqual(self.book(cell).prefill_id, 'p1')

    @params((1, 'p1'), (0, ''))
    def test_an_ejected_prefill_engine_is_used_if_some_work_succeeds(
        self, successes, prefill_id
    ):
        """A prefill engine that fails at times is better than none.

        If it were left out, decode engines would do its prefills, slowly
        between the tokens of their streams: streams would be late for seconds
        while prefill engines are idle.
        """
        cell = self.make(test_cells.make_backend('p1', 'prefill'))
        health = cell.view.backends_by_id['p1'].health
        for _ in range(successes):
            health.add_success(0.0)
        for _ in range(3):
            health.add_fault(0.0)
        self.assertEqual(self.book(cell).prefill_id, prefill_id)

    def test_not_if_the_decode_engines_can_not(self):
        declined = self.book(self.make(), may_read_there=False)
        self.assertEqual(declined.reason, RefusalReason.NO_BACKEND)


class EjectionTest(unittest.TestCase):
    def test_slots_of_ejected_servers_are_used_if_there_are_no_others(self):
        """Ejections must not take away most of a pool's capacity.

        One of three backend servers leaves. The other two lose some answers,
        are ejected, and then have one slot each during slow start, which a
        call without an answer holds for a second; each further fault doubles
        the next ejection. A fifth of the calls would be refused.
        """
        cell = make_cell(
            test_cells.make_backend('s1', 'plain', slots=6),
            test_cells.make_backend('s2', 'plain', slots=6),
        )
        for state in cell.view.backends_by_id.values():
            for now in (0.0, 0.1, 0.2):
                state.health.add_fault(now)
        answers = [
            test_cells.send(
                cell,
                test_cells.make_book(
                    f'r{number}', stage=cell_types.Stage.PLAIN, deadline_s=2.0
                ),
                0.5,
            )
            for number in range(12)
        ]
        booked = [
            effect
            for effects in answers
            for effect in effects
            if isinstance(effect.message, cells.Booked)
        ]
        self.assertEqual(12, len(booked))

    def eject(self, cell, *backend_ids):
        for backend_id in backend_ids:
            state = cell.view.backends_by_id[backend_id]
            for now in (0.0, 0.1, 0.2):
                state.health.add_fault(now)

    def placed_ids(self, cell, calls):
        """Book calls of a plain service; return their backend ids in order."""
        effects = [
            effect
            for number in range(calls)
            for effect in test_cells.send(
                cell,
                test_cells.make_book(
                    f'r{number}', stage=cell_types.Stage.PLAIN, deadline_s=2.0
                ),
                0.5,
            )
        ]
        return [
            effect.message.plain_id
            for effect in effects
            if isinstance(effect.message, cells.Booked)
        ]

    def test_one_that_refuses_connections_is_not_used(self):
        """A dead backend server must not be used like other ejected ones.

        One of three fails, and the two others lose answers. Calls that are
        sent to the dead one would fail.
        """
        cell = make_cell(
            test_cells.make_backend('s1', 'plain', slots=2),
            test_cells.make_backend('s2', 'plain', slots=2),
            test_cells.make_backend('s3', 'plain', slots=2),
        )
        self.eject(cell, 's1', 's2')
        cell.view.backends_by_id['s3'].health.add_connection_failure(0.2)
        placed_ids = self.placed_ids(cell, calls=5)
        self.assertEqual(['s1', 's1', 's2', 's2'], sorted(placed_ids))

    def test_healthy_servers_are_used_first(self):
        cell = make_cell(
            test_cells.make_backend('s1', 'plain', slots=2),
            test_cells.make_backend('s2', 'plain', slots=6),
            test_cells.make_backend('s3', 'plain', slots=6),
        )
        self.eject(cell, 's2', 's3')
        placed_ids = self.placed_ids(cell, calls=3)
        self.assertEqual(['s1', 's1'], placed_ids[:2])
        self.assertIn(placed_ids[2], ('s2', 's3'))


class MoveTest(unittest.TestCase):
    """A KV cache that was refused waits for another decode engine.

    A decode engine refuses it; the others are full, and one has room a tenth
    of a second later. If the move were declined at once, queued work would
    get that room, and the prompt would need a second prefill.
    """

    def setUp(self):
        self.cell = make_cell(
            test_cells.make_backend('p1', 'prefill', slots=4),
            test_cells.make_backend('d1', 'decode', slots=1),
            test_cells.make_backend('d2', 'decode', slots=1),
        )
        by_id = {}
        for request_id in ('r1', 'r2'):
            booked = self.book(request_id)
            by_id[booked.decode_id] = request_id
            self.finish_prefill(request_id)
        self.moving, self.staying = by_id['d1'], by_id['d2']

    def send(self, message, now):
        return [
            effect.message
            for effect in test_cells.send(self.cell, message, now)
            if isinstance(effect, parts.Send)
        ]

    def book(self, request_id, now=0.0, **changes):
        return self.send(test_cells.make_book(request_id, **changes), now)[0]

    def finish_prefill(self, request_id):
        done = cells.PrefillDone(
            cell=self.cell.cell_id,
            request_id=request_id,
            attempt_id='a1',
            tokens=1000,
            cached_tokens=0,
        )
        self.send(done, 0.0)
        for state in self.cell.view.backends_by_id.values():
            test_cells.occupy_link(state, 0.0)

    def move(self, now):
        return self.book(
            self.moving,
            now,
            stage=cell_types.Stage.DECODE,
            exclude=('d1',),
            deadline_s=0.4,
        )

    def free(self, now):
        release = cells.Release(
            cell=self.cell.cell_id,
            request_id=self.staying,
            attempt_id='a1',
            outcome=cells.Outcome.DONE,
        )
        return self.send(release, now)

    def test_it_goes_before_all_other_work(self):
        self.book('r3', 0.1, priority='patient')
        self.assertIsInstance(self.move(0.2), cells.Queued)
        (booked,) = self.free(0.3)
        self.assertEqual(self.moving, booked.request_id)
        self.assertEqual('d2', booked.decode_id)

    def test_it_is_declined_when_the_kv_cache_has_expired(self):
        self.move(0.2)
        self.assertEqual([], self.cell_ticks(0.5))
        (declined,) = self.cell_ticks(0.7)
        self.assertIsInstance(declined, cells.Declined)
        # The booking stays until the entry releases it: the KV cache may
        # still have to be freed.
        holding = cells.Holding(request_id=self.moving, attempt_id='a1')
        progress = cells.Progress(cell=self.cell.cell_id, bookings=(holding,))
        self.assertEqual([], self.send(progress, 0.8))

    def test_the_engine_that_refused_it_gets_no_work_for_a_while(self):
        """An engine that refused a KV cache counts as full for a while.

        It may hold streams that its owner has no bookings for, and has room
        by the owner's count. Without the pause, five prompts in a second
        would be computed and then refused.
        """
        self.move(0.2)
        waiting = self.book('r3', 0.3, priority='patient')
        self.assertIsInstance(waiting, cells.Queued)
        ready_at = 0.2 + fault_recorder.REFUSED_PAUSE_S
        booked = [each.request_id for each in self.cell_ticks(ready_at)]
        self.assertIn('r3', booked)

    def cell_ticks(self, now):
        return [
            effect.message
            for effect in test_cells.tick(self.cell, now)
            if isinstance(effect, parts.Send)
        ]


class VersionTest(unittest.TestCase):
    """Guards against bookings at another version than the stream's."""

    def make(self, *versions, slots=1):
        """Return a cell with a decode engine of each version."""
        return make_cell(
            test_cells.make_backend('p1', 'prefill', slots=9),
            *(
                test_cells.make_backend(
                    f'd{number}',
                    'decode',
                    slots=slots,
                    software_version=version,
                )
                for number, version in enumerate(versions, 1)
            ),
        )

    def book(self, cell, request_id, now=0.0, **changes):
        book = test_cells.make_book(request_id, **changes)
        effects = test_cells.send(cell, book, now=now)
        return [each.message for each in effects]

    def release(self, cell, request_id, now):
        release = cells.Release(
            cell=cell.cell_id,
            request_id=request_id,
            attempt_id='a1',
            outcome=cells.Outcome.DONE,
        )
        effects = test_cells.send(cell, release, now=now)
        return [each.message for each in effects]

    @params(('v1', 'd1'), ('v2', 'd2'))
    def test_a_stream_is_booked_at_its_version(self, version, expected):
        cell = self.make('v1', 'v2', slots=9)
        for number in range(5):
            (booked,) = self.book(
                cell, f'r{number}', float(number), software_version=version
            )
            self.assertEqual(expected, booked.decode_id)
            self.assertEqual(version, booked.decode_version)

    def test_a_moved_kv_cache_is_booked_at_its_version(self):
        cell = self.make('v1', 'v2', slots=9)
        (booked,) = self.book(
            cell, 'r1', software_version='v1', stage=cell_types.Stage.DECODE
        )
        self.assertEqual('d1', booked.decode_id)

    def test_a_version_that_is_gone_is_refused_at_once(self):
        cell = self.make('v1', 'v2')
        (declined,) = self.book(cell, 'r1', software_version='v0')
        self.assertEqual(RefusalReason.VERSION_GONE, declined.reason)

    @params((('v1', 'v1'), False), (('v1', 'v2'), True))
    def test_a_stream_that_names_no_call(self, versions, is_refused):
        cell = self.make(*versions, slots=9)
        (answer,) = self.book(cell, 'r1', needs_sole_version=True)
        self.assertEqual(is_refused, isinstance(answer, cells.Declined))

    def test_a_version_that_leaves_still_counts(self):
        """Guards against a stream that goes on after its version has left."""
        cell = self.make('v1', 'v2', slots=9)
        self.book(cell, 'r1', software_version='v1')
        left = [
            state.backend
            for state in cell.view.backends_by_id.values()
            if state.backend.software_version != 'v1'
        ]
        cell.handle(cells.BackendsChanged(now=0.1, backends=tuple(left)))
        (answer,) = self.book(cell, 'r2', 0.2, needs_sole_version=True)
        self.assertIsInstance(answer, cells.Declined)

    def test_a_full_version_holds_up_no_other_stream(self):
        cell = self.make('v1', 'v2')
        self.book(cell, 'r1', software_version='v1')
        self.book(cell, 'r2', software_version='v2')
        (queued,) = self.book(
            cell, 'r3', 0.1, software_version='v1', priority='patient'
        )
        self.assertIsInstance(queued, cells.Queued)
        (queued,) = self.book(cell, 'r4', 0.2, priority='patient')
        self.assertIsInstance(queued, cells.Queued)
        (booked,) = self.release(cell, 'r2', 0.3)
        self.assertEqual(('r4', 'd2'), (booked.request_id, booked.decode_id))

    def test_a_version_that_is_waited_for_is_left_to_its_streams(self):
        cell = self.make('v1', 'v2', 'v2')
        self.book(cell, 'r1', software_version='v1')
        (queued,) = self.book(
            cell, 'r2', 1.0, software_version='v1', priority='patient'
        )
        self.assertIsInstance(queued, cells.Queued)
        view = cell.view
        (waiting,) = view.queue
        finder = candidates.CandidateFinder(uses_health=True, uses_cap=True)
        new = msgspec.structs.replace(waiting, software_version=None)
        self.release(cell, 'r1', 1.1)
        view.queue.append(waiting)
        found = finder.find(2.0, view, cell_types.Role.DECODE, new)
        self.assertEqual(
            {'d2', 'd3'}, {each.state.backend.backend_id for each in found}
        )


class RestTest(unittest.TestCase):
    """Guards against bookings on servers that have asked for rest."""

    def make(self, *backends, resting=(), rest_s=3.0):
        cell = make_cell(*backends)
        for backend_id in resting:
            report = cells.RestReported(
                cell=cell.cell_id,
                backend_id=backend_id,
                incarnation=1,
                rest_s=rest_s,
            )
            test_cells.send(cell, report, now=0.0)
        return cell

    def book(self, cell, now, request_id='r1', **changes):
        book = test_cells.make_book(request_id, **changes)
        (effect,) = test_cells.send(cell, book, now=now)
        return effect.message

    def call(self, cell, now, request_id='r1', **changes):
        return self.book(
            cell, now, request_id, stage=cell_types.Stage.PLAIN, **changes
        )

    def test_others_get_its_calls(self):
        cell = self.make(
            test_cells.make_backend('s1', 'plain', slots=20),
            test_cells.make_backend('s2', 'plain', slots=9),
            resting=('s1',),
        )
        for number in range(5):
            booked = self.call(cell, 0.1, f'r{number}')
            self.assertEqual('s2', booked.plain_id)

    @params((0.1, True), (3.1, False))
    def test_calls_are_refused_at_once_while_all_rest(self, now, is_refused):
        cell = self.make(
            test_cells.make_backend('s1', 'plain'), resting=('s1',)
        )
        answer = self.call(cell, now, deadline_s=3.0)
        self.assertEqual(is_refused, isinstance(answer, cells.Declined))
        if is_refused:
            self.assertGreaterEqual(answer.retry_after_s, 2.9)

    def test_callers_come_back_at_different_times(self):
        """Guards against all that were refused coming back at one moment."""
        cell = self.make(
            test_cells.make_backend('s1', 'plain'), resting=('s1',)
        )
        times = {
            self.call(cell, 0.1, f'r{n}', deadline_s=3.0).retry_after_s
            for n in range(20)
        }
        self.assertGreater(max(times) - min(times), 1.0)

    def test_streams_are_refused_at_once_while_all_rest(self):
        cell = self.make(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode'),
            resting=('d1',),
        )
        answer = self.book(cell, 0.1)
        self.assertEqual(RefusalReason.TARGET_UNREACHABLE, answer.reason)

    def test_decode_engines_read_prompts_while_prefill_engines_rest(self):
        cell = self.make(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode'),
            resting=('p1',),
        )
        booked = self.book(cell, 0.1, may_read_there=True)
        self.assertEqual(('', 'd1'), (booked.prefill_id, booked.decode_id))

    def test_a_queue_does_not_wait_for_prefill_engines_that_rest(self):
        cell = self.make(
            test_cells.make_backend('p1', 'prefill'),
            test_cells.make_backend('d1', 'decode', slots=1),
            resting=('p1',),
            rest_s=9.0,
        )
        self.book(cell, 0.1, may_read_there=True)
        answer = self.book(
            cell, 0.2, 'r2', may_read_there=True, priority='patient'
        )
        self.assertIsInstance(answer, cells.Queued)

    def test_a_kv_cache_that_nobody_can_take_in_time_is_declined(self):
        cell = self.make(
            test_cells.make_backend('d1', 'decode'), resting=('d1',)
        )
        answer = self.book(
            cell, 0.1, stage=cell_types.Stage.DECODE, deadline_s=0.5
        )
        self.assertIsInstance(answer, cells.Declined)

    def test_a_new_start_does_not_rest(self):
        cell = self.make(
            test_cells.make_backend('s1', 'plain'), resting=('s1',)
        )
        new = msgspec.structs.replace(
            test_cells.make_backend('s1', 'plain'), incarnation=2
        )
        cell.handle(cells.BackendsChanged(now=0.1, backends=(new,)))
        self.assertIsInstance(self.call(cell, 0.2), cells.Booked)
