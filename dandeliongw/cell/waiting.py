"""The bookings that wait at the owner of a cell, kept in order.

If the queue were sorted for each query, the cost of each booking would grow
with the length of the queue, and a burst would cost the square of its size.
"""

import bisect
from collections import abc
import heapq
import itertools
import math
import typing

from .cell_types import Booking
from .cell_types import Stage

#: A booking's key in the order of the queue, and until when it is valid.
Key = tuple[float, ...]
TimedKey = tuple[Key, float]


class WaitingQueue:
    """Bookings in order of arrival, and by the key of a policy.

    The key of a booking may change with time at one moment only, and with the
    basis of all keys, such as the measured length of answers.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._numbers_by_booking: dict[Booking, int] = {}
        #: Lower bound of the latest starts.
        self._first_late_at = math.inf
        self._pair_tokens = 0
        self._counts_by_version: dict[str, int] = {}
        #: Sorted; ``None`` until the order is asked for.
        self._entries: list[tuple[Key, int, Booking]] | None = None
        self._keys_by_booking: dict[Booking, Key] = {}
        #: When keys change, and of which bookings; with numbers for ties.
        self._changes: list[tuple[float, int, Booking]] = []
        self._unordered: list[Booking] = []
        self._basis: typing.Any = None
        self._ordered_at = -math.inf

    def __len__(self) -> int:
        return len(self._numbers_by_booking)

    def __iter__(self) -> abc.Iterator[Booking]:
        return iter(self._numbers_by_booking)

    def __contains__(self, booking: Booking) -> bool:
        return booking in self._numbers_by_booking

    @property
    def pair_tokens(self) -> int:
        """Tokens of all prompts that need a prefill."""
        return self._pair_tokens

    @property
    def versions(self) -> abc.Collection[str]:
        """The software versions that bookings are bound to."""
        return self._counts_by_version

    def append(self, booking: Booking) -> None:
        self._numbers_by_booking[booking] = next(self._numbers)
        self._first_late_at = min(self._first_late_at, booking.latest_start_at)
        self._count(booking, 1)
        if self._entries is not None:
            self._unordered.append(booking)

    def remove(self, booking: Booking) -> None:
        number = self._numbers_by_booking.pop(booking)
        self._count(booking, -1)
        key = self._keys_by_booking.pop(booking, None)
        if key is not None:
            del self._entries[bisect.bisect_left(self._entries, (key, number))]
        elif booking in self._unordered:
            self._unordered.remove(booking)

    def _count(self, booking: Booking, change: int) -> None:
        if booking.stage is Stage.PAIR:
            self._pair_tokens += change * booking.prompt_tokens
        version = booking.software_version
        if version is not None:
            count = self._counts_by_version.get(version, 0) + change
            if count:
                self._counts_by_version[version] = count
            else:
                del self._counts_by_version[version]

    def late(self, now: float) -> list[Booking]:
        """Return the bookings that are past their latest start."""
        if now <= self._first_late_at:
            return []
        self._first_late_at = min(
            (each.latest_start_at for each in self), default=math.inf
        )
        return [each for each in self if now > each.latest_start_at]

    def ahead_of(
        self,
        key: Key,
        now: float,
        key_of: abc.Callable[[Booking], TimedKey],
        basis: typing.Any,
    ) -> list[Booking]:
        """Return the bookings with a key up to this one, in order.

        For the other parameters see :meth:`ordered`.
        """
        entries = self._sort(now, key_of, basis)
        end = bisect.bisect_right(entries, (key, math.inf))
        return [entry[2] for entry in entries[:end]]

    def ordered(
        self,
        now: float,
        key_of: abc.Callable[[Booking], TimedKey],
        basis: typing.Any,
    ) -> abc.Iterator[Booking]:
        """Yield the bookings in order; those with equal keys by arrival.

        The queue must not change while they are read.

        :param key_of: returns the key of a booking at ``now`` and until when
            it is valid.
        :param basis: all keys are computed anew when this changes.
        """
        for entry in self._sort(now, key_of, basis):
            yield entry[2]

    def _sort(
        self,
        now: float,
        key_of: abc.Callable[[Booking], TimedKey],
        basis: typing.Any,
    ) -> list[tuple[Key, int, Booking]]:
        if (
            self._entries is None
            or basis != self._basis
            or now < self._ordered_at
        ):
            self._entries = []
            self._keys_by_booking.clear()
            self._changes.clear()
            self._unordered = list(self)
            self._basis = basis
        self._ordered_at = now
        self._take_changed(now)
        added = []
        for booking in self._unordered:
            key, until = key_of(booking)
            number = self._numbers_by_booking[booking]
            self._keys_by_booking[booking] = key
            added.append((key, number, booking))
            if until < math.inf:
                heapq.heappush(self._changes, (until, number, booking))
        self._unordered.clear()
        if len(added) > 1:
            # Mostly sorted already, which takes linear time.
            self._entries += added
            self._entries.sort()
        elif added:
            bisect.insort(self._entries, added[0])
        return self._entries

    def _take_changed(self, now: float) -> None:
        """Take out the bookings whose key is no longer valid."""
        while self._changes and now > self._changes[0][0]:
            _, number, booking = heapq.heappop(self._changes)
            if self._numbers_by_booking.get(booking) != number:
                continue
            key = self._keys_by_booking.pop(booking)
            del self._entries[bisect.bisect_left(self._entries, (key, number))]
            self._unordered.append(booking)
