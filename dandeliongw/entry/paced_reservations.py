"""Bookings at the owners of cells, as many at a time as an owner can answer.

:mod:`.owner_pacing` decides how many. What may not be sent yet waits here,
better rank first, then by arrival.
"""

from collections import abc
import typing

import msgspec

from .. import effects
from ..cell import cell_types
from ..cell import cells
from ..coordination import parts
from . import owner_pacing
from . import reservations
from .request import Phase
from .request import Request

#: Interval in seconds at which all queued requests of a cell are renewed.
QUEUE_RENEWAL_S = 0.5

Effects = list[typing.Any]


class PacedReservations(reservations.Reservations):
    """Bounds the unanswered bookings at each owner."""

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self._paces_by_cell: dict[str, owner_pacing.OwnerPace] = {}
        #: Requests that no owner has queued or placed. Those that have no
        #: unanswered booking wait here.
        self._unplaced_by_cell: dict[str, dict[str, Request]] = {}
        self._queue_renewed_at = 0.0
        #: What was renewed last in queues, by the owner's id and the cell.
        self._queued_by_owner: dict[tuple[str, str], list[cells.Holding]] = {}

    # Booking

    def book(self, now: float, request: Request) -> Effects | None:
        """Let a request wait until its booking may be sent, often at once."""
        if request.cell in self._probe_at_by_cell:
            self._remove(request)
            return super().book(now, request)
        if self._pace(now, request.cell) is None:
            return None
        request.asked_at = now
        self._add(request)
        return self.send_waiting(now, request.cell)

    def send_waiting(self, now: float, cell: str) -> Effects:
        """Return the bookings that wait at this entry and may be sent now."""
        if not self._unplaced_by_cell.get(cell):
            return []
        pace = self._pace(now, cell)
        if pace is None:
            return []
        out: Effects = []
        for request in self._waiting(pace):
            if not pace.has_room(now):
                break
            # The first booking of a request need not be spread: requests
            # arrive at random times.
            if request.serial and now < pace.sends_from(request.request_id):
                continue
            out += self._book_at(now, request, pace.owner)
            pace.sent(now, request.request_id, request.attempt_id)
        return out

    def place_without_owner(self, now: float, request: Request) -> Effects:
        self._remove(request)
        return super().place_without_owner(now, request)

    def follow(
        self, now: float, request: Request, holder: str
    ) -> Effects | None:
        pace = self._pace(now, request.cell)
        if pace is None or pace.is_seeking:
            return None
        return self.send_waiting(now, request.cell)

    def rebook(
        self, now: float, request: Request, holder: str, epoch: int
    ) -> Effects:
        """Book at a cell's new owner, unless it has queued the request."""
        is_queued = request.phase is Phase.QUEUED
        if (
            is_queued
            and request.owner == holder
            and request.queued_epoch >= epoch
        ):
            return []
        pace = self._pace(now, request.cell)
        if is_queued or (
            pace is not None and pace.announced(now, holder, epoch)
        ):
            request.phase_at = now
        request.phase = Phase.BOOKING
        self._add(request)
        return self.send_waiting(now, request.cell)

    def _deadline_s(self, now: float, request: Request) -> float:
        """Return the seconds that will remain when the owner reads it.

        An owner can't tell how long a message has waited, as clocks differ.
        Without the deduction, a slow owner would place what its client no
        longer waits for.
        """
        pace = self._paces_by_cell.get(request.cell)
        delay_s = 0.0 if pace is None else pace.reading_delay_s
        return max(0.0, request.placement_timeout_s(now) - delay_s)

    def _waited_s(self, now: float, request: Request) -> float:
        """Return the seconds for which a request waited before it is read.

        Without them, an owner would take what has waited here for work that
        can be in time.
        """
        pace = self._paces_by_cell.get(request.cell)
        delay_s = 0.0 if pace is None else pace.reading_delay_s
        return now - request.arrived_at + delay_s

    # Owners

    def note_message(
        self, event: parts.Received, request: Request | None
    ) -> None:
        message = event.message
        pace = self._paces_by_cell.get(message.cell)
        if pace is None:
            return
        pace.heard(event.now, event.sender)
        if request is None or not _is_former_pair(message, request):
            pace.answered(event.now, event.sender, message.attempt_id)
        if isinstance(message, cells.NotOwner):
            owners = self._directory.owners_of(message.cell)
            pace.disowned(event.now, event.sender, message.holder, owners)
            return
        pace.owns(event.sender)
        if isinstance(message, cells.Cancelled):
            pace.informed(event.now, event.sender, message.epoch)

    def must_release_late(self, message: typing.Any) -> bool:
        """Return whether an answer for an attempt that ended is released.

        The release that ended the attempt follows the booking on the same
        connection. If it is lost, the booking runs out, or is placed later.
        """
        return isinstance(message, cells.Booked)

    def note_owner(
        self, now: float, cell: str, holder: str, epoch: int
    ) -> None:
        pace = self._pace(now, cell)
        if pace is not None:
            pace.heard(now, holder)
            pace.announced(now, holder, epoch)

    def leave_owner(self, now: float, cell: str, owner: str) -> None:
        """Ask the next candidate, as this one is silent."""
        pace = self._pace(now, cell)
        if pace is not None:
            pace.turn_from(now, owner, self._directory.owners_of(cell))

    def has_left_queue(self, request: Request) -> bool:
        """Return whether its owner said that it owns the cell no more."""
        pace = self._paces_by_cell.get(request.cell)
        if pace is None or request.is_unowned:
            return False
        disowned_at = pace.disowned_at_by_id.get(request.owner)
        return disowned_at is not None and disowned_at >= request.phase_at

    def is_booking(self, request: Request) -> bool:
        """Return whether a booking waits here or was sent to an owner."""
        return request.request_id in self._unplaced_by_cell.get(
            request.cell, {}
        )

    def is_silent(self, now: float, request: Request) -> bool:
        """Return whether nothing has come from a queued request's owner.

        A slow owner answers renewals late. It is silent only when it has sent
        nothing for some time after one that it has to answer.
        """
        since = request.owner_replied_at
        pace = self._pace(now, request.cell)
        if pace is None or request.is_unowned:
            return now - since >= owner_pacing.SILENT_OWNER_S
        if request.is_renewed_together:
            return pace.leaves_renewals(now, request.owner)
        return pace.is_silent(now, request.owner, since)

    # Time

    def note_tick(self, now: float) -> None:
        """Narrow the windows of owners that answer late."""
        for pace in self._paces_by_cell.values():
            pace.tick(now)

    def tick(self, now: float) -> Effects:
        """Repeat bookings, send what may be sent, and leave silent owners."""
        out: Effects = []
        for cell, pace in self._paces_by_cell.items():
            owners = self._directory.owners_of(cell)
            out += self._inquiry(pace, pace.informant(now, owners))
            if pace.owes_and_is_silent(now):
                pace.turn_from(now, pace.owner, owners)
            out += self._repeats(now, pace)
            out += _log(now, pace)
            out += self.send_waiting(now, cell)
        return out

    def hopeless(self, now: float) -> list[Request]:
        """Return the requests whose answer would come too late.

        A KV cache that moves is not among them; it expires soon by itself.
        """
        found = []
        for pace in self._paces_by_cell.values():
            place = 0
            for request in self._waiting(pace):
                answer_s = pace.expected_answer_s(now, place)
                gives_up_at = min(
                    request.phase_at + request.search_timeout_s,
                    now + request.placement_timeout_s(now),
                )
                if (
                    answer_s > 0.0
                    and now + answer_s > gives_up_at
                    and request.stage is not cell_types.Stage.DECODE
                ):
                    found.append(request)
                else:
                    place += 1
        return found

    def _inquiry(
        self, pace: owner_pacing.OwnerPace, informant: str
    ) -> Effects:
        """Return the message that asks another instance for the owner.

        It is the renewal of a booking that it does not hold, so that it books
        nothing. It also tells a deputy that the cell needs an owner.
        """
        holding = self._queued_by_owner.get((pace.owner, pace.cell), ())
        holding = holding or [
            cells.Holding(
                request_id=each.request_id, attempt_id=each.attempt_id
            )
            for each in pace.unanswered_by_attempt.values()
        ]
        if not informant or not holding:
            return []
        inquiry = cells.Progress(
            cell=pace.cell, bookings=(), queued=tuple(holding[:1])
        )
        return [parts.Send(to=informant, message=inquiry)]

    def _repeats(self, now: float, pace: owner_pacing.OwnerPace) -> Effects:
        unplaced = self._unplaced_by_cell.get(pace.cell, {})
        out: Effects = []
        for each in pace.due_repeats(now):
            request = unplaced.get(each.request_id)
            if (
                request is not None
                and request.attempt_id == each.attempt_id
                and _is_unplaced(request)
            ):
                out.append(self._book_message(now, request))
        return out

    # Renewing

    def renew(self, now: float, requests: abc.Iterable[Request]) -> Effects:
        """Renew all bookings, those in a queue more often."""
        out = super().renew(now, requests)
        if now - self._queue_renewed_at < QUEUE_RENEWAL_S:
            return out
        self._queue_renewed_at = now
        queued_by_owner: dict[tuple[str, str], list[cells.Holding]] = {}
        for request in requests:
            if (
                request.phase is Phase.QUEUED
                and request.is_renewed_together
                and not request.is_ended
            ):
                holding = cells.Holding(
                    request_id=request.request_id,
                    attempt_id=request.attempt_id,
                )
                queued_by_owner.setdefault(
                    (request.owner, request.cell), []
                ).append(holding)
        for owner, cell in queued_by_owner:
            pace = self._paces_by_cell.get(cell)
            if pace is not None:
                pace.renewed(now, owner)
        self._queued_by_owner = queued_by_owner
        return _with_queued(out, queued_by_owner.copy())

    # State

    def loads_by_cell(self) -> dict[str, owner_pacing.Load]:
        return {
            cell: owner_pacing.Load(
                unanswered=len(pace.unanswered_by_attempt),
                window=pace.window,
                waiting=len(self._waiting(pace)),
            )
            for cell, pace in self._paces_by_cell.copy().items()
        }

    def _pace(self, now: float, cell: str) -> owner_pacing.OwnerPace | None:
        """Return the pace of a cell; ``None`` without a candidate."""
        owners = self._directory.owners_of(cell)
        if not owners:
            return None
        pace = self._paces_by_cell.get(cell)
        if pace is None:
            pace = self._paces_by_cell[cell] = owner_pacing.OwnerPace(
                cell=cell, owner=owners[0], salt=self._directory.own_id
            )
        pace.update_candidates(now, owners)
        return pace

    def _waiting(self, pace: owner_pacing.OwnerPace) -> list[Request]:
        """Return what waits here, in the order in which it is sent."""
        unplaced = self._unplaced_by_cell.get(pace.cell, {}).copy()
        waiting = [
            request
            for request in unplaced.values()
            if _is_unplaced(request)
            and request.attempt_id not in pace.unanswered_by_attempt
        ]
        return sorted(waiting, key=_order)

    def _add(self, request: Request) -> None:
        unplaced = self._unplaced_by_cell.setdefault(request.cell, {})
        for request_id, each in list(unplaced.items()):
            if not _is_unplaced(each):
                del unplaced[request_id]
        unplaced[request.request_id] = request

    def _remove(self, request: Request) -> None:
        unplaced = self._unplaced_by_cell.get(request.cell, {})
        unplaced.pop(request.request_id, None)


def make_reservations(
    *, paces_bookings: bool, **options: typing.Any
) -> reservations.Reservations:
    """Return the reservations of an entry."""
    made = PacedReservations if paces_bookings else reservations.Reservations
    return made(**options)


def _is_former_pair(message: typing.Any, request: Request) -> bool:
    """Return whether it books the pair that a KV cache is moved away from.

    The move has the same attempt id, and is not answered by that.
    """
    return (
        isinstance(message, cells.Booked)
        and message.decode_id in request.exclude
    )


def _is_unplaced(request: Request) -> bool:
    return request.phase is Phase.BOOKING and not request.is_ended


def _order(request: Request) -> tuple[bool, int, float]:
    """Return the order of sending: moves of KV caches first, then by rank."""
    is_move = request.stage is cell_types.Stage.DECODE
    return not is_move, request.admitted.priority.rank, request.arrived_at


def _with_queued(
    renewals: Effects,
    queued_by_owner: dict[tuple[str, str], list[cells.Holding]],
) -> Effects:
    """Add queued bookings to the renewals, in messages of their own if none.

    :param queued_by_owner: by the owner's id and the cell.
    """
    out = []
    for each in renewals:
        progress = each.message
        queued = ()
        if isinstance(progress, cells.Progress):
            queued = queued_by_owner.pop((each.to, progress.cell), ())
        if queued:
            progress = msgspec.structs.replace(progress, queued=tuple(queued))
            each = parts.Send(to=each.to, message=progress)
        out.append(each)
    for (owner, cell), queued in queued_by_owner.items():
        progress = cells.Progress(cell=cell, bookings=(), queued=tuple(queued))
        out.append(parts.Send(to=owner, message=progress))
    return out


def _log(now: float, pace: owner_pacing.OwnerPace) -> Effects:
    is_narrow = pace.take_log_change(now)
    if is_narrow is None:
        return []
    message = (
        'owner answers late, bookings wait here'
        if is_narrow
        else 'owner answers in time again'
    )
    return [
        effects.log(
            message,
            level='WARNING' if is_narrow else 'INFO',
            cell=pace.cell,
            owner=pace.owner,
            answer_ms=str(round(pace.answer_s * 1000)),
            window=str(pace.window),
        )
    ]
