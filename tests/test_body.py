"""Bodies of calls that are passed on: whole, or refused."""

import io
import unittest

from nose2.tools import params

from dandeliongw.borders import _body
from dandeliongw.borders import calls
from dandeliongw import verdict

MOST = 100


class ChunkedTest(unittest.TestCase):
    """Symptom: a backend server runs a call that nobody sent.

    Sequence: a caller writes a chunk's size in a way that two programs read
    differently; the rest of the body passes for another call.
    Cause: a reader that takes any number that its language can read.
    """

    def read(self, data):
        self.reader = io.BytesIO(data)
        return _body.read_chunked(self.reader, MOST)

    @params(
        (b'3\r\nabc\r\n0\r\n\r\nnext', b'abc'),
        (
            b'3;ext=1\r\nabc\r\n02\r\nde\r\n0\r\nTrailer: x\r\n\r\nnext',
            b'abcde',
        ),
        (b'0\r\n\r\nnext', b''),
    )
    def test_what_follows_is_left_for_the_next_call(self, data, body):
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
    def test_a_doubtful_body_is_refused(self, data):
        with self.assertRaises(calls.BadCall):
            self.read(data)

    def test_no_more_is_read_than_is_allowed(self):
        with self.assertRaises(calls.BadCall) as caught:
            self.read(b'65\r\n' + b'x' * 101)
        self.assertIs(caught.exception.reason, verdict.RefusalReason.TOO_LARGE)


class KnownLengthTest(unittest.TestCase):
    def test_half_a_body_is_none(self):
        with self.assertRaises(calls.BadCall):
            _body.read_known(io.BytesIO(b'ab'), 3, MOST)

    def test_a_long_one_is_refused_unread(self):
        reader = io.BytesIO(b'x' * 101)
        with self.assertRaises(calls.BadCall):
            _body.read_known(reader, 101, MOST)
        self.assertEqual(reader.tell(), 0)
