"""One attempt to write the register: prepare, read, accept.

Three rules make it safe. A ballot carries one value. That value is derived
from the latest value read, after a quorum of the voters *named in the value
read* has promised. It is chosen once a quorum of the voters *named in the
new value* has synced it to disk.
"""

import enum
import typing

from . import ballot as ballots
from . import changes
from . import configuration as configurations
from . import parts
from . import register_messages as messages
from . import voters as voter_sets


class Phase(enum.Enum):
    """The state of an attempt."""

    PREPARING = 'preparing'
    ACCEPTING = 'accepting'
    CHOSEN = 'chosen'
    REFUSED = 'refused'


class Attempt:
    """The proposer's side of one ballot.

    :param change: decides the step from the value that is read.
    :param known: the latest version that this instance has received. It is
        shared with the owner, which advances it when a version is fetched.
    :param chosen: the ballot of the last version known to be chosen.
    :param forming_by_id: disk ids of the first voters, when there is no
        value yet; all of them have to promise then.
    """

    def __init__(
        self,
        *,
        ballot: ballots.Ballot,
        change: changes.Change,
        known: configurations.VersionHistory,
        chosen: ballots.Ballot | None,
        forming_by_id: dict[str, str] | None = None,
    ) -> None:
        self.ballot = ballot
        self.phase = Phase.PREPARING
        self.decision: changes.Decision | None = None
        self.version: configurations.Version | None = None
        #: The highest ballot seen; the next attempt needs a higher one.
        self.highest = ballot
        #: When the accept phase began, in monotonic seconds; ``None`` before.
        self.accept_sent_at: float | None = None
        self._change = change
        self._known = known
        self._chosen = chosen
        self._forming_by_id = forming_by_id or {}
        self._voters = self._first_voters()
        self._accepted_by_disk: dict[str, ballots.Ballot | None] = {}
        self._acknowledged: set[str] = set()
        self._update: configurations.VersionUpdate | None = None

    def _first_voters(self) -> voter_sets.Voters:
        if self._forming_by_id:
            return voter_sets.Voters(voters_by_id=self._forming_by_id)
        return self._known.current.configuration.voters

    def start(self) -> list[parts.Send]:
        """Send the prepare request to every voter."""
        return self._prepare_missing()

    def resend(self, now: float) -> list[parts.Send]:
        """Resend the requests of this phase to voters without an answer."""
        if self.phase is Phase.PREPARING:
            return [*self._prepare_missing(), *self._advance(now)]
        if self.phase is Phase.ACCEPTING:
            missing = set(self._voters.instance_by_disk) - self._acknowledged
            return [self._accept(disk_id) for disk_id in sorted(missing)]
        return []

    def on_promised(
        self, message: messages.BallotPromised, now: float
    ) -> list[parts.Send]:
        """Count a promise; continue once a quorum has promised."""
        if self.phase is not Phase.PREPARING:
            return []
        self._accepted_by_disk[message.from_disk_id] = message.accepted
        return self._advance(now)

    def on_version_known(self, now: float) -> list[parts.Send]:
        """Continue after ``known`` was advanced."""
        return self._advance(now)

    def on_refused(self, message: messages.BallotRefused) -> None:
        """End the attempt: a voter has promised a later ballot."""
        if self.phase is Phase.CHOSEN:
            return
        if message.promised is not None:
            self.highest = max(self.highest, message.promised)
        self.phase = Phase.REFUSED

    def on_accepted(self, message: messages.VersionAccepted) -> None:
        """Count an acceptance that is synced on the voter's disk."""
        if self.phase is not Phase.ACCEPTING:
            return
        self._acknowledged.add(message.from_disk_id)
        if self._voters.has_quorum(self._acknowledged):
            self.phase = Phase.CHOSEN

    def on_full_needed(
        self, message: messages.FullVersionNeeded
    ) -> list[parts.Send]:
        """Send the full value to a voter that holds another base."""
        if self.phase is not Phase.ACCEPTING:
            return []
        self._accepted_by_disk[message.from_disk_id] = None
        return [self._accept(message.from_disk_id)]

    def update_from(
        self, base: ballots.Ballot | None
    ) -> configurations.VersionUpdate:
        """Return the update from ``base`` to the version of this attempt."""
        if self._update.base == base:
            return self._update
        return configurations.full_update(self.version)

    def _advance(self, now: float) -> list[parts.Send]:
        if self.phase is not Phase.PREPARING:
            return []
        if self._forming_by_id:
            return self._advance_formation(now)
        if not self._voters.has_quorum(set(self._accepted_by_disk)):
            return []
        latest = self._latest_reported()
        known = self._known.current
        if latest is not None and known.ballot < latest:
            return self._fetch(latest)
        if known.ballot > self.ballot:
            self.highest = known.ballot
            self.phase = Phase.REFUSED
            return []
        return self._advance_from(known, now)

    def _advance_from(
        self, version: configurations.Version, now: float
    ) -> list[parts.Send]:
        # The voters may have changed since this instance last received a
        # version. Only promises of a quorum of the voters named in the value
        # read rule out a later value.
        self._voters = version.configuration.voters
        promised = set(self._accepted_by_disk)
        if not self._voters.has_quorum(promised):
            return self._prepare_missing()
        decision = self._change.decide(
            version, is_chosen=self._is_chosen(version.ballot)
        )
        self.decision = decision
        update = configurations.VersionUpdate(
            ballot=self.ballot, base=version.ballot, steps=(decision.step,)
        )
        return self._start_accepting(update, version, now)

    def _advance_formation(self, now: float) -> list[parts.Send]:
        disk_ids = set(self._forming_by_id.values())
        if set(self._accepted_by_disk) != disk_ids:
            return []
        if self._latest_reported() is not None:
            self.phase = Phase.REFUSED
            return []
        first = configurations.Configuration(
            revision=0,
            document=configurations.pack(b''),
            author='',
            changes=(),
            voters=self._voters,
            register_id=f'{self.ballot.nonce:016x}',
        )
        update = configurations.VersionUpdate(ballot=self.ballot, full=first)
        self.decision = changes.Decision()
        return self._start_accepting(update, None, now)

    def _start_accepting(
        self,
        update: configurations.VersionUpdate,
        base: configurations.Version | None,
        now: float,
    ) -> list[parts.Send]:
        self._update = update
        self.version = configurations.resolve(update, base)
        self._voters = self.version.configuration.voters
        self.phase = Phase.ACCEPTING
        self.accept_sent_at = now
        return [self._accept(d) for d in sorted(self._voters.instance_by_disk)]

    def _is_chosen(self, ballot: ballots.Ballot) -> bool:
        holders = {
            disk_id
            for disk_id, accepted in self._accepted_by_disk.items()
            if accepted == ballot
        }
        return ballot == self._chosen or self._voters.has_quorum(holders)

    def _latest_reported(self) -> ballots.Ballot | None:
        reported = [b for b in self._accepted_by_disk.values() if b]
        return max(reported, default=None)

    def _prepare_missing(self) -> list[parts.Send]:
        missing = set(self._voters.instance_by_disk)
        missing -= set(self._accepted_by_disk)
        return [self._prepare(disk_id) for disk_id in sorted(missing)]

    def _prepare(self, disk_id: str) -> parts.Send:
        message = messages.PrepareBallot(
            to_disk_id=disk_id,
            ballot=self.ballot,
            forming_by_id=self._forming_by_id,
        )
        return self._send(disk_id, message)

    def _fetch(self, latest: ballots.Ballot) -> list[parts.Send]:
        holder = next(
            disk_id
            for disk_id, accepted in self._accepted_by_disk.items()
            if accepted == latest
        )
        message = messages.FetchVersion(
            to_disk_id=holder, base=self._known.ballot
        )
        return [self._send(holder, message)]

    def _accept(self, disk_id: str) -> parts.Send:
        update = self._update
        held = self._accepted_by_disk.get(disk_id, update.base)
        if held != update.base:
            update = configurations.full_update(self.version)
        message = messages.AcceptVersion(to_disk_id=disk_id, update=update)
        return self._send(disk_id, message)

    def _send(self, disk_id: str, message: typing.Any) -> parts.Send:
        instance_id = self._voters.instance_by_disk[disk_id]
        return parts.Send(to=instance_id, message=message)
