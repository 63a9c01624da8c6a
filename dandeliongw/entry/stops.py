"""Stops for attempts whose thread may be blocked, or not begun yet."""

from collections import abc
import contextlib
import threading
import typing


class Stops:
    """Which attempts are to stop, and the adapter that may block in one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._events_by_attempt: dict[str, threading.Event] = {}
        self._adapters_by_attempt: dict[str, typing.Any] = {}

    def event(self, attempt_id: str) -> threading.Event:
        """Return what is set once an attempt is to stop."""
        with self._lock:
            return self._events_by_attempt.setdefault(
                attempt_id, threading.Event()
            )

    def stop(self, attempt_id: str) -> None:
        """Stop an attempt, also one that has not begun; any thread may."""
        self.event(attempt_id).set()
        with self._lock:
            adapter = self._adapters_by_attempt.get(attempt_id)
        if adapter is not None:
            adapter.abort()

    def forget(self, attempt_id: str) -> None:
        """Let go of the adapter of an attempt whose step is over."""
        with self._lock:
            self._adapters_by_attempt.pop(attempt_id, None)

    @contextlib.contextmanager
    def watching(
        self, attempt_id: str, adapter: typing.Any
    ) -> abc.Iterator[None]:
        """Let a stop reach ``adapter``, also one that came just before.

        A stop between the look at the event and the adapter's being known
        would be lost, and the thread would work on for a caller who left.
        """
        with self._lock:
            self._adapters_by_attempt[attempt_id] = adapter
        if self.event(attempt_id).is_set():
            adapter.abort()
        try:
            yield
        finally:
            self.forget(attempt_id)
