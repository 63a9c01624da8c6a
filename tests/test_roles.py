"""Moves of engines between the pools, only where throughput gains by it."""

import unittest

import msgspec
from nose2.tools import params

from dandeliongw.cell import backend_state
from dandeliongw.cell import cell_types
from dandeliongw.cell import cell_view
from dandeliongw.cell import cells
from dandeliongw.cell import roles
from tests import test_cells

TERMS = cell_types.CellTerms(
    first_token_s=0.9,
    token_gap_s=0.3,
    timeout_s=14.0,
    prefill_tokens_per_s=33_000.0,
    decode_tokens_per_s=320.0,
    kv_bytes_per_token=327_680.0,
    link_bytes_per_s=4e11,
    slots_by_role={'prefill': 64, 'decode': 64},
    kv_tokens_by_role={'prefill': 39_418, 'decode': 39_418},
)


def make_view(prefill, decode):
    view = cell_view.CellView(terms=TERMS, answer_ratio=0.4)
    names = [(f'p{n}', 'prefill') for n in range(prefill)]
    names += [(f'd{n}', 'decode') for n in range(decode)]
    for name, role in names:
        backend = test_cells.make_backend(name, role, slots=64)
        view.backends_by_id[name] = backend_state.BackendState(backend=backend)
    return view


def make_booking(prompt_tokens=3200, max_tokens=2720):
    return cell_types.Booking(
        request_id='r',
        attempt_id='a',
        entry='gw-1',
        account='x',
        priority='y',
        stage=cell_types.Stage.PAIR,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        prefix=(),
        exclude=(),
        arrived_at=0.0,
        deadline_at=14.0,
        renewed_at=0.0,
    )


def watched(view, requests=roles.MIN_REQUESTS, **changes):
    balance = roles.RoleBalancer()
    for _ in range(requests):
        balance.record(view, make_booking(**changes))
    return balance


def only_switch(balance):
    (switch,) = balance.switches_by_id.values()
    return switch


class RoleBalanceTest(unittest.TestCase):
    @params(
        (3, 3, 'decode'),
        (2, 4, None),
        (1, 5, None),
        (5, 1, 'decode'),
        (0, 6, 'prefill'),
        (6, 0, 'decode'),
        (1, 1, None),
        (0, 1, None),
        (0, 2, 'prefill'),
        (2, 1, None),
    )
    def test_the_fuller_pool_gets_an_engine(self, prefill, decode, role):
        """Requests must not be refused while the other pool's engines idle.

        Half of the engines do prefills, which are a fifth of all work. In a
        burst, the memory of the other half is full. Without moves, the pools
        would stay as they were set up.
        """
        view = make_view(prefill, decode)
        balance = watched(view)
        self.assertEqual(balance.review(0.0, view), role is not None)
        begun = [each.role.value for each in balance.switches_by_id.values()]
        self.assertEqual(begun, [role] if role else [])

    @params((0, 2, None), (0, 3, None), (1, 3, None), (2, 3, None))
    def test_decode_engines_that_do_prefills_are_a_reserve(
        self, prefill, decode, role
    ):
        """No engine is moved if decode engines can do the prefills.

        Three of five engines leave, among them both prefill engines. Two
        engines that prefill and decode serve 4.7 requests a second, a prefill
        and a decode engine 4.3. A move would take one of the two engines that
        are left out of work for 11 s.
        """
        view = make_view(prefill, decode)
        view.measured_tokens_per_s = 170.0
        balance = roles.RoleBalancer()
        for _ in range(roles.MIN_REQUESTS):
            booking = make_booking(prompt_tokens=3000, max_tokens=1280)
            booking.may_read_there = True
            balance.record(view, booking)
        self.assertEqual(balance.review(0.0, view), role is not None)

    def test_a_large_cell_moves_some_at_a_time(self):
        """A large cell must move engines although one alone gains little.

        11 of 30 engines do prefills where five would be enough. If the gain
        of a single move were compared, none would be made, and streams would
        wait for memory while a third of the engines are idle.
        """
        view = make_view(11, 19)
        balance = watched(view)
        self.assertTrue(balance.review(0.0, view))
        begun = balance.switches_by_id
        self.assertEqual(sorted(begun), ['p0', 'p1', 'p10'])
        self.assertEqual(
            {switch.role for switch in begun.values()},
            {cell_types.Role.DECODE},
        )
        del view.backends_by_id['p1']
        self.assertTrue(balance.review(1.0, view))
        self.assertEqual(sorted(balance.switches_by_id), ['p0', 'p10'])

    def test_long_prompts_with_short_answers_need_prefill_engines(self):
        view = make_view(1, 5)
        balance = watched(view, prompt_tokens=30_000, max_tokens=20)
        balance.review(0.0, view)
        self.assertEqual(only_switch(balance).role, cell_types.Role.PREFILL)

    def test_a_few_requests_are_not_enough_for_a_move(self):
        view = make_view(5, 1)
        balance = watched(view, requests=roles.MIN_REQUESTS - 1)
        self.assertFalse(balance.review(0.0, view))

    def test_the_idlest_engine_is_moved(self):
        view = make_view(3, 3)
        for name in ('p0', 'p2'):
            state = view.backends_by_id[name]
            state.bookings_by_key['r', 'a'] = make_booking()
        balance = watched(view)
        balance.review(0.0, view)
        self.assertEqual(only_switch(balance).backend_id, 'p1')

    def test_dead_engines_are_not_counted(self):
        view = make_view(2, 4)
        for name in ('p0', 'p1'):
            view.backends_by_id[name].health.add_connection_failure(0.0)
        balance = watched(view)
        # One refused connection may be a lost packet and costs two seconds, a
        # move costs ten.
        self.assertFalse(balance.review(0.0, view))
        for name in ('p0', 'p1'):
            view.backends_by_id[name].health.add_connection_failure(2.0)
        self.assertTrue(balance.review(2.0, view))
        self.assertEqual(only_switch(balance).role, cell_types.Role.PREFILL)

    def test_engines_that_lose_some_work_still_count(self):
        """Ejected engines on which some work succeeds must be counted.

        For a moment, four in ten answers of all engines are lost. If engines
        that are ejected for two seconds counted as gone, a prefill engine
        would be moved to the decode pool.
        """
        view = make_view(2, 3)
        for name in ('d0', 'd1', 'd2'):
            health = view.backends_by_id[name].health
            health.add_success(0.0)
            for _ in range(3):
                health.add_fault(0.0)
            self.assertTrue(health.is_ejected(0.0))
        balance = watched(view)
        self.assertFalse(balance.review(0.0, view))

    def test_one_move_at_a_time_and_then_a_cooldown(self):
        """Engines must not move back and forth, out of work each time."""
        view = make_view(5, 1)
        balance = watched(view)
        balance.review(0.0, view)
        self.assertFalse(balance.review(1.0, view))
        moved = only_switch(balance).backend_id
        state = view.backends_by_id[moved]
        state.backend = msgspec.structs.replace(
            state.backend, role=cell_types.Role.DECODE
        )
        self.assertTrue(balance.review(6.0, view))
        self.assertEqual(balance.switches_by_id, {})
        self.assertFalse(balance.review(roles.COOLDOWN_S - 0.1, view))
        self.assertTrue(balance.review(roles.COOLDOWN_S, view))

    def test_an_empty_pool_cuts_the_cooldown_short(self):
        """An empty pool must get an engine before the cooldown is over.

        An engine moves, and shortly after the last prefill engine is lost.
        With the full cooldown, streams would be late for 15 s.
        """
        view = make_view(2, 4)
        balance = watched(view)
        balance.switches_by_id['d3'] = roles.Switch(
            backend_id='d3', role=cell_types.Role.DECODE, since=0.0
        )
        balance._cooldown_until = roles.COOLDOWN_S
        self.assertTrue(balance.review(5.0, view))
        for name in ('p0', 'p1'):
            del view.backends_by_id[name]
        self.assertFalse(balance.review(6.0, view))
        self.assertFalse(balance.review(6.0 + roles.EMPTY_POOL_S - 0.1, view))
        self.assertTrue(balance.review(6.0 + roles.EMPTY_POOL_S, view))
        self.assertEqual(only_switch(balance).role, cell_types.Role.PREFILL)

    def test_the_cooldown_holds_if_a_pool_is_only_empty_for_a_moment(self):
        view = make_view(0, 4)
        balance = watched(view)
        balance._cooldown_until = roles.COOLDOWN_S
        self.assertFalse(balance.review(0.0, view))
        view.backends_by_id.update(make_view(1, 0).backends_by_id)
        self.assertFalse(balance.review(roles.EMPTY_POOL_S, view))
        del view.backends_by_id['p0']
        self.assertFalse(balance.review(roles.EMPTY_POOL_S + 0.1, view))

    def test_a_move_without_effect_times_out(self):
        view = make_view(5, 1)
        balance = watched(view)
        balance.review(0.0, view)
        self.assertTrue(balance.review(roles.SWITCH_TIMEOUT_S, view))
        self.assertEqual(balance.switches_by_id, {})


class CellTest(unittest.TestCase):
    def test_an_engine_that_changes_its_role_gets_no_work(self):
        backends = [
            test_cells.make_backend(f'p{n}', 'prefill') for n in range(5)
        ]
        cell = test_cells.make_cell(
            *backends,
            test_cells.make_backend('d0', 'decode'),
            document_part=TERMS,
        )
        for _ in range(roles.MIN_REQUESTS):
            cell.roles.record(cell.view, make_booking())
        cell.handle(cells.TermsChanged(now=0.0, terms=TERMS))
        later = cells.BOOKING_LEASE_S + 1.0
        self.assertTrue(cell.review_roles(later))
        (moved,) = cell.view.switching_ids
        role = cell_types.Role.PREFILL
        ids = [
            state.backend.backend_id
            for state in cell.view.candidates(role, ())
        ]
        self.assertNotIn(moved, ids)
        self.assertEqual(len(ids), 4)
