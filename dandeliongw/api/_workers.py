"""The thread pool of an HTTP port, which grows and shrinks with the load."""

import queue
import threading
import typing

from cheroot.workers import threadpool

#: Threads that an idle port keeps. With none, the first call after a pause
#: would wait for a new thread.
MIN_THREADS = 2
#: Seconds after which an idle thread beyond those ends: longer than the
#: pauses of a busy port, so that threads aren't ended and started constantly.
IDLE_TIMEOUT_S = 10.0


class WorkerPool(threadpool.ThreadPool):
    """Starts a thread if all are busy, and ends threads that stay idle.

    Cheroot's own pool starts its maximum number of threads. With it, an idle
    instance that allows 96 concurrent calls had 144 threads, and two hundred
    instances on one machine had 28,000.

    :param server: the server whose connections the threads handle.
    :param max_threads: maximum number of threads.
    :param max_queued: maximum number of connections that wait for a thread;
        more are refused.
    """

    def __init__(
        self, *, server: typing.Any, max_threads: int, max_queued: int
    ) -> None:
        super().__init__(
            server,
            min=min(MIN_THREADS, max_threads),
            max=max_threads,
            accepted_queue_size=max_queued,
            # The accept loop also polls persistent connections. If it waited
            # for space in the queue, all of them would stall. With 0,
            # connections that don't fit get a 503 at once, from a separate
            # thread.
            accepted_queue_timeout=0,
        )
        self.get = self._next
        self._lock = threading.Lock()
        #: Number of idle threads that no queued connection is meant for.
        self._free = 0
        #: Number of queued connections that no thread is reserved for.
        self._unassigned = 0

    @property
    def size(self) -> int:
        """Number of threads."""
        return len(self._threads)

    @property
    def idle(self) -> int:
        """Number of threads that wait for a connection."""
        return self._free

    def grow(self, amount: int) -> None:
        """Start threads without waiting for them.

        Cheroot sleeps until each thread runs, which would delay the thread
        that accepts connections by a tenth of a second.
        """
        with self._lock:
            for _ in range(min(amount, self.max - len(self._threads))):
                self._threads.append(self._spawn_worker())

    def put(self, conn: typing.Any) -> None:
        """Queue a connection, and start a thread if none is free.

        :raises queue.Full: if too many connections are queued already.
        """
        super().put(conn)
        with self._lock:
            if self._free:
                self._free -= 1
                return
            self._unassigned += 1
            if len(self._threads) < self.max:
                self._threads.append(self._spawn_worker())

    def _next(self) -> typing.Any:
        """Wait for the next connection; called by an idle thread.

        :return: the connection, or cheroot's shutdown marker, which ends the
            thread.
        """
        with self._lock:
            if self._unassigned:
                self._unassigned -= 1
            else:
                self._free += 1
        while True:
            try:
                return self._queue.get(timeout=IDLE_TIMEOUT_S)
            except queue.Empty:
                if self._remove_if_idle():
                    return threadpool._SHUTDOWNREQUEST

    def _remove_if_idle(self) -> bool:
        """Remove the current thread from the pool if it may end.

        :return: whether it was removed.
        """
        own = threading.current_thread()
        with self._lock:
            # If no thread is free, a connection is queued for this one.
            if not self._free or len(self._threads) <= self.min:
                return False
            self._free -= 1
            self._threads.remove(own)
        # Without this, the statistics would keep an entry for each thread
        # that ever ran, with all objects that the thread refers to.
        self.server.stats['Worker Threads'].pop(own.name, None)
        return True
