"""What backend servers accept for now: rate limits, and times of rest.

Rate limits are token buckets.

A backend server in need states in its answers how many requests per second it
accepts from all instances together. The limit holds until an answer states
none. The owner of a cell books every request of it, so one bucket per backend
server at the owner keeps the limit over all instances. An entry that places
work without the owner has buckets of its own, each with a part of the limit.

A backend server that turns a request away may ask for rest. It then gets
nothing until that has passed, whatever else its answers say.
"""

from collections import abc

import msgspec

from .cell_types import CellBackend

#: Seconds of requests that an unused limit saves up.
BURST_S = 1.0
#: Lowest rate at which requests are sent, in requests per second. One that
#: gets no requests could never tell that its limit has ended.
MIN_PER_S = 0.1
#: Backend servers whose limit is kept; the one not heard of for longest is
#: dropped.
MAX_KNOWN = 4_096
#: Tolerance of sums of fractions of a request.
_ROUNDING = 1e-9


class RateLimit(msgspec.Struct, frozen=True, kw_only=True):
    """The rate limit of one start of a backend server.

    :param per_s: requests per second, from all instances together.
    """

    backend_id: str
    incarnation: int
    per_s: float


class _Rest(msgspec.Struct, frozen=True, kw_only=True):
    """The rest of one start of a backend server."""

    incarnation: int
    until: float


class _Bucket(msgspec.Struct, kw_only=True):
    """The requests that may be sent to a backend server with a limit.

    :param heard_at: when the limit was last stated.
    :param tokens: requests that may be sent, as of ``filled_at``.
    """

    limit: RateLimit
    heard_at: float
    tokens: float
    filled_at: float

    def fill(self, now: float, part: float) -> None:
        """Add what has become available since ``filled_at``."""
        rate = self.rate(part)
        gained = max(0.0, now - self.filled_at) * rate
        most = max(1.0, rate * BURST_S)
        self.tokens = min(most, self.tokens + gained)
        self.filled_at = now

    def rate(self, part: float) -> float:
        return max(MIN_PER_S, self.limit.per_s) * part


def _whole() -> float:
    return 1.0


def _none(backend_id: str) -> float:
    return 0.0


class RateLimits:
    """The rate limits of backend servers that are known at one place.

    A bucket begins empty: what its backend server gets when it first states
    a limit was sent before.

    :param part: returns the part of each limit that may be used here.
    :param first_tokens: returns with how many requests, below 1, the bucket
        of a backend server begins.
    """

    def __init__(
        self,
        *,
        part: abc.Callable[[], float] = _whole,
        first_tokens: abc.Callable[[str], float] = _none,
    ) -> None:
        self._part = part
        self._first_tokens = first_tokens
        #: In the order in which they were last stated.
        self._buckets_by_id: dict[str, _Bucket] = {}
        self._rests_by_id: dict[str, _Rest] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no limit is known."""
        return not self._buckets_by_id

    @property
    def allows_all(self) -> bool:
        """Whether neither a limit nor a rest is known."""
        return not self._buckets_by_id and not self._rests_by_id

    def record(self, now: float, limit: RateLimit) -> None:
        """Record that a backend server states a limit."""
        bucket = self._buckets_by_id.pop(limit.backend_id, None)
        if bucket is None or (bucket.limit.incarnation != limit.incarnation):
            bucket = _Bucket(
                limit=limit,
                heard_at=now,
                tokens=self._first_tokens(limit.backend_id),
                filled_at=now,
            )
        bucket.fill(now, self._part())
        bucket.limit = limit
        bucket.heard_at = now
        self._buckets_by_id[limit.backend_id] = bucket
        if len(self._buckets_by_id) > MAX_KNOWN:
            del self._buckets_by_id[next(iter(self._buckets_by_id))]

    def lift(
        self, backend_id: str, incarnation: int, *, asked_at: float
    ) -> None:
        """Record that an answer states no limit.

        Answers overtake each other. One to a request that was sent before the
        limit was last stated doesn't end it.

        :param asked_at: when the request was sent.
        """
        bucket = self._buckets_by_id.get(backend_id)
        if (
            bucket is not None
            and bucket.limit.incarnation == incarnation
            and asked_at >= bucket.heard_at
        ):
            del self._buckets_by_id[backend_id]

    def rest(
        self, now: float, backend_id: str, incarnation: int, rest_s: float
    ) -> None:
        """Record that a backend server wants no request for some seconds.

        Of several answers the one counts that asks for the longest.
        """
        self._rests_by_id = {
            each: rest
            for each, rest in self._rests_by_id.items()
            if rest.until > now
        }
        until = now + rest_s
        known = self._rests_by_id.get(backend_id)
        if known is not None and known.incarnation == incarnation:
            until = max(until, known.until)
        self._rests_by_id[backend_id] = _Rest(
            incarnation=incarnation, until=until
        )

    def rests_until(self, backend_id: str, incarnation: int) -> float:
        """Return when the rest of a start of a backend server ends.

        It may have ended already; 0 without any.
        """
        if not self._rests_by_id:
            return 0.0
        rest = self._rests_by_id.get(backend_id)
        if rest is None or rest.incarnation != incarnation:
            return 0.0
        return rest.until

    def is_resting(
        self, now: float, backend_id: str, incarnation: int
    ) -> bool:
        """Return whether a start of a backend server wants no request now."""
        return now < self.rests_until(backend_id, incarnation)

    def reset(self, now: float) -> None:
        """Let all buckets begin anew, as they weren't in use."""
        for backend_id, bucket in self._buckets_by_id.items():
            bucket.tokens = self._first_tokens(backend_id)
            bucket.filled_at = now

    def is_limited(self, backend_id: str, incarnation: int) -> bool:
        """Return whether a start of a backend server has a limit."""
        bucket = self._buckets_by_id.get(backend_id)
        return bucket is not None and bucket.limit.incarnation == incarnation

    def allows(self, now: float, backend: CellBackend) -> bool:
        """Return whether a request may be sent to a backend server now."""
        if self.is_resting(now, backend.backend_id, backend.incarnation):
            return False
        bucket = self._bucket(backend)
        if bucket is None:
            return True
        bucket.fill(now, self._part())
        return bucket.tokens >= 1.0 - _ROUNDING

    def take(self, now: float, backend: CellBackend) -> None:
        """Count a request that is sent to a backend server."""
        bucket = self._bucket(backend)
        if bucket is not None:
            bucket.fill(now, self._part())
            bucket.tokens -= 1.0

    def next_at(
        self, now: float, backend: CellBackend, ahead: int = 0
    ) -> float:
        """Return when its rest has ended and its limit allows a request.

        :param ahead: other requests that are sent to it first.
        """
        rests_until = self.rests_until(backend.backend_id, backend.incarnation)
        bucket = self._bucket(backend)
        if bucket is None:
            return max(now, rests_until)
        bucket.fill(now, self._part())
        missing = ahead + 1 - bucket.tokens
        allowed_at = now + max(0.0, missing) / bucket.rate(self._part())
        return max(allowed_at, rests_until)

    def interval_s(self, backend: CellBackend) -> float:
        """Return the seconds between two requests; 0 without a limit."""
        bucket = self._bucket(backend)
        return 0.0 if bucket is None else 1.0 / bucket.rate(self._part())

    def of(self, backends: abc.Iterable[CellBackend]) -> tuple[RateLimit, ...]:
        """Return the limits of these backend servers."""
        if not self._buckets_by_id:
            return ()
        found = (self._bucket(backend) for backend in backends)
        return tuple(bucket.limit for bucket in found if bucket is not None)

    def heard_since(self, since: float, most: int) -> tuple[RateLimit, ...]:
        """Return the limits that were stated since, the latest first."""
        found = []
        for bucket in reversed(self._buckets_by_id.values()):
            if bucket.heard_at < since or len(found) >= most:
                break
            found.append(bucket.limit)
        return tuple(found)

    def _bucket(self, backend: CellBackend) -> _Bucket | None:
        if not self._buckets_by_id:
            return None
        bucket = self._buckets_by_id.get(backend.backend_id)
        if bucket is None or bucket.limit.incarnation != backend.incarnation:
            return None
        return bucket
