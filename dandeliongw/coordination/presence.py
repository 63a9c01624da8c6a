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

import typing

from . import parts
from ._backends import Backend
from ._backends import Backends
from ._backends import stamp
from ._departures import Departures
from ._fronts import Fronts
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
from ._presence_messages import LAST_SEQUENCE
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
    'LAST_SEQUENCE',
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
        self._fronts = Fronts(backends=self._backends)

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
                return self._fronts.announce(event)
            case Renewed():
                return self._fronts.renew(event)
            case Left():
                return self._on_left(event)
            case Forward():
                return self._fronts.forward(event)
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

    def _on_left(self, event: Left) -> list[typing.Any]:
        incarnation = self._fronts.leaving_incarnation(event)
        if incarnation is None:
            return [
                parts.Complete(
                    ticket=event.ticket, result=PresenceOutcome.NOT_KEPT
                )
            ]
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

    def _tick(self, now: float) -> list[typing.Any]:
        return [
            *self._backends.expire(now),
            *self._departures.tick(now),
            *self._fronts.tick(now, self._departures.batched(now)),
        ]

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
                return self._fronts.announce_again(
                    now, event.sender, message.backend_ids
                )
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
        self._fronts.end(departure)
        heard = DepartureHeard(departure=departure, heard_from=heard_from)
        return [heard, *self._backends.leave(now, departure)]
