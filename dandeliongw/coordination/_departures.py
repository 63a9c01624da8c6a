"""The spread of leaves: which instances know of each, and who repeats it.

A backend server sends its leave to one instance, which may die, hang or be cut
off as soon as it has acknowledged it. The acknowledgement is a promise that
every instance in touch with a majority of the voters will hear of the leave
within moments. Three rules keep it:

* It is given when a majority of the voters have stored the leave, and every
  other instance has confirmed it or has had :data:`CONFIRM_S` to do so. Until
  then it is refused, and the backend server asks again, or another instance.
* Each voter repeats a leave to the instances that have not confirmed it. A
  voter that the first instance keeps informed repeats it only to those; one
  that hears no more of it repeats it to all.
* An instance that has started since, or is seen again, is sent the leaves of
  the last :data:`RESEND_FOR_S`. Voters have them on disk.

So an instance in touch with any majority of the voters meets one that knows
the leave and repeats it.
"""

import collections
import itertools

import msgspec

from . import parts
from ._presence_messages import BackendDeparture
from ._presence_messages import DepartureAnswered
from ._presence_messages import DepartureNotKept
from ._presence_messages import DeparturesConfirmed
from ._presence_messages import DepartureSpread
from ._presence_messages import DeparturesStored
from ._presence_messages import PresenceBatch
from ._presence_messages import PresenceOutcome

#: Seconds after which a leave is sent over a connection to the instances that
#: have not confirmed it, and the acknowledgement waits for these no longer.
CONFIRM_S = 0.3
#: Seconds after which a backend server is told that its leave is not yet
#: kept. It may wait for an answer for no more than a second.
ANSWER_S = 0.8
#: Seconds after which a voter that has not been told who lacks a leave repeats
#: it to all: the instance that got the leave may be gone.
TAKEOVER_S = 0.6
#: Seconds between two further sends to an instance that has not confirmed it.
RESEND_S = 0.5
#: Seconds for which a leave is sent to the instances that lack it, or that
#: have started since. Announcements from before it are older by then than any
#: presence lease.
RESEND_FOR_S = 60.0
#: Seconds for which every batch of renewals carries a leave.
BATCHED_FOR_S = 10.0
#: Most leaves restored from the disk that are sent to other instances: those
#: of the last moments before the stop.
MAX_RESTORED = 64
#: Most leaves in one message, so that it fits in a datagram.
MAX_PER_MESSAGE = 16


class _Waiting(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server that waits for the answer to its leave."""

    ticket: str
    asked_at: float


class Departure(msgspec.Struct, kw_only=True):
    """A leave whose spread this instance takes part in.

    :param heard_from: the instance that sent it; this one if the backend
        server itself did, ``''`` if it was restored from the disk.
    :param resend_at: when to send it again to the instances that lack it;
        ``None`` while that is left to others.
    :param resend_until: when to stop that.
    :param confirmed_by: the other instances that are known to know it.
    :param stored_by: voters, this one included, that have it on disk.
    :param lacking: the instances that lack it, as reported by the one that
        got it from the backend server; ``None`` without a report.
    :param loses_datagrams: whether its sender has sent it before in vain.
    :param is_storing: whether this instance has begun to store it.
    :param is_sent: whether this instance has sent it to those that lack it.
    """

    departure: BackendDeparture
    heard_from: str
    resend_at: float | None
    resend_until: float
    confirmed_by: set[str] = msgspec.field(default_factory=set)
    stored_by: set[str] = msgspec.field(default_factory=set)
    lacking: set[str] | None = None
    loses_datagrams: bool = False
    is_storing: bool = False
    is_sent: bool = False
    waiting: list[_Waiting] = msgspec.field(default_factory=list)


class Departures:
    """The leaves that are being spread, and the answers to them.

    :param instance_id: this instance.
    :param has_disk: whether it stores leaves.
    """

    def __init__(self, *, instance_id: str, has_disk: bool) -> None:
        self._own_id = instance_id
        self._has_disk = has_disk
        self._instance_ids: tuple[str, ...] = ()
        self._voter_ids: frozenset[str] = frozenset()
        self._by_id: dict[str, Departure] = {}
        self._storing_by_token: dict[str, BackendDeparture] = {}
        self._tokens = itertools.count(1)

    # What it is told

    def set_voters(self, voter_ids: frozenset[str]) -> None:
        """Set the voters; without any, half of the others have to know."""
        self._voter_ids = voter_ids

    def set_instances(
        self,
        now: float,
        instance_ids: tuple[str, ...],
        started_ids: frozenset[str],
    ) -> None:
        """Set the instances that are alive.

        :param started_ids: those that were not among them before, or that
            have started anew since; they know no leave.
        """
        self._instance_ids = instance_ids
        if not started_ids - {self._own_id}:
            return
        for item in self._by_id.values():
            item.confirmed_by -= started_ids
            if self._repeats(item):
                if item.lacking is not None:
                    item.lacking |= started_ids
                item.resend_at = now

    def _repeats(self, item: Departure) -> bool:
        return self._has_disk or item.heard_from == self._own_id

    # Leaves

    def ask(
        self, now: float, departure: BackendDeparture, ticket: str
    ) -> list[object]:
        """Spread a leave that a backend server has sent to this instance.

        :param ticket: of the answer; it comes when the leave is kept.
        """
        item = self._by_id.get(departure.backend_id)
        if item is None or item.departure != departure:
            item = self._add(now, departure, self._own_id)
        item.heard_from = self._own_id
        item.waiting.append(_Waiting(ticket=ticket, asked_at=now))
        item.resend_at = now + CONFIRM_S
        sends = _Sends()
        self._send(item, sends)
        return [
            *self._store(item),
            *sends.messages(),
            *self._answer_if_kept(now, item),
        ]

    def hear(
        self,
        now: float,
        sender: str,
        departure: BackendDeparture,
        *,
        is_repeated: bool,
    ) -> list[object]:
        """Note that another instance has sent a leave.

        :param is_repeated: see :class:`.PresenceBatch`.
        """
        item = self._by_id.get(departure.backend_id)
        if item is None or item.departure != departure:
            item = self._add(now, departure, sender)
            if self._has_disk:
                item.resend_at = now + TAKEOVER_S
        item.confirmed_by.add(sender)
        item.loses_datagrams |= is_repeated
        return [
            *self._store(item),
            *self._answer_if_kept(now, item),
        ]

    def restore(self, now: float, found: list[BackendDeparture]) -> None:
        """Take in the leaves that were on the disk at the start, in order."""
        for departure in found[-MAX_RESTORED:]:
            item = self._add(now, departure, '')
            item.stored_by.add(self._own_id)
            item.is_storing = True

    def confirmation(
        self, departures: tuple[BackendDeparture, ...]
    ) -> list[object]:
        """Return the messages that confirm leaves to whoever sent them."""
        stored = tuple(
            departure
            for departure in departures
            if self._is_stored_here(departure)
        )
        out: list[object] = [DeparturesConfirmed(departures=departures)]
        if stored:
            out.append(DeparturesStored(departures=stored))
        return out

    def confirmed(
        self,
        now: float,
        sender: str,
        departures: tuple[BackendDeparture, ...],
        *,
        is_stored: bool,
    ) -> list[object]:
        """Note that another instance knows leaves.

        :param is_stored: whether it has them on its disk.
        """
        out: list[object] = []
        for departure in departures:
            item = self._known(departure)
            if item is None:
                continue
            item.confirmed_by.add(sender)
            if is_stored:
                item.stored_by.add(sender)
            out += self._answer_if_kept(now, item)
        return out

    def persisted(self, now: float, token: str) -> list[object]:
        """Note that this instance has a leave on its disk."""
        departure = self._storing_by_token.pop(token)
        item = self._known(departure)
        if item is None:
            return []
        item.stored_by.add(self._own_id)
        out = self._answer_if_kept(now, item)
        if item.heard_from != self._own_id:
            stored = DeparturesStored(departures=(item.departure,))
            out.append(
                parts.Send(
                    to=item.heard_from,
                    message=stored,
                    by_datagram=not item.loses_datagrams,
                )
            )
        return out

    def spread_told(self, now: float, message: DepartureSpread) -> None:
        """Note who lacks a leave, as reported by the one that got it."""
        item = self._known(message.departure)
        if item is None or not self._repeats(item):
            return
        item.lacking = set(message.lacking_ids)
        item.resend_at = now if item.lacking else None

    def batched(self, now: float) -> tuple[BackendDeparture, ...]:
        """Return the leaves that go with each batch of renewals."""
        return tuple(
            item.departure
            for item in self._by_id.values()
            if now < item.resend_until - RESEND_FOR_S + BATCHED_FOR_S
        )

    def _known(self, departure: BackendDeparture) -> Departure | None:
        item = self._by_id.get(departure.backend_id)
        return item if item and item.departure == departure else None

    def _is_stored_here(self, departure: BackendDeparture) -> bool:
        item = self._known(departure)
        return item is not None and self._own_id in item.stored_by

    def _add(
        self, now: float, departure: BackendDeparture, heard_from: str
    ) -> Departure:
        former = self._by_id.get(departure.backend_id)
        item = Departure(
            departure=departure,
            heard_from=heard_from,
            resend_at=None,
            resend_until=now + RESEND_FOR_S,
            # A later leave covers an earlier one.
            waiting=former.waiting if former is not None else [],
        )
        self._by_id[departure.backend_id] = item
        return item

    def _store(self, item: Departure) -> list[object]:
        if not self._has_disk or item.is_storing:
            return []
        item.is_storing = True
        token = str(next(self._tokens))
        self._storing_by_token[token] = item.departure
        return [parts.Persist(token=token, records=(item.departure,))]

    # Answers

    def _answer_if_kept(self, now: float, item: Departure) -> list[object]:
        if not item.waiting or not self._is_kept(item):
            return []
        lacking_ids = self._lacking_ids(item)
        ready = [
            each
            for each in item.waiting
            if not lacking_ids or now >= each.asked_at + CONFIRM_S
        ]
        out: list[object] = []
        for each in ready:
            item.waiting.remove(each)
            out.append(
                parts.Complete(
                    ticket=each.ticket, result=PresenceOutcome.ACCEPTED
                )
            )
            out.append(
                DepartureAnswered(
                    departure=item.departure,
                    took_s=now - each.asked_at,
                    stored_by=len(item.stored_by),
                    lacking_ids=lacking_ids,
                )
            )
        return out

    def _is_kept(self, item: Departure) -> bool:
        """Whether a leave outlasts the loss of this instance."""
        if self._voter_ids:
            stored = item.stored_by & self._voter_ids
            return 2 * len(stored) > len(self._voter_ids)
        others = len(set(self._instance_ids) - {self._own_id})
        return 2 * len(item.confirmed_by) >= others

    def _refuse_overdue(self, now: float, item: Departure) -> list[object]:
        overdue = [
            each for each in item.waiting if now >= each.asked_at + ANSWER_S
        ]
        out: list[object] = []
        for each in overdue:
            item.waiting.remove(each)
            out.append(
                parts.Complete(
                    ticket=each.ticket, result=PresenceOutcome.NOT_KEPT
                )
            )
            out.append(
                DepartureNotKept(
                    departure=item.departure,
                    stored_by=len(item.stored_by),
                    voters=len(self._voter_ids),
                )
            )
        return out

    # Repetition

    def tick(self, now: float) -> list[object]:
        """Answer and repeat what is due; forget what is old."""
        out: list[object] = []
        sends = _Sends()
        for backend_id, item in list(self._by_id.items()):
            out += self._answer_if_kept(now, item)
            out += self._refuse_overdue(now, item)
            if item.resend_at is not None and now >= item.resend_at:
                out += self._repeat(now, item, sends)
            if now >= item.resend_until and not item.waiting:
                del self._by_id[backend_id]
        return out + sends.messages()

    def _repeat(
        self, now: float, item: Departure, sends: '_Sends'
    ) -> list[object]:
        lacking_ids = self._lacking_ids(item)
        is_awaited = lacking_ids or item.waiting
        item.resend_at = now + RESEND_S if is_awaited else None
        self._send(item, sends)
        if item.heard_from != self._own_id:
            return []
        spread = DepartureSpread(
            departure=item.departure, lacking_ids=lacking_ids
        )
        return [
            parts.Send(to=to, message=spread, by_datagram=not lacking_ids)
            for to in sorted(self._voter_ids - {self._own_id})
        ]

    def _lacking_ids(self, item: Departure) -> tuple[str, ...]:
        return tuple(
            each
            for each in self._instance_ids
            if each != self._own_id
            and each not in item.confirmed_by
            and (item.lacking is None or each in item.lacking)
        )

    def _send(self, item: Departure, sends: '_Sends') -> None:
        """Send a leave to the instances that lack it.

        A connection to each of all instances would cost too much, so it goes
        out without one first.
        """
        to = set(self._lacking_ids(item))
        if item.waiting:
            # Also voters that know it: their report that they have stored it
            # may have been lost.
            to |= self._voter_ids - item.stored_by - {self._own_id}
        for each in sorted(to):
            sends.add(each, item.departure, is_repeated=item.is_sent)
        item.is_sent = True


class _Sends:
    """Collects leaves by their receiver.

    An instance that starts sends what it has restored to all others, and gets
    what the others know.
    """

    def __init__(self) -> None:
        self._by_receiver: dict[tuple[str, bool], list[BackendDeparture]] = (
            collections.defaultdict(list)
        )

    def add(
        self, to: str, departure: BackendDeparture, *, is_repeated: bool
    ) -> None:
        self._by_receiver[to, is_repeated].append(departure)

    def messages(self) -> list[parts.Send]:
        """Return the messages; those that are repeated need a connection."""
        return [
            parts.Send(
                to=to,
                message=PresenceBatch(
                    renewals=(),
                    departures=tuple(departures[n : n + MAX_PER_MESSAGE]),
                    is_repeated=is_repeated,
                ),
                by_datagram=not is_repeated,
            )
            for (to, is_repeated), departures in self._by_receiver.items()
            for n in range(0, len(departures), MAX_PER_MESSAGE)
        ]
