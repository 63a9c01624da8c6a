"""Steps that are under way at a backend server when its leave is heard.

What was written to it before the leave may be held on its way, by a stalled
path or another instance, and arrive long after it. So a step is broken off
that the backend server seems not to have received, while the request can still
go elsewhere. One that has begun to answer goes on.
"""

from collections import abc
import typing

import msgspec

from .. import decisions
from .. import effects
from .. import events
from .. import sockets
from . import attempts
from ..coordination import presence
from . import retries
from .request import PendingWithdrawal
from .request import Phase
from .request import Request

#: Seconds after a leave is heard after which a plain call or a prefill that
#: may be repeated goes elsewhere, if it has no answer.
ANSWER_S = 1.0

_STEP_BY_PHASE = {
    Phase.PREFILL: events.Step.PREFILL,
    Phase.DECODE: events.Step.DECODE,
    Phase.CALL: events.Step.CALL,
}


class Withdrawals:
    """Breaks off steps at backend servers that leave.

    :param budgets: retry budgets; a step is not broken off without an answer
        if no retry could follow.
    """

    def __init__(self, *, budgets: retries.RetryBudgets) -> None:
        self._budgets = budgets

    def note_departure(
        self,
        now: float,
        requests: abc.Iterable[Request],
        departure: presence.BackendDeparture,
    ) -> list[typing.Any]:
        """Watch the steps at a backend server that leaves.

        :returns: a line on each.
        """
        lines = []
        for request, step in _steps_under_way(requests, departure):
            request.withdrawal = PendingWithdrawal(
                attempt_id=request.attempt_id,
                step=step,
                backend_id=departure.backend_id,
                heard_at=now,
            )
            lines.append(
                decisions.SentBeforeLeave(
                    request_id=request.request_id,
                    attempt_id=request.attempt_id,
                    backend_id=departure.backend_id,
                    step=step.value,
                    sent_ms=round((now - request.phase_at) * 1000),
                ).log()
            )
        return lines

    def tick(self, now: float, request: Request) -> list[effects.Withdraw]:
        """Return the directive that breaks a request's step off, if due."""
        pending = request.withdrawal
        if pending is None:
            return []
        is_over = (
            request.attempt_id != pending.attempt_id
            or _STEP_BY_PHASE.get(request.phase) is not pending.step
        )
        if is_over:
            request.withdrawal = None
            return []
        if (
            not pending.is_checked
            and now >= pending.heard_at + sockets.RECEIPT_S
        ):
            request.withdrawal = msgspec.structs.replace(
                pending, is_checked=True
            )
            return [_withdraw(request, pending, is_forced=False)]
        if now >= pending.heard_at + ANSWER_S:
            request.withdrawal = None
            if self._may_go_elsewhere(now, request, pending.step):
                return [_withdraw(request, pending, is_forced=True)]
        return []

    def _may_go_elsewhere(
        self, now: float, request: Request, step: events.Step
    ) -> bool:
        """Whether a plain call or a prefill can be sent again.

        An engine may have a stream in its queue for longer, and moving it
        costs another prefill.
        """
        is_repeatable = step is events.Step.PREFILL or (
            step is events.Step.CALL and request.admitted.route.idempotent
        )
        most = request.admitted.max_runs
        return (
            is_repeatable
            and request.attempts < attempts.MAX_ATTEMPTS
            and (most is None or request.runs + 1 < most)
            and self._budgets.left(now, request.service) >= 1
        )


def _steps_under_way(
    requests: abc.Iterable[Request], departure: presence.BackendDeparture
) -> abc.Iterator[tuple[Request, events.Step]]:
    """Yield the requests with a step at a backend server that leaves."""
    for request in requests:
        step = _STEP_BY_PHASE.get(request.phase)
        if step is None or request.is_ended or request.booked is None:
            continue
        start = request.booked_backend(step).start
        if (
            start.backend_id == departure.backend_id
            and start.incarnation <= departure.incarnation
        ):
            yield request, step


def _withdraw(
    request: Request, pending: PendingWithdrawal, *, is_forced: bool
) -> effects.Withdraw:
    return effects.Withdraw(
        request_id=request.request_id,
        attempt_id=pending.attempt_id,
        backend_id=pending.backend_id,
        is_forced=is_forced,
    )
