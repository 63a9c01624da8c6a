"""The evidence on calls that crash backend servers, and its evaluation.

The evidence on a call is a set of pairs (call, start of a backend server),
and a set of starts that no longer count against it. Both only grow, so
instances converge to the same state whatever the order of reports, and
however often they arrive.
"""

from collections import abc

import msgspec
import xxhash

from ._presence_messages import BackendStart
from ._quarantine_messages import CaseReport
from ._quarantine_messages import ReportedEnd
from ._quarantine_messages import ReportedLift

#: Crashes that quarantine a call. One may be a coincidence, and some of the
#: calls that ran beside a bad one also run beside its next request.
CRASHES_TO_QUARANTINE = 3
#: Crashes that quarantine a call if another call ran on each of these backend
#: servers as well, or if a quarantined call explains some of the crashes.
CRASHES_TO_QUARANTINE_IF_SHARED = 4
#: Seconds that must then lie between the first crash and the last. A rack
#: that loses power takes several servers down at one moment, under all calls
#: that they were running.
MIN_CRASH_SPAN_S = 0.3
#: Seconds of quarantine after the last crash, doubled with each further crash
#: up to ``MAX_QUARANTINE_S``. It ends so that a call that was quarantined
#: wrongly, or has been fixed, is tried again from time to time.
QUARANTINE_S = 600.0
MAX_QUARANTINE_S = 3600.0
#: Seconds for which evidence is retained after the last crash, on a call with
#: fewer than ``CRASHES_TO_QUARANTINE`` crashes that count. Interactive
#: clients retry for as long as they wait, which is seconds; jobs retry every
#: few minutes.
EVIDENCE_RETENTION_S = 600.0
#: Maximum calls with evidence, about 1 KB each.
MAX_CASES = 2_000
#: Groups into which calls are divided for comparison; two instances exchange
#: only the groups whose checksums differ.
BUCKETS = 16


class End(msgspec.Struct, frozen=True, kw_only=True):
    """A crash of a backend server while it ran a call.

    :param ended_at: when, on this instance's clock.
    :param told_by: the instance that observed it.
    :param is_trial: whether the run was a trial of the quarantined call.
    """

    start: BackendStart
    ended_at: float
    told_by: str
    is_trial: bool = False


class Lifted(msgspec.Struct, frozen=True, kw_only=True):
    """An operator lifted the quarantine of a call."""

    operator: str
    reason: str
    at: float


class Case(msgspec.Struct, kw_only=True):
    """The evidence on one call.

    :param cleared: starts whose crashes no longer count against the call.
    :param held_until: when its quarantine ends; ``None`` if there is none.
    """

    fingerprint: str
    ends_by_start: dict[BackendStart, End] = msgspec.field(
        default_factory=dict
    )
    cleared: set[BackendStart] = msgspec.field(default_factory=set)
    lifted: Lifted | None = None
    held_until: float | None = None

    @property
    def counted(self) -> list[End]:
        """The crashes that count, oldest first."""
        found = [
            end
            for start, end in self.ends_by_start.items()
            if start not in self.cleared
        ]
        return sorted(found, key=lambda end: end.ended_at)

    @property
    def last_at(self) -> float:
        """When the last crash happened, whether or not it still counts."""
        return max(end.ended_at for end in self.ends_by_start.values())

    def report(self, now: float) -> CaseReport:
        """Return all evidence on the call, for another instance."""
        lift = self.lifted
        return CaseReport(
            fingerprint=self.fingerprint,
            ends=tuple(
                ReportedEnd(
                    start=end.start,
                    age_s=now - end.ended_at,
                    told_by=end.told_by,
                    is_trial=end.is_trial,
                )
                for end in self.ends_by_start.values()
            ),
            cleared=tuple(self.cleared),
            lift=None
            if lift is None
            else ReportedLift(
                operator=lift.operator,
                reason=lift.reason,
                age_s=now - lift.at,
            ),
        )


class Cases:
    """All evidence of an instance."""

    def __init__(self) -> None:
        self.by_fingerprint: dict[str, Case] = {}
        self._fingerprints_by_start: dict[BackendStart, set[str]] = {}
        #: Cached result of ``checksums``; ``None`` after a change.
        self._checksums: tuple[int, ...] | None = None

    def count(self, fingerprint: str) -> int:
        """Return the crashes under a call, whether or not they still count."""
        case = self.by_fingerprint.get(fingerprint)
        return 0 if case is None else len(case.ends_by_start)

    def size(self, fingerprint: str) -> int:
        """Return the number of items of evidence on a call; it only grows."""
        case = self.by_fingerprint.get(fingerprint)
        if case is None:
            return 0
        return len(case.ends_by_start) + len(case.cleared)

    def merge(self, now: float, report: CaseReport) -> bool:
        """Add a report; return whether anything in it was new."""
        ends = [
            End(
                start=each.start,
                ended_at=now - each.age_s,
                told_by=each.told_by,
                is_trial=each.is_trial,
            )
            for each in report.ends
        ]
        case = self.by_fingerprint.get(report.fingerprint)
        if case is None:
            if not ends or self._is_expired(now, report, ends):
                return False
            case = Case(fingerprint=report.fingerprint)
            self.by_fingerprint[report.fingerprint] = case
        known = self.size(report.fingerprint)
        for end in ends:
            self._add(case, end)
        # A clearing may arrive before the crash that it is about.
        case.cleared.update(report.cleared)
        if report.lift is not None and case.lifted is None:
            case.lifted = Lifted(
                operator=report.lift.operator,
                reason=report.lift.reason,
                at=now - report.lift.age_s,
            )
        is_new = known < self.size(report.fingerprint)
        if is_new:
            self._checksums = None
        return is_new

    def _add(self, case: Case, end: End) -> None:
        if end.start in case.ends_by_start:
            return
        case.ends_by_start[end.start] = end
        sharing = self._fingerprints_by_start.setdefault(end.start, set())
        sharing.add(case.fingerprint)

    def _is_expired(
        self, now: float, report: CaseReport, ends: abc.Sequence[End]
    ) -> bool:
        """Return whether the retention time of a report is over.

        Instances remove evidence at slightly different times. If they took
        it back from a slower one, it would circulate for ever.
        """
        cleared = set(report.cleared)
        counted = sum(end.start not in cleared for end in ends)
        last_at = max(end.ended_at for end in ends)
        return now >= last_at + _retention_s(counted)

    def evaluate(self) -> dict[str, float]:
        """Return the calls to quarantine, each with the end of its quarantine.

        An engine runs dozens of streams. If its crash counted against all of
        them alike, a few requests for one bad call would get the calls that
        ran beside it refused. So the first call that is quarantined explains
        its crashes, and the others are judged by the remaining ones, see
        :meth:`_is_sufficient`.
        """
        until_by_fingerprint: dict[str, float] = {}
        explained: set[BackendStart] = set()
        left = [
            case
            for case in self.by_fingerprint.values()
            if len(case.ends_by_start) >= CRASHES_TO_QUARANTINE
        ]
        while found := self._first_to_quarantine(left, explained):
            case, ends = found
            left.remove(case)
            until_by_fingerprint[case.fingerprint] = _quarantine_until(ends)
            explained |= {end.start for end in ends}
        return until_by_fingerprint

    def _first_to_quarantine(
        self, cases: abc.Sequence[Case], explained: set[BackendStart]
    ) -> tuple[Case, list[End]] | None:
        """Return the first call to reach enough crashes, with these."""
        found = None
        for case in cases:
            ends = case.counted
            if not self._is_sufficient(case, ends, explained):
                continue
            rank = ends[CRASHES_TO_QUARANTINE - 1].ended_at, case.fingerprint
            if found is None or rank < found[0]:
                found = rank, case, ends
        return None if found is None else found[1:]

    def _is_sufficient(
        self, case: Case, ends: abc.Sequence[End], explained: set[BackendStart]
    ) -> bool:
        own = [end for end in ends if end.start not in explained]
        if len(own) >= CRASHES_TO_QUARANTINE and not self._is_shared(
            case, own
        ):
            # Also if they happened at one moment: several requests for a bad
            # call may arrive at once, and the next ones would crash the
            # servers as soon as they are back.
            return True
        if not own or len(ends) < CRASHES_TO_QUARANTINE_IF_SHARED:
            return False
        # The call that explains the other crashes may itself only have run
        # beside this one. Therefore it raises the limit by one crash and
        # does not exclude this call for as long as it is quarantined.
        return ends[-1].ended_at - ends[0].ended_at >= MIN_CRASH_SPAN_S

    def _is_shared(self, case: Case, ends: abc.Sequence[End]) -> bool:
        """Return whether another call ran on every one of these servers."""
        with_each = [
            {
                fingerprint
                for fingerprint in self._fingerprints_by_start[end.start]
                if end.start not in self.by_fingerprint[fingerprint].cleared
            }
            for end in ends
        ]
        return len(set.intersection(*with_each)) > 1

    def remove_expired(self, now: float) -> None:
        """Remove expired evidence, and calls in excess of the maximum."""
        old = [
            case
            for case in self.by_fingerprint.values()
            if now >= case.last_at + _retention_s(len(case.counted))
        ]
        for case in old:
            self._drop(case)
        surplus = len(self.by_fingerprint) - MAX_CASES
        if surplus > 0:
            # Ranked by the evidence alone, so that instances with the same
            # evidence remove the same calls.
            ranked = sorted(
                self.by_fingerprint.values(),
                key=lambda case: (len(case.counted), case.fingerprint),
            )
            for case in ranked[:surplus]:
                self._drop(case)

    def _drop(self, case: Case) -> None:
        self._checksums = None
        del self.by_fingerprint[case.fingerprint]
        for start in case.ends_by_start:
            sharing = self._fingerprints_by_start[start]
            sharing.discard(case.fingerprint)
            if not sharing:
                del self._fingerprints_by_start[start]

    def checksums(self) -> tuple[int, ...]:
        """Return one checksum per group of calls."""
        if self._checksums is None:
            self._checksums = self._compute_checksums()
        return self._checksums

    def _compute_checksums(self) -> tuple[int, ...]:
        sums = [0] * BUCKETS
        for case in self.by_fingerprint.values():
            bucket = bucket_of(case.fingerprint)
            for item in _items(case):
                sums[bucket] ^= xxhash.xxh64_intdigest(item.encode())
        return tuple(sums)


def bucket_of(fingerprint: str) -> int:
    """Return the group to which a call belongs."""
    return xxhash.xxh64_intdigest(fingerprint.encode()) % BUCKETS


def _quarantine_until(ends: abc.Sequence[End]) -> float:
    """Return when the quarantine for these crashes ends."""
    held_s = QUARANTINE_S * 2 ** (len(ends) - CRASHES_TO_QUARANTINE)
    return ends[-1].ended_at + min(held_s, MAX_QUARANTINE_S)


def _retention_s(counted: int) -> float:
    """Return the seconds for which evidence is retained.

    They count from the last crash.

    :param counted: number of crashes that count against the call.
    """
    if counted < CRASHES_TO_QUARANTINE:
        return EVIDENCE_RETENTION_S
    # Longer than the quarantine, so that a further crash after the release
    # quarantines the call again, and for longer.
    return 2 * MAX_QUARANTINE_S


def _items(case: Case) -> abc.Iterator[str]:
    for start in case.ends_by_start:
        yield _item('end', case, start)
    for start in case.cleared:
        yield _item('cleared', case, start)


def _item(kind: str, case: Case, start: BackendStart) -> str:
    return f'{kind} {case.fingerprint} {start.incarnation} {start.backend_id}'
