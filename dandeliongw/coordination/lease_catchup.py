"""Catch-up of a grantor without records, before it may grant leases.

A grantor that lost its disk, or that joins, has no record of the epochs
granted. It waits and reads the other grantors' epochs. With these it has
caught up, but it grants no lease until another wait has passed.
"""

import collections
import enum
import typing

import msgspec

from . import lease_grantor
from . import lease_messages as messages
from . import lease_quorum
from . import parts


#: Part of a full wait that a joining grantor leaves to the holders to learn
#: of the new set.
NOTICE_PART = 0.25


class Phase(enum.Enum):
    """Progress of a catch-up."""

    OFF = 'off'
    WAITING = 'waiting'
    READING = 'reading'


class CatchUp:
    """Reads enough other grantors to get every epoch ever granted.

    Why it waits before the read: a candidate may still count a grant that this
    grantor made before its disk was lost. If the read were earlier, the others
    might not have that epoch yet, and it could be granted twice. This wait
    counts from the start of the process, as an earlier one made these grants,
    and from the last grant of this one, if it joins again. A joining grantor
    waits a little from the change on as well, so that holders have learned of
    the set before the read fences the old one.

    Why one that is new grants nothing for a while after the read: the read
    fences new grants under the replaced set, but earlier ones are still
    valid. The set may change meanwhile, as its records are complete.

    :param own_grantor: the grantor of this instance.
    :param resend_s: seconds before an unfinished read is sent again.
    """

    def __init__(
        self, *, own_grantor: lease_grantor.Grantor, resend_s: float
    ) -> None:
        self.resend_s = resend_s
        self.phase = Phase.OFF
        #: Whether the set has not counted the records of this grantor so far.
        self._is_new = False
        self._grantor = own_grantor
        self._version = 0
        self._sources: tuple[str, ...] = ()
        self._sources_needed = 0
        self._wait_until = float('-inf')
        self._reading = 0
        self._read_sent_at = float('-inf')
        self._epochs_by_source: dict[str, messages.LeaseEpochs] = {}

    def change_grantors(
        self, now: float, version: int, changed: lease_quorum.Quorum
    ) -> None:
        """Start, restart or stop the catch-up, as the current sets require."""
        if version < self._version:
            return
        own_id = self._grantor.instance_id
        is_joining = own_id in changed.joining
        has_lost_records = (
            own_id in changed.grantors and not self._grantor.ready
        )
        if not is_joining and not has_lost_records:
            self.phase = Phase.OFF
            return
        if self.phase is not Phase.OFF and version == self._version:
            return
        self._version = version
        self._is_new = own_id not in changed.grantors or has_lost_records
        if self._is_new:
            # It may have been in an earlier set and have missed epochs since.
            self._grantor.suspend()
        self._sources = changed.grantors
        self._sources_needed = lease_quorum.intersecting_size(
            len(changed.grantors)
        )
        self.phase = Phase.WAITING
        self._wait_until = max(
            self._grantor.started_at + self._full_wait_s(),
            now + NOTICE_PART * self._full_wait_s(),
        )
        if self._is_new:
            last_grant_ends = self._grantor.granted_at + self._full_wait_s()
            self._wait_until = max(self._wait_until, last_grant_ends)

    def stop(self) -> None:
        """Cancel the current catch-up."""
        self.phase = Phase.OFF

    def on_tick(self, now: float, entropy: int) -> list[typing.Any]:
        """Enter the next phase after a wait; resend an unfinished read."""
        if self.phase is Phase.WAITING and now >= self._wait_until:
            self.phase = Phase.READING
            self._reading = entropy
            self._read_sent_at = float('-inf')
            self._epochs_by_source.clear()
        if self.phase is Phase.READING:
            return self._read(now)
        return []

    def on_epochs(
        self, now: float, sender: str, epochs: messages.LeaseEpochs
    ) -> list[typing.Any]:
        """Handle one grantor's epochs."""
        if self.phase is not Phase.READING or epochs.reading != self._reading:
            return []
        # The records of a grantor that is catching up are incomplete.
        if not epochs.ready or sender not in self._sources:
            return []
        self._epochs_by_source[sender] = epochs
        if len(self._epochs_by_source) < self._sources_needed:
            return []
        self._merge_records()
        return self._finish(now)

    def _merge_records(self) -> None:
        """Adopt the highest epoch of each name.

        Its holder may renew at this grantor only if a majority reports that
        grant. Otherwise two candidates may have got the same epoch from one
        grantor each. Accepting one candidate's renewal could then give it a
        majority for an epoch that the other held, with a grant that this
        grantor has lost.
        """
        reports: collections.Counter[messages.LeaseGranted] = (
            collections.Counter()
        )
        for epochs in self._epochs_by_source.values():
            reports.update(epochs.records)
        needed = lease_quorum.majority(len(self._sources))
        latest_by_name: dict[str, messages.LeaseGranted] = {}
        for record, count in reports.most_common():
            if count < needed:
                record = msgspec.structs.replace(record, holder='', life=0)
            latest = latest_by_name.get(record.name)
            if latest is None or latest.epoch < record.epoch:
                latest_by_name[record.name] = record
        for record in latest_by_name.values():
            if self._is_new:
                self._grantor.adopt(record)
            else:
                self._grantor.learn(record)

    def _full_wait_s(self) -> float:
        """Return the seconds after which no earlier grant is counted."""
        own_wait_s = self._grantor.duration_s + self._grantor.margin_s
        return max(own_wait_s, self._grantor.longest_wait_s())

    def _read(self, now: float) -> list[typing.Any]:
        if now - self._read_sent_at < self.resend_s:
            return []
        self._read_sent_at = now
        wanted = messages.LeaseEpochsWanted(
            version=self._version, reading=self._reading
        )
        return [
            parts.Send(to=source, message=wanted) for source in self._sources
        ]

    def _finish(self, now: float) -> list[typing.Any]:
        self.phase = Phase.OFF
        if self._is_new:
            self._grantor.withhold(now + self._full_wait_s())
        caught_up = messages.GrantorCaughtUp(version=self._version)
        return self._grantor.become_ready(self._version, then=caught_up)
