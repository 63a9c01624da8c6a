"""The table of members, and which of two states of a member takes precedence.

The state of a member is ordered by
``(incarnation, left, revision, severity)``:

* a restarted member has a higher incarnation, which overrides any state of
  its earlier processes;
* within one incarnation a leave is final;
* only the member itself raises its revision, to change a flag or to refute
  a suspicion, so a stale update never takes precedence;
* at equal revision the more severe state takes precedence, until the member
  refutes it.
"""

import collections
import enum
import functools
import hashlib
import operator

import msgspec

#: Groups into which members are divided; two instances compare one hash per
#: group.
BUCKETS = 32


class MemberState(enum.IntEnum):
    """The state of a member, in order of severity."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class InstanceInfo(msgspec.Struct, frozen=True, kw_only=True):
    """What a member publishes about itself, fixed for each start.

    :param host: where its peers connect, with ``port``.
    :param callers_address: the URL at which it serves clients.
    :param tunnel_port: port at which it connects others to backend servers;
        0 if it doesn't.
    """

    host: str
    port: int
    data_centre: str
    region: str
    callers_address: str
    tunnel_port: int = 0


NO_INFO = InstanceInfo(
    host='', port=0, data_centre='', region='', callers_address=''
)


class MemberNews(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a member in a message.

    :param info: ``None`` where the receiver is expected to have it.
    """

    instance_id: str
    incarnation: int
    revision: int
    state: MemberState
    draining: bool
    serving: bool
    info: InstanceInfo | None


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a member as seen by this instance.

    :param draining: the member accepts no new clients.
    :param serving: the member reports that it may admit work.
    """

    instance_id: str
    info: InstanceInfo
    state: MemberState
    incarnation: int
    revision: int
    draining: bool = False
    serving: bool = False

    def news(self, *, with_info: bool) -> MemberNews:
        """Return this state as an update for other instances."""
        return MemberNews(
            instance_id=self.instance_id,
            incarnation=self.incarnation,
            revision=self.revision,
            state=self.state,
            draining=self.draining,
            serving=self.serving,
            info=self.info if with_info else None,
        )


Rank = tuple[int, bool, int, MemberState]


def rank(member: Member | MemberNews) -> Rank:
    """Return the key by which states of one member take precedence."""
    return (
        member.incarnation,
        member.state is MemberState.LEFT,
        member.revision,
        member.state,
    )


def version(member: Member | MemberNews) -> tuple[int, int]:
    """Return the part of the precedence that only the member can raise."""
    return member.incarnation, member.revision


@functools.lru_cache(maxsize=4096)
def bucket_of(instance_id: str) -> int:
    """Return the group to which a member belongs."""
    return hashlib.blake2b(instance_id.encode()).digest()[0] % BUCKETS


def _hash(member: Member) -> int:
    text = f'{member.instance_id}/{member.incarnation}/{member.revision}'
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, 'big')


def _is_present(member: Member) -> bool:
    return member.state in (MemberState.ALIVE, MemberState.SUSPECT)


def _is_alive(member: Member) -> bool:
    return member.state is MemberState.ALIVE


class Roster:
    """All members with their states, and hashes to compare them cheaply.

    The hashes cover only members that are alive or suspected. The retention
    time of the others ends at a different moment on each instance, which
    must not appear as a difference.
    """

    def __init__(self) -> None:
        self.members_by_id: dict[str, Member] = {}
        self.hashes = [0] * BUCKETS
        self._ids_by_bucket: collections.defaultdict[int, set[str]] = (
            collections.defaultdict(set)
        )
        self._present_ids: set[str] = set()
        #: Cached result of ``alive_ids``; ``None`` after a change.
        self._alive_ids: tuple[str, ...] | None = None

    def put(self, member: Member) -> None:
        """Store the state of a member, replacing its former state."""
        self.remove(member.instance_id)
        self._alive_ids = None
        self.members_by_id[member.instance_id] = member
        bucket = bucket_of(member.instance_id)
        self._ids_by_bucket[bucket].add(member.instance_id)
        if _is_present(member):
            self.hashes[bucket] ^= _hash(member)
            self._present_ids.add(member.instance_id)

    def remove(self, instance_id: str) -> None:
        """Remove a member."""
        member = self.members_by_id.pop(instance_id, None)
        if member is None:
            return
        self._alive_ids = None
        bucket = bucket_of(instance_id)
        self._ids_by_bucket[bucket].discard(instance_id)
        if _is_present(member):
            self.hashes[bucket] ^= _hash(member)
            self._present_ids.discard(instance_id)

    @property
    def present_ids(self) -> set[str]:
        """Members that are alive or suspected; not to be modified."""
        return self._present_ids

    @property
    def alive_ids(self) -> tuple[str, ...]:
        """Alive members, sorted, without suspected ones.

        Cached between two changes. If they were sorted at every access, the
        cost of each booking would grow with the number of members.
        """
        if self._alive_ids is None:
            self._alive_ids = tuple(
                sorted(
                    instance_id
                    for instance_id in self._present_ids
                    if _is_alive(self.members_by_id[instance_id])
                )
            )
        return self._alive_ids

    def is_alive(self, instance_id: str) -> bool:
        """Return whether a member is alive and not suspected."""
        member = self.members_by_id.get(instance_id)
        return member is not None and _is_alive(member)

    @property
    def view_hash(self) -> int:
        """One hash over all members that are alive or suspected."""
        return functools.reduce(operator.xor, self.hashes)

    def in_bucket(self, bucket: int) -> list[Member]:
        """Return the members of one group."""
        ids = sorted(self._ids_by_bucket[bucket])
        return [self.members_by_id[instance_id] for instance_id in ids]
