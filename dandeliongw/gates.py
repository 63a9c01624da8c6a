"""What stands between the HTTP borders and the reducer.

Each class answers one border: it turns the border's calls into events and
what the reducer's parts know into the border's answers. Parts are read on
the control thread only.
"""

import functools
import os
import socket
import typing
import uuid

import cherrypy

from . import adapter as adapter_module
from . import document as document_module
from . import events
from . import exceptions
from . import hosts
from . import http_backends
from . import joining
from . import metrics as metrics_module
from . import reducer as reducer_module
from . import runtime as runtime_module
from . import settings as settings_module
from .borders import backends as backends_module
from .borders import control
from .borders import gateway
from .borders import watch as watch_module
from .borders import web
from .coordination import membership
from .coordination import presence
from .coordination import quarantine
from .coordination import register
from .entry import relay

_EMPTY = document_module.document_bytes(document_module.EMPTY)


class HttpBackends:
    """Makes the HTTP adapters of a request's backend servers."""

    def __init__(self, *, timeouts: settings_module.Timeouts) -> None:
        self._timeouts = timeouts

    def model_engine(
        self, url: str, backend_id: str, pieces_held: int
    ) -> http_backends.HttpEngine:
        return self.engine_at(url, backend_id)

    def engine_at(self, url: str, backend_id: str) -> http_backends.HttpEngine:
        """Return the adapter that sends cancels and orders."""
        return http_backends.HttpEngine(
            url=url,
            connect_s=self._timeouts.connect_s,
            first_byte_s=self._timeouts.first_byte_s,
            stall_s=self._timeouts.stall_s,
        )

    def plain_service(
        self, url: str, backend_id: str, timeout_s: float
    ) -> http_backends.PlainService:
        return http_backends.PlainService(
            url=url,
            connect_s=self._timeouts.connect_s,
            timeout_s=timeout_s,
        )


class CallersGate:
    """Opens relays for callers and tells them the entries."""

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        reducer: reducer_module.Reducer,
        runtime: runtime_module.Runtime,
        watch: watch_module.Watch,
    ) -> None:
        self._settings = settings
        self._reducer = reducer
        self._runtime = runtime
        self._watch = watch
        self._backends = HttpBackends(timeouts=settings.timeouts)

    def open_relay(
        self, *, call: events.Call, work: relay.Work, request_id: str
    ) -> relay.Relay:
        return self._open(
            call=call,
            work=work,
            request_id=request_id,
            backends=self._backends,
            caller=cherrypy.request.wsgi_environ.get(web.SOCKET_KEY),
        )

    def _open(
        self,
        *,
        call: events.Call,
        work: relay.Work,
        request_id: str,
        backends: relay.Backends,
        caller: socket.socket | None,
    ) -> relay.Relay:
        carrier = relay.Relay(
            request_id=request_id,
            call=call,
            work=work,
            backends=backends,
            post=self._runtime.post,
        )
        self._runtime.add_relay(carrier)
        if caller is not None:
            self._watch.add(request_id, caller)
        return carrier

    def close_relay(self, request_id: str) -> None:
        self._watch.remove(request_id)
        self._runtime.remove_relay(request_id)

    @property
    def is_leaving(self) -> bool:
        return self._reducer.shutdown.is_leaving

    def entries(self) -> dict[str, typing.Any]:
        found = self._runtime.look(self._reducer.membership.entries)
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


class PassingGate(CallersGate):
    """Opens relays for calls that are passed on; a ``gateway.Gate``."""

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        reducer: reducer_module.Reducer,
        runtime: runtime_module.Runtime,
        watch: watch_module.Watch,
        adapter: adapter_module.Adapter,
    ) -> None:
        super().__init__(
            settings=settings, reducer=reducer, runtime=runtime, watch=watch
        )
        self._adapter = adapter

    def open_passing(
        self,
        *,
        call: events.Call,
        work: relay.Work,
        facts: gateway.Facts,
        caller: socket.socket,
    ) -> relay.Relay:
        # Callers choose their names freely, and may choose one twice.
        request_id = f'{facts.request_id}.{uuid.uuid4().hex[:8]}'
        return self._open(
            call=call,
            work=work,
            request_id=request_id,
            backends=self._adapter.backends(work=work, facts=facts),
            caller=caller,
        )

    @property
    def border(self) -> hosts.BorderLimits:
        return self._reducer.directory.document.border


class MembersDesk:
    """Tells instances that join who there is."""

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        reducer: reducer_module.Reducer,
        runtime: runtime_module.Runtime,
    ) -> None:
        self._settings = settings
        self._reducer = reducer
        self._runtime = runtime

    def read(self) -> joining.Members:
        """Return who runs, this instance included."""
        return self._runtime.look(self._read)

    def _read(self, now: float) -> joining.Members:
        by_id = self._reducer.membership.members_by_id
        return joining.Members(
            instance_id=self._settings.instance_id,
            instances=tuple(
                joining.FoundInstance(
                    instance_id=each,
                    host=by_id[each].info.host,
                    port=by_id[each].info.port,
                )
                for each in self._reducer.membership.alive_ids()
                if by_id[each].info.host
            ),
        )


class State:
    """What an adapter's ports may ask; an ``adapter.State``."""

    def __init__(
        self,
        *,
        reducer: reducer_module.Reducer,
        runtime: runtime_module.Runtime,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._reducer = reducer
        self._runtime = runtime
        self._metrics = metrics

    def metrics(self) -> bytes:
        return self._metrics.render()

    @property
    def is_ready(self) -> bool:
        return self._runtime.look(self._read_ready)

    def _read_ready(self, now: float) -> bool:
        is_leaving = self._reducer.shutdown.is_leaving
        return self._reducer.directory.is_fresh(now) and not is_leaving

    def entries(self) -> list[membership.Entry]:
        return self._runtime.look(self._reducer.membership.entries)


class BackendsDesk:
    """Takes in what backend servers say of themselves."""

    def __init__(
        self,
        *,
        reducer: reducer_module.Reducer,
        runtime: runtime_module.Runtime,
    ) -> None:
        self._reducer = reducer
        self._runtime = runtime

    def announce(
        self, announcement: backends_module.Announcement
    ) -> backends_module.PresenceAnswer:
        known = self._reducer.directory.data_centres
        if announcement.data_centre not in known:
            problem = exceptions.Problem(
                path='data_centre',
                given=f'given "{announcement.data_centre}"',
                allowed=f'there are: {", ".join(known)}',
            )
            raise exceptions.InvalidInput(problems=(problem,))
        self._check_role(announcement)
        said = presence.BackendAnnouncement(
            **{
                **announcement.model_dump(),
                'role': presence.BackendRole(announcement.role),
            }
        )
        outcome = self._runtime.ask(
            functools.partial(presence.Announced, announcement=said)
        )
        return backends_module.PresenceAnswer(outcome.value)

    def _check_role(self, announcement: backends_module.Announcement) -> None:
        """Refuse a role that the document has no pool for.

        Taken in, an announcement that lacks a field or comes from another
        writer would take a known engine out of its pool. A service that the
        document doesn't have is let through: it may come with the next one,
        and until then nobody is told.

        :raises InvalidInput: with the roles that there are.
        """
        described = self._reducer.directory.document
        roles = {
            pool.role for pool in described.pools_of(announcement.service)
        }
        if roles and announcement.role not in roles:
            problem = exceptions.Problem(
                path='role',
                given=f'given "{announcement.role}"',
                allowed=f'there are: {", ".join(sorted(roles))}',
            )
            raise exceptions.InvalidInput(problems=(problem,))

    def renew(
        self, renewal: backends_module.Renewal
    ) -> backends_module.PresenceAnswer:
        kinds = presence.CacheEventKind
        cache_events = presence.CacheEvents(
            first=renewal.cache_events.first,
            events=tuple(
                presence.CacheEvent(kind=kinds(each.kind), prefix=each.prefix)
                for each in renewal.cache_events.events
            ),
        )
        outcome = self._runtime.ask(
            functools.partial(
                presence.Renewed,
                backend_id=renewal.backend_id,
                incarnation=renewal.incarnation,
                sequence=renewal.sequence,
                load=presence.BackendLoad(**renewal.load.model_dump()),
                cache_events=cache_events if cache_events.events else None,
            )
        )
        return backends_module.PresenceAnswer(outcome.value)

    def leave(self, leaving: backends_module.Leaving) -> None:
        self._runtime.ask(
            functools.partial(presence.Left, **leaving.model_dump())
        )


class OperatorsControl:
    """Changes and shows what operators may; a ``control.Control``."""

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        reducer: reducer_module.Reducer,
        runtime: runtime_module.Runtime,
    ) -> None:
        self._settings = settings
        self._reducer = reducer
        self._runtime = runtime

    def current(self) -> control.Configuration | control.Unavailable:
        return self._runtime.look(self._read_current)

    def _read_current(
        self, now: float
    ) -> control.Configuration | control.Unavailable:
        held = self._reducer.register
        if held.revision is None or not held.is_fresh(now):
            return control.Unavailable(
                message='no majority of the voters has confirmed the '
                'document lately; ask another instance, or later'
            )
        return control.Configuration(
            revision=held.revision,
            # Revision 0 is what the voters formed, before any document.
            document=held.document or _EMPTY,
            author=held.author,
        )

    def propose(
        self,
        *,
        change_id: str,
        author: str,
        expected_revision: int,
        document: bytes,
    ) -> typing.Any:
        result = self._runtime.ask(
            functools.partial(
                register.Propose,
                change_id=change_id,
                author=author,
                expected_revision=expected_revision,
                document=document,
                entropy=int.from_bytes(os.urandom(8), 'big'),
            )
        )
        match result:
            case register.Applied():
                return _applied(result)
            case register.Conflict():
                return control.Conflict(
                    current=control.Configuration(
                        revision=result.revision,
                        document=result.document or _EMPTY,
                        author=result.author,
                    )
                )
            case register.ChangeIdReused():
                return control.ChangeIdReused(change_id=change_id)
        return control.Unavailable(message=result.message)

    def propose_ordered(
        self, *, order: int, author: str, document: bytes
    ) -> control.Applied | control.Overtaken | control.Unavailable:
        """Make a document the current one if its number is the highest."""
        result = self._runtime.ask(
            functools.partial(
                register.ProposeOrdered,
                order=order,
                author=author,
                document=document,
                entropy=int.from_bytes(os.urandom(8), 'big'),
            )
        )
        match result:
            case register.Applied():
                return _applied(result)
            case register.Overtaken():
                return control.Overtaken(order=result.order)
        return control.Unavailable(message=result.message)

    def in_force(self, revision: int) -> control.InForce:
        return self._runtime.look(
            lambda now: self._read_in_force(revision, now)
        )

    def _read_in_force(self, revision: int, now: float) -> control.InForce:
        states = self._reducer.register.in_force(revision, now).values()
        kinds = register.Enforcement
        return control.InForce(
            revision=revision,
            confirmed=sum(each is kinds.CONFIRMED for each in states),
            expired=sum(each is kinds.STOPPED for each in states),
            instances=len(states),
        )

    def status(self) -> control.Status:
        return self._runtime.look(self._read_status)

    def _read_status(self, now: float) -> control.Status:
        held = self._reducer.register
        revision = held.revision or 0
        return control.Status(
            instance_id=self._settings.instance_id,
            revision=revision,
            author=held.author,
            in_force=self._read_in_force(revision, now),
            instances=self._read_instances(revision, now),
            disks=held.voters_by_id,
            joining=held.joining_by_id,
            leases=[
                control.LeaseStatus(
                    name=cell_id,
                    holder=self._settings.instance_id,
                    epoch=cell.epoch,
                )
                for cell_id, cell in self._reducer.owner.cells_by_id.items()
            ],
            pools=self._read_pools(),
        )

    def _read_instances(
        self, revision: int, now: float
    ) -> list[control.InstanceStatus]:
        states = self._reducer.register.in_force(revision, now)
        confirmed = register.Enforcement.CONFIRMED
        voters = self._reducer.register.voters_by_id
        alive = set(self._reducer.membership.alive_ids())
        return [
            control.InstanceStatus(
                instance_id=instance_id,
                data_centre=member.info.data_centre,
                region=member.info.region,
                voter=instance_id in voters,
                heard=instance_id in alive,
                revision=revision
                if states.get(instance_id) is confirmed
                else None,
            )
            for instance_id, member in sorted(
                self._reducer.membership.members_by_id.items()
            )
            if member.state is not membership.MemberState.LEFT
        ]

    def _read_pools(self) -> list[control.PoolStatus]:
        pools = self._reducer.directory.document.pools_by_name
        return [
            control.PoolStatus(
                name=load.pool,
                service=pools[load.pool].service,
                backends=load.backends,
                slots=load.slots,
                used=load.used,
                queue=load.queue,
            )
            for load in self._reducer.owner.pool_loads()
        ]

    def backends(self) -> list[control.BackendStatus]:
        return self._runtime.look(self._read_backends)

    def _read_backends(self, now: float) -> list[control.BackendStatus]:
        out = []
        for backend_id, backend in sorted(
            self._reducer.presence.backends_by_id.items()
        ):
            said = backend.announcement
            out.append(
                control.BackendStatus(
                    backend_id=backend_id,
                    service=said.service,
                    role=said.role.value,
                    url=said.url,
                    data_centre=said.data_centre,
                    state='present' if backend.present else 'gone',
                    slots=said.slots,
                    used=backend.load.slots_used if backend.load else 0,
                    checks_fence=said.checks_fence,
                )
            )
        return out

    def suspects(self) -> list[control.SuspectEntry]:
        return self._runtime.look(self._read_suspects)

    def _read_suspects(self, now: float) -> list[control.SuspectEntry]:
        found = [
            _suspect(now, case) for case in self._reducer.quarantine.cases()
        ]
        return sorted(found, key=lambda each: (-each['held_s'], each['call']))

    def lift(self, *, call: str, operator: str, reason: str) -> bool:
        return self._runtime.ask(
            functools.partial(
                quarantine.Lift,
                fingerprint=call,
                operator=operator,
                reason=reason,
            )
        )

    def history(self) -> list[control.HistoryEntry]:
        records = self._runtime.look(
            lambda now: self._reducer.register.history()
        )
        return [
            control.HistoryEntry(
                revision=record.revision,
                author=record.author,
                change_id=record.change_id,
                time=None,
            )
            for record in reversed(records)
        ]


def _suspect(now: float, case: quarantine.Case) -> control.SuspectEntry:
    ends = case.counted
    held_until = case.held_until or now
    lifted = case.lifted
    return control.SuspectEntry(
        call=case.fingerprint,
        held_s=round(max(0.0, held_until - now), 1),
        ends=[
            control.EndEntry(
                backend_id=end.start.backend_id,
                told_by=end.told_by,
                age_s=round(now - end.ended_at, 1),
            )
            for end in ends
        ],
        cleared=len(case.cleared),
        lifted=None
        if lifted is None
        else control.LiftEntry(
            operator=lifted.operator,
            reason=lifted.reason,
            age_s=round(now - lifted.at, 1),
        ),
    )


def _applied(result: register.Applied) -> control.Applied:
    return control.Applied(revision=result.revision, repeated=result.repeated)
