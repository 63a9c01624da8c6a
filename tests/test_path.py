"""Requests through real processes, some of which are killed meanwhile."""

import concurrent.futures
import http.client
import json
import pathlib
import shutil
import tempfile
import unittest

from tools import engine_model
from tools import local

BOOKINGS = '/services/studio-portal/bookings'
PROMPT = 'fold the carton'
TOKENS = 30
SLOW = ('--step-s=0.03', '--prefill-tokens-per-s=1e6')


def started(test, stand_ins):
    """Start a system of three instances; the test's cleanup stops it."""
    folder = tempfile.mkdtemp(prefix='dandeliongw-')
    test.addCleanup(shutil.rmtree, folder)
    system = test.enterContext(
        local.run_system(
            folder=pathlib.Path(folder), timeouts={'entries_ttl_s': 0.5}
        )
    )
    document = local.example_document()
    document['services'][1]['timeout_s'] = 8
    revision = system.apply('gw-1', document, 'first')
    system.wait_serving(revision)
    for module, backend_id, *options in stand_ins:
        system.start_stand_in(
            module, backend_id, *options, '--data-centre', 'dc-a'
        )
    system.wait_backends(len(stand_ins))
    return system


def engine(role, number):
    return (
        'standin_engine',
        f'{role}-{number}',
        *('--role', role, '--service', 'dieline-llm'),
        *SLOW,
    )


PORTAL = ('standin_service', 'portal-1', '--service', 'studio-portal')


def book(system, instance_id, key):
    return system.call_as_account(
        instance_id,
        'POST',
        BOOKINGS,
        {'horse': key},
        {'Idempotency-Key': key},
    )


def complete(system, instance_id, on_token=lambda number: None):
    """Stream a completion; return its text and whether it has an end mark."""
    instance = system.instances_by_id[instance_id]
    connection = http.client.HTTPConnection(
        local.HOST, instance.callers_port, timeout=local.WAIT_TIMEOUT_S
    )
    fields = {
        'model': 'dieline-llm',
        'prompt': PROMPT,
        'max_tokens': TOKENS,
        'stream': True,
    }
    headers = {'Authorization': f'Bearer {local.ACCOUNT_KEY}'}
    connection.request('POST', '/v1/completions', json.dumps(fields), headers)
    tokens = []
    for line in connection.getresponse():
        data = line.decode().strip().removeprefix('data: ')
        if data == '[DONE]':
            return tokens, True
        if data.startswith('{"id"'):
            text = json.loads(data)['choices'][0]['text']
            if text:
                tokens.append(text)
                on_token(len(tokens))
    return tokens, False


class PathTest(unittest.TestCase):
    def test_every_instance_serves_calls_and_replays_outcomes(self):
        system = started(
            self, [engine('prefill', 1), engine('decode', 1), PORTAL]
        )
        instance_ids = list(system.instances_by_id)
        for instance_id in instance_ids:
            tokens, is_complete = complete(system, instance_id)
            self.assertTrue(is_complete)
            expected = engine_model.expected_answer(PROMPT, TOKENS)
            self.assertEqual(''.join(tokens), expected)
            answers = [
                book(system, each, instance_id) for each in instance_ids
            ]
            self.assertEqual([status for status, _ in answers], [200] * 3)
            self.assertEqual(answers[1:], answers[:1] * 2)
        self.assertEqual(set(runs(system).values()), {1})

    def test_a_stream_outlives_its_decode_engine(self):
        """Guards against a truncated answer when the decode engine dies.

        The engine is killed during the stream; another one must continue after
        the tokens that the caller has received. The stream stalls after the
        token at which it is killed, so that a busy machine can't end it first.
        """
        system = started(
            self,
            [engine('prefill', 1), engine('decode', 1), engine('decode', 2)],
        )

        engines = [
            stand_in
            for backend_id, stand_in in system.stand_ins_by_id.items()
            if backend_id.startswith('decode')
        ]
        for each in engines:
            _stall(system, each, after_tokens=12)

        def kill(number):
            if number != 10:
                return
            # Found before one is killed: the stream moves to the other then.
            (holder,) = [each for each in engines if _streams(system, each)]
            for each in engines:
                if each is not holder:
                    _stall(system, each, after_tokens=-1)
            system.kill(holder.process)

        tokens, is_complete = complete(system, 'gw-2', kill)
        self.assertTrue(is_complete)
        self.assertEqual(len(tokens), TOKENS)
        received = next(
            number
            for number in range(1, TOKENS)
            if tokens[number].startswith('tok0-')
        )
        head = ''.join(tokens[:received])
        self.assertEqual(head, engine_model.expected_answer(PROMPT, received))
        rest = engine_model.expected_answer(PROMPT + head, TOKENS - received)
        self.assertEqual(''.join(tokens[received:]), rest)

    def test_a_booking_outlives_its_entry_and_runs_once(self):
        """Guards against a booking that runs twice.

        While a booking runs, its entry is killed; the caller sends it again
        through another entry, which must find the claim of the first send.
        """
        system = started(self, [PORTAL])
        portal = system.stand_ins_by_id['portal-1']
        local.wait_until(
            'bookings are served',
            lambda: book(system, 'gw-1', 'warm-up')[0] == 200,
        )
        system.call('POST', f'{portal.url}/faults', {'delay_after_s': 10})
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(book, system, 'gw-1', 'once')
            local.wait_until('it runs', lambda: _ran(system, 'once'))
            system.kill(system.instances_by_id['gw-1'].process)
            self.assertEqual(first.result(local.WAIT_TIMEOUT_S)[0], 0)
        status, answer = book(system, 'gw-2', 'once')
        error = answer['error']
        self.assertEqual((status, error['reason']), (409, 'in_progress'))
        self.assertEqual(error['verdict'], 'may_have_run')
        self.assertGreater(error['retry_after_s'], 0)
        error = local.wait_until(
            'its time is over', lambda: self.unknown(system)
        )
        self.assertEqual(error['verdict'], 'may_have_run')
        self.assertEqual(_ran(system, 'once'), 1)

    def unknown(self, system):
        error = book(system, 'gw-3', 'once')[1]['error']
        return error if error['reason'] == 'outcome_unknown' else None


def runs(system):
    portal = system.stand_ins_by_id['portal-1']
    _, answer = system.call('GET', f'{portal.url}/runs')
    return answer['by_body']


def _ran(system, key):
    return sum(
        count for body, count in runs(system).items() if f'"{key}"' in body
    )


def _streams(system, stand_in):
    return system.call('GET', f'{stand_in.url}/v1/streams')[1]['streams']


def _stall(system, stand_in, *, after_tokens):
    fault = {'stall_after_tokens': after_tokens}
    status, _ = system.call('POST', f'{stand_in.url}/faults', fault)
    assert status == 200, status
