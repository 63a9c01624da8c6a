"""Processing of the replies that cells' owners send to an entry."""

from collections import abc
import typing

from .. import decisions
from .. import effects
from .. import verdict
from . import attempts
from ..cell import cell_types
from ..cell import cells
from ..cell import rate_limits
from ..coordination import parts
from . import departures as departures_module
from . import endings
from . import origin_check as origin_check_module
from . import reservations
from . import rest_check as rest_check_module
from . import steps as steps_module
from .request import Phase
from .request import Request
from .request import UNPLACED

_RETRY = verdict.RetryReason

Effects = list[typing.Any]


class Replies:
    """Processes the owners' messages for the requests of one entry."""

    def __init__(
        self,
        *,
        reservations: reservations.Reservations,
        attempts: attempts.Attempts,
        departure_check: departures_module.DepartureCheck,
        endings: endings.Endings,
        origin_check: origin_check_module.OriginCheck,
        rate_limits: rate_limits.RateLimits,
        rest_check: rest_check_module.RestCheck,
        steps: steps_module.Steps,
    ) -> None:
        self._steps = steps
        self._reservations = reservations
        self._attempts = attempts
        self._departure_check = departure_check
        self._endings = endings
        self._origin_check = origin_check
        self._rate_limits = rate_limits
        self._rest_check = rest_check

    def process(
        self, event: parts.Received, request: Request | None
    ) -> Effects:
        """Process an owner's message.

        :param request: the request that the message refers to, or ``None`` if
            it was removed already.
        """
        message = event.message
        is_current = (
            request is not None
            and not request.is_ended
            and message.attempt_id == request.attempt_id
        )
        self._reservations.note_message(event, request if is_current else None)
        if not is_current:
            return self._release_late_booking(event, cells.Outcome.CANCELLED)
        is_booking = isinstance(message, cells.Booked | cells.Queued)
        if is_booking and event.sender != request.owner:
            # A move keeps the id of its attempt, whichever owner is asked.
            return self._release_late_booking(event, cells.Outcome.TAKEN_OVER)
        request.owner_replied_at = event.now
        if not request.is_unowned and not isinstance(message, cells.NotOwner):
            self._reservations.mark_owner_responsive(request.cell)
        match message:
            case cells.Booked():
                return self._run_booked(event, request)
            case cells.Queued():
                return self._note_queued(event, request)
            case cells.Declined():
                return self._declined(event, request)
            case cells.NotOwner():
                return self._not_owner(event, request)
            case cells.Cancelled():
                return self._cancelled(event, request)
        return []

    def _release_late_booking(
        self, event: parts.Received, outcome: cells.Outcome
    ) -> Effects:
        """Release what was booked for an attempt that has ended or moved on.

        A reply can arrive after its attempt has ended. Applied to the current
        attempt, it would make the request run twice. Ignored, it would leave
        a slot booked until its lease expires.

        :param outcome: whether its work ends or goes on at another owner.
        """
        message = event.message
        if not isinstance(message, cells.NotOwner):
            self._reservations.process_unawaited_answer(
                event.sender, message.cell
            )
        late: Effects = [effects.CountLate(what=effects.LateKind.OWNER)]
        if not self._reservations.must_release_late(message):
            return late
        release = cells.Release(
            cell=message.cell,
            request_id=message.request_id,
            attempt_id=message.attempt_id,
            outcome=outcome,
        )
        return [*late, parts.Send(to=event.sender, message=release)]

    def _run_booked(self, event: parts.Received, request: Request) -> Effects:
        booked = event.message
        is_expected = (
            request.phase in UNPLACED and event.sender == request.owner
        )
        if not is_expected or booked.decode_id in request.exclude:
            # A duplicate, or the pair that a KV cache is moved away from.
            return []
        now = event.now
        waited = _wait_time(now, request)
        key_refusal = self._attempts.key_refusal(now, request)
        if key_refusal is not None:
            return [waited, *self._endings.give_up(now, request, key_refusal)]
        if not request.is_unowned:
            for limit in booked.rate_limits:
                self._rate_limits.record(now, limit)
        request.booked = booked
        request.phase_at = now
        departures = self._departure_check.departures(
            request, departures_module.booked_steps(request)
        )
        if departures:
            rebooked = self._attempts.rebook(now, request, departures)
            return [waited, *rebooked]
        barred = self._rest_check.resting(
            now, request, departures_module.booked_steps(request)
        )
        if not self._origin_check.allows(request):
            barred += (booked.decode_id,)
        if barred:
            rebooked = self._attempts.rebook(now, request, (), barred)
            return [waited, *rebooked]
        return [
            waited,
            *self._origin_check.bind(now, request),
            self._placed_log(now, request),
            *self._run_step(now, request),
        ]

    def _placed_log(self, now: float, request: Request) -> effects.Log:
        booked = request.booked
        return decisions.Placed(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            owner=request.owner,
            epoch=booked.epoch,
            prefill_id=booked.prefill_id,
            decode_id=booked.decode_id,
            plain_id=booked.plain_id,
            decode_version=booked.decode_version,
            pieces_received=request.call.pieces_received,
            resumes=request.call.resumes,
            waited_ms=request.age_ms(now),
        ).log()

    def _run_step(self, now: float, request: Request) -> Effects:
        """Direct the request's thread to run the step that was booked."""
        request.search_timeout_s = reservations.OWNER_FAILOVER_S
        if request.stage is cell_types.Stage.PLAIN:
            return self._steps.run_call(now, request)
        if request.stage is cell_types.Stage.DECODE:
            return self._steps.run_decode(now, request)
        if not request.booked.prefill_id:
            return self._steps.run_decode(now, request, reads=True)
        return self._steps.run_prefill(now, request)

    def _note_queued(self, event: parts.Received, request: Request) -> Effects:
        if request.phase is Phase.BOOKING and event.sender == request.owner:
            waited = _wait_time(event.now, request)
            request.phase = Phase.QUEUED
            request.phase_at = request.asked_at = event.now
            request.queued_epoch = event.message.epoch
            request.is_renewed_together = (
                event.message.takes_renewals and not request.is_unowned
            )
            return [waited]
        return []

    def _declined(self, event: parts.Received, request: Request) -> Effects:
        if request.phase not in UNPLACED or event.sender != request.owner:
            return []
        declined = event.message
        if request.stage is cell_types.Stage.DECODE:
            return self._attempts.retry(
                event.now,
                request,
                failure=_RETRY.IMPORT_REFUSED,
                message=declined.message,
            )
        request.is_held = False
        refusal = verdict.Refusal(
            reason=verdict.RefusalReason(declined.reason),
            verdict=request.known,
            message=declined.message,
            retry_after_s=declined.retry_after_s,
        )
        line = decisions.Declined(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            owner=request.owner,
            reason=declined.reason,
            why=declined.message,
            retry_after_s=declined.retry_after_s,
            waited_ms=request.age_ms(event.now),
        )
        return [
            _wait_time(event.now, request),
            line.log(),
            *self._endings.refuse(event.now, request, refusal),
        ]

    def _not_owner(self, event: parts.Received, request: Request) -> Effects:
        holder = event.message.holder
        if event.sender != request.owner:
            return []
        if request.phase is Phase.BOOKING:
            followed = self._reservations.follow(event.now, request, holder)
            if (
                followed is not None
                or not self._reservations.may_place_without_owner(request)
            ):
                return followed or []
            # The cell has no owner at present.
            return self._reservations.place_without_owner(event.now, request)
        # A placed request is renewed at the owner that is known by the next
        # renewal. Following the redirection at once would loop for ever when
        # two instances that do not own the cell name each other.
        return []

    def _cancelled(self, event: parts.Received, request: Request) -> Effects:
        """Process the message of an owner that has no such booking."""
        if request.phase is Phase.QUEUED:
            return self._attempts.search(event.now, request)
        if not request.is_placed:
            return []
        is_owner = event.sender == request.owner
        if not is_owner and event.message.epoch <= request.booked.epoch:
            # From an earlier owner than the one that made the booking.
            return []
        if self._reservations.is_lost(request, event):
            return self._abort_lost_slot(event, request)
        return self._reservations.reclaim(
            event.now,
            request.cell,
            [request],
            event.sender,
            event.message.epoch,
        )

    def reclaim_all(
        self,
        now: float,
        open_requests: abc.Sequence[Request],
        cell: str,
        holder: str,
        epoch: int,
    ) -> Effects:
        """Send a cell's new owner every booking this entry holds there.

        The message is sent even without bookings, because the owner waits for
        it. Requests that the old owner had queued are booked anew.

        :param open_requests: requests of the cell that have not ended.
        """
        placed = [each for each in open_requests if each.is_placed]
        self._reservations.note_owner(now, cell, holder, epoch)
        out = self._reservations.reclaim(now, cell, placed, holder, epoch)
        for request in open_requests:
            if request.phase in UNPLACED:
                out += self._reservations.rebook(now, request, holder, epoch)
        return out

    def _abort_lost_slot(
        self, event: parts.Received, request: Request
    ) -> Effects:
        """Abort the work in a slot that now belongs to another request."""
        request.is_held = False
        if request.phase is Phase.CALL:
            # Calls of plain services are not aborted for a lost slot: it
            # would no longer be known whether they ran.
            return []
        return [
            *self._endings.abort(request),
            *self._attempts.retry(
                event.now,
                request,
                failure=_RETRY.OWNER_CHANGED,
                message='the slot was given to another request',
            ),
        ]


def _wait_time(now: float, request: Request) -> effects.PhaseDuration:
    """Return the time that the request spent in booking or in the queue."""
    if request.phase is Phase.QUEUED:
        return request.duration(
            effects.RequestPhase.QUEUE, now - request.phase_at
        )
    return request.duration(
        effects.RequestPhase.BOOKING, now - request.asked_at
    )
