"""Cancellation of attempts whose thread may be blocked or not started yet."""

from collections import abc
import contextlib
import threading
import typing

import msgspec


class _Registered(msgspec.Struct, frozen=True, kw_only=True):
    backend_id: str
    adapter: typing.Any


class Cancellations:
    """The attempts to cancel, and the adapters that may block in them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._events_by_attempt: dict[str, threading.Event] = {}
        self._adapters_by_attempt: dict[str, _Registered] = {}

    def event(self, attempt_id: str) -> threading.Event:
        """Return the event that is set when an attempt is cancelled."""
        with self._lock:
            return self._events_by_attempt.setdefault(
                attempt_id, threading.Event()
            )

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt, also one that has not begun; thread-safe."""
        self.event(attempt_id).set()
        with self._lock:
            found = self._adapters_by_attempt.get(attempt_id)
        if found is not None:
            found.adapter.abort()

    def withdraw(
        self, attempt_id: str, backend_id: str, *, is_forced: bool
    ) -> None:
        """Break off what a backend server may not have got; thread-safe."""
        with self._lock:
            found = self._adapters_by_attempt.get(attempt_id)
        # The next step of the attempt may be at another backend server.
        if found is not None and found.backend_id == backend_id:
            found.adapter.withdraw(is_forced=is_forced)

    def forget(self, attempt_id: str) -> None:
        """Drop the adapter of an attempt whose step has ended."""
        with self._lock:
            self._adapters_by_attempt.pop(attempt_id, None)

    @contextlib.contextmanager
    def registered(
        self, attempt_id: str, backend_id: str, adapter: typing.Any
    ) -> abc.Iterator[None]:
        """Abort ``adapter`` on a cancellation, also on one just before.

        The adapter is registered before the event is checked. Otherwise a
        cancellation between the two would be lost, and the thread would go on
        working for a client that has disconnected.
        """
        with self._lock:
            self._adapters_by_attempt[attempt_id] = _Registered(
                backend_id=backend_id, adapter=adapter
            )
        if self.event(attempt_id).is_set():
            adapter.abort()
        try:
            yield
        finally:
            self.forget(attempt_id)
