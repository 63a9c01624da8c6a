"""Reads request headers so that no two readers can take them for two calls."""

import re

import cheroot.server

#: What may be in a header's name.
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
#: What may not be in a value.
_CONTROLS = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
#: Of these, a second one makes the end of the call, or its target, doubtful.
_SINGLE = frozenset((b'Content-Length', b'Transfer-Encoding', b'Host'))


class StrictHeaderReader(cheroot.server.HeaderReader):
    """Refuses what the library's own reader would guess the meaning of.

    A call whose length two programs read differently lets a caller hide
    another call in its body; one would see backend servers run calls that
    nobody is known to have sent.
    """

    def __call__(self, rfile, hdict=None):
        """Read up to the empty line; raise ValueError for a bad call."""
        headers = {} if hdict is None else hdict
        while True:
            line = rfile.readline()
            if line == b'\r\n':
                break
            name, value = _split(line)
            if name in headers and name in _SINGLE:
                raise ValueError(f'{name.decode()} is given twice')
            if name in headers:
                value = b', '.join((headers[name], value))
            headers[name] = value
        _check_length(headers)
        return headers


def _split(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b'\r\n'):
        raise ValueError('the headers end too soon')
    name, colon, value = line[:-2].partition(b':')
    if not colon or not _TOKEN.fullmatch(name):
        raise ValueError('a header line has no proper name')
    value = value.strip(b' \t')
    if _CONTROLS.search(value):
        raise ValueError(f'{name.decode()} has control characters')
    return name.title(), value


def _check_length(headers: dict[bytes, bytes]) -> None:
    length = headers.get(b'Content-Length')
    coding = headers.get(b'Transfer-Encoding')
    if length is not None and coding is not None:
        raise ValueError('Content-Length and Transfer-Encoding are both given')
    if length is not None and not re.fullmatch(rb'[0-9]{1,18}', length):
        raise ValueError('Content-Length is not a number')
    if coding is not None and coding.lower() != b'chunked':
        raise ValueError('Transfer-Encoding must be chunked')
