"""The replicated register that holds the configuration document.

The voters agree on its value by a quorum protocol. A :class:`Register` runs
at every instance. An instance whose disk is in the set of voters also votes.
Any instance can propose a change. See ``docs/REGISTER.md`` for the protocol
and the properties that are proved of it.
"""

from collections import abc
import typing

from . import acceptor as acceptors
from . import attempt as attempts
from . import changes
from . import checker as checkers
from . import configuration as configurations
from . import confirmation
from . import confirmation_status as status_module
from . import enforcement
from . import formation as formations
from . import hints as hinting
from . import learners as learning
from . import parts
from . import proposer as proposers
from . import register_messages as messages
from . import register_state as state_module
from . import replacements
from . import sync_gate
from .changes import Applied
from .changes import ChangeIdReused
from .changes import Conflict
from .changes import Overtaken
from .changes import Unavailable
from .changes import VoterRefused
from .enforcement import Enforcement
from .register_events import CaughtUp
from .register_events import ConfigurationChanged
from .register_events import ContactsFound
from .register_events import InstancesChanged
from .register_events import OtherRegisterSeen
from .register_events import Propose
from .register_events import ProposeOrdered
from .register_events import RemoveVoter
from .register_events import VotersChanged
from .register_events import WithdrawJoining
from .replacements import ReplaceVoter

__all__ = [
    'Applied',
    'CaughtUp',
    'ChangeIdReused',
    'ConfigurationChanged',
    'Conflict',
    'ContactsFound',
    'Enforcement',
    'InstancesChanged',
    'OtherRegisterSeen',
    'Overtaken',
    'Propose',
    'ProposeOrdered',
    'Register',
    'RemoveVoter',
    'ReplaceVoter',
    'Unavailable',
    'VoterRefused',
    'VotersChanged',
    'WithdrawJoining',
]

TOKEN_PREFIX = 'register'
DEFAULT_CONFIRM_TTL_S = 5.0
#: A proposal ends with ``Unavailable`` after this many seconds.
DEFAULT_PROPOSE_LIMIT_S = 4.0
#: Ids of confirmation requests and checks start at a random number below
#: this.
FIRST_ID_LIMIT = 2**48
#: Seconds between two requests of an instance that waits for the end of a
#: change of the voters.
JOINING_POLL_S = 0.25


class Register:
    """The register part of one instance.

    :param instance_id: this instance.
    :param initial_voters: instance ids that form the register; the same at
        every instance. Empty until :class:`ContactsFound` names them.
    :param disk_id: the identity of this instance's disk, if it has one.
    :param confirm_ttl_s: for how many seconds after a confirmation work may
        be admitted; the same at every instance.
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
        self._contact_ids = initial_voters
        self._ttl_s = confirm_ttl_s
        self._propose_limit_s = propose_limit_s
        self._instance_ids: tuple[str, ...] = (instance_id,)
        self._referred_ids: tuple[str, ...] = ()
        self._is_started = False
        self._is_disk_caught_up = False
        self._poll_at = 0.0
        #: Instances that have reported a version of another register.
        self._other_register_ids: set[str] = set()
        self._register_state = state_module.RegisterState(
            instance_id=instance_id, disk_id=disk_id
        )
        self._gate = sync_gate.SyncGate(prefix=TOKEN_PREFIX)
        self._proposer = proposers.Proposer(
            register_state=self._register_state, on_chosen=self._on_chosen
        )
        self._replacements = replacements.Replacements(
            register_state=self._register_state,
            proposer=self._proposer,
            propose_limit_s=propose_limit_s,
        )
        self._formation = formations.Formation(
            register_state=self._register_state,
            proposer=self._proposer,
            initial_voters=initial_voters,
        )
        self._checker = checkers.Checker(
            register_state=self._register_state,
            ttl_s=confirm_ttl_s,
            confirm=self._confirm,
        )
        self._requester = confirmation.ConfirmationRequester(
            instance_id=instance_id, ttl_s=confirm_ttl_s
        )
        self._monitor = status_module.ConfirmationMonitor()
        self._tracker = enforcement.EnforcementTracker(ttl_s=confirm_ttl_s)
        self._learners = learning.Learners(
            instance_id=instance_id, ttl_s=confirm_ttl_s
        )
        self._hints = hinting.Hints(
            instance_id=instance_id, ttl_s=confirm_ttl_s
        )
        self._handlers: dict[type, abc.Callable] = {
            parts.Ticked: self._on_ticked,
            parts.Received: self._on_received,
            parts.Persisted: self._on_persisted,
            Propose: self._on_propose,
            ProposeOrdered: self._on_propose_ordered,
            ContactsFound: self._on_contacts_found,
            ReplaceVoter: self._replacements.add,
            WithdrawJoining: self._on_withdraw_joining,
            RemoveVoter: self._on_remove_voter,
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
            messages.LearnerQuery: self._on_learner_query,
            messages.LearnerReport: self._on_learner_report,
            messages.ConfigurationHint: self._on_hint,
            messages.RevisionConfirmed: self._on_revision_confirmed,
            messages.DiskQuery: self._on_disk_query,
            messages.DiskReport: self._on_disk_report,
        }

    # The public, read-only state.

    @property
    def configuration(self) -> configurations.Configuration | None:
        """Return the last confirmed configuration; ``None`` before one."""
        confirmed = self._register_state.confirmed
        return None if confirmed is None else confirmed.configuration

    @property
    def confirmed_at(self) -> float | None:
        """Return when the request that confirmed it was sent.

        By this instance's monotonic clock, in seconds.
        """
        return self._register_state.confirmed_at

    @property
    def revision(self) -> int | None:
        """Return the confirmed revision; ``None`` before the first."""
        configuration = self.configuration
        return None if configuration is None else configuration.revision

    @property
    def document(self) -> bytes:
        """Return the confirmed document; empty before the first."""
        configuration = self.configuration
        if configuration is None:
            return b''
        return configurations.unpack(configuration.document)

    @property
    def author(self) -> str:
        """Return the author of the confirmed document; empty before one."""
        configuration = self.configuration
        return '' if configuration is None else configuration.author

    def history(self) -> tuple[configurations.ChangeRecord, ...]:
        """Return the retained confirmed changes, oldest first."""
        configuration = self.configuration
        return () if configuration is None else configuration.changes

    @property
    def voters_by_id(self) -> dict[str, str]:
        """Return the confirmed voters: disk ids by instance id."""
        configuration = self.configuration
        return (
            {} if configuration is None else configuration.voters.voters_by_id
        )

    @property
    def joining_by_id(self) -> dict[str, str]:
        """Return the confirmed joining set: disk ids by instance id.

        Empty when no change of the voters is in progress.
        """
        configuration = self.configuration
        return (
            {} if configuration is None else configuration.voters.joining_by_id
        )

    @property
    def joiner(self) -> str:
        """Return the instance whose disk is joining; empty without one."""
        configuration = self.configuration
        return '' if configuration is None else configuration.voters.joiner

    @property
    def voters_number(self) -> int:
        """Return the version of the confirmed voter sets; 0 before one."""
        configuration = self.configuration
        return 0 if configuration is None else configuration.voters.number

    def is_fresh(self, now: float) -> bool:
        """Return whether work may be admitted under the configuration."""
        confirmed_at = self.confirmed_at
        return confirmed_at is not None and now - confirmed_at < self._ttl_s

    def confirmation_status(
        self, now: float
    ) -> status_module.ConfirmationStatus:
        """Return how current the configuration is."""
        configuration = self.configuration
        if configuration is None:
            return status_module.ConfirmationStatus(revision=None)
        at = self.confirmed_at
        return status_module.ConfirmationStatus(
            revision=configuration.revision,
            order=configuration.order,
            confirmed_age_s=None if at is None else now - at,
            is_confirmed=self.is_fresh(now),
        )

    def in_force(
        self, revision: int, now: float
    ) -> dict[str, enforcement.Enforcement]:
        """Return for every instance whether a revision is in force there."""
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

    # The interface of a part; see :class:`parts.Part`.

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Apply an event to the state and return the effects.

        Events of types that this part does not handle are ignored.
        """
        handler = self._handlers.get(type(event))
        return [] if handler is None else handler(event)

    def restore(self, record: typing.Any) -> None:
        """Apply one journal record; records of other parts are ignored."""
        acceptor = self._register_state.acceptor
        if acceptor is None or not isinstance(record, messages.RECORDS):
            return
        acceptor.restore(record)
        self._register_state.learn_from_disk()

    def snapshot(self) -> list[typing.Any]:
        """Return the records that rebuild this part."""
        acceptor = self._register_state.acceptor
        return [] if acceptor is None else acceptor.snapshot()

    def _on_ticked(self, event: parts.Ticked) -> list[typing.Any]:
        if not self._is_started:
            self._start(event.entropy)
        self._add_own_job(event)
        return [
            *self._formation.tick(event.now),
            *self._replacements.tick(event.now),
            *self._proposer.tick(event.now),
            *self._checker.tick(event.now),
            *self._tick_requester(event.now),
            *self._learners.tick(
                event.now,
                self._instance_ids,
                self._register_state.known.ballot,
            ),
            *self._hints.tick(event.now, self.in_force),
            *self._monitor.tick(
                event.now,
                self.confirmation_status(event.now),
                asks=self._requester.asks,
                late_answers=self._requester.late_answers,
            ),
        ]

    def _start(self, entropy: int) -> None:
        self._is_started = True
        first_id = entropy % FIRST_ID_LIMIT
        self._formation.start(first_id)
        self._checker.start(first_id)
        self._requester.start(first_id)

    def _on_received(self, event: parts.Received) -> list[typing.Any]:
        receiver = self._receivers.get(type(event.message))
        if receiver is None:
            return []
        to_disk_id = getattr(event.message, 'to_disk_id', self.disk_id)
        if to_disk_id != self.disk_id:
            # Meant for a disk that this instance no longer has. The present
            # disk must not answer for it.
            return []
        return receiver(event, event.message)

    def _on_persisted(self, event: parts.Persisted) -> list[typing.Any]:
        return list(self._gate.persisted(event.token))

    def _on_instances_changed(
        self, event: InstancesChanged
    ) -> list[typing.Any]:
        self._instance_ids = event.instance_ids
        self._tracker.retain_only(event.instance_ids)
        return []

    def _on_contacts_found(self, event: ContactsFound) -> list[typing.Any]:
        self._contact_ids = event.instance_ids
        if event.may_form:
            self._formation.set_first_voters(event.instance_ids)
        return []

    # The acceptor: promises and acceptances of this instance's disk.

    def _on_prepare(
        self, event: parts.Received, message: messages.PrepareBallot
    ) -> list[typing.Any]:
        answer = self._register_state.acceptor.prepare(message)
        return self._reply(event.sender, answer)

    def _on_accept(
        self, event: parts.Received, message: messages.AcceptVersion
    ) -> list[typing.Any]:
        answer = self._register_state.acceptor.accept(message)
        self._register_state.learn_from_disk()
        return self._reply(event.sender, answer)

    def _on_fetch(
        self, event: parts.Received, message: messages.FetchVersion
    ) -> list[typing.Any]:
        versions = self._register_state.acceptor.versions
        if versions.current is None:
            return []
        reply = messages.VersionFetched(
            from_disk_id=self.disk_id, update=versions.update_for(message.base)
        )
        return self._reply(event.sender, acceptors.Answer(reply=reply))

    def _on_check(
        self, event: parts.Received, message: messages.CheckAccepted
    ) -> list[typing.Any]:
        reply = messages.AcceptedReport(
            from_disk_id=self.disk_id,
            check_id=message.check_id,
            accepted=self._register_state.acceptor.accepted,
        )
        return self._reply(event.sender, acceptors.Answer(reply=reply))

    def _reply(self, to: str, answer: acceptors.Answer) -> list[typing.Any]:
        send = parts.Send(to=to, message=answer.reply)
        return self._gate.reply(answer.records, [send])

    # Proposals.

    def _on_propose(self, event: Propose) -> list[typing.Any]:
        change = changes.DocumentChange(
            change_id=event.change_id,
            author=event.author,
            expected_revision=event.expected_revision,
            document=event.document,
        )
        return self._add_change(event, change)

    def _on_propose_ordered(self, event: ProposeOrdered) -> list[typing.Any]:
        change = changes.OrderedChange(
            order=event.order, author=event.author, document=event.document
        )
        return self._add_change(event, change)

    def _add_change(
        self, event: Propose | ProposeOrdered, change: changes.Change
    ) -> list[typing.Any]:
        job = proposers.Job(
            change=change,
            entropy=event.entropy,
            ticket=event.ticket,
            deadline=event.now + self._propose_limit_s,
        )
        return self._proposer.add(job, event.now)

    def _on_promised(
        self, event: parts.Received, message: messages.BallotPromised
    ) -> list[typing.Any]:
        return self._proposer.on_promised(message, event.now)

    def _on_refused(
        self, event: parts.Received, message: messages.BallotRefused
    ) -> list[typing.Any]:
        return self._proposer.on_refused(message, event.now)

    def _on_accepted(
        self, event: parts.Received, message: messages.VersionAccepted
    ) -> list[typing.Any]:
        return self._proposer.on_accepted(message, event.now)

    def _on_full_needed(
        self, event: parts.Received, message: messages.FullVersionNeeded
    ) -> list[typing.Any]:
        return self._proposer.on_full_needed(message)

    def _on_fetched(
        self, event: parts.Received, message: messages.VersionFetched
    ) -> list[typing.Any]:
        self._register_state.learn(message.update)
        return [
            *self._proposer.on_version_known(event.now),
            *self._checker.settle(event.now),
        ]

    def _on_chosen(
        self, attempt: attempts.Attempt, now: float
    ) -> list[typing.Any]:
        # Compared with the confirmed version, not with the latest known one:
        # a voter that proposes has the version on its own disk before it is
        # chosen, so the comparison with the known one would send no hints.
        # The change would then be in force at one instance only, until each
        # other instance's next regular confirmation.
        before = self.configuration
        known = self._register_state.known
        self._register_state.learn(attempt.update_from(known.ballot))
        revision = attempt.version.configuration.revision
        if before is None or before.revision < revision:
            self._hints.begin(revision, now)
        return [
            *self._confirm(attempt.version, attempt.accept_sent_at, now),
            *self._hints.tick(now, self.in_force),
        ]

    # Replacement of voters.

    def _on_withdraw_joining(self, event: WithdrawJoining) -> list[typing.Any]:
        job = proposers.Job(
            change=changes.JoiningWithdrawal(number=event.number),
            entropy=event.entropy,
            deadline=event.now + self._propose_limit_s,
        )
        return self._proposer.add(job, event.now)

    def _on_remove_voter(self, event: RemoveVoter) -> list[typing.Any]:
        job = proposers.Job(
            change=changes.VoterRemoval(
                instance_id=event.instance_id, number=event.number
            ),
            entropy=event.entropy,
            deadline=event.now + self._propose_limit_s,
        )
        self._proposer.add_after_backoff(job, event.now)
        return []

    def _on_disk_query(
        self, event: parts.Received, message: messages.DiskQuery
    ) -> list[typing.Any]:
        acceptor = self._register_state.acceptor
        holds = acceptor is not None and acceptor.accepted is not None
        report = messages.DiskReport(
            query_id=message.query_id,
            disk_id=self.disk_id,
            holds_version=holds,
        )
        return self._reply(event.sender, acceptors.Answer(reply=report))

    def _on_disk_report(
        self, event: parts.Received, message: messages.DiskReport
    ) -> list[typing.Any]:
        effects = self._replacements.on_report(message, event.now)
        if effects is not None:
            return effects
        return self._formation.on_report(event.sender, message, event.now)

    def _on_caught_up(self, event: CaughtUp) -> list[typing.Any]:
        self._is_disk_caught_up = event.disk_id == self.disk_id
        return []

    def _add_own_job(self, event: parts.Ticked) -> None:
        """Queue a job of this instance, if one is due and none is queued.

        That is the last step of its own joining, or the repair of a change
        that a proposer left unfinished.
        """
        if self._register_state.acceptor is None or self._proposer.jobs:
            return
        change: changes.Change
        if self._is_ready_to_vote():
            change = changes.ReplacementEnd(disk_id=self.disk_id)
        elif self._checker.is_repair_wanted:
            change = changes.WriteBack()
        else:
            return
        self._checker.is_repair_wanted = False
        job = proposers.Job(
            change=change,
            entropy=event.entropy,
            deadline=event.now + self._propose_limit_s,
        )
        self._proposer.add_after_backoff(job, event.now)

    def _is_ready_to_vote(self) -> bool:
        version = self._register_state.acceptor.versions.current
        if version is None or not self._is_disk_caught_up:
            return False
        return version.configuration.voters.is_joining(self.disk_id)

    # Confirmation.

    def _on_confirm(
        self, event: parts.Received, message: messages.ConfirmConfiguration
    ) -> list[typing.Any]:
        if self._register_state.is_voter:
            return self._checker.add_request(event.sender, message, event.now)
        refusal = messages.ConfirmRefused(
            ask_id=message.ask_id, voter_ids=self._register_state.voter_ids
        )
        return [parts.Send(to=event.sender, message=refusal)]

    def _on_report(
        self, event: parts.Received, message: messages.AcceptedReport
    ) -> list[typing.Any]:
        return self._checker.on_report(event.sender, message, event.now)

    def _tick_requester(self, now: float) -> list[typing.Any]:
        if self._is_waiting_to_join() and now >= self._poll_at:
            self._poll_at = now + JOINING_POLL_S
            self._requester.request_soon()
        if not self._requester.is_due(now):
            return []
        if self._register_state.is_voter and not self._is_overdue(now):
            return []
        return list(
            self._requester.tick(
                now, self._candidates(), self._register_state.known.ballot
            )
        )

    def _is_waiting_to_join(self) -> bool:
        """Whether this disk can join once another change has ended."""
        if self._register_state.acceptor is None or not self.joining_by_id:
            return False
        return not self._register_state.is_voter

    def _is_overdue(self, now: float) -> bool:
        # A voter that can't confirm by its own checks may hold an outdated
        # set of voters that have all been replaced. So it sends requests to
        # other voters as well.
        if self.confirmed_at is None:
            return True
        age = now - self.confirmed_at
        return age > 2 * confirmation.REQUEST_EVERY * self._ttl_s

    def _candidates(self) -> list[str]:
        ids = (
            *self._register_state.voter_ids,
            *self._referred_ids,
            *self._contact_ids,
        )
        return list(dict.fromkeys(i for i in ids if i != self.instance_id))

    def _on_confirmed(
        self, event: parts.Received, message: messages.ConfigurationConfirmed
    ) -> list[typing.Any]:
        sent_at = self._requester.on_answer(
            event.sender, message.ask_id, event.now
        )
        if sent_at is None:
            return []
        known = self._register_state.known.current
        version = configurations.resolve(message.update, known)
        if version is None:
            self._requester.request_soon()
            return []
        self._register_state.learn(message.update)
        effects = self._confirm(version, sent_at, event.now)
        effects.extend(self._tick_requester(event.now))
        effects.extend(self._proposer.on_version_known(event.now))
        return effects

    def _on_confirm_refused(
        self, event: parts.Received, message: messages.ConfirmRefused
    ) -> list[typing.Any]:
        self._referred_ids = message.voter_ids
        self._requester.on_refusal(event.sender, message.ask_id, event.now)
        return []

    def _confirm(
        self, version: configurations.Version, at: float, now: float
    ) -> list[typing.Any]:
        """Record that a majority held a version at ``at``.

        :param at: monotonic seconds of this instance.
        """
        before = self.configuration
        if not self._register_state.confirm(version, at):
            return []
        self._learners.note_confirmation(now)
        return self._put_in_force(before, now)

    def _put_in_force(
        self, before: configurations.Configuration | None, now: float
    ) -> list[typing.Any]:
        """Return the effects of the newly confirmed version.

        :param before: the configuration that was confirmed before.
        """
        after = self._register_state.confirmed.configuration
        self._tracker.note_chosen(after.revision, now)
        effects: list[typing.Any] = []
        if before is None or before.revision != after.revision:
            changed = ConfigurationChanged(
                revision=after.revision, document=self.document
            )
            effects.append(changed)
            effects.extend(self._hints.confirmed(after.revision))
        if before is None or before.voters != after.voters:
            if self.disk_id not in after.voters.instance_by_disk:
                # It has to catch up again if it joins again.
                self._is_disk_caught_up = False
            changed_voters = VotersChanged(
                voters_by_id=after.voters.voters_by_id,
                joining_by_id=after.voters.joining_by_id,
                number=after.voters.number,
            )
            effects.append(changed_voters)
        return effects

    # Queries among instances while no voter answers.

    def _on_learner_query(
        self, event: parts.Received, message: messages.LearnerQuery
    ) -> list[typing.Any]:
        confirmed = self._register_state.confirmed
        if confirmed is None:
            return []
        if message.base is not None and message.base >= confirmed.ballot:
            return []
        report = messages.LearnerReport(
            update=self._register_state.update_to_confirmed(message.base)
        )
        return [parts.Send(to=event.sender, message=report)]

    def _on_learner_report(
        self, event: parts.Received, message: messages.LearnerReport
    ) -> list[typing.Any]:
        if self._register_state.is_of_other_register(message.update):
            return self._report_other_register(event.sender)
        before = self.configuration
        if not self._register_state.adopt(message.update):
            return []
        return [
            *self._put_in_force(before, event.now),
            *self._proposer.on_version_known(event.now),
        ]

    def _report_other_register(self, sender: str) -> list[typing.Any]:
        if sender in self._other_register_ids:
            return []
        self._other_register_ids.add(sender)
        return [OtherRegisterSeen(sender=sender)]

    # Hints.

    def _on_hint(
        self, event: parts.Received, message: messages.ConfigurationHint
    ) -> list[typing.Any]:
        confirmed = self.revision
        if confirmed is not None and confirmed >= message.revision:
            reply = messages.RevisionConfirmed(revision=confirmed)
            return [parts.Send(to=event.sender, message=reply)]
        self._hints.add_hint_sender(event.sender)
        if self._register_state.is_voter:
            return self._checker.check_soon(event.now)
        self._requester.request_soon()
        return self._tick_requester(event.now)

    def _on_revision_confirmed(
        self, event: parts.Received, message: messages.RevisionConfirmed
    ) -> list[typing.Any]:
        self._tracker.note_confirmed(event.sender, message.revision)
        return []
