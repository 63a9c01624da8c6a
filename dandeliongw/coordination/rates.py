"""One rate for each account over all instances.

Each account has a holder, the instance that rendezvous hashing ranks first
for it. The holder has the account's token bucket, and every instance charges
a request there before it sends the request on: one datagram each way. So the
rate holds to within one request as long as all instances see the same holder.

An instance that gets no answer in time asks the next instance in the ranking,
which has a bucket of its own, and then charges a bucket of its own that holds
its equal part of the rate. An instance that has not heard from a majority of
the voters lately may be on the small side of a partition; it grants only the
part of the rate that corresponds to the members it can see. What is granted
beyond the rate is therefore bounded:

* a new holder starts with half of the burst, and with what has been refilled
  since, so a change of the holder costs one burst at most;
* the sides of a partition together grant the rate once, but for the time in
  which the smaller side does not yet know that it is cut off;
* instances that find no holder grant the rate once between them.

A limit with ``window_s`` has a window instead of a bucket, which holders know
from each other; see :mod:`._rate_holder`, and :mod:`._rate_shares` for
instances that find no holder.

Nothing is persisted: a bucket is worth one burst at most, and a window is
known to two holders.
"""

import typing

import msgspec

from . import _rate_holder
from . import parts
from . import placement
from ._rate_bucket import Bucket
from ._rate_messages import Charge
from ._rate_messages import ChargeAnswered
from ._rate_messages import ChargeAsked
from ._rate_messages import ChargeOutcome
from ._rate_messages import ChargeResult
from ._rate_messages import ChargeReturned
from ._rate_messages import GrantHistory
from ._rate_messages import GrantsReported
from ._rate_messages import HoldersAnswering
from ._rate_messages import HoldersSilent
from ._rate_messages import Limit
from ._rate_messages import MESSAGES
from ._rate_messages import RateReached
from ._rate_messages import Refund
from ._rate_messages import SetLimits
from ._rate_messages import SetMembers
from ._rate_refusals import Refusals
from ._rate_window_charges import WindowCharges

__all__ = [
    'Bucket',
    'Charge',
    'ChargeAnswered',
    'ChargeAsked',
    'ChargeOutcome',
    'ChargeResult',
    'ChargeReturned',
    'GrantHistory',
    'GrantsReported',
    'HoldersAnswering',
    'HoldersSilent',
    'Limit',
    'MAX_WAIT_S',
    'MESSAGES',
    'RateReached',
    'Rates',
    'Refund',
    'SetLimits',
    'SetMembers',
]

#: Seconds without an answer after which the next holder is asked. An answer
#: takes some 5 ms; this is many times that on a busy machine.
ANSWER_TIMEOUT_S = 0.15
#: Instances that are asked for one charge, this one included.
MAX_HOLDERS = 2
#: Longest wait of a charge, in seconds.
MAX_WAIT_S = MAX_HOLDERS * ANSWER_TIMEOUT_S
#: Seconds for which an instance that did not answer is not asked again.
AVOID_S = 1.0
#: Seconds after which members that are gone are no longer counted, if a
#: majority of the voters is in touch. It is longer than it takes to detect
#: all of them, one after the other, behind a partition.
FORGET_MEMBERS_S = 10.0

Effects = list[typing.Any]


class _Pending(msgspec.Struct, kw_only=True):
    """A charge that waits for a holder's answer.

    :param asked_at: when the last instance was asked.
    :param asked: the instances asked so far.
    """

    charge: Charge
    asked_at: float = 0.0
    asked: tuple[str, ...] = ()


class Rates:
    """The state machine of the rates; the module describes the protocol.

    It needs a tick several times per ``ANSWER_TIMEOUT_S``.

    :param instance_id: this instance.
    """

    def __init__(self, *, instance_id: str) -> None:
        self.instance_id = instance_id
        self._limits_by_account: dict[str, Limit] = {}
        self._members: tuple[placement.Member, ...] = ()
        self._has_quorum = False
        #: Most members seen lately, and when.
        self._most_members = 0
        self._most_members_at = 0.0
        self._ranked_by_account: dict[str, tuple[str, ...]] = {}
        self._avoid_until_by_id: dict[str, float] = {}
        #: Buckets that this instance holds for all.
        self._buckets_by_account: dict[str, Bucket] = {}
        #: Buckets for this instance's own requests, without a holder.
        self._own_buckets_by_account: dict[str, Bucket] = {}
        self._pending_by_ticket: dict[str, _Pending] = {}
        self._refusals = Refusals()
        self.charges_by_outcome = dict.fromkeys(ChargeOutcome, 0)
        self._windows = WindowCharges(
            holder=_rate_holder.WindowHolder(
                instance_id=instance_id,
                ranked=self._ranked,
                max_holders=MAX_HOLDERS,
            ),
            refusals=self._refusals,
            charges_by_outcome=self.charges_by_outcome,
        )
        self._holder = self._windows.holder

    # Accessors.

    def most_refused(self) -> dict[str, int]:
        """Return refused charges by account, of those with most; thread-safe.

        They count what this instance refused as a holder or by itself.
        """
        return self._refusals.most()

    def count_avoided(self) -> int:
        """Return how many instances have not answered a charge lately."""
        return len(self._avoid_until_by_id)

    # Interface of a coordination part.

    def handle(self, event: typing.Any) -> Effects:
        """Apply an event; return the effects to perform, in order."""
        self._holder.note_time(event.now)
        match event:
            case parts.Ticked():
                return self._tick(event.now)
            case parts.Received():
                return self._receive(event)
            case Charge():
                return self._ask(event.now, _Pending(charge=event))
            case Refund():
                return self._refund(event)
            case SetLimits():
                return self._set_limits(event)
            case SetMembers():
                return self._set_members(event)
        raise TypeError(f'rates cannot handle event {type(event).__name__}')

    def restore(self, record: typing.Any) -> None:
        """Do nothing: buckets are not persisted."""

    def snapshot(self) -> tuple[typing.Any, ...]:
        """Return no records: buckets are not persisted."""
        return ()

    # The configuration and the members.

    def _set_limits(self, event: SetLimits) -> Effects:
        limits = {limit.account: limit for limit in event.limits}
        self._windows.set_limits(event.limits)
        for buckets in (
            self._buckets_by_account,
            self._own_buckets_by_account,
        ):
            for account in list(buckets):
                if account not in limits:
                    del buckets[account]
                elif buckets[account].limit != limits[account]:
                    buckets[account].change_limit(event.now, limits[account])
        self._refusals.keep(limits.keys())
        self._limits_by_account = limits
        return []

    def _set_members(self, event: SetMembers) -> Effects:
        self._has_quorum = event.has_quorum
        if event.members != self._members:
            self._members = event.members
            self._ranked_by_account.clear()
            present = {member.instance_id for member in event.members}
            for instance_id in self._avoid_until_by_id.keys() - present:
                del self._avoid_until_by_id[instance_id]
        count = len(event.members)
        is_old = event.now - self._most_members_at > FORGET_MEMBERS_S
        if count >= self._most_members or (event.has_quorum and is_old):
            self._most_members = count
            self._most_members_at = event.now
        self._holder.set_members(
            frozenset(member.instance_id for member in self._members),
            self._visible_part,
        )
        return []

    @property
    def _visible_part(self) -> float:
        """The part of the rate that a bucket held here stands for."""
        if self._has_quorum or not self._most_members:
            return 1.0
        return max(1, len(self._members)) / self._most_members

    def _ranked(self, account: str, count: int) -> tuple[str, ...]:
        found = self._ranked_by_account.get(account)
        if found is None:
            found = placement.ranked_owners(
                account, self._members, _rate_holder.WITNESSES
            )
            self._ranked_by_account[account] = found
        return found[:count]

    # Charges of this instance's requests.

    def _ask(self, now: float, pending: _Pending) -> Effects:
        """Charge at the next holder, or here if none is left."""
        charge = pending.charge
        if charge.account not in self._limits_by_account:
            return [_completed(charge, ChargeResult(is_granted=True))]
        holder = self._next_holder(now, pending)
        if holder is None:
            return self._charge_own_part(now, charge)
        if holder == self.instance_id:
            return self._charge_as_holder(now, charge)
        has_window = self._windows.has(charge.account)
        pending.asked += (holder,)
        pending.asked_at = now
        self._pending_by_ticket[charge.ticket] = pending
        message = ChargeAsked(
            ticket=charge.ticket,
            account=charge.account,
            amount=charge.amount,
            caller=charge.caller if has_window else 0,
        )
        return [parts.Send(to=holder, message=message, by_datagram=True)]

    def _next_holder(self, now: float, pending: _Pending) -> str | None:
        if len(pending.asked) >= MAX_HOLDERS:
            return None
        for holder in self._ranked(pending.charge.account, MAX_HOLDERS):
            is_avoided = now < self._avoid_until_by_id.get(holder, now)
            if holder == self.instance_id:
                is_avoided = self._holder.is_cut_off
            if holder not in pending.asked and not is_avoided:
                return holder
        return None

    def _charge_as_holder(self, now: float, charge: Charge) -> Effects:
        if self._windows.has(charge.account):
            return self._windows.charge(now, self.instance_id, charge)
        wait_s, reported = self._take_as_holder(
            now, charge.account, charge.amount
        )
        result = ChargeResult(
            is_granted=not wait_s, wait_s=wait_s, granted_by=self.instance_id
        )
        return [_completed(charge, result), *reported]

    def _charge_own_part(self, now: float, charge: Charge) -> Effects:
        if self._windows.has(charge.account):
            return self._windows.charge_share(now, charge, self._most_members)
        wait_s, reported = self._take(
            now,
            charge.account,
            charge.amount,
            self._own_buckets_by_account,
            1.0 / max(1, self._most_members),
        )
        self._count(
            ChargeOutcome.REFUSED_ALONE
            if wait_s
            else ChargeOutcome.GRANTED_ALONE
        )
        result = ChargeResult(is_granted=not wait_s, wait_s=wait_s)
        return [_completed(charge, result), *reported]

    def _take_as_holder(
        self, now: float, account: str, amount: float
    ) -> tuple[float, Effects]:
        wait_s, reported = self._take(
            now, account, amount, self._buckets_by_account, self._visible_part
        )
        self._count(ChargeOutcome.REFUSED if wait_s else ChargeOutcome.GRANTED)
        return wait_s, reported

    def _count(self, outcome: ChargeOutcome) -> None:
        self.charges_by_outcome[outcome] += 1

    def _take(
        self,
        now: float,
        account: str,
        amount: float,
        buckets: dict[str, Bucket],
        part: float,
    ) -> tuple[float, Effects]:
        """Charge a bucket; return the wait in seconds, 0 if it was granted."""
        bucket = buckets.get(account)
        if bucket is None:
            limit = self._limits_by_account[account]
            bucket = Bucket(limit=limit, now=now, part=part)
            buckets[account] = bucket
        wait_s = bucket.take(now, amount, part)
        return wait_s, self._refusals.add(now, account) if wait_s else []

    def _refund(self, event: Refund) -> Effects:
        if not event.granted_by:
            return []
        self._windows.take_back_use(event)
        message = ChargeReturned(
            account=event.account,
            amount=event.amount,
            granted_in=event.granted_in,
        )
        if event.granted_by == self.instance_id:
            self._put_back(event.now, message)
            return []
        return [
            parts.Send(to=event.granted_by, message=message, by_datagram=True)
        ]

    def _put_back(self, now: float, message: ChargeReturned) -> None:
        account, amount = message.account, message.amount
        self._holder.take_back(now, account, message.granted_in, amount)
        bucket = self._buckets_by_account.get(account)
        if bucket is not None and amount > 0:
            bucket.put_back(amount)

    def _tick(self, now: float) -> Effects:
        out = self._windows.tick(now)
        for ticket, pending in list(self._pending_by_ticket.items()):
            if now - pending.asked_at < ANSWER_TIMEOUT_S:
                continue
            del self._pending_by_ticket[ticket]
            self._avoid_until_by_id[pending.asked[-1]] = now + AVOID_S
            out += self._ask(now, pending)
        return out

    # Messages.

    def _receive(self, event: parts.Received) -> Effects:
        match event.message:
            case ChargeAsked():
                return self._on_asked(event, event.message)
            case ChargeAnswered():
                return self._on_answered(event, event.message)
            case ChargeReturned():
                self._put_back(event.now, event.message)
            case GrantsReported():
                return self._windows.receive(event)
        return []

    def _on_asked(
        self, event: parts.Received, message: ChargeAsked
    ) -> Effects:
        """Charge the bucket held here.

        An account without a limit here has been given one a moment ago, under
        a configuration that this instance has yet to confirm.
        """
        if self._windows.has(message.account):
            return self._windows.charge(event.now, event.sender, message)
        wait_s, reported = 0.0, []
        if message.account in self._limits_by_account:
            wait_s, reported = self._take_as_holder(
                event.now, message.account, message.amount
            )
        answer = ChargeAnswered(
            ticket=message.ticket,
            account=message.account,
            amount=message.amount,
            wait_s=wait_s,
        )
        send = parts.Send(to=event.sender, message=answer, by_datagram=True)
        return [send, *reported]

    def _on_answered(
        self, event: parts.Received, message: ChargeAnswered
    ) -> Effects:
        self._avoid_until_by_id.pop(event.sender, None)
        self._holder.heard(event.now)
        pending = self._pending_by_ticket.get(message.ticket)
        if pending is None or event.sender not in pending.asked:
            return _return_late_grant(event.sender, message)
        del self._pending_by_ticket[message.ticket]
        if self._windows.has(message.account):
            return self._windows.complete(event.now, event.sender, message)
        result = ChargeResult(
            is_granted=not message.wait_s,
            wait_s=message.wait_s,
            granted_by=event.sender,
        )
        return [_completed(pending.charge, result)]


def _return_late_grant(sender: str, message: ChargeAnswered) -> Effects:
    """Return a grant that came after another instance had been asked."""
    if message.wait_s:
        return []
    returned = ChargeReturned(
        account=message.account,
        amount=message.amount,
        granted_in=message.granted_in,
    )
    return [parts.Send(to=sender, message=returned, by_datagram=True)]


def _completed(charge: Charge, result: ChargeResult) -> parts.Complete:
    return parts.Complete(ticket=charge.ticket, result=result)
