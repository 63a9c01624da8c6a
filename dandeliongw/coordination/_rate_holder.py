"""The windows that an instance holds, and what holders tell each other.

Each holder of an account reports its own grants to the others while they
change, and counts those that are reported to it. A holder that has just
started, was suspended or was cut off first asks the others for what they
know, its own grants before a restart included. It answers no charge of the
account until then; see :data:`SYNC_S`.
"""

from collections import abc
import typing

import msgspec

from . import parts
from ._rate_messages import GrantHistory
from ._rate_messages import GrantsReported
from ._rate_messages import Limit
from ._rate_window import Charged
from ._rate_window import UNITS
from ._rate_window import Window

#: Seconds between two reports while grants change: a little less than two
#: ticks, so that the second one does not come too early for it.
REPORT_S = 0.09
#: Part of the window that may be granted without a report: it is lost with
#: the holder. At seven times the rate, an account uses its window in 1.2 s,
#: and 0.1 s is 8 % of it. At the rate, this makes 12 reports a second.
MAX_UNREPORTED = 0.01
#: Seconds between two reports without a change, as one may be lost.
REPEAT_S = 1.0
#: Longest wait for what other holders know, in seconds. Together with a tick
#: it is less than the time after which an entry asks the next holder.
SYNC_S = 0.04
#: Seconds without a charge or a report of an account after which others may
#: have granted what they did not report here.
IDLE_S = 2.0
#: Seconds without any event, ticks included, from which an instance counts
#: as suspended.
PAUSE_S = 0.5
#: Seconds for which charges of others are ignored after that. They have
#: waited in the socket, and their senders have asked another holder.
IGNORE_S = 0.2
#: Seconds without any message from which a holder asks whether others reach
#: it.
QUIET_S = 0.25
#: Questions without an answer, ``ASK_S`` apart, from which it counts as cut
#: off. What waits in the socket of a slow process is read between them.
CUT_OFF_ASKS = 4
#: Seconds without any message after which it may have been cut off.
SILENCE_S = 0.5
#: Seconds between two such questions, and the same for one that is cut off.
ASK_S = 0.1
ASK_CUT_OFF_S = 0.5
#: Instances that are asked, after the first one has not answered.
WITNESSES = 4
#: Seconds for which an instance that reported grants is reported to, also if
#: it is no holder by the members that this instance sees.
PEER_S = 4.0
#: Such instances of one account.
MAX_PEERS = 4
#: Histories in one report, so that it fits in a datagram.
MAX_RELAYED = 8

Effects = list[typing.Any]


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """A charge that this instance decides.

    :param sender: the entry that asks.
    """

    sender: str
    ticket: str
    account: str
    amount: float
    caller: int = 0


class Decided(msgspec.Struct, frozen=True, kw_only=True):
    """The decision on a charge, to be sent to its entry.

    :param used: by the account in its window, as far as it is known.
    """

    ask: Ask
    charged: Charged
    used: float


class _Held(msgspec.Struct, kw_only=True):
    """The window of one account, and what has been reported of it.

    :param version: of the grants as they are now.
    :param unreported: granted since the last report.
    :param changed_at: when a grant was last added or returned.
    :param is_synced: whether the other holders were asked for what they know.
    :param involved_at: when it was last charged here or reported to here.
    :param sync_until: when the wait for their answers ends.
    :param awaited: the holders that have not answered yet.
    :param waiting: charges to decide then.
    :param heard_at_by_id: when which instances last reported grants, the
        latest last.
    """

    window: Window
    version: int = 0
    reported_version: int = 0
    unreported: float = 0.0
    report_at: float = 0.0
    repeat_at: float = 0.0
    changed_at: float = float('-inf')
    is_synced: bool = False
    involved_at: float = float('-inf')
    sync_until: float | None = None
    awaited: set[str] = msgspec.field(default_factory=set)
    waiting: list[Ask] = msgspec.field(default_factory=list)
    heard_at_by_id: dict[str, float] = msgspec.field(default_factory=dict)

    def involve(self, now: float) -> None:
        if now - self.involved_at > IDLE_S:
            self.is_synced = False
        self.involved_at = now

    def change(self, now: float, amount: float) -> None:
        self.version += 1
        self.unreported += amount
        self.changed_at = now


class WindowHolder:
    """The windows of accounts at one instance.

    :param instance_id: this instance.
    :param ranked: returns the first instances in the ranking of an account.
    :param max_holders: how many of these are its holders.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        ranked: abc.Callable[[str, int], tuple[str, ...]],
        max_holders: int,
    ) -> None:
        self.instance_id = instance_id
        self._ranked = ranked
        self._max_holders = max_holders
        #: Part of each window that may be used here.
        self._part = 1.0
        self._member_ids: frozenset[str] = frozenset()
        self._limits_by_account: dict[str, Limit] = {}
        self._held_by_account: dict[str, _Held] = {}
        self._start = 0
        self._last_event_at: float | None = None
        self._ignores_until = float('-inf')
        self._heard_at = float('-inf')
        #: Questions to others since one of them was last heard.
        self._unanswered = 0
        self._is_cut_off = False
        self._ask_at = 0.0

    def note_time(self, now: float) -> None:
        """Notice that this instance starts, or was suspended."""
        if self._last_event_at is None:
            # On the same machine, a later start has a later time.
            self._start = int(now * 1e6)
        elif now - self._last_event_at > PAUSE_S:
            self._ignores_until = now + IGNORE_S
            self._unanswered = 0
            self._resync()
        self._last_event_at = now

    def set_limits(self, limits_by_account: dict[str, Limit]) -> None:
        """Apply the limits of the accounts with a window."""
        self._limits_by_account = limits_by_account
        for account, held in list(self._held_by_account.items()):
            limit = limits_by_account.get(account)
            if limit is not None and (
                limit.window_s == held.window.limit.window_s
            ):
                held.window.limit = limit
            elif not held.waiting:
                del self._held_by_account[account]

    def set_members(self, member_ids: frozenset[str], part: float) -> None:
        """Apply the members that this instance sees.

        :param part: the part of each window that may be used here.
        """
        if member_ids != self._member_ids:
            self._member_ids = member_ids
            # Another instance may have been a holder until now.
            self._resync()
        self._part = part

    @property
    def is_cut_off(self) -> bool:
        """Whether no other instance answers this one."""
        return self._is_cut_off

    # Charges.

    def charge(self, now: float, ask: Ask) -> Effects:
        """Decide a charge, now or when the other holders have answered."""
        if ask.sender != self.instance_id:
            if now < self._ignores_until or self._is_from_other_side(ask):
                return []
            self._hear(now)
        held = self._hold(ask.account)
        held.involve(now)
        if held.is_synced:
            return self._decide(now, held, ask)
        held.waiting.append(ask)
        return self._ask_others(now, held)

    def _is_from_other_side(self, ask: Ask) -> bool:
        """Whether an entry asks from across a partition that has just ended.

        Its side has a holder that may grant more of the window than this
        instance.
        """
        return self._part < 1.0 and ask.sender not in self._member_ids

    def grant_alone(self, now: float, account: str, amount: float) -> int:
        """Count what this instance granted from its share."""
        held = self._hold(account)
        held.change(now, amount)
        return held.window.grant(now, amount)

    def take_back(
        self, now: float, account: str, granted_in: int, amount: float
    ) -> None:
        """Return what was granted here and not used."""
        held = self._held_by_account.get(account)
        if held is not None and held.window.own.take_back(granted_in, amount):
            held.change(now, 0.0)

    def _hold(self, account: str) -> _Held:
        held = self._held_by_account.get(account)
        if held is None:
            # Versions increase also where a limit is removed and set again.
            held = _Held(
                window=Window(limit=self._limits_by_account[account]),
                version=int((self._last_event_at or 0.0) * 1e3),
            )
            held.reported_version = held.version
            self._held_by_account[account] = held
        return held

    def _decide(self, now: float, held: _Held, ask: Ask) -> Effects:
        window = held.window
        charged = window.charge(now, ask.amount, self._part, ask.caller)
        out: Effects = []
        if not charged.wait_s:
            held.change(now, ask.amount)
            if held.unreported > MAX_UNREPORTED * window.top:
                out = self._report(now, held)
        used = window.used(now)
        return [Decided(ask=ask, charged=charged, used=used), *out]

    # Reports.

    def receive(
        self, now: float, sender: str, message: GrantsReported
    ) -> Effects:
        """Count what another holder reports."""
        self._hear(now)
        if message.account not in self._limits_by_account:
            return []
        held = self._hold(message.account)
        held.involve(now)
        held.heard_at_by_id.pop(sender, None)
        held.heard_at_by_id[sender] = now
        while len(held.heard_at_by_id) > MAX_PEERS:
            del held.heard_at_by_id[next(iter(held.heard_at_by_id))]
        for history in (message.own, *message.others):
            if (history.instance_id, history.start) != (
                self.instance_id,
                self._start,
            ):
                held.window.learn(now, history, (sender, message.own.start))
        out: Effects = []
        if message.wants_answer:
            others = self._relayed(now, held, message.own)
            out.append(self._make_report(now, held, sender, others=others))
        if held.is_synced:
            return out
        if held.sync_until is None:
            if self.instance_id in self._ranked(
                message.account, self._max_holders
            ):
                out += self._ask_others(now, held)
            return out
        held.awaited.discard(sender)
        if not held.awaited:
            out += self._end_sync(now, held)
        return out

    def heard(self, now: float) -> None:
        """Note that another instance has answered."""
        self._hear(now)

    def tick(self, now: float) -> Effects:
        """Send reports that are due; decide charges that waited."""
        out: Effects = []
        for held in self._held_by_account.values():
            if held.sync_until is not None and now >= held.sync_until:
                out += self._end_sync(now, held)
            if self._is_due(now, held):
                out += self._report(now, held)
        return [*out, *self._ask_witnesses(now)]

    def _is_due(self, now: float, held: _Held) -> bool:
        if held.version != held.reported_version:
            return now >= held.report_at
        held.window.own.expire(now)
        return bool(held.window.own.total) and now >= held.repeat_at

    def _report(self, now: float, held: _Held) -> Effects:
        held.reported_version = held.version
        held.unreported = 0.0
        held.report_at = now + REPORT_S
        held.repeat_at = now + REPEAT_S
        receivers = dict.fromkeys(
            self._other_holders(held.window.limit.account)
        )
        for peer, heard_at in held.heard_at_by_id.items():
            if now - heard_at < PEER_S:
                receivers[peer] = None
        return [self._make_report(now, held, to) for to in receivers]

    def _make_report(
        self,
        now: float,
        held: _Held,
        to: str,
        *,
        others: tuple[GrantHistory, ...] = (),
        wants_answer: bool = False,
    ) -> parts.Send:
        window = held.window
        window.own.expire(now)
        unit = window.top / UNITS or 1.0
        own = GrantHistory(
            instance_id=self.instance_id,
            start=self._start,
            version=held.version,
            sent_at=now,
            unit=unit,
            grants=window.own.grouped(now, unit),
        )
        message = GrantsReported(
            account=window.limit.account,
            own=own,
            others=others,
            wants_answer=wants_answer,
        )
        return parts.Send(to=to, message=message, by_datagram=True)

    def _relayed(
        self, now: float, held: _Held, asked_by: GrantHistory
    ) -> tuple[GrantHistory, ...]:
        """Return what the receiver may lack, the largest histories first."""
        relayed = [
            history.relayed(now)
            for (instance_id, start), history in held.window.histories.items()
            if (instance_id, start) != (asked_by.instance_id, asked_by.start)
            and history.told_by != (asked_by.instance_id, asked_by.start)
        ]
        known = [each for each in relayed if each is not None]
        known.sort(key=lambda each: -sum(each.grants) * each.unit)
        return tuple(known[:MAX_RELAYED])

    def _other_holders(self, account: str) -> list[str]:
        return [
            each
            for each in self._ranked(account, self._max_holders)
            if each != self.instance_id
        ]

    # What other holders know.

    def _resync(self) -> None:
        for held in self._held_by_account.values():
            held.is_synced = False

    def _ask_others(self, now: float, held: _Held) -> Effects:
        if held.sync_until is not None:
            return []
        held.sync_until = now + SYNC_S
        others = self._other_holders(held.window.limit.account)
        held.awaited = set(others)
        if not others:
            return self._end_sync(now, held)
        return [
            self._make_report(now, held, to, wants_answer=True)
            for to in others
        ]

    def _end_sync(self, now: float, held: _Held) -> Effects:
        held.is_synced = True
        held.sync_until = None
        waiting, held.waiting = held.waiting, []
        return [
            effect
            for ask in waiting
            for effect in self._decide(now, held, ask)
        ]

    # Whether others reach this instance.

    def _hear(self, now: float) -> None:
        if now - self._heard_at > SILENCE_S:
            # It may have been cut off, and others have granted meanwhile.
            self._resync()
        self._heard_at = now
        self._unanswered = 0
        self._is_cut_off = False

    def _ask_witnesses(self, now: float) -> Effects:
        """Ask others for an answer if none was heard while it grants."""
        if now - self._heard_at < QUIET_S:
            return []
        in_use = [
            held
            for held in self._held_by_account.values()
            if self._is_cut_off or now - held.changed_at < PAUSE_S
        ]
        if not in_use:
            self._unanswered = 0
            return []
        account = in_use[0].window.limit.account
        witnesses = [
            each
            for each in self._ranked(account, WITNESSES)
            if each != self.instance_id
        ]
        if not witnesses or now < self._ask_at:
            return []
        if not self._unanswered:
            del witnesses[1:]
        if self._unanswered >= CUT_OFF_ASKS:
            self._is_cut_off = True
        self._unanswered += 1
        self._ask_at = now + (ASK_CUT_OFF_S if self._is_cut_off else ASK_S)
        return [
            self._make_report(now, in_use[0], to, wants_answer=True)
            for to in witnesses
        ]
