"""The grantor side of leases: a voter's grants and their records.

Only epochs are stored on disk. When a grant expires is kept in memory only,
so that a renewal needs no disk sync. In return, a grantor has to wait after
a restart.
"""

import collections
from collections import abc
import typing

import msgspec

from . import lease_messages as messages
from . import parts

Outcome = messages.LeaseOutcome

#: Key of a version record among pending syncs; other keys are lease names.
_VERSION = '\0version'


class _Grant(msgspec.Struct, kw_only=True):
    """The last grant of one name.

    :param expires_at: end of the grant by this grantor's clock.
    :param wait_until_by_candidate: refused candidates, and until when they
        are to be notified of a release.
    """

    record: messages.LeaseGranted
    expires_at: float = float('-inf')
    released: bool = False
    wait_until_by_candidate: dict[str, float] = msgspec.field(
        default_factory=dict
    )

    def is_active(self, now: float) -> bool:
        return not self.released and now < self.expires_at

    def is_held_by(self, holder: str, life: int) -> bool:
        return (self.record.holder, self.record.life) == (holder, life)


class _PendingEffect(msgspec.Struct, kw_only=True):
    """An effect that is performed once these syncs have finished."""

    effect: typing.Any
    tokens: set[str]


class Grantor:
    """Grants leases by this instance's own clock.

    :param instance_id: id of this instance.
    :param duration_s: longest lease that it grants, in seconds.
    :param margin_s: added to each wait, against clock drift, in seconds.
    """

    def __init__(
        self, *, instance_id: str, duration_s: float, margin_s: float
    ) -> None:
        self.instance_id = instance_id
        self.duration_s = duration_s
        self.margin_s = margin_s
        #: Whether its records include every epoch that it has granted.
        self.ready = False
        #: Version of the set of grantors; claims under an older one are
        #: refused.
        self.version = 0
        #: Number of answers by outcome, for the metrics.
        self.outcomes_by_label: collections.Counter[str] = (
            collections.Counter()
        )
        self._grants_by_name: dict[str, _Grant] = {}
        #: When this process started, in monotonic seconds.
        self.started_at = float('-inf')
        #: When it last granted or renewed a lease.
        self.granted_at = float('-inf')
        self._wait_until: float | None = None
        #: Highest version in a marker that is synced, or about to be.
        self._recorded_version = -1
        self._pending_effects: list[_PendingEffect] = []
        self._tokens_by_subject: dict[str, str] = {}
        self._token_count = 0

    def restore(self, record: typing.Any) -> None:
        """Replay one journal record; the highest epoch of a name wins."""
        if isinstance(record, messages.LeaseReady):
            self.ready = True
            self.version = max(self.version, record.version)
            self._recorded_version = self.version
        if isinstance(record, messages.LeaseGranted):
            self.learn(record)

    def snapshot(self) -> list[typing.Any]:
        """Return the records that restore this grantor, ready marker last."""
        records: list[typing.Any] = list(self.records())
        if self.ready:
            records.append(messages.LeaseReady(version=self.version))
        return records

    def records(self) -> tuple[messages.LeaseGranted, ...]:
        """Return the grant with the highest epoch of each name."""
        return tuple(grant.record for grant in self._grants_by_name.values())

    def learn(self, record: messages.LeaseGranted) -> None:
        """Record an epoch from the journal or from another grantor.

        A grant of this grantor that has not expired stays in force.
        """
        grant = self._grants_by_name.get(record.name)
        if grant is None:
            self._grants_by_name[record.name] = _Grant(record=record)
        elif grant.record.epoch < record.epoch:
            grant.record = record
            if grant.released:
                grant.released = False
                grant.expires_at = float('-inf')

    def adopt(self, record: messages.LeaseGranted) -> None:
        """Record an epoch read from others in place of the own record of it.

        An own grant made under an earlier set may be of an epoch that another
        holder has got since.
        """
        grant = self._grants_by_name.get(record.name)
        if grant is not None and grant.record.epoch == record.epoch:
            grant.record = record
        else:
            self.learn(record)

    def start(self, now: float) -> None:
        """Start the wait after a restart; later calls have no effect.

        Without the wait, a restarted grantor could grant a name whose lease,
        granted before the restart, is still valid: two holders at once.
        """
        if self._wait_until is None:
            self.started_at = now
            self._wait_until = now + self.longest_wait_s()

    def suspend(self) -> None:
        """Answer no claims until it becomes ready again.

        The holders of its grants are those of an earlier set. It renews none
        of them unless it reads from others that they hold their leases.
        """
        self.ready = False
        for grant in self._grants_by_name.values():
            grant.record = msgspec.structs.replace(
                grant.record, holder='', life=0
            )

    def withhold(self, until: float) -> None:
        """Grant no lease to another holder before a time.

        A restart within it waits anew, for as long as any grant that the
        records name may last.
        """
        self._wait_until = max(self._wait_until or until, until)

    def form(self) -> list[typing.Any]:
        """Become ready without epochs, as a first voter of a new system."""
        return self.become_ready(self.version)

    def become_ready(
        self, version: int, *, then: typing.Any = None
    ) -> list[typing.Any]:
        """Journal all epochs, with the marker that they are complete.

        :param version: of the set of grantors.
        :param then: an effect to perform once they are synced.
        """
        self.ready = True
        self.version = max(self.version, version)
        self._recorded_version = self.version
        records = tuple(self.snapshot())
        token = self.next_token()
        for subject in (_VERSION, *self._grants_by_name):
            self._tokens_by_subject[subject] = token
        if then is not None:
            pending = _PendingEffect(effect=then, tokens={token})
            self._pending_effects.append(pending)
        return [parts.Persist(token=token, records=records)]

    def longest_wait_s(self) -> float:
        """Return in how many seconds all present grants have expired.

        The durations come from the journal, so that a restart with a shorter
        duration in the settings doesn't shorten the wait.
        """
        durations = [record.duration_s for record in self.records()]
        if not durations:
            return 0.0
        return max(durations) + self.margin_s

    def on_claims(
        self, now: float, sender: str, claims: messages.LeaseClaims
    ) -> list[typing.Any]:
        """Answer all claims of a message in one reply."""
        granted: dict[str, messages.LeaseGranted] = {}
        answers = []
        for claim in claims.claims:
            outcome = self._decide(now, sender, claims, claim)
            self.outcomes_by_label[outcome.name.lower()] += 1
            answers.append(self._answer(now, claim, outcome))
            if outcome is Outcome.GRANTED and claim.epoch:
                granted |= self._grant(now, sender, claims, claim)
        if self.ready:
            self.version = max(self.version, claims.version)
        message = messages.LeaseAnswers(
            version=self.version,
            life=claims.life,
            asked_at=claims.asked_at,
            answers=tuple(answers),
        )
        names = {claim.name for claim in claims.claims}
        return self._reply(sender, message, names, granted)

    def on_release(
        self, now: float, sender: str, release: messages.LeaseRelease
    ) -> list[typing.Any]:
        """Free a name at once if it is granted to the sender.

        The successor is notified, or else the candidates refused recently,
        so that candidates need not poll often to notice a release.
        """
        grant = self._grants_by_name.get(release.name)
        if grant is None or grant.released:
            return []
        if grant.record.epoch != release.epoch:
            return []
        if not grant.is_held_by(sender, release.life):
            return []
        grant.released = True
        recipients = (
            [release.successor]
            if release.successor
            else [
                candidate
                for candidate, until in grant.wait_until_by_candidate.items()
                if now < until
            ]
        )
        vacant = messages.LeaseVacant(name=release.name, epoch=release.epoch)
        return [parts.Send(to=name, message=vacant) for name in recipients]

    def on_persisted(self, token: str) -> list[typing.Any]:
        """Return the effects whose last pending sync this was."""
        self._tokens_by_subject = {
            subject: waiting
            for subject, waiting in self._tokens_by_subject.items()
            if waiting != token
        }
        effects: list[typing.Any] = []
        still_pending = []
        for pending in self._pending_effects:
            pending.tokens.discard(token)
            if pending.tokens:
                still_pending.append(pending)
            else:
                effects.append(pending.effect)
        self._pending_effects = still_pending
        return effects

    def on_epochs_wanted(
        self, sender: str, wanted: messages.LeaseEpochsWanted
    ) -> list[typing.Any]:
        """Send the epochs to another grantor, and fence older sets.

        A claim under the replaced set must not get its majority after this
        read, or the reader would miss its epoch. The fence is synced before
        the reply; otherwise a restart would lose it.
        """
        epochs = messages.LeaseEpochs(
            reading=wanted.reading,
            ready=self.ready,
            records=self.records(),
        )
        # Claims raise the version in memory only.
        if not self.ready or wanted.version <= self._recorded_version:
            return self._reply(sender, epochs, {_VERSION}, {})
        self.version = max(self.version, wanted.version)
        self._recorded_version = self.version
        marker = messages.LeaseReady(version=self.version)
        return self._reply(sender, epochs, {_VERSION}, {_VERSION: marker})

    def next_token(self) -> str:
        """Return a new token for ``Persist``, unique among all parts."""
        self._token_count += 1
        return f'lease:{self._token_count}'

    def _decide(
        self,
        now: float,
        sender: str,
        claims: messages.LeaseClaims,
        claim: messages.LeaseClaim,
    ) -> Outcome:
        """Return the outcome of a claim; the order of the checks matters."""
        if not self.ready:
            return Outcome.NOT_CAUGHT_UP
        if claims.version < self.version:
            return Outcome.OLD_VERSION
        if claims.duration_s > self.duration_s:
            return Outcome.TOO_LONG
        grant = self._grants_by_name.get(claim.name)
        if grant is not None and claim.epoch == grant.record.epoch:
            return self._decide_renewal(sender, claims, grant)
        if grant is not None and 0 < claim.epoch < grant.record.epoch:
            return Outcome.OLD_EPOCH
        if self._wait_until is None or now < self._wait_until:
            return Outcome.WAITING_OUT
        if grant is None or not grant.is_active(now):
            return Outcome.GRANTED
        # A candidate that requests a lease holds none. So a request with a
        # higher epoch, from the same start of the instance, replaces its
        # request with the lower one.
        if grant.is_held_by(sender, claims.life):
            return Outcome.GRANTED
        wait_s = self.duration_s + self.margin_s
        grant.wait_until_by_candidate[sender] = now + wait_s
        return Outcome.HELD

    def _decide_renewal(
        self, sender: str, claims: messages.LeaseClaims, grant: _Grant
    ) -> Outcome:
        """Return the outcome of a claim for the highest epoch granted.

        A renewal is granted during the wait after a restart too: if another
        grant had been made since, the highest epoch would be a later one.
        """
        if not grant.is_held_by(sender, claims.life):
            return Outcome.OLD_EPOCH
        if grant.released:
            return Outcome.RELEASED
        if claims.duration_s > grant.record.duration_s:
            return Outcome.TOO_LONG
        return Outcome.GRANTED

    def _grant(
        self,
        now: float,
        sender: str,
        claims: messages.LeaseClaims,
        claim: messages.LeaseClaim,
    ) -> dict[str, messages.LeaseGranted]:
        """Record a grant; return the record to sync if the epoch is new."""
        self.granted_at = now
        expires_at = now + claims.duration_s
        grant = self._grants_by_name.get(claim.name)
        if grant is not None and grant.record.epoch == claim.epoch:
            grant.expires_at = max(grant.expires_at, expires_at)
            return {}
        record = messages.LeaseGranted(
            name=claim.name,
            epoch=claim.epoch,
            holder=sender,
            life=claims.life,
            duration_s=claims.duration_s,
        )
        self._grants_by_name[claim.name] = _Grant(
            record=record, expires_at=expires_at
        )
        return {claim.name: record}

    def _answer(
        self, now: float, claim: messages.LeaseClaim, outcome: Outcome
    ) -> messages.LeaseAnswer:
        grant = self._grants_by_name.get(claim.name)
        if outcome is Outcome.GRANTED and claim.epoch:
            return messages.LeaseAnswer(
                name=claim.name, epoch=claim.epoch, outcome=outcome
            )
        return messages.LeaseAnswer(
            name=claim.name,
            epoch=claim.epoch,
            outcome=outcome,
            highest=grant.record.epoch if grant else 0,
            holder=grant.record.holder if grant else '',
            remaining_s=self._remaining_s(now, outcome, grant),
        )

    def _remaining_s(
        self, now: float, outcome: Outcome, grant: _Grant | None
    ) -> float:
        if outcome is Outcome.WAITING_OUT and self._wait_until is not None:
            return self._wait_until - now
        if outcome is Outcome.HELD and grant is not None:
            return grant.expires_at - now
        return 0.0

    def _reply(
        self,
        sender: str,
        message: typing.Any,
        subjects: abc.Set[str],
        records_by_subject: abc.Mapping[str, typing.Any],
    ) -> list[typing.Any]:
        """Reply now, or once all records that the reply depends on are synced.

        If the reply were sent before the sync, the holder could count a
        grant that this grantor loses in a crash, and the same epoch could be
        granted to another instance.

        :param subjects: names of leases, or ``_VERSION``, that the message
            depends on.
        :param records_by_subject: records to sync first.
        """
        effects: list[typing.Any] = []
        if records_by_subject:
            token = self.next_token()
            records = tuple(records_by_subject.values())
            effects.append(parts.Persist(token=token, records=records))
            for subject in records_by_subject:
                self._tokens_by_subject[subject] = token
        tokens = {
            self._tokens_by_subject[subject]
            for subject in subjects
            if subject in self._tokens_by_subject
        }
        send = parts.Send(to=sender, message=message)
        if tokens:
            pending = _PendingEffect(effect=send, tokens=tokens)
            self._pending_effects.append(pending)
        else:
            effects.append(send)
        return effects
