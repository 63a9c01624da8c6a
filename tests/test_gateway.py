"""Forwarded calls over real sockets, in front of a scripted entry."""

import contextlib
import hashlib
import socket
import threading
import unittest

from nose2.tools import params

from dandeliongw import answer_memory
from dandeliongw.api import calls
from dandeliongw.api import gateway
from dandeliongw.api import http_ports
from dandeliongw import effects
from dandeliongw import engine
from dandeliongw.entry import fingerprints
from dandeliongw.entry import relay
from dandeliongw import events
from dandeliongw import hosts
from dandeliongw import metrics
from dandeliongw import settings
from dandeliongw import verdict
from tests import test_callers
from tools import local

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
REASON = verdict.RefusalReason
EVENTS = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n')


class HeaderParser:
    """Reads the request id from X-Name and drops X-Secret."""

    def read_call(self, headers):
        by_name = dict(headers)
        if 'X-Name' not in by_name:
            raise calls.InvalidCall('X-Name: not given')
        return gateway.CallMetadata(
            request_id=by_name['X-Name'],
            deadline_s=None,
            prompt_tokens=0,
            max_tokens=0,
            expected_tokens=0,
            pieces_received=0,
            prefix=(),
            shared_parts=(),
            headers=tuple(each for each in headers if each[0] != 'X-Secret'),
        )

    def read_request_id(self, headers):
        return dict(headers).get('X-Name', '')


class Engine:
    """Streams ``EVENTS``, then raises ``last`` or ends the stream."""

    def __init__(self, last):
        self._last = last

    def import_kv(self, **asked):
        pass

    def decode(self, *, attempt_id, **asked):
        head = (('X-Seal', 's'), ('Connection', 'keep-alive'))
        yield engine.ResponseHead(status=200, headers=head)
        for offset, data in enumerate(EVENTS):
            yield engine.Piece(
                attempt_id=attempt_id, offset=offset, text='', data=data
            )
        if isinstance(self._last, Exception):
            raise self._last
        yield engine.Piece(
            attempt_id=attempt_id, offset=len(EVENTS), text='', is_end=True
        )

    def abort(self):
        pass


class Plain:
    def __init__(self, reply):
        self._reply = reply

    def call(self, **asked):
        return self._reply

    def abort(self):
        pass


class ScriptedFacade:
    """Scripted reducer and backend servers.

    :param script: the directives for each call: the first on its arrival,
        the others one after each step.
    """

    def __init__(self, *script, last=None, reply=None):
        self.script = script
        self.is_shutting_down = False
        self.border = hosts.BorderLimits(max_body_bytes=100)
        self.opened = []
        self.closed = threading.Semaphore(0)
        self._engine = Engine(last)
        self._reply = reply

    def open_pass_through(self, *, call, payload, metadata, caller):
        self.opened.append((call, payload))
        script = iter(self.script)
        call_relay = relay.Relay(
            request_id='r',
            call=call,
            payload=payload,
            backends=self,
            post=lambda make: self._post(call_relay, script, make(now=0.0)),
        )
        return call_relay

    def _post(self, call_relay, script, event):
        if isinstance(event, events.RequestArrived | events.StepEnded):
            call_relay.put_directive(next(script))
        if isinstance(event, events.RequestClosed):
            self.closed.release()

    def close_relay(self, request_id):
        pass

    def model_engine(self, url, backend_id, *_):
        return self._engine

    def plain_service(self, url, backend_id, *_):
        return Plain(self._reply)


DECODE = effects.RunDecode(
    request_id='r',
    attempt_id='r.1',
    backend_id='d',
    url='http://d',
    source_url='http://p',
    kv='k',
    fence=1,
    deadline_in_s=9.0,
)
CALL = effects.RunCall(
    request_id='r',
    attempt_id='r.1',
    backend_id='s',
    url='http://s',
    deadline_in_s=9.0,
)
COMPLETE = effects.Complete(request_id='r')


def refuse(reason, known, retry_after_s=None):
    return effects.Refuse(
        request_id='r',
        refusal=verdict.Refusal(
            reason=reason,
            verdict=known,
            message='why',
            retry_after_s=retry_after_s,
        ),
    )


@contextlib.contextmanager
def serving(facade, counts=None):
    listen = settings.Listen(host='127.0.0.1', port=0, threads=4, queue=4)
    application = gateway.Gateway(
        facade=facade,
        header_parser=HeaderParser(),
        metrics=counts or metrics.Metrics(),
    )
    with http_ports.open_port(listen, 'callers', 1.0) as port:
        port.serve(application)
        yield port.number


def connect(port):
    return socket.create_connection(
        ('127.0.0.1', port), timeout=test_callers.TIMEOUT_S
    )


def raw(line='GET /a/b?c=%2F', body=b'', *headers):
    return test_callers.raw(line, body, 'X-Name: n1', *headers)


def send(facade, sent):
    with serving(facade) as port, connect(port) as caller:
        caller.sendall(sent)
        return test_callers.read_answer(caller)


class ForwardingTest(unittest.TestCase):
    def test_call_is_forwarded_unchanged(self):
        facade = ScriptedFacade(refuse(REASON.NO_BACKEND, NOT_RUN))
        sent = test_callers.raw(
            'POST /a//b/?x=1&y=%2f',
            b'body',
            'X-Name: n1',
            'X-Other: o',
            'X-Secret: s',
            'Connection: close, X-Hop',
            'X-Hop: h',
            'Keep-Alive: timeout=3',
        )
        send(facade, sent)
        ((call, payload),) = facade.opened
        self.assertEqual((call.host, call.path), ('here', '/a//b/'))
        self.assertEqual(
            (payload.method, payload.path, payload.body),
            ('POST', '/a//b/?x=1&y=%2f', b'body'),
        )
        self.assertEqual(
            dict(payload.headers),
            {'Host': 'here', 'X-Name': 'n1', 'X-Other': 'o'},
        )

    @params(
        ('GET /a?x=1', b'body', True),
        ('GET /a?x=2', b'body', False),
        ('POST /a?x=1', b'body', False),
        ('GET /a?x=1', b'other', False),
    )
    def test_fingerprint_covers_method_target_and_body(
        self, line, body, is_same
    ):
        """The caller has no account here."""
        sent = [
            test_callers.raw('GET /a?x=1', b'body', 'X-Name: n1'),
            test_callers.raw(line, body, 'X-Name: n2', 'X-Deadline: 3'),
        ]
        refused = refuse(REASON.NO_BACKEND, NOT_RUN)
        made = []
        for each in sent:
            facade = ScriptedFacade(refused)
            send(facade, each)
            ((call, _),) = facade.opened
            self.assertEqual('127.0.0.1', call.address)
            made.append(fingerprints.Fingerprints(secret=None).of(call))
        self.assertEqual(is_same, made[0] == made[1])

    @params(('Basic YTpi', True), ('Basic YTpj', False), ('', False))
    def test_fingerprint_covers_credentials(self, other, is_same):
        made = []
        for value in ('Basic YTpi', other):
            facade = ScriptedFacade(refuse(REASON.NO_BACKEND, NOT_RUN))
            header = (f'Authorization: {value}',) if value else ()
            line = test_callers.raw('GET /a', b'', 'X-Name: n1', *header)
            send(facade, line)
            ((call, _),) = facade.opened
            made.append(fingerprints.Fingerprints(secret=None).of(call))
        self.assertEqual(is_same, made[0] == made[1])

    @params(
        (('Bearer key-1',), True),
        (('bearer  key-1 ',), True),
        (('Bearer key-1', 'Bearer key-1'), False),
        (('Basic key-1',), False),
        (('key-1',), False),
        (('Bearer',), False),
        (('Bearer ',), False),
        (('Bearer key-1, Bearer key-2',), False),
        (('Bearer key-1\tkey-2',), False),
        (('Bearer ' + 'x' * 2000,), False),
    )
    def test_key_in_the_authorization_header(self, values, is_key):
        """Guards against a call without one valid key that passes for one.

        Nor must it pass for an anonymous call.
        """
        facade = ScriptedFacade(refuse(REASON.NO_BACKEND, NOT_RUN))
        given = [f'Authorization: {value}' for value in values]
        send(facade, raw('GET /a', b'', *given))
        ((call, _),) = facade.opened
        digest = hashlib.sha256(b'key-1').hexdigest()
        self.assertEqual(call.key_sha256 == digest, is_key)
        self.assertNotEqual(call.key_sha256, '')

    def test_call_without_a_key(self):
        facade = ScriptedFacade(refuse(REASON.NO_BACKEND, NOT_RUN))
        send(facade, raw('GET /a'))
        ((call, _),) = facade.opened
        self.assertEqual(call.key_sha256, '')

    @params(
        (REASON.UNKNOWN_ACCOUNT, None, 401, None, 'Bearer'),
        (REASON.ACCOUNT_LIMIT, 2.5, 429, '2.50', None),
    )
    def test_refusal_of_an_account(
        self, reason, wait_s, status, retry_after, scheme
    ):
        facade = ScriptedFacade(refuse(reason, NOT_RUN, wait_s))
        answer = send(facade, raw())
        self.assertEqual(answer.status, status)
        self.assertEqual(answer.headers.get('retry-after'), retry_after)
        self.assertEqual(answer.headers.get('www-authenticate'), scheme)

    def test_stream_is_forwarded_unchanged(self):
        answer = send(ScriptedFacade(DECODE, COMPLETE), raw())
        self.assertEqual((answer.status, answer.body), (200, b''.join(EVENTS)))
        self.assertEqual(answer.headers['x-seal'], 's')
        self.assertNotIn('connection', answer.headers)

    def test_answers_are_counted(self):
        counts = metrics.Metrics()
        reply = engine.Reply(status=200, content_type='', body=b'')
        called = ScriptedFacade(CALL, COMPLETE, reply=reply)
        for facade in (ScriptedFacade(DECODE, COMPLETE), called):
            with serving(facade, counts) as port, connect(port) as caller:
                caller.sendall(raw())
                test_callers.read_answer(caller)
                facade.closed.acquire(timeout=test_callers.TIMEOUT_S)
        self.assertEqual(2, counts.value('answers_total', verdict='ran'))

    def test_broken_stream_has_no_last_chunk(self):
        """A caller must not take a truncated answer for a complete one.

        The engine fails in the middle of a stream and the call may not be
        retried; the body must end without its last chunk.
        """
        broken = engine.EngineError('gone', known=MAY_HAVE_RUN)
        facade = ScriptedFacade(
            DECODE, refuse(REASON.BACKEND_FAILED, MAY_HAVE_RUN), last=broken
        )
        with serving(facade) as port, connect(port) as caller:
            caller.sendall(raw())
            got = b''
            while more := caller.recv(65536):
                got += more
        self.assertIn(EVENTS[1], got)
        self.assertNotIn(b'\r\n0\r\n', got)
        self.assertTrue(facade.closed.acquire(timeout=test_callers.TIMEOUT_S))

    def test_broken_stream_without_chunks_is_reset(self):
        """Guards against a truncated answer that ends like a whole one.

        A caller with HTTP/1.0 sees the end of a stream by the end of its
        connection.
        """
        broken = engine.EngineError('gone', known=MAY_HAVE_RUN)
        for last, is_broken in ((broken, True), (None, False)):
            end = (
                refuse(REASON.BACKEND_FAILED, MAY_HAVE_RUN)
                if is_broken
                else COMPLETE
            )
            facade = ScriptedFacade(DECODE, end, last=last)
            with serving(facade) as port, connect(port) as caller:
                caller.sendall(raw().replace(b'HTTP/1.1', b'HTTP/1.0'))
                if is_broken:
                    with self.assertRaises(ConnectionResetError):
                        while caller.recv(65536):
                            pass
                    continue
                got = b''
                while more := caller.recv(65536):
                    got += more
                self.assertTrue(got.endswith(b''.join(EVENTS)))

    def test_error_answer_of_backend_server_is_forwarded(self):
        """The caller gets the backend server's answer, not one of ours."""
        reply = engine.Reply(
            status=500,
            content_type='',
            body=b'sorry',
            headers=(('X-Seal', 's'), ('Content-Length', '99')),
        )
        answer = send(
            ScriptedFacade(
                CALL, refuse(REASON.BACKEND_FAILED, MAY_HAVE_RUN), reply=reply
            ),
            raw(),
        )
        self.assertEqual((answer.status, answer.body), (500, b'sorry'))
        self.assertEqual(answer.headers['x-seal'], 's')

    def test_call_that_has_not_run_gets_503_after_a_failure(self):
        reply = engine.Reply(status=500, content_type='', body=b'')
        answer = send(
            ScriptedFacade(
                CALL, refuse(REASON.NO_BACKEND, NOT_RUN), reply=reply
            ),
            raw(),
        )
        self.assertEqual(answer.status, 503)

    @params(
        (200, COMPLETE),
        (500, refuse(REASON.BACKEND_FAILED, MAY_HAVE_RUN)),
        (500, refuse(REASON.NO_BACKEND, NOT_RUN)),
        (200, refuse(REASON.CALLER_GONE, MAY_HAVE_RUN)),
    )
    def test_the_memory_of_an_answer_is_given_back(self, status, last):
        """Guards against an instance that refuses calls with memory free."""
        memory = answer_memory.AnswerMemory(capacity_bytes=1 << 30)
        holding = memory.open(lambda: None)
        holding.complete(1 << 20)
        reply = engine.Reply(
            status=status,
            content_type='',
            body=bytes(1 << 20),
            holding=holding,
        )
        facade = ScriptedFacade(CALL, last, reply=reply)
        with serving(facade) as port, connect(port) as caller:
            caller.sendall(raw())
            answer = test_callers.read_answer(caller)
            facade.closed.acquire(timeout=test_callers.TIMEOUT_S)
            local.wait_until('it is released', lambda: not memory.held_bytes)
        if status == answer.status:
            self.assertEqual(reply.body, answer.body)

    def test_a_caller_that_leaves_gives_the_memory_back(self):
        memory = answer_memory.AnswerMemory(capacity_bytes=1 << 30)
        holding = memory.open(lambda: None)
        holding.complete(64 << 20)
        reply = engine.Reply(
            status=200, content_type='', body=bytes(64 << 20), holding=holding
        )
        facade = ScriptedFacade(CALL, COMPLETE, reply=reply)
        with serving(facade) as port:
            with connect(port) as caller:
                caller.sendall(raw())
                caller.recv(1)
                self.assertTrue(memory.held_bytes)
            local.wait_until('it is released', lambda: not memory.held_bytes)

    @params(
        (REASON.UNKNOWN_ROUTE, NOT_RUN, 404),
        (REASON.TOO_LARGE, NOT_RUN, 413),
        (REASON.NO_OWNER, NOT_RUN, 503),
        (REASON.DEADLINE_PASSED, NOT_RUN, 503),
        (REASON.DEADLINE_PASSED, MAY_HAVE_RUN, 504),
        (REASON.NO_OWNER, MAY_HAVE_RUN, 502),
        (REASON.QUARANTINED, NOT_RUN, 503),
        (REASON.QUARANTINED, MAY_HAVE_RUN, 502),
        (REASON.DRAINING, verdict.Verdict.RAN, 502),
    )
    def test_503_is_sent_only_if_the_call_has_not_run(
        self, reason, known, status
    ):
        """Otherwise callers would resend a booking that was made already."""
        answer = send(ScriptedFacade(refuse(reason, known, 0.25)), raw())
        self.assertEqual(answer.status, status)
        wait = answer.headers.get('retry-after')
        self.assertEqual(wait, '0.25' if status == 503 else None)

    def test_connections_are_closed_while_shutting_down(self):
        facade = ScriptedFacade(refuse(REASON.NO_BACKEND, NOT_RUN))
        facade.is_shutting_down = True
        self.assertTrue(send(facade, raw()).closes)


class BadInputTest(unittest.TestCase):
    @params(
        raw('GET a/b'),
        raw('GET /a#b'),
        raw('GET http://here/a'),
        raw('POST /a', b'3\r\nabcd', 'Transfer-Encoding: chunked'),
        raw('POST /a', b'abc', 'Content-Length: 3', 'Content-Length: 3'),
        raw('POST /a', b'x' * 101),
        test_callers.raw('GET /a'),
        b'GET /a HTTP/1.1\r\nX-Name: n\r\nHost: a b\r\n\r\n',
    )
    def test_ambiguous_call_ends_its_connection(self, sent):
        """Otherwise the rest of the call could be run as another call."""
        facade = ScriptedFacade()
        with serving(facade) as port, connect(port) as caller:
            caller.sendall(sent + raw())
            answer = test_callers.read_answer(caller)
            self.assertIn(answer.status, (400, 413))
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(caller.recv(1), b'')
        self.assertEqual(facade.opened, [])

    def test_call_after_a_chunked_body_is_read_correctly(self):
        facade = ScriptedFacade(refuse(REASON.NO_BACKEND, NOT_RUN))
        chunked = raw(
            'POST /a', b'3\r\nabc\r\n0\r\n\r\n', 'Transfer-Encoding: chunked'
        )
        with serving(facade) as port, connect(port) as caller:
            for sent in (chunked, raw('GET /second')):
                caller.sendall(sent)
                test_callers.read_answer(caller)
        bodies = [(payload.path, payload.body) for _, payload in facade.opened]
        self.assertEqual(bodies, [('/a', b'abc'), ('/second', b'')])
