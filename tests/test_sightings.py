"""What an instance logs of the others stays bounded."""

import unittest

from dandeliongw.coordination import membership
from dandeliongw import sightings

INFO = membership.InstanceInfo(
    host='10.0.0.1',
    port=7000,
    data_centre='austin-a',
    region='tx-central',
    callers_address='',
)


def make_member(
    number: int, state: str = 'ALIVE', incarnation: int = 1
) -> membership.Member:
    return membership.Member(
        instance_id=f'gw-{number:03}',
        info=INFO,
        state=membership.MemberState[state],
        incarnation=incarnation,
        revision=0,
    )


class SightingsTest(unittest.TestCase):
    def setUp(self):
        self.sightings = sightings.Sightings()

    def note(self, now, *members):
        return [
            line
            for member in members
            for line in self.sightings.note(now, member)
        ]

    def test_each_of_few_changes_has_its_line(self):
        first = self.note(1.0, make_member(1), make_member(1))
        second = self.note(1.1, make_member(1, 'SUSPECT'))
        self.assertEqual(1, len(first))
        self.assertEqual('member believed', second[0].message)
        self.assertEqual(
            ('gw-001', 'suspect', 'alive'),
            tuple(dict(second[0].fields)[n] for n in ('peer', 'state', 'was')),
        )

    def test_many_changes_are_told_in_one_line(self):
        """Symptom: 200 instances that start write 40,000 lines.

        Sequence: each learns of all others within seconds.
        Cause: a line for each member at each instance.
        """
        lines = self.note(1.0, *(make_member(n) for n in range(200)))
        self.assertEqual(sightings.MOST_LINES, len(lines))
        self.assertEqual([], self.sightings.tick(1.5))
        (line,) = self.sightings.tick(1.0 + sightings.WINDOW_S)
        fields = dict(line.fields)
        left_out = 200 - sightings.MOST_LINES
        self.assertEqual('many members believed', line.message)
        self.assertEqual(str(left_out), str(fields['alive']))
        named = fields['peers'].split(', ')
        self.assertEqual(sightings.MOST_NAMED, len(named))
        self.assertEqual(str(left_out - len(named)), str(fields['not_named']))
        self.assertEqual([], self.sightings.tick(10.0))

    def test_the_next_window_has_lines_of_its_own(self):
        self.note(1.0, *(make_member(n) for n in range(200)))
        lines = self.note(3.0, make_member(300))
        self.assertEqual(
            ['many members believed', 'member believed'],
            [line.message for line in lines],
        )

    def test_the_last_state_of_a_member_is_counted(self):
        members = [make_member(n) for n in range(sightings.MOST_LINES)]
        self.note(1.0, *members)
        self.note(1.0, make_member(400), make_member(400, 'DEAD'))
        (line,) = self.sightings.tick(2.0)
        fields = dict(line.fields)
        self.assertEqual(
            ('0', '1'), (str(fields['alive']), str(fields['dead']))
        )

    def test_a_forgotten_member_is_new_again(self):
        self.note(1.0, make_member(1))
        self.sightings.forget('gw-001')
        (line,) = self.note(1.2, make_member(1))
        self.assertEqual('unknown', dict(line.fields)['was'])
