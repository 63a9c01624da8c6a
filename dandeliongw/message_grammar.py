"""The grammar of HTTP/1 messages, the same for requests and for answers.

Whatever is unclear is an error. Two programs that read the end of a message
differently take a part of its body for another message, or the beginning of
another message for a part of its body.
"""

from collections import abc
import re

#: Text without control characters; a tab may stand in it.
_TEXT = rb'[^\x00-\x08\x0a-\x1f\x7f]*'
#: Line with a field: its name, a colon and its value.
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(" + _TEXT + rb')\r\n')
_LENGTH = re.compile(rb'[0-9]{1,18}')
#: Fields that may occur once only: with a second one, the end of the message
#: or its target would be ambiguous.
_SINGLE = frozenset((b'Content-Length', b'Transfer-Encoding', b'Host'))
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[01] ([1-5][0-9]{2})( ' + _TEXT + rb')?\r\n'
)
_NO_CONTENT = 204
#: Size line of a chunk; chunk extensions, after a semicolon, are ignored.
_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,8})[ \t]*(;' + _TEXT + rb')?\r\n')
#: How much of an invalid line an error shows, in bytes.
_SHOWN_BYTES = 40

Fields = dict[bytes, bytes]


def read_status(line: bytes) -> int:
    """Return the status of an answer, from its first line.

    :raises ValueError: if the line is invalid.
    """
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise ValueError(f'not a status line: {line[:_SHOWN_BYTES]!r}')
    return int(found[1])


def read_fields(
    read_line: abc.Callable[[], bytes], fields: Fields | None = None
) -> Fields:
    """Read the fields of a head, or of trailers, up to the empty line.

    :param read_line: returns the next line, with its end.
    :param fields: fields that were read before; they are added to.
    :returns: values by name, with each word of a name capitalized; those of a
        name that occurs again are joined.
    :raises ValueError: for a line that is no field, and for a field that may
        occur once and occurs again.
    """
    fields = {} if fields is None else fields
    while (line := read_line()) != b'\r\n':
        found = _FIELD.fullmatch(line)
        if found is None:
            raise ValueError(f'not a field: {line[:_SHOWN_BYTES]!r}')
        name, value = found[1].title(), found[2].strip(b' \t')
        if name in fields:
            if name in _SINGLE:
                raise ValueError(f'{name.decode()} is given twice')
            value = b', '.join((fields[name], value))
        fields[name] = value
    return fields


def check_framing(fields: Fields) -> None:
    """Check that the fields of a head tell one end of the body, or none.

    :raises ValueError: if they tell it twice, or in an unknown way.
    """
    length = fields.get(b'Content-Length')
    coding = fields.get(b'Transfer-Encoding')
    if length is not None and coding is not None:
        raise ValueError('Content-Length and Transfer-Encoding are both given')
    if length is not None and not _LENGTH.fullmatch(length):
        raise ValueError(f'Content-Length is {length[:_SHOWN_BYTES]!r}')
    if coding is not None and coding.lower() != b'chunked':
        raise ValueError(f'Transfer-Encoding is {coding[:_SHOWN_BYTES]!r}')


def check_answer_framing(status: int, fields: Fields) -> None:
    """Check how the head of an answer tells the end of its body.

    :raises ValueError: as :func:`check_framing`; also for a body where the
        status allows none.
    """
    check_framing(fields)
    if status == _NO_CONTENT and (
        b'Transfer-Encoding' in fields
        or fields.get(b'Content-Length', b'').strip(b'0')
    ):
        raise ValueError(f'a body with status {status}')


def read_chunk_size(line: bytes) -> int:
    """Return the size that the first line of a chunk states, in bytes.

    :raises ValueError: for a size that isn't plain hexadecimal digits.
        Parsers disagree on where such a body ends.
    """
    found = _SIZE_LINE.fullmatch(line)
    if found is None:
        raise ValueError(f'the size of a chunk is {line[:_SHOWN_BYTES]!r}')
    return int(found[1], 16)
