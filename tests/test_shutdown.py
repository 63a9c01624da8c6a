"""Graceful shutdown of real processes, while they serve requests."""

from concurrent import futures
import contextlib
import http.client
import itertools
import json
import pathlib
import shutil
import signal
import tempfile
import unittest

from dandeliongw import exceptions
from tools import local

LOOKUP = '/services/studio-portal/lookup'
BOOKINGS = '/services/studio-portal/bookings'
CALLERS = 8
TOKENS = 40
#: Makes a stream last longer than the time to live of the list of entries.
SLOW = ('--step-s=0.05', '--prefill-tokens-per-s=1e6')


class Stream:
    """A streamed completion."""

    def __init__(self, instance, tokens=TOKENS):
        self._connection = http.client.HTTPConnection(
            local.HOST, instance.callers_port, timeout=local.WAIT_TIMEOUT_S
        )
        body = {
            'model': 'dieline-llm',
            'prompt': 'fold the carton',
            'max_tokens': tokens,
            'stream': True,
        }
        self._connection.request(
            'POST',
            '/v1/completions',
            json.dumps(body),
            {'Authorization': f'Bearer {local.ACCOUNT_KEY}'},
        )
        self.response = self._connection.getresponse()

    def events(self):
        """Return the texts of the stream, then its other lines."""
        texts, others = [], []
        for line in self.response:
            data = line.decode().strip().removeprefix('data: ')
            if data.startswith('{"id"'):
                texts.append(json.loads(data)['choices'][0]['text'])
            elif data:
                others.append(data)
        return [each for each in texts if each], others


class ShutdownTest(unittest.TestCase):
    """Uses a single instance, which is owner of the cells and only voter."""

    def start(self, **timeouts):
        folder = tempfile.mkdtemp(prefix='dandeliongw-')
        self.addCleanup(shutil.rmtree, folder)
        system = self.enterContext(
            local.run_system(
                folder=pathlib.Path(folder),
                instances=1,
                timeouts={'entries_ttl_s': 0.5, **timeouts},
                data_centres=('dc-a',),
            )
        )
        revision = system.apply('gw-1', local.example_document(), 'first')
        system.wait_serving(revision)
        for role in ('prefill', 'decode'):
            system.start_stand_in(
                'standin_engine',
                f'{role}-1',
                *('--role', role, '--service', 'dieline-llm'),
                *('--data-centre', 'dc-a', *SLOW),
            )
        system.start_stand_in(
            'standin_service',
            'portal-1',
            *('--service', 'studio-portal', '--data-centre', 'dc-a'),
        )
        system.wait_backends(3)
        self.system = system
        self.instance = system.instances_by_id['gw-1']
        return system

    def exit_code(self):
        return self.instance.process.wait(local.WAIT_TIMEOUT_S)

    def test_nothing_in_flight_is_interrupted(self):
        """Guards against answers truncated by a deployment.

        During a long stream, and with a persistent connection open, the
        process gets SIGTERM twice. The connection sends another request, and
        the time to live passes. Neither signal may end the process at once.
        """
        self.start()
        kept = http.client.HTTPConnection(
            local.HOST,
            self.instance.callers_port,
            timeout=local.WAIT_TIMEOUT_S,
        )
        headers = {'Authorization': f'Bearer {local.ACCOUNT_KEY}'}
        kept.request('GET', LOOKUP, headers=headers)
        self.assertEqual(_read(kept).status, 200)
        stream = Stream(self.instance)
        for _ in range(2):
            self.instance.process.send_signal(signal.SIGTERM)
        local.wait_until('the shutdown has begun', self.has_begun)
        kept.request('GET', LOOKUP, headers=headers)
        answer = _read(kept)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers['Connection'], 'close')
        local.wait_until('new calls are refused', self.is_refusing)
        texts, others = stream.events()
        self.assertEqual((len(texts), others), (TOKENS, ['[DONE]']))
        self.assertEqual(self.exit_code(), 0)

    def has_begun(self):
        return 'shutdown begins' in self.instance.log_file.read_text()

    def is_refusing(self):
        status, answer = self.system.call_as_account('gw-1', 'GET', LOOKUP)
        if status == 200:
            return False
        error = answer['error']
        self.assertEqual((status, error['reason']), (503, 'draining'))
        self.assertEqual(error['verdict'], 'not_run')
        self.assertIsNotNone(error['retry_after_s'])
        return True

    def test_calls_late_in_the_grace_are_answered(self):
        """Guards against calls that are taken and cut off at its end.

        Callers send calls that may not be repeated, each of which takes a
        while, over open connections until the process is gone.
        """
        system = self.start(shutdown_s=6.0)
        portal = system.stand_ins_by_id['portal-1']
        system.call('POST', f'{portal.url}/faults', {'delay_s': 0.5})
        with futures.ThreadPoolExecutor(CALLERS) as threads:
            callers = [
                threads.submit(self.book_until_it_is_gone, number)
                for number in range(CALLERS)
            ]
            local.wait_until('calls are served', lambda: self.runs() >= 3)
            self.instance.process.send_signal(signal.SIGTERM)
            self.assertEqual(self.exit_code(), 0)
            statuses = [each for caller in callers for each in caller.result()]
        self.assertEqual({200, 503}, set(statuses))
        self.assertEqual(self.runs(), statuses.count(200))

    def book_until_it_is_gone(self, number):
        """Return the statuses of all calls that the process has taken."""
        statuses = []
        for call in itertools.count():
            connection = http.client.HTTPConnection(
                local.HOST,
                self.instance.callers_port,
                timeout=local.WAIT_TIMEOUT_S,
            )
            with contextlib.closing(connection):
                try:
                    answer = self.book(connection, f'{number} {call}')
                except OSError:
                    # Refused, or never accepted: it was sent as the listening
                    # socket was closed. If it has run, the counts differ.
                    return statuses
                statuses.append(answer.status)
                while answer.headers['Connection'] != 'close':
                    answer = self.book(connection, f'{number} {call}')
                    statuses.append(answer.status)

    def book(self, connection, horse):
        connection.request(
            'POST',
            BOOKINGS,
            json.dumps({'horse': horse}),
            {'Authorization': f'Bearer {local.ACCOUNT_KEY}'},
        )
        return _read(connection)

    def runs(self):
        portal = self.system.stand_ins_by_id['portal-1']
        _, answer = self.system.call('GET', f'{portal.url}/runs')
        return sum(answer['by_body'].values())

    def test_a_shutdown_ends_when_its_time_is_over(self):
        """Guards against a shutdown that waits for one caller forever.

        The process gets SIGTERM during a stream that lasts longer than
        ``shutdown_s``.
        """
        self.start(shutdown_s=0.3)
        stream = Stream(self.instance, tokens=2000)
        self.instance.process.send_signal(signal.SIGTERM)
        texts, others = stream.events()
        self.assertGreater(len(texts), 0)
        self.assertNotIn('[DONE]', others)
        error = json.loads(others[-1])['error']
        self.assertEqual(error['reason'], 'draining')
        self.assertEqual(error['verdict'], 'may_have_run')
        self.assertEqual(self.exit_code(), exceptions.ExitCode.CUT_OFF)
        self.assertIn('cuts off', self.instance.log_file.read_text())
        decode = self.system.stand_ins_by_id['decode-1']
        local.wait_until(
            'the engine holds nothing',
            lambda: (
                self.system.call('GET', f'{decode.url}/v1/streams')[1]
                == {'streams': []}
            ),
        )


def _read(connection):
    answer = connection.getresponse()
    answer.read()
    return answer
