"""The results of a request's steps, and the retry reasons of failed ones."""

import msgspec

from .. import engine
from .. import events
from .. import verdict
from . import token_gaps

_RETRY = verdict.RetryReason

#: Retry reasons of steps that failed without a more specific reason.
GENERAL_FAILURES = {
    events.Step.PREFILL: _RETRY.PREFILL_FAILED,
    events.Step.DECODE: _RETRY.STREAM_BROKEN,
    events.Step.CALL: _RETRY.STREAM_BROKEN,
}


class Done(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a step that succeeded."""

    known: verdict.Verdict = verdict.Verdict.RAN
    kv: str = ''
    tokens: int = 0
    cached_tokens: int = 0
    outcome: bytes = b''
    token_gap_s: float = 0.0
    first_piece_at: float | None = None
    last_piece_at: float | None = None
    pieces: int = 0
    first_token_at: float | None = None


class Failed(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a step that failed.

    :param is_cut: whether the connection broke.
    :param was_sent: whether the step may have reached the backend server.
    :param pieces: see :class:`.events.StepEnded`, like the times.
    """

    known: verdict.Verdict
    failure: verdict.RetryReason
    message: str
    is_cut: bool = False
    was_sent: bool = True
    first_piece_at: float | None = None
    last_piece_at: float | None = None
    pieces: int = 0
    rest_s: float = 0.0

    @classmethod
    def unstarted(cls, message: str) -> 'Failed':
        """Return the result of a step that sent nothing."""
        return cls(
            known=verdict.Verdict.NOT_RUN,
            failure=verdict.RetryReason.PREFILL_FAILED,
            message=message,
            was_sent=False,
        )

    @classmethod
    def of_error(
        cls, step: events.Step, error: engine.EngineError
    ) -> 'Failed':
        """Return the result of a step that ended with an error."""
        measure = getattr(error, 'measure', token_gaps.TokenGapMeter())
        return cls(
            known=error.known,
            failure=failure_of(step, error),
            message=str(error),
            is_cut=error.is_cut,
            was_sent=not error.is_unsent
            and error.reason != _RETRY.CONNECT_REFUSED,
            first_piece_at=measure.first_at,
            last_piece_at=measure.last_at,
            pieces=measure.count,
            rest_s=error.rest_s,
        )


StepResult = Done | Failed


class StreamError(engine.EngineError):
    """A decode engine's stream broke after its KV cache had arrived.

    :param measure: of the pieces that the engine had written.
    """

    def __init__(
        self, error: engine.EngineError, *, measure: token_gaps.TokenGapMeter
    ) -> None:
        super().__init__(
            str(error),
            known=verdict.Verdict.RAN,
            reason=error.reason,
            is_cut=error.is_cut,
        )
        self.is_stalled = isinstance(error, engine.StalledError)
        self.measure = measure


def failure_of(
    step: events.Step, error: engine.EngineError
) -> verdict.RetryReason:
    """Return the reason for a retry after an error of a step."""
    if isinstance(error, StreamError):
        if error.is_stalled:
            return _RETRY.STREAM_STALLED
        return _RETRY.STREAM_BROKEN
    if error.reason == _RETRY.CONNECT_REFUSED:
        return _RETRY.CONNECT_REFUSED
    if error.reason == _RETRY.BACKEND_LEFT:
        return _RETRY.BACKEND_LEFT
    if error.reason == 'busy':
        return _RETRY.BACKEND_BUSY
    if step is events.Step.DECODE:
        return _import_failure(error)
    return GENERAL_FAILURES[step]


def _import_failure(error: engine.EngineError) -> verdict.RetryReason:
    if isinstance(error, engine.StalledError) or error.reason == 'stalled':
        return _RETRY.TRANSFER_STALLED
    if error.reason == 'evicted':
        return _RETRY.KV_EVICTED
    return _RETRY.IMPORT_REFUSED
