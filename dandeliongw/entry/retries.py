"""How often an entry tries again, and after which pause."""

from collections import abc

import msgspec


FIRST_PAUSE_S = 0.02
MOST_PAUSE_S = 1.0


class RetryBudget(msgspec.Struct, kw_only=True):
    """Bounds retries to a part of the requests.

    Without it, an outage multiplies the load just when least of it can be
    carried; one would notice more attempts than requests long after the
    first cause is gone. The burst lets all streams of a few engines that
    died together be tried again at once.

    :param part: gained with each request.
    :param burst: most that is saved up.
    :param left: saved up just now.
    """

    part: float
    burst: float
    left: float

    def earn(self) -> None:
        """Count a new request."""
        self.left = min(self.burst, self.left + self.part)

    def spend(self) -> bool:
        """Return whether one more attempt may be made, and count it."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True

    def limit(self, burst: float) -> None:
        """Change the most that is saved up."""
        self.burst = burst
        self.left = min(self.left, burst)


class RetryBudgets:
    """This entry's share of a budget for each service.

    With one for all, a pool that fails spends the retries of the others,
    whose callers then see errors that one more attempt would have spared.
    What may be saved up is the whole system's: if each entry saved as much,
    an outage would bring it as many times as there are entries.

    :param part: retries gained with each request.
    :param burst: most that all entries together save up.
    :param entries: returns how many there are.
    """

    def __init__(
        self,
        *,
        part: float,
        burst: float,
        entries: abc.Callable[[], int],
    ) -> None:
        self._part = part
        self._burst = burst
        self._entries = entries
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def earn(self, service: str) -> None:
        """Count a new request for a service."""
        self._budget(service).earn()

    def spend(self, service: str) -> bool:
        """Return whether one more attempt may be made, and count it."""
        return self._budget(service).spend()

    def left_by_service(self) -> dict[str, float]:
        """Return the attempts that are left; callable in any thread."""
        budgets = self._budgets_by_service.copy()
        return {service: each.left for service, each in budgets.items()}

    def _budget(self, service: str) -> RetryBudget:
        # A share below one could never be spent.
        share = max(1.0, self._burst / self._entries())
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(part=self._part, burst=share, left=share)
            self._budgets_by_service[service] = budget
        elif budget.burst != share:
            budget.limit(share)
        return budget


def pause_s(attempt: int, entropy: int) -> float:
    """Return how long to wait before an attempt, in seconds.

    :param attempt: two for the first retry.
    :param entropy: 64 random bits, from the event that brought the failure;
        the pause lies between half and all of its bound.
    """
    bound_s = min(MOST_PAUSE_S, FIRST_PAUSE_S * 2 ** max(0, attempt - 2))
    return bound_s * (0.5 + 0.5 * entropy / 2**64)
