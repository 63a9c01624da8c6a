"""Claims for calls with an idempotency key, which detect resends.

A call that must not run twice takes a claim before it is sent. The functions
here change only the request. The answers to claims are delivered to
:mod:`.requests` under the tickets defined here.
"""

import typing

from .. import effects
from .. import events
from .. import verdict
from ..coordination import claim_messages as claims
from .request import claim_key
from .request import Phase
from .request import Request

#: Ticket prefixes, by which the reducer routes the answers.
CLAIM_TICKET = 'claim:'
FINISH_TICKET = 'finish:'

_NOT_RUN = verdict.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN

Effects = list[typing.Any]


def begin(now: float, request: Request) -> Effects:
    """Request the claim; the answer's ticket begins with ``CLAIM_TICKET``."""
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


def release_claim(
    now: float, request: Request, refusal: verdict.Refusal
) -> Effects:
    """Release the claim if that is safe; otherwise keep it.

    It is safe if the call never ran or is idempotent. While the claim is
    still being requested, this entry has run nothing.
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


def record_late_outcome(event: events.StepEnded, request: Request) -> Effects:
    """Record the outcome of a claimed call that ended too late.

    Its client was refused with "may have run"; a resend gets the outcome.
    """
    is_outcome = event.step is events.Step.CALL and event.failure is None
    if not is_outcome or request.call.idempotency_key is None:
        return []
    return [finish(event, claim_key(request))]


def finish(event: events.StepEnded, key: str) -> effects.Dispatch:
    """Record the outcome for resends; see ``FINISH_TICKET``."""
    record = claims.Finish(
        now=event.now,
        ticket=FINISH_TICKET + event.request_id,
        key=key,
        attempt_id=event.request_id,
        outcome=event.outcome,
    )
    return effects.Dispatch(event=record)
