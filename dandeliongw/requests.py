"""The life of each request at the entry that its caller chose.

A state machine: calls come in as events, answers of the cell's owner as
messages, ends of steps from the request's own thread; directives to that
thread and messages to the owner go out. Every request ends with exactly one
of ``Refuse``, ``Replay`` or ``Complete``. ``docs/REQUEST-LIFE.md`` tells the
same as a story.
"""

import typing

from . import admission
from . import cells
from . import effects
from . import events
from . import policy
from . import refusals
from . import reservations
from . import verdict
from .coordination import claim_messages as claims
from .coordination import parts
from .request import claim_key
from .request import Phase
from .request import Request
from .request import UNPLACED
from .request import WORKING

#: How long a prefill's result can be counted on (evicted in under 1 s).
KV_LIFE_S = 0.7
#: Attempts of one request, the first included.
MAX_ATTEMPTS = 4
#: Mean wait before the third attempt; twice as long before each further
#: one. The second goes at once: it goes to another backend server.
BACKOFF_S = 0.1
#: Ticket prefixes, by which the reducer finds the way back here.
CLAIM_TICKET = 'claim:'
FINISH_TICKET = 'finish:'

_RETRY = verdict.RetryReason
_NOT_RUN = verdict.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN

Effects = list[typing.Any]


class Requests:
    """All requests of this entry.

    :param directory: what is known of the system, see ``admission``.
    :param most_claimed_s: longest time that a call with a claim may take;
        claims are kept for a limited time only.
    """

    def __init__(
        self,
        *,
        directory: admission.Directory,
        gate: admission.Admission,
        most_claimed_s: float = float('inf'),
    ) -> None:
        self._directory = directory
        self._gate = gate
        self._most_claimed_s = most_claimed_s
        self._budgets = admission.RetryBudgets()
        self._reservations = reservations.Reservations(directory=directory)
        self.requests_by_id: dict[str, Request] = {}

    # Events

    def handle(self, event: typing.Any) -> Effects:
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

    def _arrive(self, event: events.RequestArrived) -> Effects:
        call = event.call
        admitted = self._gate.check(event.now, call)
        if isinstance(admitted, verdict.Refusal):
            refusal = admitted
            if call.idempotency_key is not None:
                refusal = refusals.keyed(refusal)
            return _refuse(event.request_id, refusal)
        request = self._make_request(event, admitted)
        self.requests_by_id[event.request_id] = request
        self._gate.enter(admitted.account.name, call.streamed)
        self._budgets.earn(request.service)
        if call.idempotency_key is None:
            return self._book(event.now, request)
        return self._claim(event.now, request)

    def _make_request(
        self, event: events.RequestArrived, admitted: admission.Admitted
    ) -> Request:
        call = event.call
        limit_s = admitted.service.timeout_s
        if call.idempotency_key is not None:
            limit_s = min(limit_s, self._most_claimed_s)
        if call.deadline_s is not None:
            limit_s = min(limit_s, call.deadline_s)
        return Request(
            request_id=event.request_id,
            call=call,
            admitted=admitted,
            cell=self._directory.cell_of(call.service, event.request_id),
            arrived_at=event.now,
            deadline_at=event.now + limit_s,
            phase=Phase.BOOKING,
            phase_at=event.now,
            stage=policy.Stage.PAIR if call.streamed else policy.Stage.PLAIN,
            search_s=reservations.OWNER_SEARCH_S,
        )

    def _close(self, now: float, request_id: str) -> Effects:
        """Forget a request whose thread has ended.

        A thread that ended without an answer (its caller's connection broke
        while a piece was written) counts as a caller who has gone.
        """
        out = self._leave(now, request_id)
        request = self.requests_by_id.pop(request_id, None)
        if request is None:
            return out
        if not request.is_ended:
            # Its thread died in a call that is left to end. The claim
            # stays, and tells a resend that the call may have run.
            out += self._reservations.release(request, cells.Outcome.FAILED)
        for again in request.cancels_by_attempt.values():
            out += again
        self._gate.leave(request.admitted.account.name, request.call.streamed)
        return out

    # Messages of owners

    def _receive(self, event: parts.Received) -> Effects:
        message = event.message
        request = self.requests_by_id.get(message.request_id)
        is_current = (
            request is not None
            and not request.is_ended
            and message.attempt_id == request.attempt_id
        )
        if not is_current:
            return self._drop_late(event)
        request.heard_at = event.now
        match message:
            case cells.Booked():
                return self._start(event, request)
            case cells.Queued():
                return self._wait(event, request)
            case cells.Declined():
                return self._declined(event, request)
            case cells.NotOwner():
                return self._not_owner(event, request)
            case cells.Cancelled():
                return self._cancelled(event, request)
        return []

    def _drop_late(self, event: parts.Received) -> Effects:
        """Give back what was booked for an attempt that is over.

        A reply can cross the end of its attempt. Taking it for the current
        one would run the request twice; keeping silent would leave a slot
        booked until its lease runs out.
        """
        message = event.message
        late: Effects = [effects.CountLate(what=effects.Late.OWNER)]
        if not isinstance(message, cells.Booked | cells.Queued):
            return late
        release = cells.Release(
            cell=message.cell,
            request_id=message.request_id,
            attempt_id=message.attempt_id,
            outcome=cells.Outcome.CANCELLED,
        )
        return [*late, parts.Send(to=event.sender, message=release)]

    def _start(self, event: parts.Received, request: Request) -> Effects:
        booked = event.message
        is_expected = (
            request.phase in UNPLACED and event.sender == request.owner
        )
        if not is_expected or booked.decode_id in request.exclude:
            # Told twice, or the pair that a KV cache is moving away from.
            return []
        now = event.now
        request.booked = booked
        request.phase_at = now
        request.search_s = reservations.OWNER_LOST_S
        if request.stage is policy.Stage.PLAIN:
            return self._run_call(now, request)
        if request.stage is policy.Stage.DECODE:
            return self._run_decode(now, request)
        return self._run_prefill(now, request)

    def _run_call(self, now: float, request: Request) -> Effects:
        request.phase = Phase.CALL
        return [
            effects.RunCall(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                url=request.booked.plain_url,
                deadline_in_s=request.left_s(now),
            )
        ]

    def _run_prefill(self, now: float, request: Request) -> Effects:
        request.phase = Phase.PREFILL
        return [
            effects.RunPrefill(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                url=request.booked.prefill_url,
                priority=request.admitted.priority.rank,
                fence=request.booked.epoch,
                start_in_s=request.booked.start_in_s,
                deadline_in_s=request.left_s(now),
            )
        ]

    def _run_decode(self, now: float, request: Request) -> Effects:
        request.phase = Phase.DECODE
        request.phase_at = now
        return [
            effects.RunDecode(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                url=request.booked.decode_url,
                source_url=request.kv_source,
                kv=request.kv,
                fence=request.booked.epoch,
                deadline_in_s=request.left_s(now),
            )
        ]

    def _wait(self, event: parts.Received, request: Request) -> Effects:
        if request.phase is Phase.BOOKING and event.sender == request.owner:
            request.phase = Phase.QUEUED
            request.phase_at = request.asked_at = event.now
            request.search_s = reservations.OWNER_LOST_S
        return []

    def _declined(self, event: parts.Received, request: Request) -> Effects:
        if request.phase not in UNPLACED or event.sender != request.owner:
            return []
        declined = event.message
        if request.stage is policy.Stage.DECODE:
            return self._again(
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
        return self._refuse(event.now, request, refusal)

    def _not_owner(self, event: parts.Received, request: Request) -> Effects:
        holder = event.message.holder
        if event.sender != request.owner:
            return []
        if request.phase is Phase.BOOKING:
            return self._reservations.follow(event.now, request, holder)
        # For placed work, the next renewal goes to whoever is known then.
        # Telling the named instance at once would go round for ever when
        # two that don't own the cell name each other.
        return []

    def _cancelled(self, event: parts.Received, request: Request) -> Effects:
        """An owner doesn't know this booking (any more)."""
        if request.phase is Phase.QUEUED:
            return self._search(event.now, request)
        if not request.is_placed:
            return []
        is_owner = event.sender == request.owner
        if not is_owner and event.message.epoch <= request.booked.epoch:
            # From before the present owner's time.
            return []
        if self._reservations.is_lost(request, event):
            return self._lose_slot(event, request)
        return self._reservations.reclaim(
            event.now,
            request.cell,
            [request],
            event.sender,
            event.message.epoch,
        )

    def reclaim_all(
        self, now: float, cell: str, holder: str, epoch: int
    ) -> Effects:
        """Tell a cell's new owner all that this entry holds of it.

        It waits for this also when there is nothing. What the old owner had
        queued is booked anew with the new one.
        """
        here = [
            request
            for request in self.requests_by_id.values()
            if request.cell == cell and not request.is_ended
        ]
        placed = [each for each in here if each.is_placed]
        out = self._reservations.reclaim(now, cell, placed, holder, epoch)
        for request in here:
            if request.phase in UNPLACED:
                out += self._reservations.move_search(now, request, holder)
        return out

    def _lose_slot(self, event: parts.Received, request: Request) -> Effects:
        """Stop working on a slot that belongs to another request by now."""
        request.is_held = False
        if request.phase is Phase.CALL:
            # Calls of plain services are never broken off for a slot:
            # whether they ran could not be told any more.
            return []
        return [
            *self._break_off(request),
            *self._again(
                event.now,
                request,
                failure=_RETRY.OWNER_CHANGED,
                message='the slot was given to another request',
            ),
        ]

    def _break_off(self, request: Request) -> Effects:
        """Stop the thread's step and free the engines' memory."""
        cancels = self._reservations.cancels(request)
        if request.phase in WORKING:
            request.known = _MAY_HAVE_RUN
            request.cancels_by_attempt[request.attempt_id] = cancels
        abort = effects.Abort(
            request_id=request.request_id, attempt_id=request.attempt_id
        )
        return [abort, *cancels]

    # Claims

    def _claim(self, now: float, request: Request) -> Effects:
        request.phase = Phase.CLAIMING
        # Until the claim says otherwise, an earlier send may have run.
        request.known = _MAY_HAVE_RUN
        request.claim_key = claim_key(request)
        begin = claims.Begin(
            now=now,
            ticket=CLAIM_TICKET + request.request_id,
            key=request.claim_key,
            digest=request.call.digest,
            attempt_id=request.request_id,
            deadline_s=request.left_s(now),
        )
        return [effects.Dispatch(event=begin)]

    def claim_answered(
        self, now: float, request_id: str, result: typing.Any
    ) -> Effects:
        """Take the answer to a claim's begin."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            # The caller left while the claim was on its way.
            return []
        if isinstance(result, claims.Granted):
            request.known = _NOT_RUN
            return self._book(now, request)
        request.claim_key = ''
        if not isinstance(result, claims.Replayed):
            return self._refuse(now, request, refusals.of_claim(result))
        if result.outcome is None:
            return self._refuse(now, request, refusals.outcome_too_large())
        replay = effects.Replay(request_id=request_id, outcome=result.outcome)
        return self._end(request, replay)

    def finish_answered(
        self, now: float, request_id: str, result: typing.Any
    ) -> Effects:
        """Take the answer to a claim's finish.

        Recorded or not, the caller gets the whole answer: it ran, and a
        resend will be told at worst that the outcome is not known.
        """
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            return []
        request.claim_key = ''
        return self._end(request, effects.Complete(request_id=request_id))

    def _settle_claim(
        self, now: float, request: Request, refusal: verdict.Refusal
    ) -> Effects:
        """Free the key if that can do no harm; else the claim protects.

        A claim that is still on its way has let nothing run here.
        """
        if not request.claim_key:
            return []
        key, request.claim_key = request.claim_key, ''
        never_ran = request.phase is Phase.CLAIMING or (
            refusal.verdict is _NOT_RUN
        )
        if not never_ran and not request.admitted.route.idempotent:
            return []
        abandon = claims.Abandon(
            now=now, key=key, attempt_id=request.request_id
        )
        return [effects.Dispatch(event=abandon)]

    # Booking

    def _book(self, now: float, request: Request) -> Effects:
        """Begin another attempt, with an id of its own."""
        request.attempts += 1
        request.owner = ''
        return self._search(now, request)

    def _search(self, now: float, request: Request) -> Effects:
        asked = self._reservations.search(now, request)
        return self._unless_ownerless(now, request, asked)

    def _unless_ownerless(
        self, now: float, request: Request, asked: Effects | None
    ) -> Effects:
        if asked is not None:
            return asked
        if now - request.phase_at < request.search_s and request.attempts > 1:
            # What has been computed is worth a little patience.
            request.asked_at = now
            return []
        return self._give_up(now, request, refusals.no_owner(request))

    # Ends of steps

    def _end_step(self, event: events.StepEnded) -> Effects:
        request = self.requests_by_id.get(event.request_id)
        if request is None:
            return []
        out: Effects = [
            effects.CountLate(what=effects.Late.PIECE)
        ] * event.late_pieces
        is_current = (
            not request.is_ended
            and event.attempt_id == request.attempt_id
            # An attempt that was broken off keeps its id while the next one
            # waits its turn.
            and request.phase in WORKING
        )
        if not is_current:
            return [*out, *self._let_go(event, request)]
        if event.known is not _NOT_RUN:
            # Part of it ran; only a whole answer is told as having run.
            request.known = _MAY_HAVE_RUN
        if event.failure is not None:
            return [*out, *self._fail_step(event, request)]
        if event.step is events.Step.PREFILL:
            return [*out, *self._prefilled(event, request)]
        return [*out, *self._answered(event, request)]

    def _let_go(self, event: events.StepEnded, request: Request) -> Effects:
        """The thread has left an attempt that was broken off.

        The first cancel may have reached the engine before the call that it
        was for; it goes out again, now that nothing more can follow it.
        """
        late = effects.CountLate(what=effects.Late.STEP)
        again = request.cancels_by_attempt.pop(event.attempt_id, ())
        return [late, *again, *self._record_late(event, request)]

    def _record_late(
        self, event: events.StepEnded, request: Request
    ) -> Effects:
        """Record a claimed call that ended as its deadline passed.

        Its caller has been told that it may have run; a resend gets more.
        """
        is_outcome = event.step is events.Step.CALL and event.failure is None
        if not is_outcome or request.call.idempotency_key is None:
            return []
        return [self._finish(event, claim_key(request))]

    def _prefilled(self, event: events.StepEnded, request: Request) -> Effects:
        request.kv = event.kv
        request.kv_id = request.booked.prefill_id
        request.kv_source = request.booked.prefill_url
        request.kv_at = event.now
        request.prefill_s = event.now - request.phase_at
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

    def _answered(self, event: events.StepEnded, request: Request) -> Effects:
        release = self._reservations.release(
            request, cells.Outcome.DONE, token_gap_s=event.token_gap_s
        )
        request.booked = None
        if not request.claim_key:
            complete = effects.Complete(request_id=request.request_id)
            return [*release, *self._end(request, complete)]
        request.phase = Phase.RECORDING
        request.phase_at = event.now
        return [*release, self._finish(event, request.claim_key)]

    def _finish(self, event: events.StepEnded, key: str) -> effects.Dispatch:
        finish = claims.Finish(
            now=event.now,
            ticket=FINISH_TICKET + event.request_id,
            key=key,
            attempt_id=event.request_id,
            outcome=event.outcome,
        )
        return effects.Dispatch(event=finish)

    # The cheapest next step that still meets the deadline

    def _fail_step(self, event: events.StepEnded, request: Request) -> Effects:
        log = refusals.log_failure(event)
        return [log, *self._after_failure(event, request)]

    def _after_failure(
        self, event: events.StepEnded, request: Request
    ) -> Effects:
        if event.now >= request.deadline_at:
            request.phase = Phase.BACKOFF
            return self._give_up(
                event.now, request, refusals.past_deadline(request)
            )
        if event.step is events.Step.DECODE:
            if self._may_resume(event, request):
                return self._resume(event, request)
            if self._may_move(event, request):
                return self._move(event, request)
        if event.step is events.Step.CALL and (
            event.known is verdict.Verdict.RAN
        ):
            return self._give_up(
                event.now, request, refusals.answer_unusable(event.message)
            )
        return self._again(
            event.now,
            request,
            failure=event.failure,
            message=event.message,
            failed_id=_failed_id(event.step, request),
            entropy=event.entropy,
        )

    def _may_resume(self, event: events.StepEnded, request: Request) -> bool:
        """Whether the engine may hold the stream still.

        It does when only the connection died. A second break at the same
        token means that the engine itself is at fault.
        """
        broke = event.failure in (_RETRY.STREAM_BROKEN, _RETRY.STREAM_STALLED)
        return broke and request.resumes_from < event.tokens

    def _resume(self, event: events.StepEnded, request: Request) -> Effects:
        """Take the stream up where it broke, over a new connection."""
        request.resumes_from = event.tokens
        request.kv = ''
        count = effects.CountRetry(reason=event.failure)
        return [count, *self._run_decode(event.now, request)]

    def _may_move(self, event: events.StepEnded, request: Request) -> bool:
        return (
            bool(request.kv)
            and event.failure is not _RETRY.KV_EVICTED
            and event.now - request.kv_at < KV_LIFE_S
            and request.attempts < MAX_ATTEMPTS
        )

    def _move(self, event: events.StepEnded, request: Request) -> Effects:
        """Bring the KV cache to another decode engine before it is evicted.

        The booking is changed, not given back: giving it back would cancel
        the prefill's result, which is all that there is to move.
        """
        booked = request.booked
        cancel = reservations.cancel_of(
            request, booked.decode_id, booked.decode_url
        )
        request.exclude += (booked.decode_id,)
        request.stage = policy.Stage.DECODE
        request.attempts += 1
        count = effects.CountRetry(reason=event.failure)
        return [count, cancel, *self._search(event.now, request)]

    def _again(
        self,
        now: float,
        request: Request,
        *,
        failure: verdict.RetryReason,
        message: str,
        failed_id: str = '',
        entropy: int = 0,
    ) -> Effects:
        """Give the attempt up, and begin another one if that may help."""
        out = self._give_back(request, failure, failed_id)
        if request.caller_gone:
            refusal = refusals.caller_gone(request)
            return [*out, *self._refuse(now, request, refusal)]
        if not request.may_run_again:
            refusal = refusals.backend_failed(message)
            return [*out, *self._refuse(now, request, refusal)]
        wait_s = self._backoff_s(request, entropy)
        if not self._is_worth_it(now + wait_s, request):
            refusal = refusals.retries_spent(request, message)
            return [*out, *self._refuse(now, request, refusal)]
        count = effects.CountRetry(reason=failure)
        if not wait_s:
            return [*out, count, *self._book(now, request)]
        request.retry_at = now + wait_s
        return [*out, count]

    def _give_back(
        self,
        request: Request,
        failure: verdict.RetryReason,
        failed_id: str,
    ) -> Effects:
        wasted = request.prefilled_tokens
        release = self._reservations.release(
            request, cells.Outcome.FAILED, fault=failed_id, wasted=wasted
        )
        request.phase = Phase.BACKOFF
        request.booked = None
        request.forget_kv()
        request.resumes_from = -1
        if failed_id:
            request.exclude += (failed_id,)
        if request.stage is policy.Stage.DECODE:
            request.stage = policy.Stage.PAIR
        return [*release, *refusals.count_waste(failure, wasted)]

    def _backoff_s(self, request: Request, entropy: int) -> float:
        """Return how long to wait, jittered so that no wave comes back."""
        if request.attempts < 2:
            return 0.0
        jitter = 0.5 + entropy / 2**64
        return BACKOFF_S * 2 ** (request.attempts - 2) * jitter

    def _is_worth_it(self, start_at: float, request: Request) -> bool:
        """Whether another attempt may still meet the deadline."""
        return (
            request.attempts < MAX_ATTEMPTS
            and start_at + request.prefill_s < request.deadline_at
            and self._budgets.spend(request.service)
        )

    # Ends of requests

    def _leave(self, now: float, request_id: str) -> Effects:
        """The caller has gone: free what it held."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            return []
        request.caller_gone = True
        if request.phase is Phase.CALL and request.claim_key:
            # A claimed call is left to end, so that its outcome is known
            # when the caller asks again. It holds no engine memory.
            return []
        if request.phase is Phase.RECORDING:
            return []
        refusal = refusals.caller_gone(request)
        return self._stop(now, request, refusal, cells.Outcome.CANCELLED)

    def cut_off(self, now: float) -> Effects:
        """Break off all that is left when a shutdown's time is over."""
        out: Effects = []
        for request in list(self.requests_by_id.values()):
            if request.is_ended:
                continue
            refusal = refusals.cut_off(request)
            out.append(refusals.log_cut_off(request))
            out += self._stop(now, request, refusal, cells.Outcome.CANCELLED)
        return out

    def _stop(
        self,
        now: float,
        request: Request,
        refusal: verdict.Refusal,
        outcome: cells.Outcome,
    ) -> Effects:
        """Break off whatever is under way, then refuse."""
        wasted = request.prefilled_tokens
        return [
            *self._break_off(request),
            *self._reservations.release(request, outcome, wasted=wasted),
            *refusals.count_waste(refusal.reason, wasted),
            *self._refuse(now, request, refusal),
        ]

    def _give_up(
        self, now: float, request: Request, refusal: verdict.Refusal
    ) -> Effects:
        """Refuse a request of which nothing is under way any more."""
        wasted = request.prefilled_tokens
        release = self._reservations.release(
            request, cells.Outcome.FAILED, wasted=wasted
        )
        return [
            *release,
            *refusals.count_waste(refusal.reason, wasted),
            *self._refuse(now, request, refusal),
        ]

    def _refuse(
        self, now: float, request: Request, refusal: verdict.Refusal
    ) -> Effects:
        claim = self._settle_claim(now, request, refusal)
        last = effects.Refuse(request_id=request.request_id, refusal=refusal)
        return [*claim, *self._end(request, last)]

    def _end(self, request: Request, last: effects.Directive) -> Effects:
        request.is_ended = True
        request.booked = None
        if isinstance(last, effects.Refuse):
            return [effects.CountRefusal(refusal=last.refusal), last]
        return [last]

    # Time

    def _tick(self, now: float) -> Effects:
        out: Effects = []
        for request in list(self.requests_by_id.values()):
            if not request.is_ended:
                out.extend(self._tick_request(now, request))
        out.extend(self._reservations.renew(now, self.requests_by_id.values()))
        return out

    def _tick_request(self, now: float, request: Request) -> Effects:
        if now >= request.deadline_at and request.phase is not Phase.RECORDING:
            refusal = refusals.past_deadline(request)
            return self._stop(now, request, refusal, cells.Outcome.EXPIRED)
        match request.phase:
            case Phase.BOOKING:
                return self._tick_booking(now, request)
            case Phase.QUEUED:
                return self._tick_queued(now, request)
            case Phase.BACKOFF if now >= request.retry_at:
                return self._book(now, request)
        return []

    def _tick_booking(self, now: float, request: Request) -> Effects:
        is_move = request.stage is policy.Stage.DECODE
        if is_move and now - request.kv_at >= KV_LIFE_S:
            return self._again(
                now,
                request,
                failure=_RETRY.KV_EVICTED,
                message='no decode engine was found in time',
            )
        if now - request.phase_at >= request.search_s:
            return self._give_up(now, request, refusals.no_owner(request))
        if now - request.asked_at < reservations.OWNER_ANSWER_S:
            return []
        asked = self._reservations.ask(now, request)
        return self._unless_ownerless(now, request, asked)

    def _tick_queued(self, now: float, request: Request) -> Effects:
        """Ask again once a second, which also renews the place in the queue.

        The owner says only once that a slot is free. With that lost, the
        owner would hold the slot, and the request wait, until its deadline.
        """
        if now - request.heard_at >= reservations.OWNER_SILENT_S:
            return self._search(now, request)
        if now - request.asked_at < cells.PROGRESS_EVERY_S:
            return []
        return self._reservations.ask_again(now, request)


def _failed_id(step: events.Step, request: Request) -> str:
    match step:
        case events.Step.PREFILL:
            return request.booked.prefill_id
        case events.Step.DECODE:
            return request.booked.decode_id
    return request.booked.plain_id


def _refuse(request_id: str, refusal: verdict.Refusal) -> Effects:
    return [
        effects.CountRefusal(refusal=refusal),
        effects.Refuse(request_id=request_id, refusal=refusal),
    ]
