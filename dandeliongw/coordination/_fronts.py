"""The backend servers whose front is this instance.

A front hears a backend server over HTTP and forwards what it says to the
instances that dispatch to it: announcements at once, renewals in batches.
"""

from collections import abc
import typing

import msgspec

from . import parts
from ._backends import Backends
from ._backends import stamp
from ._backends import Stamp
from ._presence_messages import Announced
from ._presence_messages import BackendAnnouncement
from ._presence_messages import BackendDeparture
from ._presence_messages import BackendRenewal
from ._presence_messages import Forward
from ._presence_messages import Left
from ._presence_messages import PresenceBatch
from ._presence_messages import PresenceOutcome
from ._presence_messages import Presented
from ._presence_messages import Renewed

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
    last: Stamp
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


class Fronts:
    """The state of an instance as the front of backend servers.

    :param backends: the backend servers that this instance dispatches to, and
        the leaves that it knows.
    """

    def __init__(self, *, backends: Backends) -> None:
        self._backends = backends
        self._by_id: dict[str, _Front] = {}
        self._renewals_by_dispatcher: dict[str, list[_Renewal]] = {}
        self._batch_at = 0.0
        self._successors_by_id: dict[str, _Successor] = {}

    # Requests of backend servers.

    def announce(self, event: Announced) -> list[typing.Any]:
        """Answer an announcement, and forward it if it is new."""
        announcement = event.announcement
        self._backends.remove_former(event.now, announcement)
        outcome = self._outcome(announcement.backend_id, stamp(announcement))
        front = self._by_id.get(announcement.backend_id)
        is_repeated = front is not None and front.last == stamp(announcement)
        answer = parts.Complete(ticket=event.ticket, result=outcome)
        if outcome is not PresenceOutcome.ACCEPTED or is_repeated:
            return [answer]
        self._record_restart(event.now, announcement)
        made = _Front(
            announcement=announcement,
            received_at=event.now,
            last=stamp(announcement),
            to=front.to if front is not None else (),
        )
        self._by_id[announcement.backend_id] = made
        return [answer, *_send_announcement(event.now, made, made.to)]

    def renew(self, event: Renewed) -> list[typing.Any]:
        """Answer a renewal, and queue it for the next batch if it is new."""
        front = self._by_id.get(event.backend_id)
        message_stamp = (event.incarnation, event.sequence)
        outcome = self._renewal_outcome(event, front)
        is_accepted = outcome is PresenceOutcome.ACCEPTED
        if is_accepted and front is not None and front.last < message_stamp:
            front.last = message_stamp
            front.received_at = event.now
            self._queue(event, front)
        return [parts.Complete(ticket=event.ticket, result=outcome)]

    def _renewal_outcome(
        self, event: Renewed, front: _Front | None
    ) -> PresenceOutcome:
        message_stamp = (event.incarnation, event.sequence)
        if front is None:
            if message_stamp <= self._backends.left(event.backend_id):
                return PresenceOutcome.LEFT
            return PresenceOutcome.ANNOUNCE_AGAIN
        if event.incarnation > front.announcement.incarnation:
            return PresenceOutcome.ANNOUNCE_AGAIN
        return self._outcome(event.backend_id, message_stamp)

    def _outcome(
        self, backend_id: str, message_stamp: Stamp
    ) -> PresenceOutcome:
        if message_stamp <= self._backends.left(backend_id):
            return PresenceOutcome.LEFT
        front = self._by_id.get(backend_id)
        # An equal stamp is a retry after the answer was lost.
        if front is not None and message_stamp < front.last:
            return PresenceOutcome.OLD
        return PresenceOutcome.ACCEPTED

    # Starts and leaves.

    def leaving_incarnation(self, event: Left) -> int | None:
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

    def end(self, departure: BackendDeparture) -> None:
        """Forget a backend server that has left."""
        front = self._by_id.get(departure.backend_id)
        if front is not None and stamp(front.announcement) <= stamp(departure):
            del self._by_id[departure.backend_id]

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
                self._by_id.get(backend_id),
                self._backends.by_id.get(backend_id),
            )
            if each is not None
        ]
        return max(held, default=None)

    def _are_starts_numbered(self) -> bool:
        """Whether the backend servers known here have incarnations."""
        return any(
            backend.announcement.incarnation != _ONLY_INCARNATION
            for backend in self._backends.by_id.values()
        )

    # Forwarding to dispatching instances.

    def forward(self, event: Forward) -> list[typing.Any]:
        """Set the dispatching instances; announce to those that are new."""
        front = self._by_id.get(event.backend_id)
        if front is None:
            return []
        added = tuple(to for to in event.to if to not in front.to)
        front.to = event.to
        return _send_announcement(event.now, front, added)

    def announce_again(
        self, now: float, to: str, backend_ids: abc.Iterable[str]
    ) -> list[typing.Any]:
        """Send announcements that a dispatching instance doesn't know."""
        effects: list[typing.Any] = []
        for backend_id in backend_ids:
            front = self._by_id.get(backend_id)
            if front is not None and to in front.to:
                effects += _send_announcement(now, front, (to,))
        return effects

    def tick(
        self, now: float, departures: tuple[BackendDeparture, ...]
    ) -> list[typing.Any]:
        """Send the renewals that are due; forget silent backend servers.

        :param departures: leaves that go with each batch of renewals.
        """
        effects = []
        if now >= self._batch_at:
            self._batch_at = now + BATCH_S
            effects = self._send_batches(now, departures)
        for backend_id, front in list(self._by_id.items()):
            if now >= front.received_at + FRONT_TIMEOUT_S:
                del self._by_id[backend_id]
                self._successors_by_id.pop(backend_id, None)
        return effects

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

    def _send_batches(
        self, now: float, departures: tuple[BackendDeparture, ...]
    ) -> list[typing.Any]:
        effects = []
        for to, waiting in self._renewals_by_dispatcher.items():
            message = PresenceBatch(
                renewals=tuple(_with_age(item, now) for item in waiting),
                departures=departures,
            )
            effects.append(parts.Send(to=to, message=message))
        self._renewals_by_dispatcher = {}
        return effects


def _send_announcement(
    now: float, front: _Front, to: abc.Iterable[str]
) -> list[typing.Any]:
    message = Presented(
        announcement=front.announcement, age_s=now - front.received_at
    )
    return [parts.Send(to=each, message=message) for each in to]


def _with_age(item: _Renewal, now: float) -> BackendRenewal:
    return msgspec.structs.replace(item.renewal, age_s=now - item.received_at)
