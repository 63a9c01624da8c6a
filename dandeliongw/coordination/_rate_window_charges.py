"""Charges of accounts with a window: decisions, results and counters."""

from collections import abc
import typing

from . import _rate_holder
from . import parts
from ._rate_messages import Charge
from ._rate_messages import ChargeAnswered
from ._rate_messages import ChargeAsked
from ._rate_messages import ChargeOutcome
from ._rate_messages import ChargeResult
from ._rate_messages import Limit
from ._rate_messages import Refund
from ._rate_refusals import Refusals
from ._rate_shares import Shares

Effects = list[typing.Any]


class WindowCharges:
    """Charges the windows that this instance holds, or its shares of others.

    :param charges_by_outcome: counters that it increases.
    """

    def __init__(
        self,
        *,
        holder: _rate_holder.WindowHolder,
        refusals: Refusals,
        charges_by_outcome: dict[ChargeOutcome, int],
    ) -> None:
        self.holder = holder
        self._shares = Shares()
        self._refusals = refusals
        self._charges_by_outcome = charges_by_outcome
        self._limits_by_account: dict[str, Limit] = {}

    def has(self, account: str) -> bool:
        """Whether an account has a window."""
        return account in self._limits_by_account

    def set_limits(self, limits: abc.Iterable[Limit]) -> None:
        """Apply the limits in force."""
        self._limits_by_account = {
            limit.account: limit for limit in limits if limit.window_s
        }
        self.holder.set_limits(self._limits_by_account)
        self._shares.set_limits(self._limits_by_account)

    def charge(
        self, now: float, sender: str, charge: Charge | ChargeAsked
    ) -> Effects:
        """Charge a window as its holder."""
        ask = _rate_holder.Ask(
            sender=sender,
            ticket=charge.ticket,
            account=charge.account,
            amount=charge.amount,
            caller=charge.caller,
        )
        return self._settle(now, self.holder.charge(now, ask))

    def charge_share(
        self, now: float, charge: Charge, instances: int
    ) -> Effects:
        """Charge the share of this instance, as no holder answers.

        :param instances: number of instances that share the window.
        """
        limit = self._limits_by_account[charge.account]
        wait_s, log = self._shares.take(now, limit, charge.amount, instances)
        if wait_s:
            self._count(ChargeOutcome.REFUSED_ALONE)
            result = ChargeResult(is_granted=False, wait_s=wait_s)
            log = [*log, *self._refusals.add(now, charge.account)]
        else:
            self._count(ChargeOutcome.GRANTED_ALONE)
            result = ChargeResult(
                is_granted=True,
                granted_by=self.holder.instance_id,
                granted_in=self.holder.grant_alone(
                    now, charge.account, charge.amount
                ),
                used_in=self._shares.granted(now, limit, charge.amount),
            )
        return [parts.Complete(ticket=charge.ticket, result=result), *log]

    def complete(
        self, now: float, sender: str, answer: ChargeAnswered
    ) -> Effects:
        """Return the result of a charge that a holder has answered."""
        limit = self._limits_by_account[answer.account]
        used_in = 0
        if not answer.wait_s:
            used_in = self._shares.granted(now, limit, answer.amount)
        log = self._shares.answered(now, limit, answer.used)
        result = ChargeResult(
            is_granted=not answer.wait_s,
            wait_s=answer.wait_s,
            granted_by=sender,
            granted_in=answer.granted_in,
            used_in=used_in,
        )
        return [parts.Complete(ticket=answer.ticket, result=result), *log]

    def take_back_use(self, refund: Refund) -> None:
        """Return what a caller of this instance has not used."""
        self._shares.take_back(refund.account, refund.used_in, refund.amount)

    def receive(self, event: parts.Received) -> Effects:
        """Count what another holder reports."""
        found = self.holder.receive(event.now, event.sender, event.message)
        return self._settle(event.now, found)

    def tick(self, now: float) -> Effects:
        """Send reports that are due; decide charges that waited."""
        return self._settle(now, self.holder.tick(now))

    def _count(self, outcome: ChargeOutcome) -> None:
        self._charges_by_outcome[outcome] += 1

    def _settle(self, now: float, found: Effects) -> Effects:
        """Replace decisions by the effects that tell them."""
        out: Effects = []
        for each in found:
            if isinstance(each, _rate_holder.Decided):
                out += self._decided(now, each)
            else:
                out.append(each)
        return out

    def _decided(self, now: float, decided: _rate_holder.Decided) -> Effects:
        ask, wait_s = decided.ask, decided.charged.wait_s
        self._count(ChargeOutcome.REFUSED if wait_s else ChargeOutcome.GRANTED)
        log = self._refusals.add(now, ask.account) if wait_s else []
        answer = ChargeAnswered(
            ticket=ask.ticket,
            account=ask.account,
            amount=ask.amount,
            wait_s=wait_s,
            granted_in=decided.charged.granted_in,
            used=decided.used,
        )
        if ask.sender == self.holder.instance_id and self.has(ask.account):
            return [*self.complete(now, ask.sender, answer), *log]
        if ask.sender == self.holder.instance_id:
            # The limit was removed while the charge waited.
            result = ChargeResult(is_granted=not wait_s, wait_s=wait_s)
            return [parts.Complete(ticket=ask.ticket, result=result), *log]
        send = parts.Send(to=ask.sender, message=answer, by_datagram=True)
        return [send, *log]
