"""Recovery from a failed step, by the cheapest means within the deadline.

The options are, in this order: resume the stream, move the KV cache, begin
another attempt, give up. ``docs/REQUEST-LIFE.md`` describes when each is
used.
"""

import typing

from .. import decisions
from .. import effects
from .. import events
from .. import verdict
from . import attempts
from ..cell import cell_types
from ..cell import rate_limits
from . import departures as departures_module
from . import endings
from . import refusals
from . import reservations
from . import rest_check as rest_check_module
from . import sends
from . import steps as steps_module
from .request import Phase
from .request import Request

_RETRY = verdict.RetryReason

Effects = list[typing.Any]


class Recovery:
    """Chooses what follows a step that failed."""

    def __init__(
        self,
        *,
        attempts: attempts.Attempts,
        departure_check: departures_module.DepartureCheck,
        endings: endings.Endings,
        rate_limits: rate_limits.RateLimits,
        rest_check: rest_check_module.RestCheck,
        sends: sends.Sends,
        steps: steps_module.Steps,
    ) -> None:
        self._sends = sends
        self._steps = steps
        self._attempts = attempts
        self._departure_check = departure_check
        self._endings = endings
        self._rate_limits = rate_limits
        self._rest_check = rest_check

    def recover(self, event: events.StepEnded, request: Request) -> Effects:
        """Process the failure of a step of the current attempt."""
        log = refusals.log_failure(event)
        return [log, *self._choose(event, request)]

    def _choose(self, event: events.StepEnded, request: Request) -> Effects:
        if event.now >= request.deadline_at:
            request.phase = Phase.BACKOFF
            return self._endings.give_up(
                event.now, request, refusals.past_deadline(request)
            )
        if event.failure is _RETRY.BACKEND_LEFT and not event.was_sent:
            rebooked = self._rebook(event, request)
            if rebooked is not None:
                return rebooked
        if event.step is events.Step.DECODE:
            if self._may_resume(event, request) and self._reserve(
                event, request
            ):
                return self._resume(event, request)
            if self._may_move(event, request) and self._reserve(
                event, request
            ):
                return self._move(event, request)
        if event.step is events.Step.CALL and (
            event.known is verdict.Verdict.RAN
        ):
            return self._endings.give_up(
                event.now,
                request,
                refusals.answer_unusable(event.message),
                failed_id=request.booked_backend(event.step).start.backend_id,
            )
        return self._attempts.retry(
            event.now,
            request,
            failure=event.failure,
            message=event.message,
            failed_id=request.booked_backend(event.step).start.backend_id,
            is_fault=not event.rest_s,
            entropy=event.entropy,
        )

    def _rebook(
        self, event: events.StepEnded, request: Request
    ) -> Effects | None:
        """Book again for a step that was not sent, as its server had left.

        Return ``None`` if that takes another attempt.
        """
        departures = self._departure_check.departures(request, (event.step,))
        if not departures:
            return None
        if event.step is events.Step.DECODE and request.booked.prefill_id:
            if not request.kv:
                # A stream that was to be resumed.
                return None
            request.stage = cell_types.Stage.DECODE
        return self._attempts.rebook(event.now, request, departures)

    def _reserve(self, event: events.StepEnded, request: Request) -> bool:
        """Take one more decode from the retry budget, if there is one."""
        return self._sends.reserve(event.now, request, with_prefill=False)

    def _may_resume(self, event: events.StepEnded, request: Request) -> bool:
        """Whether the engine may still hold the stream.

        It does if only the connection failed. A second interruption at the
        same token means that the engine itself is at fault. One that limits
        its rate gets no request that its cell's owner hasn't booked, and one
        that has left gets none at all, and nothing is sent what has crashed
        others.
        """
        start = request.booked_backend(event.step).start
        broke = event.failure in (_RETRY.STREAM_BROKEN, _RETRY.STREAM_STALLED)
        return (
            broke
            and not self._departure_check.departures(request, (event.step,))
            and not self._rest_check.resting(event.now, request, (event.step,))
            and not self._rate_limits.is_limited(
                start.backend_id, start.incarnation
            )
            and self._attempts.key_refusal(event.now, request) is None
            and self._attempts.held(event.now, request) is None
            and request.last_resume_offset < event.tokens
            and request.may_run_elsewhere
        )

    def _resume(self, event: events.StepEnded, request: Request) -> Effects:
        """Resume the stream where it broke, over a new connection."""
        request.last_resume_offset = event.tokens
        request.kv = ''
        count = effects.CountRetry(reason=event.failure)
        resumed = decisions.StreamResumed(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            decode_id=request.booked.decode_id,
            pieces=event.tokens,
        )
        return [
            count,
            resumed.log(),
            *self._steps.run_decode(event.now, request),
        ]

    def _may_move(self, event: events.StepEnded, request: Request) -> bool:
        return (
            bool(request.kv)
            and event.failure is not _RETRY.KV_EVICTED
            and event.now - request.kv_at < request.kv_life_s
            and request.may_run_elsewhere
            and not request.has_used_up_runs
            and request.attempts < attempts.MAX_ATTEMPTS
            and self._attempts.held(event.now, request) is None
        )

    def _move(self, event: events.StepEnded, request: Request) -> Effects:
        """Move the KV cache to another decode engine before it is evicted.

        The booking is changed, not released: a release would discard the
        prefill's result, which is what is to be moved.
        """
        booked = request.booked
        cancel = reservations.cancel_of(
            request, booked.decode_id, booked.decode_url
        )
        request.exclude += (booked.decode_id,)
        request.stage = cell_types.Stage.DECODE
        request.attempts += 1
        count = effects.CountRetry(reason=event.failure)
        moved = decisions.CacheMoved(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            from_id=booked.decode_id,
            age_ms=round((event.now - request.kv_at) * 1000),
        )
        return [
            count,
            moved.log(),
            cancel,
            *self._attempts.search(event.now, request),
        ]
