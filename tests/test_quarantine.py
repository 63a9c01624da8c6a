"""Calls that crash backend servers: evidence, its spread, its evaluation."""

import itertools
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies as st
from nose2.tools import params

from dandeliongw import codec
from dandeliongw.coordination import _cases
from dandeliongw.coordination import _trials
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine
from dandeliongw.protocol import quarantine_pb2
from tests import timeline

CODEC = codec.Codec(
    data_classes=quarantine.MESSAGES, wire_modules=[quarantine_pb2]
)
BAD = 'bad'
#: Seconds within which a change has to reach all instances.
SETTLE_S = 3.0


def start(backend_id: str, incarnation: int = 1) -> presence.BackendStart:
    return presence.BackendStart(
        backend_id=backend_id, incarnation=incarnation
    )


class One(unittest.TestCase):
    """Base class: the quarantine of one instance."""

    def setUp(self):
        self.part = quarantine.Quarantine(instance_id='gw-1')
        self.now = 100.0
        self.out: list[typing.Any] = []

    def handle(self, event):
        self.out = self.part.handle(event)
        return self.out

    def end(self, backend_id, *fingerprints, incarnation=1, after_s=1.0):
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


class BlameTest(One):
    """Which evidence quarantines a call, and which does not."""

    def test_three_ends_hold_a_call(self):
        self.end('a', BAD)
        self.end('b', BAD)
        self.assertEqual(0.0, self.held_s())
        self.end('c', BAD)
        (held,) = self.out
        self.assertEqual(('a', 'b', 'c'), held.backend_ids)
        self.assertEqual(('gw-1',), held.told_by)
        self.assertEqual(_cases.HELD_S, self.held_s())
        self.assertEqual(0.0, self.held_s('other'))

    def test_a_start_counts_once_and_the_next_start_again(self):
        self.end('a', BAD, BAD)
        self.end('a', BAD)
        self.assertEqual(0.0, self.held_s())
        self.end('a', BAD, incarnation=2)
        self.end('a', BAD, incarnation=3)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_rack_that_loses_power_holds_nothing(self):
        """Guards against refusing harmless calls for minutes."""
        calls = [f'call-{number}' for number in range(50)]
        self.end('a', *calls)
        for backend_id in ('b', 'c', 'd'):
            self.end(backend_id, *calls, after_s=0.05)
        self.assertFalse(any(self.held_s(each) for each in calls))

    def test_copies_at_one_moment_are_held(self):
        """Guards against servers crashing again as soon as they are back."""
        self.end('a', BAD, 'near')
        for backend_id in ('b', 'c'):
            self.end(backend_id, BAD, after_s=0.02)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_copy_that_ends_well_clears_the_others(self):
        """A harmless call may run on all servers of a rack that is lost."""
        self.end('a', BAD)
        for backend_id in ('b', 'c'):
            self.end(backend_id, BAD, after_s=0.02)
        self.succeed(BAD)
        (released,) = [
            each for each in self.out if isinstance(each, quarantine.Released)
        ]
        self.assertEqual('a run succeeded', released.why)
        self.assertEqual(0.0, self.held_s())

    def test_neighbours_of_a_bad_call_go_on(self):
        """Guards against refusing calls that ran beside a bad one."""
        self.end('a', BAD, 'near', 'far')
        self.end('b', BAD, 'near')
        self.end('c', BAD)
        self.assertGreater(self.held_s(), 0.0)
        # The bad call explains its first two crashes.
        self.end('d', 'near')
        self.assertEqual(0.0, self.held_s('near'))
        self.end('e', 'near')
        self.assertGreater(self.held_s('near'), 0.0)

    def test_a_neighbour_that_is_held_hides_no_bad_call(self):
        """Guards against a bad call crashing five or more servers.

        A quarantined call that ran beside it explains its first crashes.
        """
        self.end('a', BAD, 'near')
        self.end('b', BAD, 'near')
        self.end('x', 'worse', 'near')
        self.assertGreater(self.held_s('near'), 0.0)
        self.end('c', BAD)
        self.end('d', BAD)
        self.assertGreater(self.held_s(), 0.0)

    def test_one_that_only_ran_beside_a_held_call_is_never_held(self):
        for backend_id in ('a', 'b', 'c', 'd'):
            self.end(backend_id, BAD)
        for backend_id in ('a', 'b', 'c', 'd'):
            self.end(backend_id, 'near', after_s=0.0)
        self.assertEqual(0.0, self.held_s('near'))

    def test_two_that_ran_at_the_same_places_get_one_try_more(self):
        for backend_id in ('a', 'b', 'c'):
            self.end(backend_id, BAD, 'near')
        self.assertEqual([0.0, 0.0], [self.held_s(), self.held_s('near')])
        self.end('d', BAD)
        self.assertGreater(self.held_s(), 0.0)
        self.assertEqual(0.0, self.held_s('near'))

    def test_a_run_to_the_end_clears_what_was_known(self):
        self.end('a', BAD)
        self.end('b', BAD)
        self.succeed(BAD)
        self.end('c', BAD)
        self.assertEqual(0.0, self.held_s())
        self.end('d', BAD)
        self.end('e', BAD)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_held_call_is_tried_now_and_then_each_time_later(self):
        for backend_id in ('a', 'b', 'c'):
            self.end(backend_id, BAD)
        self.now += _cases.HELD_S + 1.0
        (released,) = self.handle(parts.Ticked(now=self.now, entropy=1))
        self.assertEqual(BAD, released.fingerprint)
        self.assertEqual(0.0, self.held_s())
        self.end('d', BAD)
        self.assertEqual(2 * _cases.HELD_S, self.held_s())

    def test_one_end_is_forgotten_soon(self):
        self.end('a', BAD)
        self.now += _cases.KEPT_S
        self.handle(parts.Ticked(now=self.now, entropy=1))
        self.assertTrue(self.part.is_empty)

    def test_what_is_old_elsewhere_is_not_taken_back(self):
        """Guards against evidence that circulates for ever."""
        end = quarantine.ReportedEnd(
            start=start('a'), age_s=_cases.KEPT_S, told_by='gw-2'
        )
        report = quarantine.CaseReport(
            fingerprint=BAD, ends=(end,), cleared=(), lift=None
        )
        news = quarantine.QuarantineNews(cases=(report,))
        self.handle(parts.Received(now=self.now, sender='gw-2', message=news))
        self.assertTrue(self.part.is_empty)

    def test_too_many_calls_push_out_those_with_the_fewest_ends(self):
        """Guards against losing a bad call's evidence to a flood of others.

        The bad call would run again.
        """
        for backend_id in ('a', 'b', 'c'):
            self.end(backend_id, BAD)
        self.end('x', *(f'call-{n}' for n in range(_cases.MOST_CASES + 5)))
        self.now += quarantine.COMPARE_S
        self.handle(parts.Ticked(now=self.now, entropy=1))
        self.assertEqual(_cases.MOST_CASES, len(self.part.cases()))
        self.assertGreater(self.held_s(), 0.0)


class AttackTest(One):
    """Clients that make crashes count against a harmless call of others.

    Without an account, identical requests are the same call whoever sends
    them. A client may send a harmless call to the very servers that its own
    calls crash.
    """

    #: Sorts before the names of the bad calls.
    NEAR = 'a harmless one'

    def run_well(self, fingerprint, before_s=0.2):
        """Record a successful run, that long before the next crash."""
        self.part.successes.record(self.now + 1.0 - before_s, fingerprint)

    def ask(self, fingerprint=NEAR):
        """Request a trial; return whether it is granted."""
        event = quarantine.AskTrial(
            now=self.now, fingerprint=fingerprint, ticket='t'
        )
        (answer,) = self.handle(event)
        self.assertEqual('t', answer.ticket)
        return answer.result

    def end_beside(self, *backend_ids):
        """Report crashes under the harmless and a different bad call each."""
        for number, backend_id in enumerate(backend_ids):
            self.end(backend_id, f'bad-{number}', self.NEAR)

    def test_a_call_that_runs_well_elsewhere_is_never_held(self):
        for backend_id in 'abcdef':
            self.run_well(self.NEAR)
            self.end(backend_id, BAD, self.NEAR)
            self.assertEqual(0.0, self.held_s(self.NEAR))
        self.assertGreater(self.held_s(), 0.0)

    def test_beside_one_bad_call_after_another(self):
        for round_ in range(3):
            self.run_well(self.NEAR)
            self.end_beside(*(f'{each}{round_}' for each in 'abc'))
            self.assertEqual(0.0, self.held_s(self.NEAR))

    def test_a_wave_at_one_moment_tells_the_two_apart(self):
        self.run_well(self.NEAR)
        self.end('a', BAD, self.NEAR)
        for backend_id in 'bc':
            self.end(backend_id, BAD, self.NEAR, after_s=0.02)
        self.assertEqual(0.0, self.held_s(self.NEAR))
        self.assertGreater(self.held_s(), 0.0)

    def test_a_run_that_ended_long_before_does_not_count(self):
        """A new server version may crash under calls that succeeded before."""
        self.run_well(BAD, before_s=1.1)
        for backend_id in 'abc':
            self.end(backend_id, BAD)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_run_that_ends_well_does_not_clear_the_next_ends(self):
        """A call that turns bad then crashes at most two more servers."""
        self.run_well(BAD, before_s=1.0)
        for backend_id in 'abc':
            self.end(backend_id, BAD, after_s=0.4)
        self.end('d', BAD, after_s=0.4)
        self.end('e', BAD, after_s=0.4)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_rare_call_is_tried_once_the_servers_are_back(self):
        self.end_beside('a', 'b', 'c')
        self.assertGreater(self.held_s(self.NEAR), 0.0)
        self.assertFalse(self.ask())
        self.now = self.part.trial_at(self.NEAR)
        self.assertLess(self.now, 120.0)
        self.assertTrue(self.ask())
        self.succeed(self.NEAR)
        self.assertEqual(0.0, self.held_s(self.NEAR))

    def test_one_send_is_tried_at_a_time(self):
        self.end_beside('a', 'b', 'c')
        self.now = self.part.trial_at(self.NEAR)
        self.assertEqual([True, False, False], [self.ask() for _ in range(3)])
        self.now += _trials.TRIAL_S
        self.assertTrue(self.ask())

    def test_a_trial_whose_caller_leaves_is_not_the_last(self):
        """Guards against a client blocking trials by disconnecting."""
        self.end_beside('a', 'b', 'c')
        self.now = self.part.trial_at(self.NEAR)
        self.assertTrue(self.ask())
        self.now += 6.0
        self.assertTrue(self.ask())

    def test_a_trial_that_ends_a_server_is_the_last(self):
        self.end_beside('a', 'b', 'c')
        self.now = self.part.trial_at(self.NEAR)
        self.assertTrue(self.ask())
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
        self.assertFalse(self.ask())
        self.assertGreater(self.held_s(self.NEAR), _cases.HELD_S)

    def test_what_is_not_held_is_not_tried(self):
        self.end('a', self.NEAR)
        self.now += 60.0
        self.assertIsNone(self.part.trial_at(self.NEAR))
        self.assertFalse(self.ask())
        self.assertFalse(self.ask('unknown'))


class LiftTest(One):
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
            self.end(backend_id, BAD)
        known, released = self.lift(BAD)
        self.assertTrue(known.result)
        self.assertEqual(BAD, released.fingerprint)
        self.assertEqual('lifted by ann: engines were mended', released.why)
        self.assertEqual(0.0, self.held_s())
        (case,) = self.part.cases()
        self.assertEqual('ann', case.lifted.operator)
        # Three further crashes quarantine it again.
        for backend_id in ('d', 'e', 'f'):
            self.end(backend_id, BAD)
        self.assertGreater(self.held_s(), 0.0)

    def test_a_call_that_nobody_knows(self):
        (known,) = self.lift('unknown')
        self.assertFalse(known.result)


class Entries(timeline.Timeline):
    """Instances on links that delay and lose messages.

    :param loss: fraction of the messages that are lost.
    """

    def __init__(self, *, count: int, loss: float, seed: int) -> None:
        super().__init__()
        self.chance = random.Random(seed)
        self.loss = loss
        self.ids = tuple(f'gw-{number}' for number in range(count))
        self.parts_by_id: dict[str, quarantine.Quarantine] = {}
        self.cut: set[str] = set()
        self.sent_bytes = 0
        self.sent = 0
        self.granted: list[str] = []
        for each in self.ids:
            self.begin(each)
            self._later(self.chance.random(), self._tick, each)

    def begin(self, instance_id: str) -> None:
        """Start an instance, with nothing in memory."""
        self.parts_by_id[instance_id] = quarantine.Quarantine(
            instance_id=instance_id
        )
        self.handle(
            instance_id,
            quarantine.SetPeers(now=self.now, instance_ids=self.ids),
        )

    def handle(self, instance_id: str, event: typing.Any) -> None:
        for effect in self.parts_by_id[instance_id].handle(event):
            if isinstance(effect, parts.Send):
                self._send(instance_id, effect)
            elif isinstance(effect, parts.Complete) and effect.result:
                self.granted.append(instance_id)

    def _send(self, sender: str, effect: parts.Send) -> None:
        kind, body = CODEC.encode(effect.message)
        self.sent += 1
        self.sent_bytes += len(body)
        if self.chance.random() < self.loss or {sender, effect.to} & self.cut:
            return
        delay = self.chance.uniform(0.002, 0.08)
        self._later(delay, self._receive, sender, effect.to, kind, body)

    def _receive(self, sender: str, to: str, kind: str, body: bytes) -> None:
        message = CODEC.decode(kind, body)
        self.handle(
            to, parts.Received(now=self.now, sender=sender, message=message)
        )

    def _tick(self, instance_id: str) -> None:
        entropy = self.chance.getrandbits(64)
        self.handle(instance_id, parts.Ticked(now=self.now, entropy=entropy))
        self._later(0.2, self._tick, instance_id)

    def end(self, instance_id: str, backend_id: str) -> None:
        self.handle(
            instance_id,
            quarantine.Ended(
                now=self.now,
                fingerprint=BAD,
                start=start(backend_id),
                ended_at=self.now,
            ),
        )

    def not_holding(self) -> list[str]:
        return [
            each
            for each, part in self.parts_by_id.items()
            if not part.held_s(self.now, BAD)
        ]


class SpreadTest(unittest.TestCase):
    """Guards against a call crashing servers through other instances."""

    def setUp(self):
        self.entries = Entries(count=80, loss=0.1, seed=7)
        self.entries.run(2.0)

    def end_three(self):
        for number, backend_id in enumerate(('a', 'b', 'c')):
            self.entries.end(f'gw-{number * 9}', backend_id)
            self.entries.run(0.4)

    def test_ends_at_three_entries_add_up_at_all(self):
        self.end_three()
        self.entries.run(SETTLE_S - 0.4)
        self.assertEqual([], self.entries.not_holding())

    @params(*range(20))
    def test_ends_at_one_moment_add_up_as_soon(self, seed):
        """Guards against forwarding a call for 3 s after its third crash."""
        entries = Entries(count=80, loss=0.1, seed=seed)
        entries.run(2.0)
        for number in range(3):
            entries.end(f'gw-{number * 9}', f'server-{number}')
        # Two hops of 80 ms at most, and once more for what was lost.
        entries.run(0.5)
        self.assertEqual([], entries.not_holding())

    def test_one_entry_of_all_tries_a_held_call(self):
        """Guards against simultaneous requests crashing all servers again."""
        self.end_three()
        self.entries.run(_trials.TRIAL_AFTER_S + 1.0)
        for instance_id in self.entries.ids:
            self.entries.handle(
                instance_id,
                quarantine.AskTrial(
                    now=self.entries.now, fingerprint=BAD, ticket='t'
                ),
            )
        self.entries.run(0.5)
        self.assertEqual(1, len(self.entries.granted))

    def test_one_entry_clears_what_ran_well_there(self):
        self.entries.parts_by_id['gw-33'].successes.record(
            self.entries.now, BAD
        )
        self.end_three()
        self.entries.run(0.5)
        self.assertEqual(80, len(self.entries.not_holding()))

    def test_all_entries_may_clear_a_call_at_a_time(self):
        """Guards against blocked control loops after a crash."""
        sent = self.entries.sent
        # The aggregators would clear the first crash before the others
        # receive it.
        first = self.entries.parts_by_id['gw-0']
        others = set(self.entries.ids[2:]) - set(first._homes(BAD))
        for instance_id in others:
            part = self.entries.parts_by_id[instance_id]
            part.successes.record(self.entries.now, BAD)
        for number in range(2):
            self.entries.end(f'gw-{number}', f'server-{number}')
        self.entries.run(0.5)
        # Two crashes and one clearing are each broadcast by an instance and
        # the aggregators. Each instance notifies the aggregators once, and
        # compares checksums with two others.
        homes = quarantine.HOMES
        most_an_entry = 3 * (1 + homes) + homes + 2 * quarantine.COMPARED
        self.assertLess(self.entries.sent - sent, most_an_entry * 80)

    def test_nothing_is_sent_while_there_is_no_evidence(self):
        sent = self.entries.sent
        self.entries.run(10.0)
        self.assertEqual(sent, self.entries.sent)

    def test_an_entry_that_starts_learns_it(self):
        self.end_three()
        self.entries.begin('gw-40')
        self.entries.run(SETTLE_S)
        self.assertEqual([], self.entries.not_holding())

    def test_an_entry_that_starts_asks_before_it_is_told(self):
        """Guards against running a quarantined call right after a start."""
        entries = Entries(count=80, loss=0.0, seed=7)
        for number in range(3):
            entries.end(f'gw-{number}', f'server-{number}')
        entries.run(5.0)
        entries.begin('gw-40')
        # A request and its answer, of at most 80 ms each.
        entries.run(0.17)
        self.assertEqual([], entries.not_holding())

    def test_entries_that_were_cut_off_learn_it(self):
        self.entries.cut = {'gw-50', 'gw-51'}
        self.end_three()
        self.entries.run(5.0)
        self.assertEqual(['gw-50', 'gw-51'], self.entries.not_holding())
        self.entries.cut = set()
        self.entries.run(SETTLE_S)
        self.assertEqual([], self.entries.not_holding())

    def test_one_end_is_told_to_few(self):
        """Guards against blocking control loops for tenths of a second."""
        sent = self.entries.sent
        self.entries.end('gw-1', 'a')
        self.assertLessEqual(self.entries.sent - sent, quarantine.HOMES)

    def test_a_second_end_is_told_to_all(self):
        self.entries.end('gw-1', 'a')
        self.entries.run(0.1)
        self.entries.end('gw-2', 'b')
        self.entries.run(0.3)
        told = [
            each
            for each, part in self.entries.parts_by_id.items()
            if any(len(case.counted) == 2 for case in part.cases())
        ]
        # A tenth of all messages is lost.
        self.assertGreater(len(told), 60)

    def test_evidence_that_all_have_costs_little(self):
        self.end_three()
        self.entries.run(5.0)
        before = self.entries.sent_bytes
        self.entries.run(10.0)
        sent = (self.entries.sent_bytes - before) / 10.0 / 80
        self.assertLess(sent, 500.0)

    def test_what_is_forgotten_does_not_go_round(self):
        entries = Entries(count=8, loss=0.1, seed=7)
        entries.end('gw-1', 'a')
        entries.run(_cases.KEPT_S + 5.0)
        left = [
            each
            for each, part in entries.parts_by_id.items()
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
        self.assertEqual(first.judge(), second.judge())

    @hypothesis.given(reports=st.lists(_REPORTS, max_size=8))
    def test_a_report_of_all_brings_all(self, reports):
        first, second = _cases.Cases(), _cases.Cases()
        for report in reports:
            first.merge(100.0, report)
        for case in first.by_fingerprint.values():
            second.merge(101.0, case.report(101.0))
        self.assertEqual(first.checksums(), second.checksums())
