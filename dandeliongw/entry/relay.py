"""The hands of one request: its thread does what the reducer directs.

The reducer decides and never blocks; this module blocks and never decides.
Tokens flow from the engine's connection to the caller's without passing the
reducer, which hears only how each step ended.
"""

from collections import abc
import contextlib
import functools
import queue
import secrets
import typing

from loguru import logger
import msgspec

from .. import clock as clock_module
from .. import effects
from .. import engine
from .. import events
from .. import verdict
from . import outcome
from . import spacing
from . import step_ends
from . import stops

#: From here on a status tells that the backend server failed; another one
#: may do better if the call may be repeated.
FIRST_FAILURE_STATUS = 500
#: Headers of a caller's call that a plain service gets to see.
PASSED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a caller's request that the reducer has no need of.

    :param is_passed_on: the answer goes back as it comes, and engines number
        the pieces of a resumed stream on from where it broke.
    :param pieces_held: of the stream, which the caller has already.
    """

    prompt: str = ''
    method: str = 'POST'
    path: str = ''
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    most_bytes: int = 8 << 20
    is_passed_on: bool = False
    pieces_held: int = 0


class Finished(msgspec.Struct, frozen=True, kw_only=True):
    """The end of an answer that is whole.

    :param replayed: whether it was recorded by an earlier send.
    :param headers: of a plain service's answer.
    """

    outcome: outcome.Outcome
    replayed: bool = False
    headers: tuple[tuple[str, str], ...] = ()


class Backends(typing.Protocol):
    """Makes the adapters that a relay talks through."""

    def model_engine(
        self, url: str, backend_id: str, pieces_held: int
    ) -> engine.Engine:
        """Return what sends the call to an engine.

        :param pieces_held: of the stream, which the caller has already.
        """
        ...

    def plain_service(
        self, url: str, backend_id: str, timeout_s: float
    ) -> engine.PlainCaller: ...


class Post(typing.Protocol):
    """Hands an event to the reducer, from any thread."""

    def __call__(self, make_event: abc.Callable[..., typing.Any]) -> None: ...


class Relay:
    """Carries one request from its arrival to its answer's end.

    :param post: where events go.
    :param clock: monotonic seconds, as the reducer's.
    """

    def __init__(
        self,
        *,
        request_id: str,
        call: events.Call,
        work: Work,
        backends: Backends,
        post: Post,
        clock: abc.Callable[[], float] = clock_module.now,
    ) -> None:
        self.request_id = request_id
        self.call = call
        self._work = work
        self._backends = backends
        self._post = post
        self._clock = clock
        self._directives: queue.SimpleQueue[
            tuple[float, effects.Directive]
        ] = queue.SimpleQueue()
        self._stops = stops.Stops()
        self._text: list[str] = []
        self._offset = work.pieces_held
        # Where the present engine's count of tokens begins.
        self._base = 0
        self._late_pieces = 0
        self._outcome: outcome.Outcome | None = None
        self._headers: tuple[tuple[str, str], ...] = ()
        self._has_head = False
        self._first_token_at: float | None = None
        self._failed: engine.Reply | None = None

    def give(self, directive: effects.Directive) -> None:
        """Take a directive; called by the runtime, never blocks."""
        if isinstance(directive, effects.Abort):
            self._stops.stop(directive.attempt_id)
        else:
            self._directives.put((self._clock(), directive))

    def pieces(
        self,
    ) -> abc.Iterator[engine.Head | engine.Piece | Finished | verdict.Refusal]:
        """Yield the answer's text as it arrives, then how it ended.

        A stream that is passed on begins with its head. The last item is a
        :class:`Finished` or a ``Refusal``. Closing the
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
            given_at, directive = self._directives.get()
            match directive:
                case effects.Refuse(refusal=refusal):
                    yield self._last_failure(refusal)
                    return
                case effects.Replay(outcome=recorded):
                    yield Finished(
                        outcome=outcome.from_bytes(recorded), replayed=True
                    )
                    return
                case effects.Complete():
                    assert self._outcome is not None
                    yield Finished(
                        outcome=self._outcome, headers=self._headers
                    )
                    return
                case _:
                    yield from self._run(given_at, directive)

    def _last_failure(
        self, refusal: verdict.Refusal
    ) -> Finished | verdict.Refusal:
        """Return a backend server's own failure in place of ours.

        Its caller is told more by it, and nothing that a backend server
        answered is thrown away. A refusal that says "not run" stays.
        """
        if self._failed is None or refusal.verdict is verdict.Verdict.NOT_RUN:
            return refusal
        return Finished(
            outcome=_outcome_of(self._failed), headers=self._failed.headers
        )

    # Steps

    def _run(
        self, given_at: float, directive: typing.Any
    ) -> abc.Iterator[engine.Piece]:
        """Do one step and tell how it ended, whatever comes in between.

        An answer that no adapter foresaw must not end the thread: its caller
        would get no verdict, and its slot would stay booked for seconds.
        """
        attempt_id = directive.attempt_id
        step = _STEP_BY_DIRECTIVE[type(directive)]
        try:
            end = yield from self._do(given_at, directive)
        except engine.EngineError as error:
            end = step_ends.Failed(
                known=error.known,
                failure=step_ends.failure_of(step, error),
                message=str(error),
                is_cut=error.is_cut,
            )
        except (KeyError, TypeError, ValueError, LookupError) as error:
            logger.exception('a backend server was not understood')
            end = step_ends.Failed(
                known=verdict.Verdict.MAY_HAVE_RUN,
                failure=step_ends.GENERAL_FAILURES[step],
                message=f'the answer was not understood: {error!r}',
            )
        finally:
            self._stops.forget(attempt_id)
        self._end_step(step, attempt_id, end)

    def _do(
        self, given_at: float, directive: typing.Any
    ) -> abc.Generator[engine.Piece, None, step_ends.End]:
        start_in_s = getattr(directive, 'start_in_s', 0.0)
        stop = self._stops.event(directive.attempt_id)
        if stop.wait(start_in_s) or stop.is_set():
            return step_ends.Failed.unstarted(
                'it was broken off before it started'
            )
        left_s = given_at + directive.deadline_in_s - self._clock()
        if left_s <= 0:
            # The process was frozen, or the machine is overloaded: nobody
            # waits for the result any more.
            return step_ends.Failed.unstarted(
                'its deadline passed before it started'
            )
        match directive:
            case effects.RunPrefill():
                return self._prefill(directive, left_s)
            case effects.RunDecode():
                return (yield from self._decode(directive, left_s))
        return self._call(directive, left_s)

    def _prefill(
        self, directive: effects.RunPrefill, left_s: float
    ) -> step_ends.Done:
        adapter = self._backends.model_engine(
            directive.url, directive.backend_id, self._offset
        )
        with self._stops.watching(directive.attempt_id, adapter):
            # After a decode engine died mid-stream, the text that the
            # caller already has is part of the prompt, and the engine's
            # count of tokens begins after it.
            self._base = 0 if self._work.is_passed_on else self._offset
            done = adapter.prefill(
                stream_id=self.request_id,
                attempt_id=directive.attempt_id,
                prompt=self._work.prompt + ''.join(self._text),
                priority=directive.priority,
                fence=directive.fence,
                deadline_s=left_s,
            )
        return step_ends.Done(
            known=done.known,
            kv=done.kv,
            tokens=done.tokens,
            cached_tokens=done.cached_tokens,
        )

    def _decode(
        self, directive: effects.RunDecode, left_s: float
    ) -> abc.Generator[engine.Piece, None, step_ends.Done]:
        adapter = self._backends.model_engine(
            directive.url, directive.backend_id, self._offset
        )
        measure = spacing.Spacing()
        with self._stops.watching(directive.attempt_id, adapter):
            if directive.kv or directive.reads:
                self._import(adapter, directive, left_s)
            try:
                yield from self._stream(adapter, directive, left_s, measure)
            except engine.EngineError as error:
                # A whole answer that lacks only its end mark is whole.
                lacks_more = (
                    self._work.is_passed_on
                    or self._offset < self.call.max_tokens
                )
                if directive.kv or lacks_more:
                    raise step_ends.StreamError(error) from error
        self._outcome = outcome.Outcome(
            status=200,
            content_type='application/json',
            text=''.join(self._text),
            tokens=self._offset,
        )
        return step_ends.Done(
            outcome=self._outcome.to_bytes(),
            tokens=self._offset,
            # A resumed stream brings at once what came during the break.
            token_gap_s=measure.mean_s() if directive.kv else 0.0,
            first_piece_at=measure.first_at,
            first_token_at=self._first_token_at,
        )

    def _import(
        self,
        adapter: engine.Engine,
        directive: effects.RunDecode,
        left_s: float,
    ) -> None:
        adapter.import_kv(
            stream_id=self.request_id,
            attempt_id=directive.attempt_id,
            kv=directive.kv,
            source_url=directive.source_url,
            fence=directive.fence,
            deadline_s=left_s,
        )

    def _stream(
        self,
        adapter: engine.Engine,
        directive: effects.RunDecode,
        left_s: float,
        measure: spacing.Spacing,
    ) -> abc.Iterator[engine.Piece]:
        """Pass on what is missing; only the end mark ends a stream.

        A connection that is closed early looks like an end to HTTP, so a
        stream that just stops is an error: the caller would take half an
        answer for the whole one.
        """
        pieces = adapter.decode(
            stream_id=self.request_id,
            attempt_id=directive.attempt_id,
            max_tokens=self.call.max_tokens - self._base,
            from_offset=self._offset - self._base,
            deadline_s=left_s,
        )
        with contextlib.closing(pieces):
            for piece in pieces:
                if isinstance(piece, engine.Head):
                    yield from self._first_head(piece)
                    continue
                if piece.attempt_id != directive.attempt_id:
                    self._late_pieces += 1
                    continue
                offset = piece.offset + self._base
                if offset < self._offset and not piece.is_end:
                    # Sent again after a resume; the caller has it.
                    continue
                if offset != self._offset:
                    raise _broken(f'token {self._offset} is missing')
                if piece.is_end:
                    return
                measure.arrived(self._clock())
                if self._offset == 0:
                    self._first_token_at = measure.first_at
                if not self._work.is_passed_on:
                    self._text.append(piece.text)
                self._offset += 1
                yield msgspec.structs.replace(piece, offset=offset)
                measure.taken(self._clock())
        raise engine.EngineError(
            f'the stream stopped at token {self._offset}',
            known=verdict.Verdict.RAN,
            is_cut=True,
        )

    def _first_head(self, head: engine.Head) -> abc.Iterator[engine.Head]:
        """Pass on the head of the first run; a later one's is not wanted."""
        if not self._has_head:
            self._has_head = True
            yield head

    def _call(
        self, directive: effects.RunCall, left_s: float
    ) -> step_ends.Done:
        adapter = self._backends.plain_service(
            directive.url, directive.backend_id, left_s
        )
        with self._stops.watching(directive.attempt_id, adapter):
            reply = adapter.call(
                method=self.call.method,
                path=self._work.path,
                body=self._work.body,
                headers={
                    **dict(self._work.headers),
                    'X-Request-Id': self.request_id,
                    'X-Attempt-Id': directive.attempt_id,
                    'X-Deadline-S': f'{left_s:.3f}',
                },
                most_bytes=self._work.most_bytes,
            )
        if self._work.is_passed_on and reply.status >= FIRST_FAILURE_STATUS:
            self._failed = reply
            raise engine.EngineError(
                f'the backend server answered {reply.status}',
                known=verdict.Verdict.MAY_HAVE_RUN,
            )
        self._headers = reply.headers
        self._outcome = _outcome_of(reply)
        return step_ends.Done(outcome=self._outcome.to_bytes())

    def _end_step(
        self, step: events.Step, attempt_id: str, end: step_ends.End
    ) -> None:
        late_pieces, self._late_pieces = self._late_pieces, 0
        fields = {
            field.name: getattr(end, field.name)
            for field in msgspec.structs.fields(end)
        }
        if step is events.Step.DECODE:
            fields['tokens'] = self._offset
        self._tell(
            events.StepEnded,
            request_id=self.request_id,
            attempt_id=attempt_id,
            step=step,
            late_pieces=late_pieces,
            entropy=secrets.randbits(64),
            **fields,
        )

    def _tell(self, event_class: type, **fields: typing.Any) -> None:
        self._post(functools.partial(event_class, **fields))


def _outcome_of(reply: engine.Reply) -> outcome.Outcome:
    return outcome.Outcome(
        status=reply.status,
        content_type=reply.content_type,
        body=reply.body,
    )


_STEP_BY_DIRECTIVE = {
    effects.RunPrefill: events.Step.PREFILL,
    effects.RunDecode: events.Step.DECODE,
    effects.RunCall: events.Step.CALL,
}


def _broken(message: str) -> engine.EngineError:
    return engine.EngineError(message, known=verdict.Verdict.RAN)
