"""Two ways to compare how much of a full cell accounts use."""

from collections import abc
import math
import typing

import msgspec

from . import capacity as capacity_module
from .capacity import Amounts
from .capacity import Resource


class Division(msgspec.Struct, frozen=True, kw_only=True):
    """How a capacity is divided between accounts.

    :param capacity: what is divided, of each resource that counts.
    :param level: part of it for an account of weight one; infinite if there
        is enough for all.
    :param binding: the resource that limits the level.
    """

    capacity: Amounts
    level: float = math.inf
    binding: Resource | None = None

    def factor(self, usage: Amounts, weight: float) -> float:
        """Return by what factor a usage exceeds its share."""
        resource = capacity_module.most_used(usage, self.capacity)
        if resource is None:
            return 0.0
        part = usage[resource] / self.capacity[resource]
        return part / (self.level * weight)


class Comparison(typing.Protocol):
    """Compares accounts that use several resources."""

    def divide(
        self,
        demands: abc.Sequence[tuple[Amounts, float]],
        capacity: Amounts,
    ) -> Division:
        """Divide a capacity.

        :param demands: (demand, weight) of each account.
        """
        ...


class ByBindingResource:
    """Divides the resource of which the greatest part is asked for."""

    def divide(
        self,
        demands: abc.Sequence[tuple[Amounts, float]],
        capacity: Amounts,
    ) -> Division:
        """Return a max-min fair division of that resource alone."""
        total = _sum(demand for demand, _ in demands)
        binding = capacity_module.most_used(total, capacity)
        if binding is None:
            return Division(capacity={})
        parts = [
            (demand.get(binding, 0.0) / capacity[binding], weight)
            for demand, weight in demands
        ]
        return Division(
            capacity={binding: capacity[binding]},
            level=fair_level(parts, 1.0),
            binding=binding,
        )


class ByDominantResource:
    """Dominant resource fairness.

    The share of an account is that of the resource of which it uses the
    greatest part. All shares grow together, in proportion to the weights,
    until a resource is used up. All work of a cell needs all of its
    resources, so no account can go on then.
    """

    def divide(
        self,
        demands: abc.Sequence[tuple[Amounts, float]],
        capacity: Amounts,
    ) -> Division:
        """Return the level at which the first resource is used up."""
        levels = {
            resource: _level_of(resource, demands, capacity)
            for resource in capacity
        }
        binding = min(levels, key=lambda each: levels[each], default=None)
        if binding is None:
            return Division(capacity={})
        return Division(
            capacity=capacity, level=levels[binding], binding=binding
        )


def _level_of(
    resource: Resource,
    demands: abc.Sequence[tuple[Amounts, float]],
    capacity: Amounts,
) -> float:
    """Return the level of dominant shares that uses up one resource.

    An account whose share is a multiple of its part of this resource counts
    as one that much lighter.
    """
    parts = []
    for demand, weight in demands:
        dominant = capacity_module.most_used(demand, capacity)
        if dominant is None:
            continue
        share = demand[dominant] / capacity[dominant]
        part = demand.get(resource, 0.0) / capacity[resource]
        if part > 0.0:
            parts.append((part, weight * part / share))
    return fair_level(parts, 1.0)


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


def _sum(all_amounts: abc.Iterable[Amounts]) -> dict[Resource, float]:
    total: dict[Resource, float] = {}
    for amounts in all_amounts:
        for resource, amount in amounts.items():
            total[resource] = total.get(resource, 0.0) + amount
    return total
