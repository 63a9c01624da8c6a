"""The table of all events in all states of a change of the voters."""

import dataclasses
import unittest

from nose2.tools import params

from dandeliongw import voter_table
from dandeliongw.voter_table import Action
from dandeliongw.voter_table import Presence

FIVE = {f'v{number}': f'disk-v{number}' for number in range(1, 6)}
SIX = {**FIVE, 'v6': 'disk-v6'}

#: Joining sets: an added voter, another voter in the place of v5, a renewed
#: disk of v5, and a removal.
ADDING = {**FIVE, 'new': 'disk-new'}
REPLACING = {key: disk for key, disk in ADDING.items() if key != 'v5'}
RENEWING = {**FIVE, 'v5': 'disk-second'}
CHANGES = (ADDING, REPLACING, RENEWING)

WAIT = (Action.WAIT, '')
WITHDRAW = (Action.WITHDRAW, '')


def step(own, voters_by_id, joining_by_id=None, **changes):
    """Return the action and the voter of the next step.

    :param own: this instance and its disk.
    :param changes: fields of the view, or the presence of an instance.
    """
    joining_by_id = joining_by_id or {}
    joiners = joining_by_id.items() - voters_by_id.items()
    names = {field.name for field in dataclasses.fields(voter_table.View)}
    presence_by_id = dict.fromkeys(
        (*voters_by_id, *joining_by_id), Presence.PRESENT
    )
    fields = {'is_leaving': False, 'most_voters': 11}
    for name, value in changes.items():
        if name in names:
            fields[name] = value
        else:
            presence_by_id[name] = value
    view = voter_table.View(
        instance_id=own[0],
        disk_id=own[1],
        voters_by_id=voters_by_id,
        joining_by_id=joining_by_id,
        joiner=min(joiners)[0] if joiners else '',
        presence_by_id=presence_by_id,
        **fields,
    )
    found = voter_table.next_step(view)
    return found.action, found.voter


VOTER = ('v1', 'disk-v1')
NEW = ('new', 'disk-new')
WIPED = ('v5', 'disk-second')


class WithoutChangeTest(unittest.TestCase):
    def test_a_lost_disk_of_an_odd_number_is_renewed(self):
        self.assertEqual(step(WIPED, FIVE), (Action.PROPOSE, 'v5'))

    def test_a_lost_disk_of_an_even_number_is_removed(self):
        """Guards against a renewal that the next loss overtakes."""
        self.assertEqual(step(WIPED, SIX), (Action.REMOVE, 'v5'))

    @params(Presence.LEAVING, Presence.GONE)
    def test_a_candidate_takes_the_place_of_a_voter_that_goes(self, presence):
        self.assertEqual(step(NEW, FIVE, v3=presence), (Action.PROPOSE, 'v3'))

    def test_a_gone_voter_is_replaced_before_a_leaving_one(self):
        found = step(NEW, FIVE, v2=Presence.LEAVING, v3=Presence.GONE)
        self.assertEqual(found, (Action.PROPOSE, 'v3'))

    def test_a_candidate_waits_for_an_absent_voter(self):
        self.assertEqual(step(NEW, FIVE, v3=Presence.ABSENT), WAIT)

    def test_a_candidate_joins_if_all_voters_are_present(self):
        self.assertEqual(step(NEW, FIVE), (Action.PROPOSE, ''))

    def test_a_candidate_does_not_exceed_the_most_voters(self):
        self.assertEqual(step(NEW, FIVE, most_voters=5), WAIT)
        found = step(NEW, FIVE, most_voters=5, v3=Presence.GONE)
        self.assertEqual(found, (Action.PROPOSE, 'v3'))

    @params(Presence.LEAVING, Presence.GONE)
    def test_a_voter_that_goes_is_removed_from_an_even_number(self, presence):
        found = step(VOTER, SIX, v3=presence)
        self.assertEqual(found, (Action.REMOVE, 'v3'))
        # A candidate waits for it.
        self.assertEqual(step(NEW, SIX, v3=presence), WAIT)

    def test_an_absent_voter_is_not_removed(self):
        self.assertEqual(step(VOTER, SIX, v3=Presence.ABSENT), WAIT)

    def test_voters_of_an_odd_number_wait(self):
        self.assertEqual(step(VOTER, FIVE, v3=Presence.GONE), WAIT)

    def test_without_the_setting_only_disks_are_renewed(self):
        changes = {'most_voters': None, 'v3': Presence.GONE}
        self.assertEqual(step(NEW, FIVE, **changes), WAIT)
        self.assertEqual(step(VOTER, SIX, **changes), WAIT)
        self.assertEqual(step(WIPED, SIX, **changes), (Action.PROPOSE, 'v5'))

    @params((VOTER,), (NEW,), (WIPED,), (('new', None),))
    def test_who_is_leaving_or_has_no_disk_waits(self, own):
        is_leaving = own[1] is not None
        for voters in (FIVE, SIX):
            self.assertEqual(step(own, voters, is_leaving=is_leaving), WAIT)


class DuringChangeTest(unittest.TestCase):
    @params(*CHANGES)
    def test_all_wait_for_a_present_joiner(self, joining):
        for own in (VOTER, NEW, ('other', 'disk-other'), ('v4', 'disk-4b')):
            self.assertEqual(step(own, FIVE, joining), WAIT)

    @params(
        (ADDING, ('new', 'disk-third'), ''),
        (REPLACING, ('new', 'disk-third'), 'v5'),
        (RENEWING, ('v5', 'disk-third'), 'v5'),
    )
    def test_a_joiner_with_yet_another_disk_proposes_that(
        self, joining, own, voter
    ):
        """Guards against a change that waits for a disk lost since."""
        self.assertEqual(step(own, FIVE, joining), (Action.PROPOSE, voter))

    @params(*CHANGES)
    def test_a_joiner_that_goes_is_withdrawn(self, joining):
        joiner = 'v5' if joining is RENEWING else 'new'
        for presence in (Presence.LEAVING, Presence.GONE):
            found = step(VOTER, FIVE, joining, **{joiner: presence})
            self.assertEqual(found, WITHDRAW)
            other = step(('x', 'disk-x'), FIVE, joining, **{joiner: presence})
            self.assertEqual(other, WAIT)
        absent = step(VOTER, FIVE, joining, **{joiner: Presence.ABSENT})
        self.assertEqual(absent, WAIT)

    @params(*CHANGES)
    def test_a_stuck_change_is_withdrawn(self, joining):
        self.assertEqual(step(VOTER, FIVE, joining, is_stuck=True), WITHDRAW)

    @params(*CHANGES)
    def test_the_change_goes_on_while_another_voter_goes(self, joining):
        for presence in Presence:
            self.assertEqual(step(VOTER, FIVE, joining, v3=presence), WAIT)

    def test_the_replaced_voter_waits_if_it_is_back(self):
        for own in (('v5', 'disk-v5'), WIPED):
            self.assertEqual(step(own, FIVE, REPLACING), WAIT)

    def test_any_voter_ends_a_removal(self):
        """Guards against a removal whose proposer is lost in the middle."""
        found = step(VOTER, SIX, FIVE, v6=Presence.GONE)
        self.assertEqual(found, (Action.REMOVE, 'v6'))
        self.assertEqual(step(NEW, SIX, FIVE, v6=Presence.GONE), WAIT)
