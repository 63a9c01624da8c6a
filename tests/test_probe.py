"""Probes whether a process listens at an address."""

import socket
import unittest

from dandeliongw import probe
from tools import local


class ProbeTest(unittest.TestCase):
    def test_a_port_without_a_process_is_refused(self):
        (port,) = local.free_ports(1)
        self.assertTrue(probe.is_refused(f'http://127.0.0.1:{port}'))

    def test_a_process_that_accepts_nothing_is_not_refused(self):
        """A frozen process counts as running.

        Its operating system still completes connections.
        """
        with socket.create_server(('127.0.0.1', 0)) as server:
            port = server.getsockname()[1]
            self.assertFalse(probe.is_refused(f'http://127.0.0.1:{port}'))

    def test_a_timeout_is_not_a_refusal(self):
        with socket.create_server(('127.0.0.1', 0), backlog=0) as server:
            address = server.getsockname()
            fillers = []
            for _ in range(4):
                filler = socket.socket()
                self.addCleanup(filler.close)
                filler.setblocking(False)
                filler.connect_ex(address)
                fillers.append(filler)
            url = f'http://127.0.0.1:{address[1]}'
            self.assertFalse(probe.is_refused(url, timeout_s=0.05))
