"""Malformed input is refused with the declared error and has no effect.

The interfaces for backend servers, operators, clients and instances may
receive anything: fields that are missing or of another type, unknown states,
numbers out of range, bytes that are not text. Each parser either returns or
raises its declared error, and recorded state stays unchanged.
"""

import json
import types
import typing
import unittest

import hypothesis
from hypothesis import strategies as st
from nose2.tools import params

from dandeliongw.api import backends
from dandeliongw.api import calls
from dandeliongw import codec
from dandeliongw import control_facades
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw import document
from dandeliongw import engine
from dandeliongw import exceptions
from dandeliongw import http_backends
from dandeliongw import joining
from dandeliongw import models
from dandeliongw import settings
from dandeliongw import wire as instance_wire
from tests import on_platform

from adapter import configuration
from adapter import control
from adapter import headers
from adapter import wire

DEEP = b'[' * 200_000
#: Bytes that are not text, not JSON, or JSON that no parser may accept.
BYTES = (
    b'',
    b'\xff\xfe\x00',
    b'{',
    b'null',
    b'[]',
    b'"text"',
    b'NaN',
    b'{"a": 1, "a": 2}',
    '{"sequence": 1}'.encode('utf-16'),
    b'{"service": "\\ud800"}',
    b'{"sequence": ' + b'9' * 5000 + b'}',
    DEEP,
    b'{"service": ' + DEEP,
)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([-1, 2**31, 2**53, 2**62, 2**63, 2**64, 10**30])
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['ready', 'prefill', 'plain', '1.2.3.4:99999', '\ud800'])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def paths_of(value: typing.Any, path: tuple = ()) -> list[tuple]:
    """Return the path of every part of a message."""
    found = [path] if path else []
    items: typing.Iterable = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found += paths_of(inner, (*path, key))
    return found


@st.composite
def corrupted(draw: st.DrawFn, message: dict[str, typing.Any]) -> bytes:
    """Draw a message with one or two parts changed, omitted or truncated."""
    made = message
    for _ in range(draw(st.integers(1, 2))):
        path = draw(st.sampled_from(paths_of(made) or [('more',)]))
        value = draw(VALUES) if path[0] in made else 1
        made = on_platform.changed(made, path, value)
    body = json.dumps(made).encode()
    if draw(st.integers(0, 4)) == 0:
        body = body[: draw(st.integers(0, len(body)))]
    return body


def bodies_of(message: dict[str, typing.Any]) -> st.SearchStrategy[bytes]:
    return corrupted(message) | st.sampled_from(BYTES) | st.binary(max_size=40)


OWN_ANNOUNCEMENT = {
    'backend_id': 'be-1',
    'incarnation': 1,
    'sequence': 1,
    'service': 'dieline-llm',
    'role': 'decode',
    'url': 'http://10.1.0.1:9000',
    'data_centre': 'austin-a',
    'slots': 20,
}


def announce(body: bytes) -> None:
    """Process a heartbeat up to the message for the other instances."""
    parsed = control.announcement('i-2', models.parse(wire.Heartbeat, body))
    pass_on(parsed)


def announce_to_own_interface(body: bytes) -> None:
    pass_on(models.parse(backends.Announcement, body))


def pass_on(parsed: backends.Announcement) -> None:
    fields = {
        **parsed.model_dump(),
        'role': presence.BackendRole(parsed.role),
    }
    message = presence.Presented(
        announcement=presence.BackendAnnouncement(**fields), age_s=0.0
    )
    CODEC.encode(message)


def configure(body: bytes) -> None:
    found = configuration.parse(body)
    made = configuration.translate(found, body.decode())
    document.parse_document(document.document_bytes(made))


CODEC = instance_wire.make_codec()
PARSERS_AND_EXAMPLES = (
    (announce, on_platform.HEARTBEAT),
    (announce, {**on_platform.HEARTBEAT, 'born': 1_790_000_000_000}),
    (announce_to_own_interface, OWN_ANNOUNCEMENT),
    (lambda body: models.parse(wire.Start, body), {'born': 1}),
    (configure, on_platform.CONFIGURATION),
    (
        lambda body: models.parse(wire.MachineSettings, body),
        on_platform.MACHINE,
    ),
    (
        lambda body: models.parse(wire.PrefillResult, body),
        {'handle': 'h', 'tokens': 3},
    ),
    (document.parse_document, {'version': document.VERSION, 'services': []}),
    (settings.parse_settings, {'instance_id': 'gw-1', 'peers': []}),
    (
        lambda body: models.parse(joining.Members, body),
        {'instance_id': 'gw-1', 'instances': []},
    ),
)


class ParserTest(unittest.TestCase):
    @params(*PARSERS_AND_EXAMPLES)
    def test_only_the_declared_error_is_raised(self, parse, example):
        @hypothesis.settings(
            max_examples=150, deadline=None, derandomize=True, database=None
        )
        @hypothesis.given(bodies_of(example))
        def check(body):
            try:
                parse(body)
            except exceptions.InvalidInput as error:
                self.assertTrue(error.problems)

        check()

    @params(*BYTES)
    def test_an_engines_answer(self, body):
        try:
            answer = http_backends.read_json(body)
        except engine.EngineError:
            return
        self.assertIsInstance(answer, dict)

    @params(*BYTES)
    def test_bytes_between_instances(self, body):
        for kind in (*CODEC.pairings_by_kind, 'unheard-of'):
            try:
                CODEC.decode(kind, body)
            except codec.CodecError:
                continue

    def test_headers_of_clients(self):
        @hypothesis.settings(
            max_examples=300, deadline=None, derandomize=True, database=None
        )
        @hypothesis.given(
            st.dictionaries(
                st.sampled_from(headers.READ_FROM_CALLERS),
                st.text(max_size=12)
                | st.sampled_from(['9' * 400, '1e999', '-1', '1,2,3', ',']),
            )
        )
        def check(given):
            try:
                headers.HeaderParser().read_call(tuple(given.items()))
            except calls.InvalidCall as error:
                self.assertTrue(str(error))

        check()


class RefusedHeartbeatTest(unittest.TestCase):
    """A malformed heartbeat must not change the recorded announcement.

    If another program sends one with the id or address of a working backend
    server, and it replaced part of the record before it is refused, that
    server would get no work any more.
    """

    @params(
        {'address': 7},
        {'address': '10.128.0.9'},
        {'address': 'localhost:80'},
        {'address': '10.128.0.300:80'},
        {'address': '10.128.0.9:0'},
        {'service': ['model-a']},
        {'state': 'resting'},
        {'stage': 'both'},
        {'sequence': '5'},
        {'sequence': -1},
        {'sequence': 2**62},
        {'slots': 0},
        {'slots': 2**64},
        {'born': 1.5},
        {'born': 'now'},
        {'zone': None},
        {'state': None},
    )
    def test_a_malformed_heartbeat_is_refused_entirely(self, change):
        ((name, value),) = change.items()
        heartbeat = {**on_platform.HEARTBEAT, 'sequence': 9}
        body = json.dumps({**heartbeat, name: value}).encode()
        part = presence.Presence(instance_id='gw-1')
        part.handle(
            parts.Received(
                now=0.0,
                sender='gw-2',
                message=presented(on_platform.HEARTBEAT),
            )
        )
        before = part.usable('model-a', 0.0)
        with self.assertRaises(exceptions.InvalidInput):
            announce(body)
        self.assertEqual(before, part.usable('model-a', 0.0))
        self.assertEqual(1, len(before))


class WrongRoleTest(unittest.TestCase):
    def test_a_role_without_a_pool_is_refused(self):
        """A heartbeat without a stage must not remove an engine from its pool.

        Without a check, it would register the serving engine as a plain
        backend server.
        """
        described = configuration.translate(
            configuration.parse(
                json.dumps(on_platform.CONFIGURATION).encode()
            ),
            '{}',
        )
        directory = types.SimpleNamespace(
            data_centres=('hall-a',), document=described
        )
        presence_facade = control_facades.BackendsFacade(
            reducer=types.SimpleNamespace(directory=directory), runtime=None
        )
        heartbeat = on_platform.changed(on_platform.HEARTBEAT, ['stage'], None)
        parsed = control.announcement(
            'i-1', models.parse(wire.Heartbeat, json.dumps(heartbeat).encode())
        )
        with self.assertRaises(exceptions.InvalidInput) as caught:
            presence_facade.announce(parsed)
        self.assertIn('decode, prefill', str(caught.exception.problems[0]))


def presented(heartbeat: dict[str, typing.Any]) -> presence.Presented:
    parsed = control.announcement(
        'i-1', models.parse(wire.Heartbeat, json.dumps(heartbeat).encode())
    )
    fields = {**parsed.model_dump(), 'role': presence.BackendRole(parsed.role)}
    return presence.Presented(
        announcement=presence.BackendAnnouncement(**fields), age_s=0.0
    )
