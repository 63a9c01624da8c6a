"""The callers' border: checks what came in, gives out what came back.

A CherryPy application for one HTTP port. A handler's thread belongs to its
request until the answer has ended; see ``relay.py``.
"""

from collections import abc
import dataclasses
import hashlib
import json
import re
import time
import typing
import urllib.parse
import uuid

import cherrypy
from loguru import logger

from . import _application
from . import engine
from . import events
from . import metrics as metrics_module
from . import policy
from . import relay
from . import verdict
from . import web

_REASON = verdict.RefusalReason

#: HTTP status by refusal reason; a caller that only looks at the status
#: still learns whether to come back (429, 503) or to change the call.
STATUS_BY_REASON = {
    _REASON.BAD_REQUEST: 400,
    _REASON.TOO_LARGE: 413,
    _REASON.UNKNOWN_ACCOUNT: 401,
    _REASON.ACCOUNT_LIMIT: 429,
    _REASON.UNKNOWN_SERVICE: 404,
    _REASON.UNKNOWN_ROUTE: 404,
    _REASON.KEY_REUSED: 422,
    _REASON.IN_PROGRESS: 409,
    _REASON.OUTCOME_UNKNOWN: 409,
    _REASON.DEADLINE_PASSED: 504,
    _REASON.BACKEND_FAILED: 502,
    _REASON.RETRIES_SPENT: 502,
    _REASON.CALLER_GONE: 499,
}
#: For the reasons above that aren't listed: come back later.
DEFAULT_STATUS = 503
MAX_KEY_CHARACTERS = 255
DEFAULT_MAX_TOKENS = 256
MOST_MAX_TOKENS = 65536
_TARGET_PATTERN = re.compile(r'[\x21-\x7e]{1,8192}')
_KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,255}')


class BadCall(Exception):
    """A call that can't be understood; becomes a refusal."""

    def __init__(
        self, message: str, reason: verdict.RefusalReason = _REASON.BAD_REQUEST
    ) -> None:
        super().__init__(message)
        self.reason = reason

    def refusal(self) -> verdict.Refusal:
        return verdict.Refusal(
            reason=self.reason,
            verdict=verdict.Verdict.NOT_RUN,
            message=str(self),
        )


class Gate(typing.Protocol):
    """What the border needs of the server around it."""

    def open_relay(
        self, *, call: events.Call, work: relay.Work, request_id: str
    ) -> relay.Relay:
        """Start to carry a request, watching the caller's socket."""
        ...

    def close_relay(self, request_id: str) -> None: ...

    @property
    def is_leaving(self) -> bool:
        """Whether the instance is about to end."""
        ...

    def entries(self) -> dict[str, typing.Any]: ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Completion:
    """A checked completions call."""

    call: events.Call
    prompt: str
    stream: bool


class Callers:
    """The handlers.

    :param max_body_bytes: longest body that is read.
    :param max_outcome_bytes: longest answer of a plain service.
    """

    def __init__(
        self,
        *,
        gate: Gate,
        metrics: metrics_module.Metrics,
        max_body_bytes: int,
    ) -> None:
        self._gate = gate
        self._metrics = metrics
        self._max_body_bytes = max_body_bytes

    def entries(self) -> bytes:
        """``GET /v1/entries``."""
        return _json_body(self._gate.entries())

    def completions(self) -> bytes | abc.Iterator[bytes]:
        """``POST /v1/completions``."""
        request_id = _new_request_id()
        try:
            body = self._read_body()
            completion = read_completion(body, cherrypy.request.headers)
        except BadCall as error:
            return self._refuse(request_id, error.refusal())
        work = relay.Work(prompt=completion.prompt)
        answer = Answer(
            gate=self._gate,
            metrics=self._metrics,
            request_id=request_id,
            carrier=self._gate.open_relay(
                call=completion.call, work=work, request_id=request_id
            ),
        )
        first = answer.first()
        if isinstance(first, verdict.Refusal):
            return self._refuse(request_id, first)
        if completion.stream:
            cherrypy.response.headers['Content-Type'] = 'text/event-stream'
            cherrypy.response.headers['Cache-Control'] = 'no-store'
            return EventStream(answer)
        return self._whole_completion(request_id, answer)

    def _whole_completion(self, request_id: str, answer: 'Answer') -> bytes:
        last = answer.last()
        if isinstance(last, verdict.Refusal):
            return self._refuse(request_id, last)
        _mark_replay(last)
        return _json_body(
            {
                'id': request_id,
                'object': 'text_completion',
                'choices': [
                    {
                        'index': 0,
                        'text': last.outcome.text,
                        'finish_reason': 'stop',
                    }
                ],
                'usage': {'completion_tokens': last.outcome.tokens},
            }
        )

    def services(self, target: 'Target') -> bytes:
        """Any call below ``/services/<service>/``."""
        request_id = _new_request_id()
        try:
            body = self._read_body()
            call, work = read_plain_call(target, body, cherrypy.request)
        except BadCall as error:
            return self._refuse(request_id, error.refusal())
        answer = Answer(
            gate=self._gate,
            metrics=self._metrics,
            request_id=request_id,
            carrier=self._gate.open_relay(
                call=call, work=work, request_id=request_id
            ),
        )
        last = answer.last()
        if isinstance(last, verdict.Refusal):
            return self._refuse(request_id, last)
        _mark_replay(last)
        cherrypy.response.status = last.outcome.status
        cherrypy.response.headers['Content-Type'] = (
            last.outcome.content_type or 'application/octet-stream'
        )
        return _whole(last.outcome.body)

    def _read_body(self) -> bytes:
        """Return the whole body, or nothing of it.

        :raises BadCall: also for a body that stopped before its end. Half a
            booking must not be passed on as one.
        """
        headers = cherrypy.request.headers
        length = headers.get('Content-Length')
        if length is not None and 'Transfer-Encoding' in headers:
            raise BadCall(
                'Content-Length: must not be given with Transfer-Encoding'
            )
        if length is not None and not re.fullmatch('[0-9]{1,18}', length):
            raise BadCall(
                f'Content-Length: given {length!r}; must be a whole number, '
                'not negative'
            )
        if length is not None and int(length) > self._max_body_bytes:
            raise self._too_large(length)
        body = _read_some(self._max_body_bytes + 1)
        if len(body) > self._max_body_bytes:
            raise self._too_large(f'more than {self._max_body_bytes}')
        if length is not None and len(body) < int(length):
            raise BadCall(
                f'the body has {len(body)} bytes; Content-Length says {length}'
            )
        return body

    def _too_large(self, size: str) -> BadCall:
        return BadCall(
            f'the body has {size} bytes; at most {self._max_body_bytes} are '
            'read',
            _REASON.TOO_LARGE,
        )

    def end_connection_if_due(self) -> None:
        """Let the next call come over another connection if it must.

        A kept connection is closed when the process ends, perhaps just as
        a call comes over it: its caller could not tell whether it ran. And
        callers that keep one would not look for another instance.
        """
        if self._gate.is_leaving or not _is_read_to_its_end():
            _close_connection()

    def refuse_call(self, error: BadCall) -> bytes:
        """Refuse a call whose request line is not understood."""
        return self._refuse(_new_request_id(), error.refusal())

    def _refuse(self, request_id: str, refusal: verdict.Refusal) -> bytes:
        if refusal.reason in (_REASON.BAD_REQUEST, _REASON.TOO_LARGE):
            # These never reach the reducer, which counts all the others.
            self._metrics.count_refusal(refusal)
        cherrypy.response.status = STATUS_BY_REASON.get(
            refusal.reason, DEFAULT_STATUS
        )
        if refusal.retry_after_s is not None:
            # The header takes whole seconds; the body has the exact value.
            whole_s = max(1, int(refusal.retry_after_s + 0.999))
            cherrypy.response.headers['Retry-After'] = str(whole_s)
        return _json_body(refusal_fields(request_id, refusal))


class Answer:
    """An answer on its way to the caller, measured."""

    def __init__(
        self,
        *,
        gate: Gate,
        metrics: metrics_module.Metrics,
        request_id: str,
        carrier: relay.Relay,
    ) -> None:
        self._gate = gate
        self._metrics = metrics
        self._request_id = request_id
        self._service = carrier.call.service
        self._began_at = time.monotonic()
        self._last_at = self._began_at
        self._pieces = carrier.pieces()
        self._first: typing.Any = None

    def first(self) -> typing.Any:
        """Wait for the first item, which decides the HTTP status.

        A refusal ends the answer.
        """
        try:
            self._first = self._next()
        except BaseException:
            self.close()
            raise
        if isinstance(self._first, verdict.Refusal):
            self.close()
        return self._first

    def last(self) -> relay.Finished | verdict.Refusal:
        """Wait for the end, dropping pieces that come before it."""
        try:
            item = self._first or self._next()
            while isinstance(item, engine.Piece):
                item = self._next()
            return item
        finally:
            self.close()

    def as_events(self) -> abc.Iterator[bytes]:
        """Yield the answer as server-sent events.

        Only ``[DONE]`` ends a whole answer. An error after the first token
        can't change the status any more, so it is an event of its own, and
        no ``[DONE]`` follows it.
        """
        item = self._first
        while isinstance(item, engine.Piece):
            yield _event(self._chunk(item.text, None))
            item = self._next()
        if isinstance(item, verdict.Refusal):
            fields = refusal_fields(self._request_id, item)
            yield b'event: error\n' + _event(fields)
            return
        text = item.outcome.text if item.replayed else ''
        yield _event(self._chunk(text, 'stop'))
        yield b'data: [DONE]\n\n'

    def close(self) -> None:
        """Tell the reducer that this thread is done with the request."""
        self._pieces.close()
        self._gate.close_relay(self._request_id)

    def _chunk(self, text: str, finish_reason: str | None) -> dict:
        return {
            'id': self._request_id,
            'object': 'text_completion',
            'choices': [
                {'index': 0, 'text': text, 'finish_reason': finish_reason}
            ],
        }

    def _next(self) -> typing.Any:
        item = next(self._pieces)
        if isinstance(item, engine.Piece):
            self._measure(item)
        elif isinstance(item, relay.Finished):
            self._metrics.count_answer(verdict.Verdict.RAN)
            logger.bind(request_id=self._request_id).info(
                'answered', service=self._service
            )
        return item

    def _measure(self, piece: engine.Piece) -> None:
        now = time.monotonic()
        if piece.offset == 0:
            self._metrics.observe_first_token(
                self._service, now - self._began_at
            )
        else:
            self._metrics.observe_token_gap(self._service, now - self._last_at)
        self._last_at = now


class EventStream:
    """The events of an answer, closed whether or not they were begun.

    A generator that was never begun runs no ``finally``. When the caller
    leaves between the first token and the headers, one would see a request
    that never ends, and its slot with it.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._events = answer.as_events()

    def __iter__(self) -> 'EventStream':
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._events)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        self._answer.close()


def refusal_fields(
    request_id: str, refusal: verdict.Refusal
) -> dict[str, typing.Any]:
    """Return the JSON error that a caller gets."""
    return {
        'error': {
            'request_id': request_id,
            'reason': refusal.reason.value,
            'verdict': refusal.verdict.value,
            'message': refusal.message,
            'retry_after_s': refusal.retry_after_s,
        }
    }


def read_completion(body: bytes, headers: abc.Mapping[str, str]) -> Completion:
    """Check an OpenAI-style completions call.

    :raises BadCall: naming the field, what was given and what is allowed.
    """
    fields = _read_object(body)
    prompt = fields.get('prompt')
    if not isinstance(prompt, str) or not prompt:
        raise BadCall(
            f'prompt: given {_shown(prompt)}; must be a string that is not '
            'empty (lists and token numbers are not taken)'
        )
    if not _is_unicode(prompt):
        raise BadCall('prompt: has half of a surrogate pair')
    max_tokens = fields.get('max_tokens', DEFAULT_MAX_TOKENS)
    is_count = isinstance(max_tokens, int) and max_tokens is not True
    if not is_count or not 1 <= max_tokens <= MOST_MAX_TOKENS:
        raise BadCall(
            f'max_tokens: given {_shown(max_tokens)}; must be a whole number '
            f'from 1 to {MOST_MAX_TOKENS}'
        )
    stream = fields.get('stream', False)
    if not isinstance(stream, bool):
        raise BadCall(f'stream: given {_shown(stream)}; must be true or false')
    model = fields.get('model')
    if not isinstance(model, str) or not _is_unicode(model):
        raise BadCall(
            f'model: given {_shown(model)}; must be the name of a service'
        )
    call = events.Call(
        service=model,
        method='POST',
        path='/v1/completions',
        streamed=True,
        key_sha256=_account_key(headers),
        idempotency_key=_idempotency_key(headers),
        digest=_digest('POST', '/v1/completions', body),
        prompt_tokens=len(prompt.split()),
        max_tokens=max_tokens,
        prefix=policy.hash_blocks(prompt),
        priority=headers.get('X-Priority'),
        deadline_s=_deadline(headers),
    )
    return Completion(call=call, prompt=prompt, stream=stream)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Where a call goes, by the request line.

    :param segments: of the path, decoded; the first three at most.
    :param rest: what follows them, as it was sent, with the query.
    :param path: ``rest`` without the query, decoded; for the routes.
    """

    segments: tuple[str, ...]
    rest: str
    path: str


def read_target(uri: str) -> Target:
    """Take the request line's URI apart.

    The framework's own view of it has lost slashes at the end, doubled ones
    and what was encoded. A plain service must get what its caller sent, and
    the document's routes must mean the same path as the service does.

    :raises BadCall: for paths that two readers may take for two.
    """
    if not _TARGET_PATTERN.fullmatch(uri):
        raise BadCall(
            f'the path is {uri[:80]!r}; it must be visible ASCII, all else '
            'percent-encoded'
        )
    parts = urllib.parse.urlsplit(uri)
    _, first, *others = [*parts.path.split('/', 3), '', '', ''][:4]
    rest = '/' + others[1]
    path = _decode_path(rest)
    query = f'?{parts.query}' if parts.query else ''
    return Target(
        segments=tuple(_decode_path(each) for each in (first, others[0])),
        rest=rest + query,
        path=path,
    )


def _decode_path(raw: str) -> str:
    try:
        path = urllib.parse.unquote(raw, errors='strict')
    except UnicodeDecodeError as error:
        raise BadCall(f'the path is not UTF-8: {raw[:80]!r}') from error
    # A service that resolves ".." would run another call than the one whose
    # route, idempotent or not, was looked up here.
    if {'.', '..'} & set(re.split(r'[/\\]', path)) or '%2f' in raw.lower():
        raise BadCall(
            f'the path is {path[:80]!r}; it must not have "." or ".." '
            'as a part, nor an encoded slash'
        )
    if not path.isprintable():
        raise BadCall(f'the path has control characters: {path[:80]!r}')
    return path


def read_plain_call(
    target: Target, body: bytes, request: typing.Any
) -> tuple[events.Call, relay.Work]:
    """Check a call for a plain service."""
    headers = request.headers
    call = events.Call(
        service=target.segments[1],
        method=request.method,
        path=target.path,
        streamed=False,
        key_sha256=_account_key(headers),
        idempotency_key=_idempotency_key(headers),
        digest=_digest(request.method, target.rest, body),
        priority=headers.get('X-Priority'),
        deadline_s=_deadline(headers),
    )
    passed = tuple(
        (name, headers[name])
        for name in relay.PASSED_HEADERS
        if name in headers
    )
    return call, relay.Work(path=target.rest, body=body, headers=passed)


def _read_object(body: bytes) -> dict[str, typing.Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadCall(f'the body is not JSON: {error}') from error
    if not isinstance(fields, dict):
        raise BadCall('the body must be a JSON object')
    return fields


def _shown(value: typing.Any) -> str:
    """Return a value as JSON, shortened."""
    return json.dumps(value)[:80]


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _account_key(headers: abc.Mapping[str, str]) -> str:
    value = headers.get('Authorization', '')
    scheme, _, key = value.partition(' ')
    if scheme.lower() != 'bearer' or not key:
        return ''
    return hashlib.sha256(key.strip().encode()).hexdigest()


def _idempotency_key(headers: abc.Mapping[str, str]) -> str | None:
    key = headers.get('Idempotency-Key')
    if key is not None and not _KEY_PATTERN.fullmatch(key):
        raise BadCall(
            f'Idempotency-Key: given {key!r}; must be 1 to '
            f'{MAX_KEY_CHARACTERS} visible ASCII characters'
        )
    return key


def _deadline(headers: abc.Mapping[str, str]) -> float | None:
    text = headers.get('X-Deadline-S')
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float('inf'):
        raise BadCall(
            f'X-Deadline-S: given {text!r}; must be seconds, more than 0'
        )
    return seconds


def _digest(method: str, target: str, body: bytes) -> bytes:
    digest = hashlib.sha256(f'{method} {target}\n'.encode())
    digest.update(body)
    return digest.digest()


def _read_some(most: int) -> bytes:
    try:
        return cherrypy.request.rfile.read(most)
    except (ValueError, OSError) as error:
        # A chunk that is none, or a caller that sends nothing more.
        raise BadCall(f'the body did not arrive whole: {error}') from error


def _is_read_to_its_end() -> bool:
    """Whether what follows on the connection is the next call.

    What is left of a body would be read as a call, sent by nobody. After a
    chunked one there may be trailers.
    """
    if 'Transfer-Encoding' in cherrypy.request.headers:
        return False
    return not getattr(cherrypy.request.rfile, 'remaining', 0)


def _close_connection() -> None:
    """Let no other call come over this connection."""
    cherrypy.response.headers['Connection'] = 'close'
    carried = cherrypy.request.wsgi_environ.get(web.REQUEST_KEY)
    if carried is not None:
        carried.close_connection = True


def _new_request_id() -> str:
    request_id = uuid.uuid4().hex
    cherrypy.response.headers['X-Request-Id'] = request_id
    return request_id


def _mark_replay(finished: relay.Finished) -> None:
    if finished.replayed:
        cherrypy.response.headers['Idempotent-Replay'] = 'true'


def _event(fields: dict[str, typing.Any]) -> bytes:
    return b'data: ' + json.dumps(fields).encode() + b'\n\n'


def _json_body(fields: dict[str, typing.Any]) -> bytes:
    cherrypy.response.headers['Content-Type'] = 'application/json'
    return _whole(json.dumps(fields).encode() + b'\n')


def _whole(body: bytes) -> bytes:
    """Say how long a body is, so that half of it can be told from it all."""
    cherrypy.response.headers['Content-Length'] = str(len(body))
    return body


def make_application(callers: Callers) -> cherrypy.Application:
    """Return the CherryPy application of the callers' port."""
    config = {
        '/': {
            'request.dispatch': _Dispatcher(callers),
            # Bodies are read by the handlers, within their own limit.
            'request.process_request_body': False,
            # Never fails; the query is passed on as it came.
            'request.query_string_encoding': 'ISO-8859-1',
            'response.stream': True,
            'tools.trailing_slash.on': False,
            'error_page.default': _error_page,
        }
    }
    return _application.make_application(_Root(), config)


class _Root:
    """Carries the configuration; see :class:`_Dispatcher`."""

    @cherrypy.expose
    def index(self) -> None: ...


class _Dispatcher(cherrypy.dispatch.Dispatcher):
    """Maps the request line to handlers.

    The framework's own way gives the query to handlers as arguments: a
    caller's ``?self=1`` would be an error of ours.
    """

    def __init__(self, callers: Callers) -> None:
        super().__init__()
        self._callers = callers

    def __call__(self, path_info: str) -> None:
        super().__call__('/')
        cherrypy.request.handler = self._handle

    def _handle(self) -> typing.Any:
        answer = self._answer()
        self._callers.end_connection_if_due()
        return answer

    def _answer(self) -> typing.Any:
        uri = cherrypy.request.wsgi_environ['REQUEST_URI']
        try:
            target = read_target(uri)
        except BadCall as error:
            return self._callers.refuse_call(error)
        match target.segments, cherrypy.request.method:
            case ('v1', 'entries'), 'GET':
                return self._callers.entries()
            case ('v1', 'completions'), 'POST':
                return self._callers.completions()
            case ('services', service), _ if service:
                return self._callers.services(target)
        return _unknown_path()


def _unknown_path() -> bytes:
    cherrypy.response.status = 404
    return _error_body(
        'unknown_path',
        verdict.Verdict.NOT_RUN,
        'there are: GET /v1/entries, POST /v1/completions, '
        '/services/<service>/<path>',
    )


def _error_page(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Return what a caller gets for an error that no one foresaw."""
    is_callers = status.startswith('4')
    return _error_body(
        'bad_request' if is_callers else 'internal',
        verdict.Verdict.NOT_RUN
        if is_callers
        else verdict.Verdict.MAY_HAVE_RUN,
        message,
    )


def _error_body(reason: str, known: verdict.Verdict, message: str) -> bytes:
    return _json_body(
        {
            'error': {
                'request_id': _new_request_id(),
                'reason': reason,
                'verdict': known.value,
                'message': message,
                'retry_after_s': None,
            }
        }
    )
