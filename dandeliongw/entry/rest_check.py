"""Backend servers that have asked this entry for rest.

One that turns a request away may say for how long it wants no other. The entry
is the last to decide on a send: it obeys what it was asked, whoever booked,
and passes it on to the owner, which then books elsewhere for all entries.
"""

from collections import abc
import typing

from .. import decisions
from .. import events
from . import admission
from ..cell import cells
from ..cell import rate_limits as rate_limits_module
from ..coordination import parts
from .request import Request

Effects = list[typing.Any]


class RestCheck:
    """Records times of rest, and finds bookings that disregard them.

    :param rate_limits: what is known here of backend servers; work that this
        entry places by itself keeps to it, too.
    """

    def __init__(
        self,
        *,
        directory: admission.Directory,
        rate_limits: rate_limits_module.RateLimits,
    ) -> None:
        self._directory = directory
        self._rate_limits = rate_limits

    def record(self, event: events.StepEnded, request: Request) -> Effects:
        """Record that a step was turned away and rest was asked for.

        :returns: a line, and the message to the cell's owner. It goes over
            the same connection as the booking that follows.
        """
        if not event.rest_s:
            return []
        start = request.booked_backend(event.step).start
        self._rate_limits.rest(
            event.now, start.backend_id, start.incarnation, event.rest_s
        )
        line = decisions.RestAsked(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            backend_id=start.backend_id,
            rest_s=event.rest_s,
            step=event.step.value,
            placed_ms=round((event.now - request.phase_at) * 1000),
        )
        report = cells.RestReported(
            cell=request.cell,
            backend_id=start.backend_id,
            incarnation=start.incarnation,
            rest_s=event.rest_s,
        )
        owners = self._directory.owners_of(request.cell)
        owner = owners[0] if request.is_unowned and owners else request.owner
        return [line.log(), parts.Send(to=owner, message=report)]

    def resting(
        self, now: float, request: Request, steps: abc.Iterable[events.Step]
    ) -> tuple[str, ...]:
        """Return the ids of resting backend servers booked for some steps."""
        starts = (request.booked_backend(step).start for step in steps)
        return tuple(
            start.backend_id
            for start in starts
            if self._rate_limits.is_resting(
                now, start.backend_id, start.incarnation
            )
        )
