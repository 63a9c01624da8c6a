"""The life of each request at the entry that its caller chose.

A state machine: calls come in as events, answers of the cell's owner as
messages, ends of steps from the request's own thread; directives to that
thread and messages to the owner go out. Every request ends with exactly one
of ``Refuse``, ``Replay`` or ``Complete``.
"""

from collections import abc
import dataclasses
import enum
import hashlib
import typing

from . import admission
from . import cells
from . import effects
from . import events
from . import policy
from . import verdict
from . import waste
from .coordination import claim_messages as claims
from .coordination import parts

#: An owner that hasn't answered a booking for so long is asked again.
OWNER_ANSWER_S = 0.25
#: Longest search for an owner; then the caller is told at once.
OWNER_SEARCH_S = 1.5
#: How long a prefill's result can be counted on (evicted in under 1 s).
KV_LIFE_S = 0.7
#: Attempts of one request, the first included.
MAX_ATTEMPTS = 4
#: Ticket prefixes, by which the reducer finds the way back here.
CLAIM_TICKET = 'claim:'
FINISH_TICKET = 'finish:'

_REASON = verdict.RefusalReason
_RETRY = verdict.RetryReason
_NOT_RUN = verdict.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class Phase(enum.Enum):
    """Where a request is."""

    CLAIMING = 'claiming'
    BOOKING = 'booking'
    QUEUED = 'queued'
    PREFILL = 'prefill'
    DECODE = 'decode'
    CALL = 'call'
    RECORDING = 'recording'


#: Phases in which a backend server may be working on the request.
WORKING = (Phase.PREFILL, Phase.DECODE, Phase.CALL)


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """One request in flight.

    :param known: what is proved about the whole request having run.
    :param claim_key: set while this entry holds a claim for it.
    :param resumes_from: offset of the last resume; a second break at the
        same offset means that resuming does not help.
    """

    request_id: str
    call: events.Call
    admitted: admission.Admitted
    cell: str
    arrived_at: float
    deadline_at: float
    phase: Phase
    phase_at: float
    known: verdict.Verdict = _NOT_RUN
    claim_key: str = ''
    attempts: int = 0
    stage: policy.Stage = policy.Stage.PAIR
    owner: str = ''
    asked_at: float = 0.0
    asked: int = 0
    booked: cells.Booked | None = None
    exclude: tuple[str, ...] = ()
    kv: str = ''
    kv_source: str = ''
    kv_at: float = 0.0
    prefilled_tokens: int = 0
    resumes_from: int = -1
    is_ended: bool = False

    @property
    def attempt_id(self) -> str:
        """Unique, since request ids are; told to every backend server."""
        return f'{self.request_id}.{self.attempts}'

    @property
    def may_run_again(self) -> bool:
        """Whether another attempt can do no harm."""
        return self.admitted.route.idempotent or self.known is _NOT_RUN


class Requests:
    """All requests of this entry.

    :param instance_id: told to nobody; marks claims as this entry's.
    :param directory: what is known of the system, see ``admission``.
    """

    def __init__(
        self,
        *,
        directory: admission.Directory,
        gate: admission.Admission,
    ) -> None:
        self._directory = directory
        self._gate = gate
        self._budget = admission.RetryBudget()
        self._progress_at = 0.0
        self.requests_by_id: dict[str, Request] = {}
        self.late_answers = 0

    # Events

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Take in an event of this module's, or an owner's message."""
        match event:
            case events.RequestArrived():
                return self._arrive(event)
            case events.StepEnded():
                return self._end_step(event)
            case events.CallerGone():
                return self._leave(event.now, event.request_id)
            case events.RequestClosed():
                return self._close(event.now, event.request_id)
            case parts.Received():
                return self._receive(event)
            case parts.Ticked():
                return self._tick(event.now)
        return []

    def _arrive(self, event: events.RequestArrived) -> list[typing.Any]:
        call = event.call
        admitted = self._gate.check(event.now, call)
        if isinstance(admitted, verdict.Refusal):
            return _refuse(event.request_id, admitted)
        limit_s = admitted.service.timeout_s
        request = Request(
            request_id=event.request_id,
            call=call,
            admitted=admitted,
            cell=self._directory.cell_of(call.service, event.request_id),
            arrived_at=event.now,
            deadline_at=event.now + min(limit_s, call.deadline_s or limit_s),
            phase=Phase.BOOKING,
            phase_at=event.now,
            stage=policy.Stage.PAIR if call.streamed else policy.Stage.PLAIN,
        )
        self.requests_by_id[event.request_id] = request
        self._gate.enter(admitted.account.name, call.streamed)
        self._budget.earn()
        if call.idempotency_key is None:
            return self._book(event.now, request)
        return self._claim(event.now, request)

    def _close(self, now: float, request_id: str) -> list[typing.Any]:
        """Forget a request whose thread has ended.

        A thread that ended without an answer (its caller's connection broke
        while a piece was written) counts as a caller who has gone.
        """
        gone = self._leave(now, request_id)
        request = self.requests_by_id.pop(request_id, None)
        if request is not None:
            self._gate.leave(
                request.admitted.account.name, request.call.streamed
            )
        return gone

    def _receive(self, event: parts.Received) -> list[typing.Any]:
        message = event.message
        request = self.requests_by_id.get(message.request_id)
        is_current = (
            request is not None
            and not request.is_ended
            and message.attempt_id == request.attempt_id
        )
        if not is_current:
            return self._drop_late(event)
        match message:
            case cells.Booked():
                return self._start(event.now, request, event.sender, message)
            case cells.Queued():
                return self._wait(event.now, request, event.sender)
            case cells.Declined():
                return self._declined(event.now, request, message)
            case cells.NotOwner():
                return self._ask_next(event.now, request, message.holder)
            case cells.Cancelled():
                return self._cancelled(event.now, request, event.sender)
        return []

    def _drop_late(self, event: parts.Received) -> list[typing.Any]:
        """Give back what was booked for an attempt that is over.

        A reply can cross the end of its attempt. Taking it for the current
        one would run the request twice; keeping silent would leave a slot
        booked until its lease runs out.
        """
        self.late_answers += 1
        if not isinstance(event.message, cells.Booked | cells.Queued):
            return []
        return [
            parts.Send(
                to=event.sender,
                message=cells.Release(
                    cell=event.message.cell,
                    request_id=event.message.request_id,
                    attempt_id=event.message.attempt_id,
                    outcome=cells.Outcome.CANCELLED,
                ),
            )
        ]

    # Claims

    def _claim(self, now: float, request: Request) -> list[typing.Any]:
        request.phase = Phase.CLAIMING
        request.claim_key = _claim_key(request)
        begin = claims.Begin(
            now=now,
            ticket=CLAIM_TICKET + request.request_id,
            key=request.claim_key,
            digest=request.call.digest,
            attempt_id=request.request_id,
            deadline_s=request.deadline_at - now,
        )
        return [effects.Dispatch(event=begin)]

    def claim_answered(
        self, now: float, request_id: str, result: typing.Any
    ) -> list[typing.Any]:
        """Take the answer to a claim's begin."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            # The caller left while the claim was on its way.
            return []
        match result:
            case claims.Granted():
                return self._book(now, request)
            case claims.Replayed(outcome=outcome):
                request.claim_key = ''
                return self._end(
                    now,
                    request,
                    effects.Replay(request_id=request_id, outcome=outcome),
                )
        request.claim_key = ''
        return self._refuse(now, request, _refusal_of_claim(result))

    def finish_answered(
        self, now: float, request_id: str, result: typing.Any
    ) -> list[typing.Any]:
        """Take the answer to a claim's finish.

        Recorded or not, the caller gets the whole answer: it ran, and a
        resend will be told at worst that the outcome is not known.
        """
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            return []
        request.claim_key = ''
        return self._end(now, request, effects.Complete(request_id=request_id))

    # Booking

    def _book(self, now: float, request: Request) -> list[typing.Any]:
        request.attempts += 1
        request.booked = None
        request.phase = Phase.BOOKING
        request.phase_at = now
        request.asked = 0
        return self._ask_owner(now, request, holder='')

    def _ask_owner(
        self, now: float, request: Request, holder: str
    ) -> list[typing.Any]:
        owners = self._directory.owners_of(request.cell)
        if not holder:
            if not owners:
                return self._refuse(now, request, _no_owner(request))
            holder = owners[request.asked % len(owners)]
        request.owner = holder
        request.asked_at = now
        request.asked += 1
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
            deadline_s=max(0.0, request.deadline_at - now),
            exclude=request.exclude,
            stage=request.stage,
        )
        return [parts.Send(to=holder, message=book)]

    def _ask_next(
        self, now: float, request: Request, holder: str
    ) -> list[typing.Any]:
        if request.phase is not Phase.BOOKING:
            return []
        if now - request.phase_at >= OWNER_SEARCH_S:
            return self._refuse(now, request, _no_owner(request))
        if holder and holder != request.owner:
            return self._ask_owner(now, request, holder)
        # Nobody owns it just now: the tick asks again a little later.
        return []

    def _wait(
        self, now: float, request: Request, sender: str
    ) -> list[typing.Any]:
        if request.phase is Phase.BOOKING:
            request.phase = Phase.QUEUED
            request.phase_at = now
            request.owner = sender
        return []

    def _declined(
        self, now: float, request: Request, declined: cells.Declined
    ) -> list[typing.Any]:
        if request.phase not in (Phase.BOOKING, Phase.QUEUED):
            return []
        refusal = verdict.Refusal(
            reason=verdict.RefusalReason(declined.reason),
            verdict=request.known,
            message=declined.message,
            retry_after_s=declined.retry_after_s,
        )
        return self._refuse(now, request, refusal)

    def _cancelled(
        self, now: float, request: Request, sender: str
    ) -> list[typing.Any]:
        """The owner has forgotten this booking, so it must not go on."""
        if sender != request.owner or request.phase in (
            Phase.CLAIMING,
            Phase.RECORDING,
        ):
            return []
        if request.phase in (Phase.BOOKING, Phase.QUEUED):
            return self._ask_owner(now, request, holder='')
        # A new owner that was not told of this booking yet answers so too.
        return [self._reclaim(now, request, sender)]

    def _start(
        self,
        now: float,
        request: Request,
        sender: str,
        booked: cells.Booked,
    ) -> list[typing.Any]:
        if request.phase not in (Phase.BOOKING, Phase.QUEUED):
            # The same booking told twice.
            return []
        request.booked = booked
        request.owner = sender
        request.phase_at = now
        if request.stage is policy.Stage.PLAIN:
            request.phase = Phase.CALL
            return [
                effects.RunCall(
                    request_id=request.request_id,
                    attempt_id=request.attempt_id,
                    url=booked.plain_url,
                    timeout_s=max(0.05, request.deadline_at - now),
                )
            ]
        if request.stage is policy.Stage.DECODE:
            return self._run_decode(now, request)
        request.phase = Phase.PREFILL
        return [
            effects.RunPrefill(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                url=booked.prefill_url,
                priority=request.admitted.priority.rank,
                fence=booked.epoch,
                start_in_s=booked.start_in_s,
            )
        ]

    def _run_decode(
        self, now: float, request: Request, from_offset: int = 0
    ) -> list[typing.Any]:
        request.phase = Phase.DECODE
        request.phase_at = now
        return [
            effects.RunDecode(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                url=request.booked.decode_url,
                source_url=request.kv_source,
                kv=request.kv,
                from_offset=from_offset,
                fence=request.booked.epoch,
            )
        ]

    # Ends of steps

    def _end_step(self, event: events.StepEnded) -> list[typing.Any]:
        request = self.requests_by_id.get(event.request_id)
        if request is None or request.is_ended:
            return []
        if event.attempt_id != request.attempt_id:
            self.late_answers += 1
            return []
        if event.known is not _NOT_RUN:
            # Part of it ran; only a whole answer is told as having run.
            request.known = _MAY_HAVE_RUN
        if event.failure is not None:
            return self._fail_step(event, request)
        if event.step is events.Step.PREFILL:
            return self._prefilled(event, request)
        return self._answered(event, request)

    def _prefilled(
        self, event: events.StepEnded, request: Request
    ) -> list[typing.Any]:
        request.kv = event.kv
        request.kv_source = request.booked.prefill_url
        request.kv_at = event.now
        request.prefilled_tokens = event.tokens
        done = cells.PrefillDone(
            cell=request.cell,
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            tokens=event.tokens,
            cached_tokens=event.cached_tokens,
        )
        send = parts.Send(to=request.owner, message=done)
        return [send, *self._run_decode(event.now, request)]

    def _answered(
        self, event: events.StepEnded, request: Request
    ) -> list[typing.Any]:
        release = self._release(request, cells.Outcome.DONE)
        request.booked = None
        if not request.claim_key:
            complete = effects.Complete(request_id=request.request_id)
            return [*release, *self._end(event.now, request, complete)]
        request.phase = Phase.RECORDING
        request.phase_at = event.now
        finish = claims.Finish(
            now=event.now,
            ticket=FINISH_TICKET + request.request_id,
            key=request.claim_key,
            attempt_id=request.request_id,
            outcome=event.outcome,
        )
        return [*release, effects.Dispatch(event=finish)]

    def _fail_step(
        self, event: events.StepEnded, request: Request
    ) -> list[typing.Any]:
        return [_log_failure(event), *self._after_failure(event, request)]

    def _after_failure(
        self, event: events.StepEnded, request: Request
    ) -> list[typing.Any]:
        failure = event.failure
        if event.step is events.Step.DECODE:
            if not request.kv and failure is not _RETRY.CONNECT_REFUSED:
                return self._resume_or_again(event, request)
            if failure in (_RETRY.STREAM_BROKEN, _RETRY.STREAM_STALLED):
                return self._resume_or_again(event, request)
            if self._may_move(event, request):
                return self._move(event, request)
        return self._again(event, request)

    def _resume_or_again(
        self, event: events.StepEnded, request: Request
    ) -> list[typing.Any]:
        """Take the stream up where it broke, over a new connection.

        The engine still holds the stream when only the connection died;
        nothing is computed again. A second break at the same token means
        that the engine itself is at fault.
        """
        if request.resumes_from >= event.tokens:
            return self._again(event, request)
        request.resumes_from = event.tokens
        request.kv = ''
        count = effects.CountRetry(reason=event.failure)
        return [count, *self._run_decode(event.now, request, event.tokens)]

    def _may_move(self, event: events.StepEnded, request: Request) -> bool:
        return (
            event.failure is not _RETRY.KV_EVICTED
            and event.now - request.kv_at < KV_LIFE_S
            and request.attempts < MAX_ATTEMPTS
        )

    def _move(
        self, event: events.StepEnded, request: Request
    ) -> list[typing.Any]:
        """Bring the KV cache to another decode engine before it is evicted."""
        release = self._release(
            request, cells.Outcome.FAILED, fault=request.booked.decode_id
        )
        request.exclude += (request.booked.decode_id,)
        request.stage = policy.Stage.DECODE
        count = effects.CountRetry(reason=event.failure)
        return [count, *release, *self._book(event.now, request)]

    def _again(
        self, event: events.StepEnded, request: Request
    ) -> list[typing.Any]:
        failed_id = self._failed_id(event, request)
        wasted = request.prefilled_tokens
        release = self._release(
            request, cells.Outcome.FAILED, fault=failed_id, wasted=wasted
        )
        waste = _waste(event.failure, wasted)
        request.booked = None
        request.kv = ''
        request.prefilled_tokens = 0
        if not request.may_run_again:
            refusal = _backend_failed(request, event.message)
            return [
                *release,
                *waste,
                *self._refuse(event.now, request, refusal),
            ]
        if request.attempts >= MAX_ATTEMPTS or not self._budget.spend():
            refusal = _retries_spent(request, event.message)
            return [
                *release,
                *waste,
                *self._refuse(event.now, request, refusal),
            ]
        request.exclude += (failed_id,)
        if request.stage is policy.Stage.DECODE:
            request.stage = policy.Stage.PAIR
        count = effects.CountRetry(reason=event.failure)
        return [*release, *waste, count, *self._book(event.now, request)]

    def _failed_id(self, event: events.StepEnded, request: Request) -> str:
        booked = request.booked
        match event.step:
            case events.Step.PREFILL:
                return booked.prefill_id
            case events.Step.DECODE:
                return booked.decode_id
        return booked.plain_id

    # Ends of requests

    def _leave(self, now: float, request_id: str) -> list[typing.Any]:
        """The caller has gone: free what it held."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            return []
        if request.phase is Phase.CALL and request.claim_key:
            # A claimed call is left to end, so that its outcome is known
            # when the caller asks again. It holds no engine memory.
            return []
        if request.phase is Phase.RECORDING:
            return []
        refusal = verdict.Refusal(
            reason=_REASON.CALLER_GONE,
            verdict=self._known_when_stopped(request),
            message='the caller closed its connection',
        )
        return self._stop(now, request, refusal, cells.Outcome.CANCELLED)

    def _known_when_stopped(self, request: Request) -> verdict.Verdict:
        return _MAY_HAVE_RUN if request.phase in WORKING else request.known

    def _stop(
        self,
        now: float,
        request: Request,
        refusal: verdict.Refusal,
        outcome: cells.Outcome,
    ) -> list[typing.Any]:
        """Break off whatever is under way, then refuse."""
        request.known = refusal.verdict
        abort = effects.Abort(request_id=request.request_id)
        waste = _waste(refusal.reason, request.prefilled_tokens)
        release = self._release(
            request, outcome, wasted=request.prefilled_tokens
        )
        cancels = self._cancels(request)
        request.booked = None
        return [
            abort,
            *cancels,
            *release,
            *waste,
            *self._refuse(now, request, refusal),
        ]

    def _cancels(self, request: Request) -> list[typing.Any]:
        """Cancel on the engines at once; the owner repeats it if need be."""
        booked = request.booked
        if booked is None or request.phase not in (
            Phase.PREFILL,
            Phase.DECODE,
        ):
            return []
        engines = {
            booked.prefill_id: booked.prefill_url,
            booked.decode_id: booked.decode_url,
        }
        return [
            cells.CancelStream(
                backend_id=backend_id,
                url=url,
                stream_id=request.request_id,
                attempt_id=request.attempt_id,
                epoch=booked.epoch,
            )
            for backend_id, url in engines.items()
            if url
        ]

    def _release(
        self,
        request: Request,
        outcome: cells.Outcome,
        *,
        fault: str = '',
        wasted: int = 0,
    ) -> list[typing.Any]:
        if not request.owner or request.attempts == 0:
            return []
        release = cells.Release(
            cell=request.cell,
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            outcome=outcome,
            wasted_tokens=wasted,
            backend_fault=fault,
        )
        return [parts.Send(to=request.owner, message=release)]

    def _refuse(
        self, now: float, request: Request, refusal: verdict.Refusal
    ) -> list[typing.Any]:
        claim = self._settle_claim(now, request, refusal)
        return [*claim, *self._end(now, request, _refusal(request, refusal))]

    def _settle_claim(
        self, now: float, request: Request, refusal: verdict.Refusal
    ) -> list[typing.Any]:
        """Free the key if nothing ran; else the claim stays and protects."""
        if not request.claim_key:
            return []
        key, request.claim_key = request.claim_key, ''
        if refusal.verdict is not _NOT_RUN:
            return []
        abandon = claims.Abandon(
            now=now, key=key, attempt_id=request.request_id
        )
        return [effects.Dispatch(event=abandon)]

    def _end(
        self, now: float, request: Request, last: effects.Directive
    ) -> list[typing.Any]:
        request.is_ended = True
        if isinstance(last, effects.Refuse):
            count = effects.CountRefusal(refusal=last.refusal)
            return [count, last]
        return [last]

    # Time

    def _tick(self, now: float) -> list[typing.Any]:
        out: list[typing.Any] = []
        for request in list(self.requests_by_id.values()):
            if not request.is_ended:
                out.extend(self._tick_request(now, request))
        if now - self._progress_at >= cells.PROGRESS_EVERY_S:
            self._progress_at = now
            out.extend(self._tell_progress(now))
        return out

    def _tick_request(self, now: float, request: Request) -> list[typing.Any]:
        if now >= request.deadline_at and request.phase is not Phase.RECORDING:
            refusal = verdict.Refusal(
                reason=_REASON.DEADLINE_PASSED,
                verdict=self._known_when_stopped(request),
                message=f'no answer within '
                f'{request.deadline_at - request.arrived_at:g} s',
            )
            return self._stop(now, request, refusal, cells.Outcome.EXPIRED)
        if request.phase is not Phase.BOOKING:
            return []
        if now - request.phase_at >= OWNER_SEARCH_S:
            return self._refuse(now, request, _no_owner(request))
        if now - request.asked_at >= OWNER_ANSWER_S:
            return self._ask_owner(now, request, holder='')
        return []

    def _tell_progress(self, now: float) -> list[typing.Any]:
        """Renew what this entry has booked, one message a cell."""
        held_by_cell: dict[str, list[Request]] = {}
        for request in self.requests_by_id.values():
            is_held = request.booked is not None or (
                request.phase is Phase.QUEUED
            )
            if is_held and not request.is_ended:
                held_by_cell.setdefault(request.cell, []).append(request)
        out: list[typing.Any] = []
        for cell, held in held_by_cell.items():
            out.extend(self._tell_owner(now, cell, held))
        return out

    def _tell_owner(
        self, now: float, cell: str, held: abc.Sequence[Request]
    ) -> list[typing.Any]:
        owners = self._directory.owners_of(cell)
        if not owners:
            return []
        holder = owners[0]
        out: list[typing.Any] = []
        for request in held:
            if request.owner != holder and request.booked is not None:
                # The lease went to another instance, which starts empty.
                out.append(self._reclaim(now, request, holder))
                request.owner = holder
        bookings = tuple(
            cells.Holding(
                request_id=request.request_id, attempt_id=request.attempt_id
            )
            for request in held
        )
        progress = cells.Progress(cell=cell, bookings=bookings)
        return [*out, parts.Send(to=holder, message=progress)]

    def reclaim_all(
        self, now: float, cell: str, holder: str, epoch: int
    ) -> list[typing.Any]:
        """Tell a cell's new owner all that this entry holds of it.

        It waits for this also when there is nothing. What the old owner had
        queued is booked anew with the new one.
        """
        held = []
        again = []
        for request in list(self.requests_by_id.values()):
            if request.cell != cell or request.is_ended:
                continue
            if request.booked is not None:
                request.owner = holder
                held.append(self._held(now, request))
            elif request.phase in (Phase.BOOKING, Phase.QUEUED):
                request.phase = Phase.BOOKING
                again.extend(self._ask_owner(now, request, holder))
        message = cells.Reclaim(cell=cell, epoch=epoch, bookings=tuple(held))
        return [parts.Send(to=holder, message=message), *again]

    def _reclaim(
        self, now: float, request: Request, holder: str
    ) -> parts.Send:
        message = cells.Reclaim(
            cell=request.cell,
            epoch=request.booked.epoch,
            bookings=(self._held(now, request),),
        )
        return parts.Send(to=holder, message=message)

    def _held(self, now: float, request: Request) -> cells.ReclaimedBooking:
        booked = request.booked
        return cells.ReclaimedBooking(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            account=request.admitted.account.name,
            priority=request.admitted.priority.name,
            stage=request.stage,
            prompt_tokens=request.call.prompt_tokens,
            max_tokens=request.call.max_tokens,
            deadline_s=max(0.0, request.deadline_at - now),
            prefill_id=booked.prefill_id,
            decode_id=booked.decode_id,
            plain_id=booked.plain_id,
            prefill_done=request.phase is not Phase.PREFILL,
        )


def _claim_key(request: Request) -> str:
    """Return a key that no other account or service can collide with."""
    fields = (
        request.admitted.account.name,
        request.call.service,
        request.call.idempotency_key,
    )
    # A length before each field keeps ('ab', 'c') and ('a', 'bc') apart.
    joined = ''.join(f'{len(field)}:{field}' for field in fields)
    return hashlib.sha256(joined.encode()).hexdigest()


def _refusal(request: Request, refusal: verdict.Refusal) -> effects.Refuse:
    return effects.Refuse(request_id=request.request_id, refusal=refusal)


def _refuse(request_id: str, refusal: verdict.Refusal) -> list[typing.Any]:
    return [
        effects.CountRefusal(refusal=refusal),
        effects.Refuse(request_id=request_id, refusal=refusal),
    ]


#: Retry and refusal reasons that waste a prefill under another name.
_WASTE_BY_REASON = {
    _RETRY.CONNECT_REFUSED: waste.WasteReason.IMPORT_REFUSED,
    _RETRY.BACKEND_BUSY: waste.WasteReason.IMPORT_REFUSED,
    _RETRY.STREAM_STALLED: waste.WasteReason.STREAM_BROKEN,
}


def _waste(reason: enum.StrEnum, tokens: int) -> list[typing.Any]:
    if not tokens:
        return []
    named = _WASTE_BY_REASON.get(reason) or waste.WasteReason(reason.value)
    return [effects.CountWaste(reason=named, tokens=tokens)]


def _log_failure(event: events.StepEnded) -> effects.Log:
    return effects.Log(
        message=f'{event.step} failed: {event.message}',
        fields=(
            ('request_id', event.request_id),
            ('attempt_id', event.attempt_id),
            ('reason', str(event.failure)),
        ),
        level='WARNING',
    )


def _no_owner(request: Request) -> verdict.Refusal:
    return verdict.Refusal(
        reason=_REASON.NO_OWNER,
        verdict=request.known,
        message=f'no instance owns cell {request.cell!r} just now',
        retry_after_s=admission.SOON_S,
    )


def _backend_failed(request: Request, message: str) -> verdict.Refusal:
    return verdict.Refusal(
        reason=_REASON.BACKEND_FAILED,
        verdict=_MAY_HAVE_RUN,
        message=f'the backend server failed after it got the call, which '
        f'may not be repeated: {message}',
    )


def _retries_spent(request: Request, message: str) -> verdict.Refusal:
    return verdict.Refusal(
        reason=_REASON.RETRIES_SPENT,
        verdict=request.known,
        message=f'{request.attempts} attempts failed, the last one: {message}',
        retry_after_s=admission.SOON_S,
    )


def _refusal_of_claim(result: typing.Any) -> verdict.Refusal:
    match result:
        case claims.InProgress(retry_after_s=retry_after_s):
            return verdict.Refusal(
                reason=_REASON.IN_PROGRESS,
                verdict=_MAY_HAVE_RUN,
                message='an earlier send of this call is still in progress',
                retry_after_s=retry_after_s,
            )
        case claims.DigestMismatch():
            return admission.not_run(
                _REASON.KEY_REUSED,
                'this Idempotency-Key was used for another call',
            )
        case claims.OutcomeUnknown():
            return verdict.Refusal(
                reason=_REASON.OUTCOME_UNKNOWN,
                verdict=_MAY_HAVE_RUN,
                message='an earlier send of this call may have run; its '
                'outcome was lost, and it will not be run again',
            )
    return admission.not_run(
        _REASON.CLAIMS_UNAVAILABLE,
        'too few instances with disks answer to make sure that this call '
        'runs at most once',
        getattr(result, 'retry_after_s', admission.SOON_S),
    )
