"""How many entries may be at work, also while some can't be reached.

What a system has once, such as a rate limit, is shared by its entries. An
entry that is cut off soon takes all others for dead, yet they go on. If it
counted itself alone, it would use the share of all; so the number of entries
falls only while a majority of the voters is in touch, which is on one side of
a partition at most.
"""

import collections
from collections import abc


class EntryCount:
    """The number of entries that share what the system has once.

    :param alive: returns how many entries seem alive here.
    :param hold_s: seconds for which a higher number holds; longer than it
        takes to notice that no majority of the voters is in touch.
    """

    def __init__(self, *, alive: abc.Callable[[], int], hold_s: float) -> None:
        self._alive = alive
        self._hold_s = hold_s
        #: Times and numbers, each number higher than those after it.
        self._highest: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record(self, now: float, *, is_confirmed: bool) -> None:
        """Record the present number.

        :param is_confirmed: whether a majority of the voters is in touch.
        """
        count = self._alive() if is_confirmed else self.at_work()
        while self._highest and self._highest[-1][1] <= count:
            self._highest.pop()
        self._highest.append((now, count))
        while self._highest[0][0] <= now - self._hold_s:
            self._highest.popleft()

    def at_work(self) -> int:
        """Return how many entries may be at work, this one included."""
        alive = self._alive()
        return max(alive, self._highest[0][1]) if self._highest else alive
