"""Bodies of forwarded calls are read completely or refused."""

import io
import unittest

from nose2.tools import params

from dandeliongw.api import _forwarded_body
from dandeliongw.api import calls
from dandeliongw import verdict

MAX_BYTES = 100


class ChunkedTest(unittest.TestCase):
    """Guards against request smuggling by chunk sizes.

    Parsers disagree on sizes such as ``0x3`` or ``1_0``; the rest of the
    body could then reach a backend server as a call that nobody sent.
    """

    def read(self, data):
        self.reader = io.BytesIO(data)
        return _forwarded_body.read_chunked(self.reader, MAX_BYTES)

    @params(
        (b'3\r\nabc\r\n0\r\n\r\nnext', b'abc'),
        (
            b'3;ext=1\r\nabc\r\n02\r\nde\r\n0\r\nTrailer: x\r\n\r\nnext',
            b'abcde',
        ),
        (b'0\r\n\r\nnext', b''),
    )
    def test_bytes_after_the_body_are_not_read(self, data, body):
        self.assertEqual(self.read(data), body)
        self.assertEqual(self.reader.read(), b'next')

    @params(
        b'0x3\r\nabc\r\n0\r\n\r\n',
        b'+3\r\nabc\r\n0\r\n\r\n',
        b'-1\r\nabc\r\n0\r\n\r\n',
        b'1_0\r\nabc\r\n0\r\n\r\n',
        b' 3\r\nabc\r\n0\r\n\r\n',
        b'3\nabc\r\n0\r\n\r\n',
        b'\r\n',
        b'',
        b'5\r\nabc\r\n0\r\n\r\n',
        b'3\r\nabcd\r\n0\r\n\r\n',
        b'3\r\nabc\r\n',
        b'0\r\nTrailer: x\r\n',
        b'123456789\r\n',
    )
    def test_malformed_body_is_refused(self, data):
        with self.assertRaises(calls.InvalidCall):
            self.read(data)

    def test_chunk_over_the_limit_is_refused(self):
        with self.assertRaises(calls.InvalidCall) as caught:
            self.read(b'65\r\n' + b'x' * 101)
        self.assertIs(caught.exception.reason, verdict.RefusalReason.TOO_LARGE)


class KnownLengthTest(unittest.TestCase):
    def test_truncated_body_is_refused(self):
        with self.assertRaises(calls.InvalidCall):
            _forwarded_body.read_known(io.BytesIO(b'ab'), 3, MAX_BYTES)

    def test_body_over_the_limit_is_refused_unread(self):
        reader = io.BytesIO(b'x' * 101)
        with self.assertRaises(calls.InvalidCall):
            _forwarded_body.read_known(reader, 101, MAX_BYTES)
        self.assertEqual(reader.tell(), 0)
