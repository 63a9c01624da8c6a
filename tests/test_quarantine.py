"""Calls that crash backend servers: evidence, its spread, its evaluation."""

import itertools
import typing
import unittest

import hypothesis
from hypothesis import strategies as st
from nose2.tools import params

from dandeliongw.coordination import _blame
from dandeliongw.coordination import _cases
from dandeliongw.coordination import _trials
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine
from tests import quarantine_network

BAD = quarantine_network.BAD
#: Seconds within which a change has to reach all instances.
SETTLE_S = 3.0


def start(backend_id: str, incarnation: int = 1) -> presence.BackendStart:
    return presence.BackendStart(
        backend_id=backend_id, incarnation=incarnation
    )


class SingleInstance(unittest.TestCase):
    """Base class: the quarantine of one instance."""

    def setUp(self):
        self.part = quarantine.Quarantine(instance_id='gw-1')
        self.now = 100.0
        self.out: list[typing.Any] = []

    def handle(self, event):
        self.out = self.part.handle(event)
        return self.out

    def crash(self, backend_id, *fingerprints, incarnation=1, after_s=1.0):
        """Report the crash of a backend server under each of some calls."""
        self.now += after_s
        for fingerprint in fingerprints:
            self.handle(
                quarantine.Ended(
                    now=self.now,
                    fingerprint=fingerprint,
                    start=start(backend_id, incarnation),
                    ended_at=self.now,
                )
            )

    def succeed(self, fingerprint):
        event = quarantine.Succeeded(now=self.now, fingerprint=fingerprint)
        self.handle(event)

    def held_s(self, fingerprint=BAD):
        return self.part.held_s(self.now, fingerprint)


class SingleInstanceEvidenceTest(SingleInstance):
    """Which evidence quarantines a call, and which does not."""

    def test_three_crashes_quarantine_a_call(self):
        self.crash('a', BAD)
        self.crash('b', BAD)
        self.assertEqual(0.0, self.held_s())
        self.crash('c', BAD)
        (held,) = self.out
        self.assertEqual(('a', 'b', 'c'), held.backend_ids)
        self.assertEqual(('gw-1',), held.told_by)
        self.assertEqual(_blame.QUARANTINE_S, self.held_s())
        self.assertEqual(0.0, self.held_s('other'))

    def test_a_start_counts_once_and_the_next_start_again(self):
        self.crash('a', BAD, BAD)
        self.crash('a', BAD)
        self.assertEqual(0.0, self.held_s())
        self.crash('a', BAD, incarnation=2)
        self.crash('a', BAD, incarnation=3)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_rack_that_loses_power_quarantines_nothing(self):
        """Guards against refusing harmless calls for minutes."""
        calls = [f'call-{number}' for number in range(50)]
        self.crash('a', *calls)
        for backend_id in ('b', 'c', 'd'):
            self.crash(backend_id, *calls, after_s=0.05)
        self.assertFalse(any(self.held_s(each) for each in calls))

    def test_crashes_under_one_call_at_one_moment_quarantine_it(self):
        """Guards against servers crashing again as soon as they are back."""
        self.crash('a', BAD, 'near')
        for backend_id in ('b', 'c'):
            self.crash(backend_id, BAD, after_s=0.02)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_successful_run_clears_simultaneous_crashes(self):
        """A harmless call may run on all servers of a rack that is lost."""
        self.crash('a', BAD)
        for backend_id in ('b', 'c'):
            self.crash(backend_id, BAD, after_s=0.02)
        self.succeed(BAD)
        (released,) = [
            each for each in self.out if isinstance(each, quarantine.Released)
        ]
        self.assertEqual('a run succeeded', released.why)
        self.assertEqual(0.0, self.held_s())

    def test_calls_beside_a_bad_call_are_not_quarantined(self):
        """Guards against refusing calls that ran beside a bad one."""
        self.crash('a', BAD, 'near', 'far')
        self.crash('b', BAD, 'near')
        self.crash('c', BAD)
        self.assertGreater(self.held_s(), 0.0)
        # The bad call explains its first two crashes.
        self.crash('d', 'near')
        self.assertEqual(0.0, self.held_s('near'))
        self.crash('e', 'near')
        self.assertGreater(self.held_s('near'), 0.0)

    def test_a_quarantined_call_beside_a_bad_one_does_not_hide_it(self):
        """Guards against a bad call crashing five or more servers.

        A quarantined call that ran beside it explains its first crashes.
        """
        self.crash('a', BAD, 'near')
        self.crash('b', BAD, 'near')
        self.crash('x', 'worse', 'near')
        self.assertGreater(self.held_s('near'), 0.0)
        self.crash('c', BAD)
        self.crash('d', BAD)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_call_that_only_ran_beside_a_quarantined_one_is_not(self):
        for backend_id in ('a', 'b', 'c', 'd'):
            self.crash(backend_id, BAD)
        for backend_id in ('a', 'b', 'c', 'd'):
            self.crash(backend_id, 'near', after_s=0.0)
        self.assertEqual(0.0, self.held_s('near'))

    def test_two_calls_on_the_same_servers_need_one_more_crash(self):
        for backend_id in ('a', 'b', 'c'):
            self.crash(backend_id, BAD, 'near')
        self.assertEqual([0.0, 0.0], [self.held_s(), self.held_s('near')])
        self.crash('d', BAD)
        self.assertGreater(self.held_s(), 0.0)
        self.assertEqual(0.0, self.held_s('near'))

    def test_a_successful_run_clears_earlier_crashes(self):
        self.crash('a', BAD)
        self.crash('b', BAD)
        self.succeed(BAD)
        self.crash('c', BAD)
        self.assertEqual(0.0, self.held_s())
        self.crash('d', BAD)
        self.crash('e', BAD)
        self.assertGreater(self.held_s(), 0.0)

    def test_each_further_crash_doubles_the_quarantine(self):
        for backend_id in ('a', 'b', 'c'):
            self.crash(backend_id, BAD)
        self.now += _blame.QUARANTINE_S + 1.0
        (released,) = self.handle(parts.Ticked(now=self.now, entropy=1))
        self.assertEqual(BAD, released.fingerprint)
        self.assertEqual(0.0, self.held_s())
        self.crash('d', BAD)
        self.assertEqual(2 * _blame.QUARANTINE_S, self.held_s())

    def test_a_single_crash_expires(self):
        self.crash('a', BAD)
        self.now += _cases.EVIDENCE_RETENTION_S
        self.handle(parts.Ticked(now=self.now, entropy=1))
        self.assertTrue(self.part.is_empty)

    def test_expired_evidence_is_not_accepted_again(self):
        """Guards against evidence that circulates for ever."""
        end = quarantine.ReportedEnd(
            start=start('a'), age_s=_cases.EVIDENCE_RETENTION_S, told_by='gw-2'
        )
        report = quarantine.CaseReport(
            fingerprint=BAD, ends=(end,), cleared=(), lift=None
        )
        news = quarantine.QuarantineNews(cases=(report,))
        self.handle(parts.Received(now=self.now, sender='gw-2', message=news))
        self.assertTrue(self.part.is_empty)

    def test_calls_with_the_fewest_crashes_are_evicted_first(self):
        """Guards against losing a bad call's evidence to a flood of others.

        The bad call would run again.
        """
        for backend_id in ('a', 'b', 'c'):
            self.crash(backend_id, BAD)
        self.crash('x', *(f'call-{n}' for n in range(_cases.MAX_CASES + 5)))
        self.now += quarantine.COMPARE_S
        self.handle(parts.Ticked(now=self.now, entropy=1))
        self.assertEqual(_cases.MAX_CASES, len(self.part.cases()))
        self.assertGreater(self.held_s(), 0.0)


class AttackTest(SingleInstance):
    """Clients that make crashes count against a harmless call of others.

    Without an account, identical requests are the same call whoever sends
    them. A client may send a harmless call to the very servers that its own
    calls crash.
    """

    #: Sorts before the names of the bad calls.
    NEAR = 'a harmless one'

    def record_success(self, fingerprint, before_s=0.2):
        """Record a successful run, that long before the next crash."""
        self.part.successes.record(self.now + 1.0 - before_s, fingerprint)

    def request_trial(self, fingerprint=NEAR):
        """Request a trial; return whether it is granted."""
        event = quarantine.AskTrial(
            now=self.now, fingerprint=fingerprint, ticket='t'
        )
        (answer,) = self.handle(event)
        self.assertEqual('t', answer.ticket)
        return answer.result

    def crash_under_both(self, *backend_ids):
        """Report crashes under the harmless and a different bad call each."""
        for number, backend_id in enumerate(backend_ids):
            self.crash(backend_id, f'bad-{number}', self.NEAR)

    def test_a_call_that_succeeds_elsewhere_is_never_quarantined(self):
        for backend_id in 'abcdef':
            self.record_success(self.NEAR)
            self.crash(backend_id, BAD, self.NEAR)
            self.assertEqual(0.0, self.held_s(self.NEAR))
        self.assertGreater(self.held_s(), 0.0)

    def test_different_bad_calls_do_not_quarantine_a_harmless_one(self):
        for round_ in range(3):
            self.record_success(self.NEAR)
            self.crash_under_both(*(f'{each}{round_}' for each in 'abc'))
            self.assertEqual(0.0, self.held_s(self.NEAR))

    def test_simultaneous_crashes_blame_only_the_bad_call(self):
        self.record_success(self.NEAR)
        self.crash('a', BAD, self.NEAR)
        for backend_id in 'bc':
            self.crash(backend_id, BAD, self.NEAR, after_s=0.02)
        self.assertEqual(0.0, self.held_s(self.NEAR))
        self.assertGreater(self.held_s(), 0.0)

    def test_an_earlier_successful_run_does_not_clear_crashes(self):
        """A new server version may crash under calls that succeeded before."""
        self.record_success(BAD, before_s=1.1)
        for backend_id in 'abc':
            self.crash(backend_id, BAD)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_successful_run_does_not_clear_later_crashes(self):
        """A call that turns bad later crashes at most two more servers."""
        self.record_success(BAD, before_s=1.0)
        for backend_id in 'abc':
            self.crash(backend_id, BAD, after_s=0.4)
        self.crash('d', BAD, after_s=0.4)
        self.crash('e', BAD, after_s=0.4)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_rare_call_gets_a_trial_once_the_servers_are_back(self):
        self.crash_under_both('a', 'b', 'c')
        self.assertGreater(self.held_s(self.NEAR), 0.0)
        self.assertFalse(self.request_trial())
        self.now = self.part.trial_at(self.NEAR)
        self.assertLess(self.now, 120.0)
        self.assertTrue(self.request_trial())
        self.succeed(self.NEAR)
        self.assertEqual(0.0, self.held_s(self.NEAR))

    def test_one_trial_runs_at_a_time(self):
        self.crash_under_both('a', 'b', 'c')
        self.now = self.part.trial_at(self.NEAR)
        self.assertEqual(
            [True, False, False], [self.request_trial() for _ in range(3)]
        )
        self.now += _trials.TRIAL_S
        self.assertTrue(self.request_trial())

    def test_a_trial_whose_client_disconnects_is_not_the_last(self):
        """Guards against a client blocking trials by disconnecting."""
        self.crash_under_both('a', 'b', 'c')
        self.now = self.part.trial_at(self.NEAR)
        self.assertTrue(self.request_trial())
        self.now += 6.0
        self.assertTrue(self.request_trial())

    def test_a_trial_that_crashes_a_server_is_the_last(self):
        self.crash_under_both('a', 'b', 'c')
        self.now = self.part.trial_at(self.NEAR)
        self.assertTrue(self.request_trial())
        self.handle(
            quarantine.Ended(
                now=self.now,
                fingerprint=self.NEAR,
                start=start('d'),
                ended_at=self.now,
                is_trial=True,
            )
        )
        self.assertIsNone(self.part.trial_at(self.NEAR))
        self.now += _trials.TRIAL_S
        self.assertFalse(self.request_trial())
        self.assertGreater(self.held_s(self.NEAR), _blame.QUARANTINE_S)

    def test_a_call_that_is_not_quarantined_gets_no_trial(self):
        self.crash('a', self.NEAR)
        self.now += 60.0
        self.assertIsNone(self.part.trial_at(self.NEAR))
        self.assertFalse(self.request_trial())
        self.assertFalse(self.request_trial('unknown'))


class GoodPartTest(SingleInstance):
    """What good runs of a part of prompts tell the other instances."""

    PART = 'part'

    def crash_part(self, backend_id):
        self.now += 1.0
        self.handle(
            quarantine.Ended(
                now=self.now,
                fingerprint=self.PART,
                start=start(backend_id),
                ended_at=self.now,
                is_part=True,
            )
        )

    def reports(self):
        return [
            report
            for each in self.out
            if isinstance(each, parts.Send)
            for report in each.message.cases
        ]

    def setUp(self):
        super().setUp()
        peers = tuple(f'gw-{number}' for number in range(2, 9))
        self.handle(quarantine.SetPeers(now=self.now, instance_ids=peers))

    def test_nothing_is_told_just_after_a_good_run(self):
        """Guards against messages on parts that everybody sends."""
        self.part.good_parts.record(self.now, self.PART)
        self.crash_part('a')
        self.assertEqual([], self.out)

    def test_a_good_run_long_before_is_told(self):
        self.part.good_parts.record(self.now - 60.0, self.PART)
        self.crash_part('a')
        self.assertEqual({61.0}, {r.good_age_s for r in self.reports()})

    def test_a_good_run_is_told_to_the_aggregators_only(self):
        """Guards against hundreds of instances that all tell all others."""
        for backend_id in ('a', 'b'):
            self.crash_part(backend_id)
        self.part.good_parts.record(self.now, self.PART)
        self.succeed(self.PART)
        self.assertLessEqual(len(self.out), quarantine.AGGREGATORS)
        self.assertEqual({0.0}, {r.good_age_s for r in self.reports()})
        self.assertEqual([], self.part.ends(self.PART))

    def test_an_earlier_good_run_does_not_replace_a_later_one(self):
        self.part.good_parts.record(self.now, self.PART)
        self.part.good_parts.record(self.now - 5.0, self.PART)
        self.assertEqual(self.now, self.part.good_parts.last_at(self.PART))

    def test_the_least_recent_parts_are_forgotten(self):
        for number in range(quarantine.MAX_KNOWN_GOOD + 1):
            self.part.good_parts.record(self.now, str(number))
        self.assertIsNone(self.part.good_parts.last_at('0'))
        self.assertEqual(self.now, self.part.good_parts.last_at('1'))


class LiftTest(SingleInstance):
    """An operator lifts the quarantine of a call."""

    def lift(self, fingerprint):
        return self.handle(
            quarantine.Lift(
                now=self.now,
                fingerprint=fingerprint,
                operator='ann',
                reason='engines were mended',
                ticket='t',
            )
        )

    def test_it_is_released_with_a_name_and_a_reason(self):
        for backend_id in ('a', 'b', 'c'):
            self.crash(backend_id, BAD)
        known, released = self.lift(BAD)
        self.assertTrue(known.result)
        self.assertEqual(BAD, released.fingerprint)
        self.assertEqual('lifted by ann: engines were mended', released.why)
        self.assertEqual(0.0, self.held_s())
        (case,) = self.part.cases()
        self.assertEqual('ann', case.lifted.operator)
        # Three further crashes quarantine it again.
        for backend_id in ('d', 'e', 'f'):
            self.crash(backend_id, BAD)
        self.assertGreater(self.held_s(), 0.0)

    def test_lifting_an_unknown_call(self):
        (known,) = self.lift('unknown')
        self.assertFalse(known.result)


class SpreadTest(unittest.TestCase):
    """Guards against a call crashing servers through other instances."""

    def setUp(self):
        self.instances = quarantine_network.Instances(
            count=80, loss=0.1, seed=7
        )
        self.instances.run(2.0)

    def crash_three(self):
        for number, backend_id in enumerate(('a', 'b', 'c')):
            self.instances.crash(f'gw-{number * 9}', backend_id)
            self.instances.run(0.4)

    def test_crashes_seen_by_three_instances_add_up_everywhere(self):
        self.crash_three()
        self.instances.run(SETTLE_S - 0.4)
        self.assertEqual([], self.instances.not_quarantining())

    @params(*range(20))
    def test_simultaneous_crashes_add_up_as_soon(self, seed):
        """Guards against forwarding a call for 3 s after its third crash."""
        instances = quarantine_network.Instances(count=80, loss=0.1, seed=seed)
        instances.run(2.0)
        for number in range(3):
            instances.crash(f'gw-{number * 9}', f'server-{number}')
        # Two hops of 80 ms at most, and once more for what was lost.
        instances.run(0.5)
        self.assertEqual([], instances.not_quarantining())

    def test_only_one_instance_gets_a_trial(self):
        """Guards against simultaneous requests crashing all servers again."""
        self.crash_three()
        self.instances.run(_trials.TRIAL_AFTER_S + 1.0)
        for instance_id in self.instances.ids:
            self.instances.handle(
                instance_id,
                quarantine.AskTrial(
                    now=self.instances.now, fingerprint=BAD, ticket='t'
                ),
            )
        self.instances.run(0.5)
        self.assertEqual(1, len(self.instances.granted))

    def test_an_instance_clears_a_call_that_succeeded_there(self):
        self.instances.parts_by_id['gw-33'].successes.record(
            self.instances.now, BAD
        )
        self.crash_three()
        self.instances.run(0.5)
        self.assertEqual(80, len(self.instances.not_quarantining()))

    def test_all_instances_may_clear_a_call_at_the_same_time(self):
        """Guards against blocked control loops after a crash."""
        sent = self.instances.sent
        # The aggregators would clear the first crash before the others
        # receive it.
        first = self.instances.parts_by_id['gw-0']
        others = set(self.instances.ids[2:]) - set(first._aggregators(BAD))
        for instance_id in others:
            part = self.instances.parts_by_id[instance_id]
            part.successes.record(self.instances.now, BAD)
        for number in range(2):
            self.instances.crash(f'gw-{number}', f'server-{number}')
        self.instances.run(0.5)
        # Two crashes and one clearing are each broadcast by an instance and
        # the aggregators. Each instance notifies the aggregators once, and
        # compares checksums with two others.
        aggregators = quarantine.AGGREGATORS
        most_an_entry = (
            3 * (1 + aggregators) + aggregators + 2 * quarantine.COMPARE_FANOUT
        )
        self.assertLess(self.instances.sent - sent, most_an_entry * 80)

    def test_nothing_is_sent_while_there_is_no_evidence(self):
        sent = self.instances.sent
        self.instances.run(10.0)
        self.assertEqual(sent, self.instances.sent)

    def test_a_restarted_instance_receives_the_evidence(self):
        self.crash_three()
        self.instances.begin('gw-40')
        self.instances.run(SETTLE_S)
        self.assertEqual([], self.instances.not_quarantining())

    def test_a_restarted_instance_requests_the_evidence_at_once(self):
        """Guards against running a quarantined call right after a start."""
        instances = quarantine_network.Instances(count=80, loss=0.0, seed=7)
        for number in range(3):
            instances.crash(f'gw-{number}', f'server-{number}')
        instances.run(5.0)
        instances.begin('gw-40')
        # A request and its answer, of at most 80 ms each.
        instances.run(0.17)
        self.assertEqual([], instances.not_quarantining())

    def test_isolated_instances_receive_the_evidence_later(self):
        self.instances.cut = {'gw-50', 'gw-51'}
        self.crash_three()
        self.instances.run(5.0)
        self.assertEqual(['gw-50', 'gw-51'], self.instances.not_quarantining())
        self.instances.cut = set()
        self.instances.run(SETTLE_S)
        self.assertEqual([], self.instances.not_quarantining())

    def test_a_single_crash_is_sent_to_the_aggregators_only(self):
        """Guards against blocking control loops for tenths of a second."""
        sent = self.instances.sent
        self.instances.crash('gw-1', 'a')
        self.assertLessEqual(
            self.instances.sent - sent, quarantine.AGGREGATORS
        )

    def test_a_second_crash_is_broadcast(self):
        self.instances.crash('gw-1', 'a')
        self.instances.run(0.1)
        self.instances.crash('gw-2', 'b')
        self.instances.run(0.3)
        informed = [
            each
            for each, part in self.instances.parts_by_id.items()
            if any(len(case.counted) == 2 for case in part.cases())
        ]
        # A tenth of all messages is lost.
        self.assertGreater(len(informed), 60)

    def test_replicated_evidence_costs_little_traffic(self):
        self.crash_three()
        self.instances.run(5.0)
        before = self.instances.sent_bytes
        self.instances.run(10.0)
        sent = (self.instances.sent_bytes - before) / 10.0 / 80
        self.assertLess(sent, 500.0)

    def test_removed_evidence_does_not_circulate(self):
        instances = quarantine_network.Instances(count=8, loss=0.1, seed=7)
        instances.crash('gw-1', 'a')
        instances.run(_cases.EVIDENCE_RETENTION_S + 5.0)
        left = [
            each
            for each, part in instances.parts_by_id.items()
            if not part.is_empty
        ]
        self.assertEqual([], left)


_PAIRS = st.tuples(
    st.sampled_from(['x', 'y']), st.sampled_from(['a', 'b', 'c', 'd'])
)
_REPORTS = st.builds(
    lambda pair, clears: quarantine.CaseReport(
        fingerprint=pair[0],
        ends=(
            quarantine.ReportedEnd(
                start=start(pair[1]),
                age_s=float('abcd'.index(pair[1])),
                told_by='gw-1',
            ),
        ),
        cleared=(start(pair[1]),) if clears else (),
        lift=None,
    ),
    _PAIRS,
    st.booleans(),
)


class MergeTest(unittest.TestCase):
    """Reports may arrive in any order, late and more than once."""

    @hypothesis.given(reports=st.lists(_REPORTS, max_size=8), data=st.data())
    def test_order_and_doubles_change_nothing(self, reports, data):
        shuffled = data.draw(st.permutations(reports))
        first, second = _cases.Cases(), _cases.Cases()
        for report in reports:
            first.merge(100.0, report)
        for report in itertools.chain(shuffled, reports):
            second.merge(100.0, report)
        self.assertEqual(first.checksums(), second.checksums())
        for fingerprint, case in first.by_fingerprint.items():
            other = second.by_fingerprint[fingerprint]
            self.assertEqual(case.cleared, other.cleared)
        self.assertEqual(first.evaluate(), second.evaluate())

    @hypothesis.given(reports=st.lists(_REPORTS, max_size=8))
    def test_a_full_report_transfers_all_evidence(self, reports):
        first, second = _cases.Cases(), _cases.Cases()
        for report in reports:
            first.merge(100.0, report)
        for case in first.by_fingerprint.values():
            second.merge(101.0, case.report(101.0))
        self.assertEqual(first.checksums(), second.checksums())
