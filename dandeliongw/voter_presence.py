"""What an instance knows of the presence of the voters.

Only memory holds it: an instance that has just started knows nobody. It finds
the other voters one after the other.
"""

from collections import abc
import typing

from . import effects
from . import voter_table
from .coordination import membership

Presence = voter_table.Presence

#: Seconds for which an instance may be absent until it counts as gone: a
#: restart takes two, with the time until it is suspected.
ABSENT_LIMIT_S = 2.0
#: The same for one that was never seen here, from the last time that another
#: voter was found.
UNSEEN_LIMIT_S = 1.0
#: States of a member that its own process can't refute any more, or hasn't.
_FINAL_STATES = (membership.MemberState.DEAD, membership.MemberState.LEFT)


class VoterPresence:
    """Tells voters that are gone from those that may come back.

    A voter that was never seen here may be up and not found yet. So its
    absence counts from the last time that another voter was found. Instances
    without a vote don't count: they may go on starting for longer than losses
    of voters are apart.
    """

    def __init__(self, *, members: membership.Membership) -> None:
        self._members = members
        self._absent_since_by_id: dict[str, float] = {}
        self._seen_ids: set[str] = set()
        self._last_found_at = float('-inf')
        self._logged_by_id: dict[str, Presence] = {}

    def review(
        self, now: float, instance_ids: abc.Set[str]
    ) -> list[typing.Any]:
        """Note who of the voters is absent now; log what has changed."""
        seen_ids = instance_ids & self._members.members_by_id.keys()
        if not seen_ids <= self._seen_ids:
            self._last_found_at = now
        self._seen_ids = seen_ids
        absent = instance_ids - set(self._members.alive_ids())
        self._absent_since_by_id = {
            each: self._absent_since_by_id.get(each, now) for each in absent
        }
        out = []
        logged_by_id = {}
        for each, presence in self.presence_by_id(now, instance_ids).items():
            was = self._logged_by_id.get(each, Presence.PRESENT)
            if presence is Presence.ABSENT:
                # At a start all others are absent for a moment.
                presence = was
            logged_by_id[each] = presence
            if presence is not was:
                out.append(self._log(now, each, presence))
        self._logged_by_id = logged_by_id
        return out

    def presence_by_id(
        self, now: float, instance_ids: abc.Set[str]
    ) -> dict[str, Presence]:
        """Return the presence of instances that the last review covered."""
        return {each: self._presence(now, each) for each in instance_ids}

    def _presence(self, now: float, instance_id: str) -> Presence:
        member = self._members.members_by_id.get(instance_id)
        since = self._absent_since_by_id.get(instance_id)
        if since is None:
            if member is not None and is_leaving(member):
                return Presence.LEAVING
            return Presence.PRESENT
        if member is not None and member.state in _FINAL_STATES:
            return Presence.GONE
        limit_s = ABSENT_LIMIT_S
        if member is None:
            since = max(since, self._last_found_at)
            limit_s = UNSEEN_LIMIT_S
        return Presence.GONE if now - since >= limit_s else Presence.ABSENT

    def _log(
        self, now: float, instance_id: str, presence: Presence
    ) -> effects.Log:
        member = self._members.members_by_id.get(instance_id)
        since = self._absent_since_by_id.get(instance_id, now)
        return effects.log(
            'the presence of a voter has changed',
            voter=instance_id,
            presence=presence.value,
            member_state='unseen' if member is None else member.state.name,
            absent_s=f'{now - since:.1f}',
        )


def is_leaving(member: membership.Member) -> bool:
    """Return whether a member has said that it shuts down."""
    return member.draining or member.state is membership.MemberState.LEFT
