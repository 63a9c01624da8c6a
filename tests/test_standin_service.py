"""The stand-in plain service reports whether a request ran."""

import contextlib
import unittest

from dandeliongw import engine
from dandeliongw import http_backends
from dandeliongw import verdict
from tools import json_server
from tools import standin_service

HOST = '127.0.0.1'


@contextlib.contextmanager
def serving(**faults):
    service = standin_service.Service(
        faults=standin_service.ServiceFaults(**faults)
    )
    server = json_server.JsonServer(
        host=HOST,
        port=0,
        handlers={('GET', '/runs'): service.runs},
        otherwise=service.call,
    )
    server.start()
    try:
        yield f'http://{HOST}:{server.port}'
    finally:
        server.stop()


def call(url, path='/bookings', method='POST'):
    adapter = http_backends.PlainService(
        url=url, connect_s=20.0, timeout_s=20.0
    )
    return adapter.call(
        method=method, path=path, body=b'{}', headers={}, max_bytes=1 << 20
    )


class Refusals(unittest.TestCase):
    def test_a_refused_call_is_reported_as_not_run(self):
        """A refused booking must not count as one that may have run.

        It does if the service's 503 lacks the header that marks a request
        as not run.
        """
        with serving(refuse=True) as url:
            with self.assertRaises(engine.EngineError) as raised:
                call(url)
            runs = call(url, '/runs', 'GET')
        self.assertEqual(raised.exception.known, verdict.Verdict.NOT_RUN)
        self.assertEqual(raised.exception.reason, 'busy')
        self.assertIn(b'"by_body": {}', runs.body)

    def test_a_call_that_ran_is_passed_on(self):
        with serving() as url:
            self.assertEqual(call(url).status, 200)
