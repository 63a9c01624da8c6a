"""Runs proposals, retrying attempts with backoff until a deadline."""

from collections import abc
import typing

from . import attempt as attempts
from . import ballot as ballots
from . import changes
from . import configuration as configurations
from . import parts
from . import register_messages as messages
from . import register_state as state_module

#: Interval in seconds at which unanswered messages of an attempt are resent.
RESEND_EVERY_S = 0.25
#: An attempt that is not finished after this many seconds is abandoned; a
#: new one follows after a backoff.
ATTEMPT_LIMIT_S = 1.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8


class Job:
    """A change to propose, retried until it succeeds or its deadline passes.

    :param entropy: random bits, from which backoffs and nonces are derived.
    :param deadline: when the job expires, in monotonic seconds.
    :param ticket: of the local request; ``None`` for a job that this
        instance started itself.
    :param forming_by_id: the first voters' disks, to form the register.
    """

    def __init__(
        self,
        *,
        change: changes.Change,
        entropy: int,
        deadline: float,
        ticket: str | None = None,
        forming_by_id: dict[str, str] | None = None,
    ) -> None:
        self.change = change
        self.ticket = ticket
        self.deadline = deadline
        self.forming_by_id = forming_by_id or {}
        self.tries = 0
        self._entropy = entropy

    def derive_bits(self, purpose: str) -> int:
        """Return 64 pseudo-random bits that differ by try and purpose."""
        digest = configurations.digest(self._entropy, self.tries, purpose)
        return int.from_bytes(digest[:8], 'big')

    def backoff_s(self) -> float:
        """Return an exponential backoff in seconds, with jitter.

        The jitter keeps competing proposers from colliding again.
        """
        limit_s = FIRST_BACKOFF_S * 2 ** min(self.tries, 10)
        share = 0.5 + self.derive_bits('backoff') / 2**64
        return min(limit_s, MAX_BACKOFF_S) * share

    def expiry_message(self) -> str:
        """Return the error message for a job that expired.

        It says whether the change may still take effect.
        """
        if getattr(self.change, 'was_tried', False):
            effect = 'may still take effect'
        else:
            effect = 'did not take effect'
        return (
            f'no majority of the voters answered in time; the change {effect}'
            ': resend it with the same change id'
        )


class Proposer:
    """Runs one attempt at a time, for the first job of the queue.

    :param on_chosen: called with an attempt whose version was chosen and
        with the time; returns effects.
    """

    def __init__(
        self,
        *,
        register_state: state_module.RegisterState,
        on_chosen: abc.Callable[[attempts.Attempt, float], list],
    ) -> None:
        self.jobs: list[Job] = []
        self._register_state = register_state
        self._on_chosen = on_chosen
        self._attempt: attempts.Attempt | None = None
        self._attempt_started_at = 0.0
        self._resend_at = 0.0
        self._retry_at = 0.0
        self._highest_number = 0

    def add(self, job: Job, now: float) -> list[typing.Any]:
        """Append a job to the queue; start it if it is the only one."""
        self.jobs.append(job)
        if len(self.jobs) > 1:
            return []
        self._retry_at = now
        return self.start(now)

    def add_after_backoff(self, job: Job, now: float) -> None:
        """Queue a job that this instance started itself, after a backoff.

        All voters detect the need for it at the same time; the jitter of the
        backoff keeps them from competing.
        """
        self.jobs.append(job)
        self._retry_at = now + job.backoff_s()

    def add_first(self, job: Job, now: float) -> list[typing.Any]:
        """Put a job at the head of the queue; abandon the current attempt."""
        self._attempt = None
        self.jobs.insert(0, job)
        self._retry_at = now
        return self.start(now)

    def remove(self, job: Job, now: float) -> None:
        """Remove a job, and its attempt if one is running."""
        if job is self.jobs[0]:
            self._attempt = None
            self._retry_at = now
        self.jobs.remove(job)

    def start(self, now: float) -> list[typing.Any]:
        """Start an attempt for the first job, if that is possible now.

        Not possible during a backoff, beside another attempt, or before a
        version is known (except to form the register).
        """
        if not self.jobs or self._attempt is not None or now < self._retry_at:
            return []
        job = self.jobs[0]
        if (
            self._register_state.known.current is None
            and not job.forming_by_id
        ):
            return []
        job.tries += 1
        confirmed = self._register_state.confirmed
        self._attempt = attempts.Attempt(
            ballot=self._next_ballot(job),
            change=job.change,
            known=self._register_state.known,
            chosen=None if confirmed is None else confirmed.ballot,
            forming_by_id=job.forming_by_id,
        )
        self._attempt_started_at = now
        self._resend_at = now + RESEND_EVERY_S
        return list(self._attempt.start())

    def tick(self, now: float) -> list[typing.Any]:
        """Expire jobs; resend, abandon or start an attempt."""
        effects = self._expire(now)
        if self._attempt is None:
            return [*effects, *self.start(now)]
        if now - self._attempt_started_at >= ATTEMPT_LIMIT_S:
            self._abandon(now)
        elif now >= self._resend_at:
            self._resend_at = now + RESEND_EVERY_S
            effects.extend(self._attempt.resend(now))
        return [*effects, *self._settle(now)]

    def on_promised(
        self, message: messages.BallotPromised, now: float
    ) -> list[typing.Any]:
        """Count a promise."""
        if not self._is_current(message.ballot):
            return []
        sends = self._attempt.on_promised(message, now)
        return [*sends, *self._settle(now)]

    def on_refused(
        self, message: messages.BallotRefused, now: float
    ) -> list[typing.Any]:
        """Abandon the attempt: a voter refused its ballot."""
        if not self._is_current(message.ballot):
            return []
        self._attempt.on_refused(message)
        return self._settle(now)

    def on_accepted(
        self, message: messages.VersionAccepted, now: float
    ) -> list[typing.Any]:
        """Count an acceptance."""
        if not self._is_current(message.ballot):
            return []
        self._attempt.on_accepted(message)
        return self._settle(now)

    def on_full_needed(
        self, message: messages.FullVersionNeeded
    ) -> list[typing.Any]:
        """Send the full value to the voter that lacks the update's base."""
        if not self._is_current(message.ballot):
            return []
        return list(self._attempt.on_full_needed(message))

    def on_version_known(self, now: float) -> list[typing.Any]:
        """Continue after a version was fetched or learned."""
        if self._attempt is None:
            return self.start(now)
        sends = self._attempt.on_version_known(now)
        return [*sends, *self._settle(now)]

    def _is_current(self, ballot: ballots.Ballot) -> bool:
        return self._attempt is not None and self._attempt.ballot == ballot

    def _next_ballot(self, job: Job) -> ballots.Ballot:
        seen = [self._register_state.known.ballot]
        if self._register_state.acceptor is not None:
            seen.append(self._register_state.acceptor.promised)
        numbers = [ballot.number for ballot in seen if ballot is not None]
        self._highest_number = max(self._highest_number, *numbers, 0) + 1
        return ballots.Ballot(
            number=self._highest_number,
            proposer=self._register_state.instance_id,
            nonce=job.derive_bits('nonce'),
        )

    def _expire(self, now: float) -> list[typing.Any]:
        effects: list[typing.Any] = []
        for job in [job for job in self.jobs if now >= job.deadline]:
            self.remove(job, now)
            if job.ticket is not None:
                result = changes.Unavailable(message=job.expiry_message())
                effects.append(
                    parts.Complete(ticket=job.ticket, result=result)
                )
        return effects

    def _abandon(self, now: float) -> None:
        highest = self._attempt.highest.number
        self._highest_number = max(self._highest_number, highest)
        self._attempt = None
        self._retry_at = now + self.jobs[0].backoff_s()

    def _settle(self, now: float) -> list[typing.Any]:
        """Handle an attempt that was refused or chosen; else do nothing."""
        attempt = self._attempt
        if attempt is None:
            return []
        if attempt.phase is attempts.Phase.REFUSED:
            self._abandon(now)
            return []
        if attempt.phase is not attempts.Phase.CHOSEN:
            return []
        self._attempt = None
        self._retry_at = now
        effects = list(self._on_chosen(attempt, now))
        if not attempt.decision.again:
            effects.extend(self._complete(attempt.decision))
        return [*effects, *self.start(now)]

    def _complete(self, decision: changes.Decision) -> list[typing.Any]:
        job = self.jobs.pop(0)
        if job.ticket is None:
            return []
        return [parts.Complete(ticket=job.ticket, result=decision.result)]
