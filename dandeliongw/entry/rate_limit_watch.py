"""Tells when a backend server states another rate limit than before."""

from .. import decisions
from .. import effects
from ..cell import rate_limits
from ..coordination import presence

#: Change of a limit, as a part of it, from which a log line is written.
LOGGED_CHANGE = 0.1


class RateLimitWatch:
    """The rate limits that answers to this entry have stated."""

    def __init__(self) -> None:
        #: Answers that stated a limit, since the start of this process.
        self.stated_count = 0
        self._limits_by_start: dict[presence.BackendStart, float] = {}

    def record(
        self,
        start: presence.BackendStart,
        *,
        service: str,
        request_id: str,
        per_s: float | None,
    ) -> list[effects.Log]:
        """Record what an answer states; return a line if that is new.

        :param per_s: requests per second, or ``None`` for no limit.
        """
        known = self._limits_by_start.get(start)
        if per_s is None:
            if known is None:
                return []
            del self._limits_by_start[start]
            line = decisions.RateLimitEnded(
                backend_id=start.backend_id,
                service=service,
                request_id=request_id,
            )
            return [line.log()]
        self.stated_count += 1
        if known is not None and abs(per_s - known) <= LOGGED_CHANGE * known:
            return []
        if len(self._limits_by_start) >= rate_limits.MAX_KNOWN:
            oldest = next(iter(self._limits_by_start))
            del self._limits_by_start[oldest]
        self._limits_by_start[start] = per_s
        line = decisions.RateLimitStated(
            backend_id=start.backend_id,
            service=service,
            request_id=request_id,
            per_s=per_s,
        )
        return [line.log()]
