"""Asks an address whether any process listens there."""

import errno
import socket
import urllib.parse

#: Seconds for an answer. A machine refuses or takes a connection within a
#: round trip; one that does neither proves nothing.
PROBE_TIMEOUT_S = 1.0


def is_refused(url: str, timeout_s: float = PROBE_TIMEOUT_S) -> bool:
    """Return whether the machine of ``url`` says that nothing listens there.

    Only a refusal counts. A process that is frozen, a machine that has no
    power and a network that is cut give no answer, or take the connection.
    """
    parts = urllib.parse.urlsplit(url)
    address = (parts.hostname or '', parts.port or 80)
    try:
        with socket.create_connection(address, timeout=timeout_s):
            return False
    except OSError as error:
        return error.errno == errno.ECONNREFUSED
