"""A stand-in plain service that counts how often it runs each request.

Run ``python -m tools.standin_service --help``. By the demo's document,
``GET /lookup`` is idempotent and ``POST /bookings`` is not. ``GET /runs``
returns the counts. ``POST /faults`` sets the switches of
:class:`ServiceFaults`.
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
    """Switches for injected faults; all are off by default.

    :param delay_s: seconds before a request runs.
    :param delay_after_s: seconds between the run and the answer.
    :param refuse: don't run requests; answer 503 with the header that marks
        them as not run.
    :param cut_before_run: close the connection instead of running.
    :param cut_after_run: run, then close the connection during the answer.
    :param requests_per_s: rate limit that every answer states; 0 for none.
    :param end_on: exit after running a request whose path, query or body
        contains this text; this breaks all connections of the process.
    """

    delay_s: float = 0.0
    delay_after_s: float = 0.0
    refuse: bool = False
    cut_before_run: bool = False
    cut_after_run: bool = False
    requests_per_s: float = 0.0
    end_on: str = ''


class Service:
    """Answers requests and counts the runs."""

    def __init__(self, *, faults: ServiceFaults) -> None:
        self.faults = faults
        self._lock = threading.Lock()
        self._in_progress = 0
        self._runs_by_request: collections.Counter[str] = collections.Counter()
        self._runs_by_body: collections.Counter[str] = collections.Counter()
        # Never set; waiting on it with a timeout delays a thread.
        self._never = threading.Event()

    def is_idle(self) -> bool:
        """Return whether no request is being answered."""
        with self._lock:
            return self._in_progress == 0

    def load(self) -> dict[str, typing.Any]:
        """Return the load fields of a renewal."""
        load = {
            'running': self._in_progress,
            'waiting': 0,
            'queued_tokens': 0,
            'slots_used': self._in_progress,
            'kv_bytes': 0,
        }
        return {'load': load, 'cache_events': {'first': 0, 'events': []}}

    def call(self, request: json_server.Request) -> json_server.Answer:
        """Run a request to any path that has no handler of its own."""
        with self._lock:
            self._in_progress += 1
        try:
            return self._run(request)
        finally:
            with self._lock:
                self._in_progress -= 1

    def _run(self, request: json_server.Request) -> json_server.Answer:
        faults = self.faults
        self._never.wait(faults.delay_s)
        if faults.refuse:
            # Without the header, a 503 means that the call may have run,
            # because a proxy may have sent it.
            return json_server.Answer(
                status=503,
                body={'reason': 'busy'},
                headers=((http_backends.NOT_RUN_HEADER, 'true'),),
            )
        if faults.cut_before_run:
            return json_server.Answer(stream=cut())
        run = self._count(request)
        self._never.wait(faults.delay_after_s)
        if faults.end_on and _contains(request, faults.end_on):
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
        return json_server.Answer(body=answer, headers=self._limit())

    def _limit(self) -> tuple[tuple[str, str], ...]:
        """Return the header that states the rate limit, if there is one."""
        per_s = self.faults.requests_per_s
        name = http_backends.RATE_LIMIT_HEADER
        return ((name, f'{per_s:.3f}'),) if per_s else ()

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


def _contains(request: json_server.Request, text: str) -> bool:
    return (
        text in request.path
        or text in request.query.values()
        or text.encode() in request.body
    )


def cut() -> abc.Iterator[bytes]:
    """Close the connection before the first byte of the body."""
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

    :param backend_id: the id to announce.
    :param port: zero for any free port; the ready line contains it.
    :param control_urls: control URLs of instances to announce to.
    :param slots: announced limit of concurrent calls.
    :param faults: fault switches as JSON, see ServiceFaults.
    """
    stand_in = Service(faults=ServiceFaults(**json.loads(faults)))
    server = json_server.JsonServer(
        host=host,
        port=port,
        handlers={
            ('GET', '/runs'): stand_in.runs,
            ('POST', '/faults'): stand_in.set_faults,
        },
        otherwise=stand_in.call,
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
        report=stand_in.load,
    )
    ready = {'backend_id': backend_id, 'port': server.port, 'url': url}
    standin_engine.run_until_signal(server, ready, announce, stand_in.is_idle)


if __name__ == '__main__':
    defopt.run(main, cli_options='all')
