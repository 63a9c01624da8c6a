"""Runs the reducer and performs its effects.

All events go through one thread, the control thread, which runs an asyncio
loop; so the reducer needs no locks. Blocking work is done elsewhere: HTTP
threads relay, the journal's thread syncs, a few threads send cancels.
"""

import asyncio
from collections import abc
import concurrent.futures
import contextlib
import queue
import secrets
import threading
import typing
import uuid

from loguru import logger

from . import clock
from . import effects
from . import engine
from . import events
from . import journal as journal_module
from . import metrics as metrics_module
from . import probe
from . import verdict
from .cell import cells
from .cell import orders
from .coordination import membership
from .coordination import parts
from .entry import relay

#: Seconds between ticks.
TICK_S = 0.05
#: Threads that send cancels and orders to engines.
CONTROL_THREADS = 8
#: An engine's word for an order with an old fencing number.
FENCED = 'fenced'
#: The journal is compacted once it has grown by so much.
COMPACT_BYTES = 8 << 20
#: Seconds between two tries to write to a disk that is full.
FULL_DISK_S = 0.25
#: Seconds a handler waits for the reducer's answer to an operator.
ASK_S = 15.0


class Reducer(typing.Protocol):
    """The runtime's view of the reducer."""

    def handle(self, event: typing.Any) -> list[typing.Any]: ...

    def snapshot(self) -> list[typing.Any]: ...


class Journal(typing.Protocol):
    """The runtime's view of the journal."""

    def append(self, records: abc.Sequence[typing.Any]) -> None: ...

    def compact(self, records: abc.Sequence[typing.Any]) -> None: ...

    @property
    def size(self) -> int: ...


class Wire(typing.Protocol):
    """The runtime's view of the connections to other instances."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def send(
        self, to: str, message: typing.Any, *, by_datagram: bool = False
    ) -> None: ...

    def reconnect(self, to: str) -> None: ...

    def set_address(self, to: str, address: tuple[str, int]) -> None: ...

    async def forget(self, to: str) -> None: ...


class Runtime:
    """The control thread and what works for it.

    :param engine_for: makes the adapter that sends cancels and orders to a
        backend server, by its URL and id.
    :param may_send: whether an order may leave at this moment.
    :param journal: ``None`` on an instance without a data folder.
    """

    def __init__(
        self,
        *,
        reducer: Reducer,
        metrics: metrics_module.Metrics,
        engine_for: abc.Callable[[str, str], engine.Engine],
        journal: Journal | None,
        may_send: abc.Callable[[effects.GiveOrder, float], bool],
    ) -> None:
        self._may_send = may_send
        self._reducer = reducer
        self._metrics = metrics
        self._engine_for = engine_for
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run, name='control', daemon=True
        )
        self._wire: Wire | None = None
        self._journal = journal
        self._writer = _Writer(runtime=self, journal=journal)
        self._relays_by_id: dict[str, relay.Relay] = {}
        self._futures_by_ticket: dict[str, concurrent.futures.Future] = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(
            CONTROL_THREADS, thread_name_prefix='orders'
        )
        self._pools_shown: set[str] = set()
        self.drained = threading.Event()
        #: Requests that a shutdown broke off.
        self.cut_off = 0
        #: Why the instance can't go on, once it can't.
        self.broken: str | None = None
        self._performers_by_type: dict[
            type, abc.Callable[[typing.Any], None]
        ] = {
            parts.Send: self._send,
            parts.Persist: self._persist,
            parts.Complete: self._complete,
            cells.CancelStream: self._cancel_stream,
            cells.ListStreams: self._list_streams,
            effects.ProbeBackend: self._probe_backend,
            membership.Reconnect: self._reconnect,
            effects.CountRefusal: self._count_refusal,
            effects.CountRetry: self._count_retry,
            effects.CountWaste: self._count_waste,
            effects.CountLate: self._count_late,
            effects.Took: self._observe_part,
            effects.PassedStream: self._observe_stream,
            effects.PeerAddress: self._set_address,
            effects.PeerForgotten: self._forget_peer,
            effects.Observed: self._observe,
            effects.GiveOrder: self._give_order,
            membership.Superseded: self._end_superseded,
            effects.Log: self._log,
            effects.Drained: self._note_drained,
        }

    def start(self, make_wire: abc.Callable[[], Wire]) -> None:
        """Start the control thread; return once the wire listens.

        :param make_wire: called on the loop's thread.
        """
        self._thread.start()
        self._writer.start()
        asyncio.run_coroutine_threadsafe(
            self._open_wire(make_wire), self._loop
        ).result()
        self._loop.call_soon_threadsafe(self._tick)

    async def _open_wire(self, make_wire: abc.Callable[[], Wire]) -> None:
        wire = make_wire()
        await wire.start()
        self._wire = wire

    def stop(self) -> None:
        """Stop ticking, close the wire, sync what is queued."""
        if self._wire is not None:
            closing = asyncio.run_coroutine_threadsafe(
                self._wire.stop(), self._loop
            )
            with contextlib.suppress(concurrent.futures.TimeoutError):
                closing.result(timeout=5.0)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._writer.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)

    # From other threads

    def post(self, make_event: abc.Callable[..., typing.Any]) -> None:
        """Let the reducer handle ``make_event(now=...)`` soon."""
        self._loop.call_soon_threadsafe(self.handle_soon, make_event)

    def ask(self, make_event: abc.Callable[..., typing.Any]) -> typing.Any:
        """Post ``make_event(now=..., ticket=...)``; return its answer.

        :raises TimeoutError: when the reducer gives none in time.
        """
        ticket = f'ask:{uuid.uuid4().hex}'
        future: concurrent.futures.Future = concurrent.futures.Future()
        self._futures_by_ticket[ticket] = future
        self.post(lambda now: make_event(now=now, ticket=ticket))
        try:
            return future.result(timeout=ASK_S)
        finally:
            self._futures_by_ticket.pop(ticket, None)

    def look(self, read: abc.Callable[[float], typing.Any]) -> typing.Any:
        """Run ``read(now)`` on the control thread and return its result."""

        async def run() -> typing.Any:
            return read(clock.now())

        return asyncio.run_coroutine_threadsafe(run(), self._loop).result(
            timeout=ASK_S
        )

    def add_relay(self, carrier: relay.Relay) -> None:
        self._relays_by_id[carrier.request_id] = carrier

    def remove_relay(self, request_id: str) -> None:
        self._relays_by_id.pop(request_id, None)

    # On the control thread

    def receive(self, sender: str, message: typing.Any) -> None:
        """Take a message in from the wire."""
        event = parts.Received(now=clock.now(), sender=sender, message=message)
        self.apply(event)

    def handle_soon(self, make_event: abc.Callable[..., typing.Any]) -> None:
        self.apply(make_event(now=clock.now()))

    def apply(self, event: typing.Any) -> None:
        """Let the reducer handle an event; perform what it wants done."""
        try:
            wanted = self._reducer.handle(event)
        except Exception:
            # One bad event must not end the control thread, which everybody
            # waits for; what it was is in the log.
            logger.exception(f'the reducer failed on {type(event).__name__}')
            return
        for effect in wanted:
            self._perform(effect)

    def _perform(self, effect: typing.Any) -> None:
        if isinstance(effect, effects.Directive):
            carrier = self._relays_by_id.get(effect.request_id)
            if carrier is not None:
                carrier.give(effect)
            return
        performer = self._performers_by_type.get(type(effect))
        if performer is None:
            logger.error(f'nothing performs {type(effect).__name__}')
            return
        performer(effect)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)
        self.apply(parts.Ticked(now=clock.now(), entropy=secrets.randbits(64)))

    def _send(self, effect: parts.Send) -> None:
        if self._wire is not None:
            self._wire.send(
                effect.to, effect.message, by_datagram=effect.by_datagram
            )

    def _reconnect(self, effect: membership.Reconnect) -> None:
        if self._wire is not None:
            self._wire.reconnect(effect.to)

    def _set_address(self, effect: effects.PeerAddress) -> None:
        if self._wire is not None:
            self._wire.set_address(
                effect.instance_id, (effect.host, effect.port)
            )

    def _forget_peer(self, effect: effects.PeerForgotten) -> None:
        if self._wire is not None:
            self._loop.create_task(self._wire.forget(effect.instance_id))

    def _persist(self, effect: parts.Persist) -> None:
        self._writer.put(effect)

    def _complete(self, effect: parts.Complete) -> None:
        future = self._futures_by_ticket.pop(effect.ticket, None)
        if future is not None:
            future.set_result(effect.result)

    def _cancel_stream(self, effect: cells.CancelStream) -> None:
        self._pool.submit(self._cancel_now, effect)

    def _cancel_now(self, effect: cells.CancelStream) -> None:
        try:
            self._engine_for(effect.url, effect.backend_id).cancel(
                stream_id=effect.stream_id, attempt_id=effect.attempt_id
            )
        except engine.EngineError as error:
            logger.bind(
                request_id=effect.stream_id, attempt_id=effect.attempt_id
            ).warning(f'a cancel was not confirmed: {error}')
            return
        self.post(
            lambda now: cells.StreamCancelled(
                now=now,
                backend_id=effect.backend_id,
                stream_id=effect.stream_id,
                attempt_id=effect.attempt_id,
            )
        )

    def _list_streams(self, effect: cells.ListStreams) -> None:
        self._pool.submit(self._list_now, effect)

    def _list_now(self, effect: cells.ListStreams) -> None:
        asked_at = clock.now()
        try:
            adapter = self._engine_for(effect.url, effect.backend_id)
            streams = adapter.streams()
        except engine.EngineError as error:
            logger.warning(
                f'an engine did not list its streams: {error}',
                backend_id=effect.backend_id,
            )
            return
        self.post(
            lambda now: cells.StreamsListed(
                now=now,
                backend_id=effect.backend_id,
                asked_at=asked_at,
                streams=tuple(
                    cells.HeldStream(
                        stream_id=stream_id, attempt_id=attempt_id
                    )
                    for stream_id, attempt_id in streams
                ),
            )
        )

    def _probe_backend(self, effect: effects.ProbeBackend) -> None:
        self._pool.submit(self._probe_now, effect)

    def _probe_now(self, effect: effects.ProbeBackend) -> None:
        is_refused = probe.is_refused(effect.url)
        self.post(
            lambda now: events.BackendProbed(
                now=now, start=effect.start, is_refused=is_refused
            )
        )

    def _give_order(self, effect: effects.GiveOrder) -> None:
        self._pool.submit(self._order_now, effect)

    def _order_now(self, effect: effects.GiveOrder) -> None:
        order = effect.order
        # Asked in this thread, with a fresh reading of the clock: the order
        # may have waited, or the process may have been frozen, until
        # another instance gives orders.
        if not self._may_send(effect, clock.now()):
            self._tell_order(order, verdict.Verdict.NOT_RUN)
            return
        try:
            self._engine_for(effect.url, order.backend_id).order(
                order_id=order.order_id,
                order=order.kind.value,
                value=order.value,
                fence=order.fence,
                timeout_s=effect.timeout_s,
            )
        except engine.EngineError as error:
            logger.warning(
                f'an order failed: {error}', backend_id=order.backend_id
            )
            self._tell_order(
                order, error.known, is_fenced=error.reason == FENCED
            )
            return
        self._tell_order(order, verdict.Verdict.RAN)

    def _tell_order(
        self,
        order: orders.SendOrder,
        known: verdict.Verdict,
        *,
        is_fenced: bool = False,
    ) -> None:
        self.post(
            lambda now: orders.OrderAnswered(
                now=now,
                order_id=order.order_id,
                attempt=order.attempt,
                run=known,
                is_fenced=is_fenced,
            )
        )

    def _count_refusal(self, effect: effects.CountRefusal) -> None:
        self._metrics.count_refusal(effect.refusal)

    def _count_retry(self, effect: effects.CountRetry) -> None:
        self._metrics.count_retry(effect.reason)

    def _count_waste(self, effect: effects.CountWaste) -> None:
        self._metrics.count_wasted_prefill(effect.reason, effect.tokens)

    def _count_late(self, effect: effects.CountLate) -> None:
        self._metrics.late_answers.labels(effect.what.value).inc()

    def _observe_part(self, effect: effects.Took) -> None:
        self._metrics.observe_part(effect)

    def _observe_stream(self, effect: effects.PassedStream) -> None:
        metrics = self._metrics
        metrics.observe_first_token(effect.service, effect.first_token_s)
        if effect.token_gap_s > 0.0:
            metrics.observe_token_gap(effect.service, effect.token_gap_s)

    def _observe(self, effect: effects.Observed) -> None:
        gauges = self._metrics
        gauges.configuration_revision.set(effect.revision)
        if effect.confirmed_age_s is not None:
            gauges.configuration_age.set(effect.confirmed_age_s)
        gauges.members.set(effect.members)
        pools = {pool.pool for pool in effect.pools}
        for gone in self._pools_shown - pools:
            gauges.forget_pool(gone)
        self._pools_shown = pools
        for pool in effect.pools:
            gauges.set_pool(
                pool.pool,
                backends=pool.backends,
                slots=pool.slots,
                used=pool.used,
                queue=pool.queue,
            )

    def _end_superseded(self, effect: membership.Superseded) -> None:
        self.break_off(
            'another process runs under this instance id, or the clock went '
            f'back: incarnation {effect.incarnation} is known to the others'
        )

    def _log(self, effect: effects.Log) -> None:
        logger.bind(**dict(effect.fields)).log(effect.level, effect.message)

    def _note_drained(self, effect: effects.Drained) -> None:
        self.cut_off = effect.cut_off
        self.drained.set()

    def snapshot_soon(self) -> None:
        """Queue a compaction; called by the journal's thread."""
        self._loop.call_soon_threadsafe(
            lambda: self._writer.put(_Compact(self._reducer.snapshot()))
        )

    def break_off(self, message: str) -> None:
        self.broken = message


class _Compact:
    """A snapshot that takes the journal's place."""

    def __init__(self, records: list[typing.Any]) -> None:
        self.records = records


class _Writer:
    """Syncs records to the journal, all that are queued in one write.

    While one sync is under way the next batch gathers: the busier the
    instance, the more records share a sync (group commit).
    """

    _STOP = object()

    def __init__(self, *, runtime: Runtime, journal: Journal | None) -> None:
        self._runtime = runtime
        self._journal = journal
        self._queue: queue.SimpleQueue = queue.SimpleQueue()
        self._compacted_size = 0
        self._is_compacting = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='journal', daemon=True
        )

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._queue.put(self._STOP)
        self._stopping.set()
        self._thread.join()

    def put(self, item: parts.Persist | _Compact) -> None:
        self._queue.put(item)

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            try:
                self._write(batch)
            except Exception as error:
                # A disk that failed to sync may have lost anything, so no
                # promise may be made on it any more.
                self._runtime.break_off(f'the journal failed: {error}')
                return
            if self._STOP in batch:
                return

    def _next_batch(self) -> list[typing.Any]:
        batch = [self._queue.get()]
        with contextlib.suppress(queue.Empty):
            while True:
                batch.append(self._queue.get_nowait())
        return batch

    def _write(self, batch: list[typing.Any]) -> None:
        waiting: list[parts.Persist] = []
        for item in batch:
            if isinstance(item, _Compact):
                self._append(waiting)
                waiting = []
                self._compact(item)
            elif isinstance(item, parts.Persist):
                waiting.append(item)
        self._append(waiting)

    def _append(self, waiting: list[parts.Persist]) -> None:
        if not waiting:
            return
        records = [record for each in waiting for record in each.records]
        if self._journal is not None and not self._write_records(records):
            return
        for each in waiting:
            token = each.token
            self._runtime.post(
                lambda now, token=token: parts.Persisted(now=now, token=token)
            )
        self._compact_if_large()

    def _write_records(self, records: list[typing.Any]) -> bool:
        """Write, and wait out a full disk; nothing is promised meanwhile.

        :returns: ``False`` when a stop came before there was room.
        """
        is_told = False
        while True:
            try:
                self._journal.append(records)
            except journal_module.DiskFull as error:
                if not is_told:
                    logger.warning(f'the disk takes nothing: {error}')
                is_told = True
            else:
                if is_told:
                    logger.info('the disk takes records again')
                return True
            if self._stopping.wait(FULL_DISK_S):
                return False

    def _compact_if_large(self) -> None:
        if self._journal is None or self._is_compacting:
            return
        if self._journal.size - self._compacted_size >= COMPACT_BYTES:
            self._is_compacting = True
            self._runtime.snapshot_soon()

    def _compact(self, item: _Compact) -> None:
        if self._journal is not None:
            try:
                self._journal.compact(item.records)
            except journal_module.DiskFull as error:
                logger.warning(f'the journal is not compacted: {error}')
            self._compacted_size = self._journal.size
        self._is_compacting = False
