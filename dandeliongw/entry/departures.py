"""Checks what was booked for a request against the leaves known here.

A cell's owner books backend servers by what it knows. If it is cut off from
the instances that hear the backend servers, it books some that have left. The
entry is the last to decide on a send, so it obeys any leave that it has heard
of, and passes it on to the owner.
"""

from collections import abc
import typing

from .. import decisions
from .. import effects
from .. import events
from ..cell import cell_types
from ..coordination import parts
from ..coordination import presence
from .request import Request


#: Times that one request is booked anew for leaves. An owner that is told of a
#: leave books the backend server no more, or says that it is back.
MAX_REBOOKINGS = 3


#: Ticket prefix of leaves that answers state; nobody waits for the result.
LEAVE_TICKET = 'leave:'


class Leaves(typing.Protocol):
    """The leaves of backend servers that this instance knows."""

    def departure_of(
        self, start: presence.BackendStart
    ) -> presence.BackendDeparture | None:
        """Return the leave of a start; ``None`` if it may get work."""
        ...

    def left_s(self, now: float, backend_id: str) -> float:
        """Return the seconds since a backend server's leave was heard."""
        ...


def is_booked_too_often(request: Request) -> bool:
    """Whether a request is refused rather than booked anew once more."""
    return request.rebookings >= MAX_REBOOKINGS


class DepartureCheck:
    """Finds booked backend servers that have left.

    :param leaves: the leaves that this instance knows.
    """

    def __init__(self, *, leaves: Leaves) -> None:
        self._leaves = leaves

    def departures(
        self, request: Request, steps: abc.Iterable[events.Step]
    ) -> tuple[presence.BackendDeparture, ...]:
        """Return the leaves of the backend servers booked for some steps."""
        found = (
            self._leaves.departure_of(request.booked_backend(step).start)
            for step in steps
        )
        return tuple(each for each in found if each is not None)

    def leave_stated(
        self, event: events.LeaveStated, request: Request
    ) -> list[typing.Any]:
        """Process an answer which says that its backend server leaves.

        It is spread like a leave that the backend server has sent here.
        """
        start = request.booked_backend(event.step).start
        if self._leaves.departure_of(start) is not None:
            return []
        left = presence.Left(
            now=event.now,
            backend_id=start.backend_id,
            incarnation=start.incarnation,
            sequence=presence.LAST_SEQUENCE,
            ticket=LEAVE_TICKET + start.backend_id,
        )
        line = decisions.LeaveStated(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            backend_id=start.backend_id,
        )
        return [line.log(), effects.Dispatch(event=left)]

    def report(
        self,
        now: float,
        request: Request,
        departures: tuple[presence.BackendDeparture, ...],
    ) -> list[typing.Any]:
        """Return the log lines on leaves, and the message to the owner.

        It goes over the same connection as bookings, so that the owner knows
        the leaves when it books again.
        """
        if not departures:
            return []
        batch = presence.PresenceBatch(renewals=(), departures=departures)
        lines = [
            decisions.BookedBackendLeft(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                owner=request.owner,
                epoch=request.booked.epoch,
                backend_id=departure.backend_id,
                left_s=self._leaves.left_s(now, departure.backend_id),
            ).log()
            for departure in departures
        ]
        return [*lines, parts.Send(to=request.owner, message=batch)]


def booked_steps(request: Request) -> tuple[events.Step, ...]:
    """Return the steps that a new booking is for."""
    match request.stage:
        case cell_types.Stage.PLAIN:
            return (events.Step.CALL,)
        case cell_types.Stage.PAIR if request.booked.prefill_id:
            return events.Step.PREFILL, events.Step.DECODE
    # The prefill is done, or the decode engine does it.
    return (events.Step.DECODE,)
