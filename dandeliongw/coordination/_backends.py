"""The table of backend servers at a dispatching instance.

For each backend server the highest announcement and the highest leave are
kept, ordered by ``(incarnation, sequence)``. It is present while the
announcement is the higher of the two, its lease runs, and no other process
has started at its address since. All of these only grow, so the state
converges whatever the order of messages and however often they arrive.

A renewal raises neither. Otherwise a renewal that overtakes a leave would
make the leave look stale, and a backend server that has left would receive
work until the lease from its last renewal expires.
"""

import math
import typing

import msgspec

from ._presence_messages import AbsenceCause
from ._presence_messages import BackendAnnouncement
from ._presence_messages import BackendChanged
from ._presence_messages import BackendDeparture
from ._presence_messages import BackendLoad
from ._presence_messages import BackendRenewal
from ._presence_messages import CacheEvents
from ._presence_messages import CacheHints

Stamp = tuple[int, int]
#: Lower than any stamp of a message of a backend server.
NEVER: Stamp = (-1, -1)
#: Seconds after the end of a lease during which the address of a backend
#: server is not reassigned to a process with a lower incarnation.
URL_RETENTION_S = 60.0
#: Seconds after the end of a lease from which a lower incarnation counts as a
#: new start. This is longer than heartbeats can be delayed. Incarnations may
#: be derived from a clock that is set back while a backend server is down.
LOWER_START_AFTER_S = 60.0
#: Seconds between two removals of expired entries.
FORGET_PERIOD_S = 30.0


def stamp(
    message: BackendAnnouncement | BackendRenewal | BackendDeparture,
) -> Stamp:
    """Return the key that orders the messages of one backend server."""
    return message.incarnation, message.sequence


class Backend(msgspec.Struct, kw_only=True):
    """A backend server that was announced to this instance.

    :param lease_until: when its lease ends, on this instance's clock.
    :param renewed: stamp of the last message that renewed it.
    :param load: the last load report, or ``None``.
    :param load_at: when an instance first received that report, on this
        instance's clock.
    :param next_cache_event: number that the next cache event should have.
    :param cache_gaps: number of times that cache events were lost.
    """

    announcement: BackendAnnouncement
    lease_until: float
    renewed: Stamp
    present: bool = False
    load: BackendLoad | None = None
    load_at: float = 0.0
    next_cache_event: int = 0
    cache_gaps: int = 0


class _Holder(msgspec.Struct, kw_only=True):
    """The process that was the last to start at an address.

    :param rank: order of its start; see :meth:`Backends._rank`.
    :param until: until when a process with a lower rank is refused.
    """

    rank: tuple[int, int]
    backend_id: str
    until: float


class Backends:
    """The table of backend servers, their leases and the leaves.

    :param lease_s: seconds without renewal after which a backend server
        receives no work.
    :param retention_s: seconds for which leaves and expired backend servers
        are retained.
    :param suspends_leases_in_outage: whether leases are suspended while no
        announcement or renewal of any backend server arrives.
    """

    def __init__(
        self,
        *,
        lease_s: float,
        retention_s: float,
        suspends_leases_in_outage: bool,
    ) -> None:
        self._suspend_after_s = (
            lease_s / 2 if suspends_leases_in_outage else math.inf
        )
        self._received_at: float | None = None
        self._lease_s = lease_s
        self._retention_s = retention_s
        self.by_id: dict[str, Backend] = {}
        self._left_by_id: dict[str, Stamp] = {}
        self._forget_left_by_id: dict[str, float] = {}
        self._holders_by_url: dict[str, _Holder] = {}
        self._first_seen_by_id: dict[str, int] = {}
        self._ids_seen = 0
        self._forget_at = 0.0
        #: Lower bound of the end of all running leases. Renewals only extend
        #: leases, so it need not be recomputed before that time.
        self._next_end = math.inf

    def left(self, backend_id: str) -> Stamp:
        """Return the highest leave of a backend server."""
        return self._left_by_id.get(backend_id, NEVER)

    def departures(self) -> tuple[BackendDeparture, ...]:
        """Return the highest leave of each backend server that left."""
        return tuple(
            BackendDeparture(
                backend_id=backend_id, incarnation=left, sequence=sequence
            )
            for backend_id, (left, sequence) in self._left_by_id.items()
        )

    def left_s(self, now: float, backend_id: str) -> float:
        """Return the seconds since this instance learned of that leave."""
        forget_at = self._forget_left_by_id.get(backend_id)
        if forget_at is None:
            return 0.0
        return now - (forget_at - self._retention_s)

    def remove_former(
        self, now: float, announcement: BackendAnnouncement
    ) -> None:
        """Remove a start, or its leave, that a new lower start must replace.

        It must have ended at least ``LOWER_START_AFTER_S`` ago.

        The clock of a backend server may be set back between two starts.
        Without this, announcements of the new start would be rejected as
        stale, and it would receive no work for an hour.
        """
        backend_id = announcement.backend_id
        since = now - LOWER_START_AFTER_S
        left, _ = self.left(backend_id)
        if left > announcement.incarnation and (
            self._forget_left_by_id[backend_id] - self._retention_s <= since
        ):
            del self._left_by_id[backend_id]
            del self._forget_left_by_id[backend_id]
        held = self.by_id.get(backend_id)
        if held is None or held.lease_until > since:
            return
        if held.announcement.incarnation > announcement.incarnation:
            del self.by_id[backend_id]
            self._release_url(held)

    def announce(
        self, now: float, announcement: BackendAnnouncement, age_s: float
    ) -> list[typing.Any]:
        """Apply an announcement, unless a newer one is known.

        :param age_s: seconds since its front last received a message of the
            backend server; its lease counts from then.
        """
        self.remove_former(now, announcement)
        replaced = self._assign_url(now, announcement, age_s)
        held = self.by_id.get(announcement.backend_id)
        if held is not None and stamp(announcement) <= stamp(
            held.announcement
        ):
            return replaced
        effects = []
        if (
            held is not None
            and held.present
            and _is_new_start(held, announcement)
        ):
            effects.append(self._absent(held, AbsenceCause.RESTARTED))
        backend = self._put(now, announcement, age_s, held)
        refreshed = self._refresh(now, backend)
        if not refreshed and backend.present and _is_altered(held, backend):
            # The same start changed its role or its slots. Without this
            # effect its cell would send it the wrong work.
            refreshed = [self._present(backend)]
        return effects + replaced + refreshed

    def renew(
        self, now: float, renewal: BackendRenewal
    ) -> list[typing.Any] | None:
        """Apply a renewal; return ``None`` if its announcement is unknown."""
        held = self.by_id.get(renewal.backend_id)
        if held is None or held.announcement.incarnation < renewal.incarnation:
            has_left = stamp(renewal) <= self.left(renewal.backend_id)
            return [] if has_left else None
        if stamp(renewal) <= held.renewed:
            return []
        held.renewed = stamp(renewal)
        received_at = now - renewal.age_s
        held.lease_until = max(held.lease_until, received_at + self._lease_s)
        self._extend_url(held)
        if renewal.load is not None:
            held.load = renewal.load
            held.load_at = received_at
        effects = self._refresh(now, held)
        if renewal.cache_events is not None:
            effects += _hints(held, renewal.cache_events)
        return effects

    def leave(
        self, now: float, departure: BackendDeparture
    ) -> list[typing.Any]:
        """Apply a leave and retain it."""
        backend_id = departure.backend_id
        if stamp(departure) <= self.left(backend_id):
            return []
        self._left_by_id[backend_id] = stamp(departure)
        self._forget_left_by_id[backend_id] = now + self._retention_s
        held = self.by_id.get(backend_id)
        return [] if held is None else self._refresh(now, held)

    def on_message(self, now: float) -> None:
        """Record that an announcement or a renewal arrived.

        There may have been none before it because whatever carries the
        heartbeats was down. No backend server is known to have ended in that
        time, so the leases resume from where they were suspended. Otherwise
        all backend servers would be absent until the next renewal of each.
        """
        suspended_s = self._suspended_s(now)
        self._received_at = now
        if suspended_s > 0.0:
            for backend in self.by_id.values():
                backend.lease_until += suspended_s

    def _suspended_s(self, now: float) -> float:
        """Return for how many seconds leases have been suspended."""
        if self._received_at is None:
            return 0.0
        return max(0.0, now - self._received_at - self._suspend_after_s)

    def expire(self, now: float) -> list[typing.Any]:
        """End expired leases; remove entries whose retention is over."""
        effects = []
        if now >= self._next_end:
            effects = self._end_leases(now)
        if now >= self._forget_at:
            self._forget_at = now + FORGET_PERIOD_S
            self._forget(now)
        return effects

    def _end_leases(self, now: float) -> list[typing.Any]:
        effects = []
        present = [each for each in self.by_id.values() if each.present]
        for backend in present:
            effects += self._refresh(now, backend)
        self._next_end = min(
            (each.lease_until for each in present if each.present),
            default=math.inf,
        )
        return effects

    def _forget(self, now: float) -> None:
        for backend_id, backend in list(self.by_id.items()):
            if now >= backend.lease_until + self._retention_s:
                del self.by_id[backend_id]
        for backend_id, end in list(self._forget_left_by_id.items()):
            if now >= end:
                del self._forget_left_by_id[backend_id]
                del self._left_by_id[backend_id]
        self._forget_urls(now)

    def may_receive_work(self, backend: Backend, now: float) -> bool:
        """Return whether a backend server may receive work now."""
        announcement = backend.announcement
        return (
            stamp(announcement) > self.left(announcement.backend_id)
            and now - self._suspended_s(now) < backend.lease_until
            and self._holders_by_url[announcement.url].rank
            == self._rank(announcement)
        )

    def _put(
        self,
        now: float,
        announcement: BackendAnnouncement,
        age_s: float,
        held: Backend | None,
    ) -> Backend:
        backend = Backend(
            announcement=announcement,
            lease_until=now - age_s + self._lease_s,
            renewed=stamp(announcement),
        )
        if held is not None and not _is_new_start(held, announcement):
            backend.present = held.present
            backend.renewed = max(held.renewed, backend.renewed)
            backend.lease_until = max(held.lease_until, backend.lease_until)
            backend.load, backend.load_at = held.load, held.load_at
            backend.next_cache_event = held.next_cache_event
            backend.cache_gaps = held.cache_gaps
        if backend.present:
            self._next_end = min(self._next_end, backend.lease_until)
        self.by_id[announcement.backend_id] = backend
        return backend

    def _assign_url(
        self, now: float, announcement: BackendAnnouncement, age_s: float
    ) -> list[typing.Any]:
        """Assign an address to the process that was the last to start there.

        A process may start at the address of one that died. Without this, an
        old announcement of the dead process would send its requests to a
        process that serves something else.
        """
        holder = self._holders_by_url.get(announcement.url)
        is_held = holder is not None and now < holder.until
        if is_held and (
            holder.rank >= self._rank(announcement)
            or self._is_outlived(holder, announcement, now - age_s)
        ):
            return []
        self._holders_by_url[announcement.url] = _Holder(
            rank=self._rank(announcement),
            backend_id=announcement.backend_id,
            until=now + self._lease_s + URL_RETENTION_S,
        )
        former = self.by_id.get(holder.backend_id) if holder else None
        return [] if former is None else self._refresh(now, former)

    def _is_outlived(
        self,
        holder: _Holder,
        announcement: BackendAnnouncement,
        received_at: float,
    ) -> bool:
        """Whether a process fell silent before the holder was last heard.

        An instance that has just started is told of all processes at once,
        those that died included. Their order tells nothing then.

        :param received_at: when its front last heard the process announced.
        """
        held = self.by_id.get(holder.backend_id)
        return (
            held is not None
            and held.announcement.incarnation == announcement.incarnation
            and received_at < held.lease_until - self._lease_s
        )

    def _release_url(self, backend: Backend) -> None:
        """Release the address of a removed backend server if it has it."""
        url = backend.announcement.url
        holder = self._holders_by_url.get(url)
        if holder is not None and holder.backend_id == (
            backend.announcement.backend_id
        ):
            del self._holders_by_url[url]

    def _rank(self, announcement: BackendAnnouncement) -> tuple[int, int]:
        """Return the key that orders the starts at an address.

        Some backend servers get a new id at each start and send no
        incarnations. Of these, the one whose id was first received last is
        taken to have started last. A late announcement of an earlier one does
        not change this, since its id is known already.
        """
        backend_id = announcement.backend_id
        if backend_id not in self._first_seen_by_id:
            self._ids_seen += 1
            self._first_seen_by_id[backend_id] = self._ids_seen
        return announcement.incarnation, self._first_seen_by_id[backend_id]

    def _extend_url(self, backend: Backend) -> None:
        announcement = backend.announcement
        holder = self._holders_by_url[announcement.url]
        if holder.rank == self._rank(announcement):
            holder.until = backend.lease_until + URL_RETENTION_S

    def _refresh(self, now: float, backend: Backend) -> list[typing.Any]:
        present = self.may_receive_work(backend, now)
        if present == backend.present:
            return []
        if present:
            return [self._present(backend)]
        return [self._absent(backend, self._cause(backend))]

    def _cause(self, backend: Backend) -> AbsenceCause:
        announcement = backend.announcement
        if stamp(announcement) <= self.left(announcement.backend_id):
            return AbsenceCause.LEFT
        holder = self._holders_by_url[announcement.url]
        if holder.rank == self._rank(announcement):
            return AbsenceCause.EXPIRED
        if holder.backend_id == announcement.backend_id:
            return AbsenceCause.RESTARTED
        return AbsenceCause.REPLACED

    def _present(self, backend: Backend) -> BackendChanged:
        backend.present = True
        self._next_end = min(self._next_end, backend.lease_until)
        return _changed(backend, None)

    def _absent(self, backend: Backend, cause: AbsenceCause) -> BackendChanged:
        backend.present = False
        return _changed(backend, cause)

    def _forget_urls(self, now: float) -> None:
        used = {backend.announcement.url for backend in self.by_id.values()}
        for url in self._holders_by_url.keys() - used:
            if now >= self._holders_by_url[url].until:
                del self._holders_by_url[url]
        known = self.by_id.keys() | self._left_by_id.keys()
        for backend_id in self._first_seen_by_id.keys() - known:
            del self._first_seen_by_id[backend_id]


def _is_new_start(held: Backend, announcement: BackendAnnouncement) -> bool:
    return held.announcement.incarnation != announcement.incarnation


def _is_altered(held: Backend | None, backend: Backend) -> bool:
    if held is None:
        return False
    before, after = held.announcement, backend.announcement
    return msgspec.structs.replace(after, sequence=before.sequence) != before


def _changed(backend: Backend, cause: AbsenceCause | None) -> BackendChanged:
    return BackendChanged(
        backend_id=backend.announcement.backend_id,
        incarnation=backend.announcement.incarnation,
        present=backend.present,
        cause=cause,
    )


def _hints(backend: Backend, batch: CacheEvents) -> list[CacheHints]:
    """Return the new cache events as hints.

    A gap in their numbers makes earlier hints stale; it is not an error.
    """
    expected = backend.next_cache_event
    events = batch.events[max(0, expected - batch.first) :]
    after_gap = batch.first > expected
    backend.cache_gaps += after_gap
    end = batch.first + len(batch.events)
    backend.next_cache_event = max(expected, end)
    if not events and not after_gap:
        return []
    return [
        CacheHints(
            backend_id=backend.announcement.backend_id,
            incarnation=backend.announcement.incarnation,
            events=events,
            after_gap=after_gap,
        )
    ]
