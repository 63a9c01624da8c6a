"""Finding, by hashes, what gossip missed.

An instance sends one hash a group of members; the other answers with what
it believes of the groups that differ, and asks for the same in return.
"""

from collections import abc
import typing

from . import parts
from ._beliefs import Beliefs
from ._membership_messages import ViewHashes
from ._membership_messages import ViewPart
from ._news import BUDGET
from ._probing import Probing
from ._roster import Member
from ._roster import MemberNews
from ._roster import MemberState
from ._roster import version

#: Items of one message that answers a comparison.
PART_ITEMS = 32


class Comparison:
    """Compares beliefs with those of another instance.

    :param beliefs: of this instance.
    :param probing: of this instance, to look for itself where both differ.
    """

    def __init__(self, *, beliefs: Beliefs, probing: Probing) -> None:
        self._beliefs = beliefs
        self._roster = beliefs.roster
        self._probing = probing
        #: The last answer told of members that were not known here.
        self.brought_members = False

    def ask(self, other: str) -> parts.Send:
        """Ask another instance for what it believes otherwise."""
        message = ViewHashes(
            own=self._beliefs.own.news(with_info=True),
            hashes=tuple(self._roster.hashes),
            full=self._beliefs.lacks_info,
        )
        # Set again by news that is not enough. Taken back by an answer's last
        # message, what its others lacked would be asked for a round later.
        self._beliefs.lacks_info = False
        return parts.Send(to=other, message=message)

    def on_hashes(
        self, now: float, sender: str, message: ViewHashes
    ) -> list[typing.Any]:
        """Answer with the groups that differ."""
        # Compared before the sender is learned: else a joining instance
        # would not be told what is believed of its earlier process.
        buckets = [
            bucket
            for bucket, (own, other) in enumerate(
                zip(self._roster.hashes, message.hashes, strict=True)
            )
            if own != other
        ]
        effects = self._beliefs.learn(now, (message.own,))
        # A group of which the sender holds nothing has nothing to answer.
        wanted = tuple(b for b in buckets if message.hashes[b])
        return effects + self._parts_to(
            sender, buckets, wanted, full=message.full
        )

    def on_part(
        self, now: float, sender: str, message: ViewPart
    ) -> list[typing.Any]:
        """Take what is newer, and answer if that is wanted."""
        # Made before anything is learned: the answer has to tell the sender
        # that it was doubted here.
        answer: list[typing.Any] = []
        if message.buckets:
            answer = self._parts_to(
                sender, message.buckets, (), full=message.full
            )
        self.brought_members = any(
            item.instance_id not in self._roster.members_by_id
            for item in message.news
        )
        effects: list[typing.Any] = []
        for item in message.news:
            effects += self._compare(now, item, message)
        if message.doubt is not None:
            effects += self._beliefs.learn(now, (message.doubt,))
        return effects + answer

    def _compare(
        self, now: float, item: MemberNews, message: ViewPart
    ) -> list[typing.Any]:
        held = self._roster.members_by_id.get(item.instance_id)
        if held is None or _is_settled(item, held):
            # Many at once are old news to others, who would be sent them
            # for minutes; who lacks them finds out by comparing, too.
            few = len(message.news) <= BUDGET
            return self._beliefs.learn(now, (item,), spread=few)
        if message.doubt is not None and item.state is MemberState.ALIVE:
            # Others doubt this instance: it was cut off or frozen, and its
            # verdicts of that time are worth nothing.
            return self._beliefs.acquit(now, item.instance_id)
        if item.state is MemberState.ALIVE and held.state is not item.state:
            # It can refute only what it hears, so it is to be told.
            self._beliefs.contested.add(item.instance_id)
        is_alive = held.state is MemberState.ALIVE
        if message.doubt is None and is_alive and item.state != held.state:
            # A comparison can bring a verdict that is an hour old. This
            # instance looks for itself instead of taking it over.
            self._probing.look_at(item.instance_id)
        return []

    def _parts_to(
        self,
        other: str,
        buckets: abc.Sequence[int],
        wanted: tuple[int, ...],
        *,
        full: bool,
    ) -> list[typing.Any]:
        """Return the messages, of bounded size, that carry some beliefs.

        :param wanted: groups of which an answer is wanted; the last message
            asks for it, so that it is given once.
        :param full: the other knows too little of some. Without that, the
            info is left out of many items: after a partition, that is three
            quarters of the bytes, and known already.
        """
        members = [
            member
            for bucket in buckets
            for member in self._roster.in_bucket(bucket)
        ]
        with_info = full or len(members) <= PART_ITEMS
        told = [_told(member, with_info) for member in members]
        doubt = self._beliefs.doubt(other)
        effects = []
        for start in range(0, max(1, len(told)), PART_ITEMS):
            is_last = start + PART_ITEMS >= len(told)
            message = ViewPart(
                news=tuple(told[start : start + PART_ITEMS]),
                buckets=wanted if is_last else (),
                doubt=doubt,
                full=self._beliefs.lacks_info,
            )
            effects.append(parts.Send(to=other, message=message))
        return effects


def _is_settled(item: MemberNews, held: Member) -> bool:
    """Return whether the order of beliefs alone decides between them."""
    differs = version(item) != version(held)
    return differs or item.state is MemberState.LEFT


def _told(member: Member, with_info: bool) -> MemberNews:
    has_left = member.state is MemberState.LEFT
    return member.news(with_info=with_info and not has_left)
