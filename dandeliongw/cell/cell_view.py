"""The state of a cell that policies read, and predictions made from it.

There is no I/O here: the owner (:mod:`.cells`) keeps a :class:`CellView`
up to date. Times are monotonic seconds of the owner's instance.
"""

from collections import abc
import math
import typing

import msgspec

from . import forecast
from .backend_state import BackendState
from .backend_state import FullForecast
from .call_times import CallTimes
from .cell_types import Booking
from .cell_types import CellTerms
from .cell_types import Role
from .cell_types import Stage
from .rate_limits import RateLimits
from .waiting import WaitingQueue

#: Weight of a new measurement in a moving average.
SMOOTHING = 0.1


#: Weight of the client's hint of its answer's length against the mean of all
#: answers. Their errors are 0.47 and 0.61 of the length, which gives the hint
#: 0.62. Logarithms are weighted, as either may be off by a factor in both
#: directions.
HINT_WEIGHT = 0.6


#: An answer that has passed its expected length is expected to go on for this
#: part of it.
OVERRUN_FRACTION = 0.1


#: Seconds for which a forecast that an engine has no room is cached, unless
#: work ends there: one tick, in which each stream grows by some ten tokens.
FORECAST_TTL_S = 0.05


class Candidates(msgspec.Struct, frozen=True, kw_only=True):
    """The backend servers of each role, sorted by id.

    They are kept until the cell's table of backend servers is replaced or
    grows, or others change their role. Sorting them for each query took a
    tenth of an owner's decisions.
    """

    backends_by_id: dict[str, BackendState]
    count: int
    switching_ids: frozenset[str]
    by_role: dict[Role, list[BackendState]]

    @classmethod
    def make(
        cls,
        backends_by_id: dict[str, BackendState],
        switching_ids: frozenset[str],
    ) -> 'Candidates':
        by_role: dict[Role, list[BackendState]] = {role: [] for role in Role}
        for backend_id, state in sorted(backends_by_id.items()):
            if backend_id not in switching_ids:
                by_role[state.backend.role].append(state)
        return cls(
            backends_by_id=backends_by_id,
            count=len(backends_by_id),
            switching_ids=switching_ids,
            by_role=by_role,
        )

    def covers(
        self,
        backends_by_id: dict[str, BackendState],
        switching_ids: frozenset[str],
    ) -> bool:
        """Return whether these are still the same."""
        return (
            self.backends_by_id is backends_by_id
            and self.count == len(backends_by_id)
            and self.switching_ids is switching_ids
        )


class CellView(msgspec.Struct, kw_only=True):
    """The state of a cell that policies read."""

    terms: CellTerms
    backends_by_id: dict[str, BackendState] = msgspec.field(
        default_factory=dict
    )
    #: How many requests backend servers accept.
    rate_limits: RateLimits = msgspec.field(default_factory=RateLimits)
    #: Admitted work that has not been placed, in order of arrival.
    queue: WaitingQueue = msgspec.field(default_factory=WaitingQueue)
    #: Moving average of an answer's length divided by its ``max_tokens``.
    answer_ratio: float = 1.0
    #: Measured tokens a second of one stream; ``None`` until one has ended.
    measured_tokens_per_s: float | None = None
    #: Number of complete answers.
    answer_count: int = 0
    #: How long calls of a plain service take.
    call_times: CallTimes = msgspec.field(default_factory=CallTimes)
    #: Engines that are changing their role; they get no work meanwhile.
    switching_ids: frozenset[str] = frozenset()
    _candidates: Candidates | None = None

    def has_kv_room(
        self, now: float, state: BackendState, booking: Booking
    ) -> bool:
        """Return whether an engine's KV cache has room for a booking."""
        return bool(self.with_kv_room(now, [state], booking))

    def with_kv_room(
        self, now: float, states: list[BackendState], booking: Booking
    ) -> list[BackendState]:
        """Return the engines whose KV cache has room for a booking.

        An engine whose memory is full refuses work even with most of its
        slots free. If only slots were counted, decode engines would refuse
        KV caches after their prefill, which would be wasted. If answers were
        counted at ``max_tokens``, a third of the memory would stay unused.
        """
        tokens = booking.prompt_tokens + booking.max_tokens
        pace = round(self.stream_tokens_per_s, -1), round(self.answer_ratio, 1)
        found = []
        # This loop runs over all engines for most events.
        for state in states:
            if now < state.full_until:
                continue
            # An idle engine gets work of any size: if it is larger than the
            # KV cache, the engine refuses it.
            if state.bookings_by_key:
                cached = state.full_forecast
                if cached is not None and cached.covers(now, tokens, pace):
                    continue
                if not self._forecast_room(now, state, booking, pace):
                    continue
            found.append(state)
        return found

    def _forecast_room(
        self,
        now: float,
        state: BackendState,
        booking: Booking,
        pace: tuple[float, float],
    ) -> bool:
        least, most = self._kv_bounds(now, state, booking)
        if least > forecast.MAX_FILL:
            return False
        if most <= forecast.MAX_FILL:
            return True
        if self.kv_fraction(now, state, booking) <= forecast.MAX_FILL:
            return True
        state.full_forecast = FullForecast(
            until=now + FORECAST_TTL_S,
            tokens=booking.prompt_tokens + booking.max_tokens,
            pace=pace,
        )
        return False

    def _kv_bounds(
        self, now: float, state: BackendState, booking: Booking
    ) -> tuple[float, float]:
        """Return a lower and an upper bound of :meth:`kv_fraction`.

        The prompts alone are the lower bound; the upper one adds every answer
        at its ``max_tokens``. They are mostly decisive, and the forecast takes
        many times as long. With a forecast for each engine and event, the
        owner of 59 engines was busy for 0.74 s of each second in a burst of
        115 requests a second and answered entries too late. With the bounds,
        and forecasts without room cached for a tick, it is busy for 0.15 s.
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
            starts_at = each.transfer_ends_at
            if starts_at > now:
                # The forecast counts growth from now on, although the answer
                # starts only after the transfer.
                waits_s += starts_at - now
        grown = answers + waits_s * self.stream_tokens_per_s
        return prompts / capacity, (prompts + grown) / capacity

    def kv_fraction(
        self, now: float, state: BackendState, booking: Booking
    ) -> float:
        """Return the forecast peak use of a KV cache, with one more booking.

        :returns: as a fraction of its capacity; 0 if that is unknown.
        """
        capacity = self.terms.kv_tokens_by_role.get(state.backend.role)
        if capacity is None:
            return 0.0
        rate = self.stream_tokens_per_s
        ratio = self.answer_ratio
        growths = []
        # Written out, with comparisons instead of min() and max(): this loop
        # takes most of the time of a decision.
        for each in (*state.bookings_by_key.values(), booking):
            if each.expected_answer_ratio == ratio:
                answer = each.expected_answer_tokens
            else:
                answer = self.answer_tokens(each)
            most = each.max_tokens
            done = waits_s = 0.0
            if each.transfer_ends_at > now:
                waits_s = each.transfer_ends_at - now
            elif each.transfer_ends_at:
                done = (now - each.transfer_ends_at) * rate
                if done > most:
                    done = most
            left = answer - done
            if left < OVERRUN_FRACTION * answer:
                left = OVERRUN_FRACTION * answer
            if left > most - done:
                left = most - done
            growths.append((waits_s + left / rate, each.prompt_tokens + done))
        return forecast.peak_tokens(growths, rate) / capacity

    @property
    def stream_tokens_per_s(self) -> float:
        """Tokens a second of one stream: measured, else from the document."""
        return self.measured_tokens_per_s or self.terms.decode_tokens_per_s

    @property
    def pace(self) -> tuple[typing.Any, ...]:
        """What expected times of answers and prefills depend on."""
        return self.answer_ratio, self.measured_tokens_per_s, self.terms

    def answer_tokens(self, booking: Booking) -> float:
        """Return the expected length of an answer, in tokens."""
        # Kept for each booking until another answer changes the ratio.
        ratio = self.answer_ratio
        if booking.expected_answer_ratio == ratio:
            return booking.expected_answer_tokens
        tokens = self._answer_tokens(booking)
        booking.expected_answer_ratio = ratio
        booking.expected_answer_tokens = tokens
        return tokens

    def _answer_tokens(self, booking: Booking) -> float:
        typical = booking.max_tokens * self.answer_ratio
        if not booking.expected_tokens:
            return typical
        hint = min(booking.expected_tokens, booking.max_tokens)
        return typical ** (1.0 - HINT_WEIGHT) * hint**HINT_WEIGHT

    def can_hold(self, role: Role, booking: Booking) -> bool:
        """Return whether the memory of an engine can hold a prompt."""
        return booking.prompt_tokens <= self._kv_tokens(role)

    def longest_prompt(self, booking: Booking) -> float:
        """Return how many tokens of a prompt the engines that it needs hold.

        :returns: infinity if that is unknown, or it needs none.
        """
        if booking.stage is Stage.PLAIN:
            return math.inf
        tokens = self._kv_tokens(Role.DECODE)
        if booking.stage is Stage.PAIR and not booking.may_read_there:
            tokens = min(tokens, self._kv_tokens(Role.PREFILL))
        return tokens

    def _kv_tokens(self, role: Role) -> float:
        """Return the memory of a whole engine; infinity if it is unknown."""
        terms = self.terms
        tokens_by_role = terms.whole_kv_tokens_by_role
        if tokens_by_role is None:
            tokens_by_role = terms.kv_tokens_by_role
        return tokens_by_role.get(role, math.inf)

    def most_in_memory(self, role: Role, booking: Booking) -> float:
        """Return how many bookings of this size fit in an engine's memory.

        :returns: infinity if its capacity is unknown.
        """
        capacity = self.terms.kv_tokens_by_role.get(role)
        if capacity is None:
            return math.inf
        tokens_each = max(
            1.0, booking.prompt_tokens + self.answer_tokens(booking) / 2
        )
        return max(1, int(capacity / tokens_each))

    def candidates(
        self, role: Role, exclude: abc.Container[str]
    ) -> list[BackendState]:
        """Return the backend servers of a role, sorted by id.

        Excluded ones and those that are changing their role are left out.
        """
        known = self._candidates
        if known is None or not known.covers(
            self.backends_by_id, self.switching_ids
        ):
            known = self._candidates = Candidates.make(
                self.backends_by_id, self.switching_ids
            )
        states = known.by_role[role]
        if not exclude:
            return states.copy()
        return [
            state
            for state in states
            if state.backend.backend_id not in exclude
        ]

    def prefill_ready_at(self, now: float, state: BackendState) -> float:
        """Return when an engine can begin another prefill."""
        allowed_at = self.rate_limits.next_at(now, state.backend)
        return max(state.prefill_free_at(now), allowed_at)

    def prefill_work_s(self, state: BackendState, booking: Booking) -> float:
        """Return how long an engine takes for a prefill, in seconds."""
        tokens = booking.prompt_tokens - state.cached_tokens(booking.prefix)
        rate = self.terms.prefill_tokens_per_s
        return max(0, tokens) / rate * state.slowness

    def transfer_s(self, booking: Booking) -> float:
        """Return how long the transfer of a KV cache takes, in seconds."""
        kv_bytes = booking.prompt_tokens * self.terms.kv_bytes_per_token
        return kv_bytes / self.terms.link_bytes_per_s

    def decode_s(self, booking: Booking) -> float:
        """Return how long an answer is expected to take, in seconds."""
        return self.answer_tokens(booking) / self.stream_tokens_per_s

    def record_answer(
        self, now: float, booking: Booking, *, pieces: int, piece_gap_s: float
    ) -> None:
        """Update the mean rate and length of answers from a complete one.

        The document's rate is nominal. Where it was twice the real one,
        answers were taken to be half as long again as they were: work waited
        for seconds although engines had half of their memory free, and
        engines were moved away from the pool that lacked them.

        :param pieces: of the answer; zero if they were not counted.
        :param piece_gap_s: mean gap between pieces, in seconds; zero if not
            measured.
        """
        self.answer_count += 1
        if booking.stage is Stage.PLAIN and booking.start_at is not None:
            self.call_times.add(booking.account, now - booking.start_at)
        part = max(SMOOTHING, 1.0 / self.answer_count)
        if piece_gap_s > 0.0:
            measured = self.terms.tokens_per_piece / piece_gap_s
            previous = self.stream_tokens_per_s
            self.measured_tokens_per_s = previous + part * (
                measured - previous
            )
        if pieces:
            tokens = float(pieces * self.terms.tokens_per_piece)
        else:
            took_s = max(0.0, now - booking.transfer_ends_at)
            tokens = took_s * self.stream_tokens_per_s
        if booking.max_tokens and tokens > 0.0:
            ratio = min(1.0, tokens / booking.max_tokens)
            self.answer_ratio += part * (ratio - self.answer_ratio)

    def record_gap(
        self, now: float, booking: Booking, token_gap_s: float
    ) -> None:
        """Adjust the batch of an engine to the token gap of an answer.

        :param booking: is no longer on its engine.
        :param token_gap_s: mean gap; zero if not measured.
        """
        state = self.backends_by_id.get(booking.decode_id)
        if state is not None and token_gap_s > 0.0:
            # One more: this booking was in the batch, too.
            streams = len(state.bookings_by_key) + 1
            target_s = self.terms.token_gap_s
            state.batch.adjust(now, token_gap_s, target_s, streams)
