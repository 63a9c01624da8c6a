"""A virtual clock, for simulated networks with message delays."""

from collections import abc
import heapq
import itertools
import typing


class Timeline:
    """Function calls that are made in the order of their due times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._queue: list[typing.Any] = []

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        self.now = end

    def _later(
        self, delay: float, call: abc.Callable, *arguments: typing.Any
    ) -> None:
        entry = (self.now + delay, next(self._order), call, arguments)
        heapq.heappush(self._queue, entry)
