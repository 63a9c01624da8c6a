"""Who hears late from the voters still learns that nothing has changed."""

import unittest

from dandeliongw.coordination import register_messages as messages
from tests import register_network

#: The time to live where a change has to be in force after 2.5 s.
TTL_S = 1.875
IN_FORCE_S = 2.5


def make_network(**options):
    network = register_network.Network(
        **{'voters': 9, 'entries': 80, 'ttl_s': TTL_S, **options}
    )
    network.run(3.0)
    network.change('voter-1', 1)
    network.run(2.0)
    return network


def slow_links(network, instance_ids, extra_s):
    """Let all messages from and to some instances take longer."""
    slow = frozenset(instance_ids)

    def delay_s(sender, to, message):
        ends = (sender in slow) + (to in slow)
        return register_network.HOP_S + ends * extra_s

    network.delay_s = delay_s


class SlowLinkTest(unittest.TestCase):
    """Symptom: an entry refuses a route with 404 that was added long ago.

    In a burst the packets of an entry wait for its link, 0.2 s each way,
    which is no outage. Each answer of a voter came after 0.4 s; the entry
    had asked another one by then and took answers to its latest ask only.
    So it threw away every proof that it got, and called each voter silent.
    On this network, entries that nobody else told of a change kept the old
    document for as long as the link stayed slow.
    """

    def setUp(self):
        self.network = make_network()

    def test_a_confirmation_that_comes_late_counts(self):
        """Without it: not fresh for 9.2 s of 9.2 s."""
        slow_links(self.network, ('entry-7', 'entry-8'), 0.2)
        self.network.run(3.0)
        for _ in range(100):
            self.network.run(0.05)
            for entry in ('entry-7', 'entry-8'):
                part = self.network.part(entry)
                self.assertTrue(part.is_fresh(self.network.now))

    def test_a_change_is_in_force_where_all_links_are_slow(self):
        """Nobody can be told by another entry, if none learns it."""
        slow_links(self.network, self.network.entries, 0.2)
        self.network.loses = lambda sender, to, message: isinstance(
            message, (messages.LearnerQuery, messages.ConfigurationHint)
        )
        self.network.run(3.0)
        acknowledged_at = self.network.change('voter-1', 2)
        self.network.run(acknowledged_at + IN_FORCE_S - self.network.now)
        late = [
            entry
            for entry in self.network.entries
            if self.network.order(entry) < 2
        ]
        self.assertEqual([], late)
