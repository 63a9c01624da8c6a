"""Initial formation of the register, once all first voters have reported.

It needs an empty disk at every one of them.
"""

import typing

from . import changes
from . import configuration as configurations
from . import parts
from . import proposer as proposers
from . import register_messages as messages
from . import register_state as state_module

#: Interval in seconds at which the first voters are queried for their disks.
FORMATION_EVERY_S = 0.5


class Formation:
    """Queries the first voters for their disks until the register is formed.

    Only the first voter with the lowest instance id does so, so that no two
    compete. That costs no availability, as formation needs all the first
    voters anyway.

    :param initial_voters: instance ids, the same at every instance.
    """

    def __init__(
        self,
        *,
        register_state: state_module.RegisterState,
        proposer: proposers.Proposer,
        initial_voters: tuple[str, ...],
    ) -> None:
        self._register_state = register_state
        self._proposer = proposer
        self._initial_voters = initial_voters
        self._query_id = 0
        self._query_at: float | None = None
        self._reports_by_id: dict[str, messages.DiskReport] = {}

    def set_first_voters(self, instance_ids: tuple[str, ...]) -> None:
        """Set the first voters; the same at every instance."""
        self._initial_voters = instance_ids

    def start(self, first_id: int) -> None:
        """Begin with query ids that no earlier run of this instance used."""
        self._query_id = first_id

    def tick(self, now: float) -> list[typing.Any]:
        """Return the disk queries that are due."""
        if not self._may_form():
            return []
        if self._query_at is not None:
            if now - self._query_at < FORMATION_EVERY_S:
                return []
        self._query_id += 1
        self._query_at = now
        self._reports_by_id = {}
        query = messages.DiskQuery(query_id=self._query_id)
        return [
            parts.Send(to=instance_id, message=query)
            for instance_id in self._initial_voters
        ]

    def on_report(
        self, sender: str, message: messages.DiskReport, now: float
    ) -> list[typing.Any]:
        """Record a disk; form the register when all are known and empty."""
        if message.query_id != self._query_id or not self._may_form():
            return []
        self._reports_by_id[sender] = message
        disks_by_id = self._empty_disks_by_id()
        if len(disks_by_id) < len(self._initial_voters):
            return []
        # Query ids and disk ids are never reused with another meaning, so
        # this nonce is never used for another value.
        entropy = configurations.digest(self._query_id, *disks_by_id.values())
        job = proposers.Job(
            change=changes.WriteBack(),
            entropy=int.from_bytes(entropy[:8], 'big'),
            deadline=now + proposers.ATTEMPT_LIMIT_S,
            forming_by_id=disks_by_id,
        )
        return self._proposer.add_first(job, now)

    def _empty_disks_by_id(self) -> dict[str, str]:
        return {
            instance_id: report.disk_id
            for instance_id, report in self._reports_by_id.items()
            if report.disk_id is not None
            and not report.holds_version
            and instance_id in self._initial_voters
        }

    def _may_form(self) -> bool:
        register_state = self._register_state
        if not self._initial_voters:
            return False
        if any(job.forming_by_id for job in self._proposer.jobs):
            return False
        return (
            register_state.known.current is None
            and register_state.acceptor is not None
            and register_state.instance_id == min(self._initial_voters)
        )
