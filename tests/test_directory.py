"""What an instance makes of the members around it."""

import unittest

from nose2.tools import params

from dandeliongw import directory
from dandeliongw import settings
from tests import network


class PlacingNetwork(network.Network):
    """A network whose instances place by themselves."""

    def _settings(self, instance_id: str) -> settings.Settings:
        made = super()._settings(instance_id)
        return made.model_copy(update={'silent_owner': 'place'})


class PlacesAloneTest(unittest.TestCase):
    """Symptom: calls are refused, "no backend server is ready".

    Sequence: an owner answers after 0.2 s, once; an entry among many counts
    it as silent and places by itself.
    Cause: it was told of no backend server, nor would its part hold a call.
    """

    @params(
        (directory.MOST_TO_TELL_ALL, True),
        (directory.MOST_TO_TELL_ALL + 1, False),
    )
    def test_only_few_entries_place_alone(self, count, expected):
        many = PlacingNetwork(count=count, voters=3)
        many.run(10.0)
        found = many.reducers_by_id['gw-5'].directory
        self.assertEqual(count, len(found.all_ids()))
        self.assertEqual(expected, found.places_alone)

    def test_a_live_entry_is_counted_until_it_leaves(self):
        net = network.Network(count=4)
        net.run(3.0)
        found = net.reducers_by_id['gw-1'].directory
        self.assertEqual(4, found.count_entries())
        net.crash('gw-3')
        net.run(5.0)
        self.assertEqual(3, found.count_entries())
