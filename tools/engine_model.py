"""A deterministic model of a model engine; the caller supplies the time.

The stand-in processes run it on the real clock, the measurements on a
virtual one. It covers continuous batching, serial prefill by priority, a
prefix cache of limited size, and KV caches that are transferred over links
of limited rate and evicted if they aren't imported in time.
"""

import collections
import dataclasses
import enum
import heapq
import math

import xxhash


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineSpeeds:
    """Speeds and limits of an engine; the defaults are a usual engine's.

    With the defaults, prefill of 1,000 tokens takes 0.1 s. A full batch of
    twenty streams at 30 ms a step decodes 66 tokens in that time.

    :param prefill_overhead_s: added to each prefill, in seconds.
    :param prefill_queue: limit of waiting prompts.
    :param slots: limit of streams that decode at the same time.
    :param step_s: seconds of a decode step with an empty batch.
    :param step_per_stream_s: seconds added for each stream of the batch.
    :param kv_ttl_s: seconds until a prefill's KV cache is evicted, unless
        its transfer has begun.
    :param cache_blocks: capacity of the prefix cache, in blocks.
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
    """Switches for injected faults; all are off by default.

    The last six are implemented by the stand-in process, not by the model.
    A token count of ``-1`` means never.

    :param slow: factor on the duration of prefills, transfers and steps.
    :param end_on: the process exits when it streams the answer to this
        prompt.
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
    """Why an engine refuses a request."""

    BUSY = 'busy'
    EVICTED = 'evicted'
    FULL = 'full'
    STALLED = 'stalled'
    FENCED = 'fenced'


class Waste(enum.StrEnum):
    """Why the result of a prefill was discarded."""

    EVICTED = 'evicted'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prefilled:
    """A prefill has finished; its KV cache can be imported."""

    at: float
    stream_id: str
    attempt_id: str
    kv: str
    tokens: int
    cached_tokens: int
    kv_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evicted:
    """A prefill's KV cache was evicted; it wasn't imported in time."""

    at: float
    stream_id: str
    kv: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stepped:
    """A decode step has finished.

    :param stream_ids: streams that got one more token.
    :param finished: those of them that got their last token.
    """

    at: float
    stream_ids: tuple[str, ...]
    finished: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transfer:
    """When an export occupies the link; ``ends_at`` is infinite if stalled."""

    starts_at: float
    ends_at: float
    kv_bytes: int
    tokens: int
    seed: str


@dataclasses.dataclass(kw_only=True, slots=True)
class PrefillJob:
    """A prompt that waits for prefill or is being prefilled."""

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
    """The KV cache of a finished prefill, in memory."""

    job: PrefillJob
    expires_at: float
    #: Transfers under way; the cache isn't evicted while there are any.
    transfers: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Stream:
    """A stream in a decode slot, or a finished one not read to its end."""

    stream_id: str
    attempt_id: str
    kv_bytes: int
    prompt_tokens: int
    seed: str
    max_tokens: int = 0
    #: Tokens decoded so far.
    tokens_made: int = 0
    decoding: bool = False
    finished: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """The load that an engine reports."""

    running: int
    waiting: int
    queued_tokens: int
    slots_used: int
    kv_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A block was added to the prefix cache or evicted from it.

    :param kind: ``stored`` or ``evicted``.
    """

    kind: str
    prefix: str


def seed_of(prompt: str) -> str:
    """Return a hash of the prompt, which is part of each answer token."""
    return xxhash.xxh32(prompt.encode()).hexdigest()


def token_text(seed: str, offset: int) -> str:
    """Return the text of one token of a stream."""
    return f'tok{offset}-{seed} '


def expected_answer(prompt: str, tokens: int) -> str:
    """Return the complete answer of a stand-in to a prompt."""
    seed = seed_of(prompt)
    return ''.join(token_text(seed, offset) for offset in range(tokens))


class PrefixCache:
    """An LRU cache of prefix blocks that records its cache events."""

    def __init__(self, *, blocks: int) -> None:
        self._limit = blocks
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: list[CacheEvent] = []

    def match(self, prefix: tuple[str, ...]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for block in prefix:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, prefix: tuple[str, ...]) -> None:
        """Cache the blocks; evict the least recently used above the limit."""
        for block in prefix:
            if block not in self._blocks:
                self.events.append(CacheEvent(kind='stored', prefix=block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            block, _ = self._blocks.popitem(last=False)
            self.events.append(CacheEvent(kind='evicted', prefix=block))


class EngineModel:
    """The state of one engine.

    Call :meth:`advance` with the current time before any other method.
    """

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
        self._sequence = 0

    def accept_fence(self, fence: int) -> bool:
        """Return whether a request with this fencing number may run.

        With ``checks_fence``, it may not after a higher number.
        """
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
        """Queue a prompt; lower ranks go first.

        :returns: why it is refused, or ``None``.
        """
        if len(self._queue) >= self.speeds.prefill_queue:
            return Reason.BUSY
        self._sequence += 1
        job = PrefillJob(
            stream_id=stream_id,
            attempt_id=attempt_id,
            tokens=tokens,
            prefix=prefix,
            seed=seed,
        )
        heapq.heappush(self._queue, (rank, self._sequence, job))
        self._start_next(now)
        return None

    def has_prefill(self, stream_id: str, attempt_id: str) -> bool:
        """Return whether this attempt's prefill is queued or running."""
        jobs = [job for _, _, job in self._queue]
        if self._running is not None:
            jobs.append(self._running)
        key = (stream_id, attempt_id)
        return any((job.stream_id, job.attempt_id) == key for job in jobs)

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
        """Reserve the link for a transfer, after those already reserved.

        :param not_before: when the receiver's link is free.
        """
        held = self.kv_by_name.get(kv)
        if held is None:
            return Reason.EVICTED
        starts_at = max(now, self._link_free_at, not_before)
        if starts_at >= held.expires_at:
            return Reason.EVICTED
        kv_bytes = self._kv_bytes(held.job)
        duration_s = kv_bytes / self.speeds.link_bytes_per_s * self.faults.slow
        ends_at = starts_at + duration_s
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
        """Free a KV cache that has been imported."""
        self.kv_by_name.pop(kv, None)

    def unpin_kv(self, now: float, kv: str) -> None:
        """End a failed transfer; the KV cache stays until it expires."""
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
        """Reserve a decode slot when an import begins.

        :returns: why it is refused, or ``None``.
        """
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
        """Start to decode a stream that holds a slot, unless started before.

        :returns: the stream; ``None`` if it isn't known.
        """
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
        """Release everything that this attempt holds.

        :returns: whether it held anything.
        """
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
        self._count_wasted(Waste.CANCELLED, held.job)
        return True

    def _cancel_prefill(
        self, now: float, stream_id: str, attempt_id: str
    ) -> bool:
        key = (stream_id, attempt_id)
        job = self._running
        if job and (job.stream_id, job.attempt_id) == key:
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
            if (each[2].stream_id, each[2].attempt_id) != key
        ]
        found = len(kept) < len(self._queue)
        heapq.heapify(kept)
        self._queue = kept
        return found

    def _count_wasted(self, reason: Waste, job: PrefillJob) -> None:
        computed = job.tokens - job.cached_tokens
        self.wasted_tokens_by_reason[reason] += computed

    def next_at(self) -> float:
        """Return the time of the next event; infinity if there is none."""
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
        """Process all events up to ``now`` in order of time; return them."""
        events: list[Prefilled | Evicted | Stepped] = []
        at = self.next_at()
        while at <= now and at != math.inf:
            events.extend(self._process_event(at))
            at = self.next_at()
        return events

    def _process_event(self, at: float) -> list[Prefilled | Evicted | Stepped]:
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
        stepped_ids = []
        finished = []
        for stream_id in self._step_ids:
            stream = self.streams_by_id.get(stream_id)
            if stream is None or not stream.decoding:
                continue
            stream.tokens_made += 1
            stepped_ids.append(stream_id)
            if stream.tokens_made >= stream.max_tokens:
                # This frees the slot and the KV cache. The text is kept
                # until it has been read, so that a client can resume
                # after a broken connection.
                stream.decoding = False
                stream.finished = True
                finished.append(stream_id)
        self._step_ends_at = None
        self._start_step(at)
        return Stepped(
            at=at, stream_ids=tuple(stepped_ids), finished=tuple(finished)
        )

    def _evict(self, at: float) -> list[Evicted]:
        evicted = []
        for name, held in list(self.kv_by_name.items()):
            if held.transfers or at < held.expires_at:
                continue
            del self.kv_by_name[name]
            self._count_wasted(Waste.EVICTED, held.job)
            evicted.append(
                Evicted(
                    at=at,
                    stream_id=held.job.stream_id,
                    kv=name,
                    tokens=held.job.tokens - held.job.cached_tokens,
                )
            )
        return evicted

    def load(self) -> Load:
        """Return the current load."""
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
        """Return (stream id, attempt id) of all streams and KV caches."""
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
        """Remove a stream that was read to its end or never imported."""
        self.streams_by_id.pop(stream_id, None)


def kv_name(stream_id: str, attempt_id: str) -> str:
    """Return the name under which a prefill's KV cache is exported."""
    return f'{stream_id}.{attempt_id}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """The contents of one renewal.

    :param first: sequence number of the first cache event; a gap to the
        previous report means that events were lost.
    """

    load: Load
    first: int
    events: tuple[CacheEvent, ...]


class Reporter:
    """Makes delayed reports of an engine, with gaps in the cache events.

    :param lag_s: delay of the reported load and cache events, in seconds.
    :param gap_every: drop the cache events of every n-th report; zero drops
        none.
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
        """Record the load and the new cache events."""
        self._samples.append((now, self._model.load()))
        events = self._model.cache.events
        self._events.extend((now, event) for event in events)
        events.clear()

    def report(self, now: float) -> Report:
        """Return the report at ``now``: the state ``lag_s`` ago."""
        self.sample(now)
        published_at = now - self._lag_s
        while len(self._samples) > 1 and self._samples[1][0] <= published_at:
            self._samples.popleft()
        events = []
        while self._events and self._events[0][0] <= published_at:
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
