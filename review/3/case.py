"""An answer without a length is reset on its way through another instance."""

import itertools
import json
import pathlib
import socket
import struct
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import common  # noqa: E402

ROUNDS = 6
#: Requests before each one whose answer is reset; half of them go to the
#: faulty server, so that it breaks off fewer than 5 in 100 of its answers.
SOUND_REQUESTS = 44
#: Requests that are sent at most until the faulty server gets one.
MOST_TRIES = 12
#: Seconds after a connection attempt until the server's queue has room again.
FULL_S = 0.2
FILLERS = 4
WORK_S = 0.045
BODY = b'x' * 800
#: State of a connecting socket in /proc/net/tcp.
_SYN_SENT = '02'


class Server:
    """A plain replica.

    Its queue of new connections can be full for a moment, so that the opening
    packet of a connection is dropped. It can break off its next answer, which
    then has no length.
    """

    def __init__(self, platform, record, server_id):
        self.ip = platform.new_ip()
        self.port = platform.ports['server']
        self.id = server_id
        self.answers = 0
        self.broken_off = 0
        self._breaks_next = False
        self._platform = platform
        self._record = record
        self._listener = None
        self._fillers = []
        self._has_room = threading.Event()
        self._ended = threading.Event()

    def start(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self.ip, self.port))
        self._listener.listen(64)
        self._has_room.set()
        for work in (self._accept, self._beat):
            threading.Thread(target=work, daemon=True).start()

    def end(self):
        self._ended.set()
        self._listener.close()

    def break_next_off(self):
        """Reset the connection in the middle of the next answer."""
        self._breaks_next = True

    def drop_next_opening(self):
        """Have no room in the queue until a connection was attempted."""
        self._has_room.clear()
        # The accepting thread waits in accept(); this connection wakes it.
        socket.create_connection((self.ip, self.port)).close()
        time.sleep(0.1)
        self._listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.ip, self.port))
            self._fillers.append(filler)
        threading.Thread(target=self._make_room, daemon=True).start()

    def _make_room(self):
        fillers = {each.getsockname()[1] for each in self._fillers}
        ends_at = time.monotonic() + 5.0
        while time.monotonic() < ends_at:
            if self._connecting_ports() - fillers:
                self._record.note(f'{self.id}: drops an opening packet')
                time.sleep(FULL_S)
                break
            time.sleep(0.005)
        for each in self._fillers:
            each.close()
        self._fillers.clear()
        self._listener.listen(64)
        self._has_room.set()

    def _connecting_ports(self):
        packed = socket.inet_aton(self.ip)[::-1].hex().upper()
        remote = f'{packed}:{self.port:04X}'
        found = set()
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines():
            fields = line.split()
            if fields[2] == remote and fields[3] == _SYN_SENT:
                found.add(int(fields[1].rpartition(':')[2], 16))
        return found

    def _accept(self):
        while not self._ended.is_set():
            self._has_room.wait()
            try:
                connected, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connected,), daemon=True
            ).start()

    def _serve(self, connected):
        with connected:
            connected.settimeout(20.0)
            head = b''
            try:
                while b'\r\n\r\n' not in head:
                    data = connected.recv(65536)
                    if not data:
                        return
                    head += data
                self._answer(connected, head.decode('latin-1'))
            except OSError:
                pass

    def _answer(self, connected, head):
        first, *lines = head.partition('\r\n\r\n')[0].split('\r\n')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (each.partition(':') for each in lines)
        }
        request_id = headers.get('x-request-id')
        if request_id is None:
            health = _head('200 OK', 'health headers', server_id=self.id)
            connected.sendall(health + b'Content-Length: 0\r\n\r\n')
            return
        expected = headers.get(common.MESSAGES['expected server'].lower())
        if expected not in (None, self.id):
            rejection = _head(
                '421 Misdirected Request',
                'rejection headers',
                request_id=request_id,
            )
            connected.sendall(rejection + b'Content-Length: 0\r\n\r\n')
            return
        self.answers += 1
        breaks_off, self._breaks_next = self._breaks_next, False
        time.sleep(WORK_S)
        answer = _head(
            '200 OK',
            'answer headers',
            request_id=request_id,
            seal=f'seal.{request_id}',
        )
        if not breaks_off:
            # Idle connections are closed after a second.
            answer += f'Content-Length: {len(BODY)}\r\n'.encode()
            answer += b'Keep-Alive: timeout=1\r\n\r\n'
            connected.settimeout(1.0)
            connected.sendall(answer + BODY)
            return
        self.broken_off += 1
        self._record.note(f'{self.id}: runs {request_id} ({first})')
        half = BODY[: len(BODY) // 2]
        connected.sendall(answer + b'Connection: close\r\n\r\n' + half)
        time.sleep(0.2)
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self._record.note(
            f'{self.id}: resets the connection in the middle of {request_id}, '
            f'{len(half)} of {len(BODY)} bytes sent'
        )

    def _beat(self):
        sequence = 0
        while not self._ended.is_set():
            sequence += 1
            heartbeat = common.fill(
                common.MESSAGES['heartbeat'],
                address=f'{self.ip}:{self.port}',
                zone=common.ZONES[0],
                sequence=sequence,
            )
            body = json.dumps(heartbeat).encode()
            for machine in self._platform.running():
                if machine.role == 'voter':
                    status, _ = common.call(
                        self._platform.control(machine),
                        'PUT',
                        f'/instances/{self.id}',
                        body,
                    )
                    if status == 200:
                        break
            time.sleep(1.2)


def _head(status, name, **values):
    """Return the first lines of an answer, without the empty line."""
    fields = common.fill(common.MESSAGES[name], **values)
    lines = [f'HTTP/1.1 {status}', *(f'{k}: {v}' for k, v in fields.items())]
    return ''.join(f'{each}\r\n' for each in lines).encode()


def is_ready(platform, machine):
    address = machine.ip, platform.ports['ready']
    return common.call(address, 'GET', '/readiness')[0] == 200


def ask(platform, entry, request_id):
    """Send a request as a client does; return status and body."""
    return common.call(
        (entry.ip, platform.ports['front']),
        'GET',
        f'/booking/{request_id}',
        headers=common.fill(
            common.MESSAGES['request headers'], request_id=request_id
        ),
        timeout_s=3.0,
    )


def is_whole(status, content):
    """Whether an answer isn't a success, or has the whole body."""
    return status is None or status >= 300 or content == BODY


def play_round(platform, record, entries, faulty, numbers, *, has_trouble):
    """Send sound requests, then one whose answer is broken off."""
    held = True
    for count in range(SOUND_REQUESTS):
        entry = entries[count % len(entries)]
        held &= is_whole(*ask(platform, entry, f'{next(numbers):016x}'))
    faulty.break_next_off()
    if has_trouble:
        faulty.drop_next_opening()
    before = faulty.broken_off
    for _ in range(MOST_TRIES):
        request_id = f'{next(numbers):016x}'
        status, content = ask(platform, entries[0], request_id)
        held &= is_whole(status, content)
        if faulty.broken_off > before:
            record.note(
                f'client: {request_id}, sent to {entries[0].name}, is '
                f'answered {status}, {len(content)} of {len(BODY)} bytes, '
                + ('incomplete' if status is None else 'framed as complete')
            )
            break
    return held


def play(platform, record, has_trouble):
    operator = common.Operator(platform, record)
    common.start_core(platform, operator, record, count=3)
    entries = [platform.add(f'front-{n}', 'entry', n) for n in (1, 2)]
    for entry in entries:
        platform.start(entry, bootstrap=True)
    faulty = Server(platform, record, 'i-1f3a91c2')
    servers = [faulty, Server(platform, record, 'i-31b174c2')]
    for server in servers:
        server.start()
    try:
        ends_at = time.monotonic() + 20.0
        while not all(is_ready(platform, each) for each in entries):
            if time.monotonic() > ends_at:
                raise common.CannotRun('the entries are not ready')
            time.sleep(0.2)
        time.sleep(5.0)
        numbers = itertools.count(1)
        held = True
        for _ in range(ROUNDS):
            held &= play_round(
                platform,
                record,
                entries,
                faulty,
                numbers,
                has_trouble=has_trouble,
            )
        for server in servers:
            record.note(
                f'{server.id}: {server.answers} answers, '
                f'{server.broken_off} of them broken off'
            )
        return held
    finally:
        for server in servers:
            server.end()


if __name__ == '__main__':
    sys.exit(common.main(play, FOLDER))
