"""What the instances' registers say to each other, and what they keep.

Every message that counts towards a quorum names the disk it means:
``to_disk_id`` or ``from_disk_id``. An instance drops what is meant for another
disk than its own, so a disk that was lost can't be answered for by its
successor.
"""

import dataclasses

from . import ballot as ballots
from . import configuration as configurations


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrepareBallot:
    """Asks a voter to take part in no earlier ballot than this one.

    :param forming_by_id: the first voters' disks, when the register is
        being formed; empty otherwise.
    """

    to_disk_id: str
    ballot: ballots.Ballot
    forming_by_id: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BallotPromised:
    """The promise, synced, with the ballot of the value that is held.

    The value itself is fetched from one voter, when it isn't known already.
    """

    from_disk_id: str
    ballot: ballots.Ballot
    accepted: ballots.Ballot | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BallotRefused:
    """A later ballot was promised, or other disks are forming a register."""

    from_disk_id: str
    ballot: ballots.Ballot
    promised: ballots.Ballot | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchVersion:
    """Asks a voter for the version it accepted.

    :param base: the ballot of the version that the asker holds.
    """

    to_disk_id: str
    base: ballots.Ballot | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionFetched:
    """The version that a voter has accepted."""

    from_disk_id: str
    update: configurations.VersionUpdate


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AcceptVersion:
    """Asks a voter to accept a version under the version's ballot."""

    to_disk_id: str
    update: configurations.VersionUpdate


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionAccepted:
    """The version is synced on this disk."""

    from_disk_id: str
    ballot: ballots.Ballot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FullVersionNeeded:
    """The update's base isn't what this voter holds."""

    from_disk_id: str
    ballot: ballots.Ballot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckAccepted:
    """Asks a voter which ballot it accepted last.

    :param check_id: grows with every check of the sender.
    """

    to_disk_id: str
    check_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedReport:
    """The ballot of the version that is synced on this disk."""

    from_disk_id: str
    check_id: int
    accepted: ballots.Ballot | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmConfiguration:
    """Asks a voter for the configuration that a majority holds.

    :param ask_id: grows with every ask of the sender.
    :param base: the ballot of the version that the asker holds.
    """

    ask_id: int
    base: ballots.Ballot | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationConfirmed:
    """A majority held this version after the ask had arrived."""

    ask_id: int
    update: configurations.VersionUpdate


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmRefused:
    """The instance that was asked is no voter.

    :param voter_ids: the voters that it knows of.
    """

    ask_id: int
    voter_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LearnerQuery:
    """Asks anybody for a later confirmed version, as no voter answers.

    :param base: the version that the sender holds.
    """

    base: ballots.Ballot | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LearnerReport:
    """A version that was confirmed; maybe not the latest one any more."""

    update: configurations.VersionUpdate


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationHint:
    """A later revision was accepted; worth asking now. Proves nothing."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RevisionConfirmed:
    """The sender has confirmed this revision and acts on no earlier one."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DiskQuery:
    """Asks which disk an instance has."""

    query_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DiskReport:
    """Which disk an instance has.

    :param disk_id: ``None`` for an instance without a data folder.
    :param holds_version: whether the disk has ever accepted a version.
    """

    query_id: int
    disk_id: str | None
    holds_version: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromiseRecord:
    """Journal: the latest promise of this disk."""

    ballot: ballots.Ballot
    forming_by_id: dict[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AcceptanceRecord:
    """Journal: an accepted version, in full or as steps from the last."""

    update: configurations.VersionUpdate


MESSAGES = (
    PrepareBallot,
    BallotPromised,
    BallotRefused,
    FetchVersion,
    VersionFetched,
    AcceptVersion,
    VersionAccepted,
    FullVersionNeeded,
    CheckAccepted,
    AcceptedReport,
    ConfirmConfiguration,
    ConfigurationConfirmed,
    ConfirmRefused,
    LearnerQuery,
    LearnerReport,
    ConfigurationHint,
    RevisionConfirmed,
    DiskQuery,
    DiskReport,
)
RECORDS = (PromiseRecord, AcceptanceRecord)
