"""What an entry says to the owners of cells, and when it says it again.

Every function changes the request and returns the messages to send. None of
them ends a request: that is for :mod:`.endings`.
"""

from collections import abc
import typing

from .. import decisions
from . import admission
from ..cell import cells
from ..cell import vocabulary
from ..coordination import parts
from . import request as request_module

#: An owner that hasn't answered a booking for so long is asked again.
OWNER_ANSWER_S = 0.25
#: One that hasn't answered for so long is silent: the entry places by
#: itself. An answer takes some 5 ms; this is many times that on a busy
#: machine, and a small part of any target.
OWNER_SILENT_S = 0.15
#: While an entry places by itself, one request so often tries the owner.
PROBE_S = 0.5
#: A queued request asks its owner so often whether it is there still.
QUEUE_ASK_S = 0.3
#: Longest search for an owner; then the caller is told at once. It is the
#: same for a call that waits in an owner's queue: nothing is lost with it,
#: and its caller would leave without an answer.
OWNER_SEARCH_S = 1.5
#: The same for a request that an owner had placed: its successor needs a
#: lease first, and what has been computed would be lost.
OWNER_LOST_S = 5.0
#: A queued request whose owner said nothing for so long looks for another.
QUEUE_SILENT_S = 0.75
#: Hints of instances that aren't the owner, followed in one search. Two
#: that point at each other would keep a request going round without end.
MOST_HOPS = 3
#: Times that one owner is asked before the next one is.
ASKS_PER_OWNER = 2

Effects = list[typing.Any]


class Reservations:
    """Books, renews, moves and gives back, for all requests of an entry."""

    def __init__(self, *, directory: admission.Directory) -> None:
        self._directory = directory
        self._progress_at = 0.0
        #: When to try the owner next, by cell that this entry stands in for.
        self._probe_at_by_cell: dict[str, float] = {}

    # Asking

    def search(
        self, now: float, request: request_module.Request
    ) -> Effects | None:
        """Start to look for the owner; ``None`` if nobody can be asked."""
        request.booked = None
        request.reclaimed_at = None
        request.phase = request_module.Phase.BOOKING
        request.phase_at = now
        request.asked = 0
        request.hops = 0
        return self.ask(now, request)

    def ask(
        self, now: float, request: request_module.Request
    ) -> Effects | None:
        """Ask the next owner; ``None`` if there is none.

        While it is silent this entry asks itself.
        """
        if request.cell in self._probe_at_by_cell:
            own_id = self._directory.own_id
            probe = self._probe(now, request)
            return [*probe, *self._ask(now, request, own_id, unowned=True)]
        owners = self._directory.owners_of(request.cell)
        if not owners:
            return None
        turn = request.asked // ASKS_PER_OWNER
        return self._ask(now, request, owners[turn % len(owners)])

    @property
    def may_stand_in(self) -> bool:
        """Whether this entry may place work without its owner."""
        return self._directory.places_alone

    def stand_in(self, now: float, request: request_module.Request) -> Effects:
        """Ask this instance itself, for this request and those that follow."""
        self._probe_at_by_cell[request.cell] = now + PROBE_S
        silent = decisions.OwnerSilent(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            cell=request.cell,
            owner=request.owner,
            silent_ms=round((now - request.asked_at) * 1000),
        )
        own_id = self._directory.own_id
        asked = self._ask(now, request, own_id, unowned=True)
        return [silent.log(), *asked]

    def note_owner_heard(self, cell: str) -> None:
        """An owner answers: it places the work again."""
        self._probe_at_by_cell.pop(cell, None)

    def note_heard_late(self, sender: str, cell: str) -> None:
        """Take in an answer that nothing waits for, such as to a probe."""
        if sender != self._directory.own_id:
            self.note_owner_heard(cell)

    def _probe(self, now: float, request: request_module.Request) -> Effects:
        """Return what asks the owner now and then whether it answers.

        The request doesn't wait for that: what is asked for is given back
        right away, and this entry places it. With few callers one request
        in three would else wait in vain, and be late, for as long as the
        owner is silent.
        """
        owners = self._directory.owners_of(request.cell)
        is_due = now >= self._probe_at_by_cell[request.cell]
        if (
            not is_due
            or not owners
            or request.stage is vocabulary.Stage.DECODE
        ):
            return []
        self._probe_at_by_cell[request.cell] = now + PROBE_S
        return self._ask(now, request, owners[0])

    def follow(
        self, now: float, request: request_module.Request, holder: str
    ) -> Effects:
        """Ask the owner that another instance named."""
        # Whoever is not the owner needn't be asked twice.
        request.asked += request.asked % ASKS_PER_OWNER
        if not holder or holder == request.owner or request.hops >= MOST_HOPS:
            # Nobody owns it just now: the tick asks again a little later.
            return []
        request.hops += 1
        return self._ask(now, request, holder)

    def _ask(
        self,
        now: float,
        request: request_module.Request,
        holder: str,
        *,
        unowned: bool = False,
    ) -> Effects:
        out: Effects = []
        if request.stage is not vocabulary.Stage.DECODE and (
            not request.serial
            or holder != request.owner
            or unowned != request.is_unowned
        ):
            # An attempt id for each owner that is asked. With one for all,
            # an owner that answers late, when its successor has booked too,
            # would be taken for it: two slots for one stream.
            out = self.release(request, cells.Outcome.CANCELLED)
            request.serial += 1
        request.owner = holder
        request.is_unowned = unowned
        request.asked_at = now
        request.asked += 1
        request.is_held = True
        return [*out, self._book(now, request)]

    def _book(self, now: float, request: request_module.Request) -> parts.Send:
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
            deadline_s=request.useful_s(now),
            exclude=request.exclude,
            stage=request.stage,
            expected_tokens=call.expected_tokens,
            unowned=request.is_unowned,
            resent=request.admitted.is_resent,
            may_read_there=request.admitted.is_passed_on,
        )
        return parts.Send(to=request.owner, message=book)

    def move_search(
        self, now: float, request: request_module.Request, holder: str
    ) -> Effects:
        """Ask a cell's new owner for what the old one had not placed."""
        request.phase = request_module.Phase.BOOKING
        request.phase_at = now
        return self._ask(now, request, holder)

    def ask_again(
        self, now: float, request: request_module.Request
    ) -> Effects:
        """Ask the same owner once more; the answer is the same."""
        request.asked_at = now
        return [self._book(now, request)]

    # Giving back

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
        """Give the reservation back; nothing if none can be held."""
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
            # An owner has taken it over; this instance's own share of the
            # backend servers counts it as well.
            out.append(parts.Send(to=self._directory.own_id, message=release))
        return out

    def cancels(
        self, request: request_module.Request
    ) -> tuple[cells.CancelStream, ...]:
        """Return the cancels for the engines that may work on it.

        They go out at once. The owner repeats its own until confirmed, and
        they go out once more when the request's thread has let go: a cancel
        that overtakes the call it is meant for finds nothing to cancel.
        """
        booked = request.booked
        if request.stage is vocabulary.Stage.PLAIN:
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
        """Say what this entry holds, once a second, one message a cell."""
        if now - self._progress_at < cells.PROGRESS_EVERY_S:
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
                out.extend(self.tell(now, cell, held, owners[0]))
        return out

    def tell(
        self,
        now: float,
        cell: str,
        held: abc.Sequence[request_module.Request],
        holder: str,
    ) -> Effects:
        """Renew at ``holder``; to a new owner, tell all first.

        A new owner starts empty, and would give away the slots that these
        requests use.
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
        """Tell an owner of bookings that another one made."""
        for request in held:
            if request.owner != holder or request.reclaimed_at is None:
                request.owner = holder
                request.reclaimed_at = now
        reclaim = cells.Reclaim(
            cell=cell,
            epoch=epoch,
            bookings=tuple(_reclaimed(now, each) for each in held),
        )
        # Asked for once more if it is lost; a new owner hears it from all.
        return [parts.Send(to=holder, message=reclaim, by_datagram=True)]

    def is_lost(
        self,
        request: request_module.Request,
        event: parts.Received,
    ) -> bool:
        """Whether an owner's ``Cancelled`` means that the slot is gone.

        The owner that made the booking has given the slot to others once it
        says so: we were frozen past the booking's lease. A later owner says
        it as well before it was told of the booking, or when that message
        was lost; only after a whole lease does it mean that it had known.
        """
        if event.message.epoch <= request.booked.epoch:
            return True
        if event.sender != request.owner or request.reclaimed_at is None:
            return False
        return event.now - request.reclaimed_at >= cells.BOOKING_LEASE_S


def cancel_of(
    request: request_module.Request, backend_id: str, url: str
) -> cells.CancelStream:
    """Return the order to free an engine's memory of this attempt."""
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
