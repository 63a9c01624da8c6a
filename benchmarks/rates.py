"""Simulates accounts with a window over many instances, in virtual time.

Run ``python -m benchmarks.rates [seeds]``; 50 seeds take some minutes. For
each failure it prints the most that was granted in any window, as a part of
the bound, and what was refused although the window had room, as JSON lines.
"""

import json
import random
import sys

import msgspec

from dandeliongw.coordination import rates
from tests import rates_network

WINDOW_S = rates_network.WINDOW_S
#: What may be granted beyond rate times window plus burst.
OVER, SLACK = 0.1, 140_000.0
#: What the adapter adds to the limits of that.
OVER_SHARE, SLACK_SHARE = 0.5, 0.25
AMOUNTS = (3_270.0, 5_270.0)
RATES = (36_000.0, 90_000.0, 168_000.0)
COUNTS = (9, 74, 350)
#: A third of the time that callers of the first deployment have.
RETRY_MAX_S = 1.3
#: Longest suspension of an instance, in seconds.
FROZEN_S = 7.4
FAILURES = ('none', 'frozen', 'killed', 'restarted', 'cut_off')
BEGIN = 100.0
END = 125.0


class Found(msgspec.Struct, kw_only=True):
    """What one simulation found.

    :param filled: the most granted in a window, as a part of the bound.
    :param early: refusals although the account's window had room, by entries
        that reach a holder, and by the instance that was cut off.
    :param slowest_s: the longest wait for the result of a charge.
    """

    filled: float
    granted: float
    refused: int
    early: int
    early_cut_off: int
    unanswered: int
    retries: int
    retries_refused: int
    slowest_s: float


def make_limit(per_s: float) -> rates.Limit:
    """Return the limit as the adapter passes it on."""
    return rates.Limit(
        account=rates_network.ACCOUNT,
        per_s=per_s * (1 + OVER * OVER_SHARE),
        burst=per_s / 2 * (1 + OVER * OVER_SHARE) + SLACK * SLACK_SHARE,
        window_s=WINDOW_S,
    )


class Simulation:
    """One account, and failures of its holders.

    :param per_s: the account's rate.
    """

    def __init__(self, *, count: int, per_s: float, seed: int) -> None:
        self.per_s = per_s
        self.network = rates_network.Network(
            count=count, limit=make_limit(per_s), seed=seed
        )
        self.network.retry_max_s = RETRY_MAX_S
        self.random = random.Random(seed)
        self.cut_off_ids: set[str] = set()

    def offer(self, begin: float, end: float, factor: float) -> None:
        """Let callers ask for so many times the rate."""
        at = begin
        while at < end:
            amount = self.random.choice(AMOUNTS)
            at += self.random.expovariate(factor * self.per_s / amount)
            self.network.charge_at(
                at,
                self.random.choice(self.network.ids),
                amount,
                next(self.network.callers),
            )

    def fail(self, failure: str, at: float) -> float:
        """Plan a failure of a holder; return when it has ended."""
        network = self.network
        holder = self.random.choice((0, 0, 0, 1))
        victim = network.holders()[holder]
        lasts = {
            'none': 0.0,
            'frozen': self.random.uniform(0.5, FROZEN_S),
            'killed': 30.0,
            'restarted': self.random.uniform(0.3, 2.0),
            'cut_off': self.random.uniform(1.0, 8.0),
        }[failure]
        until = at + lasts
        if failure == 'frozen':
            network.do_at(at, network.suspend, victim)
            network.do_at(until, network.resume, victim)
        elif failure == 'killed':
            network.do_at(at, network.down.add, victim)
        elif failure == 'restarted':
            network.do_at(at, network.down.add, victim)
            network.do_at(until, network.restart, victim)
        elif failure == 'cut_off':
            self.cut_off_ids.add(victim)
            network.do_at(at, network.group_by_id.__setitem__, victim, 1)
            network.do_at(until, network.group_by_id.pop, victim)
            if lasts > 2.0:
                network.do_at(
                    at + 2.0, network.see, victim, {victim}, has_quorum=False
                )
                network.do_at(until + 0.5, network.see, victim, network.ids)
        if failure != 'none' and lasts > 3.5:
            self._forget(victim, at, until)
        return until

    def _forget(self, victim: str, at: float, until: float) -> None:
        """Let the others notice that an instance is gone and back."""
        network = self.network
        others = [each for each in network.ids if each != victim]
        for each in others:
            network.do_at(
                at + self.random.uniform(2.0, 3.5), network.see, each, others
            )
            network.do_at(
                until + self.random.uniform(0.1, 1.0),
                network.see,
                each,
                network.ids,
            )

    def run(self, end: float = END) -> Found:
        network = self.network
        network.run(end + 2.0)
        bound = (self.per_s * WINDOW_S + self.per_s / 2) * (1 + OVER) + SLACK
        early = self._early()
        cut_off = sum(each in self.cut_off_ids for each in early)
        waits = [
            done - network.results[ticket][0]
            for ticket, done in network.done_by_ticket.items()
        ]
        retried = [
            network.results[ticket][2]
            for ticket in network.retries
            if ticket in network.results
        ]
        return Found(
            filled=network.most_in_window() / bound,
            granted=sum(amount for _, amount in network.granted),
            refused=len(network.refused()),
            early=len(early) - cut_off,
            early_cut_off=cut_off,
            unanswered=sum(
                result is None for *_, result in network.results.values()
            ),
            retries=len(retried),
            retries_refused=sum(
                result is not None and not result.is_granted
                for result in retried
            ),
            slowest_s=max(waits, default=0.0),
        )

    def _early(self) -> list[str]:
        """Return the instances of refusals while the window had room."""
        allowed = self.per_s * WINDOW_S + self.per_s / 2
        early = []
        granted = self.network.granted
        first = last = 0
        total = 0.0
        for at, amount, instance_id in self.network.refused_at:
            while last < len(granted) and granted[last][0] <= at:
                total += granted[last][1]
                last += 1
            while first < last and granted[first][0] <= at - WINDOW_S:
                total -= granted[first][1]
                first += 1
            if total + amount <= allowed:
                early.append(instance_id)
        return early


def over(count: int, per_s: float, failure: str, seed: int) -> Found:
    """Simulate an account that asks for seven times its rate."""
    made = Simulation(count=count, per_s=per_s, seed=seed)
    begin = BEGIN + made.random.uniform(0.0, 9.0)
    made.offer(BEGIN, begin, 1 / 1.8)
    made.offer(begin, END, made.random.choice((2.0, 3.4, 7.0)))
    made.fail(failure, begin + made.random.uniform(-1.0, 4.0))
    return made.run()


def usual(count: int, per_s: float, failure: str, seed: int) -> Found:
    """Simulate an account at its usual use, with a burst."""
    made = Simulation(count=count, per_s=per_s, seed=seed)
    made.offer(BEGIN, BEGIN + 6.0, 1 / 1.8)
    made.offer(BEGIN + 6.0, BEGIN + 12.0, 1.7 / 1.8)
    made.offer(BEGIN + 12.0, END, 1 / 1.8)
    made.fail(failure, BEGIN + made.random.uniform(2.0, 12.0))
    return made.run()


def series(count: int, per_s: float, factor: float, seed: int) -> Found:
    """Simulate failures one after the other, 9 to 11 s apart."""
    made = Simulation(count=count, per_s=per_s, seed=seed)
    end = BEGIN + 50.0
    made.offer(BEGIN, end, factor)
    at = BEGIN + 3.0
    while at < end:
        failure = made.random.choice(('frozen', 'restarted', 'cut_off'))
        until = made.fail(failure, at)
        at = until + made.random.uniform(9.0, 11.0)
    return made.run(end)


def summary(founds: list[Found]) -> dict:
    """Return the worst of many simulations."""
    return {
        'runs': len(founds),
        'filled': round(max(each.filled for each in founds), 4),
        'refused': sum(each.refused for each in founds),
        'early': sum(each.early for each in founds),
        'early_cut_off': sum(each.early_cut_off for each in founds),
        'unanswered': sum(each.unanswered for each in founds),
        'retries': sum(each.retries for each in founds),
        'retries_refused': sum(each.retries_refused for each in founds),
        'slowest_s': round(max(each.slowest_s for each in founds), 3),
    }


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 50
    counts = (
        tuple(map(int, sys.argv[2].split(','))) if sys.argv[2:] else COUNTS
    )
    for count in counts:
        for failure in (*FAILURES, 'series'):
            founds: dict[str, list[Found]] = {'over': [], 'usual': []}
            for seed in range(seeds):
                per_s = RATES[seed % len(RATES)]
                if failure == 'series':
                    factors = {'over': 7.0, 'usual': 1 / 1.8}
                    for load, factor in factors.items():
                        founds[load].append(series(count, per_s, factor, seed))
                    continue
                founds['over'].append(over(count, per_s, failure, seed))
                founds['usual'].append(usual(count, per_s, failure, seed))
            for load, found in founds.items():
                line = {'instances': count, 'failure': failure, 'load': load}
                print(json.dumps(line | summary(found)), flush=True)


if __name__ == '__main__':
    main()
