"""The voters keep themselves whole: on reducers, with time passed in."""

import unittest

from nose2.tools import params

from dandeliongw.coordination import register
from dandeliongw import repair
from tests import network

LIMIT_S = 60.0


def voters(net, instance_id='gw-1'):
    held = net.reducers_by_id[instance_id].register
    return {} if held.joining_by_id else dict(held.voters_by_id)


def grown(count=5, first=3):
    """Return a network whose instances have all become voters."""
    net = network.Network(count=count, voters=first, most_voters=11)
    net.run_until(lambda: len(voters(net)) == count, LIMIT_S)
    return net


def is_accepted(net, instance_id, order):
    """Whether a numbered change is applied within its time."""
    held = net.reducers_by_id[instance_id].register
    before = held.revision
    net.post(
        instance_id,
        register.ProposeOrdered(
            now=net.now,
            ticket=f'order-{order}',
            order=order,
            author='test',
            document=b'',
            entropy=order,
        ),
    )
    try:
        net.run_until(lambda: held.revision > before, 4.0)
    except AssertionError:
        return False
    return True


class GrowthTest(unittest.TestCase):
    @params(4, 5, 6)
    def test_every_disk_becomes_a_voter(self, count):
        """Symptom: two machines of five are lost, and nothing is accepted.

        Sequence: three first voters form the register; two of them die.
        Cause: the other disks would never vote.
        """
        net = grown(count)
        for lost in range((count - 1) // 2):
            net.crash(f'gw-{lost + 1}')
        self.assertTrue(is_accepted(net, f'gw-{count}', 1))

    def test_no_more_than_are_wanted(self):
        net = network.Network(count=5, voters=3, most_voters=4)
        net.run_until(lambda: len(voters(net)) == 4, LIMIT_S)
        net.run(20.0)
        self.assertEqual(len(voters(net)), 4)

    def test_without_the_setting_they_stay_as_they_were_formed(self):
        net = network.Network(count=5, voters=3)
        net.run(20.0)
        self.assertEqual(len(voters(net)), 3)


class LossTest(unittest.TestCase):
    def test_a_lost_disk_comes_back_as_another_voter(self):
        net = grown()
        net.start('gw-2', disk_id='disk-new')
        net.run_until(lambda: voters(net).get('gw-2') == 'disk-new', LIMIT_S)
        self.assertTrue(is_accepted(net, 'gw-1', 1))

    def test_a_machine_that_is_gone_gives_its_vote_to_a_new_one(self):
        """Symptom: each replaced machine makes the next loss more dangerous.

        Sequence: a voter is gone for good; an empty machine comes.
        Cause: the newcomer would vote beside the one that is gone, and a
        majority would need one more of those that are left.
        """
        net = network.Network(count=6, voters=3, most_voters=5)
        net.crash('gw-6')
        net.run_until(lambda: len(voters(net)) == 5, LIMIT_S)
        net.crash('gw-2')
        net.start('gw-6', disk_id='disk-gw-6')
        net.run_until(lambda: 'gw-6' in voters(net), LIMIT_S)
        self.assertEqual(
            sorted(voters(net)), ['gw-1', 'gw-3', 'gw-4', 'gw-5', 'gw-6']
        )

    def test_a_short_absence_costs_no_vote(self):
        net = network.Network(count=6, voters=3, most_voters=5)
        net.crash('gw-6')
        net.run_until(lambda: len(voters(net)) == 5, LIMIT_S)
        net.start('gw-6', disk_id='disk-gw-6')
        net.frozen.add('gw-2')
        net.run(repair.GONE_S / 2)
        net.frozen.discard('gw-2')
        net.run(20.0)
        self.assertNotIn('gw-6', voters(net))

    def test_a_newcomer_that_dies_while_it_joins_is_given_up(self):
        """Symptom: one more loss, and nothing is accepted any more.

        Sequence: a disk joins and dies before it has caught up.
        Cause: its step is never finished, and until then a majority of the
        set with it is needed too.
        """
        net = network.Network(count=4, voters=3, most_voters=4)
        held = net.reducers_by_id['gw-1'].register
        net.run_until(lambda: 'gw-4' in held.joining_by_id, LIMIT_S)
        net.crash('gw-4')
        net.run_until(lambda: not held.joining_by_id, LIMIT_S)
        self.assertEqual(sorted(voters(net)), ['gw-1', 'gw-2', 'gw-3'])
        net.crash('gw-2')
        self.assertTrue(is_accepted(net, 'gw-1', 1))
