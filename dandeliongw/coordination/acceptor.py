"""The acceptor: what a voter's disk has promised and accepted."""

import typing

import msgspec

from . import ballot as ballots
from . import configuration as configurations
from . import register_messages as messages


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A reply, and the records that must be synced before it is sent."""

    reply: typing.Any
    records: tuple[typing.Any, ...] = ()


class Acceptor:
    """The acceptor state of one disk. It does no I/O itself.

    :param disk_id: the identity that the journal assigned to the disk.
    """

    def __init__(self, *, disk_id: str) -> None:
        self.disk_id = disk_id
        self.promised: ballots.Ballot | None = None
        self.forming_by_id: dict[str, str] = {}
        self.versions = configurations.VersionHistory()

    @property
    def accepted(self) -> ballots.Ballot | None:
        """Return the ballot of the accepted version."""
        return self.versions.ballot

    def prepare(self, message: messages.PrepareBallot) -> Answer:
        """Promise to accept no earlier ballot, or refuse."""
        if self._is_outdated(message.ballot):
            return self._refuse(message.ballot)
        if message.forming_by_id and not self._may_form(message):
            return self._refuse(message.ballot)
        records: tuple = ()
        if message.ballot != self.promised:
            self.promised = message.ballot
            self.forming_by_id = message.forming_by_id or self.forming_by_id
            records = (self._promise_record(),)
        reply = messages.BallotPromised(
            from_disk_id=self.disk_id,
            ballot=message.ballot,
            accepted=self.accepted,
        )
        return Answer(reply=reply, records=records)

    def accept(self, message: messages.AcceptVersion) -> Answer:
        """Accept a version, unless a later ballot was promised."""
        update = message.update
        if self._is_outdated(update.ballot):
            return self._refuse(update.ballot)
        records: tuple = ()
        if update.ballot != self.accepted:
            if not self.versions.advance(update):
                return self._request_full(update.ballot)
            self.promised = update.ballot
            records = (messages.AcceptanceRecord(update=update),)
        reply = messages.VersionAccepted(
            from_disk_id=self.disk_id, ballot=update.ballot
        )
        return Answer(reply=reply, records=records)

    def restore(self, record: typing.Any) -> None:
        """Apply a journal record; records come in the journal's order.

        :raises ValueError: when an update does not start from the version
            that the earlier records lead to.
        """
        if isinstance(record, messages.PromiseRecord):
            self.promised = record.ballot
            self.forming_by_id = record.forming_by_id
            return
        if not self.versions.advance(record.update):
            raise ValueError(
                'journal record continues from ballot '
                f'{record.update.base}, but the version restored so far has '
                f'ballot {self.accepted}'
            )
        # Accepting a ballot also promises it; no promise record is written.
        self.promised = record.update.ballot

    def snapshot(self) -> list[typing.Any]:
        """Return the records that :meth:`restore` needs, oldest first."""
        records: list[typing.Any] = []
        if self.versions.current is not None:
            update = configurations.full_update(self.versions.current)
            records.append(messages.AcceptanceRecord(update=update))
        if self.promised is not None:
            records.append(self._promise_record())
        return records

    def _is_outdated(self, ballot: ballots.Ballot) -> bool:
        return self.promised is not None and ballot < self.promised

    def _may_form(self, message: messages.PrepareBallot) -> bool:
        # A disk takes part in one formation only. Without this, after the
        # loss of most disks, the remaining ones, which had only promised,
        # could form a second register beside an accepted one, and revisions
        # would start at 0 again.
        if self.accepted is not None:
            return False
        return self.forming_by_id in ({}, message.forming_by_id)

    def _promise_record(self) -> messages.PromiseRecord:
        return messages.PromiseRecord(
            ballot=self.promised, forming_by_id=self.forming_by_id
        )

    def _refuse(self, ballot: ballots.Ballot) -> Answer:
        reply = messages.BallotRefused(
            from_disk_id=self.disk_id, ballot=ballot, promised=self.promised
        )
        return Answer(reply=reply)

    def _request_full(self, ballot: ballots.Ballot) -> Answer:
        reply = messages.FullVersionNeeded(
            from_disk_id=self.disk_id, ballot=ballot
        )
        return Answer(reply=reply)
