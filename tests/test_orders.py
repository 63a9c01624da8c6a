"""Orders to engines: one at a time, by the lease holder, never reverted."""

import unittest

from nose2.tools import params

from dandeliongw.cell import orders
from dandeliongw.coordination import parts
from dandeliongw import verdict

MODEL = orders.OrderKind.LOAD_MODEL
ROLE = orders.OrderKind.CHANGE_ROLE
TIMEOUT_S = 5.0
RAN = verdict.Verdict.RAN
NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class FakeGuard:
    held: int | None = 7
    may: int | None = 7

    def epoch_if_held(self, name, now):
        return self.held

    def epoch_for_unfenced_order(self, name, now, longest_order_s):
        return self.may


class OrdersTest(unittest.TestCase):
    def setUp(self):
        self.counts = orders.OrderCounts()
        self.guard = FakeGuard()
        self.make_orders()

    def make_orders(self):
        self.orders = orders.Orders(
            cell='c',
            epoch=7,
            guard=self.guard,
            budget=orders.StoreBudget(loads_per_s=1000.0, burst=2.0),
            longest_order_s=TIMEOUT_S,
            counts=self.counts,
        )
        self.see(1, checks_fence=True)
        self.want(1, {MODEL: 'm1'})
        self.tick(0.0)

    def see(self, incarnation, **announced):
        seen = orders.EngineSeen(
            now=0.0, backend_id='e', incarnation=incarnation, **announced
        )
        self.orders.handle(seen)

    def want(self, revision, values):
        changed = orders.DesiredChanged(
            now=0.0, revision=revision, values_by_backend={'e': values}
        )
        self.orders.handle(changed)

    def tick(self, now):
        return self.orders.handle(parts.Ticked(now=now, entropy=0))

    def answer(self, sent, run, **more):
        answered = orders.OrderAnswered(
            now=0.0,
            order_id=sent.order_id,
            attempt=sent.attempt,
            run=run,
            **more,
        )
        self.orders.handle(answered)

    def test_orders_go_one_at_a_time_and_end_when_confirmed(self):
        self.want(2, {MODEL: 'm1', ROLE: 'decode'})
        (first,) = self.tick(1.0)
        self.assertEqual([], self.tick(1.1))
        self.answer(first, RAN)
        (second,) = self.tick(1.2)
        self.assertEqual((MODEL, ROLE), (first.kind, second.kind))
        self.assertEqual(7, second.fence)
        self.answer(second, RAN)
        self.assertEqual([], self.tick(1.3))

    def test_a_lost_answer_is_repeated_under_the_same_order_id(self):
        """The order id is an idempotency key, so a repeat must keep it.

        An order is carried out and its answer is lost. If it were sent again
        under another id, weights would be loaded twice.
        """
        (first,) = self.tick(1.0)
        self.answer(first, MAY_HAVE_RUN)
        (second,) = self.tick(1.0 + TIMEOUT_S + 0.5)
        self.assertEqual(first.order_id, second.order_id)
        self.assertEqual(2, second.attempt)

    @params((1, None), (1, MAY_HAVE_RUN), (2, RAN), (1, NOT_RUN))
    def test_an_unanswered_order_can_not_undo_the_next_one(
        self, attempts, answer
    ):
        """An order waits until a different one can't take effect any more.

        Both carry the same fencing number. An attempt for m1 without an
        answer may still be in a socket, even if another attempt for m1 was
        confirmed. If m2 were loaded before, m1 could arrive after it, and the
        engine would run the old model.
        """
        now = 1.0
        for _ in range(attempts):
            (sent,) = self.tick(now)
            now += TIMEOUT_S + 0.5
        if answer is not None:
            self.answer(sent, answer)
        self.want(2, {MODEL: 'm2'})
        last_lost = 1.0 + 0.5 + 2.25 + TIMEOUT_S
        if answer is NOT_RUN:
            self.assertEqual('m2', self.tick(now)[0].value)
            return
        self.assertEqual([], self.tick(last_lost - 0.01))
        (other,) = self.tick(last_lost)
        self.assertEqual('m2', other.value)

    @params(('held', False, []), ('may', False, []), ('may', True, ['m1']))
    def test_orders_need_the_lease_and_unchecked_engines_the_wait(
        self, missing, checks_fence, values
    ):
        """A new holder waits before orders to engines that ignore fences.

        The former holder writes an order to a socket and fails. If the new
        one sent an order at once, the old one could arrive after it and revert
        it. Engines count as ignoring fencing numbers unless they announce
        that they check them.
        """
        announced = {'checks_fence': True} if checks_fence else {}
        self.see(2, **announced)
        setattr(self.guard, missing, None)
        self.assertEqual(values, [sent.value for sent in self.tick(1.0)])

    def test_a_holder_suspended_before_the_send_sends_nothing(self):
        """The lease is checked again right before an order is sent.

        An order waits for a thread while the process is suspended. If the
        lease were checked only when the order was made, an order of a former
        holder could be sent.
        """
        (sent,) = self.tick(1.0)
        self.assertTrue(self.orders.may_send(sent, 1.1))
        self.assertFalse(self.orders.may_send(sent, 60.0))
        self.guard.held = None
        self.assertFalse(self.orders.may_send(sent, 1.1))

    def test_a_late_older_revision_reverts_no_order(self):
        """The highest revision counts, not the last one to arrive.

        Revision 1 arrives after revision 2. If it were applied, an engine
        would go back to an older model.
        """
        self.want(2, {MODEL: 'm2'})
        self.want(1, {MODEL: 'm1'})
        self.want(2, {MODEL: 'm1'})
        self.assertEqual(['m2'], [sent.value for sent in self.tick(1.0)])

    def test_a_fenced_engine_gets_no_more_orders_of_this_epoch(self):
        (sent,) = self.tick(1.0)
        self.answer(sent, NOT_RUN, is_fenced=True)
        self.assertEqual([], self.tick(60.0))
        fenced = self.counts.holds_by_reason[orders.HoldReason.FENCED]
        self.assertEqual(1, fenced)

    def test_counts_stay_when_a_cell_is_lost(self):
        """Counters must not fall when a cell is lost and gained again.

        That would look like a restart of the process, so the counts don't
        belong to a cell's orders.
        """
        self.tick(1.0)
        self.assertEqual(1, len(self.tick(30.0)))
        self.assertEqual(1, self.counts.repeats)
        self.make_orders()
        self.tick(1.0)
        self.assertEqual(1, len(self.tick(30.0)))
        self.assertEqual(2, self.counts.repeats)

    def test_a_restarted_engine_is_ordered_again(self):
        (sent,) = self.tick(1.0)
        self.answer(sent, RAN)
        self.see(2, checks_fence=True)
        self.assertEqual(['m1'], [sent.value for sent in self.tick(2.0)])

    def test_another_model_takes_its_adapter_with_it(self):
        adapter = orders.OrderKind.LOAD_ADAPTER
        for revision, model in enumerate(['m1', 'm2'], 2):
            self.want(revision, {MODEL: model, adapter: 'a'})
            for kind in (MODEL, adapter):
                (sent,) = self.tick(float(revision))
                self.assertEqual(kind, sent.kind)
                self.answer(sent, RAN)

    def test_the_weight_store_is_read_within_its_budget(self):
        budget = orders.StoreBudget(loads_per_s=0.5, burst=2.0)
        taken = [now for now in range(20) if budget.take(float(now))]
        self.assertEqual(list(range(2, 20, 2)), taken)
        waited = [budget.take(100.0) for _ in range(3)]
        self.assertEqual([True, True, False], waited)
