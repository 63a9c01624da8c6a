"""Charges that were refused, for metrics and log lines."""

from collections import abc
import typing

import msgspec

from ._rate_messages import RateReached

#: Seconds between two effects that report one account's rate as reached.
REPORT_S = 10.0
#: Accounts whose refusals are shown as a metric.
MAX_SHOWN_ACCOUNTS = 20

Effects = list[typing.Any]


class _OfAccount(msgspec.Struct, kw_only=True):
    """Refused charges of one account.

    :param unreported: those since the last report.
    :param report_at: when the next report may be made.
    """

    total: int = 0
    unreported: int = 0
    report_at: float = 0.0


class Refusals:
    """What this instance refused as a holder or by itself."""

    def __init__(self) -> None:
        self._by_account: dict[str, _OfAccount] = {}

    def most(self) -> dict[str, int]:
        """Return refused charges of the accounts with most; thread-safe."""
        refusals = list(self._by_account.items())
        refusals.sort(key=lambda each: -each[1].total)
        return {
            account: each.total
            for account, each in refusals[:MAX_SHOWN_ACCOUNTS]
        }

    def keep(self, accounts: abc.Set[str]) -> None:
        """Forget all other accounts."""
        for account in self._by_account.keys() - accounts:
            del self._by_account[account]

    def add(self, now: float, account: str) -> Effects:
        """Count a refusal; return the effect that reports it, if due."""
        refusals = self._by_account.setdefault(account, _OfAccount())
        refusals.total += 1
        refusals.unreported += 1
        if now < refusals.report_at:
            return []
        count, refusals.unreported = refusals.unreported, 0
        refusals.report_at = now + REPORT_S
        return [RateReached(account=account, refused=count)]
