"""Which voters count as gone, by an instance's own memory."""

import unittest

from nose2.tools import params

from dandeliongw.coordination import membership
from dandeliongw.coordination import parts
from dandeliongw import voter_presence
from dandeliongw import voter_table

VOTERS = {f'v{number}' for number in range(1, 10)}
Presence = voter_table.Presence
INFO = membership.InstanceInfo(
    host='127.0.0.1', port=1, data_centre='dc', region='r', callers_address=''
)


class UnseenTest(unittest.TestCase):
    """An instance that has just started has never seen the voter ``v1``."""

    def setUp(self):
        self.members = membership.Membership(
            instance_id='own', incarnation=1, self_info=INFO, seeds_by_id={}
        )
        self.presence = voter_presence.VoterPresence(members=self.members)

    def find(self, now, instance_id, state=membership.MemberState.ALIVE):
        """Let the instance hear of another one."""
        news = membership.MemberNews(
            instance_id=instance_id,
            incarnation=1,
            revision=0,
            state=state,
            draining=False,
            serving=False,
            info=INFO,
        )
        received = parts.Received(
            now=now, sender='own', message=membership.Gossip(news=(news,))
        )
        self.members.handle(received)

    def at(self, now):
        self.presence.review(now, VOTERS)
        return self.presence.presence_by_id(now, VOTERS)['v1']

    def test_it_is_gone_soon_if_nobody_else_is_found(self):
        """Guards against successors that wait for one nobody has seen."""
        self.assertEqual(Presence.ABSENT, self.at(0.0))
        self.assertEqual(Presence.ABSENT, self.at(0.9))
        self.assertEqual(Presence.GONE, self.at(1.0))

    def test_it_may_come_while_other_voters_are_still_found(self):
        """Guards against a voter that loses its place as all start."""
        self.at(0.0)
        for second in range(1, 9):
            self.find(second - 0.1, f'v{second + 1}')
            self.assertEqual(Presence.ABSENT, self.at(second - 0.1))
            self.assertEqual(Presence.ABSENT, self.at(second + 0.8))
        self.assertEqual(Presence.GONE, self.at(8.9))

    def test_voters_that_restart_are_not_newly_found(self):
        """Guards against restarts elsewhere that keep a place for ever."""
        self.find(0.0, 'v2')
        self.at(0.0)
        self.find(0.9, 'v2', membership.MemberState.SUSPECT)
        self.assertEqual(Presence.GONE, self.at(1.0))

    def test_instances_without_a_vote_do_not_keep_its_place(self):
        """Guards against a repair that waits for entries to start."""
        self.at(0.0)
        self.find(0.9, 'entry-1')
        self.assertEqual(Presence.GONE, self.at(1.0))

    @params(membership.MemberState.DEAD, membership.MemberState.LEFT)
    def test_what_others_know_counts(self, state):
        """Guards against a wait for a voter that is known to have left."""
        self.at(0.0)
        self.find(0.1, 'v1', state)
        self.assertEqual(Presence.GONE, self.at(0.2))

    def test_it_keeps_its_place_once_it_is_found(self):
        """Guards against a voter that is replaced although it is back."""
        self.at(0.0)
        self.find(0.9, 'v1')
        self.assertEqual(Presence.PRESENT, self.at(1.0))
