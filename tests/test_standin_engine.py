"""The stand-ins implement the HTTP contract of docs/ARCHITECTURE.md."""

import contextlib
import json
import queue
import signal
import subprocess
import sys
import threading
import unittest

from nose2.tools import params
import urllib3

from tools import engine_model
from tools import json_server

PROMPT = 'fold the carton along the score'
FAST = (
    '--step-s=0.001',
    '--step-per-stream-s=0',
    '--prefill-tokens-per-s=1e6',
    '--kv-ttl-s=30',
)


@contextlib.contextmanager
def process(module: str, *options: str):
    """Run a stand-in; yield its URL and process."""
    running = subprocess.Popen(
        [sys.executable, '-m', f'tools.{module}', *options],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        ready = json.loads(running.stdout.readline())
        yield ready['url'], running
    finally:
        running.kill()
        running.wait()
        running.stdout.close()


@contextlib.contextmanager
def engine_pair(*decode_options: str):
    with process(
        'standin_engine', '--backend-id=p1', '--role=prefill', *FAST
    ) as (prefill_url, _):
        with process(
            'standin_engine', '--backend-id=d1', *FAST, *decode_options
        ) as (decode_url, _):
            yield prefill_url, decode_url


def post(url: str, body: dict, **options):
    return urllib3.request('POST', url, json=body, retries=False, **options)


def ids(**more) -> dict:
    return {'stream_id': 's1', 'attempt_id': 'a1', 'fence': 1} | more


def prefill_and_import(prefill_url: str, decode_url: str):
    done = post(f'{prefill_url}/v1/prefill', ids(prompt=PROMPT)).json()
    body = ids(kv=done['kv'], source_url=prefill_url)
    return post(f'{decode_url}/v1/import', body)


def decode(decode_url: str, tokens: int, from_offset: int = 0) -> list:
    body = ids(max_tokens=tokens, from_offset=from_offset)
    response = post(f'{decode_url}/v1/decode', body, preload_content=False)
    pieces = []
    with contextlib.suppress(urllib3.exceptions.ProtocolError):
        for line in response:
            if line.startswith(b'data: '):
                pieces.append(json.loads(line[6:]))
    response.close()
    return pieces


def text_of(pieces: list) -> str:
    return ''.join(piece.get('text', '') for piece in pieces)


class EngineTest(unittest.TestCase):
    def test_an_engine_pair_gives_a_complete_answer(self):
        with engine_pair() as (prefill_url, decode_url):
            self.assertEqual(
                200, prefill_and_import(prefill_url, decode_url).status
            )
            pieces = decode(decode_url, 5)
            streams = urllib3.request('GET', f'{decode_url}/v1/streams')
        answer = engine_model.expected_answer(PROMPT, 5)
        self.assertEqual(answer, text_of(pieces))
        self.assertEqual(
            {'attempt_id': 'a1', 'end': True, 'tokens': 5}, pieces[-1]
        )
        self.assertEqual([], streams.json()['streams'])

    @params('cut_after_tokens', 'truncate_after_tokens')
    def test_a_broken_stream_resumes_at_the_first_missing_token(self, fault):
        faults = f'--faults={{"{fault}": 2}}'
        with engine_pair(faults) as (prefill_url, decode_url):
            prefill_and_import(prefill_url, decode_url)
            first = decode(decode_url, 5)
            rest = decode(decode_url, 5, from_offset=len(first))
        self.assertEqual(2, len(first))
        answer = engine_model.expected_answer(PROMPT, 5)
        self.assertEqual(answer, text_of(first + rest))

    def test_a_stalled_stream_resumes_over_a_new_connection(self):
        """The engine sends no more tokens but keeps the connection open."""
        with engine_pair('--faults={"stall_after_tokens": 2}') as urls:
            prefill_and_import(*urls)
            body = ids(max_tokens=5, from_offset=0)
            stalled = post(f'{urls[1]}/v1/decode', body, preload_content=False)
            lines = [next(stalled) for _ in range(3)]
            rest = decode(urls[1], 5, from_offset=2)
            stalled.close()
        first = [json.loads(line[6:]) for line in lines if line.strip()]
        answer = engine_model.expected_answer(PROMPT, 5)
        self.assertEqual(answer, text_of(first + rest))
        self.assertEqual(
            {'attempt_id': 'a1', 'end': True, 'tokens': 5}, rest[-1]
        )

    def test_faults_send_old_attempt_ids_and_duplicate_pieces(self):
        faults = {'old_attempt_id': True, 'duplicate_pieces': True}
        with engine_pair(f'--faults={json.dumps(faults)}') as urls:
            prefill_and_import(*urls)
            pieces = decode(urls[1], 2)[:-1]
        self.assertEqual([0, 0, 1, 1], [each['offset'] for each in pieces])
        self.assertNotIn('a1', {each['attempt_id'] for each in pieces})

    def test_refusals_of_an_import_and_an_old_fence_carry_the_reason(self):
        with engine_pair('--faults={"refuse_imports": true}') as urls:
            answer = prefill_and_import(*urls)
            self.assertEqual({'reason': 'full'}, answer.json())
            order = {'order': 'load', 'value': 'm2'}
            post(f'{urls[1]}/v1/order', order | {'fence': 5})
            answer = post(f'{urls[1]}/v1/order', order | {'fence': 4})
            self.assertEqual({'reason': 'fenced'}, answer.json())

    def test_a_stalled_transfer_frees_the_slot(self):
        with engine_pair('--import-timeout-s=0.1') as urls:
            post(f'{urls[0]}/faults', {'stall_transfer': True})
            answer = prefill_and_import(*urls)
            self.assertEqual({'reason': 'stalled'}, answer.json())
            state = urllib3.request('GET', f'{urls[1]}/state').json()
            self.assertEqual(0, state['load']['slots_used'])

    def test_a_cancel_frees_what_the_attempt_holds(self):
        with engine_pair() as urls:
            prefill_and_import(*urls)
            states = [
                post(f'{urls[1]}/v1/cancel', ids()).json()['state']
                for _ in range(2)
            ]
        self.assertEqual(['cancelled', 'unknown'], states)

    def test_it_announces_and_renews_and_leaves_on_sigterm(self):
        calls: queue.Queue = queue.Queue()

        def record(request: json_server.Request) -> json_server.Answer:
            calls.put((request.path.rpartition('/')[2], request.json()))
            body = {'lease_s': 1, 'renew_s': 0.05}
            return json_server.Answer(body=body)

        control = json_server.JsonServer(
            host='127.0.0.1', port=0, handlers={}, otherwise=record, threads=2
        )
        control.start()
        self.addCleanup(control.stop)
        url = f'--control-urls=http://127.0.0.1:{control.port}'
        options = ('--backend-id=d1', '--data-centre=waco-hall', url)
        with process('standin_engine', *options) as (_, running):
            first, second = calls.get(timeout=30), calls.get(timeout=30)
            running.send_signal(signal.SIGTERM)
            self.assertEqual(0, running.wait(timeout=30))
        operations = [first[0], second[0]]
        self.assertEqual(['announce', 'renew'], operations)
        self.assertEqual('waco-hall', first[1]['data_centre'])
        last = first
        while not calls.empty():
            last = calls.get()
        self.assertEqual('leave', last[0])
        self.assertGreater(last[1]['sequence'], second[1]['sequence'])


class ServiceTest(unittest.TestCase):
    def test_runs_are_counted_even_when_the_answer_is_lost(self):
        with process('standin_service', '--backend-id=b1') as (url, _):
            headers = {'X-Request-Id': 'r1'}
            post(f'{url}/bookings', {'horse': 1}, headers=headers)
            post(f'{url}/faults', {'cut_after_run': True})
            with self.assertRaises(urllib3.exceptions.HTTPError):
                post(f'{url}/bookings', {'horse': 1}, headers=headers)
            runs = urllib3.request('GET', f'{url}/runs').json()
        self.assertEqual({'r1': 2}, runs['by_request'])

    def test_concurrent_callers_get_their_own_answers(self):
        answers = {}
        pool = urllib3.PoolManager(maxsize=8)

        def call(name: str, url: str) -> None:
            response = pool.request('GET', f'{url}/lookup?name={name}')
            answers[name] = response.json()['query']['name']

        with process('standin_service', '--backend-id=b1') as (url, _):
            threads = [
                threading.Thread(target=call, args=(str(name), url))
                for name in range(8)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        self.assertEqual({str(n): str(n) for n in range(8)}, answers)
