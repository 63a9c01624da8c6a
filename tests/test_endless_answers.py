"""Answers without end: what an instance holds of them, and who pays."""

from concurrent import futures
import contextlib
import pathlib
import re
import shutil
import tempfile
import threading
import tracemalloc
import unittest

from dandeliongw import answer_memory
from dandeliongw import connection_pool
from dandeliongw import engine
from dandeliongw import exchange as exchanges
from dandeliongw import verdict
from nose2.tools import params
from tests import raw_server
from tools import announcer
from tools import local

MIB = 1 << 20
TIMEOUT_S = 20
#: Of the smallest entries; without answers, an instance takes half of it.
MEMORY_BYTES = 128_000_000
CALLS = 50
LOOKUP = '/services/studio-portal/lookup'
_OPEN = answer_memory.OPEN_BYTES
_NONE = b''
_HEAD = b'HTTP/1.1 200 OK\r\n'
#: What is sent once, and what is sent again and again.
ENDLESS = {
    'a status line': (_NONE, b'HTTP/1.1 200 ' + b'O' * 9000),
    'a field': (_HEAD + b'X-A: ', b'b' * 9000),
    'fields': (_HEAD, b'X-A: b\r\n' * 1000),
    'interim answers': (_NONE, b'HTTP/1.1 100 Continue\r\n\r\n' * 300),
    'a body': (_HEAD + b'\r\n', bytes(1 << 16)),
    'chunks': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + bytes(1 << 16) + b'\r\n',
    ),
    'small chunks': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'80\r\n%s\r\n' % bytes(128) * 100,
    ),
    'the size of a chunk': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'0' * 9000,
    ),
    'trailers': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-A: b\r\n' * 1000,
    ),
}


def without_end(first, repeated):
    def reply(connection):
        with contextlib.suppress(OSError):
            connection.sendall(first)
            while True:
                connection.sendall(repeated)

    return reply


class AnswerMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = answer_memory.AnswerMemory(capacity_bytes=10 * _OPEN)
        self.broken_off = []

    def open(self, name=''):
        return self.memory.open(lambda: self.broken_off.append(name))

    def test_the_largest_answer_gives_way(self):
        """Guards against small answers that pay for one without end."""
        large, small = self.open('large'), self.open('small')
        self.assertTrue(large.resize(9 * _OPEN))
        self.assertTrue(small.resize(2 * _OPEN))
        self.assertEqual(['large'], self.broken_off)
        self.assertFalse(large.resize(9 * _OPEN))
        self.assertTrue(small.resize(8 * _OPEN))

    def test_the_largest_answer_is_not_read_on(self):
        large, small = self.open('large'), self.open('small')
        self.assertFalse(large.resize(10 * _OPEN))
        self.assertTrue(small.resize(10 * _OPEN))
        self.assertEqual(['large'], self.broken_off)

    def test_a_complete_answer_stays(self):
        """Guards against answers that are lost when they are whole."""
        whole = self.open('whole')
        self.assertTrue(whole.resize(8 * _OPEN))
        self.assertTrue(whole.complete(9 * _OPEN + 1))
        self.assertFalse(self.memory.has_room())
        self.assertIsNone(self.open())
        whole.release()
        self.assertTrue(self.memory.has_room())
        self.assertIsNotNone(self.open())
        self.assertEqual([], self.broken_off)

    def test_new_calls_do_not_end_those_that_are_as_small(self):
        """Guards against streams that end for each call that comes."""
        opened = [self.open() for _ in range(10)]
        self.assertIsNone(self.open())
        self.assertEqual([], self.broken_off)
        opened[0].release()
        self.assertIsNotNone(self.open())

    def test_a_broken_off_answer_does_not_become_whole(self):
        large, small = self.open(), self.open()
        large.resize(9 * _OPEN)
        small.resize(2 * _OPEN)
        self.assertFalse(large.complete(9 * _OPEN))

    @params('release', 'complete', 'break off')
    def test_all_is_given_back(self, end):
        """Guards against an account that fills up although nothing is held."""
        for _ in range(100):
            large, small = self.open(), self.open()
            large.resize(9 * _OPEN)
            if end == 'complete':
                large.complete(8 * _OPEN)
            if end == 'break off':
                small.resize(2 * _OPEN)
            for each in (large, small):
                each.release()
                each.release()
            self.assertEqual(0, self.memory.held_bytes)


class ExchangeTest(unittest.TestCase):
    """Guards against answers that are held without a bound."""

    def exchange(self, server, memory=None):
        return exchanges.Exchange(
            url=server.url,
            connect_s=TIMEOUT_S,
            read_s=TIMEOUT_S,
            pool=connection_pool.ConnectionPool(),
            memory=memory,
        )

    def read(self, made, *, as_lines=False):
        try:
            made.open()
            answer = made.send('GET', '/', b'', {})
            if as_lines:
                return list(made.lines(answer))
            return made.read(answer, MIB)
        finally:
            made.close()

    @params(*ENDLESS)
    def test_an_answer_without_end_is_given_up(self, name):
        memory = answer_memory.AnswerMemory(capacity_bytes=MIB)
        server = self.enterContext(
            raw_server.serving(without_end(*ENDLESS[name]))
        )
        for as_lines in (False, True):
            with (
                self.subTest(as_lines=as_lines),
                self.assertRaises(engine.EngineError),
            ):
                self.read(self.exchange(server, memory), as_lines=as_lines)
            self.assertEqual(0, memory.held_bytes)

    def test_an_answer_that_is_broken_off_has_not_ended(self):
        """Guards against half a body that passes as a whole one."""
        half = threading.Event()

        def send_half(connection):
            connection.sendall(_HEAD + b'\r\n' + bytes(3 * _OPEN))
            half.set()
            connection.recv(1)

        memory = answer_memory.AnswerMemory(capacity_bytes=5 * _OPEN)
        server = self.enterContext(raw_server.serving(send_half))
        with futures.ThreadPoolExecutor(1) as threads:
            call = threads.submit(self.read, self.exchange(server, memory))
            half.wait(TIMEOUT_S)
            local.wait_until(
                'half of the answer is held',
                lambda: memory.held_bytes >= 3 * _OPEN,
                TIMEOUT_S,
            )
            other = memory.open(lambda: None)
            self.assertTrue(other.resize(3 * _OPEN))
            with self.assertRaises(engine.EngineError) as raised:
                call.result(TIMEOUT_S)
        self.assertIn(answer_memory.FULL, str(raised.exception))
        self.assertIs(verdict.Verdict.MAY_HAVE_RUN, raised.exception.known)

    @params(False, True)
    def test_a_failed_call_frees_what_it_has_read(self, as_lines):
        """Guards against answers that the error of their call keeps alive."""
        server = self.enterContext(
            raw_server.serving(without_end(*ENDLESS['a body']))
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        errors = []
        for _ in range(4):
            try:
                self.read(self.exchange(server), as_lines=as_lines)
            except engine.EngineError as error:
                errors.append(error)
        self.assertEqual(4, len(errors))
        self.assertLess(tracemalloc.get_traced_memory()[0], MIB)

    def test_a_call_without_room_is_not_sent(self):
        memory = answer_memory.AnswerMemory(capacity_bytes=_OPEN - 1)
        server = self.enterContext(
            raw_server.serving(raw_server.answer(b'ok'))
        )
        with self.assertRaises(engine.EngineError) as raised:
            self.read(self.exchange(server, memory))
        self.assertIs(verdict.Verdict.NOT_RUN, raised.exception.known)
        self.assertEqual([], server.calls)


class InstanceTest(unittest.TestCase):
    """Guards against an instance that runs out of memory."""

    def setUp(self):
        folder = tempfile.mkdtemp(prefix='dandeliongw-')
        self.addCleanup(shutil.rmtree, folder)
        self.system = self.enterContext(
            local.run_system(
                folder=pathlib.Path(folder),
                instances=1,
                data_centres=('dc-a',),
                timeouts={'entries_ttl_s': 0.5},
                limits={'answer_memory_bytes': MEMORY_BYTES // 5},
            )
        )
        document = local.example_document()
        self.system.wait_serving(self.system.apply('gw-1', document, 'first'))

    def announce(self, name, server):
        made = announcer.Announcer(
            control_urls=[self.system.instances_by_id['gw-1'].control_url],
            backend_id=name,
            announcement={
                'url': server.url,
                'service': 'studio-portal',
                'role': 'plain',
                'data_centre': 'dc-a',
                'slots': CALLS,
            },
            report=dict,
        )
        made.start()
        self.addCleanup(made.leave)

    def peak_bytes(self):
        process = self.system.instances_by_id['gw-1'].process
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1024
        self.fail('no peak of memory')

    def held_bytes(self):
        instance = self.system.instances_by_id['gw-1']
        page = self.system.http.request(
            'GET',
            f'{instance.control_url}/metrics',
            headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
        )
        line = re.search(
            r'(?m)^dandeliongw_answer_bytes (.*)$', page.data.decode()
        )
        return float(line[1])

    def test_it_stays_in_its_memory(self):
        server = self.enterContext(
            raw_server.serving(without_end(*ENDLESS['a body']))
        )
        self.announce('portal-1', server)
        self.system.wait_backends(1)
        with futures.ThreadPoolExecutor(CALLS) as threads:
            answered = list(
                threads.map(
                    lambda _: self.system.call_as_account(
                        'gw-1', 'GET', LOOKUP
                    )[0],
                    range(CALLS),
                )
            )
        self.assertNotIn(200, answered)
        self.assertLess(self.peak_bytes(), MEMORY_BYTES)
        local.wait_until('all is given back', lambda: not self.held_bytes())
