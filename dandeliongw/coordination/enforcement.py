"""Which instances act on a revision, as far as can be known here."""

from collections import abc
import enum

#: Clocks of two instances run apart by less than this share.
CLOCK_DRIFT = 0.02
REVISIONS_KEPT = 64


class Enforcement(enum.StrEnum):
    """What is known of one instance and one revision."""

    #: It said that it confirmed this revision or a later one.
    CONFIRMED = 'confirmed'
    #: It has not said so, but the time in which it could act on an earlier
    #: revision has run out: it admits nothing under an earlier one.
    STOPPED = 'stopped'
    #: It may still admit work under an earlier revision.
    WAITING = 'waiting'


class EnforcementTracker:
    """Collects confirmations of other instances.

    :param ttl_s: how long a confirmation lasts, the same at every instance.
    """

    def __init__(self, *, ttl_s: float) -> None:
        self._ttl_s = ttl_s * (1 + CLOCK_DRIFT)
        self._chosen_at_by_revision: dict[int, float] = {}
        self._revision_by_id: dict[str, int] = {}

    def note_chosen(self, revision: int, now: float) -> None:
        """Note when this instance first knew that a revision was chosen."""
        self._chosen_at_by_revision.setdefault(revision, now)
        while len(self._chosen_at_by_revision) > REVISIONS_KEPT:
            del self._chosen_at_by_revision[min(self._chosen_at_by_revision)]

    def note_confirmed(self, instance_id: str, revision: int) -> None:
        """Note that an instance said it has confirmed a revision."""
        known = self._revision_by_id.get(instance_id, revision)
        self._revision_by_id[instance_id] = max(known, revision)

    def forget_others(self, instance_ids: abc.Collection[str]) -> None:
        """Keep only these instances."""
        for instance_id in set(self._revision_by_id) - set(instance_ids):
            del self._revision_by_id[instance_id]

    def state(
        self, instance_id: str, revision: int, now: float
    ) -> Enforcement:
        """Return what is known of an instance.

        Instances confirm a revision by asks that leave after it was chosen,
        so whatever they confirmed before lasts at most one time to live
        from then.
        """
        if self._revision_by_id.get(instance_id, -1) >= revision:
            return Enforcement.CONFIRMED
        chosen = self._chosen_at_by_revision
        # A later revision was chosen after this one, never before.
        times = [at for known, at in chosen.items() if known >= revision]
        if times and now >= min(times) + self._ttl_s:
            return Enforcement.STOPPED
        return Enforcement.WAITING
