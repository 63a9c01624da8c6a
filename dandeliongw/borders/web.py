"""HTTP ports: cheroot's server, set up as this system needs it.

CherryPy's applications run on it; CherryPy's own global engine is not
started, so that a process can hold several ports and tests several servers.
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
from . import _application
from . import _deadlines
from . import _headers
from . import _workers

#: Makes the CherryPy applications that ports serve.
make_application = _application.make_application
#: Where a handler finds its caller's socket.
SOCKET_KEY = 'dandeliongw.socket'
#: Where it finds the server's own view of the call, to end the connection.
REQUEST_KEY = 'dandeliongw.request'
#: Tells what callers may send at present, and how slowly.
ReadLimits = abc.Callable[[], hosts.BorderLimits]


class _SocketGateway(cheroot.wsgi.Gateway_10):
    """Hands the connection's socket to the application.

    HTTP frameworks hide it, but only the socket tells, while no byte
    flows, that a caller has gone.
    """

    def get_environ(self) -> dict[str, typing.Any]:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        environ[REQUEST_KEY] = self.req
        return environ


class _Request(cheroot.server.HTTPRequest):
    """Refuses doubtful calls, and says so on a connection that it ends."""

    header_reader = _headers.StrictHeaderReader()

    def parse_request(self) -> None:
        # A new connection may stay idle before its first call, too.
        self.conn.rfile.peek(1)
        limits = self.server.apply_limits()
        with self.conn.reads.ending_in(limits.header_timeout_s):
            super().parse_request()

    def simple_response(self, status: str, msg: str = '') -> None:
        """Answer a call that no application gets to see.

        The library closes the connection without a word of it; a caller
        that sends its next call over it could not tell whether it ran.
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
    RequestHandlerClass = _Request

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
        """Take over the limits in force; a document may have changed them.

        :return: those that the library has no place for, too.
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
    """One HTTP port: bound first, serving later.

    Between the two its number is known, also when the system chose it, and
    can be told to others before the first call is taken.

    :param field: the settings' field, for the message of a port in use.
    :param shutdown_s: seconds that a stop waits for handlers.
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
            # At its end cheroot shuts down the reading side of connections
            # that are still busy, which looks as if their callers had left.
            # The server waits for its requests before it stops; this is
            # only a bound.
            shutdown_timeout=shutdown_s,
        )
        self._server.requests = _workers.WorkerPool(
            server=self._server, most=listen.threads, queued=listen.queue
        )
        self._server.gateway = _SocketGateway
        self._thread = threading.Thread(
            target=self._server.serve, name=f'http-{field}', daemon=True
        )

    @property
    def number(self) -> int:
        """The port number that callers connect to."""
        return self._server.bind_addr[1]

    def bind(self) -> None:
        """Take the address.

        :raises PortInUse: naming the settings' field.
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
        """Answer with a WSGI application, in threads.

        :param read_limits: asked at each call; without it the defaults hold.
        """
        self._server.wsgi_app = application
        self._server.read_limits = read_limits
        self._thread.start()

    def close(self) -> None:
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()


@contextlib.contextmanager
def bound(
    listen: settings_module.Listen, field: str, shutdown_s: float
) -> abc.Iterator[Port]:
    """Hold a port while the context lasts."""
    port = Port(listen=listen, field=field, shutdown_s=shutdown_s)
    port.bind()
    try:
        yield port
    finally:
        port.close()


def close_connection() -> None:
    """Let no other call come over the connection of the present one."""
    cherrypy.response.headers['Connection'] = 'close'
    carried = cherrypy.request.wsgi_environ.get(REQUEST_KEY)
    if carried is not None:
        carried.close_connection = True


def quiet_cherrypy() -> None:
    """Keep CherryPy from writing lines of its own beside the JSON ones."""
    cherrypy.log.screen = False
    cherrypy.log.access_log.propagate = False
    cherrypy.log.error_log.propagate = False
