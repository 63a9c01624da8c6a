"""How a model engine behaves, as a pure model on any clock.

The same model runs inside the stand-in processes on the real clock and
inside the measurements on a virtual one. It knows continuous batching,
serial prefill by priority, a prefix cache of limited size, and KV cache
that moves over links of limited rate and is evicted when nobody takes it.
"""

import collections
import dataclasses
import enum
import heapq
import math

import xxhash


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineSpeeds:
    """What an engine can do; the defaults follow the users' description.

    A prompt of 1,000 tokens takes 0.1 s, as much as 66 tokens of a full
    batch of twenty at 30 ms a step.

    :param step_s: of an empty batch.
    :param step_per_stream_s: added for each stream of the batch.
    :param kv_ttl_s: a prefill's result is evicted after so long, unless
        its transfer has begun.
    :param cache_blocks: blocks the prefix cache holds.
    """

    prefill_tokens_per_s: float = 10_000.0
    prefill_overhead_s: float = 0.005
    prefill_queue: int = 64
    slots: int = 20
    step_s: float = 0.015
    step_per_stream_s: float = 0.00075
    kv_bytes_per_token: int = 100_000
    link_bytes_per_s: float = 2e9
    kv_ttl_s: float = 0.8
    cache_blocks: int = 2_000
    block_tokens: int = 64


@dataclasses.dataclass(kw_only=True, slots=True)
class Faults:
    """Switches for what may go wrong; all off at first.

    The last six concern only the HTTP process around the model; token
    counts of ``-1`` mean never.

    :param end_on: the prompt that ends the process which decodes for it.
    """

    refuse_imports: bool = False
    stall_transfer: bool = False
    drop_cancels: bool = False
    slow: float = 1.0
    stall_after_tokens: int = -1
    cut_after_tokens: int = -1
    truncate_after_tokens: int = -1
    old_attempt_id: bool = False
    duplicate_pieces: bool = False
    end_on: str = ''


class Reason(enum.StrEnum):
    """Why an engine refuses a call."""

    BUSY = 'busy'
    EVICTED = 'evicted'
    FULL = 'full'
    STALLED = 'stalled'
    FENCED = 'fenced'


class Waste(enum.StrEnum):
    """Why prefill work was thrown away."""

    EVICTED = 'evicted'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prefilled:
    """A prefill is done; its KV cache waits to be imported."""

    at: float
    stream_id: str
    attempt_id: str
    kv: str
    tokens: int
    cached_tokens: int
    kv_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evicted:
    """A prefill's result was thrown away; nobody imported it in time."""

    at: float
    stream_id: str
    kv: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stepped:
    """One decode step: each of these streams has one more token."""

    at: float
    stream_ids: tuple[str, ...]
    finished: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transfer:
    """When an export moves over the link; it never ends when stalled."""

    starts_at: float
    ends_at: float
    kv_bytes: int
    tokens: int
    seed: str


@dataclasses.dataclass(kw_only=True, slots=True)
class PrefillJob:
    """A prompt that waits or runs."""

    stream_id: str
    attempt_id: str
    tokens: int
    prefix: tuple[str, ...]
    seed: str
    cached_tokens: int = 0
    started_at: float = math.nan
    ends_at: float = math.nan


@dataclasses.dataclass(kw_only=True, slots=True)
class HeldKv:
    """A prefill's result in memory."""

    job: PrefillJob
    expires_at: float
    #: Transfers that have begun; while there are any, it is kept.
    transfers: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Stream:
    """A stream in a decode slot, or finished and not yet read."""

    stream_id: str
    attempt_id: str
    kv_bytes: int
    prompt_tokens: int
    seed: str
    max_tokens: int = 0
    made: int = 0
    decoding: bool = False
    finished: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """What an engine reports."""

    running: int
    waiting: int
    queued_tokens: int
    slots_used: int
    kv_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A block entered or left the prefix cache."""

    kind: str
    prefix: str


def seed_of(prompt: str) -> str:
    """Return what makes the answer to this prompt its own."""
    return xxhash.xxh32(prompt.encode()).hexdigest()


def token_text(seed: str, offset: int) -> str:
    """Return the text of one token of a stream."""
    return f'tok{offset}-{seed} '


def expected_answer(prompt: str, tokens: int) -> str:
    """Return the whole answer that a stand-in gives to a prompt."""
    seed = seed_of(prompt)
    return ''.join(token_text(seed, offset) for offset in range(tokens))


class PrefixCache:
    """Least recently used blocks, and the events of their coming and going."""

    def __init__(self, *, blocks: int) -> None:
        self._limit = blocks
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: list[CacheEvent] = []

    def match(self, prefix: tuple[str, ...]) -> int:
        """Return how many leading blocks are held."""
        count = 0
        for block in prefix:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, prefix: tuple[str, ...]) -> None:
        """Take the blocks in; evict the oldest above the limit."""
        for block in prefix:
            if block not in self._blocks:
                self.events.append(CacheEvent(kind='stored', prefix=block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            block, _ = self._blocks.popitem(last=False)
            self.events.append(CacheEvent(kind='evicted', prefix=block))


class EngineModel:
    """One engine. Call :meth:`advance` before any other call at a time."""

    def __init__(
        self, *, speeds: EngineSpeeds, checks_fence: bool = True
    ) -> None:
        self.speeds = speeds
        self.faults = Faults()
        self.cache = PrefixCache(blocks=speeds.cache_blocks)
        self.highest_fence = 0
        self.checks_fence = checks_fence
        self.prefill_tokens_done = 0
        self.wasted_tokens_by_reason: collections.Counter[Waste] = (
            collections.Counter()
        )
        self.kv_by_name: dict[str, HeldKv] = {}
        self.streams_by_id: dict[str, Stream] = {}
        self._queue: list[tuple[int, int, PrefillJob]] = []
        self._running: PrefillJob | None = None
        self._link_free_at = 0.0
        self._step_ends_at: float | None = None
        self._step_ids: tuple[str, ...] = ()
        self._serial = 0

    def accept_fence(self, fence: int) -> bool:
        """Return whether an order with this fencing number may run."""
        if self.checks_fence and fence < self.highest_fence:
            return False
        self.highest_fence = max(fence, self.highest_fence)
        return True

    def start_prefill(
        self,
        now: float,
        *,
        stream_id: str,
        attempt_id: str,
        tokens: int,
        prefix: tuple[str, ...],
        rank: int = 0,
        seed: str = '',
    ) -> Reason | None:
        """Queue a prompt; lower ranks go first."""
        if len(self._queue) >= self.speeds.prefill_queue:
            return Reason.BUSY
        self._serial += 1
        job = PrefillJob(
            stream_id=stream_id,
            attempt_id=attempt_id,
            tokens=tokens,
            prefix=prefix,
            seed=seed,
        )
        heapq.heappush(self._queue, (rank, self._serial, job))
        self._start_next(now)
        return None

    def has_prefill(self, stream_id: str, attempt_id: str) -> bool:
        """Return whether this attempt's prompt waits or runs."""
        jobs = [job for _, _, job in self._queue]
        if self._running is not None:
            jobs.append(self._running)
        wanted = (stream_id, attempt_id)
        return any((job.stream_id, job.attempt_id) == wanted for job in jobs)

    def _start_next(self, now: float) -> None:
        while self._running is None and self._queue:
            _, _, job = heapq.heappop(self._queue)
            blocks = self.cache.match(job.prefix)
            cached = min(blocks * self.speeds.block_tokens, job.tokens - 1)
            job.cached_tokens = cached
            rate = self.speeds.prefill_tokens_per_s
            work_s = (job.tokens - cached) / rate
            work_s += self.speeds.prefill_overhead_s
            job.started_at = now
            job.ends_at = now + work_s * self.faults.slow
            self._running = job

    def export(
        self, now: float, kv: str, *, not_before: float = 0.0
    ) -> Transfer | Reason:
        """Book the link for a transfer, after those booked already.

        :param not_before: when the other end's link is free.
        """
        held = self.kv_by_name.get(kv)
        if held is None:
            return Reason.EVICTED
        starts_at = max(now, self._link_free_at, not_before)
        if starts_at >= held.expires_at:
            return Reason.EVICTED
        kv_bytes = self._kv_bytes(held.job)
        took_s = kv_bytes / self.speeds.link_bytes_per_s * self.faults.slow
        ends_at = starts_at + took_s
        if self.faults.stall_transfer:
            ends_at = math.inf
        else:
            self._link_free_at = ends_at
        held.transfers += 1
        return Transfer(
            starts_at=starts_at,
            ends_at=ends_at,
            kv_bytes=kv_bytes,
            tokens=held.job.tokens,
            seed=held.job.seed,
        )

    def drop_kv(self, kv: str) -> None:
        """Free a result that has been imported."""
        self.kv_by_name.pop(kv, None)

    def unpin_kv(self, now: float, kv: str) -> None:
        """End a transfer that failed; the result lives out its time."""
        held = self.kv_by_name.get(kv)
        if held is not None:
            held.transfers -= 1
            held.expires_at = max(held.expires_at, now)

    def reserve_slot(
        self,
        now: float,
        *,
        stream_id: str,
        attempt_id: str,
        kv_bytes: int = 0,
        tokens: int = 0,
        seed: str = '',
    ) -> Reason | None:
        """Take a decode slot for an import that begins."""
        if self.faults.refuse_imports:
            return Reason.FULL
        held = stream_id in self.streams_by_id
        if not held and self.slots_used >= self.speeds.slots:
            return Reason.FULL
        self.streams_by_id[stream_id] = Stream(
            stream_id=stream_id,
            attempt_id=attempt_id,
            kv_bytes=kv_bytes,
            prompt_tokens=tokens,
            seed=seed,
        )
        return None

    @property
    def slots_used(self) -> int:
        return sum(not each.finished for each in self.streams_by_id.values())

    def start_decode(
        self, now: float, *, stream_id: str, max_tokens: int
    ) -> Stream | None:
        """Begin or go on with a stream that holds a slot."""
        stream = self.streams_by_id.get(stream_id)
        if stream is None:
            return None
        if not stream.decoding and not stream.finished:
            stream.max_tokens = max_tokens
            stream.decoding = True
            self._start_step(now)
        return stream

    def _start_step(self, now: float) -> None:
        if self._step_ends_at is not None:
            return
        ids = [
            stream_id
            for stream_id, stream in self.streams_by_id.items()
            if stream.decoding
        ]
        if not ids:
            return
        step_s = self.speeds.step_s + self.speeds.step_per_stream_s * len(ids)
        self._step_ids = tuple(ids)
        self._step_ends_at = now + step_s * self.faults.slow

    def cancel(self, now: float, *, stream_id: str, attempt_id: str) -> bool:
        """Free all that this attempt holds; return whether it held any."""
        if self.faults.drop_cancels:
            return False
        held = self._cancel_stream(stream_id, attempt_id)
        held |= self._cancel_kv(stream_id, attempt_id)
        return self._cancel_prefill(now, stream_id, attempt_id) or held

    def _cancel_stream(self, stream_id: str, attempt_id: str) -> bool:
        stream = self.streams_by_id.get(stream_id)
        if stream is None or stream.attempt_id != attempt_id:
            return False
        del self.streams_by_id[stream_id]
        return True

    def _cancel_kv(self, stream_id: str, attempt_id: str) -> bool:
        name = kv_name(stream_id, attempt_id)
        held = self.kv_by_name.pop(name, None)
        if held is None:
            return False
        self._waste(Waste.CANCELLED, held.job)
        return True

    def _cancel_prefill(
        self, now: float, stream_id: str, attempt_id: str
    ) -> bool:
        wanted = (stream_id, attempt_id)
        job = self._running
        if job and (job.stream_id, job.attempt_id) == wanted:
            rate = self.speeds.prefill_tokens_per_s
            done = int((now - job.started_at) * rate)
            self.prefill_tokens_done += done
            self.wasted_tokens_by_reason[Waste.CANCELLED] += done
            self._running = None
            self._start_next(now)
            return True
        kept = [
            each
            for each in self._queue
            if (each[2].stream_id, each[2].attempt_id) != wanted
        ]
        found = len(kept) < len(self._queue)
        heapq.heapify(kept)
        self._queue = kept
        return found

    def _waste(self, reason: Waste, job: PrefillJob) -> None:
        computed = job.tokens - job.cached_tokens
        self.wasted_tokens_by_reason[reason] += computed

    def next_at(self) -> float:
        """Return when something happens next; infinity if nothing will."""
        at = math.inf
        if self._running is not None:
            at = self._running.ends_at
        if self._step_ends_at is not None:
            at = min(at, self._step_ends_at)
        for held in self.kv_by_name.values():
            if not held.transfers:
                at = min(at, held.expires_at)
        return at

    def advance(self, now: float) -> list[Prefilled | Evicted | Stepped]:
        """Let everything up to ``now`` happen, in order of time."""
        happened: list[Prefilled | Evicted | Stepped] = []
        at = self.next_at()
        while at <= now and at != math.inf:
            happened.extend(self._happen(at))
            at = self.next_at()
        return happened

    def _happen(self, at: float) -> list[Prefilled | Evicted | Stepped]:
        if self._running is not None and self._running.ends_at <= at:
            return [self._finish_prefill(at)]
        if self._step_ends_at is not None and self._step_ends_at <= at:
            return [self._finish_step(at)]
        return self._evict(at)

    def _finish_prefill(self, at: float) -> Prefilled:
        job = self._running
        self._running = None
        self.prefill_tokens_done += job.tokens - job.cached_tokens
        self.cache.store(job.prefix)
        name = kv_name(job.stream_id, job.attempt_id)
        self.kv_by_name[name] = HeldKv(
            job=job, expires_at=at + self.speeds.kv_ttl_s
        )
        self._start_next(at)
        return Prefilled(
            at=at,
            stream_id=job.stream_id,
            attempt_id=job.attempt_id,
            kv=name,
            tokens=job.tokens,
            cached_tokens=job.cached_tokens,
            kv_bytes=self._kv_bytes(job),
        )

    def _kv_bytes(self, job: PrefillJob) -> int:
        return job.tokens * self.speeds.kv_bytes_per_token

    def _finish_step(self, at: float) -> Stepped:
        made = []
        finished = []
        for stream_id in self._step_ids:
            stream = self.streams_by_id.get(stream_id)
            if stream is None or not stream.decoding:
                continue
            stream.made += 1
            made.append(stream_id)
            if stream.made >= stream.max_tokens:
                # The slot and its KV cache are free; the text stays until
                # it is read, so that a broken connection can resume.
                stream.decoding = False
                stream.finished = True
                finished.append(stream_id)
        self._step_ends_at = None
        self._start_step(at)
        return Stepped(at=at, stream_ids=tuple(made), finished=tuple(finished))

    def _evict(self, at: float) -> list[Evicted]:
        gone = []
        for name, held in list(self.kv_by_name.items()):
            if held.transfers or at < held.expires_at:
                continue
            del self.kv_by_name[name]
            self._waste(Waste.EVICTED, held.job)
            gone.append(
                Evicted(
                    at=at,
                    stream_id=held.job.stream_id,
                    kv=name,
                    tokens=held.job.tokens - held.job.cached_tokens,
                )
            )
        return gone

    def load(self) -> Load:
        """Return the load as it is now."""
        waiting = [job for _, _, job in self._queue]
        queued = sum(job.tokens for job in waiting)
        if self._running is not None:
            queued += self._running.tokens - self._running.cached_tokens
        decoding = sum(s.decoding for s in self.streams_by_id.values())
        held_bytes = sum(
            self._kv_bytes(held.job) for held in self.kv_by_name.values()
        )
        return Load(
            running=decoding + (self._running is not None),
            waiting=len(waiting),
            queued_tokens=queued,
            slots_used=self.slots_used,
            kv_bytes=held_bytes + self._stream_bytes(),
        )

    def _stream_bytes(self) -> int:
        return sum(
            stream.kv_bytes
            for stream in self.streams_by_id.values()
            if not stream.finished
        )

    def held(self) -> list[tuple[str, str]]:
        """Return (stream id, attempt id) of all that holds memory."""
        ids = [
            (each.stream_id, each.attempt_id)
            for each in self.streams_by_id.values()
        ]
        ids.extend(
            (held.job.stream_id, held.job.attempt_id)
            for held in self.kv_by_name.values()
        )
        return ids

    def forget_stream(self, stream_id: str) -> None:
        """Drop a finished stream whose text has been read to the end."""
        self.streams_by_id.pop(stream_id, None)


def kv_name(stream_id: str, attempt_id: str) -> str:
    """Return the name under which a prefill's result is exported."""
    return f'{stream_id}.{attempt_id}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What one renewal carries.

    :param first: number of the first cache event; numbers that were
        skipped are events that were lost.
    """

    load: Load
    first: int
    events: tuple[CacheEvent, ...]


class Reporter:
    """Late reports of an engine, with gaps in the cache events.

    :param lag_s: how old the load is that a report tells, and how late
        cache events are published.
    :param gap_every: lose the cache events of every so many reports; zero
        loses none.
    """

    def __init__(
        self, *, model: EngineModel, lag_s: float, gap_every: int = 0
    ) -> None:
        self._model = model
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._samples: collections.deque = collections.deque()
        self._events: collections.deque = collections.deque()
        self._first = 0
        self._reports = 0

    def sample(self, now: float) -> None:
        """Remember the load and the new cache events."""
        self._samples.append((now, self._model.load()))
        events = self._model.cache.events
        self._events.extend((now, event) for event in events)
        events.clear()

    def report(self, now: float) -> Report:
        """Return what is known to the outside at ``now``."""
        self.sample(now)
        seen_at = now - self._lag_s
        while len(self._samples) > 1 and self._samples[1][0] <= seen_at:
            self._samples.popleft()
        events = []
        while self._events and self._events[0][0] <= seen_at:
            events.append(self._events.popleft()[1])
        first = self._first
        self._first += len(events)
        self._reports += 1
        if self._gap_every and self._reports % self._gap_every == 0:
            events = []
            first = self._first
        return Report(
            load=self._samples[0][1], first=first, events=tuple(events)
        )
