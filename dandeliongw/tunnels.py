"""Connections to backend servers through another instance.

An instance that can't reach a backend server asks another one to connect to
it, with HTTP's ``CONNECT``, and then sends its own call through. The call
stays with the instance that its caller chose: its booking, retries, deadline,
account and log lines don't know of the detour.

The end of a tunnel proves nothing about the end of the backend server's
connection: the far instance may have ended. So the far one sends the bytes of
the backend server in frames, if the asking instance knows them; an empty one
follows after the backend server has closed its connection regularly, and in no
other case.
"""

import asyncio
import collections
from collections import abc
import contextlib
import enum
import hmac
import http.client
import socket
import threading

from loguru import logger
import msgspec

from . import _tunnel_socket
from . import message_framing
from . import sockets

#: Seconds that the far instance may take to connect.
FAR_CONNECT_S = 0.2
#: Seconds that the head of a request for a tunnel may take.
HEAD_S = 2.0
#: Largest head of such a request, and largest piece that is forwarded at once,
#: in bytes.
CHUNK_BYTES = 65536
#: Most tunnels at one time; each holds two connections.
MAX_TUNNELS = 512
#: Seconds without data after which a connection to another instance is
#: checked, seconds between two checks, and failed checks that end it. Without
#: them, a backend server would work on for an instance that lost its power.
KEEP_IDLE_S, KEEP_EVERY_S, KEEP_TRIES = 5, 2, 3
#: In a request for a tunnel, that the asking instance knows frames; in the
#: answer, that the far one sends them.
_FRAMES = 'X-Frames: 1'
_PROOF_HEADER = 'Proxy-Authorization'
_PROOF_SCHEME = 'Dandeliongw'


class Outcome(enum.StrEnum):
    """How a request for a tunnel ended."""

    OPENED = 'opened'
    #: The backend server's machine refuses connections.
    REFUSED = 'refused'
    #: The far instance doesn't reach it either.
    UNREACHABLE = 'unreachable'
    #: The far instance serves no tunnel, or there was no answer.
    UNAVAILABLE = 'unavailable'


_STATUS_BY_OUTCOME = {
    Outcome.OPENED: http.HTTPStatus.OK,
    Outcome.REFUSED: http.HTTPStatus.BAD_GATEWAY,
    Outcome.UNREACHABLE: http.HTTPStatus.GATEWAY_TIMEOUT,
    Outcome.UNAVAILABLE: http.HTTPStatus.SERVICE_UNAVAILABLE,
}
_OUTCOME_BY_STATUS = {
    int(status): outcome for outcome, status in _STATUS_BY_OUTCOME.items()
}


class Address(msgspec.Struct, frozen=True, kw_only=True):
    """Host and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class Opened(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a request for a tunnel.

    :param connection: ends at the backend server; ``None`` unless it was
        opened.
    """

    outcome: Outcome
    connection: _tunnel_socket.TunnelSocket | None = None


class _Request(msgspec.Struct, frozen=True, kw_only=True):
    """A valid request for a tunnel.

    :param has_frames: whether the asking instance knows frames.
    """

    target: Address
    has_frames: bool


def open_through(
    far: Address, target: Address, *, timeout_s: float, secret: bytes | None
) -> Opened:
    """Connect to a backend server through another instance.

    :param far: where that instance serves tunnels.
    :param secret: shared by all instances, if they have one.
    """
    try:
        connected = socket.create_connection((far.host, far.port), timeout_s)
    except OSError:
        return Opened(outcome=Outcome.UNAVAILABLE)
    made = _tunnel_socket.TunnelSocket(fileno=connected.detach())
    made.settimeout(timeout_s)
    head = f'CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n{_FRAMES}\r\n'
    if secret is not None:
        head += f'{_proof(secret, str(target))}\r\n'
    # What follows the head isn't the answer's.
    answer = message_framing.Response(made, method='CONNECT', buffer_bytes=1)
    try:
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        made.sendall(head.encode() + b'\r\n')
        answer.begin()
        outcome = _OUTCOME_BY_STATUS.get(answer.status, Outcome.UNAVAILABLE)
    except (OSError, http.client.HTTPException):
        outcome = Outcome.UNAVAILABLE
    if outcome is not Outcome.OPENED:
        answer.close()
        made.close()
        return Opened(outcome=outcome)
    name, _, value = _FRAMES.partition(': ')
    if answer.headers.get(name) == value:
        made.begin_frames()
    return Opened(outcome=outcome, connection=made)


def _proof(secret: bytes, target: str) -> str:
    """Return the header line that proves knowledge of the secret."""
    digest = hmac.new(secret, f'tunnel {target}'.encode(), 'sha256')
    return f'{_PROOF_HEADER}: {_PROOF_SCHEME} {digest.hexdigest()}'


class TunnelServer:
    """Serves tunnels to other instances, on a thread of its own.

    :param secret: as for :func:`open_through`; tunnels are served to those
        that know it.
    :param may_connect: whether this instance reaches an address by itself.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        secret: bytes | None,
        may_connect: abc.Callable[[Address], bool],
    ) -> None:
        self.host = host
        self.port = port
        self.open_count = 0
        self._secret = secret
        self._may_connect = may_connect
        self._is_draining = False
        self._loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task] = set()
        self._open_by_target: dict[Address, set[asyncio.StreamWriter]] = (
            collections.defaultdict(set)
        )
        self._thread = threading.Thread(
            target=self._loop.run_forever, name='tunnels', daemon=True
        )

    def start(self) -> None:
        """Listen.

        :raises OSError: if the address can't be used.
        """
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(), self._loop).result()

    def note_departure(self, target: Address) -> None:
        """Note that a backend server leaves; called from any thread.

        What was written to it and is not acknowledged soon is discarded.
        Otherwise it could arrive long after the leave.
        """
        self._loop.call_soon_threadsafe(
            self._loop.call_later,
            sockets.RECEIPT_S,
            self._break_unreceived,
            target,
        )

    def _break_unreceived(self, target: Address) -> None:
        for writer in list(self._open_by_target.get(target, ())):
            buffered = writer.transport.get_write_buffer_size()
            connected = writer.get_extra_info('socket')
            if buffered or sockets.unacknowledged_bytes(connected):
                sockets.reset_on_close(connected)
                writer.transport.abort()

    def drain(self) -> None:
        """Open no further tunnels; those that are open go on."""
        self._is_draining = True

    def stop(self) -> None:
        """Close everything."""
        asyncio.run_coroutine_threadsafe(self._end(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, self.host, self.port, limit=CHUNK_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _end(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Also if either end has reset its connection.
            pass
        except Exception as error:
            logger.error(f'serving a tunnel failed: {error!r}')
        finally:
            # Bytes on their way to a closed end are of no use, and a regular
            # end would look like that of the backend server's answer.
            sockets.reset_on_close(writer.get_extra_info('socket'))
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _keep_alive(writer)
        request = await self._read_request(reader)
        if request is None or not self._has_room():
            return await self._answer(writer, Outcome.UNAVAILABLE)
        target = request.target
        if not self._may_connect(target):
            return await self._answer(writer, Outcome.UNREACHABLE)
        try:
            async with asyncio.timeout(FAR_CONNECT_S):
                far_reader, far_writer = await asyncio.open_connection(
                    target.host, target.port
                )
        except ConnectionRefusedError:
            return await self._answer(writer, Outcome.REFUSED)
        except OSError:
            return await self._answer(writer, Outcome.UNREACHABLE)
        with self._opened(target, far_writer):
            await self._answer(
                writer, Outcome.OPENED, has_frames=request.has_frames
            )
            await _join(
                reader,
                writer,
                far_reader,
                far_writer,
                has_frames=request.has_frames,
            )

    @contextlib.contextmanager
    def _opened(
        self, target: Address, far_writer: asyncio.StreamWriter
    ) -> abc.Iterator[None]:
        self.open_count += 1
        writers = self._open_by_target[target]
        writers.add(far_writer)
        try:
            yield
        finally:
            self.open_count -= 1
            writers.discard(far_writer)
            if not writers:
                self._open_by_target.pop(target, None)
            # Otherwise what the far end has not received of a call that was
            # given up would still be sent.
            sockets.reset_on_close(far_writer.get_extra_info('socket'))
            far_writer.transport.abort()

    def _has_room(self) -> bool:
        return not self._is_draining and self.open_count < MAX_TUNNELS

    async def _read_request(
        self, reader: asyncio.StreamReader
    ) -> _Request | None:
        """Return the request, ``None`` if it isn't valid."""
        try:
            async with asyncio.timeout(HEAD_S):
                head = await reader.readuntil(b'\r\n\r\n')
        except (
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            return None
        first, *fields = head.decode('latin-1').split('\r\n')
        method, _, rest = first.partition(' ')
        target = rest.partition(' ')[0]
        host, _, port = target.rpartition(':')
        if method != 'CONNECT' or not host or not port.isdigit():
            return None
        if self._secret is not None:
            proof = _proof(self._secret, target).encode()
            if not any(
                hmac.compare_digest(proof, each.encode('latin-1'))
                for each in fields
            ):
                return None
        return _Request(
            target=Address(host=host, port=int(port)),
            has_frames=_FRAMES in fields,
        )

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        outcome: Outcome,
        *,
        has_frames: bool = False,
    ) -> None:
        status = _STATUS_BY_OUTCOME[outcome]
        head = f'HTTP/1.1 {status.value} {outcome}\r\n'
        if has_frames:
            head += f'{_FRAMES}\r\n'
        writer.write(head.encode() + b'\r\n')
        await writer.drain()
        if outcome is not Outcome.OPENED:
            writer.close()
            await writer.wait_closed()


async def _join(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    far_reader: asyncio.StreamReader,
    far_writer: asyncio.StreamWriter,
    *,
    has_frames: bool,
) -> None:
    """Forward both ways until either end closes its connection.

    What the backend server sent before its end is delivered, and an empty
    frame after that. The other end closes only a call that it gave up.

    :raises OSError: if either end has reset its connection.
    """
    there = asyncio.create_task(_copy(reader, far_writer))
    back = asyncio.create_task(
        _copy(
            far_reader,
            writer,
            _tunnel_socket.frame if has_frames else bytes,
        )
    )
    try:
        done, _ = await asyncio.wait(
            {there, back}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()
        if back in done:
            if far_writer.is_closing():
                raise ConnectionAbortedError('closed by this instance')
            if has_frames:
                writer.write(_tunnel_socket.END)
            writer.close()
            await writer.wait_closed()
    finally:
        there.cancel()
        back.cancel()
        await asyncio.gather(there, back, return_exceptions=True)


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    wrap: abc.Callable[[bytes], bytes] = bytes,
) -> None:
    while data := await reader.read(CHUNK_BYTES):
        writer.write(wrap(data))
        await writer.drain()


def _keep_alive(writer: asyncio.StreamWriter) -> None:
    made = writer.get_extra_info('socket')
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_EVERY_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_TRIES)


@contextlib.contextmanager
def serving(
    *,
    host: str,
    port: int,
    secret: bytes | None,
    may_connect: abc.Callable[[Address], bool],
) -> abc.Iterator[TunnelServer]:
    """Serve tunnels while the context is open.

    :raises OSError: if the address can't be used.
    """
    server = TunnelServer(
        host=host, port=port, secret=secret, may_connect=may_connect
    )
    server.start()
    try:
        yield server
    finally:
        server.stop()
