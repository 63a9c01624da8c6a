"""Which instances have put a revision in force, as known to this one."""

from collections import abc
import enum

#: Upper bound of the relative clock drift between two instances.
CLOCK_DRIFT = 0.02
REVISIONS_KEPT = 64


class Enforcement(enum.StrEnum):
    """The state of one revision at one instance."""

    #: The instance reported that it confirmed this revision or a later one.
    CONFIRMED = 'confirmed'
    #: No report, but any confirmation of an earlier revision has expired: the
    #: instance admits nothing under an earlier one.
    STOPPED = 'stopped'
    #: The instance may still admit work under an earlier revision.
    WAITING = 'waiting'


class EnforcementTracker:
    """Tracks which revisions other instances have confirmed.

    :param ttl_s: how long a confirmation is valid, in seconds; the same at
        every instance.
    """

    def __init__(self, *, ttl_s: float) -> None:
        self._ttl_s = ttl_s * (1 + CLOCK_DRIFT)
        self._chosen_at_by_revision: dict[int, float] = {}
        self._revision_by_id: dict[str, int] = {}

    def note_chosen(self, revision: int, now: float) -> None:
        """Record when this instance first saw a revision as chosen.

        Later calls for the same revision change nothing.
        """
        self._chosen_at_by_revision.setdefault(revision, now)
        while len(self._chosen_at_by_revision) > REVISIONS_KEPT:
            del self._chosen_at_by_revision[min(self._chosen_at_by_revision)]

    def note_confirmed(self, instance_id: str, revision: int) -> None:
        """Record that an instance reported a revision as confirmed."""
        known = self._revision_by_id.get(instance_id, revision)
        self._revision_by_id[instance_id] = max(known, revision)

    def retain_only(self, instance_ids: abc.Collection[str]) -> None:
        """Remove the records of all instances but these."""
        for instance_id in set(self._revision_by_id) - set(instance_ids):
            del self._revision_by_id[instance_id]

    def state(
        self, instance_id: str, revision: int, now: float
    ) -> Enforcement:
        """Return the state of a revision at an instance.

        A request that is sent after a revision was chosen never confirms an
        earlier one. So confirmations of earlier revisions expire at most one
        TTL after it was chosen.
        """
        if self._revision_by_id.get(instance_id, -1) >= revision:
            return Enforcement.CONFIRMED
        chosen = self._chosen_at_by_revision
        # A later revision is always chosen after this one, so its time is a
        # valid upper bound.
        times = [at for known, at in chosen.items() if known >= revision]
        if times and now >= min(times) + self._ttl_s:
            return Enforcement.STOPPED
        return Enforcement.WAITING
