"""Blame: which suspects the evidence is enough to quarantine.

A crash counts against every call that ran on the backend server, and against
every part of the prompts that it had only begun to answer. Nearly all of them
are harmless. Two rules tell them apart:

- A suspect that is quarantined explains its crashes; the others are judged by
  the remaining ones.
- One call that ran at all crashes of a part explains them better than the
  part does.

Parts are judged before calls, because a bad part comes in calls that differ,
and each of them may be sent more than once.
"""

from collections import abc
import typing

from ._case import Case
from ._case import End
from ._presence_messages import BackendStart

#: Crashes that quarantine a call. One may be a coincidence, and some of the
#: calls that ran beside a bad one also run beside its next request.
CRASHES_TO_QUARANTINE = 3
#: Crashes that quarantine a call if another call ran on each of these backend
#: servers as well, or if a quarantined suspect explains some of the crashes.
CRASHES_TO_QUARANTINE_IF_SHARED = 4
#: Crashes that quarantine a part of a prompt. More than for a call: one call
#: that is sent again and again is quarantined before its parts are.
CRASHES_TO_QUARANTINE_PART = 4
#: Crashes that quarantine a part which is known to have run well, none of
#: them explained by another part. Many calls share it, so it is the likelier
#: neighbour of a bad one and the dearer mistake.
CRASHES_TO_QUARANTINE_GOOD_PART = 5
#: Seconds that must lie between the first crash and the last, of a call that
#: shares them and of a part that is known to have run well. A rack that loses
#: power takes several servers down at one moment, under all that they ran.
MIN_CRASH_SPAN_S = 0.3
#: Seconds of quarantine of a call after the last crash, doubled with each
#: further crash up to ``MAX_QUARANTINE_S``. It ends so that a call that was
#: quarantined wrongly, or has been fixed, is tried again from time to time.
QUARANTINE_S = 600.0
MAX_QUARANTINE_S = 3600.0
#: Seconds of quarantine of a part after the last crash. Requests with it go
#: on coming, each a different one, and many could crash a server each when it
#: ends. So trials, one at a time, find out whether it has been fixed.
PART_QUARANTINE_S = 30 * 86_400.0


class Evidence(typing.Protocol):
    """All evidence of an instance."""

    by_fingerprint: dict[str, Case]

    def fingerprints_at(self, start: BackendStart) -> abc.Collection[str]:
        """Return the suspects that a crash was counted against."""
        ...


def find_quarantined(evidence: Evidence) -> dict[str, float]:
    """Return the suspects to quarantine, with the end of the quarantine."""
    return _Judgement(evidence).find()


class _Judgement:
    """One evaluation of all evidence."""

    def __init__(self, evidence: Evidence) -> None:
        self._evidence = evidence
        self._until_by_fingerprint: dict[str, float] = {}
        #: Crashes that a quarantined suspect explains.
        self._explained: set[BackendStart] = set()

    def find(self) -> dict[str, float]:
        self._judge_parts()
        self._judge_calls()
        return self._until_by_fingerprint

    def _cases(self, *, is_part: bool, least: int) -> list[Case]:
        """Return the suspects of a kind with at least so many crashes."""
        return [
            case
            for case in self._evidence.by_fingerprint.values()
            if case.is_part is is_part and len(case.ends_by_start) >= least
        ]

    def _own(self, ends: abc.Iterable[End]) -> list[End]:
        """Return the crashes that are not explained."""
        return [end for end in ends if end.start not in self._explained]

    # Parts

    def _judge_parts(self) -> None:
        left = [
            (case, ends)
            for case in self._cases(
                is_part=True, least=CRASHES_TO_QUARANTINE_PART
            )
            if len(ends := case.counted) >= CRASHES_TO_QUARANTINE_PART
            and not self._calls_at_all(ends)
        ]
        while found := [each for each in left if self._is_bad_part(*each)]:
            worst, ends = min(found, key=lambda each: self._part_rank(*each))
            starts = {end.start for end in ends}
            # Parts that crashed the same servers can't be told apart without
            # a trial of each.
            alike = [
                case
                for case, others in found
                if case is worst
                or (
                    case.good_at is None
                    and {end.start for end in others} == starts
                )
            ]
            until = ends[-1].ended_at + PART_QUARANTINE_S
            for case in alike:
                self._until_by_fingerprint[case.fingerprint] = until
            self._explained |= starts
            left = [each for each in left if each[0] not in alike]

    def _is_bad_part(self, case: Case, ends: abc.Sequence[End]) -> bool:
        own = self._own(ends)
        if case.good_at is None:
            # The part that explains the other crashes may itself only have
            # come with this one.
            return bool(own)
        return (
            len(own) >= CRASHES_TO_QUARANTINE_GOOD_PART
            and own[-1].ended_at - own[0].ended_at >= MIN_CRASH_SPAN_S
        )

    def _part_rank(
        self, case: Case, ends: abc.Sequence[End]
    ) -> tuple[typing.Any, ...]:
        """Return a key by which the likeliest culprit is the lowest.

        A part that never ran well is likelier than one that did, and of two
        that did, the one whose good run is longer ago.
        """
        return (
            case.good_at is not None,
            case.good_at or 0.0,
            -len(self._own(ends)),
            ends[CRASHES_TO_QUARANTINE_PART - 1].ended_at,
            case.fingerprint,
        )

    # Calls

    def _judge_calls(self) -> None:
        left = self._cases(is_part=False, least=CRASHES_TO_QUARANTINE)
        while found := self._first_call(left):
            case, ends = found
            left.remove(case)
            self._until_by_fingerprint[case.fingerprint] = _call_until(ends)
            self._explained |= {end.start for end in ends}

    def _first_call(
        self, cases: abc.Sequence[Case]
    ) -> tuple[Case, list[End]] | None:
        """Return the first call to reach enough crashes, with these."""
        found = None
        for case in cases:
            ends = case.counted
            if not self._is_bad_call(ends):
                continue
            rank = ends[CRASHES_TO_QUARANTINE - 1].ended_at, case.fingerprint
            if found is None or rank < found[0]:
                found = rank, case, ends
        return None if found is None else found[1:]

    def _is_bad_call(self, ends: abc.Sequence[End]) -> bool:
        own = self._own(ends)
        if len(own) >= CRASHES_TO_QUARANTINE and (
            len(self._calls_at_all(own)) <= 1
        ):
            # Also if they happened at one moment: several requests for a bad
            # call may arrive at once, and the next ones would crash the
            # servers as soon as they are back.
            return True
        if not own or len(ends) < CRASHES_TO_QUARANTINE_IF_SHARED:
            return False
        # The suspect that explains the other crashes may itself only have
        # run beside this call. Therefore it raises the limit by one crash
        # and does not exclude this call for as long as it is quarantined.
        return ends[-1].ended_at - ends[0].ended_at >= MIN_CRASH_SPAN_S

    def _calls_at_all(self, ends: abc.Sequence[End]) -> set[str]:
        """Return the calls that ran at every one of these crashes."""
        return set.intersection(*(self._calls_at(end.start) for end in ends))

    def _calls_at(self, start: BackendStart) -> set[str]:
        cases = self._evidence.by_fingerprint
        return {
            fingerprint
            for fingerprint in self._evidence.fingerprints_at(start)
            if not cases[fingerprint].is_part
            and start not in cases[fingerprint].cleared
        }


def _call_until(ends: abc.Sequence[End]) -> float:
    """Return when the quarantine of a call for these crashes ends."""
    held_s = QUARANTINE_S * 2 ** (len(ends) - CRASHES_TO_QUARANTINE)
    return ends[-1].ended_at + min(held_s, MAX_QUARANTINE_S)
