"""Facade of the reducer for the operators' application.

Changes of the document go to the register; the data shown to operators is
read from the reducer's parts, on the control thread only.
"""

import functools
import os
import typing

from loguru import logger

from . import document as document_module
from . import reducer as reducer_module
from . import runtime as runtime_module
from . import settings as settings_module
from . import state_log
from .api import operator_interface
from .coordination import membership
from .coordination import quarantine
from .coordination import register


_EMPTY = document_module.document_bytes(document_module.EMPTY)


class OperatorsFacade:
    """Operations and data for operators; a ``operator_interface.Control``."""

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

    def current(
        self,
    ) -> operator_interface.Configuration | operator_interface.Unavailable:
        return self._runtime.read_state(self._read_current)

    def _read_current(
        self, now: float
    ) -> operator_interface.Configuration | operator_interface.Unavailable:
        state = self._reducer.register
        status = state.confirmation_status(now)
        logger.info(
            'configuration read'
            if status.is_confirmed
            else 'configuration not shown',
            **state_log.confirmation_fields(status),
        )
        if not status.is_confirmed:
            return operator_interface.Unavailable(
                message='no majority of the voters has confirmed the '
                'document lately; ask another instance, or later'
            )
        return operator_interface.Configuration(
            revision=state.revision,
            # Revision 0, with which the voters start, has no document.
            document=state.document or _EMPTY,
            author=state.author,
        )

    def propose(
        self,
        *,
        change_id: str,
        author: str,
        expected_revision: int,
        document: bytes,
    ) -> typing.Any:
        result = self._runtime.post_and_wait(
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
                return operator_interface.Conflict(
                    current=operator_interface.Configuration(
                        revision=result.revision,
                        document=result.document or _EMPTY,
                        author=result.author,
                    )
                )
            case register.ChangeIdReused():
                return operator_interface.ChangeIdReused(change_id=change_id)
        return operator_interface.Unavailable(message=result.message)

    def propose_ordered(
        self, *, order: int, author: str, document: bytes
    ) -> (
        operator_interface.Applied
        | operator_interface.Overtaken
        | operator_interface.Unavailable
    ):
        """Accept a document if its order number is the highest so far."""
        result = self._runtime.post_and_wait(
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
                return operator_interface.Overtaken(order=result.order)
        return operator_interface.Unavailable(message=result.message)

    def in_force(self, revision: int) -> operator_interface.InForce:
        return self._runtime.read_state(
            lambda now: self._read_in_force(revision, now)
        )

    def _read_in_force(
        self, revision: int, now: float
    ) -> operator_interface.InForce:
        states = self._reducer.register.in_force(revision, now).values()
        kinds = register.Enforcement
        return operator_interface.InForce(
            revision=revision,
            confirmed=sum(each is kinds.CONFIRMED for each in states),
            expired=sum(each is kinds.STOPPED for each in states),
            instances=len(states),
        )

    def status(self) -> operator_interface.Status:
        return self._runtime.read_state(self._read_status)

    def _read_status(self, now: float) -> operator_interface.Status:
        state = self._reducer.register
        revision = state.revision or 0
        return operator_interface.Status(
            instance_id=self._settings.instance_id,
            revision=revision,
            author=state.author,
            in_force=self._read_in_force(revision, now),
            instances=self._read_instances(revision, now),
            disks=state.voters_by_id,
            joining=state.joining_by_id,
            leases=[
                operator_interface.LeaseStatus(
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
    ) -> list[operator_interface.InstanceStatus]:
        states = self._reducer.register.in_force(revision, now)
        confirmed = register.Enforcement.CONFIRMED
        voters = self._reducer.register.voters_by_id
        alive = set(self._reducer.membership.alive_ids())
        return [
            operator_interface.InstanceStatus(
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

    def _read_pools(self) -> list[operator_interface.PoolStatus]:
        pools = self._reducer.directory.document.pools_by_name
        return [
            operator_interface.PoolStatus(
                name=load.pool,
                service=pools[load.pool].service,
                backends=load.backends,
                slots=load.slots,
                used=load.used,
                queue=load.queue,
            )
            for load in self._reducer.owner.pool_loads()
        ]

    def backends(self) -> list[operator_interface.BackendStatus]:
        return self._runtime.read_state(self._read_backends)

    def _read_backends(
        self, now: float
    ) -> list[operator_interface.BackendStatus]:
        out = []
        for backend_id, backend in sorted(
            self._reducer.presence.backends_by_id.items()
        ):
            announcement = backend.announcement
            out.append(
                operator_interface.BackendStatus(
                    backend_id=backend_id,
                    service=announcement.service,
                    role=announcement.role.value,
                    url=announcement.url,
                    data_centre=announcement.data_centre,
                    state='present' if backend.present else 'gone',
                    slots=announcement.slots,
                    used=backend.load.slots_used if backend.load else 0,
                    checks_fence=announcement.checks_fence,
                )
            )
        return out

    def suspects(self) -> list[operator_interface.SuspectEntry]:
        return self._runtime.read_state(self._read_suspects)

    def _read_suspects(
        self, now: float
    ) -> list[operator_interface.SuspectEntry]:
        found = [
            _suspect(now, case) for case in self._reducer.quarantine.cases()
        ]
        return sorted(found, key=lambda each: (-each['held_s'], each['call']))

    def lift(self, *, call: str, operator: str, reason: str) -> bool:
        return self._runtime.post_and_wait(
            functools.partial(
                quarantine.Lift,
                fingerprint=call,
                operator=operator,
                reason=reason,
            )
        )

    def history(self) -> list[operator_interface.HistoryEntry]:
        records = self._runtime.read_state(
            lambda now: self._reducer.register.history()
        )
        return [
            operator_interface.HistoryEntry(
                revision=record.revision,
                author=record.author,
                change_id=record.change_id,
                time=None,
            )
            for record in reversed(records)
        ]


def _suspect(
    now: float, case: quarantine.Case
) -> operator_interface.SuspectEntry:
    ends = case.counted
    held_until = case.held_until or now
    lifted = case.lifted
    return operator_interface.SuspectEntry(
        call=case.fingerprint,
        kind='part' if case.is_part else 'call',
        held_s=round(max(0.0, held_until - now), 1),
        ends=[
            operator_interface.EndEntry(
                backend_id=end.start.backend_id,
                told_by=end.told_by,
                age_s=round(now - end.ended_at, 1),
            )
            for end in ends
        ],
        cleared=len(case.cleared),
        lifted=None
        if lifted is None
        else operator_interface.LiftEntry(
            operator=lifted.operator,
            reason=lifted.reason,
            age_s=round(now - lifted.at, 1),
        ),
    )


def _applied(result: register.Applied) -> operator_interface.Applied:
    return operator_interface.Applied(
        revision=result.revision, repeated=result.repeated
    )
