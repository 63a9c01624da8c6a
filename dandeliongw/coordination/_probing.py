"""Scheduling of probes, and the probes that await an acknowledgement."""

from collections import abc
import heapq
import random

import msgspec
import xxhash

#: Members requested to probe an unresponsive member.
INDIRECT_PROBES = 3
#: Fraction of the period after which a probe is retried over a new
#: connection and through other members. It must be longer than a round trip
#: between regions.
RETRY_AFTER_PERIODS = 0.3
#: Periods after which a probe on behalf of another instance times out.
RELAYED_PERIODS = 2.0
#: Members that each instance probes in every period, besides the round. With
#: rounds alone a member may go unprobed for several periods: over 100
#: simulated losses among 12 instances the slowest was known to all after
#: 5.5 s; with one member probed every period, after 2.7 s, with two after
#: 2.4 s. Each costs an instance 310 to 420 bytes a second, which the second
#: one is not worth.
WATCHED_MEMBERS = 1
#: Maximum members queued to be probed before the round continues; the round
#: reaches any others.
MAX_QUEUED_PROBES = 8
_MAX_SEQUENCE = 2**32
#: Positions on the hash ring that assigns members to watch.
_RING_SIZE = 2**32


class Pending(msgspec.Struct, kw_only=True):
    """A probe that has not been acknowledged yet.

    :param retry_at: when to retry it in other ways.
    :param verdict_at: when the target is suspected.
    """

    sequence: int
    target: str
    retry_at: float
    verdict_at: float
    retried: bool = False


class RelayedProbe(msgspec.Struct, frozen=True, kw_only=True):
    """A probe on behalf of another instance.

    :param origin: the instance that requested it.
    :param sequence: of the probe that this instance sent itself.
    """

    origin: str
    sequence: int
    expires_at: float


class Probing:
    """The round over all members, and the probes in flight.

    A round in shuffled order is certain to probe a dead member within two
    rounds. With random choice it could stay unprobed for any length of time.

    :param period_s: seconds between probes.
    """

    def __init__(self, *, period_s: float) -> None:
        self._period_s = period_s
        self._sequence = 0
        self._round: list[str] = []
        self._queued_ids: set[str] = set()
        self._pending_by_sequence: dict[int, Pending] = {}
        self._relayed_by_sequence: dict[int, RelayedProbe] = {}

    def start(self, source: random.Random) -> None:
        """Choose a random first sequence number.

        Acknowledgements for an earlier process of this instance then don't
        match the probes of this one.
        """
        self._sequence = source.randrange(_MAX_SEQUENCE)

    def next_target(
        self, others: set[str], source: random.Random
    ) -> str | None:
        """Return the next member to probe, ``None`` if there is no other."""
        self._queued_ids &= others
        if self._queued_ids:
            # Chosen at random: many instances may have the same members
            # queued and would otherwise all probe the same one at once.
            target = source.choice(sorted(self._queued_ids))
            self._queued_ids.discard(target)
            return target
        while self._round:
            target = self._round.pop()
            if target in others:
                return target
        self._round = sorted(others)
        source.shuffle(self._round)
        return self._round.pop() if self._round else None

    def watched(self, own_id: str, alive_ids: abc.Iterable[str]) -> list[str]:
        """Return the members that this instance probes in every period.

        All instances are placed on a hash ring by their ids, and each
        watches the ``WATCHED_MEMBERS`` that follow it. So every member is
        watched as long as any other is alive, and neighbours on the ring are
        rarely in the same data centre.

        :param alive_ids: ids of alive members; may include this instance.
        """
        own_place = _ring_place(own_id)
        return heapq.nsmallest(
            WATCHED_MEMBERS,
            (each for each in alive_ids if each != own_id),
            key=lambda each: (
                (_ring_place(each) - own_place) % _RING_SIZE,
                each,
            ),
        )

    def probe_soon(self, target: str) -> None:
        """Queue a member to be probed before the round continues."""
        if len(self._queued_ids) < MAX_QUEUED_PROBES:
            self._queued_ids.add(target)

    def begin(self, now: float, target: str) -> int:
        """Register a new probe and return its sequence number."""
        sequence = self._next_sequence()
        self._pending_by_sequence[sequence] = Pending(
            sequence=sequence,
            target=target,
            retry_at=now + RETRY_AFTER_PERIODS * self._period_s,
            verdict_at=now + self._period_s,
        )
        return sequence

    def begin_relayed(self, now: float, origin: str, sequence: int) -> int:
        """Register a probe on behalf of another instance.

        :param origin: the instance that requested it.
        :param sequence: of the probe that ``origin`` sent itself.
        :returns: the sequence number of the new probe.
        """
        own_sequence = self._next_sequence()
        self._relayed_by_sequence[own_sequence] = RelayedProbe(
            origin=origin,
            sequence=sequence,
            expires_at=now + RELAYED_PERIODS * self._period_s,
        )
        return own_sequence

    def acknowledge(self, sequence: int) -> RelayedProbe | None:
        """Complete a probe; return the request it was sent for, if any."""
        self._pending_by_sequence.pop(sequence, None)
        return self._relayed_by_sequence.pop(sequence, None)

    def cancel_all(self) -> None:
        """Cancel all probes of this instance without a verdict."""
        self._pending_by_sequence.clear()

    def due_retries(self, now: float) -> list[Pending]:
        """Return the probes that are due for a retry, each once."""
        due = [
            pending
            for pending in self._pending_by_sequence.values()
            if not pending.retried and now >= pending.retry_at
        ]
        for pending in due:
            pending.retried = True
        return due

    def due_verdicts(self, now: float) -> list[str]:
        """Remove timed-out probes; return the targets of own ones."""
        due = [
            pending
            for pending in self._pending_by_sequence.values()
            if now >= pending.verdict_at
        ]
        for pending in due:
            del self._pending_by_sequence[pending.sequence]
        for sequence, relayed in list(self._relayed_by_sequence.items()):
            if now >= relayed.expires_at:
                del self._relayed_by_sequence[sequence]
        return [pending.target for pending in due]

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % _MAX_SEQUENCE
        return self._sequence


def _ring_place(instance_id: str) -> int:
    return xxhash.xxh32_intdigest(instance_id.encode())
