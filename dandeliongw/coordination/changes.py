"""The changes that can be proposed to the register, and their results.

A :class:`Change` decides, from the value that was read, the step to the next
value. A change with nothing to write (a conflict, a resend) returns an empty
step, and the attempt still completes its accept phase: the value that was
read may so far be held by a minority only, and an answer based on it could
report a change that is later lost.
"""

import typing

import msgspec

from . import configuration as configurations
from . import voters as voter_sets


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """The change took effect.

    :param revision: the revision that it got.
    :param repeated: whether an earlier request with this id had applied it.
    """

    revision: int
    repeated: bool


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """The expected revision is not the current one; nothing was changed.

    :param revision: the current revision.
    :param document: the current document.
    :param author: the author of the current document.
    """

    revision: int
    document: bytes
    author: str


class ChangeIdReused(msgspec.Struct, frozen=True, kw_only=True):
    """The change id was used for another change; nothing was changed.

    :param revision: the revision that the other change got.
    """

    revision: int


class Overtaken(msgspec.Struct, frozen=True, kw_only=True):
    """The register holds this number or a higher one; nothing was changed.

    A resend of a change that took effect gets this answer too: the change
    was made, and may have been replaced since.

    :param order: the highest number that the register holds.
    """

    order: int


class VoterRefused(msgspec.Struct, frozen=True, kw_only=True):
    """The change of the voters is not possible with the present voters."""

    message: str


class Unavailable(msgspec.Struct, frozen=True, kw_only=True):
    """No quorum answered in time. Resend with the same change id."""

    message: str


Result = (
    Applied
    | Conflict
    | ChangeIdReused
    | Overtaken
    | VoterRefused
    | Unavailable
)


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """The step to write, and the result to return once it is chosen.

    :param again: whether the change needs another attempt, because this one
        only writes the value that was read again.
    """

    step: configurations.ConfigurationStep = configurations.ConfigurationStep()
    result: Result | None = None
    again: bool = False


class Change(typing.Protocol):
    """A change to the register that an attempt can propose."""

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Return the step from the value that was read.

        :param is_chosen: whether a quorum is known to hold that value.
        """
        ...


class RecordedChange:
    """An idempotent change: it is applied once per change id.

    :param request: digest of the request; distinguishes a resend from
        another request under the same id.
    """

    def __init__(self, *, change_id: str, author: str, request: bytes) -> None:
        self.change_id = change_id
        self.author = author
        self.request = request
        #: Whether some voter may have been asked to accept the change.
        self.was_tried = False

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Answer a resend from the change records; else apply the change."""
        found = version.configuration.find_change(self.change_id)
        if found is None:
            return self.apply(version.configuration)
        if found.digest != self.request:
            return Decision(result=ChangeIdReused(revision=found.revision))
        result = Applied(revision=found.revision, repeated=not self.was_tried)
        return Decision(result=result)

    def apply(self, configuration: configurations.Configuration) -> Decision:
        """Return the decision for a change that was not applied yet."""
        raise NotImplementedError

    def record(self, revision: int) -> configurations.ChangeRecord:
        """Return the change record for the step; set ``was_tried``."""
        self.was_tried = True
        return configurations.ChangeRecord(
            change_id=self.change_id,
            revision=revision,
            digest=self.request,
            author=self.author,
        )


class DocumentChange(RecordedChange):
    """Replaces the document if its revision is the expected one."""

    def __init__(
        self,
        *,
        change_id: str,
        author: str,
        expected_revision: int,
        document: bytes,
    ) -> None:
        super().__init__(
            change_id=change_id,
            author=author,
            request=configurations.digest(
                'document', author, expected_revision, document
            ),
        )
        self.expected_revision = expected_revision
        self.document = configurations.pack(document)

    def apply(self, configuration: configurations.Configuration) -> Decision:
        """Compare the revision and set the document, or return a conflict."""
        if configuration.revision != self.expected_revision:
            result = Conflict(
                revision=configuration.revision,
                document=configurations.unpack(configuration.document),
                author=configuration.author,
            )
            return Decision(result=result)
        revision = configuration.revision + 1
        step = configurations.ConfigurationStep(
            document=self.document,
            author=self.author,
            added=(self.record(revision),),
        )
        return Decision(
            step=step, result=Applied(revision=revision, repeated=False)
        )


class OrderedChange:
    """Replaces the document if its number is above the one in the register.

    Operators who number their changes themselves need no revision to compare
    with: the highest number wins, whatever the order of arrival and however
    often each change is sent.

    :param order: the operator's number, above 0.
    """

    def __init__(self, *, order: int, author: str, document: bytes) -> None:
        self.order = order
        self.author = author
        self.document = configurations.pack(document)
        self._digest = configurations.digest('ordered', order, document)
        #: Whether some voter may have been asked to accept the change.
        self.was_tried = False

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Apply the change unless the register holds its number or above."""
        configuration = version.configuration
        if self.order <= configuration.order:
            return Decision(result=Overtaken(order=configuration.order))
        self.was_tried = True
        revision = configuration.revision + 1
        record = configurations.ChangeRecord(
            change_id=f'order-{self.order}',
            revision=revision,
            digest=self._digest,
            author=self.author,
        )
        step = configurations.ConfigurationStep(
            document=self.document,
            author=self.author,
            added=(record,),
            order=self.order,
        )
        return Decision(
            step=step, result=Applied(revision=revision, repeated=False)
        )


class VoterReplacement(RecordedChange):
    """Starts to replace a voter by another disk.

    :param instance_id: the voter to remove.
    :param by: the instance to add; may be the same with another disk.
    :param disk_id: the disk of ``by``. A resend may carry yet another disk
        id; it still counts as the same request.
    """

    def __init__(
        self,
        *,
        change_id: str,
        author: str,
        instance_id: str,
        by: str,
        disk_id: str,
    ) -> None:
        super().__init__(
            change_id=change_id,
            author=author,
            request=configurations.digest('voter', instance_id, by),
        )
        self.instance_id = instance_id
        self.by = by
        self.disk_id = disk_id

    def apply(self, configuration: configurations.Configuration) -> Decision:
        """Set the joining voters, beside the present ones."""
        refusal = self._refusal(configuration.voters)
        if refusal is not None:
            return Decision(result=VoterRefused(message=refusal))
        voters = configuration.voters.replace(
            self.instance_id, self.by, self.disk_id
        )
        step = configurations.ConfigurationStep(
            voters=voters, added=(self.record(configuration.revision),)
        )
        result = Applied(revision=configuration.revision, repeated=False)
        return Decision(step=step, result=result)

    def _refusal(self, voters: voter_sets.Voters) -> str | None:
        present = voters.voters_by_id
        if self.instance_id not in present:
            names = ', '.join(sorted(present))
            return f'{self.instance_id!r} is not a voter; voters: {names}'
        if self.disk_id in present.values():
            return f'{self.by!r} is already a voter with its present disk'
        if self.by in present and self.by != self.instance_id:
            return f'{self.by!r} is a voter; it can replace only its own disk'
        if voters.joiner not in ('', self.by):
            return f'the change that adds {voters.joiner} is in progress'
        return None


class VoterAddition(RecordedChange):
    """Starts to add a disk to the voters.

    :param by: the instance to add.
    :param disk_id: its disk.
    """

    def __init__(
        self, *, change_id: str, author: str, by: str, disk_id: str
    ) -> None:
        super().__init__(
            change_id=change_id,
            author=author,
            request=configurations.digest('addition', by, disk_id),
        )
        self.by = by
        self.disk_id = disk_id

    def apply(self, configuration: configurations.Configuration) -> Decision:
        """Set the enlarged set as joining, beside the present voters."""
        voters = configuration.voters
        if voters.joiner not in ('', self.by):
            message = 'another change of the voters is in progress'
            return Decision(result=VoterRefused(message=message))
        if self.by in voters.voters_by_id:
            message = f'{self.by!r} is already a voter'
            return Decision(result=VoterRefused(message=message))
        step = configurations.ConfigurationStep(
            voters=voters.add(self.by, self.disk_id),
            added=(self.record(configuration.revision),),
        )
        result = Applied(revision=configuration.revision, repeated=False)
        return Decision(step=step, result=result)


class JoiningWithdrawal:
    """Abandons a change of the voters that can't be finished.

    While a disk that is gone is in the joining set, a quorum needs more of
    the other disks than before; the next loss could block every change.

    :param number: version of the sets that are meant; sets with another
        number are left as they are.
    """

    def __init__(self, *, number: int) -> None:
        self.number = number

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Drop the joining set."""
        voters = version.configuration.voters
        if voters.number != self.number or not voters.joining_by_id:
            return Decision()
        return Decision(
            step=configurations.ConfigurationStep(voters=voters.withdraw())
        )


class VoterRemoval:
    """Removes one voter of an even number, or finishes such a removal.

    :param number: version of the sets that are meant; sets with another
        number are left as they are.
    """

    def __init__(self, *, instance_id: str, number: int) -> None:
        self.instance_id = instance_id
        self.number = number

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Start the removal, or end it once a quorum holds its start."""
        voters = version.configuration.voters
        if voters.joining_by_id:
            if voters.joiner:
                return Decision()
            return _end(voters, is_chosen=is_chosen)
        if voters.number != self.number or len(voters.voters_by_id) % 2:
            return Decision()
        if self.instance_id not in voters.voters_by_id:
            return Decision()
        step = configurations.ConfigurationStep(
            voters=voters.remove(self.instance_id)
        )
        return Decision(step=step, again=True)


class ReplacementEnd:
    """Makes the joining voters the only ones.

    :param disk_id: the joining disk, which has caught up.
    """

    def __init__(self, *, disk_id: str) -> None:
        self.disk_id = disk_id

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Drop the old set, if this disk is still joining."""
        voters = version.configuration.voters
        if not voters.is_joining(self.disk_id):
            return Decision()
        return _end(voters, is_chosen=is_chosen)


def _end(voters: voter_sets.Voters, *, is_chosen: bool) -> Decision:
    """Drop the old set; if the value isn't chosen, write it back first.

    The value with both sets must be held by a quorum first. Otherwise a
    proposer that reads an older value, and so queries the old set only,
    could decide independently of the new set: an accepted revision would be
    lost.
    """
    if not is_chosen:
        return Decision(again=True)
    return Decision(
        step=configurations.ConfigurationStep(voters=voters.finish())
    )


class WriteBack:
    """Writes the value that was read back, so that a quorum holds it."""

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Return an empty step: the same value under the new ballot."""
        return Decision()
