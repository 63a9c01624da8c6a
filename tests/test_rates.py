"""Rates of accounts over many instances, in virtual time."""

import unittest

from nose2.tools import params

from dandeliongw.coordination import parts
from dandeliongw.coordination import placement
from dandeliongw.coordination import rates
from tests import rates_network

ACCOUNT = rates_network.ACCOUNT
WINDOW_S = rates_network.WINDOW_S
#: Allowed excess over rate times window plus burst.
OVER = 0.1


def make_limit(per_s=100_000.0, burst=100_000.0):
    return rates.Limit(account=ACCOUNT, per_s=per_s, burst=burst)


def allowed(limit, amount):
    """Return what may be granted in a window, with one request more."""
    return (limit.per_s * WINDOW_S + limit.burst) * (1 + OVER) + amount


class BucketTest(unittest.TestCase):
    def test_a_request_larger_than_the_burst_is_granted(self):
        bucket = rates.Bucket(limit=make_limit(100.0, 0.0), now=0.0)
        self.assertEqual(bucket.take(0.0, 500.0, 1.0), 0.0)
        self.assertAlmostEqual(bucket.take(0.0, 1.0, 1.0), 5.0)

    def test_the_wait_is_true(self):
        """Guards against callers who come back and are refused again."""
        bucket = rates.Bucket(limit=make_limit(100.0, 100.0), now=0.0)
        while not (wait_s := bucket.take(0.0, 30.0, 1.0)):
            pass
        self.assertGreater(bucket.take(wait_s * 0.9, 30.0, 1.0), 0.0)
        self.assertEqual(bucket.take(wait_s + 0.001, 30.0, 1.0), 0.0)

    def test_what_is_put_back_can_be_taken_again(self):
        bucket = rates.Bucket(limit=make_limit(1.0, 100.0), now=0.0)
        bucket.take(0.0, 50.0, 1.0)
        self.assertGreater(bucket.take(0.0, 50.0, 1.0), 0.0)
        bucket.put_back(50.0)
        self.assertEqual(bucket.take(0.0, 50.0, 1.0), 0.0)

    def test_no_more_than_the_burst_is_put_back(self):
        bucket = rates.Bucket(limit=make_limit(1.0, 100.0), now=0.0)
        bucket.put_back(1e9)
        self.assertEqual(bucket.take(0.0, 100.0, 1.0), 0.0)
        self.assertGreater(bucket.take(0.0, 1.0, 1.0), 0.0)

    def test_a_lower_limit_binds_at_once(self):
        bucket = rates.Bucket(limit=make_limit(), now=0.0)
        bucket.change_limit(10.0, make_limit(10.0, 10.0))
        bucket.take(10.0, 10.0, 1.0)
        self.assertAlmostEqual(bucket.take(10.0, 10.0, 1.0), 0.01)
        self.assertAlmostEqual(bucket.take(10.0, 10.0, 1.0), 0.01)


class OneRateTest(unittest.TestCase):
    """Guards against a rate that holds at each instance by itself."""

    amount = 5_000.0

    @params((9, 1), (79, 2), (350, 3))
    def test_an_account_that_asks_for_too_much(self, count, seed):
        limit = make_limit()
        network = rates_network.Network(count=count, limit=limit, seed=seed)
        network.offer(
            begin=100.0, end=120.0, per_s=7 * limit.per_s, amount=self.amount
        )
        network.run(121.0)
        self.assertLessEqual(
            network.most_in_window(), allowed(limit, self.amount)
        )
        total = sum(amount for _, amount in network.granted)
        self.assertGreaterEqual(total, 0.95 * 20.0 * limit.per_s)

    @params((9, 1), (79, 2), (350, 3))
    def test_nothing_within_the_rate_is_refused(self, count, seed):
        limit = make_limit()
        network = rates_network.Network(count=count, limit=limit, seed=seed)
        network.offer(
            begin=100.0, end=130.0, per_s=limit.per_s / 1.8, amount=self.amount
        )
        network.run(131.0)
        self.assertEqual(network.refused(), [])
        waits = [
            at - network.results[ticket][0]
            for ticket, at in zip(
                network.results, (at for at, _ in network.granted), strict=True
            )
        ]
        self.assertLess(max(waits), 0.01)

    def test_a_charge_costs_two_datagrams(self):
        network = rates_network.Network(count=79, limit=make_limit())
        network.offer(begin=100.0, end=110.0, per_s=50_000.0, amount=5_000.0)
        network.run(111.0)
        self.assertLessEqual(network.sent, 2 * len(network.results))

    def test_accounts_without_a_limit_cost_nothing(self):
        network = rates_network.Network(count=79, limit=make_limit())
        network.set_limit(rates.Limit(account='other', per_s=1.0, burst=1.0))
        network.charge_at(100.0, 'gw-3', 1e9)
        network.run(100.0)
        self.assertEqual((network.sent, len(network.granted)), (0, 1))


class FailureTest(unittest.TestCase):
    amount = 5_000.0

    def setUp(self):
        self.limit = make_limit()
        self.network = rates_network.Network(count=79, limit=self.limit)

    def check_bound(self, bursts=0.0):
        """Check the bound; :param bursts: granted beyond it, in bursts."""
        self.assertLessEqual(
            self.network.most_in_window(),
            allowed(self.limit, self.amount) + bursts * self.limit.burst,
        )

    def offer(self, seconds, factor, **options):
        now = self.network.now
        self.network.offer(
            begin=now,
            end=now + seconds,
            per_s=factor * self.limit.per_s,
            amount=self.amount,
            **options,
        )

    def test_a_holder_that_is_frozen_and_wakes(self):
        """Guards against refusals while a holder is not yet suspected.

        Its deputy has a bucket of its own, and the holder's is full again
        when it wakes.
        """
        holder, _ = self.network.holders()
        others = [each for each in self.network.ids if each != holder]
        self.offer(20.0, 7.0, among=others)
        self.network.run(104.0)
        self.network.down.add(holder)
        self.network.run(108.0)
        self.network.down.discard(holder)
        self.network.run(121.0)
        self.check_bound(bursts=1.0)
        self.assertTrue(
            all(result for *_, result in self.network.results.values())
        )

    def test_a_holder_that_dies_refuses_nothing_within_the_rate(self):
        holder, _ = self.network.holders()
        others = [each for each in self.network.ids if each != holder]
        self.offer(20.0, 0.5, among=others)
        self.network.run(105.0)
        self.network.down.add(holder)
        self.network.run(108.0)
        for each in others:
            self.network.see(each, others)
        self.network.run(121.0)
        self.assertEqual(self.network.refused(), [])
        late = [
            asked_at
            for asked_at, _, result in self.network.results.values()
            if result is None
        ]
        self.assertEqual(late, [])

    def test_both_sides_of_a_partition_grant_the_rate_once(self):
        small = set(self.network.ids[:20])
        large = set(self.network.ids[20:])
        for each in self.network.ids:
            self.network.group_by_id[each] = each in small
            self.network.see(
                each,
                small if each in small else large,
                has_quorum=each in large,
            )
        self.offer(20.0, 7.0)
        self.network.run(121.0)
        # The larger side grants the rate, the smaller one its part of it.
        part = len(small) / len(self.network.ids)
        self.assertLessEqual(
            self.network.most_in_window(),
            allowed(self.limit, self.amount)
            + part * (self.limit.per_s * WINDOW_S + self.limit.burst),
        )

    def test_instances_that_reach_nobody_share_the_rate(self):
        """Guards against an isolated instance that grants the whole rate."""
        for number, each in enumerate(self.network.ids):
            self.network.group_by_id[each] = number
        self.offer(20.0, 7.0)
        self.network.run(121.0)
        # Two of them are holders, and each of these grants the rate itself.
        self.assertLessEqual(
            self.network.most_in_window(),
            3 * allowed(self.limit, self.amount)
            + len(self.network.ids) * self.amount,
        )

    def test_an_account_that_is_limited_from_now_on_at_all_instances(self):
        self.offer(20.0, 7.0)
        self.network.run(108.0)
        lower = make_limit(10_000.0, 10_000.0)
        self.network.set_limit(lower)
        self.network.granted.clear()
        self.network.run(121.0)
        self.assertLessEqual(
            self.network.most_in_window(), allowed(lower, self.amount)
        )

    @params(0.03, 0.3)
    def test_lost_datagrams(self, loss):
        """Guards against a request that waits for ever for its charge."""
        self.network.loss = loss
        self.offer(20.0, 0.5)
        self.network.run(122.0)
        self.assertTrue(
            all(result for *_, result in self.network.results.values())
        )
        self.check_bound()

    def test_a_grant_that_comes_too_late_goes_back(self):
        """Guards against charges for requests that were charged elsewhere."""
        made = self.network.rates_by_id['gw-1']
        answer = rates.ChargeAnswered(
            ticket='gone', account=ACCOUNT, amount=7.0, wait_s=0.0
        )
        out = made.handle(
            parts.Received(now=100.0, sender='gw-2', message=answer)
        )
        returned = rates.ChargeReturned(account=ACCOUNT, amount=7.0)
        self.assertEqual(
            [(each.to, each.message) for each in out], [('gw-2', returned)]
        )

    def test_a_refund_reaches_the_holder(self):
        amount = 5 * self.limit.burst
        ticket = self.network.charge_at(100.0, 'gw-1', amount)
        self.network.run(100.1)
        result = self.network.results[ticket][2]
        self.assertEqual(result.granted_by, self.network.holders()[0])
        self.network._handle(
            'gw-1',
            rates.Refund(
                now=100.1,
                account=ACCOUNT,
                amount=amount,
                granted_by=result.granted_by,
            ),
        )
        self.network.run(100.2)
        self.network.charge_at(100.2, 'gw-2', self.amount)
        self.network.run(100.3)
        self.assertEqual(len(self.network.granted), 2)

    def test_instances_that_are_gone_are_forgotten(self):
        """Guards against a table that grows with each restart of an entry."""
        holder, _ = self.network.holders()
        other = next(each for each in self.network.ids if each != holder)
        self.network.down.add(holder)
        self.network.charge_at(100.0, other, self.amount)
        self.network.run(101.0)
        made = self.network.rates_by_id[other]
        self.assertEqual(made.count_avoided(), 1)
        self.network.see(other, set(self.network.ids) - {holder})
        self.assertEqual(made.count_avoided(), 0)

    def test_a_refusal_is_reported_now_and_then(self):
        """Guards against a log line for each refused request."""
        made = rates.Rates(instance_id='gw-0')
        limit = make_limit(1.0, 0.0)
        made.handle(rates.SetLimits(now=0.0, limits=(limit,)))
        made.handle(
            rates.SetMembers(
                now=0.0,
                members=(
                    placement.Member(instance_id='gw-0', data_centre='a'),
                ),
                has_quorum=True,
            )
        )
        found = []
        for number in range(1000):
            charge = rates.Charge(
                now=number / 100,
                ticket=str(number),
                account=ACCOUNT,
                amount=100.0,
            )
            found += made.handle(charge)
        reported = [
            each for each in found if isinstance(each, rates.RateReached)
        ]
        self.assertEqual(len(reported), 1)
        refused = made.charges_by_outcome[rates.ChargeOutcome.REFUSED]
        self.assertEqual(made.most_refused(), {ACCOUNT: refused})
        self.assertEqual(
            refused + made.charges_by_outcome[rates.ChargeOutcome.GRANTED],
            1000,
        )
