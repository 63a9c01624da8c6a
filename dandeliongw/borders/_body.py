"""Reads the body of a call that is passed on, whole or not at all."""

import re
import typing

from .. import verdict
from . import calls

#: Size line of a chunk; what follows a semicolon means nothing to us.
_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,8})[ \t]*(;[^\r\n]*)?\r\n')
_MAX_LINE_BYTES = 4096
#: Trailer lines that are read and dropped.
_MAX_TRAILERS = 32


class Reader(typing.Protocol):
    """A buffered reader of the caller's connection."""

    def read(self, size: int) -> bytes: ...

    def readline(self, size: int) -> bytes: ...


def read_known(reader: Reader, length: int, most: int) -> bytes:
    """Return a body of known length.

    :param most: longest body in bytes that is taken.
    :raises BadCall: also for a body that ends too soon.
    """
    if length > most:
        raise _too_large(length, most)
    body = reader.read(length) if length else b''
    if len(body) < length:
        raise calls.BadCall(
            f'the body has {len(body)} bytes; Content-Length says {length}'
        )
    return body


def read_chunked(reader: Reader, most: int) -> bytes:
    """Return a body that comes in chunks, its trailers dropped.

    :param most: longest body in bytes that is taken.
    :raises BadCall: for a size that is no plain number: readers differ in
        where such a body ends, and the rest would pass for another call.
    """
    pieces = []
    total = 0
    while size := _read_size(reader):
        total += size
        if total > most:
            raise _too_large(total, most)
        pieces.append(reader.read(size))
        if len(pieces[-1]) < size or reader.read(2) != b'\r\n':
            raise calls.BadCall('a chunk of the body does not end as it says')
    for _ in range(_MAX_TRAILERS):
        if reader.readline(_MAX_LINE_BYTES) == b'\r\n':
            return b''.join(pieces)
    raise calls.BadCall('the trailers of the body do not end')


def _read_size(reader: Reader) -> int:
    line = reader.readline(_MAX_LINE_BYTES)
    found = _SIZE_LINE.fullmatch(line)
    if found is None:
        raise calls.BadCall(f'the size of a chunk is {line[:40]!r}')
    return int(found[1], 16)


def _too_large(size: int, most: int) -> calls.BadCall:
    return calls.BadCall(
        f'the body has {size} bytes or more; at most {most} are read',
        verdict.RefusalReason.TOO_LARGE,
    )
