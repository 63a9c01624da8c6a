"""What the operating system knows of a connection."""

import contextlib
import fcntl
import socket
import struct
import termios

#: Seconds in which what was written to a sound connection is acknowledged.
RECEIPT_S = 0.6
_INT = struct.Struct('i')
#: Linger for zero seconds.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def reset_on_close(connected: socket.socket) -> None:
    """Let the end of a connection discard what was not delivered.

    Otherwise it would still be sent, for minutes if the path is stalled.
    """
    with contextlib.suppress(OSError):
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )


def unacknowledged_bytes(connected: socket.socket) -> int:
    """Return how many written bytes the other end has not acknowledged.

    They may still arrive, unless the connection is reset. 0 if the operating
    system doesn't tell.
    """
    try:
        answer = fcntl.ioctl(connected, termios.TIOCOUTQ, bytes(_INT.size))
    except (OSError, ValueError):
        # Not supported, or the socket was closed by another thread.
        return 0
    (count,) = _INT.unpack(answer)
    return count
