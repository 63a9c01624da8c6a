"""Fair shares of a cell between client accounts."""

from collections import abc
import math

#: How fast a measured rate forgets, in seconds.
FADES_S = 10.0
#: An account may exceed its share by this part before it is limited, so
#: that the noise of a few seconds limits nobody.
SLACK = 1.2
#: How long a computed level is used again.
LEVEL_KEPT_S = 0.5
#: Accounts that used less than this are forgotten, in slots.
LEAST_RATE = 1e-3


class Flow:
    """A rate, as a moving average that fades over :data:`FADES_S`."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Count an amount."""
        self._rate = self.rate(now) + amount / FADES_S
        self._at = now

    def rate(self, now: float) -> float:
        """Return the rate a second."""
        return self._rate * math.exp((self._at - now) / FADES_S)


def fair_level(
    demands: abc.Iterable[tuple[float, float]], capacity: float
) -> float:
    """Return the level at which shares use up the capacity.

    Who wants less than the level times its weight gets all it wants; what
    it leaves is divided between the others.

    :param demands: (demand, weight) of each account.
    :return: infinity if there is enough for all.
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
    """Tells which accounts take more than their share of a full cell.

    One busy account would else fill the queue, and all others would be
    refused with it; one would notice refusals of accounts that ask little.
    """

    def __init__(self) -> None:
        self._wanted_by_account: dict[str, Flow] = {}
        self._given_by_account: dict[str, Flow] = {}
        self._level = math.inf
        self._level_at = -math.inf

    def want(self, now: float, account: str, slot_s: float) -> None:
        """Count what an account asks for."""
        flow = self._wanted_by_account.setdefault(account, Flow())
        flow.add(now, slot_s)

    def give(self, now: float, account: str, slot_s: float) -> None:
        """Count what an account gets."""
        flow = self._given_by_account.setdefault(account, Flow())
        flow.add(now, slot_s)

    def is_over(
        self,
        now: float,
        account: str,
        weights: abc.Mapping[str, float],
        capacity: float,
    ) -> bool:
        """Return whether an account has more than its share.

        :param weights: by account; one if absent.
        :param capacity: slots of the cell.
        """
        if now - self._level_at >= LEVEL_KEPT_S:
            self._find_level(now, weights, capacity)
        given = self._given_by_account.get(account)
        if given is None:
            return False
        share = self._level * weights.get(account, 1.0)
        return given.rate(now) > share * SLACK

    def _find_level(
        self, now: float, weights: abc.Mapping[str, float], capacity: float
    ) -> None:
        for by_account in (self._wanted_by_account, self._given_by_account):
            for account in list(by_account):
                if by_account[account].rate(now) < LEAST_RATE:
                    del by_account[account]
        demands = [
            (flow.rate(now), weights.get(account, 1.0))
            for account, flow in self._wanted_by_account.items()
        ]
        self._level = fair_level(demands, capacity)
        self._level_at = now
