"""Effects: what the reducer wants the runtime to do.

Directives go to the thread that serves one request; the runtime performs all
other effects itself. ``coordination/parts.py`` has the effects of the
coordination parts.
"""

import enum
import typing

import msgspec

from . import events
from . import verdict
from .cell import orders
from .coordination import presence
from .entry import waste


class Directive(msgspec.Struct, frozen=True, kw_only=True):
    """An instruction to the thread that serves ``request_id``.

    It is dropped if that thread has ended.
    """

    request_id: str


class RunPrefill(Directive, frozen=True, kw_only=True):
    """Run the prefill of the prompt and the text generated so far.

    :param start_in_s: seconds to wait first, so that the decode slot is
        free when the prefill ends; the engine evicts the prefill's result in
        under a second.
    :param deadline_in_s: seconds after which the step must not start.
    :param told_account: see ``admission.Admitted``.
    :param is_rate_limited: a rate limit of the backend server is known, so
        that an answer without one is reported, too.
    """

    attempt_id: str
    backend_id: str
    url: str
    priority: int
    fence: int
    deadline_in_s: float
    start_in_s: float = 0.0
    told_account: str | None = None
    is_rate_limited: bool = False


class RunDecode(Directive, frozen=True, kw_only=True):
    """Import the KV cache or the prompt, then stream tokens.

    Without ``kv`` and ``reads`` there is no import: this resumes a broken
    stream at the first token that the caller has not received.

    :param kv: handle of the prefill result, or ``''``.
    :param deadline_in_s: seconds after which the step must not start.
    :param reads: the decode engine processes the prompt itself, without a
        prefill engine.
    :param told_account: see ``admission.Admitted``.
    :param is_rate_limited: a rate limit of the backend server is known, so
        that an answer without one is reported, too.
    :param holds_answer: nothing of the answer may leave before an
        :class:`AllowAnswer`.
    """

    attempt_id: str
    backend_id: str
    url: str
    source_url: str
    kv: str
    fence: int
    deadline_in_s: float
    reads: bool = False
    told_account: str | None = None
    is_rate_limited: bool = False
    holds_answer: bool = False


class RunCall(Directive, frozen=True, kw_only=True):
    """Forward the caller's call to a plain service.

    :param deadline_in_s: seconds left for the whole call.
    :param told_account: see ``admission.Admitted``.
    :param is_rate_limited: a rate limit of the backend server is known, so
        that an answer without one is reported, too.
    """

    attempt_id: str
    backend_id: str
    url: str
    deadline_in_s: float
    told_account: str | None = None
    is_rate_limited: bool = False


class Refuse(Directive, frozen=True, kw_only=True):
    refusal: verdict.Refusal


class Replay(Directive, frozen=True, kw_only=True):
    """Answer with the outcome recorded for an earlier send of this call.

    The caller has sent the call again with the same idempotency key.
    """

    outcome: bytes


class Complete(Directive, frozen=True, kw_only=True):
    """Send the end of the answer: all required records are durable."""


class Abort(Directive, frozen=True, kw_only=True):
    """Stop work on one attempt at once, even inside a blocking read."""

    attempt_id: str


class AllowAnswer(Directive, frozen=True, kw_only=True):
    """The answer may leave: what began the stream is kept elsewhere."""


class Withdraw(Directive, frozen=True, kw_only=True):
    """Break off a step that a leaving backend server may not have received.

    The step ends with ``RetryReason.BACKEND_LEFT`` then, and goes on
    otherwise.

    :param is_forced: whether no answer so far is enough; otherwise the other
        end of the connection must not have acknowledged all that was written.
    """

    attempt_id: str
    backend_id: str
    is_forced: bool


class AddressDeparted(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the backend server at a URL has left, and none followed it."""

    url: str
    has_departed: bool


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Handle this event in the reducer before it returns to the runtime."""

    event: typing.Any


class CountRefusal(msgspec.Struct, frozen=True, kw_only=True):
    refusal: verdict.Refusal


class CountRetry(msgspec.Struct, frozen=True, kw_only=True):
    reason: verdict.RetryReason


class CountRepeat(msgspec.Struct, frozen=True, kw_only=True):
    """Count a send of a request that was sent before."""

    step: events.Step


class CountWastedTokens(msgspec.Struct, frozen=True, kw_only=True):
    """Count prompt tokens whose prefill result was not used."""

    reason: waste.WasteReason
    tokens: int


class LateKind(enum.StrEnum):
    """What arrived for an attempt that had already ended (a counter label)."""

    #: A message from a cell's owner.
    OWNER = 'owner'
    #: The end of a step that had been aborted.
    STEP = 'step'
    #: A piece of a stream.
    PIECE = 'piece'


class RequestPhase(enum.StrEnum):
    """A phase in the processing of a request (a histogram label)."""

    #: From the booking request to a cell's owner until its reply.
    BOOKING = 'booking'
    #: From queueing at the owner until the request is placed or refused.
    QUEUE = 'queue'
    #: From the placement until the prefill is done.
    PREFILL = 'prefill'
    #: From then until the first token of the decode engine, which imports
    #: the KV cache before.
    TRANSFER = 'transfer'
    #: From the first token to the end of a complete answer.
    DECODE = 'decode'
    #: A call to a plain service.
    CALL = 'call'


class PhaseDuration(msgspec.Struct, frozen=True, kw_only=True):
    """Record the duration of a finished phase of a request."""

    phase: RequestPhase
    service: str
    seconds: float


class PassThroughStream(msgspec.Struct, frozen=True, kw_only=True):
    """Record a complete stream that was passed on without parsing its tokens.

    :param first_token_s: seconds from the request's arrival to the first
        token.
    :param token_gap_s: mean seconds between tokens; zero if not measured.
    """

    service: str
    first_token_s: float
    token_gap_s: float


class CountLate(msgspec.Struct, frozen=True, kw_only=True):
    """Count something that was dropped because its attempt had ended."""

    what: LateKind


class Log(msgspec.Struct, frozen=True, kw_only=True):
    """Write a log line; ``fields`` become its JSON fields."""

    message: str
    fields: tuple[tuple[str, str], ...] = ()
    level: str = 'INFO'


class GiveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Send an order to an engine, unless that is no longer allowed."""

    cell: str
    url: str
    order: orders.SendOrder
    timeout_s: float


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a pool, summed over the cells that this instance owns.

    :param limited: backend servers that limit their rate.
    :param queue: requests that wait for a slot.
    """

    pool: str
    backends: int
    limited: int
    slots: int
    used: int
    queue: int


class GaugeValues(msgspec.Struct, frozen=True, kw_only=True):
    """Set the gauges to these values.

    :param confirmed_age_s: seconds since a majority confirmed the revision;
        ``None`` before the first time.
    """

    revision: int
    confirmed_age_s: float | None
    members: int
    pools: tuple[PoolLoad, ...]


class ProbeBackend(msgspec.Struct, frozen=True, kw_only=True):
    """Check whether any process listens at a backend server's address.

    The result is an ``events.BackendProbed``.
    """

    start: presence.BackendStart
    url: str


class TunnelPeer(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that connects others to backend servers."""

    instance_id: str
    host: str
    port: int


class TunnelPeers(msgspec.Struct, frozen=True, kw_only=True):
    """Sets these instances, in the order in which to ask them."""

    peers: tuple[TunnelPeer, ...]


class PeerAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Set the address of another instance; comes before any message to it."""

    instance_id: str
    host: str
    port: int


class PeerForgotten(msgspec.Struct, frozen=True, kw_only=True):
    """An instance was removed from membership: close its connection."""

    instance_id: str


class Drained(msgspec.Struct, frozen=True, kw_only=True):
    """The shutdown is complete.

    :param cut_off: number of requests aborted when ``shutdown_s`` ran out.
    """

    cut_off: int = 0


def log(message: str, level: str = 'INFO', **fields: str) -> Log:
    """Return the effect that logs a line with these JSON fields."""
    return Log(message=message, fields=tuple(fields.items()), level=level)
