"""What a cell predicts of its engines follows from the work that they hold."""

import unittest

import msgspec
from nose2.tools import params

from dandeliongw.cell import backend_state
from dandeliongw.cell import capacity
from dandeliongw.cell import cell_types
from dandeliongw.cell import cell_view
from dandeliongw.cell import cells
from dandeliongw.cell import declines
from dandeliongw.cell import options
from dandeliongw.cell import prefixes
from dandeliongw.cell import scheduler
from dandeliongw.verdict import RefusalReason
from tests import test_cells
from tests import test_kv_room

TERMS = cell_types.CellTerms(
    first_token_s=0.9,
    token_gap_s=0.3,
    timeout_s=14.0,
    prefill_tokens_per_s=30_000.0,
    decode_tokens_per_s=320.0,
    tokens_per_piece=16,
    kv_bytes_per_token=327_680.0,
    link_bytes_per_s=3_400e9 / 8,
    kv_tokens_by_role={'prefill': 39_418, 'decode': 39_418},
)
#: A link on which the KV cache of a usual prompt takes a thousand seconds.
SLOW_LINK = msgspec.structs.replace(TERMS, link_bytes_per_s=1e6)
LARGE, USUAL = 4_000_000, 3_000
PREFILLS = tuple(
    test_cells.make_backend(f'p{number}', 'prefill', slots=64)
    for number in range(4)
)
DECODES = tuple(
    test_cells.make_backend(f'd{number}', 'decode', slots=64)
    for number in range(4)
)


#: Books prompts of any size, as where the engines' memory isn't known.
ANY_SIZE = options.Options(sizes=False)


def make_cell(used=ANY_SIZE, **changes):
    return test_cells.make_cell(
        *PREFILLS,
        *DECODES,
        document_part=TERMS,
        policy=scheduler.Scheduler(options=used),
        **changes,
    )


class HeldWorkTest(unittest.TestCase):
    """Books work in a cell, ends it, and looks at what is placed then."""

    def setUp(self):
        self.cell = make_cell()
        self.numbers = iter(range(1_000))

    def send(self, now, message):
        return [
            effect.message
            for effect in test_cells.send(self.cell, message, now)
            if hasattr(effect, 'message')
        ]

    def book(self, now, prompt_tokens=USUAL, **changes):
        changes.setdefault('request_id', f'r{next(self.numbers)}')
        book = test_cells.make_book(
            prompt_tokens=prompt_tokens,
            max_tokens=70,
            **{'may_read_there': True} | changes,
        )
        (answer, *_) = self.send(now, book)
        return answer

    def book_all_engines(self):
        """Book a large prompt on each pair of engines; return the answers."""
        booked = [self.book(0.0, LARGE) for _ in DECODES]
        self.assertEqual(
            {each.backend_id for each in (*PREFILLS, *DECODES)},
            {each.prefill_id for each in booked}
            | {each.decode_id for each in booked},
        )
        return booked

    def release(self, now, booked, outcome=cells.Outcome.FAILED, **changes):
        release = cells.Release(
            cell=booked.cell,
            request_id=booked.request_id,
            attempt_id=booked.attempt_id,
            outcome=outcome,
            **changes,
        )
        self.send(now, release)

    def end_prefill(self, now, booked):
        done = cells.PrefillDone(
            cell=booked.cell,
            request_id=booked.request_id,
            attempt_id=booked.attempt_id,
            tokens=USUAL,
            cached_tokens=0,
        )
        self.send(now, done)

    def change_backends(self, now, *backends):
        self.cell.handle(cells.BackendsChanged(now=now, backends=backends))

    def assert_all_are_placed(self, now):
        """Assert that usual prompts get a pair, one after the other."""
        for number in range(20):
            at = now + number * 0.2
            booked = self.book(at)
            self.assertIsInstance(booked, cells.Booked)
            self.assertTrue(booked.prefill_id)
            self.end_prefill(at + 0.1, booked)
            self.release(at + 0.19, booked, cells.Outcome.DONE)


class LargePromptTest(HeldWorkTest):
    """A prompt that is never read must not keep engines from other work."""

    @params(cells.Outcome.FAILED, cells.Outcome.CANCELLED)
    def test_refused_or_cancelled(self, outcome):
        for booked in self.book_all_engines():
            self.release(0.1, booked, outcome)
        self.assert_all_are_placed(1.0)

    def test_its_entry_is_gone(self):
        self.book_all_engines()
        test_cells.tick(self.cell, cells.BOOKING_LEASE_S)
        self.assert_all_are_placed(cells.BOOKING_LEASE_S + 1.0)

    def test_its_prefill_engine_has_restarted(self):
        self.book_all_engines()
        restarted = [
            msgspec.structs.replace(each, incarnation=2) for each in PREFILLS
        ]
        self.change_backends(0.1, *restarted, *DECODES)
        # New engines get one prompt after the other in slow start.
        self.assert_all_are_placed(6.0)

    def test_its_prefill_engine_is_gone_and_another_one_serves(self):
        booked = self.book_all_engines()
        new = test_cells.make_backend('p9', 'prefill', slots=64)
        self.change_backends(0.1, new, *DECODES)
        for each in booked:
            self.release(0.2, each)
        self.assert_all_are_placed(6.0)

    def test_its_kv_cache_is_moved_and_the_move_is_given_up(self):
        (booked, *others) = self.book_all_engines()
        for each in others:
            self.release(0.1, each)
        self.book(
            0.1,
            LARGE,
            request_id=booked.request_id,
            stage=cell_types.Stage.DECODE,
            exclude=(booked.decode_id,),
        )
        self.release(0.2, booked)
        self.assert_all_are_placed(1.0)


class ChangedTermsTest(HeldWorkTest):
    """Predictions under a replaced document must not outlive it."""

    def test_a_slow_link_is_corrected(self):
        self.cell.handle(cells.TermsChanged(now=0.0, terms=SLOW_LINK))
        held = [self.book(number * 0.2) for number in range(8)]
        self.assertIn(
            cells.Booked, [type(each) for each in held], 'none was placed'
        )
        self.cell.handle(cells.TermsChanged(now=2.0, terms=TERMS))
        self.assert_all_are_placed(2.1)

    def test_what_was_planned_behind_other_work_does_not_inherit_it(self):
        one_second = msgspec.structs.replace(
            TERMS, link_bytes_per_s=TERMS.kv_bytes_per_token * USUAL
        )
        self.cell = test_cells.make_cell(
            DECODES[0], document_part=one_second, policy=scheduler.Scheduler()
        )
        booked = [self.book(0.0) for _ in range(5)]
        state = self.cell.view.backends_by_id['d0']
        self.assertEqual(5.0, state.link_free_at)
        for count, each in enumerate(booked[:4], 1):
            self.release(0.1, each)
            self.assertAlmostEqual(0.1 + 5 - count, state.link_free_at)
        (left,) = state.bookings_by_key.values()
        ends_at = 1.1 + self.cell.view.decode_s(left)
        self.assertEqual([ends_at], state.decode_ends())


class PrefixTest(HeldWorkTest):
    """A prefix must not count as cached where its prefill did not end."""

    PREFIX = tuple(f'b{number}' for number in range(40))

    def test_the_prefill_was_refused(self):
        self.release(0.1, self.book(0.0, prefix=self.PREFIX))
        self.assert_cached(0)

    def test_its_entry_is_gone(self):
        self.book(0.0, prefix=self.PREFIX)
        test_cells.tick(self.cell, cells.BOOKING_LEASE_S)
        self.assert_cached(0)

    def test_the_prefill_is_under_way_or_has_ended(self):
        booked = self.book(0.0, prefix=self.PREFIX)
        self.assert_cached(40 * prefixes.BLOCK_TOKENS)
        self.end_prefill(0.1, booked)
        self.assert_cached(40 * prefixes.BLOCK_TOKENS)
        self.release(0.2, booked)
        self.assert_cached(40 * prefixes.BLOCK_TOKENS)

    def test_a_refused_prompt_evicts_nothing(self):
        booked = self.book(0.0, prefix=self.PREFIX)
        self.end_prefill(0.1, booked)
        many = tuple(f'c{n}' for n in range(backend_state.MAX_BLOCKS))
        others = tuple(
            each.backend_id
            for each in PREFILLS
            if each.backend_id != booked.prefill_id
        )
        self.release(0.3, self.book(0.2, prefix=many, exclude=others))
        self.assert_cached(40 * prefixes.BLOCK_TOKENS)

    def assert_cached(self, tokens):
        """Assert how many of its tokens all prefill engines have together."""
        self.assertEqual(
            tokens,
            sum(
                self.cell.view.backends_by_id[each.backend_id].cached_tokens(
                    self.PREFIX
                )
                for each in PREFILLS
            ),
        )


class UnconfirmedCancelTest(HeldWorkTest):
    """A cancel that is never confirmed must not hold a slot for good."""

    def test_the_engine_answers_no_cancel(self):
        for number in range(3):
            self.release(0.2 * number + 0.1, self.book(0.2 * number))
        state = self.cell.view.backends_by_id['d0']
        times = (1.0, TERMS.timeout_s - 1.0, TERMS.timeout_s + 1.0, 30.0)
        self.assertEqual(
            [(0, 1), (6, 1), (0, 0), (0, 0)],
            [(self.count_cancels(at), state.slots_used) for at in times],
        )

    def test_one_that_is_confirmed_frees_one_slot(self):
        booked = self.book(0.0)
        self.release(0.1, booked)
        state = self.cell.view.backends_by_id[booked.decode_id]
        for at in (0.2, 0.3):
            confirmed = cells.StreamCancelled(
                now=at,
                backend_id=booked.decode_id,
                stream_id=booked.request_id,
                attempt_id=booked.attempt_id,
            )
            self.cell.handle(confirmed)
            self.assertEqual(0, state.slots_used)
        test_cells.tick(self.cell, TERMS.timeout_s + 1.0)
        self.assertEqual(0, state.slots_used)

    def count_cancels(self, now):
        return sum(
            isinstance(each, cells.CancelStream)
            for each in test_cells.tick(self.cell, now)
        )


class ForeignSlotsTest(HeldWorkTest):
    """Slots that an engine once reported must not be counted for good."""

    def report(self, now, slots_used):
        self.cell.handle(
            cells.LoadReported(
                now=now,
                backend_id='d0',
                running=0,
                waiting=0,
                queued_tokens=0,
                slots_used=slots_used,
                kv_bytes=0,
            )
        )

    def test_the_engine_reports_no_more(self):
        state = self.cell.view.backends_by_id['d0']
        self.report(1.0, 64)
        for now, slots in (
            (1.0, 64),
            (TERMS.timeout_s, 64),
            (TERMS.timeout_s + 1.0, 0),
        ):
            test_cells.tick(self.cell, now)
            self.assertEqual(slots, state.slots_used)

    def test_a_report_counts_from_its_own_time(self):
        state = self.cell.view.backends_by_id['d0']
        self.report(1.0, 64)
        self.report(9.0, 3)
        test_cells.tick(self.cell, TERMS.timeout_s + 1.0)
        self.assertEqual(3, state.slots_used)


class RejectedSizeTest(HeldWorkTest):
    """Engines that reject what they can't hold must get other work at once.

    One caller that repeats a large prompt would close them to all.
    """

    def reject(self, now):
        """Book a large prompt and let both its engines reject it."""
        booked = self.book(now, LARGE)
        self.release(now, booked, backend_fault=booked.prefill_id)
        booked = self.book(now, LARGE)
        move = self.book(
            now,
            LARGE,
            request_id=booked.request_id,
            stage=cell_types.Stage.DECODE,
            exclude=(booked.decode_id,),
        )
        self.release(now, move, backend_fault=move.decode_id)

    def test_no_engine_is_ejected_or_taken_for_full(self):
        for number in range(40):
            self.reject(0.01 * number)
        for state in self.cell.view.backends_by_id.values():
            self.assertFalse(state.health.is_ejected(0.4))
            self.assertLess(state.full_until, 0.4)
        self.assert_all_are_placed(0.4)

    def test_an_engine_that_refuses_the_connection_is_ejected(self):
        booked = self.book(0.0, LARGE)
        self.release(0.1, booked, backend_fault='p0', is_down=True)
        state = self.cell.view.backends_by_id['p0']
        self.assertTrue(state.health.is_ejected(0.1))

    def test_no_engine_changes_its_role_for_it(self):
        moves = []
        for rejections in (0, 40):
            self.cell = make_cell()
            for _ in range(rejections):
                self.reject(0.0)
            for _ in range(40):
                self.release(0.0, self.book(0.0))
            self.cell.review_roles(cells.BOOKING_LEASE_S + 1.0)
            moves.append(
                [
                    (each.backend_id, each.role)
                    for each in self.cell.roles.switches_by_id.values()
                ]
            )
        without, with_rejections = moves
        self.assertEqual(without, with_rejections)

    def test_it_takes_no_more_of_a_share_than_an_engine_has(self):
        held = msgspec.structs.replace(
            TERMS, kv_tokens_by_role={'decode': LARGE}
        )
        view = self.cell.view
        booking = test_kv_room.make_booking(1, LARGE, 70, 0.0)
        limited = capacity.cost(view, booking)
        whole = capacity.cost(cell_view.CellView(terms=held), booking)
        for resource in capacity.Resource.KV_MEMORY, capacity.Resource.PREFILL:
            self.assertLess(limited[resource], whole[resource] / 50)


class RefusedSizeTest(HeldWorkTest):
    """What no engine can ever hold must be refused before it is sent."""

    def setUp(self):
        super().setUp()
        self.cell = make_cell(options.Options())

    @params(39_419, LARGE)
    def test_it_is_refused_at_once(self, prompt_tokens):
        declined = self.book(0.0, prompt_tokens)
        self.assertIs(RefusalReason.EXCEEDS_MEMORY, declined.reason)
        self.assertIn(f'{prompt_tokens} tokens', declined.message)
        self.assertIn('39418 tokens', declined.message)
        self.assertEqual(
            declines.LONGEST_RETRY_AFTER_S, declined.retry_after_s
        )
        self.assertEqual({}, self.cell.bookings_by_key)
        self.assert_all_are_placed(0.0)

    def test_what_fits_is_placed(self):
        self.assertIsInstance(self.book(0.0, 39_418), cells.Booked)

    def test_memory_of_unknown_size_holds_all(self):
        terms = msgspec.structs.replace(TERMS, kv_tokens_by_role={})
        self.cell.handle(cells.TermsChanged(now=0.0, terms=terms))
        self.assertIsInstance(self.book(0.0, LARGE), cells.Booked)

    def test_a_decode_engine_reads_what_only_it_can_hold(self):
        terms = msgspec.structs.replace(
            TERMS, kv_tokens_by_role={'prefill': 2_000, 'decode': 39_418}
        )
        self.cell.handle(cells.TermsChanged(now=0.0, terms=terms))
        self.assertEqual('', self.book(0.0).prefill_id)
        declined = self.book(0.0, may_read_there=False)
        self.assertIs(RefusalReason.EXCEEDS_MEMORY, declined.reason)
