"""Presence of backend servers: which of them may receive work.

A backend server announces itself to any instance, sends it a renewal about
once a second, and notifies it when it leaves. That instance, the backend
server's front, forwards all of this to the instances that dispatch work to
it. At a dispatching instance, presence is a short lease on that instance's
own clock. Without renewals the lease expires, so that neither a crash nor a
partition leaves work going to a server that is gone.

A leave is sent to every instance, and acknowledged when it can no longer be
lost, see :mod:`._departures`. It is retained for longer than an old
announcement can be in transit, so that none can make the server present again.
"""

from collections import abc
import typing

import msgspec

from . import parts
from ._backends import Backend
from ._backends import Backends
from ._backends import stamp
from ._departures import Departures
from ._presence_messages import AbsenceCause
from ._presence_messages import Announced
from ._presence_messages import BackendAnnouncement
from ._presence_messages import BackendChanged
from ._presence_messages import BackendDeparture
from ._presence_messages import BackendLoad
from ._presence_messages import BackendRenewal
from ._presence_messages import BackendRole
from ._presence_messages import BackendStart
from ._presence_messages import CacheEvent
from ._presence_messages import CacheEventKind
from ._presence_messages import CacheEvents
from ._presence_messages import CacheHints
from ._presence_messages import DepartureAnswered
from ._presence_messages import DepartureHeard
from ._presence_messages import DepartureNotKept
from ._presence_messages import DeparturesConfirmed
from ._presence_messages import DepartureSpread
from ._presence_messages import DeparturesStored
from ._presence_messages import Forward
from ._presence_messages import Left
from ._presence_messages import MESSAGES
from ._presence_messages import PresenceBatch
from ._presence_messages import PresenceOutcome
from ._presence_messages import PresenceUnknown
from ._presence_messages import Presented
from ._presence_messages import RECORDS
from ._presence_messages import Renewed
from ._presence_messages import SetInstances
from ._presence_messages import SetVoters

__all__ = [
    'AbsenceCause',
    'Announced',
    'Backend',
    'BackendAnnouncement',
    'BackendChanged',
    'BackendDeparture',
    'BackendLoad',
    'BackendRenewal',
    'BackendRole',
    'BackendStart',
    'CacheEvent',
    'CacheEventKind',
    'CacheEvents',
    'CacheHints',
    'DepartureAnswered',
    'DepartureHeard',
    'DepartureNotKept',
    'DepartureSpread',
    'DeparturesConfirmed',
    'DeparturesStored',
    'Forward',
    'Left',
    'MESSAGES',
    'Presence',
    'PresenceBatch',
    'PresenceOutcome',
    'PresenceUnknown',
    'Presented',
    'RECORDS',
    'Renewed',
    'SetInstances',
    'SetVoters',
]

#: Seconds without renewal after which a backend server receives no work.
LEASE_S = 3.0
#: Seconds for which leaves are retained. A message may wait a few seconds in
#: one of our queues, but minutes in a connection that stalls and recovers.
RETENTION_S = 3600.0
#: Seconds for which renewals to the same instance are collected in a batch.
BATCH_S = 0.2
#: Seconds without a renewal after which the front requires a new announcement.
FRONT_TIMEOUT_S = 60.0
#: Seconds from the first announcement of a new start in which a leave without
#: an incarnation may be of the start before. Messages of a backend server may
#: arrive some seconds late.
LATE_LEAVE_S = 5.0
#: Incarnation of a leave without one, by an unknown backend server.
_ONLY_INCARNATION = 0


class _Front(msgspec.Struct, kw_only=True):
    """A backend server whose front is this instance.

    :param received_at: when its last message was received.
    :param last: stamp of its last message.
    :param to: instances to which its messages are forwarded.
    """

    announcement: BackendAnnouncement
    received_at: float
    last: tuple[int, int]
    to: tuple[str, ...] = ()


class _Successor(msgspec.Struct, frozen=True, kw_only=True):
    """A restart of a backend server under the same id.

    :param incarnation: of the new start.
    :param since: when this instance received the first announcement of the
        new one.
    """

    incarnation: int
    since: float


class _Renewal(msgspec.Struct, kw_only=True):
    """A renewal to be sent with the next batch."""

    renewal: BackendRenewal
    received_at: float


class Presence:
    """The presence state machine, for the front and the dispatching side.

    :param instance_id: this instance.
    :param has_disk: whether it stores leaves.
    :param lease_s: seconds without renewal after which presence ends.
    :param retention_s: seconds for which leaves are retained.
    :param suspends_leases_in_outage: whether leases are suspended while no
        renewals arrive from any backend server, because whatever carries all
        heartbeats is down.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        has_disk: bool = False,
        lease_s: float = LEASE_S,
        retention_s: float = RETENTION_S,
        suspends_leases_in_outage: bool = False,
    ) -> None:
        self.instance_id = instance_id
        self.lease_s = lease_s
        self._retention_s = retention_s
        self._backends = Backends(
            lease_s=lease_s,
            retention_s=retention_s,
            suspends_leases_in_outage=suspends_leases_in_outage,
        )
        self._has_disk = has_disk
        self._departures = Departures(
            instance_id=instance_id, has_disk=has_disk
        )
        #: Leaves read from the disk, until the time is known.
        self._restored: list[BackendDeparture] = []
        self._fronts_by_id: dict[str, _Front] = {}
        self._renewals_by_dispatcher: dict[str, list[_Renewal]] = {}
        self._batch_at = 0.0
        self._successors_by_id: dict[str, _Successor] = {}

    # Accessors.

    @property
    def backends_by_id(self) -> dict[str, Backend]:
        """All backend servers announced to this instance, present or not."""
        return self._backends.by_id

    def usable(self, service: str, now: float) -> list[Backend]:
        """Return the backend servers of a service that may receive work."""
        return [
            backend
            for _, backend in sorted(self.backends_by_id.items())
            if backend.announcement.service == service
            and self._backends.may_receive_work(backend, now)
        ]

    def has_left(self, start: BackendStart) -> bool:
        """Return whether a start of a backend server announced its leave."""
        left, _ = self._backends.left(start.backend_id)
        return left >= start.incarnation

    def departure_of(self, start: BackendStart) -> BackendDeparture | None:
        """Return the leave of a start; ``None`` if it may still get work."""
        incarnation, sequence = self._backends.left(start.backend_id)
        held = self.backends_by_id.get(start.backend_id)
        is_back = (
            held is not None
            and held.announcement.incarnation == start.incarnation
            and stamp(held.announcement) > (incarnation, sequence)
        )
        if incarnation < start.incarnation or is_back:
            return None
        return BackendDeparture(
            backend_id=start.backend_id,
            incarnation=incarnation,
            sequence=sequence,
        )

    def left_s(self, now: float, backend_id: str) -> float:
        """Return the seconds since the leave of a backend server was heard.

        Negative if it was heard after ``now``.
        """
        return self._backends.left_s(now, backend_id)

    # Interface of a coordination part.

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Apply an event; return the effects to perform, in order."""
        if self._restored:
            restored, self._restored = self._restored, []
            return [
                *self._apply_restored(event.now, restored),
                *self._handle(event),
            ]
        return self._handle(event)

    def _handle(self, event: typing.Any) -> list[typing.Any]:
        match event:
            case parts.Ticked():
                return self._tick(event.now)
            case parts.Received():
                return self._receive(event)
            case parts.Persisted():
                return self._departures.persisted(event.now, event.token)
            case Announced():
                return self._on_announced(event)
            case Renewed():
                return self._on_renewed(event)
            case Left():
                return self._on_left(event)
            case Forward():
                return self._on_forward(event)
            case SetInstances():
                self._departures.set_instances(
                    event.now, event.instance_ids, event.started_ids
                )
                return []
            case SetVoters():
                self._departures.set_voters(event.voter_ids)
                return []
        raise TypeError(f'presence cannot handle event {type(event).__name__}')

    def restore(self, record: typing.Any) -> None:
        """Restore a leave from the journal; ignore records of other parts.

        Backend servers renew within a second, so nothing else is stored.
        """
        if isinstance(record, BackendDeparture):
            self._restored.append(record)

    def snapshot(self) -> tuple[BackendDeparture, ...]:
        """Return the records that :meth:`restore` needs."""
        if not self._has_disk:
            return ()
        return (*self._restored, *self._backends.departures())

    def _apply_restored(
        self, now: float, restored: list[BackendDeparture]
    ) -> list[typing.Any]:
        """Apply the leaves from the disk, as if they were heard now.

        No clock tells for how long the instance was down.
        """
        self._departures.restore(now, restored)
        return [
            effect
            for departure in restored
            for effect in self._backends.leave(now, departure)
        ]

    # Requests of backend servers to this instance as their front.

    def _on_announced(self, event: Announced) -> list[typing.Any]:
        announcement = event.announcement
        self._backends.remove_former(event.now, announcement)
        outcome = self._message_outcome(
            announcement.backend_id, stamp(announcement)
        )
        front = self._fronts_by_id.get(announcement.backend_id)
        is_repeated = front is not None and front.last == stamp(announcement)
        if outcome is not PresenceOutcome.ACCEPTED or is_repeated:
            return [_complete(event.ticket, outcome)]
        self._record_restart(event.now, announcement)
        self._fronts_by_id[announcement.backend_id] = _Front(
            announcement=announcement,
            received_at=event.now,
            last=stamp(announcement),
            to=front.to if front is not None else (),
        )
        effects: list[typing.Any] = [_complete(event.ticket, outcome)]
        front = self._fronts_by_id[announcement.backend_id]
        return effects + self._send_announcement(event.now, front, front.to)

    def _on_renewed(self, event: Renewed) -> list[typing.Any]:
        front = self._fronts_by_id.get(event.backend_id)
        message_stamp = (event.incarnation, event.sequence)
        outcome = self._renewal_outcome(event, front)
        is_accepted = outcome is PresenceOutcome.ACCEPTED
        if is_accepted and front is not None and front.last < message_stamp:
            front.last = message_stamp
            front.received_at = event.now
            self._queue(event, front)
        return [_complete(event.ticket, outcome)]

    def _renewal_outcome(
        self, event: Renewed, front: _Front | None
    ) -> PresenceOutcome:
        if front is None:
            message_stamp = (event.incarnation, event.sequence)
            if message_stamp <= self._backends.left(event.backend_id):
                return PresenceOutcome.LEFT
            return PresenceOutcome.ANNOUNCE_AGAIN
        if event.incarnation > front.announcement.incarnation:
            return PresenceOutcome.ANNOUNCE_AGAIN
        return self._message_outcome(
            event.backend_id, (event.incarnation, event.sequence)
        )

    def _message_outcome(
        self, backend_id: str, message_stamp: tuple[int, int]
    ) -> PresenceOutcome:
        if message_stamp <= self._backends.left(backend_id):
            return PresenceOutcome.LEFT
        front = self._fronts_by_id.get(backend_id)
        # An equal stamp is a retry after the answer was lost.
        if front is not None and message_stamp < front.last:
            return PresenceOutcome.OLD
        return PresenceOutcome.ACCEPTED

    def _on_left(self, event: Left) -> list[typing.Any]:
        incarnation = self._leaving_incarnation(event)
        if incarnation is None:
            return [_complete(event.ticket, PresenceOutcome.NOT_KEPT)]
        departure = BackendDeparture(
            backend_id=event.backend_id,
            incarnation=incarnation,
            sequence=event.sequence,
        )
        left, sequence = self._backends.left(event.backend_id)
        if (left, sequence) > stamp(departure):
            # A later leave covers this one.
            departure = BackendDeparture(
                backend_id=event.backend_id,
                incarnation=left,
                sequence=sequence,
            )
        effects = self._record_departure(
            event.now, departure, self.instance_id
        )
        return effects + self._departures.ask(
            event.now, departure, event.ticket
        )

    def _record_restart(
        self, now: float, announcement: BackendAnnouncement
    ) -> None:
        """Record a restart of a backend server under the same id."""
        backend_id = announcement.backend_id
        former = self._newest_start(backend_id)
        if former is not None and former < announcement.incarnation:
            self._successors_by_id[backend_id] = _Successor(
                incarnation=announcement.incarnation, since=now
            )

    def _newest_start(self, backend_id: str) -> int | None:
        held = [
            each.announcement.incarnation
            for each in (
                self._fronts_by_id.get(backend_id),
                self.backends_by_id.get(backend_id),
            )
            if each is not None
        ]
        return max(held, default=None)

    def _leaving_incarnation(self, event: Left) -> int | None:
        """Return the incarnation of the start that a leave is of.

        ``None`` if that can't be told. A leave that names no incarnation may
        be a late one of the start before. If it were attributed to the newest
        start, a backend server that has just restarted would receive no work
        for as long as it runs; if to the start before, one that leaves soon
        after its restart would go on receiving work. One that is there sends
        it again until it can be told, or to an instance that knows its start.
        """
        if event.incarnation is not None:
            return event.incarnation
        newest = self._newest_start(event.backend_id)
        if newest is None:
            return None if self._are_starts_numbered() else _ONLY_INCARNATION
        successor = self._successors_by_id.get(event.backend_id)
        is_young = (
            successor is not None
            and successor.incarnation == newest
            and event.now < successor.since + LATE_LEAVE_S
        )
        return None if is_young else newest

    def _are_starts_numbered(self) -> bool:
        """Whether the backend servers known here have incarnations."""
        return any(
            backend.announcement.incarnation != _ONLY_INCARNATION
            for backend in self.backends_by_id.values()
        )

    def _on_forward(self, event: Forward) -> list[typing.Any]:
        front = self._fronts_by_id.get(event.backend_id)
        if front is None:
            return []
        added = tuple(to for to in event.to if to not in front.to)
        front.to = event.to
        return self._send_announcement(event.now, front, added)

    # Forwarding to dispatching instances.

    def _send_announcement(
        self, now: float, front: _Front, to: abc.Iterable[str]
    ) -> list[typing.Any]:
        message = Presented(
            announcement=front.announcement, age_s=now - front.received_at
        )
        return [parts.Send(to=each, message=message) for each in to]

    def _queue(self, event: Renewed, front: _Front) -> None:
        renewal = BackendRenewal(
            backend_id=event.backend_id,
            incarnation=event.incarnation,
            sequence=event.sequence,
            load=event.load,
            cache_events=event.cache_events,
            age_s=0.0,
        )
        for to in front.to:
            waiting = self._renewals_by_dispatcher.setdefault(to, [])
            waiting.append(_Renewal(renewal=renewal, received_at=event.now))

    def _tick(self, now: float) -> list[typing.Any]:
        effects = self._backends.expire(now)
        effects += self._departures.tick(now)
        if now >= self._batch_at:
            self._batch_at = now + BATCH_S
            effects += self._send_batches(now)
        for backend_id, front in list(self._fronts_by_id.items()):
            if now >= front.received_at + FRONT_TIMEOUT_S:
                del self._fronts_by_id[backend_id]
                self._successors_by_id.pop(backend_id, None)
        return effects

    def _send_batches(self, now: float) -> list[typing.Any]:
        departures = self._departures.batched(now)
        effects = []
        for to, waiting in self._renewals_by_dispatcher.items():
            message = PresenceBatch(
                renewals=tuple(_with_age(item, now) for item in waiting),
                departures=departures,
            )
            effects.append(parts.Send(to=to, message=message))
        self._renewals_by_dispatcher = {}
        return effects

    # Messages forwarded by other instances.

    def _receive(self, event: parts.Received) -> list[typing.Any]:
        now, message = event.now, event.message
        match message:
            case Presented():
                self._backends.on_message(now)
                return self._backends.announce(
                    now, message.announcement, message.age_s
                )
            case PresenceBatch():
                return self._on_batch(now, event.sender, message)
            case PresenceUnknown():
                return self._on_presence_unknown(now, event.sender, message)
            case DeparturesConfirmed() | DeparturesStored():
                return self._departures.confirmed(
                    now,
                    event.sender,
                    message.departures,
                    is_stored=isinstance(message, DeparturesStored),
                )
            case DepartureSpread():
                effects = self._hear(
                    now, event.sender, message.departure, is_repeated=True
                )
                self._departures.spread_told(now, message)
                return effects
        raise TypeError(
            f'presence cannot handle message {type(message).__name__}'
        )

    def _on_batch(
        self, now: float, sender: str, message: PresenceBatch
    ) -> list[typing.Any]:
        effects: list[typing.Any] = []
        for departure in message.departures:
            effects += self._hear(
                now, sender, departure, is_repeated=message.is_repeated
            )
        if message.renewals:
            self._backends.on_message(now)
        else:
            effects += [
                parts.Send(
                    to=sender,
                    message=each,
                    by_datagram=not message.is_repeated,
                )
                for each in self._departures.confirmation(message.departures)
            ]
        unknown = []
        for renewal in message.renewals:
            renewed = self._backends.renew(now, renewal)
            if renewed is None:
                unknown.append(renewal.backend_id)
            effects += renewed or []
        if unknown:
            answer = PresenceUnknown(backend_ids=tuple(unknown))
            effects.append(parts.Send(to=sender, message=answer))
        return effects

    def _on_presence_unknown(
        self, now: float, sender: str, message: PresenceUnknown
    ) -> list[typing.Any]:
        effects: list[typing.Any] = []
        for backend_id in message.backend_ids:
            front = self._fronts_by_id.get(backend_id)
            if front is not None and sender in front.to:
                effects += self._send_announcement(now, front, (sender,))
        return effects

    def _hear(
        self,
        now: float,
        sender: str,
        departure: BackendDeparture,
        *,
        is_repeated: bool,
    ) -> list[typing.Any]:
        if stamp(departure) < self._backends.left(departure.backend_id):
            # Its sender is told of the later leave by whoever repeats that.
            return []
        effects = [
            *self._correct(now, sender, departure),
            *self._record_departure(now, departure, sender),
        ]
        return effects + self._departures.hear(
            now, sender, departure, is_repeated=is_repeated
        )

    def _correct(
        self, now: float, sender: str, departure: BackendDeparture
    ) -> list[typing.Any]:
        """Tell the sender of a leave that the backend server is back.

        Without this, an entry that missed the announcement would refuse to
        send what the owner of the cell books.
        """
        held = self.backends_by_id.get(departure.backend_id)
        if held is None or not held.present:
            return []
        announcement = held.announcement
        is_back = announcement.incarnation == departure.incarnation and stamp(
            announcement
        ) > stamp(departure)
        if not is_back:
            return []
        age_s = now - (held.lease_until - self.lease_s)
        message = Presented(announcement=announcement, age_s=age_s)
        return [parts.Send(to=sender, message=message)]

    def _record_departure(
        self, now: float, departure: BackendDeparture, heard_from: str
    ) -> list[typing.Any]:
        """Apply a leave, unless it is known."""
        backend_id = departure.backend_id
        if stamp(departure) <= self._backends.left(backend_id):
            return []
        front = self._fronts_by_id.get(backend_id)
        if front is not None and stamp(front.announcement) <= stamp(departure):
            del self._fronts_by_id[backend_id]
        heard = DepartureHeard(departure=departure, heard_from=heard_from)
        return [heard, *self._backends.leave(now, departure)]


def _complete(ticket: str, outcome: PresenceOutcome) -> parts.Complete:
    return parts.Complete(ticket=ticket, result=outcome)


def _with_age(item: _Renewal, now: float) -> BackendRenewal:
    return msgspec.structs.replace(item.renewal, age_s=now - item.received_at)
