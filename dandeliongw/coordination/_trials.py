"""Trials of quarantined suspects, to find out whether they cause crashes.

Several clients may send the same call, or prompts with the same part. A client
that sends it together with one that crashes backend servers makes crashes
count against it, and while it is quarantined no run can succeed and clear it.
Therefore one request at a time, over all instances, is let through as a trial.
The first of the suspect's aggregators decides which.
"""

from ._case import Case

#: Seconds between a call's last crash and its trial. By then the crashed
#: backend servers are back: the trial may cost one, but not the last one.
TRIAL_AFTER_S = 10.0
#: The same for a part, before each of its trials. Many calls may share it, so
#: the first one comes sooner. The second is for a harmless part whose trial
#: met a crash for another reason, the third for servers that were fixed.
PART_TRIALS_AFTER_S = (5.0, 600.0, 86_400.0)
#: Seconds after which another trial may begin. A bad call crashes its server
#: sooner than that, and the client of a trial may disconnect.
TRIAL_S = 5.0


def due_at(case: Case) -> float | None:
    """Return when a trial of a quarantined suspect is due.

    ``None`` if it is not quarantined, or if its trials have crashed a server
    each: then it stays in quarantine to its end.
    """
    if case.held_until is None:
        return None
    ends = case.counted
    failed = sum(end.is_trial for end in ends)
    after_s = PART_TRIALS_AFTER_S if case.is_part else (TRIAL_AFTER_S,)
    if failed >= len(after_s):
        return None
    return ends[-1].ended_at + after_s[failed]


class TrialGrants:
    """The trials that this instance granted as an aggregator."""

    def __init__(self) -> None:
        self._until_by_fingerprint: dict[str, float] = {}

    def grant(self, now: float, case: Case) -> bool:
        """Record a trial if one is due; return whether it is granted."""
        due = due_at(case)
        if due is None or now < due:
            return False
        if now < self._until_by_fingerprint.get(case.fingerprint, now):
            return False
        self._until_by_fingerprint[case.fingerprint] = now + TRIAL_S
        return True

    def remove_expired(self, now: float) -> None:
        """Remove the trials that are over."""
        self._until_by_fingerprint = {
            fingerprint: until
            for fingerprint, until in self._until_by_fingerprint.items()
            if until > now
        }
