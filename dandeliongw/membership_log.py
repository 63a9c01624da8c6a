"""Logs changes of the membership states, at a bounded rate."""

import collections

from . import decisions
from . import effects
from .coordination import membership

#: Most lines about single members in one window. There are more changes when
#: many instances start, leave or fail together: each of 200 instances would
#: then write 200 lines, although the lines of one instance show everything.
MAX_LINES = 10
#: Length of a window in seconds.
WINDOW_S = 1.0
#: Most members listed by id in the summary line of a window.
MAX_NAMED = 20

#: The logged status of a member: state, incarnation, whether it drains.
_Status = tuple[membership.MemberState, int, bool]


class MembershipLog:
    """Logs each change of a member's status, or many changes in one line."""

    def __init__(self) -> None:
        #: The status of each member that was last logged.
        self._statuses_by_id: dict[str, _Status] = {}
        self._window_ends = 0.0
        self._lines = 0
        #: States of the members that have no line of their own in this window.
        self._suppressed: dict[str, membership.MemberState] = {}

    def record(
        self, now: float, member: membership.Member
    ) -> list[effects.Log]:
        """Return a line on a member whose status has changed.

        Lines beyond :data:`MAX_LINES` in a window are suppressed; :meth:`tick`
        returns a summary of them. The result includes the summary of the
        window before, if that is due.
        """
        status = (member.state, member.incarnation, member.draining)
        was = self._statuses_by_id.get(member.instance_id)
        if status == was:
            return []
        self._statuses_by_id[member.instance_id] = status
        lines = self.tick(now)
        if self._lines >= MAX_LINES:
            self._suppressed[member.instance_id] = member.state
            return lines
        self._lines += 1
        line = decisions.MemberStateChanged(
            peer=member.instance_id,
            state=member.state.name.lower(),
            was=was[0].name.lower() if was else 'unknown',
            incarnation=member.incarnation,
            draining=member.draining,
        )
        return [*lines, line.log()]

    def forget(self, instance_id: str) -> None:
        """Remove a member; its next status is logged as new."""
        self._statuses_by_id.pop(instance_id, None)

    def tick(self, now: float) -> list[effects.Log]:
        """Return the summary of the suppressed lines at a window's end."""
        if now < self._window_ends:
            return []
        self._window_ends = now + WINDOW_S
        self._lines = 0
        suppressed, self._suppressed = self._suppressed, {}
        if not suppressed:
            return []
        counts = collections.Counter(suppressed.values())
        named = sorted(suppressed)[:MAX_NAMED]
        line = decisions.MemberStatesChanged(
            peers=', '.join(named),
            not_named=len(suppressed) - len(named),
            alive=counts[membership.MemberState.ALIVE],
            suspect=counts[membership.MemberState.SUSPECT],
            dead=counts[membership.MemberState.DEAD],
            left=counts[membership.MemberState.LEFT],
        )
        return [line.log()]
