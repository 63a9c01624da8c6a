"""What is believed of other instances, as log lines in bounded number."""

import collections

from . import decisions
from . import effects
from .coordination import membership

#: Lines about single members in one second. More come when many start, leave
#: or are lost together; each of 200 instances would write 200 lines then, of
#: which one instance's tell it all.
MOST_LINES = 10
#: Seconds in which they are counted.
WINDOW_S = 1.0
#: Members named in the line about all others of a window.
MOST_NAMED = 20

#: What a line tells of a member: state, incarnation, whether it drains.
_Belief = tuple[membership.MemberState, int, bool]


class Sightings:
    """Logs each change of a belief, or many changes in one line."""

    def __init__(self) -> None:
        #: What was last logged of each member.
        self._beliefs_by_id: dict[str, _Belief] = {}
        self._window_ends = 0.0
        self._lines = 0
        #: Members of this window that got no line of their own.
        self._left_out: dict[str, membership.MemberState] = {}

    def note(self, now: float, member: membership.Member) -> list[effects.Log]:
        """Return the line on a belief, if it is another one than before."""
        belief = (member.state, member.incarnation, member.draining)
        was = self._beliefs_by_id.get(member.instance_id)
        if belief == was:
            return []
        self._beliefs_by_id[member.instance_id] = belief
        lines = self.tick(now)
        if self._lines >= MOST_LINES:
            self._left_out[member.instance_id] = member.state
            return lines
        self._lines += 1
        line = decisions.MemberBelieved(
            peer=member.instance_id,
            state=member.state.name.lower(),
            was=was[0].name.lower() if was else 'unknown',
            incarnation=member.incarnation,
            draining=member.draining,
        )
        return [*lines, line.log()]

    def forget(self, instance_id: str) -> None:
        """Forget a member."""
        self._beliefs_by_id.pop(instance_id, None)

    def tick(self, now: float) -> list[effects.Log]:
        """Return the line on what a window left out, once it is over."""
        if now < self._window_ends:
            return []
        self._window_ends = now + WINDOW_S
        self._lines = 0
        left_out, self._left_out = self._left_out, {}
        if not left_out:
            return []
        counts = collections.Counter(left_out.values())
        named = sorted(left_out)[:MOST_NAMED]
        line = decisions.MembersBelieved(
            peers=', '.join(named),
            not_named=len(left_out) - len(named),
            alive=counts[membership.MemberState.ALIVE],
            suspect=counts[membership.MemberState.SUSPECT],
            dead=counts[membership.MemberState.DEAD],
            left=counts[membership.MemberState.LEFT],
        )
        return [line.log()]
