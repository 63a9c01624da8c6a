"""Retry budgets of an entry and the backoff between retries."""

import collections
from collections import abc
import math


FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
#: Retries of a process that has just started. Two are what a stream takes
#: whose engine is gone: another prefill and another decode.
RETRIES_AT_START = 2


class RetryBudget:
    """Limits retries to a fraction of the requests, and a few in each window.

    Without the limit, an outage would multiply the load just when the
    capacity is lowest, and attempts would outnumber requests long after its
    cause is gone. The retries per window allow all streams of a few engines
    that failed together to be retried at once.

    :param part: retries gained with each request.
    :param window_s: length of a window in seconds.
    :param started_at: start of the process. It can't know which retries the
        one before it has made, so for one window it has a few and those that
        it has earned.
    """

    def __init__(
        self, *, part: float, window_s: float, started_at: float
    ) -> None:
        self._part = part
        self._window_s = window_s
        self._started_at = started_at
        self._for_start = 0
        self._earned = 0.0
        self._max_earned = 1.0
        self._per_window = 0
        #: When each retry of the present window that wasn't earned was made.
        self._made_at: collections.deque[float] = collections.deque()

    def set_share(self, share: float) -> None:
        """Set how many retries a window has beyond those that are earned.

        The share is divided: saved-up earned retries get room for at least
        one, as a fraction can't be spent; some are set aside for the start of
        the next process, if at least one remains; the rest is per window.
        """
        whole = max(0, math.floor(share) - 1)
        self._for_start = min(RETRIES_AT_START, max(0, whole - 1))
        self._per_window = whole - self._for_start
        self._max_earned = max(1.0, share - whole)
        self._earned = min(self._earned, self._max_earned)

    def earn(self) -> None:
        """Count a new request."""
        self._earned = min(self._max_earned, self._earned + self._part)

    def left(self, now: float) -> float:
        """Return the retries that may be made now; thread-safe."""
        return self._earned + self._left_of_window(now)

    def _left_of_window(self, now: float) -> int:
        begin = now - self._window_s
        made = sum(at > begin for at in tuple(self._made_at))
        is_new = begin < self._started_at
        most = self._for_start if is_new else self._per_window
        return max(0, most - made)

    def spend(self, now: float, count: int = 1) -> bool:
        """Take retries if there are as many; return whether they are taken.

        If the share is too small to hold ``count`` retries at all, the missing
        ones are borrowed: they have to be earned before the next one.
        """
        earned = max(0, int(self._earned))
        of_window = self._left_of_window(now)
        room = math.floor(self._max_earned) + self._per_window
        if earned + of_window < min(count, room):
            return False
        while self._made_at and self._made_at[0] <= now - self._window_s:
            self._made_at.popleft()
        taken = min(of_window, max(0, count - earned))
        self._earned -= count - taken
        self._made_at.extend([now] * taken)
        return True

    def put_back(self, count: int, *, taken_at: float) -> None:
        """Return retries that were taken and not made.

        :param taken_at: when they were taken, which tells those of the window
            from earned ones.
        """
        for _ in range(count):
            if taken_at in self._made_at:
                self._made_at.remove(taken_at)
            else:
                self._earned = min(self._max_earned, self._earned + 1.0)

    def note_made(self, now: float, *, taken_at: float) -> None:
        """Record that a retry that was taken is made only now."""
        if taken_at in self._made_at:
            self._made_at.remove(taken_at)
            self._made_at.append(now)


class RetryBudgets:
    """This entry's share of a retry budget for each service.

    In any window, all entries together make at most ``saved`` retries and
    ``part`` of the requests. With a single budget, a failing pool would use
    up the retries of the other services, whose clients would then get errors
    that another attempt would have prevented.

    :param part: retries gained with each request.
    :param saved: retries in each window beyond these, of all entries.
    :param window_s: length of a window in seconds.
    :param entries: returns how many entries may have made retries within the
        last window.
    """

    def __init__(
        self,
        *,
        part: float,
        saved: float,
        window_s: float,
        entries: abc.Callable[[], int],
    ) -> None:
        self._part = part
        self._saved = saved
        self._window_s = window_s
        self._entries = entries
        self._started_at: float | None = None
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def note_start(self, now: float) -> None:
        """Record the start of the process; later calls change nothing."""
        if self._started_at is None:
            self._started_at = now

    def earn(self, now: float, service: str) -> None:
        """Count a new request for a service."""
        self._budget(now, service).earn()

    def spend(self, now: float, service: str, count: int = 1) -> bool:
        """Take retries if there are as many; return whether they are taken."""
        return self._budget(now, service).spend(now, count)

    def note_made(self, now: float, service: str, *, taken_at: float) -> None:
        """Record that a retry that was taken is made only now."""
        self._budget(now, service).note_made(now, taken_at=taken_at)

    def put_back(
        self, now: float, service: str, count: int, *, taken_at: float
    ) -> None:
        """Return retries that were taken and not made."""
        self._budget(now, service).put_back(count, taken_at=taken_at)

    @property
    def entries(self) -> int:
        """How many entries share the budgets, as known here."""
        return self._entries()

    def left(self, now: float, service: str) -> float:
        """Return the retries that are left for a service."""
        return self._budget(now, service).left(now)

    def left_by_service(self, now: float) -> dict[str, float]:
        """Return the retries that are left; thread-safe."""
        budgets = self._budgets_by_service.copy()
        return {service: each.left(now) for service, each in budgets.items()}

    def _budget(self, now: float, service: str) -> RetryBudget:
        self.note_start(now)
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                part=self._part,
                window_s=self._window_s,
                started_at=self._started_at,
            )
            self._budgets_by_service[service] = budget
        budget.set_share(self._saved / self._entries())
        return budget


def backoff_s(attempt: int, entropy: int) -> float:
    """Return the backoff before an attempt, in seconds.

    :param attempt: number of the attempt; 2 for the first retry.
    :param entropy: 64 random bits for the jitter, from the event that
        reported the failure; the result is between half of the upper bound
        and all of it.
    """
    bound_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** max(0, attempt - 2))
    return bound_s * (0.5 + 0.5 * entropy / 2**64)
