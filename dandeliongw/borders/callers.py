"""The callers' border: checks what came in, gives out what came back.

A CherryPy application for one HTTP port. A handler's thread belongs to its
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
from . import _application
from . import answers
from . import calls
from ..entry import relay
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
    _REASON.QUARANTINED: 422,
    _REASON.IN_PROGRESS: 409,
    _REASON.OUTCOME_UNKNOWN: 409,
    _REASON.DEADLINE_PASSED: 504,
    _REASON.BACKEND_FAILED: 502,
    _REASON.RETRIES_SPENT: 502,
    _REASON.CALLER_GONE: 499,
}
#: For the reasons above that aren't listed: come back later.
DEFAULT_STATUS = 503


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
            completion = calls.read_completion(body, cherrypy.request.headers)
        except calls.BadCall as error:
            return self._refuse(request_id, error.refusal())
        work = relay.Work(prompt=completion.prompt)
        answer = answers.Answer(
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
            return answers.EventStream(answer)
        return self._whole_completion(request_id, answer)

    def _whole_completion(
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
        """Any call below ``/services/<service>/``."""
        request_id = _new_request_id()
        try:
            body = self._read_body()
            call, work = calls.read_plain_call(target, body, cherrypy.request)
        except calls.BadCall as error:
            return self._refuse(request_id, error.refusal())
        answer = answers.Answer(
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
            raise calls.BadCall(
                'Content-Length: must not be given with Transfer-Encoding'
            )
        if length is not None and not re.fullmatch('[0-9]{1,18}', length):
            raise calls.BadCall(
                f'Content-Length: given {length!r}; must be a whole number, '
                'not negative'
            )
        if length is not None and int(length) > self._max_body_bytes:
            raise self._too_large(length)
        body = _read_some(self._max_body_bytes + 1)
        if len(body) > self._max_body_bytes:
            raise self._too_large(f'more than {self._max_body_bytes}')
        if length is not None and len(body) < int(length):
            raise calls.BadCall(
                f'the body has {len(body)} bytes; Content-Length says {length}'
            )
        return body

    def _too_large(self, size: str) -> calls.BadCall:
        return calls.BadCall(
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
            web.close_connection()

    def refuse_call(self, error: calls.BadCall) -> bytes:
        """Refuse a call whose request line is not understood."""
        return self._refuse(_new_request_id(), error.refusal())

    def _refuse(self, request_id: str, refusal: verdict.Refusal) -> bytes:
        if refusal.reason in (_REASON.BAD_REQUEST, _REASON.TOO_LARGE):
            # These never reach the reducer, which counts all the others.
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
            # The header takes whole seconds; the body has the exact value.
            whole_s = max(1, int(refusal.retry_after_s + 0.999))
            cherrypy.response.headers['Retry-After'] = str(whole_s)
        return _json_body(answers.refusal_fields(request_id, refusal))


def _read_some(most: int) -> bytes:
    try:
        return cherrypy.request.rfile.read(most)
    except (ValueError, OSError) as error:
        # A chunk that is none, or a caller that sends nothing more.
        raise calls.BadCall(
            f'the body did not arrive whole: {error}'
        ) from error


def _is_read_to_its_end() -> bool:
    """Whether what follows on the connection is the next call.

    What is left of a body would be read as a call, sent by nobody. After a
    chunked one there may be trailers.
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
            target = calls.read_target(uri)
        except calls.BadCall as error:
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
