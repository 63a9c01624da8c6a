"""Steps that are under way at a backend server when its leave is heard."""

from collections import abc
import typing

from .. import decisions
from .. import events
from ..coordination import presence
from .request import Phase
from .request import Request

_STEP_BY_PHASE = {
    Phase.PREFILL: events.Step.PREFILL,
    Phase.DECODE: events.Step.DECODE,
    Phase.CALL: events.Step.CALL,
}


def steps_under_way(
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


def log_lines(
    now: float,
    requests: abc.Iterable[Request],
    departure: presence.BackendDeparture,
) -> list[typing.Any]:
    """Return a line for each step at a backend server that leaves."""
    return [
        decisions.SentBeforeLeave(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            backend_id=departure.backend_id,
            step=step.value,
            sent_ms=round((now - request.phase_at) * 1000),
        ).log()
        for request, step in steps_under_way(requests, departure)
    ]
