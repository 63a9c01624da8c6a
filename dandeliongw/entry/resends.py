"""The claim of a call with a key, by which its resends are told.

A call that must not run twice takes a claim before it is sent. All functions
change the request only; the answers to claims come back to :mod:`.requests`
under the tickets named here.
"""

import typing

from .. import effects
from .. import events
from .. import verdict
from ..coordination import claim_messages as claims
from .request import claim_key
from .request import Phase
from .request import Request

#: Ticket prefixes, by which the reducer finds the way back.
CLAIM_TICKET = 'claim:'
FINISH_TICKET = 'finish:'

_NOT_RUN = verdict.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN

Effects = list[typing.Any]


def begin(now: float, request: Request) -> Effects:
    """Ask for the claim; its answer comes under ``CLAIM_TICKET``."""
    request.phase = Phase.CLAIMING
    # Until the claim says otherwise, an earlier send may have run.
    request.known = _MAY_HAVE_RUN
    request.claim_key = claim_key(request)
    claim = claims.Begin(
        now=now,
        ticket=CLAIM_TICKET + request.request_id,
        key=request.claim_key,
        digest=request.call.digest,
        attempt_id=request.request_id,
        deadline_s=request.left_s(now),
    )
    return [effects.Dispatch(event=claim)]


def settle(now: float, request: Request, refusal: verdict.Refusal) -> Effects:
    """Free the key if that can do no harm; else the claim protects.

    A claim that is still on its way has let nothing run here.
    """
    if not request.claim_key:
        return []
    key, request.claim_key = request.claim_key, ''
    never_ran = request.phase is Phase.CLAIMING or (
        refusal.verdict is _NOT_RUN
    )
    if not never_ran and not request.admitted.route.idempotent:
        return []
    abandon = claims.Abandon(now=now, key=key, attempt_id=request.request_id)
    return [effects.Dispatch(event=abandon)]


def record_late(event: events.StepEnded, request: Request) -> Effects:
    """Record a claimed call that ended as its deadline passed.

    Its caller has been told that it may have run; a resend gets more.
    """
    is_outcome = event.step is events.Step.CALL and event.failure is None
    if not is_outcome or request.call.idempotency_key is None:
        return []
    return [finish(event, claim_key(request))]


def finish(event: events.StepEnded, key: str) -> effects.Dispatch:
    """Record what a resend is to be told; see ``FINISH_TICKET``."""
    record = claims.Finish(
        now=event.now,
        ticket=FINISH_TICKET + event.request_id,
        key=key,
        attempt_id=event.request_id,
        outcome=event.outcome,
    )
    return effects.Dispatch(event=record)
