"""Simulates load on one cell, on a virtual clock.

The cell and its policy are the program's own code. Callers, entries and
engines are simulated; an entry does only what the owner's answers require.
Every hop takes :data:`HOP_S`. This measures the decisions of the policy, not
the cost of the processes.
"""

import collections
from collections import abc
import dataclasses
import heapq
import math
import random
import typing

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import policy
from dandeliongw.coordination import parts
from dandeliongw import effects
from dandeliongw.entry import retries
from dandeliongw import settings
from dandeliongw.verdict import RefusalReason
from dandeliongw.verdict import RetryReason
from tools import engine_model
from tools import tally
from tools import workloads

#: One-way delay between any two of entry, owner and engine, in seconds.
HOP_S = 0.0005
REPORT_EVERY_S = 1.0
REPORT_LAG_S = 0.5
#: Drop the cache events of every n-th report.
GAP_EVERY = 7
TICK_S = 0.05
#: A transfer that would take longer than this counts as stalled.
STALL_S = 1.5
#: Until the presence lease of a dead engine expires.
PRESENCE_S = 2.0
MAX_ATTEMPTS = 4
#: Backoff when no decode engine accepts a KV cache.
MOVE_RETRY_S = 0.05
#: How often a caller retries a refused call.
MAX_CALLER_RETRIES = 3
#: Refusals later than this after the arrival are counted as late.
LATE_REFUSAL_S = 0.05
#: Until the entries have discovered a new owner and sent their bookings.
RECLAIM_AFTER_S = 0.5
CELL_ID = 'service/region/0'


class Clock:
    """A virtual clock that runs scheduled calls in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list = []
        self._sequence = 0

    def at(self, when: float, call: abc.Callable, *arguments) -> None:
        """Schedule a call; if the time has passed, for now."""
        self._sequence += 1
        when = max(when, self.now)
        heapq.heappush(self._calls, (when, self._sequence, call, arguments))

    def run(self, until: float) -> None:
        """Run all calls that are scheduled up to a time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._calls)
            call(*arguments)


class SimulatedEngine:
    """An engine model on the virtual clock.

    :param on_event: called with this engine and each event of the model.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        backend: cell_types.CellBackend,
        speeds: engine_model.EngineSpeeds,
        on_event: abc.Callable,
    ) -> None:
        self.backend = backend
        self.alive = True
        self.model = engine_model.EngineModel(speeds=speeds)
        self.reporter = engine_model.Reporter(
            model=self.model, lag_s=REPORT_LAG_S, gap_every=GAP_EVERY
        )
        self.link_in_free_at = 0.0
        self.next_cache_event = 0
        self._clock = clock
        self._on_event = on_event
        self._wakes_at = math.inf

    def wake(self) -> None:
        """Advance the model to now and schedule its next event."""
        if not self.alive:
            return
        now = self._clock.now
        for event in self.model.advance(now):
            self._on_event(self, event)
        next_at = self.model.next_at()
        if next_at < self._wakes_at or self._wakes_at <= now:
            self._wakes_at = next_at
            if next_at != math.inf:
                self._clock.at(next_at, self.wake)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """The state of one call at its entry."""

    request: workloads.Request
    name: str
    entry: str
    arrived_at: float
    caller_retries: int = 0
    attempt: int = 0
    stage: cell_types.Stage = cell_types.Stage.PAIR
    exclude: tuple[str, ...] = ()
    booked: cells.Booked | None = None
    #: The engine that holds the KV cache until it has been imported.
    prefill_id: str = ''
    prefilled: engine_model.Prefilled | None = None
    started_at: float | None = None
    first_token_at: float | None = None
    last_token_at: float | None = None
    #: Tokens received over all attempts.
    tokens_made: int = 0
    streaming: bool = False
    #: Whether it waits between a failed attempt and the next one.
    pausing: bool = False
    over: bool = False

    @property
    def attempt_id(self) -> str:
        return f'a{self.attempt}'

    @property
    def token_gap_s(self) -> float:
        """Mean gap between the tokens of a complete answer."""
        gaps = max(1, self.tokens_made - 1)
        return (self.last_token_at - self.first_token_at) / gaps


class Run:
    """One simulation run of one policy on one sequence of requests.

    :param seed: of the choice of entries and of the jitter of backoffs.
    """

    def __init__(
        self,
        *,
        deployment: workloads.Deployment,
        policy_factory: abc.Callable[[], policy.Policy],
        requests: abc.Iterable[workloads.Request],
        seed: int = 1,
    ) -> None:
        self.clock = Clock()
        self.deployment = deployment
        self.tally = tally.Tally(terms=deployment.terms)
        self.jobs_by_name: dict[str, Job] = {}
        self.engines_by_id: dict[str, SimulatedEngine] = {}
        self._random = random.Random(seed)
        self._policy_factory = policy_factory
        self._epoch = 1
        self._lost_entries: set[str] = set()
        self._budgets_by_entry = collections.defaultdict(self._make_budget)
        self._add_engines()
        self.cell = self._make_cell()
        self._send_backends()
        for request in requests:
            self.clock.at(request.at, self._arrive, request, request.name, 0)
        self.clock.at(0.0, self._send_reports)
        self.clock.at(0.0, self._tick)
        self.clock.at(0.0, self._send_progress)

    def _add_engines(self) -> None:
        counts = {
            cell_types.Role.PREFILL: self.deployment.prefill_engines,
            cell_types.Role.DECODE: self.deployment.decode_engines,
        }
        for role, count in counts.items():
            for number in range(count):
                self.add_engine(f'{role.value}-{number}', role)

    def add_engine(self, backend_id: str, role: cell_types.Role) -> None:
        """Start an engine; the owner is notified with the next change."""
        speeds = self.deployment.speeds
        backend = cell_types.CellBackend(
            backend_id=backend_id,
            incarnation=1,
            role=role,
            url=f'http://{backend_id}',
            slots=speeds.slots if role is cell_types.Role.DECODE else 1,
        )
        self.engines_by_id[backend_id] = SimulatedEngine(
            clock=self.clock,
            backend=backend,
            speeds=speeds,
            on_event=self._on_engine_event,
        )

    def _make_cell(self) -> cells.Cell:
        return cells.Cell(
            cell_id=CELL_ID,
            service=self.deployment.name,
            epoch=self._epoch,
            document_part=self.deployment.terms,
            policy=self._policy_factory(),
        )

    def run(self, until: float) -> tally.Tally:
        """Run until a virtual time; return the figures."""
        self.clock.run(until)
        for engine in self.engines_by_id.values():
            self.tally.count_engine(engine.model)
            if engine.alive:
                self.tally.counts['streams_held'] += len(engine.model.held())
        self.tally.counts['lost'] = len(self.jobs_by_name)
        self.tally.counts['bookings_held'] = len(self.cell.bookings_by_key)
        return self.tally

    # The owner

    def _send_backends(self) -> None:
        backends = tuple(
            engine.backend
            for engine in self.engines_by_id.values()
            if engine.alive
        )
        self._handle_at_owner(
            cells.BackendsChanged(now=self.clock.now, backends=backends)
        )

    def _handle_at_owner(self, event: typing.Any) -> None:
        for effect in self.cell.handle(event):
            arrives_at = self.clock.now + HOP_S
            if isinstance(effect, parts.Send):
                self.clock.at(arrives_at, self._handle_answer, effect.message)
            elif isinstance(effect, cells.ListStreams):
                self.clock.at(arrives_at, self._list_streams, effect)
            elif isinstance(effect, cells.CancelStream):
                self.clock.at(arrives_at, self._cancel_stream, effect)
            else:
                # Log lines are ignored in a measurement.
                assert isinstance(effect, effects.Log), effect

    def _send(self, job: Job, message: typing.Any) -> None:
        self.clock.at(
            self.clock.now + HOP_S, self._receive, job.entry, message
        )

    def _receive(self, entry: str, message: typing.Any) -> None:
        self._handle_at_owner(
            parts.Received(now=self.clock.now, sender=entry, message=message)
        )

    def _tick(self) -> None:
        self._handle_at_owner(parts.Ticked(now=self.clock.now, entropy=0))
        self.clock.at(self.clock.now + TICK_S, self._tick)

    def _send_reports(self) -> None:
        now = self.clock.now
        for engine in self.engines_by_id.values():
            if engine.alive:
                engine.wake()
                self._send_report(now, engine)
        self.clock.at(now + REPORT_EVERY_S, self._send_reports)

    def _send_report(self, now: float, engine: SimulatedEngine) -> None:
        report = engine.reporter.report(now)
        backend_id = engine.backend.backend_id
        load = dataclasses.asdict(report.load)
        self._handle_at_owner(
            cells.LoadReported(now=now, backend_id=backend_id, **load)
        )
        by_kind = {
            kind: tuple(e.prefix for e in report.events if e.kind == kind)
            for kind in ('stored', 'evicted')
        }
        gap = report.first != engine.next_cache_event
        engine.next_cache_event = report.first + len(report.events)
        self._handle_at_owner(
            cells.CacheHint(now=now, backend_id=backend_id, gap=gap, **by_kind)
        )

    def _cancel_stream(self, effect: cells.CancelStream) -> None:
        engine = self.engines_by_id[effect.backend_id]
        if not engine.alive:
            return
        self.tally.counts['cancels'] += 1
        engine.wake()
        engine.model.cancel(
            self.clock.now,
            stream_id=effect.stream_id,
            attempt_id=effect.attempt_id,
        )
        engine.wake()
        if not engine.model.faults.drop_cancels:
            confirmed = cells.StreamCancelled(
                now=self.clock.now + HOP_S,
                backend_id=effect.backend_id,
                stream_id=effect.stream_id,
                attempt_id=effect.attempt_id,
            )
            self.clock.at(confirmed.now, self._handle_at_owner, confirmed)

    def _list_streams(self, effect: cells.ListStreams) -> None:
        engine = self.engines_by_id[effect.backend_id]
        if not engine.alive:
            return
        engine.wake()
        listed = cells.StreamsListed(
            now=self.clock.now + HOP_S,
            backend_id=effect.backend_id,
            asked_at=self.clock.now - HOP_S,
            streams=tuple(
                cells.HeldStream(stream_id=stream_id, attempt_id=attempt_id)
                for stream_id, attempt_id in engine.model.held()
            ),
        )
        self.clock.at(listed.now, self._handle_at_owner, listed)

    # Callers

    def _arrive(
        self, request: workloads.Request, name: str, caller_retries: int
    ) -> None:
        job = Job(
            request=request,
            name=name,
            entry=self._random.choice(self._entries()),
            arrived_at=self.clock.now,
            caller_retries=caller_retries,
        )
        self.jobs_by_name[name] = job
        self._budgets_by_entry[job.entry].earn()
        self.tally.arrived(job)
        if request.leaves_after_s is not None:
            leaves_at = self.clock.now + request.leaves_after_s
            self.clock.at(leaves_at, self._leave, job)
        self._book(job, cell_types.Stage.PAIR)

    def _spend(self, job: Job, repeats: int) -> bool:
        """Take retries of the job's entry, if there are as many."""
        budget = self._budgets_by_entry[job.entry]
        return budget.spend(self.clock.now, repeats)

    def _make_budget(self) -> retries.RetryBudget:
        defaults = settings.Retries()
        budget = retries.RetryBudget(
            part=defaults.part,
            window_s=defaults.window_s,
            # The run begins long after the start of the processes.
            started_at=-defaults.window_s,
        )
        budget.set_share(defaults.saved / self.deployment.entries)
        return budget

    def _entries(self) -> list[str]:
        names = [f'entry-{n}' for n in range(self.deployment.entries)]
        return [name for name in names if name not in self._lost_entries]

    def _leave(self, job: Job) -> None:
        if not job.over:
            self._release(job, cells.Outcome.CANCELLED)
            self._end(job)
            self.tally.left(job)

    def _end(self, job: Job) -> None:
        job.over = True
        job.streaming = False
        del self.jobs_by_name[job.name]

    def _refuse(
        self, job: Job, reason: RefusalReason, retry_after_s: float
    ) -> None:
        self._end(job)
        held_s = self.clock.now - job.arrived_at
        if held_s > LATE_REFUSAL_S:
            self.tally.counts['refused_late'] += 1
        is_retried = job.caller_retries < MAX_CALLER_RETRIES
        self.tally.refused(job, reason, last=not is_retried)
        if is_retried:
            caller_retries = job.caller_retries + 1
            name = f'{job.request.name}+{caller_retries}'
            when = self.clock.now + retry_after_s * self._random.uniform(
                1, 1.1
            )
            self.clock.at(
                when, self._arrive, job.request, name, caller_retries
            )

    # Entries

    def _send_progress(self) -> None:
        holdings_by_entry: dict[str, list[cells.Holding]] = {}
        for job in self.jobs_by_name.values():
            if job.pausing:
                continue
            holding = cells.Holding(
                request_id=job.name, attempt_id=job.attempt_id
            )
            holdings_by_entry.setdefault(job.entry, []).append(holding)
        for entry, holdings in holdings_by_entry.items():
            message = cells.Progress(cell=CELL_ID, bookings=tuple(holdings))
            self.clock.at(
                self.clock.now + HOP_S, self._receive, entry, message
            )
        next_at = self.clock.now + cells.PROGRESS_INTERVAL_S
        self.clock.at(next_at, self._send_progress)

    def _book(self, job: Job, stage: cell_types.Stage) -> None:
        request = job.request
        if stage is cell_types.Stage.PAIR:
            job.attempt += 1
            job.prefilled = None
        job.stage = stage
        job.booked = None
        left_s = job.arrived_at + self.deployment.terms.timeout_s
        self._send(
            job,
            cells.Book(
                cell=CELL_ID,
                request_id=job.name,
                attempt_id=job.attempt_id,
                account=request.account,
                priority=request.priority,
                # A broken stream resumes after the delivered tokens.
                prompt_tokens=request.prompt_tokens + job.tokens_made,
                max_tokens=request.max_tokens - job.tokens_made,
                prefix=request.prefix,
                deadline_s=left_s - self.clock.now,
                exclude=job.exclude,
                stage=stage,
            ),
        )

    def _handle_answer(self, message: typing.Any) -> None:
        job = self.jobs_by_name.get(getattr(message, 'request_id', ''))
        if job is None or message.attempt_id != job.attempt_id:
            return
        if job.pausing:
            # The attempt failed while the owner's answer was on its way.
            return
        match message:
            case cells.Declined():
                self._handle_declined(job, message)
            case cells.Cancelled():
                self._retry(job, RetryReason.OWNER_CHANGED, '')
            case cells.Booked() if job.booked is None:
                job.booked = message
                when = self.clock.now + message.start_in_s + HOP_S
                self.clock.at(when, self._start, job, message)

    def _handle_declined(self, job: Job, declined: cells.Declined) -> None:
        if job.stage is cell_types.Stage.DECODE:
            self.clock.at(self.clock.now + MOVE_RETRY_S, self._retry_move, job)
        elif job.first_token_at is not None:
            self._fail(job, declined.reason)
        else:
            self._refuse(job, declined.reason, declined.retry_after_s)

    def _retry_move(self, job: Job) -> None:
        """Book a decode engine again, unless the KV cache was evicted.

        Called when the owner declined a booking of a decode engine. Engines
        that refused the KV cache before are candidates again.
        """
        if job.over or job.prefilled is None:
            return
        gone_at = job.prefilled.at + self.deployment.speeds.kv_ttl_s
        if self.clock.now >= gone_at:
            self._retry(job, RetryReason.KV_EVICTED, '')
            return
        job.exclude = ()
        self._book(job, cell_types.Stage.DECODE)

    def _is_current(self, job: Job, booked: cells.Booked) -> bool:
        return not job.over and job.booked is booked

    def _start(self, job: Job, booked: cells.Booked) -> None:
        if not self._is_current(job, booked):
            return
        if job.started_at is None:
            job.started_at = self.clock.now
        if job.stage is cell_types.Stage.DECODE:
            self._import(job, booked)
            return
        job.prefill_id = booked.prefill_id
        engine = self.engines_by_id[booked.prefill_id]
        if not engine.alive:
            self._retry(job, RetryReason.CONNECT_REFUSED, booked.prefill_id)
            return
        engine.wake()
        request = job.request
        rank = self.deployment.terms.rank_by_priority[request.priority]
        refused = engine.model.start_prefill(
            self.clock.now,
            stream_id=job.name,
            attempt_id=job.attempt_id,
            tokens=request.prompt_tokens + job.tokens_made,
            prefix=request.prefix,
            rank=rank,
        )
        engine.wake()
        if refused is not None:
            self._retry(job, RetryReason.BACKEND_BUSY, '')

    def _on_engine_event(
        self, engine: SimulatedEngine, event: typing.Any
    ) -> None:
        match event:
            case engine_model.Prefilled():
                arrives_at = self.clock.now + HOP_S
                self.clock.at(arrives_at, self._prefilled, event)
            case engine_model.Stepped():
                self._count_tokens(engine, event)

    def _prefilled(self, done: engine_model.Prefilled) -> None:
        job = self.jobs_by_name.get(done.stream_id)
        if job is None or job.attempt_id != done.attempt_id:
            return
        if job.booked is None:
            return
        job.prefilled = done
        message = cells.PrefillDone(
            cell=CELL_ID,
            request_id=job.name,
            attempt_id=job.attempt_id,
            tokens=done.tokens,
            cached_tokens=done.cached_tokens,
            kv_bytes=done.kv_bytes,
        )
        self._send(job, message)
        arrives_at = self.clock.now + HOP_S
        self.clock.at(arrives_at, self._import, job, job.booked)

    def _import(self, job: Job, booked: cells.Booked) -> None:
        if not self._is_current(job, booked):
            return
        engine = self.engines_by_id[booked.decode_id]
        if not engine.alive:
            self._move(job, RetryReason.CONNECT_REFUSED)
            return
        engine.wake()
        refused = engine.model.reserve_slot(
            self.clock.now,
            stream_id=job.name,
            attempt_id=job.attempt_id,
            kv_bytes=job.prefilled.kv_bytes,
        )
        if refused is not None:
            self._move(job, RetryReason.IMPORT_REFUSED)
            return
        self._transfer(job, booked, engine)

    def _transfer(
        self, job: Job, booked: cells.Booked, engine: SimulatedEngine
    ) -> None:
        source = self.engines_by_id[job.prefill_id]
        transfer = engine_model.Reason.EVICTED
        if source.alive:
            source.wake()
            transfer = source.model.export(
                self.clock.now,
                job.prefilled.kv,
                not_before=engine.link_in_free_at,
            )
        if not isinstance(transfer, engine_model.Transfer):
            self._free_slot(job, engine)
            self._retry(job, RetryReason.KV_EVICTED, '')
            return
        stalls_at = self.clock.now + STALL_S
        if transfer.ends_at > stalls_at:
            self.clock.at(stalls_at, self._transfer_stalled, job, booked)
            return
        engine.link_in_free_at = transfer.ends_at
        self.clock.at(
            transfer.ends_at, self._imported, job, booked, job.prefilled
        )

    def _free_slot(self, job: Job, engine: SimulatedEngine) -> None:
        engine.model.cancel(
            self.clock.now, stream_id=job.name, attempt_id=job.attempt_id
        )

    def _transfer_stalled(self, job: Job, booked: cells.Booked) -> None:
        if not self._is_current(job, booked):
            return
        source = self.engines_by_id[job.prefill_id]
        source.wake()
        source.model.unpin_kv(self.clock.now, job.prefilled.kv)
        source.wake()
        self._free_slot(job, self.engines_by_id[booked.decode_id])
        # The KV cache has expired by now: prefill again on another engine.
        self._retry(
            job, RetryReason.TRANSFER_STALLED, source.backend.backend_id
        )

    def _imported(
        self, job: Job, booked: cells.Booked, done: engine_model.Prefilled
    ) -> None:
        source = self.engines_by_id[booked.prefill_id or job.prefill_id]
        engine = self.engines_by_id[booked.decode_id]
        source.wake()
        if not self._is_current(job, booked) or not engine.alive:
            source.model.unpin_kv(self.clock.now, done.kv)
            source.wake()
            if self._is_current(job, booked):
                self._move(job, RetryReason.CONNECT_REFUSED)
            return
        source.model.drop_kv(done.kv)
        job.streaming = True
        engine.wake()
        left = job.request.answer_tokens - job.tokens_made
        engine.model.start_decode(
            self.clock.now, stream_id=job.name, max_tokens=left
        )
        engine.wake()

    def _find_reader(self, engine: SimulatedEngine, name: str) -> Job | None:
        """Return the call whose current attempt streams from this engine.

        An earlier attempt may still run on another engine.
        """
        job = self.jobs_by_name.get(name)
        if job is None or not job.streaming:
            return None
        is_current = job.booked.decode_id == engine.backend.backend_id
        return job if is_current else None

    def _count_tokens(
        self, engine: SimulatedEngine, step: engine_model.Stepped
    ) -> None:
        seen_at = step.at + HOP_S
        for stream_id in step.stream_ids:
            job = self._find_reader(engine, stream_id)
            if job is None:
                continue
            job.tokens_made += 1
            job.last_token_at = seen_at
            if job.first_token_at is None:
                job.first_token_at = seen_at
        for stream_id in step.finished:
            job = self._find_reader(engine, stream_id)
            if job is not None:
                self._finish(job)

    def _finish(self, job: Job) -> None:
        engine = self.engines_by_id[job.booked.decode_id]
        engine.model.forget_stream(job.name)
        self._release(job, cells.Outcome.DONE, token_gap_s=job.token_gap_s)
        self._end(job)
        self.tally.finished(job)

    def _release(
        self,
        job: Job,
        outcome: cells.Outcome,
        fault: str = '',
        wasted_tokens: int = 0,
        token_gap_s: float = 0.0,
    ) -> None:
        message = cells.Release(
            cell=CELL_ID,
            request_id=job.name,
            attempt_id=job.attempt_id,
            outcome=outcome,
            wasted_tokens=wasted_tokens,
            backend_fault=fault,
            token_gap_s=token_gap_s,
        )
        self._send(job, message)

    def _move(self, job: Job, reason: RetryReason) -> None:
        """Book another decode engine for the prefilled KV cache."""
        if not self._spend(job, 1):
            self._retry(job, reason, '')
            return
        self.tally.retried(reason)
        failed = job.booked.decode_id
        job.exclude = (*job.exclude, failed)
        self._book(job, cell_types.Stage.DECODE)

    def _retry(self, job: Job, reason: RetryReason, fault: str) -> None:
        """End this attempt as failed and start another after a backoff."""
        self.tally.retried(reason)
        wasted_tokens = 0
        if job.streaming:
            done = job.prefilled
            wasted_tokens = done.tokens - done.cached_tokens
            self.tally.wasted(reason.value, wasted_tokens)
        job.streaming = False
        self._release(job, cells.Outcome.FAILED, fault, wasted_tokens)
        if fault:
            job.exclude = (*job.exclude, fault)
        # Another attempt repeats the prefill, too, if there was one.
        repeats = 1 if job.prefilled is None else 2
        if job.attempt >= MAX_ATTEMPTS or not self._spend(job, repeats):
            self._fail(job, RefusalReason.RETRIES_SPENT)
            return
        backoff_s = retries.backoff_s(
            job.attempt + 1, self._random.getrandbits(64)
        )
        job.pausing = True
        self.clock.at(
            self.clock.now + backoff_s, self._start_next_attempt, job
        )

    def _start_next_attempt(self, job: Job) -> None:
        if not job.over:
            job.pausing = False
            self._book(job, cell_types.Stage.PAIR)

    def _fail(self, job: Job, reason: RefusalReason) -> None:
        if job.booked is not None or job.prefilled is not None:
            self._release(job, cells.Outcome.FAILED)
        self._end(job)
        self.tally.failed(job, reason)

    # Faults

    def kill(self, backend_id: str) -> None:
        """Kill an engine; calls with connections to it retry."""
        engine = self.engines_by_id[backend_id]
        engine.alive = False
        for job in list(self.jobs_by_name.values()):
            if job.booked is None:
                continue
            at_decode = job.streaming and job.booked.decode_id == backend_id
            at_prefill = (
                job.prefilled is None
                and job.started_at is not None
                and job.booked.prefill_id == backend_id
            )
            if at_decode or at_prefill:
                self._retry(job, RetryReason.STREAM_BROKEN, backend_id)
        self.clock.at(self.clock.now + PRESENCE_S, self._send_backends)

    def lose_entry(self, entry: str) -> None:
        """Kill an entry; its callers leave and it sends nothing more."""
        for job in list(self.jobs_by_name.values()):
            if job.entry == entry:
                self._end(job)
                self.tally.left(job)
        self._lost_entries.add(entry)

    def join_engine(self, backend_id: str, role: cell_types.Role) -> None:
        """Start an engine and notify the owner at once."""
        self.add_engine(backend_id, role)
        self._send_backends()

    def set_fault(self, backend_id: str, **switches: typing.Any) -> None:
        """Set fault switches of an engine."""
        engine = self.engines_by_id[backend_id]
        engine.wake()
        for name, value in switches.items():
            setattr(engine.model.faults, name, value)

    def lose_owner(self) -> None:
        """Replace the owner; entries reclaim their bookings later."""
        self._epoch += 1
        self.cell = self._make_cell()
        self._send_backends()
        self.clock.at(self.clock.now + RECLAIM_AFTER_S, self._reclaim_all)

    def _reclaim_all(self) -> None:
        bookings_by_entry: dict[str, list[cells.ReclaimedBooking]] = {}
        for job in list(self.jobs_by_name.values()):
            if job.pausing:
                continue
            if job.booked is None:
                self._book_again(job)
                continue
            held = bookings_by_entry.setdefault(job.entry, [])
            held.append(self._reclaimed(job))
        for entry, held in bookings_by_entry.items():
            message = cells.Reclaim(
                cell=CELL_ID, epoch=self._epoch, bookings=tuple(held)
            )
            self._receive(entry, message)

    def _book_again(self, job: Job) -> None:
        if job.stage is cell_types.Stage.PAIR:
            job.attempt -= 1
        self._book(job, job.stage)

    def _reclaimed(self, job: Job) -> cells.ReclaimedBooking:
        request = job.request
        return cells.ReclaimedBooking(
            request_id=job.name,
            attempt_id=job.attempt_id,
            account=request.account,
            priority=request.priority,
            stage=job.stage,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens - job.tokens_made,
            deadline_s=self.deployment.terms.timeout_s,
            prefill_id=job.prefill_id,
            decode_id=job.booked.decode_id,
            plain_id='',
            prefill_done=job.prefilled is not None,
        )
