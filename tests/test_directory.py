"""The directory of an instance, with various numbers of members."""

import unittest

from nose2.tools import params

from dandeliongw import directory
from dandeliongw import settings
from tests import network


CELL = 'studio-portal/local/0'


class PlacingNetwork(network.Network):
    """A network whose instances place work while an owner is silent."""

    def _settings(self, instance_id: str) -> settings.Settings:
        made = super()._settings(instance_id)
        return made.model_copy(update={'silent_owner': 'place'})


ENTRIES = ('gw-4', 'gw-5', 'gw-6', 'gw-7', 'gw-8')


class TunnelNetwork(network.Network):
    """Voters that take no callers, and entries; all serve tunnels."""

    tunnel_port = 9

    def _callers_url(self, instance_id: str) -> str:
        if instance_id not in ENTRIES:
            return ''
        return super()._callers_url(instance_id)


class PlacesAloneTest(unittest.TestCase):
    """Guards against calls refused with "no backend server is ready".

    An owner replies after 0.2 s, once. If an entry among many counted it as
    silent and placed the work itself, it would fail: it gets no messages of
    backend servers, and its share of one would not hold a call.
    """

    @params(
        (directory.MAX_TO_FORWARD_TO_ALL, True),
        (directory.MAX_TO_FORWARD_TO_ALL + 1, False),
    )
    def test_entries_place_work_only_in_small_systems(self, count, expected):
        net = PlacingNetwork(count=count, voters=3)
        net.run(10.0)
        for instance_id in net.reducers_by_id:
            net.announce(instance_id, 'portal-1', 'plain')
        net.run(0.1)
        found = net.reducers_by_id['gw-5'].directory
        self.assertEqual(count, len(found.all_ids()))
        self.assertEqual(expected, found.places_without_owner(CELL))

    def test_an_entry_without_backend_servers_asks_the_owner(self):
        """Guards against refusals while voters are lost in a larger system.

        Fewer instances are left than may place work themselves, but those
        have not been told of any backend server yet.
        """
        count = directory.MAX_TO_FORWARD_TO_ALL + 2
        net = PlacingNetwork(count=count, voters=3)
        net.run(10.0)
        for instance_id in ('gw-1', 'gw-2', 'gw-3'):
            net.crash(instance_id)
        net.run(10.0)
        found = net.reducers_by_id['gw-5'].directory
        self.assertEqual(count - 3, len(found.all_ids()))
        self.assertFalse(found.places_without_owner(CELL))

    def test_a_live_entry_is_counted_until_it_leaves(self):
        net = network.Network(count=4)
        net.run(3.0)
        found = net.reducers_by_id['gw-1'].directory
        self.assertEqual(4, found.count_entries())
        net.crash('gw-3')
        net.run(5.0)
        self.assertEqual(3, found.count_entries())


class TunnelPeersTest(unittest.TestCase):
    """Guards against all entries that lost the servers asking the same one."""

    def setUp(self):
        self.net = TunnelNetwork(count=8, voters=3)
        self.net.run(3.0)

    def ranked(self, instance_id):
        found = self.net.reducers_by_id[instance_id].directory.tunnel_peers()
        return [each.instance_id for each in found]

    def test_each_has_an_order_of_its_own(self):
        orders = {each: self.ranked(each) for each in ENTRIES}
        for instance_id, ranked in orders.items():
            expected = {*self.net.reducers_by_id} - {instance_id}
            self.assertEqual(expected, {*ranked})
        self.assertLess(1, len({ranked[0] for ranked in orders.values()}))

    def test_entries_come_first_but_for_the_second(self):
        """All entries of a data centre may have lost the servers."""
        ranked = self.ranked(ENTRIES[0])
        self.assertEqual(
            [True, False, True, True, True],
            [each in ENTRIES for each in ranked[:5]],
        )

    def test_those_that_are_gone_are_not_asked(self):
        self.net.crash(ENTRIES[1])
        self.net.run(5.0)
        self.assertNotIn(ENTRIES[1], self.ranked(ENTRIES[0]))
