"""The hands of one request: its thread does what the reducer directs.

The reducer decides and never blocks; this module blocks and never decides.
Tokens flow from the engine's connection to the caller's without passing the
reducer, which hears only how each step ended.
"""

from collections import abc
import dataclasses
import functools
import queue
import secrets
import threading
import typing

from . import effects
from . import engine
from . import events
from . import outcome
from . import verdict

#: Headers of a caller's call that a plain service gets to see.
PASSED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """The parts of a caller's request that the reducer has no need of."""

    prompt: str = ''
    path: str = ''
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    most_bytes: int = 8 << 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """The end of an answer that is whole.

    :param replayed: whether it was recorded by an earlier send.
    """

    outcome: outcome.Outcome
    replayed: bool = False


class Backends(typing.Protocol):
    """Makes the adapters that a relay talks through."""

    def model_engine(self, url: str) -> engine.Engine: ...

    def plain_service(
        self, url: str, timeout_s: float
    ) -> engine.PlainService: ...


class Post(typing.Protocol):
    """Hands an event to the reducer, from any thread."""

    def __call__(self, make_event: abc.Callable[..., typing.Any]) -> None: ...


class Relay:
    """Carries one request from its arrival to its answer's end.

    :param post: where events go.
    :param observe_late: called for each piece of another attempt, dropped.
    """

    def __init__(
        self,
        *,
        request_id: str,
        call: events.Call,
        work: Work,
        backends: Backends,
        post: Post,
        observe_late: abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.request_id = request_id
        self.call = call
        self._work = work
        self._backends = backends
        self._post = post
        self._observe_late = observe_late
        self._directives: queue.SimpleQueue[effects.Directive] = (
            queue.SimpleQueue()
        )
        self._aborted = threading.Event()
        self._current: typing.Any = None
        self._text: list[str] = []
        self._offset = 0
        self._outcome: outcome.Outcome | None = None

    def give(self, directive: effects.Directive) -> None:
        """Take a directive; called by the runtime, never blocks."""
        if isinstance(directive, effects.Abort):
            self._abort()
        else:
            self._directives.put(directive)

    def pieces(
        self,
    ) -> abc.Iterator[engine.Piece | Finished | verdict.Refusal]:
        """Yield the answer's text as it arrives, then how it ended.

        The last item is a :class:`Finished` or a ``Refusal``. Closing the
        iterator early tells the reducer that the caller has gone.
        """
        ended = False
        try:
            yield from self._follow_directives()
            ended = True
        finally:
            if not ended:
                self._tell(events.CallerGone, request_id=self.request_id)
            self._tell(events.RequestClosed, request_id=self.request_id)

    def _follow_directives(
        self,
    ) -> abc.Iterator[engine.Piece | Finished | verdict.Refusal]:
        self._tell(
            events.RequestArrived,
            request_id=self.request_id,
            call=self.call,
            entropy=secrets.randbits(64),
        )
        while True:
            directive = self._directives.get()
            match directive:
                case effects.RunPrefill():
                    self._prefill(directive)
                case effects.RunDecode():
                    yield from self._decode(directive)
                case effects.RunCall():
                    self._run_call(directive)
                case effects.Refuse(refusal=refusal):
                    yield refusal
                    return
                case effects.Replay(outcome=recorded):
                    yield Finished(
                        outcome=outcome.from_bytes(recorded), replayed=True
                    )
                    return
                case effects.Complete():
                    assert self._outcome is not None
                    yield Finished(outcome=self._outcome)
                    return

    def _prefill(self, directive: effects.RunPrefill) -> None:
        end = self._step_end(directive.attempt_id, events.Step.PREFILL)
        if self._aborted.wait(directive.start_in_s):
            end(known=verdict.Verdict.NOT_RUN, failure=_RETRY.PREFILL_FAILED)
            return
        adapter = self._current = self._backends.model_engine(directive.url)
        try:
            done = adapter.prefill(
                stream_id=self.request_id,
                attempt_id=directive.attempt_id,
                # After a decode engine died mid-stream, the text that the
                # caller already has is part of the prompt.
                prompt=self._work.prompt + ''.join(self._text),
                priority=directive.priority,
                fence=directive.fence,
            )
        except engine.EngineError as error:
            end(
                known=error.known,
                failure=_prefill_failure(error),
                message=str(error),
            )
            return
        end(
            known=verdict.Verdict.RAN,
            kv=done.kv,
            tokens=done.tokens,
            cached_tokens=done.cached_tokens,
        )

    def _decode(
        self, directive: effects.RunDecode
    ) -> abc.Iterator[engine.Piece]:
        end = self._step_end(directive.attempt_id, events.Step.DECODE)
        adapter = self._current = self._backends.model_engine(directive.url)
        if self._aborted.is_set():
            adapter.abort()
        try:
            self._import(adapter, directive)
        except engine.EngineError as error:
            end(
                known=error.known,
                failure=_import_failure(error),
                message=str(error),
                tokens=self._offset,
            )
            return
        try:
            yield from self._stream(adapter, directive)
        except engine.EngineError as error:
            end(
                known=verdict.Verdict.RAN,
                failure=_stream_failure(error),
                message=str(error),
                tokens=self._offset,
            )
            return
        self._outcome = outcome.Outcome(
            status=200,
            content_type='application/json',
            text=''.join(self._text),
            tokens=self._offset,
        )
        end(
            known=verdict.Verdict.RAN,
            tokens=self._offset,
            outcome=self._outcome.to_bytes(),
        )

    def _import(
        self, adapter: engine.Engine, directive: effects.RunDecode
    ) -> None:
        if not directive.kv:
            return
        adapter.import_kv(
            stream_id=self.request_id,
            attempt_id=directive.attempt_id,
            kv=directive.kv,
            source_url=directive.source_url,
            fence=directive.fence,
        )

    def _stream(
        self, adapter: engine.Engine, directive: effects.RunDecode
    ) -> abc.Iterator[engine.Piece]:
        """Pass on what is missing; only the end mark ends a stream.

        A connection that is closed early looks like an end to HTTP, so a
        stream that just stops is an error: the caller would take half an
        answer for the whole one.
        """
        pieces = adapter.decode(
            stream_id=self.request_id,
            attempt_id=directive.attempt_id,
            max_tokens=self.call.max_tokens,
            from_offset=self._offset,
        )
        for piece in pieces:
            if piece.attempt_id != directive.attempt_id:
                self._observe_late()
                continue
            if piece.offset < self._offset:
                # Sent again after a resume; the caller has it.
                continue
            if piece.offset > self._offset:
                raise _broken(f'token {self._offset} of the stream is missing')
            if piece.is_end:
                return
            self._text.append(piece.text)
            self._offset += 1
            yield piece
        raise _broken(f'the stream stopped at token {self._offset}')

    def _run_call(self, directive: effects.RunCall) -> None:
        end = self._step_end(directive.attempt_id, events.Step.CALL)
        adapter = self._current = self._backends.plain_service(
            directive.url, directive.timeout_s
        )
        if self._aborted.is_set():
            adapter.abort()
        try:
            reply = adapter.call(
                method=self.call.method,
                path=self._work.path,
                body=self._work.body,
                headers={
                    **dict(self._work.headers),
                    'X-Request-Id': self.request_id,
                    'X-Attempt-Id': directive.attempt_id,
                },
                most_bytes=self._work.most_bytes,
            )
        except engine.EngineError as error:
            end(
                known=error.known,
                failure=_call_failure(error),
                message=str(error),
            )
            return
        self._outcome = outcome.Outcome(
            status=reply.status,
            content_type=reply.content_type,
            body=reply.body,
        )
        end(known=verdict.Verdict.RAN, outcome=self._outcome.to_bytes())

    def _step_end(
        self, attempt_id: str, step: events.Step
    ) -> abc.Callable[..., None]:
        return functools.partial(
            self._tell,
            events.StepEnded,
            request_id=self.request_id,
            attempt_id=attempt_id,
            step=step,
            entropy=secrets.randbits(64),
        )

    def _tell(self, event_class: type, **fields: typing.Any) -> None:
        self._post(functools.partial(event_class, **fields))

    def _abort(self) -> None:
        self._aborted.set()
        current = self._current
        if current is not None:
            current.abort()


_RETRY = verdict.RetryReason


def _broken(message: str) -> engine.EngineError:
    return engine.EngineError(message, known=verdict.Verdict.RAN)


def _prefill_failure(error: engine.EngineError) -> verdict.RetryReason:
    if error.reason == _RETRY.CONNECT_REFUSED:
        return _RETRY.CONNECT_REFUSED
    if error.reason == 'busy':
        return _RETRY.BACKEND_BUSY
    return _RETRY.PREFILL_FAILED


def _import_failure(error: engine.EngineError) -> verdict.RetryReason:
    if isinstance(error, engine.StalledError) or error.reason == 'stalled':
        return _RETRY.TRANSFER_STALLED
    if error.reason == 'evicted':
        return _RETRY.KV_EVICTED
    if error.reason == _RETRY.CONNECT_REFUSED:
        return _RETRY.CONNECT_REFUSED
    return _RETRY.IMPORT_REFUSED


def _stream_failure(error: engine.EngineError) -> verdict.RetryReason:
    if isinstance(error, engine.StalledError):
        return _RETRY.STREAM_STALLED
    return _RETRY.STREAM_BROKEN


def _call_failure(error: engine.EngineError) -> verdict.RetryReason:
    if error.reason == 'busy':
        return _RETRY.BACKEND_BUSY
    if error.known == verdict.Verdict.NOT_RUN:
        return _RETRY.CONNECT_REFUSED
    return _RETRY.STREAM_BROKEN
