"""News of members that waits to travel with other messages."""

import math

from ._roster import Member
from ._roster import MemberNews
from ._roster import MemberState

#: Each item travels with about this many times log2(members) messages. With
#: 3, an item misses a member of 350 in fewer than one case in a million.
SPREAD_FACTOR = 3
#: What one message carries: an item costs 1, or 4 with the info of a member.
BUDGET = 8
INFO_COST = 4


class NewsQueue:
    """The latest news of each member, sent a bounded number of times.

    Without the bounds the bytes of an instance would grow with the number
    of members, and a burst of changes would push the heartbeats aside.
    """

    def __init__(self) -> None:
        self._sent_by_id: dict[str, int] = {}
        self._info_ids: set[str] = set()
        self._urgent_ids: set[str] = set()

    def add(self, member: Member, *, with_info: bool, urgent: bool) -> None:
        """Spread a belief; it takes the place of an earlier one.

        :param urgent: goes before all that is not.
        """
        # Taken out first, so that the dictionary stays in order of age.
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
        """Return what goes with the next message, the least sent first.

        :param members_by_id: the beliefs as they are now.
        :param count: of members, for the number of times an item is sent.
        """
        if not self._sent_by_id:
            return []
        limit = SPREAD_FACTOR * max(1, math.ceil(math.log2(count + 1)))
        taken, left = [], BUDGET
        # Among equals the newest goes first: a refutation can't wait.
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
