"""Translation of the platform's settings file into dandeliongw's settings."""

import json
import pathlib
import tempfile
import unittest

from nose2.tools import params

from dandeliongw import exceptions
from tests import on_platform

from adapter import machine


def load(message):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'settings.json')
        path.write_text(json.dumps(message))
        return machine.load(path)


def translate(**changes):
    return machine.translate(load({**on_platform.MACHINE, **changes}))


class TranslateTest(unittest.TestCase):
    def test_an_entry(self):
        made = translate()
        self.assertTrue(made.takes_callers)
        self.assertEqual(made.callers.show(), '10.1.0.38:8149')
        self.assertEqual(made.peer.show(), '10.1.0.38:7380')
        self.assertEqual(
            [each.show() for each in made.seeds], on_platform.MACHINE['seeds']
        )
        self.assertEqual((made.data_centre, made.region), ('hall-a', 'here'))
        self.assertEqual(made.unconfirmed, 'serve')
        self.assertLess(made.timeouts.confirm_ttl_s, 2.0)

    def test_the_retry_budget_follows_from_the_bounds(self):
        bounds = {**on_platform.MACHINE['bounds'], 'budgetSlack': 400}
        made = translate(bounds={**bounds, 'retryBudgetRatio': 0.1})
        self.assertEqual((0.1, 360.0), (made.retries.part, made.retries.saved))
        self.assertEqual(0.2, translate().retries.part)
        bounds['budgetWindowS'] = 7
        self.assertEqual(7.0, translate(bounds=bounds).retries.window_s)

    def test_keys_hold_for_less_than_their_bound(self):
        """Guards against a key that works after it was taken away."""
        bounds = {**on_platform.MACHINE['bounds'], 'revokeMs': 5000}
        self.assertIsNone(translate(bounds=bounds).timeouts.key_proof_s)
        bounds['strictRevoke'] = True
        proof_s = translate(bounds=bounds).timeouts.key_proof_s
        self.assertLess(proof_s, 5.0)
        # Callers count on answers for 0.6 of the bound.
        self.assertGreater(proof_s, 0.6 * 5.0)
        bounds['strictRevoke'] = False
        self.assertIsNone(translate(bounds=bounds).timeouts.key_proof_s)

    def test_accounts_get_a_part_of_their_tolerance(self):
        """Guards against a bound that one change of a holder breaks."""
        bounds = {**on_platform.MACHINE['bounds'], 'quotaOver': 0.1}
        made = translate(bounds={**bounds, 'quotaSlack': 140000})
        tolerance = made.rate_tolerance
        self.assertEqual((tolerance.part, tolerance.amount), (0.05, 35000.0))

    def test_answers_take_a_part_of_the_memory(self):
        """Guards against a process that is killed for the memory it takes."""
        self.assertEqual(30_000_000, translate().limits.answer_memory_bytes)

    def test_owners_in_large_fleets_shed_work(self):
        """Guards against an owner that never catches up after a burst."""
        self.assertIsNone(translate().overload.owner_lag_s)
        made = translate(contracts=['other', 'pool'])
        self.assertEqual(0.25, made.overload.owner_lag_s)

    def test_large_fleets_pace_their_bookings(self):
        """Guards against an owner that the repeats of all entries overload."""
        self.assertFalse(translate().overload.paces_bookings)
        made = translate(contracts=['other', 'pool'])
        self.assertTrue(made.overload.paces_bookings)

    def test_accounts_have_the_window_of_the_bounds(self):
        """Guards against refusals at the burst where a window is allowed."""
        self.assertEqual(translate().rate_tolerance.window_s, 0.0)
        bounds = {**on_platform.MACHINE['bounds'], 'quotaWindowS': 8}
        made = translate(bounds=bounds)
        self.assertEqual(made.rate_tolerance.window_s, 8.0)

    def test_a_shutdown_uses_its_grace_period(self):
        """Guards against aborting open streams seconds too early.

        It happens at every stop of an entry if the time for leaving the
        cluster is subtracted from the grace period twice.
        """
        timeouts = translate().timeouts
        aborted_at_s = timeouts.entries_ttl_s + timeouts.shutdown_s
        self.assertGreater(aborted_at_s, 8.0 * 5 / 6)
        self.assertLess(aborted_at_s, 8.0 - 0.5)

    def test_a_voter_keeps_its_name_and_takes_no_callers(self):
        made = translate(
            nodeName='core-a-1',
            dataDir='/data/voter',
            listen={'control': '10.1.0.40:8144', 'directory': '10.1.0.40:1'},
        )
        self.assertEqual(made.instance_id, 'core-a-1')
        self.assertEqual(made.data_folder, '/data/voter')
        self.assertEqual(made.control.show(), '10.1.0.40:8144')
        self.assertFalse(made.takes_callers)

    def test_two_starts_of_an_entry_are_two_instances(self):
        """Guards against a restarted entry being stopped repeatedly.

        If the time of day steps back before an entry restarts, the entry
        would have a lower incarnation under its old id.
        """
        first, second = translate(), translate()
        self.assertNotEqual(first.instance_id, second.instance_id)
        self.assertTrue(first.instance_id.startswith('front-a-1-'))

    @params(
        *(
            ([name], None, name)
            for name in on_platform.MACHINE
            if name != 'somethingNew'
        ),
        (['bounds', 'graceS'], None, 'bounds.graceS'),
        (['bounds', 'graceS'], 0, 'bounds.graceS'),
        (['heartbeatMs'], 'soon', 'heartbeatMs'),
        (['limits', 'maxFds'], -1, 'limits.maxFds'),
        (['limits', 'memoryMb'], 0, 'limits.memoryMb'),
        (['zones'], ['hall-a'], 'zones'),
    )
    def test_a_field_that_is_missing_or_wrong_is_named(
        self, path, value, named
    ):
        with self.assertRaises(exceptions.InvalidInput) as caught:
            load(on_platform.changed(on_platform.MACHINE, path, value))
        paths = [each.path for each in caught.exception.problems]
        self.assertIn(named, paths)

    @params(
        (['seeds'], ['10.1.0.40'], 'seeds[0]'),
        (['seeds'], ['10.1.0.40:x'], 'seeds[0]'),
        (['listen', 'front'], 'front', 'listen'),
    )
    def test_an_invalid_address_is_named(self, path, value, named):
        message = on_platform.changed(on_platform.MACHINE, path, value)
        with self.assertRaises(exceptions.InvalidInput) as caught:
            machine.translate(load(message))
        (problem,) = caught.exception.problems
        self.assertEqual(problem.path, named)

    def test_a_missing_file_is_named(self):
        with self.assertRaises(exceptions.InvalidInput) as caught:
            machine.load(pathlib.Path('/nowhere/settings.json'))
        message = caught.exception.format_message()
        self.assertIn('/nowhere/settings.json', message)
