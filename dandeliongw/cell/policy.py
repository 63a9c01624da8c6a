"""The load policy: what a cell's owner knows and how it decides.

Everything here is pure. The owner (:mod:`.cells`) keeps a :class:`CellView`
up to date and asks a :class:`Policy` where a piece of work goes, when, or
why not. Times are monotonic seconds of the owner's instance.
"""

import collections
from collections import abc
import enum
import math
import typing

import msgspec
import xxhash

from . import forecast
from ..verdict import RefusalReason
from .health import Batch
from .health import Health

#: Words of a prompt that share one prefix hash.
BLOCK_TOKENS = 64
#: Weight of a new measurement in a moving average.
SMOOTHING = 0.1
#: Blocks remembered for each backend server, about 100 bytes each.
MOST_BLOCKS = 4_096
#: Weight of a caller's guess of its answer's length against the mean of all
#: answers. By their measured errors, 0.47 and 0.61 of the length, the guess
#: gets 0.62; by logarithms, since it may be off by a factor either way.
GUESS_PART = 0.6
#: An answer that has passed its expected length goes on for this part of it.
OVERRUN_PART = 0.1
#: A prefill that hung tells nothing about the next one beyond this.
MOST_SLOWNESS = 10.0


def hash_blocks(
    prompt: str, block_tokens: int = BLOCK_TOKENS
) -> tuple[str, ...]:
    """Return a hash for each whole block of a prompt.

    Each hash covers the prompt up to the end of its block, so that equal
    hashes mean equal prefixes. A last block that isn't full has none.
    """
    words = prompt.split()
    hashes = []
    chain = xxhash.xxh64()
    for end in range(block_tokens, len(words) + 1, block_tokens):
        block = ' '.join(words[end - block_tokens : end])
        chain.update(f'{block} '.encode())
        hashes.append(chain.hexdigest())
    return tuple(hashes)


#: Seconds for which a forecast that an engine has no room is kept, unless work
#: ends there: a tick, in which each of its streams grows by some ten tokens.
FORECAST_S = 0.05


class Stage(enum.StrEnum):
    """What a booking has to cover."""

    #: A prefill engine and a decode engine.
    PAIR = 'pair'
    #: Another decode engine for a prefill that is done.
    DECODE = 'decode'
    #: A plain service.
    PLAIN = 'plain'


class Role(enum.StrEnum):
    """What a backend server does."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


class Weights(msgspec.Struct, frozen=True, kw_only=True):
    """How much each of the two measures counts for this service."""

    goodput: float = 1.0
    wasted_prefill: float = 1.0


class CellTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What the document says about the service of a cell.

    :param first_token_s: target from arrival to first token.
    :param token_gap_s: target between tokens.
    :param timeout_s: longest life of a request.
    :param prefill_tokens_per_s: of one prefill engine.
    :param decode_tokens_per_s: of one stream in a full batch, until the
        engines' own pace is learned.
    :param tokens_per_piece: that one piece of an answer brings.
    :param kv_bytes_per_token: size of the KV cache that moves.
    :param link_bytes_per_s: of the link out of one prefill engine.
    :param slots_by_role: used where an announcement says none.
    :param kv_tokens_by_role: what the KV cache of one engine holds; a role
        that is missing is bounded by its slots alone.
    :param max_wait_s_by_priority: how much longer than ``first_token_s`` a
        request may wait for its first token.
    :param rank_by_priority: lower goes first.
    :param share_by_account: weight of each client account; one if absent.
    """

    first_token_s: float
    token_gap_s: float
    timeout_s: float
    weights: Weights = Weights()
    prefill_tokens_per_s: float = 10_000.0
    decode_tokens_per_s: float = 30.0
    tokens_per_piece: int = 1
    kv_bytes_per_token: float = 100_000.0
    link_bytes_per_s: float = 10e9
    slots_by_role: dict[str, int] = msgspec.field(default_factory=dict)
    kv_tokens_by_role: dict[str, int] = msgspec.field(default_factory=dict)
    max_wait_s_by_priority: dict[str, float] = msgspec.field(
        default_factory=dict
    )
    rank_by_priority: dict[str, int] = msgspec.field(default_factory=dict)
    share_by_account: dict[str, float] = msgspec.field(default_factory=dict)


class CellBackend(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server that may get work now."""

    backend_id: str
    incarnation: int
    role: Role
    url: str
    slots: int
    data_centre: str = ''


class Booking(msgspec.Struct, kw_only=True, eq=False):
    """One reservation: a lease that the entry renews."""

    request_id: str
    attempt_id: str
    entry: str
    account: str
    priority: str
    stage: Stage
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[str, ...]
    exclude: tuple[str, ...]
    arrived_at: float
    deadline_at: float
    renewed_at: float
    prefill_id: str = ''
    decode_id: str = ''
    plain_id: str = ''
    #: When the booked work starts; ``None`` while it waits in the queue.
    start_at: float | None = None
    #: When the queue is expected to let it start.
    expected_at: float = 0.0
    #: Until when it may wait, by the terms it was admitted under.
    latest_start_at: float = math.inf
    prefill_done: bool = False
    #: The caller's guess of the answer's length; 0 for none.
    expected_tokens: int = 0
    #: A decode engine may read the prompt by itself.
    may_read_there: bool = False
    #: The caller was turned away before, and won't come again.
    resent: bool = False
    #: Predictions, made anew as facts come in; zero where none is made.
    prefill_work_s: float = 0.0
    prefill_ends_at: float = 0.0
    transfer_ends_at: float = 0.0
    decode_ends_at: float = 0.0

    @property
    def key(self) -> tuple[str, str]:
        return self.request_id, self.attempt_id


class NoRoom(msgspec.Struct, frozen=True, kw_only=True):
    """A forecast that an engine's memory has no room, kept for a moment.

    :param until: when it has to be made again.
    :param tokens: of the work that it was made for, its answer included.
    :param pace: of streams and the length of answers, as known then.
    """

    until: float
    tokens: int
    pace: tuple[float, float]

    def covers(
        self, now: float, tokens: int, pace: tuple[float, float]
    ) -> bool:
        """Return whether it holds for other work, too."""
        return now < self.until and tokens >= self.tokens and pace == self.pace


class BackendState(msgspec.Struct, kw_only=True, eq=False):
    """What the owner knows of one backend server."""

    backend: CellBackend
    #: Live bookings here, by (request id, attempt id).
    bookings_by_key: dict[tuple[str, str], Booking] = msgspec.field(
        default_factory=dict
    )
    reported_running: int = 0
    reported_waiting: int = 0
    reported_queued_tokens: int = 0
    reported_at: float | None = None
    #: When it left; ``None`` while it may get work.
    left_at: float | None = None
    #: Most slots that the owner counted since the report before the last,
    #: and since the last.
    peak_used_before: int = 0
    peak_used: int = 0
    #: Slots in use that the owner knows nothing of.
    foreign: int = 0
    #: Streams that were cancelled; each holds its slot until confirmed.
    cancelling: int = 0
    #: Measured prefill time over predicted; above one is slow.
    slowness: float = 1.0
    last_prefill_at: float = 0.0
    #: When the transfers booked on this link will be over.
    link_free_at: float = 0.0
    #: Until when it is taken for full, as it refused work it had room for by
    #: our own count.
    full_until: float = -math.inf
    #: The last forecast that its memory has no room; see
    #: :meth:`forget_forecast`.
    no_room: 'NoRoom | None' = None
    batch: Batch = msgspec.field(default_factory=Batch)
    health: Health = msgspec.field(default_factory=lambda: Health())
    #: Blocks that its prefix cache may hold, the last used at the end. A
    #: guess: cache events come late and with gaps, and blocks count from
    #: the moment a prompt is sent, long before an event tells.
    blocks: collections.OrderedDict[str, None] = msgspec.field(
        default_factory=collections.OrderedDict
    )

    @property
    def slots_open(self) -> int:
        """Slots that may be used without slowing the batch too much."""
        if self.batch.cap is None:
            return self.backend.slots
        return min(self.backend.slots, self.batch.cap)

    @property
    def slots_used(self) -> int:
        """Slots that are booked, used or not yet given back."""
        return len(self.bookings_by_key) + self.cancelling + self.foreign

    def count_foreign(self, reported_used: int) -> None:
        """Take in how many slots a report says are used.

        A report is old, and the owner's own count newer; but a new owner
        doesn't know yet what runs. What is reported above the most that the
        owner counted lately is not its own: without this a new owner would
        fill full engines, and one would notice refused imports after each
        change of owner.
        """
        own = max(self.peak_used_before, self.peak_used)
        self.foreign = max(0, reported_used - own)
        self.peak_used_before = self.peak_used
        self.peak_used = len(self.bookings_by_key) + self.cancelling

    def forget_forecast(self) -> None:
        """Note that work has ended here, so that there may be room."""
        self.no_room = None

    def cached_tokens(self, prefix: abc.Sequence[str]) -> int:
        """Return how many leading tokens are probably cached here."""
        count = 0
        for block in prefix:
            if block not in self.blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def add_blocks(self, prefix: abc.Iterable[str]) -> None:
        """Take in that these blocks are, or soon will be, cached here."""
        for block in prefix:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > MOST_BLOCKS:
            self.blocks.popitem(last=False)

    def drop_blocks(self, prefix: abc.Iterable[str]) -> None:
        """Take in that these blocks are no longer cached here."""
        for block in prefix:
            self.blocks.pop(block, None)

    def prefill_free_at(self, now: float) -> float:
        """Return when the prompts that were sent here will be done."""
        ends = [
            booking.prefill_ends_at
            for booking in self.bookings_by_key.values()
            if not booking.prefill_done
        ]
        return max(ends, default=now)


class CellView(msgspec.Struct, kw_only=True):
    """All that a policy may look at."""

    terms: CellTerms
    backends_by_id: dict[str, BackendState] = msgspec.field(
        default_factory=dict
    )

    #: Admitted work that has not been placed, in order of arrival.
    queue: list[Booking] = msgspec.field(default_factory=list)
    #: Measured length of answers over the longest they may be.
    answer_ratio: float = 1.0
    #: Measured tokens a second of one stream; ``None`` until one has ended.
    measured_tokens_per_s: float | None = None
    #: Answers that were measured.
    answers_seen: int = 0
    #: Engines that change their roles, and take no work meanwhile.
    switching_ids: frozenset[str] = frozenset()

    def has_kv_room(
        self, now: float, state: BackendState, booking: Booking
    ) -> bool:
        """Whether an engine's KV cache has room for a booking.

        An engine whose memory is full refuses with most of its slots free.
        Counting slots alone, one would see prompts read whose decode engine
        turns them away, and the prefill thrown away each time. Counting the
        longest answers, a third of the memory would stay empty.
        """
        if now < state.full_until:
            return False
        # Work that is larger than the cache is the engine's to refuse.
        if not state.bookings_by_key:
            return True
        tokens = booking.prompt_tokens + booking.max_tokens
        pace = round(self.stream_tokens_per_s, -1), round(self.answer_ratio, 1)
        held = state.no_room
        if held is not None and held.covers(now, tokens, pace):
            return False
        least, most = self._kv_bounds(now, state, booking)
        if least > forecast.FILL_PART:
            return False
        if most <= forecast.FILL_PART:
            return True
        if self.kv_part(now, state, booking) <= forecast.FILL_PART:
            return True
        state.no_room = NoRoom(
            until=now + FORECAST_S, tokens=tokens, pace=pace
        )
        return False

    def _kv_bounds(
        self, now: float, state: BackendState, booking: Booking
    ) -> tuple[float, float]:
        """Return between which values the forecast lies.

        Prompts are held all the while, and no answer gets longer than it may,
        so the forecast itself is seldom needed; it takes many times as long.
        With it for each engine and event, the owner of 59 engines was busy
        for 0.74 s of each second in a burst of 115 requests a second, and
        answered entries too late; with the bounds, and forecasts without room
        kept for a tick, for 0.15 s.
        """
        capacity = self.terms.kv_tokens_by_role.get(state.backend.role)
        if capacity is None:
            return 0.0, 0.0
        prompts = booking.prompt_tokens
        answers = booking.max_tokens
        waits_s = 0.0
        for each in state.bookings_by_key.values():
            prompts += each.prompt_tokens
            answers += each.max_tokens
            if each.transfer_ends_at > now:
                # Forecast to grow from now on, though it hasn't begun.
                waits_s += each.transfer_ends_at - now
        grown = answers + waits_s * self.stream_tokens_per_s
        return prompts / capacity, (prompts + grown) / capacity

    def kv_part(
        self, now: float, state: BackendState, booking: Booking
    ) -> float:
        """Return how full an engine's KV cache will get with a booking."""
        capacity = self.terms.kv_tokens_by_role.get(state.backend.role)
        if capacity is None:
            return 0.0
        held = state.bookings_by_key.values()
        rate = self.stream_tokens_per_s
        growths = [self._growth(now, each, rate) for each in (*held, booking)]
        return forecast.peak_tokens(growths, rate) / capacity

    def _growth(
        self, now: float, booking: Booking, rate: float
    ) -> forecast.Growth:
        answer = self.answer_tokens(booking)
        began_at = booking.transfer_ends_at or now
        done = min(max(0.0, now - began_at) * rate, booking.max_tokens)
        left = max(answer - done, OVERRUN_PART * answer)
        left = min(left, booking.max_tokens - done)
        return forecast.Growth(
            held=booking.prompt_tokens + done,
            ends_in_s=max(0.0, began_at - now) + left / rate,
        )

    @property
    def stream_tokens_per_s(self) -> float:
        """Tokens a second of one stream, as measured or as nominal."""
        return self.measured_tokens_per_s or self.terms.decode_tokens_per_s

    def answer_tokens(self, booking: Booking) -> float:
        """Return how long an answer will probably be."""
        typical = booking.max_tokens * self.answer_ratio
        if not booking.expected_tokens:
            return typical
        guess = min(booking.expected_tokens, booking.max_tokens)
        return typical ** (1.0 - GUESS_PART) * guess**GUESS_PART

    def slots_for(self, state: BackendState, booking: Booking) -> int:
        """Return how many bookings like this one an engine has room for."""
        capacity = self.terms.kv_tokens_by_role.get(state.backend.role)
        if capacity is None:
            return state.slots_open
        wanted = max(
            1.0, booking.prompt_tokens + self.answer_tokens(booking) / 2
        )
        return min(state.slots_open, max(1, int(capacity / wanted)))

    def candidates(
        self, role: Role, exclude: abc.Container[str]
    ) -> list[BackendState]:
        """Return the backend servers of a role, in a stable order."""
        return [
            state
            for backend_id, state in sorted(self.backends_by_id.items())
            if state.backend.role is role
            and backend_id not in exclude
            and backend_id not in self.switching_ids
        ]

    def prefill_work_s(self, state: BackendState, booking: Booking) -> float:
        """Return how long an engine takes to compute a prompt."""
        tokens = booking.prompt_tokens - state.cached_tokens(booking.prefix)
        rate = self.terms.prefill_tokens_per_s
        return max(0, tokens) / rate * state.slowness

    def transfer_s(self, booking: Booking) -> float:
        """Return how long the KV cache of a prompt takes to move."""
        kv_bytes = booking.prompt_tokens * self.terms.kv_bytes_per_token
        return kv_bytes / self.terms.link_bytes_per_s

    def decode_s(self, booking: Booking) -> float:
        """Return how long an answer is expected to take."""
        return self.answer_tokens(booking) / self.stream_tokens_per_s

    def plan(self, booking: Booking) -> None:
        """Predict the times of a booking that has just been placed."""
        state = self.backends_by_id.get(booking.prefill_id)
        ends_at = booking.start_at
        if state is not None and not booking.prefill_done:
            starts_at = max(ends_at, state.prefill_free_at(ends_at))
            booking.prefill_work_s = self.prefill_work_s(state, booking)
            state.add_blocks(booking.prefix)
            ends_at = starts_at + booking.prefill_work_s
            booking.prefill_ends_at = ends_at
        if booking.stage is not Stage.PLAIN:
            self._plan_decode(booking, ends_at)

    def _plan_decode(self, booking: Booking, ends_at: float) -> None:
        ends = [
            self.backends_by_id[each]
            for each in (booking.prefill_id, booking.decode_id)
            if each in self.backends_by_id
        ]
        starts_at = max([ends_at, *(state.link_free_at for state in ends)])
        booking.transfer_ends_at = starts_at + self.transfer_s(booking)
        for state in ends:
            state.link_free_at = max(
                state.link_free_at, booking.transfer_ends_at
            )
        decode_s = self.decode_s(booking)
        booking.decode_ends_at = booking.transfer_ends_at + decode_s

    def learn_prefill(
        self, now: float, state: BackendState, booking: Booking, computed: int
    ) -> None:
        """Take in that a prefill is done; ``state`` still counts it."""
        began_at = max(booking.start_at or now, state.last_prefill_at)
        expected_s = computed / self.terms.prefill_tokens_per_s
        if expected_s > 0.0 and now > began_at:
            measured = min((now - began_at) / expected_s, MOST_SLOWNESS)
            state.slowness += SMOOTHING * (measured - state.slowness)
        state.last_prefill_at = now
        at = now
        for each in state.bookings_by_key.values():
            if not each.prefill_done and each is not booking:
                at = max(at, each.start_at or at) + each.prefill_work_s
                each.prefill_ends_at = at
        # The links were booked with the pair; only a late prefill needs
        # them for longer.
        transfer_ends_at = now + self.transfer_s(booking)
        if transfer_ends_at > booking.transfer_ends_at:
            self._plan_decode(booking, now)

    def learn_answer(
        self, now: float, booking: Booking, *, pieces: int, piece_gap_s: float
    ) -> None:
        """Take in that an answer is complete.

        The document's rate is nominal. With one that was twice the engines'
        own, an answer seemed to hold half as much again as it did, work
        waited for seconds beside engines whose memory was half empty, and
        engines were moved away from the pool that was short of them.

        :param pieces: of the answer; zero if they were not counted.
        :param piece_gap_s: between its pieces; zero if not measured.
        """
        self.answers_seen += 1
        part = max(SMOOTHING, 1.0 / self.answers_seen)
        if piece_gap_s > 0.0:
            measured = self.terms.tokens_per_piece / piece_gap_s
            known = self.stream_tokens_per_s
            self.measured_tokens_per_s = known + part * (measured - known)
        if pieces:
            tokens = float(pieces * self.terms.tokens_per_piece)
        else:
            took_s = max(0.0, now - booking.transfer_ends_at)
            tokens = took_s * self.stream_tokens_per_s
        if booking.max_tokens and tokens > 0.0:
            ratio = min(1.0, tokens / booking.max_tokens)
            self.answer_ratio += part * (ratio - self.answer_ratio)


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """Start the work on these backend servers in ``start_in_s``."""

    prefill_id: str = ''
    decode_id: str = ''
    plain_id: str = ''
    start_in_s: float = 0.0


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """Keep the work in the queue; it starts in about ``expected_s``."""

    expected_s: float


class Decline(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse at once."""

    reason: RefusalReason
    message: str
    retry_after_s: float


Decision = Place | Wait | Decline


class Policy(typing.Protocol):
    """Decides for one cell; may keep state of its own."""

    def decide(
        self, *, now: float, view: CellView, booking: Booking
    ) -> Decision:
        """Say where a new piece of work goes."""
        ...

    def dispatch(
        self, *, now: float, view: CellView
    ) -> list[tuple[Booking, Decision]]:
        """Say which of ``view.queue`` start now, or are refused after all.

        The caller applies the decisions and asks again until there are
        none, so an implementation may return one at a time.
        """
        ...


#: Retry-After where nothing better is known.
DEFAULT_RETRY_AFTER_S = 1.0


class RoundRobin:
    """Takes the backend servers of a role in turn; never queues."""

    def __init__(self) -> None:
        self._turn_by_role: dict[Role, int] = {}

    def decide(
        self, *, now: float, view: CellView, booking: Booking
    ) -> Decision:
        roles = ROLES_BY_STAGE[booking.stage]
        ids_by_role = {}
        for role in roles:
            candidates = view.candidates(role, booking.exclude)
            if not candidates:
                return no_backend(role)
            turn = self._turn_by_role.get(role, 0)
            self._turn_by_role[role] = turn + 1
            chosen = candidates[turn % len(candidates)]
            ids_by_role[role] = chosen.backend.backend_id
        return place(ids_by_role, start_in_s=0.0)

    def dispatch(
        self, *, now: float, view: CellView
    ) -> list[tuple[Booking, Decision]]:
        """Return nothing: no work is ever queued."""
        return []


ROLES_BY_STAGE = {
    Stage.PAIR: (Role.PREFILL, Role.DECODE),
    Stage.DECODE: (Role.DECODE,),
    Stage.PLAIN: (Role.PLAIN,),
}


def place(ids_by_role: dict[Role, str], *, start_in_s: float) -> Place:
    """Return a :class:`Place` from chosen ids."""
    return Place(
        prefill_id=ids_by_role.get(Role.PREFILL, ''),
        decode_id=ids_by_role.get(Role.DECODE, ''),
        plain_id=ids_by_role.get(Role.PLAIN, ''),
        start_in_s=start_in_s,
    )


def no_backend(role: Role) -> Decline:
    """Return the refusal for a role that no backend server fills."""
    return Decline(
        reason=RefusalReason.NO_BACKEND,
        message=f'no {role.value} backend server is ready',
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )
