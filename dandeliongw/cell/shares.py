"""Fair shares of a cell between client accounts."""

from collections import abc
import math

import msgspec

from . import comparisons
from .capacity import Amounts
from .capacity import Resource
from .comparisons import fair_level

__all__ = ['DecayingRates', 'Excess', 'FairShares', 'fair_level']

#: Time constant of the exponential decay of rates, in seconds. Bursts of one
#: account last for 5 to 10 s; with 10 s it had taken its surplus before its
#: average showed it.
DECAY_S = 4.0
#: An account is limited above this multiple of its share, so that noise over
#: a few seconds limits none.
SLACK = 1.2
#: Seconds for which a computed fair level is reused.
LEVEL_TTL_S = 0.5
#: Accounts that ask for a smaller part of a cell are not active.
MIN_PART = 1e-5


class DecayingRates:
    """Rates as exponentially decaying averages.

    :param decay_s: time constant of the decay.
    """

    def __init__(self, decay_s: float = DECAY_S) -> None:
        self._decay_s = decay_s
        self._rates: dict[Resource, float] = {}
        self._at = 0.0

    def add(self, now: float, amounts: Amounts) -> None:
        """Add an amount of each resource."""
        self._rates = self.rates(now)
        self._at = now
        for resource, amount in amounts.items():
            rate = self._rates.get(resource, 0.0)
            self._rates[resource] = rate + amount / self._decay_s

    def rates(self, now: float) -> dict[Resource, float]:
        """Return the average amounts a second."""
        kept = math.exp((self._at - now) / self._decay_s)
        return {
            resource: rate * kept for resource, rate in self._rates.items()
        }


class Excess(msgspec.Struct, frozen=True, kw_only=True):
    """By how much an account exceeds its share.

    :param resource: the one that binds.
    :param factor: its usage over its share.
    """

    resource: Resource
    factor: float


class FairShares:
    """Finds the accounts that take more than their share of a full cell.

    Without this, one busy account would fill the queue, and accounts with
    little work would be refused, too. Amounts are a number for each resource;
    a single number stands for decode slots.

    :param comparison: how accounts are compared that use several resources.
    """

    def __init__(
        self, comparison: comparisons.Comparison | None = None
    ) -> None:
        self._comparison = comparison or comparisons.ByDominantResource()
        self._demand_by_account: dict[str, DecayingRates] = {}
        self._usage_by_account: dict[str, DecayingRates] = {}
        self._division = comparisons.Division(capacity={})
        self._divided_at = -math.inf
        self._weights: abc.Mapping[str, float] = {}

    def add_demand(
        self, now: float, account: str, amounts: Amounts | float
    ) -> None:
        """Add work that an account requested."""
        averages = self._demand_by_account.setdefault(account, DecayingRates())
        averages.add(now, _amounts(amounts))

    def add_usage(
        self, now: float, account: str, amounts: Amounts | float
    ) -> None:
        """Add work of an account that was admitted."""
        averages = self._usage_by_account.setdefault(account, DecayingRates())
        averages.add(now, _amounts(amounts))

    def is_over(
        self,
        now: float,
        account: str,
        weights: abc.Mapping[str, float],
        capacity: Amounts | float,
    ) -> bool:
        """Return whether an account uses more than its share.

        :param weights: by account; one if absent.
        :param capacity: of the cell, per second.
        """
        return self.excess(now, account, weights, capacity) is not None

    def excess(
        self,
        now: float,
        account: str,
        weights: abc.Mapping[str, float],
        capacity: Amounts | float,
    ) -> Excess | None:
        """Return by how much an account exceeds its share, if it does.

        Nothing is divided while only one account is active.
        """
        # A changed document has another mapping.
        is_changed = weights is not self._weights
        if is_changed or now - self._divided_at >= LEVEL_TTL_S:
            self._divide(now, weights, _amounts(capacity))
        usage = self._usage_by_account.get(account)
        if usage is None:
            return None
        binding = self._division.binding
        factor = self._division.factor(
            usage.rates(now), weights.get(account, 1.0)
        )
        if binding is None or factor <= SLACK:
            return None
        return Excess(resource=binding, factor=factor)

    def _divide(
        self, now: float, weights: abc.Mapping[str, float], capacity: Amounts
    ) -> None:
        for by_account in (self._demand_by_account, self._usage_by_account):
            for account, averages in list(by_account.items()):
                if not _is_active(averages.rates(now), capacity):
                    del by_account[account]
        self._divided_at = now
        self._weights = weights
        if len(self._demand_by_account) < 2:
            self._division = comparisons.Division(capacity=capacity)
            return
        demands = [
            (averages.rates(now), weights.get(account, 1.0))
            for account, averages in self._demand_by_account.items()
        ]
        self._division = self._comparison.divide(demands, capacity)


def _is_active(rates: Amounts, capacity: Amounts) -> bool:
    return any(
        rate >= MIN_PART * capacity.get(resource, math.inf)
        for resource, rate in rates.items()
    )


def _amounts(amounts: Amounts | float) -> Amounts:
    if isinstance(amounts, float | int):
        return {Resource.DECODE_SLOTS: float(amounts)}
    return amounts
