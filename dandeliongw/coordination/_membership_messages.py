"""Events, effects and messages of the membership protocol.

All of them are re-exported by :mod:`.membership`, which describes the
protocol.
"""

import msgspec

from ._roster import Member
from ._roster import MemberNews


# Events.


class Discovered(msgspec.Struct, frozen=True, kw_only=True):
    """Instances that can be contacted were discovered, by any means."""

    now: float
    instance_ids: tuple[str, ...]


class SetServing(msgspec.Struct, frozen=True, kw_only=True):
    """Whether this instance may admit work changed."""

    now: float
    serving: bool


class SetDraining(msgspec.Struct, frozen=True, kw_only=True):
    """This instance stops, or resumes, accepting new clients."""

    now: float
    draining: bool


class Leave(msgspec.Struct, frozen=True, kw_only=True):
    """This process ends soon; its incarnation will not be used again."""

    now: float


# Effects.


class MemberChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a member changed; perform this before later sends."""

    member: Member


class MemberForgotten(msgspec.Struct, frozen=True, kw_only=True):
    """A dead or left member was removed after its retention time."""

    instance_id: str


class Reconnect(msgspec.Struct, frozen=True, kw_only=True):
    """Discard the connection to an instance and open a new one."""

    to: str


class Superseded(msgspec.Struct, frozen=True, kw_only=True):
    """Another process has this instance's id and a higher incarnation.

    Either two settings files share an id, or the clock from which
    incarnations are derived was set back. Other instances no longer accept
    what this process sends.
    """

    incarnation: int


# Messages.


class Probe(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a :class:`ProbeAck` with the same sequence number.

    :param retry: the first probe with this number was not acknowledged.
    :param view_hash: over all alive and suspected members as the sender sees
        them.
    """

    sequence: int
    retry: bool
    view_hash: int
    news: tuple[MemberNews, ...]


class ProbeAck(msgspec.Struct, frozen=True, kw_only=True):
    """Acknowledges a :class:`Probe`; its sender was alive at that time."""

    sequence: int
    view_hash: int
    news: tuple[MemberNews, ...]


class IndirectProbe(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the receiver to probe ``target`` on the sender's behalf."""

    sequence: int
    target: str


class IndirectAck(msgspec.Struct, frozen=True, kw_only=True):
    """Reports that the target of an :class:`IndirectProbe` acknowledged.

    :param sequence: of the request.
    """

    sequence: int


class Gossip(msgspec.Struct, frozen=True, kw_only=True):
    """Updates that are sent without waiting for the next probe."""

    news: tuple[MemberNews, ...]


class ViewHashes(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the members whose states differ; also used to join.

    :param own: the state of the sender.
    :param hashes: one per group of members.
    :param full: the sender lacks the info of some members.
    """

    own: MemberNews
    hashes: tuple[int, ...]
    full: bool


class ViewPart(msgspec.Struct, frozen=True, kw_only=True):
    """The states of some members as the sender sees them.

    :param buckets: groups whose members the sender requests in return.
    :param doubt: the state of the receiver, if suspected or dead.
    :param full: as in :class:`ViewHashes`, for the answer.
    """

    news: tuple[MemberNews, ...]
    buckets: tuple[int, ...]
    doubt: MemberNews | None
    full: bool


#: Message classes to register with the codec.
MESSAGES = (
    Probe,
    ProbeAck,
    IndirectProbe,
    IndirectAck,
    Gossip,
    ViewHashes,
    ViewPart,
)
