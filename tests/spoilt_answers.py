"""Answers that break the grammar of HTTP, by what is wrong with them."""

BODY = b'0123456789 some body'


def _with_fields(*fields, status_line=b'HTTP/1.1 200 OK'):
    return b'\r\n'.join((status_line, *fields, b'', BODY))


def _with_status(line):
    return _with_fields(b'Content-Length: 20', status_line=line)


def _with_length(value):
    return _with_fields(b'Content-Length:' + value)


def _with_field(field):
    """Put a field behind the one that tells the length."""
    return _with_fields(b'Content-Length: 20', field, b'X-B: c')


def _with_chunks(chunks):
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    return head + chunks


_STATUS_LINES = (
    *(b'HTTP/1.1 000 OK', b'HTTP/1.1 099 OK', b'HTTP/1.1 1000 OK'),
    *(b'HTTP/1.1 101 Switching Protocols', b'HTTP/1.1 600 X'),
    *(b'HTTP/1.1 999 X', b'HTTP/1.1 20 OK', b'HTTP/1.1 2OO OK'),
    *(b'HTTP/1.1 0200 OK', b'HTTP/1.1 +200 OK', b'HTTP/1.1 -200 OK'),
    *(b'HTTP/1.1 2_00 OK', b'HTTP/1.1  200 OK', b'HTTP/1.1\t200 OK'),
    *(b'HTTP/1.1 200\tOK', b'HTTP/1.1 200OK', b'HTTP/1.1 200 O\x00K'),
    *(b'HTTP/1.1 200 O\rK', b'HTTP/1.1 200 O\x7fK', b'HTTP/1.1 OK'),
    *(b'HTTP/1.9 200 OK', b'HTTP/2.0 200 OK', b'HTTP/1.10 200 OK'),
    *(b'http/1.1 200 OK', b'ICY 200 OK', b' HTTP/1.1 200 OK'),
    *(b'HTTP/1.1', b'', b'\x00\x01\x02', b'HTTP/1.1 200 OK\r'),
)
_LENGTHS = (
    *(b' 1_0', b' +10', b' -10', b' 1 0', b' 10 20', b' 0x14', b' 2o', b''),
    *(b' 10\x0b', b' 10\x0c', b' \x0b10', b' 10\xa0', b' \xa010', b' 10\x85'),
    *(b' 10\x00', b' 10\x1c', b' 10\r', b' 10,20', b' 20, 20', b' 20;'),
    *(b' 20.0', b' \xb2\xb0', b' "20"', b' ' + 30 * b'1'),
)
_FIELDS = (
    *(b'no colon', b'X-A : b', b'X-A\t: b', b'X\x00A: b', b'X\x01A: b'),
    *(b'X\x0bA: b', b'X\x7fA: b', b'X(A: b', b'X/A: b', b'X@A: b', b': b'),
    *(b'X\xe4A: b', b'X A: b', b'X-A: b\x00c', b'X-A: b\x01c', b'X-A: b\x0bc'),
    *(b'X-A: b\x0cc', b'X-A: b\x1cc', b'X-A: b\x7fc', b'X-A: b\rc'),
    *(b'X-A: b\r', b' folded', b'\tfolded', b'X-A: b\nX-B: c', b'\x00'),
    *(b'X-A: ' + b'b' * 70000, b'\r\n'.join([b'X-A: b'] * 20000)),
    *(b'Content-Length: 20', b'content-length: 10', b'Content-Length : 10'),
    *(b'Transfer-Encoding: chunked', b'Transfer-Encoding: identity'),
)
_CODINGS = (
    *(b'gzip, chunked', b'chunked, chunked', b'chunked\x0b', b'chunke', b''),
    *(b'xchunked', b'chunked;a', b'gzip', b'chunked\xa0'),
)
_CHUNKS = (
    *(b'+14\r\n%s\r\n0\r\n\r\n', b'0x14\r\n%s\r\n0\r\n\r\n'),
    *(b'1_4\r\n%s\r\n0\r\n\r\n', b'-14\r\n%s\r\n0\r\n\r\n'),
    *(b' 14\r\n%s\r\n0\r\n\r\n', b'14\x0b\r\n%s\r\n0\r\n\r\n'),
    *(b'14\xa0\r\n%s\r\n0\r\n\r\n', b'\r\n%s\r\n0\r\n\r\n'),
    *(b'14 5\r\n%s\r\n0\r\n\r\n', b'14;a\x00\r\n%s\r\n0\r\n\r\n'),
    *(b'14\n%s\r\n0\r\n\r\n', b'14\r\n%s\n0\r\n\r\n', b'14\r\n%s0\r\n\r\n'),
    *(b'14\r\n%sxx0\r\n\r\n', b'14\r\n%s\r\n0\r\nno field\r\n\r\n'),
    *(b'14\r\n%s\r\n0\r\nX : b\r\n\r\n', b'14\r\n%s\r\n0\r\nX: \x00\r\n\r\n'),
    *(
        b'14\r\n%s\r\n0\r\n\n',
        b'14\r\n%s\r\n0\n\r\n',
        b'14\r\n%s\r\nx\r\n\r\n',
    ),
    *(b'14\r\n%s\r\n\r\n\r\n', b'00000000000000000014\r\n%s\r\n0\r\n\r\n'),
    b'14\r\n%s\r\n0\r\n' + b'X: b\r\n' * 20000 + b'\r\n',
    b'14;' + b'a' * 70000 + b'\r\n%s\r\n0\r\n\r\n',
)
_SOUND = _with_fields(b'Content-Length: 20')
_HEADS = {
    'bare line feeds': _SOUND.replace(b'\r\n', b'\n'),
    'a bare line feed after the status': _SOUND.replace(b'\r\n', b'\n', 1),
    'a bare line feed as the end': _SOUND.replace(b'\r\n\r\n', b'\r\n\n'),
    'carriage returns': _SOUND.replace(b'\r\n', b'\r'),
    'two codings': _with_chunks(b'14\r\n%s\r\n0\r\n\r\n' % BODY).replace(
        b'\r\n', b'\r\nTransfer-Encoding: chunked\r\n', 1
    ),
    'a length and chunks': _with_chunks(
        b'14\r\n%s\r\n0\r\n\r\n' % BODY
    ).replace(b'\r\n', b'\r\nContent-Length: 1\r\n', 1),
    'a fold in the first line': _with_fields(b' a', b'Content-Length: 20'),
    'a field before the length': _with_fields(b'ab', b'Content-Length: 20'),
    'another length behind no field': _with_fields(
        b'Content-Length: 10', b'no colon', b'Content-Length: 20'
    ),
    'no status line': b'Content-Length: 20\r\n\r\n' + BODY,
    'a body with status 204': _with_status(b'HTTP/1.1 204 No Content'),
    'an interim answer with a line that is no field': (
        b'HTTP/1.1 103 Early Hints\r\nno colon\r\n\r\n' + _SOUND
    ),
    'an interim answer with a length': (
        b'HTTP/1.1 103 Early Hints\r\nX-A : b\r\n\r\n' + _SOUND
    ),
    'interim answers without end': (
        b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' * 3000 + _SOUND
    ),
}
HEADS = {
    **{f'status line {each!r}': _with_status(each) for each in _STATUS_LINES},
    **{f'length {each!r}': _with_length(each) for each in _LENGTHS},
    **{f'field {each[:30]!r}': _with_field(each) for each in _FIELDS},
    **{
        f'coding {each!r}': _with_fields(b'Transfer-Encoding: ' + each)
        for each in _CODINGS
    },
    **_HEADS,
}
CHUNKS = {
    f'chunks {each[:50]!r}': _with_chunks(each.replace(b'%s', BODY))
    for each in _CHUNKS
}
ANSWERS = HEADS | CHUNKS
#: Unusual answers that are valid.
VALID = {
    'no reason': _with_status(b'HTTP/1.1 200'),
    'an empty reason': _with_status(b'HTTP/1.1 200 '),
    'another reason': _with_status(b'HTTP/1.1 200 All\tis w\xe4ll: 1'),
    'HTTP/1.0': _with_status(b'HTTP/1.0 200 OK'),
    'an unknown status': _with_status(b'HTTP/1.1 299 X'),
    'blanks around values': _with_fields(b'X-A:', b'Content-Length:\t20 '),
    'high bytes in a value': _with_field(b'X-A: \xe4\x85\xa0\xff'),
    'a field given twice': _with_fields(
        b'X-A: 1', b'content-LENGTH: 020', b'x-a: 2'
    ),
    'a multipart type': _with_field(b'Content-Type: multipart/x; boundary=x'),
    'an interim answer': b'HTTP/1.1 100 Continue\r\n\r\n' + _SOUND,
    'other chunks': _with_chunks(
        b'A;a=b;"c\r\n0123456789\r\n00a \r\n some body\r\n0;x\r\nX: 1\r\n\r\n'
    ),
}
