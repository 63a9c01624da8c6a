"""An instance's view of all members, and the rules that change it.

The view changes by the instance's own probes and by updates from others.
This module decides which of the two takes precedence, starts the suspicion
timeout and queues the updates to gossip.
"""

import typing

import msgspec

from ._membership_messages import MemberChanged
from ._membership_messages import MemberForgotten
from ._membership_messages import Superseded
from ._news import NewsQueue
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
CUT_OFF_PERIODS = 3.0


class Beliefs:
    """The state of all members as seen here, with the updates to gossip.

    :param own: this instance.
    :param period_s: seconds between probes.
    :param memory_s: seconds for which dead and left members are retained.
    """

    def __init__(
        self, *, own: Member, period_s: float, memory_s: float
    ) -> None:
        self.own = own
        self.roster = Roster()
        self.roster.put(own)
        self.news = NewsQueue()
        self.news.add(own, with_info=True, urgent=False)
        #: There is an update that should not wait for the next probe.
        self.is_urgent = False
        #: An update named a member whose info, with its address, is missing
        #: here; true at first, when no other member is known.
        self.lacks_info = True
        #: Members suspected or dead here that another instance reports alive.
        self.contested: set[str] = set()
        #: Members suspected after a failed probe of this instance itself.
        self.own_suspects: set[str] = set()
        self._period_s = period_s
        self._memory_s = memory_s
        self._heard_at = 0.0
        self._unheard_verdicts: set[str] = set()
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

    def is_cut_off(self, now: float) -> bool:
        """Return whether no message has arrived for too long."""
        return now - self._heard_at > CUT_OFF_PERIODS * self._period_s

    def doubt(self, instance_id: str) -> MemberNews | None:
        """Return the suspicion or death that a member has to refute.

        ``None`` if the member is unknown, alive or has left.
        """
        held = self.roster.members_by_id.get(instance_id)
        if held is None or not _is_doubted(held):
            return None
        return held.news(with_info=False)

    def news_for(self, now: float, other: str) -> tuple[MemberNews, ...]:
        """Return the updates to piggyback on the next message to a member."""
        if self.is_cut_off(now):
            # This message may be the first one delivered after the isolation
            # and must not spread verdicts made during it.
            return ()
        count = len(self.roster.present_ids)
        news = self.news.take(self.roster.members_by_id, count)
        doubt = self.doubt(other)
        if doubt is not None:
            news.insert(0, doubt)
        return tuple(news)

    # Timers.

    def hear(self, now: float) -> list[typing.Any]:
        """Record that a message arrived; withdraw verdicts made in isolation.

        An isolated instance declares all others dead. If it kept these
        verdicts after reconnecting, it would not send work to anyone, and
        gossip of them would make all other instances suspect each other.
        """
        verdicts = self._unheard_verdicts if self.is_cut_off(now) else ()
        self._heard_at = now
        effects: list[typing.Any] = []
        for instance_id in sorted(verdicts):
            effects += self.acquit(now, instance_id)
        self._unheard_verdicts.clear()
        return effects

    def excuse(self, now: float, gap_s: float) -> None:
        """Extend running timeouts by a pause of this process."""
        self._heard_at = now
        for instance_id in self._suspicion_ends_by_id:
            self._suspicion_ends_by_id[instance_id] += gap_s

    def end_suspicions(self, now: float) -> list[typing.Any]:
        """Declare members dead that did not refute a suspicion in time."""
        effects: list[typing.Any] = []
        for instance_id, end in list(self._suspicion_ends_by_id.items()):
            if now >= end:
                effects += self._judge(now, instance_id, MemberState.DEAD)
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
        held = self.roster.members_by_id.get(instance_id)
        if not _is_alive(held):
            return []
        effects = self._judge(now, instance_id, MemberState.SUSPECT)
        self.own_suspects.add(instance_id)
        return effects

    def acquit(self, now: float, instance_id: str) -> list[typing.Any]:
        """Mark a suspected or dead member alive again, in this view only."""
        held = self.roster.members_by_id.get(instance_id)
        if held is None or not _is_doubted(held):
            return []
        alive = msgspec.structs.replace(held, state=MemberState.ALIVE)
        return self._believe(now, alive, spread=False)

    def _judge(
        self, now: float, instance_id: str, state: MemberState
    ) -> list[typing.Any]:
        self._unheard_verdicts.add(instance_id)
        held = self.roster.members_by_id[instance_id]
        judged = msgspec.structs.replace(held, state=state)
        return self._believe(now, judged, spread=not self.is_cut_off(now))

    # Updates.

    def learn(
        self,
        now: float,
        news: tuple[MemberNews, ...],
        *,
        spread: bool = True,
    ) -> list[typing.Any]:
        """Apply updates, which may be stale.

        :param spread: whether to gossip those that changed the view.
        """
        effects: list[typing.Any] = []
        for item in news:
            if item.instance_id == self.own.instance_id:
                effects += self._learn_of_self(now, item)
            else:
                effects += self._learn_item(now, item, spread=spread)
        return effects

    def _learn_item(
        self, now: float, item: MemberNews, *, spread: bool
    ) -> list[typing.Any]:
        held = self.roster.members_by_id.get(item.instance_id)
        if held is not None and rank(item) <= rank(held):
            return []
        info = _known_info(item, held)
        if info is None:
            # The address is missing; a view comparison supplies it.
            self.lacks_info = True
            return []
        state = item.state
        if state is MemberState.DEAD and _is_alive(held):
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
        return self._believe(now, member, spread=spread)

    def _learn_of_self(self, now: float, item: MemberNews) -> list[typing.Any]:
        if item.incarnation > self.own.incarnation:
            return [Superseded(incarnation=item.incarnation)]
        has_left = self.own.state is MemberState.LEFT
        if has_left or rank(item) <= rank(self.own):
            return []
        # Either a suspicion, or a revision of this incarnation that is
        # higher than the current one: a still higher revision overrides it.
        return self._believe_own(now, revision=item.revision + 1)

    def state_own(self, now: float, **changes: typing.Any) -> list[typing.Any]:
        """Change the state that this instance publishes about itself."""
        changed = msgspec.structs.replace(self.own, **changes)
        if changed == self.own or self.own.state is MemberState.LEFT:
            return []
        revision = self.own.revision + 1
        return self._believe_own(now, **changes, revision=revision)

    def _believe_own(
        self, now: float, **changes: typing.Any
    ) -> list[typing.Any]:
        self.own = msgspec.structs.replace(self.own, **changes)
        return self._believe(now, self.own, spread=True)

    def _believe(
        self, now: float, member: Member, *, spread: bool
    ) -> list[typing.Any]:
        """Store a member's state, queue it for gossip, set its timers."""
        held = self.roster.members_by_id.get(member.instance_id)
        self.roster.put(member)
        self._keep_clocks(now, member)
        if spread:
            urgent = _is_urgent(held, member)
            self.is_urgent = self.is_urgent or urgent
            with_info = _is_new_process(held, member)
            self.news.add(member, with_info=with_info, urgent=urgent)
        return [MemberChanged(member=member)]

    def _keep_clocks(self, now: float, member: Member) -> None:
        instance_id = member.instance_id
        if member.state is MemberState.SUSPECT:
            self._suspicion_ends_by_id[instance_id] = now + self.suspicion_s
        else:
            self._suspicion_ends_by_id.pop(instance_id, None)
            self.own_suspects.discard(instance_id)
        if not _is_doubted(member):
            self.contested.discard(instance_id)
        if member.state in (MemberState.DEAD, MemberState.LEFT):
            self._forget_at_by_id[instance_id] = now + self._memory_s
        else:
            self._forget_at_by_id.pop(instance_id, None)


def _is_doubted(member: Member) -> bool:
    return member.state in (MemberState.SUSPECT, MemberState.DEAD)


def _is_alive(member: Member | None) -> bool:
    return member is not None and member.state is MemberState.ALIVE


def _is_new_process(held: Member | None, member: Member) -> bool:
    if held is None or held.info != member.info:
        return True
    return held.incarnation != member.incarnation


def _is_urgent(held: Member | None, member: Member) -> bool:
    """Return whether an update must be sent before the next probe.

    Clients must not be sent to an instance that leaves or drains. A suspected
    member needs its time for the refutation, which waiting for the next probe
    would shorten.
    """
    if held is None:
        return False
    if member.state is not held.state and member.state is not MemberState.DEAD:
        return True
    return member.draining and not held.draining


def _known_info(item: MemberNews, held: Member | None) -> InstanceInfo | None:
    if item.info is not None:
        return item.info
    if item.state is MemberState.LEFT:
        return held.info if held is not None else NO_INFO
    if held is not None and held.incarnation == item.incarnation:
        return held.info if held.info != NO_INFO else None
    return None
