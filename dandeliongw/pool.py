"""Connections to backend servers that are kept for the next call."""

import collections
import re
import select
import socket
import threading

import msgspec
import urllib3.connection

from . import clock

#: Seconds taken off what a backend server says it keeps a connection for:
#: a call that crosses its close may or may not have run.
MARGIN_S = 1.0
#: Seconds that one is kept where the backend server says nothing.
DEFAULT_KEEP_S = 3.0
#: Idle connections kept to one address.
MOST_IDLE = 8
_TIMEOUT = re.compile(r'timeout=([0-9]{1,6})')


class _Idle(msgspec.Struct, frozen=True, kw_only=True):
    connection: urllib3.connection.HTTPConnection
    until: float


class Pool:
    """Idle connections by address; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[tuple[str, int], collections.deque] = {}

    def take(
        self, host: str, port: int
    ) -> urllib3.connection.HTTPConnection | None:
        """Return a connection that is fit for a call, or ``None``.

        One on which something can be read is not: either its other end has
        closed it, or bytes wait there that would pass for the next answer.
        """
        while True:
            with self._lock:
                idle = self._idle_by_address.get((host, port))
                found = idle.pop() if idle else None
            if found is None:
                return None
            if clock.now() < found.until and _is_silent(found.connection.sock):
                return found.connection
            found.connection.close()

    def give(
        self, connection: urllib3.connection.HTTPConnection, keep_alive: str
    ) -> None:
        """Keep a connection whose last answer was read to its end.

        :param keep_alive: the answer's header of that name, or ``''``.
        """
        said = _TIMEOUT.search(keep_alive)
        keep_s = float(said[1]) - MARGIN_S if said else DEFAULT_KEEP_S
        if keep_s <= 0:
            connection.close()
            return
        kept = _Idle(connection=connection, until=clock.now() + keep_s)
        address = (connection.host, connection.port)
        with self._lock:
            idle = self._idle_by_address.setdefault(
                address, collections.deque()
            )
            idle.append(kept)
            surplus = idle.popleft() if len(idle) > MOST_IDLE else None
        if surplus is not None:
            surplus.connection.close()


def _is_silent(sock: socket.socket | None) -> bool:
    if sock is None:
        return False
    poller = select.poll()
    poller.register(sock, select.POLLIN | select.POLLRDHUP)
    return not poller.poll(0)
