"""Blame: which calls and parts of prompts the evidence quarantines."""

import itertools
import unittest

from nose2.tools import params

from dandeliongw.coordination import _blame
from dandeliongw.coordination import _cases
from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine

#: Crashes that quarantine a part, and one that is known to have run well.
ENOUGH = _blame.CRASHES_TO_QUARANTINE_PART
ENOUGH_IF_GOOD = _blame.CRASHES_TO_QUARANTINE_GOOD_PART
NOW = 1000.0


class BlameTestCase(unittest.TestCase):
    """Base class: crashes, each under calls with parts in their prompts."""

    def setUp(self):
        self.cases = _cases.Cases()
        self.numbers = itertools.count()
        self.now = NOW

    def crash(self, *prompts, after_s=1.0, call=None):
        """Report a crash under new calls with these parts.

        :param prompts: the parts of each call, separated by spaces.
        :param call: the fingerprint of the first one, if it isn't new.
        """
        self.now += after_s
        start = presence.BackendStart(
            backend_id=f'server-{next(self.numbers)}', incarnation=1
        )
        for prompt in prompts:
            self.report(call or f'call-{next(self.numbers)}', start)
            call = None
            for part in prompt.split():
                self.report(part, start, is_part=True)

    def report(self, fingerprint, start, **changes):
        end = quarantine.ReportedEnd(start=start, age_s=0.0, told_by='gw-1')
        self.cases.merge(
            self.now,
            quarantine.CaseReport(
                fingerprint=fingerprint,
                ends=(end,),
                cleared=(),
                lift=None,
                **changes,
            ),
        )

    def succeed(self, *parts):
        """Record good runs, which clear the parts of their crashes."""
        for part in parts:
            case = self.cases.by_fingerprint[part]
            self.cases.merge(
                self.now,
                quarantine.CaseReport(
                    fingerprint=part,
                    ends=(),
                    cleared=tuple(case.ends_by_start),
                    lift=None,
                    is_part=True,
                    good_age_s=0.0,
                ),
            )

    def held(self):
        return sorted(self.cases.evaluate())


class PartTest(BlameTestCase):
    """Which part is to blame for crashes under calls that all differ."""

    def test_a_part_is_quarantined_after_four_crashes(self):
        """Guards against requests, no two alike, that crash one by one."""
        for number in range(ENOUGH):
            self.assertEqual([], self.held())
            self.crash(f'bad other-{number}')
        self.assertEqual(['bad'], self.held())

    def test_a_part_that_everybody_sends_is_not(self):
        """Guards against refusing whatever shares its first part."""
        for number in range(ENOUGH + 2):
            self.crash('first bad', 'first common', 'first')
            if number == 1:
                self.succeed('first', 'common')
        self.assertEqual(['bad'], self.held())

    def test_a_part_known_to_run_well_is_the_last_to_be_blamed(self):
        """Guards against holding everything while no run can succeed."""
        self.crash('first bad')
        self.succeed('first')
        for _ in range(ENOUGH_IF_GOOD):
            self.crash('first bad')
        self.assertEqual(['bad'], self.held())

    def test_a_good_part_that_turns_bad(self):
        """Guards against a part that begins to crash servers later."""
        self.crash('turned')
        self.succeed('turned')
        for _ in range(ENOUGH_IF_GOOD):
            self.assertEqual([], self.held())
            self.crash('turned')
        self.assertEqual(['turned'], self.held())

    def test_a_rack_that_loses_power_quarantines_no_good_part(self):
        self.crash('first')
        self.succeed('first')
        for number in range(ENOUGH_IF_GOOD + 2):
            self.crash(f'first other-{number}', after_s=0.02)
        self.assertEqual([], self.held())

    def test_parts_that_only_come_together_are_quarantined_together(self):
        for _ in range(ENOUGH):
            self.crash('bad companion')
        self.assertEqual(['bad', 'companion'], self.held())

    def test_a_companion_that_is_released_does_not_release_the_bad_one(self):
        for _ in range(ENOUGH):
            self.crash('bad companion')
        self.succeed('companion')
        self.assertEqual(['bad'], self.held())

    def test_a_quarantined_companion_does_not_hide_the_bad_one(self):
        """Guards against a bad part that one crash without it excuses."""
        for _ in range(ENOUGH):
            self.crash('bad companion')
        self.crash('bad')
        self.assertIn('bad', self.held())

    def test_a_neighbour_of_some_crashes_is_not_blamed(self):
        for number in range(ENOUGH + 2):
            self.crash('bad', 'near' if number < ENOUGH else 'far')
        self.assertEqual(['bad'], self.held())

    def test_two_bad_parts_at_one_time(self):
        for _ in range(ENOUGH):
            self.crash('first bad')
            self.crash('first worse')
            self.succeed('first')
        self.assertEqual(['bad', 'worse'], self.held())

    def test_one_call_that_is_sent_again_leaves_its_parts_alone(self):
        """Guards against refusing others for one client's bad call."""
        for _ in range(ENOUGH + 2):
            self.crash('first second', call='again')
        self.assertEqual(['again'], self.held())

    def test_another_call_with_the_part_changes_that(self):
        """Guards against a bad part that one client's resends excuse."""
        for _ in range(_blame.CRASHES_TO_QUARANTINE):
            self.crash('bad', call='again')
        self.crash('bad')
        self.assertIn('bad', self.held())

    def test_resends_of_a_harmless_call_are_released(self):
        """Guards against refusing a call for the crashes of a part.

        A client sent it again after each crash, and a bad one ran beside it.
        """
        for _ in range(_blame.CRASHES_TO_QUARANTINE):
            self.crash('first', 'bad', call='harmless')
        self.assertEqual(['harmless'], self.held())
        self.crash('bad')
        self.assertEqual(['bad'], self.held())


class DurationTest(BlameTestCase):
    @params(0, 3)
    def test_a_part_is_held_for_a_month_after_its_last_crash(self, more):
        for _ in range(ENOUGH + more):
            self.crash('bad')
        self.assertEqual(
            {'bad': self.now + _blame.PART_QUARANTINE_S}, self.cases.evaluate()
        )

    def test_its_evidence_outlasts_the_quarantine(self):
        """Guards against five more crashes once a month."""
        for _ in range(ENOUGH):
            self.crash('bad')
        self.cases.remove_expired(self.now + _blame.PART_QUARANTINE_S)
        self.assertIn('bad', self.cases.by_fingerprint)
