"""Discovery through seeds: forming a new system and joining a running one."""

import contextlib
import queue
import threading
import unittest

from nose2.tools import params

from dandeliongw.api import http_ports
from dandeliongw import joining
from dandeliongw import settings
from tests import raw_server

OWN = '127.0.0.1:1'
TIMEOUT_S = 20


def make_members(instance_id, *others):
    return joining.Members(
        instance_id=instance_id,
        instances=tuple(
            joining.FoundInstance(
                instance_id=each, host='10.0.0.1', port=place + 1
            )
            for place, each in enumerate((instance_id, *others))
        ),
    )


class JoinerTest(unittest.TestCase):
    """Uses real seeds on ports chosen by the operating system."""

    def setUp(self):
        self.events = queue.Queue()
        self.seeds = []

    def seed(self, members):
        """Start an instance's control port; return its address."""
        listen = settings.Listen(host='127.0.0.1', port=0, threads=2)
        port = http_ports.Port(listen=listen, field='control', shutdown_s=1.0)
        port.bind()
        port.serve(joining.make_application(lambda: members))
        self.addCleanup(port.close)
        return settings.Address(host='127.0.0.1', port=port.number)

    def join(self, *seeds, forms):
        self.seeds = list(seeds)
        joiner = joining.Joiner(
            read_seeds=lambda: tuple(self.seeds),
            forms=forms,
            own_address=OWN,
            post=lambda make: self.events.put(make(now=0.0)),
        )
        joiner.start()
        self.addCleanup(joiner.stop)
        return joiner

    def next_event(self):
        return self.events.get(timeout=TIMEOUT_S)

    def test_an_answer_without_end_is_given_up(self):
        """Guards against a seed that fills the memory of those that join."""
        given_up = threading.Event()

        def send_without_end(connection):
            with contextlib.suppress(OSError):
                connection.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
                while True:
                    connection.sendall(bytes(1 << 16))
            given_up.set()

        server = self.enterContext(raw_server.serving(send_without_end))
        host, _, port = server.url.removeprefix('http://').rpartition(':')
        self.join(settings.Address(host=host, port=int(port)), forms=False)
        self.assertTrue(given_up.wait(TIMEOUT_S))

    def test_an_answer_that_lists_no_instances_is_asked_for_again(self):
        """Guards against a thread that ends by what it logs of an answer."""
        members = make_members('gw-1', 'gw-7').model_dump(mode='json')
        server = self.enterContext(
            raw_server.serving(
                raw_server.answer({'instance_id': '{}'}),
                raw_server.answer(members),
            )
        )
        host, _, port = server.url.removeprefix('http://').rpartition(':')
        self.join(settings.Address(host=host, port=int(port)), forms=False)
        found = self.next_event()
        self.assertEqual(
            ['gw-1', 'gw-7'], [each.instance_id for each in found.instances]
        )

    def test_a_joiner_finds_all_instances_that_a_seed_lists(self):
        seed = self.seed(make_members('gw-1', 'gw-7'))
        self.join(seed, forms=False)
        event = self.next_event()
        self.assertEqual(
            ['gw-1', 'gw-7'], [each.instance_id for each in event.instances]
        )
        self.assertEqual((), event.first_voters)

    def test_the_first_voters_are_all_seeds_or_none(self):
        """Guards against two systems, each with its own configuration.

        At the first start some instances get responses of two seeds, others
        of all three. If each formed a register with the seeds that responded,
        the first voters would differ between instances.
        """
        seeds = [self.seed(make_members(name)) for name in ('c', 'a', 'b')]
        self.join(*seeds, forms=True)
        first_voters = [self.next_event().first_voters for _ in seeds]
        self.assertEqual(first_voters, [(), (), ('a', 'b', 'c')])

    @params(True, False)
    def test_an_unreachable_seed_does_not_block_joining(self, forms):
        """Guards against a restarted instance that never finds the others."""
        gone = settings.Address(host='127.0.0.1', port=1)
        reachable = self.seed(make_members('gw-2'))
        self.join(gone, reachable, forms=forms)
        self.assertEqual('gw-2', self.next_event().instances[0].instance_id)

    def test_other_seeds_are_queried_after_a_reload(self):
        joiner = self.join(self.seed(make_members('old')), forms=False)
        self.next_event()
        self.seeds = [self.seed(make_members('new'))]
        joiner.query_now()
        while self.next_event().instances[0].instance_id != 'new':
            pass
