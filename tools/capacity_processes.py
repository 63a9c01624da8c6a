"""Measures real instances: processor time, memory, bytes between them.

The figures come from /proc and from ``ss``, for processes that this module
starts. Without ``ss``, bytes aren't measured.
"""

import collections
from collections import abc
import dataclasses
import json
import os
import pathlib
import re
import shutil
import statistics
import subprocess
import tempfile
import time

from tools import local

#: Seconds after the start until leases and addresses are stable.
SETTLE_S = 2.0
#: Seconds from one change to the next; far more often than 1,000 a day.
CHANGE_EVERY_S = 0.5
#: Seconds from one renewal to the next.
RENEW_EVERY_S = 0.02
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_PID = re.compile(r'pid=(\d+)')
_COUNTED = re.compile(r'bytes_(?:sent|received):(\d+)')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reading:
    """The resources that one process has used since its start."""

    cpu_s: float
    rss_bytes: int
    peer_bytes: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessUsage:
    """The mean use of resources of an instance.

    :param cpu_us: processor time a second, in microseconds.
    :param peer_bytes: bytes a second sent to and received from peers,
        without TCP and IP headers; ``None`` without ``ss``.
    """

    instances: int
    seconds: float
    changes: int
    cpu_us: float
    rss_bytes: float
    peer_bytes: float | None

    def as_line(self) -> dict[str, object]:
        """Return the fields of its JSON line."""
        return {'processes': self.instances} | {
            name: None if value is None else float(f'{value:.4g}')
            for name, value in dataclasses.asdict(self).items()
            if name != 'instances'
        }


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewalCost:
    """The cost of a backend server's renewal at the receiving instance.

    :param cpu_us: processor time with HTTP, without that of the idle
        instance, in microseconds.
    :param body_bytes: size of the request without HTTP headers.
    """

    renewals: int
    cpu_us: float
    body_bytes: int

    def as_line(self) -> dict[str, object]:
        """Return the fields of its JSON line."""
        line = dataclasses.asdict(self)
        return line | {'cpu_us': float(f'{self.cpu_us:.4g}')}


def measure(
    instances: int, seconds: float
) -> abc.Iterator[ProcessUsage | RenewalCost]:
    """Measure a local system when idle, with renewals and with changes."""
    with (
        tempfile.TemporaryDirectory(prefix='dandeliongw-capacity-') as folder,
        local.run_system(
            folder=pathlib.Path(folder),
            instances=instances,
            timeouts={'entries_ttl_s': 0.2},
        ) as system,
    ):
        document = local.example_document()
        system.wait_serving(system.apply('gw-1', document, 'first'))
        time.sleep(SETTLE_S)
        idle = _measure_usage(system, seconds, changes=0)
        yield idle
        yield _measure_renewals(system, seconds, idle.cpu_us)
        yield _measure_usage(system, seconds, int(seconds / CHANGE_EVERY_S))


def _measure_usage(
    system: local.LocalSystem, seconds: float, changes: int
) -> ProcessUsage:
    processes = [each.process for each in system.instances_by_id.values()]
    ports = {each.peer_port for each in system.instances_by_id.values()}
    pids = [process.pid for process in processes]
    before = _read(pids, ports)
    began = time.monotonic()
    for number in range(changes):
        document = local.example_document()
        document['accounts'][0]['max_in_flight'] = 100 + number
        system.apply('gw-1', document, f'change-{number}')
        _sleep_until(began + (number + 1) * CHANGE_EVERY_S)
    _sleep_until(began + seconds)
    elapsed_s = time.monotonic() - began
    after = _read(pids, ports)
    counted = [
        after[pid].peer_bytes - before[pid].peer_bytes
        for pid in pids
        if after[pid].peer_bytes is not None
    ]
    return ProcessUsage(
        instances=len(pids),
        seconds=elapsed_s,
        changes=changes,
        cpu_us=statistics.fmean(
            (after[pid].cpu_s - before[pid].cpu_s) * 1e6 / elapsed_s
            for pid in pids
        ),
        rss_bytes=statistics.fmean(after[pid].rss_bytes for pid in pids),
        peer_bytes=statistics.fmean(counted) / elapsed_s if counted else None,
    )


def _measure_renewals(
    system: local.LocalSystem, seconds: float, idle_us: float
) -> RenewalCost:
    """Measure repeated renewals of one backend server at one instance."""
    url = system.instances_by_id['gw-1'].control_url
    body = {'backend_id': 'engine-1', 'incarnation': 1, 'sequence': 1}
    announcement = {
        'service': 'dieline-llm',
        'role': 'decode',
        'url': 'http://10.9.9.9:9000',
        'data_centre': system.data_centres[0],
    }
    system.call('POST', f'{url}/v1/backends/announce', body | announcement)
    pid = system.instances_by_id['gw-1'].process.pid
    renewals = int(seconds / RENEW_EVERY_S)
    began, cpu_s = time.monotonic(), _cpu_s(pid)
    for number in range(renewals):
        body = _renewal(number)
        status, answer = system.call('POST', f'{url}/v1/backends/renew', body)
        if status != 200:
            raise RuntimeError(f'a renewal was refused: {answer}')
        _sleep_until(began + (number + 1) * RENEW_EVERY_S)
    elapsed_s = time.monotonic() - began
    spent_us = (_cpu_s(pid) - cpu_s) * 1e6 - idle_us * elapsed_s
    return RenewalCost(
        renewals=renewals,
        cpu_us=spent_us / renewals,
        body_bytes=len(json.dumps(_renewal(0))),
    )


def _renewal(number: int) -> dict[str, object]:
    return {
        'backend_id': 'engine-1',
        'incarnation': 1,
        'sequence': 2 + number,
        'load': {
            'running': 17,
            'waiting': 2,
            'queued_tokens': 9000 + number,
            'slots_used': 17,
            'kv_bytes': 2**34,
        },
        'cache_events': {
            'first': 4 * number,
            'events': [
                {'kind': 'stored', 'prefix': f'{number:08x}{each:08x}'}
                for each in range(4)
            ],
        },
    }


def _sleep_until(deadline: float) -> None:
    time.sleep(max(0.0, deadline - time.monotonic()))


def _read(pids: list[int], ports: set[int]) -> dict[int, Reading]:
    peer_bytes = _peer_bytes(ports)
    return {
        pid: Reading(
            cpu_s=_cpu_s(pid),
            rss_bytes=_rss_bytes(pid),
            peer_bytes=None if peer_bytes is None else peer_bytes[pid],
        )
        for pid in pids
    }


def _cpu_s(pid: int) -> float:
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    # The process name, in parentheses, may contain spaces. utime and stime
    # are the 12th and 13th fields after it.
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _rss_bytes(pid: int) -> int:
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * _PAGE_BYTES


def _peer_bytes(ports: set[int]) -> collections.Counter[int] | None:
    """Return the bytes of each process on connections with these ports.

    :returns: ``None`` without ``ss``.
    """
    if shutil.which('ss') is None:
        return None
    listed = subprocess.run(
        ['ss', '-tinpH', '-O'], capture_output=True, text=True, check=True
    )
    found: collections.Counter[int] = collections.Counter()
    for line in listed.stdout.splitlines():
        endpoints = line.split()[3:5]
        if not any(_port(endpoint) in ports for endpoint in endpoints):
            continue
        total = sum(int(each) for each in _COUNTED.findall(line))
        for pid in _PID.findall(line):
            found[int(pid)] += total
    return found


def _port(endpoint: str) -> int:
    number = endpoint.rpartition(':')[2]
    return int(number) if number.isdigit() else -1
