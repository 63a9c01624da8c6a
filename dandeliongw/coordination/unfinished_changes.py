"""Detection of changes that their proposer has left unfinished.

While no quorum of voters holds a common version, nothing can be confirmed
until one of them writes the latest version to all.
"""

from . import ballot as ballots
from . import confirmation
from . import register_state as state_module


class UnfinishedChangeDetector:
    """Decides from the checks of one voter whether a repair is needed.

    :param timeout_s: timeout of a check, in seconds.
    """

    def __init__(
        self, *, register_state: state_module.RegisterState, timeout_s: float
    ) -> None:
        self._register_state = register_state
        self._timeout_s = timeout_s
        #: The latest ballot that any disk has reported, and when it was
        #: reported first.
        self._latest: ballots.Ballot | None = None
        self._latest_at = 0.0

    def note_ballot(self, ballot: ballots.Ballot | None, now: float) -> None:
        """Record the ballot that a disk reported."""
        if ballot is None:
            return
        if self._latest is None or ballot > self._latest:
            self._latest, self._latest_at = ballot, now

    def needs_repair(self, check: confirmation.Check, now: float) -> bool:
        """Return whether a check shows a change that needs a repair.

        It does if, after the timeout of the check, a quorum has reported but
        no quorum reported the same ballot, and if the latest ballot was first
        reported at least one timeout before the check began.

        A repair is a new ballot itself, which the checks of other voters
        find in turn. If they repaired what a quorum holds already, or the
        change of a proposer that is still running, every repair would cause
        the next one: endless ballots, and no confirmation anywhere.
        """
        if now < check.started_at + self._timeout_s:
            return False
        if check.started_at < self._latest_at + self._timeout_s:
            return False
        voters = self._register_state.voters
        return voters.has_quorum(set(check.accepted_by_disk)) and not any(
            voters.has_quorum(check.disks_holding(ballot))
            for ballot in set(check.accepted_by_disk.values())
        )
