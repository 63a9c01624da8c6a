"""Starts one local system, sends real requests, prints each answer.

Exit code 0 only if every request was answered whole and once.
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """:param problem: what was wrong with the answer; empty if nothing."""

    what: str
    problem: str


def stream_completion(
    system: local.LocalSystem, instance: local.Instance
) -> Result:
    """Print a completion as it arrives; check that it is whole."""
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
    texts, is_whole = _print_events(answer)
    print()
    if not is_whole:
        return Result(what=what, problem='no end mark')
    if len(texts) != MAX_TOKENS:
        return Result(what=what, problem=f'{len(texts)} tokens')
    return Result(what=what, problem='')


def _print_events(answer: urllib3.BaseHTTPResponse) -> tuple[list[str], bool]:
    texts = []
    for line in _lines(answer):
        data = line.removeprefix('data: ')
        if data == '[DONE]':
            return texts, True
        if not line.startswith('data: '):
            continue
        text = json.loads(data).get('choices', [{}])[0].get('text', '')
        if text:
            print(text, end='', flush=True)
            texts.append(text)
    return texts, False


def _lines(answer: urllib3.BaseHTTPResponse) -> abc.Iterator[str]:
    rest = b''
    while data := answer.read1(65536):
        *whole, rest = (rest + data).split(b'\n')
        yield from (line.decode().strip() for line in whole)


def look_up(system: local.LocalSystem, instance_id: str) -> Result:
    """Send a lookup to the plain service."""
    what = f'lookup through {instance_id}'
    status, answer = system.caller(
        instance_id, 'GET', '/services/studio-portal/lookup?job=4711'
    )
    print(f'{what}: {status} {answer}')
    return Result(what=what, problem='' if status == 200 else str(answer))


def book_twice(
    system: local.LocalSystem, instance_id: str, other_id: str
) -> list[Result]:
    """Send a booking and send it again, through another instance."""
    key = {'Idempotency-Key': f'booking-through-{instance_id}'}
    body = {'horse': f'horse of {instance_id}', 'rider': 'Saran'}
    path = '/services/studio-portal/bookings'
    results = []
    answers = []
    for through in (instance_id, other_id):
        what = f'booking {key["Idempotency-Key"]} through {through}'
        status, answer = system.caller(through, 'POST', path, body, key)
        print(f'{what}: {status} {answer}')
        answers.append(answer)
        results.append(
            Result(what=what, problem='' if status == 200 else str(answer))
        )
    if answers[0] != answers[1]:
        results[-1] = Result(
            what=results[-1].what, problem='the resend got another answer'
        )
    return results


def check_runs(system: local.LocalSystem, bookings: int) -> Result:
    """Ask the plain services themselves how often bookings ran."""
    runs = 0
    for backend_id, stand_in in system.stand_ins_by_id.items():
        if backend_id.startswith('portal'):
            _, answer = system.call('GET', f'{stand_in.url}/runs')
            # Lookups have no body.
            answer['by_body'].pop('', None)
            runs += sum(answer['by_body'].values())
    print(f'bookings that ran: {runs} of {bookings}')
    problem = '' if runs == bookings else f'{runs} ran'
    return Result(what='each booking ran once', problem=problem)


def show(system: local.LocalSystem) -> bool:
    """Send everything; return whether all was answered whole and once."""
    revision = system.apply('gw-1', local.example_document(), 'demo-change')
    system.wait_serving(revision)
    local.start_stand_ins(system)
    system.wait_backends(len(system.stand_ins_by_id))
    ids = list(system.instances_by_id)
    results = []
    for place, instance_id in enumerate(ids):
        other_id = ids[(place + 1) % len(ids)]
        instance = system.instances_by_id[instance_id]
        results.append(stream_completion(system, instance))
        results.append(look_up(system, instance_id))
        results.extend(book_twice(system, instance_id, other_id))
    once = check_runs(system, len(ids))
    return report(results, once)


def report(results: list[Result], once: Result) -> bool:
    """Print the summary; its last line counts the answers."""
    answered = sum(not result.problem for result in results)
    for result in (*results, once):
        if result.problem:
            print(f'not as it should be: {result.what}: {result.problem}')
    print(f'answered: {answered} of {len(results)}')
    return answered == len(results) and not once.problem


def main(*, command: str = '') -> None:
    """Run the demo.

    :param command: a built ``dandeliongw`` file to run in place of the
        package, for example ``dist/dandeliongw``.
    """
    with tempfile.TemporaryDirectory(prefix='dandeliongw-') as folder:
        options = {'command': (command,)} if command else {}
        with local.running(
            folder=pathlib.Path(folder),
            timeouts={'entries_ttl_s': 2},
            **options,
        ) as system:
            is_good = show(system)
    sys.stdout.flush()
    sys.exit(0 if is_good else 1)


if __name__ == '__main__':
    defopt.run(main)
