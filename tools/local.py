"""Runs instances, stand-in engines and stand-in services on one machine.

Used by the demo, by tests with real processes and by measurements. Every
process is started by this module and ended through its own handle.
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
#: Default timeout of waits, in seconds. It is long enough for slow machines
#: and isn't spent if the condition is met earlier.
WAIT_TIMEOUT_S = 60.0
POLL_S = 0.05
#: Until a process that was sent SIGTERM is killed.
STOP_S = 40.0
#: How many instances are listed as seeds in the settings of all of them.
SEEDS = 3
#: Attempts to start a system when a port was taken by another process.
MAX_START_ATTEMPTS = 5
#: Lines of an instance's log that :class:`InstanceExited` shows.
LOG_TAIL_LINES = 10


def sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def free_ports(count: int) -> list[int]:
    """Return distinct ports that are free at the moment.

    All sockets stay bound until the last port is found, because the
    operating system may assign a port again as soon as it is closed.
    """
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


class InstanceExited(Exception):
    """An instance's process exited without being stopped by this module.

    :param code: its exit code; the negated number of the signal that
        ended it, if one did.
    :param log_file: its last lines become part of the message.
    """

    def __init__(
        self, *, instance_id: str, code: int, log_file: pathlib.Path
    ) -> None:
        lines = log_file.read_text(errors='replace').splitlines()
        shown = '\n'.join(lines[-LOG_TAIL_LINES:])
        super().__init__(
            f'{instance_id} ended with exit code {code}; the last lines of '
            f'{log_file}:\n{shown}'
        )
        self.code = code


def wait_until(
    what: str, check: abc.Callable[[], typing.Any], timeout_s: float = 0.0
) -> typing.Any:
    """Poll ``check`` until its result is true, and return the result.

    :param timeout_s: how long to poll; :data:`WAIT_TIMEOUT_S` if zero.
    :raises TimeoutError: naming ``what``.
    """
    ends_at = time.monotonic() + (timeout_s or WAIT_TIMEOUT_S)
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() >= ends_at:
            raise TimeoutError(f'timed out waiting for: {what}')
        time.sleep(POLL_S)


@dataclasses.dataclass(kw_only=True)
class Instance:
    """An instance of the program, its ports, its files and its process."""

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
    """A running stand-in engine or service."""

    backend_id: str
    url: str
    process: subprocess.Popen


class LocalSystem:
    """Instances and stand-ins on loopback addresses.

    :param folder: where settings, data folders and logs are written.
    :param instances: number of instances; all of them become voters.
    :param timeouts: overrides of ``timeouts`` in the settings.
    :param command: the command line that runs the program.
    :param data_centres: assigned to the instances in turn.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        instances: int = 3,
        timeouts: dict[str, float] | None = None,
        limits: dict[str, int] | None = None,
        command: abc.Sequence[str] = (sys.executable, '-m', 'dandeliongw'),
        data_centres: abc.Sequence[str] = ('dc-a', 'dc-b', 'dc-c'),
    ) -> None:
        self.folder = folder
        self.data_centres = tuple(data_centres)
        self._command = tuple(command)
        self._timeouts = timeouts or {}
        self._limits = limits or {}
        self.http = urllib3.PoolManager(retries=False, timeout=30.0)
        self.stand_ins_by_id: dict[str, StandIn] = {}
        #: Processes that :meth:`kill` ended.
        self._killed_pids: set[int] = set()
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
            'limits': self._limits,
        }
        instance.settings_file.write_text(json.dumps(fields, indent=1))

    # Processes

    def start_instance(self, instance_id: str) -> None:
        """Start an instance without waiting; see :meth:`wait_serving`."""
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
        """Start a stand-in and wait until it prints that it is ready."""
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
        """End a process with SIGKILL."""
        self._killed_pids.add(process.pid)
        process.kill()
        process.wait()

    def kill_and_delete(self) -> None:
        """Kill all instances and delete their data folders."""
        for instance_id, instance in self.instances_by_id.items():
            if instance.process is not None:
                self.kill(instance.process)
            shutil.rmtree(self.folder / instance_id, ignore_errors=True)

    def stop(self) -> None:
        """Stop every process: SIGTERM, then SIGKILL after ``STOP_S``.

        Stopped (SIGSTOP) processes are continued first.
        """
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

    def call_as_operator(
        self, instance_id: str, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, typing.Any]:
        """Send a request to the operators' API of an instance.

        :returns: as :meth:`call`.
        """
        instance = self.instances_by_id[instance_id]
        return self.call(
            method,
            instance.control_url + path,
            body,
            {'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        )

    def call_as_account(
        self,
        instance_id: str,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: abc.Mapping[str, str] | None = None,
    ) -> tuple[int, typing.Any]:
        """Send a request to an instance as the demo's client account.

        :returns: as :meth:`call`.
        """
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
        """Send a request with a JSON body.

        :returns: the status and the decoded JSON, or the text if the body
            isn't JSON; status 0 if there was no answer.
        """
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

        :raises InstanceExited: as soon as the process of one has exited.
        :raises TimeoutError: when one doesn't serve it in time.
        """
        for instance in self._expected_instances():
            instance_id = instance.instance_id
            wait_until(
                f'{instance_id} serves revision {revision}, see '
                f'{instance.log_file}',
                lambda instance_id=instance_id: self._serves(
                    instance_id, revision
                ),
            )

    def _expected_instances(self) -> list[Instance]:
        return [
            each
            for each in self.instances_by_id.values()
            if each.process is not None
            and each.process.pid not in self._killed_pids
        ]

    def _serves(self, instance_id: str, revision: int) -> bool:
        # Check all processes: if another voter has exited, this instance
        # may wait for a quorum until the timeout.
        for instance in self._expected_instances():
            code = instance.process.poll()
            if code is not None:
                raise InstanceExited(
                    instance_id=instance.instance_id,
                    code=code,
                    log_file=instance.log_file,
                )
        status, answer = self.call_as_operator(
            instance_id, 'GET', '/v1/document'
        )
        return status == 200 and answer['revision'] >= revision

    def apply(self, instance_id: str, document: dict, change_id: str) -> int:
        """Replace the current document; return the new revision."""
        _, current = self.call_as_operator(instance_id, 'GET', '/v1/document')
        status, answer = self.call_as_operator(
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
            raise RuntimeError(f'the document was not applied: {answer}')
        return answer['revision']

    def wait_backends(self, count: int) -> None:
        """Wait until the instances list ``count`` backend servers as present.

        A backend server counts if at least one instance lists it.
        """
        wait_until(
            f'{count} backend servers are present',
            lambda: self._count_present() >= count,
        )

    def _count_present(self) -> int:
        present_ids: set[str] = set()
        for instance_id in self.instances_by_id:
            status, answer = self.call_as_operator(
                instance_id, 'GET', '/v1/backends'
            )
            if status == 200:
                present_ids.update(
                    each['backend_id']
                    for each in answer['backends']
                    if each['state'] == 'present'
                )
        return len(present_ids)


@contextlib.contextmanager
def run_system(**options: typing.Any) -> abc.Iterator[LocalSystem]:
    """Start all instances; stop every process at the end of the block.

    Another process may take a port between its choice and the instance's
    start. All instances are then started again on other ports.

    :param options: those of :class:`LocalSystem`.
    :raises InstanceExited: when an instance exits for another reason, or
        when ports were taken in ``MAX_START_ATTEMPTS`` attempts.
    """
    for attempts_left in reversed(range(MAX_START_ATTEMPTS)):
        system = LocalSystem(**options)
        try:
            _start_all(system)
        except InstanceExited as error:
            is_port_taken = error.code == exceptions.ExitCode.PORT_IN_USE
            system.kill_and_delete()
            if not is_port_taken or not attempts_left:
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
    """Return a document that fits the stand-ins of :func:`start_stand_ins`."""
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
