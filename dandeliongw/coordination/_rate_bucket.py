"""Token buckets, for limits without a window."""

from ._rate_messages import Limit

#: Part of the burst that a bucket holds when it is created.
FIRST_LEVEL = 0.5
#: Shortest wait that is told to a caller, in seconds.
MIN_WAIT_S = 0.01


class Bucket:
    """A token bucket that grants as long as it is not empty.

    The last request may take more than is left, so that requests larger than
    the burst are possible. What it takes too much is refilled first.

    :param now: monotonic seconds.
    :param part: the part of the rate that it stands for at first.
    """

    def __init__(self, *, limit: Limit, now: float, part: float = 1.0) -> None:
        self.limit = limit
        self._level = limit.burst * part * FIRST_LEVEL
        self._updated_at = now

    def take(self, now: float, amount: float, part: float) -> float:
        """Take an amount and return 0, or the seconds until that may work.

        :param part: the part of the rate that it stands for now.
        """
        per_s = self.limit.per_s * part
        self._refill(now, per_s, part)
        is_full = self._level >= self._top(part)
        if self._level > 0 or is_full:
            self._level -= amount
            return 0.0
        return max(MIN_WAIT_S, -self._level / per_s)

    def put_back(self, amount: float) -> None:
        """Return an amount that was taken and not used."""
        self._level = min(self.limit.burst, self._level + amount)

    def change_limit(self, now: float, limit: Limit) -> None:
        """Apply a new limit; what exceeds its burst is lost."""
        self._refill(now, self.limit.per_s, 1.0)
        self._level = min(self._level, limit.burst)
        self.limit = limit

    def _top(self, part: float) -> float:
        return self.limit.burst * part

    def _refill(self, now: float, per_s: float, part: float) -> None:
        gained = max(0.0, now - self._updated_at) * per_s
        top = max(self._top(part), self._level)
        self._level = min(top, self._level + gained)
        self._updated_at = now
