"""Anti-entropy: finding, by hashes, the updates that gossip missed.

An instance sends one hash per group of members. The receiver answers with
its state of the members in the groups that differ, and requests the sender's
state of these in return.
"""

from collections import abc
import typing

from . import parts
from ._gossip_queue import BUDGET
from ._membership_messages import ViewHashes
from ._membership_messages import ViewPart
from ._membership_view import MembershipView
from ._probing import Probing
from ._roster import Member
from ._roster import MemberNews
from ._roster import MemberState
from ._roster import version

#: Maximum member updates in one message that answers a comparison.
PART_ITEMS = 32


class Comparison:
    """Compares this instance's view with that of another instance.

    :param view: the view of this instance.
    :param probing: of this instance, to probe members on which views differ.
    """

    def __init__(self, *, view: MembershipView, probing: Probing) -> None:
        self._view = view
        self._roster = view.roster
        self._probing = probing
        #: The last answer contained members that were unknown here.
        self.found_members = False

    def make_request(self, other: str) -> parts.Send:
        """Return a request for the differences from another view."""
        message = ViewHashes(
            own=self._view.own.news(with_info=True),
            hashes=tuple(self._roster.hashes),
            full=self._view.is_info_missing,
        )
        # Set again by any update without the info it needs. It is reset here
        # and not by the last message of an answer: that would postpone the
        # request for info missing from earlier messages by a round.
        self._view.is_info_missing = False
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
        effects = self._view.apply_updates(now, (message.own,))
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
        # Built before any update is applied: the answer must report to the
        # sender that it was suspected or dead here.
        answer: list[typing.Any] = []
        if message.buckets:
            answer = self._parts_to(
                sender, message.buckets, (), full=message.full
            )
        self.found_members = any(
            item.instance_id not in self._roster.members_by_id
            for item in message.news
        )
        effects: list[typing.Any] = []
        for item in message.news:
            effects += self._compare(now, item, message)
        if message.doubt is not None:
            effects += self._view.apply_updates(now, (message.doubt,))
        return effects + answer

    def _compare(
        self, now: float, item: MemberNews, message: ViewPart
    ) -> list[typing.Any]:
        current = self._roster.members_by_id.get(item.instance_id)
        if current is None or _is_settled(item, current):
            # A large batch is mostly known to other members, and gossiping
            # it would take minutes. Members that lack it compare views, too.
            few = len(message.news) <= BUDGET
            return self._view.apply_updates(now, (item,), spread=few)
        if message.doubt is not None and item.state is MemberState.ALIVE:
            # This instance is suspected or dead elsewhere: it was isolated
            # or frozen, and its verdicts from that time are unreliable.
            return self._view.withdraw_suspicion(now, item.instance_id)
        if item.state is MemberState.ALIVE and current.state is not item.state:
            # The member can only refute a suspicion that it receives, so it
            # has to be notified.
            self._view.contested.add(item.instance_id)
        is_alive = current.state is MemberState.ALIVE
        if message.doubt is None and is_alive and item.state != current.state:
            # The verdict may be an hour old. This instance probes the member
            # itself instead of adopting the verdict.
            self._probing.probe_soon(item.instance_id)
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
        updates = [_update_of(member, with_info) for member in members]
        to_refute = self._view.state_to_refute(other)
        effects = []
        for start in range(0, max(1, len(updates)), PART_ITEMS):
            is_last = start + PART_ITEMS >= len(updates)
            message = ViewPart(
                news=tuple(updates[start : start + PART_ITEMS]),
                buckets=wanted if is_last else (),
                doubt=to_refute,
                full=self._view.is_info_missing,
            )
            effects.append(parts.Send(to=other, message=message))
        return effects


def _is_settled(item: MemberNews, current: Member) -> bool:
    """Return whether precedence alone decides between the two states."""
    differs = version(item) != version(current)
    return differs or item.state is MemberState.LEFT


def _update_of(member: Member, with_info: bool) -> MemberNews:
    has_left = member.state is MemberState.LEFT
    return member.news(with_info=with_info and not has_left)
