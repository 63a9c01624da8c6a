"""The worker of one request: runs the steps that the reducer directs.

The reducer makes all decisions and never blocks. This module does the
blocking I/O in the request's own thread and makes no decisions. Tokens flow
from the engine's connection to the client's without passing through the
reducer, which is notified only of how each step ended.
"""

from collections import abc
import contextlib
import functools
import queue
import secrets
import threading
import typing

from loguru import logger
import msgspec

from .. import answer_memory
from .. import clock as clock_module
from .. import effects
from .. import engine
from .. import events
from .. import verdict
from . import cancellations
from . import outcome
from . import progress
from . import step_results
from . import token_gaps

#: Lowest HTTP status that counts as a failure of the backend server. The call
#: is then sent to another one, if it may be repeated.
FIRST_FAILURE_STATUS = 500
#: Headers of the client's call that are forwarded to a plain service.
PASSED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')


#: Seconds between two checks whether an attempt whose answer is held was
#: aborted.
ABORT_CHECK_S = 0.05


class RequestPayload(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a client's request that the reducer does not need.

    :param is_pass_through: the answer is forwarded unchanged, and when a
        stream is resumed, the engine continues the numbering of its pieces.
    :param max_bytes: upper bound for the body of a plain service's answer.
    :param pieces_received: number of stream pieces that the client already
        has.
    """

    prompt: str = ''
    method: str = 'POST'
    path: str = ''
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    max_bytes: int = 8 << 20
    is_pass_through: bool = False
    pieces_received: int = 0


class Finished(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a complete answer.

    :param replayed: whether the answer was recorded by an earlier send.
    :param headers: of a plain service's answer.
    :param holding: what is held of a plain service's answer; whoever takes
        this item releases it when the answer was sent.
    """

    outcome: outcome.Outcome
    replayed: bool = False
    headers: tuple[tuple[str, str], ...] = ()
    holding: answer_memory.Holding | None = None

    def release(self) -> None:
        """Give back the memory of the answer."""
        if self.holding is not None:
            self.holding.release()


class Backends(typing.Protocol):
    """Creates the adapters that connect a relay to backend servers."""

    def model_engine(
        self,
        url: str,
        backend_id: str,
        pieces_received: int,
        told_account: str | None,
        on_rate_limit: engine.RateLimitObserver,
    ) -> engine.Engine:
        """Return an adapter for an engine.

        :param pieces_received: number of stream pieces that the client already
            has.
        :param told_account: see ``admission.Admitted``.
        :param on_rate_limit: called for the head of each answer.
        """
        ...

    def plain_service(
        self,
        url: str,
        backend_id: str,
        timeout_s: float,
        told_account: str | None,
        on_rate_limit: engine.RateLimitObserver,
    ) -> engine.PlainServiceAdapter: ...


class Post(typing.Protocol):
    """Posts an event to the reducer; thread-safe."""

    def __call__(self, make_event: abc.Callable[..., typing.Any]) -> None: ...


class Relay:
    """Runs one request from its arrival to the end of its answer.

    :param backends: creates the adapters for backend servers.
    :param post: posts events to the reducer.
    :param has_memory: whether there is room for an answer.
    :param clock: returns monotonic seconds; the same clock as the reducer's.
    """

    def __init__(
        self,
        *,
        request_id: str,
        call: events.Call,
        payload: RequestPayload,
        backends: Backends,
        post: Post,
        has_memory: bool = True,
        clock: abc.Callable[[], float] = clock_module.now,
    ) -> None:
        self.request_id = request_id
        self.call = call
        self._payload = payload
        self._backends = backends
        self._post = post
        self._clock = clock
        self._directives: queue.SimpleQueue[
            tuple[float, effects.Directive]
        ] = queue.SimpleQueue()
        self._cancellations = cancellations.Cancellations()
        self._text: list[str] = []
        self._offset = payload.pieces_received
        # Offset in the answer at which the current engine starts counting.
        self._base = 0
        self._late_pieces = 0
        self._outcome: outcome.Outcome | None = None
        self._headers: tuple[tuple[str, str], ...] = ()
        self._has_sent_head = False
        self._answer_allowed = threading.Event()
        self._first_token_at: float | None = None
        self._failed_reply: engine.Reply | None = None
        self._has_memory = has_memory
        #: Of the reply that is the answer.
        self._holding: answer_memory.Holding | None = None
        #: Of the replies of plain services, until they are handed over.
        self._holdings: list[answer_memory.Holding] = []

    def put_directive(self, directive: effects.Directive) -> None:
        """Accept a directive; called by the runtime, never blocks."""
        match directive:
            case effects.Abort():
                self._cancellations.cancel(directive.attempt_id)
            case effects.AllowAnswer():
                self._answer_allowed.set()
            case effects.Withdraw():
                self._cancellations.withdraw(
                    directive.attempt_id,
                    directive.backend_id,
                    is_forced=directive.is_forced,
                )
            case _:
                self._directives.put((self._clock(), directive))

    def pieces(
        self,
    ) -> abc.Iterator[
        engine.ResponseHead | engine.Piece | Finished | verdict.Refusal
    ]:
        """Yield the pieces of the answer as they arrive, then its end.

        A stream that is forwarded unchanged begins with its head. The last
        item is a :class:`Finished` or a ``Refusal``. Closing the iterator
        early notifies the reducer that the client has disconnected.
        """
        ended = False
        try:
            yield from self._run_directives()
            ended = True
        finally:
            if not ended:
                self._post_event(events.CallerGone, request_id=self.request_id)
            for holding in self._holdings:
                holding.release()
            self._post_event(events.RequestClosed, request_id=self.request_id)

    def _run_directives(
        self,
    ) -> abc.Iterator[engine.Piece | Finished | verdict.Refusal]:
        self._post_event(
            events.RequestArrived,
            request_id=self.request_id,
            call=self.call,
            entropy=secrets.randbits(64),
            has_memory=self._has_memory,
        )
        while True:
            given_at, directive = self._directives.get()
            match directive:
                case effects.Refuse(refusal=refusal):
                    yield self._prefer_failed_reply(refusal)
                    return
                case effects.Replay(outcome=recorded):
                    yield Finished(
                        outcome=outcome.from_bytes(recorded), replayed=True
                    )
                    return
                case effects.Complete():
                    assert self._outcome is not None
                    yield self._hand_over(
                        Finished(
                            outcome=self._outcome,
                            headers=self._headers,
                            holding=self._holding,
                        )
                    )
                    return
                case _:
                    yield from self._run(given_at, directive)

    def _prefer_failed_reply(
        self, refusal: verdict.Refusal
    ) -> Finished | verdict.Refusal:
        """Return the last failure answer of a backend server, if any.

        It replaces the refusal, because it gives the client more detail and
        no answer of a backend server is discarded. A refusal with the verdict
        "not run" is kept.
        """
        if (
            self._failed_reply is None
            or refusal.verdict is verdict.Verdict.NOT_RUN
        ):
            return refusal
        return self._hand_over(
            Finished(
                outcome=_outcome_of(self._failed_reply),
                headers=self._failed_reply.headers,
                holding=self._failed_reply.holding,
            )
        )

    def _hand_over(self, finished: Finished) -> Finished:
        """Leave the release of an answer to whoever sends it."""
        if finished.holding is not None:
            self._holdings.remove(finished.holding)
        return finished

    # Steps

    def _run(
        self, given_at: float, directive: typing.Any
    ) -> abc.Iterator[engine.Piece]:
        """Run one step and report how it ended, also after an error.

        An answer that an adapter cannot parse must not end the thread.
        Otherwise the client would get no verdict, and the slot would stay
        booked for seconds.
        """
        attempt_id = directive.attempt_id
        step = _STEP_BY_DIRECTIVE[type(directive)]
        try:
            end = yield from self._start_step(given_at, directive)
        except engine.EngineError as error:
            if error.is_leaving:
                self._post_leave(directive)
            end = step_results.Failed.of_error(step, error)
        except (KeyError, TypeError, ValueError, LookupError) as error:
            logger.exception('could not process backend server answer')
            end = step_results.Failed(
                known=verdict.Verdict.MAY_HAVE_RUN,
                failure=step_results.GENERAL_FAILURES[step],
                message=f'the answer was not understood: {error!r}',
            )
        finally:
            self._cancellations.forget(attempt_id)
        self._end_step(step, attempt_id, end)

    def _start_step(
        self, given_at: float, directive: typing.Any
    ) -> abc.Generator[engine.Piece, None, step_results.StepResult]:
        start_in_s = getattr(directive, 'start_in_s', 0.0)
        stop = self._cancellations.event(directive.attempt_id)
        if stop.wait(start_in_s) or stop.is_set():
            return step_results.Failed.unstarted(
                'it was broken off before it started'
            )
        left_s = given_at + directive.deadline_in_s - self._clock()
        if left_s <= 0:
            # The process was suspended, or the machine is overloaded: the
            # client no longer waits for the result.
            return step_results.Failed.unstarted(
                'its deadline passed before it started'
            )
        match directive:
            case effects.RunPrefill():
                return self._prefill(directive, left_s)
            case effects.RunDecode():
                return (yield from self._decode(directive, left_s))
        return self._call(directive, left_s)

    def _registered(
        self, directive: typing.Any, adapter: typing.Any
    ) -> contextlib.AbstractContextManager[None]:
        return self._cancellations.registered(
            directive.attempt_id, directive.backend_id, adapter
        )

    def _prefill(
        self, directive: effects.RunPrefill, left_s: float
    ) -> step_results.Done:
        adapter = self._backends.model_engine(
            directive.url,
            directive.backend_id,
            self._offset,
            directive.told_account,
            self._rate_limit_observer(directive),
        )
        with self._registered(directive, adapter):
            # When a decode engine failed mid-stream, the text that the
            # client already has becomes part of the prompt, and the new
            # engine counts tokens from the end of that text.
            self._base = 0 if self._payload.is_pass_through else self._offset
            done = adapter.prefill(
                stream_id=self.request_id,
                attempt_id=directive.attempt_id,
                prompt=self._payload.prompt + ''.join(self._text),
                priority=directive.priority,
                fence=directive.fence,
                deadline_s=left_s,
            )
        if done.is_leaving:
            self._post_leave(directive)
        return step_results.Done(
            known=done.known,
            kv=done.kv,
            tokens=done.tokens,
            cached_tokens=done.cached_tokens,
        )

    def _decode(
        self, directive: effects.RunDecode, left_s: float
    ) -> abc.Generator[engine.Piece, None, step_results.Done]:
        adapter = self._backends.model_engine(
            directive.url,
            directive.backend_id,
            self._offset,
            directive.told_account,
            self._rate_limit_observer(directive),
        )
        measure = token_gaps.TokenGapMeter()
        with self._registered(directive, adapter):
            if directive.kv or directive.reads:
                self._import(adapter, directive, left_s)
            try:
                yield from self._stream(adapter, directive, left_s, measure)
            except engine.EngineError as error:
                # An answer that lacks only its end mark is complete.
                lacks_more = (
                    self._payload.is_pass_through
                    or self._offset < self.call.max_tokens
                )
                if directive.kv or lacks_more:
                    raise step_results.StreamError(
                        error, measure=measure
                    ) from error
        self._outcome = outcome.Outcome(
            status=200,
            content_type='application/json',
            text=''.join(self._text),
            tokens=self._offset,
        )
        return step_results.Done(
            outcome=self._recorded(),
            tokens=self._offset,
            # A resumed stream delivers at once the tokens that were generated
            # during the interruption, so its gaps are not measured.
            token_gap_s=measure.mean_s() if directive.kv else 0.0,
            first_piece_at=measure.first_at,
            last_piece_at=measure.last_at,
            pieces=measure.count,
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
        measure: token_gaps.TokenGapMeter,
    ) -> abc.Iterator[engine.Piece]:
        """Forward the missing pieces until the stream's end mark.

        To HTTP, a connection that is closed early can look like the regular
        end of a body. So a stream without an end mark is an error; otherwise
        the client would take a truncated answer for a complete one.
        """
        pieces = adapter.decode(
            stream_id=self.request_id,
            attempt_id=directive.attempt_id,
            max_tokens=self.call.max_tokens - self._base,
            from_offset=self._offset - self._base,
            deadline_s=left_s,
        )
        has_gone_on = False
        with contextlib.closing(pieces):
            for piece in pieces:
                if isinstance(piece, engine.ResponseHead):
                    if piece.is_leaving:
                        self._post_leave(directive)
                    if directive.holds_answer:
                        self._await_permission(directive, left_s)
                    yield from self._forward_first_head(piece)
                    continue
                if piece.attempt_id != directive.attempt_id:
                    self._late_pieces += 1
                    continue
                offset = piece.offset + self._base
                if offset < self._offset and not piece.is_end:
                    # Repeated after a resume; the client already has it.
                    continue
                if offset != self._offset:
                    raise _stream_error(f'token {self._offset} is missing')
                if piece.is_end:
                    return
                measure.arrived(self._clock())
                if self._offset == 0:
                    self._first_token_at = measure.first_at
                if not self._payload.is_pass_through:
                    self._text.append(piece.text)
                self._offset += 1
                if not has_gone_on and progress.has_gone_on(
                    measure.count, measure.writing_s
                ):
                    has_gone_on = True
                    self._post_event(
                        events.AnswerGoesOn,
                        request_id=self.request_id,
                        attempt_id=directive.attempt_id,
                    )
                yield msgspec.structs.replace(piece, offset=offset)
                measure.taken(self._clock())
        raise engine.EngineError(
            f'the stream stopped at token {self._offset}',
            known=verdict.Verdict.RAN,
            is_cut=True,
        )

    def _await_permission(
        self, directive: effects.RunDecode, left_s: float
    ) -> None:
        """Wait until the answer may leave.

        :raises EngineError: if the attempt is aborted first.
        """
        stop = self._cancellations.event(directive.attempt_id)
        gives_up_at = self._clock() + left_s
        while not self._answer_allowed.wait(ABORT_CHECK_S):
            if stop.is_set() or self._clock() >= gives_up_at:
                break
        if stop.is_set() or not self._answer_allowed.is_set():
            raise engine.EngineError(
                'broken off before its answer was allowed to leave',
                known=verdict.Verdict.MAY_HAVE_RUN,
            )

    def _forward_first_head(
        self, head: engine.ResponseHead
    ) -> abc.Iterator[engine.ResponseHead]:
        """Forward the head of the first run and drop those of later runs."""
        if not self._has_sent_head:
            self._has_sent_head = True
            yield head

    def _call(
        self, directive: effects.RunCall, left_s: float
    ) -> step_results.Done:
        adapter = self._backends.plain_service(
            directive.url,
            directive.backend_id,
            left_s,
            directive.told_account,
            self._rate_limit_observer(directive),
        )
        with self._registered(directive, adapter):
            reply = adapter.call(
                method=self.call.method,
                path=self._payload.path,
                body=self._payload.body,
                headers={
                    **dict(self._payload.headers),
                    'X-Request-Id': self.request_id,
                    'X-Attempt-Id': directive.attempt_id,
                    'X-Deadline-S': f'{left_s:.3f}',
                },
                max_bytes=self._payload.max_bytes,
            )
        if reply.holding is not None:
            self._holdings.append(reply.holding)
        if reply.is_leaving:
            self._post_leave(directive)
        if (
            self._payload.is_pass_through
            and reply.status >= FIRST_FAILURE_STATUS
        ):
            self._failed_reply = reply
            raise engine.EngineError(
                f'the backend server answered {reply.status}',
                known=verdict.Verdict.MAY_HAVE_RUN,
                rest_s=reply.rest_s,
            )
        self._headers = reply.headers
        self._holding = reply.holding
        self._outcome = _outcome_of(reply)
        return step_results.Done(outcome=self._recorded())

    def _recorded(self) -> bytes:
        """Return the outcome as it is recorded under the call's claim."""
        if self.call.idempotency_key is None:
            return b''
        return self._outcome.to_bytes()

    def _post_leave(self, directive: typing.Any) -> None:
        self._post_event(
            events.LeaveStated,
            request_id=self.request_id,
            attempt_id=directive.attempt_id,
            step=_STEP_BY_DIRECTIVE[type(directive)],
        )

    def _rate_limit_observer(
        self, directive: typing.Any
    ) -> engine.RateLimitObserver:
        """Return the observer that notifies the reducer of rate limits."""

        def observe(per_s: float | None) -> None:
            if per_s is not None or directive.is_rate_limited:
                self._post_event(
                    events.RateLimitStated,
                    request_id=self.request_id,
                    attempt_id=directive.attempt_id,
                    step=_STEP_BY_DIRECTIVE[type(directive)],
                    per_s=per_s,
                )

        return observe

    def _end_step(
        self, step: events.Step, attempt_id: str, end: step_results.StepResult
    ) -> None:
        late_pieces, self._late_pieces = self._late_pieces, 0
        fields = {
            field.name: getattr(end, field.name)
            for field in msgspec.structs.fields(end)
        }
        if step is events.Step.DECODE:
            fields['tokens'] = self._offset
        self._post_event(
            events.StepEnded,
            request_id=self.request_id,
            attempt_id=attempt_id,
            step=step,
            late_pieces=late_pieces,
            entropy=secrets.randbits(64),
            **fields,
        )

    def _post_event(self, event_class: type, **fields: typing.Any) -> None:
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


def _stream_error(message: str) -> engine.EngineError:
    return engine.EngineError(message, known=verdict.Verdict.RAN)
