"""The messages, local events and effects of a cell.

Messages go between entries and the owner, with the field names of
``protocol/cells.proto``. Events and effects stay within the owner's
instance.
"""

import enum

import msgspec

from ..verdict import RefusalReason
from .cell_types import CellBackend
from .cell_types import CellTerms
from .cell_types import Stage
from .rate_limits import RateLimit


class Outcome(enum.StrEnum):
    """How an attempt ended, as reported by its entry."""

    DONE = 'done'
    CANCELLED = 'cancelled'
    FAILED = 'failed'
    EXPIRED = 'expired'
    #: Another owner booked it; its work goes on.
    TAKEN_OVER = 'taken_over'


class Book(msgspec.Struct, frozen=True, kw_only=True):
    """Entry to owner: book backend servers for one attempt.

    Idempotent: a repeat with the same ids gets the same answer.

    :param prefix: hashes of the prompt's blocks, see
        ``prefixes.hash_blocks``.
    :param deadline_s: seconds that remain.
    :param exclude: ids of backend servers that failed for this request.
    :param expected_tokens: the client's hint of the answer's length; 0 for
        none.
    :param unowned: sent by an entry to its own instance, as the owner doesn't
        answer.
    :param may_read_there: a decode engine can do the prefill itself.
    :param resent: the client was refused before and won't send it again.
    :param software_version: the only one whose decode engines may run it;
        ``None`` for any.
    :param needs_sole_version: book it only if all decode engines have one
        software version.
    :param target_s: seconds from its arrival to its first token; 0 for the
        target of its service.
    :param waited_s: seconds since its arrival, if it has waited at its entry.
    """

    cell: str
    request_id: str
    attempt_id: str
    account: str
    priority: str
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[str, ...]
    deadline_s: float
    exclude: tuple[str, ...] = ()
    stage: Stage = Stage.PAIR
    expected_tokens: int = 0
    unowned: bool = False
    resent: bool = False
    may_read_there: bool = False
    software_version: str | None = None
    needs_sole_version: bool = False
    target_s: float = 0.0
    waited_s: float = 0.0


class PrefillDone(msgspec.Struct, frozen=True, kw_only=True):
    """Entry to owner: the prefill has ended."""

    cell: str
    request_id: str
    attempt_id: str
    tokens: int
    cached_tokens: int
    kv_bytes: int = 0


class Holding(msgspec.Struct, frozen=True, kw_only=True):
    """The ids of one booking."""

    request_id: str
    attempt_id: str


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """Entry to owner: renews the leases of these bookings.

    :param queued: bookings that the owner has queued, as far as the entry
        knows. The owner answers these, in one message if they all still wait.
    """

    cell: str
    bookings: tuple[Holding, ...]
    queued: tuple[Holding, ...] = ()


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """Entry to owner: an attempt ended.

    :param wasted_tokens: prefill tokens whose result was discarded.
    :param backend_fault: id of the backend server at fault, or empty.
    :param is_down: no connection to it could be made.
    :param token_gap_s: mean gap between the pieces of a complete answer;
        zero if not measured.
    :param answer_pieces: pieces of a complete answer; zero if not counted.
    """

    cell: str
    request_id: str
    attempt_id: str
    outcome: Outcome
    wasted_tokens: int = 0
    backend_fault: str = ''
    is_down: bool = False
    token_gap_s: float = 0.0
    answer_pieces: int = 0


class ReclaimedBooking(msgspec.Struct, frozen=True, kw_only=True):
    """A booking that an entry holds, as sent to a new owner."""

    request_id: str
    attempt_id: str
    account: str
    priority: str
    stage: Stage
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    prefill_id: str
    decode_id: str
    plain_id: str
    prefill_done: bool
    expected_tokens: int = 0


class Reclaim(msgspec.Struct, frozen=True, kw_only=True):
    """Entry to a new owner: all bookings of the cell that the entry holds.

    :param rate_limits: limits of backend servers that the entry has heard of
        recently, of any cell.
    """

    cell: str
    epoch: int
    bookings: tuple[ReclaimedBooking, ...]
    rate_limits: tuple[RateLimit, ...] = ()


class RateLimitReported(msgspec.Struct, frozen=True, kw_only=True):
    """Entry to owner: what an answer states on its backend server's limit.

    :param per_s: requests per second; ``None`` if it states no limit.
    :param age_s: seconds since the request was sent.
    """

    cell: str
    backend_id: str
    incarnation: int
    per_s: float | None
    age_s: float


class RestReported(msgspec.Struct, frozen=True, kw_only=True):
    """Entry to owner: a backend server has asked the entry for rest.

    :param rest_s: seconds that are left of it.
    """

    cell: str
    backend_id: str
    incarnation: int
    rest_s: float


class Booked(msgspec.Struct, frozen=True, kw_only=True):
    """Owner to entry: start the attempt on these, in ``start_in_s``.

    :param prefill_incarnation: of the prefill engine that was booked; the
        other incarnations likewise.
    :param rate_limits: of the booked backend servers, and from time to time
        of all others of the cell.
    :param decode_version: software version of the decode engine.
    """

    cell: str
    epoch: int
    request_id: str
    attempt_id: str
    prefill_id: str
    prefill_url: str
    decode_id: str
    decode_url: str
    plain_id: str
    plain_url: str
    start_in_s: float
    prefill_incarnation: int = 0
    decode_incarnation: int = 0
    plain_incarnation: int = 0
    rate_limits: tuple[RateLimit, ...] = ()
    decode_version: str = ''

    def limits_rate_of(self, backend_id: str) -> bool:
        """Return whether the owner knows a rate limit of a backend server."""
        return any(each.backend_id == backend_id for each in self.rate_limits)


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """Owner to entry: admitted; ``Booked`` follows when it may start.

    :param others: number of others of the entry that it has queued, too, as
        the answer to a ``Progress``.
    :param takes_renewals: it can be renewed by ``Progress.queued``.
    """

    cell: str
    epoch: int
    request_id: str
    attempt_id: str
    expected_in_s: float
    others: int = 0
    takes_renewals: bool = False


class Declined(msgspec.Struct, frozen=True, kw_only=True):
    """Owner to entry: refused, and nothing has run."""

    cell: str
    request_id: str
    attempt_id: str
    reason: RefusalReason
    retry_after_s: float
    message: str


class NotOwner(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to an entry: the recipient doesn't own the cell.

    :param holder: instance id of the owner, empty if unknown.
    """

    cell: str
    request_id: str
    attempt_id: str
    holder: str


class Cancelled(msgspec.Struct, frozen=True, kw_only=True):
    """Owner to entry: this booking has ended; stop the attempt."""

    cell: str
    epoch: int
    request_id: str
    attempt_id: str


class ReclaimWanted(msgspec.Struct, frozen=True, kw_only=True):
    """New owner to entry: send a ``Reclaim`` with all bookings you hold."""

    cell: str
    epoch: int


class LeaseLapsed(msgspec.Struct, frozen=True, kw_only=True):
    """Owner to deputies: its lease has lapsed, and it still acts as owner."""

    cell: str
    epoch: int


MESSAGES = (
    Book,
    PrefillDone,
    Progress,
    Release,
    Reclaim,
    RateLimitReported,
    RestReported,
    Booked,
    Queued,
    Declined,
    NotOwner,
    Cancelled,
    ReclaimWanted,
    LeaseLapsed,
)


class BackendsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the backend servers of this cell that may get new work."""

    now: float
    backends: tuple[CellBackend, ...]


class TermsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the service's settings in the document changed."""

    now: float
    terms: CellTerms


class LoadReported(msgspec.Struct, frozen=True, kw_only=True):
    """Event: a load report came in, with values from some time ago."""

    now: float
    backend_id: str
    running: int
    waiting: int
    queued_tokens: int
    slots_used: int
    kv_bytes: int


class CacheHint(msgspec.Struct, frozen=True, kw_only=True):
    """Event: cache events came in, perhaps late.

    :param gap: earlier events were lost.
    """

    now: float
    backend_id: str
    stored: tuple[str, ...]
    evicted: tuple[str, ...]
    gap: bool


class StreamCancelled(msgspec.Struct, frozen=True, kw_only=True):
    """Event: a cancel was confirmed, or there was no such stream."""

    now: float
    backend_id: str
    stream_id: str
    attempt_id: str


class CancelStream(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: ``POST /v1/cancel``; post :class:`StreamCancelled` on 200."""

    backend_id: str
    url: str
    stream_id: str
    attempt_id: str
    epoch: int


class ListStreams(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: ``GET /v1/streams``; post :class:`StreamsListed` on 200."""

    backend_id: str
    url: str


class HeldStream(msgspec.Struct, frozen=True, kw_only=True):
    """A stream for which a backend server holds memory."""

    stream_id: str
    attempt_id: str


class StreamsListed(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the streams of a backend server, as of ``asked_at`` or later.

    :param asked_at: when the request was sent, on this instance's clock.
    """

    now: float
    backend_id: str
    asked_at: float
    streams: tuple[HeldStream, ...]
