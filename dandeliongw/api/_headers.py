"""Strict parsing of request headers, against request smuggling."""

import re

import cheroot.server

#: Pattern of a header's name.
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
#: Control characters, which a value must not contain.
_CONTROLS = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
#: Headers that may occur once only: with a second one, the end of the request
#: or its target would be ambiguous.
_SINGLE = frozenset((b'Content-Length', b'Transfer-Encoding', b'Host'))


class StrictHeaderReader(cheroot.server.HeaderReader):
    """Refuses ambiguous headers, which cheroot's own parser would accept.

    If two programs read the length of a request differently, a caller can
    hide another call in its body, and backend servers run calls of which
    there is no record.
    """

    def __call__(self, rfile, hdict=None):
        """Read the headers up to the empty line.

        :raises ValueError: for invalid or ambiguous headers.
        """
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
