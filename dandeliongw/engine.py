"""What a backend server can be asked, and how to ask it over HTTP.

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
import json
import socket
import typing
import urllib.parse

import msgspec
import urllib3
import urllib3.connection

from . import pool as pool_module
from . import verdict

#: The end mark and the pieces of a stream are short lines.
MAX_LINE_BYTES = 1 << 20
#: An engine's own words for what it did not do. Any other error, a plain
#: 500 or one of a box in between, proves nothing.
NOT_RUN_REASONS = frozenset(
    ('busy', 'full', 'evicted', 'stalled', 'fenced', 'unknown')
)
#: How a plain service says, with status 503, that it did not run a call.
NOT_RUN_HEADER = 'X-Not-Run'


class EngineError(Exception):
    """A call to a backend server failed.

    :param known: whether the call may have run there.
    :param reason: the backend server's own word, or ``''``.
    :param is_cut: the connection ended, at its other end or on its way,
        before the answer was whole.
    """

    def __init__(
        self,
        message: str,
        *,
        known: verdict.Verdict,
        reason: str = '',
        is_cut: bool = False,
    ) -> None:
        super().__init__(message)
        self.known = known
        self.reason = reason
        self.is_cut = is_cut


class StalledError(EngineError):
    """Nothing came for longer than the time-out; the link may be dead."""


class Prefilled(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt that was computed.

    :param kv: handle of the result, which the engine soon evicts.
    :param known: whether the call has begun to run by that.
    """

    kv: str
    tokens: int
    cached_tokens: int
    known: verdict.Verdict = verdict.Verdict.RAN


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an answer that is passed on as it comes."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Piece(msgspec.Struct, frozen=True, kw_only=True):
    """Some text of a stream, or its end mark.

    :param offset: number of tokens before this piece; for the end mark,
        the number of tokens of the whole answer.
    :param data: the piece as its engine sent it, where it is passed on.
    """

    attempt_id: str
    offset: int
    text: str
    is_end: bool = False
    data: bytes = b''


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A plain service's answer, read to its end."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class Engine(typing.Protocol):
    """A model engine, in either role.

    ``deadline_s`` is how long anybody waits for the result.
    """

    def prefill(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        prompt: str,
        priority: int,
        fence: int,
        deadline_s: float,
    ) -> Prefilled: ...

    def import_kv(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        kv: str,
        source_url: str,
        fence: int,
        deadline_s: float,
    ) -> None: ...

    def decode(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        max_tokens: int,
        from_offset: int,
        deadline_s: float,
    ) -> abc.Generator[Piece | Head, None, None]: ...

    def cancel(self, *, stream_id: str, attempt_id: str) -> None: ...

    def streams(self) -> tuple[tuple[str, str], ...]: ...

    def abort(self) -> None:
        """Break off the call in progress, from any thread."""
        ...


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
            raise EngineError(
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
            raise EngineError('aborted', known=verdict.Verdict.NOT_RUN)

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
            raise EngineError(
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
                raise EngineError(
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
            raise StalledError(
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
            raise EngineError(
                f'the connection broke: {error}',
                known=verdict.Verdict.MAY_HAVE_RUN,
                is_cut=not self._aborted,
            ) from error


class HttpEngine:
    """The :class:`Engine` that speaks the HTTP of docs/ARCHITECTURE.md."""

    #: Longest JSON answer that is read.
    MAX_ANSWER_BYTES = 1 << 20

    def __init__(
        self,
        *,
        url: str,
        connect_s: float,
        first_byte_s: float,
        stall_s: float,
    ) -> None:
        self.url = url
        self._connect_s = connect_s
        self._first_byte_s = first_byte_s
        self._stall_s = stall_s
        self._current: Exchange | None = None
        self._aborted = False

    def prefill(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        prompt: str,
        priority: int,
        fence: int,
        deadline_s: float,
    ) -> Prefilled:
        answer = self._ask(
            '/v1/prefill',
            {
                'stream_id': stream_id,
                'attempt_id': attempt_id,
                'prompt': prompt,
                'priority': priority,
                'fence': fence,
            },
            deadline_s,
        )
        with _understood(answer):
            return Prefilled(
                kv=str(answer['kv']),
                tokens=int(answer['tokens']),
                cached_tokens=int(answer.get('cached_tokens', 0)),
            )

    def import_kv(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        kv: str,
        source_url: str,
        fence: int,
        deadline_s: float,
    ) -> None:
        self._ask(
            '/v1/import',
            {
                'stream_id': stream_id,
                'attempt_id': attempt_id,
                'kv': kv,
                'source_url': source_url,
                'fence': fence,
            },
            deadline_s,
        )

    def decode(
        self,
        *,
        stream_id: str,
        attempt_id: str,
        max_tokens: int,
        from_offset: int,
        deadline_s: float,
    ) -> abc.Generator[Piece, None, None]:
        body = {
            'stream_id': stream_id,
            'attempt_id': attempt_id,
            'max_tokens': max_tokens,
            'from_offset': from_offset,
        }
        with self._exchange(self._stall_s) as exchange:
            response = self._post(exchange, '/v1/decode', body, deadline_s)
            self._raise_unless_ok(exchange, response)
            for line in exchange.lines(response):
                if line.startswith(b'data:'):
                    yield _read_piece(line[5:])

    def cancel(self, *, stream_id: str, attempt_id: str) -> None:
        self._ask(
            '/v1/cancel', {'stream_id': stream_id, 'attempt_id': attempt_id}
        )

    def streams(self) -> tuple[tuple[str, str], ...]:
        """Return stream id and attempt id of all that the engine holds."""
        with self._exchange(self._first_byte_s) as exchange:
            response = exchange.send('GET', '/v1/streams', b'', {})
            self._raise_unless_ok(exchange, response)
            answer = read_json(exchange.read(response, self.MAX_ANSWER_BYTES))
        return tuple(
            (str(each['stream_id']), str(each['attempt_id']))
            for each in answer['streams']
        )

    def order(
        self,
        *,
        order_id: str,
        order: str,
        value: str,
        fence: int,
        timeout_s: float,
    ) -> None:
        """Load a model, adapter or version, or change role.

        :param order_id: the same for each repeat of one order.
        :param timeout_s: longest silence of the engine.
        :raises EngineError: with reason ``fenced`` from an engine that has
            seen a higher fencing number.
        """
        body = {
            'order_id': order_id,
            'order': order,
            'value': value,
            'fence': fence,
        }
        with self._exchange(timeout_s) as exchange:
            response = self._post(exchange, '/v1/order', body, None)
            self._raise_unless_ok(exchange, response)
            exchange.read(response, self.MAX_ANSWER_BYTES)

    def abort(self) -> None:
        self._aborted = True
        if self._current is not None:
            self._current.abort()

    @contextlib.contextmanager
    def _exchange(self, read_s: float) -> abc.Iterator[Exchange]:
        exchange = Exchange(
            url=self.url, connect_s=self._connect_s, read_s=read_s
        )
        self._current = exchange
        if self._aborted:
            exchange.abort()
        try:
            exchange.open()
            yield exchange
        finally:
            self._current = None
            exchange.close()

    def _ask(
        self, path: str, body: dict, deadline_s: float | None = None
    ) -> dict:
        with self._exchange(self._first_byte_s) as exchange:
            response = self._post(exchange, path, body, deadline_s)
            self._raise_unless_ok(exchange, response)
            return read_json(exchange.read(response, self.MAX_ANSWER_BYTES))

    def _post(
        self,
        exchange: Exchange,
        path: str,
        body: dict,
        deadline_s: float | None,
    ) -> typing.Any:
        headers = {'Content-Type': 'application/json'}
        if deadline_s is not None:
            headers['X-Deadline-S'] = f'{deadline_s:.3f}'
        return exchange.send('POST', path, json.dumps(body).encode(), headers)

    def _raise_unless_ok(
        self, exchange: Exchange, response: typing.Any
    ) -> None:
        if response.status == 200:
            return
        answer = read_json(exchange.read(response, self.MAX_ANSWER_BYTES))
        reason = str(answer.get('reason', ''))
        raise EngineError(
            f'{self.url} answered {response.status}: {answer}',
            known=(
                verdict.Verdict.NOT_RUN
                if reason in NOT_RUN_REASONS
                else verdict.Verdict.MAY_HAVE_RUN
            ),
            reason=reason,
        )


def read_json(body: bytes) -> dict:
    """Return the object in an answer.

    :raises EngineError: for anything else.
    """
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        answer = None
    if not isinstance(answer, dict):
        raise EngineError(
            f'not a JSON object: {body[:80]!r}',
            known=verdict.Verdict.MAY_HAVE_RUN,
        )
    return answer


def _read_piece(data: bytes) -> Piece:
    answer = read_json(data)
    is_end = bool(answer.get('end'))
    with _understood(answer):
        return Piece(
            attempt_id=str(answer.get('attempt_id', '')),
            offset=int(answer['tokens'] if is_end else answer['offset']),
            text=str(answer.get('text', '')),
            is_end=is_end,
        )


@contextlib.contextmanager
def _understood(answer: dict) -> abc.Iterator[None]:
    """Fail as any other call does where a field is missing or odd."""
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise EngineError(
            f'an answer that is not understood, {error!r} in '
            f'{str(answer)[:80]}',
            known=verdict.Verdict.MAY_HAVE_RUN,
        ) from error


class PlainCaller(typing.Protocol):
    """Sends one call to a plain service."""

    def call(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        headers: abc.Mapping[str, str],
        most_bytes: int,
    ) -> Reply: ...

    def abort(self) -> None:
        """Break off the call in progress, from any thread."""
        ...


class PlainService:
    """One call to a plain service, passed on as the caller sent it."""

    def __init__(
        self, *, url: str, connect_s: float, timeout_s: float
    ) -> None:
        self.url = url
        self._exchange = Exchange(
            url=url, connect_s=connect_s, read_s=timeout_s
        )

    def call(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        headers: abc.Mapping[str, str],
        most_bytes: int,
    ) -> Reply:
        """Return the answer, whole.

        :raises EngineError: its ``known`` is ``NOT_RUN`` only when the
            connection was never made, or the service says so with 503 and
            ``X-Not-Run: true``. One whose answer is too long has ``RAN``.
        """
        try:
            self._exchange.open()
            response = self._exchange.send(method, path, body, headers)
            content = self._exchange.read(response, most_bytes)
        finally:
            self._exchange.close()
        says_not_run = response.headers.get(NOT_RUN_HEADER, '') == 'true'
        if response.status == 503 and says_not_run:
            raise EngineError(
                f'{self.url} is busy',
                known=verdict.Verdict.NOT_RUN,
                reason='busy',
            )
        return Reply(
            status=response.status,
            content_type=response.headers.get('Content-Type', ''),
            body=content,
        )

    def abort(self) -> None:
        self._exchange.abort()
