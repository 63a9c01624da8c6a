"""A stand-in plain service that counts how often each call ran.

Run ``python -m tools.standin_service --help``. ``GET /lookup`` may be
repeated, ``POST /bookings`` may not; ``GET /runs`` shows how often each
ran. ``POST /faults`` sets the switches of :class:`ServiceFaults`.
"""

import collections
from collections import abc
import dataclasses
import json
import os
import threading
import typing

import defopt

from dandeliongw import http_backends
from tools import announcer
from tools import json_server
from tools import standin_engine


@dataclasses.dataclass(kw_only=True, slots=True)
class ServiceFaults:
    """Switches for what may go wrong; all off at first.

    :param delay_s: before a call runs.
    :param delay_after_s: after it ran, before the answer.
    :param refuse: answer 503, say that nothing ran, and do not run.
    :param cut_before_run: close the connection and do not run.
    :param cut_after_run: run, then close the connection in the answer.
    :param end_on: end this process once it runs a call whose path, query or
        body holds this text; every connection to it breaks.
    """

    delay_s: float = 0.0
    delay_after_s: float = 0.0
    refuse: bool = False
    cut_before_run: bool = False
    cut_after_run: bool = False
    end_on: str = ''


class Service:
    """Answers calls and counts the runs."""

    def __init__(self, *, faults: ServiceFaults) -> None:
        self.faults = faults
        self._lock = threading.Lock()
        self._open = 0
        self._runs_by_request: collections.Counter[str] = collections.Counter()
        self._runs_by_body: collections.Counter[str] = collections.Counter()
        # Never set: waiting on it is a delay that any thread may have.
        self._never = threading.Event()

    def is_idle(self) -> bool:
        """Return whether no call is being answered."""
        with self._lock:
            return self._open == 0

    def load(self) -> dict[str, typing.Any]:
        """Return what a renewal carries."""
        load = {
            'running': self._open,
            'waiting': 0,
            'queued_tokens': 0,
            'slots_used': self._open,
            'kv_bytes': 0,
        }
        return {'load': load, 'cache_events': {'first': 0, 'events': []}}

    def call(self, request: json_server.Request) -> json_server.Answer:
        """Run any call that is not about the stand-in itself."""
        with self._lock:
            self._open += 1
        try:
            return self._run(request)
        finally:
            with self._lock:
                self._open -= 1

    def _run(self, request: json_server.Request) -> json_server.Answer:
        faults = self.faults
        self._never.wait(faults.delay_s)
        if faults.refuse:
            # A bare 503 counts as run: a proxy may have made it.
            return json_server.Answer(
                status=503,
                body={'reason': 'busy'},
                headers=((http_backends.NOT_RUN_HEADER, 'true'),),
            )
        if faults.cut_before_run:
            return json_server.Answer(stream=cut())
        run = self._count(request)
        self._never.wait(faults.delay_after_s)
        if faults.end_on and _holds(request, faults.end_on):
            os._exit(standin_engine.EXIT_CODE)
        if faults.cut_after_run:
            return json_server.Answer(stream=cut())
        answer = {
            'path': request.path,
            'query': request.query,
            'body': request.body.decode(errors='replace'),
            'request_id': request.headers.get('x-request-id', ''),
            'attempt_id': request.headers.get('x-attempt-id', ''),
            'run': run,
        }
        return json_server.Answer(body=answer)

    def _count(self, request: json_server.Request) -> int:
        request_id = request.headers.get('x-request-id', '')
        body = request.body.decode(errors='replace')
        with self._lock:
            self._runs_by_request[request_id] += 1
            self._runs_by_body[body] += 1
            return self._runs_by_request[request_id]

    def runs(self, request: json_server.Request) -> json_server.Answer:
        with self._lock:
            body = {
                'by_request': dict(self._runs_by_request),
                'by_body': dict(self._runs_by_body),
            }
        return json_server.Answer(body=body)

    def set_faults(self, request: json_server.Request) -> json_server.Answer:
        changes = request.json()
        for name in changes:
            if not hasattr(self.faults, name):
                return json_server.Answer(
                    status=404, body={'reason': f'no fault {name!r}'}
                )
        self.faults = dataclasses.replace(self.faults, **changes)
        return json_server.Answer(body=dataclasses.asdict(self.faults))


def _holds(request: json_server.Request, text: str) -> bool:
    return (
        text in request.path
        or text in request.query.values()
        or text.encode() in request.body
    )


def cut() -> abc.Iterator[bytes]:
    """Close the connection where a body would begin."""
    raise json_server.CutConnection
    yield b''


def main(
    *,
    backend_id: str,
    service: str = 'studio-portal',
    data_centre: str = '',
    host: str = '127.0.0.1',
    port: int = 0,
    control_urls: list[str] | None = None,
    slots: int = 64,
    faults: str = '{}',
) -> None:
    """Run a stand-in plain service until SIGTERM.

    :param backend_id: the name to announce.
    :param port: zero lets the system choose; the ready line tells it.
    :param control_urls: control ports of instances to announce to.
    :param slots: calls to announce that it takes at once.
    :param faults: switches as JSON, see ServiceFaults.
    """
    running = Service(faults=ServiceFaults(**json.loads(faults)))
    server = json_server.JsonServer(
        host=host,
        port=port,
        handlers={
            ('GET', '/runs'): running.runs,
            ('POST', '/faults'): running.set_faults,
        },
        otherwise=running.call,
    )
    server.start()
    url = f'http://{host}:{server.port}'
    announcement = {
        'service': service,
        'role': 'plain',
        'url': url,
        'data_centre': data_centre,
        'slots': slots,
        'checks_fence': False,
    }
    announce = announcer.Announcer(
        control_urls=control_urls or [],
        backend_id=backend_id,
        announcement=announcement,
        report=running.load,
    )
    ready = {'backend_id': backend_id, 'port': server.port, 'url': url}
    standin_engine.run_until_signal(server, ready, announce, running.is_idle)


if __name__ == '__main__':
    defopt.run(main, cli_options='all')
