"""The callers' HTTP API over real sockets, in front of a scripted entry."""

import contextlib
import json
import pathlib
import socket
import threading
import unittest

from nose2.tools import params

from dandeliongw.api import answers
from dandeliongw.api import callers
from dandeliongw.api import calls
from dandeliongw.api import http_ports
from dandeliongw import effects
from dandeliongw.entry import outcome
from dandeliongw.entry import relay
from dandeliongw import events
from dandeliongw import metrics
from dandeliongw import settings
from dandeliongw import verdict

#: Seconds; only a failing test waits this long.
TIMEOUT_S = 20
MAX_BODY = 1000
RECORDED = outcome.Outcome(
    status=201, content_type='text/plain', body=b'booked', text='a b', tokens=2
).to_bytes()
REFUSED = verdict.Refusal(
    reason=verdict.RefusalReason.INSTANCE_FULL,
    verdict=verdict.Verdict.NOT_RUN,
    message='full',
    retry_after_s=1.0,
)


class ScriptedFacade:
    """Answers every request immediately, with a replay or a refusal.

    :param refusal: the answer; ``None`` for a recorded outcome.
    """

    def __init__(self, refusal=None):
        self.refusal = refusal
        self.is_shutting_down = False
        self.opened = []
        self.open_ids = set()
        self.closed = threading.Semaphore(0)
        #: Number of calls to leave unanswered.
        self.calls_to_hold = 0
        #: Relays of the unanswered calls, and a semaphore that counts them.
        self.call_relays = []
        self.held = threading.Semaphore(0)

    def open_relay(self, *, call, payload, request_id):
        self.opened.append((call, payload))
        self.open_ids.add(request_id)
        call_relay = relay.Relay(
            request_id=request_id,
            call=call,
            payload=payload,
            backends=None,
            post=lambda make_event: self._post(call_relay, make_event),
        )
        return call_relay

    def _post(self, call_relay, make_event):
        event = make_event(now=0.0)
        if isinstance(event, events.RequestClosed):
            self.closed.release()
        if not isinstance(event, events.RequestArrived):
            return
        if self.calls_to_hold:
            self.calls_to_hold -= 1
            self.call_relays.append(call_relay)
            self.held.release()
            return
        if self.refusal is not None:
            self.refuse(call_relay)
            return
        call_relay.put_directive(
            effects.Replay(request_id=event.request_id, outcome=RECORDED)
        )

    def refuse(self, call_relay):
        call_relay.put_directive(
            effects.Refuse(
                request_id=call_relay.request_id, refusal=self.refusal
            )
        )

    def close_relay(self, request_id):
        self.open_ids.discard(request_id)

    def entries(self):
        return {'ttl_s': 1.0, 'entries': []}


class ServedApi:
    """The API on a port, with its facade and its metrics."""

    def __init__(self, facade, port, counters):
        self.facade = facade
        self.metrics = counters
        self._port = port

    def connect(self):
        return socket.create_connection(
            ('127.0.0.1', self._port.number), timeout=TIMEOUT_S
        )

    def send(self, raw):
        """Send raw bytes on a new connection; return the answer."""
        with self.connect() as caller:
            caller.sendall(raw)
            return read_answer(caller)


@contextlib.contextmanager
def serving(refusal=None):
    facade = ScriptedFacade(refusal)
    counters = metrics.Metrics()
    listen = settings.Listen(host='127.0.0.1', port=0, threads=4, queue=4)
    with http_ports.open_port(listen, 'callers', 1.0) as port:
        port.serve(
            callers.make_application(
                callers.Callers(
                    facade=facade, metrics=counters, max_body_bytes=MAX_BODY
                )
            )
        )
        yield ServedApi(facade, port, counters)


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def error(self):
        return json.loads(self.body)['error']

    @property
    def closes(self):
        return self.headers.get('connection', '').lower() == 'close'


def read_answer(caller):
    """Read one answer, chunked or not."""
    reader = caller.makefile('rb')
    status = int(reader.readline().split()[1])
    headers = {}
    while line := reader.readline().strip():
        name, _, value = line.decode().partition(':')
        headers[name.lower()] = value.strip()
    if headers.get('transfer-encoding') != 'chunked':
        return Answer(
            status, headers, reader.read(int(headers['content-length']))
        )
    body = b''
    while size := int(reader.readline(), 16):
        body += reader.read(size)
        reader.readline()
    reader.readline()
    return Answer(status, headers, body)


def raw(line, body=b'', *headers):
    """Return the bytes of a call.

    Content-Length is added unless the headers give the body's length.
    """
    names = {each.split(':')[0].lower() for each in headers}
    lines = [f'{line} HTTP/1.1', 'Host: here', *headers]
    if not names & {'content-length', 'transfer-encoding'}:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def completion(**fields):
    body = {'model': 'm', 'prompt': 'p', **fields}
    return raw('POST /v1/completions', json.dumps(body).encode())


BOOKING = 'POST /services/portal/bookings'


class BadInputTest(unittest.TestCase):
    @params(
        ({'prompt': ['a']}, 'prompt: given ["a"]'),
        ({'prompt': ''}, 'prompt: given ""'),
        ({'prompt': '\ud800'}, 'surrogate'),
        ({'model': 7}, 'model: given 7'),
        ({'max_tokens': 0}, 'max_tokens: given 0; must be a whole number'),
        ({'max_tokens': True}, 'max_tokens: given true'),
        ({'max_tokens': '5'}, 'max_tokens: given "5"'),
        ({'stream': 'yes'}, 'stream: given "yes"; must be true or false'),
    )
    def test_error_names_the_field_and_the_allowed_values(
        self, fields, expected
    ):
        with serving() as served:
            answer = served.send(completion(**fields))
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.error['verdict'], 'not_run')
        self.assertIn(expected, answer.error['message'])
        self.assertEqual(served.facade.opened, [])
        counted = served.metrics.value('refusals_total', reason='bad_request')
        self.assertEqual(counted, 1)

    def test_deeply_nested_json_is_refused(self):
        """The JSON parser raises RecursionError here, not ValueError.

        Unhandled, it would give a 500, after which the call may have run.
        """
        with self.assertRaises(calls.InvalidCall):
            calls.parse_completion(b'[' * 100_000, {})

    def test_prompts_that_begin_alike_share_parts(self):
        """Guards against bad prompts that have nothing in common here."""
        words = ' '.join(str(number) for number in range(80))
        first, second = (
            calls.parse_completion(
                json.dumps(
                    {'model': 'm', 'prompt': f'{words} {own * 100}'}
                ).encode(),
                {},
            ).call.shared_parts
            for own in ('a ', 'b ')
        )
        self.assertEqual(first[0], second[0])
        self.assertFalse(set(first[1:]) & set(second[1:]))

    def test_a_long_prompt_has_few_parts(self):
        """Guards against one call that leaves evidence on hundreds."""
        body = json.dumps({'model': 'm', 'prompt': 'word ' * 10_000}).encode()
        call = calls.parse_completion(body, {}).call
        self.assertEqual(calls.MAX_SHARED_BLOCKS, len(call.shared_parts))

    @params(b'', b'{', b'[]', b'\xff')
    def test_body_that_is_not_a_json_object_is_refused(self, body):
        with serving() as served:
            answer = served.send(raw('POST /v1/completions', body))
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.error['reason'], 'bad_request')

    @params(
        ('Content-Length: -5', b'', 400),
        ('Content-Length: 1_0', b'0123456789', 400),
        (f'Content-Length: {MAX_BODY + 1}', b'', 413),
        ('Content-Length: 99999999999999999', b'', 413),
        ('Transfer-Encoding: chunked', b'zz\r\n', 400),
        (
            'Transfer-Encoding: chunked',
            b'%x\r\n' % (MAX_BODY + 1) + b'x' * (MAX_BODY + 1) + b'\r\n',
            413,
        ),
        (
            'Transfer-Encoding: chunked\r\nContent-Length: 3',
            b'3\r\nabc\r\n0\r\n\r\n',
            400,
        ),
    )
    def test_invalid_or_excessive_length_is_refused(
        self, header, body, status
    ):
        """The length is checked before the body is read.

        Without this, a thread would wait for the body for half a minute, or
        the call would get a 500.
        """
        with serving() as served:
            answer = served.send(raw(BOOKING, body, header))
        self.assertEqual(answer.status, status)
        self.assertTrue(answer.closes)
        self.assertEqual(served.facade.opened, [])

    def test_truncated_body_is_not_forwarded(self):
        """Otherwise a service would get half a booking as a complete one.

        The caller's connection ends in the middle of the body; the read
        then returns fewer bytes without an error.
        """
        with serving() as served, served.connect() as caller:
            caller.sendall(raw(BOOKING, b'{"a": 1}', 'Content-Length: 90'))
            caller.shutdown(socket.SHUT_WR)
            answer = read_answer(caller)
        self.assertEqual(answer.status, 400)
        self.assertEqual(served.facade.opened, [])

    @params('POST /v1/nothing', 'GET /v1/entries', 'DELETE /v1/completions')
    def test_unread_body_is_not_parsed_as_the_next_call(self, line):
        """Guards against request smuggling.

        The body of a call is not read and is itself a call; if the
        connection stayed open, that call would run.
        """
        inner = raw(BOOKING)
        body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(inner), inner)
        with serving() as served, served.connect() as caller:
            caller.sendall(raw(line, body, 'Transfer-Encoding: chunked'))
            self.assertTrue(read_answer(caller).closes)
            caller.sendall(raw(BOOKING))
            with contextlib.suppress(ConnectionError):
                self.assertEqual(caller.recv(1), b'')
        self.assertEqual(served.facade.opened, [])

    @params(
        'GET /services/portal/lookup/../bookings',
        'GET /services/portal/lookup/%2e%2E/bookings',
        'GET /services/portal/lookup%2f..%2fbookings',
        'GET /services/portal/..%5cbookings',
        'GET /services/portal/a%0d%0ab',
        'GET /services/portal/%ff',
    )
    def test_ambiguous_path_is_refused(self, line):
        """A retry must not make a booking twice.

        The path matches the route of the lookups, which may be retried, but
        the service would resolve it to the bookings.
        """
        with serving() as served:
            answer = served.send(raw(line))
        self.assertEqual(answer.status, 400)
        self.assertEqual(served.facade.opened, [])

    @params(
        b'nonsense\r\n\r\n',
        b'GET /v1/entries HTTP/9.9\r\n\r\n',
        b'GET /v1/entries HTTP/1.1\r\nno colon\r\n\r\n',
        b'GET /v1/entries HTTP/1.1\r\nHost: here\r\nX: '
        + b'x' * 70000
        + b'\r\n\r\n',
    )
    def test_port_keeps_serving_after_invalid_http(self, bytes_sent):
        with serving() as served:
            with contextlib.suppress(ConnectionError):
                self.assertGreaterEqual(served.send(bytes_sent).status, 400)
            self.assertEqual(served.send(raw('GET /v1/entries')).status, 200)

    @params(
        ('Idempotency-Key: two words', 'Idempotency-Key'),
        ('Idempotency-Key: ' + 'k' * 256, 'Idempotency-Key'),
        ('X-Deadline-S: nan', 'X-Deadline-S'),
        ('X-Deadline-S: -1', 'X-Deadline-S'),
        ('X-Deadline-S: soon', 'X-Deadline-S'),
    )
    def test_invalid_header_is_refused(self, header, expected):
        with serving() as served:
            answer = served.send(raw(BOOKING, b'', header))
        self.assertEqual(answer.status, 400)
        self.assertIn(expected, answer.error['message'])

    def test_error_for_unknown_path_lists_the_paths(self):
        with serving() as served:
            answer = served.send(raw('GET /v2/x'))
        self.assertEqual(answer.status, 404)
        self.assertIn('/v1/entries', answer.error['message'])
        self.assertEqual(
            answer.error['request_id'], answer.headers['x-request-id']
        )


class PlainCallsTest(unittest.TestCase):
    @params(
        '/lookup/',
        '/a//b',
        '/a%20b?self=1&path=2&q=%C3%A9',
        '/x?self=%ff',
        '/',
        '/n%C3%A4h',
    )
    def test_path_is_forwarded_unchanged(self, sent):
        """The path must not be rebuilt from its decoded parts.

        That would lose a trailing slash, for example, or fail for a query
        parameter named ``self``.
        """
        with serving() as served:
            answer = served.send(raw(f'GET /services/portal{sent}'))
        self.assertEqual((answer.status, answer.body), (201, b'booked'))
        ((call, payload),) = served.facade.opened
        self.assertEqual(payload.path, sent)
        self.assertNotIn('?', call.path)

    def test_several_calls_on_one_connection(self):
        with serving() as served, served.connect() as caller:
            for number in range(3):
                caller.sendall(raw(BOOKING, b'%d' % number))
                self.assertEqual(read_answer(caller).status, 201)
        bodies = [payload.body for _, payload in served.facade.opened]
        self.assertEqual(bodies, [b'0', b'1', b'2'])

    def test_chunked_body(self):
        with serving() as served:
            body = b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
            answer = served.send(
                raw(BOOKING, body, 'Transfer-Encoding: chunked')
            )
        self.assertEqual(answer.status, 201)
        self.assertEqual(served.facade.opened[0][1].body, b'abcde')

    def test_digest_covers_the_body(self):
        with serving() as served:
            for body in (b'a', b'b', b'b'):
                served.send(raw(BOOKING, body))
        digests = [call.digest for call, _ in served.facade.opened]
        self.assertNotEqual(digests[0], digests[1])
        self.assertEqual(digests[1], digests[2])


class AnswerEndTest(unittest.TestCase):
    @params(completion(), completion(stream=True), raw(BOOKING))
    def test_refused_call_is_closed(self, call):
        """Without this, each refused call would leak a relay and a watch.

        The call is refused before its first token, so no answer has begun.
        """
        with serving(REFUSED) as served:
            answer = served.send(call)
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.headers['retry-after'], '1')
            self.assertTrue(served.facade.closed.acquire(timeout=TIMEOUT_S))
            self.assertEqual(served.facade.open_ids, set())

    def test_answer_that_was_not_started_is_closed(self):
        """Without this, an answer that nobody reads would keep its slot.

        The caller disconnects between the first token and the headers. A
        generator that was never started runs no ``finally``.
        """
        facade = ScriptedFacade()
        call = events.Call(
            service='m',
            method='POST',
            path='/',
            streamed=True,
            key_sha256='',
            idempotency_key=None,
            digest=b'',
        )
        answer = answers.Answer(
            facade=facade,
            metrics=metrics.Metrics(),
            request_id='r',
            call_relay=facade.open_relay(
                call=call, payload=relay.RequestPayload(), request_id='r'
            ),
        )
        answer.first()
        answers.EventStream(answer).close()
        self.assertEqual(facade.open_ids, set())
        self.assertTrue(facade.closed.acquire(blocking=False))

    def test_replayed_stream_has_text_and_done_event(self):
        with serving() as served:
            answer = served.send(completion(stream=True))
        self.assertIn(b'"text": "a b"', answer.body)
        self.assertTrue(answer.body.endswith(b'data: [DONE]\n\n'))

    def test_connections_are_closed_while_shutting_down(self):
        """Otherwise a booking could stay without an answer at a shutdown.

        A persistent connection would be closed when the process ends,
        perhaps while its caller is sending.
        """
        with serving() as served:
            served.facade.is_shutting_down = True
            for call in (raw(BOOKING), completion(stream=True)):
                answer = served.send(call)
                self.assertEqual(answer.status // 100, 2)
                self.assertTrue(answer.closes)

    def test_full_instance_refuses_while_its_calls_go_on(self):
        """A call over the limit is refused; it doesn't wait.

        As many calls as are allowed are running and one more arrives. With
        no thread left, it would wait in the port's queue.
        """
        with serving(REFUSED) as served, contextlib.ExitStack() as stack:
            served.facade.calls_to_hold = 3
            for _ in range(3):
                caller = stack.enter_context(served.connect())
                caller.sendall(raw(BOOKING))
                self.assertTrue(served.facade.held.acquire(timeout=TIMEOUT_S))
            answer = served.send(raw(BOOKING))
            self.assertEqual(answer.error['reason'], 'instance_full')
            for call_relay in served.facade.call_relays:
                served.facade.refuse(call_relay)


class CallersPageTest(unittest.TestCase):
    def test_callers_page_lists_every_reason_with_its_status(self):
        page = pathlib.Path('docs/CALLERS.md').read_text()
        for reason in verdict.RefusalReason:
            status = callers.STATUS_BY_REASON.get(
                reason, callers.DEFAULT_STATUS
            )
            self.assertIn(f'| `{reason.value}` | {status} |', page)
