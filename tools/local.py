"""One local system: instances, stand-in engines and plain services.

For the demo, for tests with real processes and for measurements. Every
process is started here and ended here, by its own handle.
"""

from collections import abc
import contextlib
import dataclasses
import hashlib
import json
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time
import typing

import urllib3

from dandeliongw import exceptions

HOST = '127.0.0.1'
OPERATOR_TOKEN = 'demo-operator-token'
ACCOUNT_KEY = 'demo-account-key'
#: Longest wait for any condition; a slow machine only makes it be used.
PATIENCE_S = 60.0
POLL_S = 0.05
STOP_S = 40.0
#: Instances that tell the others who there is, and vote first.
SEEDS = 3
#: Starts of a system before a port that is taken each time is told.
MOST_STARTS = 5
#: Lines of an instance's log in the message that it ended.
SHOWN_LINES = 10


def sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def free_ports(count: int) -> list[int]:
    """Return different ports that are free just now.

    All are held until the last one is found: the system may choose a port
    again as soon as it is let go.
    """
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


class InstanceEnded(Exception):
    """An instance's process ended by itself.

    :param code: its exit code; negative for the signal that ended it.
    :param log_file: its last lines are shown.
    """

    def __init__(
        self, *, instance_id: str, code: int, log_file: pathlib.Path
    ) -> None:
        lines = log_file.read_text(errors='replace').splitlines()
        shown = '\n'.join(lines[-SHOWN_LINES:])
        super().__init__(
            f'{instance_id} ended with exit code {code}; the last lines of '
            f'{log_file}:\n{shown}'
        )
        self.code = code


def wait_until(
    what: str, check: abc.Callable[[], typing.Any], patience_s: float = 0.0
) -> typing.Any:
    """Return what ``check`` returns once it is true.

    :raises TimeoutError: naming ``what`` when it never is.
    """
    ends_at = time.monotonic() + (patience_s or PATIENCE_S)
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() >= ends_at:
            raise TimeoutError(f'waited in vain for: {what}')
        time.sleep(POLL_S)


@dataclasses.dataclass(kw_only=True)
class Instance:
    """One instance of the program and where it listens."""

    instance_id: str
    data_centre: str
    callers_port: int
    control_port: int
    peer_port: int
    settings_file: pathlib.Path
    log_file: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def callers_url(self) -> str:
        return f'http://{HOST}:{self.callers_port}'

    @property
    def control_url(self) -> str:
        return f'http://{HOST}:{self.control_port}'


@dataclasses.dataclass(kw_only=True)
class StandIn:
    """One stand-in process."""

    backend_id: str
    url: str
    process: subprocess.Popen


class LocalSystem:
    """Instances and stand-ins on loopback addresses.

    :param folder: settings, data folders and logs are kept below it.
    :param instances: number of instances; all of them become voters.
    :param timeouts: overrides of the settings' time-outs.
    :param command: how to run the program.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        instances: int = 3,
        timeouts: dict[str, float] | None = None,
        command: abc.Sequence[str] = (sys.executable, '-m', 'dandeliongw'),
        data_centres: abc.Sequence[str] = ('dc-a', 'dc-b', 'dc-c'),
    ) -> None:
        self.folder = folder
        self.data_centres = tuple(data_centres)
        self._command = tuple(command)
        self._timeouts = timeouts or {}
        self.http = urllib3.PoolManager(retries=False, timeout=30.0)
        self.stand_ins_by_id: dict[str, StandIn] = {}
        #: Processes that were to end, by their process id.
        self._killed: set[int] = set()
        ports = iter(free_ports(3 * instances))
        self.instances_by_id = {
            f'gw-{number}': self._plan_instance(number, ports)
            for number in range(1, instances + 1)
        }
        self._write_settings()

    def _plan_instance(
        self, number: int, ports: abc.Iterator[int]
    ) -> Instance:
        name = f'gw-{number}'
        centre = self.data_centres[(number - 1) % len(self.data_centres)]
        return Instance(
            instance_id=name,
            data_centre=centre,
            callers_port=next(ports),
            control_port=next(ports),
            peer_port=next(ports),
            settings_file=self.folder / f'{name}.json',
            log_file=self.folder / f'{name}.log',
        )

    def _write_settings(self) -> None:
        for each in self.instances_by_id.values():
            self._write_settings_of(each, bootstrap=True)

    def _write_settings_of(
        self, instance: Instance, *, bootstrap: bool
    ) -> None:
        seeds = list(self.instances_by_id.values())[:SEEDS]
        fields = {
            'instance_id': instance.instance_id,
            'data_centre': instance.data_centre,
            'region': 'local',
            'data_folder': str(self.folder / instance.instance_id),
            'callers': {'host': HOST, 'port': instance.callers_port},
            'control': {'host': HOST, 'port': instance.control_port},
            'peer': {'host': HOST, 'port': instance.peer_port},
            'seeds': [
                {'host': HOST, 'port': each.control_port} for each in seeds
            ],
            'bootstrap': bootstrap,
            'regions_by_data_centre': dict.fromkeys(
                self.data_centres, 'local'
            ),
            'most_voters': 11,
            'peer_secret': 'a secret of the local system',
            'operators': [
                {'name': 'demo', 'token_sha256': sha256(OPERATOR_TOKEN)}
            ],
            'timeouts': self._timeouts,
        }
        instance.settings_file.write_text(json.dumps(fields, indent=1))

    # Processes

    def start_instance(self, instance_id: str) -> None:
        """Start an instance; see :meth:`wait_serving`."""
        instance = self.instances_by_id[instance_id]
        is_first = instance.process is None
        self._write_settings_of(instance, bootstrap=is_first)
        with instance.log_file.open('ab') as log:
            instance.process = subprocess.Popen(
                [*self._command, 'serve', str(instance.settings_file)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start_stand_in(
        self, module: str, backend_id: str, *options: str
    ) -> StandIn:
        """Start a stand-in and wait until it says that it is ready."""
        urls = [each.control_url for each in self.instances_by_id.values()]
        log = (self.folder / f'{backend_id}.log').open('ab')
        with log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    f'tools.{module}',
                    '--backend-id',
                    backend_id,
                    *options,
                    '--control-urls',
                    *urls,
                ],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        ready = json.loads(process.stdout.readline())
        stand_in = StandIn(
            backend_id=backend_id,
            url=f'http://{HOST}:{ready["port"]}',
            process=process,
        )
        self.stand_ins_by_id[backend_id] = stand_in
        return stand_in

    def kill(self, process: subprocess.Popen) -> None:
        """End a process at once, as kill -9 does."""
        self._killed.add(process.pid)
        process.kill()
        process.wait()

    def discard(self) -> None:
        """End all instances at once and delete what they kept."""
        for instance_id, instance in self.instances_by_id.items():
            if instance.process is not None:
                self.kill(instance.process)
            shutil.rmtree(self.folder / instance_id, ignore_errors=True)

    def stop(self) -> None:
        """End everything that was started here, politely, then firmly."""
        processes = [each.process for each in self.stand_ins_by_id.values()]
        processes += [
            each.process
            for each in self.instances_by_id.values()
            if each.process is not None
        ]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        ends_at = time.monotonic() + STOP_S
        for process in processes:
            try:
                process.wait(max(0.1, ends_at - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.kill(process)
            if process.stdout is not None:
                process.stdout.close()

    # Calls

    def operator(
        self, instance_id: str, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, typing.Any]:
        """Call the operators' API; return the status and the JSON."""
        instance = self.instances_by_id[instance_id]
        return self.call(
            method,
            instance.control_url + path,
            body,
            {'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        )

    def caller(
        self,
        instance_id: str,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: abc.Mapping[str, str] | None = None,
    ) -> tuple[int, typing.Any]:
        """Call as the demo's account; return the status and the JSON."""
        instance = self.instances_by_id[instance_id]
        return self.call(
            method,
            instance.callers_url + path,
            body,
            {'Authorization': f'Bearer {ACCOUNT_KEY}', **(headers or {})},
        )

    def call(
        self,
        method: str,
        url: str,
        body: typing.Any = None,
        headers: abc.Mapping[str, str] | None = None,
    ) -> tuple[int, typing.Any]:
        data = None if body is None else json.dumps(body).encode()
        try:
            answer = self.http.request(
                method,
                url,
                body=data,
                headers={
                    'Content-Type': 'application/json',
                    **(headers or {}),
                },
            )
        except urllib3.exceptions.HTTPError as error:
            return 0, {'error': str(error)}
        try:
            return answer.status, json.loads(answer.data)
        except ValueError:
            return answer.status, answer.data.decode(errors='replace')

    def wait_serving(self, revision: int = 0) -> None:
        """Wait until every instance that wasn't killed serves a revision.

        :raises InstanceEnded: as soon as the process of one has ended.
        :raises TimeoutError: when one never does.
        """
        for instance in self._awaited():
            instance_id = instance.instance_id
            wait_until(
                f'{instance_id} serves revision {revision}, see '
                f'{instance.log_file}',
                lambda instance_id=instance_id: self._serves(
                    instance_id, revision
                ),
            )

    def _awaited(self) -> list[Instance]:
        return [
            each
            for each in self.instances_by_id.values()
            if each.process is not None
            and each.process.pid not in self._killed
        ]

    def _serves(self, instance_id: str, revision: int) -> bool:
        # Any of them: one that waits for the others' votes serves never.
        for instance in self._awaited():
            code = instance.process.poll()
            if code is not None:
                raise InstanceEnded(
                    instance_id=instance.instance_id,
                    code=code,
                    log_file=instance.log_file,
                )
        status, answer = self.operator(instance_id, 'GET', '/v1/document')
        return status == 200 and answer['revision'] >= revision

    def apply(self, instance_id: str, document: dict, change_id: str) -> int:
        """Apply a document over the present one; return its revision."""
        _, current = self.operator(instance_id, 'GET', '/v1/document')
        status, answer = self.operator(
            instance_id,
            'PUT',
            '/v1/document',
            {
                'document': document,
                'expected_revision': current['revision'],
                'change_id': change_id,
            },
        )
        if status != 200:
            raise RuntimeError(f'the change was not applied: {answer}')
        return answer['revision']

    def wait_backends(self, count: int) -> None:
        """Wait until so many backend servers are present at some instance."""
        wait_until(
            f'{count} backend servers are present',
            lambda: self._present() >= count,
        )

    def _present(self) -> int:
        known: set[str] = set()
        for instance_id in self.instances_by_id:
            status, answer = self.operator(instance_id, 'GET', '/v1/backends')
            if status == 200:
                known.update(
                    each['backend_id']
                    for each in answer['backends']
                    if each['state'] == 'present'
                )
        return len(known)


@contextlib.contextmanager
def running(**options: typing.Any) -> abc.Iterator[LocalSystem]:
    """Start all instances; end whatever was started when done.

    A port that was free when it was chosen may be another process's when
    the instance wants it: then everything starts anew with other ports.

    :raises InstanceEnded: also when that happens ``MOST_STARTS`` times.
    """
    for starts_left in reversed(range(MOST_STARTS)):
        system = LocalSystem(**options)
        try:
            _start_all(system)
        except InstanceEnded as error:
            is_port_lost = error.code == exceptions.ExitCode.PORT_IN_USE
            system.discard()
            if not is_port_lost or not starts_left:
                raise
        except BaseException:
            system.stop()
            raise
        else:
            break
    try:
        yield system
    finally:
        system.stop()


def _start_all(system: LocalSystem) -> None:
    for instance_id in system.instances_by_id:
        system.start_instance(instance_id)
    system.wait_serving()


def example_document() -> dict[str, typing.Any]:
    """Return a document for the stand-ins of :func:`start_stand_ins`."""
    return {
        'version': 1,
        'services': [
            {
                'name': 'dieline-llm',
                'kind': 'model',
                'first_token_s': 2.0,
                'token_gap_s': 0.2,
                'timeout_s': 30,
            },
            {'name': 'studio-portal', 'kind': 'plain', 'timeout_s': 10},
        ],
        'pools': [
            {
                'name': 'dieline-prefill',
                'service': 'dieline-llm',
                'role': 'prefill',
                'slots': 1,
                'link_bytes_per_s': 2e9,
                'kv_bytes_per_token': 100_000,
                'prefill_tokens_per_s': 10_000,
            },
            {
                'name': 'dieline-decode',
                'service': 'dieline-llm',
                'role': 'decode',
                'slots': 20,
                'link_bytes_per_s': 2e9,
                'decode_tokens_per_s': 600,
            },
            {
                'name': 'portal',
                'service': 'studio-portal',
                'role': 'plain',
                'slots': 64,
            },
        ],
        'priorities': [
            {'name': 'urgent', 'rank': 0, 'max_wait_s': 5},
            {'name': 'patient', 'rank': 1, 'max_wait_s': 30},
        ],
        'routes': [
            {
                'service': 'dieline-llm',
                'method': 'POST',
                'path': '/v1/completions',
                'idempotent': True,
            },
            {
                'service': 'studio-portal',
                'method': 'GET',
                'path': '/lookup*',
                'idempotent': True,
                'priority': 'urgent',
            },
            {
                'service': 'studio-portal',
                'method': 'POST',
                'path': '/bookings',
                'idempotent': False,
                'priority': 'urgent',
            },
        ],
        'accounts': [
            {
                'name': 'studio-1',
                'key_sha256': sha256(ACCOUNT_KEY),
                'services': ['dieline-llm', 'studio-portal'],
                'max_in_flight': 50,
                'requests_per_s': 100,
                'priority': 'patient',
            }
        ],
    }


def start_stand_ins(system: LocalSystem) -> None:
    """Start two prefill and three decode engines and two plain services."""
    centres = system.data_centres
    for number in range(2):
        system.start_stand_in(
            'standin_engine',
            f'prefill-{number + 1}',
            *('--role', 'prefill', '--service', 'dieline-llm'),
            *('--data-centre', centres[number % len(centres)]),
        )
    for number in range(3):
        system.start_stand_in(
            'standin_engine',
            f'decode-{number + 1}',
            *('--role', 'decode', '--service', 'dieline-llm'),
            *('--data-centre', centres[number % len(centres)]),
        )
    for number in range(2):
        system.start_stand_in(
            'standin_service',
            f'portal-{number + 1}',
            *('--service', 'studio-portal'),
            *('--data-centre', centres[number % len(centres)]),
        )
