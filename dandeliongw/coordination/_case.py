"""The evidence on one suspect of crashing backend servers."""

import msgspec

from ._presence_messages import BackendStart
from ._quarantine_messages import CaseReport
from ._quarantine_messages import ReportedEnd
from ._quarantine_messages import ReportedLift


class End(msgspec.Struct, frozen=True, kw_only=True):
    """A crash of a backend server while it ran a suspect.

    :param ended_at: when, on this instance's clock.
    :param told_by: the instance that observed it.
    :param is_trial: whether the run was a trial of the quarantined suspect.
    """

    start: BackendStart
    ended_at: float
    told_by: str
    is_trial: bool = False


class Lifted(msgspec.Struct, frozen=True, kw_only=True):
    """An operator lifted the quarantine of a suspect."""

    operator: str
    reason: str
    at: float


class Case(msgspec.Struct, kw_only=True):
    """The evidence on one suspect: a call, or a part of prompts.

    :param cleared: starts whose crashes no longer count against it.
    :param good_at: when a run of a part last went on well, on this instance's
        clock; ``None`` if no such run is known.
    :param held_until: when its quarantine ends; ``None`` if there is none.
    :param stored_size: its size when it was last written to the disk.
    """

    fingerprint: str
    is_part: bool = False
    ends_by_start: dict[BackendStart, End] = msgspec.field(
        default_factory=dict
    )
    cleared: set[BackendStart] = msgspec.field(default_factory=set)
    lifted: Lifted | None = None
    good_at: float | None = None
    held_until: float | None = None
    stored_size: int = 0

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
    def size(self) -> int:
        """The number of items of evidence, which only grows."""
        is_known_good = self.good_at is not None
        return len(self.ends_by_start) + len(self.cleared) + is_known_good

    @property
    def last_at(self) -> float:
        """When the last crash happened, whether or not it still counts."""
        return max(end.ended_at for end in self.ends_by_start.values())

    def report(self, now: float) -> CaseReport:
        """Return all evidence on the suspect, for another instance."""
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
            is_part=self.is_part,
            good_age_s=None if self.good_at is None else now - self.good_at,
        )
