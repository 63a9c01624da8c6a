"""Reads the complete body of a forwarded call, or raises an error."""

import typing

from .. import message_grammar
from .. import verdict
from . import calls

_MAX_LINE_BYTES = 4096
#: Trailer lines that are read and dropped.
_MAX_TRAILERS = 32


class Reader(typing.Protocol):
    """A buffered reader of the caller's connection."""

    def read(self, size: int) -> bytes: ...

    def readline(self, size: int) -> bytes: ...


def read_known(reader: Reader, length: int, max_bytes: int) -> bytes:
    """Return a body of known length.

    :param length: bytes, from ``Content-Length``.
    :param max_bytes: longest body that is accepted.
    :raises InvalidCall: for a longer body, which stays unread, and for one
        that ends too soon.
    """
    if length > max_bytes:
        raise _too_large(length, max_bytes)
    body = reader.read(length) if length else b''
    if len(body) < length:
        raise calls.InvalidCall(
            f'the body has {len(body)} bytes; Content-Length says {length}'
        )
    return body


def read_chunked(reader: Reader, max_bytes: int) -> bytes:
    """Return a chunked body without its trailers.

    :param max_bytes: longest body that is accepted.
    :raises InvalidCall: for a body that is too long or malformed, also for a
        chunk size that isn't plain hexadecimal digits. Parsers disagree on
        where such a body ends, and the rest could be smuggled in as another
        call.
    """
    pieces = []
    total = 0
    while size := _read_size(reader):
        total += size
        if total > max_bytes:
            raise _too_large(total, max_bytes)
        pieces.append(reader.read(size))
        if len(pieces[-1]) < size or reader.read(2) != b'\r\n':
            raise calls.InvalidCall(
                'a chunk of the body does not end as it says'
            )
    if not skip_trailers(reader):
        raise calls.InvalidCall('the trailers of the body do not end')
    return b''.join(pieces)


def skip_trailers(reader: Reader) -> bool:
    """Read the trailers after the last chunk; return whether they end."""
    return any(
        reader.readline(_MAX_LINE_BYTES) == b'\r\n'
        for _ in range(_MAX_TRAILERS)
    )


def _read_size(reader: Reader) -> int:
    try:
        return message_grammar.read_chunk_size(
            reader.readline(_MAX_LINE_BYTES)
        )
    except ValueError as error:
        raise calls.InvalidCall(str(error)) from error


def _too_large(size: int, max_bytes: int) -> calls.InvalidCall:
    return calls.InvalidCall(
        f'the body has {size} bytes or more; at most {max_bytes} are read',
        verdict.RefusalReason.TOO_LARGE,
    )
