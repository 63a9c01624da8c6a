"""How an instance comes to believe something of a member.

It judges by its own probes, or hears news. This module decides which of
both counts, starts the time to refute, and queues what others should hear.
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

#: Periods that a suspected member has to refute; news needs about the
#: logarithm of the number of members to reach it, and as long to come back.
SUSPICION_PERIODS = 3.0
SUSPICION_PERIODS_PER_DOUBLING = 0.5
#: Periods without any message after which an instance counts as cut off.
CUT_OFF_PERIODS = 3.0


class Beliefs:
    """What is believed of all members, and what is to be told of it.

    :param own: this instance.
    :param period_s: seconds between probes.
    :param memory_s: seconds that dead and left members are remembered.
    """

    def __init__(
        self, *, own: Member, period_s: float, memory_s: float
    ) -> None:
        self.own = own
        self.roster = Roster()
        self.roster.put(own)
        self.news = NewsQueue()
        self.news.add(own, with_info=True, urgent=False)
        #: There is news that should not wait for the next probe.
        self.is_urgent = False
        #: News came of a member that this instance can't reach without its
        #: info; true at first, for it knows nobody.
        self.lacks_info = True
        #: Members that are doubted here and alive for another instance.
        self.contested: set[str] = set()
        #: Members that this instance itself suspected.
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
        """Members, but this one, that are alive or suspected."""
        return self.roster.present_ids - {self.own.instance_id}

    @property
    def dead_ids(self) -> set[str]:
        """Members that are remembered as dead."""
        return {
            instance_id
            for instance_id in self._forget_at_by_id
            if self.roster.members_by_id[instance_id].state is MemberState.DEAD
        }

    @property
    def suspicion_s(self) -> float:
        """Seconds that a suspected member has to refute it."""
        doublings = len(self.roster.present_ids).bit_length()
        periods = SUSPICION_PERIODS
        periods += SUSPICION_PERIODS_PER_DOUBLING * doublings
        return periods * self._period_s

    def is_cut_off(self, now: float) -> bool:
        """Return whether nobody was heard for too long."""
        return now - self._heard_at > CUT_OFF_PERIODS * self._period_s

    def doubt(self, instance_id: str) -> MemberNews | None:
        """Return what a member has to hear to refute it."""
        held = self.roster.members_by_id.get(instance_id)
        if held is None or not _is_doubted(held):
            return None
        return held.news(with_info=False)

    def news_for(self, now: float, other: str) -> tuple[MemberNews, ...]:
        """Return what goes with the next message to a member."""
        if self.is_cut_off(now):
            # What is sent now may be the first that gets through again.
            return ()
        count = len(self.roster.present_ids)
        news = self.news.take(self.roster.members_by_id, count)
        doubt = self.doubt(other)
        if doubt is not None:
            news.insert(0, doubt)
        return tuple(news)

    # Time.

    def hear(self, now: float) -> list[typing.Any]:
        """Note that a message came; withdraw verdicts of a silent time.

        An instance that is cut off finds everyone dead. If it kept to that
        when it is back, it would send no work to anyone, and its news would
        make all others doubt each other.
        """
        verdicts = self._unheard_verdicts if self.is_cut_off(now) else ()
        self._heard_at = now
        effects: list[typing.Any] = []
        for instance_id in sorted(verdicts):
            effects += self.acquit(now, instance_id)
        self._unheard_verdicts.clear()
        return effects

    def excuse(self, now: float, gap_s: float) -> None:
        """Take a pause of this process out of all that runs."""
        self._heard_at = now
        for instance_id in self._suspicion_ends_by_id:
            self._suspicion_ends_by_id[instance_id] += gap_s

    def end_suspicions(self, now: float) -> list[typing.Any]:
        """Declare dead who did not refute in time."""
        effects: list[typing.Any] = []
        for instance_id, end in list(self._suspicion_ends_by_id.items()):
            if now >= end:
                effects += self._judge(now, instance_id, MemberState.DEAD)
        return effects

    def forget(self, now: float) -> list[typing.Any]:
        """Forget who died or left long ago."""
        effects = []
        for instance_id, end in list(self._forget_at_by_id.items()):
            if now >= end:
                del self._forget_at_by_id[instance_id]
                self.roster.remove(instance_id)
                effects.append(MemberForgotten(instance_id=instance_id))
        return effects

    # Verdicts.

    def suspect(self, now: float, instance_id: str) -> list[typing.Any]:
        """Suspect a member that did not acknowledge."""
        held = self.roster.members_by_id.get(instance_id)
        if not _is_alive(held):
            return []
        effects = self._judge(now, instance_id, MemberState.SUSPECT)
        self.own_suspects.add(instance_id)
        return effects

    def acquit(self, now: float, instance_id: str) -> list[typing.Any]:
        """Take a doubt of this instance alone back."""
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

    # News.

    def learn(
        self,
        now: float,
        news: tuple[MemberNews, ...],
        *,
        spread: bool = True,
    ) -> list[typing.Any]:
        """Take news that may be old; pass on what was new."""
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
            # Not enough to reach it; a comparison brings the rest.
            self.lacks_info = True
            return []
        state = item.state
        if state is MemberState.DEAD and _is_alive(held):
            # The member gets time to refute here too, or one instance that
            # was cut off could remove all others everywhere.
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
        # A suspicion, or a statement that this process has lost count of: a
        # higher revision refutes it.
        return self._believe_own(now, revision=item.revision + 1)

    def state_own(self, now: float, **changes: typing.Any) -> list[typing.Any]:
        """Change what this instance says of itself."""
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
        """Hold a belief, spread it and keep the clocks that go with it."""
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
    """Return whether others must hear before the next probe tells them.

    Callers must not be sent to who leaves or drains, and who is suspected
    needs its time for the refutation, not for hearing of the suspicion.
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
