"""Charges of requests to the rates of their accounts.

A request is charged once, after it was admitted and before it is placed. See
:mod:`..coordination.rates` for where. What a request was charged is returned
if it ends without having run.
"""

import typing

import xxhash

from .. import document
from .. import effects
from .. import settings
from .. import verdict
from . import _refusal
from ..coordination import rates
from .request import Phase
from .request import Request

#: Ticket prefix, by which the reducer routes the answers.
CHARGE_TICKET = 'charge:'

Effects = list[typing.Any]


def limits_of(
    described: document.Document,
    tolerance: settings.RateTolerance,
) -> tuple[rates.Limit, ...]:
    """Return the limits of all accounts that have one.

    :param tolerance: what is granted in addition.
    """
    factor = 1.0 + tolerance.part
    return tuple(
        rates.Limit(
            account=account.name,
            per_s=account.limit.per_s * factor,
            burst=account.limit.burst * factor + tolerance.amount,
            window_s=tolerance.window_s,
        )
        for account in described.accounts
        if account.limit is not None
    )


def is_limited(request: Request) -> bool:
    """Whether the account of a request has a rate."""
    return request.admitted.account.limit is not None


def request_charge(now: float, request: Request) -> Effects:
    """Charge a request; see :func:`answered`."""
    call = request.call
    request.phase = Phase.CHARGING
    request.phase_at = now
    request.charged = request.admitted.account.limit.weigh(
        call.prompt_tokens + call.max_tokens
    )
    charge = rates.Charge(
        now=now,
        ticket=CHARGE_TICKET + request.request_id,
        account=request.admitted.account.name,
        amount=request.charged,
        # Of method, path and body: a repeat has the same one at any entry.
        caller=xxhash.xxh3_64_intdigest(call.digest),
    )
    return [effects.Dispatch(event=charge)]


def answered(
    request: Request, result: rates.ChargeResult
) -> verdict.Refusal | None:
    """Record the result of a charge; return the refusal if it was refused."""
    if result.is_granted:
        request.charged_at = result.granted_by
        request.charged_in = result.granted_in, result.used_in
        return None
    request.charged = 0.0
    account = request.admitted.account
    limit = account.limit
    return _refusal.not_run(
        verdict.RefusalReason.ACCOUNT_LIMIT,
        f'account {account.name!r} asks for more than its '
        f'{limit.per_s:g} {limit.unit} a second',
        result.wait_s,
    )


def refund(now: float, request: Request, known: verdict.Verdict) -> Effects:
    """Return what a refused request was charged, if it has not run.

    :param known: the verdict of its refusal.
    """
    if known is not verdict.Verdict.NOT_RUN or not request.charged_at:
        return []
    granted_in, used_in = request.charged_in
    returned = rates.Refund(
        now=now,
        account=request.admitted.account.name,
        amount=request.charged,
        granted_by=request.charged_at,
        granted_in=granted_in,
        used_in=used_in,
    )
    request.charged_at = ''
    return [effects.Dispatch(event=returned)]
