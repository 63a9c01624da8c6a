"""The directives that make a request's thread run a step."""

import typing

from .. import effects
from .. import events
from . import sends as sends_module
from .request import Phase
from .request import Request

Effects = list[typing.Any]


class Steps:
    """Directs threads to run steps, and counts what they send.

    Each method changes the request's phase and returns the directive.
    """

    def __init__(self, *, sends: sends_module.Sends) -> None:
        self._sends = sends

    def run_call(self, now: float, request: Request) -> Effects:
        """Send the call to the plain service that was booked."""
        request.phase = Phase.CALL
        return [
            *self._sends.count(now, request, events.Step.CALL),
            effects.RunCall(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                backend_id=request.booked.plain_id,
                is_rate_limited=request.booked.limits_rate_of(
                    request.booked.plain_id
                ),
                url=request.booked.plain_url,
                deadline_in_s=request.left_s(now),
                told_account=request.admitted.told_account,
            ),
        ]

    def run_prefill(self, now: float, request: Request) -> Effects:
        """Compute the prompt's KV cache on the booked prefill engine."""
        request.phase = Phase.PREFILL
        return [
            *self._sends.count(now, request, events.Step.PREFILL),
            effects.RunPrefill(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                backend_id=request.booked.prefill_id,
                is_rate_limited=request.booked.limits_rate_of(
                    request.booked.prefill_id
                ),
                url=request.booked.prefill_url,
                priority=request.admitted.priority.rank,
                fence=request.booked.epoch,
                start_in_s=request.booked.start_in_s,
                deadline_in_s=request.left_s(now),
                told_account=request.admitted.told_account,
            ),
        ]

    def run_decode(
        self, now: float, request: Request, *, reads: bool = False
    ) -> Effects:
        """Stream tokens; a request without ``kv`` resumes its stream.

        :param reads: whether the decode engine does the prefill itself.
        """
        request.phase = Phase.DECODE
        request.phase_at = now
        return [
            *self._sends.count(now, request, events.Step.DECODE),
            effects.RunDecode(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                backend_id=request.booked.decode_id,
                is_rate_limited=request.booked.limits_rate_of(
                    request.booked.decode_id
                ),
                url=request.booked.decode_url,
                source_url=request.kv_source,
                kv=request.kv,
                fence=request.booked.epoch,
                deadline_in_s=request.left_s(now),
                told_account=request.admitted.told_account,
                reads=reads,
                holds_answer=request.is_answer_held,
            ),
        ]
