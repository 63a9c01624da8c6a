"""Which instances are members, and which of them are alive.

Each instance probes one member a period, in rounds over all members in
shuffled order. Without an acknowledgement it asks some others to probe and
tries again over a *new* connection, and only then suspects the member. A
suspected member has time to refute it; then it counts as dead. News of
members travels with the probes and their acknowledgements, a bounded number
of times each, so that an instance's cost does not grow with their number.

What gossip missed is found by hashes: every probe carries one hash over the
sender's beliefs, and instances that differ compare groups of members.

Nothing here proves that a member is dead: it may be frozen or cut off. Work
that must not run twice needs a lease, never this.
"""

from collections import abc
import dataclasses
import random
import typing

from . import parts
from ._membership_messages import Gossip
from ._membership_messages import IndirectAck
from ._membership_messages import IndirectProbe
from ._membership_messages import Leave
from ._membership_messages import MemberChanged
from ._membership_messages import MemberForgotten
from ._membership_messages import MESSAGES
from ._membership_messages import Probe
from ._membership_messages import ProbeAck
from ._membership_messages import Reconnect
from ._membership_messages import SetDraining
from ._membership_messages import SetServing
from ._membership_messages import Superseded
from ._membership_messages import ViewHashes
from ._membership_messages import ViewPart
from ._news import NewsQueue
from ._roster import InstanceInfo
from ._roster import Member
from ._roster import MemberNews
from ._roster import MemberState
from ._roster import NO_INFO
from ._roster import rank
from ._roster import Roster
from ._roster import version

__all__ = [
    'Entry',
    'Gossip',
    'IndirectAck',
    'IndirectProbe',
    'InstanceInfo',
    'Leave',
    'MESSAGES',
    'Member',
    'MemberChanged',
    'MemberForgotten',
    'MemberNews',
    'MemberState',
    'Membership',
    'Probe',
    'ProbeAck',
    'Reconnect',
    'SetDraining',
    'SetServing',
    'Superseded',
    'ViewHashes',
    'ViewPart',
]

#: Seconds between two probes of an instance.
PERIOD_S = 1.0
#: Others that are asked to probe a silent member.
HELPERS = 3
#: Part of the period after which a probe is tried in other ways. It has to
#: be longer than a round trip between regions.
ACK_SHARE = 0.3
#: Periods that a suspected member has to refute; news needs about the
#: logarithm of the number of members to reach it, see ``suspicion_s``.
SUSPICION_PERIODS = 3.0
SUSPICION_PERIODS_PER_DOUBLING = 0.5
#: Members that hear of a leave or of draining at once from each that learns.
URGENT_FANOUT = 3
#: Seconds between two bursts of urgent news of one instance.
URGENT_GAP_S = 0.2
#: Periods between two tries to reach a dead member or an unseen seed.
ABSENT_PERIODS = 10.0
#: Periods between two comparisons of beliefs that an instance starts.
COMPARE_PERIODS = 5.0
#: Seconds that dead and left members are remembered: longer than regions
#: lose each other, because an instance cut off for that long still believes
#: the leaver alive and says so when it is back.
MEMORY_S = 24 * 3600.0
#: Items of one message that answers a comparison.
PART_ITEMS = 32
#: Periods without any message after which an instance counts as cut off.
CUT_OFF_PERIODS = 3.0
#: Members that a leaver tells at once.
LEAVE_FANOUT = 8
_MAX_SEQUENCE = 2**32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """An instance that callers may use."""

    instance_id: str
    callers_address: str
    data_centre: str
    region: str


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pending:
    """A probe without an acknowledgement yet."""

    target: str
    retry_at: float
    verdict_at: float
    retried: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Errand:
    """A probe on behalf of another instance."""

    origin: str
    sequence: int
    expires_at: float


class Membership:
    """The coordination part; see the module for the protocol.

    :param instance_id: this instance.
    :param incarnation: higher than that of any earlier process of it.
    :param self_info: what this instance tells the others of itself.
    :param seeds_by_id: instances to contact first; this one may be among
        them.
    :param period_s: seconds between probes.
    :param memory_s: seconds that dead and left members are remembered.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        incarnation: int,
        self_info: InstanceInfo,
        seeds_by_id: dict[str, InstanceInfo],
        period_s: float = PERIOD_S,
        memory_s: float = MEMORY_S,
    ) -> None:
        self.instance_id = instance_id
        self.period_s = period_s
        self._memory_s = memory_s
        self._seeds_by_id = {
            seed_id: info
            for seed_id, info in seeds_by_id.items()
            if seed_id != instance_id
        }
        self._roster = Roster()
        self._news = NewsQueue()
        self._own = Member(
            instance_id=instance_id,
            info=self_info,
            state=MemberState.ALIVE,
            incarnation=incarnation,
            revision=0,
        )
        self._roster.put(self._own)
        self._news.add(self._own, with_info=True, urgent=False)
        self._random = random.Random(0)
        self._ticked_at: float | None = None
        self._round: list[str] = []
        self._probe_at = 0.0
        self._absent_at = 0.0
        self._compare_at = 0.0
        self._urgent = False
        self._urgent_at = 0.0
        self._sequence = 0
        self._pending_by_sequence: dict[int, _Pending] = {}
        self._errands_by_sequence: dict[int, _Errand] = {}
        self._suspicion_ends_by_id: dict[str, float] = {}
        self._own_suspects: set[str] = set()
        self._forget_at_by_id: dict[str, float] = {}
        self._heard_at = 0.0
        self._unheard_verdicts: set[str] = set()

    # Accessors.

    @property
    def members_by_id(self) -> dict[str, Member]:
        """Every member that is remembered, this instance included."""
        return self._roster.members_by_id

    def alive_ids(self) -> list[str]:
        """Return who counts as alive, sorted; suspected members do not."""
        return sorted(
            instance_id
            for instance_id in self._roster.present_ids
            if self.members_by_id[instance_id].state is MemberState.ALIVE
        )

    def entries(self, now: float) -> list[Entry]:
        """Return the instances that callers may use.

        A member is told alive by its acknowledgements, so one that is cut
        off drops out after the time to detect it, with the last thing that
        it said of itself. This instance answers only for itself when its
        own ticks are late, for then all it knows is old.
        """
        stale = self._is_late(now)
        return [
            _entry(self.members_by_id[instance_id])
            for instance_id in self.alive_ids()
            if _may_serve(self.members_by_id[instance_id])
            and not (stale and instance_id != self.instance_id)
        ]

    @property
    def suspicion_s(self) -> float:
        """Seconds that a suspected member has to refute it."""
        doublings = len(self._roster.present_ids).bit_length()
        periods = SUSPICION_PERIODS
        periods += SUSPICION_PERIODS_PER_DOUBLING * doublings
        return periods * self.period_s

    # The part.

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Change state by an event and return effects, to do in order."""
        match event:
            case parts.Ticked():
                return self._tick(event)
            case parts.Received():
                return self._receive(event)
            case SetServing():
                return self._state_own(event.now, serving=event.serving)
            case SetDraining():
                return self._state_own(event.now, draining=event.draining)
            case Leave():
                return self._leave(event.now)
        raise TypeError(f'membership does not know {type(event).__name__}')

    def restore(self, record: typing.Any) -> None:
        """Do nothing: members are learned again at each start."""

    def snapshot(self) -> tuple[typing.Any, ...]:
        """Return nothing to keep."""
        return ()

    # Time.

    def _tick(self, event: parts.Ticked) -> list[typing.Any]:
        now = event.now
        self._random.seed(event.entropy)
        if self._ticked_at is None:
            self._start(now)
        elif self._is_late(now):
            self._excuse(now, now - self._ticked_at)
        self._ticked_at = now
        if self._own.state is MemberState.LEFT:
            return self._send_urgent(now)
        effects = self._check_pending(now)
        effects += self._end_suspicions(now)
        effects += self._probe_next(now)
        effects += self._contact_absent(now)
        effects += self._send_urgent(now)
        effects += self._forget(now)
        return effects

    def _start(self, now: float) -> None:
        self._sequence = self._random.randrange(_MAX_SEQUENCE)
        self._probe_at = now + self._random.uniform(0, self.period_s)
        self._absent_at = now
        self._heard_at = now

    def _is_late(self, now: float) -> bool:
        last = self._ticked_at
        return last is not None and now - last > self.period_s

    def _excuse(self, now: float, gap: float) -> None:
        """Give up verdicts that this instance's own pause would cause.

        After a pause every acknowledgement is late, and suspicions that ran
        during it had no chance to be refuted here. Without this, a process
        that wakes declares its peers dead, and one sees a burst of deaths
        with refutations right after.
        """
        self._pending_by_sequence.clear()
        self._heard_at = now
        for instance_id in self._suspicion_ends_by_id:
            self._suspicion_ends_by_id[instance_id] += gap

    # Probing.

    def _probe_next(self, now: float) -> list[typing.Any]:
        if now < self._probe_at:
            return []
        # Not added up from the last time, or a late tick would be followed
        # by a burst of probes.
        self._probe_at = now + self.period_s
        targets = sorted(self._own_suspects)
        following = self._next_in_round()
        if following is not None and following not in targets:
            targets.append(following)
        return [self._probe(now, target) for target in targets]

    def _next_in_round(self) -> str | None:
        while self._round:
            target = self._round.pop()
            if target in self._roster.present_ids:
                return target
        others = self._roster.present_ids - {self.instance_id}
        self._round = sorted(others)
        self._random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _probe(self, now: float, target: str) -> parts.Send:
        sequence = self._next_sequence()
        self._pending_by_sequence[sequence] = _Pending(
            target=target,
            retry_at=now + ACK_SHARE * self.period_s,
            verdict_at=now + self.period_s,
        )
        return self._probe_message(now, target, sequence, retry=False)

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % _MAX_SEQUENCE
        return self._sequence

    def _probe_message(
        self, now: float, target: str, sequence: int, *, retry: bool
    ) -> parts.Send:
        news = self._news_for(now, target)
        if retry:
            # The target can't answer one whose address it does not know.
            news = (self._own.news(with_info=True), *news)
        message = Probe(
            sequence=sequence,
            retry=retry,
            view_hash=self._roster.view_hash,
            news=news,
        )
        return parts.Send(to=target, message=message)

    def _check_pending(self, now: float) -> list[typing.Any]:
        effects: list[typing.Any] = []
        for sequence, pending in list(self._pending_by_sequence.items()):
            if now >= pending.verdict_at:
                del self._pending_by_sequence[sequence]
                effects += self._suspect(now, pending.target)
            elif now >= pending.retry_at and not pending.retried:
                pending.retried = True
                effects += self._retry(now, sequence, pending.target)
        for sequence, errand in list(self._errands_by_sequence.items()):
            if now >= errand.expires_at:
                del self._errands_by_sequence[sequence]
        return effects

    def _retry(
        self, now: float, sequence: int, target: str
    ) -> list[typing.Any]:
        """Probe over a new connection and through others.

        A connection can go silent for good while new ones work. One would
        see a healthy member declared dead by a single instance, again and
        again, and no process restart nearby.
        """
        effects: list[typing.Any] = [Reconnect(to=target)]
        effects.append(self._probe_message(now, target, sequence, retry=True))
        message = IndirectProbe(sequence=sequence, target=target)
        for helper in self._some_alive(HELPERS, but=target):
            effects.append(parts.Send(to=helper, message=message))
        return effects

    def _some_alive(self, count: int, *, but: str = '') -> list[str]:
        others = [
            instance_id
            for instance_id in self.alive_ids()
            if instance_id not in (self.instance_id, but)
        ]
        return self._random.sample(others, min(count, len(others)))

    def _suspect(self, now: float, target: str) -> list[typing.Any]:
        member = self.members_by_id.get(target)
        if member is None or member.state is not MemberState.ALIVE:
            return []
        effects = self._judge(now, member, MemberState.SUSPECT)
        self._own_suspects.add(target)
        return effects

    def _judge(
        self, now: float, member: Member, state: MemberState
    ) -> list[typing.Any]:
        self._unheard_verdicts.add(member.instance_id)
        judged = dataclasses.replace(member, state=state)
        return self._believe(now, judged, spread=not self._is_cut_off(now))

    def _end_suspicions(self, now: float) -> list[typing.Any]:
        effects: list[typing.Any] = []
        for instance_id, end in list(self._suspicion_ends_by_id.items()):
            if now >= end:
                member = self.members_by_id[instance_id]
                effects += self._judge(now, member, MemberState.DEAD)
        return effects

    def _is_cut_off(self, now: float) -> bool:
        return now - self._heard_at > CUT_OFF_PERIODS * self.period_s

    def _note_heard(self, now: float) -> list[typing.Any]:
        """Withdraw the verdicts of a time when nobody was heard.

        An instance that is cut off finds everyone dead. If it kept to that
        when it is back, it would send no work to anyone, and its news would
        make all others doubt each other.
        """
        verdicts = self._unheard_verdicts if self._is_cut_off(now) else ()
        self._heard_at = now
        effects: list[typing.Any] = []
        for instance_id in sorted(verdicts):
            held = self.members_by_id.get(instance_id)
            if held is not None and _is_doubted(held):
                alive = dataclasses.replace(held, state=MemberState.ALIVE)
                effects += self._believe(now, alive, spread=False)
        self._unheard_verdicts.clear()
        return effects

    # Messages.

    def _receive(self, event: parts.Received) -> list[typing.Any]:
        now, sender, message = event.now, event.sender, event.message
        if self._own.state is MemberState.LEFT:
            return []
        effects = self._note_heard(now)
        return effects + self._dispatch(now, sender, message)

    def _dispatch(
        self, now: float, sender: str, message: typing.Any
    ) -> list[typing.Any]:
        match message:
            case Probe():
                return self._on_probe(now, sender, message)
            case ProbeAck():
                return self._on_ack(now, sender, message)
            case IndirectProbe():
                return self._on_indirect_probe(now, sender, message)
            case IndirectAck():
                self._pending_by_sequence.pop(message.sequence, None)
                return []
            case Gossip():
                return self._learn(now, message.news)
            case ViewHashes():
                return self._on_hashes(now, sender, message)
            case ViewPart():
                return self._on_part(now, sender, message)
        raise TypeError(f'membership does not know {type(message).__name__}')

    def _on_probe(
        self, now: float, sender: str, message: Probe
    ) -> list[typing.Any]:
        effects = self._learn(now, message.news)
        if message.retry:
            # Perhaps the acknowledgement went into a silent connection.
            effects.append(Reconnect(to=sender))
        ack = ProbeAck(
            sequence=message.sequence,
            view_hash=self._roster.view_hash,
            news=self._news_for(now, sender),
        )
        effects.append(parts.Send(to=sender, message=ack))
        return effects

    def _on_ack(
        self, now: float, sender: str, message: ProbeAck
    ) -> list[typing.Any]:
        effects = self._learn(now, message.news)
        self._pending_by_sequence.pop(message.sequence, None)
        errand = self._errands_by_sequence.pop(message.sequence, None)
        if errand is not None:
            answer = IndirectAck(sequence=errand.sequence)
            effects.append(parts.Send(to=errand.origin, message=answer))
        if message.view_hash != self._roster.view_hash:
            effects += self._compare(now, sender)
        return effects

    def _on_indirect_probe(
        self, now: float, sender: str, message: IndirectProbe
    ) -> list[typing.Any]:
        if message.target not in self._roster.present_ids:
            return []
        sequence = self._next_sequence()
        self._errands_by_sequence[sequence] = _Errand(
            origin=sender,
            sequence=message.sequence,
            expires_at=now + 2 * self.period_s,
        )
        return [
            self._probe_message(now, message.target, sequence, retry=False)
        ]

    # Comparing beliefs.

    def _contact_absent(self, now: float) -> list[typing.Any]:
        """Try a member that is not there.

        Without this, two halves of a partition that declared each other
        dead would never meet again.
        """
        if now < self._absent_at:
            return []
        alone = len(self._roster.present_ids) == 1
        periods = 1.0 if alone else ABSENT_PERIODS
        self._absent_at = now + periods * self.period_s
        absent = sorted(self._absent_ids())
        chosen = self._random.sample(
            absent, min(HELPERS if alone else 1, len(absent))
        )
        return [self._hashes_to(instance_id) for instance_id in chosen]

    def _absent_ids(self) -> set[str]:
        dead = {
            instance_id
            for instance_id in self._forget_at_by_id
            if self.members_by_id[instance_id].state is MemberState.DEAD
        }
        return (dead | self._seeds_by_id.keys()) - self._roster.present_ids

    def _compare(self, now: float, other: str) -> list[typing.Any]:
        if now < self._compare_at:
            return []
        self._compare_at = now + COMPARE_PERIODS * self.period_s
        return [self._hashes_to(other)]

    def _hashes_to(self, other: str) -> parts.Send:
        message = ViewHashes(
            own=self._own.news(with_info=True),
            hashes=tuple(self._roster.hashes),
        )
        return parts.Send(to=other, message=message)

    def _on_hashes(
        self, now: float, sender: str, message: ViewHashes
    ) -> list[typing.Any]:
        # Compared before the sender is learned: else a joining instance
        # would not be told what is believed of its earlier process.
        buckets = [
            bucket
            for bucket, (own, other) in enumerate(
                zip(self._roster.hashes, message.hashes, strict=True)
            )
            if own != other
        ]
        effects = self._learn(now, (message.own,))
        # A group of which the sender holds nothing has nothing to answer.
        wanted = tuple(b for b in buckets if message.hashes[b])
        return effects + self._parts_to(sender, self._told(buckets), wanted)

    def _told(self, buckets: abc.Iterable[int]) -> list[MemberNews]:
        return [
            _told(member)
            for bucket in buckets
            for member in self._roster.in_bucket(bucket)
        ]

    def _parts_to(
        self, other: str, told: list[MemberNews], buckets: tuple[int, ...]
    ) -> list[typing.Any]:
        """Return the messages, of bounded size, that carry some beliefs.

        :param buckets: groups of which an answer is wanted; the last
            message asks for it, so that it is given once.
        """
        held = self.members_by_id.get(other)
        doubt = None
        if held is not None and _is_doubted(held):
            doubt = held.news(with_info=False)
        effects = []
        for start in range(0, max(1, len(told)), PART_ITEMS):
            is_last = start + PART_ITEMS >= len(told)
            message = ViewPart(
                news=tuple(told[start : start + PART_ITEMS]),
                buckets=buckets if is_last else (),
                doubt=doubt,
            )
            effects.append(parts.Send(to=other, message=message))
        return effects

    def _on_part(
        self, now: float, sender: str, message: ViewPart
    ) -> list[typing.Any]:
        # Taken before anything is learned: the answer has to tell the sender
        # that it was doubted here.
        answer: list[typing.Any] = []
        if message.buckets:
            told = self._told(message.buckets)
            answer = self._parts_to(sender, told, ())
        effects: list[typing.Any] = []
        for item in message.news:
            effects += self._compare_item(now, item, message.doubt is not None)
        if message.doubt is not None:
            effects += self._learn(now, (message.doubt,))
        return effects + answer

    def _compare_item(
        self, now: float, item: MemberNews, is_doubted: bool
    ) -> list[typing.Any]:
        held = self.members_by_id.get(item.instance_id)
        if held is None or item.instance_id == self.instance_id:
            return self._learn(now, (item,))
        if version(item) != version(held) or item.state is MemberState.LEFT:
            return self._learn(now, (item,))
        if is_doubted and item.state is MemberState.ALIVE:
            # Others doubt this instance: it was cut off or frozen, and its
            # verdicts of that time are worth nothing.
            alive = dataclasses.replace(held, state=MemberState.ALIVE)
            return self._believe(now, alive, spread=False)
        if item.state is not held.state and held.state is MemberState.ALIVE:
            # A comparison can bring a verdict that is an hour old. This
            # instance looks for itself instead of taking it over.
            self._round.append(item.instance_id)
        return []

    # Beliefs.

    def _learn(
        self, now: float, news: tuple[MemberNews, ...]
    ) -> list[typing.Any]:
        effects: list[typing.Any] = []
        for item in news:
            if item.instance_id == self.instance_id:
                effects += self._hear_of_self(now, item)
            else:
                effects += self._hear(now, item)
        return effects

    def _hear(self, now: float, item: MemberNews) -> list[typing.Any]:
        held = self.members_by_id.get(item.instance_id)
        if held is not None and rank(item) <= rank(held):
            return []
        info = _known_info(item, held)
        if info is None:
            # Not enough to reach it; a comparison brings the rest.
            return []
        state = item.state
        if state is MemberState.DEAD and _is_alive(held):
            # The member gets time to refute here too, or one instance that
            # was cut off could remove all others everywhere.
            state = MemberState.SUSPECT
        return self._believe(
            now,
            Member(
                instance_id=item.instance_id,
                info=info,
                state=state,
                incarnation=item.incarnation,
                revision=item.revision,
                draining=item.draining,
                serving=item.serving,
            ),
        )

    def _believe(
        self, now: float, member: Member, *, spread: bool = True
    ) -> list[typing.Any]:
        """Hold a belief, spread it and keep the clocks that go with it."""
        held = self.members_by_id.get(member.instance_id)
        self._roster.put(member)
        self._keep_clocks(now, member)
        if spread:
            urgent = _is_urgent(held, member)
            self._urgent = self._urgent or urgent
            self._news.add(
                member,
                with_info=_is_new_process(held, member),
                urgent=urgent,
            )
        return [MemberChanged(member=member)]

    def _keep_clocks(self, now: float, member: Member) -> None:
        instance_id = member.instance_id
        if member.state is MemberState.SUSPECT:
            self._suspicion_ends_by_id[instance_id] = now + self.suspicion_s
        else:
            self._suspicion_ends_by_id.pop(instance_id, None)
            self._own_suspects.discard(instance_id)
        if member.state in (MemberState.DEAD, MemberState.LEFT):
            self._forget_at_by_id[instance_id] = now + self._memory_s
        else:
            self._forget_at_by_id.pop(instance_id, None)

    def _hear_of_self(self, now: float, item: MemberNews) -> list[typing.Any]:
        if item.incarnation > self._own.incarnation:
            return [Superseded(incarnation=item.incarnation)]
        if rank(item) <= rank(self._own):
            return []
        if self._own.state is MemberState.LEFT:
            return []
        # A suspicion, or a statement that this process has lost count of: a
        # higher revision refutes it.
        return self._believe_own(now, revision=item.revision + 1)

    def _state_own(self, now: float, **changes: typing.Any) -> list:
        changed = dataclasses.replace(self._own, **changes)
        if changed == self._own or self._own.state is MemberState.LEFT:
            return []
        revision = self._own.revision + 1
        return self._believe_own(now, **changes, revision=revision)

    def _believe_own(self, now: float, **changes: typing.Any) -> list:
        self._own = dataclasses.replace(self._own, **changes)
        return self._believe(now, self._own)

    def _leave(self, now: float) -> list[typing.Any]:
        effects = self._state_own(now, state=MemberState.LEFT)
        # At once: the process may not live to its next tick.
        return effects + self._send_gossip(now, LEAVE_FANOUT)

    def _forget(self, now: float) -> list[typing.Any]:
        effects = []
        for instance_id, end in list(self._forget_at_by_id.items()):
            if now >= end:
                del self._forget_at_by_id[instance_id]
                self._roster.remove(instance_id)
                effects.append(MemberForgotten(instance_id=instance_id))
        return effects

    # Spreading.

    def _news_for(self, now: float, other: str) -> tuple[MemberNews, ...]:
        if self._is_cut_off(now):
            # What is sent now may be the first that gets through again.
            return ()
        news = self._news.take(
            self.members_by_id, len(self._roster.present_ids)
        )
        held = self.members_by_id.get(other)
        if held is not None and held.state is not MemberState.ALIVE:
            # First of all it must hear what it can refute.
            news.insert(0, held.news(with_info=False))
        return tuple(news)

    def _send_urgent(self, now: float) -> list[typing.Any]:
        if not self._urgent or now < self._urgent_at:
            return []
        self._urgent = False
        self._urgent_at = now + URGENT_GAP_S
        return self._send_gossip(now, URGENT_FANOUT)

    def _send_gossip(self, now: float, fanout: int) -> list[typing.Any]:
        # A suspected member has to hear it more than anyone.
        others = sorted(self._roster.present_ids - {self.instance_id})
        chosen = self._random.sample(others, min(fanout, len(others)))
        return [
            parts.Send(to=to, message=Gossip(news=self._news_for(now, to)))
            for to in chosen
        ]


def _entry(member: Member) -> Entry:
    return Entry(
        instance_id=member.instance_id,
        callers_address=member.info.callers_address,
        data_centre=member.info.data_centre,
        region=member.info.region,
    )


def _may_serve(member: Member) -> bool:
    return member.serving and not member.draining


def _is_alive(member: Member | None) -> bool:
    return member is not None and member.state is MemberState.ALIVE


def _is_doubted(member: Member) -> bool:
    return member.state in (MemberState.SUSPECT, MemberState.DEAD)


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


def _told(member: Member) -> MemberNews:
    return member.news(with_info=member.state is not MemberState.LEFT)
