"""The calls that recently ran successfully through this instance."""

import collections

#: Seconds after a successful run of a call in which a crash does not count
#: against it. Short, because a call may be harmless until a new version of
#: the backend server is deployed.
CLEARING_S = 1.0
#: Additional seconds for which a run is retained, because reports of crashes
#: arrive late.
REPORT_DELAY_S = 2.0


class Successes:
    """The time of the last successful run of each call, for a few seconds."""

    def __init__(self) -> None:
        self._at_by_fingerprint: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(self, now: float, fingerprint: str) -> None:
        """Record a successful run of a call."""
        times = self._at_by_fingerprint
        times[fingerprint] = now
        times.move_to_end(fingerprint)
        while next(iter(times.values())) < now - CLEARING_S - REPORT_DELAY_S:
            times.popitem(last=False)

    def clears_crash(self, fingerprint: str, ended_at: float) -> bool:
        """Return whether a crash at that time does not count against a call.

        :param ended_at: on this instance's clock.
        """
        succeeded_at = self._at_by_fingerprint.get(fingerprint)
        return (
            succeeded_at is not None and ended_at <= succeeded_at + CLEARING_S
        )
