"""Shares of windows, for entries that reach no holder of an account.

Half of what is shared is divided by what the callers of each entry have used
lately, as far as the entry knows, and half equally. So the shares of all
entries sum to one window at most.
"""

import typing

import msgspec

from . import _rate_window
from ._rate_messages import HoldersAnswering
from ._rate_messages import HoldersSilent
from ._rate_messages import Limit

#: Part of a window that entries share which reach no holder. The others grant
#: a whole window beside a holder that is cut off. With 0.8, up to 1.013 of
#: the bound was granted at nine instances and 168,000 tokens per second, in
#: 3 of 50 simulated series of failures; with 0.7, 0.998.
SHARED_PART = 0.7
#: Seconds between two log lines on the holders of one account.
REPORT_S = 10.0

Effects = list[typing.Any]


class _Use(msgspec.Struct, kw_only=True):
    """Use of an account by the callers of this instance.

    :param granted: by whomever.
    :param part: of the window's use, when a holder last answered.
    :param told_at: when that was.
    :param silent_since: since when no holder answers; ``None`` if one does.
    :param is_logged: whether a line was written that none answers.
    :param log_at: when the next line may be written.
    """

    limit: Limit
    granted: _rate_window.Intervals
    part: float = 0.0
    told_at: float = float('-inf')
    silent_since: float | None = None
    is_logged: bool = False
    log_at: float = float('-inf')


class Shares:
    """What this instance may grant by itself."""

    def __init__(self) -> None:
        self._uses_by_account: dict[str, _Use] = {}

    def set_limits(self, limits_by_account: dict[str, Limit]) -> None:
        """Apply new limits of the accounts with a window."""
        for account, use in list(self._uses_by_account.items()):
            limit = limits_by_account.get(account)
            if limit is None or limit.window_s != use.limit.window_s:
                del self._uses_by_account[account]
            else:
                use.limit = limit

    def _use(self, limit: Limit) -> _Use:
        use = self._uses_by_account.get(limit.account)
        if use is None:
            use = self._uses_by_account[limit.account] = _Use(
                limit=limit, granted=_rate_window.Intervals(limit.window_s)
            )
        return use

    def granted(self, now: float, limit: Limit, amount: float) -> int:
        """Count a grant to a caller of this instance; return its interval."""
        granted = self._use(limit).granted
        granted.expire(now)
        return granted.add(now, amount)

    def take_back(self, account: str, used_in: int, amount: float) -> None:
        """Subtract a grant that was returned."""
        use = self._uses_by_account.get(account)
        if use is not None:
            use.granted.take_back(used_in, amount)

    def answered(self, now: float, limit: Limit, used: float) -> Effects:
        """Learn from a holder what all entries use."""
        use = self._use(limit)
        use.granted.expire(now)
        # An entry that sent the only request in quiet times has no claim to
        # half of the window.
        of_all = max(used, _rate_window.top_of(limit) / 2)
        use.part = min(1.0, use.granted.total / of_all) if of_all else 0.0
        use.told_at = now
        since, use.silent_since = use.silent_since, None
        if since is None or not use.is_logged:
            return []
        use.is_logged = False
        return [HoldersAnswering(account=limit.account, silent_s=now - since)]

    def take(
        self, now: float, limit: Limit, amount: float, instances: int
    ) -> tuple[float, Effects]:
        """Return 0 if this instance may grant a request, or the wait.

        :param instances: number of instances that share the window.
        """
        use = self._use(limit)
        use.granted.expire(now)
        log = self._note_silence(now, use)
        shared = SHARED_PART * _rate_window.top_of(limit)
        share = shared * (use.part / 2 + 0.5 / max(1, instances))
        if not use.granted.total or use.granted.total + amount <= share:
            return 0.0, log
        excess = use.granted.total + amount - share
        wait_s = limit.window_s
        for at, freed in use.granted.expiries():
            excess -= freed
            if excess <= 0:
                wait_s = at - now + _rate_window.WAIT_MARGIN_S
                break
        wait_s = min(limit.window_s, max(_rate_window.MIN_WAIT_S, wait_s))
        return wait_s, log

    def _note_silence(self, now: float, use: _Use) -> Effects:
        if use.silent_since is not None:
            return []
        use.silent_since = now
        if use.told_at < now - use.limit.window_s:
            # Callers may have moved to other entries since then.
            use.part = 0.0
        if now < use.log_at:
            return []
        use.is_logged = True
        use.log_at = now + REPORT_S
        return [HoldersSilent(account=use.limit.account)]
