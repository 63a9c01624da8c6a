"""Whom to probe next, and which probes still wait."""

from collections import abc
import heapq
import random

import msgspec
import xxhash

#: Others that are asked to probe a silent member.
HELPERS = 3
#: Part of the period after which a probe is tried in other ways. It has to
#: be longer than a round trip between regions.
ACK_SHARE = 0.3
#: Periods after which a helper gives a probe for another up.
ERRAND_PERIODS = 2.0
#: Members that each instance probes in every period, besides the round. With
#: rounds alone a member may go unprobed for several periods: of 100 simulated
#: losses among 12 instances the slowest was known to all after 5.5 s, with
#: one watcher after 2.7 s, with two after 2.4 s. Each costs an instance 310 to
#: 420 bytes a second, and the second is not worth that.
WATCHED = 1
#: Members that wait to be looked at; the round gets to the others.
MAX_SOON = 8
_MAX_SEQUENCE = 2**32
#: Places on the ring of those who watch each other.
_RING = 2**32


class Pending(msgspec.Struct, kw_only=True):
    """A probe without an acknowledgement yet."""

    sequence: int
    target: str
    retry_at: float
    verdict_at: float
    retried: bool = False


class Errand(msgspec.Struct, frozen=True, kw_only=True):
    """A probe on behalf of another instance.

    :param sequence: of the probe that the other sent.
    """

    origin: str
    sequence: int
    expires_at: float


class Probing:
    """The round over all members, and the probes on their way.

    A round in shuffled order finds a dead member within two rounds for
    sure; choosing at random would leave it unprobed for any time.

    :param period_s: seconds between probes.
    """

    def __init__(self, *, period_s: float) -> None:
        self._period_s = period_s
        self._sequence = 0
        self._round: list[str] = []
        self._soon: set[str] = set()
        self._pending_by_sequence: dict[int, Pending] = {}
        self._errands_by_sequence: dict[int, Errand] = {}

    def start(self, source: random.Random) -> None:
        """Choose the first number: an earlier process used others."""
        self._sequence = source.randrange(_MAX_SEQUENCE)

    def next_target(
        self, others: set[str], source: random.Random
    ) -> str | None:
        """Return the next of the round, ``None`` without others."""
        self._soon &= others
        if self._soon:
            # Chosen at random: many instances may have the same to look at,
            # and would all probe the same one at once.
            target = source.choice(sorted(self._soon))
            self._soon.discard(target)
            return target
        while self._round:
            target = self._round.pop()
            if target in others:
                return target
        self._round = sorted(others)
        source.shuffle(self._round)
        return self._round.pop() if self._round else None

    def watched(self, own_id: str, living: abc.Iterable[str]) -> list[str]:
        """Return the members that this instance probes in every period.

        All instances stand on a ring, in the order of a hash of their ids;
        each watches those that follow it. So every member has watchers, as
        long as somebody lives, and neighbours on the ring seldom share a
        data centre.

        :param living: members that count as alive, this instance or not.
        """
        own_place = _ring_place(own_id)
        return heapq.nsmallest(
            WATCHED,
            (each for each in living if each != own_id),
            key=lambda each: ((_ring_place(each) - own_place) % _RING, each),
        )

    def look_at(self, target: str) -> None:
        """Probe a member before the round goes on."""
        if len(self._soon) < MAX_SOON:
            self._soon.add(target)

    def begin(self, now: float, target: str) -> int:
        """Return the sequence number of a new probe."""
        sequence = self._next_sequence()
        self._pending_by_sequence[sequence] = Pending(
            sequence=sequence,
            target=target,
            retry_at=now + ACK_SHARE * self._period_s,
            verdict_at=now + self._period_s,
        )
        return sequence

    def begin_errand(self, now: float, origin: str, sequence: int) -> int:
        """Return the sequence number of a probe for another instance."""
        own_sequence = self._next_sequence()
        self._errands_by_sequence[own_sequence] = Errand(
            origin=origin,
            sequence=sequence,
            expires_at=now + ERRAND_PERIODS * self._period_s,
        )
        return own_sequence

    def acknowledge(self, sequence: int) -> Errand | None:
        """End a probe; return the errand that it was for."""
        self._pending_by_sequence.pop(sequence, None)
        return self._errands_by_sequence.pop(sequence, None)

    def forgive(self) -> None:
        """End all probes without a verdict."""
        self._pending_by_sequence.clear()

    def due_retries(self, now: float) -> list[Pending]:
        """Return, once each, the probes to be tried in other ways."""
        due = [
            pending
            for pending in self._pending_by_sequence.values()
            if not pending.retried and now >= pending.retry_at
        ]
        for pending in due:
            pending.retried = True
        return due

    def due_verdicts(self, now: float) -> list[str]:
        """End the probes whose time is over and return their targets."""
        due = [
            pending
            for pending in self._pending_by_sequence.values()
            if now >= pending.verdict_at
        ]
        for pending in due:
            del self._pending_by_sequence[pending.sequence]
        for sequence, errand in list(self._errands_by_sequence.items()):
            if now >= errand.expires_at:
                del self._errands_by_sequence[sequence]
        return [pending.target for pending in due]

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % _MAX_SEQUENCE
        return self._sequence


def _ring_place(instance_id: str) -> int:
    return xxhash.xxh32_intdigest(instance_id.encode())
