"""Whether any process listens at an address."""

import socket
import unittest

from dandeliongw import probe
from tools import local


class ProbeTest(unittest.TestCase):
    def test_a_port_without_a_process_is_refused(self):
        (port,) = local.free_ports(1)
        self.assertTrue(probe.is_refused(f'http://127.0.0.1:{port}'))

    def test_a_process_that_takes_nothing_is_there(self):
        """A frozen process counts as there: its system takes connections."""
        with socket.create_server(('127.0.0.1', 0)) as server:
            port = server.getsockname()[1]
            self.assertFalse(probe.is_refused(f'http://127.0.0.1:{port}'))

    def test_no_answer_proves_nothing(self):
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
