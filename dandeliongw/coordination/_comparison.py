"""Anti-entropy: finding, by hashes, the updates that gossip missed.

An instance sends one hash per group of members. The receiver answers with
its state of the members in the groups that differ, and requests the sender's
state of these in return.
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

#: Maximum member updates in one message that answers a comparison.
PART_ITEMS = 32


class Comparison:
    """Compares this instance's view with that of another instance.

    :param beliefs: the view of this instance.
    :param probing: of this instance, to probe members on which views differ.
    """

    def __init__(self, *, beliefs: Beliefs, probing: Probing) -> None:
        self._beliefs = beliefs
        self._roster = beliefs.roster
        self._probing = probing
        #: The last answer contained members that were unknown here.
        self.brought_members = False

    def ask(self, other: str) -> parts.Send:
        """Return a request for the differences from another view."""
        message = ViewHashes(
            own=self._beliefs.own.news(with_info=True),
            hashes=tuple(self._roster.hashes),
            full=self._beliefs.lacks_info,
        )
        # Set again by any update without the info it needs. It is reset here
        # and not by the last message of an answer: that would postpone the
        # request for info missing from earlier messages by a round.
        self._beliefs.lacks_info = False
        return parts.Send(to=other, message=message)

    def on_hashes(
        self, now: float, sender: str, message: ViewHashes
    ) -> list[typing.Any]:
        """Answer with the groups that differ."""
        # Compared before the sender's own state is applied: otherwise a
        # joining instance would not receive the state of its former process.
        buckets = [
            bucket
            for bucket, (own, other) in enumerate(
                zip(self._roster.hashes, message.hashes, strict=True)
            )
            if own != other
        ]
        effects = self._beliefs.learn(now, (message.own,))
        # A hash of 0 means that the sender has no alive or suspected member
        # in the group, so there is nothing to request.
        wanted = tuple(b for b in buckets if message.hashes[b])
        return effects + self._parts_to(
            sender, buckets, wanted, full=message.full
        )

    def on_part(
        self, now: float, sender: str, message: ViewPart
    ) -> list[typing.Any]:
        """Apply newer updates, and answer if the sender requests it."""
        # Built before any update is applied: the answer must tell the sender
        # if it was suspected or dead here.
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
            # A large batch is mostly known to other members, and gossiping
            # it would take minutes. Members that lack it compare views, too.
            few = len(message.news) <= BUDGET
            return self._beliefs.learn(now, (item,), spread=few)
        if message.doubt is not None and item.state is MemberState.ALIVE:
            # This instance is suspected or dead elsewhere: it was isolated
            # or frozen, and its verdicts from that time are unreliable.
            return self._beliefs.acquit(now, item.instance_id)
        if item.state is MemberState.ALIVE and held.state is not item.state:
            # The member can only refute a suspicion that it receives, so it
            # has to be notified.
            self._beliefs.contested.add(item.instance_id)
        is_alive = held.state is MemberState.ALIVE
        if message.doubt is None and is_alive and item.state != held.state:
            # The verdict may be an hour old. This instance probes the member
            # itself instead of adopting the verdict.
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
        """Return messages of bounded size with the members of some groups.

        :param wanted: groups for which an answer is requested. Only the last
            message requests it, so that it is sent once.
        :param full: the receiver lacks the info of some members. Otherwise
            info is left out of large answers: after a partition it makes up
            three quarters of the bytes, and the receiver has it already.
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
    """Return whether precedence alone decides between the two states."""
    differs = version(item) != version(held)
    return differs or item.state is MemberState.LEFT


def _told(member: Member, with_info: bool) -> MemberNews:
    has_left = member.state is MemberState.LEFT
    return member.news(with_info=with_info and not has_left)
