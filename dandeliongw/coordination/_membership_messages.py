"""What membership takes in, gives out and sends.

All of it is re-exported by :mod:`.membership`, which tells the protocol.
"""

import dataclasses

from ._roster import Member
from ._roster import MemberNews


# Events.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Discovered:
    """Event: instances that can be contacted, whoever told of them."""

    now: float
    instance_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetServing:
    """This instance may or may not admit work now."""

    now: float
    serving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetDraining:
    """This instance takes no new callers from now on, or does again."""

    now: float
    draining: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Leave:
    """This process ends soon and won't be back with this incarnation."""

    now: float


# Effects.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberChanged:
    """Something about a member changed; perform this before later sends."""

    member: Member


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberForgotten:
    """Nothing is remembered of a member that died or left long ago."""

    instance_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reconnect:
    """Throw the connection to an instance away and use a new one."""

    to: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Superseded:
    """Another process runs with this instance's id and more right to it.

    Two settings files share an id, or the clock that incarnations come from
    went back. Nothing that this process sends is accepted any more.
    """

    incarnation: int


# Messages.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """Asks for a :class:`ProbeAck` with the same sequence number."""

    sequence: int
    retry: bool
    view_hash: int
    news: tuple[MemberNews, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeAck:
    """The sender of this was alive when the probe reached it."""

    sequence: int
    view_hash: int
    news: tuple[MemberNews, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IndirectProbe:
    """Asks a helper to probe ``target``."""

    sequence: int
    target: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IndirectAck:
    """A helper got the acknowledgement that the sender did not."""

    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gossip:
    """News that does not wait for the next probe."""

    news: tuple[MemberNews, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ViewHashes:
    """Asks for what the receiver believes otherwise; also joins.

    :param full: the sender lacks the info of some members.
    """

    own: MemberNews
    hashes: tuple[int, ...]
    full: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ViewPart:
    """What the sender believes of some members.

    :param buckets: groups of which it wants to be told in return.
    :param doubt: what it believes of the receiver, unless that is alive.
    :param full: as in :class:`ViewHashes`, for the answer.
    """

    news: tuple[MemberNews, ...]
    buckets: tuple[int, ...]
    doubt: MemberNews | None
    full: bool


#: For the codec of whoever embeds this part.
MESSAGES = (
    Probe,
    ProbeAck,
    IndirectProbe,
    IndirectAck,
    Gossip,
    ViewHashes,
    ViewPart,
)
