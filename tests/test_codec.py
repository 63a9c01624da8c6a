"""The codec keeps every field, and says what it can't map."""

import typing
import unittest
from unittest import mock

import msgspec

from dandeliongw import codec
from dandeliongw.protocol import envelope_pb2


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    sender: str
    incarnation: int
    recipient: str
    kind: str
    body: bytes
    proof: bytes


def make_codec() -> codec.Codec:
    return codec.Codec(data_classes=[Envelope], wire_modules=[envelope_pb2])


class CodecTest(unittest.TestCase):
    def test_a_message_comes_back_as_it_was(self):
        message = Envelope(
            sender='gw-1',
            incarnation=2**60,
            recipient='gw-2',
            kind='Ping',
            body=b'\0\xff',
            proof=b'',
        )
        kind, body = make_codec().encode(message)
        self.assertEqual(message, make_codec().decode(kind, body))

    def test_an_unknown_kind_names_the_known_ones(self):
        with self.assertRaisesRegex(codec.CodecError, "'Pong'.*Envelope"):
            make_codec().decode('Pong', b'')

    def test_bytes_that_do_not_parse_name_the_kind(self):
        with self.assertRaisesRegex(codec.CodecError, 'Envelope'):
            make_codec().decode('Envelope', b'\xff\xff')


class PlanTest(unittest.TestCase):
    """Symptom: half of an idle instance's processor time is the codec's.

    Sequence: each of 200 members probes others and answers probes.
    Cause: the type of each field is looked up again for every value.
    """

    def test_a_type_is_looked_at_once(self):
        made = make_codec()
        message = Envelope(
            sender='gw-1',
            incarnation=1,
            recipient='gw-2',
            kind='Ping',
            body=b'',
            proof=b'',
        )
        made.decode(*made.encode(message))
        with (
            mock.patch.object(msgspec.structs, 'fields') as looked_at,
            mock.patch.object(typing, 'get_origin') as taken_apart,
        ):
            made.decode(*made.encode(message))
        looked_at.assert_not_called()
        taken_apart.assert_not_called()
