"""One instance: everything put together, started and stopped in order."""

from collections import abc
import contextlib
import functools
import signal
import time
import typing

import cherrypy
from loguru import logger

from . import backends as backends_module
from . import callers as callers_module
from . import events
from . import exceptions
from . import gates
from . import journal as journal_module
from . import logs
from . import metrics as metrics_module
from . import operators
from . import peers as peers_module
from . import reducer as reducer_module
from . import runtime as runtime_module
from . import settings as settings_module
from . import watch as watch_module
from . import web
from . import wire

#: Seconds between two looks at whether a shutdown has come to its end.
WAIT_S = 0.2


class Server:
    """A running instance; made by :func:`opened`.

    :param callers_port: where callers connect.
    :param control_port: where backend servers and operators connect.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        runtime: runtime_module.Runtime,
        callers_port: int,
        control_port: int,
    ) -> None:
        self.callers_port = callers_port
        self.control_port = control_port
        self._settings = settings
        self._runtime = runtime

    def begin_shutdown(self) -> None:
        """Start to leave; a second call changes nothing."""
        self._runtime.post(events.ShutdownBegun)

    def wait(self) -> None:
        """Return when a shutdown has come to its end.

        :raises InstanceBroken: when the instance can't go on.
        :raises ShutdownCutOff: when requests were broken off.
        """
        while not self._runtime.drained.wait(WAIT_S):
            if self._runtime.broken is not None:
                raise exceptions.InstanceBroken(message=self._runtime.broken)
        if self._runtime.cut_off:
            raise exceptions.ShutdownCutOff(requests=self._runtime.cut_off)


@contextlib.contextmanager
def opened(settings: settings_module.Settings) -> abc.Iterator[Server]:
    """Run an instance while the context lasts.

    :raises DataFolderUnusable: when the data folder can't be used.
    :raises PortInUse: naming the settings' field.
    """
    web.quiet_cherrypy()
    codec = wire.make_codec()
    metrics = metrics_module.Metrics()
    shutdown_s = settings.timeouts.shutdown_s
    with contextlib.ExitStack() as stack:
        journal = _open_journal(stack, settings, codec)
        control_port = stack.enter_context(
            web.bound(settings.control, 'control', shutdown_s)
        )
        callers_port = stack.enter_context(
            web.bound(settings.callers, 'callers', shutdown_s)
        )
        incarnation = time.time_ns()
        reducer = reducer_module.Reducer(
            settings=settings,
            incarnation=incarnation,
            disk_id=journal.disk_id if journal else None,
            callers_url=_callers_url(settings, callers_port.number),
        )
        if journal is not None:
            reducer.restore(journal.records)
        backends = gates.HttpBackends(timeouts=settings.timeouts)
        runtime = runtime_module.Runtime(
            reducer=reducer,
            metrics=metrics,
            engine_for=backends.model_engine,
            journal=journal,
            may_send=reducer.owner.may_send,
        )
        stack.callback(runtime.stop)
        watch_counts(metrics, reducer)
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
        # Ports end before what answers them: a handler that asks a runtime
        # which has stopped would hold the process for its whole patience.
        stack.callback(control_port.close)
        stack.callback(callers_port.close)
        watch = stack.enter_context(_watching(runtime))
        _mount(
            settings,
            reducer,
            runtime,
            watch,
            metrics,
            callers_port,
            control_port,
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
        )


def serve(settings: settings_module.Settings) -> None:
    """Run an instance until SIGTERM or SIGINT, then end it gracefully."""
    logs.configure(
        instance_id=settings.instance_id,
        data_centre=settings.data_centre,
        level=settings.log_level,
        secrets=[settings.peer_secret] if settings.peer_secret else [],
    )
    with opened(settings) as server:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: server.begin_shutdown())
        server.wait()
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
    host = settings.callers.advertised or settings.callers.host
    shown = f'[{host}]' if ':' in host else host
    return f'http://{shown}:{port}'


def watch_counts(
    metrics: metrics_module.Metrics, reducer: reducer_module.Reducer
) -> None:
    """Show what the reducer's parts count."""
    counts = reducer.owner.order_counts
    unlabelled = metrics_module.UNLABELLED
    metrics.lease_answers.watch(lambda: reducer.leases.outcomes_by_label)
    metrics.orders_held_back.watch(lambda: counts.holds_by_reason)
    metrics.order_repeats.watch(lambda: {unlabelled: counts.repeats})


def make_wire(
    settings: settings_module.Settings,
    *,
    incarnation: int,
    codec: wire.Codec,
    on_message: abc.Callable[[str, typing.Any], None],
    metrics: metrics_module.Metrics,
) -> abc.Callable[[], peers_module.Peers]:
    """Return what makes the connections to the other instances.

    Call it on the thread of the event loop; their counts are shown then.
    """
    secret = settings.peer_secret
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
        secret=secret.encode() if secret else None,
        on_message=on_message,
        on_fault=_log_fault,
    )

    def make_watched() -> peers_module.Peers:
        made = make()
        metrics.peer_drops.watch(lambda: made.counters.drops_by_reason)
        metrics.peer_faults.watch(lambda: made.counters.faults_by_reason)
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
    logger.warning(f'connection to a peer: {message}', peer=peer_id)


@contextlib.contextmanager
def _watching(
    runtime: runtime_module.Runtime,
) -> abc.Iterator[watch_module.Watch]:
    watch = watch_module.Watch(
        on_gone=lambda request_id: runtime.post(
            functools.partial(events.CallerGone, request_id=request_id)
        )
    )
    watch.start()
    try:
        yield watch
    finally:
        watch.stop()


def _mount(
    settings: settings_module.Settings,
    reducer: reducer_module.Reducer,
    runtime: runtime_module.Runtime,
    watch: watch_module.Watch,
    metrics: metrics_module.Metrics,
    callers_port: web.Port,
    control_port: web.Port,
) -> None:
    """Give each port its application and let it serve."""
    gate = gates.CallersGate(
        settings=settings, reducer=reducer, runtime=runtime, watch=watch
    )
    callers = callers_module.Callers(
        gate=gate,
        metrics=metrics,
        max_body_bytes=settings.limits.max_body_bytes,
    )
    backends = backends_module.Backends(
        desk=gates.BackendsDesk(reducer=reducer, runtime=runtime),
        key_sha256=settings.backend_key_sha256,
        lease_s=settings.timeouts.presence_s,
        renew_s=settings.timeouts.renew_s,
    )
    control = gates.OperatorsControl(
        settings=settings, reducer=reducer, runtime=runtime
    )
    control_port.serve(
        _ControlPort(
            backends=backends_module.make_application(backends),
            operators=operators.make_application(control, settings, metrics),
        )
    )
    callers_port.serve(callers_module.make_application(callers))


class _ControlPort:
    """Sends what backend servers post to their border, the rest on."""

    def __init__(
        self,
        *,
        backends: cherrypy.Application,
        operators: cherrypy.Application,
    ) -> None:
        self._backends = backends
        self._operators = operators

    def __call__(
        self, environ: dict, start_response: abc.Callable
    ) -> abc.Iterable[bytes]:
        is_backend = environ['REQUEST_METHOD'] == 'POST' and environ[
            'PATH_INFO'
        ].startswith('/v1/backends/')
        chosen = self._backends if is_backend else self._operators
        return chosen(environ, start_response)
