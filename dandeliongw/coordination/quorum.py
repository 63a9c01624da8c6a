"""Majorities of the set of grantors, and of both sets during a change."""

from collections import abc

import msgspec


class Quorum(msgspec.Struct, frozen=True, kw_only=True):
    """Who grants, and what counts as enough of them.

    :param grantors: the set in force.
    :param joining: the set that is to replace it, or empty.
    """

    grantors: tuple[str, ...] = ()
    joining: tuple[str, ...] = ()

    def everyone(self) -> tuple[str, ...]:
        """Return each instance once, those in force first."""
        return tuple(dict.fromkeys(self.grantors + self.joining))

    def agreed(self, values_by_grantor: abc.Mapping[str, float]) -> float:
        """Return the highest value that a majority has reached.

        :param values_by_grantor: a grantor that is missing has reached none.
        :returns: minus infinity without a majority of each set.
        """
        if not self.grantors:
            return float('-inf')
        agreed = _majority_value(self.grantors, values_by_grantor)
        if self.joining:
            joined = _majority_value(self.joining, values_by_grantor)
            agreed = min(agreed, joined)
        return agreed


def majority(count: int) -> int:
    """Return how many of ``count`` make a majority."""
    return count // 2 + 1


def intersecting(count: int) -> int:
    """Return how many of ``count`` meet every majority of them."""
    return count - majority(count) + 1


def _majority_value(
    grantors: abc.Sequence[str], values_by_grantor: abc.Mapping[str, float]
) -> float:
    values = [
        values_by_grantor.get(grantor, float('-inf')) for grantor in grantors
    ]
    values.sort(reverse=True)
    return values[majority(len(grantors)) - 1]
