"""Assembles an instance, and starts and stops its components in order."""

from collections import abc
import contextlib
import functools
import signal
import sys
import time
import typing

from loguru import logger

from . import __version__
from . import adapter as adapter_module
from . import allocator
from . import answer_memory
from . import applications as applications_module
from . import clock
from . import events
from . import exceptions
from . import gc_control
from . import http_backends
from . import joining
from . import journal as journal_module
from . import logs
from . import metrics as metrics_module
from . import paths as paths_module
from . import peers as peers_module
from . import reducer as reducer_module
from . import runtime as runtime_module
from . import settings as settings_module
from . import tunnels
from . import wire
from .api import disconnects
from .api import http_ports

#: Seconds between two checks whether the instance has failed, in the wait for
#: the end of a shutdown.
WAIT_S = 0.2


class Server:
    """A running instance; made by :func:`opened`.

    :param callers_port: number of the port that callers connect to.
    :param control_port: number of the port that backend servers, operators
        and joining instances connect to.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        runtime: runtime_module.Runtime,
        callers_port: int,
        control_port: int,
        joiner: joining.Joiner | None = None,
        metrics: metrics_module.Metrics | None = None,
        tunnel_server: tunnels.TunnelServer | None = None,
    ) -> None:
        self._tunnel_server = tunnel_server
        self._metrics = metrics
        self._joiner = joiner
        self.callers_port = callers_port
        self.control_port = control_port
        self._settings = settings
        self._runtime = runtime

    def begin_shutdown(self) -> None:
        """Start a graceful shutdown; further calls have no effect."""
        if self._tunnel_server is not None:
            self._tunnel_server.drain()
        self._runtime.post(events.ShutdownBegun)

    def watch_lines(self, lines: typing.Any) -> None:
        """Export the number of log lines that were left out.

        :param lines: the log writer, which counts them.
        """
        if self._metrics is not None:
            self._metrics.log_lines_left_out.set_callback(
                lambda: {metrics_module.UNLABELLED: lines.dropped}
            )

    def reload(self) -> None:
        """Read the seeds again; no other setting can change at runtime."""
        logger.info('reloading the seeds')
        if self._joiner is not None:
            self._joiner.query_now()

    def wait(self) -> None:
        """Return when a shutdown is complete.

        :raises InstanceFailed: when the instance has failed fatally.
        :raises ShutdownTimedOut: when the shutdown aborted requests.
        """
        while not self._runtime.drained.wait(WAIT_S):
            if self._runtime.broken is not None:
                raise exceptions.InstanceFailed(message=self._runtime.broken)
        if self._runtime.cut_off:
            raise exceptions.ShutdownTimedOut(requests=self._runtime.cut_off)


@contextlib.contextmanager
def opened(
    settings: settings_module.Settings,
    adapter: adapter_module.Adapter | None = None,
) -> abc.Iterator[Server]:
    """Run an instance while the context is open.

    :param adapter: adapter of the platform that it runs on, if any.
    :raises DataFolderUnusable: when the data folder can't be used.
    :raises PortInUse: when a port is taken; names its field of the settings.
    """
    http_ports.disable_cherrypy_logs()
    codec = wire.make_codec()
    metrics = metrics_module.Metrics()
    shutdown_s = settings.timeouts.shutdown_s
    with contextlib.ExitStack() as stack:
        journal = _open_journal(stack, settings, codec)
        control_port = stack.enter_context(
            http_ports.open_port(settings.control, 'control', shutdown_s)
        )
        callers_port = stack.enter_context(
            http_ports.open_port(settings.callers, 'callers', shutdown_s)
        )
        incarnation = time.time_ns()
        paths = paths_module.Paths(secret=_secret(settings))
        tunnel_server = _serve_tunnels(stack, settings, paths)
        reducer = reducer_module.Reducer(
            settings=settings,
            incarnation=incarnation,
            disk_id=journal.disk_id if journal else None,
            callers_url=_callers_url(settings, callers_port.number),
            tunnel_port=tunnel_server.port if tunnel_server else 0,
        )
        if journal is not None:
            reducer.restore(journal.records)
        memory = answer_memory.AnswerMemory(
            capacity_bytes=settings.limits.answer_memory_bytes
            or answer_memory.default_capacity()
        )
        backends = adapter or http_backends.HttpBackends(
            timeouts=settings.timeouts, connector=paths, memory=memory
        )
        if adapter is not None:
            adapter.use_paths(paths)
            adapter.use_memory(memory)
        runtime = runtime_module.Runtime(
            reducer=reducer,
            metrics=metrics,
            engine_for=backends.engine_at,
            paths=paths,
            journal=journal,
            may_send=reducer.owner.order_dispatch.may_send,
        )
        stack.callback(runtime.stop)
        export_counts(metrics, reducer)
        _export_paths(metrics, paths, tunnel_server)
        _export_memory(metrics, memory)
        _start(
            runtime,
            make_wire(
                settings,
                incarnation=incarnation,
                codec=codec,
                on_message=runtime.receive,
                metrics=metrics,
            ),
        )
        # Ports close before the runtime stops. Otherwise a handler that waits
        # for a stopped runtime would delay the exit by its whole timeout.
        stack.callback(control_port.close)
        stack.callback(callers_port.close)
        disconnect_watcher = stack.enter_context(_watching(runtime))
        applications = applications_module.Applications(
            settings=settings,
            reducer=reducer,
            runtime=runtime,
            disconnect_watcher=disconnect_watcher,
            metrics=metrics,
            adapter=adapter,
            memory=memory,
        )
        control_port.serve(applications.control())
        callers_port.serve(applications.callers(), applications.read_limits)
        for extra in applications.extra_ports():
            port = stack.enter_context(
                http_ports.open_port(extra.listen, extra.name, shutdown_s)
            )
            port.serve(extra.application)
        joiner = None
        if settings.seeds:
            joiner = stack.enter_context(
                _joining(settings, runtime, adapter, control_port.number)
            )
        logger.info(
            'serving',
            callers=callers_port.number,
            control=control_port.number,
            peer=settings.peer.port,
        )
        yield Server(
            settings=settings,
            runtime=runtime,
            callers_port=callers_port.number,
            control_port=control_port.number,
            joiner=joiner,
            metrics=metrics,
            tunnel_server=tunnel_server,
        )


def _secret(settings: settings_module.Settings) -> bytes | None:
    return settings.peer_secret.encode() if settings.peer_secret else None


def _serve_tunnels(
    stack: contextlib.ExitStack,
    settings: settings_module.Settings,
    paths: paths_module.Paths,
) -> tunnels.TunnelServer | None:
    listen = settings.tunnel
    if listen is None:
        return None
    try:
        server = stack.enter_context(
            tunnels.serving(
                host=listen.host,
                port=listen.port,
                secret=_secret(settings),
                may_connect=paths.may_connect_for_others,
            )
        )
    except OSError as error:
        raise exceptions.PortInUse(
            address=listen.show(), field='tunnel'
        ) from error
    paths.on_departure(server.note_departure)
    return server


def _export_paths(
    metrics: metrics_module.Metrics,
    paths: paths_module.Paths,
    tunnel_server: tunnels.TunnelServer | None,
) -> None:
    unlabelled = metrics_module.UNLABELLED
    metrics.detours.set_callback(lambda: {unlabelled: paths.detours()})
    metrics.tunnels_asked.set_callback(paths.asked_by_outcome.copy)
    if tunnel_server is not None:
        metrics.tunnels.set_callback(
            lambda: {unlabelled: tunnel_server.open_count}
        )


def _export_memory(
    metrics: metrics_module.Metrics, memory: answer_memory.AnswerMemory
) -> None:
    unlabelled = metrics_module.UNLABELLED
    metrics.answer_bytes.set_callback(lambda: {unlabelled: memory.held_bytes})
    metrics.answers_without_room.set_callback(
        lambda: {unlabelled: memory.without_room_count}
    )


def serve(
    settings: settings_module.Settings,
    adapter: adapter_module.Adapter | None = None,
) -> None:
    """Run an instance until SIGTERM or SIGINT, then shut it down gracefully.

    :param adapter: adapter of the platform that it runs on, if any.
    :raises DataFolderUnusable: when the data folder can't be used.
    :raises PortInUse: when a port is taken; names its field of the settings.
    :raises InstanceFailed: when the instance has failed fatally.
    :raises ShutdownTimedOut: when the shutdown aborted requests.
    """
    allocator.return_freed_memory()
    common = {
        'instance': settings.instance_id,
        'data_centre': settings.data_centre,
    }
    with (
        logs.writing(sys.stdout, common) as lines,
        _logged(settings, lines),
        opened(settings, adapter) as server,
    ):
        gc_control.freeze_and_enable_gc()
        server.watch_lines(lines)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: server.begin_shutdown())
        signal.signal(signal.SIGHUP, lambda *_: server.reload())
        server.wait()


@contextlib.contextmanager
def _logged(
    settings: settings_module.Settings, lines: typing.Any
) -> abc.Iterator[None]:
    """Configure logging; log the start and the end of the process.

    :param lines: the log writer.
    """
    logs.configure(
        instance_id=settings.instance_id,
        data_centre=settings.data_centre,
        level=settings.log_level,
        secrets=[settings.peer_secret] if settings.peer_secret else [],
        lines=lines,
    )
    logger.info('starts', version=__version__)
    try:
        yield
    finally:
        logger.info('ended')


def _open_journal(
    stack: contextlib.ExitStack,
    settings: settings_module.Settings,
    codec: wire.Codec,
) -> journal_module.Journal | None:
    if settings.data_folder is None:
        return None
    try:
        journal = stack.enter_context(
            journal_module.open_journal(
                folder=settings.data_folder, codec=codec
            )
        )
    except journal_module.JournalError as error:
        raise exceptions.DataFolderUnusable(
            path=settings.data_folder, reason=error.reason
        ) from error
    if journal.damage is not None:
        logger.warning(f'the journal was damaged: {journal.damage}')
    return journal


def _callers_url(settings: settings_module.Settings, port: int) -> str:
    if not settings.takes_callers:
        return ''
    host = settings.callers.advertised or settings.callers.host
    url_host = f'[{host}]' if ':' in host else host
    return f'http://{url_host}:{port}'


def export_counts(
    metrics: metrics_module.Metrics, reducer: reducer_module.Reducer
) -> None:
    """Export the counters of the reducer's parts as metrics."""
    counts = reducer.owner.order_dispatch.counts
    unlabelled = metrics_module.UNLABELLED
    metrics.lease_answers.set_callback(
        lambda: reducer.leases.outcomes_by_label
    )
    metrics.orders_held_back.set_callback(lambda: counts.holds_by_reason)
    metrics.voters.set_callback(
        lambda: {unlabelled: len(reducer.register.voters_by_id)}
    )
    metrics.lease_epoch.set_callback(reducer.owner.epochs_by_cell)
    metrics.shed_bookings.set_callback(reducer.owner.shed_by_rank)
    metrics.owner_lag.set_callback(
        lambda: reducer.owner.lags_by_cell(clock.now())
    )
    reports = reducer.owner.capacity_reports
    metrics.resource_used.set_callback(reports.used_by_label)
    metrics.binding_resource.set_callback(reports.binding_by_label)
    metrics.retry_budget.set_callback(
        lambda: reducer.requests.retries_left_by_service(clock.now())
    )
    loads = reducer.requests.booking_loads_by_cell
    metrics.unanswered_bookings.set_callback(
        lambda: {cell: load.unanswered for cell, load in loads().items()}
    )
    metrics.booking_window.set_callback(
        lambda: {cell: load.window for cell, load in loads().items()}
    )
    metrics.waiting_bookings.set_callback(
        lambda: {cell: load.waiting for cell, load in loads().items()}
    )
    quarantine = reducer.quarantine
    metrics.backend_ends.set_callback(
        lambda: {unlabelled: quarantine.crashes_seen}
    )
    rate_limit_reports = reducer.requests.rate_limit_reports
    metrics.rate_limits_stated.set_callback(
        lambda: {unlabelled: rate_limit_reports.stated_count}
    )
    metrics.charges.set_callback(lambda: reducer.rates.charges_by_outcome)
    metrics.account_refusals.set_callback(reducer.rates.most_refused)
    metrics.quarantined.set_callback(
        lambda: {unlabelled: quarantine.quarantined_count}
    )
    metrics.order_repeats.set_callback(lambda: {unlabelled: counts.repeats})


def make_wire(
    settings: settings_module.Settings,
    *,
    incarnation: int,
    codec: wire.Codec,
    on_message: abc.Callable[[str, typing.Any], None],
    metrics: metrics_module.Metrics,
) -> abc.Callable[[], peers_module.Peers]:
    """Return a function that makes the connections to the other instances.

    The function must be called on the thread of the event loop. It also
    exports the counters of the connections as metrics.
    """
    make = functools.partial(
        peers_module.Peers,
        instance_id=settings.instance_id,
        incarnation=incarnation,
        host=settings.peer.host,
        port=settings.peer.port,
        addresses_by_id={
            peer.instance_id: (peer.host, peer.port)
            for peer in settings.peers
            if peer.instance_id != settings.instance_id
        },
        codec=codec,
        secret=_secret(settings),
        on_message=on_message,
        on_fault=_log_fault,
    )

    def make_watched() -> peers_module.Peers:
        made = make()
        metrics.peer_drops.set_callback(lambda: made.counters.drops_by_reason)
        metrics.peer_faults.set_callback(
            lambda: made.counters.faults_by_reason
        )
        return made

    return make_watched


def _start(
    runtime: runtime_module.Runtime,
    make_wire: abc.Callable[[], peers_module.Peers],
) -> None:
    try:
        runtime.start(make_wire)
    except peers_module.AddressInUse as error:
        raise exceptions.PortInUse(
            address=f'{error.host}:{error.port}', field='peer'
        ) from error


def _log_fault(peer_id: str, message: str) -> None:
    logger.warning('connection to a peer failed', peer=peer_id, why=message)


@contextlib.contextmanager
def _watching(
    runtime: runtime_module.Runtime,
) -> abc.Iterator[disconnects.DisconnectWatcher]:
    disconnect_watcher = disconnects.DisconnectWatcher(
        on_disconnect=lambda request_id: runtime.post(
            functools.partial(events.CallerGone, request_id=request_id)
        )
    )
    disconnect_watcher.start()
    try:
        yield disconnect_watcher
    finally:
        disconnect_watcher.stop()


@contextlib.contextmanager
def _joining(
    settings: settings_module.Settings,
    runtime: runtime_module.Runtime,
    adapter: adapter_module.Adapter | None,
    control_port: int,
) -> abc.Iterator[joining.Joiner]:
    own = settings_module.Address(
        host=settings.control.host, port=control_port
    )
    joiner = joining.Joiner(
        read_seeds=adapter.read_seeds if adapter else lambda: settings.seeds,
        forms=settings.bootstrap,
        own_address=own.show(),
        post=runtime.post,
    )
    joiner.start()
    try:
        yield joiner
    finally:
        joiner.stop()
