"""A TCP relay that simulates network failures, for tests of real sockets.

It runs in the test's event loop, so that a test can wait for a condition
instead of a fixed time.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum


#: Timeout in seconds for a condition that must become true.
LIMIT_S = 30.0


class Direction(enum.StrEnum):
    """A direction, as seen from the client of the connection."""

    THERE = 'there'
    BACK = 'back'


@dataclasses.dataclass(kw_only=True, eq=False)
class Connection:
    """One relayed connection.

    :param cut: directions in which bytes are dropped silently.
    """

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    cut: set[Direction] = dataclasses.field(default_factory=set)
    #: Number of dropped bytes; a test waits for it with :meth:`Relay.until`.
    dropped: int = 0
    #: Number of forwarded bytes.
    passed: int = 0


class Relay:
    """Forwards connections to one address.

    :param host: of the target.
    :param port: of the target.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.port = 0
        self.connections: list[Connection] = []
        #: Directions that are cut in new connections, too.
        self.cut: set[Direction] = set()
        #: Delay of the bytes in both directions, in seconds.
        self.delay_s = 0.0
        self._target = (host, port)
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task] = set()

    def cut_all(self, *directions: Direction) -> None:
        """Cut existing and new connections in one or both directions."""
        self.cut.update(directions)
        self.blackhole(*directions)

    def heal(self) -> None:
        """Let new connections work; existing ones stay cut."""
        self.cut.clear()

    def blackhole(self, *directions: Direction) -> None:
        """Drop all bytes of the existing connections; new ones work."""
        for connection in self.connections:
            connection.cut.update(directions or Direction)

    async def until(self, condition: abc.Callable[[], bool]) -> None:
        """Wait until the condition is true; it is checked after each read.

        :raises TimeoutError: after ``LIMIT_S``.
        """
        async with asyncio.timeout(LIMIT_S), self._changed:
            await self._changed.wait_for(condition)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(
            writers=(writer, far_writer), cut=set(self.cut)
        )
        self.connections.append(connection)
        await asyncio.gather(
            self._carry(connection, Direction.THERE, reader, far_writer),
            self._carry(connection, Direction.BACK, far_reader, writer),
            return_exceptions=True,
        )

    async def _carry(
        self,
        connection: Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(65536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if direction in connection.cut:
                connection.dropped += len(data)
            else:
                connection.passed += len(data)
                writer.write(data)
            async with self._changed:
                self._changed.notify_all()
        if direction not in connection.cut:
            # A cut connection does not forward its end either.
            writer.close()

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator['Relay']:
        """Listen at ``port`` of the local address until the block ends."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            for connection in self.connections:
                for writer in connection.writers:
                    writer.transport.abort()
            # Not cancelled: their reads end with the aborted transports.
            await asyncio.gather(*self._tasks, return_exceptions=True)
