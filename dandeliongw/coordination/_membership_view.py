"""An instance's view of all members, and the rules that change it.

The view changes by the instance's own probes and by updates from others.
This module decides which of the two takes precedence, starts the suspicion
timeout and queues the updates to gossip.
"""

import typing

import msgspec

from ._gossip_queue import GossipQueue
from ._membership_messages import MemberChanged
from ._membership_messages import MemberForgotten
from ._membership_messages import Superseded
from ._roster import InstanceInfo
from ._roster import Member
from ._roster import MemberNews
from ._roster import MemberState
from ._roster import NO_INFO
from ._roster import rank
from ._roster import Roster

#: Periods that a suspected member has to refute the suspicion. An update
#: takes periods in the order of the logarithm of the number of members to
#: reach it, and its refutation as long to return.
SUSPICION_PERIODS = 3.0
SUSPICION_PERIODS_PER_DOUBLING = 0.5
#: Periods without any received message after which an instance considers
#: itself isolated.
ISOLATED_PERIODS = 3.0


class MembershipView:
    """The state of all members as seen here, with the updates to gossip.

    :param own: this instance.
    :param period_s: seconds between probes.
    :param retention_s: seconds for which dead and left members are retained.
    """

    def __init__(
        self, *, own: Member, period_s: float, retention_s: float
    ) -> None:
        self.own = own
        self.roster = Roster()
        self.roster.put(own)
        self.gossip_queue = GossipQueue()
        self.gossip_queue.add(own, with_info=True, urgent=False)
        #: There is an update that should not wait for the next probe.
        self.is_urgent = False
        #: An update named a member whose info, with its address, is missing
        #: here; true at first, when no other member is known.
        self.is_info_missing = True
        #: Members suspected or dead here that another instance reports alive.
        self.contested: set[str] = set()
        #: Members suspected after a failed probe of this instance itself.
        self.suspected_here: set[str] = set()
        self._period_s = period_s
        self._retention_s = retention_s
        self._received_at = 0.0
        self._verdicts_since_message: set[str] = set()
        self._suspicion_ends_by_id: dict[str, float] = {}
        self._forget_at_by_id: dict[str, float] = {}

    # Accessors.

    @property
    def others(self) -> set[str]:
        """The other members that are alive or suspected."""
        return self.roster.present_ids - {self.own.instance_id}

    @property
    def dead_ids(self) -> set[str]:
        """Dead members that are still retained."""
        return {
            instance_id
            for instance_id in self._forget_at_by_id
            if self.roster.members_by_id[instance_id].state is MemberState.DEAD
        }

    @property
    def suspicion_s(self) -> float:
        """Seconds that a suspected member has to refute the suspicion."""
        doublings = len(self.roster.present_ids).bit_length()
        periods = SUSPICION_PERIODS
        periods += SUSPICION_PERIODS_PER_DOUBLING * doublings
        return periods * self._period_s

    def is_isolated(self, now: float) -> bool:
        """Return whether no message has arrived for too long."""
        return now - self._received_at > ISOLATED_PERIODS * self._period_s

    def state_to_refute(self, instance_id: str) -> MemberNews | None:
        """Return the suspicion or death that a member has to refute.

        ``None`` if the member is unknown, alive or has left.
        """
        current = self.roster.members_by_id.get(instance_id)
        if current is None or not _is_suspect_or_dead(current):
            return None
        return current.news(with_info=False)

    def updates_for(self, now: float, other: str) -> tuple[MemberNews, ...]:
        """Return the updates to piggyback on the next message to a member."""
        if self.is_isolated(now):
            # This message may be the first one delivered after the isolation
            # and must not spread verdicts made during it.
            return ()
        count = len(self.roster.present_ids)
        updates = self.gossip_queue.take(self.roster.members_by_id, count)
        to_refute = self.state_to_refute(other)
        if to_refute is not None:
            updates.insert(0, to_refute)
        return tuple(updates)

    # Timers.

    def on_message(self, now: float) -> list[typing.Any]:
        """Record that a message arrived; withdraw verdicts made in isolation.

        An isolated instance declares all others dead. If it kept these
        verdicts after reconnecting, it would not send work to anyone, and
        gossip of them would make all other instances suspect each other.
        """
        verdicts = (
            self._verdicts_since_message if self.is_isolated(now) else ()
        )
        self._received_at = now
        effects: list[typing.Any] = []
        for instance_id in sorted(verdicts):
            effects += self.withdraw_suspicion(now, instance_id)
        self._verdicts_since_message.clear()
        return effects

    def extend_timeouts(self, now: float, gap_s: float) -> None:
        """Extend running timeouts by a pause of this process."""
        self._received_at = now
        for instance_id in self._suspicion_ends_by_id:
            self._suspicion_ends_by_id[instance_id] += gap_s

    def expire_suspicions(self, now: float) -> list[typing.Any]:
        """Declare members dead that did not refute a suspicion in time."""
        effects: list[typing.Any] = []
        for instance_id, end in list(self._suspicion_ends_by_id.items()):
            if now >= end:
                effects += self._set_state(now, instance_id, MemberState.DEAD)
        return effects

    def forget(self, now: float) -> list[typing.Any]:
        """Remove dead and left members whose retention time is over."""
        effects = []
        for instance_id, end in list(self._forget_at_by_id.items()):
            if now >= end:
                del self._forget_at_by_id[instance_id]
                self.roster.remove(instance_id)
                effects.append(MemberForgotten(instance_id=instance_id))
        return effects

    # Verdicts.

    def suspect(self, now: float, instance_id: str) -> list[typing.Any]:
        """Suspect a member that did not acknowledge a probe."""
        current = self.roster.members_by_id.get(instance_id)
        if not _is_alive(current):
            return []
        effects = self._set_state(now, instance_id, MemberState.SUSPECT)
        self.suspected_here.add(instance_id)
        return effects

    def withdraw_suspicion(
        self, now: float, instance_id: str
    ) -> list[typing.Any]:
        """Mark a suspected or dead member alive again, in this view only."""
        current = self.roster.members_by_id.get(instance_id)
        if current is None or not _is_suspect_or_dead(current):
            return []
        alive = msgspec.structs.replace(current, state=MemberState.ALIVE)
        return self._set_member(now, alive, spread=False)

    def _set_state(
        self, now: float, instance_id: str, state: MemberState
    ) -> list[typing.Any]:
        self._verdicts_since_message.add(instance_id)
        current = self.roster.members_by_id[instance_id]
        judged = msgspec.structs.replace(current, state=state)
        return self._set_member(now, judged, spread=not self.is_isolated(now))

    # Updates.

    def apply_updates(
        self,
        now: float,
        updates: tuple[MemberNews, ...],
        *,
        spread: bool = True,
    ) -> list[typing.Any]:
        """Apply updates, which may be stale.

        :param spread: whether to gossip those that changed the view.
        """
        effects: list[typing.Any] = []
        for item in updates:
            if item.instance_id == self.own.instance_id:
                effects += self._apply_own_update(now, item)
            else:
                effects += self._apply_update(now, item, spread=spread)
        return effects

    def _apply_update(
        self, now: float, item: MemberNews, *, spread: bool
    ) -> list[typing.Any]:
        current = self.roster.members_by_id.get(item.instance_id)
        if current is not None and rank(item) <= rank(current):
            return []
        info = _resolve_info(item, current)
        if info is None:
            # The address is missing; a view comparison supplies it.
            self.is_info_missing = True
            return []
        state = item.state
        if state is MemberState.DEAD and _is_alive(current):
            # The member gets time to refute the verdict here, too. Otherwise
            # one isolated instance could remove all members everywhere.
            state = MemberState.SUSPECT
        member = Member(
            instance_id=item.instance_id,
            info=info,
            state=state,
            incarnation=item.incarnation,
            revision=item.revision,
            draining=item.draining,
            serving=item.serving,
        )
        return self._set_member(now, member, spread=spread)

    def _apply_own_update(
        self, now: float, item: MemberNews
    ) -> list[typing.Any]:
        if item.incarnation > self.own.incarnation:
            return [Superseded(incarnation=item.incarnation)]
        has_left = self.own.state is MemberState.LEFT
        if has_left or rank(item) <= rank(self.own):
            return []
        # Either a suspicion, or a revision of this incarnation that is
        # higher than the current one: a still higher revision overrides it.
        return self._set_own(now, revision=item.revision + 1)

    def update_own(
        self, now: float, **changes: typing.Any
    ) -> list[typing.Any]:
        """Change the state that this instance publishes about itself."""
        changed = msgspec.structs.replace(self.own, **changes)
        if changed == self.own or self.own.state is MemberState.LEFT:
            return []
        revision = self.own.revision + 1
        return self._set_own(now, **changes, revision=revision)

    def _set_own(self, now: float, **changes: typing.Any) -> list[typing.Any]:
        self.own = msgspec.structs.replace(self.own, **changes)
        return self._set_member(now, self.own, spread=True)

    def _set_member(
        self, now: float, member: Member, *, spread: bool
    ) -> list[typing.Any]:
        """Store a member's state, queue it for gossip, set its timers."""
        current = self.roster.members_by_id.get(member.instance_id)
        self.roster.put(member)
        self._set_timers(now, member)
        if spread:
            urgent = _is_urgent(current, member)
            self.is_urgent = self.is_urgent or urgent
            with_info = _is_new_process(current, member)
            self.gossip_queue.add(member, with_info=with_info, urgent=urgent)
        return [MemberChanged(member=member)]

    def _set_timers(self, now: float, member: Member) -> None:
        instance_id = member.instance_id
        if member.state is MemberState.SUSPECT:
            self._suspicion_ends_by_id[instance_id] = now + self.suspicion_s
        else:
            self._suspicion_ends_by_id.pop(instance_id, None)
            self.suspected_here.discard(instance_id)
        if not _is_suspect_or_dead(member):
            self.contested.discard(instance_id)
        if member.state in (MemberState.DEAD, MemberState.LEFT):
            self._forget_at_by_id[instance_id] = now + self._retention_s
        else:
            self._forget_at_by_id.pop(instance_id, None)


def _is_suspect_or_dead(member: Member) -> bool:
    return member.state in (MemberState.SUSPECT, MemberState.DEAD)


def _is_alive(member: Member | None) -> bool:
    return member is not None and member.state is MemberState.ALIVE


def _is_new_process(current: Member | None, member: Member) -> bool:
    if current is None or current.info != member.info:
        return True
    return current.incarnation != member.incarnation


def _is_urgent(current: Member | None, member: Member) -> bool:
    """Return whether an update must be sent before the next probe.

    Clients must not be sent to an instance that leaves or drains. A suspected
    member needs its time for the refutation, which waiting for the next probe
    would shorten.
    """
    if current is None:
        return False
    if (
        member.state is not current.state
        and member.state is not MemberState.DEAD
    ):
        return True
    return member.draining and not current.draining


def _resolve_info(
    item: MemberNews, current: Member | None
) -> InstanceInfo | None:
    if item.info is not None:
        return item.info
    if item.state is MemberState.LEFT:
        return current.info if current is not None else NO_INFO
    if current is not None and current.incarnation == item.incarnation:
        return current.info if current.info != NO_INFO else None
    return None
