"""Refusals that end a request, and the count of its wasted prefill tokens."""

import enum
import typing

import msgspec

from .. import effects
from .. import events
from .. import verdict
from . import admission
from ..coordination import claim_messages as claims
from . import request as request_module
from . import waste

_REASON = verdict.RefusalReason
_RETRY = verdict.RetryReason
_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN

#: Reasons that are counted under another waste reason.
_WASTE_BY_REASON = {
    _REASON.DRAINING: waste.WasteReason.DEADLINE_PASSED,
    _REASON.NO_OWNER: waste.WasteReason.OWNER_CHANGED,
    _REASON.UNKNOWN_ACCOUNT: waste.WasteReason.KEY_UNPROVED,
    _REASON.CONFIGURATION_STALE: waste.WasteReason.KEY_UNPROVED,
    _REASON.BACKEND_FAILED: waste.WasteReason.STREAM_BROKEN,
    _RETRY.CONNECT_REFUSED: waste.WasteReason.IMPORT_REFUSED,
    _RETRY.BACKEND_BUSY: waste.WasteReason.IMPORT_REFUSED,
    _RETRY.STREAM_STALLED: waste.WasteReason.STREAM_BROKEN,
}


def count_waste(reason: enum.StrEnum, tokens: int) -> list[typing.Any]:
    """Return the effect that counts prefilled tokens as wasted, if any."""
    if not tokens:
        return []
    named = _WASTE_BY_REASON.get(reason) or waste.WasteReason(reason.value)
    return [effects.CountWastedTokens(reason=named, tokens=tokens)]


def for_unclaimed_key(refusal: verdict.Refusal) -> verdict.Refusal:
    """Adapt the refusal of a call whose idempotency key was not claimed.

    Only the claim records whether an earlier send of the call has run. If a
    client got no answer to its first send, "not run" for the second would
    make it discard a result that exists.
    """
    if refusal.retry_after_s is None:
        return refusal
    return msgspec.structs.replace(
        refusal,
        verdict=_MAY_HAVE_RUN,
        message=f'{refusal.message}; this send did not run, an earlier one '
        'with the same Idempotency-Key may have',
    )


def past_deadline(request: request_module.Request) -> verdict.Refusal:
    """The deadline of the client or the service's timeout has passed."""
    return verdict.Refusal(
        reason=_REASON.DEADLINE_PASSED,
        verdict=request.verdict_if_aborted(),
        message=f'no answer within '
        f'{request.deadline_at - request.arrived_at:g} s',
    )


def caller_gone(request: request_module.Request) -> verdict.Refusal:
    """The client has disconnected; this refusal is only counted."""
    return verdict.Refusal(
        reason=_REASON.CALLER_GONE,
        verdict=request.verdict_if_aborted(),
        message='the caller closed its connection',
    )


def disconnected_early() -> verdict.Refusal:
    """The client disconnected before admission; this is only counted."""
    return verdict.Refusal(
        reason=_REASON.CALLER_GONE,
        verdict=verdict.Verdict.NOT_RUN,
        message='the caller closed its connection',
    )


def shutdown_timeout(request: request_module.Request) -> verdict.Refusal:
    """The shutdown grace period ended before the request did."""
    return verdict.Refusal(
        reason=_REASON.DRAINING,
        verdict=request.verdict_if_aborted(),
        message='this instance had to end before the request did; use '
        'another entry',
        retry_after_s=admission.TRANSIENT_RETRY_S,
    )


def log_shutdown_abort(request: request_module.Request) -> effects.Log:
    """Return the log line of a request that a shutdown aborts."""
    return effects.Log(
        message=f'the shutdown cuts off a request in phase '
        f'{request.phase.value}',
        fields=(
            ('request_id', request.request_id),
            ('service', request.service),
        ),
        level='WARNING',
    )


def no_owner(request: request_module.Request) -> verdict.Refusal:
    """The request's cell has no owner that could book slots."""
    return verdict.Refusal(
        reason=_REASON.NO_OWNER,
        verdict=request.known,
        message=f'no instance owns cell {request.cell!r} just now',
        retry_after_s=admission.TRANSIENT_RETRY_S,
    )


def owner_too_slow(request: request_module.Request) -> verdict.Refusal:
    """The request waits here, and its cell's owner answers too slowly."""
    return verdict.Refusal(
        reason=_REASON.NO_OWNER,
        verdict=request.known,
        message=f'the owner of cell {request.cell!r} answers too slowly just '
        'now',
        retry_after_s=admission.TRANSIENT_RETRY_S,
    )


def barred_backends(request: request_module.Request) -> verdict.Refusal:
    """The cell's owner books only what may not get the request."""
    return verdict.Refusal(
        reason=_REASON.NO_BACKEND,
        verdict=request.known,
        message='the backend servers that were booked for it have left, rest, '
        'or are of another software version',
        retry_after_s=admission.TRANSIENT_RETRY_S,
    )


def backend_failed(message: str) -> verdict.Refusal:
    """A call that must not be repeated failed after it was sent."""
    return verdict.Refusal(
        reason=_REASON.BACKEND_FAILED,
        verdict=_MAY_HAVE_RUN,
        message=f'the backend server failed after it got the call, which '
        f'may not be repeated: {message}',
    )


def answer_unusable(message: str) -> verdict.Refusal:
    """The call ran, but its answer cannot be forwarded."""
    return verdict.Refusal(
        reason=_REASON.BACKEND_FAILED,
        verdict=verdict.Verdict.RAN,
        message=f'the call ran, but its answer can not be passed on: '
        f'{message}',
    )


def retries_spent(
    request: request_module.Request, message: str
) -> verdict.Refusal:
    """A limit on attempts, runs, time or retries prevents another attempt."""
    return verdict.Refusal(
        reason=_REASON.RETRIES_SPENT,
        verdict=request.known,
        message=f'{request.attempts} attempts failed, the last one: {message}',
        retry_after_s=admission.TRANSIENT_RETRY_S,
    )


def quarantined(
    known: verdict.Verdict, wait_s: float, *, is_call: bool = True
) -> verdict.Refusal:
    """The call crashes the backend servers that start to run it.

    A retry before ``wait_s`` is refused as well.

    :param known: verdict on this send; earlier sends did run.
    :param wait_s: seconds until a send may run.
    :param is_call: whether it is the call as a whole, or else a part of its
        prompt.
    """
    what = 'this call' if is_call else 'calls with a part of this prompt'
    return verdict.Refusal(
        reason=_REASON.QUARANTINED,
        verdict=known,
        message='backend servers ended one after the other while they ran '
        f'{what}; it is sent to none for the next {wait_s:.0f} s',
        retry_after_s=wait_s,
    )


def outcome_too_large() -> verdict.Refusal:
    """A resend of a call whose answer was too large to be recorded."""
    return verdict.Refusal(
        reason=_REASON.OUTCOME_UNKNOWN,
        verdict=verdict.Verdict.RAN,
        message='an earlier send of this call ran; its answer was too large '
        'to be kept, and it will not be run again',
    )


def of_claim(result: typing.Any) -> verdict.Refusal:
    """Return the refusal for a claim that was not granted."""
    match result:
        case claims.InProgress(retry_after_s=retry_after_s):
            return verdict.Refusal(
                reason=_REASON.IN_PROGRESS,
                verdict=_MAY_HAVE_RUN,
                message='an earlier send of this call is still in progress',
                retry_after_s=retry_after_s,
            )
        case claims.DigestMismatch():
            return admission.not_run(
                _REASON.KEY_REUSED,
                'this Idempotency-Key was used for another call',
            )
        case claims.OutcomeUnknown():
            return verdict.Refusal(
                reason=_REASON.OUTCOME_UNKNOWN,
                verdict=_MAY_HAVE_RUN,
                message='an earlier send of this call may have run; its '
                'outcome was lost, and it will not be run again',
            )
    return for_unclaimed_key(
        admission.not_run(
            _REASON.CLAIMS_UNAVAILABLE,
            'too few instances with disks answer to make sure that this call '
            'runs at most once',
            getattr(result, 'retry_after_s', admission.TRANSIENT_RETRY_S),
        )
    )


def log_failure(event: events.StepEnded) -> effects.Log:
    """Return the log line of a step that failed."""
    return effects.Log(
        message=f'{event.step} failed: {event.message}',
        fields=(
            ('request_id', event.request_id),
            ('attempt_id', event.attempt_id),
            ('reason', str(event.failure)),
        ),
        level='WARNING',
    )
