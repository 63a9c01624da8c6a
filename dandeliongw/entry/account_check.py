"""Decides under which client account a call is admitted.

A key that operators take away must stop working everywhere within a bounded
time, also at an instance that is partitioned or was suspended. Therefore a
call with a key is admitted only while the document is known to have been
current a short time ago. That time counts from the sending of the request
that confirmed it, on a clock that includes suspensions. A document that was
learned from another entry does not renew it.
"""

import typing

import msgspec

from .. import document
from .. import events
from .. import verdict
from . import _refusal
from ..coordination import confirmation_status as status_module

_REASON = verdict.RefusalReason

#: The account of calls without a key, on routes that allow them.
ANONYMOUS = document.Account(name='anonymous')


class Directory(typing.Protocol):
    """What is needed to know of the configuration."""

    @property
    def document(self) -> document.Document: ...

    def confirmation_status(
        self, now: float
    ) -> status_module.ConfirmationStatus:
        """How current the document is."""
        ...


class ToldAccount(msgspec.Struct, frozen=True, kw_only=True):
    """The account that backend servers are told of a call.

    :param name: see ``told_account`` of :class:`.admission.Admitted`.
    """

    name: str | None


class AccountCheck:
    """Finds the account of a call and checks whether its key still holds.

    :param max_proof_age_s: greatest age of the document's last confirmation
        with which calls with a key are admitted, in seconds; ``None`` if it
        does not matter.
    """

    def __init__(
        self, *, directory: Directory, max_proof_age_s: float | None
    ) -> None:
        self._directory = directory
        self._max_proof_age_s = max_proof_age_s

    def find(self, call: events.Call) -> document.Account | None:
        """Return the account that holds the key of a call."""
        by_key = self._directory.document.accounts_by_key_sha256
        return by_key.get(call.key_sha256)

    def account_of_host_call(
        self, call: events.Call, *, allows_anonymous: bool
    ) -> document.Account | verdict.Refusal:
        """Return the account under which a call by host runs.

        An unknown key is refused also where none is needed: its sender
        expects to run under an account, and would not notice that the key is
        gone.
        """
        if not self._directory.document.host_calls_need_key:
            return ANONYMOUS
        account = self.find(call)
        if account is not None:
            return account
        if call.key_sha256 or not allows_anonymous:
            return unknown_account()
        return ANONYMOUS

    def check_proof(
        self, now: float, account: document.Account
    ) -> verdict.Refusal | None:
        """Refuse an account while its key may have been taken away unseen."""
        if account is ANONYMOUS or self._max_proof_age_s is None:
            return None
        status = self._directory.confirmation_status(now)
        age_s = status.confirmed_age_s
        if age_s is not None and age_s < self._max_proof_age_s:
            return None
        return _refusal.not_run(
            _REASON.CONFIGURATION_STALE,
            f'account {account.name!r} may have lost its key meanwhile '
            f'({status}); use another entry',
            _refusal.TRANSIENT_RETRY_S,
        )

    def check_again(
        self,
        now: float,
        account: document.Account,
        call: events.Call,
        told_account: str | None,
    ) -> verdict.Refusal | ToldAccount:
        """Check an admitted call again before it is sent.

        It may have waited in a queue or between two attempts meanwhile. If
        the document has begun to need keys since, the call is sent under the
        account of its key, although it was admitted without one.

        :param account: under which it was admitted.
        :param told_account: see :class:`.admission.Admitted`.
        """
        unchanged = ToldAccount(name=told_account)
        needs_key = self._directory.document.host_calls_need_key
        if call.host and not needs_key:
            return unchanged
        if account is ANONYMOUS:
            return self._check_anonymous(now, call)
        stale = self.check_proof(now, account)
        if stale is not None:
            return stale
        held_by = self.find(call)
        if held_by is None or held_by.name != account.name:
            return unknown_account()
        return unchanged

    def _check_anonymous(
        self, now: float, call: events.Call
    ) -> verdict.Refusal | ToldAccount:
        route = self._directory.document.route_table.find(call.host, call.path)
        account = self.account_of_host_call(
            call,
            allows_anonymous=route is not None and route.allows_anonymous,
        )
        if isinstance(account, verdict.Refusal):
            return account
        return self.check_proof(now, account) or told(account)


def told(account: document.Account) -> ToldAccount:
    """Return what backend servers are told where calls need keys."""
    return ToldAccount(name='' if account is ANONYMOUS else account.name)


def unknown_account() -> verdict.Refusal:
    """Return the refusal of a call whose key belongs to no account."""
    return _refusal.not_run(
        _REASON.UNKNOWN_ACCOUNT, 'the account key is not known'
    )
