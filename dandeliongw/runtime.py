"""Runs the reducer and performs its effects.

All events go through one thread, the control thread, which runs an asyncio
event loop, so the reducer needs no locks. Blocking work runs on other threads:
HTTP threads relay requests, the journal's thread syncs to disk, and a small
thread pool sends cancels and orders to backend servers.
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
from . import paths as paths_module
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
#: Reason in an engine's reply to an order with an old fencing number.
FENCED = 'fenced'
#: The journal is compacted after it has grown by this many bytes.
COMPACT_BYTES = 8 << 20
#: Seconds between two attempts to write to a full disk.
FULL_DISK_S = 0.25
#: Seconds that an HTTP handler waits for the reducer's result.
ASK_S = 15.0


class Reducer(typing.Protocol):
    """What the runtime needs of the reducer."""

    def handle(self, event: typing.Any) -> list[typing.Any]: ...

    def snapshot(self) -> list[typing.Any]: ...


class Journal(typing.Protocol):
    """What the runtime needs of the journal."""

    def append(self, records: abc.Sequence[typing.Any]) -> None: ...

    def compact(self, records: abc.Sequence[typing.Any]) -> None: ...

    @property
    def size(self) -> int: ...


class Wire(typing.Protocol):
    """What the runtime needs of the connections to other instances."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def send(
        self, to: str, message: typing.Any, *, by_datagram: bool = False
    ) -> None: ...

    def reconnect(self, to: str) -> None: ...

    def set_address(self, to: str, address: tuple[str, int]) -> None: ...

    async def remove_peer(self, to: str) -> None: ...


class Runtime:
    """The control thread and the threads that perform its blocking effects.

    :param engine_for: makes the adapter that sends cancels and orders to a
        backend server, from its URL and id.
    :param may_send: whether an order may be sent at a given time.
    :param paths: the paths to backend servers.
    :param journal: ``None`` on an instance without a data folder.
    """

    def __init__(
        self,
        *,
        reducer: Reducer,
        metrics: metrics_module.Metrics,
        engine_for: abc.Callable[[str, str], engine.Engine],
        paths: paths_module.Paths,
        journal: Journal | None,
        may_send: abc.Callable[[effects.GiveOrder, float], bool],
    ) -> None:
        self._may_send = may_send
        self._reducer = reducer
        self._metrics = metrics
        self._engine_for = engine_for
        self._paths = paths
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
        self._reported_pools: set[str] = set()
        self.drained = threading.Event()
        #: Number of requests that the shutdown aborted.
        self.cut_off = 0
        #: Reason of a fatal failure; ``None`` while there is none.
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
            effects.CountWastedTokens: self._count_waste,
            effects.CountRepeat: self._count_repeat,
            effects.CountLate: self._count_late,
            effects.PhaseDuration: self._observe_phase,
            effects.PassThroughStream: self._observe_stream,
            effects.PeerAddress: self._set_address,
            effects.PeerForgotten: self._forget_peer,
            effects.TunnelPeers: self._set_tunnel_peers,
            effects.AddressDeparted: self._set_departed,
            effects.GaugeValues: self._observe,
            effects.GiveOrder: self._give_order,
            membership.Superseded: self._end_superseded,
            effects.Log: self._log,
            effects.Drained: self._note_drained,
        }

    def start(self, make_wire: abc.Callable[[], Wire]) -> None:
        """Start the control thread; return once the peer port listens.

        :param make_wire: makes the connections to the other instances; called
            on the event loop's thread.
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
        """Close the peer connections, stop the loop, sync queued records."""
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

    # Called on other threads

    def post(self, make_event: abc.Callable[..., typing.Any]) -> None:
        """Queue the event ``make_event(now=...)`` for the reducer."""
        self._loop.call_soon_threadsafe(self._handle_now, make_event)

    def post_and_wait(
        self, make_event: abc.Callable[..., typing.Any]
    ) -> typing.Any:
        """Queue ``make_event(now=..., ticket=...)``; wait for its result.

        :raises TimeoutError: when there is none within :data:`ASK_S`.
        """
        ticket = f'ask:{uuid.uuid4().hex}'
        future: concurrent.futures.Future = concurrent.futures.Future()
        self._futures_by_ticket[ticket] = future
        self.post(lambda now: make_event(now=now, ticket=ticket))
        try:
            return future.result(timeout=ASK_S)
        finally:
            self._futures_by_ticket.pop(ticket, None)

    def read_state(
        self, read: abc.Callable[[float], typing.Any]
    ) -> typing.Any:
        """Run ``read(now)`` on the control thread and return its result.

        :raises TimeoutError: when it takes longer than :data:`ASK_S`.
        """

        async def run() -> typing.Any:
            return read(clock.now())

        return asyncio.run_coroutine_threadsafe(run(), self._loop).result(
            timeout=ASK_S
        )

    def add_relay(self, opened: relay.Relay) -> None:
        self._relays_by_id[opened.request_id] = opened

    def remove_relay(self, request_id: str) -> None:
        self._relays_by_id.pop(request_id, None)

    # Called on the control thread

    def receive(self, sender: str, message: typing.Any) -> None:
        """Handle a message from another instance."""
        event = parts.Received(now=clock.now(), sender=sender, message=message)
        self.apply(event)

    def _handle_now(self, make_event: abc.Callable[..., typing.Any]) -> None:
        self.apply(make_event(now=clock.now()))

    def apply(self, event: typing.Any) -> None:
        """Let the reducer handle an event; perform its effects."""
        try:
            reducer_effects = self._reducer.handle(event)
        except Exception:
            # One bad event must not end the control thread, which all other
            # threads depend on. The log has the event's type and traceback.
            logger.exception(f'reducer failed on {type(event).__name__}')
            return
        for effect in reducer_effects:
            self._perform(effect)

    def _perform(self, effect: typing.Any) -> None:
        if isinstance(effect, effects.Directive):
            found = self._relays_by_id.get(effect.request_id)
            if found is not None:
                found.put_directive(effect)
            return
        performer = self._performers_by_type.get(type(effect))
        if performer is None:
            logger.error(f'no handler for effect {type(effect).__name__}')
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
            self._loop.create_task(self._wire.remove_peer(effect.instance_id))

    def _set_tunnel_peers(self, effect: effects.TunnelPeers) -> None:
        self._paths.set_peers(effect.peers)

    def _set_departed(self, effect: effects.AddressDeparted) -> None:
        self._paths.set_departed(effect.url, has_departed=effect.has_departed)

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
                f'listing the streams of an engine failed: {error}',
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
        is_refused = self._paths.is_refused(effect.url)
        self.post(
            lambda now: events.BackendProbed(
                now=now, start=effect.start, is_refused=is_refused
            )
        )

    def _give_order(self, effect: effects.GiveOrder) -> None:
        self._pool.submit(self._order_now, effect)

    def _order_now(self, effect: effects.GiveOrder) -> None:
        order = effect.order
        # Checked in this thread, with a fresh reading of the clock: another
        # instance may have become the cell's owner while the order waited for
        # a thread or while the process was paused.
        if not self._may_send(effect, clock.now()):
            self._post_order_result(order, verdict.Verdict.NOT_RUN)
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
                f'order to an engine failed: {error}',
                backend_id=order.backend_id,
            )
            self._post_order_result(
                order, error.known, is_fenced=error.reason == FENCED
            )
            return
        self._post_order_result(order, verdict.Verdict.RAN)

    def _post_order_result(
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

    def _count_waste(self, effect: effects.CountWastedTokens) -> None:
        self._metrics.count_wasted_prefill(effect.reason, effect.tokens)

    def _count_repeat(self, effect: effects.CountRepeat) -> None:
        self._metrics.repeats.labels(effect.step.value).inc()

    def _count_late(self, effect: effects.CountLate) -> None:
        self._metrics.late_answers.labels(effect.what.value).inc()

    def _observe_phase(self, effect: effects.PhaseDuration) -> None:
        self._metrics.observe_phase(effect)

    def _observe_stream(self, effect: effects.PassThroughStream) -> None:
        metrics = self._metrics
        metrics.observe_first_token(effect.service, effect.first_token_s)
        if effect.token_gap_s > 0.0:
            metrics.observe_token_gap(effect.service, effect.token_gap_s)

    def _observe(self, effect: effects.GaugeValues) -> None:
        gauges = self._metrics
        gauges.configuration_revision.set(effect.revision)
        if effect.confirmed_age_s is not None:
            gauges.configuration_age.set(effect.confirmed_age_s)
        gauges.members.set(effect.members)
        pools = {pool.pool for pool in effect.pools}
        for gone in self._reported_pools - pools:
            gauges.remove_pool(gone)
        self._reported_pools = pools
        for pool in effect.pools:
            gauges.set_pool(
                pool.pool,
                backends=pool.backends,
                limited=pool.limited,
                slots=pool.slots,
                used=pool.used,
                queue=pool.queue,
            )

    def _end_superseded(self, effect: membership.Superseded) -> None:
        self.fail(
            'another process runs under this instance id, or the clock was '
            f'set back: other instances have incarnation {effect.incarnation}'
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

    def fail(self, message: str) -> None:
        self.broken = message


class _Compact:
    """A snapshot that replaces the journal."""

    def __init__(self, records: list[typing.Any]) -> None:
        self.records = records


class _Writer:
    """Writes records to the journal, all queued ones with one sync.

    While a sync is in progress, the next batch accumulates: the higher the
    load of the instance, the more records share a sync (group commit).
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
                # After a failed sync the disk may have lost any record, so
                # nothing may be reported as durable any more.
                self._runtime.fail(f'the journal failed: {error}')
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
        """Write records; on a full disk, retry until there is space.

        Until then, nothing is reported as durable.

        :returns: ``False`` when the writer was stopped before there was space.
        """
        is_logged = False
        while True:
            try:
                self._journal.append(records)
            except journal_module.DiskFull as error:
                if not is_logged:
                    logger.warning(f'journal write failed, retrying: {error}')
                is_logged = True
            else:
                if is_logged:
                    logger.info('journal writes succeed again')
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
                logger.warning(f'journal compaction failed: {error}')
            self._compacted_size = self._journal.size
        self._is_compacting = False
