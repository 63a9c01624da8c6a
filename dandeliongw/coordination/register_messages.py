"""What the instances' registers say to each other, and what they keep.

Every message that counts towards a quorum names the disk it means:
``to_disk_id`` or ``from_disk_id``. An instance drops what is meant for another
disk than its own, so a disk that was lost can't be answered for by its
successor.
"""

import msgspec

from . import ballot as ballots
from . import configuration as configurations


class PrepareBallot(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a voter to take part in no earlier ballot than this one.

    :param forming_by_id: the first voters' disks, when the register is
        being formed; empty otherwise.
    """

    to_disk_id: str
    ballot: ballots.Ballot
    forming_by_id: dict[str, str] = msgspec.field(default_factory=dict)


class BallotPromised(msgspec.Struct, frozen=True, kw_only=True):
    """The promise, synced, with the ballot of the value that is held.

    The value itself is fetched from one voter, when it isn't known already.
    """

    from_disk_id: str
    ballot: ballots.Ballot
    accepted: ballots.Ballot | None


class BallotRefused(msgspec.Struct, frozen=True, kw_only=True):
    """A later ballot was promised, or other disks are forming a register."""

    from_disk_id: str
    ballot: ballots.Ballot
    promised: ballots.Ballot | None


class FetchVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a voter for the version it accepted.

    :param base: the ballot of the version that the asker holds.
    """

    to_disk_id: str
    base: ballots.Ballot | None


class VersionFetched(msgspec.Struct, frozen=True, kw_only=True):
    """The version that a voter has accepted."""

    from_disk_id: str
    update: configurations.VersionUpdate


class AcceptVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a voter to accept a version under the version's ballot."""

    to_disk_id: str
    update: configurations.VersionUpdate


class VersionAccepted(msgspec.Struct, frozen=True, kw_only=True):
    """The version is synced on this disk."""

    from_disk_id: str
    ballot: ballots.Ballot


class FullVersionNeeded(msgspec.Struct, frozen=True, kw_only=True):
    """The update's base isn't what this voter holds."""

    from_disk_id: str
    ballot: ballots.Ballot


class CheckAccepted(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a voter which ballot it accepted last.

    :param check_id: grows with every check of the sender.
    """

    to_disk_id: str
    check_id: int


class AcceptedReport(msgspec.Struct, frozen=True, kw_only=True):
    """The ballot of the version that is synced on this disk."""

    from_disk_id: str
    check_id: int
    accepted: ballots.Ballot | None


class ConfirmConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a voter for the configuration that a majority holds.

    :param ask_id: grows with every ask of the sender.
    :param base: the ballot of the version that the asker holds.
    """

    ask_id: int
    base: ballots.Ballot | None


class ConfigurationConfirmed(msgspec.Struct, frozen=True, kw_only=True):
    """A majority held this version after the ask had arrived."""

    ask_id: int
    update: configurations.VersionUpdate


class ConfirmRefused(msgspec.Struct, frozen=True, kw_only=True):
    """The instance that was asked is no voter.

    :param voter_ids: the voters that it knows of.
    """

    ask_id: int
    voter_ids: tuple[str, ...]


class LearnerQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks anybody for a later confirmed version, as no voter answers.

    :param base: the version that the sender holds.
    """

    base: ballots.Ballot | None


class LearnerReport(msgspec.Struct, frozen=True, kw_only=True):
    """A version that was confirmed; maybe not the latest one any more."""

    update: configurations.VersionUpdate


class ConfigurationHint(msgspec.Struct, frozen=True, kw_only=True):
    """A later revision was accepted; worth asking now. Proves nothing."""

    revision: int


class RevisionConfirmed(msgspec.Struct, frozen=True, kw_only=True):
    """The sender has confirmed this revision and acts on no earlier one."""

    revision: int


class DiskQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks which disk an instance has."""

    query_id: int


class DiskReport(msgspec.Struct, frozen=True, kw_only=True):
    """Which disk an instance has.

    :param disk_id: ``None`` for an instance without a data folder.
    :param holds_version: whether the disk has ever accepted a version.
    """

    query_id: int
    disk_id: str | None
    holds_version: bool


class PromiseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Journal: the latest promise of this disk."""

    ballot: ballots.Ballot
    forming_by_id: dict[str, str]


class AcceptanceRecord(msgspec.Struct, frozen=True, kw_only=True):
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
