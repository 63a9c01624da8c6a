"""Finds changes that their proposer has left half done.

A quorum of voters that holds no common version confirms nothing until one of
them writes the latest version to all.
"""

from . import ballot as ballots
from . import confirmation
from . import knowledge as knowledges


class HalfDone:
    """Judges the checks of one voter that end without a result.

    :param timeout_s: of a check, in seconds.
    """

    def __init__(
        self, *, knowledge: knowledges.Knowledge, timeout_s: float
    ) -> None:
        self._knowledge = knowledge
        self._timeout_s = timeout_s
        #: The latest ballot that any disk has reported, and since when.
        self._latest: ballots.Ballot | None = None
        self._latest_at = 0.0

    def note(self, ballot: ballots.Ballot | None, now: float) -> None:
        """Take in what a disk reported that it holds."""
        if ballot is None:
            return
        if self._latest is None or ballot > self._latest:
            self._latest, self._latest_at = ballot, now

    def is_met(self, check: confirmation.Check, now: float) -> bool:
        """Whether a check has met work that needs a repair.

        A repair is a ballot of its own, which checks of the other voters
        meet in turn. Where they take for half done what a quorum holds
        already, or a proposer that is still at work, each repairs the one
        before; one sees ballots without end and nobody confirmed.
        """
        if now < check.started_at + self._timeout_s:
            return False
        if check.started_at < self._latest_at + self._timeout_s:
            return False
        voters = self._knowledge.voters
        return voters.has_quorum(set(check.accepted_by_disk)) and not any(
            voters.has_quorum(check.disks_holding(ballot))
            for ballot in set(check.accepted_by_disk.values())
        )
