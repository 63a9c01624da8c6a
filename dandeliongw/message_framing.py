"""Reads HTTP answers that are valid and whose end is certain.

The standard library reads whatever resembles an answer, and takes the end of a
connection for the end of a head, for that of a line with the size of a chunk,
and for that of the trailers. Here it gets a head only after the grammar of the
whole head was checked, and the end of a connection is that of a body without a
length, and of nothing else. All readers of HTTP answers use these classes.
"""

import http.client
import io
import typing

import urllib3
import urllib3.connection

from . import message_grammar

#: Most bytes of a head, with all interim answers before it, and of trailers.
MAX_HEAD_BYTES = 65536
#: Most bytes of a body that are read at once.
READ_BYTES = 65536
#: Longest line with the size of a chunk, in bytes.
MAX_SIZE_LINE_BYTES = 4096
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200


class CutMessage(http.client.HTTPException):
    """A connection ended within a message."""


class InvalidAnswer(http.client.HTTPException):
    """An answer breaks the grammar of HTTP, or is not framed as it must be."""


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
    """A valid answer, which ends where its head says.

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
        """Read the head.

        :raises InvalidAnswer: for a head that is invalid or too long.
        """
        if self.headers is not None:
            return
        lines = _Lines(reader=self.fp, max_bytes=MAX_HEAD_BYTES)
        try:
            head = _read_head(lines)
        except ValueError as error:
            raise InvalidAnswer(str(error)) from error
        # The library parses what was checked, not what comes next.
        connection, self.fp = self.fp, io.BytesIO(head)
        try:
            super().begin()
        finally:
            self.fp = connection
        if self.length is None and not self.chunked:
            self._transport.ends_answer = True

    def _get_chunk_left(self) -> int | None:
        """Return how much of the current chunk is left, or ``None``.

        Replaces a method of the library, which reads chunks through it.

        :raises InvalidAnswer: for an invalid chunk or trailer.
        """
        if self.chunk_left:
            return self.chunk_left
        try:
            if self.chunk_left is not None and self.fp.read(2) != b'\r\n':
                raise ValueError('a chunk does not end where it says')
            line = self.fp.readline(MAX_SIZE_LINE_BYTES)
            self.chunk_left = message_grammar.read_chunk_size(line) or None
            if self.chunk_left is None:
                trailers = _Lines(reader=self.fp, max_bytes=MAX_HEAD_BYTES)
                message_grammar.read_fields(trailers.read)
                self._close_conn()
        except ValueError as error:
            raise InvalidAnswer(str(error)) from error
        return self.chunk_left


class _Lines:
    """Reads lines up to a total length, and keeps them.

    :param max_bytes: most bytes of all lines.
    """

    def __init__(self, *, reader: typing.BinaryIO, max_bytes: int) -> None:
        self._reader = reader
        self._left = max_bytes
        self.kept: list[bytes] = []

    def read(self) -> bytes:
        """Return the next line, or ``b''`` at the end of the connection.

        :raises ValueError: if the lines are too long together.
        """
        line = self._reader.readline(self._left)
        self._left -= len(line)
        if not self._left:
            raise ValueError('a head or trailers are too long')
        self.kept.append(line)
        return line


def _read_head(lines: _Lines) -> bytes:
    """Read the head of the final answer, and pass over interim answers.

    :raises ValueError: for an invalid head.
    """
    while True:
        lines.kept.clear()
        line = lines.read()
        if not line:
            raise http.client.RemoteDisconnected(
                'the connection ended without an answer'
            )
        status = message_grammar.read_status(line)
        fields = message_grammar.read_fields(lines.read)
        if status == _SWITCHING_PROTOCOLS:
            raise ValueError('another protocol was not asked for')
        message_grammar.check_answer_framing(status, fields)
        if status >= _FIRST_FINAL_STATUS:
            return b''.join(lines.kept)


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

    def fetch(
        self, method: str, url: str, *, max_bytes: int, **options: typing.Any
    ) -> tuple[int, bytes]:
        """Send a request; return the status and the body of its answer.

        :param max_bytes: longest body that is read.
        :raises urllib3.exceptions.HTTPError: also for a longer one.
        """
        response = self.request(
            method, url, preload_content=False, decode_content=False, **options
        )
        body = io.BytesIO()
        try:
            while data := response.read1(READ_BYTES):
                body.write(data)
                if body.tell() > max_bytes:
                    raise urllib3.exceptions.ResponseError(
                        f'the answer is larger than {max_bytes} bytes'
                    )
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return response.status, body.getvalue()
