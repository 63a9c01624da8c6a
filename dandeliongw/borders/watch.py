"""Notices callers who close their connections, also while no byte flows.

A thread that waits for a slot or for a prefill writes nothing to its caller
and so can't learn from a failed write that nobody is there any more. One
would notice slots and engine memory taken by answers that nobody will read.
One thread polls the sockets of all requests in flight instead.

A caller that only shuts down its sending side (half-closes) counts as gone:
it can't be told from one that closed, and HTTP clients don't do it.
"""

from collections import abc
import select
import socket
import threading

from loguru import logger

#: Seconds between looks at a changed set of sockets.
POLL_S = 0.1
#: A caller that has gone is told of again in every so many looks.
LOOKS_PER_TELLING = 10
_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class Watch:
    """Calls ``on_gone`` for each watched caller that has gone.

    Once a second until the request is removed: told only once, the news of
    a caller that leaves at once could come before the request itself, and
    be lost.

    :param on_gone: gets the request id; called on the watch's thread.
    """

    def __init__(self, *, on_gone: abc.Callable[[str], None]) -> None:
        self._on_gone = on_gone
        self._lock = threading.Lock()
        self._sockets_by_id: dict[str, socket.socket] = {}
        self._looks_by_gone: dict[str, int] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='watch', daemon=True
        )

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Stop for good; sockets closed after this are no news.

        A server that stops shuts its sockets down itself, which would look
        as if every caller had left at once.
        """
        self._stopped.set()
        self._thread.join()

    def add(self, request_id: str, caller: socket.socket) -> None:
        with self._lock:
            self._sockets_by_id[request_id] = caller

    def remove(self, request_id: str) -> None:
        with self._lock:
            self._sockets_by_id.pop(request_id, None)
            self._looks_by_gone.pop(request_id, None)

    def look(self) -> list[str]:
        """Return the ids of callers that have gone and are to be told."""
        with self._lock:
            watched = dict(self._sockets_by_id)
        poller = select.poll()
        ids_by_fd: dict[int, str] = {}
        gone = []
        for request_id, caller in watched.items():
            fd = caller.fileno()
            if fd < 0:
                gone.append(request_id)
                continue
            ids_by_fd[fd] = request_id
            poller.register(fd, select.POLLRDHUP)
        for fd, mask in poller.poll(0):
            if mask & _GONE:
                gone.append(ids_by_fd[fd])
        return [each for each in gone if self._is_due(each)]

    def _is_due(self, request_id: str) -> bool:
        with self._lock:
            if request_id not in self._sockets_by_id:
                return False
            looks = self._looks_by_gone.get(request_id, 0)
            self._looks_by_gone[request_id] = looks + 1
            return looks % LOOKS_PER_TELLING == 0

    def _run(self) -> None:
        while not self._stopped.wait(POLL_S):
            try:
                for request_id in self.look():
                    self._on_gone(request_id)
            except Exception:
                # Without this thread nobody would ever count as gone.
                logger.exception('watching callers failed; going on')
