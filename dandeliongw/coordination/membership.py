"""Group membership and failure detection between instances.

A SWIM-style protocol. Each instance probes one member per period, in rounds
over all members in shuffled order, by datagram. If no acknowledgement
arrives, it asks some other members to probe on its behalf and retries over a
*new* connection; only then does it suspect the member. A suspected member
has a limited time to refute the suspicion before it is declared dead.
Membership updates are piggybacked on probes and acknowledgements, each a
bounded number of times, so that an instance's cost does not grow with the
number of members.

Updates that gossip missed are found by anti-entropy: every probe carries one
hash over the sender's membership view, and instances whose hashes differ
compare their views group by group.

A verdict here does not prove that a member is dead: it may be frozen or
partitioned. Work that must not run twice needs a lease instead.
"""

import random
import typing

import msgspec

from . import parts
from ._comparison import Comparison
from ._membership_messages import Discovered
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
from ._membership_view import MembershipView
from ._probing import INDIRECT_PROBES
from ._probing import Probing
from ._roster import InstanceInfo
from ._roster import Member
from ._roster import MemberNews
from ._roster import MemberState

__all__ = [
    'Discovered',
    'ClientEndpoint',
    'Gossip',
    'IndirectAck',
    'IndirectProbe',
    'InstanceInfo',
    'Leave',
    'MESSAGES',
    'MAX_DETECTION_PERIODS',
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

#: Seconds between two probes sent by one instance.
PERIOD_S = 1.0
#: Periods within which all live instances suspect a lost instance: one until
#: the member assigned to it probes it, one for the verdict, and the time in
#: which the update spreads. Over 100 simulated losses among 12 instances the
#: longest took 2.7 periods; with 4 % of messages lost, 2.8; with two other
#: instances frozen, 3.2.
MAX_DETECTION_PERIODS = 3.5
#: Members to which each instance sends an urgent update at once.
URGENT_FANOUT = 3
#: Members that a leaving instance notifies at once.
LEAVE_FANOUT = 8
#: Minimum seconds between two bursts of urgent updates from one instance.
URGENT_INTERVAL_S = 0.2
#: Suspected members that an instance probes again per period. Without this
#: bound, losing a data centre would multiply every instance's messages.
SUSPECT_PROBES = 2
#: Members notified per period that they are suspected or dead here, while
#: another instance reports them alive.
CONTESTED_PROBES = 2
#: Periods between two attempts to reach a dead member or an unseen seed.
ABSENT_PERIODS = 10.0
#: Periods between two view comparisons started by one instance.
COMPARE_PERIODS = 5.0
#: The same after a comparison that returned unknown members, since there are
#: likely more. When 200 instances start at the same moment, all of them know
#: all others after 9.5 s of simulated time; with ``COMPARE_PERIODS`` alone it
#: takes 27 s.
JOIN_PERIODS = 0.5
#: Instances contacted at once when many are discovered; the others learn of
#: this one by gossip. If all were contacted, 78 instances that start together
#: would open 53 connections each in the first second.
DISCOVERY_FANOUT = 3
#: Seconds for which dead and left members are retained. This is longer than
#: partitions between regions last: an instance that was partitioned that long
#: still has a member alive that left meanwhile, and gossips this once it
#: reconnects.
RETENTION_S = 24 * 3600.0


class ClientEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that clients may send requests to."""

    instance_id: str
    callers_address: str
    data_centre: str
    region: str


class Membership:
    """The membership state machine; the module describes the protocol.

    It needs a tick at least five times per period, because probes are
    retried and judged only at ticks.

    :param instance_id: this instance.
    :param incarnation: higher than that of any earlier process with this id.
    :param self_info: what this instance publishes about itself.
    :param seeds_by_id: instances to contact first; this one may be among
        them.
    :param period_s: seconds between probes.
    :param retention_s: seconds for which dead and left members are retained.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        incarnation: int,
        self_info: InstanceInfo,
        seeds_by_id: dict[str, InstanceInfo],
        period_s: float = PERIOD_S,
        retention_s: float = RETENTION_S,
    ) -> None:
        own = Member(
            instance_id=instance_id,
            info=self_info,
            state=MemberState.ALIVE,
            incarnation=incarnation,
            revision=0,
        )
        self.instance_id = instance_id
        self.period_s = period_s
        self._seed_ids = seeds_by_id.keys() - {instance_id}
        self._view = MembershipView(
            own=own, period_s=period_s, retention_s=retention_s
        )
        self._probing = Probing(period_s=period_s)
        self._comparison = Comparison(view=self._view, probing=self._probing)
        self._random = random.Random(0)
        self._ticked_at: float | None = None
        self._probe_at = 0.0
        self._absent_at = 0.0
        self._compare_at = 0.0
        self._urgent_at = 0.0

    # Accessors.

    @property
    def members_by_id(self) -> dict[str, Member]:
        """All known members by id, including this instance."""
        return self._view.roster.members_by_id

    @property
    def suspicion_s(self) -> float:
        """Seconds that a suspected member has to refute the suspicion."""
        return self._view.suspicion_s

    def alive_ids(self) -> list[str]:
        """Return the ids of alive members, sorted, without suspected ones."""
        return list(self._view.roster.alive_ids)

    def count_alive(self) -> int:
        """Return the number of alive members, without suspected ones."""
        return len(self._view.roster.alive_ids)

    def is_alive(self, instance_id: str) -> bool:
        """Return whether a member is alive and not suspected."""
        return self._view.roster.is_alive(instance_id)

    def entries(self, now: float) -> list[ClientEndpoint]:
        """Return the instances that clients may send requests to.

        A partitioned member is dropped once failure detection has suspected
        it; until then its last published state applies. If this instance's
        own ticks are late, its view is stale, and the result contains at
        most this instance itself.
        """
        stale = self._is_late(now)
        return [
            _endpoint(self.members_by_id[instance_id])
            for instance_id in self.alive_ids()
            if _accepts_clients(self.members_by_id[instance_id])
            and not (stale and instance_id != self.instance_id)
        ]

    # Interface of a coordination part.

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Apply an event; return the effects to perform, in order."""
        match event:
            case parts.Ticked():
                return self._tick(event)
            case parts.Received():
                return self._receive(event)
            case SetServing():
                return self._view.update_own(event.now, serving=event.serving)
            case SetDraining():
                return self._view.update_own(
                    event.now, draining=event.draining
                )
            case Leave():
                return self._leave(event.now)
            case Discovered():
                return self._discover(event)
        raise TypeError(
            f'membership cannot handle event {type(event).__name__}'
        )

    def restore(self, record: typing.Any) -> None:
        """Do nothing: members are discovered again at each start."""

    def snapshot(self) -> tuple[typing.Any, ...]:
        """Return no records: membership is not persisted."""
        return ()

    def _discover(self, event: Discovered) -> list[typing.Any]:
        """Contact some newly discovered instances immediately."""
        found = set(event.instance_ids) - {self.instance_id}
        new = found - self._seed_ids - self.members_by_id.keys()
        self._seed_ids = self._seed_ids | found
        return [
            self._comparison.make_request(each)
            for each in self._sample(new, DISCOVERY_FANOUT)
        ]

    def _leave(self, now: float) -> list[typing.Any]:
        effects = self._view.update_own(now, state=MemberState.LEFT)
        # Sent immediately: the process may end before its next tick.
        message = Gossip(news=(self._view.own.news(with_info=False),))
        return effects + [
            parts.Send(to=to, message=message, by_datagram=True)
            for to in self._sample(self._view.others, LEAVE_FANOUT)
        ]

    # Ticks.

    def _tick(self, event: parts.Ticked) -> list[typing.Any]:
        now = event.now
        self._random.seed(event.entropy)
        if self._ticked_at is None:
            self._start(now)
        elif self._is_late(now):
            self._handle_own_pause(now, now - self._ticked_at)
        self._ticked_at = now
        if self._has_left:
            return self._send_urgent(now)
        effects = self._check_probes(now)
        effects += self._view.expire_suspicions(now)
        effects += self._probe_next(now)
        effects += self._contact_absent(now)
        effects += self._send_urgent(now)
        effects += self._view.forget(now)
        return effects

    @property
    def _has_left(self) -> bool:
        return self._view.own.state is MemberState.LEFT

    def _start(self, now: float) -> None:
        self._probing.start(self._random)
        self._probe_at = now + self._random.uniform(0, self.period_s)
        self._absent_at = now
        # Isolation is counted from the start.
        self._view.on_message(now)

    def _is_late(self, now: float) -> bool:
        last = self._ticked_at
        return last is not None and now - last > self.period_s

    def _handle_own_pause(self, now: float, gap_s: float) -> None:
        """Discard verdicts that this process's own pause would cause.

        After a pause every acknowledgement is late, and suspicions that ran
        during it could not be refuted here. Without this, a process that
        resumes would suspect its peers: a burst of suspicions, each followed
        by its refutation.
        """
        self._probing.cancel_all()
        self._view.extend_timeouts(now, gap_s)

    # Probing.

    def _probe_next(self, now: float) -> list[typing.Any]:
        if now < self._probe_at:
            return []
        # Counted from now, not from the last due time: otherwise a late tick
        # would be followed by a burst of probes.
        self._probe_at = now + self.period_s
        targets = self._sample(self._view.suspected_here, SUSPECT_PROBES)
        contested = self._sample(
            self._view.contested - set(targets), CONTESTED_PROBES
        )
        self._view.contested.difference_update(contested)
        targets += contested
        targets += [
            each
            for each in self._probing.watched(
                self.instance_id, self.alive_ids()
            )
            if each not in targets
        ]
        following = self._probing.next_target(self._view.others, self._random)
        if following is not None and following not in targets:
            targets.append(following)
        return [
            self._probe(now, target, self._probing.begin(now, target))
            for target in targets
        ]

    def _probe(self, now: float, target: str, sequence: int) -> parts.Send:
        message = Probe(
            sequence=sequence,
            retry=False,
            view_hash=self._view.roster.view_hash,
            news=self._view.updates_for(now, target),
        )
        return parts.Send(to=target, message=message, by_datagram=True)

    def _check_probes(self, now: float) -> list[typing.Any]:
        effects: list[typing.Any] = []
        for target in self._probing.due_verdicts(now):
            effects += self._view.suspect(now, target)
        for pending in self._probing.due_retries(now):
            effects += self._retry(now, pending.target, pending.sequence)
        return effects

    def _retry(
        self, now: float, target: str, sequence: int
    ) -> list[typing.Any]:
        """Retry a probe over a new connection and through other members.

        One connection can stop delivering while new ones work. Without the
        retry, a single instance would repeatedly declare a healthy member
        dead although no process restarted.
        """
        # The target can only answer if it has this instance's address.
        own = self._view.own.news(with_info=True)
        probe = msgspec.structs.replace(
            self._probe(now, target, sequence).message, retry=True
        )
        probe = msgspec.structs.replace(probe, news=(own, *probe.news))
        effects: list[typing.Any] = [Reconnect(to=target)]
        effects.append(parts.Send(to=target, message=probe))
        message = IndirectProbe(sequence=sequence, target=target)
        helpers = set(self.alive_ids()) - {self.instance_id, target}
        for helper in self._sample(helpers, INDIRECT_PROBES):
            effects.append(
                parts.Send(to=helper, message=message, by_datagram=True)
            )
        return effects

    def _sample(self, ids: set[str], count: int) -> list[str]:
        return self._random.sample(sorted(ids), min(count, len(ids)))

    # Messages.

    def _receive(self, event: parts.Received) -> list[typing.Any]:
        if self._has_left:
            return []
        effects = self._view.on_message(event.now)
        return effects + self._dispatch(event.now, event.sender, event.message)

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
                self._probing.acknowledge(message.sequence)
                return []
            case Gossip():
                return self._view.apply_updates(now, message.news)
            case ViewHashes():
                return self._comparison.on_hashes(now, sender, message)
            case ViewPart():
                return self._on_part(now, sender, message)
        raise TypeError(
            f'membership cannot handle message {type(message).__name__}'
        )

    def _on_probe(
        self, now: float, sender: str, message: Probe
    ) -> list[typing.Any]:
        effects = self._view.apply_updates(now, message.news)
        if message.retry:
            # The first acknowledgement may have been sent over a connection
            # that no longer delivers.
            effects.append(Reconnect(to=sender))
        ack = ProbeAck(
            sequence=message.sequence,
            view_hash=self._view.roster.view_hash,
            news=self._view.updates_for(now, sender),
        )
        # A retry arrives over a stream. Where datagrams are not delivered,
        # its acknowledgement must not be sent as one.
        effects.append(
            parts.Send(to=sender, message=ack, by_datagram=not message.retry)
        )
        return effects

    def _on_ack(
        self, now: float, sender: str, message: ProbeAck
    ) -> list[typing.Any]:
        effects = self._view.apply_updates(now, message.news)
        relayed = self._probing.acknowledge(message.sequence)
        if relayed is not None:
            answer = IndirectAck(sequence=relayed.sequence)
            effects.append(
                parts.Send(to=relayed.origin, message=answer, by_datagram=True)
            )
        if message.view_hash != self._view.roster.view_hash:
            effects += self._compare(now, sender)
        return effects

    def _on_indirect_probe(
        self, now: float, sender: str, message: IndirectProbe
    ) -> list[typing.Any]:
        if message.target not in self._view.others:
            return []
        sequence = self._probing.begin_relayed(now, sender, message.sequence)
        return [self._probe(now, message.target, sequence)]

    # Anti-entropy: finding updates that gossip missed.

    def _contact_absent(self, now: float) -> list[typing.Any]:
        """Contact a dead member or a seed that is not yet a member.

        Without this, two halves of a partition that declared each other
        dead would never rejoin.
        """
        if now < self._absent_at:
            return []
        is_alone = not self._view.others
        periods = 1.0 if is_alone else ABSENT_PERIODS
        # Without the jitter all instances would compare their views at the
        # same moment after a partition, which ends for all of them at once.
        periods *= self._random.uniform(0.5, 1.5)
        self._absent_at = now + periods * self.period_s
        absent = self._view.dead_ids | self._seed_ids
        absent -= self._view.roster.present_ids
        chosen = self._sample(absent, INDIRECT_PROBES if is_alone else 1)
        return [
            self._comparison.make_request(instance_id)
            for instance_id in chosen
        ]

    def _on_part(
        self, now: float, sender: str, message: ViewPart
    ) -> list[typing.Any]:
        effects = self._comparison.on_part(now, sender, message)
        if self._comparison.found_members:
            soon = now + JOIN_PERIODS * self.period_s
            self._compare_at = min(self._compare_at, soon)
        return effects

    def _compare(self, now: float, other: str) -> list[typing.Any]:
        if now < self._compare_at:
            return []
        self._compare_at = now + COMPARE_PERIODS * self.period_s
        return [self._comparison.make_request(other)]

    def _send_urgent(self, now: float) -> list[typing.Any]:
        if not self._view.is_urgent or now < self._urgent_at:
            return []
        self._view.is_urgent = False
        self._urgent_at = now + URGENT_INTERVAL_S
        effects: list[typing.Any] = []
        # Suspected members are among the candidates: they most need the
        # update, because they have to refute it.
        for to in self._sample(self._view.others, URGENT_FANOUT):
            message = Gossip(news=self._view.updates_for(now, to))
            effects.append(
                parts.Send(to=to, message=message, by_datagram=True)
            )
        return effects


def _endpoint(member: Member) -> ClientEndpoint:
    return ClientEndpoint(
        instance_id=member.instance_id,
        callers_address=member.info.callers_address,
        data_centre=member.info.data_centre,
        region=member.info.region,
    )


def _accepts_clients(member: Member) -> bool:
    return (
        member.serving
        and not member.draining
        and bool(member.info.callers_address)
    )
