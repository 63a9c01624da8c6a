"""Starts the project's programs as a platform does, for the cases beside it.

Only the standard library is used. Each machine has a loopback address of its
own, and all have the same ports, as in a deployment.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ('hall-tuul', 'hall-bogd', 'hall-selbe')
REGION = 'ulaanbaatar'
#: The platform's messages, with the bounds of the site that the claims name.
#: A test of the project keeps the platform's names out of its Python files.
MESSAGES = json.loads((ROOT / 'review/messages.txt').read_text())
#: In seconds, as in :data:`MESSAGES`.
CATCH_UP_S = 4.0
GRACE_S = 8.0


class CannotRun(Exception):
    """The case can't be played here; says nothing about the rule."""


class Record:
    """What was sent, answered and run; written to ``record.txt``."""

    def __init__(self, folder):
        self._file = (folder / 'record.txt').open('w')
        self._began_at = time.monotonic()

    def note(self, text):
        line = f'{time.monotonic() - self._began_at:8.3f} s  {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)

    def close(self):
        self._file.close()


class Machine:
    """One machine: its address, its disk and its process."""

    def __init__(self, name, ip, role, zone):
        self.name, self.ip, self.role, self.zone = name, ip, role, zone
        self.process = None
        self.started_at = 0.0


class Platform:
    """Starts, kills and stops processes by the deploy file.

    :param ports: the same on all machines.
    """

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.machines = {}
        self._seeds = []
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._roles = deploy['roles']
        self._prefix, self.ports = _free_addresses()
        self._next_host = 1

    def new_ip(self):
        ip = f'{self._prefix}.{self._next_host}'
        self._next_host += 1
        return ip

    def add(self, name, role, zone_index):
        machine = Machine(
            name, self.new_ip(), role, ZONES[zone_index % len(ZONES)]
        )
        self.machines[name] = machine
        return machine

    def control(self, machine):
        return machine.ip, self.ports['control']

    def use_as_seeds(self, machines):
        self._seeds = [
            f'{each.ip}:{self.ports["control"]}' for each in machines
        ]

    def start(self, machine, *, bootstrap):
        role = self._roles[machine.role]
        is_core = role['on'] == 'core'
        disk = self.folder / f'{machine.name}.disk'
        if is_core:
            disk.mkdir(exist_ok=True)
        served = ('control',) if is_core else ('front', 'ready')
        settings = fill(
            MESSAGES['settings'],
            name=machine.name,
            role=machine.role,
            machine_class=role['on'],
            serves=role['serves'],
            ip=machine.ip,
            zone=machine.zone,
            region=REGION,
            zones=dict.fromkeys(ZONES, REGION),
            listen={
                each: f'{machine.ip}:{self.ports[each]}'
                for each in ('directory', *served)
            },
            internal_ports=[self.ports['inner'], self.ports['inner'] + 15],
            seeds=self._seeds,
            bootstrap=bootstrap,
            is_core=is_core,
            disk_mb=128 if is_core else 0,
            data_folder=str(disk) if is_core else None,
        )
        path = self.folder / f'{machine.name}.json'
        path.write_text(json.dumps(settings))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['DANDELIONGW_SETTINGS'] = str(path)
        with (self.folder / f'{machine.name}.log').open('ab') as log:
            machine.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        machine.started_at = time.monotonic()
        self.record.note(f'platform: starts {machine.name} at {machine.ip}')

    def kill(self, machine):
        machine.process.send_signal(signal.SIGKILL)
        machine.process.wait()

    def stop(self, machine):
        """SIGTERM, and SIGKILL after the grace period."""
        self.record.note(f'platform: SIGTERM to {machine.name}')
        machine.process.send_signal(signal.SIGTERM)
        try:
            code = machine.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.kill(machine)
            code = 'SIGKILL'
        self.record.note(f'platform: {machine.name} ended, {code}')

    def lose_disk(self, machine):
        shutil.rmtree(self.folder / f'{machine.name}.disk')

    def running(self):
        return [
            each
            for each in self.machines.values()
            if each.process is not None and each.process.poll() is None
        ]

    def end_all(self):
        for machine in self.running():
            machine.process.send_signal(signal.SIGCONT)
            machine.process.send_signal(signal.SIGKILL)
        for machine in self.machines.values():
            if machine.process is not None:
                machine.process.wait()


class Operator:
    """Sends configurations to any core machine, as the pages describe."""

    def __init__(self, platform, record):
        self._platform = platform
        self._record = record
        self.acknowledged = 0

    def _cores(self):
        return [
            each for each in self._platform.running() if each.role == 'voter'
        ]

    def change(self, body_of, version, limit_s):
        """Send a configuration until it is acknowledged.

        :returns: whether it was, in time.
        """
        body = json.dumps(body_of(version)).encode()
        ends_at = time.monotonic() + limit_s
        pause_s = 0.1
        while time.monotonic() < ends_at:
            machine = random.choice(self._cores())
            status, _ = call(
                self._platform.control(machine), 'PUT', '/config', body
            )
            if status == 200:
                self._record.note(
                    f'operator: version {version} acknowledged by '
                    f'{machine.name}'
                )
                self.acknowledged = max(self.acknowledged, version)
                return True
            time.sleep(pause_s)
            pause_s = min(0.8, 2 * pause_s)
        self._record.note(
            f'operator: version {version} not acknowledged in {limit_s} s'
        )
        return False

    def read_back(self, limit_s):
        """Read at all core machines in turn; return the newest version.

        :returns: the version, or ``None`` if no machine shows one in time.
        """
        ends_at = time.monotonic() + limit_s
        answers = {}
        while time.monotonic() < ends_at:
            for machine in self._cores():
                status, content = call(
                    self._platform.control(machine), 'GET', '/config'
                )
                answers[machine.name] = status
                if status == 200:
                    version = json.loads(content)['version']
                    self._record.note(
                        f'operator: {machine.name} shows version {version}'
                    )
                    return version
            time.sleep(0.3)
        self._record.note(
            f'operator: no machine shows a configuration in {limit_s} s; '
            f'last answers {answers}'
        )
        return None


def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """Return status and body; status ``None`` if there is no answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(
            method,
            path,
            body=body,
            headers={'Content-Type': 'application/json', **(headers or {})},
        )
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return None, b''
    finally:
        connection.close()


def fill(template, **values):
    """Return a message with its places, such as ``'{zone}'``, filled in."""
    if isinstance(template, dict):
        return {key: fill(each, **values) for key, each in template.items()}
    if isinstance(template, list):
        return [fill(each, **values) for each in template]
    if isinstance(template, str) and template.startswith('{'):
        return values[template.strip('{}')]
    return template


def plain_configuration(version):
    """Return a configuration with one plain service and one safe route."""
    return fill(MESSAGES['configuration'], version=version)


def _free_addresses():
    """Return a free loopback network and free ports in it."""
    for _ in range(100):
        prefix = f'127.{random.randint(64, 223)}.{random.randint(1, 250)}'
        first = random.randrange(10000, 30000, 50)
        ports = {
            'inner': first,
            'control': first + 20,
            'directory': first + 21,
            'front': first + 22,
            'ready': first + 23,
            'server': first + 24,
        }
        try:
            for port in (*range(first, first + 16), *ports.values()):
                with socket.socket() as probe:
                    probe.bind((f'{prefix}.1', port))
        except OSError:
            continue
        return prefix, ports
    raise CannotRun('no free loopback addresses')


@contextlib.contextmanager
def playing(case_folder):
    """Yield a platform and a record; end all processes afterwards."""
    if not (ROOT / 'target/deps').is_dir():
        raise CannotRun('target/deps is missing: run the build of deploy/')
    record = Record(case_folder)
    folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    platform = None
    try:
        platform = Platform(folder, record)
        yield platform, record
    finally:
        if platform is not None:
            platform.end_all()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(folder, ignore_errors=True)
        record.close()


def start_core(platform, operator, record, count=5):
    """Start the core machines for the first time; send a configuration."""
    core = [platform.add(f'core-{n}', 'voter', n) for n in range(1, count + 1)]
    platform.use_as_seeds(core[:3])
    for machine in core:
        platform.start(machine, bootstrap=True)
    if not operator.change(plain_configuration, 1, 30.0):
        raise CannotRun('the first configuration was not accepted')
    return core


def wait_until(at):
    """Sleep until a time of the monotonic clock."""
    time.sleep(max(0.0, at - time.monotonic()))


def main(case, case_folder):
    """Run a case and return the exit code.

    :param case: called with the platform, the record and whether to bring
        the disruption about; returns whether the rule held.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    # Processes are ended also if the script itself is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with playing(case_folder) as (platform, record):
            held = case(platform, record, has_trouble)
            record.note(f'the rule {"held" if held else "was broken"}')
            return 0 if held else 1
    except CannotRun as error:
        print(f'cannot run: {error}', flush=True)
    except Exception:
        # Not to be taken for a broken rule.
        traceback.print_exc()
    return 2
