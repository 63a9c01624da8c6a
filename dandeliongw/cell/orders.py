"""Orders to the engines of one cell: what to load, which role to take.

The document says what each backend server should run; the holder of the
cell's lease sends the orders for it. An engine gets one order at a time, and
a different one only when no earlier one can still take effect: fencing
numbers can't tell two orders of one holder apart, and some engines ignore
them.

There is no I/O here: events carry the time, orders are returned as
:class:`SendOrder`.
"""

import collections
from collections import abc
import enum
import typing

import msgspec

from .. import verdict
from ..coordination import parts


class OrderKind(enum.StrEnum):
    """What an order changes, in the sequence in which they are given.

    A role comes last: an engine should have its weights before it serves.
    """

    LOAD_MODEL = 'load_model'
    LOAD_VERSION = 'load_version'
    LOAD_ADAPTER = 'load_adapter'
    CHANGE_ROLE = 'change_role'


#: Orders that read from the weight store, whose rate is limited.
LOAD_KINDS = frozenset(
    {OrderKind.LOAD_MODEL, OrderKind.LOAD_VERSION, OrderKind.LOAD_ADAPTER}
)
#: What an engine drops when it loads another model.
_DROPPED_WITH_MODEL = (OrderKind.LOAD_VERSION, OrderKind.LOAD_ADAPTER)
#: Seconds until an order that was proved not to have run is sent again.
RETRY_S = 1.0


class HoldReason(enum.StrEnum):
    """Why an order that is due was not sent (a metric label)."""

    LEASE_NOT_HELD = 'lease_not_held'
    #: The engine ignores fencing numbers, and a predecessor's order may
    #: still take effect there.
    PREDECESSOR_UNSETTLED = 'predecessor_unsettled'
    #: Another order of this holder, without an answer, may still take effect.
    ORDER_UNSETTLED = 'order_unsettled'
    STORE_BUDGET = 'store_budget'
    #: The engine has seen a higher fencing number.
    FENCED = 'fenced'


class Guard(typing.Protocol):
    """Checks whether this instance may send orders; see ``Leases``."""

    def epoch_if_held(self, name: str, now: float) -> int | None: ...

    def epoch_for_unfenced_order(
        self, name: str, now: float, longest_order_s: float
    ) -> int | None: ...


class StoreBudget:
    """A token bucket for loads from the weight store.

    All cells of an instance share it. It starts empty, so that successive
    failovers can't each spend a burst.

    :param loads_per_s: this instance's share of the store's rate.
    :param burst: capacity of the bucket, in loads.
    """

    def __init__(self, *, loads_per_s: float, burst: float) -> None:
        self.loads_per_s = loads_per_s
        self.burst = burst
        self._tokens = 0.0
        self._filled_at: float | None = None

    def take(self, now: float) -> bool:
        """Spend one token, if there is one."""
        elapsed_s = now - (now if self._filled_at is None else self._filled_at)
        self._filled_at = now
        gained = elapsed_s * self.loads_per_s
        self._tokens = min(self.burst, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class EngineSeen(msgspec.Struct, frozen=True, kw_only=True):
    """Event: a backend server announced itself.

    :param incarnation: a new one has nothing loaded.
    :param checks_fence: whether it refuses old fencing numbers, as announced;
        false if the announcement doesn't say.
    """

    now: float
    backend_id: str
    incarnation: int
    checks_fence: bool = False


class EngineGone(msgspec.Struct, frozen=True, kw_only=True):
    """Event: a backend server left or its announcement expired."""

    now: float
    backend_id: str


class DesiredChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the desired state of the engines changed.

    :param revision: ascending number; an older one is ignored.
    :param values_by_backend: for each backend server the value of each kind;
        a kind that is missing is left as it is.
    """

    now: float
    revision: int
    values_by_backend: abc.Mapping[str, abc.Mapping[OrderKind, str]]


class OrderAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """Event: one attempt of an order ended.

    :param attempt: of the :class:`SendOrder` that it answers.
    :param run: ``RAN``: confirmed. ``NOT_RUN``: proved to have had no effect
        and to have none later. ``MAY_HAVE_RUN``: anything else, including a
        timeout.
    :param is_fenced: the engine refused the fencing number.
    """

    now: float
    order_id: str
    attempt: int
    run: verdict.Verdict
    is_fenced: bool = False


class SendOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: send an order, if :meth:`Orders.may_send` still allows it.

    :param order_id: an idempotency key, the same for each attempt.
    :param fence: the fencing number, the epoch of the cell's lease.
    :param send_by: no byte may be sent after this time of the monotonic
        clock of this instance.
    """

    order_id: str
    attempt: int
    backend_id: str
    kind: OrderKind
    value: str
    fence: int
    send_by: float


class _Order(msgspec.Struct, kw_only=True):
    """The last order for an engine, until it is confirmed."""

    order_id: str
    kind: OrderKind
    value: str
    attempts: int = 0
    next_try_at: float = float('-inf')


class _Engine(msgspec.Struct, kw_only=True):
    """One backend server.

    :param settled_at_by_attempt: for each attempt without a definite answer,
        by order id and attempt: the time from which it can no longer take
        effect.
    """

    incarnation: int
    checks_fence: bool
    is_fenced: bool = False
    confirmed_by_kind: dict[OrderKind, str] = msgspec.field(
        default_factory=dict
    )
    order: _Order | None = None
    settled_at_by_attempt: dict[tuple[str, int], float] = msgspec.field(
        default_factory=dict
    )


class OrderCounts:
    """Counters for the metrics, over all cells of an instance.

    They outlive the cells: a counter that falls when a cell is lost would
    look like a restart of the process.
    """

    def __init__(self) -> None:
        #: How often an order that was due was not sent.
        self.holds_by_reason: collections.Counter[HoldReason] = (
            collections.Counter()
        )
        #: Attempts after the first one of each order.
        self.repeats = 0


class Orders:
    """Orders of one holder under one epoch; a new epoch gets a new object.

    :param cell: the name of the lease.
    :param epoch: the holder's epoch, sent as the fencing number.
    :param guard: checks whether the lease is held.
    :param budget: of the weight store.
    :param longest_order_s: an order takes effect within this time of the
        check before its send, or never; the sender's timeout.
    :param counts: shared by an instance's cells.
    :param lease_wait_s: lease and margin. A sender that is suspended between
        the check and the send for longer than this has lost its lease.
    :param send_within_s: longest time until an order is sent.
    """

    def __init__(
        self,
        *,
        cell: str,
        epoch: int,
        guard: Guard,
        budget: StoreBudget,
        longest_order_s: float,
        counts: OrderCounts,
        lease_wait_s: float = 2.25,
        send_within_s: float = 0.5,
    ) -> None:
        self.cell = cell
        self.epoch = epoch
        self.longest_order_s = longest_order_s
        self.counts = counts
        self._guard = guard
        self._budget = budget
        self._settle_s = lease_wait_s + longest_order_s
        self._send_within_s = send_within_s
        self._revision = -1
        self._values_by_backend: abc.Mapping[
            str, abc.Mapping[OrderKind, str]
        ] = {}
        self._engines_by_id: dict[str, _Engine] = {}
        self._order_count = 0

    def may_send(self, order: SendOrder, now: float) -> bool:
        """Return whether an order may be sent now.

        The sending thread checks this right before the send, with a fresh
        reading of the clock. An order waits in a queue, and the process may
        have been suspended meanwhile: without this check, the order could
        reach the engine after one of the next holder.

        :param now: seconds of the monotonic clock.
        """
        if now > order.send_by:
            return False
        return self._guard.epoch_if_held(self.cell, now) == order.fence

    def handle(self, event: typing.Any) -> list[SendOrder]:
        """Apply an event and return the orders to send.

        :raises TypeError: for an unknown type of event.
        """
        if isinstance(event, parts.Ticked):
            return self._on_ticked(event.now)
        if isinstance(event, EngineSeen):
            self._on_seen(event)
        elif isinstance(event, EngineGone):
            self._on_gone(event)
        elif isinstance(event, DesiredChanged):
            self._on_desired(event)
        elif isinstance(event, OrderAnswered):
            self._on_answered(event)
        else:
            raise TypeError(f'not an event of orders: {event!r}')
        return []

    def _on_seen(self, event: EngineSeen) -> None:
        engine = self._engines_by_id.get(event.backend_id)
        if engine is None:
            engine = _Engine(
                incarnation=event.incarnation, checks_fence=event.checks_fence
            )
            self._engines_by_id[event.backend_id] = engine
        if engine.incarnation < event.incarnation:
            # Orders in flight may reach the new process at the same address,
            # so they stay recorded until they have settled.
            engine.incarnation = event.incarnation
            engine.confirmed_by_kind.clear()
            engine.is_fenced = False
        if engine.incarnation == event.incarnation:
            engine.checks_fence = event.checks_fence

    def _on_gone(self, event: EngineGone) -> None:
        engine = self._engines_by_id.get(event.backend_id)
        if engine is None:
            return
        # Kept while an order may still reach it: it may come back.
        engine.confirmed_by_kind.clear()
        if not engine.settled_at_by_attempt:
            del self._engines_by_id[event.backend_id]

    def _on_desired(self, event: DesiredChanged) -> None:
        # An older revision that comes late must not revert newer orders. Two
        # different values can't have one number: of two operators' documents
        # with equal revisions the register accepts only one.
        if event.revision <= self._revision:
            return
        self._revision = event.revision
        self._values_by_backend = event.values_by_backend

    def _on_answered(self, event: OrderAnswered) -> None:
        for engine in self._engines_by_id.values():
            attempt = (event.order_id, event.attempt)
            if attempt not in engine.settled_at_by_attempt:
                continue
            if event.run is not verdict.Verdict.MAY_HAVE_RUN:
                del engine.settled_at_by_attempt[attempt]
                self._schedule_retry(event, engine)
            if event.is_fenced:
                engine.is_fenced = True
            if event.run is verdict.Verdict.RAN:
                self._confirm(engine, event.order_id)

    def _schedule_retry(self, event: OrderAnswered, engine: _Engine) -> None:
        order = engine.order
        if order is not None and order.order_id == event.order_id:
            order.next_try_at = event.now + RETRY_S

    def _confirm(self, engine: _Engine, order_id: str) -> None:
        order = engine.order
        if order is None or order.order_id != order_id:
            return
        if order.kind is OrderKind.LOAD_MODEL:
            for kind in _DROPPED_WITH_MODEL:
                engine.confirmed_by_kind.pop(kind, None)
        engine.confirmed_by_kind[order.kind] = order.value
        engine.order = None

    def _on_ticked(self, now: float) -> list[SendOrder]:
        sends = []
        for backend_id in sorted(self._values_by_backend):
            engine = self._engines_by_id.get(backend_id)
            if engine is None:
                continue
            send = self._next_send(now, backend_id, engine)
            if send is not None:
                sends.append(send)
        return sends

    def _next_send(
        self, now: float, backend_id: str, engine: _Engine
    ) -> SendOrder | None:
        values = self._values_by_backend[backend_id]
        if engine.order is not None:
            if now < engine.order.next_try_at:
                return None
            if values.get(engine.order.kind) != engine.order.value:
                engine.order = None
        order = engine.order or self._next_order(backend_id, engine, values)
        if order is None:
            return None
        reason = self._hold_reason(now, engine, order)
        if reason is None and order.kind in LOAD_KINDS:
            if not self._budget.take(now):
                reason = HoldReason.STORE_BUDGET
        if reason is not None:
            self.counts.holds_by_reason[reason] += 1
            return None
        return self._send(now, backend_id, engine, order)

    def _next_order(
        self,
        backend_id: str,
        engine: _Engine,
        values: abc.Mapping[OrderKind, str],
    ) -> _Order | None:
        for kind in OrderKind:
            value = values.get(kind)
            if value is None or engine.confirmed_by_kind.get(kind) == value:
                continue
            order_id = f'{backend_id}/{self.epoch}/{self._order_count}'
            return _Order(order_id=order_id, kind=kind, value=value)
        return None

    def _hold_reason(
        self, now: float, engine: _Engine, order: _Order
    ) -> HoldReason | None:
        if engine.is_fenced:
            return HoldReason.FENCED
        if self._guard.epoch_if_held(self.cell, now) != self.epoch:
            return HoldReason.LEASE_NOT_HELD
        if (
            not engine.checks_fence
            and not self._guard.epoch_for_unfenced_order(
                self.cell, now, self.longest_order_s
            )
        ):
            return HoldReason.PREDECESSOR_UNSETTLED
        if self._is_unsettled(now, engine, order):
            return HoldReason.ORDER_UNSETTLED
        return None

    def _is_unsettled(
        self, now: float, engine: _Engine, order: _Order
    ) -> bool:
        """Return whether another order may still take effect.

        An order without an answer may still be in a socket; so may one
        attempt of an order when another one has been confirmed. It could undo
        a newer order, as both carry the same fencing number.
        """
        engine.settled_at_by_attempt = {
            attempt: settled_at
            for attempt, settled_at in engine.settled_at_by_attempt.items()
            if now < settled_at
        }
        return any(
            order_id != order.order_id
            for order_id, _ in engine.settled_at_by_attempt
        )

    def _send(
        self, now: float, backend_id: str, engine: _Engine, order: _Order
    ) -> SendOrder:
        if engine.order is None:
            self._order_count += 1
            engine.order = order
        else:
            self.counts.repeats += 1
        order.attempts += 1
        send_by = now + self._send_within_s
        attempt = (order.order_id, order.attempts)
        engine.settled_at_by_attempt[attempt] = send_by + self._settle_s
        order.next_try_at = send_by + self.longest_order_s
        return SendOrder(
            order_id=order.order_id,
            attempt=order.attempts,
            backend_id=backend_id,
            kind=order.kind,
            value=order.value,
            fence=self.epoch,
            send_by=send_by,
        )
