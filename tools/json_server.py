"""A small threaded HTTP server for the stand-ins, on cheroot."""

from collections import abc
import dataclasses
import json
import sys
import threading
import traceback as traceback_module
import typing
import urllib.parse

from cheroot import wsgi

REASONS = {
    200: 'OK',
    404: 'Not Found',
    409: 'Conflict',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class CutConnection(Exception):
    """Raised by a handler's stream to close the connection in the body."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """An HTTP request.

    :param headers: by lower-case name.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, typing.Any]:
        """Return the body as a JSON object; an empty object if empty."""
        return json.loads(self.body) if self.body else {}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A JSON answer, or a stream of bytes.

    :param body: encoded as JSON if there is no ``stream``.
    :param headers: further headers of a JSON answer.
    """

    status: int = 200
    body: typing.Any = None
    stream: abc.Iterator[bytes] | None = None
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


Handler = abc.Callable[[Request], Answer]


def _read_headers(environ: dict[str, typing.Any]) -> dict[str, str]:
    return {
        name[len('HTTP_') :].replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }


def _read_request(environ: dict[str, typing.Any]) -> Request:
    length = int(environ.get('CONTENT_LENGTH') or 0)
    query = urllib.parse.parse_qsl(environ.get('QUERY_STRING', ''))
    return Request(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=dict(query),
        headers=_read_headers(environ),
        body=environ['wsgi.input'].read(length) if length else b'',
    )


def _log_error(
    message: str = '', level: int = 20, traceback: bool = False
) -> None:
    # CutConnection is raised on purpose; it isn't an error.
    if not isinstance(sys.exception(), CutConnection):
        print(message, file=sys.stderr)
        if traceback:
            traceback_module.print_exc()


class JsonServer:
    """Calls handlers by (method, path) until stopped.

    :param port: zero for any free port; see :attr:`port`.
    :param otherwise: handler of all other requests; 404 if ``None``.
    :param threads: limit of concurrent requests.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handlers: dict[tuple[str, str], Handler],
        otherwise: Handler | None = None,
        threads: int = 128,
    ) -> None:
        self._handlers = handlers
        self._otherwise = otherwise
        self._server = wsgi.Server(
            (host, port), self._respond, numthreads=threads
        )
        self._server.shutdown_timeout = 1
        self._server.error_log = _log_error
        self._thread = threading.Thread(
            target=self._server.serve, name='http', daemon=True
        )

    @property
    def port(self) -> int:
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Bind the port and serve in a background thread."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Close the port and all connections."""
        self._server.stop()
        self._thread.join()

    def _respond(
        self, environ: dict[str, typing.Any], start: typing.Any
    ) -> abc.Iterable[bytes]:
        request = _read_request(environ)
        key = (request.method, request.path)
        handler = self._handlers.get(key, self._otherwise)
        if handler is None:
            answer = Answer(status=404, body={'reason': 'no such path'})
        else:
            answer = handler(request)
        status = f'{answer.status} {REASONS.get(answer.status, "Other")}'
        if answer.stream is not None:
            start(status, [('Content-Type', answer.content_type)])
            return answer.stream
        body = json.dumps(answer.body).encode()
        headers = [
            ('Content-Type', answer.content_type),
            ('Content-Length', str(len(body))),
            *answer.headers,
        ]
        start(status, headers)
        return [body]
