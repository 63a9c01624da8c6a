"""Checks whether any process listens on an address."""

import errno
import socket
import urllib.parse

#: Time-out in seconds. A running machine refuses or accepts a connection
#: within a round trip; a time-out proves nothing.
PROBE_TIMEOUT_S = 1.0


def is_refused(url: str, timeout_s: float = PROBE_TIMEOUT_S) -> bool:
    """Return whether the machine of ``url`` refuses the connection.

    Only a refusal proves that no process listens. If the process is frozen,
    the machine has no power or the network is partitioned, the connection
    times out or is accepted.
    """
    parts = urllib.parse.urlsplit(url)
    address = (parts.hostname or '', parts.port or 80)
    try:
        with socket.create_connection(address, timeout=timeout_s):
            return False
    except OSError as error:
        return error.errno == errno.ECONNREFUSED
