"""Automatic repair of the set of voters, on reducers with virtual time."""

import unittest

from nose2.tools import params

from dandeliongw.coordination import membership
from dandeliongw.coordination import origins
from dandeliongw.coordination import parts
from dandeliongw.coordination import register
from dandeliongw import effects
from dandeliongw import events
from dandeliongw import voter_presence
from dandeliongw import voter_replacement
from tests import network

LIMIT_S = 60.0
#: Where a change must be in force everywhere within two seconds.
CONFIRM_TTL_S = 1.5
#: Seconds for which a lost machine is down, and seconds from its return, or
#: from the start of its successor, until the next machine may be lost.
DOWN_S = 1.0
#: Seconds until a process that was killed runs again.
RESTART_S = 0.5
COUNTS_AGAIN_S = 4.0
#: The same where two machines of nine may be lost at once.
COUNTS_AGAIN_OF_NINE_S = 6.0


#: Instances without a disk that start one by one.
ENTRIES = 12


class DisklessNetwork(network.Network):
    """The last instances have no disk."""

    def start(self, instance_id, disk_id):
        is_entry = instance_id in self._ids[-ENTRIES:]
        super().start(instance_id, None if is_entry else disk_id)


def voters(net, instance_id='gw-1'):
    held = net.reducers_by_id[instance_id].register
    return {} if held.joining_by_id else dict(held.voters_by_id)


def grown(count=5, first=3):
    """Return a network whose instances have all become voters."""
    net = network.Network(
        count=count, voters=first, most_voters=11, confirm_ttl_s=CONFIRM_TTL_S
    )
    net.run_until(lambda: len(voters(net)) == count, LIMIT_S)
    return net


def with_spares(count, spares):
    """Return a network of ``count`` voters and machines not yet started."""
    net = network.Network(
        count=count + spares,
        voters=3,
        most_voters=11,
        confirm_ttl_s=CONFIRM_TTL_S,
    )
    for number in range(count, count + spares):
        net.crash(f'gw-{number + 1}')
    net.run_until(lambda: len(voters(net)) == count, LIMIT_S)
    # As if those that start later had never been heard of.
    for each in net.reducers_by_id.values():
        for number in range(count, count + spares):
            each.membership.members_by_id.pop(f'gw-{number + 1}', None)
    return net


def add(net, instance_id):
    net.start(instance_id, disk_id=f'disk-{instance_id}')


def leave(net, instance_id, drains_s):
    """Shut an instance down; its process ends after ``drains_s``."""
    net.post(instance_id, events.ShutdownBegun(now=net.now))
    net.run(drains_s)
    net.post(instance_id, membership.Leave(now=net.now))
    net.crash(instance_id)


def lose_disk(net, instance_id, disk_id):
    net.crash(instance_id)
    net.run(DOWN_S)
    net.start(instance_id, disk_id=disk_id)


def lose_memory(net, *, gone, successor):
    """Kill all instances at one moment; one doesn't come back."""
    killed = [each for each in net.reducers_by_id if each not in net.frozen]
    for instance_id in killed:
        net.crash(instance_id)
    net.run(RESTART_S)
    for instance_id in killed:
        if instance_id != gone:
            disk_id = net.reducers_by_id[instance_id].register.disk_id
            net.start(instance_id, disk_id=disk_id)
    add(net, successor)


def no_epochs_for(instance_id):
    """Return which messages are lost so that a disk never catches up."""
    return lambda sender, to, message: (
        to == instance_id and type(message).__name__ == 'LeaseEpochs'
    )


def is_accepted(net, instance_id, order):
    """Return whether a numbered change is applied within 4 s."""
    held = net.reducers_by_id[instance_id].register
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
        net.run_until(
            lambda: held.configuration and held.configuration.order == order,
            4.0,
        )
    except AssertionError:
        return False
    return True


class GrowthTest(unittest.TestCase):
    @params(4, 5, 6)
    def test_every_disk_becomes_a_voter(self, count):
        """Guards against losing the quorum when two machines of five die.

        Three first voters form the register and two of them die; the other
        disks must have become voters by then.
        """
        net = grown(count)
        for lost in range((count - 1) // 2):
            net.crash(f'gw-{lost + 1}')
        self.assertTrue(is_accepted(net, f'gw-{count}', 1))

    def test_no_more_voters_than_configured(self):
        net = network.Network(count=5, voters=3, most_voters=4)
        net.run_until(lambda: len(voters(net)) == 4, LIMIT_S)
        net.run(20.0)
        self.assertEqual(len(voters(net)), 4)

    def test_without_the_setting_the_voters_stay_unchanged(self):
        net = network.Network(count=5, voters=3)
        net.run(20.0)
        self.assertEqual(len(voters(net)), 3)


class LossTest(unittest.TestCase):
    def test_a_lost_disk_comes_back_as_another_voter(self):
        net = grown()
        net.start('gw-2', disk_id='disk-new')
        net.run_until(lambda: voters(net).get('gw-2') == 'disk-new', LIMIT_S)
        self.assertTrue(is_accepted(net, 'gw-1', 1))

    def test_a_new_machine_replaces_the_vote_of_a_lost_one(self):
        """Guards against voters that accumulate with each replaced machine.

        A voter is lost for good and an empty machine joins. If it voted
        beside the lost one, a majority would need one more of the remaining
        voters.
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
        net.run(voter_presence.ABSENT_LIMIT_S)
        net.frozen.discard('gw-2')
        net.run(20.0)
        self.assertNotIn('gw-6', voters(net))

    def test_the_joining_of_a_disk_that_dies_is_withdrawn(self):
        """Guards against blocked changes after one more loss.

        A disk joins and dies before it has caught up. While its joining is
        unfinished, a majority of the set that includes it is needed too.
        """
        net = network.Network(count=4, voters=3, most_voters=4)
        held = net.reducers_by_id['gw-1'].register
        net.run_until(lambda: 'gw-4' in held.joining_by_id, LIMIT_S)
        net.crash('gw-4')
        net.run_until(lambda: not held.joining_by_id, LIMIT_S)
        self.assertEqual(sorted(voters(net)), ['gw-1', 'gw-2', 'gw-3'])
        net.crash('gw-2')
        self.assertTrue(is_accepted(net, 'gw-1', 1))

    def test_a_joining_instance_that_leaves_is_withdrawn(self):
        """Guards against a change that waits for a voter which is leaving."""
        net = network.Network(count=4, voters=3, most_voters=4)
        held = net.reducers_by_id['gw-1'].register
        net.loses = no_epochs_for('gw-4')
        net.run_until(lambda: 'gw-4' in held.joining_by_id, LIMIT_S)
        net.post('gw-4', events.ShutdownBegun(now=net.now))
        net.run_until(lambda: not held.joining_by_id, 3.0)
        self.assertEqual(sorted(voters(net)), ['gw-1', 'gw-2', 'gw-3'])

    def test_a_joining_instance_that_is_stuck_is_withdrawn(self):
        """Guards against one faulty disk that keeps all others from joining.

        The new voter answers, but its copy of the leases never ends.
        """
        net = with_spares(3, 2)
        net.loses = no_epochs_for('gw-4')
        add(net, 'gw-4')
        net.run(10.0)
        add(net, 'gw-5')
        net.run_until(
            lambda: 'gw-5' in voters(net),
            voter_replacement.CHANGE_LIMIT_S + 30.0,
        )

    def test_a_stuck_joining_instance_is_withdrawn_although_memory_is_lost(
        self,
    ):
        """Guards against a change whose age each loss of memory resets."""
        net = with_spares(3, 2)
        net.loses = no_epochs_for('gw-4')
        add(net, 'gw-4')
        net.run(10.0)
        add(net, 'gw-5')
        for _ in range(8):
            net.run(30.0)
            if 'gw-5' in voters(net):
                return
            for instance_id in list(net.reducers_by_id):
                disk_id = net.reducers_by_id[instance_id].register.disk_id
                net.start(instance_id, disk_id=disk_id)
        self.fail('gw-5 has not become a voter')

    def test_a_lost_disk_is_replaced_while_the_same_disk_catches_up(self):
        """Guards against a change whose new disk is gone for ever."""
        net = grown()
        lose_disk(net, 'gw-5', 'disk-second')
        held = net.reducers_by_id['gw-1'].register
        net.run_until(lambda: held.joining_by_id, LIMIT_S)
        lose_disk(net, 'gw-5', 'disk-third')
        net.run_until(lambda: voters(net).get('gw-5') == 'disk-third', LIMIT_S)

    def test_a_new_machine_whose_disk_is_lost_joins_with_the_next_one(self):
        """Guards against an addition whose new disk is gone for ever."""
        net = with_spares(5, 1)
        add(net, 'gw-6')
        held = net.reducers_by_id['gw-1'].register
        net.run_until(lambda: 'gw-6' in held.joining_by_id, LIMIT_S)
        lose_disk(net, 'gw-6', 'disk-second')
        net.run_until(
            lambda: voters(net).get('gw-6') == 'disk-second', LIMIT_S
        )

    def test_a_voter_that_leaves_an_even_number_is_removed(self):
        """Guards against a majority that counts a machine that is gone."""
        net = grown(count=6)
        leave(net, 'gw-6', drains_s=3.0)
        net.run_until(lambda: len(voters(net)) == 5, 3.0)
        self.assertNotIn('gw-6', voters(net))
        net.crash('gw-5')
        net.crash('gw-4')
        self.assertTrue(is_accepted(net, 'gw-1', 1))

    def test_a_voter_that_leaves_an_odd_number_keeps_its_place(self):
        """Guards against a set that shrinks while machines restart."""
        net = grown()
        leave(net, 'gw-5', drains_s=1.0)
        net.run(30.0)
        self.assertEqual(len(voters(net)), 5)


class LogTest(unittest.TestCase):
    def test_the_presence_and_the_changes_of_voters_are_logged(self):
        """Guards against a change that waits without a line that says why."""
        net = with_spares(5, 1)
        net.crash('gw-1')
        net.run(10.0)
        add(net, 'gw-6')
        net.run_until(lambda: 'gw-6' in voters(net, 'gw-2'), LIMIT_S)
        lines = [
            (each.message, dict(each.fields))
            for each in net.effects_by_id['gw-6']
            if isinstance(each, effects.Log)
        ]
        states = [
            (fields['voter'], fields['presence'])
            for message, fields in lines
            if message == 'the presence of a voter has changed'
        ]
        self.assertEqual([('gw-1', 'gone')], states)
        caught_up = [
            fields['part']
            for message, fields in lines
            if message == 'a part of the joining disk has caught up'
        ]
        self.assertEqual(['claims', 'leases'], sorted(caught_up))
        message, fields = [
            line for line in lines if line[0] == 'the voters have changed'
        ][-1]
        self.assertIn('gw-6', fields['voters'])
        self.assertEqual('', fields['joining'])


class SeriesTest(unittest.TestCase):
    """Losses one after the other, as soon as the last one counts again."""

    @params(0.0, 3.0, 7.0)
    def test_planned_replacements(self, drains_s):
        """Guards against voters that are gone and keep their votes.

        Each new machine starts first, and the old one leaves later.
        """
        net = with_spares(5, 5)
        for number in range(1, 6):
            add(net, f'gw-{number + 5}')
            net.run(COUNTS_AGAIN_S)
            leave(net, f'gw-{number}', drains_s)
        self.assertTrue(is_accepted(net, 'gw-10', 1))
        net.run(10.0)
        net.crash('gw-9')
        self.assertTrue(is_accepted(net, 'gw-10', 2))

    def test_unplanned_replacements(self):
        """Guards against a successor that waits too long for its vote."""
        net = with_spares(5, 5)
        for number in range(1, 6):
            net.crash(f'gw-{number}')
            net.run(DOWN_S)
            add(net, f'gw-{number + 5}')
            net.run(COUNTS_AGAIN_S)
        self.assertTrue(is_accepted(net, 'gw-10', 1))

    def test_planned_and_unplanned_replacements_by_turns(self):
        """Guards against a removal and a replacement that block each other."""
        net = with_spares(5, 6)
        for number in (1, 3, 5):
            add(net, f'gw-{number + 5}')
            net.run(COUNTS_AGAIN_S)
            leave(net, f'gw-{number}', 2.0)
            net.crash(f'gw-{number + 1}')
            net.run(DOWN_S)
            add(net, f'gw-{number + 6}')
            net.run(COUNTS_AGAIN_S)
        self.assertTrue(is_accepted(net, 'gw-11', 1))

    @params(1, 2, 3)
    def test_disks_lost_in_turn(self, times):
        """Guards against a disk lost again that stops all later repairs."""
        net = grown()
        losses = 0
        for number in (5, 4, 3, 2, 1):
            for _ in range(times):
                losses += 1
                lose_disk(net, f'gw-{number}', f'disk-{losses}')
                net.run(COUNTS_AGAIN_S)
        self.assertTrue(is_accepted(net, 'gw-1', 1))

    def test_disks_lost_in_pairs(self):
        """Guards against repairs that are slower than the losses."""
        net = grown(count=9)
        losses = 0
        for first in (1, 3, 5, 7, 1, 3):
            for number in (first, first + 1):
                net.crash(f'gw-{number}')
            net.run(DOWN_S)
            for number in (first, first + 1):
                losses += 1
                net.start(f'gw-{number}', disk_id=f'disk-{losses}')
            net.run(COUNTS_AGAIN_OF_NINE_S)
        self.assertTrue(is_accepted(net, 'gw-9', 1))

    def test_machines_replaced_in_pairs(self):
        """Guards against successors that wait for each other's turn."""
        net = with_spares(9, 8)
        for first in (1, 3, 5, 7):
            for number in (first, first + 1):
                net.crash(f'gw-{number}')
            net.run(DOWN_S)
            for number in (first, first + 1):
                add(net, f'gw-{number + 9}')
            net.run(COUNTS_AGAIN_OF_NINE_S)
        self.assertTrue(is_accepted(net, 'gw-9', 1))

    @params(COUNTS_AGAIN_S, COUNTS_AGAIN_OF_NINE_S)
    def test_machines_replaced_while_all_memory_is_lost(self, gap_s):
        """Guards against instances that wait for those they never saw.

        Each time that a voter is replaced, all other instances are killed.
        """
        net = with_spares(5, 5)
        for number in range(1, 6):
            lose_memory(net, gone=f'gw-{number}', successor=f'gw-{number + 5}')
            net.run(gap_s)
        self.assertTrue(is_accepted(net, 'gw-10', 1))

    def test_machines_replaced_in_pairs_while_all_memory_is_lost(self):
        """Guards against a repair of one voter for each loss of memory."""
        net = with_spares(9, 6)
        for first in (1, 3, 5):
            net.crash(f'gw-{first}')
            lose_memory(
                net, gone=f'gw-{first + 1}', successor=f'gw-{first + 10}'
            )
            add(net, f'gw-{first + 9}')
            net.run(COUNTS_AGAIN_OF_NINE_S)
        self.assertTrue(is_accepted(net, 'gw-15', 1))

    def test_disks_lost_in_turn_while_all_memory_is_lost(self):
        """Guards against a catch-up that begins anew with each start."""
        net = grown()
        for number in (5, 4, 3, 2, 1):
            for instance_id in net.reducers_by_id:
                net.crash(instance_id)
            net.run(RESTART_S)
            for instance_id, each in list(net.reducers_by_id.items()):
                disk_id = each.register.disk_id
                if instance_id == f'gw-{number}':
                    disk_id = f'disk-new-{number}'
                net.start(instance_id, disk_id=disk_id)
            net.run(COUNTS_AGAIN_S)
        self.assertTrue(is_accepted(net, 'gw-1', 1))

    def test_replaced_voters_learn_which_versions_began_streams(self):
        """Guards against voters that never learn it from each other.

        Until then none of them can tell, for as long as origins are kept.
        """
        net = with_spares(5, 5)
        net.run(10.0)
        for number in range(1, 6):
            net.crash(f'gw-{number}')
            net.run(DOWN_S)
            add(net, f'gw-{number + 5}')
            net.run(COUNTS_AGAIN_S)
        net.run(LIMIT_S)
        net.post(
            'gw-10',
            origins.LookUpSole(
                now=net.now, ticket='sole', services=('studio-portal',)
            ),
        )
        net.run(1.0)
        results = [
            each.result
            for each in net.effects_by_id['gw-10']
            if isinstance(each, parts.Complete) and each.ticket == 'sole'
        ]
        self.assertEqual([origins.LookUpFailure.UNKNOWN], results)

    def test_machines_replaced_while_entries_start_one_by_one(self):
        """Guards against a repair that waits for instances without a vote.

        All memory is lost with each voter; the entries take seconds to start.
        """
        net = DisklessNetwork(
            count=10 + ENTRIES,
            voters=3,
            most_voters=11,
            confirm_ttl_s=CONFIRM_TTL_S,
        )
        entries = [f'gw-{number}' for number in range(11, 11 + ENTRIES)]
        unborn = [f'gw-{number}' for number in range(6, 11)]
        for instance_id in unborn:
            net.crash(instance_id)
        net.run_until(lambda: len(voters(net)) == 5, LIMIT_S)
        for each in net.reducers_by_id.values():
            for instance_id in unborn:
                each.membership.members_by_id.pop(instance_id, None)
        for number in range(1, 6):
            for instance_id in entries:
                net.crash(instance_id)
            lose_memory(net, gone=f'gw-{number}', successor=f'gw-{number + 5}')
            for instance_id in entries:
                net.start(instance_id, disk_id=None)
                net.run(COUNTS_AGAIN_OF_NINE_S / ENTRIES)
        self.assertTrue(is_accepted(net, 'gw-10', 1))
