"""The state of a cell at its owner: which attempt holds which slots.

A cell is the backend servers of one service in one region, or a subset of
them. Exactly one instance owns it, under a lease with an epoch, so that two
instances can't both book the same free slot. Each booking is itself a lease
that its entry, the instance that accepted the request, renews. The cell is a
state machine: it reads no clock and does no I/O. Events carry the time, and
the effects that it returns say what to send.
"""

import typing

from ..coordination import parts
from . import declines
from . import plans
from . import renewals
from .backend_state import BackendState
from .cancels import Cancels
from .cell_messages import BackendsChanged
from .cell_messages import Book
from .cell_messages import Booked
from .cell_messages import CacheHint
from .cell_messages import Cancelled
from .cell_messages import CancelStream
from .cell_messages import Declined
from .cell_messages import HeldStream
from .cell_messages import Holding
from .cell_messages import LeaseLapsed
from .cell_messages import ListStreams
from .cell_messages import LoadReported
from .cell_messages import MESSAGES
from .cell_messages import NotOwner
from .cell_messages import Outcome
from .cell_messages import PrefillDone
from .cell_messages import Progress
from .cell_messages import Queued
from .cell_messages import RateLimitReported
from .cell_messages import Reclaim
from .cell_messages import ReclaimedBooking
from .cell_messages import ReclaimWanted
from .cell_messages import Release
from .cell_messages import RestReported
from .cell_messages import StreamCancelled
from .cell_messages import StreamsListed
from .cell_messages import TermsChanged
from .cell_types import Booking
from .cell_types import CellBackend
from .cell_types import CellTerms
from .cell_types import Role
from .cell_types import Stage
from .cell_view import CellView
from .fault_recorder import FaultRecorder
from .health import Health
from .policy import Decision
from .policy import Decline
from .policy import Place
from .policy import Policy
from .policy import Wait
from .rate_limit_news import RateLimitNews
from .rate_limits import RateLimits
from .roles import RoleBalancer
from .shedding import Shedding

__all__ = [
    'BackendsChanged',
    'Book',
    'Booked',
    'BOOKING_LEASE_S',
    'CacheHint',
    'Cancelled',
    'CancelStream',
    'Cell',
    'CellBackend',
    'CellTerms',
    'Declined',
    'HeldStream',
    'Holding',
    'LeaseLapsed',
    'ListStreams',
    'LoadReported',
    'MESSAGES',
    'NotOwner',
    'Outcome',
    'PrefillDone',
    'Progress',
    'PROGRESS_INTERVAL_S',
    'Queued',
    'RateLimitReported',
    'Reclaim',
    'ReclaimedBooking',
    'ReclaimWanted',
    'Release',
    'RestReported',
    'StreamCancelled',
    'StreamsListed',
    'TermsChanged',
]

#: A booking that its entry hasn't renewed for this time is dropped: the entry
#: is taken to have died.
BOOKING_LEASE_S = 4.0
#: How often an entry should send :class:`Progress`, in seconds.
PROGRESS_INTERVAL_S = 1.0
#: How often an owner lists the streams of its backend servers, in seconds.
LIST_INTERVAL_S = 5.0
#: After a dispatch that placed nothing, events that free no capacity don't
#: start another one for this time, half a tick of the runtime. Without this,
#: each arrival in a burst checks the KV cache of every engine again: at 160
#: requests a second, an owner of 59 engines used 0.99 of a core, against 0.70
#: with it, on a busy machine.
DISPATCH_PAUSE_S = 0.025


def _frees_capacity(event: typing.Any) -> bool:
    """Return whether an event may free capacity for queued work."""
    if isinstance(event, parts.Received):
        return isinstance(
            event.message, (Release, PrefillDone, RateLimitReported)
        )
    return not isinstance(event, parts.Ticked)


def _is_repeat(known: Booking, book: Book) -> bool:
    """Return whether a ``Book`` repeats one that was answered already.

    A second move of one KV cache has the same ids and stage as the first,
    but a longer list of excluded backend servers. If it got the answer to
    the first again, it would be sent to the engine that has just refused it,
    over and over, and imports would be refused by the thousand.
    """
    unplaced = known.stage is Stage.DECODE and not known.decode_id
    if unplaced and known.start_at is not None:
        # The move was declined; a queued one would have no start.
        return False
    return known.stage is book.stage and known.exclude == book.exclude


class Cell:
    """The state of one cell at its owner.

    :param cell_id: ``service/region/k``.
    :param epoch: of the owner's lease; every cancel carries it.
    :param document_part: the service's settings from the document.
    :param rate_limits: known limits of backend servers; by default none is
        known yet, and all requests are booked here.
    :param owner_lag_s: see :class:`.shedding.Shedding`.
    :param commands_engines: list the streams of engines, and cancel them;
        only an owner may.
    """

    def __init__(
        self,
        *,
        cell_id: str,
        service: str,
        epoch: int,
        document_part: CellTerms,
        policy: Policy,
        rate_limits: RateLimits | None = None,
        owner_lag_s: float | None = None,
        commands_engines: bool = True,
    ) -> None:
        self._commands_engines = commands_engines
        self.cell_id = cell_id
        self.service = service
        self.epoch = epoch
        self.policy = policy
        self.view = CellView(
            terms=document_part, rate_limits=rate_limits or RateLimits()
        )
        self._faults = FaultRecorder(
            cell_id=cell_id, epoch=epoch, view=self.view
        )
        self.shedding = Shedding(
            cell_id=cell_id, view=self.view, lag_s=owner_lag_s
        )
        self.roles = RoleBalancer()
        self.bookings_by_key: dict[tuple[str, str], Booking] = {}
        self.cancels = Cancels(epoch=epoch)
        #: Backend servers that left or were cut off, on which work of this
        #: cell may still run.
        self.leaving_by_id: dict[str, BackendState] = {}
        self._began_at: float | None = None
        self._next_dispatch_at = 0.0
        self._listed_at = 0.0
        self._rate_limit_news = RateLimitNews(view=self.view)
        self._handlers_by_type: dict[type, typing.Any] = {
            Book: self._book,
            PrefillDone: self._prefill_done,
            Progress: self._progress,
            Release: self._release,
            Reclaim: self._reclaim,
            RateLimitReported: self._record_rate_limit,
            RestReported: self._record_rest,
        }

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Apply an event and return the resulting effects."""
        if self._began_at is None:
            self._began_at = self._listed_at = event.now
        is_tick = isinstance(event, parts.Ticked)
        effects = self.shedding.observe(event.now, is_tick=is_tick)
        effects += self._handle_event(event)
        if event.now < self._next_dispatch_at and not _frees_capacity(event):
            return effects
        return effects + self._dispatch(event.now)

    def _dispatch(self, now: float) -> list[typing.Any]:
        effects = []
        while self.view.queue:
            decided = self.policy.dispatch(now=now, view=self.view)
            if not decided:
                self._next_dispatch_at = now + DISPATCH_PAUSE_S
                break
            for booking, decision in decided:
                self._remove_booking(now, booking)
                effects.extend(self._apply(now, booking, decision))
                if booking.stage is Stage.DECODE and booking.start_at is None:
                    # Its KV cache is still held until the entry releases it.
                    self._add_booking(booking)
        return effects

    def _handle_event(self, event: typing.Any) -> list[typing.Any]:
        match event:
            case parts.Received(now=now, sender=sender, message=message):
                handler = self._handlers_by_type.get(type(message))
                return handler(now, sender, message) if handler else []
            case parts.Ticked(now=now):
                return self._tick(now)
            case TermsChanged():
                plans.change_terms(self.view, event.now, event.terms)
            case BackendsChanged():
                return self._change_backends(event)
            case LoadReported():
                return self._record_load(event)
            case CacheHint():
                return self._apply_cache_hint(event)
            case StreamsListed():
                return self._cancel_orphans(event)
            case StreamCancelled():
                self.cancels.confirm(event)
        return []

    def restore(self, record: typing.Any) -> None:
        """Do nothing: bookings aren't journalled, entries reclaim them."""

    def snapshot(self) -> tuple[typing.Any, ...]:
        """Return no records; see :meth:`restore`."""
        return ()

    def _book(self, now: float, sender: str, book: Book) -> list:
        key = (book.request_id, book.attempt_id)
        known = self.bookings_by_key.get(key)
        if known is not None and _is_repeat(known, book):
            known.renewed_at = now
            return [self._answer(now, known)]
        if known is not None and book.stage is Stage.PAIR:
            # A delayed duplicate: this attempt already moves its KV cache.
            return []
        if known is None and (late := self.shedding.decline(now, book)):
            return [self._decline(sender, book, late)]
        if book.needs_sole_version and len(self._decode_versions()) > 1:
            return [self._decline(sender, book, declines.several_versions())]
        logs = []
        if known is not None:
            self._remove_booking(now, known)
            if known.decode_id in book.exclude and not self._is_resting(
                now, known.decode_id
            ):
                logs = self._record_refusal(now, known)
        booking = Booking(
            request_id=book.request_id,
            attempt_id=book.attempt_id,
            entry=sender,
            account=book.account,
            priority=book.priority,
            stage=book.stage,
            prompt_tokens=book.prompt_tokens,
            max_tokens=book.max_tokens,
            prefix=book.prefix,
            exclude=book.exclude,
            arrived_at=now - book.waited_s,
            deadline_at=now + book.deadline_s,
            renewed_at=now,
            prefill_done=book.stage is Stage.DECODE,
            expected_tokens=book.expected_tokens,
            resent=book.resent,
            may_read_there=book.may_read_there,
            software_version=book.software_version,
            target_s=book.target_s,
        )
        if known is not None:
            # The KV cache stays there until a decode engine takes it.
            booking.prefill_id = known.prefill_id
        effects = self._decide(now, booking)
        if known is not None and booking.key not in self.bookings_by_key:
            # Declined, but the KV cache is still held and may yet move.
            known.decode_id = ''
            known.stage = Stage.DECODE
            known.clear_transfer()
            self._add_booking(known)
        return [*logs, *effects]

    def _record_refusal(self, now: float, booking: Booking) -> list:
        """Record that a decode engine refused a KV cache."""
        if self._is_too_large(booking):
            return []
        self._faults.pause(now, booking.decode_id)
        return self._faults.record_fault(now, booking.decode_id)

    def _is_too_large(self, booking: Booking) -> bool:
        """Return whether engines reject a prompt for its size alone.

        That is no fault of theirs, and they have room for others.
        """
        return booking.prompt_tokens > self.view.longest_prompt(booking)

    def review_roles(self, now: float) -> bool:
        """Start or end moves of engines between the pools.

        :returns: whether the set of moving engines changed.
        """
        if self._began_at is None or self._is_reclaiming(now):
            return False
        changed = self.roles.review(now, self.view)
        self.view.switching_ids = frozenset(self.roles.switches_by_id)
        return changed

    def _decide(self, now: float, booking: Booking) -> list:
        if booking.stage is Stage.PAIR and not self._is_too_large(booking):
            self.roles.record(self.view, booking)
        decision = self.policy.decide(now=now, view=self.view, booking=booking)
        return self._apply(now, booking, decision)

    def _apply(self, now: float, booking: Booking, decision: Decision) -> list:
        match decision:
            case Decline():
                return [self._decline(booking.entry, booking, decision)]
            case Wait():
                booking.start_at = None
                booking.expected_at = now + decision.expected_s
                self.view.queue.append(booking)
            case Place():
                booking.prefill_id = decision.prefill_id
                booking.decode_id = decision.decode_id
                booking.plain_id = decision.plain_id
                booking.start_at = now + decision.start_in_s
                plans.plan(self.view, booking)
                for state in self._states_of(booking):
                    state.health.last_booked_at = now
                    self.view.rate_limits.take(now, state.backend)
        self._add_booking(booking)
        return [self._answer(now, booking)]

    def _decode_versions(self) -> set[str]:
        """Return the versions of decode engines, leaving ones included."""
        states = (
            *self.view.backends_by_id.values(),
            *self.leaving_by_id.values(),
        )
        return {
            state.backend.software_version
            for state in states
            if state.backend.role is Role.DECODE
        }

    def _decline(
        self, entry: str, booking: Booking | Book, decision: Decline
    ) -> parts.Send:
        declined = Declined(
            cell=self.cell_id,
            request_id=booking.request_id,
            attempt_id=booking.attempt_id,
            reason=decision.reason,
            retry_after_s=decision.retry_after_s,
            message=decision.message,
        )
        return parts.Send(to=entry, message=declined)

    def _answer(self, now: float, booking: Booking) -> parts.Send:
        if booking.start_at is None:
            queued = Queued(
                cell=self.cell_id,
                epoch=self.epoch,
                request_id=booking.request_id,
                attempt_id=booking.attempt_id,
                expected_in_s=max(0.0, booking.expected_at - now),
                takes_renewals=True,
            )
            return parts.Send(to=booking.entry, message=queued)
        booked = Booked(
            cell=self.cell_id,
            epoch=self.epoch,
            request_id=booking.request_id,
            attempt_id=booking.attempt_id,
            prefill_id=booking.prefill_id,
            prefill_url=self._url(booking.prefill_id),
            decode_id=booking.decode_id,
            decode_url=self._url(booking.decode_id),
            plain_id=booking.plain_id,
            plain_url=self._url(booking.plain_id),
            start_in_s=max(0.0, booking.start_at - now),
            prefill_incarnation=self._incarnation(booking.prefill_id),
            decode_incarnation=self._incarnation(booking.decode_id),
            plain_incarnation=self._incarnation(booking.plain_id),
            rate_limits=self._rate_limit_news.to_tell(
                now,
                booking.entry,
                [state.backend for state in self._states_of(booking)],
            ),
            decode_version=self._software_version(booking.decode_id),
        )
        return parts.Send(to=booking.entry, message=booked)

    def _url(self, backend_id: str) -> str:
        state = self._state(backend_id)
        return state.backend.url if state else ''

    def _incarnation(self, backend_id: str) -> int:
        state = self._state(backend_id)
        return state.backend.incarnation if state else 0

    def _software_version(self, backend_id: str) -> str:
        state = self._state(backend_id)
        return state.backend.software_version if state else ''

    def _state(self, backend_id: str) -> BackendState | None:
        """Return a backend server's state, also while it is leaving."""
        leaving = self.leaving_by_id.get(backend_id)
        return self.view.backends_by_id.get(backend_id, leaving)

    def _is_resting(self, now: float, backend_id: str) -> bool:
        return self.view.rate_limits.is_resting(
            now, backend_id, self._incarnation(backend_id)
        )

    def _record_rest(
        self, now: float, sender: str, reported: RestReported
    ) -> list:
        self.view.rate_limits.rest(
            now, reported.backend_id, reported.incarnation, reported.rest_s
        )
        return []

    def _add_booking(self, booking: Booking) -> None:
        self.bookings_by_key[booking.key] = booking
        for state in self._states_of(booking):
            state.add(booking)

    def _remove_booking(self, now: float, booking: Booking) -> None:
        self.bookings_by_key.pop(booking.key, None)
        if booking in self.view.queue:
            self.view.queue.remove(booking)
        for state in self._states_of(booking):
            state.remove(booking)
        if plans.is_pending(now, booking):
            plans.plan_anew(self.view, now)

    def _states_of(self, booking: Booking) -> list[BackendState]:
        ids = (booking.prefill_id, booking.decode_id, booking.plain_id)
        states = [self._state(each) for each in ids]
        return [state for state in states if state is not None]

    def _prefill_done(
        self, now: float, sender: str, done: PrefillDone
    ) -> list:
        booking = self.bookings_by_key.get((done.request_id, done.attempt_id))
        if booking is None:
            return [
                self._answer_unknown(
                    now, sender, (done.request_id, done.attempt_id)
                )
            ]
        booking.renewed_at = now
        state = self.view.backends_by_id.get(booking.prefill_id)
        if state is not None:
            computed = done.tokens - done.cached_tokens
            plans.record_prefill(self.view, now, state, booking, computed)
            state.end_prefill(booking)
        booking.prefill_done = True
        return []

    def _is_reclaiming(self, now: float) -> bool:
        """Return whether entries may still send their ``Reclaim``."""
        return now < self._began_at + BOOKING_LEASE_S

    def _answer_unknown(
        self, now: float, entry: str, booking_key: tuple[str, str]
    ) -> parts.Send:
        """Answer an entry whose booking isn't in the table.

        A new owner starts with an empty table, so it asks for a ``Reclaim``
        first. If it sent ``Cancelled``, entries would stop every running
        stream: each change of owner would cause a wave of new attempts and of
        prefills computed twice.
        """
        if self._is_reclaiming(now):
            wanted = ReclaimWanted(cell=self.cell_id, epoch=self.epoch)
            return parts.Send(to=entry, message=wanted)
        return self._cancelled(entry, booking_key)

    def _cancelled(
        self, entry: str, booking_key: tuple[str, str]
    ) -> parts.Send:
        request_id, attempt_id = booking_key
        cancelled = Cancelled(
            cell=self.cell_id,
            epoch=self.epoch,
            request_id=request_id,
            attempt_id=attempt_id,
        )
        return parts.Send(to=entry, message=cancelled)

    def _progress(self, now: float, sender: str, progress: Progress) -> list:
        effects = []
        for holding in progress.bookings:
            key = (holding.request_id, holding.attempt_id)
            booking = self.bookings_by_key.get(key)
            if booking is None:
                effects.append(self._answer_unknown(now, sender, key))
            else:
                booking.renewed_at = now
        effects += renewals.answer_queued(
            now,
            self.bookings_by_key,
            progress.queued,
            answer=self._answer,
            cancel=lambda key: self._cancelled(sender, key),
        )
        return list(dict.fromkeys(effects))

    def _release(self, now: float, sender: str, release: Release) -> list:
        key = (release.request_id, release.attempt_id)
        booking = self.bookings_by_key.get(key)
        if booking is None:
            return []
        self._remove_booking(now, booking)
        if release.outcome is Outcome.TAKEN_OVER:
            return []
        logs = []
        if release.is_down or not self._is_too_large(booking):
            logs = self._faults.record_fault(
                now, release.backend_fault, is_down=release.is_down
            )
        if release.outcome is Outcome.DONE:
            for state in self._states_of(booking):
                state.health.add_success(now)
            self.view.record_answer(
                now,
                booking,
                pieces=release.answer_pieces,
                piece_gap_s=release.token_gap_s,
            )
            self.view.record_gap(now, booking, release.token_gap_s)
            return logs
        return [*logs, *self._cancel(now, booking)]

    def _cancel(self, now: float, booking: Booking) -> list:
        if not self._commands_engines:
            return []
        return [
            self.cancels.send(now, state, booking.key)
            for state in self._states_of(booking)
            if state.backend.role is not Role.PLAIN
        ]

    def _reclaim(self, now: float, sender: str, reclaim: Reclaim) -> list:
        for held in reclaim.bookings:
            key = (held.request_id, held.attempt_id)
            if key in self.bookings_by_key:
                self.bookings_by_key[key].renewed_at = now
                continue
            booking = Booking(
                request_id=held.request_id,
                attempt_id=held.attempt_id,
                entry=sender,
                account=held.account,
                priority=held.priority,
                stage=held.stage,
                prompt_tokens=held.prompt_tokens,
                max_tokens=held.max_tokens,
                prefix=(),
                exclude=(),
                arrived_at=now,
                deadline_at=now + held.deadline_s,
                renewed_at=now,
                prefill_id=held.prefill_id,
                decode_id=held.decode_id,
                plain_id=held.plain_id,
                start_at=now,
                prefill_done=held.prefill_done,
                expected_tokens=held.expected_tokens,
            )
            self._add_booking(booking)
        self._rate_limit_news.reclaim(now, reclaim.rate_limits)
        return []

    def _record_rate_limit(
        self, now: float, sender: str, reported: RateLimitReported
    ) -> list:
        self._rate_limit_news.record(now, reported)
        return []

    def _change_backends(self, event: BackendsChanged) -> list:
        old = self.leaving_by_id | self.view.backends_by_id
        new = {}
        effects = []
        for backend in event.backends:
            state = old.pop(backend.backend_id, None)
            same = state is not None and (
                state.backend.incarnation == backend.incarnation
            )
            if same:
                state.backend = backend
                new[backend.backend_id] = state
            else:
                self.cancels.forget(backend.backend_id)
                self.roles.forget(backend.backend_id)
                if state is not None:
                    effects += self._cancel_bookings_of(event.now, state)
                new[backend.backend_id] = BackendState(
                    backend=backend,
                    health=self._initial_health(event, backend),
                )
        self.view.backends_by_id = new
        for state in old.values():
            if state.left_at is None:
                state.left_at = event.now
        for state in new.values():
            state.left_at = None
            state.clear_plans()
        self.leaving_by_id = old
        return effects

    def _cancel_bookings_of(self, now: float, former: BackendState) -> list:
        """Cancel the bookings of a backend server that has restarted.

        None of its streams and KV caches has survived. If the bookings were
        kept, they would hold slots of the new incarnation, and entries whose
        connection gives no error would wait for streams that no longer exist.

        :param former: the state of the previous incarnation.
        """
        effects = []
        for booking in list(former.bookings_by_key.values()):
            self._remove_booking(now, booking)
            effects.append(self._cancelled(booking.entry, booking.key))
        return effects

    def _drop_leaving(self, now: float) -> None:
        """Drop leaving backend servers that are idle or timed out.

        A backend server that leaves still finishes its streams. If it were
        dropped at once, there would be no address for cancels, and it would
        hold memory for clients that have disconnected.
        """
        for backend_id, state in list(self.leaving_by_id.items()):
            idle = not state.bookings_by_key and not state.cancelling
            if idle or now >= state.left_at + self.view.terms.timeout_s:
                del self.leaving_by_id[backend_id]
                self.cancels.forget(backend_id)

    def _initial_health(
        self, event: BackendsChanged, backend: CellBackend
    ) -> Health:
        """Return the initial health of a backend server.

        It goes through slow start only if the cell has others of its role
        already: a new owner discovers all of them at once, and none of them
        has just started.
        """
        others = self.view.candidates(backend.role, ())
        return Health(slow_start_at=event.now if others else None)

    def _record_load(self, event: LoadReported) -> list:
        state = self.view.backends_by_id.get(event.backend_id)
        if state is not None:
            state.reported_running = event.running
            state.reported_waiting = event.waiting
            state.reported_queued_tokens = event.queued_tokens
            state.reported_at = event.now
            state.update_foreign_slots(event.slots_used)
        return []

    def _apply_cache_hint(self, event: CacheHint) -> list:
        state = self.view.backends_by_id.get(event.backend_id)
        if state is not None:
            if event.gap:
                # Evictions may be among the lost events. With stale blocks,
                # prompts would be sent to a cache that no longer has them,
                # and their first token would come late. Blocks that are
                # dropped needlessly are added again with the next prompt.
                state.blocks.clear()
            state.add_blocks(event.stored)
            state.drop_blocks(event.evicted)
        return []

    def _list_streams(self, now: float) -> list:
        is_due = now - self._listed_at >= LIST_INTERVAL_S
        if not is_due or not self._commands_engines:
            return []
        self._listed_at = now
        return [
            ListStreams(
                backend_id=state.backend.backend_id, url=state.backend.url
            )
            for state in self.view.backends_by_id.values()
            if state.backend.role is not Role.PLAIN
        ]

    def _cancel_orphans(self, event: StreamsListed) -> list:
        """Cancel the streams that no entry has reclaimed.

        If an owner and an entry die together, nobody reclaims the entry's
        streams at the new owner: they would use slots of engines without a
        booking. A listing is ignored until entries have had a whole booking
        lease to reclaim. A stream starts only after its booking, so one
        without a booking is an orphan.
        """
        state = self.view.backends_by_id.get(event.backend_id)
        if state is None or self._is_reclaiming(event.asked_at):
            return []
        effects = []
        for stream in event.streams:
            key = (stream.stream_id, stream.attempt_id)
            if key not in self.bookings_by_key:
                effects.append(self.cancels.send(event.now, state, key))
        return effects

    def _tick(self, now: float) -> list:
        self._drop_leaving(now)
        timeout_s = self.view.terms.timeout_s
        for state in self.view.backends_by_id.values():
            state.expire_report(now, timeout_s)
        effects = [*self._list_streams(now), *self._faults.log_recovered(now)]
        for booking in list(self.bookings_by_key.values()):
            # An entry that died sends no release, and its slots would stay
            # taken. The end of the lease frees the slots, the cancel frees
            # the engine's memory.
            if now - booking.renewed_at >= BOOKING_LEASE_S:
                self._remove_booking(now, booking)
                effects.extend(self._cancel(now, booking))
        return effects + self.cancels.due(now, timeout_s)
