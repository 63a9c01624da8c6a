"""Reads request bodies of untrusted clients, up to a maximum size."""

import cherrypy

from .. import exceptions
from . import http_ports

#: Longest body that is accepted. Messages of backend servers have some hundred
#: bytes, those with lists of cache events some thousand.
MAX_BYTES = 1 << 20
#: Longest remainder of a body that is read and discarded.
MAX_DISCARDED_BYTES = 8 << 20
_PIECE_BYTES = 1 << 16


class TooLarge(Exception):
    """A body is longer than ``MAX_BYTES``; it was not parsed."""


def read() -> bytes:
    """Return the complete body of the current request.

    The application must disable ``request.process_request_body``, so that
    CherryPy doesn't read the body.

    :raises TooLarge: if the body is longer than ``MAX_BYTES``.
    :raises InvalidInput: if the body is malformed or a read fails.
    """
    try:
        body = cherrypy.request.rfile.read(MAX_BYTES + 1)
    except (ValueError, OSError) as error:
        problem = exceptions.Problem(
            path='', given=f'did not arrive: {error}', allowed='send it whole'
        )
        raise exceptions.InvalidInput(problems=(problem,)) from error
    if len(body) > MAX_BYTES:
        raise TooLarge
    return body


def finish() -> None:
    """Discard the unread rest of a body, or else close the connection.

    The HTTP server would keep the rest in memory, however long it is. A
    connection that is closed with unread bytes may lose the answer.
    """
    if not _discard_rest():
        http_ports.close_connection()


def _discard_rest() -> bool:
    """Return whether the end of the body was reached within the limit."""
    for _ in range(MAX_DISCARDED_BYTES // _PIECE_BYTES):
        try:
            if not cherrypy.request.rfile.read(_PIECE_BYTES):
                # After a chunked body there may be trailers.
                return 'Transfer-Encoding' not in cherrypy.request.headers
        except (ValueError, OSError):
            return False
    return False
