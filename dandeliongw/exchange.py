"""One HTTP call to a backend server, and its connection.

Without a pool, a call opens its own connection and closes it afterwards. That
costs half a millisecond and has three advantages: a refused connection proves
that nothing ran; an answer that was not read to its end can never be taken for
that of the next call; and no idle connection can have died unnoticed. With a
pool, only connections whose last answer was read to its end are reused, and
the caller of this module must check that an answer names its call.
"""

from collections import abc
import contextlib
import http
import http.client
import io
import re
import select
import socket
import sys
import typing
import urllib.parse

from loguru import logger
import urllib3
import urllib3.connection

from . import answer_memory
from . import connection_pool
from . import engine
from . import message_framing
from . import paths
from . import sockets
from . import verdict

#: Seconds without an answer after which the path of a connection that was
#: used before is checked, or half of the time that the call has.
SUSPECT_S = 0.5
#: Size limit of a line in a stream; its pieces and end mark are short lines.
MAX_LINE_BYTES = 1 << 20
#: In a refusal: seconds for which the backend server wants no request.
RETRY_AFTER = 'Retry-After'
#: Longest rest that is kept, in seconds. A longer one is asked for again by
#: the next refusal, and a mistaken one ends some time.
MAX_REST_S = 600.0
_SECONDS = re.compile(r'[0-9]{1,12}(\.[0-9]{1,9})?')
_RATE = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')


def report_rate_limit(
    response: typing.Any, header: str, observer: engine.RateLimitObserver
) -> None:
    """Report the rate limit that the head of an answer states.

    An invalid value is logged and not reported: it proves neither a limit
    nor its end. A failure without a limit doesn't prove the end either, as it
    may come from something in between.

    :param header: name of the header that states requests per second.
    """
    stated = response.headers.get(header)
    if stated is None:
        if 200 <= response.status < 300:
            observer(None)
    elif _RATE.fullmatch(stated.strip()):
        observer(float(stated))
    else:
        logger.warning(
            'ignored an invalid rate limit of a backend server',
            header=header,
            value=stated[:40],
        )


def rest_asked(response: typing.Any) -> float:
    """Return the seconds of rest that an answer asks for; 0 for none.

    Only an answer with 503 does. A value that is no number of seconds, such as
    a date, is logged and ignored: clocks differ, and a guess would either
    press the backend server or leave it without work.
    """
    stated = response.headers.get(RETRY_AFTER)
    if (
        stated is None
        or response.status != http.HTTPStatus.SERVICE_UNAVAILABLE
    ):
        return 0.0
    if not _SECONDS.fullmatch(stated.strip()):
        logger.warning(
            'ignored an invalid time of rest of a backend server',
            header=RETRY_AFTER,
            value=stated[:40],
        )
        return 0.0
    return min(float(stated), MAX_REST_S)


class DirectConnector:
    """Connects to backend servers without a detour; a ``paths.Connector``."""

    def connect(
        self, host: str, port: int, timeout_s: float
    ) -> urllib3.connection.HTTPConnection:
        connection = message_framing.Connection(host, port, timeout=timeout_s)
        connection.connect()
        return connection

    def suspect(self, host: str, port: int) -> None:
        """Do nothing: there is no other path."""

    def has_departed(self, host: str, port: int) -> bool:
        """Return ``False``: leaves are unknown here."""
        return False


class Exchange:
    """One HTTP call.

    :param connect_s: timeout of the connection attempt in seconds.
    :param read_s: seconds without a byte after which the call has stalled.
    :param pool: reuses connections; without it, the connection serves this
        call only.
    :param connector: makes new connections; directly by default.
    :param memory: the account of what is held of the answer, if any.
    """

    def __init__(
        self,
        *,
        url: str,
        connect_s: float,
        read_s: float,
        pool: connection_pool.ConnectionPool | None = None,
        connector: paths.Connector | None = None,
        memory: answer_memory.AnswerMemory | None = None,
    ) -> None:
        parts = urllib.parse.urlsplit(url)
        self._pool = pool
        self._memory = memory or answer_memory.AnswerMemory(
            capacity_bytes=sys.maxsize
        )
        self._holding: answer_memory.Holding | None = None
        #: Of an answer that is read whole.
        self._body = io.BytesIO()
        #: The unfinished part of an answer that is read in parts.
        self._rest = bytearray()
        #: Bytes of the answer that its reader keeps.
        self._kept_bytes = 0
        self._connector = connector or DirectConnector()
        self._is_complete = False
        self._is_reused = False
        self._host = parts.hostname or ''
        self._port = parts.port or 80
        self._connect_s = connect_s
        self._connection: urllib3.connection.HTTPConnection | None = None
        self._read_s = read_s
        self._socket: socket.socket | None = None
        self._response: typing.Any = None
        self._aborted = False
        self._is_begun = False
        self._is_written = False
        self._is_withdrawn = False

    def open(self) -> None:
        """Connect; a failure here proves that nothing was sent."""
        self._holding = self._memory.open(self._break_off)
        if self._holding is None:
            raise engine.EngineError(
                answer_memory.FULL,
                known=verdict.Verdict.NOT_RUN,
                is_unsent=True,
            )
        pooled = self._take_pooled()
        if pooled is not None:
            self._connection = pooled
            self._is_reused = True
            self._use_connection()
            return
        try:
            self._connection = self._connector.connect(
                self._host, self._port, self._connect_s
            )
        except (OSError, urllib3.exceptions.HTTPError) as error:
            raise engine.EngineError(
                f'no connection to {self._host}:{self._port}: {error}',
                known=verdict.Verdict.NOT_RUN,
                reason=verdict.RetryReason.CONNECT_REFUSED,
            ) from error
        self._use_connection()

    def _take_pooled(self) -> urllib3.connection.HTTPConnection | None:
        if self._pool is None:
            return None
        return self._pool.take(self._host, self._port)

    def _use_connection(self) -> None:
        self._socket = self._connection.sock
        # urllib3 sets this timeout on the socket again for each request and
        # each answer. If it were still the connection timeout, every prefill
        # of more than a second would count as stalled.
        self._connection.timeout = self._read_s
        self._socket.settimeout(self._read_s)
        if self._aborted:
            # The abort was requested before there was a socket to shut down.
            raise engine.EngineError('aborted', known=verdict.Verdict.NOT_RUN)

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: abc.Mapping[str, str],
    ) -> typing.Any:
        """Send the call; return the answer once its headers have arrived."""
        if self._connector.has_departed(self._host, self._port):
            # Connecting may have taken seconds since the call was placed.
            raise engine.EngineError(
                'the backend server left before the call was sent',
                known=verdict.Verdict.NOT_RUN,
                reason=verdict.RetryReason.BACKEND_LEFT,
                is_unsent=True,
            )
        self._is_begun = True
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
            self._is_written = True
            self._response = self._await_answer()
            return self._response

    def _await_answer(self) -> typing.Any:
        """Return the answer; have the path checked if none comes for long.

        A connection that was used before may have lost its path since, and
        then shows it by nothing but silence.
        """
        if self._is_reused:
            quiet_s = min(SUSPECT_S, self._read_s / 2)
            poller = select.poll()
            poller.register(self._socket, select.POLLIN)
            if not poller.poll(quiet_s * 1000):
                self._connector.suspect(self._host, self._port)
                self._connection.timeout = self._read_s - quiet_s
        response = self._connection.getresponse()
        self._connection.timeout = self._read_s
        self._socket.settimeout(self._read_s)
        return response

    def read(self, response: typing.Any, most: int) -> bytes:
        """Return the complete body.

        :param most: size limit in bytes.
        :raises EngineError: also when the body is truncated or too long.
        """
        body = self._body
        size = 0
        for data in self.chunks(response):
            try:
                body.write(data)
                size = body.tell()
            except ValueError as error:
                # Closed by the account, which has broken the answer off.
                raise self._memory_error() from error
            if size > most:
                raise engine.EngineError(
                    f'the answer is larger than {most} bytes',
                    known=verdict.Verdict.RAN,
                )
            self._hold(size)
        if not self._holding.complete(size):
            self.prevent_reuse()
            raise self._memory_error()
        return body.getvalue()

    def keep_answer(self) -> answer_memory.Holding:
        """Return what is held of the answer, for the caller to release."""
        kept, self._holding = self._holding, None
        return kept

    def note_kept(self, count: int) -> None:
        """Account for further bytes that the reader of the answer keeps."""
        self._kept_bytes += count

    def _hold(self, size: int) -> None:
        """Account for ``size`` bytes of a body, and for those that are kept.

        :raises EngineError: if the answer must end.
        """
        size += self._kept_bytes
        if size > message_framing.READ_BYTES and not self._holding.resize(
            answer_memory.OPEN_BYTES + size
        ):
            raise self._memory_error()

    def chunks(self, response: typing.Any) -> abc.Iterator[bytes]:
        """Yield a body as it arrives.

        :raises EngineError: when it ends early or stalls, or if it ends in a
            way that can't be told from an early end.
        """
        yield from self._raw_chunks(response)
        if self._is_broken_off():
            raise self._memory_error()
        has_length = response.chunked or response.length_remaining is not None
        if self._aborted and not has_length:
            # The end of a socket that this instance has shut down looks like
            # the regular end of the answer.
            raise engine.EngineError(
                'aborted', known=verdict.Verdict.MAY_HAVE_RUN
            )
        self._is_complete = True

    def _raw_chunks(self, response: typing.Any) -> abc.Iterator[bytes]:
        while True:
            with self._as_engine_error():
                data = response.read1(message_framing.READ_BYTES)
            if not data:
                return
            yield data

    def lines(self, response: typing.Any) -> abc.Iterator[bytes]:
        r"""Yield the lines of a body as they arrive, without their ``\n``.

        :raises EngineError: also for a line that is too long.
        """
        yield from self.parts(response, b'\n', MAX_LINE_BYTES, must_end=False)

    def parts(
        self,
        response: typing.Any,
        separator: bytes,
        most: int,
        *,
        must_end: bool,
    ) -> abc.Iterator[bytes]:
        """Yield the parts of a body that end with a separator, without it.

        :param most: size limit of a part in bytes.
        :param must_end: whether a last part without a separator is an error;
            otherwise it is dropped.
        :raises EngineError: also for a part that is too long.
        """
        rest = self._rest
        for data in self.chunks(response):
            searched = max(0, len(rest) - len(separator) + 1)
            rest += data
            if rest.find(separator, searched) >= 0:
                *complete, last = bytes(rest).split(separator)
                rest[:] = last
                yield from complete
            if len(rest) > most:
                raise engine.EngineError(
                    f'a part of the answer is longer than {most} bytes',
                    known=verdict.Verdict.MAY_HAVE_RUN,
                )
            self._hold(len(rest))
        if rest and must_end:
            raise engine.EngineError(
                'the stream ended within a part',
                known=verdict.Verdict.MAY_HAVE_RUN,
                is_cut=True,
            )

    def abort(self) -> None:
        """Make the thread that is blocked in this call fail at once."""
        self._aborted = True
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def _break_off(self) -> None:
        """Free what was read, and wake the thread of this call.

        Called by the account, from other threads. If it were left to the
        thread of the call, the memory would be used before it is free.
        """
        self._body.close()
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def _is_broken_off(self) -> bool:
        return (
            self._holding is not None
            and self._holding.state is answer_memory.State.BROKEN_OFF
        )

    def _memory_error(self) -> engine.EngineError:
        return engine.EngineError(
            answer_memory.FULL, known=verdict.Verdict.MAY_HAVE_RUN
        )

    def withdraw(self, *, is_forced: bool) -> None:
        """Break the call off if the backend server seems not to have it.

        What the other end has not acknowledged is discarded with the
        connection, so it can't arrive when a stalled path recovers.

        :param is_forced: whether no answer so far is enough.
        """
        if not self._is_begun or self._response is not None:
            return
        is_unreceived = self._is_written and sockets.unacknowledged_bytes(
            self._socket
        )
        if not is_forced and not is_unreceived:
            return
        self._is_withdrawn = True
        # The HTTP library closes the connection when its answer fails.
        sockets.reset_on_close(self._socket)
        # Wakes a thread that waits for the answer, as abort does, but sends no
        # regular end: something in between would take the call for complete.
        self._aborted = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    @property
    def read_timeout_s(self) -> float | None:
        """Current timeout of the socket in seconds."""
        return None if self._socket is None else self._socket.gettimeout()

    def close(self) -> None:
        """Return the connection to the pool, or close it.

        It is closed even in the middle of an answer. The answer object holds
        its own reference to the socket: if closing it were left to the garbage
        collector, an engine would continue to send.
        """
        self._give_back()
        if self._is_reusable():
            self._pool.give(
                self._connection,
                self._response.headers.get('Keep-Alive', ''),
            )
            return
        if not self._is_complete and self._socket is not None:
            # Discard unsent data. Otherwise an abandoned call would be
            # delivered when a network partition heals.
            sockets.reset_on_close(self._socket)
        if self._response is not None:
            self._response.close()
        if self._connection is not None:
            self._connection.close()

    def _give_back(self) -> None:
        """Free what was read, and release its part of the account.

        The error that ended a call refers to its frames, and these to the
        call, until the garbage collector finds them.
        """
        self._body.close()
        self._rest.clear()
        if self._holding is not None:
            self._holding.release()

    def _is_reusable(self) -> bool:
        """Whether the connection is open and this answer's end is certain."""
        if self._pool is None or not self._is_complete or self._aborted:
            return False
        headers = self._response.headers
        closes = 'close' in headers.get('Connection', '').lower()
        has_end = 'Content-Length' in headers or (
            headers.get('Transfer-Encoding', '').lower() == 'chunked'
        )
        return has_end and not closes and self._connection.sock is not None

    def prevent_reuse(self) -> None:
        """Prevent that the connection carries another call."""
        self._is_complete = False

    @contextlib.contextmanager
    def _as_engine_error(self) -> abc.Iterator[None]:
        """Turn errors of the HTTP library into ``EngineError``.

        The call may have run, as bytes of it may have been sent.
        """
        try:
            yield
        except (TimeoutError, urllib3.exceptions.ReadTimeoutError) as error:
            self._raise_if_ended_here(error)
            self._connector.suspect(self._host, self._port)
            raise engine.StalledError(
                f'nothing came for {self._read_s} s',
                known=verdict.Verdict.MAY_HAVE_RUN,
            ) from error
        except (
            OSError,
            urllib3.exceptions.HTTPError,
            # Raised for an answer that is not HTTP, or for an invalid path.
            http.client.HTTPException,
            ValueError,
            AttributeError,
        ) as error:
            # urllib3 raises any of these errors when another thread aborts
            # the call and so shuts down the socket during a read.
            self._raise_if_ended_here(error)
            raise engine.EngineError(
                f'the connection broke: {error}',
                known=verdict.Verdict.MAY_HAVE_RUN,
                is_cut=not self._aborted,
            ) from error

    def _raise_if_ended_here(self, error: BaseException) -> None:
        if self._is_broken_off():
            raise self._memory_error() from error
        if self._is_withdrawn:
            raise engine.EngineError(
                'broken off: the backend server left and had not answered',
                known=verdict.Verdict.MAY_HAVE_RUN,
                reason=verdict.RetryReason.BACKEND_LEFT,
            ) from error
