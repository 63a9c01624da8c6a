"""What an account has used of its window, and what is promised of it.

Grants are counted in intervals, and each counts until a whole window after
the end of its interval. So no window of any position has more than allowed,
and what is free again is known in advance.
"""

import collections

import msgspec

from ._rate_messages import GrantHistory
from ._rate_messages import Limit

#: Intervals in a window, 0.05 s each in one of 8 s. A grant counts for up to
#: one interval longer than the window.
INTERVALS = 160
#: Intervals in a window as reported to other holders, so that a report of
#: some 17 numbers fits in 100 bytes.
REPORTED_INTERVALS = 16
#: Intervals in a reported one.
_GROUPED = INTERVALS // REPORTED_INTERVALS
#: What may be used in a window, in the units in which grants are reported:
#: numbers up to 16,383 take two bytes.
UNITS = 8_192
#: Shortest wait that is told to a caller, in seconds.
MIN_WAIT_S = 0.05
#: Seconds that a caller is told beyond the time at which there is room: a
#: header has two decimals.
WAIT_MARGIN_S = 0.01
#: Seconds for which room is kept for a caller that was told to return. What
#: is kept for callers that do not return is lost for so long.
PROMISE_S = 0.15
#: Part of the window in which promises keep nobody else out. The tolerance of
#: the limits is larger than the rest, so nobody is refused for a promise
#: before the account has used what it was given.
OPEN_PART = 0.97
#: Promises that are kept for one account. At the largest rates, the room of
#: 6 s is promised then; few callers return later than that.
MAX_PROMISES = 256
#: Histories of other instances that are kept for one account.
MAX_HISTORIES = 512


class Intervals:
    """Amounts in the last window, by interval.

    :param window_s: seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.interval_s = window_s / INTERVALS
        #: In order of time.
        self._amounts_by_index: dict[int, float] = {}
        self.total = 0.0

    def add(self, now: float, amount: float) -> int:
        """Count an amount; return the number of its interval."""
        index = int(now / self.interval_s)
        known = self._amounts_by_index.get(index, 0.0)
        self._amounts_by_index[index] = known + amount
        self.total += amount
        return index

    def take_back(self, index: int, amount: float) -> bool:
        """Subtract an amount from an interval; return whether it is there.

        What an interval has no longer, or had before a restart, is not
        subtracted from another.
        """
        known = self._amounts_by_index.get(index, 0.0)
        taken = min(amount, known)
        if taken <= 0:
            return False
        self._amounts_by_index[index] = known - taken
        self.total -= taken
        return True

    def expire(self, now: float) -> None:
        """Forget what no longer counts."""
        amounts = self._amounts_by_index
        while amounts:
            first = next(iter(amounts))
            if self._expires_at(first) > now:
                return
            self.total -= amounts.pop(first)
        # Rounding errors don't add up.
        self.total = 0.0

    def expiries(self) -> list[tuple[float, float]]:
        """Return when which amounts no longer count, in order."""
        return [
            (self._expires_at(index), amount)
            for index, amount in self._amounts_by_index.items()
        ]

    def grouped(self, now: float, unit: float) -> tuple[int, ...]:
        """Return the amounts as they are reported, the newest first."""
        newest = int(now / self.interval_s) // _GROUPED
        amounts = [0.0] * (REPORTED_INTERVALS + 1)
        for index, amount in self._amounts_by_index.items():
            age = newest - index // _GROUPED
            if 0 <= age < len(amounts):
                amounts[age] += amount
        while amounts and not amounts[-1]:
            amounts.pop()
        return tuple(round(amount / unit) for amount in amounts)

    def _expires_at(self, index: int) -> float:
        return (index + 1) * self.interval_s + self.window_s


class History:
    """What another instance granted, as it was last reported.

    :param told_by: the instance that reported it, and its start.
    """

    def __init__(self, window_s: float) -> None:
        self.told_by = ('', 0)
        self._group_s = window_s / REPORTED_INTERVALS
        self._window_s = window_s
        #: Clock of this instance minus that of the other one, in seconds,
        #: plus the shortest delay of a message so far. A message that waited
        #: while this process was suspended does not make grants younger.
        self._offset_s = float('inf')
        self.report: GrantHistory | None = None
        #: In order of time.
        self._expiries: list[tuple[float, float]] = []

    def learn(
        self, now: float, report: GrantHistory, told_by: tuple[str, int]
    ) -> None:
        """Replace it by a newer report."""
        self._offset_s = min(self._offset_s, now - report.sent_at)
        if self.report is not None and report.version < self.report.version:
            return
        self.report = report
        self.told_by = told_by
        newest = int(report.sent_at / self._group_s)
        self._expiries = [
            (
                self._expires_at(newest - age, report.sent_at),
                number * report.unit,
            )
            for age, number in enumerate(report.grants)
            if number
        ]
        self._expiries.reverse()

    def _expires_at(self, group: int, sent_at: float) -> float:
        ended_at = min((group + 1) * self._group_s, sent_at)
        return ended_at + self._offset_s + self._window_s

    def expiries(self, now: float) -> list[tuple[float, float]]:
        """Return when which amounts no longer count, in order."""
        while self._expiries and self._expiries[0][0] <= now:
            del self._expiries[0]
        return self._expiries

    def relayed(self, now: float) -> GrantHistory | None:
        """Return it for another holder, as if its instance sent it now."""
        if self.report is None or not self.expiries(now):
            return None
        sent_at = now - self._offset_s
        passed = int(sent_at / self._group_s) - int(
            self.report.sent_at / self._group_s
        )
        grants = (0,) * max(0, passed) + self.report.grants
        return msgspec.structs.replace(
            self.report,
            sent_at=max(sent_at, self.report.sent_at),
            grants=grants[: REPORTED_INTERVALS + 1],
        )


class _Promise(msgspec.Struct, kw_only=True):
    """A refused request that was told when to return."""

    at: float
    amount: float
    caller: int


class Charged(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a charge of a window.

    :param wait_s: 0 if it was granted.
    :param granted_in: the interval in which it was granted.
    """

    wait_s: float = 0.0
    granted_in: int = 0


class Window:
    """The window of one account, as one instance knows it."""

    def __init__(self, *, limit: Limit) -> None:
        self.limit = limit
        #: What this instance granted.
        self.own = Intervals(limit.window_s)
        #: What others granted, by instance and start.
        self.histories: dict[tuple[str, int], History] = {}
        self._promises: collections.deque[_Promise] = collections.deque()

    @property
    def top(self) -> float:
        """What may be used in a window."""
        return top_of(self.limit)

    def used(self, now: float) -> float:
        """Return what the account has used, as far as it is known here."""
        self.own.expire(now)
        used = self.own.total
        for key, history in list(self.histories.items()):
            expiries = history.expiries(now)
            if not expiries:
                del self.histories[key]
            used += sum(amount for _, amount in expiries)
        return used

    def learn(
        self, now: float, report: GrantHistory, told_by: tuple[str, int]
    ) -> None:
        """Count what another instance granted."""
        key = report.instance_id, report.start
        history = self.histories.get(key)
        if history is None:
            if not report.grants or len(self.histories) >= MAX_HISTORIES:
                return
            history = self.histories[key] = History(self.limit.window_s)
        history.learn(now, report, told_by)

    def charge(
        self, now: float, amount: float, part: float, caller: int
    ) -> Charged:
        """Grant a request, or tell when there is room for it.

        :param part: the part of the window that may be used here.
        """
        used = self.used(now)
        self._drop_promises(now)
        promise = self._find_promise(amount, caller)
        if promise is not None:
            self._promises.remove(promise)
        top = self.top * part
        if (
            not used
            or used + amount <= top * OPEN_PART
            or self._has_room(now, amount, top - used)
        ):
            return Charged(granted_in=self.own.add(now, amount))
        at = self._first_room(now, amount, used - top)
        wait_s = max(MIN_WAIT_S, at - now + WAIT_MARGIN_S)
        is_full = len(self._promises) >= MAX_PROMISES
        if wait_s >= self.limit.window_s or is_full:
            return Charged(wait_s=self.limit.window_s)
        self._promises.append(
            _Promise(at=now + wait_s, amount=amount, caller=caller)
        )
        return Charged(wait_s=wait_s)

    def grant(self, now: float, amount: float) -> int:
        """Count what this instance granted without a look at the window."""
        self.own.expire(now)
        return self.own.add(now, amount)

    def _drop_promises(self, now: float) -> None:
        # Nearly in order of time: the time with room for a small request may
        # be before that for a large one.
        while self._promises and self._promises[0].at + PROMISE_S <= now:
            self._promises.popleft()

    def _find_promise(self, amount: float, caller: int) -> _Promise | None:
        """Return the promise that a request was given; a guess if unknown."""
        for promise in self._promises:
            if (promise.caller, promise.amount) == (caller, amount):
                return promise
        return None

    def _has_room(self, now: float, amount: float, room: float) -> bool:
        """Whether a request fits, now and before each promised one.

        :param room: what is left now.
        """
        room -= amount
        if room < 0 or not self._promises:
            return room >= 0
        expiries = iter(self._expiries(now))
        expiry = next(expiries, None)
        for promise in sorted(self._promises, key=lambda each: each.at):
            while expiry is not None and expiry[0] <= promise.at:
                room += expiry[1]
                expiry = next(expiries, None)
            room -= promise.amount
            if room < 0:
                return False
        return True

    def _first_room(self, now: float, amount: float, excess: float) -> float:
        """Return when there is room for an amount after all promises.

        :param excess: what is used beyond what may be used; negative if some
            is left.
        """
        excess += amount + sum(each.amount for each in self._promises)
        for at, freed in self._expiries(now):
            if excess <= 0:
                return now
            excess -= freed
            if excess <= 0:
                return at
        return now + self.limit.window_s

    def _expiries(self, now: float) -> list[tuple[float, float]]:
        """Return when which amounts no longer count, in order."""
        expiries = self.own.expiries()
        for history in self.histories.values():
            expiries += history.expiries(now)
        expiries.sort()
        return expiries


def top_of(limit: Limit) -> float:
    """Return what an account may use in a window."""
    return limit.per_s * limit.window_s + limit.burst
