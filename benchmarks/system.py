"""Measures real processes on one machine; prints JSON lines.

* ``call``: latency of plain calls without and with a claim, one caller.
* ``change``: time from sending a change until all instances confirmed it.
* ``failover``: time from killing a cell's owner to the next answered call.
* ``idle``: share of a core that an idle instance uses.

It measures real time on a shared machine, so it isn't suitable as a test.
"""

from collections import abc
import json
import pathlib
import statistics
import tempfile
import time
import typing

import defopt

from tools import local

CALLS = 300
CHANGES = 20
LOOKUP = '/services/studio-portal/lookup'
BOOKINGS = '/services/studio-portal/bookings'


def percentiles(seconds: list[float]) -> dict[str, float]:
    """Return the 50th and 95th percentile in milliseconds."""
    ordered = sorted(seconds)
    return {
        'p50_ms': round(statistics.median(ordered) * 1000, 2),
        'p95_ms': round(ordered[int(len(ordered) * 0.95)] * 1000, 2),
    }


def timed(work: abc.Callable[[], tuple[int, typing.Any]]) -> float:
    began = time.perf_counter()
    status, answer = work()
    if status != 200:
        raise RuntimeError(f'{status}: {answer}')
    return time.perf_counter() - began


def measure_calls(system: local.LocalSystem) -> None:
    """Measure lookups, bookings without a claim and bookings with one."""
    for kind in ('lookup', 'unclaimed', 'claimed'):
        seconds = []
        for number in range(CALLS):
            headers = {}
            if kind == 'claimed':
                headers['Idempotency-Key'] = f'measure-{number}'
            method = 'GET' if kind == 'lookup' else 'POST'
            path = LOOKUP if kind == 'lookup' else BOOKINGS
            seconds.append(
                timed(
                    lambda method=method, path=path, headers=headers: (
                        system.call_as_account(
                            'gw-1', method, path, {}, headers
                        )
                    )
                )
            )
        show(measure='call', kind=kind, calls=CALLS, **percentiles(seconds))


def measure_changes(system: local.LocalSystem) -> None:
    """Measure the time until every instance has confirmed a change."""
    seconds = []
    document = local.example_document()
    for number in range(CHANGES):
        document['services'][0]['first_token_s'] = 2.0 + number / 1000
        document['accounts'][0]['requests_per_s'] = 100_000
        began = time.perf_counter()
        revision = system.apply('gw-1', document, f'measure-{number}')
        while not is_in_force(system, revision):
            time.sleep(0.002)
        seconds.append(time.perf_counter() - began)
    show(
        measure='change',
        instances=len(system.instances_by_id),
        changes=CHANGES,
        **percentiles(seconds),
    )


def is_in_force(system: local.LocalSystem, revision: int) -> bool:
    _, answer = system.call_as_operator('gw-1', 'GET', '/v1/status')
    in_force = answer['in_force']
    return in_force['revision'] == revision and (
        in_force['confirmed']
        == in_force['instances']
        == len(system.instances_by_id)
    )


def measure_failover(system: local.LocalSystem) -> None:
    """Kill the owner of the portal's cell; measure the time to an answer."""
    owner = next(
        instance_id
        for instance_id in system.instances_by_id
        if any(
            'studio-portal' in lease['name']
            for lease in system.call_as_operator(
                instance_id, 'GET', '/v1/status'
            )[1]['leases']
        )
    )
    other = next(each for each in system.instances_by_id if each != owner)
    system.kill(system.instances_by_id[owner].process)
    began = time.perf_counter()
    while system.call_as_account(other, 'GET', LOOKUP)[0] != 200:
        time.sleep(0.01)
    seconds = time.perf_counter() - began
    show(measure='failover', seconds=round(seconds, 2))


def measure_idle(system: local.LocalSystem, seconds: float) -> None:
    """Measure the processor time of idle instances for ``seconds``."""
    processes = [each.process for each in system.instances_by_id.values()]
    before = [processor_s(process.pid) for process in processes]
    time.sleep(seconds)
    shares = [
        (processor_s(process.pid) - began) / seconds
        for process, began in zip(processes, before)
    ]
    show(
        measure='idle',
        instances=len(processes),
        core_share=round(statistics.mean(shares), 4),
        rss_mb=round(max(map(rss_mb, processes)), 1),
    )


def processor_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / 100


def rss_mb(process: typing.Any) -> float:
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    line = next(each for each in status.splitlines() if 'VmRSS' in each)
    return int(line.split()[1]) / 1024


def show(**fields: typing.Any) -> None:
    print(json.dumps(fields), flush=True)


def main(*, sizes: list[int] | None = None, idle_s: float = 10.0) -> None:
    """Measure real systems.

    :param sizes: numbers of instances; 3, 5 and 9 by default.
    :param idle_s: duration of the idle measurement, in seconds.
    """
    for size in sizes or [3, 5, 9]:
        with tempfile.TemporaryDirectory(prefix='dandeliongw-') as folder:
            with local.run_system(
                folder=pathlib.Path(folder),
                instances=size,
                timeouts={'entries_ttl_s': 0.5},
            ) as system:
                measure_idle(system, idle_s)
                measure_changes(system)
                if size == 3:
                    system.start_stand_in(
                        'standin_service',
                        'portal-1',
                        *('--service', 'studio-portal'),
                        *('--data-centre', 'dc-a'),
                    )
                    system.wait_backends(1)
                    measure_calls(system)
                    measure_failover(system)


if __name__ == '__main__':
    defopt.run(main)
