"""A server that answers with given bytes, valid HTTP or not."""

import contextlib
import json
import socket
import threading

TIMEOUT_S = 20


class RawServer:
    """Answers its n-th connection with the n-th reply.

    The last reply is repeated for further connections. A reply is bytes, sent
    before the connection is closed, or a function that gets the connection.
    """

    def __init__(self, *replies):
        self._replies = list(replies)
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.url = f'http://127.0.0.1:{self._listener.getsockname()[1]}'
        self.calls = []
        self.served = threading.Semaphore(0)
        #: Set when a test is over, so that no reply blocks forever.
        self.over = threading.Event()

    def run(self):
        threads = []
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                break
            reply = self._replies[0]
            if len(self._replies) > 1:
                del self._replies[0]
            thread = threading.Thread(
                target=self._serve, args=(connection, reply)
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _serve(self, connection, reply):
        connection.settimeout(TIMEOUT_S)
        with connection, contextlib.suppress(OSError):
            if not self._read(connection):
                return
            if callable(reply):
                reply(connection)
            else:
                connection.sendall(reply)
                connection.shutdown(socket.SHUT_WR)
                connection.recv(1)

    def _read(self, connection):
        reader = connection.makefile('rb')
        line = reader.readline().decode()
        if not line:
            return False
        headers = {}
        while text := reader.readline().strip():
            name, _, value = text.decode().partition(':')
            headers[name.lower()] = value.strip()
        body = reader.read(int(headers.get('content-length', 0)))
        self.calls.append((line.split()[1], headers, body))
        self.served.release()
        return True

    def bodies(self):
        return [json.loads(body) for _, _, body in self.calls]

    def hang(self, *before):
        """Return a reply that sends some bytes and then stalls."""

        def reply(connection):
            for each in before:
                connection.sendall(each)
            connection.settimeout(None)
            while not self.over.is_set() and connection.recv(1):
                pass

        return reply

    def close(self):
        self.over.set()
        # Closing the socket does not wake a thread blocked in accept().
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@contextlib.contextmanager
def serving(*replies):
    server = RawServer(*replies)
    thread = threading.Thread(target=server.run)
    thread.start()
    try:
        yield server
    finally:
        server.close()
        thread.join(TIMEOUT_S)


def answer(body, status='200 OK', *headers):
    """Return an HTTP answer with its length.

    :param body: bytes, or a value to encode as JSON.
    """
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}', *headers]
    return '\r\n'.join([*head, '', '']).encode() + body


STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def piece(attempt_id, offset, text):
    return _event({'attempt_id': attempt_id, 'offset': offset, 'text': text})


def end(attempt_id, tokens):
    return _event({'attempt_id': attempt_id, 'end': True, 'tokens': tokens})


def _event(fields):
    return chunk(b'data: ' + json.dumps(fields).encode() + b'\n\n')


def refused_url():
    """Return a URL at which nothing listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'http://127.0.0.1:{probe.getsockname()[1]}'
