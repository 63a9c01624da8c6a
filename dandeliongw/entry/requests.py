"""The life cycle of each request at its entry: the instance it arrived at.

This is a state machine. Its inputs are calls from clients (events), replies
of the cell's owner (messages) and the ends of steps, which the request's own
thread reports. Its outputs are directives to that thread and messages to the
owner. Every request ends with exactly one of ``Refuse``, ``Replay`` or
``Complete``. ``docs/REQUEST-LIFE.md`` describes the whole course of a
request.
"""

import typing

from .. import effects
from .. import events
from .. import verdict
from . import account_check as account_check_module
from . import admission
from . import attempts
from ..cell import cell_types
from ..cell import cells
from ..cell import rate_limits as rate_limits_module
from . import charges
from ..coordination import claim_messages as claims
from ..coordination import origins
from ..coordination import parts
from ..coordination import presence
from ..coordination import rates
from . import crash_detection
from . import departures as departures_module
from . import endings
from . import idempotency
from . import origin_check as origin_check_module
from . import owner_pacing
from . import owner_search
from . import paced_reservations
from . import quarantine_check as quarantine_module
from . import rate_limit_reports as rate_limit_reports_module
from . import recovery
from . import refusals
from . import replies
from . import request as request_module
from . import reservations
from . import rest_check as rest_check_module
from . import retries
from . import sends
from . import startup_queue
from . import steps
from . import trials
from . import withdrawals
from .request import Phase
from .request import Request
from .request import UNPLACED
from .request import WORKING

# Re-exported, so that other packages need to import only this module.
KV_LIFE_S = request_module.DEFAULT_KV_LIFE_S
MAX_ATTEMPTS = attempts.MAX_ATTEMPTS
CLAIM_TICKET = idempotency.CLAIM_TICKET
FINISH_TICKET = idempotency.FINISH_TICKET
TRIAL_TICKET = trials.TRIAL_TICKET
CHARGE_TICKET = charges.CHARGE_TICKET
LOOK_UP_TICKET = origin_check_module.LOOK_UP_TICKET
KEEP_TICKET = origin_check_module.KEEP_TICKET
LEAVE_TICKET = departures_module.LEAVE_TICKET

_RETRY = verdict.RetryReason
_NOT_RUN = verdict.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN

Effects = list[typing.Any]


class Requests:
    """All requests in flight at this entry.

    :param directory: the instance's view of the system, see ``admission``.
    :param gate: admission control.
    :param account_check: keys of client accounts.
    :param quarantine_check: quarantined calls, which are not sent to backend
        servers.
    :param budgets: retry budgets by service.
    :param rate_limits: limits of backend servers that are known here.
    :param leaves: leaves of backend servers that are known here.
    :param max_claimed_s: upper bound in seconds for the deadline of a call
        with a claim, because claims are retained for a limited time only.
    :param startup_wait_s: seconds after the start during which calls wait for
        the first configuration; by default they are refused at once.
    :param paces_bookings: whether unanswered bookings are bounded.
    """

    def __init__(
        self,
        *,
        directory: admission.Directory,
        gate: admission.Admission,
        account_check: account_check_module.AccountCheck,
        quarantine_check: quarantine_module.QuarantineCheck,
        budgets: retries.RetryBudgets,
        rate_limits: rate_limits_module.RateLimits,
        leaves: departures_module.Leaves,
        max_claimed_s: float = float('inf'),
        startup_wait_s: float = 0.0,
        paces_bookings: bool = False,
    ) -> None:
        self._directory = directory
        self._gate = gate
        self.quarantine_check = quarantine_check
        self._crashes = crash_detection.CrashDetector()
        self._max_claimed_s = max_claimed_s
        self._budgets = budgets
        self._reservations = paced_reservations.make_reservations(
            paces_bookings=paces_bookings,
            directory=directory,
            rate_limits=rate_limits,
        )
        self.rate_limit_reports = rate_limit_reports_module.RateLimitReports(
            directory=directory, rate_limits=rate_limits
        )
        self._departure_check = departures_module.DepartureCheck(leaves=leaves)
        self._rest_check = rest_check_module.RestCheck(
            directory=directory, rate_limits=rate_limits
        )
        self._origin_check = origin_check_module.OriginCheck(
            gate=gate, directory=directory
        )
        self._endings = endings.Endings(reservations=self._reservations)
        self._sends = sends.Sends(budgets=budgets)
        self._steps = steps.Steps(sends=self._sends)
        self._withdrawals = withdrawals.Withdrawals(budgets=budgets)
        self._attempts = attempts.Attempts(
            reservations=self._reservations,
            departure_check=self._departure_check,
            endings=self._endings,
            sends=self._sends,
            quarantine_check=quarantine_check,
            account_check=account_check,
        )
        self._owner_search = owner_search.make_search(
            reservations=self._reservations,
            attempts=self._attempts,
            endings=self._endings,
        )
        self._recovery = recovery.Recovery(
            attempts=self._attempts,
            departure_check=self._departure_check,
            endings=self._endings,
            rate_limits=rate_limits,
            rest_check=self._rest_check,
            sends=self._sends,
            steps=self._steps,
        )
        self._replies = replies.Replies(
            reservations=self._reservations,
            attempts=self._attempts,
            departure_check=self._departure_check,
            endings=self._endings,
            origin_check=self._origin_check,
            rate_limits=rate_limits,
            rest_check=self._rest_check,
            steps=self._steps,
        )
        self.requests_by_id: dict[str, Request] = {}
        self._startup_queue = startup_queue.StartupQueue(
            directory=directory, startup_s=startup_wait_s
        )
        self._trials = trials.Trials(
            quarantine_check=quarantine_check,
            attempts=self._attempts,
            endings=self._endings,
        )

    # Events

    def handle(self, event: typing.Any) -> Effects:
        """Process a request event or an owner's message."""
        match event:
            case events.RequestArrived():
                return self._arrive(event)
            case events.StepEnded():
                return self._end_step(event)
            case events.AnswerGoesOn():
                return self._answer_goes_on(event)
            case events.LeaveStated():
                return self._record_leave(event)
            case events.RateLimitStated():
                return self._record_rate_limit(event)
            case events.BackendProbed():
                return self._crashes.process_probe(event)
            case events.CallerGone():
                return self._disconnect(event.now, event.request_id)
            case events.RequestClosed():
                return self._close(event.now, event.request_id)
            case parts.Received():
                return self._receive(event)
            case parts.Ticked():
                return self._tick(event.now)
        return []

    def _arrive(self, event: events.RequestArrived) -> Effects:
        self._startup_queue.note_start(event.now)
        if self._startup_queue.must_wait(event):
            self._startup_queue.add(event)
            return []
        return self._admit(event.now, event)

    def _admit(self, now: float, event: events.RequestArrived) -> Effects:
        call = event.call
        admitted = self._gate.check(now, call, event.entropy)
        if isinstance(admitted, verdict.Refusal):
            return _refuse_unadmitted(event, admitted)
        if not event.has_memory:
            return _refuse_unadmitted(event, admission.out_of_memory())
        # A call that crashes the backend servers it runs on would crash
        # another one with each send, along with that server's other work.
        held = self.quarantine_check.refusal(now, event.request_id, call)
        if held is not None and not held.may_be_trial:
            return [held.line, *_refuse_unadmitted(event, held.refusal)]
        request = self._make_request(event, admitted)
        self.requests_by_id[event.request_id] = request
        self._gate.enter(admitted.account.name, admitted.streamed)
        if charges.is_limited(request):
            return charges.request_charge(now, request)
        return self._start(now, request)

    def charge_answered(
        self, now: float, request_id: str, result: rates.ChargeResult
    ) -> Effects:
        """Process the result of a charge of the request's account."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.phase is not Phase.CHARGING:
            return []
        refusal = charges.answered(request, result)
        if request.is_ended:
            # Its client has disconnected meanwhile.
            return charges.refund(now, request, _NOT_RUN)
        if refusal is not None:
            return self._endings.refuse(now, request, refusal)
        return self._start(now, request)

    def _start(self, now: float, request: Request) -> Effects:
        """Start an admitted request, whose account was charged."""
        if self._origin_check.must_look_up(request):
            return self._origin_check.look_up(now, request)
        return self._place(now, request)

    def origin_found(
        self,
        now: float,
        request_id: str,
        result: origins.StreamOrigin | origins.LookUpFailure,
    ) -> Effects:
        """Process the result of looking up what began a stream."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.phase is not Phase.RESOLVING:
            return []
        if request.is_ended:
            return []
        line, refusal = self._origin_check.found(now, request, result)
        if refusal is not None:
            return [line, *self._endings.refuse(now, request, refusal)]
        return [line, *self._place(now, request)]

    def origin_kept(
        self, now: float, request_id: str, result: origins.KeepResult
    ) -> Effects:
        """Process the result of keeping what begins a stream."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            # Its thread was told to break off.
            return []
        if result is origins.KeepResult.TAKEN:
            refusal = origin_check_module.id_taken(request)
            return self._endings.stop(
                now, request, refusal, cells.Outcome.CANCELLED
            )
        return self._origin_check.kept(request, result)

    def _place(self, now: float, request: Request) -> Effects:
        """Have a request placed, unless something holds it back."""
        self._budgets.earn(now, request.service)
        held = self.quarantine_check.refusal(
            now, request.request_id, request.call
        )
        if held is not None and held.may_be_trial:
            return self._trials.request_grant(now, request, held)
        if request.call.idempotency_key is None:
            return self._attempts.begin(now, request)
        return idempotency.begin(now, request)

    def _make_request(
        self, event: events.RequestArrived, admitted: admission.Admitted
    ) -> Request:
        call = event.call
        limit_s = admitted.timeout_s
        if call.idempotency_key is not None:
            limit_s = min(limit_s, self._max_claimed_s)
        if call.deadline_s is not None:
            limit_s = min(limit_s, call.deadline_s)
        return Request(
            request_id=event.request_id,
            call=call,
            admitted=admitted,
            cell=self._directory.cell_of(
                admitted.service.name, event.request_id
            ),
            arrived_at=event.now,
            deadline_at=event.now + limit_s,
            phase=Phase.BOOKING,
            phase_at=event.now,
            last_piece_at=event.now,
            stage=cell_types.Stage.PAIR
            if admitted.streamed
            else cell_types.Stage.PLAIN,
            search_timeout_s=reservations.OWNER_SEARCH_S,
        )

    def _disconnect(self, now: float, request_id: str) -> Effects:
        if self._startup_queue.remove(request_id):
            return endings.refuse_unadmitted(
                request_id, refusals.disconnected_early()
            )
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            return []
        return self._endings.disconnect(now, request)

    def _close(self, now: float, request_id: str) -> Effects:
        """Remove a request whose thread has ended.

        If the thread ended without an answer, because the client's connection
        broke while a piece was written, the request is handled as one whose
        client has disconnected.
        """
        out = self._disconnect(now, request_id)
        request = self.requests_by_id.pop(request_id, None)
        if request is None:
            return out
        if not request.is_ended:
            # The client disconnected during a claimed call, which runs on
            # without it, and then the thread ended. The claim stays, so that
            # a resend is answered with "may have run".
            out += self._reservations.release(request, cells.Outcome.FAILED)
        self._sends.release(now, request)
        for cancels in request.cancels_by_attempt.values():
            out += cancels
        self._gate.leave(
            request.admitted.account.name, request.admitted.streamed
        )
        return out

    def stop_quarantined(self, now: float, fingerprint: str) -> Effects:
        """Stop the pending requests with something that is now quarantined.

        Requests that a backend server is already running are not aborted.

        :param fingerprint: of the quarantined call, or part of prompts.
        """
        out: Effects = []
        for request in list(self.requests_by_id.values()):
            is_waiting = not request.is_ended and not request.is_running
            if not is_waiting or request.phase is Phase.RECORDING:
                continue
            held = self._attempts.held(now, request)
            if held is None or fingerprint not in held.suspects:
                continue
            out.append(held.line)
            out += self._endings.stop(
                now, request, held.refusal, cells.Outcome.CANCELLED
            )
        return out

    def note_departure(
        self, now: float, departure: presence.BackendDeparture
    ) -> Effects:
        """Process a leave that this instance has just heard of."""
        return self._withdrawals.note_departure(
            now, self.requests_by_id.values(), departure
        )

    def retries_left_by_service(self, now: float) -> dict[str, float]:
        """Return the remaining retry budgets; thread-safe."""
        return self._budgets.left_by_service(now)

    def booking_loads_by_cell(self) -> dict[str, owner_pacing.Load]:
        """Return the bookings that are held back; thread-safe."""
        return self._reservations.loads_by_cell()

    def abort_all(self, now: float) -> Effects:
        """Abort all remaining requests when the shutdown grace period ends."""
        out: Effects = []
        for request in list(self.requests_by_id.values()):
            if not request.is_ended:
                out += self._endings.abort_at_shutdown(now, request)
        return out

    # Messages of owners

    def _receive(self, event: parts.Received) -> Effects:
        request = self.requests_by_id.get(event.message.request_id)
        return [
            *self._replies.process(event, request),
            *self._reservations.send_waiting(event.now, event.message.cell),
        ]

    def reclaim_all(
        self, now: float, cell: str, holder: str, epoch: int
    ) -> Effects:
        """Send a cell's new owner every booking this entry holds there."""
        open_requests = [
            request
            for request in self.requests_by_id.values()
            if request.cell == cell and not request.is_ended
        ]
        return self._replies.reclaim_all(
            now, open_requests, cell, holder, epoch
        )

    # Answers to claims

    def claim_answered(
        self, now: float, request_id: str, result: typing.Any
    ) -> Effects:
        """Process the answer to the ``Begin`` of a claim."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            # The client disconnected while the claim was in progress.
            return []
        if isinstance(result, claims.Granted):
            request.known = _NOT_RUN
            return self._attempts.begin(now, request)
        request.claim_key = ''
        if not isinstance(result, claims.Replayed):
            return self._endings.refuse(
                now, request, refusals.of_claim(result)
            )
        if result.outcome is None:
            return self._endings.refuse(
                now, request, refusals.outcome_too_large()
            )
        replay = effects.Replay(request_id=request_id, outcome=result.outcome)
        return self._endings.end(request, replay)

    def finish_answered(
        self, now: float, request_id: str, result: typing.Any
    ) -> Effects:
        """Process the answer to the ``Finish`` of a claim.

        The client gets the complete answer even if it was not recorded: the
        call ran, and in the worst case a resend is refused with an unknown
        outcome.
        """
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            return []
        request.claim_key = ''
        return self._endings.end(
            request, effects.Complete(request_id=request_id)
        )

    def trial_answered(
        self, now: float, request_id: str, is_granted: bool
    ) -> Effects:
        """Process the answer to a request for a trial."""
        request = self.requests_by_id.get(request_id)
        if request is None or request.is_ended:
            return []
        return self._trials.answered(now, request, is_granted=is_granted)

    # Ends of steps

    def _end_step(self, event: events.StepEnded) -> Effects:
        request = self.requests_by_id.get(event.request_id)
        if request is None:
            return []
        out: Effects = [
            effects.CountLate(what=effects.LateKind.PIECE)
        ] * event.late_pieces
        is_current = (
            not request.is_ended
            and event.attempt_id == request.attempt_id
            # An aborted attempt keeps its id while the next one is in
            # backoff.
            and request.phase in WORKING
        )
        if not is_current:
            return [*out, *self._end_stale_step(event, request)]
        out += self.quarantine_check.answer_written(event, request)
        if event.known is not _NOT_RUN:
            request.has_failed |= event.failure is not None
            # Part of it ran; only a complete answer counts as "ran".
            request.known = _MAY_HAVE_RUN
            request.runs += 1
            request.last_piece_at = event.now
        out += self._rest_check.record(event, request)
        if event.is_cut:
            out += self._crashes.add(
                event.now, self._interrupted_run(event, request)
            )
        if not event.was_sent:
            self._sends.note_unsent(request)
        if event.failure is not None:
            return [*out, *self._recovery.recover(event, request)]
        if event.step is events.Step.PREFILL:
            return [*out, *self._prefill_ended(event, request)]
        return [*out, *self._answer_ended(event, request)]

    def _answer_goes_on(self, event: events.AnswerGoesOn) -> Effects:
        request = self.requests_by_id.get(event.request_id)
        if request is None or event.attempt_id != request.attempt_id:
            return []
        return self.quarantine_check.answer_goes_on(
            event.now, request, written_at=event.now
        )

    def _answered_request(
        self, event: events.LeaveStated | events.RateLimitStated
    ) -> Request | None:
        """Return the request whose current attempt got an answer, if any.

        Without its booking, the start that answered is not known any more.
        """
        request = self.requests_by_id.get(event.request_id)
        is_current = (
            request is not None
            and request.booked is not None
            and event.attempt_id == request.attempt_id
        )
        return request if is_current else None

    def _record_leave(self, event: events.LeaveStated) -> Effects:
        request = self._answered_request(event)
        if request is None:
            return []
        return self._departure_check.leave_stated(event, request)

    def _record_rate_limit(self, event: events.RateLimitStated) -> Effects:
        request = self._answered_request(event)
        if request is None:
            return []
        return self.rate_limit_reports.record(event, request)

    def _interrupted_run(
        self, event: events.StepEnded, request: Request
    ) -> crash_detection.InterruptedRun:
        backend = request.booked_backend(event.step)
        return crash_detection.InterruptedRun(
            request_id=request.request_id,
            fingerprint=self.quarantine_check.fingerprint(request.call),
            content=self.quarantine_check.content(request.call),
            parts=self.quarantine_check.parts(request.call),
            service=request.service,
            caller=request.call.address or request.admitted.account.name,
            start=backend.start,
            url=backend.url,
            ran_s=event.now - request.phase_at,
            pieces=event.pieces,
            wrote_s=event.wrote_s,
            trial_of=request.trial_of,
        )

    def _end_stale_step(
        self, event: events.StepEnded, request: Request
    ) -> Effects:
        """Process the end of a step that belongs to an aborted attempt.

        The first cancel may have reached the engine before the call that it
        was meant for. It is sent again here, since the thread can send
        nothing more for this attempt.
        """
        late = effects.CountLate(what=effects.LateKind.STEP)
        cancels = request.cancels_by_attempt.pop(event.attempt_id, ())
        return [
            late,
            *cancels,
            *idempotency.record_late_outcome(event, request),
        ]

    def _prefill_ended(
        self, event: events.StepEnded, request: Request
    ) -> Effects:
        self._sends.note_prefill_accepted(request)
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
        took = request.duration(
            effects.RequestPhase.PREFILL, request.prefill_s
        )
        held = self._attempts.held(event.now, request)
        if held is not None:
            # Prefill alone is harmless; decoding would crash the engine.
            stopped = self._endings.stop(
                event.now, request, held.refusal, cells.Outcome.CANCELLED
            )
            return [send, took, held.line, *stopped]
        key_refusal = self._attempts.key_refusal(event.now, request)
        if key_refusal is not None:
            stopped = self._endings.stop(
                event.now, request, key_refusal, cells.Outcome.CANCELLED
            )
            return [send, took, *stopped]
        departures = self._departure_check.departures(
            request, (events.Step.DECODE,)
        )
        if departures:
            request.stage = cell_types.Stage.DECODE
            rebooked = self._attempts.rebook(event.now, request, departures)
            return [send, took, *rebooked]
        resting = self._rest_check.resting(
            event.now, request, (events.Step.DECODE,)
        )
        if resting:
            request.stage = cell_types.Stage.DECODE
            rebooked = self._attempts.rebook(event.now, request, (), resting)
            return [send, took, *rebooked]
        return [send, took, *self._steps.run_decode(event.now, request)]

    def _answer_ended(
        self, event: events.StepEnded, request: Request
    ) -> Effects:
        release = [
            *_durations(event, request),
            *self.quarantine_check.succeeded(event.now, request),
            *self._reservations.release(
                request,
                cells.Outcome.DONE,
                token_gap_s=event.token_gap_s,
                answer_pieces=event.tokens,
            ),
        ]
        request.booked = None
        if not request.claim_key:
            complete = effects.Complete(request_id=request.request_id)
            return [*release, *self._endings.end(request, complete)]
        request.phase = Phase.RECORDING
        request.phase_at = event.now
        return [*release, idempotency.finish(event, request.claim_key)]

    # Time

    def _tick(self, now: float) -> Effects:
        self._budgets.note_start(now)
        self._startup_queue.note_start(now)
        out: Effects = []
        for event in self._startup_queue.pop_due(now):
            out += self._admit(now, event)
        self._owner_search.note_tick(now)
        for request in list(self.requests_by_id.values()):
            if not request.is_ended:
                out.extend(self._tick_request(now, request))
        out.extend(self._owner_search.tick(now))
        out.extend(self._crashes.tick(now))
        out.extend(self._reservations.renew(now, self.requests_by_id.values()))
        return out

    def _tick_request(self, now: float, request: Request) -> Effects:
        if now >= request.deadline_at and request.phase is not Phase.RECORDING:
            refusal = refusals.past_deadline(request)
            return self._endings.stop(
                now, request, refusal, cells.Outcome.EXPIRED
            )
        if _has_expired_cache(now, request):
            return self._attempts.retry(
                now,
                request,
                failure=_RETRY.KV_EVICTED,
                message='no decode engine was found in time',
            )
        withdrawn = self._withdrawals.tick(now, request)
        if withdrawn:
            return withdrawn
        match request.phase:
            case Phase.ASKING:
                return self._trials.tick(now, request)
            case Phase.BOOKING:
                return self._owner_search.tick_booking(now, request)
            case Phase.QUEUED:
                return self._owner_search.tick_queued(now, request)
            case Phase.BACKOFF if now >= request.retry_at:
                return self._attempts.begin(now, request)
        return []


def _refuse_unadmitted(
    event: events.RequestArrived, refusal: verdict.Refusal
) -> Effects:
    if event.call.idempotency_key is not None:
        refusal = refusals.for_unclaimed_key(refusal)
    return endings.refuse_unadmitted(event.request_id, refusal)


def _has_expired_cache(now: float, request: Request) -> bool:
    """Whether the KV cache of a request without a decode engine has expired.

    The owner cannot be relied on to report this: it may have failed while
    the request was in its queue.
    """
    return (
        request.stage is cell_types.Stage.DECODE
        and request.phase in UNPLACED
        and now - request.kv_at >= request.kv_life_s
    )


def _durations(event: events.StepEnded, request: Request) -> Effects:
    """Return the durations of the parts of a complete answer."""
    began_at, first_at = request.phase_at, event.first_piece_at
    if event.step is events.Step.CALL:
        return [
            request.duration(effects.RequestPhase.CALL, event.now - began_at)
        ]
    if first_at is None:
        # A resumed stream that lacked only its end mark.
        return []
    out: Effects = [
        request.duration(effects.RequestPhase.DECODE, event.now - first_at)
    ]
    if request.booked.prefill_id:
        out.append(
            request.duration(
                effects.RequestPhase.TRANSFER, first_at - began_at
            )
        )
    if request.admitted.is_pass_through and event.first_token_at is not None:
        out.append(
            effects.PassThroughStream(
                service=request.service,
                first_token_s=event.first_token_at - request.arrived_at,
                token_gap_s=event.token_gap_s,
            )
        )
    return out
