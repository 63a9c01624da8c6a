"""Capacity is divided in the resource that binds, under real load."""

from collections import abc
import unittest

import msgspec
from nose2.tools import params

from dandeliongw.cell import capacity
from dandeliongw.cell import capacity_use
from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import comparisons
from dandeliongw.cell import options
from dandeliongw.cell import scheduler
from dandeliongw.cell import shares
from tests import test_cells
from tests import test_scheduler
from tools import cell_load

#: Engines of 32 slots whose memory holds eight streams.
TERMS = msgspec.structs.replace(
    test_scheduler.TERMS,
    token_gap_s=0.3,
    prefill_tokens_per_s=33_000.0,
    decode_tokens_per_s=320.0,
    tokens_per_piece=16,
    link_bytes_per_s=1.4e11,
    kv_tokens_by_role={cell_types.Role.DECODE: 29_014},
    max_wait_s_by_priority={'best': 1.0, 'middle': 1.5, 'last': 2.0},
    rank_by_priority={'best': 0, 'middle': 1, 'last': 2},
)
RANKS = ('best', 'middle', 'last')
ACCOUNTS = [f'a{number}' for number in range(16)]
#: The account that asks for six times its usual load.
BUSY = 'a0'
#: When it does.
BURST = (10.0, 20.0)


def make_cell(
    terms: cell_types.CellTerms = TERMS,
    policy: scheduler.Scheduler | None = None,
) -> cells.Cell:
    """Return a cell that carries some 34 of the streams per second."""
    return test_cells.make_cell(
        *(
            test_cells.make_backend(f'p{number}', 'prefill', slots=32)
            for number in range(5)
        ),
        *(
            test_cells.make_backend(f'd{number}', 'decode', slots=32)
            for number in range(16)
        ),
        document_part=terms,
        policy=policy or scheduler.Scheduler(),
    )


def make_plain_cell() -> cells.Cell:
    return test_cells.make_cell(
        *(
            test_cells.make_backend(f's{number}', 'plain', slots=6)
            for number in range(4)
        ),
        document_part=TERMS,
        policy=scheduler.Scheduler(),
    )


def works(
    per_s_by_priority: abc.Mapping[str, float], **changes
) -> list[cell_load.Work]:
    """Return the usual load of 16 accounts, and the burst of the busy one.

    The busy account sends three tenths of the usual load.
    """
    found = []
    for account in ACCOUNTS:
        part = 0.3 if account == BUSY else 0.7 / 15
        for priority, per_s in per_s_by_priority.items():
            usual = per_s * part
            peak = usual * (6.0 if account == BUSY else 1.0)
            found.append(
                cell_load.Work(
                    account=account,
                    priority=priority,
                    per_s=lambda now, usual=usual, peak=peak: (
                        peak if BURST[0] <= now < BURST[1] else usual
                    ),
                    **changes,
                )
            )
    return found


def replay(cell, load, seed=1):
    run = cell_load.Replay(cell, load, timely_s=0.8, measured=BURST, seed=seed)
    run.run(BURST[1] + 3.0)
    return run


class BusyAccountTest(unittest.TestCase):
    """One account at 6 times its usual beside 15 others.

    If the cell is divided in slots alone, an account reaches its share only
    after it has taken 3.6 times what fits, and the others are refused.
    """

    def check_others(self, runs, priority):
        """Check that the others get a quarter of the average each.

        One that asks for less than that gets all of it.
        """
        placed = {
            account: sum(
                run.results_by_key[account, priority].placed for run in runs
            )
            for account in ACCOUNTS
        }
        asked = {
            account: sum(
                run.results_by_key[account, priority].asked for run in runs
            )
            for account in ACCOUNTS
        }
        least = sum(placed.values()) / len(ACCOUNTS) / 4.0
        for account in ACCOUNTS:
            self.assertGreaterEqual(
                placed[account], min(asked[account], least), account
            )
        # The load must bind, or nothing is shown.
        self.assertLess(placed[BUSY], 0.8 * asked[BUSY])

    @params(
        ('best', {'best': 40.0}),
        ('middle', {'best': 3.0, 'middle': 35.0}),
        ('last', {'best': 3.0, 'middle': 3.0, 'last': 30.0}),
    )
    def test_others_get_their_part_of_the_memory(self, priority, per_s):
        runs = [replay(make_cell(), works(per_s), seed) for seed in (1, 2)]
        self.check_others(runs, priority)
        others = sum(
            run.results_by_key[account, priority].placed
            for run in runs
            for account in ACCOUNTS[1:]
        )
        asked = sum(
            run.results_by_key[account, priority].asked
            for run in runs
            for account in ACCOUNTS[1:]
        )
        self.assertGreater(others, 0.6 * asked)

    @params(('best', {'best': 90.0}), ('middle', {'best': 10, 'middle': 80}))
    def test_others_get_their_part_of_plain_slots(self, priority, per_s):
        """Four servers of 6 slots carry some 96 of these calls per second."""
        load = works(
            per_s,
            stage=cell_types.Stage.PLAIN,
            seconds=0.25,
            deadline_s=1.05,
        )
        run = replay(make_plain_cell(), load)
        self.check_others([run], priority)
        others = [run.results_by_key[each, priority] for each in ACCOUNTS[1:]]
        placed = sum(each.placed for each in others)
        self.assertGreater(placed, 0.6 * sum(each.asked for each in others))

    def test_the_refusal_names_the_resource(self):
        run = replay(make_cell(), works({'best': 40.0}))
        over = [each for each in run.messages if 'share' in each]
        self.assertTrue(over)
        for message in over:
            self.assertRegex(
                message,
                r"account 'a\d+' has \d+\.\d times its share of a full "
                'service, bound by kv_memory',
            )


class ReservedTest(unittest.TestCase):
    """The best of three ranks is reserved what it takes of the memory."""

    def test_the_reserved_part_is_that_of_the_memory(self):
        policy = scheduler.Scheduler()
        cell = make_cell(policy=policy)
        per_s = {'best': 10.0, 'middle': 20.0, 'last': 10.0}
        replay(cell, works(per_s))
        middle = next(
            each
            for each in cell.bookings_by_key.values()
            if each.priority == 'middle'
        )
        held = capacity.used_parts(23.0, cell.view)
        of_best = [
            each
            for each in cell.bookings_by_key.values()
            if each.priority == 'best'
        ]
        tokens = sum(
            each.prompt_tokens + each.expected_tokens / 2 for each in of_best
        )
        part = policy.capacity_use.higher_rank_part(23.0, cell.view, middle)
        self.assertGreater(held[capacity.Resource.KV_MEMORY], 0.5)
        # In slots it would be a quarter of this.
        self.assertGreater(part, 0.7 * tokens / (16 * 29_014))

    def test_one_rank_reserves_nothing(self):
        policy = scheduler.Scheduler()
        cell = make_cell(policy=policy)
        replay(cell, works({'best': 40.0}))
        booking = next(iter(cell.bookings_by_key.values()))
        part = policy.capacity_use.higher_rank_part(23.0, cell.view, booking)
        self.assertEqual(0.0, part)


class NoEffectTest(unittest.TestCase):
    """Without accounts and ranks, each call gets the same answer as ever."""

    @params(True, False)
    def test_one_account_and_rank_are_not_divided(self, is_plain):
        """The load is twice what the cell carries."""
        changes = (
            {
                'stage': cell_types.Stage.PLAIN,
                'seconds': 0.25,
                'deadline_s': 1.05,
                'per_s': lambda now: 200.0,
            }
            if is_plain
            else {'per_s': lambda now: 70.0}
        )
        load = [cell_load.Work(account='', priority='best', **changes)]
        results = []
        for is_divided in (True, False):
            policy = scheduler.Scheduler(
                options=options.Options(fair=is_divided, foresee=is_divided)
            )
            cell = make_plain_cell() if is_plain else make_cell()
            cell.policy = policy
            run = replay(cell, load)
            results.append((run.results_by_key, run.messages))
        self.assertEqual(*results)
        result = results[0][0]['', 'best']
        self.assertGreater(result.declined + result.expired, 100)


class CapacityTest(unittest.TestCase):
    def test_engines_out_of_use_do_not_count(self):
        cell = make_cell()
        before = capacity.capacity_per_s(0.0, cell.view)
        cell.view.switching_ids = frozenset({'d0'})
        cell.view.backends_by_id['p0'].health.add_connection_failure(0.0)
        after = capacity.capacity_per_s(0.1, cell.view)
        self.assertEqual(16 * 29_014, before[capacity.Resource.KV_MEMORY])
        self.assertEqual(15 * 29_014, after[capacity.Resource.KV_MEMORY])
        self.assertEqual(15 * 32, after[capacity.Resource.DECODE_SLOTS])
        self.assertEqual(4, after[capacity.Resource.PREFILL])

    def test_memory_of_unknown_size_does_not_count(self):
        terms = msgspec.structs.replace(TERMS, kv_tokens_by_role={})
        found = capacity.capacity_per_s(0.0, make_cell(terms).view)
        self.assertNotIn(capacity.Resource.KV_MEMORY, found)

    def test_a_changed_weight_takes_effect_at_once(self):
        """A level is reused for half a second, but not with other weights."""
        fair = shares.FairShares()
        for account, amount in (('busy', 100), ('other', 100)):
            fair.add_demand(0.0, account, amount)
            fair.add_usage(0.0, account, amount)
        self.assertTrue(fair.is_over(0.0, 'busy', {}, 40.0))
        self.assertFalse(fair.is_over(0.1, 'busy', {'busy': 3.0}, 40.0))

    def test_an_account_alone_is_never_over_its_share(self):
        fair = shares.FairShares()
        fair.add_demand(0.0, 'only', 1000)
        fair.add_usage(0.0, 'only', 1000)
        self.assertFalse(fair.is_over(0.0, 'only', {}, 5.0))


class ComparisonTest(unittest.TestCase):
    @params(
        (comparisons.ByBindingResource(), (0.6, 1.0)),
        (comparisons.ByDominantResource(), (1.0, 1.0)),
    )
    def test_accounts_that_use_different_resources(self, comparison, factors):
        """Two accounts with equal shares of different resources.

        By dominant resource they are equal, by the one that binds the second
        is heavier.
        """
        memory = capacity.Resource.KV_MEMORY
        prefill = capacity.Resource.PREFILL
        demands = [
            ({memory: 6.0, prefill: 9.0}, 1.0),
            ({memory: 10.0, prefill: 2.0}, 1.0),
        ]
        division = comparison.divide(demands, {memory: 10.0, prefill: 9.0})
        usage = [
            division.factor(each, 1.0) * division.level for each, _ in demands
        ]
        for wanted, found in zip(factors, usage, strict=True):
            self.assertAlmostEqual(wanted, found)


class BindingTest(unittest.TestCase):
    def test_a_cell_without_load_is_bound_by_nothing(self):
        use = capacity_use.CapacityUse()
        self.assertIsNone(use.binding(0.0, make_cell().view))

    def test_the_binding_resource_is_found_from_the_load(self):
        policy = scheduler.Scheduler()
        cell = make_cell(policy=policy)
        replay(cell, works({'best': 40.0}))
        found = policy.capacity_use.binding(20.0, cell.view)
        self.assertIs(capacity.Resource.KV_MEMORY, found)
