"""The operators' HTTP API on the control port.

One document holds the whole configuration, and only ``PUT /v1/document``
changes it. ``GET /metrics`` needs no token, as metrics name no caller.
"""

import enum
import functools
import json
import typing

import cherrypy
import pydantic

from .. import document as documents
from .. import exceptions
from .. import metrics as metrics_module
from .. import models
from .. import settings as settings_module
from . import _application
from . import changes
from . import console
from . import operator_interface
from . import tokens

MAX_BODY_BYTES = 4 * settings_module.MIB
JSON_TYPE = 'application/json'

Handler = typing.TypeVar('Handler', bound=typing.Callable)
Body = typing.TypeVar('Body', bound=models.Model)


class ApiReason(enum.StrEnum):
    """The reasons of error answers."""

    BAD_REQUEST = 'bad_request'
    INVALID_DOCUMENT = 'invalid_document'
    UNAUTHORIZED = 'unauthorized'
    CONFLICT = 'conflict'
    CHANGE_ID_REUSED = 'change_id_reused'
    UNKNOWN_CALL = 'unknown_call'
    UNAVAILABLE = 'unavailable'
    HTTP_ERROR = 'http_error'


class ApiError(Exception):
    """Ends a request with an error answer.

    :param status: the HTTP status code.
    :param details: additional fields of the JSON body.
    """

    def __init__(
        self,
        *,
        status: int,
        reason: ApiReason,
        message: str,
        details: dict[str, typing.Any] | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.body = {
            'reason': reason.value,
            'message': message,
            **(details or {}),
        }


class Change(models.Model):
    """The body of ``PUT /v1/document``."""

    document: dict[str, typing.Any]
    expected_revision: models.NonNegativeInt
    """The revision on which the change is based."""
    change_id: typing.Annotated[
        str, pydantic.StringConstraints(pattern=changes.CHANGE_ID_PATTERN)
    ]
    """Chosen by the operator; a retry uses the same id."""


class Lift(models.Model):
    """The body of ``POST /v1/quarantine/lift``."""

    call: typing.Annotated[
        str,
        pydantic.StringConstraints(pattern=operator_interface.CALL_PATTERN),
    ]
    """The call's fingerprint, as in logs and ``GET /v1/quarantine``."""
    reason: typing.Annotated[
        str,
        pydantic.StringConstraints(
            strip_whitespace=True,
            min_length=1,
            max_length=operator_interface.MAX_REASON_CHARACTERS,
        ),
    ]
    """Why the call may run again; shown with the operator's name."""


def make_application(
    control: operator_interface.Control,
    settings: settings_module.Settings,
    metrics: metrics_module.Metrics,
) -> cherrypy.Application:
    """Return the WSGI application of the API and the console.

    The application isn't mounted, and CherryPy's global state is unchanged.
    """
    root = _Root()
    root.metrics = _MetricsPage(metrics=metrics)
    root.v1 = _Version1(control=control, settings=settings)
    root.console = console.Console(
        control=control, settings=settings, metrics=metrics
    )
    return _application.make_application(root, _configuration())


class _Root:
    """The root of the URL tree; ``/`` redirects to the console."""

    @cherrypy.expose
    def index(self) -> None:
        raise cherrypy.HTTPRedirect('/console/', status=303)


class _MetricsPage:
    def __init__(self, *, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics

    @cherrypy.expose
    def index(self) -> bytes:
        headers = cherrypy.response.headers
        headers['Content-Type'] = metrics_module.CONTENT_TYPE
        return self._metrics.render()


def _answers_json(handler: Handler) -> Handler:
    """Convert a handler's result, or its ``ApiError``, to a JSON answer."""

    @functools.wraps(handler)
    def answer(self: typing.Any, **query: str) -> bytes:
        try:
            if query:
                raise _bad_request_error(f'no such parameter: {min(query)!r}')
            return _json(handler(self))
        except ApiError as error:
            cherrypy.response.status = error.status
            return _json(error.body)

    return typing.cast(Handler, answer)


class _Resource:
    """A resource of the API, with one method for each HTTP method."""

    exposed = True

    def __init__(
        self,
        *,
        control: operator_interface.Control,
        settings: settings_module.Settings,
    ) -> None:
        self._control = control
        self._settings = settings

    def _authorize(self) -> settings_module.Operator:
        header = cherrypy.request.headers.get('Authorization', '')
        scheme, _, token = header.partition(' ')
        operator = None
        if scheme.lower() == 'bearer':
            operator = tokens.find_operator(self._settings, token.strip())
        if operator is None:
            headers = cherrypy.response.headers
            headers['WWW-Authenticate'] = 'Bearer'
            raise ApiError(
                status=401,
                reason=ApiReason.UNAUTHORIZED,
                message='the bearer token is not that of an operator',
            )
        return operator


class _Document(_Resource):
    @_answers_json
    def GET(self) -> dict[str, typing.Any]:
        self._authorize()
        current = self._control.current()
        if isinstance(current, operator_interface.Unavailable):
            raise _unavailable_error(current.message)
        return _configuration_fields(current)

    @_answers_json
    def PUT(self) -> dict[str, typing.Any]:
        operator = self._authorize()
        change = _read_body(Change)
        result = changes.propose(
            self._control,
            change_id=change.change_id,
            author=operator.name,
            expected_revision=change.expected_revision,
            document=_read_document(change.document),
        )
        if isinstance(result, operator_interface.Applied):
            return {'revision': result.revision, 'repeated': result.repeated}
        raise _proposal_error(result)


class _Status(_Resource):
    @_answers_json
    def GET(self) -> operator_interface.Status:
        self._authorize()
        return self._control.status()


class _Backends(_Resource):
    @_answers_json
    def GET(self) -> dict[str, typing.Any]:
        self._authorize()
        return {'backends': self._control.backends()}


class _History(_Resource):
    @_answers_json
    def GET(self) -> dict[str, typing.Any]:
        self._authorize()
        return {'changes': self._control.history()}


class _Quarantine(_Resource):
    @_answers_json
    def GET(self) -> dict[str, typing.Any]:
        self._authorize()
        return {'calls': self._control.suspects()}


class _Lift(_Resource):
    @_answers_json
    def POST(self) -> dict[str, typing.Any]:
        operator = self._authorize()
        lift = _read_body(Lift)
        is_known = self._control.lift(
            call=lift.call, operator=operator.name, reason=lift.reason
        )
        if not is_known:
            raise ApiError(
                status=404,
                reason=ApiReason.UNKNOWN_CALL,
                message=f'nothing is known here of call {lift.call!r}; '
                'GET /v1/quarantine lists the calls',
            )
        return {'call': lift.call}


class _Version1:
    """The resources of the API, by path."""

    def __init__(
        self,
        *,
        control: operator_interface.Control,
        settings: settings_module.Settings,
    ) -> None:
        self.document = _Document(control=control, settings=settings)
        self.status = _Status(control=control, settings=settings)
        self.backends = _Backends(control=control, settings=settings)
        self.history = _History(control=control, settings=settings)
        self.quarantine = _Quarantine(control=control, settings=settings)
        self.quarantine.lift = _Lift(control=control, settings=settings)


def _read_body(model: type[Body]) -> Body:
    # The media type without its parameters, such as a charset.
    if cherrypy.request.body.content_type.value != JSON_TYPE:
        raise ApiError(
            status=415,
            reason=ApiReason.BAD_REQUEST,
            message=f'the Content-Type must be {JSON_TYPE}',
        )
    body = cherrypy.request.body.fp.read()
    try:
        return models.parse(model, body)
    except exceptions.InvalidInput as error:
        raise _validation_error(ApiReason.BAD_REQUEST, error)


def _read_document(tree: dict[str, typing.Any]) -> documents.Document:
    try:
        return documents.parse_document(json.dumps(tree).encode())
    except exceptions.InvalidInput as error:
        raise _validation_error(ApiReason.INVALID_DOCUMENT, error)


def _configuration_fields(
    current: operator_interface.Configuration,
) -> dict[str, typing.Any]:
    return {
        'revision': current.revision,
        'author': current.author,
        'document': json.loads(current.document),
    }


def _proposal_error(
    result: operator_interface.Conflict
    | operator_interface.ChangeIdReused
    | operator_interface.Unavailable,
) -> ApiError:
    if isinstance(result, operator_interface.Conflict):
        current = result.current
        return ApiError(
            status=409,
            reason=ApiReason.CONFLICT,
            message=(
                f'{current.author!r} has made revision {current.revision} '
                'meanwhile; nothing was applied'
            ),
            details=_configuration_fields(current),
        )
    if isinstance(result, operator_interface.ChangeIdReused):
        return ApiError(
            status=409,
            reason=ApiReason.CHANGE_ID_REUSED,
            message=(
                f'change id {result.change_id!r} names another change; '
                'nothing was applied'
            ),
        )
    return _unavailable_error(
        f'{result.message}; the change may still take effect: send it '
        'again with the same change id'
    )


def _unavailable_error(message: str) -> ApiError:
    return ApiError(status=503, reason=ApiReason.UNAVAILABLE, message=message)


def _bad_request_error(message: str) -> ApiError:
    return ApiError(status=400, reason=ApiReason.BAD_REQUEST, message=message)


def _validation_error(
    reason: ApiReason, error: exceptions.InvalidInput
) -> ApiError:
    problems = [
        {
            'path': problem.path,
            'given': problem.given,
            'allowed': problem.allowed,
        }
        for problem in error.problems
    ]
    return ApiError(
        status=400,
        reason=reason,
        message=error.message,
        details={'problems': problems},
    )


def _json(value: typing.Any) -> bytes:
    headers = cherrypy.response.headers
    headers['Content-Type'] = JSON_TYPE
    headers['Cache-Control'] = 'no-store'
    return json.dumps(value, ensure_ascii=False).encode()


def _error_page(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Convert CherryPy's own errors to JSON, without internal details."""
    return _json({'reason': ApiReason.HTTP_ERROR.value, 'message': status})


def _configuration() -> dict[str, dict[str, typing.Any]]:
    return {
        '/': {
            'request.body.maxbytes': MAX_BODY_BYTES,
            'error_page.default': _error_page,
            'tools.trailing_slash.on': False,
        },
        '/v1': {'request.dispatch': cherrypy.dispatch.MethodDispatcher()},
        '/console': {
            'error_page.default': console.error_page,
            'tools.trailing_slash.on': True,
        },
    }
