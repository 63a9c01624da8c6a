"""Bookings at the owners of cells: requesting, renewing, releasing.

Every function changes the request and returns the messages to send. None of
them ends a request; :mod:`.endings` does that.
"""

from collections import abc
import typing

from .. import decisions
from . import admission
from ..cell import cell_types
from ..cell import cells
from ..cell import rate_limit_news
from ..cell import rate_limits
from ..coordination import parts
from . import owner_pacing
from . import request as request_module

#: Seconds without an answer after which a booking is sent again.
OWNER_RETRY_S = 0.25
#: Seconds without an answer after which the owner counts as unresponsive and
#: the entry places requests itself. An answer takes some 5 ms; this timeout
#: is many times that on a busy machine, and a small part of any latency
#: target.
OWNER_TIMEOUT_S = 0.15
#: Interval in seconds at which one request probes an unresponsive owner while
#: the entry places requests itself.
PROBE_S = 0.5
#: Interval in seconds at which a queued request repeats its booking.
QUEUE_RENEW_S = 0.3
#: Timeout in seconds of a search for an owner; the request is then refused.
#: It also holds for a request in an owner's queue: no work is lost with it,
#: and with a longer search its client would disconnect without an answer.
OWNER_SEARCH_S = 1.5
#: The same for a request that an owner had placed. It is longer because the
#: next owner has to obtain a lease first, and because giving up would lose
#: what has been computed.
OWNER_FAILOVER_S = 5.0
#: Seconds without a message after which a queued request searches for another
#: owner.
QUEUE_TIMEOUT_S = 0.75
#: Redirections followed in one search. Without a limit, two instances that
#: name each other as the owner would redirect a request for ever.
MAX_REDIRECTS = 3
#: Seconds for which a new owner is told of a rate limit after it was stated.
#: A limit that holds is stated at each request, and there are some.
RATE_LIMIT_AGE_S = 30.0
#: Times that one candidate owner is asked before the next one is.
TRIES_PER_OWNER = 2

Effects = list[typing.Any]


class Reservations:
    """Requests, renews, moves and releases the bookings of an entry."""

    def __init__(
        self,
        *,
        directory: admission.Directory,
        rate_limits: rate_limits.RateLimits,
    ) -> None:
        self._directory = directory
        self._rate_limits = rate_limits
        self._progress_at = 0.0
        #: Time of the next probe of the owner, for each cell whose owner is
        #: unresponsive, so that this entry places its requests.
        self._probe_at_by_cell: dict[str, float] = {}

    # Booking

    def search(
        self, now: float, request: request_module.Request
    ) -> Effects | None:
        """Start to search for the owner; ``None`` without a candidate."""
        request.booked = None
        request.reclaimed_at = None
        request.phase = request_module.Phase.BOOKING
        request.phase_at = now
        request.tries = 0
        request.redirects = 0
        return self.book(now, request)

    def book(
        self, now: float, request: request_module.Request
    ) -> Effects | None:
        """Send a booking to the next candidate; ``None`` if there is none.

        While the owner is unresponsive, the booking goes to this instance.
        """
        if request.cell in self._probe_at_by_cell:
            own_id = self._directory.own_id
            probe = self._probe(now, request)
            return [*probe, *self._book_at(now, request, own_id, unowned=True)]
        owners = self._directory.owners_of(request.cell)
        if not owners:
            return None
        turn = request.tries // TRIES_PER_OWNER
        return self._book_at(now, request, owners[turn % len(owners)])

    def may_place_without_owner(self, request: request_module.Request) -> bool:
        """Return whether this entry may place it without the cell's owner."""
        return self._directory.places_without_owner(request.cell)

    def place_without_owner(
        self, now: float, request: request_module.Request
    ) -> Effects:
        """Book at this instance for this request and subsequent ones."""
        self._probe_at_by_cell[request.cell] = now + PROBE_S
        silent = decisions.OwnerSilent(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            cell=request.cell,
            owner=request.owner,
            silent_ms=round((now - request.asked_at) * 1000),
        )
        own_id = self._directory.own_id
        asked = self._book_at(now, request, own_id, unowned=True)
        return [silent.log(), *asked]

    def mark_owner_responsive(self, cell: str) -> None:
        """Return to booking at a cell's owner, because it responded."""
        self._probe_at_by_cell.pop(cell, None)

    def process_unawaited_answer(self, sender: str, cell: str) -> None:
        """Process an answer that no request waits for, as after a probe."""
        if sender != self._directory.own_id:
            self.mark_owner_responsive(cell)

    def _probe(self, now: float, request: request_module.Request) -> Effects:
        """Return the messages that probe the owner, if a probe is due.

        The request does not wait for the answer: the booking is released
        right away, and this entry places the request. Otherwise, with few
        clients, one request in three would wait for an owner that does not
        answer, and be late.
        """
        owners = self._directory.owners_of(request.cell)
        is_due = now >= self._probe_at_by_cell[request.cell]
        if (
            not is_due
            or not owners
            or request.stage is cell_types.Stage.DECODE
        ):
            return []
        self._probe_at_by_cell[request.cell] = now + PROBE_S
        return self._book_at(now, request, owners[0])

    def note_message(
        self, event: parts.Received, request: request_module.Request | None
    ) -> None:
        """Process that a message about a cell has come, before its answer.

        :param request: the request whose current attempt it is for, if any.
        """

    def must_release_late(self, message: typing.Any) -> bool:
        """Return whether an answer for an attempt that ended is released."""
        return isinstance(message, cells.Booked | cells.Queued)

    def note_owner(
        self, now: float, cell: str, holder: str, epoch: int
    ) -> None:
        """Process that an instance has announced itself as a cell's owner."""

    def loads_by_cell(self) -> dict[str, owner_pacing.Load]:
        """Return the bookings that are held back; safe in any thread."""
        return {}

    def send_waiting(self, now: float, cell: str) -> Effects:
        """Return the bookings that wait at this entry and may be sent now."""
        return []

    def follow(
        self, now: float, request: request_module.Request, holder: str
    ) -> Effects | None:
        """Book at the owner that another instance named in ``NotOwner``.

        :returns: ``None`` if the cell has no owner at present.
        """
        # An instance that is not the owner is not asked a second time.
        request.tries += request.tries % TRIES_PER_OWNER
        if (
            not holder
            or holder == request.owner
            or request.redirects >= MAX_REDIRECTS
        ):
            # The tick asks again later.
            return None
        request.redirects += 1
        return self._book_at(now, request, holder)

    def _book_at(
        self,
        now: float,
        request: request_module.Request,
        holder: str,
        *,
        unowned: bool = False,
    ) -> Effects:
        out: Effects = []
        if request.stage is not cell_types.Stage.DECODE and (
            not request.serial
            or holder != request.owner
            or unowned != request.is_unowned
        ):
            # Each owner that is asked gets an attempt id of its own. With a
            # shared id, the late answer of an earlier owner could not be
            # told from that of its successor, and one stream would take two
            # slots.
            out = self.release(request, cells.Outcome.CANCELLED)
            request.serial += 1
        request.owner = holder
        request.is_unowned = unowned
        request.asked_at = now
        request.tries += 1
        request.is_held = True
        return [*out, self._book_message(now, request)]

    def _book_message(
        self, now: float, request: request_module.Request
    ) -> parts.Send:
        call = request.call
        book = cells.Book(
            cell=request.cell,
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            account=request.admitted.account.name,
            priority=request.admitted.priority.name,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            prefix=call.prefix,
            deadline_s=self._deadline_s(now, request),
            exclude=request.exclude,
            stage=request.stage,
            expected_tokens=call.expected_tokens,
            unowned=request.is_unowned,
            resent=request.admitted.is_resent,
            may_read_there=request.admitted.is_pass_through,
            software_version=None
            if request.origin is None
            else request.origin.software_version,
            needs_sole_version=request.needs_sole_version,
            target_s=request.admitted.target_s,
            waited_s=self._waited_s(now, request),
        )
        return parts.Send(to=request.owner, message=book)

    def _deadline_s(
        self, now: float, request: request_module.Request
    ) -> float:
        """Return the seconds that remain when the owner reads the booking."""
        return request.placement_timeout_s(now)

    def _waited_s(self, now: float, request: request_module.Request) -> float:
        """Return for how long the owner is told that a request has waited."""
        return 0.0

    def rebook(
        self,
        now: float,
        request: request_module.Request,
        holder: str,
        epoch: int,
    ) -> Effects:
        """Book at a cell's new owner what the old one had not placed."""
        request.phase = request_module.Phase.BOOKING
        request.phase_at = now
        return self._book_at(now, request, holder)

    def repeat_booking(
        self, now: float, request: request_module.Request
    ) -> Effects:
        """Repeat the booking at the same owner, which is idempotent."""
        request.asked_at = now
        return [self._book_message(now, request)]

    # Releasing

    def release(
        self,
        request: request_module.Request,
        outcome: cells.Outcome,
        *,
        fault: str = '',
        is_down: bool = False,
        wasted: int = 0,
        token_gap_s: float = 0.0,
        answer_pieces: int = 0,
    ) -> Effects:
        """Release the reservation; returns nothing if none can be held.

        :param fault: id of the backend server that failed, else ``''``.
        :param is_down: whether that server refused the connection.
        :param wasted: prefilled tokens that are thrown away.
        :param token_gap_s: mean seconds between tokens; 0 if not measured.
        """
        if not request.is_held:
            return []
        request.is_held = False
        release = cells.Release(
            cell=request.cell,
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            outcome=outcome,
            wasted_tokens=wasted,
            backend_fault=fault,
            is_down=is_down,
            token_gap_s=token_gap_s,
            answer_pieces=answer_pieces,
        )
        out: Effects = [parts.Send(to=request.owner, message=release)]
        if request.is_unowned and request.owner != self._directory.own_id:
            # An owner has taken over a booking that this instance made. It
            # still counts in this instance's own share of the servers.
            out.append(parts.Send(to=self._directory.own_id, message=release))
        return out

    def cancels(
        self, request: request_module.Request
    ) -> tuple[cells.CancelStream, ...]:
        """Return the cancels for the engines that may work on a request.

        They are sent at once. The owner repeats its own cancels until they
        are confirmed, and these are sent once more when the request's thread
        has ended its step, because a cancel that overtakes the call it is
        meant for has no effect.
        """
        booked = request.booked
        if request.stage is cell_types.Stage.PLAIN:
            return ()
        urls_by_id = {request.kv_id: request.kv_source}
        if booked is not None:
            urls_by_id[booked.prefill_id] = booked.prefill_url
            urls_by_id[booked.decode_id] = booked.decode_url
        return tuple(
            cancel_of(request, backend_id, url)
            for backend_id, url in urls_by_id.items()
            if backend_id and url
        )

    # Renewing

    def renew(
        self, now: float, requests: abc.Iterable[request_module.Request]
    ) -> Effects:
        """Renew all bookings, once a second, with one message per cell."""
        if now - self._progress_at < cells.PROGRESS_INTERVAL_S:
            return []
        self._progress_at = now
        held_by_cell: dict[str, list[request_module.Request]] = {}
        for request in requests:
            if request.is_placed and not request.is_ended:
                held_by_cell.setdefault(request.cell, []).append(request)
        out: Effects = []
        for cell, held in held_by_cell.items():
            owners = self._directory.owners_of(cell)
            if owners:
                out.extend(self.renew_at(now, cell, held, owners[0]))
        return out

    def renew_at(
        self,
        now: float,
        cell: str,
        held: abc.Sequence[request_module.Request],
        holder: str,
    ) -> Effects:
        """Renew bookings at ``holder``, after a reclaim of those it lacks.

        A new owner starts without any bookings. Without the reclaim, it would
        give the slots of these requests to others.
        """
        moved = [each for each in held if each.owner != holder]
        out: Effects = []
        if moved:
            epoch = max(each.booked.epoch for each in moved)
            out = self.reclaim(now, cell, moved, holder, epoch)
        bookings = tuple(
            cells.Holding(
                request_id=each.request_id, attempt_id=each.attempt_id
            )
            for each in held
        )
        progress = cells.Progress(cell=cell, bookings=bookings)
        return [*out, parts.Send(to=holder, message=progress)]

    def reclaim(
        self,
        now: float,
        cell: str,
        held: abc.Sequence[request_module.Request],
        holder: str,
        epoch: int,
    ) -> Effects:
        """Send an owner the bookings that an earlier owner made."""
        for request in held:
            if request.owner != holder or request.reclaimed_at is None:
                request.owner = holder
                request.reclaimed_at = now
        reclaim = cells.Reclaim(
            cell=cell,
            epoch=epoch,
            bookings=tuple(_reclaimed(now, each) for each in held),
            rate_limits=self._rate_limits.heard_since(
                now - RATE_LIMIT_AGE_S, rate_limit_news.MAX_TOLD
            ),
        )
        # A datagram suffices: the owner requests a lost one again. A new
        # owner receives one from every entry.
        return [parts.Send(to=holder, message=reclaim, by_datagram=True)]

    def is_lost(
        self,
        request: request_module.Request,
        event: parts.Received,
    ) -> bool:
        """Whether an owner's ``Cancelled`` means that the slot is lost.

        From the owner that made the booking, it means that the slot may be in
        use by others: this process was suspended for longer than the
        booking's lease. A later owner also sends it while the reclaim of the
        booking is under way, or if the reclaim was lost. So its ``Cancelled``
        counts only when a whole lease has passed since the reclaim.
        """
        if event.message.epoch <= request.booked.epoch:
            return True
        if event.sender != request.owner or request.reclaimed_at is None:
            return False
        return event.now - request.reclaimed_at >= cells.BOOKING_LEASE_S


def cancel_of(
    request: request_module.Request, backend_id: str, url: str
) -> cells.CancelStream:
    """Return the effect that frees an engine's memory of this attempt."""
    return cells.CancelStream(
        backend_id=backend_id,
        url=url,
        stream_id=request.request_id,
        attempt_id=request.attempt_id,
        epoch=request.booked.epoch if request.booked else 0,
    )


def _reclaimed(
    now: float, request: request_module.Request
) -> cells.ReclaimedBooking:
    booked = request.booked
    return cells.ReclaimedBooking(
        request_id=request.request_id,
        attempt_id=request.attempt_id,
        account=request.admitted.account.name,
        priority=request.admitted.priority.name,
        stage=request.stage,
        prompt_tokens=request.call.prompt_tokens,
        max_tokens=request.call.max_tokens,
        deadline_s=request.left_s(now),
        prefill_id=booked.prefill_id,
        decode_id=booked.decode_id,
        plain_id=booked.plain_id,
        prefill_done=request.phase is not request_module.Phase.PREFILL,
        expected_tokens=request.call.expected_tokens,
    )
