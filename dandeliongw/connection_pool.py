"""A pool of idle HTTP connections to backend servers."""

import collections
import re
import select
import socket
import threading

import msgspec
import urllib3.connection

from . import clock

#: Seconds subtracted from the keep-alive timeout that a backend server
#: advertises: if a call is sent just as the server closes the connection, it
#: is unknown whether the call ran.
MARGIN_S = 1.0
#: Seconds that a connection is kept if the backend server advertises nothing.
DEFAULT_KEEP_S = 3.0
#: Most idle connections to one address.
MAX_IDLE = 8
_TIMEOUT = re.compile(r'timeout=([0-9]{1,6})')


class _Idle(msgspec.Struct, frozen=True, kw_only=True):
    connection: urllib3.connection.HTTPConnection
    expires_at: float


class ConnectionPool:
    """Idle connections by address; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[tuple[str, int], collections.deque] = {}

    def take(
        self, host: str, port: int
    ) -> urllib3.connection.HTTPConnection | None:
        """Return a connection that can carry another call, or ``None``.

        A readable connection can't: either its other end has closed it, or
        there are unread bytes that would be taken for the next answer.
        """
        while True:
            with self._lock:
                idle = self._idle_by_address.get((host, port))
                found = idle.pop() if idle else None
            if found is None:
                return None
            if clock.now() < found.expires_at and _is_unreadable(
                found.connection.sock
            ):
                return found.connection
            found.connection.close()

    def drop(self, host: str, port: int) -> None:
        """Close the idle connections to an address."""
        with self._lock:
            dropped = self._idle_by_address.pop((host, port), ())
        for each in dropped:
            each.connection.close()

    def give(
        self, connection: urllib3.connection.HTTPConnection, keep_alive: str
    ) -> None:
        """Return a connection whose last answer was read to its end.

        :param keep_alive: the answer's ``Keep-Alive`` header, or ``''``.
        """
        match = _TIMEOUT.search(keep_alive)
        keep_s = float(match[1]) - MARGIN_S if match else DEFAULT_KEEP_S
        if keep_s <= 0:
            connection.close()
            return
        kept = _Idle(connection=connection, expires_at=clock.now() + keep_s)
        address = (connection.host, connection.port)
        with self._lock:
            idle = self._idle_by_address.setdefault(
                address, collections.deque()
            )
            idle.append(kept)
            surplus = idle.popleft() if len(idle) > MAX_IDLE else None
        if surplus is not None:
            surplus.connection.close()


def _is_unreadable(sock: socket.socket | None) -> bool:
    """Whether the socket is open and has nothing to read."""
    if sock is None:
        return False
    poller = select.poll()
    poller.register(sock, select.POLLIN | select.POLLRDHUP)
    return not poller.poll(0)
