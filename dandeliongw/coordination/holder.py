"""The candidate's and holder's side of leases.

A candidate first probes, which changes nothing at the grantors, and asks
only when a majority would grant. Without the probe a candidate that is cut
off from some grantors would keep raising epochs at the others, and a healthy
holder's renewals would be refused there.
"""

import enum
import typing

import msgspec

from . import lease_messages as messages
from . import parts
from . import quorum

_NEVER = float('-inf')
_GRANTED = messages.LeaseOutcome.GRANTED

#: Shortest pause before another try; spreads candidates that collided.
SHORTEST_RETRY_S = 0.02
#: Part of the usual patience with a try that was refused by some grantor.
SHORT_PATIENCE = 1 / 8
#: Part of a lease's time without a word of any grantor after which they count
#: as silent; several renewals fall into it.
UNHEARD_PART = 0.5
#: The pause doubles with each split ask in a row, up to this many times.
LONGEST_BACKOFF = 4


class Phase(enum.Enum):
    """What a candidate is doing about one name."""

    IDLE = 'idle'
    PROBING = 'probing'
    ASKING = 'asking'
    HELD = 'held'


class _Lease(msgspec.Struct, kw_only=True):
    """One name, as this instance sees it.

    :param highest: highest epoch heard of; the next ask is above it.
    :param asked_at: when the probe or ask under way was sent.
    :param confirmed_at_by_grantor: send time of the latest claim for
        ``epoch`` that each grantor granted.
    :param valid_until: end of the lease by this instance's clock.
    """

    name: str
    phase: Phase = Phase.IDLE
    epoch: int = 0
    highest: int = 0
    holder: str | None = None
    asked_at: float = _NEVER
    next_try_at: float = _NEVER
    failures: int = 0
    valid_until: float = _NEVER
    gained_at: float = _NEVER
    confirmed_at_by_grantor: dict[str, float] = msgspec.field(
        default_factory=dict
    )
    refusals_by_grantor: dict[str, messages.LeaseAnswer] = msgspec.field(
        default_factory=dict
    )
    vacated_by: set[str] = msgspec.field(default_factory=set)


class Holder:
    """Tries for the wanted names, and renews those it holds.

    :param instance_id: this instance.
    :param duration_s: length of a lease at the grantors.
    :param margin_s: the holder stops this much earlier, for clocks that run
        apart.
    :param renew_s: pause between renewals, and patience with one try.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        duration_s: float,
        margin_s: float,
        renew_s: float,
    ) -> None:
        self.instance_id = instance_id
        self.duration_s = duration_s
        self.margin_s = margin_s
        self.renew_s = renew_s
        self.quorum = quorum.Quorum()
        self.version = 0
        self._leases_by_name: dict[str, _Lease] = {}
        self._wanted: frozenset[str] = frozenset()
        self._life = 0
        self._entropy = 0
        self._draws = 0
        self._renewed_at = _NEVER

    def epoch_if_held(self, name: str, now: float) -> int | None:
        """Return the epoch if the lease still runs at ``now``."""
        lease = self._leases_by_name.get(name)
        if lease is None or lease.phase is not Phase.HELD:
            return None
        # Asked at each send: a process that was frozen past its lease wakes
        # up here before any event has told it so.
        return lease.epoch if now < lease.valid_until else None

    def may_order(
        self, name: str, now: float, longest_order_s: float
    ) -> int | None:
        """Return the epoch if no predecessor's order can still take effect.

        For engines that ignore fencing numbers: a predecessor that froze
        after its last check may have handed an order to a socket, and the
        engine would carry it out after the newer one.
        """
        epoch = self.epoch_if_held(name, now)
        if epoch is None:
            return None
        wait_s = self.duration_s + self.margin_s + longest_order_s
        lease = self._leases_by_name[name]
        return epoch if now >= lease.gained_at + wait_s else None

    def known_holder(self, name: str) -> str | None:
        """Return who held the lease when it was last heard of, a hint."""
        lease = self._leases_by_name.get(name)
        if lease is None:
            return None
        if lease.phase is Phase.HELD:
            return self.instance_id
        return lease.holder

    def change_quorum(self, version: int, changed: quorum.Quorum) -> None:
        """Count majorities of other sets from now on.

        A lease that is held keeps the time it was granted; grantors of a
        new set wait until such time has run out.
        """
        if version < self.version:
            return
        self.version = version
        self.quorum = changed

    def want(self, names: frozenset[str]) -> list[typing.Any]:
        """Try for these names from now on; release what is not among them."""
        self._wanted = names
        effects: list[typing.Any] = []
        for name in sorted(names - self._leases_by_name.keys()):
            self._leases_by_name[name] = _Lease(name=name)
        for name in sorted(self._leases_by_name.keys() - names):
            effects += self._give_up(self._leases_by_name[name], '')
        return effects

    def release(self, name: str, successor: str) -> list[typing.Any]:
        """Give a name up and stop trying for it."""
        self._wanted -= {name}
        lease = self._leases_by_name.get(name)
        if lease is None:
            return []
        return self._give_up(lease, successor)

    def on_tick(self, now: float, entropy: int) -> list[typing.Any]:
        """Renew, start what is due, and end what has run too long."""
        self._entropy = entropy
        if not self._life:
            # Zero means that no tick has brought entropy yet.
            self._life = entropy or 1
        effects = self.expire(now)
        claims = self._renewals(now)
        for lease in self._leases_by_name.values():
            if lease.phase in (Phase.PROBING, Phase.ASKING):
                effects += self._check_patience(now, lease)
            if self._is_due(now, lease):
                claims.append(self._probe(now, lease))
        return effects + self._send_claims(now, claims)

    def expire(self, now: float) -> list[typing.Any]:
        """Note every lease that has run out by ``now``."""
        effects: list[typing.Any] = []
        for lease in self._leases_by_name.values():
            if lease.phase is Phase.HELD and now >= lease.valid_until:
                is_unheard = self._is_unheard(now, lease)
                effects.append(self._lose(lease, is_unheard=is_unheard))
                lease.next_try_at = now + self._backoff_s(lease)
        return effects

    def on_answers(
        self, now: float, sender: str, answers: messages.LeaseAnswers
    ) -> list[typing.Any]:
        """Count one grantor's answers to a probe, an ask or a renewal."""
        if answers.life != self._life:
            return []
        effects: list[typing.Any] = []
        claims: list[messages.LeaseClaim] = []
        for answer in answers.answers:
            lease = self._leases_by_name.get(answer.name)
            if lease is None:
                continue
            self._learn(lease, answer)
            if lease.phase is Phase.PROBING and answer.epoch == 0:
                if answers.asked_at == lease.asked_at:
                    claims += self._count_probe(now, sender, lease, answer)
            elif answer.epoch == lease.epoch and answer.epoch:
                effects += self._count_claim(
                    now, sender, lease, answer, answers.asked_at
                )
        return effects + self._send_claims(now, claims)

    def on_vacant(
        self, now: float, sender: str, vacant: messages.LeaseVacant
    ) -> list[typing.Any]:
        """Ask at once when a majority says that the holder released.

        One word is not enough: the others would still refuse the ask.
        """
        lease = self._leases_by_name.get(vacant.name)
        if lease is None or vacant.name not in self._wanted:
            return []
        if vacant.epoch < lease.highest or lease.phase is Phase.HELD:
            return []
        if vacant.epoch > lease.highest:
            lease.vacated_by.clear()
        lease.highest = vacant.epoch
        lease.vacated_by.add(sender)
        vacated = dict.fromkeys(lease.vacated_by, 0.0)
        if lease.phase is Phase.ASKING or not self._life:
            return []
        if self.quorum.agreed(vacated) == _NEVER:
            return []
        return self._send_claims(now, [self._ask(now, lease)])

    # Starting and ending tries

    def _is_due(self, now: float, lease: _Lease) -> bool:
        if lease.phase is not Phase.IDLE or lease.name not in self._wanted:
            return False
        return bool(self.quorum.grantors) and now >= lease.next_try_at

    def _probe(self, now: float, lease: _Lease) -> messages.LeaseClaim:
        lease.phase = Phase.PROBING
        lease.epoch = 0
        self._begin_try(now, lease)
        return messages.LeaseClaim(name=lease.name, epoch=0)

    def _ask(self, now: float, lease: _Lease) -> messages.LeaseClaim:
        lease.phase = Phase.ASKING
        lease.highest += 1
        lease.epoch = lease.highest
        self._begin_try(now, lease)
        return messages.LeaseClaim(name=lease.name, epoch=lease.epoch)

    def _begin_try(self, now: float, lease: _Lease) -> None:
        lease.asked_at = now
        lease.confirmed_at_by_grantor.clear()
        lease.refusals_by_grantor.clear()
        lease.vacated_by.clear()

    def _check_patience(self, now: float, lease: _Lease) -> list[typing.Any]:
        if now - lease.asked_at < self._patience_s(lease):
            return []
        return self._fail(now, lease)

    def _patience_s(self, lease: _Lease) -> float:
        """Return how long a try may take.

        A refused ask met another candidate's, and each holds up the other
        while both wait for a grantor that is dead. Such a one is given up
        soon, later if it happens again: the grantors' disks may be slow.
        """
        if not lease.refusals_by_grantor:
            return self.renew_s
        short_s = self.renew_s * SHORT_PATIENCE * 2.0**lease.failures
        return min(short_s, self.renew_s)

    def _fail(self, now: float, lease: _Lease) -> list[typing.Any]:
        """End a try; free what a split ask was granted."""
        effects: list[typing.Any] = []
        if lease.phase is Phase.ASKING:
            effects += self._send_release(lease, '')
            lease.failures += 1
        lease.phase = Phase.IDLE
        pause_s = self._free_in_s(lease) + self._backoff_s(lease)
        lease.next_try_at = now + pause_s
        return effects

    def _free_in_s(self, lease: _Lease) -> float:
        """Return after how long a majority might grant, as they told us."""
        # The quorum looks for the highest value that a majority reaches, so
        # waits are counted negative: the shortest wait is the highest.
        waits = dict.fromkeys(lease.confirmed_at_by_grantor, 0.0)
        for grantor, answer in lease.refusals_by_grantor.items():
            waits[grantor] = -answer.remaining_s
        wait_s = -self.quorum.agreed(waits)
        # Too few have answered to tell: try again after the usual pause.
        return self.renew_s if wait_s == -_NEVER else max(wait_s, 0.0)

    def _backoff_s(self, lease: _Lease) -> float:
        scale = 2.0 ** min(lease.failures, LONGEST_BACKOFF)
        return SHORTEST_RETRY_S * scale * (0.5 + self._draw())

    def _draw(self) -> float:
        """Return the next number in [0, 1) that the tick's entropy yields."""
        self._draws += 1
        mixed = (self._entropy ^ self._life) + self._draws * 0x9E3779B97F4A7C15
        mixed = (mixed ^ (mixed >> 31)) * 0xBF58476D1CE4E5B9
        return (mixed >> 11 & (1 << 53) - 1) / (1 << 53)

    # Counting answers

    def _learn(self, lease: _Lease, answer: messages.LeaseAnswer) -> None:
        lease.highest = max(lease.highest, answer.highest)
        if answer.holder:
            lease.holder = answer.holder

    def _count_probe(
        self,
        now: float,
        sender: str,
        lease: _Lease,
        answer: messages.LeaseAnswer,
    ) -> list[messages.LeaseClaim]:
        self._note(sender, lease, answer, now)
        if self.quorum.agreed(lease.confirmed_at_by_grantor) > _NEVER:
            return [self._ask(now, lease)]
        if self._is_hopeless(lease):
            self._fail(now, lease)
        return []

    def _count_claim(
        self,
        now: float,
        sender: str,
        lease: _Lease,
        answer: messages.LeaseAnswer,
        asked_at: float,
    ) -> list[typing.Any]:
        if lease.phase not in (Phase.ASKING, Phase.HELD):
            return []
        self._note(sender, lease, answer, asked_at)
        agreed = self.quorum.agreed(lease.confirmed_at_by_grantor)
        # Counted from the send of the claim, not from the answer: the
        # grantor's own count began somewhere between the two.
        valid_until = agreed + self.duration_s - self.margin_s
        lease.valid_until = max(lease.valid_until, valid_until)
        if lease.phase is Phase.HELD:
            return []
        if now < valid_until:
            return [self._gain(now, lease)]
        if self._is_hopeless(lease):
            return self._fail(now, lease)
        return []

    def _note(
        self,
        sender: str,
        lease: _Lease,
        answer: messages.LeaseAnswer,
        asked_at: float,
    ) -> None:
        if answer.outcome is not _GRANTED:
            lease.refusals_by_grantor[sender] = answer
            return
        before = lease.confirmed_at_by_grantor.get(sender, _NEVER)
        lease.confirmed_at_by_grantor[sender] = max(before, asked_at)

    def _is_hopeless(self, lease: _Lease) -> bool:
        """Return whether no majority can be had any more from this try."""
        hoped = {
            grantor: 0.0
            for grantor in self.quorum.everyone()
            if grantor not in lease.refusals_by_grantor
        }
        return self.quorum.agreed(hoped) == _NEVER

    # Holding

    def _gain(self, now: float, lease: _Lease) -> messages.LeaseGained:
        lease.phase = Phase.HELD
        lease.failures = 0
        lease.gained_at = now
        return messages.LeaseGained(name=lease.name, epoch=lease.epoch)

    def _lose(
        self, lease: _Lease, *, is_unheard: bool = False
    ) -> messages.LeaseLost:
        lease.phase = Phase.IDLE
        lease.valid_until = _NEVER
        return messages.LeaseLost(
            name=lease.name, epoch=lease.epoch, is_unheard=is_unheard
        )

    def _is_unheard(self, now: float, lease: _Lease) -> bool:
        """Return whether no grantor confirmed the latest renewals."""
        if lease.refusals_by_grantor:
            return False
        last = max(lease.confirmed_at_by_grantor.values(), default=_NEVER)
        return last <= now - UNHEARD_PART * self.duration_s

    def _give_up(self, lease: _Lease, successor: str) -> list[typing.Any]:
        effects: list[typing.Any] = []
        if lease.phase is Phase.HELD:
            effects.append(self._lose(lease))
            effects += self._send_release(lease, successor)
        elif lease.phase is Phase.ASKING:
            effects += self._send_release(lease, successor)
        lease.phase = Phase.IDLE
        return effects

    def _renewals(self, now: float) -> list[messages.LeaseClaim]:
        if now - self._renewed_at < self.renew_s:
            return []
        self._renewed_at = now
        return [
            messages.LeaseClaim(name=lease.name, epoch=lease.epoch)
            for lease in self._leases_by_name.values()
            if lease.phase is Phase.HELD
        ]

    # Sending

    def _send_claims(
        self, now: float, claims: list[messages.LeaseClaim]
    ) -> list[typing.Any]:
        if not claims:
            return []
        message = messages.LeaseClaims(
            version=self.version,
            life=self._life,
            asked_at=now,
            duration_s=self.duration_s,
            claims=tuple(claims),
        )
        return [
            parts.Send(to=grantor, message=message)
            for grantor in self.quorum.everyone()
        ]

    def _send_release(self, lease: _Lease, successor: str) -> list[typing.Any]:
        message = messages.LeaseRelease(
            life=self._life,
            name=lease.name,
            epoch=lease.epoch,
            successor=successor,
        )
        return [
            parts.Send(to=grantor, message=message)
            for grantor in self.quorum.everyone()
        ]
