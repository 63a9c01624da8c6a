"""Facades of the reducer for the control port and for a platform's ports.

Each class serves one kind of client: backend servers, joining instances, or
the additional ports of a platform adapter. State of the reducer's parts is
read on the control thread only.
"""

import functools

from . import exceptions
from . import joining
from . import metrics as metrics_module
from . import reducer as reducer_module
from . import runtime as runtime_module
from . import settings as settings_module
from .api import backends as backends_module
from .coordination import membership
from .coordination import presence


class MembersFacade:
    """Lists the instances for an instance that joins."""

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
        """Return the instances that are alive, including this one."""
        return self._runtime.read_state(self._read)

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
    """State of the instance for an adapter's ports; an ``adapter.State``."""

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
        return self._runtime.read_state(self._read_ready)

    def _read_ready(self, now: float) -> bool:
        is_shutting_down = self._reducer.shutdown.is_shutting_down
        return self._reducer.directory.is_fresh(now) and not is_shutting_down

    def entries(self) -> list[membership.ClientEndpoint]:
        return self._runtime.read_state(self._reducer.membership.entries)


class BackendsFacade:
    """Passes announcements, renewals and leaves of backend servers on."""

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
        data_centres = self._reducer.directory.data_centres
        if announcement.data_centre not in data_centres:
            problem = exceptions.Problem(
                path='data_centre',
                given=f'given "{announcement.data_centre}"',
                allowed=f'there are: {", ".join(data_centres)}',
            )
            raise exceptions.InvalidInput(problems=(problem,))
        self._check_role(announcement)
        message = presence.BackendAnnouncement(
            **{
                **announcement.model_dump(),
                'role': presence.BackendRole(announcement.role),
            }
        )
        outcome = self._runtime.post_and_wait(
            functools.partial(presence.Announced, announcement=message)
        )
        return backends_module.PresenceAnswer(outcome.value)

    def _check_role(self, announcement: backends_module.Announcement) -> None:
        """Reject a role for which the document has no pool.

        If accepted, an announcement that lacks the field, or that comes from
        another sender, would remove a known engine from its pool. A service
        that is not in the document is accepted: the next document may contain
        it, and until then no cell dispatches to the backend server.

        :raises InvalidInput: with the roles that exist for the service.
        """
        document = self._reducer.directory.document
        roles = {pool.role for pool in document.pools_of(announcement.service)}
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
        outcome = self._runtime.post_and_wait(
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

    def leave(
        self, leaving: backends_module.Leaving
    ) -> backends_module.PresenceAnswer:
        outcome = self._runtime.post_and_wait(
            functools.partial(presence.Left, **leaving.model_dump())
        )
        return backends_module.PresenceAnswer(outcome.value)
