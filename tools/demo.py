"""Starts a local system, sends requests to it and prints each answer.

The exit code is 0 only if every request got the answer that it should get.
"""

from collections import abc
import dataclasses
import json
import pathlib
import sys
import tempfile

import defopt
import urllib3

from tools import local

PROMPT = (
    'Check the fold and glue notes of carton 4711 against the rules. ' * 20
)
MAX_TOKENS = 12
#: Key of the account that has a rate.
LIMITED_KEY = 'demo-key-of-a-limited-account'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """The outcome of one check.

    :param what: the request, for people.
    :param problem: what was wrong with the answer; empty if nothing.
    """

    what: str
    problem: str


def stream_completion(
    system: local.LocalSystem, instance: local.Instance
) -> Result:
    """Print a completion as it arrives; check that it is complete."""
    what = f'completion through {instance.instance_id}'
    answer = system.http.request(
        'POST',
        f'{instance.callers_url}/v1/completions',
        body=json.dumps(
            {
                'model': 'dieline-llm',
                'prompt': PROMPT,
                'max_tokens': MAX_TOKENS,
                'stream': True,
            }
        ),
        headers={'Authorization': f'Bearer {local.ACCOUNT_KEY}'},
        preload_content=False,
    )
    print(f'{what}: ', end='', flush=True)
    if answer.status != 200:
        problem = answer.data.decode()
        print(problem)
        return Result(what=what, problem=problem)
    tokens, is_complete = _print_events(answer)
    print()
    if not is_complete:
        return Result(what=what, problem='stream ended without [DONE]')
    if len(tokens) != MAX_TOKENS:
        return Result(
            what=what, problem=f'wrong number of tokens: {len(tokens)}'
        )
    return Result(what=what, problem='')


def _print_events(answer: urllib3.BaseHTTPResponse) -> tuple[list[str], bool]:
    tokens = []
    for line in _read_lines(answer):
        data = line.removeprefix('data: ')
        if data == '[DONE]':
            return tokens, True
        if not line.startswith('data: '):
            continue
        text = json.loads(data).get('choices', [{}])[0].get('text', '')
        if text:
            print(text, end='', flush=True)
            tokens.append(text)
    return tokens, False


def _read_lines(answer: urllib3.BaseHTTPResponse) -> abc.Iterator[str]:
    remainder = b''
    while data := answer.read1(65536):
        *complete_lines, remainder = (remainder + data).split(b'\n')
        yield from (line.decode().strip() for line in complete_lines)


def look_up(system: local.LocalSystem, instance_id: str) -> Result:
    """Send a lookup to the plain service."""
    what = f'lookup through {instance_id}'
    status, answer = system.call_as_account(
        instance_id, 'GET', '/services/studio-portal/lookup?job=4711'
    )
    print(f'{what}: {status} {answer}')
    return Result(what=what, problem='' if status == 200 else str(answer))


def book_twice(
    system: local.LocalSystem, instance_id: str, other_id: str
) -> list[Result]:
    """Send a booking, then resend it through another instance."""
    key = {'Idempotency-Key': f'booking-through-{instance_id}'}
    body = {'horse': f'horse of {instance_id}', 'rider': 'Saran'}
    path = '/services/studio-portal/bookings'
    results = []
    answers = []
    for receiver_id in (instance_id, other_id):
        what = f'booking {key["Idempotency-Key"]} through {receiver_id}'
        status, answer = system.call_as_account(
            receiver_id, 'POST', path, body, key
        )
        print(f'{what}: {status} {answer}')
        answers.append(answer)
        results.append(
            Result(what=what, problem='' if status == 200 else str(answer))
        )
    if answers[0] != answers[1]:
        results[-1] = Result(
            what=results[-1].what, problem='the resend got a different answer'
        )
    return results


def exceed_rate_and_lose_key(
    system: local.LocalSystem, instance_id: str, other_id: str
) -> list[Result]:
    """Call over an account's rate, then with a key that was taken away.

    The rate holds at all instances together, so the second call is refused
    although it goes to another instance.
    """
    document = local.example_document()
    limited = {
        'name': 'studio-2',
        'key_sha256': local.sha256(LIMITED_KEY),
        'services': ['studio-portal'],
        'rate': {'per_s': 0.01},
        'priority': 'patient',
    }
    document['accounts'].append(limited)
    results = []
    for number, (what, receiver_id, status) in enumerate(
        (
            ('call within the rate', instance_id, 200),
            ('call over the rate', other_id, 429),
            ('call with a key that was taken away', instance_id, 401),
        )
    ):
        if status == 401:
            document['accounts'].remove(limited)
        if number != 1:
            revision = system.apply(
                instance_id, document, f'demo-account-{number}'
            )
            system.wait_serving(revision)
        results.append(_call_limited(system, receiver_id, what, status))
    return results


def _call_limited(
    system: local.LocalSystem, instance_id: str, what: str, expected: int
) -> Result:
    status, answer = system.call_as_account(
        instance_id,
        'GET',
        '/services/studio-portal/lookup?job=4711',
        headers={'Authorization': f'Bearer {LIMITED_KEY}'},
    )
    print(f'{what}: {status} {answer}')
    problem = '' if status == expected else f'{status}, not {expected}'
    return Result(what=what, problem=problem)


def check_runs(system: local.LocalSystem, bookings: int) -> Result:
    """Compare the plain services' own count of runs with ``bookings``."""
    runs = 0
    for backend_id, stand_in in system.stand_ins_by_id.items():
        if backend_id.startswith('portal'):
            _, answer = system.call('GET', f'{stand_in.url}/runs')
            # Requests without a body are lookups.
            answer['by_body'].pop('', None)
            runs += sum(answer['by_body'].values())
    print(f'bookings that ran: {runs} of {bookings}')
    problem = '' if runs == bookings else f'{runs} runs'
    return Result(what='each booking ran once', problem=problem)


def run_demo(system: local.LocalSystem) -> bool:
    """Send all requests.

    :returns: whether each request got one complete answer.
    """
    revision = system.apply('gw-1', local.example_document(), 'demo-change')
    system.wait_serving(revision)
    local.start_stand_ins(system)
    system.wait_backends(len(system.stand_ins_by_id))
    ids = list(system.instances_by_id)
    results = []
    for index, instance_id in enumerate(ids):
        other_id = ids[(index + 1) % len(ids)]
        instance = system.instances_by_id[instance_id]
        results.append(stream_completion(system, instance))
        results.append(look_up(system, instance_id))
        results.extend(book_twice(system, instance_id, other_id))
    results.extend(exceed_rate_and_lose_key(system, ids[0], ids[1]))
    runs_check = check_runs(system, len(ids))
    return report(results, runs_check)


def report(results: list[Result], runs_check: Result) -> bool:
    """Print the problems, then the number of answers as the last line."""
    answered = sum(not result.problem for result in results)
    for result in (*results, runs_check):
        if result.problem:
            print(f'failed: {result.what}: {result.problem}')
    print(f'answered: {answered} of {len(results)}')
    return answered == len(results) and not runs_check.problem


def main(*, command: str = '') -> None:
    """Run the demo.

    :param command: a built ``dandeliongw`` file to run in place of the
        package, for example ``dist/dandeliongw``.
    """
    with tempfile.TemporaryDirectory(prefix='dandeliongw-') as folder:
        options = {'command': (command,)} if command else {}
        with local.run_system(
            folder=pathlib.Path(folder),
            timeouts={'entries_ttl_s': 2},
            **options,
        ) as system:
            is_ok = run_demo(system)
    sys.stdout.flush()
    sys.exit(0 if is_ok else 1)


if __name__ == '__main__':
    defopt.run(main)
