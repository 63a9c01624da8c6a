"""One HTTP call to a backend server, and its connection.

A call opens a connection of its own and closes it after, unless there is a
pool. That costs half a millisecond and buys three things: a refused connect
proves that nothing ran; a reply that was not read to its end can never be
taken for the next call's; and no idle connection can have gone silent in the
meantime. With a pool, only connections whose last answer was read to its end
are kept, and an answer has to name the call that it is for.
"""

from collections import abc
import contextlib
import http.client
import socket
import typing
import urllib.parse

import urllib3
import urllib3.connection

from . import engine
from . import pool as pool_module
from . import verdict

#: The end mark and the pieces of a stream are short lines.
MAX_LINE_BYTES = 1 << 20


class Exchange:
    """One HTTP call.

    :param connect_s: seconds to wait for the connection.
    :param read_s: seconds without a byte after which the call has stalled.
    :param pool: where a connection comes from and goes to; without one it
        serves this call only.
    """

    def __init__(
        self,
        *,
        url: str,
        connect_s: float,
        read_s: float,
        pool: pool_module.Pool | None = None,
    ) -> None:
        parts = urllib.parse.urlsplit(url)
        self._pool = pool
        self._is_read = False
        self._connection = urllib3.connection.HTTPConnection(
            parts.hostname or '', parts.port or 80, timeout=connect_s
        )
        self._read_s = read_s
        self._socket: socket.socket | None = None
        self._response: typing.Any = None
        self._aborted = False

    def open(self) -> None:
        """Connect; a failure here proves that nothing was sent."""
        kept = self._take_kept()
        if kept is not None:
            self._connection = kept
            self._use_connection()
            return
        try:
            self._connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            raise engine.EngineError(
                f'no connection to {self._connection.host}:'
                f'{self._connection.port}: {error}',
                known=verdict.Verdict.NOT_RUN,
                reason=verdict.RetryReason.CONNECT_REFUSED,
            ) from error
        self._use_connection()

    def _take_kept(self) -> urllib3.connection.HTTPConnection | None:
        if self._pool is None:
            return None
        return self._pool.take(self._connection.host, self._connection.port)

    def _use_connection(self) -> None:
        self._socket = self._connection.sock
        # The library gives the socket this time-out anew for each call and
        # each answer. With that of the connect left in it, every prefill of
        # more than a second would seem to have stalled.
        self._connection.timeout = self._read_s
        self._socket.settimeout(self._read_s)
        if self._aborted:
            # The abort came before there was a socket to shut down.
            raise engine.EngineError('aborted', known=verdict.Verdict.NOT_RUN)

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: abc.Mapping[str, str],
    ) -> typing.Any:
        """Send the call and return the reply once its headers are in."""
        with self._as_engine_error():
            self._connection.request(
                method,
                path,
                body=body,
                headers=headers
                if self._pool is not None
                else {**headers, 'Connection': 'close'},
                preload_content=False,
                decode_content=False,
            )
            self._response = self._connection.getresponse()
            return self._response

    def read(self, response: typing.Any, most: int) -> bytes:
        """Read a whole body; a cut-off one is an error, never an answer."""
        with self._as_engine_error():
            body = response.read(most + 1)
            while len(body) <= most:
                more = response.read(most + 1 - len(body))
                if not more:
                    self._is_read = True
                    break
                body += more
        if len(body) > most:
            raise engine.EngineError(
                f'the answer is larger than {most} bytes',
                known=verdict.Verdict.RAN,
            )
        return body

    def chunks(self, response: typing.Any) -> abc.Iterator[bytes]:
        """Yield a body as it arrives, up to its proper end."""
        while True:
            with self._as_engine_error():
                data = response.read1(65536)
            if not data:
                self._is_read = True
                return
            yield data

    def lines(self, response: typing.Any) -> abc.Iterator[bytes]:
        """Yield the lines of a body as they arrive, without their ends."""
        rest = b''
        for data in self.chunks(response):
            rest += data
            *whole, rest = rest.split(b'\n')
            yield from whole
            if len(rest) > MAX_LINE_BYTES:
                raise engine.EngineError(
                    f'a line is longer than {MAX_LINE_BYTES} bytes',
                    known=verdict.Verdict.MAY_HAVE_RUN,
                )

    def abort(self) -> None:
        """Wake a thread that is blocked in this exchange."""
        self._aborted = True
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    @property
    def read_timeout_s(self) -> float | None:
        """Seconds of silence that the socket allows just now."""
        return None if self._socket is None else self._socket.gettimeout()

    def close(self) -> None:
        """End the connection, also in the middle of an answer.

        The answer has a hold of the socket of its own. Left to the garbage
        collector, an engine would go on sending to nobody.
        """
        if self._may_keep():
            self._pool.give(
                self._connection,
                self._response.headers.get('Keep-Alive', ''),
            )
            return
        if self._response is not None:
            self._response.close()
        self._connection.close()

    def _may_keep(self) -> bool:
        """Whether the next answer on this connection can be told apart."""
        if self._pool is None or not self._is_read or self._aborted:
            return False
        headers = self._response.headers
        closes = 'close' in headers.get('Connection', '').lower()
        has_end = 'Content-Length' in headers or (
            headers.get('Transfer-Encoding', '').lower() == 'chunked'
        )
        return has_end and not closes and self._connection.sock is not None

    def disown(self) -> None:
        """Don't keep the connection: its answers are not for its calls."""
        self._is_read = False

    @contextlib.contextmanager
    def _as_engine_error(self) -> abc.Iterator[None]:
        """Name what broke; from the first byte on, the call may have run."""
        try:
            yield
        except (TimeoutError, urllib3.exceptions.ReadTimeoutError) as error:
            raise engine.StalledError(
                f'nothing came for {self._read_s} s',
                known=verdict.Verdict.MAY_HAVE_RUN,
            ) from error
        except (
            OSError,
            urllib3.exceptions.HTTPError,
            # Of an answer that is no HTTP at all, or of an odd path.
            http.client.HTTPException,
            ValueError,
            AttributeError,
        ) as error:
            # An abort from another thread closes the socket under the
            # reader, which urllib3 reports in any of these ways.
            raise engine.EngineError(
                f'the connection broke: {error}',
                known=verdict.Verdict.MAY_HAVE_RUN,
                is_cut=not self._aborted,
            ) from error
