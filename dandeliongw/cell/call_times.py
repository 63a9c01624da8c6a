"""How long calls of a plain service take, as measured by the owner."""

#: Weight of a new measurement in a moving average.
SMOOTHING = 0.1
#: Accounts whose calls are averaged separately, some 100 bytes each.
MAX_ACCOUNTS = 1_024


class CallTimes:
    """Moving averages of the time for which a call holds its slot.

    Calls of one account are alike, those of two may differ tenfold. With one
    average over all, accounts with short calls would get less than their
    share of the slots.
    """

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._mean_s_by_account: dict[str, float] = {}

    def add(self, account: str, seconds: float) -> None:
        """Add a call that has ended with an answer."""
        self._mean_s = _moved(self._mean_s, seconds)
        known_s = self._mean_s_by_account.get(account)
        if known_s is not None or len(self._mean_s_by_account) < MAX_ACCOUNTS:
            self._mean_s_by_account[account] = _moved(known_s, seconds)

    def mean_s(self, account: str) -> float:
        """Return the average of an account, else that of all accounts.

        :returns: 0 until a call has ended.
        """
        return self._mean_s_by_account.get(account, self._mean_s or 0.0)


def _moved(mean_s: float | None, seconds: float) -> float:
    if mean_s is None:
        return seconds
    return mean_s + SMOOTHING * (seconds - mean_s)
