"""The calls and parts of prompts that recently ran well at this instance."""

import collections

#: Seconds after a good run of a suspect in which a crash does not count
#: against it. Short, because a call may be harmless until a new version of
#: the backend server is deployed.
CLEARING_S = 1.0
#: Additional seconds for which a run is retained, because reports of crashes
#: arrive late.
REPORT_DELAY_S = 2.0


class Successes:
    """The time of the last good run of each suspect.

    :param retention_s: seconds for which a run is retained.
    :param max_count: maximum suspects; the least recent ones are dropped.
    """

    def __init__(
        self,
        *,
        retention_s: float = CLEARING_S + REPORT_DELAY_S,
        max_count: int | None = None,
    ) -> None:
        self._retention_s = retention_s
        self._max_count = max_count
        self._at_by_fingerprint: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(self, now: float, fingerprint: str) -> None:
        """Record a good run of a suspect."""
        times = self._at_by_fingerprint
        # Answers on which several servers wrote are recorded out of order.
        times[fingerprint] = max(now, times.get(fingerprint, now))
        times.move_to_end(fingerprint)
        if self._max_count is not None and len(times) > self._max_count:
            times.popitem(last=False)
        while next(iter(times.values())) < now - self._retention_s:
            times.popitem(last=False)

    def last_at(self, fingerprint: str) -> float | None:
        """Return when a suspect last ran well; ``None`` if not recently."""
        return self._at_by_fingerprint.get(fingerprint)

    def clears_crash(self, fingerprint: str, ended_at: float) -> bool:
        """Return whether a crash at that time does not count against it.

        :param ended_at: on this instance's clock.
        """
        succeeded_at = self._at_by_fingerprint.get(fingerprint)
        return (
            succeeded_at is not None and ended_at <= succeeded_at + CLEARING_S
        )
