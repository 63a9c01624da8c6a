"""Sockets whose reads end by a deadline, however slowly bytes come in."""

from collections import abc
import contextlib
import socket
import typing

from .. import clock


class DeadlineSocket:
    """A socket on which several reads can be given one deadline.

    A time-out of the socket itself begins anew with each byte. A caller who
    sends one now and then would keep its thread for good; one would see a
    port with all threads busy and next to no calls.

    :param sock: what is read; all else is passed on to it.
    """

    def __init__(self, *, sock: socket.socket) -> None:
        self._sock = sock
        self._ends_at: float | None = None

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._sock, name)

    def recv_into(self, buffer: bytearray | memoryview) -> int:
        """Read into a buffer.

        :raises TimeoutError: once the deadline has passed.
        """
        if self._ends_at is not None:
            left_s = self._ends_at - clock.now()
            if left_s <= 0.0:
                # The HTTP library goes by this text.
                raise TimeoutError('timed out')
            self._sock.settimeout(left_s)
        return self._sock.recv_into(buffer)

    @contextlib.contextmanager
    def ending_in(self, seconds: float) -> abc.Iterator[None]:
        """Let all reads in the context end within this time together."""
        before_s = self._sock.gettimeout()
        self._ends_at = clock.now() + seconds
        try:
            yield
        finally:
            self._ends_at = None
            self._sock.settimeout(before_s)
