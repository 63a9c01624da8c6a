"""Detection of backend servers that crashed while running a call."""

import unittest

from nose2.tools import params

from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine
from dandeliongw import effects
from dandeliongw.entry import crash_detection
from dandeliongw import events

START = presence.BackendStart(backend_id='s1', incarnation=4)


class CrashDetectorTest(unittest.TestCase):
    def setUp(self):
        self.detector = crash_detection.CrashDetector()
        self.now = 100.0

    def add(self, fingerprint='f1', **changes):
        fields = {
            'request_id': 'r1',
            'fingerprint': fingerprint,
            'content': 'content',
            'service': 'studio-portal',
            'caller': '10.0.0.9',
            'start': START,
            'url': 'http://10.0.0.1:80',
            'ran_s': 0.25,
        }
        run = crash_detection.InterruptedRun(**{**fields, **changes})
        return self.detector.add(self.now, run)

    def probed(self, is_refused):
        return self.detector.process_probe(
            events.BackendProbed(
                now=self.now + 0.5, start=START, is_refused=is_refused
            )
        )

    def tick(self, seconds):
        self.now += seconds
        return self.detector.tick(self.now)

    def test_a_refused_connection_is_evidence_for_all_runs_there(self):
        (probe,) = self.add('f1')
        self.assertIsInstance(probe, effects.ProbeBackend)
        # One probe for all of them.
        self.assertEqual([], self.add('f2', request_id='r2'))
        line, first, _, second = self.probed(is_refused=True)
        self.assertIsInstance(first, effects.Dispatch)
        self.assertEqual(
            quarantine.Ended(
                now=100.5, fingerprint='f1', start=START, ended_at=100.0
            ),
            first.event,
        )
        self.assertEqual('f2', second.event.fingerprint)
        fields = dict(line.fields)
        self.assertEqual('250', fields['ran_ms'])
        self.assertEqual('10.0.0.9', fields['caller'])
        self.assertEqual('1', fields['calls_beside'])
        self.assertEqual([], self.tick(10.0))

    def test_a_resume_does_not_hide_what_was_written(self):
        """Guards against long runs that look as if they had just begun.

        A stream is resumed at the address of the server that has ended.
        """
        parts = ('p1', 'p2')
        self.add(parts=parts, pieces=40, wrote_s=1.5)
        self.add(parts=parts, pieces=0, ran_s=0.002)
        line, _ = self.probed(is_refused=True)
        fields = dict(line.fields)
        self.assertEqual('p1 p2', fields['parts'])
        self.assertEqual('40', fields['pieces'])
        self.assertEqual('1500', fields['wrote_ms'])

    def test_copies_of_a_call_are_told_apart(self):
        """Guards against a bad prompt that another one's run hides.

        Prompts may differ in parts that are no part of the fingerprint.
        """
        self.add(parts=('bad',), pieces=1)
        self.add(request_id='r2', parts=('first',), pieces=2)
        found = [
            each.event.fingerprint
            for each in self.probed(is_refused=True)
            if isinstance(each, effects.Dispatch)
        ]
        self.assertEqual(['f1', 'bad', 'f1', 'first'], found)

    def test_a_server_that_still_listens_has_not_ended(self):
        """Guards against calls that are quarantined after connection resets.

        The network may reset a connection while the server goes on, so a
        broken connection is no proof that the server ended.
        """
        self.add()
        for after_s in (0.2, 0.4):
            self.assertEqual([], self.probed(is_refused=False))
            (probe,) = self.tick(after_s)
            self.assertIsInstance(probe, effects.ProbeBackend)
        self.assertEqual([], self.probed(is_refused=False))
        self.assertEqual([], self.tick(10.0))

    @params(1, 2)
    def test_the_listening_socket_may_close_last(self, open_probes):
        self.add()
        for _ in range(open_probes):
            self.probed(is_refused=False)
            self.tick(0.4)
        self.assertEqual(2, len(self.probed(is_refused=True)))
