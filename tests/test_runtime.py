"""The runtime performs effects, at the right time and on the right thread."""

import pathlib
import threading
import unittest
from unittest import mock

from dandeliongw.cell import orders
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw import effects
from dandeliongw import events
from dandeliongw import journal
from dandeliongw import metrics
from dandeliongw import paths
from dandeliongw import runtime
from dandeliongw import verdict

TIMEOUT_S = 30


class FakeReducer:
    """Returns the effects configured for the type of an event."""

    def __init__(self):
        self.effects_by_type = {}
        self.seen = []
        self.changed = threading.Condition()

    def handle(self, event):
        with self.changed:
            self.seen.append(event)
            self.changed.notify_all()
        return self.effects_by_type.pop(type(event), [])

    def snapshot(self):
        return ['snapshot']

    def wait_for(self, event_type):
        with self.changed:
            found = self.changed.wait_for(
                lambda: [e for e in self.seen if isinstance(e, event_type)],
                TIMEOUT_S,
            )
        return found[0]


class FakeJournal:
    size = 0

    def __init__(self):
        self.batches = []
        self.failure = None
        self.may_sync = threading.Event()

    def append(self, records):
        self.may_sync.wait(TIMEOUT_S)
        if self.failure:
            raise self.failure
        self.batches.append(list(records))


class FakeWire:
    async def start(self):
        pass

    async def stop(self):
        pass


class FakeEngine:
    def __init__(self):
        self.orders = []

    def order(self, **fields):
        self.orders.append(fields)


class RuntimeTest(unittest.TestCase):
    def setUp(self):
        self.reducer = FakeReducer()
        self.journal = FakeJournal()
        self.engine = FakeEngine()
        self.may_send = True
        self.runtime = runtime.Runtime(
            reducer=self.reducer,
            metrics=metrics.Metrics(),
            engine_for=lambda url, backend_id: self.engine,
            paths=paths.Paths(secret=None),
            journal=self.journal,
            may_send=lambda effect, now: self.may_send,
        )
        self.runtime.start(FakeWire)
        self.addCleanup(self.runtime.stop)
        self.addCleanup(self.journal.may_sync.set)

    def test_a_probe_asks_other_instances_as_well(self):
        """Guards against ends that only an entry that is cut off sees."""
        start = presence.BackendStart(backend_id='b', incarnation=1)
        with mock.patch.object(
            paths.Paths, 'is_refused', return_value=False
        ) as asked:
            self.perform(
                effects.ProbeBackend(start=start, url='http://127.0.0.1:1')
            )
            found = self.reducer.wait_for(events.BackendProbed)
        self.assertFalse(found.is_refused)
        asked.assert_called_once_with('http://127.0.0.1:1')

    def perform(self, *performed):
        self.reducer.effects_by_type[parts.Received] = list(performed)
        self.runtime.post(
            lambda now: parts.Received(now=now, sender='x', message=None)
        )

    def test_records_queued_during_a_sync_share_the_next_one(self):
        self.perform(
            parts.Persist(token='a', records=(1,)),
            parts.Persist(token='b', records=(2,)),
            parts.Persist(token='c', records=(3,)),
        )
        self.journal.may_sync.set()
        self.reducer.wait_for(parts.Persisted)
        self.runtime._writer.stop()
        self.assertEqual([1, 2, 3], sum(self.journal.batches, []))
        self.assertLess(len(self.journal.batches), 3)

    def test_nothing_counts_as_persisted_before_its_sync(self):
        """Guards against a reply whose record is lost in a crash.

        The event that lets the reply be sent must come after the sync: the
        power may fail right after the reply.
        """
        self.perform(parts.Persist(token='a', records=(1,)))
        self.reducer.wait_for(parts.Received)
        seen = [type(event) for event in self.reducer.seen]
        self.assertNotIn(parts.Persisted, seen)
        self.journal.may_sync.set()
        self.assertEqual('a', self.reducer.wait_for(parts.Persisted).token)

    def test_a_failed_disk_breaks_the_instance(self):
        """Guards against reporting lost records as durable.

        After a failed sync, the operating system drops the pages that it
        could not write, and the next sync succeeds without them.
        """
        self.journal.failure = OSError('no space left')
        self.journal.may_sync.set()
        self.perform(parts.Persist(token='a', records=(1,)))
        self.runtime._writer._thread.join(TIMEOUT_S)
        self.assertIn('no space left', self.runtime.broken)
        seen = [type(event) for event in self.reducer.seen]
        self.assertNotIn(parts.Persisted, seen)

    def test_writes_to_a_full_disk_are_retried(self):
        """Guards against a voter that keeps exiting while its disk is full.

        The disk has no space for some seconds; that must not count as a
        failed disk.
        """
        full = journal.DiskFull(folder=pathlib.Path('data'), reason='no room')
        failures = [full, full]

        def append(records):
            if failures:
                raise failures.pop()
            self.journal.batches.append(list(records))

        self.journal.append = append
        self.perform(parts.Persist(token='a', records=(1,)))
        self.assertEqual('a', self.reducer.wait_for(parts.Persisted).token)
        self.assertEqual(self.journal.batches, [[1]])
        self.assertIsNone(self.runtime.broken)

    def test_a_stop_on_a_full_disk_persists_nothing(self):
        self.journal.failure = journal.DiskFull(
            folder=pathlib.Path('data'), reason='no room'
        )
        self.journal.may_sync.set()
        self.perform(parts.Persist(token='a', records=(1,)))
        self.reducer.wait_for(parts.Received)
        self.runtime._writer.stop()
        seen = [type(event) for event in self.reducer.seen]
        self.assertNotIn(parts.Persisted, seen)

    def give_order(self):
        order = orders.SendOrder(
            order_id='o',
            attempt=1,
            backend_id='decode-1',
            kind=orders.OrderKind.LOAD_MODEL,
            value='m',
            fence=3,
            send_by=0.0,
        )
        self.perform(
            effects.GiveOrder(
                cell='c', url='http://x', order=order, timeout_s=1.0
            )
        )

    def test_an_order_is_sent_and_its_result_posted(self):
        self.give_order()
        answered = self.reducer.wait_for(orders.OrderAnswered)
        self.assertEqual(verdict.Verdict.RAN, answered.run)
        self.assertEqual(3, self.engine.orders[0]['fence'])

    def test_an_order_that_is_too_late_is_not_sent(self):
        """Guards against an old order that undoes a newer one.

        An order waits for its thread while the process is paused, and the
        next lease holder sends another order. The lease must be checked when
        the order is sent, not only when it is made.
        """
        self.may_send = False
        self.give_order()
        answered = self.reducer.wait_for(orders.OrderAnswered)
        self.assertEqual(verdict.Verdict.NOT_RUN, answered.run)
        self.assertEqual([], self.engine.orders)
