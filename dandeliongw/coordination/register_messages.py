"""Messages between the instances' registers, and their journal records.

Every message that counts towards a quorum names the disk that it is addressed
to or comes from: ``to_disk_id`` or ``from_disk_id``. An instance drops
messages that are addressed to another disk than its own, so that the
successor of a lost disk can't answer for it.
"""

import msgspec

from . import ballot as ballots
from . import configuration as configurations


class PrepareBallot(msgspec.Struct, frozen=True, kw_only=True):
    """Request to a voter: accept no ballot earlier than this one.

    :param forming_by_id: the first voters' disks, when the register is
        being formed; empty otherwise.
    """

    to_disk_id: str
    ballot: ballots.Ballot
    forming_by_id: dict[str, str] = msgspec.field(default_factory=dict)


class BallotPromised(msgspec.Struct, frozen=True, kw_only=True):
    """The promise is synced; with the ballot of the value that is held.

    The value itself is fetched from one voter if the proposer lacks it.
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
    """Request to a voter for the version that it accepted.

    :param base: the ballot of the version that the sender holds.
    """

    to_disk_id: str
    base: ballots.Ballot | None


class VersionFetched(msgspec.Struct, frozen=True, kw_only=True):
    """The version that a voter has accepted."""

    from_disk_id: str
    update: configurations.VersionUpdate


class AcceptVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Request to a voter to accept a version under the version's ballot."""

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
    """Query for the ballot that a voter accepted last.

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
    """Request to a voter for the configuration that a majority holds.

    :param ask_id: grows with every such request of the sender.
    :param base: the ballot of the version that the sender holds.
    """

    ask_id: int
    base: ballots.Ballot | None


class ConfigurationConfirmed(msgspec.Struct, frozen=True, kw_only=True):
    """A majority held this version after the request had arrived."""

    ask_id: int
    update: configurations.VersionUpdate


class ConfirmRefused(msgspec.Struct, frozen=True, kw_only=True):
    """The instance that got the request is no voter.

    :param voter_ids: the voters by the latest version that it received.
    """

    ask_id: int
    voter_ids: tuple[str, ...]


class LearnerQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Query to any instance for a later confirmed version.

    Sent while no voter answers.

    :param base: the ballot of the version that the sender holds.
    """

    base: ballots.Ballot | None


class LearnerReport(msgspec.Struct, frozen=True, kw_only=True):
    """A confirmed version; a later one may have been chosen since."""

    update: configurations.VersionUpdate


class ConfigurationHint(msgspec.Struct, frozen=True, kw_only=True):
    """Hint that a later revision was accepted.

    It proves nothing; the recipient requests a confirmation at once.
    """

    revision: int


class RevisionConfirmed(msgspec.Struct, frozen=True, kw_only=True):
    """The sender has confirmed this revision and acts on no earlier one."""

    revision: int


class DiskQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Query for the disk id of an instance."""

    query_id: int


class DiskReport(msgspec.Struct, frozen=True, kw_only=True):
    """The disk id of an instance.

    :param disk_id: ``None`` for an instance without a data folder.
    :param holds_version: whether the disk has ever accepted a version.
    """

    query_id: int
    disk_id: str | None
    holds_version: bool


class PromiseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Journal record: the latest promise of this disk."""

    ballot: ballots.Ballot
    forming_by_id: dict[str, str]


class AcceptanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Journal record: an accepted version, full or as steps from the last."""

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
