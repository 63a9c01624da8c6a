"""The ends of requests, and the release of what they hold.

A request that ends before its answer is complete releases its slot, settles
its claim, counts wasted tokens and is refused with the verdict that is proved.
"""

import typing

from .. import effects
from .. import verdict
from ..cell import cells
from . import charges
from . import idempotency
from . import refusals
from . import reservations
from .request import Phase
from .request import Request
from .request import WORKING

_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN

Effects = list[typing.Any]


def refuse_unadmitted(request_id: str, refusal: verdict.Refusal) -> Effects:
    """Refuse a request that was not admitted."""
    return [
        effects.CountRefusal(refusal=refusal),
        effects.Refuse(request_id=request_id, refusal=refusal),
    ]


class Endings:
    """Ends the requests of one entry."""

    def __init__(self, *, reservations: reservations.Reservations) -> None:
        self._reservations = reservations

    def disconnect(self, now: float, request: Request) -> Effects:
        """End a request whose client has disconnected."""
        request.caller_gone = True
        if request.phase is Phase.CALL and request.claim_key:
            # A claimed call runs on, so that its outcome is known when the
            # client sends it again. It uses no engine memory.
            return []
        if request.phase is Phase.RECORDING:
            return []
        refusal = refusals.caller_gone(request)
        return self.stop(now, request, refusal, cells.Outcome.CANCELLED)

    def abort_at_shutdown(self, now: float, request: Request) -> Effects:
        """End a request that outlasts the shutdown grace period."""
        refusal = refusals.shutdown_timeout(request)
        return [
            refusals.log_shutdown_abort(request),
            *self.stop(now, request, refusal, cells.Outcome.CANCELLED),
        ]

    def stop(
        self,
        now: float,
        request: Request,
        refusal: verdict.Refusal,
        outcome: cells.Outcome,
    ) -> Effects:
        """Abort the work in progress, then refuse the request."""
        wasted = request.prefilled_tokens
        return [
            *self.abort(request),
            *self._reservations.release(request, outcome, wasted=wasted),
            *refusals.count_waste(refusal.reason, wasted),
            *self.refuse(now, request, refusal),
        ]

    def abort(self, request: Request) -> Effects:
        """Abort the thread's step and free the engines' memory."""
        cancels = self._reservations.cancels(request)
        if request.is_running:
            request.known = _MAY_HAVE_RUN
        if request.phase in WORKING:
            request.cancels_by_attempt[request.attempt_id] = cancels
        abort = effects.Abort(
            request_id=request.request_id, attempt_id=request.attempt_id
        )
        return [abort, *cancels]

    def give_up(
        self,
        now: float,
        request: Request,
        refusal: verdict.Refusal,
        *,
        failed_id: str = '',
    ) -> Effects:
        """Refuse a request that has no step in progress.

        :param failed_id: id of the backend server at fault, else ``''``.
        """
        wasted = request.prefilled_tokens
        release = self._reservations.release(
            request, cells.Outcome.FAILED, fault=failed_id, wasted=wasted
        )
        return [
            *release,
            *refusals.count_waste(refusal.reason, wasted),
            *self.refuse(now, request, refusal),
        ]

    def refuse(
        self, now: float, request: Request, refusal: verdict.Refusal
    ) -> Effects:
        """Refuse a request that holds at most its claim."""
        claim = idempotency.release_claim(now, request, refusal)
        refund = charges.refund(now, request, refusal.verdict)
        last = effects.Refuse(request_id=request.request_id, refusal=refusal)
        return [*claim, *refund, *self.end(request, last)]

    def end(self, request: Request, last: effects.Directive) -> Effects:
        """Mark a request as ended and return its last directive."""
        request.is_ended = True
        request.booked = None
        if isinstance(last, effects.Refuse):
            return [effects.CountRefusal(refusal=last.refusal), last]
        return [last]
