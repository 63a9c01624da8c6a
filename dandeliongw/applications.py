"""The WSGI applications of an instance's ports."""

from collections import abc

import cherrypy

from . import adapter as adapter_module
from . import answer_memory
from . import caller_facades
from . import control_facades
from . import hosts
from . import joining
from . import metrics as metrics_module
from . import operators_facade
from . import reducer as reducer_module
from . import runtime as runtime_module
from . import settings as settings_module
from .api import backends as backends_module
from .api import callers as callers_module
from .api import disconnects
from .api import gateway
from .api import operators


class Applications:
    """Makes the WSGI applications of an instance's ports."""

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        reducer: reducer_module.Reducer,
        runtime: runtime_module.Runtime,
        disconnect_watcher: disconnects.DisconnectWatcher,
        metrics: metrics_module.Metrics,
        adapter: adapter_module.Adapter | None,
        memory: answer_memory.AnswerMemory,
    ) -> None:
        self._memory = memory
        self._settings = settings
        self._reducer = reducer
        self._runtime = runtime
        self._disconnect_watcher = disconnect_watcher
        self._metrics = metrics
        self._adapter = adapter

    def read_limits(self) -> hosts.BorderLimits:
        """Return the limits on callers' requests in the current document."""
        return self._reducer.directory.document.border

    def callers(self) -> adapter_module.Application:
        """Return the application of the callers port."""
        parts = {
            'settings': self._settings,
            'reducer': self._reducer,
            'runtime': self._runtime,
            'disconnect_watcher': self._disconnect_watcher,
            'memory': self._memory,
        }
        if self._adapter is not None:
            return gateway.Gateway(
                facade=caller_facades.PassThroughFacade(
                    **parts, adapter=self._adapter
                ),
                header_parser=self._adapter.header_parser,
                metrics=self._metrics,
            )
        callers = callers_module.Callers(
            facade=caller_facades.CallersFacade(**parts),
            metrics=self._metrics,
            max_body_bytes=self._settings.limits.max_body_bytes,
        )
        return callers_module.make_application(callers)

    def control(self) -> adapter_module.Application:
        """Return the application of the control port.

        It serves backend servers, operators and joining instances.
        """
        settings = self._settings
        parts = {'reducer': self._reducer, 'runtime': self._runtime}
        presence_facade = control_facades.BackendsFacade(**parts)
        control = operators_facade.OperatorsFacade(settings=settings, **parts)
        members = control_facades.MembersFacade(settings=settings, **parts)
        backends = backends_module.Backends(
            presence_facade=presence_facade,
            key_sha256=settings.backend_key_sha256,
            lease_s=settings.timeouts.presence_s,
            renew_s=settings.timeouts.renew_s,
        )
        inner = _ControlPort(
            backends=backends_module.make_application(backends),
            members=joining.make_application(members.read),
            operators=operators.make_application(
                control, settings, self._metrics
            ),
        )
        if self._adapter is None:
            return inner
        return self._adapter.control(
            inner=inner, presence_facade=presence_facade, operators=control
        )

    def extra_ports(self) -> abc.Sequence[adapter_module.ExtraPort]:
        """Return the additional ports of the platform adapter."""
        if self._adapter is None:
            return ()
        state = control_facades.State(
            reducer=self._reducer,
            runtime=self._runtime,
            metrics=self._metrics,
        )
        return self._adapter.ports(state)


class _ControlPort:
    """Dispatches requests on the control port by path and method.

    Requests of backend servers and joining instances go to their own
    applications, all others to the operators' application.
    """

    def __init__(
        self,
        *,
        backends: cherrypy.Application,
        members: cherrypy.Application,
        operators: cherrypy.Application,
    ) -> None:
        self._backends = backends
        self._members = members
        self._operators = operators

    def __call__(
        self, environ: dict, start_response: abc.Callable
    ) -> abc.Iterable[bytes]:
        return self._application_for(environ)(environ, start_response)

    def _application_for(self, environ: dict) -> cherrypy.Application:
        path = environ['PATH_INFO']
        if path == joining.PATH:
            return self._members
        is_post = environ['REQUEST_METHOD'] == 'POST'
        if is_post and path.startswith('/v1/backends/'):
            return self._backends
        return self._operators
