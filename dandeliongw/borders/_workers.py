"""The threads of an HTTP port: as many as there is work for."""

import queue
import threading
import typing

from cheroot.workers import threadpool

#: Threads that a port keeps without work; with none, the first call after a
#: pause would wait for its thread to be made.
FEWEST = 2
#: Seconds that a thread beyond those waits for work before it ends: longer
#: than the pauses of a busy port, so that threads aren't made anew all along.
LINGER_S = 10.0


class WorkerPool(threadpool.ThreadPool):
    """Makes a thread when all are busy, and ends those that stay idle.

    The library starts all threads that a port may ever need. An instance
    that bears 96 calls at once had 144 threads while it did nothing, and two
    hundred instances on one machine had 28,000.

    :param server: whose connections the threads serve.
    :param most: threads at one time.
    :param queued: connections that wait for a thread; more are refused.
    """

    def __init__(self, *, server: typing.Any, most: int, queued: int) -> None:
        super().__init__(
            server,
            min=min(FEWEST, most),
            max=most,
            accepted_queue_size=queued,
            # The accept loop also reads what kept connections send: while
            # it waited for room, all of them would stand still. With 0 what
            # doesn't fit gets its 503 at once, from a thread of its own.
            accepted_queue_timeout=0,
        )
        self.get = self._next
        self._lock = threading.Lock()
        #: Threads that wait, and have no connection on its way to them.
        self._free = 0
        #: Connections that wait for the next thread that has nothing to do.
        self._waiting = 0

    @property
    def size(self) -> int:
        """Threads at present."""
        return len(self._threads)

    @property
    def idle(self) -> int:
        """Threads that wait for a connection."""
        return self._free

    def grow(self, amount: int) -> None:
        """Start threads without a wait.

        The library sleeps until each of them runs, which would hold up the
        thread that accepts connections by a tenth of a second.
        """
        with self._lock:
            for _ in range(min(amount, self.max - len(self._threads))):
                self._threads.append(self._spawn_worker())

    def put(self, conn: typing.Any) -> None:
        """Hand a connection to a thread, to a new one if none is free.

        :raises queue.Full: when too many wait already.
        """
        super().put(conn)
        with self._lock:
            if self._free:
                self._free -= 1
                return
            self._waiting += 1
            if len(self._threads) < self.max:
                self._threads.append(self._spawn_worker())

    def _next(self) -> typing.Any:
        """Return the next connection, for a thread that has nothing to do."""
        with self._lock:
            if self._waiting:
                self._waiting -= 1
            else:
                self._free += 1
        while True:
            try:
                return self._queue.get(timeout=LINGER_S)
            except queue.Empty:
                if self._may_end():
                    return threadpool._SHUTDOWNREQUEST

    def _may_end(self) -> bool:
        own = threading.current_thread()
        with self._lock:
            # With none free, a connection is on its way to this thread.
            if not self._free or len(self._threads) <= self.min:
                return False
            self._free -= 1
            self._threads.remove(own)
        # Kept by name for good otherwise, with all that the thread holds.
        self.server.stats['Worker Threads'].pop(own.name, None)
        return True
