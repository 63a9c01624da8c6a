"""HTTP ports: cheroot's server with stricter parsing, limits and threads.

CherryPy applications run on it without CherryPy's global engine, so that a
process can have several ports and tests can run several servers.
"""

from collections import abc
import contextlib
import logging
import socket
import threading
import typing

import cheroot.makefile
import cheroot.server
import cheroot.wsgi
import cherrypy
from loguru import logger

from .. import exceptions
from .. import hosts
from .. import settings as settings_module
from .. import sockets
from . import _application
from . import _deadlines
from . import _headers
from . import _request_body
from . import _workers

#: Creates the CherryPy applications that ports serve.
make_application = _application.make_application
#: Key of the caller's socket in the WSGI environment.
SOCKET_KEY = 'dandeliongw.socket'
#: Key of cheroot's request in the WSGI environment; a handler needs it to
#: close the connection.
REQUEST_KEY = 'dandeliongw.request'
#: Returns the current limits on the size and the duration of requests.
ReadLimits = abc.Callable[[], hosts.BorderLimits]


class _SocketGateway(cheroot.wsgi.Gateway_10):
    """Adds the connection's socket and request to the WSGI environment.

    HTTP frameworks hide the socket, but while no data is sent only the
    socket shows that a caller has disconnected. A body that ends early is an
    error.
    """

    def get_environ(self) -> dict[str, typing.Any]:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        environ[REQUEST_KEY] = self.req
        environ['wsgi.input'] = _request_body.RequestBody(
            body=self.req.rfile, reader=self.req.conn.rfile
        )
        return environ


class _Request(cheroot.server.HTTPRequest):
    """Refuses ambiguous requests; announces that the connection is closed."""

    header_reader = _headers.StrictHeaderReader()

    def parse_request(self) -> None:
        # Waits for the first byte within the idle timeout: the timeout of the
        # headers must not count the idle time of a new connection.
        self.conn.rfile.peek(1)
        limits = self.server.apply_limits()
        with self.conn.reads.deadline_in(limits.header_timeout_s):
            super().parse_request()

    def simple_response(self, status: str, msg: str = '') -> None:
        """Answer a request that is refused before the application gets it.

        Cheroot closes the connection without ``Connection: close``. A caller
        that sends its next call over it could not know whether that ran.
        """
        body = msg.encode('latin-1', 'replace')
        head = (
            f'{self.server.protocol} {status}\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Content-Type: text/plain\r\n'
            'Connection: close\r\n\r\n'
        )
        self.close_connection = True
        logger.info('call refused', status=status, why=msg)
        self.conn.wfile.write(head.encode('latin-1') + body)


class _Connection(cheroot.server.HTTPConnection):
    """A caller's connection.

    ``is_broken_off``: whether it ends in the middle of an answer without a
    length. Such a connection is reset: its regular end would complete the
    answer.
    """

    RequestHandlerClass = _Request
    is_broken_off = False

    def _close_kernel_socket(self) -> None:
        if not self.is_broken_off:
            super()._close_kernel_socket()
            return
        sockets.reset_on_close(self.socket)
        # It ends with the last of the objects that refer to it.
        self.wfile.close()

    def __init__(
        self,
        server: '_Server',
        sock: socket.socket,
        makefile: abc.Callable = cheroot.makefile.MakeFile,
    ) -> None:
        self.reads = _deadlines.DeadlineSocket(sock=sock)

        def make_file(_: socket.socket, *args: typing.Any) -> typing.Any:
            return makefile(self.reads, *args)

        super().__init__(server, sock, make_file)


class _Server(cheroot.wsgi.Server):
    ConnectionClass = _Connection
    read_limits: ReadLimits = hosts.BorderLimits

    def apply_limits(self) -> hosts.BorderLimits:
        """Apply the current limits; a new document may have changed them.

        :return: all limits, also those that cheroot has no setting for.
        """
        limits = self.read_limits()
        self.max_request_header_size = limits.max_header_bytes
        self.timeout = limits.idle_timeout_s
        return limits

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        logger.opt(exception=traceback).log(
            logging.getLevelName(level), f'http: {msg}'
        )


class Port:
    """One HTTP port, which is bound before it serves.

    Once it is bound its number is known, also if the system chose it, and
    can be announced to other instances before the first call is accepted.

    :param field: the settings' field, for the error of a port in use.
    :param shutdown_s: seconds that a stop waits for running handlers.
    """

    def __init__(
        self,
        *,
        listen: settings_module.Listen,
        field: str,
        shutdown_s: float,
    ) -> None:
        self._listen = listen
        self._field = field
        self._server = _Server(
            (listen.host, listen.port),
            None,
            request_queue_size=listen.queue,
            timeout=hosts.BorderLimits().idle_timeout_s,
            # When it stops, cheroot shuts down the reading side of busy
            # connections, which looks like disconnected callers. The instance
            # waits for its requests before it stops the port; this timeout is
            # only an upper bound.
            shutdown_timeout=shutdown_s,
        )
        self._server.requests = _workers.WorkerPool(
            server=self._server,
            max_threads=listen.threads,
            max_queued=listen.queue,
        )
        self._server.gateway = _SocketGateway
        self._thread = threading.Thread(
            target=self._server.serve, name=f'http-{field}', daemon=True
        )

    @property
    def number(self) -> int:
        """The port number that clients connect to."""
        return self._server.bind_addr[1]

    def bind(self) -> None:
        """Bind the address.

        :raises PortInUse: if that fails; names the settings' field.
        """
        try:
            self._server.prepare()
        except OSError as error:
            raise exceptions.PortInUse(
                address=self._listen.show(), field=self._field
            ) from error

    def serve(
        self,
        application: abc.Callable,
        read_limits: ReadLimits = hosts.BorderLimits,
    ) -> None:
        """Start to serve a WSGI application in threads.

        :param read_limits: called for each request; by default, returns the
            default limits.
        """
        self._server.wsgi_app = application
        self._server.read_limits = read_limits
        self._thread.start()

    def close(self) -> None:
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()


@contextlib.contextmanager
def open_port(
    listen: settings_module.Listen, field: str, shutdown_s: float
) -> abc.Iterator[Port]:
    """Bind a port, and close it at the end of the context."""
    port = Port(listen=listen, field=field, shutdown_s=shutdown_s)
    port.bind()
    try:
        yield port
    finally:
        port.close()


def close_connection() -> None:
    """Close the connection after the answer to the current request."""
    cherrypy.response.headers['Connection'] = 'close'
    request = cherrypy.request.wsgi_environ.get(REQUEST_KEY)
    if request is not None:
        request.close_connection = True


def disable_cherrypy_logs() -> None:
    """Disable CherryPy's own log output, which isn't JSON."""
    cherrypy.log.screen = False
    cherrypy.log.access_log.propagate = False
    cherrypy.log.error_log.propagate = False
