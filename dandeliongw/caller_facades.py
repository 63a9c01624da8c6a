"""Facades of the reducer for the applications of the callers port.

A facade opens the relay of a call and lists the entries for callers. State of
the reducer's parts is read on the control thread only.
"""

import socket
import typing
import uuid

import cherrypy

from . import adapter as adapter_module
from . import answer_memory
from . import events
from . import hosts
from . import http_backends
from . import reducer as reducer_module
from . import runtime as runtime_module
from . import settings as settings_module
from .api import disconnects
from .api import gateway
from .api import http_ports
from .entry import relay


class CallersFacade:
    """Opens relays for calls and lists the entries.

    :param memory: the account of what is held of answers.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        reducer: reducer_module.Reducer,
        runtime: runtime_module.Runtime,
        disconnect_watcher: disconnects.DisconnectWatcher,
        memory: answer_memory.AnswerMemory,
    ) -> None:
        self._memory = memory
        self._settings = settings
        self._reducer = reducer
        self._runtime = runtime
        self._disconnect_watcher = disconnect_watcher
        self._backends = http_backends.HttpBackends(
            timeouts=settings.timeouts, memory=memory
        )

    def open_relay(
        self,
        *,
        call: events.Call,
        payload: relay.RequestPayload,
        request_id: str,
    ) -> relay.Relay:
        return self._open(
            call=call,
            payload=payload,
            request_id=request_id,
            backends=self._backends,
            caller=cherrypy.request.wsgi_environ.get(http_ports.SOCKET_KEY),
        )

    def _open(
        self,
        *,
        call: events.Call,
        payload: relay.RequestPayload,
        request_id: str,
        backends: relay.Backends,
        caller: socket.socket | None,
    ) -> relay.Relay:
        opened = relay.Relay(
            request_id=request_id,
            call=call,
            payload=payload,
            backends=backends,
            post=self._runtime.post,
            has_memory=self._memory.has_room(),
        )
        self._runtime.add_relay(opened)
        if caller is not None:
            self._disconnect_watcher.add(request_id, caller)
        return opened

    def close_relay(self, request_id: str) -> None:
        self._disconnect_watcher.remove(request_id)
        self._runtime.remove_relay(request_id)

    @property
    def is_shutting_down(self) -> bool:
        return self._reducer.shutdown.is_shutting_down

    def entries(self) -> dict[str, typing.Any]:
        found = self._runtime.read_state(self._reducer.membership.entries)
        return {
            'ttl_s': self._settings.timeouts.entries_ttl_s,
            'entries': [
                {
                    'instance_id': entry.instance_id,
                    'url': entry.callers_address,
                    'data_centre': entry.data_centre,
                    'region': entry.region,
                }
                for entry in found
            ],
        }


class PassThroughFacade(CallersFacade):
    """Opens relays for calls passed on unchanged; a ``gateway.Facade``."""

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        reducer: reducer_module.Reducer,
        runtime: runtime_module.Runtime,
        disconnect_watcher: disconnects.DisconnectWatcher,
        memory: answer_memory.AnswerMemory,
        adapter: adapter_module.Adapter,
    ) -> None:
        super().__init__(
            settings=settings,
            reducer=reducer,
            runtime=runtime,
            disconnect_watcher=disconnect_watcher,
            memory=memory,
        )
        self._adapter = adapter

    def open_pass_through(
        self,
        *,
        call: events.Call,
        payload: relay.RequestPayload,
        metadata: gateway.CallMetadata,
        caller: socket.socket,
    ) -> relay.Relay:
        # Callers choose request ids freely and may use one twice; the suffix
        # makes them unique.
        request_id = f'{metadata.request_id}.{uuid.uuid4().hex[:8]}'
        return self._open(
            call=call,
            payload=payload,
            request_id=request_id,
            backends=self._adapter.backends(
                payload=payload, metadata=metadata
            ),
            caller=caller,
        )

    @property
    def border(self) -> hosts.BorderLimits:
        return self._reducer.directory.document.border
