"""Quarantine of what crashes the backend servers that run it.

Suspects are calls and parts of prompts. A call is identified by the
fingerprint of its content: retries of a client and identical requests of
others are requests for the same call. A part is one that prompts of different
calls share. A crash here is any unannounced end of a backend server while it
runs a call; it counts against the call, and against the parts of its prompt
if the server had only begun to answer it.

The instance that forwarded the request reports the crash to the suspect's
aggregators, three instances chosen by the fingerprint. They combine the
crashes reported by single instances, and from the second crash on the
suspect's record is broadcast to all instances. It is not broadcast earlier
because most suspects of one crash never see another. Records that are lost on
the way, or missed by an instance that was isolated or has just started, are
found by comparing checksums with two other instances a second, which costs
nothing while there is no evidence.

How many crashes quarantine a suspect is decided in :mod:`._blame`. A run that
goes on well clears a suspect of the crashes known by then, and of those within
a moment after it. Instances with a disk store what is quarantined, so that it
outlasts a loss of all instances. Other evidence is in memory only.

A quarantined suspect has no runs that could clear it. Therefore one request
at a time is let through as a trial, see :mod:`._trials`.
"""

from collections import abc
import heapq
import random
import typing

import xxhash

from . import parts
from ._case import Case
from ._case import End
from ._cases import bucket_of
from ._cases import BUCKETS
from ._cases import Cases
from ._presence_messages import BackendStart
from ._quarantine_messages import AskTrial
from ._quarantine_messages import CaseReport
from ._quarantine_messages import Ended
from ._quarantine_messages import Lift
from ._quarantine_messages import MESSAGES
from ._quarantine_messages import Quarantined
from ._quarantine_messages import QuarantineNews
from ._quarantine_messages import QuarantineSummary
from ._quarantine_messages import RECORDS
from ._quarantine_messages import Released
from ._quarantine_messages import ReportedEnd
from ._quarantine_messages import ReportedLift
from ._quarantine_messages import SetPeers
from ._quarantine_messages import Succeeded
from ._quarantine_messages import TrialAnswered
from ._quarantine_messages import TrialAsked
from ._successes import Successes
from ._trials import due_at
from ._trials import TrialGrants

__all__ = [
    'AskTrial',
    'Case',
    'CaseReport',
    'End',
    'Ended',
    'Lift',
    'MESSAGES',
    'Quarantine',
    'QuarantineNews',
    'QuarantineSummary',
    'Quarantined',
    'RECORDS',
    'Released',
    'ReportedEnd',
    'ReportedLift',
    'SetPeers',
    'Succeeded',
    'TrialAnswered',
    'TrialAsked',
]

#: Seconds between two checksum comparisons started by one instance.
COMPARE_S = 1.0
#: Instances with which checksums are compared each time.
COMPARE_FANOUT = 2
#: Instances that combine the crashes of one suspect. With three, one instance
#: may be down and a datagram to another one may be lost.
AGGREGATORS = 3
#: Crashes of one suspect from which on its record is broadcast. The crash of
#: one engine counts against each of the dozens of calls it was running;
#: sending each of them to 200 instances would block an instance's control
#: loop for tenths of a second.
CRASHES_TO_BROADCAST = 2
#: Instances from which a newly started instance requests the evidence.
PEERS_AT_START = 3
#: Maximum suspects in one message, so that it fits in a datagram.
MAX_CASES_PER_MESSAGE = 4
#: Seconds for which a part is known to have run well at this instance.
KNOWN_GOOD_S = 600.0
#: Maximum parts that are known to have run well, about 150 bytes each.
MAX_KNOWN_GOOD = 4_096

Effects = list[typing.Any]


class Quarantine:
    """The quarantine state machine; the module describes the protocol.

    :param instance_id: this instance.
    :param has_disk: whether it stores what is quarantined.
    """

    def __init__(self, *, instance_id: str, has_disk: bool = False) -> None:
        self.instance_id = instance_id
        self._has_disk = has_disk
        #: Records read from the disk, until the time is known.
        self._restored: list[CaseReport] = []
        self._cases = Cases()
        self._grants = TrialGrants()
        #: Recent successful runs of calls that this instance forwarded; its
        #: owner records them here.
        self.successes = Successes()
        #: The same of parts of prompts.
        self.good_parts = Successes(
            retention_s=KNOWN_GOOD_S, max_count=MAX_KNOWN_GOOD
        )
        self._peers: tuple[str, ...] = ()
        self._has_synced = False
        self._compare_at = 0.0
        #: Crashes under calls forwarded by this instance.
        self.crashes_seen = 0
        #: Number of suspects in quarantine.
        self.quarantined_count = 0

    # Accessors.

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence on any suspect."""
        return not self._cases.by_fingerprint

    def held_s(self, now: float, fingerprint: str) -> float:
        """Return the seconds left of a quarantine, 0 without one."""
        case = self._cases.by_fingerprint.get(fingerprint)
        if case is None or case.held_until is None:
            return 0.0
        return max(0.0, case.held_until - now)

    def trial_at(self, fingerprint: str) -> float | None:
        """Return when a trial of a suspect is due; see ``due_at``."""
        case = self._cases.by_fingerprint.get(fingerprint)
        return None if case is None else due_at(case)

    def ends(self, fingerprint: str) -> list[End]:
        """Return the crashes that count against a suspect, oldest first."""
        case = self._cases.by_fingerprint.get(fingerprint)
        return [] if case is None else case.counted

    def cases(self) -> list[Case]:
        """Return all records, for display to operators."""
        return list(self._cases.by_fingerprint.values())

    # Interface of a coordination part.

    def handle(self, event: typing.Any) -> Effects:
        """Apply an event; return the effects to perform, in order."""
        if self._restored:
            return [*self._apply_restored(event.now), *self._handle(event)]
        return self._handle(event)

    def _handle(self, event: typing.Any) -> Effects:
        match event:
            case parts.Persisted():
                return []
            case parts.Ticked():
                return self._tick(event)
            case parts.Received():
                return self._receive(event)
            case Ended():
                return self._on_ended(event)
            case Succeeded():
                return self._on_succeeded(event)
            case AskTrial():
                return self._on_trial_wanted(event)
            case Lift():
                return self._on_lift(event)
            case SetPeers():
                return self._on_peers(event)
        raise TypeError(
            f'quarantine cannot handle event {type(event).__name__}'
        )

    def restore(self, record: typing.Any) -> None:
        """Restore a record from the journal; ignore those of other parts."""
        if isinstance(record, CaseReport):
            self._restored.append(record)

    def snapshot(self) -> tuple[CaseReport, ...]:
        """Return the records that :meth:`restore` needs.

        They are as old as they were at their last crash.
        """
        return (
            *self._restored,
            *(
                case.report(case.last_at)
                for case in self._cases.by_fingerprint.values()
                if case.stored_size
            ),
        )

    def _apply_restored(self, now: float) -> Effects:
        """Add the restored evidence, as old as it was when it was stored.

        No clock tells for how long the instance was down.
        """
        reports, self._restored = tuple(self._restored), []
        out = self._add(now, reports)
        for case in self._cases.by_fingerprint.values():
            case.stored_size = case.size
        return [each for each in out if not isinstance(each, parts.Persist)]

    def _store(self, now: float) -> Effects:
        """Store what is quarantined, and what has changed since."""
        if not self._has_disk:
            return []
        changed = [
            case
            for case in self._cases.by_fingerprint.values()
            if (case.held_until is not None or case.stored_size)
            and case.stored_size != case.size
        ]
        for case in changed:
            case.stored_size = case.size
        reports = tuple(case.report(now) for case in changed)
        return [parts.Persist(token='', records=reports)] if reports else []

    # Events of this instance.

    def _on_ended(self, event: Ended) -> Effects:
        if event.is_part and self.good_parts.clears_crash(
            event.fingerprint, event.ended_at
        ):
            # Parts that everybody sends would otherwise be in the evidence on
            # each crash.
            return []
        self.crashes_seen += not event.is_part
        end = ReportedEnd(
            start=event.start,
            age_s=event.now - event.ended_at,
            told_by=self.instance_id,
            is_trial=event.is_trial,
        )
        report = CaseReport(
            fingerprint=event.fingerprint,
            ends=(end,),
            cleared=(),
            lift=None,
            is_part=event.is_part,
            good_age_s=self._good_age_s(event.now, event.fingerprint),
        )
        return self._add_and_send(event.now, report)

    def _good_age_s(self, now: float, fingerprint: str) -> float | None:
        """Return the seconds since a part ran well at this instance."""
        good_at = self.good_parts.last_at(fingerprint)
        return None if good_at is None else now - good_at

    def _on_succeeded(self, event: Succeeded) -> Effects:
        """Clear a suspect of the crashes known by now.

        One that causes crashes would have crashed this server as well. For
        crashes that are reported later see :meth:`_clear_after_success`.
        """
        case = self._cases.by_fingerprint.get(event.fingerprint)
        if case is None or not case.counted:
            return []
        report = _clearing(
            case, good_age_s=self._good_age_s(event.now, event.fingerprint)
        )
        if not case.is_part:
            return self._add_and_send(event.now, report)
        # Many instances may have a good run of a part in the same moment, so
        # each notifies the aggregators only, and these broadcast what is new.
        out = self._add(event.now, (report,))
        to = self._aggregators(event.fingerprint)
        return [*out, *self._send_record(event.now, event.fingerprint, to)]

    def _on_lift(self, event: Lift) -> Effects:
        case = self._cases.by_fingerprint.get(event.fingerprint)
        known = parts.Complete(ticket=event.ticket, result=case is not None)
        if case is None:
            return [known]
        lift = ReportedLift(
            operator=event.operator, reason=event.reason, age_s=0.0
        )
        # Reset so that ``merge`` records this lift instead of an earlier one.
        case.lifted = None
        report = _clearing(case, lift=lift)
        return [known, *self._add_and_send(event.now, report)]

    def _on_trial_wanted(self, event: AskTrial) -> Effects:
        aggregator = self._aggregators(event.fingerprint)[0]
        if aggregator == self.instance_id:
            is_granted = self._grant(event.now, event.fingerprint)
            return [parts.Complete(ticket=event.ticket, result=is_granted)]
        request = TrialAsked(
            fingerprint=event.fingerprint, ticket=event.ticket
        )
        return [parts.Send(to=aggregator, message=request)]

    def _grant(self, now: float, fingerprint: str) -> bool:
        case = self._cases.by_fingerprint.get(fingerprint)
        return case is not None and self._grants.grant(now, case)

    def _add_and_send(self, now: float, report: CaseReport) -> Effects:
        """Add evidence found by this instance, and send the record.

        It goes to all instances once there are enough crashes, otherwise to
        the suspect's aggregators.
        """
        out = self._add(now, (report,))
        fingerprint = report.fingerprint
        if self._cases.count(fingerprint) >= CRASHES_TO_BROADCAST:
            return [*out, *self._send_record(now, fingerprint, self._peers)]
        return [
            *out,
            *self._send_record(
                now, fingerprint, self._aggregators(fingerprint)
            ),
        ]

    def _send_record(
        self, now: float, fingerprint: str, to: abc.Iterable[str]
    ) -> Effects:
        case = self._cases.by_fingerprint[fingerprint]
        news = QuarantineNews(cases=(case.report(now),))
        return [_send(each, news) for each in to if each != self.instance_id]

    def _aggregators(self, fingerprint: str) -> list[str]:
        """Return the instances that combine the crashes of a suspect."""
        return heapq.nsmallest(
            AGGREGATORS,
            (*self._peers, self.instance_id),
            key=lambda each: xxhash.xxh64_intdigest(
                f'{fingerprint} {each}'.encode()
            ),
        )

    def _add(self, now: float, reports: tuple[CaseReport, ...]) -> Effects:
        """Add evidence; return the effects that follow from it."""
        # A list, because every report has to be merged; ``any`` over a
        # generator would stop at the first new one.
        merged = [self._cases.merge(now, report) for report in reports]
        if not any(merged):
            return []
        clearings = self._clear_after_success(now, reports)
        return [*self._update_quarantine(now), *clearings]

    def _clear_after_success(
        self, now: float, reports: tuple[CaseReport, ...]
    ) -> Effects:
        """Clear suspects of crashes just after a successful run of theirs.

        A client that sends a bad call and a harmless one to the same servers
        crashes them under both; the harmless call succeeded elsewhere just
        before. That a part is known to have run well is told, too. Only runs
        forwarded by this instance are considered.
        """
        out: Effects = []
        for fingerprint in {report.fingerprint for report in reports}:
            case = self._cases.by_fingerprint.get(fingerprint)
            if case is None or not case.counted:
                continue
            starts = self._cleared_starts(case)
            good_age_s = self._good_age_s(now, fingerprint)
            is_first_good = case.good_at is None and good_age_s is not None
            if not starts and not is_first_good:
                continue
            report = CaseReport(
                fingerprint=fingerprint,
                ends=(),
                cleared=starts,
                lift=None,
                is_part=case.is_part,
                good_age_s=good_age_s,
            )
            self._cases.merge(now, report)
            # All instances that forwarded the suspect may clear it at the
            # same time. So each notifies the aggregators only, and these
            # broadcast what is new.
            out += self._send_record(
                now, fingerprint, self._aggregators(fingerprint)
            )
        return out

    def _cleared_starts(self, case: Case) -> tuple[BackendStart, ...]:
        successes = self.good_parts if case.is_part else self.successes
        return tuple(
            end.start
            for end in case.counted
            if successes.clears_crash(case.fingerprint, end.ended_at)
        )

    def _update_quarantine(self, now: float) -> Effects:
        until_by_fingerprint = self._cases.evaluate()
        out: Effects = []
        for fingerprint, case in self._cases.by_fingerprint.items():
            was = case.held_until
            until = until_by_fingerprint.get(fingerprint)
            case.held_until = None if until is None or until <= now else until
            if was is None and case.held_until is not None:
                out.append(_quarantined(now, case))
            elif was is not None and case.held_until is None:
                out.append(_released(case, is_over=until is not None))
        self.quarantined_count = sum(
            case.held_until is not None
            for case in self._cases.by_fingerprint.values()
        )
        return [*out, *self._store(now)]

    # Exchange with other instances.

    def _on_peers(self, event: SetPeers) -> Effects:
        self._peers = tuple(
            each for each in event.instance_ids if each != self.instance_id
        )
        if self._has_synced or not self._peers:
            return []
        # Request the evidence collected before this instance started.
        self._has_synced = True
        summary = self._summary(is_answer=False)
        return [_send(to, summary) for to in self._peers[:PEERS_AT_START]]

    def _receive(self, event: parts.Received) -> Effects:
        match event.message:
            case QuarantineNews(cases=reports):
                return self._on_news(event.now, reports)
            case QuarantineSummary():
                return self._compare(event)
            case TrialAsked(fingerprint=fingerprint, ticket=ticket):
                is_granted = self._grant(event.now, fingerprint)
                answer = TrialAnswered(ticket=ticket, is_granted=is_granted)
                return [parts.Send(to=event.sender, message=answer)]
            case TrialAnswered(ticket=ticket, is_granted=is_granted):
                return [parts.Complete(ticket=ticket, result=is_granted)]
        return []

    def _on_news(self, now: float, reports: tuple[CaseReport, ...]) -> Effects:
        """Add another instance's evidence; broadcast it as an aggregator."""
        sizes = {
            report.fingerprint: self._cases.size(report.fingerprint)
            for report in reports
        }
        out = self._add(now, reports)
        for fingerprint, before in sizes.items():
            is_enough = self._cases.count(fingerprint) >= CRASHES_TO_BROADCAST
            is_new = self._cases.size(fingerprint) > before
            if (
                is_enough
                and is_new
                and self.instance_id in self._aggregators(fingerprint)
            ):
                out += self._send_record(now, fingerprint, self._peers)
        return out

    def _compare(self, event: parts.Received) -> Effects:
        """Send the records that differ, and request those of the sender."""
        theirs = event.message.checksums
        mine = self._cases.checksums()
        if theirs == mine:
            return []
        differing = {
            number
            for number in range(BUCKETS)
            if number >= len(theirs) or theirs[number] != mine[number]
        }
        out = [
            _send(event.sender, each)
            for each in self._record_messages(event.now, differing)
        ]
        if not event.message.is_answer:
            summary = self._summary(is_answer=True)
            out.append(_send(event.sender, summary))
        return out

    def _record_messages(
        self, now: float, buckets: set[int]
    ) -> list[QuarantineNews]:
        reports = [
            case.report(now)
            for case in self._cases.by_fingerprint.values()
            if bucket_of(case.fingerprint) in buckets
        ]
        return [
            QuarantineNews(
                cases=tuple(reports[at : at + MAX_CASES_PER_MESSAGE])
            )
            for at in range(0, len(reports), MAX_CASES_PER_MESSAGE)
        ]

    def _summary(self, *, is_answer: bool) -> QuarantineSummary:
        return QuarantineSummary(
            checksums=self._cases.checksums(), is_answer=is_answer
        )

    def _tick(self, event: parts.Ticked) -> Effects:
        if self.is_empty or event.now < self._compare_at:
            return []
        self._compare_at = event.now + COMPARE_S
        out = self._update_quarantine(event.now)
        self._cases.remove_expired(event.now)
        self._grants.remove_expired(event.now)
        if self.is_empty or not self._peers:
            return out
        source = random.Random(event.entropy)
        count = min(COMPARE_FANOUT, len(self._peers))
        summary = self._summary(is_answer=False)
        found = source.sample(self._peers, count)
        return [*out, *(_send(to, summary) for to in found)]


def _quarantined(now: float, case: Case) -> Quarantined:
    ends = case.counted
    return Quarantined(
        fingerprint=case.fingerprint,
        is_part=case.is_part,
        backend_ids=tuple(end.start.backend_id for end in ends),
        told_by=tuple(sorted({end.told_by for end in ends})),
        held_s=case.held_until - now,
    )


def _released(case: Case, *, is_over: bool) -> Released:
    """Return the effect of a release.

    :param is_over: whether the time of the quarantine has passed.
    """
    why = 'another suspect explains the crashes'
    if is_over:
        why = 'quarantine expired'
    elif not case.counted:
        why = 'a run succeeded'
        if case.lifted is not None:
            why = f'lifted by {case.lifted.operator}: {case.lifted.reason}'
    return Released(
        fingerprint=case.fingerprint, is_part=case.is_part, why=why
    )


def _clearing(
    case: Case,
    *,
    lift: ReportedLift | None = None,
    good_age_s: float | None = None,
) -> CaseReport:
    """Return a report that clears a suspect of all crashes that count."""
    return CaseReport(
        fingerprint=case.fingerprint,
        ends=(),
        cleared=tuple(end.start for end in case.counted),
        lift=lift,
        is_part=case.is_part,
        good_age_s=good_age_s,
    )


def _send(to: str, message: typing.Any) -> parts.Send:
    # A lost datagram is made up for by the checksum comparison. A connection
    # to each instance would cost more.
    return parts.Send(to=to, message=message, by_datagram=True)
