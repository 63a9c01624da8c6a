"""The asking end of a tunnel, and the frames that the other end sends.

The end of a tunnel proves nothing about that of the backend server's
connection. So the bytes of the backend server come in frames, each after its
length; an empty frame is the regular end of its connection. No byte of a frame
is taken for one of an answer, as one of an end mark would be.
"""

import socket
import struct
import sys
import typing

_LENGTH = struct.Struct('>I')
#: The backend server has closed its connection regularly.
END = _LENGTH.pack(0)


def frame(data: bytes) -> bytes:
    """Return some bytes of the backend server, at least one, as a frame."""
    return _LENGTH.pack(len(data)) + data


class TunnelSocket(socket.socket):
    """Receives what the backend server sends.

    Every end is an error except the regular end of the backend server.

    :raises ConnectionResetError: at each other end, from ``recv`` and
        ``recv_into``.
    """

    def __init__(self, *, fileno: int) -> None:
        super().__init__(fileno=fileno)
        self._length = b''
        self._has_ended = False
        # Until frames begin, all is one that doesn't end.
        self._left = sys.maxsize

    def begin_frames(self) -> None:
        """Expect frames from here on; an earlier release sends none."""
        self._left = 0

    def recv_into(
        self, buffer: typing.Any, nbytes: int = 0, flags: int = 0
    ) -> int:
        most = nbytes or len(buffer)
        if not most or not self._is_in_frame():
            return 0
        count = super().recv_into(buffer, min(most, self._left), flags)
        self._left -= _unless_ended(count)
        return count

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        buffer = bytearray(bufsize)
        return bytes(buffer[: self.recv_into(buffer, bufsize, flags)])

    def _is_in_frame(self) -> bool:
        """Read the length of the next frame if the last one has been read."""
        while not self._left and not self._has_ended:
            data = super().recv(_LENGTH.size - len(self._length))
            _unless_ended(len(data))
            self._length += data
            if len(self._length) == _LENGTH.size:
                (self._left,) = _LENGTH.unpack(self._length)
                self._has_ended = not self._left
                self._length = b''
        return not self._has_ended


def _unless_ended(count: int) -> int:
    if not count:
        raise ConnectionResetError(
            'the tunnel ended, perhaps before the backend server'
        )
    return count
