"""Log lines on membership changes are bounded in number."""

import unittest

from dandeliongw.coordination import membership
from dandeliongw import membership_log

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


class MembershipLogTest(unittest.TestCase):
    def setUp(self):
        self.log = membership_log.MembershipLog()

    def record(self, now, *members):
        return [
            line for member in members for line in self.log.record(now, member)
        ]

    def test_each_of_a_few_changes_has_its_own_line(self):
        first = self.record(1.0, make_member(1), make_member(1))
        second = self.record(1.1, make_member(1, 'SUSPECT'))
        self.assertEqual(1, len(first))
        self.assertEqual('member believed', second[0].message)
        self.assertEqual(
            ('gw-001', 'suspect', 'alive'),
            tuple(dict(second[0].fields)[n] for n in ('peer', 'state', 'was')),
        )

    def test_many_changes_are_summarised_in_one_line(self):
        """Guards against 40,000 log lines when 200 instances start.

        Each instance discovers all others within seconds; without the bound
        each would write a line per member.
        """
        lines = self.record(1.0, *(make_member(n) for n in range(200)))
        self.assertEqual(membership_log.MAX_LINES, len(lines))
        self.assertEqual([], self.log.tick(1.5))
        (line,) = self.log.tick(1.0 + membership_log.WINDOW_S)
        fields = dict(line.fields)
        suppressed = 200 - membership_log.MAX_LINES
        self.assertEqual('many members believed', line.message)
        self.assertEqual(str(suppressed), str(fields['alive']))
        named = fields['peers'].split(', ')
        self.assertEqual(membership_log.MAX_NAMED, len(named))
        self.assertEqual(
            str(suppressed - len(named)), str(fields['not_named'])
        )
        self.assertEqual([], self.log.tick(10.0))

    def test_the_next_window_has_lines_of_its_own(self):
        self.record(1.0, *(make_member(n) for n in range(200)))
        lines = self.record(3.0, make_member(300))
        self.assertEqual(
            ['many members believed', 'member believed'],
            [line.message for line in lines],
        )

    def test_the_last_state_of_a_member_is_counted(self):
        members = [make_member(n) for n in range(membership_log.MAX_LINES)]
        self.record(1.0, *members)
        self.record(1.0, make_member(400), make_member(400, 'DEAD'))
        (line,) = self.log.tick(2.0)
        fields = dict(line.fields)
        self.assertEqual(
            ('0', '1'), (str(fields['alive']), str(fields['dead']))
        )

    def test_a_forgotten_member_is_logged_as_new(self):
        self.record(1.0, make_member(1))
        self.log.forget('gw-001')
        (line,) = self.record(1.2, make_member(1))
        self.assertEqual('unknown', dict(line.fields)['was'])
