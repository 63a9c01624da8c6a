"""Sockets with a deadline over several reads, against slow clients."""

from collections import abc
import contextlib
import socket
import typing

from .. import clock


class DeadlineSocket:
    """A socket with one deadline for several reads.

    The timeout of a socket restarts with each read. Without a deadline, a
    caller that sends one byte now and then would occupy its thread forever,
    and a port could have all its threads busy with almost no calls.

    :param sock: the wrapped socket; all other attributes are its own.
    """

    def __init__(self, *, sock: socket.socket) -> None:
        self._sock = sock
        self._ends_at: float | None = None

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._sock, name)

    def recv_into(self, buffer: bytearray | memoryview) -> int:
        """Read into a buffer.

        :raises TimeoutError: if the deadline has passed.
        """
        if self._ends_at is not None:
            remaining_s = self._ends_at - clock.now()
            if remaining_s <= 0.0:
                # Cheroot recognizes a timeout by this text.
                raise TimeoutError('timed out')
            self._sock.settimeout(remaining_s)
        return self._sock.recv_into(buffer)

    @contextlib.contextmanager
    def deadline_in(self, seconds: float) -> abc.Iterator[None]:
        """Limit the total time of all reads in the context."""
        previous_s = self._sock.gettimeout()
        self._ends_at = clock.now() + seconds
        try:
            yield
        finally:
            self._ends_at = None
            self._sock.settimeout(previous_s)
