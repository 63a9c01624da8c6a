"""Quarantined calls at an entry: which requests stop, what is reported."""

import itertools
import json
import unittest

from nose2.tools import params

from dandeliongw.cell import cells
from dandeliongw.coordination import _trials
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine
from dandeliongw import decisions
from dandeliongw import document
from dandeliongw import effects
from dandeliongw.entry import quarantine_check
from dandeliongw.entry import waste
from dandeliongw import events
from dandeliongw import verdict
from tests import entry_fake
from tests import network
from tests import test_pass_through

REASON = verdict.RefusalReason
RETRY = verdict.RetryReason
NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
_TRIED = decisions.CallTried.message


class HoldsTestCase(unittest.TestCase):
    """Base class: an entry with evidence against some of its calls."""

    def setUp(self):
        self.entry = entry_fake.Entry()

    def fingerprint(self, kind):
        return self.entry.quarantine_check.fingerprint(entry_fake.call(kind))

    def learn(self, kind, *backend_ids):
        """Report that backend servers ended under a kind of call.

        The ends are one second apart.
        """
        for number, backend_id in enumerate(backend_ids):
            start = presence.BackendStart(backend_id=backend_id, incarnation=1)
            self.entry.quarantine.handle(
                quarantine.Ended(
                    now=self.entry.now,
                    fingerprint=self.fingerprint(kind),
                    start=start,
                    ended_at=self.entry.now - 10.0 + number,
                )
            )

    def hold(self, kind):
        """Quarantine a kind of call; return the resulting effects."""
        self.learn(kind, 'a', 'b', 'c')
        return self.entry.take(
            self.entry.requests.stop_quarantined(
                self.entry.now, self.fingerprint(kind)
            )
        )


class ArrivalTest(HoldsTestCase):
    def test_a_quarantined_call_is_refused_with_a_retry_time(self):
        self.hold('lookup')
        self.entry.arrive('lookup')
        refusal = self.entry.refusal
        self.assertEqual(REASON.QUARANTINED, refusal.reason)
        self.assertEqual(NOT_RUN, refusal.verdict)
        self.assertGreater(refusal.retry_after_s, 60.0)
        self.assertEqual([], self.entry.sent(cells.Book))
        fields = dict(self.entry.one(effects.Log).fields)
        self.assertEqual(self.fingerprint('lookup'), fields['call'])
        self.assertEqual('a b c', fields['backend_ids'])
        self.assertEqual('8.000', fields['last_ended_s'])

    def test_other_calls_go_on(self):
        self.hold('lookup')
        self.entry.arrive('completion')
        self.assertEqual(1, len(self.entry.sent(cells.Book)))

    def test_a_call_with_a_key_may_have_run_before(self):
        """Only its claim records whether an earlier send has run."""
        self.hold('booking')
        self.entry.arrive('booking', 'k')
        self.assertEqual(MAY_HAVE_RUN, self.entry.refusal.verdict)


class InFlightTest(HoldsTestCase):
    """Requests in flight when their call is quarantined."""

    def test_a_request_without_a_slot_is_stopped(self):
        self.entry.arrive('lookup')
        self.hold('lookup')
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertEqual(1, len(self.entry.sent(cells.Release)))

    def test_a_running_request_is_not_stopped(self):
        self.entry.calling('lookup', key=None)
        self.assertEqual([], self.hold('lookup'))

    def test_a_claimed_call_is_not_begun(self):
        request_id = self.entry.arrive('booking', 'k')
        self.learn('booking', 'a', 'b', 'c')
        self.entry.claim(request_id)
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertEqual(NOT_RUN, self.entry.refusal.verdict)

    def test_a_quarantined_call_is_not_retried(self):
        request_id = self.entry.calling('lookup', key=None)
        self.learn('lookup', 'a', 'b', 'c')
        self.entry.answer(
            request_id,
            failure=RETRY.STREAM_BROKEN,
            known=MAY_HAVE_RUN,
            is_cut=True,
        )
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertEqual(MAY_HAVE_RUN, self.entry.refusal.verdict)


class StreamTest(HoldsTestCase):
    """Guards against a quarantined stream that crashes another engine."""

    def test_a_stream_is_not_decoded_after_its_prefill(self):
        request_id = self.entry.prefilling()
        self.learn('completion', 'a', 'b', 'c')
        self.entry.prefill(request_id)
        self.assertEqual([], self.entry.found(effects.RunDecode))
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)

    def test_a_stream_is_not_moved_to_another_engine(self):
        request_id = self.entry.decoding()
        self.learn('completion', 'a', 'b', 'c')
        self.entry.decode(request_id, RETRY.CONNECT_REFUSED, known=NOT_RUN)
        self.assertEqual([], self.entry.sent(cells.Book))
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)

    def test_a_stream_that_searches_for_another_engine_is_stopped(self):
        """Guards against an exception while the quarantine is applied."""
        request_id = self.entry.decoding()
        self.entry.decode(request_id, RETRY.CONNECT_REFUSED, known=NOT_RUN)
        self.assertEqual(1, len(self.entry.sent(cells.Book)))
        self.hold('completion')
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertEqual(
            [(waste.WasteReason.QUARANTINED, 100)], self.entry.wastes
        )


class EvidenceTest(HoldsTestCase):
    """The evidence that an entry derives from the ends of its steps."""

    def end(self, request_id, **changes):
        fields = {'failure': RETRY.STREAM_BROKEN, 'known': MAY_HAVE_RUN}
        return self.entry.answer(request_id, **{**fields, **changes})

    def test_a_broken_connection_causes_a_probe(self):
        request_id = self.entry.arrive('lookup')
        self.entry.book(request_id, plain_incarnation=7)
        self.end(request_id, is_cut=True)
        probe = self.entry.one(effects.ProbeBackend)
        self.assertEqual(
            presence.BackendStart(backend_id='s1', incarnation=7), probe.start
        )
        self.assertEqual('http://s1', probe.url)
        # The next attempt does not wait for the probe.
        self.assertEqual(1, len(self.entry.sent(cells.Book)))
        self.entry.post(
            events.BackendProbed, start=probe.start, is_refused=True
        )
        (ended,) = self.entry.dispatched(quarantine.Ended)
        self.assertEqual(self.fingerprint('lookup'), ended.fingerprint)

    @params({'is_cut': False}, {'is_cut': False, 'known': NOT_RUN})
    def test_other_failures_cause_no_probe(self, changes):
        request_id = self.entry.calling('lookup', key=None)
        self.end(request_id, **changes)
        self.assertEqual([], self.entry.found(effects.ProbeBackend))

    def test_a_complete_answer_is_reported_for_a_suspected_call(self):
        request_id = self.entry.calling('lookup', key=None)
        self.learn('lookup', 'a')
        self.entry.answer(request_id)
        (found,) = self.entry.dispatched(quarantine.Succeeded)
        self.assertEqual(self.fingerprint('lookup'), found.fingerprint)

    def test_without_evidence_nothing_is_reported(self):
        request_id = self.entry.calling('lookup', key=None)
        self.entry.answer(request_id)
        self.assertEqual([], self.entry.dispatched(quarantine.Succeeded))


class PartTestCase(unittest.TestCase):
    """Base class: an entry that is sent prompts with shared parts."""

    def setUp(self):
        self.entry = entry_fake.Entry()

    def part(self, name):
        (found,) = self.entry.quarantine_check.parts(
            entry_fake.call('completion', shared_parts=(name,))
        )
        return found

    def crash(self, backend_id, *names, after_s=1.0, **changes):
        """Report a crash under parts of prompts."""
        self.entry.now += after_s
        for name in names:
            fields = {
                'now': self.entry.now,
                'fingerprint': self.part(name),
                'start': presence.BackendStart(
                    backend_id=backend_id, incarnation=1
                ),
                'ended_at': self.entry.now,
                'is_part': True,
            }
            self.entry.quarantine.handle(
                quarantine.Ended(**{**fields, **changes})
            )

    def hold(self, *names):
        """Quarantine parts; return the resulting effects."""
        for backend_id in 'abcd':
            self.crash(backend_id, *names)
        return self.entry.take(
            self.entry.requests.stop_quarantined(
                self.entry.now, self.part(names[0])
            )
        )

    def arrive(self, *names, **changes):
        return self.entry.arrive('completion', shared_parts=names, **changes)

    def decoding(self, *names):
        request_id = self.arrive(*names)
        self.entry.book(request_id)
        self.entry.prefill(request_id)
        return request_id

    def wrote(self, pieces, seconds):
        """Return how an engine wrote pieces until now."""
        return {
            'pieces': pieces,
            'first_piece_at': self.entry.now - seconds,
            'last_piece_at': self.entry.now,
        }


class PartTest(PartTestCase):
    """Guards against prompts with one part that crash engine after engine."""

    def test_a_prompt_with_it_is_refused_and_others_are_not(self):
        self.hold('bad')
        self.arrive('first', 'bad')
        refusal = self.entry.refusal
        self.assertEqual(REASON.QUARANTINED, refusal.reason)
        self.assertEqual(NOT_RUN, refusal.verdict)
        self.assertIn('a part of this prompt', refusal.message)
        fields = dict(self.entry.one(effects.Log).fields)
        self.assertEqual(self.part('bad'), fields['parts'])
        self.assertEqual('a b c d', fields['backend_ids'])
        self.arrive('first', 'other')
        self.assertEqual(1, len(self.entry.sent(cells.Book)))

    def test_one_that_waits_is_stopped(self):
        self.arrive('first', 'bad')
        self.hold('bad')
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertEqual(NOT_RUN, self.entry.refusal.verdict)

    def test_one_whose_prompt_was_read_is_not_decoded(self):
        request_id = self.arrive('bad')
        self.entry.book(request_id)
        for backend_id in 'abcd':
            self.crash(backend_id, 'bad')
        self.entry.prefill(request_id)
        self.assertEqual([], self.entry.found(effects.RunDecode))
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)

    def test_one_that_runs_is_not_resumed(self):
        """Guards against a stream that crashes one engine for each piece."""
        request_id = self.decoding('bad')
        self.assertEqual([], self.hold('bad'))
        self.entry.decode(request_id, RETRY.STREAM_BROKEN, tokens=2)
        self.assertEqual([], self.entry.found(effects.RunDecode))
        self.assertEqual([], self.entry.sent(cells.Book))
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)
        self.assertEqual(MAY_HAVE_RUN, self.entry.refusal.verdict)

    def end_under(self, request_id, **changes):
        """End the engine under a stream; return the suspects told."""
        self.entry.decode(
            request_id,
            RETRY.STREAM_BROKEN,
            known=MAY_HAVE_RUN,
            is_cut=True,
            **changes,
        )
        probe = self.entry.one(effects.ProbeBackend)
        self.entry.post(
            events.BackendProbed, start=probe.start, is_refused=True
        )
        return self.entry.dispatched(quarantine.Ended)

    @params((0, 0.0), (2, 5.0), (40, 0.5))
    def test_a_crash_counts_against_the_parts_of_a_fresh_stream(
        self, pieces, seconds
    ):
        request_id = self.decoding('first', 'bad')
        call, *found = self.end_under(
            request_id, **self.wrote(pieces, seconds)
        )
        self.assertFalse(call.is_part)
        self.assertEqual(
            [self.part('first'), self.part('bad')],
            [each.fingerprint for each in found],
        )
        self.assertTrue(all(each.is_part for each in found))

    def test_a_stream_that_went_on_leaves_its_parts_alone(self):
        """Guards against blaming the neighbours of a bad stream."""
        request_id = self.decoding('first', 'other')
        found = self.end_under(request_id, **self.wrote(40, 2.0))
        self.assertEqual([False], [each.is_part for each in found])
        # A stream beside it, of another request, had only begun.
        self.crash('a', 'first')
        self.assertEqual([], self.entry.quarantine.ends(self.part('first')))

    def test_parts_of_a_whole_answer_are_not_blamed_just_after(self):
        request_id = self.decoding('first')
        self.entry.decode(request_id, **self.wrote(6, 0.2))
        self.crash('a', 'first', after_s=0.5)
        self.assertTrue(self.entry.quarantine.is_empty)
        self.crash('b', 'first', after_s=2.0)
        self.assertEqual(
            1, len(self.entry.quarantine.ends(self.part('first')))
        )

    def test_parts_of_an_answer_that_goes_on_are_acquitted(self):
        """Guards against a long answer that acquits only at its end."""
        self.crash('a', 'first')
        request_id = self.decoding('first')
        attempt_id = self.entry.ids_of(request_id)['attempt_id']
        for attempt, is_told in (('other', False), (attempt_id, True)):
            self.entry.post(
                events.AnswerGoesOn, request_id=request_id, attempt_id=attempt
            )
            found = self.entry.dispatched(quarantine.Succeeded)
            self.assertEqual(
                [self.part('first')] * is_told,
                [each.fingerprint for each in found],
            )

    @params((2, False), (3, True))
    def test_a_short_answer_acquits_nothing(self, pieces, is_good):
        """Guards against clearing a part by an answer of two pieces.

        An engine that crashes as it begins to write may have sent these.
        """
        self.crash('a', 'bad')
        request_id = self.decoding('bad')
        self.entry.decode(request_id, **self.wrote(pieces, 0.1))
        found = self.entry.dispatched(quarantine.Succeeded)
        parts_told = {self.part('bad')} & {each.fingerprint for each in found}
        self.assertEqual(is_good, bool(parts_told))

    def test_an_answer_completed_after_a_crash_acquits_nothing(self):
        """Guards against a bad stream that is answered piece by piece."""
        self.crash('a', 'bad')
        request_id = self.decoding('bad')
        self.entry.decode(
            request_id,
            RETRY.STREAM_BROKEN,
            tokens=2,
            **self.wrote(2, 0.1),
        )
        self.entry.decode(request_id, **self.wrote(8, 0.1))
        found = self.entry.dispatched(quarantine.Succeeded)
        self.assertNotIn(
            self.part('bad'), {each.fingerprint for each in found}
        )


class PartTrialTest(PartTestCase):
    """One send of a quarantined part shows whether it is to blame."""

    def setUp(self):
        super().setUp()
        self.hold('bad')

    def trial(self, *names, after_s=_trials.PART_TRIALS_AFTER_S[0]):
        """Send a request when a trial is due; return its id if it runs."""
        self.entry.now += after_s
        request_id = self.arrive(*names)
        asked = self.entry.dispatched(quarantine.AskTrial)
        for event in asked:
            for each in self.entry.quarantine.handle(event):
                self.entry.take(
                    self.entry.requests.trial_answered(
                        self.entry.now, request_id, each.result
                    )
                )
        return request_id if self.entry.sent(cells.Book) else None

    def test_it_runs_once(self):
        self.assertIsNone(self.trial('bad', after_s=1.0))
        request_id = self.trial('first', 'bad')
        self.assertIsNotNone(request_id)
        self.assertIsNone(self.trial('bad', after_s=0.0))

    def test_a_good_run_releases_the_part(self):
        request_id = self.trial('bad')
        self.entry.book(request_id)
        self.entry.prefill(request_id)
        self.entry.decode(request_id, **self.wrote(10, 0.5))
        for event in self.entry.dispatched(quarantine.Succeeded):
            self.entry.quarantine.handle(event)
        self.arrive('bad')
        self.assertEqual(1, len(self.entry.sent(cells.Book)))

    def test_three_of_them_crash_a_server_at_most(self):
        """Guards against one more crash for each trial."""
        waits_s = _trials.PART_TRIALS_AFTER_S
        for backend_id, wait_s in zip('efg', waits_s, strict=True):
            self.assertIsNone(self.trial('bad', after_s=wait_s - 0.5))
            self.assertIsNotNone(self.trial('bad', after_s=0.5))
            self.crash(backend_id, 'bad', is_trial=True, after_s=0.0)
        self.assertIsNone(self.trial('bad', after_s=2 * waits_s[-1]))

    def test_a_call_with_a_key_is_no_trial(self):
        """Guards against a call that runs without its claim."""
        self.entry.now += _trials.PART_TRIALS_AFTER_S[0]
        self.arrive('bad', key='k')
        self.assertEqual([], self.entry.dispatched(quarantine.AskTrial))
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)

    def test_it_has_a_neighbour_that_is_quarantined_meanwhile(self):
        """Guards against a trial that crashes a server for another part."""
        self.trial('worse', 'bad')
        self.hold('worse')
        self.assertEqual(REASON.QUARANTINED, self.entry.refusal.reason)

    def test_one_suspect_alone_is_tried_first(self):
        """Guards against a trial that tells nothing about either."""
        for backend_id in 'wxyz':
            self.crash(backend_id, 'worse')
        after_s = _trials.PART_TRIALS_AFTER_S[0]
        self.assertIsNone(self.trial('bad', 'worse', after_s=after_s))
        self.assertIsNotNone(self.trial('worse', after_s=0.0))
        self.entry.now += _trials.TRIAL_S
        after_s = quarantine_check.JOINT_TRIAL_DELAY_S
        self.assertIsNotNone(self.trial('bad', 'worse', after_s=after_s))


class TogetherTest(unittest.TestCase):
    """Evidence that is shared between complete instances."""

    def setUp(self):
        self.network = network.Network(count=3)
        self.network.apply_example()

    def end(self, instance_id, backend_id, call=None):
        reducer = self.network.reducers_by_id[instance_id]
        call = call or entry_fake.call('lookup')
        return self.network.post(
            instance_id,
            quarantine.Ended(
                now=self.network.now,
                fingerprint=reducer.requests.quarantine_check.fingerprint(
                    call
                ),
                start=presence.BackendStart(
                    backend_id=backend_id, incarnation=1
                ),
                ended_at=self.network.now,
            ),
        )

    def refusal_at(self, instance_id):
        out = self.network.post(
            instance_id,
            events.RequestArrived(
                now=self.network.now,
                request_id='r1',
                call=entry_fake.call('lookup'),
                entropy=1,
            ),
        )
        found = [each for each in out if isinstance(each, effects.Refuse)]
        return found[0].refusal.reason if found else None

    def test_one_crash_at_each_entry_quarantines_at_all(self):
        for number in (1, 2, 3):
            self.assertNotEqual(
                REASON.QUARANTINED, self.refusal_at(f'gw-{number}')
            )
            self.network.run(1.0)
            self.end(f'gw-{number}', f'portal-{number}')
        for number in (1, 2, 3):
            self.assertEqual(
                REASON.QUARANTINED, self.refusal_at(f'gw-{number}')
            )

    def test_a_quarantine_outlasts_a_loss_of_all_instances(self):
        """Guards against as many crashes again after each power loss."""
        for number in (1, 2, 3):
            self.network.run(1.0)
            self.end('gw-1', f'portal-{number}')
        self.network.run(1.0)
        for number in (1, 2, 3):
            self.network.start(f'gw-{number}', disk_id=f'disk-gw-{number}')
        self.network.run(3.0)
        for number in (1, 2, 3):
            self.assertEqual(
                REASON.QUARANTINED, self.refusal_at(f'gw-{number}')
            )

    def test_a_lift_outlasts_it_too(self):
        """Guards against a call that is refused again after a restart."""
        for number in (1, 2, 3):
            self.end('gw-1', f'portal-{number}')
            self.network.run(1.0)
        self.lift()
        self.network.run(1.0)
        for number in (1, 2, 3):
            self.network.start(f'gw-{number}', disk_id=f'disk-gw-{number}')
        self.network.run(3.0)
        self.assertNotEqual(REASON.QUARANTINED, self.refusal_at('gw-3'))

    def test_copies_from_several_addresses_are_one_call(self):
        """Guards against three crashed servers for each client address.

        Clients without an account share addresses and change them.
        """
        entries = itertools.cycle(self.network.reducers_by_id)
        ended = 0
        for instance_id, number in zip(entries, range(10)):
            reducer = self.network.reducers_by_id[instance_id]
            call = entry_fake.call(
                host='a.example', key_sha256='', address=f'10.0.0.{number % 5}'
            )
            held = reducer.requests.quarantine_check.refusal(
                self.network.now, f'r{number}', call
            )
            if held is None:
                ended += 1
                self.end(instance_id, f'portal-{number}', call)
            self.network.run(1.0)
        self.assertEqual(3, ended)

    def test_one_trial_among_all_entries(self):
        """Guards against a thundering herd when the first trial is due."""
        routes = document.document_bytes(test_pass_through.described())
        self.network.apply('gw-1', json.loads(routes), 'routes')
        call = entry_fake.call(
            host='a.example', path='/plain/x', key_sha256='', service=''
        )
        for number, instance_id in enumerate(self.network.reducers_by_id):
            self.end(instance_id, f'portal-{number}', call)
            self.network.run(1.0)
        self.network.run(_trials.TRIAL_AFTER_S)
        found = []
        for number, instance_id in enumerate(self.network.reducers_by_id):
            found += self.network.post(
                instance_id,
                events.RequestArrived(
                    now=self.network.now,
                    request_id=f'r{number}',
                    call=call,
                    entropy=1,
                ),
            )
        lines = [each for each in found if isinstance(each, effects.Log)]
        self.assertEqual(
            1, [each.message for each in lines].count(_TRIED), lines
        )
        refused = [
            each.refusal.reason
            for each in found
            if isinstance(each, effects.Refuse)
        ]
        self.assertEqual(2, refused.count(REASON.QUARANTINED))

    def test_servers_that_announced_their_departure_are_no_evidence(self):
        """Guards against a quarantine caused by servers that shut down."""
        for number in (1, 2, 3):
            backend_id = f'portal-{number}'
            self.leave(backend_id)
            self.network.run(1.0)
            (line,) = self.end('gw-2', backend_id)
            self.assertIn('announced', line.message)
        self.assertNotEqual(REASON.QUARANTINED, self.refusal_at('gw-2'))

    def test_servers_that_end_while_they_drain_are_evidence(self):
        """Guards against a call that ends leaving servers one by one.

        They go on serving for a while after their leave, so that nothing but
        the call explains why they end within it.
        """
        self.network = network.Network(backend_drain_s=2.0)
        self.network.apply_example()
        for number in (1, 2, 3):
            backend_id = f'portal-{number}'
            self.leave(backend_id)
            self.network.run(1.0)
            self.end('gw-2', backend_id)
        self.assertEqual(REASON.QUARANTINED, self.refusal_at('gw-2'))

    def test_servers_that_end_after_they_drained_are_no_evidence(self):
        """Guards against a quarantine caused by servers that shut down."""
        self.network = network.Network(backend_drain_s=2.0)
        self.network.apply_example()
        for number in (1, 2, 3):
            backend_id = f'portal-{number}'
            self.leave(backend_id)
            self.network.run(2.0)
            self.end('gw-2', backend_id)
        self.assertNotEqual(REASON.QUARANTINED, self.refusal_at('gw-2'))

    def leave(self, backend_id):
        self.network.post(
            'gw-1',
            presence.Left(
                now=self.network.now,
                backend_id=backend_id,
                incarnation=1,
                sequence=9,
                ticket='t',
            ),
        )

    def lift(self):
        (case,) = self.network.reducers_by_id['gw-2'].quarantine.cases()
        return self.network.post(
            'gw-2',
            quarantine.Lift(
                now=self.network.now,
                fingerprint=case.fingerprint,
                operator='ann',
                reason='mended',
                ticket='t',
            ),
        )

    def test_a_lift_applies_at_all_entries(self):
        for number in (1, 2, 3):
            self.end('gw-1', f'portal-{number}')
            self.network.run(1.0)
        out = self.lift()
        self.assertIn(parts.Complete(ticket='t', result=True), out)
        self.assertNotEqual(REASON.QUARANTINED, self.refusal_at('gw-3'))
