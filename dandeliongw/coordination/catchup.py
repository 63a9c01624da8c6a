"""How a grantor without memory becomes one that may grant.

A grantor whose disk was lost, or one that joins, knows none of the epochs
that were granted. It waits, reads the others' epochs, waits again, and only
then grants.
"""

import collections
import enum
import typing

import msgspec

from . import grantor
from . import lease_messages as messages
from . import parts
from . import quorum


class Phase(enum.Enum):
    """How far a catch-up has come."""

    OFF = 'off'
    WAITING = 'waiting'
    READING = 'reading'
    SETTLING = 'settling'


class CatchUp:
    """Reads enough other grantors to know every epoch ever granted.

    The wait before the read: grants that this grantor gave before its disk
    was lost may still be counted by a candidate that has not finished its
    ask. Were the read earlier, the others would not have that epoch yet and
    it could be granted twice. To a joining grantor the wait gives time for
    the news of the change to spread.

    The wait after it: the read fences grants under the replaced set, but
    those given before it still run.

    :param patience_s: pause before a read is sent again.
    """

    def __init__(
        self, *, own_grantor: grantor.Grantor, patience_s: float
    ) -> None:
        self.patience_s = patience_s
        self.phase = Phase.OFF
        self._grantor = own_grantor
        self._version = 0
        self._sources: tuple[str, ...] = ()
        self._enough = 0
        self._until = float('-inf')
        self._reading = 0
        self._read_sent_at = float('-inf')
        self._epochs_by_source: dict[str, messages.LeaseEpochs] = {}

    def change_grantors(
        self, now: float, version: int, changed: quorum.Quorum
    ) -> None:
        """Begin, begin again or stop, as the sets in force demand."""
        if version < self._version:
            return
        own_id = self._grantor.instance_id
        is_joining = own_id in changed.joining
        is_lost = own_id in changed.grantors and not self._grantor.ready
        if not is_joining and not is_lost:
            self.phase = Phase.OFF
            return
        if self.phase is not Phase.OFF and version == self._version:
            return
        self._version = version
        self._sources = changed.grantors
        self._enough = quorum.intersecting(len(changed.grantors))
        self._wait(now, Phase.WAITING)

    def stop(self) -> None:
        """Forget the catch-up under way."""
        self.phase = Phase.OFF

    def on_tick(self, now: float, entropy: int) -> list[typing.Any]:
        """Move on when a wait is over; read again what got no answer."""
        if self.phase is Phase.WAITING and now >= self._until:
            self.phase = Phase.READING
            self._reading = entropy
            self._read_sent_at = float('-inf')
            self._epochs_by_source.clear()
        if self.phase is Phase.READING:
            return self._read(now)
        if self.phase is Phase.SETTLING and now >= self._until:
            return self._finish()
        return []

    def on_epochs(
        self, now: float, sender: str, epochs: messages.LeaseEpochs
    ) -> list[typing.Any]:
        """Take one grantor's epochs in."""
        if self.phase is not Phase.READING or epochs.reading != self._reading:
            return []
        # One that is catching up itself doesn't know what it granted.
        if not epochs.ready or sender not in self._sources:
            return []
        self._epochs_by_source[sender] = epochs
        if len(self._epochs_by_source) < self._enough:
            return []
        self._learn()
        self._wait(now, Phase.SETTLING)
        return []

    def _learn(self) -> None:
        """Take the highest epoch of each name over.

        Its holder may renew here only if a majority reports that grant.
        Otherwise two candidates may have got the same epoch from one grantor
        each, and taking either one's renewal could give it a majority for an
        epoch that the other held with a grant this grantor has forgotten.
        """
        reports: collections.Counter[messages.LeaseGranted] = (
            collections.Counter()
        )
        for epochs in self._epochs_by_source.values():
            reports.update(epochs.records)
        needed = quorum.majority(len(self._sources))
        for record, count in reports.most_common():
            if count < needed:
                record = msgspec.structs.replace(record, holder='', life=0)
            self._grantor.learn(record)

    def _wait(self, now: float, phase: Phase) -> None:
        self.phase = phase
        own_s = self._grantor.duration_s + self._grantor.margin_s
        self._until = now + max(own_s, self._grantor.longest_wait_s())

    def _read(self, now: float) -> list[typing.Any]:
        if now - self._read_sent_at < self.patience_s:
            return []
        self._read_sent_at = now
        wanted = messages.LeaseEpochsWanted(
            version=self._version, reading=self._reading
        )
        return [
            parts.Send(to=source, message=wanted) for source in self._sources
        ]

    def _finish(self) -> list[typing.Any]:
        self.phase = Phase.OFF
        effects = self._grantor.become_ready(self._version)
        caught_up = messages.GrantorCaughtUp(version=self._version)
        return [*effects, caught_up]
