"""The one configuration document, agreed on by the voters.

A :class:`Register` runs at every instance. Where the instance has a disk
that the voters count, it also votes. Any instance can propose. See
``docs/REGISTER.md`` for the protocol and what is proved of it.
"""

from collections import abc
import dataclasses
import typing

from . import acceptor as acceptors
from . import attempt as attempts
from . import ballot as ballots
from . import changes
from . import configuration as configurations
from . import confirmation
from . import enforcement
from . import parts
from . import register_messages as messages
from . import sync_gate
from .changes import Applied
from .changes import ChangeIdReused
from .changes import Conflict
from .changes import Unavailable
from .changes import VoterRefused
from .enforcement import Enforcement

__all__ = [
    'Applied',
    'CaughtUp',
    'ChangeIdReused',
    'ConfigurationChanged',
    'Conflict',
    'Enforcement',
    'InstancesChanged',
    'Propose',
    'Register',
    'ReplaceVoter',
    'Unavailable',
    'VoterRefused',
    'VotersChanged',
]

TOKEN_PREFIX = 'register'
DEFAULT_CONFIRM_TTL_S = 5.0
#: A propose ends with ``Unavailable`` after this many seconds.
DEFAULT_PROPOSE_LIMIT_S = 4.0
#: Unanswered messages of an attempt are sent again this often.
RESEND_EVERY_S = 0.25
#: An attempt that can't go on is given up for a new one after this long.
ATTEMPT_LIMIT_S = 1.0
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 0.8
#: Ids of asks and checks start at a random number below this.
FIRST_ID_LIMIT = 2**48
FORMATION_EVERY_S = 0.5
HINT_EVERY_S = 1.0
#: A disk that lags is sent the version at most once in this many times to
#: live, as the full value is large.
CATCH_UP_EVERY = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Propose:
    """An operator wants to replace the document.

    :param change_id: the same for every resend of one change.
    :param expected_revision: the revision that the document was made from.
    """

    now: float
    ticket: str
    change_id: str
    author: str
    expected_revision: int
    document: bytes
    entropy: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplaceVoter:
    """An operator wants another disk to vote in place of a voter's.

    :param instance_id: the voter that goes.
    :param by: the instance that comes; the same one when only its disk was
        lost.
    """

    now: float
    ticket: str
    change_id: str
    instance_id: str
    by: str
    entropy: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InstancesChanged:
    """The instances that are known to run, this one included."""

    now: float
    instance_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CaughtUp:
    """Everything else that voters keep was copied to this disk as well.

    The daemon posts it at an instance that joins the voters, when the parts
    beside the register hold what a majority of the present voters held
    *after* :class:`VotersChanged` named this instance as joining.

    :param disk_id: the disk that was caught up.
    """

    now: float
    disk_id: str
    entropy: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationChanged:
    """Effect: another configuration was confirmed by a majority."""

    revision: int
    document: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VotersChanged:
    """Effect: other voters were confirmed by a majority.

    :param joining_by_id: the coming voters; empty when none are coming.
    """

    voters_by_id: dict[str, str]
    joining_by_id: dict[str, str]


class _Job:
    """A request that waits for its attempts to succeed."""

    def __init__(
        self,
        *,
        change: changes.Change | None,
        entropy: int,
        ticket: str | None = None,
        deadline: float | None = None,
    ) -> None:
        #: ``None`` while the disk of a coming voter is being asked for.
        self.change = change
        self.ticket = ticket
        self.deadline = deadline
        self.tries = 0
        self.forming_by_id: dict[str, str] = {}
        self.replacement: ReplaceVoter | None = None
        self._entropy = entropy

    def draw(self, purpose: str) -> int:
        """Return 64 bits that differ by try and purpose."""
        drawn = configurations.digest(self._entropy, self.tries, purpose)
        return int.from_bytes(drawn[:8], 'big')

    def backoff_s(self) -> float:
        """Return a jittered wait, so that rivals don't meet again."""
        longest = FIRST_BACKOFF_S * 2 ** min(self.tries, 10)
        share = 0.5 + self.draw('backoff') / 2**64
        return min(longest, LONGEST_BACKOFF_S) * share


class Register:
    """The register part of one instance.

    :param instance_id: this instance.
    :param initial_voters: instance ids that form the register; the same at
        every instance.
    :param disk_id: the identity of this instance's disk, if it has one.
    :param confirm_ttl_s: for how many seconds a confirmation lets work be
        admitted; the same at every instance.
    :param propose_limit_s: seconds after which a proposal is answered with
        ``Unavailable``.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        initial_voters: tuple[str, ...],
        disk_id: str | None,
        confirm_ttl_s: float = DEFAULT_CONFIRM_TTL_S,
        propose_limit_s: float = DEFAULT_PROPOSE_LIMIT_S,
    ) -> None:
        self.instance_id = instance_id
        self.disk_id = disk_id
        #: When the ask left that last confirmed the configuration.
        self.confirmed_at: float | None = None
        self._initial_voters = initial_voters
        self._ttl_s = confirm_ttl_s
        self._propose_limit_s = propose_limit_s
        self._acceptor = (
            None if disk_id is None else acceptors.Acceptor(disk_id=disk_id)
        )
        self._gate = sync_gate.SyncGate(prefix=TOKEN_PREFIX)
        # The latest version heard of; a majority may never have held it.
        self._known = configurations.VersionHistory()
        self._confirmed: configurations.Version | None = None
        self._instance_ids: tuple[str, ...] = (instance_id,)
        self._tracker = enforcement.EnforcementTracker(ttl_s=confirm_ttl_s)
        self._highest_number = 0

        self._jobs: list[_Job] = []
        self._attempt: attempts.Attempt | None = None
        self._attempt_started_at = 0.0
        self._resend_at = 0.0
        self._retry_at = 0.0

        self._asker = confirmation.Asker(
            instance_id=instance_id, ttl_s=confirm_ttl_s
        )
        self._referred_ids: tuple[str, ...] = ()
        self._waiting: list[confirmation.WaitingAsk] = []
        self._check: confirmation.Check | None = None
        #: ``None`` before the first tick has brought entropy.
        self._check_id: int | None = None
        self._last_check_at: float | None = None
        self._is_check_wanted = False
        self._repair_wanted = False
        self._caught_up_at_by_disk: dict[str, float] = {}

        self._query_id = 0
        self._query_at: float | None = None
        self._reports_by_id: dict[str, messages.DiskReport] = {}
        self._own_disk_caught_up = False

        self._hinted_revision: int | None = None
        self._hint_at = 0.0
        self._hint_until = 0.0
        #: Who wants to hear that the latest revision was confirmed.
        self._hinters: set[str] = set()

        self._handlers: dict[type, abc.Callable] = {
            parts.Ticked: self._on_ticked,
            parts.Received: self._on_received,
            parts.Persisted: self._on_persisted,
            Propose: self._on_propose,
            ReplaceVoter: self._on_replace_voter,
            InstancesChanged: self._on_instances_changed,
            CaughtUp: self._on_caught_up,
        }
        self._receivers: dict[type, abc.Callable] = {
            messages.PrepareBallot: self._on_prepare,
            messages.BallotPromised: self._on_promised,
            messages.BallotRefused: self._on_refused,
            messages.FetchVersion: self._on_fetch,
            messages.VersionFetched: self._on_fetched,
            messages.AcceptVersion: self._on_accept,
            messages.VersionAccepted: self._on_accepted,
            messages.FullVersionNeeded: self._on_full_needed,
            messages.CheckAccepted: self._on_check,
            messages.AcceptedReport: self._on_report,
            messages.ConfirmConfiguration: self._on_confirm,
            messages.ConfigurationConfirmed: self._on_confirmed,
            messages.ConfirmRefused: self._on_confirm_refused,
            messages.ConfigurationHint: self._on_hint,
            messages.RevisionConfirmed: self._on_revision_confirmed,
            messages.DiskQuery: self._on_disk_query,
            messages.DiskReport: self._on_disk_report,
        }

    # What others may read.

    @property
    def revision(self) -> int | None:
        """Return the confirmed revision; ``None`` before the first."""
        if self._confirmed is None:
            return None
        return self._confirmed.configuration.revision

    @property
    def document(self) -> bytes:
        """Return the confirmed document; empty before the first."""
        if self._confirmed is None:
            return b''
        return configurations.unpack(self._confirmed.configuration.document)

    @property
    def author(self) -> str:
        """Return who made the confirmed document."""
        if self._confirmed is None:
            return ''
        return self._confirmed.configuration.author

    def history(self) -> tuple[configurations.ChangeRecord, ...]:
        """Return the confirmed changes that are kept, oldest first."""
        if self._confirmed is None:
            return ()
        return self._confirmed.configuration.changes

    @property
    def voters_by_id(self) -> dict[str, str]:
        """Return disk ids by voter, as confirmed."""
        if self._confirmed is None:
            return {}
        return self._confirmed.configuration.voters.voters_by_id

    @property
    def joining_by_id(self) -> dict[str, str]:
        """Return the coming voters' disks; empty when none are coming."""
        if self._confirmed is None:
            return {}
        return self._confirmed.configuration.voters.joining_by_id

    def is_fresh(self, now: float) -> bool:
        """Tell whether work may be admitted under the configuration."""
        if self.confirmed_at is None:
            return False
        return now - self.confirmed_at < self._ttl_s

    def in_force(
        self, revision: int, now: float
    ) -> dict[str, enforcement.Enforcement]:
        """Return what is known of a revision, by instance id."""
        return {
            instance_id: self._enforcement_of(instance_id, revision, now)
            for instance_id in self._instance_ids
        }

    def _enforcement_of(
        self, instance_id: str, revision: int, now: float
    ) -> enforcement.Enforcement:
        confirmed = self.revision
        if instance_id != self.instance_id or confirmed is None:
            return self._tracker.state(instance_id, revision, now)
        if confirmed >= revision:
            return enforcement.Enforcement.CONFIRMED
        if not self.is_fresh(now):
            return enforcement.Enforcement.STOPPED
        return enforcement.Enforcement.WAITING

    # The part's contract.

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Change the state and return what is to be done.

        Events that mean nothing to this part are passed over.
        """
        handler = self._handlers.get(type(event))
        return [] if handler is None else handler(event)

    def restore(self, record: typing.Any) -> None:
        """Take in one journal record; others' records are passed over."""
        if self._acceptor is None or not isinstance(record, messages.RECORDS):
            return
        self._acceptor.restore(record)
        self._learn_from_disk()

    def snapshot(self) -> list[typing.Any]:
        """Return the records that rebuild this part."""
        return [] if self._acceptor is None else self._acceptor.snapshot()

    def _on_received(self, event: parts.Received) -> list[typing.Any]:
        receiver = self._receivers.get(type(event.message))
        if receiver is None:
            return []
        to_disk_id = getattr(event.message, 'to_disk_id', self.disk_id)
        if to_disk_id != self.disk_id:
            # Meant for a disk that is gone: this one can't speak for it.
            return []
        return receiver(event, event.message)

    def _on_persisted(self, event: parts.Persisted) -> list[typing.Any]:
        return list(self._gate.persisted(event.token))

    def _on_instances_changed(
        self, event: InstancesChanged
    ) -> list[typing.Any]:
        self._instance_ids = event.instance_ids
        self._tracker.forget_others(event.instance_ids)
        return []

    def _on_ticked(self, event: parts.Ticked) -> list[typing.Any]:
        if self._check_id is None:
            self._start_ids(event.entropy)
        return [
            *self._tick_formation(event),
            *self._tick_voter(event),
            *self._tick_jobs(event),
            *self._tick_check(event.now),
            *self._tick_asker(event.now),
            *self._tick_hints(event.now),
        ]

    def _start_ids(self, entropy: int) -> None:
        # A report to a check from before a restart must not count for a
        # check after it: it tells of what the voter held before the ask.
        self._check_id = entropy % FIRST_ID_LIMIT
        self._query_id = entropy % FIRST_ID_LIMIT
        self._asker.start(entropy % FIRST_ID_LIMIT)

    # The voter: promises and acceptances of this disk.

    def _on_prepare(
        self, event: parts.Received, message: messages.PrepareBallot
    ) -> list[typing.Any]:
        return self._reply(event.sender, self._acceptor.prepare(message))

    def _on_accept(
        self, event: parts.Received, message: messages.AcceptVersion
    ) -> list[typing.Any]:
        answer = self._acceptor.accept(message)
        self._learn_from_disk()
        return self._reply(event.sender, answer)

    def _reply(self, to: str, answer: acceptors.Answer) -> list[typing.Any]:
        send = parts.Send(to=to, message=answer.reply)
        return self._gate.reply(answer.records, [send])

    def _on_fetch(
        self, event: parts.Received, message: messages.FetchVersion
    ) -> list[typing.Any]:
        if self._acceptor.accepted is None:
            return []
        reply = messages.VersionFetched(
            from_disk_id=self.disk_id,
            update=self._acceptor.versions.update_for(message.base),
        )
        return self._reply(event.sender, acceptors.Answer(reply=reply))

    def _on_check(
        self, event: parts.Received, message: messages.CheckAccepted
    ) -> list[typing.Any]:
        reply = messages.AcceptedReport(
            from_disk_id=self.disk_id,
            check_id=message.check_id,
            accepted=self._acceptor.accepted,
        )
        return self._reply(event.sender, acceptors.Answer(reply=reply))

    def _learn_from_disk(self) -> None:
        versions = self._acceptor.versions
        ballot = versions.ballot
        if ballot is None:
            return
        if self._known.ballot is None or ballot > self._known.ballot:
            self._known.advance(versions.update_for(self._known.ballot))

    # Proposals.

    def _on_propose(self, event: Propose) -> list[typing.Any]:
        change = changes.DocumentChange(
            change_id=event.change_id,
            author=event.author,
            expected_revision=event.expected_revision,
            document=event.document,
        )
        job = _Job(
            change=change,
            entropy=event.entropy,
            ticket=event.ticket,
            deadline=event.now + self._propose_limit_s,
        )
        return self._add_job(job, event.now)

    def _on_replace_voter(self, event: ReplaceVoter) -> list[typing.Any]:
        job = _Job(
            change=None,
            entropy=event.entropy,
            ticket=event.ticket,
            deadline=event.now + self._propose_limit_s,
        )
        job.replacement = event
        return self._add_job(job, event.now)

    def _on_caught_up(self, event: CaughtUp) -> list[typing.Any]:
        self._own_disk_caught_up = event.disk_id == self.disk_id
        return []

    def _add_job(self, job: _Job, now: float) -> list[typing.Any]:
        self._jobs.append(job)
        if len(self._jobs) > 1:
            return []
        self._retry_at = now
        return self._start_attempt(now)

    def _tick_jobs(self, event: parts.Ticked) -> list[typing.Any]:
        effects = self._expire_jobs(event.now)
        if not self._jobs:
            return effects
        if self._attempt is None:
            return [*effects, *self._start_attempt(event.now)]
        if event.now - self._attempt_started_at >= ATTEMPT_LIMIT_S:
            self._give_up_attempt(event.now)
        elif event.now >= self._resend_at:
            self._resend_at = event.now + RESEND_EVERY_S
            effects.extend(self._attempt.resend(event.now))
        return [*effects, *self._settle(event.now)]

    def _expire_jobs(self, now: float) -> list[typing.Any]:
        effects: list[typing.Any] = []
        for job in list(self._jobs):
            if job.deadline is None or now < job.deadline:
                continue
            if job is self._jobs[0]:
                self._attempt = None
                self._retry_at = now
            self._jobs.remove(job)
            if job.ticket is not None:
                result = Unavailable(message=self._reason_for_no_answer(job))
                effects.append(
                    parts.Complete(ticket=job.ticket, result=result)
                )
        return effects

    def _reason_for_no_answer(self, job: _Job) -> str:
        if getattr(job.change, 'was_tried', False):
            return (
                'no majority of the voters answered in time; the change may '
                'still take effect: resend it with the same change id'
            )
        if self._known.current is None:
            return (
                'no configuration could be read yet from the voters '
                f'{", ".join(self._initial_voters)}; the change did not take '
                'effect: resend it with the same change id'
            )
        return (
            'no majority of the voters answered in time; the change did not '
            'take effect: resend it with the same change id'
        )

    def _start_attempt(self, now: float) -> list[typing.Any]:
        job = self._jobs[0]
        if now < self._retry_at:
            return []
        if job.change is None:
            return self._ask_for_disk(job, now)
        if self._known.current is None and not job.forming_by_id:
            self._asker.hurry()
            return []
        job.tries += 1
        chosen = self._confirmed
        self._attempt = attempts.Attempt(
            ballot=self._next_ballot(job),
            change=job.change,
            known=self._known,
            chosen=None if chosen is None else chosen.ballot,
            forming_by_id=job.forming_by_id,
        )
        self._attempt_started_at = now
        self._resend_at = now + RESEND_EVERY_S
        return list(self._attempt.start())

    def _next_ballot(self, job: _Job) -> ballots.Ballot:
        heard = [self._known.ballot]
        if self._acceptor is not None:
            heard.append(self._acceptor.promised)
        numbers = [ballot.number for ballot in heard if ballot is not None]
        self._highest_number = max(self._highest_number, *numbers, 0) + 1
        return ballots.Ballot(
            number=self._highest_number,
            proposer=self.instance_id,
            nonce=job.draw('nonce'),
        )

    def _give_up_attempt(self, now: float) -> None:
        highest = self._attempt.highest.number
        self._highest_number = max(self._highest_number, highest)
        self._attempt = None
        self._retry_at = now + self._jobs[0].backoff_s()

    def _on_promised(
        self, event: parts.Received, message: messages.BallotPromised
    ) -> list[typing.Any]:
        if not self._is_of_attempt(message.ballot):
            return []
        sends = self._attempt.on_promised(message, event.now)
        return [*sends, *self._settle(event.now)]

    def _on_refused(
        self, event: parts.Received, message: messages.BallotRefused
    ) -> list[typing.Any]:
        if not self._is_of_attempt(message.ballot):
            return []
        self._attempt.on_refused(message)
        return self._settle(event.now)

    def _on_accepted(
        self, event: parts.Received, message: messages.VersionAccepted
    ) -> list[typing.Any]:
        if not self._is_of_attempt(message.ballot):
            return []
        self._attempt.on_accepted(message)
        return self._settle(event.now)

    def _on_full_needed(
        self, event: parts.Received, message: messages.FullVersionNeeded
    ) -> list[typing.Any]:
        if not self._is_of_attempt(message.ballot):
            return []
        return list(self._attempt.on_full_needed(message))

    def _on_fetched(
        self, event: parts.Received, message: messages.VersionFetched
    ) -> list[typing.Any]:
        ballot = message.update.ballot
        if self._known.ballot is None or ballot > self._known.ballot:
            self._known.advance(message.update)
        effects: list[typing.Any] = []
        if self._attempt is not None:
            effects.extend(self._attempt.on_version_known(event.now))
            effects.extend(self._settle(event.now))
        return [*effects, *self._settle_check(event.now)]

    def _is_of_attempt(self, ballot: ballots.Ballot) -> bool:
        return self._attempt is not None and self._attempt.ballot == ballot

    def _settle(self, now: float) -> list[typing.Any]:
        """Act on an attempt that has come to its end."""
        attempt = self._attempt
        if attempt is None:
            return []
        if attempt.phase is attempts.Phase.REFUSED:
            self._give_up_attempt(now)
            return []
        if attempt.phase is not attempts.Phase.CHOSEN:
            return []
        self._attempt = None
        previous = self._known.current
        self._take_chosen(attempt)
        effects = self._confirm(attempt.version, attempt.accept_sent_at, now)
        effects.extend(self._hint_if_changed(previous, attempt.version, now))
        self._retry_at = now
        if not attempt.decision.again:
            effects.extend(self._complete_job(attempt.decision))
        if self._jobs:
            effects.extend(self._start_attempt(now))
        return effects

    def _take_chosen(self, attempt: attempts.Attempt) -> None:
        held = self._known.ballot
        if held is not None and held >= attempt.version.ballot:
            return
        update = attempt.update_from(held)
        self._known.advance(update)

    def _complete_job(self, decision: changes.Decision) -> list[typing.Any]:
        job = self._jobs.pop(0)
        if job.ticket is None:
            return []
        return [parts.Complete(ticket=job.ticket, result=decision.result)]

    # Formation, and the disks of coming voters.

    def _tick_formation(self, event: parts.Ticked) -> list[typing.Any]:
        if not self._may_form() or self._jobs_forming():
            return []
        if not self._is_query_due(event.now):
            return []
        self._start_query(event.now)
        return [self._disk_query(to) for to in self._initial_voters]

    def _may_form(self) -> bool:
        # One instance forms, so that two never compete; it needs all the
        # first voters anyway.
        return (
            self._known.current is None
            and self._acceptor is not None
            and self.instance_id == min(self._initial_voters, default=None)
        )

    def _jobs_forming(self) -> bool:
        return any(job.forming_by_id for job in self._jobs)

    def _is_query_due(self, now: float) -> bool:
        if self._query_at is None:
            return True
        return now - self._query_at >= FORMATION_EVERY_S

    def _start_query(self, now: float) -> None:
        self._query_id += 1
        self._query_at = now
        self._reports_by_id = {}

    def _disk_query(self, to: str) -> parts.Send:
        message = messages.DiskQuery(query_id=self._query_id)
        return parts.Send(to=to, message=message)

    def _on_disk_query(
        self, event: parts.Received, message: messages.DiskQuery
    ) -> list[typing.Any]:
        holds = self._acceptor is not None and (
            self._acceptor.accepted is not None
        )
        report = messages.DiskReport(
            query_id=message.query_id,
            disk_id=self.disk_id,
            holds_version=holds,
        )
        return self._reply(event.sender, acceptors.Answer(reply=report))

    def _on_disk_report(
        self, event: parts.Received, message: messages.DiskReport
    ) -> list[typing.Any]:
        if message.query_id != self._query_id:
            return []
        self._reports_by_id[event.sender] = message
        if self._jobs and self._jobs[0].change is None:
            return self._take_disk(self._jobs[0], event)
        if self._may_form() and not self._jobs_forming():
            return self._form_if_all_are_empty(event.now)
        return []

    def _form_if_all_are_empty(self, now: float) -> list[typing.Any]:
        disks_by_id = {}
        for instance_id in self._initial_voters:
            report = self._reports_by_id.get(instance_id)
            if report is None or report.disk_id is None:
                return []
            if report.holds_version:
                return []
            disks_by_id[instance_id] = report.disk_id
        # The query id and the disk ids stand in for entropy: they never come
        # together twice with another outcome.
        entropy = configurations.digest(self._query_id, *disks_by_id.values())
        job = _Job(
            change=changes.WriteBack(),
            entropy=int.from_bytes(entropy[:8], 'big'),
            deadline=now + ATTEMPT_LIMIT_S,
        )
        job.forming_by_id = disks_by_id
        self._attempt = None
        self._jobs.insert(0, job)
        self._retry_at = now
        return self._start_attempt(now)

    def _ask_for_disk(self, job: _Job, now: float) -> list[typing.Any]:
        if not self._is_query_due(now):
            return []
        self._start_query(now)
        return [self._disk_query(job.replacement.by)]

    def _take_disk(self, job: _Job, event: parts.Received) -> list[typing.Any]:
        request = job.replacement
        if event.sender != request.by:
            return []
        disk_id = event.message.disk_id
        if disk_id is None:
            self._jobs.remove(job)
            refusal = VoterRefused(message=f'{request.by!r} has no disk')
            return [parts.Complete(ticket=job.ticket, result=refusal)]
        job.change = changes.VoterReplacement(
            change_id=request.change_id,
            author='',
            instance_id=request.instance_id,
            by=request.by,
            disk_id=disk_id,
        )
        self._retry_at = event.now
        return self._start_attempt(event.now)

    # The voter's other duties: joining, and repair of a divided register.

    def _tick_voter(self, event: parts.Ticked) -> list[typing.Any]:
        if self._acceptor is None or self._jobs:
            return []
        if self._is_ready_to_vote():
            change = changes.ReplacementEnd(disk_id=self.disk_id)
        elif self._repair_wanted:
            change = changes.WriteBack()
        else:
            return []
        self._repair_wanted = False
        job = _Job(
            change=change,
            entropy=event.entropy,
            deadline=event.now + self._propose_limit_s,
        )
        self._jobs.append(job)
        self._retry_at = event.now + job.backoff_s()
        return []

    def _is_ready_to_vote(self) -> bool:
        version = self._acceptor.versions.current
        if version is None or not self._own_disk_caught_up:
            return False
        return version.configuration.voters.is_joining(self.disk_id)

    # Confirmation, at a voter.

    def _is_voter(self) -> bool:
        if self._acceptor is None or self._known.current is None:
            return False
        voters = self._known.current.configuration.voters
        return self.disk_id in voters.voters_by_id.values()

    def _on_confirm(
        self, event: parts.Received, message: messages.ConfirmConfiguration
    ) -> list[typing.Any]:
        if not self._is_voter():
            refusal = messages.ConfirmRefused(
                ask_id=message.ask_id, voter_ids=self._voter_ids()
            )
            return [parts.Send(to=event.sender, message=refusal)]
        waiting = confirmation.WaitingAsk(
            instance_id=event.sender, arrived_at=event.now, ask=message
        )
        self._waiting.append(waiting)
        return self._start_check_if_due(event.now)

    def _voter_ids(self) -> tuple[str, ...]:
        if self._known.current is None:
            return ()
        voters = self._known.current.configuration.voters
        return tuple(sorted(voters.voters_by_id))

    def _tick_check(self, now: float) -> list[typing.Any]:
        check = self._check
        timeout = confirmation.CHECK_TIMEOUT * self._ttl_s
        if check is not None and now - check.started_at >= timeout:
            self._end_check_without_result(check, now)
        return self._start_check_if_due(now)

    def _end_check_without_result(
        self, check: confirmation.Check, now: float
    ) -> None:
        oldest = now - confirmation.ASK_TIMEOUT * self._ttl_s
        kept = [ask for ask in check.asks if ask.arrived_at > oldest]
        self._waiting = [*kept, *self._waiting]
        self._check = None
        voters = self._known.current.configuration.voters
        # A quorum answers, but does not hold one and the same version: a
        # proposer has left its work half done.
        if voters.has_quorum(set(check.accepted_by_disk)):
            self._repair_wanted = True

    def _start_check_if_due(self, now: float) -> list[typing.Any]:
        if not self._is_voter() or self._check is not None:
            return []
        if self._check_id is None:
            return []
        last = self._last_check_at
        gap = confirmation.CHECK_GAP * self._ttl_s
        own_gap = confirmation.ASK_EVERY * self._ttl_s
        if last is not None:
            if now - last < gap:
                return []
            is_wanted = self._waiting or self._is_check_wanted
            if not is_wanted and now - last < own_gap:
                return []
        return self._start_check(now)

    def _start_check(self, now: float) -> list[typing.Any]:
        self._check_id += 1
        self._last_check_at = now
        self._is_check_wanted = False
        self._check = confirmation.Check(
            check_id=self._check_id, started_at=now, asks=self._waiting
        )
        self._waiting = []
        voters = self._known.current.configuration.voters
        return [
            parts.Send(
                to=instance_id,
                message=messages.CheckAccepted(
                    to_disk_id=disk_id, check_id=self._check_id
                ),
            )
            for disk_id, instance_id in sorted(voters.instance_by_disk.items())
        ]

    def _on_report(
        self, event: parts.Received, message: messages.AcceptedReport
    ) -> list[typing.Any]:
        # Reports that come after the quorum's are looked at as well, or a
        # voter that always comes late would never be brought up to date.
        effects = self._catch_up(message, event.now)
        check = self._check
        if check is None or check.check_id != message.check_id:
            return effects
        check.accepted_by_disk[message.from_disk_id] = message.accepted
        return [
            *effects,
            *self._fetch_if_behind(event.sender, message),
            *self._settle_check(event.now),
        ]

    def _fetch_if_behind(
        self, sender: str, message: messages.AcceptedReport
    ) -> list[typing.Any]:
        if message.accepted is None or message.accepted <= self._known.ballot:
            return []
        fetch = messages.FetchVersion(
            to_disk_id=message.from_disk_id, base=self._known.ballot
        )
        return [parts.Send(to=sender, message=fetch)]

    def _settle_check(self, now: float) -> list[typing.Any]:
        check = self._check
        if check is None:
            return []
        for versions in self._histories():
            version = versions.current
            if version is not None and check.confirms(version):
                self._check = None
                return self._end_check(check, versions, now)
        return []

    def _histories(self) -> list[configurations.VersionHistory]:
        if self._acceptor is None:
            return [self._known]
        return [self._known, self._acceptor.versions]

    def _end_check(
        self,
        check: confirmation.Check,
        versions: configurations.VersionHistory,
        now: float,
    ) -> list[typing.Any]:
        effects = self._confirm(versions.current, check.started_at, now)
        for waiting in check.asks:
            answer = messages.ConfigurationConfirmed(
                ask_id=waiting.ask.ask_id,
                update=versions.update_for(waiting.ask.base),
            )
            effects.append(parts.Send(to=waiting.instance_id, message=answer))
        return effects

    def _catch_up(
        self, report: messages.AcceptedReport, now: float
    ) -> list[typing.Any]:
        """Repeat the accept for a disk that missed it, or that joins."""
        version = self._confirmed
        if version is None:
            return []
        disk_id = report.from_disk_id
        accepted = report.accepted
        instance_by_disk = version.configuration.voters.instance_by_disk
        if accepted is not None and accepted >= version.ballot:
            return []
        last = self._caught_up_at_by_disk.get(disk_id)
        pause = CATCH_UP_EVERY * self._ttl_s
        if last is not None and now - last < pause:
            return []
        if disk_id not in instance_by_disk:
            return []
        self._caught_up_at_by_disk[disk_id] = now
        message = messages.AcceptVersion(
            to_disk_id=disk_id, update=self._update_to_confirmed(accepted)
        )
        return [parts.Send(to=instance_by_disk[disk_id], message=message)]

    def _update_to_confirmed(
        self, base: ballots.Ballot | None
    ) -> configurations.VersionUpdate:
        for versions in self._histories():
            if versions.ballot == self._confirmed.ballot:
                return versions.update_for(base)
        return configurations.full_update(self._confirmed)

    # Confirmation, at everyone.

    def _tick_asker(self, now: float) -> list[typing.Any]:
        if self._is_voter() and not self._is_overdue(now):
            return []
        return list(
            self._asker.tick(now, self._candidates(), self._known.ballot)
        )

    def _is_overdue(self, now: float) -> bool:
        # A voter that can't confirm by itself may remember voters that have
        # all been replaced; the others know better.
        if self.confirmed_at is None:
            return True
        age = now - self.confirmed_at
        return age > 2 * confirmation.ASK_EVERY * self._ttl_s

    def _candidates(self) -> list[str]:
        known = (
            *self._voter_ids(),
            *self._referred_ids,
            *self._initial_voters,
        )
        others = dict.fromkeys(i for i in known if i != self.instance_id)
        return list(others)

    def _on_confirmed(
        self, event: parts.Received, message: messages.ConfigurationConfirmed
    ) -> list[typing.Any]:
        sent_at = self._asker.answered(message.ask_id)
        if sent_at is None:
            return []
        update = message.update
        version = configurations.resolve(update, self._known.current)
        if version is None:
            self._asker.hurry()
            return []
        if self._known.ballot is None or version.ballot > self._known.ballot:
            self._known.advance(update)
        effects = self._confirm(version, sent_at, event.now)
        effects.extend(self._tick_asker(event.now))
        if self._jobs and self._attempt is None:
            effects.extend(self._start_attempt(event.now))
        return effects

    def _on_confirm_refused(
        self, event: parts.Received, message: messages.ConfirmRefused
    ) -> list[typing.Any]:
        self._referred_ids = message.voter_ids
        self._asker.refused(message.ask_id, event.now)
        return []

    def _confirm(
        self, version: configurations.Version, at: float, now: float
    ) -> list[typing.Any]:
        """Take a version that a majority held at ``at``, by our clock."""
        previous = self._confirmed
        if previous is not None and version.ballot < previous.ballot:
            # A late answer: what was confirmed since must not revert.
            return []
        self._confirmed = version
        self.confirmed_at = max(at, self.confirmed_at or at)
        configuration = version.configuration
        self._tracker.note_chosen(configuration.revision, now)
        before = None if previous is None else previous.configuration
        effects: list[typing.Any] = []
        if before is None or before.revision != configuration.revision:
            effects.append(self._configuration_changed())
            effects.extend(self._tell_hinters())
        if before is None or before.voters != configuration.voters:
            effects.append(
                VotersChanged(
                    voters_by_id=self.voters_by_id,
                    joining_by_id=self.joining_by_id,
                )
            )
        return effects

    def _configuration_changed(self) -> ConfigurationChanged:
        return ConfigurationChanged(
            revision=self.revision, document=self.document
        )

    # Hints: so that a change is in force sooner than the next ask.

    def _hint_if_changed(
        self,
        previous: configurations.Version | None,
        version: configurations.Version,
        now: float,
    ) -> list[typing.Any]:
        before = None if previous is None else previous.configuration
        revision = version.configuration.revision
        if before is not None and before.revision >= revision:
            return []
        self._hinted_revision = revision
        self._hint_until = now + self._ttl_s
        self._hint_at = now
        return self._tick_hints(now)

    def _tick_hints(self, now: float) -> list[typing.Any]:
        revision = self._hinted_revision
        if revision is None or now < self._hint_at:
            return []
        if now >= self._hint_until:
            self._hinted_revision = None
            return []
        self._hint_at = now + HINT_EVERY_S
        waiting = enforcement.Enforcement.WAITING
        return [
            parts.Send(
                to=instance_id,
                message=messages.ConfigurationHint(revision=revision),
            )
            for instance_id, state in self.in_force(revision, now).items()
            if state is waiting and instance_id != self.instance_id
        ]

    def _on_hint(
        self, event: parts.Received, message: messages.ConfigurationHint
    ) -> list[typing.Any]:
        confirmed = self.revision
        if confirmed is not None and confirmed >= message.revision:
            reply = messages.RevisionConfirmed(revision=confirmed)
            return [parts.Send(to=event.sender, message=reply)]
        self._hinters.add(event.sender)
        if self._is_voter():
            self._is_check_wanted = True
            return self._start_check_if_due(event.now)
        self._asker.hurry()
        return self._tick_asker(event.now)

    def _tell_hinters(self) -> list[typing.Any]:
        message = messages.RevisionConfirmed(revision=self.revision)
        hinters = sorted(self._hinters)
        self._hinters.clear()
        return [parts.Send(to=to, message=message) for to in hinters]

    def _on_revision_confirmed(
        self, event: parts.Received, message: messages.RevisionConfirmed
    ) -> list[typing.Any]:
        self._tracker.note_confirmed(event.sender, message.revision)
        return []
