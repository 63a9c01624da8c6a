"""Strict parsing of request headers."""

import io
import unittest

from nose2.tools import params

from dandeliongw.api import _headers


def read(text):
    reader = _headers.StrictHeaderReader()
    return reader(io.BytesIO(text.encode('latin-1')))


class StrictHeaderReaderTest(unittest.TestCase):
    def test_header_names_are_normalized(self):
        found = read('content-LENGTH: 3\r\nX-one:  a \r\n\r\n')
        self.assertEqual(found, {b'Content-Length': b'3', b'X-One': b'a'})

    def test_repeated_headers_are_joined(self):
        found = read('X-A: 1\r\nX-A: 2\r\n\r\n')
        self.assertEqual(found, {b'X-A': b'1, 2'})

    @params(
        'Content-Length: 3\r\nContent-Length: 4\r\n\r\n',
        'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n',
        'Transfer-Encoding: gzip, chunked\r\n\r\n',
        'Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n',
        'Content-Length: +3\r\n\r\n',
        'Content-Length: 1_0\r\n\r\n',
        'Content-Length : 3\r\n\r\n',
        ' Content-Length: 3\r\n\r\n',
        'X-A: 1\r\n folded\r\n\r\n',
        'X-A: 1\n\r\n',
        'X-A: 1\rX-B: 2\r\n\r\n',
        'X-A: \x00\r\n\r\n',
        'Host: a\r\nHost: b\r\n\r\n',
        'no colon\r\n\r\n',
        'X-A: 1\r\n',
    )
    def test_ambiguous_headers_are_refused(self, text):
        """Otherwise a call hidden in another call's body could run."""
        with self.assertRaises(ValueError):
            read(text)
