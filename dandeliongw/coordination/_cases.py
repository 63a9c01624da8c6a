"""The evidence on calls and parts of prompts that crash backend servers.

The evidence on such a suspect is a set of pairs (suspect, start of a backend
server), and a set of starts that no longer count against it. Both only grow,
so instances converge to the same state whatever the order of reports, and
however often they arrive.
"""

from collections import abc

import xxhash

from ._blame import CRASHES_TO_QUARANTINE
from ._blame import CRASHES_TO_QUARANTINE_PART
from ._blame import find_quarantined
from ._blame import MAX_QUARANTINE_S
from ._blame import PART_QUARANTINE_S
from ._case import Case
from ._case import End
from ._case import Lifted
from ._presence_messages import BackendStart
from ._quarantine_messages import CaseReport

#: Seconds for which evidence is retained after the last crash, on a suspect
#: with too few crashes to be quarantined. Interactive clients retry for as
#: long as they wait, which is seconds; jobs retry every few minutes.
EVIDENCE_RETENTION_S = 600.0
#: The same for a part of prompts, which comes in requests of many clients.
PART_EVIDENCE_RETENTION_S = 3600.0
#: Maximum suspects with evidence, about 1 KB each.
MAX_CASES = 2_000
#: Groups into which suspects are divided for comparison; two instances
#: exchange only the groups whose checksums differ.
BUCKETS = 16


class Cases:
    """All evidence of an instance."""

    def __init__(self) -> None:
        self.by_fingerprint: dict[str, Case] = {}
        self._fingerprints_by_start: dict[BackendStart, set[str]] = {}
        #: Cached result of ``checksums``; ``None`` after a change.
        self._checksums: tuple[int, ...] | None = None

    def count(self, fingerprint: str) -> int:
        """Return a suspect's crashes, whether or not they still count."""
        case = self.by_fingerprint.get(fingerprint)
        return 0 if case is None else len(case.ends_by_start)

    def size(self, fingerprint: str) -> int:
        """Return the number of items of evidence on it; it only grows."""
        case = self.by_fingerprint.get(fingerprint)
        return 0 if case is None else case.size

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
            case = Case(fingerprint=report.fingerprint, is_part=report.is_part)
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
        if report.good_age_s is not None:
            good_at = now - report.good_age_s
            case.good_at = max(good_at, case.good_at or good_at)
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
        return now >= last_at + _retention_s(counted, report.is_part)

    def evaluate(self) -> dict[str, float]:
        """Return the suspects to quarantine, with the end of it."""
        return find_quarantined(self)

    def fingerprints_at(self, start: BackendStart) -> abc.Set[str]:
        """Return the suspects that a crash was counted against."""
        return self._fingerprints_by_start[start]

    def remove_expired(self, now: float) -> None:
        """Remove expired evidence, and suspects above the maximum."""
        old = [
            case
            for case in self.by_fingerprint.values()
            if now
            >= case.last_at + _retention_s(len(case.counted), case.is_part)
        ]
        for case in old:
            self._drop(case)
        surplus = len(self.by_fingerprint) - MAX_CASES
        if surplus > 0:
            # Ranked by the evidence alone, so that instances with the same
            # evidence remove the same suspects.
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
        """Return one checksum per group of suspects."""
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
    """Return the group to which a suspect belongs."""
    return xxhash.xxh64_intdigest(fingerprint.encode()) % BUCKETS


def _retention_s(counted: int, is_part: bool) -> float:
    """Return the seconds for which evidence is retained.

    They count from the last crash. They are longer than a quarantine, so that
    a further crash after it quarantines the suspect again.

    :param counted: number of crashes that count against the suspect.
    """
    if is_part:
        if counted < CRASHES_TO_QUARANTINE_PART:
            return PART_EVIDENCE_RETENTION_S
        return 2 * PART_QUARANTINE_S
    if counted < CRASHES_TO_QUARANTINE:
        return EVIDENCE_RETENTION_S
    return 2 * MAX_QUARANTINE_S


def _items(case: Case) -> abc.Iterator[str]:
    for start in case.ends_by_start:
        yield _item('end', case, start)
    for start in case.cleared:
        yield _item('cleared', case, start)
    if case.good_at is not None:
        # When it was differs by the delay of messages between instances.
        yield f'good {case.fingerprint}'


def _item(kind: str, case: Case, start: BackendStart) -> str:
    return f'{kind} {case.fingerprint} {start.incarnation} {start.backend_id}'
