"""The queue of membership updates to piggyback on other messages."""

import math

from ._roster import Member
from ._roster import MemberNews
from ._roster import MemberState

#: Each update is sent about this many times log2(members) times. With 3, and
#: 350 members, an update misses a member with a probability of less than one
#: in a million.
SPREAD_FACTOR = 3
#: Capacity of one message for updates: each costs 1, or ``INFO_COST`` if it
#: contains the info of the member.
BUDGET = 8
INFO_COST = 4


class GossipQueue:
    """The latest update of each member, sent a bounded number of times.

    Without the bounds an instance's traffic would grow with the number of
    members, and a burst of changes would delay the heartbeats.
    """

    def __init__(self) -> None:
        self._sent_by_id: dict[str, int] = {}
        self._info_ids: set[str] = set()
        self._urgent_ids: set[str] = set()

    def add(self, member: Member, *, with_info: bool, urgent: bool) -> None:
        """Queue the update of a member, replacing an earlier one.

        :param urgent: send it before all updates that are not urgent.
        """
        # Removed first, so that the dictionary stays ordered by age.
        self._sent_by_id.pop(member.instance_id, None)
        self._sent_by_id[member.instance_id] = 0
        if with_info and member.state is not MemberState.LEFT:
            self._info_ids.add(member.instance_id)
        if urgent:
            self._urgent_ids.add(member.instance_id)

    def __len__(self) -> int:
        return len(self._sent_by_id)

    def take(
        self, members_by_id: dict[str, Member], count: int
    ) -> list[MemberNews]:
        """Return the updates for the next message, the least sent first.

        :param members_by_id: the current states, which are what is sent.
        :param count: number of members, which determines how many times an
            update is sent.
        """
        if not self._sent_by_id:
            return []
        limit = SPREAD_FACTOR * max(1, math.ceil(math.log2(count + 1)))
        taken, left = [], BUDGET
        # Among updates sent equally often the newest goes first, because a
        # refutation must not be delayed.
        waiting = sorted(reversed(self._sent_by_id), key=self._order)
        for instance_id in waiting:
            with_info = instance_id in self._info_ids
            left -= INFO_COST if with_info else 1
            if left < 0:
                break
            member = members_by_id.get(instance_id)
            if member is not None:
                taken.append(member.news(with_info=with_info))
            self._count(instance_id, limit)
        return taken

    def _order(self, instance_id: str) -> tuple[bool, int]:
        is_urgent = instance_id in self._urgent_ids
        return not is_urgent, self._sent_by_id[instance_id]

    def _count(self, instance_id: str, limit: int) -> None:
        self._sent_by_id[instance_id] += 1
        if self._sent_by_id[instance_id] >= limit:
            del self._sent_by_id[instance_id]
            self._info_ids.discard(instance_id)
            self._urgent_ids.discard(instance_id)
