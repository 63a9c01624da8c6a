"""Rate limits of backend servers hold over all instances together."""

import unittest

from tests import limited_servers
from tests import network

SERVERS = ('portal-1', 'portal-2', 'portal-3', 'portal-4')
#: Seconds after a server first named its limit from which the limit binds.
GRACE_S = 3.0


def make_servers(count=7, voters=5, backend_ids=SERVERS, make=None):
    """Return servers behind ``count`` instances."""
    net = (make or network.Network)(count=count, voters=voters)
    return limited_servers.LimitedServers(
        net=net, backend_ids=backend_ids, through=('gw-1', 'gw-2')
    )


class LimitedTest(unittest.TestCase):
    """Base class: checks the promise in windows of four seconds."""

    def check_limits(self, servers, since):
        for backend_id, per_s in servers.limits_by_id.items():
            with self.subTest(backend_id=backend_id, per_s=per_s):
                self.assertLessEqual(
                    servers.most_in_window(backend_id, since=since),
                    limited_servers.most_allowed(per_s),
                )


class OneLimitTest(LimitedTest):
    """Guards against more requests than a backend server says it takes.

    Its limit is for all instances together. Others have room for the rest.
    """

    def test_seven_instances_keep_the_limit_together(self):
        self.check_load(count=7)

    def test_eighty_instances_keep_the_limit_together(self):
        self.check_load(count=80)

    def check_load(self, count):
        servers = make_servers(count=count)
        servers.run(3.0, calls_per_s=16.5)
        servers.limits_by_id = {'portal-1': 1.9, 'portal-2': 1.2}
        began = servers.net.now
        servers.run(12.0, calls_per_s=16.5)
        self.check_limits(servers, since=began + GRACE_S)
        self.assertEqual(servers.refused, [])
        self.assertGreaterEqual(servers.answered, 240)
