"""Bodies of requests whose early end is an error."""

from collections import abc
import typing

import cheroot.server
import cherrypy

from . import _forwarded_body


class CutBody(cherrypy.HTTPError, ValueError):
    """A body ended before its length, or before its last chunk's end."""

    def __init__(self) -> None:
        super().__init__(400, 'the body did not arrive whole')


class RequestBody:
    """A request's body, as a WSGI server passes it on.

    Cheroot's readers take the end of the connection for that of the body.

    :param body: cheroot's reader; all other attributes are its own.
    :param reader: of the connection.
    """

    def __init__(
        self,
        *,
        body: cheroot.server.KnownLengthRFile | cheroot.server.ChunkedRFile,
        reader: _forwarded_body.Reader,
    ) -> None:
        self._body = body
        self._reader = reader
        self._has_trailers = isinstance(body, cheroot.server.ChunkedRFile)

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._body, name)

    def read(self, size: int | None = None) -> bytes:
        """Return up to ``size`` bytes, or all.

        :raises CutBody: if the body ended early.
        """
        if size is not None and size < 0:
            size = None
        data = self._body.read(size)
        self._check(is_cut=size is None or len(data) < size)
        return data

    def readline(self, size: int | None = None) -> bytes:
        """Return a line.

        :raises CutBody: if the body ended early.
        """
        data = self._body.readline(size)
        self._check(is_cut=not data.endswith(b'\n') and len(data) != size)
        return data

    def readlines(self, sizehint: int = 0) -> list[bytes]:
        return list(self)

    def __iter__(self) -> abc.Iterator[bytes]:
        return iter(self.readline, b'')

    def _check(self, *, is_cut: bool) -> None:
        """Check what the last read has found.

        :param is_cut: whether it is, if bytes of a known length remain.
        """
        if is_cut and getattr(self._body, 'remaining', 0):
            raise CutBody
        if self._has_trailers and self._body.closed:
            self._has_trailers = False
            if not _forwarded_body.skip_trailers(self._reader):
                raise CutBody
