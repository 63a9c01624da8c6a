"""Bodies of calls that may come from anyone: read within bounds."""

import cherrypy

from .. import exceptions
from . import web

#: The longest body that is read; what backend servers say takes some hundred
#: bytes, lists of cache events some thousand.
MOST_BYTES = 1 << 20
#: The longest rest of a body that is read and thrown away.
MOST_DISCARDED_BYTES = 8 << 20
_PIECE_BYTES = 1 << 16


class TooLarge(Exception):
    """A body has more than ``MOST_BYTES``; nothing of it was used."""


def read() -> bytes:
    """Return the whole body of the current call.

    The application must leave bodies alone, see
    ``request.process_request_body``.

    :raises TooLarge: rather than return a part of it.
    :raises InvalidInput: when it does not arrive whole.
    """
    try:
        body = cherrypy.request.rfile.read(MOST_BYTES + 1)
    except (ValueError, OSError) as error:
        problem = exceptions.Problem(
            path='', given=f'did not arrive: {error}', allowed='send it whole'
        )
        raise exceptions.InvalidInput(problems=(problem,)) from error
    if len(body) > MOST_BYTES:
        raise TooLarge
    return body


def finish() -> None:
    """Throw away what is left of a body, or else end the connection.

    The rest would be kept in memory by the HTTP server, however long it is;
    a connection that ends with bytes unread may lose the answer.
    """
    if not _discard_rest():
        web.close_connection()


def _discard_rest() -> bool:
    """Return whether the body came to its end within the bound."""
    for _ in range(MOST_DISCARDED_BYTES // _PIECE_BYTES):
        try:
            if not cherrypy.request.rfile.read(_PIECE_BYTES):
                # After a chunked body there may be trailers.
                return 'Transfer-Encoding' not in cherrypy.request.headers
        except (ValueError, OSError):
            return False
    return False
