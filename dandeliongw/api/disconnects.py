"""Detects callers that disconnect, also while no data is sent.

A thread that waits for a slot or for a prefill sends nothing to its caller,
so no write fails when the caller disconnects. Without detection, answers
that nobody will read would take slots and engine memory. Therefore one
thread polls the sockets of all requests in flight.

A caller that only shuts down its sending side (half-close) is treated as
disconnected: it can't be distinguished from one that closed its connection,
and HTTP clients don't do it.
"""

from collections import abc
import select
import socket
import threading

from loguru import logger

#: Seconds between two polls of the sockets.
POLL_S = 0.1
#: Number of polls after which the notification of a disconnected caller is
#: repeated.
POLLS_PER_NOTIFICATION = 10
_DISCONNECTED = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)


class DisconnectWatcher:
    """Calls ``on_disconnect`` for each watched caller that has disconnected.

    The call is repeated once a second until the request is removed. A caller
    that disconnects immediately could be reported before the request itself
    arrives; with a single notification, its disconnection would be lost.

    :param on_disconnect: called with the request id, on the thread of this
        object.
    """

    def __init__(self, *, on_disconnect: abc.Callable[[str], None]) -> None:
        self._on_disconnect = on_disconnect
        self._lock = threading.Lock()
        self._sockets_by_id: dict[str, socket.socket] = {}
        self._polls_by_disconnected: dict[str, int] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='watch', daemon=True
        )

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Stop permanently; sockets that close later are not reported.

        A server that stops shuts down its sockets itself, which would look
        as if all callers had disconnected.
        """
        self._stopped.set()
        self._thread.join()

    def add(self, request_id: str, caller: socket.socket) -> None:
        with self._lock:
            self._sockets_by_id[request_id] = caller

    def remove(self, request_id: str) -> None:
        with self._lock:
            self._sockets_by_id.pop(request_id, None)
            self._polls_by_disconnected.pop(request_id, None)

    def poll(self) -> list[str]:
        """Return the requests whose disconnected callers are due to report.

        :return: request ids.
        """
        with self._lock:
            watched = dict(self._sockets_by_id)
        poller = select.poll()
        ids_by_fd: dict[int, str] = {}
        disconnected = []
        for request_id, caller in watched.items():
            fd = caller.fileno()
            if fd < 0:
                disconnected.append(request_id)
                continue
            ids_by_fd[fd] = request_id
            poller.register(fd, select.POLLRDHUP)
        for fd, mask in poller.poll(0):
            if mask & _DISCONNECTED:
                disconnected.append(ids_by_fd[fd])
        return [each for each in disconnected if self._is_due(each)]

    def _is_due(self, request_id: str) -> bool:
        with self._lock:
            if request_id not in self._sockets_by_id:
                return False
            polls = self._polls_by_disconnected.get(request_id, 0)
            self._polls_by_disconnected[request_id] = polls + 1
            return polls % POLLS_PER_NOTIFICATION == 0

    def _run(self) -> None:
        while not self._stopped.wait(POLL_S):
            try:
                for request_id in self.poll():
                    self._on_disconnect(request_id)
            except Exception:
                # If this thread ended, no caller would be reported any more.
                logger.exception(
                    'checking for disconnected callers failed; continuing'
                )
