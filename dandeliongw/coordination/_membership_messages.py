"""What membership takes in, gives out and sends.

All of it is re-exported by :mod:`.membership`, which tells the protocol.
"""

import msgspec

from ._roster import Member
from ._roster import MemberNews


# Events.


class Discovered(msgspec.Struct, frozen=True, kw_only=True):
    """Event: instances that can be contacted, whoever told of them."""

    now: float
    instance_ids: tuple[str, ...]


class SetServing(msgspec.Struct, frozen=True, kw_only=True):
    """This instance may or may not admit work now."""

    now: float
    serving: bool


class SetDraining(msgspec.Struct, frozen=True, kw_only=True):
    """This instance takes no new callers from now on, or does again."""

    now: float
    draining: bool


class Leave(msgspec.Struct, frozen=True, kw_only=True):
    """This process ends soon and won't be back with this incarnation."""

    now: float


# Effects.


class MemberChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Something about a member changed; perform this before later sends."""

    member: Member


class MemberForgotten(msgspec.Struct, frozen=True, kw_only=True):
    """Nothing is remembered of a member that died or left long ago."""

    instance_id: str


class Reconnect(msgspec.Struct, frozen=True, kw_only=True):
    """Throw the connection to an instance away and use a new one."""

    to: str


class Superseded(msgspec.Struct, frozen=True, kw_only=True):
    """Another process runs with this instance's id and more right to it.

    Two settings files share an id, or the clock that incarnations come from
    went back. Nothing that this process sends is accepted any more.
    """

    incarnation: int


# Messages.


class Probe(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for a :class:`ProbeAck` with the same sequence number."""

    sequence: int
    retry: bool
    view_hash: int
    news: tuple[MemberNews, ...]


class ProbeAck(msgspec.Struct, frozen=True, kw_only=True):
    """The sender of this was alive when the probe reached it."""

    sequence: int
    view_hash: int
    news: tuple[MemberNews, ...]


class IndirectProbe(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a helper to probe ``target``."""

    sequence: int
    target: str


class IndirectAck(msgspec.Struct, frozen=True, kw_only=True):
    """A helper got the acknowledgement that the sender did not."""

    sequence: int


class Gossip(msgspec.Struct, frozen=True, kw_only=True):
    """News that does not wait for the next probe."""

    news: tuple[MemberNews, ...]


class ViewHashes(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for what the receiver believes otherwise; also joins.

    :param full: the sender lacks the info of some members.
    """

    own: MemberNews
    hashes: tuple[int, ...]
    full: bool


class ViewPart(msgspec.Struct, frozen=True, kw_only=True):
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
