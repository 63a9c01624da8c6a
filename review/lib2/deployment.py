"""A small deployment on loopback addresses, for the cases of this review.

Starts the project's programs with the command of the deploy file, one process
for each machine. Backend servers, callers and the operator are stand-ins.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json
import os
import pathlib
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ('zone-a', 'zone-b', 'zone-c')
HOST = 'review.example'
PEER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT = 7380, 8144, 8149, 8141
DIRECTORY_PORT = 8150
BACKEND_PORT = 8080
HEARTBEAT_S = 1.2
FIRST_NETWORK, LAST_NETWORK = 64, 223
#: The platform's messages, with the bounds of the site that the claims name.
#: A test of the project keeps the platform's names out of its Python files.
MESSAGES = json.loads(
    pathlib.Path(__file__).with_name('messages.txt').read_text()
)
#: Names of the platform's headers.
HEADERS = MESSAGES['headers']
#: How long a machine must be undisturbed to be in touch.
STABLE_S = 3.0


def filled(template: object, values: dict[str, object]) -> object:
    """Return a message of ``messages.txt`` with its placeholders filled."""
    if isinstance(template, dict):
        return {
            name: filled(value, values) for name, value in template.items()
        }
    if isinstance(template, str) and template.startswith('{'):
        return values[template[1:-1]]
    return template


def has_trouble() -> bool:
    """Return whether the disruption of the case is played."""
    return os.environ.get('TROUBLE', '1') != '0'


@contextlib.contextmanager
def reserved_network() -> abc.Iterator[str]:
    """Reserve a loopback network; yields its prefix."""
    for number in range(FIRST_NETWORK, LAST_NETWORK + 1):
        with socket.socket() as marker:
            try:
                marker.bind((f'127.{number}.254.1', PEER_PORT))
            except OSError:
                continue
            yield f'127.{number}'
            return
    raise OSError('all loopback networks are in use')


class Record:
    """Writes what was sent, answered and run; keeps it for the check."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._began_at = time.monotonic()
        self.entries: list[tuple[float, str, dict]] = []

    def note(self, event: str, **fields: object) -> None:
        at = time.monotonic() - self._began_at
        self.entries.append((at, event, fields))
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        print(f'{at:9.3f} {event} {text}', file=self._file, flush=True)

    def of(self, event: str) -> list[dict]:
        return [fields for _, found, fields in self.entries if found == event]

    def close(self) -> None:
        self._file.close()


@dataclasses.dataclass(kw_only=True, eq=False)
class Machine:
    """One machine and its process."""

    name: str
    host: str
    zone: str
    is_core: bool
    folder: pathlib.Path
    memory_mb: int
    process: subprocess.Popen | None = None
    starts: int = 0

    @property
    def front(self) -> tuple[str, int]:
        return self.host, FRONT_PORT

    @property
    def control(self) -> tuple[str, int]:
        return self.host, CONTROL_PORT

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def resident_mb(self) -> float:
        """Return the memory of the process in megabytes, 0 if it is gone."""
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6


class Deployment:
    """The machines of a small site, and their processes."""

    def __init__(
        self,
        *,
        network: str,
        folder: pathlib.Path,
        record: Record,
        cores: int = 5,
        fronts: int = 2,
        front_memory_mb: int = 150,
    ) -> None:
        self.network = network
        self.record = record
        self._folder = folder
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            self._roles = tomllib.load(file)['roles']
        self.cores = [
            Machine(
                name=f'core-{n}',
                host=f'{network}.0.{n}',
                zone=ZONES[n % len(ZONES)],
                is_core=True,
                folder=folder,
                memory_mb=296,
            )
            for n in range(1, cores + 1)
        ]
        self.fronts = [
            Machine(
                name=f'front-{n}',
                host=f'{network}.0.{100 + n}',
                zone=ZONES[n % len(ZONES)],
                is_core=False,
                folder=folder,
                memory_mb=front_memory_mb,
            )
            for n in range(1, fronts + 1)
        ]

    @property
    def machines(self) -> list[Machine]:
        return [*self.cores, *self.fronts]

    def backend_host(self, number: int) -> str:
        return f'{self.network}.1.{number}'

    def start(self, machine: Machine) -> None:
        """Start a machine's process as the deploy file says."""
        settings = self._folder / f'{machine.name}.json'
        settings.write_text(json.dumps(self._settings(machine)))
        machine.starts += 1
        role = self._roles['voter' if machine.is_core else 'entry']
        command = shlex.split(role['run'])
        if command[0] == 'python3':
            command[0] = sys.executable
        with (self._folder / f'{machine.name}.log').open('ab') as log:
            machine.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'DANDELIONGW_SETTINGS': str(settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _settings(self, machine: Machine) -> dict:
        listen = {'directory': f'{machine.host}:{DIRECTORY_PORT}'}
        if machine.is_core:
            listen['control'] = f'{machine.host}:{CONTROL_PORT}'
        else:
            listen['front'] = f'{machine.host}:{FRONT_PORT}'
            listen['ready'] = f'{machine.host}:{READY_PORT}'
        disk = self._folder / f'{machine.name}.disk'
        if machine.is_core:
            disk.mkdir(exist_ok=True)
        values = {
            'name': machine.name,
            'role': 'voter' if machine.is_core else 'entry',
            'machine_class': 'core' if machine.is_core else 'front',
            'serves': ['control', 'directory']
            if machine.is_core
            else ['front', 'directory'],
            'ip': machine.host,
            'zone': machine.zone,
            'zones': dict.fromkeys(ZONES, 'here'),
            'listen': listen,
            'internal_ports': [PEER_PORT, PEER_PORT + 15],
            'seeds': [
                f'{each.host}:{CONTROL_PORT}' for each in self.cores[:3]
            ],
            'is_first_start': machine.starts == 0,
            'is_core': machine.is_core,
            'cpu_share': 0.645 if machine.is_core else 0.537,
            'cores': 1 if machine.is_core else 2,
            'memory_mb': machine.memory_mb,
            'descriptors': 4096 if machine.is_core else 4100,
            'disk_mb': 128 if machine.is_core else 0,
            'data_folder': str(disk) if machine.is_core else None,
            'bounds': MESSAGES['bounds'],
        }
        return filled(MESSAGES['settings'], values)

    def start_all(self) -> None:
        for machine in self.machines:
            self.start(machine)

    def stop_all(self) -> None:
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Wait until all fronts answer that they are ready.

        :raises CouldNotRun: if that takes too long.
        """
        ends_at = time.monotonic() + limit_s
        for machine in self.fronts:
            while True:
                try:
                    answer = await call(
                        (machine.host, READY_PORT), 'GET', '/readiness'
                    )
                    if answer.status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > ends_at:
                    raise CouldNotRun(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)

    async def configure(
        self, configuration: dict, limit_s: float = 20.0
    ) -> float:
        """Send a configuration until it is acknowledged; return when it was.

        :raises CouldNotRun: if it is refused or not acknowledged.
        """
        body = json.dumps(configuration).encode()
        ends_at = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < ends_at:
            machine = self.cores[turn % len(self.cores)]
            turn += 1
            try:
                answer = await call(
                    machine.control,
                    'PUT',
                    '/config',
                    headers={'Content-Type': 'application/json'},
                    body=body,
                    timeout_s=1.0 + len(body) / 1e6,
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            self.record.note(
                'config',
                version=configuration['version'],
                node=machine.name,
                status=answer.status,
            )
            if answer.status == 200:
                return time.monotonic()
            if answer.status < 500:
                raise CouldNotRun(f'refused: {answer.body[:200]!r}')
            await asyncio.sleep(0.2)
        raise CouldNotRun('the configuration was not acknowledged')


class CouldNotRun(Exception):
    """The case could not be played."""


@dataclasses.dataclass(kw_only=True)
class Answer:
    """An answer, as a caller sees it.

    :param is_whole: whether it ended as its head says.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields, with names in lowercase."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> bytes:
    """Return the body that these fields announce."""
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                while (await reader.readline()) not in (b'\r\n', b''):
                    pass
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    if 'content-length' in fields:
        return await reader.readexactly(int(fields['content-length']))
    return b''


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 1.0,
) -> Answer:
    """Send one request on a new connection; return its answer.

    :raises OSError: also if the answer doesn't come or isn't whole.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                fields = {
                    'Host': address[0],
                    'Content-Length': str(len(body)),
                    'Connection': 'close',
                    **(headers or {}),
                }
                head = f'{method} {path} HTTP/1.1\r\n' + ''.join(
                    f'{name}: {value}\r\n' for name, value in fields.items()
                )
                writer.write(head.encode('latin-1') + b'\r\n' + body)
                await writer.drain()
                first, found = await read_head(reader)
                status = int(first.split()[1])
                if (
                    'content-length' not in found
                    and 'transfer-encoding' not in found
                ):
                    content = await reader.read()
                else:
                    content = await read_body(reader, found)
                return Answer(status=status, headers=found, body=content)
            finally:
                writer.close()
    except (TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        raise OSError(f'no whole answer: {error!r}') from error


def request_id() -> str:
    return secrets.token_hex(8)


class Backend:
    """A stand-in backend server: registers, beats, and answers requests.

    A subclass or a test replaces :meth:`answer`.

    :param stage: ``prefill`` or ``decode``; ``None`` for a plain service.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        number: int,
        service: str,
        slots: int,
        stage: str | None = None,
    ) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.host = deployment.backend_host(number)
        self.backend_id = f'i-{secrets.token_hex(4)}'
        self.service = service
        self.slots = slots
        self.stage = stage
        self.state = 'ready'
        self.zone = ZONES[number % len(ZONES)]
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, BACKEND_PORT, limit=1 << 20
        )
        self.tasks.add(asyncio.create_task(self._beat()))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def heartbeat(self) -> dict:
        self._sequence += 1
        values = {
            'service': self.service,
            'address': f'{self.host}:{BACKEND_PORT}',
            'zone': self.zone,
            'slots': self.slots,
            'state': self.state,
            'sequence': self._sequence,
            'stage': self.stage,
        }
        body = filled(MESSAGES['heartbeat'], values)
        if self.stage is not None:
            body |= filled(MESSAGES['engine_heartbeat'], values)
        return body

    async def _beat(self) -> None:
        turn = secrets.randbelow(5)
        while True:
            body = json.dumps(self.heartbeat()).encode()
            for _ in self.deployment.cores:
                cores = self.deployment.cores
                try:
                    answer = await call(
                        cores[turn % len(cores)].control,
                        'PUT',
                        f'/instances/{self.backend_id}',
                        headers={'Content-Type': 'application/json'},
                        body=body,
                    )
                    if answer.status == 200:
                        break
                except OSError:
                    pass
                turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, fields = await read_head(reader)
                method, path, _ = first.split(' ', 2)
                body = await self.read_body(reader, fields)
                if path == '/health':
                    writer.write(
                        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                        + HEADERS['answering_id'].encode()
                        + f': {self.backend_id}\r\n\r\n'.encode()
                    )
                elif path == '/report':
                    content = b'{}'
                    writer.write(
                        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'
                        + content
                    )
                else:
                    keeps = await self.answer(
                        method, path, fields, body, writer
                    )
                    if keeps is False:
                        return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def read_body(
        self, reader: asyncio.StreamReader, fields: dict[str, str]
    ) -> bytes:
        return await read_body(reader, fields)

    async def answer(
        self,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        raise NotImplementedError

    def head(
        self,
        status: int,
        fields: dict[str, str],
        length: int | None,
        more: dict[str, str] | None = None,
    ) -> bytes:
        """Return the head of an answer to a request with these fields.

        :param length: of the body; ``None`` if it comes in chunks.
        """
        request_id = HEADERS['request_id']
        lines = {
            request_id: fields.get(request_id.lower(), ''),
            HEADERS['answering_id']: self.backend_id,
            **(more or {}),
        }
        if length is None:
            lines['Transfer-Encoding'] = 'chunked'
        else:
            lines['Content-Length'] = str(length)
        return (
            f'HTTP/1.1 {status} OK\r\n'
            + ''.join(f'{name}: {value}\r\n' for name, value in lines.items())
            + '\r\n'
        ).encode()


def configuration(
    version: int,
    routes: list[dict],
    services: list[dict],
    idle_ms: int = 15_000,
) -> dict:
    return filled(
        MESSAGES['configuration'],
        {
            'version': version,
            'routes': routes,
            'services': services,
            'idle_ms': idle_ms,
        },
    )


def plain_service(name: str) -> dict:
    return filled(MESSAGES['plain_service'], {'name': name})


def model_service(name: str) -> dict:
    return filled(MESSAGES['model_service'], {'name': name})


def route(
    kind: str,
    name: str,
    prefix: str,
    service: str,
    *,
    timeout_ms: int,
    target_ms: int,
) -> dict:
    """Return a route of the configuration.

    :param kind: ``unsafe`` or ``stream``.
    """
    values = {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'service': service,
        'timeout_ms': timeout_ms,
        'target_ms': target_ms,
    }
    return filled(MESSAGES[f'{kind}_route'], values)


def run_case(
    play: abc.Callable[[Record, str, pathlib.Path], abc.Awaitable[bool]],
    record_file: pathlib.Path,
) -> int:
    """Play a case; return its exit code.

    :param play: returns whether the rule was kept.
    """
    record = Record(record_file)
    try:
        with (
            reserved_network() as network,
            tempfile.TemporaryDirectory(prefix='review-') as folder,
        ):
            kept = asyncio.run(play(record, network, pathlib.Path(folder)))
    except Exception as error:
        # Python's own exit code for an error would mean a broken rule.
        traceback.print_exc()
        record.note('could_not_run', why=repr(error))
        return 2
    finally:
        record.close()
    return 0 if kept else 1
