"""A confirmed configuration spreads while no voter answers."""

import unittest

from dandeliongw.coordination import register_messages as messages
from tests import test_register

OTHERS = tuple(f'gw-{number}' for number in range(4, 30))
TTL_S = test_register.TTL_S


def make_cluster() -> test_register.Cluster:
    cluster = test_register.Cluster(others=OTHERS)
    cluster.run(1)
    return cluster


class LearnersTest(unittest.TestCase):
    """Symptom: a route of an acknowledged change is refused with 404.

    Sequence: a change is confirmed at one entry; all voters lose power
    before the others hear of it; they stay away for seconds.
    Cause: only voters are asked for the configuration.
    """

    def setUp(self):
        self.cluster = make_cluster()
        self.cluster.loses = self.is_lost
        #: Who hears nothing of voters.
        self.deaf = set(OTHERS[1:])
        self.cluster.propose('gw-1', change_id='a', expected=0)
        self.cluster.run(1)
        self.assertEqual({0, 1}, self.revisions())
        self.cluster.down.update(test_register.VOTERS)

    def is_lost(self, sender, to, message):
        return to in self.deaf and sender in test_register.VOTERS

    def revisions(self):
        return {self.cluster.part(name).revision for name in OTHERS}

    def test_all_learn_what_one_has_confirmed(self):
        self.cluster.run(TTL_S)
        self.assertEqual({1}, self.revisions())

    def test_it_is_no_newer_for_being_told_again(self):
        """Nobody may act on it for longer than if a voter had told it."""
        self.cluster.run(TTL_S + 1)
        fresh = [
            name
            for name in OTHERS
            if self.cluster.part(name).is_fresh(self.cluster.now)
        ]
        self.assertEqual([], fresh)

    def test_one_that_starts_meanwhile_learns_it_too(self):
        self.cluster.run(TTL_S)
        self.cluster.by_id['gw-9'].start()
        self.cluster.introduce('gw-9')
        self.cluster.run(TTL_S)
        self.assertEqual(1, self.cluster.part('gw-9').revision)
        self.assertFalse(self.cluster.part('gw-9').is_fresh(self.cluster.now))

    def test_an_older_one_does_not_come_back(self):
        self.cluster.run(TTL_S)
        self.cluster.down.clear()
        self.deaf.clear()
        self.cluster.run(TTL_S)
        late = [
            message
            for _, _, message in self.cluster.sent
            if isinstance(message, messages.LearnerReport)
        ][0]
        self.cluster.propose('gw-1', change_id='b', expected=1)
        self.cluster.run(1)
        self.cluster.queue.append(('gw-4', 'gw-5', late))
        self.cluster.deliver()
        self.assertEqual({2}, self.revisions())


class QuietTest(unittest.TestCase):
    def test_nobody_is_asked_while_voters_answer(self):
        cluster = make_cluster()
        cluster.sent.clear()
        cluster.run(3 * TTL_S)
        asked = [
            message
            for _, _, message in cluster.sent
            if isinstance(message, messages.LearnerQuery)
        ]
        self.assertEqual([], asked)

    def test_what_no_majority_holds_is_not_told(self):
        """A version that only its proposer's disk holds may vanish."""
        cluster = make_cluster()
        cluster.loses = lambda sender, to, message: (
            sender == 'gw-1' and to != 'gw-1'
        )
        cluster.propose('gw-1', change_id='a', expected=0)
        cluster.run(2 * TTL_S)
        self.assertEqual({0}, {cluster.part(name).revision for name in OTHERS})
