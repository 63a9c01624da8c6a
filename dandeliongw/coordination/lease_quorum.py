"""Majorities of the set of grantors; during a change, of both sets."""

from collections import abc

import msgspec


class Quorum(msgspec.Struct, frozen=True, kw_only=True):
    """The grantors whose majority grants a lease.

    :param grantors: instance ids of the current set.
    :param joining: the set that is to replace it; empty without a change.
    """

    grantors: tuple[str, ...] = ()
    joining: tuple[str, ...] = ()

    def all_grantors(self) -> tuple[str, ...]:
        """Return all instances of both sets once, the current set first."""
        return tuple(dict.fromkeys(self.grantors + self.joining))

    def majority_value(
        self, values_by_grantor: abc.Mapping[str, float]
    ) -> float:
        """Return the highest value that a majority has reached.

        During a change, that is a majority of each set.

        :param values_by_grantor: a missing grantor counts as minus infinity.
        :returns: minus infinity without a majority of each set.
        """
        if not self.grantors:
            return float('-inf')
        value = _majority_value_of_set(self.grantors, values_by_grantor)
        if self.joining:
            joining_value = _majority_value_of_set(
                self.joining, values_by_grantor
            )
            value = min(value, joining_value)
        return value


def majority(count: int) -> int:
    """Return the size of the smallest majority of ``count`` members."""
    return count // 2 + 1


def intersecting_size(count: int) -> int:
    """Return how many of ``count`` members intersect every majority."""
    return count - majority(count) + 1


def _majority_value_of_set(
    grantors: abc.Sequence[str], values_by_grantor: abc.Mapping[str, float]
) -> float:
    values = [
        values_by_grantor.get(grantor, float('-inf')) for grantor in grantors
    ]
    values.sort(reverse=True)
    return values[majority(len(grantors)) - 1]
