"""Events that the reducer handles.

The coordination parts define events of their own; these come from the
runtime. Each event carries ``now``, the instance's monotonic clock in seconds.
"""

import enum

import msgspec

from . import verdict
from .coordination import presence


class Step(enum.StrEnum):
    """A blocking step that the thread of a request performs."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    CALL = 'call'


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request: syntactically valid, but not yet admitted.

    :param service: name in the document.
    :param streamed: whether it is a completion by a model service.
    :param key_sha256: hex digest of the caller's account key, or ``''``.
    :param idempotency_key: the key that the caller sent, or ``None``.
    :param digest: of method, path and body; detects an idempotency key that
        is reused for another call.
    :param prompt_tokens: an estimate, for admission.
    :param expected_tokens: answer length that the caller expects; 0 if it
        gave none.
    :param prefix: digests of the prompt's leading blocks, for cache hints.
    :param shared_parts: identifiers of the parts of the prompt that other
        calls may have, too; the part that is the call's own is not included.
    :param pieces_received: pieces of the stream that the caller has got
        before this call; 0 for a new stream.
    :param caller_id: the caller's own id of this call, or ``''``.
    :param resumes: the caller's id of the call that brought the first of
        them, or ``''``.
    :param priority: a name in the document; ``None`` for the route's default.
    :param deadline_s: seconds that the caller will wait, from arrival.
    :param host: set for a call that is routed by host and path; the route
        then chooses the service.
    :param credentials_sha256: hex digest of the ``Authorization`` header that
        is passed on, or ``''``.
    :param address: network address of the caller. It identifies no caller:
        callers share addresses and change them.
    """

    service: str
    method: str
    path: str
    streamed: bool
    key_sha256: str
    idempotency_key: str | None
    digest: bytes
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    prefix: tuple[str, ...] = ()
    shared_parts: tuple[str, ...] = ()
    caller_id: str = ''
    pieces_received: int = 0
    resumes: str = ''
    priority: str | None = None
    deadline_s: float | None = None
    host: str = ''
    credentials_sha256: str = ''
    address: str = ''


class RequestArrived(msgspec.Struct, frozen=True, kw_only=True):
    now: float
    request_id: str
    call: Call
    entropy: int
    #: Whether the instance has room for an answer.
    has_memory: bool = True


class StepEnded(msgspec.Struct, frozen=True, kw_only=True):
    """The thread of a request completed a step, or the step failed.

    :param known: what the step proves about whether the request ran; only
        meaningful when ``failure`` is set.
    :param failure: reason for a retry, or ``None`` on success.
    :param kv: the engine's handle of the prefill result.
    :param tokens: prompt tokens computed (prefill) or the next missing
        offset of the stream (decode).
    :param cached_tokens: prompt tokens that the prefix cache saved.
    :param outcome: the answer to a repeated send of the call; recorded under
        its claim.
    :param token_gap_s: mean seconds between the tokens of a complete answer,
        measured by the relay; zero if not measured.
    :param first_piece_at: arrival of this step's first piece, by the relay's
        clock, which is the same as the reducer's.
    :param last_piece_at: arrival of this step's last piece.
    :param pieces: number of pieces that the backend server wrote in this
        step; those that it repeated after a resume are not counted.
    :param first_token_at: arrival of the first piece of any attempt; ``None``
        if the caller had received pieces before.
    :param is_cut: it failed because the connection ended before the answer
        was complete.
    :param was_sent: whether it may have reached the backend server.
    :param rest_s: seconds for which the backend server wants no request from
        this instance; 0 if it asked for none.
    :param late_pieces: number of pieces of other attempts that were dropped.
    :param entropy: 64 random bits, for the jitter of a retry.
    """

    now: float
    request_id: str
    attempt_id: str
    step: Step
    known: verdict.Verdict
    failure: verdict.RetryReason | None = None
    message: str = ''
    kv: str = ''
    tokens: int = 0
    cached_tokens: int = 0
    outcome: bytes = b''
    token_gap_s: float = 0.0
    first_piece_at: float | None = None
    last_piece_at: float | None = None
    pieces: int = 0
    first_token_at: float | None = None
    is_cut: bool = False
    was_sent: bool = True
    rest_s: float = 0.0
    late_pieces: int = 0
    entropy: int = 0

    @property
    def wrote_s(self) -> float:
        """Seconds between the first and the last piece of this step."""
        if self.first_piece_at is None or self.last_piece_at is None:
            return 0.0
        return self.last_piece_at - self.first_piece_at


class AnswerGoesOn(msgspec.Struct, frozen=True, kw_only=True):
    """An engine has gone on writing the answer to a request for a while.

    Posted once in each step; see :mod:`.entry.progress`.
    """

    now: float
    request_id: str
    attempt_id: str


class LeaveStated(msgspec.Struct, frozen=True, kw_only=True):
    """An answer says that its backend server leaves.

    :param step: the step to which it is the answer.
    """

    now: float
    request_id: str
    attempt_id: str
    step: Step


class RateLimitStated(msgspec.Struct, frozen=True, kw_only=True):
    """The head of an answer states its backend server's rate limit.

    :param step: the step to which it is the answer.
    :param per_s: requests per second, from all instances together; ``None``
        if it states no limit and one was known.
    """

    now: float
    request_id: str
    attempt_id: str
    step: Step
    per_s: float | None


class BackendProbed(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an ``effects.ProbeBackend``.

    :param is_refused: the machine refused the connection, so no process
        listens at the address.
    """

    now: float
    start: presence.BackendStart
    is_refused: bool


class CallerGone(msgspec.Struct, frozen=True, kw_only=True):
    """The caller closed its connection before the answer was complete."""

    now: float
    request_id: str


class RequestClosed(msgspec.Struct, frozen=True, kw_only=True):
    """The thread of the request has ended, with or without an error."""

    now: float
    request_id: str


class FoundInstance(msgspec.Struct, frozen=True, kw_only=True):
    """Address at which other instances connect to an instance."""

    instance_id: str
    host: str
    port: int


class InstancesFound(msgspec.Struct, frozen=True, kw_only=True):
    """A seed has listed the instances.

    :param first_voters: ids of all seeds, once each seed has answered, and
        only if the seeds are to form a new system; empty otherwise.
    """

    now: float
    instances: tuple[FoundInstance, ...]
    first_voters: tuple[str, ...] = ()


class ShutdownBegun(msgspec.Struct, frozen=True, kw_only=True):
    """The process got a signal to shut down (SIGTERM or SIGINT)."""

    now: float
