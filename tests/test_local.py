"""A local system reports ended processes at once and retries lost ports."""

import pathlib
import shutil
import socket
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from tools import local

#: A program that exits with the code that is formatted in.
ENDING = 'import sys; print("no luck today"); sys.exit({})'


TIMEOUTS = {'entries_ttl_s': 0.1}


class LocalTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='dandeliongw-'))
        self.addCleanup(shutil.rmtree, self.folder)

    def run_ending(self, code):
        """Return the error of a system whose instances exit with a code."""
        command = (sys.executable, '-c', ENDING.format(code))
        running = local.run_system(
            folder=self.folder, instances=1, command=command
        )
        with self.assertRaises(local.InstanceExited) as raised:
            self.enterContext(running)
        return raised.exception

    def starts(self):
        return (self.folder / 'gw-1.log').read_text().count('no luck')

    def test_an_instance_that_ended_is_reported_with_its_log(self):
        """The wait for an instance checks its process, not only its port.

        Otherwise a test whose instance ends during its start would wait for
        the whole time-out and then show no cause.
        """
        error = self.run_ending(3)
        self.assertEqual(3, error.code)
        for part in ('gw-1', 'exit code 3', 'no luck today'):
            self.assertIn(part, str(error))
        self.assertEqual(1, self.starts())

    def test_any_instance_that_ended_is_reported(self):
        """The wait for one instance checks the processes of all.

        If the last instance ends, the first one waits for its vote until the
        time-out.
        """
        system = local.LocalSystem(folder=self.folder, instances=3)
        self.addCleanup(system.kill_and_delete)
        system.start_instance('gw-1')
        system.instances_by_id['gw-3'].process = subprocess.Popen(
            [sys.executable, '-c', 'raise SystemExit(4)']
        )
        system.instances_by_id['gw-3'].log_file.touch()
        with self.assertRaises(local.InstanceExited) as raised:
            system.wait_serving()
        self.assertEqual(4, raised.exception.code)

    def test_lost_ports_are_retried_a_few_times_only(self):
        self.assertEqual(6, self.run_ending(6).code)
        self.assertEqual(local.MAX_START_ATTEMPTS, self.starts())

    def test_a_lost_port_is_replaced_by_new_ones(self):
        """A free port can't be reserved for a process that starts later.

        If another process takes it meanwhile, the instance ends with exit
        code 6. Without a retry, any test would fail now and then.
        """
        taken = self.enterContext(socket.create_server((local.HOST, 0)))
        lost = taken.getsockname()[1]
        ports = [[lost, *local.free_ports(2)], local.free_ports(3)]
        with mock.patch.object(local, 'free_ports', side_effect=ports):
            system = self.enterContext(
                local.run_system(
                    folder=self.folder, instances=1, timeouts=TIMEOUTS
                )
            )
        self.assertIsNone(system.instances_by_id['gw-1'].process.poll())
        self.assertNotEqual(lost, system.instances_by_id['gw-1'].callers_port)

    def test_an_instance_killed_on_purpose_is_not_waited_for(self):
        system = self.enterContext(
            local.run_system(
                folder=self.folder, instances=1, timeouts=TIMEOUTS
            )
        )
        system.kill(system.instances_by_id['gw-1'].process)
        system.wait_serving()

    def test_ports_found_together_differ(self):
        ports = local.free_ports(100)
        self.assertEqual(100, len(set(ports)))
