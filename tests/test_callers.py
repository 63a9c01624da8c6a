"""The callers' border over real sockets, in front of a scripted entry."""

import contextlib
import json
import pathlib
import socket
import threading
import unittest

from nose2.tools import params

from dandeliongw.borders import answers
from dandeliongw.borders import callers
from dandeliongw.borders import calls
from dandeliongw.borders import web
from dandeliongw import effects
from dandeliongw.entry import outcome
from dandeliongw.entry import relay
from dandeliongw import events
from dandeliongw import metrics
from dandeliongw import settings
from dandeliongw import verdict

#: Generous: only a failing test waits so long.
PATIENCE_S = 20
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


class ScriptedGate:
    """Answers every request at once: with a replay, or with a refusal.

    :param refusal: what to answer; ``None`` for a recorded outcome.
    """

    def __init__(self, refusal=None):
        self.refusal = refusal
        self.is_leaving = False
        self.opened = []
        self.open_ids = set()
        self.closed = threading.Semaphore(0)
        #: How many calls to leave without an answer, and those that are.
        self.holds = 0
        self.carriers = []
        self.held = threading.Semaphore(0)

    def open_relay(self, *, call, work, request_id):
        self.opened.append((call, work))
        self.open_ids.add(request_id)
        carrier = relay.Relay(
            request_id=request_id,
            call=call,
            work=work,
            backends=None,
            post=lambda make_event: self._post(carrier, make_event),
        )
        return carrier

    def _post(self, carrier, make_event):
        event = make_event(now=0.0)
        if isinstance(event, events.RequestClosed):
            self.closed.release()
        if not isinstance(event, events.RequestArrived):
            return
        if self.holds:
            self.holds -= 1
            self.carriers.append(carrier)
            self.held.release()
            return
        if self.refusal is not None:
            self.refuse(carrier)
            return
        carrier.give(
            effects.Replay(request_id=event.request_id, outcome=RECORDED)
        )

    def refuse(self, carrier):
        carrier.give(
            effects.Refuse(request_id=carrier.request_id, refusal=self.refusal)
        )

    def close_relay(self, request_id):
        self.open_ids.discard(request_id)

    def entries(self):
        return {'ttl_s': 1.0, 'entries': []}


class Border:
    """A served border and what it did."""

    def __init__(self, gate, port, counters):
        self.gate = gate
        self.metrics = counters
        self._port = port

    def connect(self):
        return socket.create_connection(
            ('127.0.0.1', self._port.number), timeout=PATIENCE_S
        )

    def send(self, raw):
        """Send raw bytes on a connection of their own; return the answer."""
        with self.connect() as caller:
            caller.sendall(raw)
            return read_answer(caller)


@contextlib.contextmanager
def border(refusal=None):
    gate = ScriptedGate(refusal)
    counters = metrics.Metrics()
    listen = settings.Listen(host='127.0.0.1', port=0, threads=4, queue=4)
    with web.bound(listen, 'callers', 1.0) as port:
        port.serve(
            callers.make_application(
                callers.Callers(
                    gate=gate, metrics=counters, max_body_bytes=MAX_BODY
                )
            )
        )
        yield Border(gate, port, counters)


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
    """Read one answer, chunked or not; leave the rest on the connection."""
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
    """Return the bytes of a call, with its length unless it is given."""
    names = {each.split(':')[0].lower() for each in headers}
    lines = [f'{line} HTTP/1.1', 'Host: here', *headers]
    if not names & {'content-length', 'transfer-encoding'}:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def completion(**fields):
    body = {'model': 'm', 'prompt': 'p', **fields}
    return raw('POST /v1/completions', json.dumps(body).encode())


BOOKING = 'POST /services/portal/bookings'


class BadInput(unittest.TestCase):
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
    def test_a_wrong_field_is_named_with_what_is_allowed(self, fields, told):
        with border() as served:
            answer = served.send(completion(**fields))
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.error['verdict'], 'not_run')
        self.assertIn(told, answer.error['message'])
        self.assertEqual(served.gate.opened, [])
        counted = served.metrics.value('refusals_total', reason='bad_request')
        self.assertEqual(counted, 1)

    def test_brackets_without_end_are_no_json(self):
        """Symptom: a caller gets a 500, which may mean that it ran.

        Sequence: a body of nothing but brackets.
        Cause: only what a JSON reader says itself would be expected.
        """
        with self.assertRaises(calls.BadCall):
            calls.read_completion(b'[' * 100_000, {})

    @params(b'', b'{', b'[]', b'\xff')
    def test_a_body_that_is_no_json_object(self, body):
        with border() as served:
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
    def test_lengths_that_are_wrong_or_too_large(self, header, body, status):
        """Symptom: a thread reads for half a minute, or a call gets a 500.

        Sequence: a length that is negative, no number or above the limit.
        Cause: whatever the header says would be read.
        """
        with border() as served:
            answer = served.send(raw(BOOKING, body, header))
        self.assertEqual(answer.status, status)
        self.assertTrue(answer.closes)
        self.assertEqual(served.gate.opened, [])

    def test_half_a_body_is_not_passed_on(self):
        """Symptom: a booking without its rider is made.

        Sequence: the caller's connection ends in the middle of the body.
        Cause: a read that ends early looks like one that ends.
        """
        with border() as served, served.connect() as caller:
            caller.sendall(raw(BOOKING, b'{"a": 1}', 'Content-Length: 90'))
            caller.shutdown(socket.SHUT_WR)
            answer = read_answer(caller)
        self.assertEqual(answer.status, 400)
        self.assertEqual(served.gate.opened, [])

    @params('POST /v1/nothing', 'GET /v1/entries', 'DELETE /v1/completions')
    def test_an_unread_body_never_becomes_the_next_call(self, line):
        """Symptom: calls that nobody sent, under another caller's name.

        Sequence: a call's body, itself a call, is not read; the connection
        is kept.
        Cause: what is left on a connection would be taken for a call.
        """
        inner = raw(BOOKING)
        body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(inner), inner)
        with border() as served, served.connect() as caller:
            caller.sendall(raw(line, body, 'Transfer-Encoding: chunked'))
            self.assertTrue(read_answer(caller).closes)
            caller.sendall(raw(BOOKING))
            with contextlib.suppress(ConnectionError):
                self.assertEqual(caller.recv(1), b'')
        self.assertEqual(served.gate.opened, [])

    @params(
        'GET /services/portal/lookup/../bookings',
        'GET /services/portal/lookup/%2e%2E/bookings',
        'GET /services/portal/lookup%2f..%2fbookings',
        'GET /services/portal/..%5cbookings',
        'GET /services/portal/a%0d%0ab',
        'GET /services/portal/%ff',
    )
    def test_paths_that_two_readers_take_for_two(self, line):
        """Symptom: a booking is made twice.

        Sequence: the path matches the lookups' route, which may be
        repeated; the service resolves it to the bookings.
        Cause: the route would be looked up for another path than is run.
        """
        with border() as served:
            answer = served.send(raw(line))
        self.assertEqual(answer.status, 400)
        self.assertEqual(served.gate.opened, [])

    @params(
        b'nonsense\r\n\r\n',
        b'GET /v1/entries HTTP/9.9\r\n\r\n',
        b'GET /v1/entries HTTP/1.1\r\nno colon\r\n\r\n',
        b'GET /v1/entries HTTP/1.1\r\nHost: here\r\nX: '
        + b'x' * 70000
        + b'\r\n\r\n',
    )
    def test_what_is_no_http_leaves_the_port_serving(self, bytes_sent):
        with border() as served:
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
    def test_headers_that_mean_nothing(self, header, told):
        with border() as served:
            answer = served.send(raw(BOOKING, b'', header))
        self.assertEqual(answer.status, 400)
        self.assertIn(told, answer.error['message'])

    def test_unknown_paths_say_which_there_are(self):
        with border() as served:
            answer = served.send(raw('GET /v2/x'))
        self.assertEqual(answer.status, 404)
        self.assertIn('/v1/entries', answer.error['message'])
        self.assertEqual(
            answer.error['request_id'], answer.headers['x-request-id']
        )


class PlainCalls(unittest.TestCase):
    @params(
        '/lookup/',
        '/a//b',
        '/a%20b?self=1&path=2&q=%C3%A9',
        '/x?self=%ff',
        '/',
        '/n%C3%A4h',
    )
    def test_a_service_gets_the_path_as_it_was_sent(self, sent):
        """Symptom: a lookup fails for one caller's queries only.

        Sequence: a path with a slash at its end, a query named ``self``.
        Cause: the path would be put together anew from decoded parts.
        """
        with border() as served:
            answer = served.send(raw(f'GET /services/portal{sent}'))
        self.assertEqual((answer.status, answer.body), (201, b'booked'))
        ((call, work),) = served.gate.opened
        self.assertEqual(work.path, sent)
        self.assertNotIn('?', call.path)

    def test_calls_follow_each_other_on_one_connection(self):
        with border() as served, served.connect() as caller:
            for number in range(3):
                caller.sendall(raw(BOOKING, b'%d' % number))
                self.assertEqual(read_answer(caller).status, 201)
        bodies = [work.body for _, work in served.gate.opened]
        self.assertEqual(bodies, [b'0', b'1', b'2'])

    def test_a_body_in_chunks(self):
        with border() as served:
            body = b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
            answer = served.send(
                raw(BOOKING, body, 'Transfer-Encoding: chunked')
            )
        self.assertEqual(answer.status, 201)
        self.assertEqual(served.gate.opened[0][1].body, b'abcde')

    def test_two_bodies_have_two_digests(self):
        with border() as served:
            for body in (b'a', b'b', b'b'):
                served.send(raw(BOOKING, body))
        digests = [call.digest for call, _ in served.gate.opened]
        self.assertNotEqual(digests[0], digests[1])
        self.assertEqual(digests[1], digests[2])


class Ends(unittest.TestCase):
    @params(completion(), completion(stream=True), raw(BOOKING))
    def test_a_refusal_leaves_nothing_open(self, call):
        """Symptom: memory and the watch grow with every refused call.

        Sequence: a completion is refused before its first token.
        Cause: only answers that were begun would be closed.
        """
        with border(REFUSED) as served:
            answer = served.send(call)
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.headers['retry-after'], '1')
            self.assertTrue(served.gate.closed.acquire(timeout=PATIENCE_S))
            self.assertEqual(served.gate.open_ids, set())

    def test_an_answer_that_was_not_begun_is_closed(self):
        """Symptom: a slot stays taken by an answer that nobody reads.

        Sequence: the caller leaves between the first token and the headers.
        Cause: a generator that was never begun has no end.
        """
        gate = ScriptedGate()
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
            gate=gate,
            metrics=metrics.Metrics(),
            request_id='r',
            carrier=gate.open_relay(
                call=call, work=relay.Work(), request_id='r'
            ),
        )
        answer.first()
        answers.EventStream(answer).close()
        self.assertEqual(gate.open_ids, set())
        self.assertTrue(gate.closed.acquire(blocking=False))

    def test_a_replayed_stream_has_its_text_and_end_mark(self):
        with border() as served:
            answer = served.send(completion(stream=True))
        self.assertIn(b'"text": "a b"', answer.body)
        self.assertTrue(answer.body.endswith(b'data: [DONE]\n\n'))

    def test_an_instance_that_leaves_ends_its_connections(self):
        """Symptom: a booking without an answer at each shutdown.

        Sequence: SIGTERM; a kept connection is closed at the process's end,
        just as its caller sends.
        Cause: connections would be kept to the last moment.
        """
        with border() as served:
            served.gate.is_leaving = True
            for call in (raw(BOOKING), completion(stream=True)):
                answer = served.send(call)
                self.assertEqual(answer.status // 100, 2)
                self.assertTrue(answer.closes)

    def test_a_full_instance_refuses_while_all_its_work_goes_on(self):
        """Symptom: callers hang at an instance that has no room.

        Sequence: as many calls as are allowed are at work; one more comes.
        Cause: with no thread left, it would wait in the port's queue.
        """
        with border(REFUSED) as served, contextlib.ExitStack() as stack:
            served.gate.holds = 3
            for _ in range(3):
                caller = stack.enter_context(served.connect())
                caller.sendall(raw(BOOKING))
                self.assertTrue(served.gate.held.acquire(timeout=PATIENCE_S))
            answer = served.send(raw(BOOKING))
            self.assertEqual(answer.error['reason'], 'instance_full')
            for carrier in served.gate.carriers:
                served.gate.refuse(carrier)


class Pages(unittest.TestCase):
    def test_the_page_lists_every_reason_with_its_status(self):
        page = pathlib.Path('docs/CALLERS.md').read_text()
        for reason in verdict.RefusalReason:
            status = callers.STATUS_BY_REASON.get(
                reason, callers.DEFAULT_STATUS
            )
            self.assertIn(f'| `{reason.value}` | {status} |', page)
