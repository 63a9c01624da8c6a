"""Paths to backend servers: direct, or through another instance."""

import contextlib
import errno
import socket
import threading
import unittest
from unittest import mock

from nose2.tools import params

from dandeliongw import clock
from dandeliongw import effects
from dandeliongw import paths
from dandeliongw import tunnels
from tests import raw_server
from tools import local

TIMEOUT_S = raw_server.TIMEOUT_S


class PathsTestCase(unittest.TestCase):
    """Base class: an instance whose direct connections a test can fail.

    Two other instances, ``gw-2`` and ``gw-3``, serve tunnels on sockets.
    """

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.backend = self.stack.enter_context(
            socket.create_server(('127.0.0.1', 0))
        )
        self.backend.settimeout(TIMEOUT_S)
        self.host, self.port = self.backend.getsockname()
        self.paths = paths.Paths(secret=None)
        self.changes = []
        self.paths.on_change(lambda *address: self.changes.append(address))
        #: Ports to which no direct connection succeeds, with the error.
        self.lost = {}
        connect = socket.create_connection
        # The tunnel servers connect by asyncio, so only the instance under
        # test is cut off.
        self.stack.enter_context(
            mock.patch.object(
                socket,
                'create_connection',
                lambda to, *rest, **options: self.connect(
                    connect, to, *rest, **options
                ),
            )
        )
        self.now = 100.0
        self.stack.enter_context(
            mock.patch.object(clock, 'now', lambda: self.now)
        )

    def connect(self, connect, to, *rest, **options):
        if to[1] in self.lost:
            raise self.lost[to[1]]
        return connect(to, *rest, **options)

    def lose(self, error=TimeoutError, port=None):
        number = (
            errno.ECONNREFUSED
            if error is ConnectionRefusedError
            else errno.ETIMEDOUT
        )
        self.lost[port or self.port] = error(number, 'cut')

    def serve(self, *reachable):
        """Run other instances; each reaches the backend server, or not."""
        peers = []
        for number, is_reached in enumerate(reachable, 2):
            server = self.stack.enter_context(
                tunnels.serving(
                    host='127.0.0.1',
                    port=0,
                    secret=None,
                    may_connect=lambda address, found=is_reached: found,
                )
            )
            peers.append(
                effects.TunnelPeer(
                    instance_id=f'gw-{number}',
                    host=server.host,
                    port=server.port,
                )
            )
        self.paths.set_peers(peers)

    def add_refused_peer(self):
        """Add an instance, asked first, that is refused by all servers."""
        server = self.stack.enter_context(
            raw_server.serving(b'HTTP/1.1 502 refused\r\n\r\n')
        )
        _, _, port = server.url.rpartition(':')
        peer = effects.TunnelPeer(
            instance_id='gw-9', host='127.0.0.1', port=int(port)
        )
        self.paths.set_peers([peer, *self.paths._peers])
        return peer

    def through(self):
        """Connect; return the other end's bytes of one message."""
        made = self.paths.connect(self.host, self.port, TIMEOUT_S)
        self.stack.callback(made.close)
        other, _ = self.backend.accept()
        self.stack.callback(other.close)
        other.settimeout(TIMEOUT_S)
        made.sock.sendall(b'question')
        return other.recv(100)

    def wait_for_checks(self):
        for thread in threading.enumerate():
            if thread.name == 'path check':
                thread.join(TIMEOUT_S)


class DetourTest(PathsTestCase):
    """Guards against calls that fail at an entry that lost the servers.

    Callers and the other instances still reach it, and the latter reach the
    backend servers.
    """

    def test_a_connection_is_direct_while_that_works(self):
        self.serve(True)
        self.assertEqual(b'question', self.through())
        self.assertEqual([], self.changes)
        self.assertEqual(0, self.paths.asked_by_outcome['opened'])

    def test_a_lost_path_leads_through_another_instance(self):
        self.serve(True)
        for error in (TimeoutError, ConnectionRefusedError, OSError):
            with self.subTest(error=error):
                self.lose(error)
                self.assertEqual(b'question', self.through())
        self.assertEqual(1, self.paths.detours())
        self.assertEqual([(self.host, self.port)], self.changes)

    def test_an_instance_that_is_cut_off_too_is_passed_over(self):
        self.serve(False, True)
        self.lose()
        self.assertEqual(b'question', self.through())
        self.assertEqual(1, self.paths.asked_by_outcome['unreachable'])
        # The next one goes to the instance that helped.
        self.assertEqual(b'question', self.through())
        self.assertEqual(1, self.paths.asked_by_outcome['unreachable'])

    def test_a_server_that_has_ended_is_not_looked_for_elsewhere(self):
        self.serve(True, True)
        self.backend.close()
        with self.assertRaises(ConnectionRefusedError):
            self.paths.connect(self.host, self.port, TIMEOUT_S)
        self.assertEqual(2, self.paths.asked_by_outcome['refused'])
        self.assertEqual(0, self.paths.detours())

    def test_a_helper_that_is_refused_as_well_is_not_believed_alone(self):
        """Guards against two cut-off entries that confirm each other's error.

        Connections of both are refused by servers that are sound.
        """
        self.serve(True)
        self.add_refused_peer()
        self.lose(ConnectionRefusedError)
        self.assertEqual(b'question', self.through())
        self.assertEqual(1, self.paths.asked_by_outcome['refused'])

    def test_a_helper_that_is_cut_off_later_is_replaced(self):
        self.serve(True)
        self.lose(ConnectionRefusedError)
        self.through()
        refused = self.add_refused_peer()
        address = tunnels.Address(host=self.host, port=self.port)
        self.paths._path(address).through = refused
        self.assertEqual(b'question', self.through())

    def test_others_are_not_asked_over_and_over(self):
        """All instances are cut off from a server, or it has no power."""
        self.serve(False, False)
        self.lose()
        for _ in range(3):
            with self.assertRaises(TimeoutError):
                self.paths.connect(self.host, self.port, TIMEOUT_S)
        self.assertEqual(2, self.paths.asked_by_outcome['unreachable'])
        self.now += paths.DOWN_S
        with self.assertRaises(TimeoutError):
            self.paths.connect(self.host, self.port, TIMEOUT_S)
        self.assertEqual(4, self.paths.asked_by_outcome['unreachable'])

    def test_without_other_instances_the_error_is_of_the_connection(self):
        self.lose(ConnectionResetError)
        with self.assertRaises(ConnectionResetError):
            self.paths.connect(self.host, self.port, TIMEOUT_S)

    def test_a_path_that_heals_is_used_again(self):
        self.serve(True)
        self.lose()
        self.through()
        self.lost.clear()
        self.now += paths.CHECK_S
        self.through()
        self.wait_for_checks()
        self.assertEqual(0, self.paths.detours())
        self.assertEqual(2, len(self.changes))
        asked = dict(self.paths.asked_by_outcome)
        # The check's own connection waits to be accepted before it.
        self.through()
        self.assertEqual(asked, self.paths.asked_by_outcome)

    def test_another_helper_is_found_when_one_ends(self):
        self.serve(True, True)
        self.lose()
        self.through()
        first = self.paths._last_helper
        self.paths.set_peers(
            [each for each in self.paths._peers if each.instance_id != first]
        )
        path = self.paths._path(
            tunnels.Address(host=self.host, port=self.port)
        )
        (port,) = local.free_ports(1)
        path.through = effects.TunnelPeer(
            instance_id=first, host='127.0.0.1', port=port
        )
        self.assertEqual(b'question', self.through())
        self.assertNotEqual(first, self.paths._last_helper)


class SuspectTest(PathsTestCase):
    """Guards against calls on kept connections whose path is lost.

    Such a connection shows nothing but silence.
    """

    def test_a_lost_path_is_found_by_a_check(self):
        self.serve(True)
        self.lose()
        self.paths.suspect(self.host, self.port)
        self.wait_for_checks()
        self.assertEqual(1, self.paths.detours())
        self.assertEqual([(self.host, self.port)], self.changes)

    def test_a_slow_server_changes_nothing(self):
        self.serve(True)
        self.paths.suspect(self.host, self.port)
        self.wait_for_checks()
        self.assertEqual(0, self.paths.detours())
        self.assertEqual([], self.changes)

    def test_other_servers_are_checked_as_well(self):
        other = self.stack.enter_context(
            socket.create_server(('127.0.0.1', 0))
        )
        _, port = other.getsockname()
        self.serve(True)
        self.stack.callback(
            self.paths.connect('127.0.0.1', port, TIMEOUT_S).close
        )
        self.lose()
        self.lose(port=port)
        self.through()
        self.wait_for_checks()
        self.assertEqual(2, self.paths.detours())


class EndedTest(PathsTestCase):
    """Guards against wrong evidence on calls that end backend servers.

    An entry that is cut off takes a refused connection for the end of a
    server, or an end for a lost path.
    """

    def is_ended(self):
        return self.paths.is_refused(f'http://{self.host}:{self.port}')

    def test_a_refusal_that_others_do_not_meet_is_no_end(self):
        self.serve(True)
        self.lose(ConnectionRefusedError)
        self.assertFalse(self.is_ended())

    def test_a_refusal_that_only_some_others_meet_is_no_end(self):
        self.serve(True)
        self.add_refused_peer()
        self.lose(ConnectionRefusedError)
        self.assertFalse(self.is_ended())

    @params(ConnectionRefusedError, TimeoutError)
    def test_a_refusal_that_others_meet_is_an_end(self, error):
        self.serve(False, True)
        self.backend.close()
        self.lose(error)
        self.assertTrue(self.is_ended())

    def test_an_end_is_found_while_the_server_is_reached_through_others(self):
        self.serve(True)
        self.lose()
        self.through()
        self.backend.close()
        self.assertTrue(self.is_ended())

    def test_a_refusal_that_nobody_can_check_is_no_end(self):
        self.serve(False)
        self.lose(ConnectionRefusedError)
        self.assertFalse(self.is_ended())

    @params((ConnectionRefusedError, True), (TimeoutError, False))
    def test_without_others_a_refusal_is_an_end(self, error, expected):
        self.lose(error)
        self.assertEqual(expected, self.is_ended())

    def test_a_server_that_listens_has_not_ended(self):
        self.serve(True)
        self.assertFalse(self.is_ended())
        self.assertEqual(0, sum(self.paths.asked_by_outcome.values()))


class DepartureTest(PathsTestCase):
    """Guards against connections to backend servers that have left."""

    def setUp(self):
        super().setUp()
        self.address = tunnels.Address(host='10.0.0.1', port=80)
        self.heard = []
        self.paths.on_departure(self.heard.append)

    def set_departed(self, has_departed):
        self.paths.set_departed('http://10.0.0.1', has_departed=has_departed)

    def test_no_tunnel_leads_there(self):
        self.assertTrue(self.paths.may_connect_for_others(self.address))
        self.set_departed(True)
        self.assertFalse(self.paths.may_connect_for_others(self.address))
        self.assertTrue(self.paths.has_departed('10.0.0.1', 80))
        self.assertFalse(self.paths.has_departed('10.0.0.1', 81))
        self.assertEqual([self.address], self.heard)

    def test_another_server_at_the_address_is_connected_to(self):
        self.set_departed(True)
        self.set_departed(False)
        self.assertTrue(self.paths.may_connect_for_others(self.address))
        self.assertFalse(self.paths.has_departed('10.0.0.1', 80))

    def test_the_address_is_forgotten_in_the_end(self):
        """Guards against a list that grows with each server that leaves."""
        self.set_departed(True)
        self.now += paths.DEPARTED_S
        self.paths.set_departed('http://10.0.0.2', has_departed=True)
        self.assertFalse(self.paths.has_departed('10.0.0.1', 80))
        self.assertTrue(self.paths.has_departed('10.0.0.2', 80))
