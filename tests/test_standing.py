"""What an instance tells of how current its configuration is."""

import unittest

from dandeliongw.coordination import standing
from tests import test_register

TTL_S = test_register.TTL_S


def found(cluster, kind):
    effects = cluster.by_id['gw-4'].effects
    return [effect for effect in effects if isinstance(effect, kind)]


class StandingTest(unittest.TestCase):
    def test_it_is_told_with_its_age(self):
        told = standing.Standing(revision=3, order=98, confirmed_age_s=0.25)
        self.assertEqual(
            'revision 3, number 98, confirmed 0.25 s ago', str(told)
        )

    def test_one_that_others_told_has_no_age(self):
        told = standing.Standing(revision=3, order=98)
        self.assertEqual(
            'revision 3, number 98, never confirmed here', str(told)
        )

    def test_nothing_is_known_at_first(self):
        self.assertEqual(
            'no configuration', str(standing.Standing(revision=None))
        )


class LapseTest(unittest.TestCase):
    """Symptom: nobody can tell why an entry acted on an old document.

    Sequence: an entry gets no answer of a voter for a time to live.
    Cause: its log has no line about it.
    """

    def setUp(self):
        self.cluster = test_register.formed()
        self.cluster.down.update(test_register.VOTERS)
        self.cluster.run(1.5 * TTL_S)

    def test_a_lapse_is_told_once(self):
        (lapse,) = found(self.cluster, standing.ConfirmationLapsed)
        self.assertFalse(lapse.standing.is_confirmed)
        self.assertGreater(lapse.asks, 2)
        self.assertEqual(0, lapse.late_answers)

    def test_so_is_its_end(self):
        self.cluster.down.clear()
        self.cluster.run(TTL_S)
        (back,) = found(self.cluster, standing.ConfirmationRegained)
        self.assertTrue(back.standing.is_confirmed)
        self.assertGreater(back.lapsed_s, 0.4 * TTL_S)
