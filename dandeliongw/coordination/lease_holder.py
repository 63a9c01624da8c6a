"""The candidate and holder side of leases.

A candidate first probes, which changes no state at the grantors. It requests
the lease only if a majority would grant it. Without the probe, a candidate
that is cut off from some grantors would keep raising the epoch at the
others, and they would refuse the renewals of a healthy holder.
"""

import enum
import typing

import msgspec

from . import lease_messages as messages
from . import lease_quorum
from . import parts

_NEVER = float('-inf')
_GRANTED = messages.LeaseOutcome.GRANTED

#: Base of the randomized backoff between attempts, in seconds. It spreads
#: candidates whose requests collided.
BASE_BACKOFF_S = 0.02
#: Initial timeout, as a fraction of ``renew_s``, of an attempt that a grantor
#: refused.
SHORT_TIMEOUT_FRACTION = 1 / 8
#: Fraction of a lease's duration without an answer of any grantor after
#: which all of them count as unreachable. It spans several renewals.
SILENCE_FRACTION = 0.5
#: Seconds between two ticks from which this instance counts as late: what
#: other instances have sent may still wait in its sockets.
LATE_S = 0.3
#: Seconds after a late tick for which an answer to a renewal that was sent
#: before may still extend an expired lease: what had arrived is read by then.
GRACE_S = 0.3
#: Seconds by which a renewal may be overdue before it is sent with the next
#: event instead of the next tick. Ticks of a busy owner come late, and an
#: instance that renews with each event sends more renewals than it needs.
OVERDUE_S = 0.15
#: The backoff doubles with each consecutive failed request, up to this many
#: times.
MAX_BACKOFF_DOUBLINGS = 4


class Phase(enum.Enum):
    """State of one name at a candidate or holder.

    In phase ``ASKING``, a request is under way.
    """

    IDLE = 'idle'
    PROBING = 'probing'
    ASKING = 'asking'
    HELD = 'held'


class _Lease(msgspec.Struct, kw_only=True):
    """State of the lease of one name at this instance.

    :param epoch: of the held lease or current request; 0 during a probe.
    :param highest: highest epoch seen; the next request uses a higher one.
    :param holder: last holder reported by a grantor.
    :param asked_at: when the current probe or request was sent.
    :param next_attempt_at: earliest time of the next probe.
    :param failures: consecutive requests that failed.
    :param confirmed_at_by_grantor: send time of the latest claim for
        ``epoch`` that each grantor granted.
    :param refusals_by_grantor: refusals since the current request was sent.
    :param answered_at: send time of the latest claim that any grantor
        answered.
    :param valid_until: end of the lease by this instance's clock.
    :param released_by: grantors that reported the release of epoch
        ``highest``.
    """

    name: str
    phase: Phase = Phase.IDLE
    epoch: int = 0
    highest: int = 0
    holder: str | None = None
    asked_at: float = _NEVER
    next_attempt_at: float = _NEVER
    failures: int = 0
    valid_until: float = _NEVER
    gained_at: float = _NEVER
    confirmed_at_by_grantor: dict[str, float] = msgspec.field(
        default_factory=dict
    )
    refusals_by_grantor: dict[str, messages.LeaseAnswer] = msgspec.field(
        default_factory=dict
    )
    answered_at: float = _NEVER
    released_by: set[str] = msgspec.field(default_factory=set)


class Holder:
    """Acquires leases of the wanted names and renews those held.

    :param instance_id: id of this instance.
    :param duration_s: length of a lease at the grantors, in seconds.
    :param margin_s: the holder stops this many seconds earlier, against
        clock drift.
    :param renew_s: seconds between renewals; also the timeout of one
        attempt.
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
        self.quorum = lease_quorum.Quorum()
        self.version = 0
        self._leases_by_name: dict[str, _Lease] = {}
        self._wanted: frozenset[str] = frozenset()
        self._life = 0
        self._entropy = 0
        self._draws = 0
        self._renewed_at = _NEVER
        self._ticked_at = _NEVER
        self._grace_until = _NEVER

    def epoch_if_held(self, name: str, now: float) -> int | None:
        """Return the epoch if the lease is still valid at ``now``."""
        lease = self._leases_by_name.get(name)
        if lease is None or lease.phase is not Phase.HELD:
            return None
        # Checked before each send: a process that was suspended until after
        # its lease expired may get here before any event is handled.
        return lease.epoch if now < lease.valid_until else None

    def epoch_for_unfenced_order(
        self, name: str, now: float, longest_order_s: float
    ) -> int | None:
        """Return the epoch if no predecessor's order can still take effect.

        Needed for engines that ignore fencing tokens: a predecessor that was
        suspended after its last check may have written an order to a
        socket, and the engine would execute it after the newer one.
        """
        epoch = self.epoch_if_held(name, now)
        if epoch is None:
            return None
        wait_s = self.duration_s + self.margin_s + longest_order_s
        lease = self._leases_by_name[name]
        return epoch if now >= lease.gained_at + wait_s else None

    def known_holder(self, name: str) -> str | None:
        """Return the last known holder; it may be out of date."""
        lease = self._leases_by_name.get(name)
        if lease is None:
            return None
        if lease.phase is Phase.HELD:
            return self.instance_id
        return lease.holder

    def change_quorum(
        self, version: int, changed: lease_quorum.Quorum
    ) -> None:
        """Use other sets of grantors from now on.

        A held lease stays valid for the time granted; the grantors of a new
        set wait until that time has passed.
        """
        if version < self.version:
            return
        self.version = version
        self.quorum = changed

    def want(self, names: frozenset[str]) -> list[typing.Any]:
        """Try to hold these names from now on; release all others."""
        self._wanted = names
        effects: list[typing.Any] = []
        for name in sorted(names - self._leases_by_name.keys()):
            self._leases_by_name[name] = _Lease(name=name)
        for name in sorted(self._leases_by_name.keys() - names):
            effects += self._abandon(self._leases_by_name[name], '')
        return effects

    def release(self, name: str, successor: str) -> list[typing.Any]:
        """Release a name and stop requesting it."""
        self._wanted -= {name}
        lease = self._leases_by_name.get(name)
        if lease is None:
            return []
        return self._abandon(lease, successor)

    def on_tick(self, now: float, entropy: int) -> list[typing.Any]:
        """Renew leases, start due attempts and end those that timed out."""
        self._entropy = entropy
        if not self._life:
            # Zero means that no tick has supplied entropy yet.
            self._life = entropy or 1
        if self._is_late(now):
            self._grace_until = now + GRACE_S
        effects = self.expire(now)
        self._ticked_at = now
        claims = self._renewals(now)
        for lease in self._leases_by_name.values():
            if lease.phase in (Phase.PROBING, Phase.ASKING):
                effects += self._check_timeout(now, lease)
            if self._is_due(now, lease):
                claims.append(self._probe(now, lease))
        return effects + self._send_claims(now, claims)

    def is_renewal_overdue(self, now: float) -> bool:
        """Return whether renewals are so late that they can't wait."""
        overdue_at = self._renewed_at + self.renew_s + OVERDUE_S
        return bool(self._life) and now >= overdue_at

    def renew(self, now: float) -> list[typing.Any]:
        """Send the renewals that are due."""
        return self._send_claims(now, self._renewals(now))

    def expire(self, now: float) -> list[typing.Any]:
        """End every lease that has expired by ``now``.

        At a late instance, the answers to its latest renewals may not have
        been read. Until they are, it doesn't use the expired lease, but it
        doesn't give it up either: its cell would be dropped, although the
        grantors have renewed the lease.
        """
        if self._may_have_answers(now):
            return []
        effects: list[typing.Any] = []
        for lease in self._leases_by_name.values():
            if lease.phase is Phase.HELD and now >= lease.valid_until:
                is_unheard = self._is_unheard(now, lease)
                effects.append(self._lose(lease, is_unheard=is_unheard))
                lease.next_attempt_at = now + self._backoff_s(lease)
        return effects

    def _is_late(self, now: float) -> bool:
        return now - self._ticked_at > LATE_S

    def _may_have_answers(self, now: float) -> bool:
        """Return whether unread answers may extend an expired lease."""
        if not self._is_late(now) and now >= self._grace_until:
            return False
        return now < self._renewed_at + self.duration_s - self.margin_s

    def on_answers(
        self, now: float, sender: str, answers: messages.LeaseAnswers
    ) -> list[typing.Any]:
        """Count one grantor's answers to a probe, request or renewal."""
        if answers.life != self._life:
            return []
        effects: list[typing.Any] = []
        claims: list[messages.LeaseClaim] = []
        for answer in answers.answers:
            lease = self._leases_by_name.get(answer.name)
            if lease is None:
                continue
            self._update_from(lease, answer)
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
        """Request the lease once a majority reports its release.

        After a single report, the other grantors would refuse the request.
        """
        lease = self._leases_by_name.get(vacant.name)
        if lease is None or vacant.name not in self._wanted:
            return []
        if vacant.epoch < lease.highest or lease.phase is Phase.HELD:
            return []
        if vacant.epoch > lease.highest:
            lease.released_by.clear()
        lease.highest = vacant.epoch
        lease.released_by.add(sender)
        released = dict.fromkeys(lease.released_by, 0.0)
        if lease.phase is Phase.ASKING or not self._life:
            return []
        if self.quorum.majority_value(released) == _NEVER:
            return []
        return self._send_claims(now, [self._request(now, lease)])

    # Starting and ending attempts

    def _is_due(self, now: float, lease: _Lease) -> bool:
        if lease.phase is not Phase.IDLE or lease.name not in self._wanted:
            return False
        return bool(self.quorum.grantors) and now >= lease.next_attempt_at

    def _probe(self, now: float, lease: _Lease) -> messages.LeaseClaim:
        lease.phase = Phase.PROBING
        lease.epoch = 0
        self._start_attempt(now, lease)
        return messages.LeaseClaim(name=lease.name, epoch=0)

    def _request(self, now: float, lease: _Lease) -> messages.LeaseClaim:
        lease.phase = Phase.ASKING
        lease.highest += 1
        lease.epoch = lease.highest
        self._start_attempt(now, lease)
        return messages.LeaseClaim(name=lease.name, epoch=lease.epoch)

    def _start_attempt(self, now: float, lease: _Lease) -> None:
        lease.asked_at = now
        lease.confirmed_at_by_grantor.clear()
        lease.refusals_by_grantor.clear()
        lease.released_by.clear()

    def _check_timeout(self, now: float, lease: _Lease) -> list[typing.Any]:
        if now - lease.asked_at < self._timeout_s(lease):
            return []
        return self._fail(now, lease)

    def _timeout_s(self, lease: _Lease) -> float:
        """Return the timeout of the current attempt in seconds.

        A refused request collided with another candidate's. Each blocks the
        other while both wait for a grantor that is down. So it gets a short
        timeout. That grows with each failure, because the grantors' disks
        may be slow.
        """
        if not lease.refusals_by_grantor:
            return self.renew_s
        short_s = self.renew_s * SHORT_TIMEOUT_FRACTION * 2.0**lease.failures
        return min(short_s, self.renew_s)

    def _fail(self, now: float, lease: _Lease) -> list[typing.Any]:
        """End an attempt; release what a failed request was granted."""
        effects: list[typing.Any] = []
        if lease.phase is Phase.ASKING:
            effects += self._send_release(lease, '')
            lease.failures += 1
        lease.phase = Phase.IDLE
        pause_s = self._expected_wait_s(lease) + self._backoff_s(lease)
        lease.next_attempt_at = now + pause_s
        return effects

    def _expected_wait_s(self, lease: _Lease) -> float:
        """Return after how many seconds a majority may grant the lease.

        The grantors reported these times in their answers.
        """
        # The quorum returns the highest value that a majority reaches. So
        # the waits are negated: the shortest wait is the highest value.
        waits = dict.fromkeys(lease.confirmed_at_by_grantor, 0.0)
        for grantor, answer in lease.refusals_by_grantor.items():
            waits[grantor] = -answer.remaining_s
        wait_s = -self.quorum.majority_value(waits)
        # Too few grantors have answered: wait for the renewal interval.
        return self.renew_s if wait_s == -_NEVER else max(wait_s, 0.0)

    def _backoff_s(self, lease: _Lease) -> float:
        scale = 2.0 ** min(lease.failures, MAX_BACKOFF_DOUBLINGS)
        return BASE_BACKOFF_S * scale * (0.5 + self._draw())

    def _draw(self) -> float:
        """Return a pseudorandom number in [0, 1) from the tick's entropy."""
        self._draws += 1
        mixed = (self._entropy ^ self._life) + self._draws * 0x9E3779B97F4A7C15
        mixed = (mixed ^ (mixed >> 31)) * 0xBF58476D1CE4E5B9
        return (mixed >> 11 & (1 << 53) - 1) / (1 << 53)

    # Counting answers

    def _update_from(
        self, lease: _Lease, answer: messages.LeaseAnswer
    ) -> None:
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
        self._record_answer(sender, lease, answer, now)
        if self.quorum.majority_value(lease.confirmed_at_by_grantor) > _NEVER:
            return [self._request(now, lease)]
        if self._cannot_win(lease):
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
        self._record_answer(sender, lease, answer, asked_at)
        confirmed_at = self.quorum.majority_value(
            lease.confirmed_at_by_grantor
        )
        # Counted from the send of the claim, not from the receipt of the
        # answer: the grantor's own time starts somewhere between the two.
        valid_until = confirmed_at + self.duration_s - self.margin_s
        lease.valid_until = max(lease.valid_until, valid_until)
        if lease.phase is Phase.HELD:
            return []
        if now < valid_until:
            return [self._gain(now, lease)]
        if self._cannot_win(lease):
            return self._fail(now, lease)
        return []

    def _record_answer(
        self,
        sender: str,
        lease: _Lease,
        answer: messages.LeaseAnswer,
        asked_at: float,
    ) -> None:
        lease.answered_at = max(lease.answered_at, asked_at)
        if answer.outcome is not _GRANTED:
            lease.refusals_by_grantor[sender] = answer
            return
        before = lease.confirmed_at_by_grantor.get(sender, _NEVER)
        lease.confirmed_at_by_grantor[sender] = max(before, asked_at)

    def _cannot_win(self, lease: _Lease) -> bool:
        """Return whether this attempt can no longer get a majority."""
        not_refused = {
            grantor: 0.0
            for grantor in self.quorum.all_grantors()
            if grantor not in lease.refusals_by_grantor
        }
        return self.quorum.majority_value(not_refused) == _NEVER

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
        """Return whether no grantor answered the latest renewals.

        If the end of the lease was noticed late, another instance may have
        it, and that no answer was read tells nothing.

        Refusals count as answers as long as they are recent: a grantor that
        was lost after it had refused tells nothing about the others.
        """
        if now > lease.valid_until + LATE_S:
            return False
        silent_s = now - lease.answered_at
        return silent_s >= SILENCE_FRACTION * self.duration_s

    def _abandon(self, lease: _Lease, successor: str) -> list[typing.Any]:
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
            for grantor in self.quorum.all_grantors()
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
            for grantor in self.quorum.all_grantors()
        ]
