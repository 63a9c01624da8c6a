"""HTTP API for callers: validates calls and returns their answers.

A CherryPy application for one HTTP port. The handler's thread stays with its
request until the answer has ended; see ``relay.py``.
"""

from collections import abc
import json
import re
import typing
import uuid

import cherrypy
from loguru import logger

from .. import events
from .. import metrics as metrics_module
from .. import verdict
from . import _answer_body
from . import _application
from . import answers
from . import calls
from ..entry import relay
from . import http_ports

_REASON = verdict.RefusalReason

#: HTTP status by refusal reason. The status alone shows whether to retry the
#: call later (429, 503) or to change it.
STATUS_BY_REASON = {
    _REASON.BAD_REQUEST: 400,
    _REASON.TOO_LARGE: 413,
    _REASON.UNKNOWN_ACCOUNT: 401,
    _REASON.ACCOUNT_LIMIT: 429,
    _REASON.UNKNOWN_SERVICE: 404,
    _REASON.UNKNOWN_ROUTE: 404,
    _REASON.KEY_REUSED: 422,
    _REASON.QUARANTINED: 422,
    _REASON.IN_PROGRESS: 409,
    _REASON.OUTCOME_UNKNOWN: 409,
    _REASON.DEADLINE_PASSED: 504,
    _REASON.BACKEND_FAILED: 502,
    _REASON.RETRIES_SPENT: 502,
    _REASON.CALLER_GONE: 499,
}
#: Status of all other refusals: retry later.
DEFAULT_STATUS = 503


class Facade(typing.Protocol):
    """The server's interface to this API."""

    def open_relay(
        self,
        *,
        call: events.Call,
        payload: relay.RequestPayload,
        request_id: str,
    ) -> relay.Relay:
        """Start a relay for a request and watch the caller's socket."""
        ...

    def close_relay(self, request_id: str) -> None: ...

    @property
    def is_shutting_down(self) -> bool:
        """Whether the instance is shutting down."""
        ...

    def entries(self) -> dict[str, typing.Any]: ...


class Callers:
    """The request handlers.

    :param max_body_bytes: longest request body that is accepted.
    """

    def __init__(
        self,
        *,
        facade: Facade,
        metrics: metrics_module.Metrics,
        max_body_bytes: int,
    ) -> None:
        self._facade = facade
        self._metrics = metrics
        self._max_body_bytes = max_body_bytes

    def entries(self) -> bytes:
        """``GET /v1/entries``."""
        return _json_body(self._facade.entries())

    def completions(self) -> bytes | abc.Iterator[bytes]:
        """``POST /v1/completions``."""
        request_id = _new_request_id()
        try:
            body = self._read_body()
            completion = calls.parse_completion(body, cherrypy.request.headers)
        except calls.InvalidCall as error:
            return self._refuse(request_id, error.refusal())
        payload = relay.RequestPayload(prompt=completion.prompt)
        answer = answers.Answer(
            facade=self._facade,
            metrics=self._metrics,
            request_id=request_id,
            call_relay=self._facade.open_relay(
                call=completion.call, payload=payload, request_id=request_id
            ),
        )
        first = answer.first()
        if isinstance(first, verdict.Refusal):
            return self._refuse(request_id, first)
        if completion.stream:
            cherrypy.response.headers['Content-Type'] = 'text/event-stream'
            cherrypy.response.headers['Cache-Control'] = 'no-store'
            return answers.EventStream(answer)
        return self._complete_answer(request_id, answer)

    def _complete_answer(
        self, request_id: str, answer: answers.Answer
    ) -> bytes:
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

    def services(self, target: calls.Target) -> bytes:
        """Handle any call below ``/services/<service>/``."""
        request_id = _new_request_id()
        try:
            body = self._read_body()
            call, payload = calls.parse_plain_call(
                target, body, cherrypy.request
            )
        except calls.InvalidCall as error:
            return self._refuse(request_id, error.refusal())
        answer = answers.Answer(
            facade=self._facade,
            metrics=self._metrics,
            request_id=request_id,
            call_relay=self._facade.open_relay(
                call=call, payload=payload, request_id=request_id
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
        _with_content_length(last.outcome.body)
        return _answer_body.AnswerBody(finished=last)

    def _read_body(self) -> bytes:
        """Return the complete body.

        :raises InvalidCall: for a body that is too long, malformed or
            truncated. Half a booking must not be forwarded as a complete one.
        """
        headers = cherrypy.request.headers
        length = headers.get('Content-Length')
        if length is not None and 'Transfer-Encoding' in headers:
            raise calls.InvalidCall(
                'Content-Length: must not be given with Transfer-Encoding'
            )
        if length is not None and not re.fullmatch('[0-9]{1,18}', length):
            raise calls.InvalidCall(
                f'Content-Length: given {length!r}; must be a whole number, '
                'not negative'
            )
        if length is not None and int(length) > self._max_body_bytes:
            raise self._too_large(length)
        body = _read_up_to(self._max_body_bytes + 1)
        if len(body) > self._max_body_bytes:
            raise self._too_large(f'more than {self._max_body_bytes}')
        if length is not None and len(body) < int(length):
            raise calls.InvalidCall(
                f'the body has {len(body)} bytes; Content-Length says {length}'
            )
        return body

    def _too_large(self, size: str) -> calls.InvalidCall:
        return calls.InvalidCall(
            f'the body has {size} bytes; at most {self._max_body_bytes} are '
            'read',
            _REASON.TOO_LARGE,
        )

    def close_connection_if_needed(self) -> None:
        """Close the connection on shutdown or if the body isn't fully read.

        Without this, a persistent connection would be closed when the
        process ends, perhaps while a call arrives over it, and its caller
        could not know whether the call ran. Callers with a persistent
        connection would also not switch to another instance.
        """
        if self._facade.is_shutting_down or not _is_body_fully_read():
            http_ports.close_connection()

    def refuse_call(self, error: calls.InvalidCall) -> bytes:
        """Refuse a call with an invalid request line."""
        return self._refuse(_new_request_id(), error.refusal())

    def _refuse(self, request_id: str, refusal: verdict.Refusal) -> bytes:
        if refusal.reason in (_REASON.BAD_REQUEST, _REASON.TOO_LARGE):
            # The reducer counts all other refusals; these don't reach it.
            self._metrics.count_refusal(refusal)
        logger.bind(request_id=request_id).info(
            'call refused',
            reason=refusal.reason,
            run=refusal.verdict,
            why=refusal.message,
        )
        cherrypy.response.status = STATUS_BY_REASON.get(
            refusal.reason, DEFAULT_STATUS
        )
        if refusal.retry_after_s is not None:
            # The header only allows whole seconds; the body has the exact
            # value.
            whole_s = max(1, int(refusal.retry_after_s + 0.999))
            cherrypy.response.headers['Retry-After'] = str(whole_s)
        return _json_body(answers.refusal_fields(request_id, refusal))


def _read_up_to(max_bytes: int) -> bytes:
    try:
        return cherrypy.request.rfile.read(max_bytes)
    except (ValueError, OSError) as error:
        # A malformed chunk, or a caller that stopped sending.
        raise calls.InvalidCall(
            f'the body did not arrive whole: {error}'
        ) from error


def _is_body_fully_read() -> bool:
    """Whether the next bytes on the connection start the next call.

    Unread bytes of a body would be parsed as a call that nobody sent. After
    a chunked body this is unknown, as trailers may follow.
    """
    if 'Transfer-Encoding' in cherrypy.request.headers:
        return False
    return not getattr(cherrypy.request.rfile, 'remaining', 0)


def _new_request_id() -> str:
    request_id = uuid.uuid4().hex
    cherrypy.response.headers['X-Request-Id'] = request_id
    return request_id


def _mark_replay(finished: relay.Finished) -> None:
    if finished.replayed:
        cherrypy.response.headers['Idempotent-Replay'] = 'true'


def _json_body(fields: dict[str, typing.Any]) -> bytes:
    cherrypy.response.headers['Content-Type'] = 'application/json'
    return _with_content_length(json.dumps(fields).encode() + b'\n')


def _with_content_length(body: bytes) -> bytes:
    """Set Content-Length, so that the client can detect a truncated body."""
    cherrypy.response.headers['Content-Length'] = str(len(body))
    return body


def make_application(callers: Callers) -> cherrypy.Application:
    """Return the CherryPy application of the callers' port."""
    config = {
        '/': {
            'request.dispatch': _Dispatcher(callers),
            # The handlers read the bodies and apply their own limit.
            'request.process_request_body': False,
            # Decoding with this one never fails; services get the original
            # query.
            'request.query_string_encoding': 'ISO-8859-1',
            'response.stream': True,
            'tools.trailing_slash.on': False,
            'error_page.default': _error_page,
        }
    }
    return _application.make_application(_Root(), config)


class _Root:
    """Root that CherryPy needs; :class:`_Dispatcher` selects the handlers."""

    @cherrypy.expose
    def index(self) -> None: ...


class _Dispatcher(cherrypy.dispatch.Dispatcher):
    """Maps the request line to handlers.

    CherryPy's own dispatcher passes query parameters to handlers as
    arguments: a call with ``?self=1`` would raise an internal error.
    """

    def __init__(self, callers: Callers) -> None:
        super().__init__()
        self._callers = callers

    def __call__(self, path_info: str) -> None:
        super().__call__('/')
        cherrypy.request.handler = self._handle

    def _handle(self) -> typing.Any:
        answer = self._answer()
        self._callers.close_connection_if_needed()
        return answer

    def _answer(self) -> typing.Any:
        uri = cherrypy.request.wsgi_environ['REQUEST_URI']
        try:
            target = calls.parse_target(uri)
        except calls.InvalidCall as error:
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
    """Return the JSON body for an unexpected error."""
    is_client_error = status.startswith('4')
    return _error_body(
        'bad_request' if is_client_error else 'internal',
        verdict.Verdict.NOT_RUN
        if is_client_error
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
