"""Rates of accounts with a window over many instances, in virtual time.

``python -m benchmarks.rates 50`` runs the simulations with more seeds.
"""

import unittest

from nose2.tools import params

from benchmarks import rates as simulations
from dandeliongw.coordination import _rate_window
from dandeliongw.coordination import parts
from dandeliongw.coordination import rates
from dandeliongw import wire
from tests import rates_network

ACCOUNT = rates_network.ACCOUNT
PER_S = 168_000.0
#: Simulations of each failure in a normal test run.
SEEDS = 1


class WindowTest(unittest.TestCase):
    def setUp(self):
        self.window = _rate_window.Window(
            limit=rates.Limit(
                account=ACCOUNT, per_s=100.0, burst=50.0, window_s=8.0
            )
        )

    def charge(self, now, amount, caller=0):
        return self.window.charge(now, amount, 1.0, caller)

    def test_the_whole_window_may_be_used_at_once(self):
        """Guards against refusals at the burst, long before the window."""
        for _ in range(17):
            self.assertEqual(self.charge(100.0, 50.0).wait_s, 0.0)
        wait_s = self.charge(101.0, 50.0).wait_s
        self.assertAlmostEqual(wait_s, 7.0, delta=0.1)
        self.assertEqual(self.charge(101.0 + wait_s, 50.0).wait_s, 0.0)

    def test_those_who_return_in_time_are_granted(self):
        """Guards against one time for all, at which most are refused."""
        for number in range(17):
            self.charge(100.0 + number * 0.4, 50.0)
        waits = [self.charge(107.0, 50.0, n).wait_s for n in range(1, 6)]
        self.assertEqual(len({round(each, 1) for each in waits}), 5)
        for caller, wait_s in enumerate(waits, 1):
            # Another caller that comes first finds no room.
            self.assertGreater(self.charge(107.0 + wait_s, 50.0, 99).wait_s, 0)
            charged = self.charge(107.0 + wait_s, 50.0, caller)
            self.assertEqual(charged.wait_s, 0.0)

    def test_a_promise_does_not_hold_for_ever(self):
        """Guards against room that is kept for callers that are gone."""
        for _ in range(17):
            self.charge(100.0, 50.0)
        self.charge(107.5, 50.0, 1)
        self.assertEqual(self.charge(109.0, 850.0, 2).wait_s, 0.0)

    def test_promises_are_bounded(self):
        self.charge(100.0, 850.0)
        for caller in range(1, 2 * _rate_window.MAX_PROMISES):
            wait_s = self.charge(107.0, 0.1, caller).wait_s
        self.assertEqual(wait_s, 8.0)

    def test_a_refund_goes_to_its_interval(self):
        """Guards against a refund of the newest grants, which last longer."""
        charged = self.charge(100.0, 800.0)
        self.charge(104.0, 50.0)
        self.assertTrue(self.window.own.take_back(charged.granted_in, 800.0))
        self.assertFalse(self.window.own.take_back(charged.granted_in, 800.0))
        self.assertAlmostEqual(self.window.used(104.0), 50.0)
        self.assertAlmostEqual(self.window.used(111.0), 50.0)

    def test_a_delayed_report_does_not_make_grants_younger(self):
        """Guards against refusals by a holder that was suspended.

        It reads reports that have waited in its socket.
        """

        def report(version, sent_at):
            return rates.GrantsReported(
                account=ACCOUNT,
                own=rates.GrantHistory(
                    instance_id='gw-1',
                    start=1,
                    version=version,
                    sent_at=sent_at,
                    unit=1.0,
                    grants=(100,),
                ),
            ).own

        self.window.learn(100.0, report(1, 50.0), ('gw-1', 1))
        self.window.learn(107.0, report(2, 50.1), ('gw-1', 1))
        self.assertAlmostEqual(self.window.used(107.0), 100.0)
        self.assertEqual(self.window.used(108.7), 0.0)


class SimulationTest(unittest.TestCase):
    """Single failures of a holder, and series of them."""

    def check_over(self, found):
        self.assertLessEqual(found.filled, 1.0)
        # The window is used: nothing is lost to caution.
        self.assertGreater(found.filled, 0.7)
        self.assertLessEqual(found.slowest_s, 0.35)

    @params(*simulations.FAILURES)
    def test_an_account_that_asks_for_too_much(self, failure):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.check_over(simulations.over(9, PER_S, failure, seed))

    @params(*simulations.FAILURES)
    def test_nothing_is_refused_at_usual_use(self, failure):
        """Guards against refusals while a holder is replaced."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                found = simulations.usual(9, PER_S, failure, seed)
                refused = found.refused - found.early_cut_off
                self.assertEqual((refused, found.unanswered), (0, 0))

    @params((74, 'frozen'), (350, 'killed'))
    def test_many_instances(self, count, failure):
        self.check_over(simulations.over(count, PER_S, failure, 1))

    def test_a_series_of_failures(self):
        self.check_over(simulations.series(9, 36_000.0, 7.0, 0))

    def test_a_burst_after_usual_use(self):
        """Guards against refusals before the window is used up."""
        made = simulations.Simulation(count=74, per_s=PER_S, seed=1)
        made.offer(100.0, 108.0, 1 / 1.8)
        made.offer(108.0, 109.0, 3.4)
        made.run(110.0)
        self.assertEqual(made.network.refused(), [])


class ProtocolTest(unittest.TestCase):
    def setUp(self):
        self.made = simulations.Simulation(count=9, per_s=PER_S, seed=1)
        self.network = self.made.network
        self.holder, self.deputy = self.network.holders()
        self.other = next(
            each
            for each in self.network.ids
            if each not in (self.holder, self.deputy)
        )

    def charge(self, at, amount, instance_id=None):
        ticket = self.network.charge_at(at, instance_id or self.other, amount)
        self.network.run(at + 0.4)
        return self.network.results[ticket][2]

    def refund(self, result, amount):
        self.network._handle(
            self.other,
            rates.Refund(
                now=self.network.now,
                account=ACCOUNT,
                amount=amount,
                granted_by=result.granted_by,
                granted_in=result.granted_in,
                used_in=result.used_in,
            ),
        )

    def test_a_restarted_holder_knows_what_it_granted(self):
        """Guards against a second window for each restart."""
        whole = self.network.limit.per_s * 8
        self.assertTrue(self.charge(101.0, whole).is_granted)
        self.network.down.add(self.holder)
        self.network.run(102.0)
        self.network.restart(self.holder)
        result = self.charge(102.5, whole / 2)
        self.assertEqual(result.granted_by, self.holder)
        self.assertFalse(result.is_granted)

    @params('holder', 'alone')
    def test_a_refund_makes_room(self, by):
        whole = self.network.limit.per_s * 8
        if by == 'alone':
            self.network.group_by_id[self.other] = 1
        granted = self.charge(101.0, whole)
        self.assertFalse(self.charge(102.0, whole / 2).is_granted)
        self.refund(granted, whole)
        self.network.run(103.0)
        self.assertTrue(self.charge(103.0, whole).is_granted)

    def test_grants_by_an_instance_alone_are_counted_later(self):
        whole = self.network.limit.per_s * 8
        self.network.group_by_id[self.other] = 1
        self.assertTrue(self.charge(101.0, whole).is_granted)
        self.network.group_by_id.clear()
        self.network.run(103.0)
        self.assertFalse(self.charge(103.0, whole / 2).is_granted)

    def test_shares_sum_to_one_window(self):
        """Guards against entries that each grant a window alone."""
        self.made.offer(100.0, 108.0, 1.0)
        self.network.run(108.0)
        for number, each in enumerate(self.network.ids):
            self.network.group_by_id[each] = number
        self.made.offer(108.0, 124.0, 7.0)
        self.network.run(124.0)
        window = self.network.limit.per_s * 8 + self.network.limit.burst
        late = [each for each in self.network.granted if each[0] > 110.0]
        self.network.granted = late
        # At least one request each; two of them were holders.
        self.assertLessEqual(
            self.network.most_in_window(),
            window + 9 * max(simulations.AMOUNTS),
        )

    def test_a_log_line_when_holders_are_silent_and_when_they_answer(self):
        """Guards against a line for each charge."""
        logged = []
        handle = self.network.rates_by_id[self.other].handle

        def record(event):
            out = handle(event)
            logged.extend(
                each
                for each in out
                if isinstance(
                    each, rates.HoldersSilent | rates.HoldersAnswering
                )
            )
            return out

        self.network.rates_by_id[self.other].handle = record
        self.network.group_by_id[self.other] = 1
        for number in range(8):
            self.charge(101.0 + number / 2, 10.0)
        self.network.group_by_id.clear()
        self.charge(107.0, 10.0)
        self.assertEqual(
            [type(each) for each in logged],
            [rates.HoldersSilent, rates.HoldersAnswering],
        )

    def test_reports_cost_less_than_a_kilobyte_per_second(self):
        codec = wire.make_codec()
        sizes = []
        arrive = self.network._arrive

        def record(sender, to, message):
            if isinstance(message, rates.GrantsReported):
                sizes.append(len(codec.encode(message)[1]))
            arrive(sender, to, message)

        self.network._arrive = record
        self.made.offer(100.0, 120.0, 1.0)
        self.network.run(120.0)
        self.assertLess(sum(sizes) / 20, 1_000)
        # With the envelope, a datagram has up to 1,200 bytes.
        self.assertLess(max(sizes), 200)

    def test_what_waited_for_a_suspended_holder_is_not_granted(self):
        """Guards against grants for requests that were charged elsewhere."""
        self.charge(101.0, 10.0)
        self.network.suspend(self.holder)
        for number in range(20):
            self.network.charge_at(102.0 + number / 4, self.other, 10_000.0)
        self.network.run(109.0)
        self.network.resume(self.holder)
        self.network.run(109.0)
        made = self.network.rates_by_id[self.holder]
        granted = made.charges_by_outcome[rates.ChargeOutcome.GRANTED]
        self.assertEqual(granted, 1)

    def test_the_account_of_a_window_without_limit_is_not_reported(self):
        """Guards against an error for reports on accounts unknown here."""
        made = rates.Rates(instance_id='gw-0')
        report = rates.GrantsReported(
            account='other',
            own=rates.GrantHistory(
                instance_id='gw-1', start=1, version=1, sent_at=1.0, unit=1.0
            ),
        )
        event = parts.Received(now=1.0, sender='gw-1', message=report)
        self.assertEqual(made.handle(event), [])
