"""An answer without a length is reset on its way through another instance."""

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

ROUNDS = 8
#: Seconds between two requests.
EVERY_S = 3.0
#: Seconds after a connection attempt until the server's queue has room again.
FULL_S = 0.2
FILLERS = 4
WORK_S = 0.045
BODY = b'x' * 800
#: State of a connecting socket in /proc/net/tcp.
_SYN_SENT = '02'


class Server:
    """A plain replica; all of its answers have no length and are reset.

    Its queue of new connections can be full for a moment, so that the opening
    packet of a connection is dropped.
    """

    def __init__(self, platform, record):
        self.ip = platform.new_ip()
        self.port = platform.ports['server']
        self.id = 'i-7f3a91c2'
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
                self._record.note('server: an opening packet was dropped')
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
            connected.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                + f'X-Instance-Id: {self.id}\r\n\r\n'.encode()
            )
            return
        if headers.get('x-expect-instance', self.id) != self.id:
            connected.sendall(
                b'HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n'
                + f'X-Request-Id: {request_id}\r\n'.encode()
                + b'Content-Length: 0\r\n\r\n'
            )
            return
        self._record.note(f'server: runs {request_id} ({first})')
        time.sleep(WORK_S)
        connected.sendall(
            'HTTP/1.1 200 OK\r\n'
            f'X-Request-Id: {request_id}\r\n'
            f'X-Response-Seal: seal.{request_id}\r\n'
            'Connection: close\r\n\r\n'.encode()
            + BODY[: len(BODY) // 2]
        )
        time.sleep(0.2)
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self._record.note(
            f'server: resets the connection in the middle of {request_id}, '
            f'{len(BODY) // 2} of {len(BODY)} bytes sent'
        )

    def _beat(self):
        sequence = 0
        while not self._ended.is_set():
            sequence += 1
            body = json.dumps(
                {
                    'service': 'booking-desk',
                    'address': f'{self.ip}:{self.port}',
                    'zone': common.ZONES[0],
                    'version': 'v1',
                    'slots': 6,
                    'state': 'ready',
                    'coldRemainingMs': 0,
                    'sequence': sequence,
                }
            ).encode()
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


def is_ready(platform, machine):
    address = machine.ip, platform.ports['ready']
    return common.call(address, 'GET', '/readiness')[0] == 200


def ask(platform, record, entry, number):
    """Send a request as a client does; return whether the rule held."""
    request_id = f'{number:016x}'
    record.note(f'client: sends {request_id} to {entry.name}')
    status, content = common.call(
        (entry.ip, platform.ports['front']),
        'GET',
        f'/booking/{number}',
        headers={
            'Host': 'desk.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '2500',
        },
        timeout_s=3.0,
    )
    is_broken = status is not None and status < 300 and content != BODY
    record.note(
        f'client: {request_id} is answered {status}, {len(content)} bytes, '
        + ('framed as complete' if status is not None else 'incomplete')
    )
    return not is_broken


def play(platform, record, has_trouble):
    operator = common.Operator(platform, record)
    common.start_core(platform, operator, record, count=3)
    entries = [platform.add(f'front-{n}', 'entry', n) for n in (1, 2)]
    for entry in entries:
        platform.start(entry, bootstrap=True)
    server = Server(platform, record)
    server.start()
    try:
        ends_at = time.monotonic() + 20.0
        while not all(is_ready(platform, each) for each in entries):
            if time.monotonic() > ends_at:
                raise common.CannotRun('the entries are not ready')
            time.sleep(0.2)
        time.sleep(5.0)
        held = True
        for number in range(1, ROUNDS + 1):
            if has_trouble:
                server.drop_next_opening()
            held &= ask(platform, record, entries[0], number)
            time.sleep(EVERY_S)
        return held
    finally:
        server.end()


if __name__ == '__main__':
    sys.exit(common.main(play, FOLDER))
