"""Events, effects and messages on the origins of streams.

All of them are re-exported by :mod:`.origins`, which describes the protocol.
"""

import enum

import msgspec

from . import placement


class StreamOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """What began a stream, and what alone may go on with it.

    :param software_version: of its engines, ``''`` if they state none.
    """

    service: str
    software_version: str


class KeepResult(enum.StrEnum):
    """The result of a :class:`Keep`."""

    KEPT = 'kept'
    #: Too few instances have confirmed it in time; it is sent further on.
    LATE = 'late'
    #: A call of the same id has begun a stream of another origin.
    TAKEN = 'taken'


class LookUpFailure(enum.StrEnum):
    """Why a :class:`LookUp` found no origin."""

    UNKNOWN = 'unknown'
    #: Too few of the instances that may keep it have answered.
    UNANSWERED = 'unanswered'
    #: Streams that its caller may mean began at several versions.
    SEVERAL = 'several'


# Events.


class SetKeepers(msgspec.Struct, frozen=True, kw_only=True):
    """The instances that keep origins.

    :param voter_ids: those that store them on disk.
    :param entries: those of which a few keep each origin in memory.
    """

    now: float
    voter_ids: frozenset[str]
    entries: tuple[placement.Member, ...]


class Keep(msgspec.Struct, frozen=True, kw_only=True):
    """This instance is about to begin a stream.

    :param ticket: of the :class:`.parts.Complete` whose result is a
        :class:`KeepResult`.
    :param keep_s: seconds for which its caller may come back.
    """

    now: float
    ticket: str
    stream_key: bytes
    origin: StreamOrigin
    keep_s: float


class LookUp(msgspec.Struct, frozen=True, kw_only=True):
    """A caller has come back with a stream.

    :param ticket: of the :class:`.parts.Complete` whose result is a
        :class:`StreamOrigin` or a :class:`LookUpFailure`.
    """

    now: float
    ticket: str
    stream_key: bytes


class LookUpSole(msgspec.Struct, frozen=True, kw_only=True):
    """A caller has come back with a stream, and doesn't name what began it.

    :param ticket: as of a :class:`LookUp`, and unique.
    :param services: one of which may have begun the stream.
    """

    now: float
    ticket: str
    services: tuple[str, ...]


class KeepersFormed(msgspec.Struct, frozen=True, kw_only=True):
    """The first voters have formed: no stream began before."""

    now: float


# Messages.


class KeepOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """Keep the origin of a stream; also a journal record.

    :param stream_key: digest of the caller's account and its id of the call
        that began the stream.
    """

    stream_key: bytes
    origin: StreamOrigin
    keep_s: float


class OriginKept(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a :class:`KeepOrigin`; voters have it on disk.

    :param origin: the one that is kept, which was the first.
    """

    stream_key: bytes
    origin: StreamOrigin


class AskOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the origin of a stream."""

    stream_key: bytes


class OriginAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to an :class:`AskOrigin`.

    :param origin: ``None`` if it is not known here.
    """

    stream_key: bytes
    origin: StreamOrigin | None


class KeptVersion(msgspec.Struct, frozen=True, kw_only=True):
    """What began some stream whose caller may still come back.

    :param keep_s: seconds for which it may.
    """

    origin: StreamOrigin
    keep_s: float


class AskVersions(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a voter what has begun streams.

    :param services: ``()`` for all.
    """

    ticket: str
    services: tuple[str, ...]


class VersionsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to an :class:`AskVersions`.

    :param is_complete: whether the voter has been told of all streams; one
        that has just become a voter hasn't.
    """

    ticket: str
    kept: tuple[KeptVersion, ...]
    is_complete: bool


class KeeperReady(msgspec.Struct, frozen=True, kw_only=True):
    """Journal record: whether this voter's answers are complete."""

    is_complete: bool


#: Message classes to register with the codec.
MESSAGES = (
    KeepOrigin,
    OriginKept,
    AskOrigin,
    OriginAnswer,
    AskVersions,
    VersionsAnswer,
)
#: Classes of journal records to register with the codec.
RECORDS = (KeepOrigin, KeeperReady)
