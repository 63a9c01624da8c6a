"""What the reducer asks the runtime to do.

Directives go to the thread that serves one request; the others are the
runtime's own. Coordination parts have more in ``coordination/parts.py``.
"""

import enum
import typing

import msgspec

from . import verdict
from .cell import orders
from .coordination import presence
from .entry import waste


class Directive(msgspec.Struct, frozen=True, kw_only=True):
    """For the thread of ``request_id``; dropped when that has ended."""

    request_id: str


class RunPrefill(Directive, frozen=True, kw_only=True):
    """Compute the prompt, and the text answered so far, on an engine.

    :param start_in_s: seconds to wait first, so that the decode slot is
        free when the prefill ends; its result is evicted in under a second.
    :param deadline_in_s: seconds after which it must not start any more.
    """

    attempt_id: str
    backend_id: str
    url: str
    priority: int
    fence: int
    deadline_in_s: float
    start_in_s: float = 0.0


class RunDecode(Directive, frozen=True, kw_only=True):
    """Import the KV cache unless ``kv`` is empty, then stream tokens.

    Without ``kv`` the stream is one that broke: it resumes at the first
    token that the caller has not got. With ``reads`` the engine reads the
    prompt by itself.

    :param deadline_in_s: seconds after which it must not start any more.
    """

    attempt_id: str
    backend_id: str
    url: str
    source_url: str
    kv: str
    fence: int
    deadline_in_s: float
    reads: bool = False


class RunCall(Directive, frozen=True, kw_only=True):
    """Pass the caller's call to a plain service.

    :param deadline_in_s: seconds that are left for all of it.
    """

    attempt_id: str
    backend_id: str
    url: str
    deadline_in_s: float


class Refuse(Directive, frozen=True, kw_only=True):
    refusal: verdict.Refusal


class Replay(Directive, frozen=True, kw_only=True):
    """Answer with the outcome recorded for an earlier send of this call."""

    outcome: bytes


class Complete(Directive, frozen=True, kw_only=True):
    """Everything that must be durable is: give the end of the answer."""


class Abort(Directive, frozen=True, kw_only=True):
    """Stop work on one attempt at once, also inside a blocking read."""

    attempt_id: str


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Let the reducer handle this event next, before any other."""

    event: typing.Any


class CountRefusal(msgspec.Struct, frozen=True, kw_only=True):
    refusal: verdict.Refusal


class CountRetry(msgspec.Struct, frozen=True, kw_only=True):
    reason: verdict.RetryReason


class CountWaste(msgspec.Struct, frozen=True, kw_only=True):
    """Prompt tokens computed for nothing."""

    reason: waste.WasteReason
    tokens: int


class Late(enum.StrEnum):
    """What came for an attempt that was over (a counter label)."""

    #: A message of a cell's owner.
    OWNER = 'owner'
    #: The end of a step that had been broken off.
    STEP = 'step'
    #: A piece of a stream.
    PIECE = 'piece'


class Part(enum.StrEnum):
    """A part of a request's way to its answer (a histogram's label)."""

    #: From asking a cell's owner until it answers.
    BOOKING = 'booking'
    #: From being queued at the owner until a place is found, or refused.
    QUEUE = 'queue'
    #: From being placed until the prompt was read.
    PREFILL = 'prefill'
    #: From then until the first token of the decode engine, which takes the
    #: KV cache over for it.
    TRANSFER = 'transfer'
    #: From the first token to the end of a whole answer.
    DECODE = 'decode'
    #: A call of a plain service.
    CALL = 'call'


class Took(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a request's way is over."""

    part: Part
    service: str
    seconds: float


class PassedStream(msgspec.Struct, frozen=True, kw_only=True):
    """A stream that was passed on is whole; its tokens are not seen here.

    :param first_token_s: from the request's arrival.
    :param token_gap_s: mean of the answer; zero if not measured.
    """

    service: str
    first_token_s: float
    token_gap_s: float


class CountLate(msgspec.Struct, frozen=True, kw_only=True):
    """Something late or crossed was dropped."""

    what: Late


class Log(msgspec.Struct, frozen=True, kw_only=True):
    """One log line; ``fields`` become its JSON fields."""

    message: str
    fields: tuple[tuple[str, str], ...] = ()
    level: str = 'INFO'


class GiveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Send an order to an engine, unless it may no longer be sent."""

    cell: str
    url: str
    order: orders.SendOrder
    timeout_s: float


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A pool over the cells that this instance owns.

    :param queue: requests that wait for a slot.
    """

    pool: str
    backends: int
    slots: int
    used: int
    queue: int


class Observed(msgspec.Struct, frozen=True, kw_only=True):
    """What the gauges show.

    :param confirmed_age_s: since a majority confirmed the revision;
        ``None`` before the first time.
    """

    revision: int
    confirmed_age_s: float | None
    members: int
    pools: tuple[PoolLoad, ...]


class ProbeBackend(msgspec.Struct, frozen=True, kw_only=True):
    """Ask whether any process listens at a backend server's address.

    The answer is an ``events.BackendProbed``.
    """

    start: presence.BackendStart
    url: str


class PeerAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Where another instance listens; before any message to it."""

    instance_id: str
    host: str
    port: int


class PeerForgotten(msgspec.Struct, frozen=True, kw_only=True):
    """An instance is gone for good; its connection can be closed."""

    instance_id: str


class Drained(msgspec.Struct, frozen=True, kw_only=True):
    """A shutdown has come to its end.

    :param cut_off: requests that it broke off, as its time was over.
    """

    cut_off: int = 0


def log(message: str, level: str = 'INFO', **fields: str) -> Log:
    """Return a log line with these JSON fields."""
    return Log(message=message, fields=tuple(fields.items()), level=level)
