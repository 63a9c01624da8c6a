"""Fair shares of a cell between client accounts."""

from collections import abc
import math

#: Time constant of the exponential decay of rates, in seconds.
DECAY_S = 10.0
#: An account is limited above this multiple of its share, so that noise over
#: a few seconds limits none.
SLACK = 1.2
#: Seconds for which a computed fair level is reused.
LEVEL_TTL_S = 0.5
#: Accounts with a lower rate are dropped, in slots.
MIN_RATE = 1e-3


class DecayingRate:
    """A rate as an exponentially decaying average, see :data:`DECAY_S`."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount."""
        self._rate = self.rate(now) + amount / DECAY_S
        self._at = now

    def rate(self, now: float) -> float:
        """Return the average amount a second."""
        return self._rate * math.exp((self._at - now) / DECAY_S)


def fair_level(
    demands: abc.Iterable[tuple[float, float]], capacity: float
) -> float:
    """Return the level of a weighted max-min fair allocation.

    An account whose demand is below the level times its weight gets all of
    it; the rest is divided between the others.

    :param demands: (demand, weight) of each account.
    :returns: infinity if the capacity is enough for all.
    """
    ordered = sorted(demands, key=lambda each: each[0] / each[1])
    left = capacity
    weights = sum(weight for _, weight in ordered)
    for demand, weight in ordered:
        level = left / weights
        if demand / weight > level:
            return level
        left -= demand
        weights -= weight
    return math.inf


class FairShares:
    """Finds the accounts that take more than their share of a full cell.

    Without this, one busy account would fill the queue, and accounts with
    little work would be refused, too.
    """

    def __init__(self) -> None:
        self._demand_by_account: dict[str, DecayingRate] = {}
        self._usage_by_account: dict[str, DecayingRate] = {}
        self._level = math.inf
        self._level_at = -math.inf

    def add_demand(self, now: float, account: str, slot_s: float) -> None:
        """Add work that an account requested.

        :param slot_s: slots times seconds.
        """
        average = self._demand_by_account.setdefault(account, DecayingRate())
        average.add(now, slot_s)

    def add_usage(self, now: float, account: str, slot_s: float) -> None:
        """Add work of an account that was admitted.

        :param slot_s: slots times seconds.
        """
        average = self._usage_by_account.setdefault(account, DecayingRate())
        average.add(now, slot_s)

    def is_over(
        self,
        now: float,
        account: str,
        weights: abc.Mapping[str, float],
        capacity: float,
    ) -> bool:
        """Return whether an account uses more than its share.

        :param weights: by account; one if absent.
        :param capacity: slots of the cell.
        """
        if now - self._level_at >= LEVEL_TTL_S:
            self._update_level(now, weights, capacity)
        usage = self._usage_by_account.get(account)
        if usage is None:
            return False
        share = self._level * weights.get(account, 1.0)
        return usage.rate(now) > share * SLACK

    def _update_level(
        self, now: float, weights: abc.Mapping[str, float], capacity: float
    ) -> None:
        for by_account in (self._demand_by_account, self._usage_by_account):
            for account in list(by_account):
                if by_account[account].rate(now) < MIN_RATE:
                    del by_account[account]
        demands = [
            (average.rate(now), weights.get(account, 1.0))
            for account, average in self._demand_by_account.items()
        ]
        self._level = fair_level(demands, capacity)
        self._level_at = now
