"""Reads HTTP answers whose end is certain.

The standard library takes the end of a connection for the end of a head, for
that of a line with the size of a chunk, and for that of the trailers. Here it
is the end of a body without a length, and of nothing else. All readers of HTTP
answers use these classes.
"""

import http.client
import io
import typing

import urllib3
import urllib3.connection


class CutMessage(http.client.HTTPException):
    """A connection ended within a message."""


class _Transport(io.RawIOBase):
    """The bytes of a connection, from the beginning of an answer."""

    def __init__(self, *, raw: io.RawIOBase) -> None:
        self._raw = raw
        self._has_begun = False
        #: Whether the end of the connection is that of the answer.
        self.ends_answer = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read some bytes.

        :raises CutMessage: if the connection ends within the answer. An end
            before its first byte is returned: there is no answer then.
        """
        count = self._raw.readinto(buffer)
        if count:
            self._has_begun = True
        elif count == 0 and self._has_begun and not self.ends_answer:
            raise CutMessage('the connection ended within the answer')
        return count

    def fileno(self) -> int:
        return self._raw.fileno()

    def close(self) -> None:
        self._raw.close()
        super().close()


class Response(http.client.HTTPResponse):
    """An answer that ends where its head says.

    :param buffer_bytes: most bytes that are read at once.
    """

    def __init__(
        self,
        sock: typing.Any,
        *args: typing.Any,
        buffer_bytes: int = io.DEFAULT_BUFFER_SIZE,
        **options: typing.Any,
    ) -> None:
        super().__init__(sock, *args, **options)
        self._transport = _Transport(raw=self.fp.detach())
        self.fp = io.BufferedReader(self._transport, buffer_bytes)

    def begin(self) -> None:
        super().begin()
        while 102 <= self.status < 200:
            # An interim answer; the library passes over those with 100 only.
            self.headers = self.msg = None
            super().begin()
        if self.length is None and not self.chunked:
            _check_no_length(self.headers)
            self._transport.ends_answer = True


def _check_no_length(headers: http.client.HTTPMessage) -> None:
    """Check that a head states no length that the library couldn't read.

    The library takes a line that is no header for the end of the head, too.

    :raises HTTPException: if it does; the end of the connection would be taken
        for that of the body.
    """
    unread = headers.get_payload()
    if isinstance(unread, str) and unread:
        raise http.client.HTTPException(f'no header: {unread[:40]!r}')
    for name in ('Content-Length', 'Transfer-Encoding'):
        if name in headers:
            raise http.client.HTTPException(
                f'unknown {name}: {headers[name][:40]!r}'
            )


class Connection(urllib3.connection.HTTPConnection):
    """A connection whose answers are read with :class:`Response`."""

    response_class = Response


class _TlsConnection(urllib3.connection.HTTPSConnection):
    response_class = Response


class _ConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = Connection


class _TlsConnectionPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _TlsConnection


class PoolManager(urllib3.PoolManager):
    """urllib3's client, with connections that read :class:`Response`."""

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {
            'http': _ConnectionPool,
            'https': _TlsConnectionPool,
        }
