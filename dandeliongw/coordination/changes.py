"""What an attempt wants of the register, and what it tells its caller.

A :class:`Change` looks at the value that was read and decides the step to
the next value. A change that finds nothing to do (a conflict, a resend)
returns an empty step, and the attempt still completes its accept round: the
value that was read may so far be held by a minority only, and an answer
based on it would tell of something that can still vanish.
"""

import typing

import msgspec

from . import configuration as configurations
from . import voters as voter_sets


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """The change took effect.

    :param revision: the revision that it got.
    :param repeated: whether an earlier request with this id did it.
    """

    revision: int
    repeated: bool


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """The expected revision is not the current one; nothing was changed.

    :param document: the current document.
    :param author: who made it.
    """

    revision: int
    document: bytes
    author: str


class ChangeIdReused(msgspec.Struct, frozen=True, kw_only=True):
    """The change id belongs to another change; nothing was changed.

    :param revision: the revision that the other change got.
    """

    revision: int


class Overtaken(msgspec.Struct, frozen=True, kw_only=True):
    """A change with this number or a higher one is held; nothing changed.

    A resend whose first send took effect gets this answer too: what it asked
    for has happened, or has been replaced since.

    :param order: the number that is held.
    """

    order: int


class VoterRefused(msgspec.Struct, frozen=True, kw_only=True):
    """The replacement makes no sense for the present voters."""

    message: str


class Unavailable(msgspec.Struct, frozen=True, kw_only=True):
    """No answer in time. Resend under the same change id."""

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
    """The step to write and the result to give once it is written.

    :param again: the value had to be written as it was first; the change
        wants another attempt.
    """

    step: configurations.ConfigurationStep = configurations.ConfigurationStep()
    result: Result | None = None
    again: bool = False


class Change(typing.Protocol):
    """What an attempt wants of the register."""

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Return the step from the value that was read.

        :param is_chosen: whether a quorum is known to hold that value.
        """
        ...


class RecordedChange:
    """A change with an id, which takes effect once however often it comes.

    :param request: what was asked; tells a resend from a reused id.
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
        """Answer a resend from the records; else apply the change."""
        found = version.configuration.find_change(self.change_id)
        if found is None:
            return self.apply(version.configuration)
        if found.digest != self.request:
            return Decision(result=ChangeIdReused(revision=found.revision))
        result = Applied(revision=found.revision, repeated=not self.was_tried)
        return Decision(result=result)

    def apply(self, configuration: configurations.Configuration) -> Decision:
        """Return the step of a change that was not applied yet."""
        raise NotImplementedError

    def record(self, revision: int) -> configurations.ChangeRecord:
        """Return the record that the step adds, and note the try."""
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
        """Compare and set."""
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
    """Replaces the document if its number is above the one that is held.

    Operators who number their changes themselves need no revision to compare
    with: the highest number wins, in whatever order the changes arrive and
    however often each is sent.

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
        """Apply the change unless a later one is there."""
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

    :param instance_id: the voter that goes.
    :param by: the instance that comes; may be the same with another disk.
    :param disk_id: the disk of ``by``. A resend may come with yet another
        disk; it is still the same request.
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
        """Set the coming voters beside the present ones."""
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
            return f'{self.instance_id!r} is no voter; voters: {names}'
        if self.disk_id in present.values():
            return f'{self.by!r} is a voter with its present disk'
        if self.by in present and self.by != self.instance_id:
            return f'{self.by!r} is a voter; replace it by itself'
        going = set(present) - set(voters.joining_by_id)
        if voters.joining_by_id and going - {self.instance_id}:
            names = ', '.join(sorted(going))
            return f'the replacement of {names} is not finished'
        return None


class VoterAddition(RecordedChange):
    """Starts to take one more disk among the voters.

    :param by: the instance that comes.
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
        """Set the larger set beside the present one."""
        voters = configuration.voters
        if voters.joining_by_id:
            message = 'another change of the voters is not finished'
            return Decision(result=VoterRefused(message=message))
        if self.by in voters.voters_by_id:
            message = f'{self.by!r} is a voter'
            return Decision(result=VoterRefused(message=message))
        step = configurations.ConfigurationStep(
            voters=voters.add(self.by, self.disk_id),
            added=(self.record(configuration.revision),),
        )
        result = Applied(revision=configuration.revision, repeated=False)
        return Decision(step=step, result=result)


class JoiningWithdrawal:
    """Gives up a change of the voters that can't be finished.

    While a disk that is gone is in the coming set, a quorum needs more of
    the others than before; the next loss would stop every change.

    :param number: of the sets that are meant; another change stays.
    """

    def __init__(self, *, number: int) -> None:
        self.number = number

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Drop the coming set."""
        voters = version.configuration.voters
        if voters.number != self.number or not voters.joining_by_id:
            return Decision()
        return Decision(
            step=configurations.ConfigurationStep(voters=voters.withdraw())
        )


class ReplacementEnd:
    """Makes the coming voters the only ones.

    The value with both sets must be held by a quorum first. Otherwise a
    reader of an older value, which asks the old set only, could decide
    beside the new set: an accepted revision would be lost.

    :param disk_id: the joining disk, which holds everything by now.
    """

    def __init__(self, *, disk_id: str) -> None:
        self.disk_id = disk_id

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Drop the old set, or write the value back first."""
        voters = version.configuration.voters
        if not voters.is_joining(self.disk_id):
            return Decision()
        if not is_chosen:
            return Decision(again=True)
        return Decision(
            step=configurations.ConfigurationStep(voters=voters.finish())
        )


class WriteBack:
    """Writes the value that was read, so that a quorum holds it."""

    def decide(
        self, version: configurations.Version, *, is_chosen: bool
    ) -> Decision:
        """Change nothing."""
        return Decision()
