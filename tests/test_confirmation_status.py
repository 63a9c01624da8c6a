"""The confirmation status of an instance, and reports of its changes."""

import unittest

from dandeliongw.coordination import confirmation_status
from tests import test_register

TTL_S = test_register.TTL_S


def found(cluster, kind):
    effects = cluster.by_id['gw-4'].effects
    return [effect for effect in effects if isinstance(effect, kind)]


class StandingTest(unittest.TestCase):
    def test_text_with_the_age_of_the_confirmation(self):
        status = confirmation_status.ConfirmationStatus(
            revision=3, order=98, confirmed_age_s=0.25
        )
        self.assertEqual(
            'revision 3, number 98, confirmed 0.25 s ago', str(status)
        )

    def test_text_without_a_confirmation(self):
        status = confirmation_status.ConfirmationStatus(revision=3, order=98)
        self.assertEqual(
            'revision 3, number 98, never confirmed here', str(status)
        )

    def test_text_before_the_first_configuration(self):
        self.assertEqual(
            'no configuration',
            str(confirmation_status.ConfirmationStatus(revision=None)),
        )


class LapseTest(unittest.TestCase):
    """Guards against an expired confirmation that is reported nowhere.

    An entry gets no answer from a voter for one TTL. Without a report, the
    log would not show why it acted on an old document.
    """

    def setUp(self):
        self.cluster = test_register.formed()
        self.cluster.down.update(test_register.VOTERS)
        self.cluster.run(1.5 * TTL_S)

    def test_a_lapse_is_reported_once(self):
        (lapse,) = found(self.cluster, confirmation_status.ConfirmationLapsed)
        self.assertFalse(lapse.status.is_confirmed)
        self.assertGreater(lapse.asks, 2)
        self.assertEqual(0, lapse.late_answers)

    def test_the_end_of_a_lapse_is_reported_once(self):
        self.cluster.down.clear()
        self.cluster.run(TTL_S)
        (regained,) = found(
            self.cluster, confirmation_status.ConfirmationRegained
        )
        self.assertTrue(regained.status.is_confirmed)
        self.assertGreater(regained.lapsed_s, 0.4 * TTL_S)
