"""The value that the register holds, and the deltas between two values."""

import hashlib
import zlib

import msgspec

from . import ballot as ballots
from . import voters as voter_sets

#: Number of change records retained. At 1,000 changes a day, a resend is
#: recognized for ten days.
CHANGES_KEPT = 10_000
DIGEST_BYTES = 16


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of one change, kept so that a resend gets the same answer.

    :param revision: the revision that the change got.
    :param digest: of the request; distinguishes a resend from another
        request under the same id.
    """

    change_id: str
    revision: int
    digest: bytes
    author: str


class ConfigurationStep(msgspec.Struct, frozen=True, kw_only=True):
    """The delta between a configuration and the one it is derived from.

    :param document: the new packed document; ``None`` when unchanged.
    :param author: of the new document; ``None`` without one.
    :param added: the records of the changes in this step.
    :param voters: the new voters; ``None`` when unchanged.
    :param order: the number of an ordered change; ``None`` otherwise.
    """

    document: bytes | None = None
    author: str | None = None
    added: tuple[ChangeRecord, ...] = ()
    voters: voter_sets.Voters | None = None
    order: int | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One value of the register.

    :param revision: counts the changes of the document. A change of voters
        doesn't raise it, so that it doesn't make an operator's
        compare-and-set fail.
    :param document: the document, packed by :func:`pack`.
    :param author: who changed the document last.
    :param changes: the latest changes, oldest first.
    :param order: the highest number of an ordered change so far.
    :param register_id: drawn when the register was formed, so that values of
        another system's register can be told from this one's; empty in
        registers formed by earlier releases.
    """

    revision: int
    document: bytes
    author: str
    changes: tuple[ChangeRecord, ...]
    voters: voter_sets.Voters
    order: int = 0
    register_id: str = ''

    def apply(self, step: ConfigurationStep) -> 'Configuration':
        """Return the configuration that results from applying a step."""
        changed = step.document is not None
        return Configuration(
            revision=self.revision + 1 if changed else self.revision,
            document=step.document if changed else self.document,
            author=step.author if changed else self.author,
            changes=(self.changes + step.added)[-CHANGES_KEPT:],
            voters=self.voters if step.voters is None else step.voters,
            order=self.order if step.order is None else step.order,
            register_id=self.register_id,
        )

    def is_of_other_register(self, other: 'Configuration') -> bool:
        """Return whether the two belong to different registers."""
        ids = {self.register_id, other.register_id}
        return len(ids) == 2 and '' not in ids

    def find_change(self, change_id: str) -> ChangeRecord | None:
        """Return the record of a change; ``None`` if none is retained."""
        for record in reversed(self.changes):
            if record.change_id == change_id:
                return record
        return None


class Version(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration and the ballot under which it was written."""

    ballot: ballots.Ballot
    configuration: Configuration


class VersionUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """A version as it is sent to a receiver that may hold an earlier one.

    With ten thousand change records a value takes most of a megabyte, while
    one change takes a few hundred bytes. So an update is either ``full`` or
    the steps from a ``base`` that the receiver has reported. A ballot belongs
    to one value only, so the ballot of the base identifies its content.
    """

    ballot: ballots.Ballot
    base: ballots.Ballot | None = None
    steps: tuple[ConfigurationStep, ...] = ()
    full: Configuration | None = None


def resolve(update: VersionUpdate, base: Version | None) -> Version | None:
    """Return the version that results from an update.

    :param base: the version that the receiver holds.
    :returns: ``None`` when the update starts from another version; the full
        value has to be requested then.
    """
    if update.full is not None:
        return Version(ballot=update.ballot, configuration=update.full)
    if base is None:
        return None
    if base.ballot == update.ballot:
        # The receiver learned this version from another message while the
        # update was in transit. The update still proves which version was
        # the latest.
        return base
    if base.ballot != update.base:
        return None
    configuration = base.configuration
    for step in update.steps:
        configuration = configuration.apply(step)
    return Version(ballot=update.ballot, configuration=configuration)


class VersionHistory:
    """The current version and the updates that led to it.

    :param steps_kept: number of updates retained. Receivers that are further
        behind get the full value.
    """

    def __init__(self, *, steps_kept: int = 32) -> None:
        self.current: Version | None = None
        self._steps_kept = steps_kept
        self._update_by_base: dict[ballots.Ballot, VersionUpdate] = {}

    @property
    def ballot(self) -> ballots.Ballot | None:
        """Return the ballot of the current version."""
        return None if self.current is None else self.current.ballot

    def advance(self, update: VersionUpdate) -> bool:
        """Advance to the version of an update.

        :returns: whether it could be resolved from the current version.
        """
        version = resolve(update, self.current)
        if version is None:
            return False
        if update.full is not None:
            self._update_by_base.clear()
        elif update.base != update.ballot:
            self._update_by_base[update.base] = update
            self._forget_old_steps()
        self.current = version
        return True

    def restart(self, version: Version) -> None:
        """Hold a version that doesn't follow from the current one."""
        self._update_by_base.clear()
        self.current = version

    def _forget_old_steps(self) -> None:
        while len(self._update_by_base) > self._steps_kept:
            oldest = next(iter(self._update_by_base))
            del self._update_by_base[oldest]

    def update_for(self, base: ballots.Ballot | None) -> VersionUpdate:
        """Return the update from ``base`` to the current version.

        It consists of steps if those since ``base`` are retained; else it is
        a full one.

        :raises ValueError: when there is no current version.
        """
        if self.current is None:
            raise ValueError('no version is held yet')
        steps: list[ConfigurationStep] = []
        reached = base
        while reached != self.current.ballot:
            update = self._update_by_base.get(reached)
            if update is None:
                return full_update(self.current)
            steps.extend(update.steps)
            reached = update.ballot
        return VersionUpdate(
            ballot=self.current.ballot, base=base, steps=tuple(steps)
        )


def full_update(version: Version) -> VersionUpdate:
    """Return an update that holds the full value and needs no base."""
    return VersionUpdate(ballot=version.ballot, full=version.configuration)


def pack(document: bytes) -> bytes:
    """Compress a document for the wire and the journal."""
    return zlib.compress(document)


def unpack(document: bytes) -> bytes:
    """Decompress a document that :func:`pack` has compressed."""
    return zlib.decompress(document)


def digest(*parts: str | int | bytes) -> bytes:
    """Return a digest of a sequence of values.

    :returns: :data:`DIGEST_BYTES` bytes.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        encoded = part if isinstance(part, bytes) else str(part).encode()
        # The length prefix keeps ('ab', 'c') distinct from ('a', 'bc').
        hasher.update(len(encoded).to_bytes(8, 'big'))
        hasher.update(encoded)
    return hasher.digest()
