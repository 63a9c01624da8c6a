"""Which calls are not sent to backend servers, since they end these.

An entry that sees a backend server end under a call tells all instances at
once; so the ends that single entries saw add up at each of them. What is
lost on the way, or missed by an instance that starts or was cut off, is found
by comparing checksums with two others a second, which costs nothing while
there is no evidence.

Three ends of different starts hold a call back, unless they came at one
moment, or another call explains them. A run that ends well clears what is
known by then. Nothing is kept on disk: after a loss of all instances a call
has to end three backend servers anew.
"""

import random
import typing

from . import parts
from ._cases import bucket_of
from ._cases import BUCKETS
from ._cases import Case
from ._cases import Cases
from ._quarantine_messages import CaseReport
from ._quarantine_messages import Ended
from ._quarantine_messages import Lift
from ._quarantine_messages import MESSAGES
from ._quarantine_messages import Quarantined
from ._quarantine_messages import QuarantineNews
from ._quarantine_messages import QuarantineSummary
from ._quarantine_messages import Released
from ._quarantine_messages import ReportedEnd
from ._quarantine_messages import ReportedLift
from ._quarantine_messages import SetPeers
from ._quarantine_messages import Succeeded

__all__ = [
    'Case',
    'CaseReport',
    'Ended',
    'Lift',
    'MESSAGES',
    'Quarantine',
    'QuarantineNews',
    'QuarantineSummary',
    'Quarantined',
    'Released',
    'ReportedEnd',
    'ReportedLift',
    'SetPeers',
    'Succeeded',
]

#: Seconds between two comparisons with others.
COMPARE_S = 1.0
#: Instances that evidence is compared with at each.
COMPARED = 2
#: Instances that one asks which has just started.
ASKED_AT_START = 3
#: Calls in one message, which is to fit in a datagram.
MOST_IN_MESSAGE = 4

Effects = list[typing.Any]


class Quarantine:
    """The coordination part.

    :param instance_id: this instance.
    """

    def __init__(self, *, instance_id: str) -> None:
        self.instance_id = instance_id
        self._cases = Cases()
        self._peers: tuple[str, ...] = ()
        self._has_asked = False
        self._compare_at = 0.0
        #: Ends under calls of this entry.
        self.ends_seen = 0
        #: Calls that are held back.
        self.held = 0

    # Accessors.

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence on any call."""
        return not self._cases.by_fingerprint

    def held_s(self, now: float, fingerprint: str) -> float:
        """Return for how long a call is held back; 0 if it may be sent."""
        case = self._cases.by_fingerprint.get(fingerprint)
        if case is None or case.held_until is None:
            return 0.0
        return max(0.0, case.held_until - now)

    def cases(self) -> list[Case]:
        """Return all evidence, for operators to read."""
        return list(self._cases.by_fingerprint.values())

    # The part.

    def handle(self, event: typing.Any) -> Effects:
        """Change state by an event and return effects, to do in order."""
        match event:
            case parts.Ticked():
                return self._tick(event)
            case parts.Received():
                return self._receive(event)
            case Ended():
                return self._on_ended(event)
            case Succeeded():
                return self._on_succeeded(event)
            case Lift():
                return self._on_lift(event)
            case SetPeers():
                return self._on_peers(event)
        raise TypeError(f'quarantine does not know {type(event).__name__}')

    def restore(self, record: typing.Any) -> None:
        """Do nothing: the others tell what they have."""

    def snapshot(self) -> tuple[typing.Any, ...]:
        """Return nothing to keep."""
        return ()

    # What happens here.

    def _on_ended(self, event: Ended) -> Effects:
        self.ends_seen += 1
        end = ReportedEnd(
            start=event.start,
            age_s=event.now - event.ended_at,
            told_by=self.instance_id,
        )
        report = CaseReport(
            fingerprint=event.fingerprint, ends=(end,), cleared=(), lift=None
        )
        return self._add_and_tell(event.now, report)

    def _on_succeeded(self, event: Succeeded) -> Effects:
        """Clear a call of what ended beside it.

        A call that took a backend server down by what it is would do it
        again. Only what is known by now is cleared: an end that comes later
        counts anew.
        """
        case = self._cases.by_fingerprint.get(event.fingerprint)
        if case is None or not case.counted:
            return []
        return self._add_and_tell(event.now, _clearing(case, lift=None))

    def _on_lift(self, event: Lift) -> Effects:
        case = self._cases.by_fingerprint.get(event.fingerprint)
        known = parts.Complete(ticket=event.ticket, result=case is not None)
        if case is None:
            return [known]
        lift = ReportedLift(
            operator=event.operator, reason=event.reason, age_s=0.0
        )
        # A second lift replaces the first in what is shown here.
        case.lifted = None
        report = _clearing(case, lift=lift)
        return [known, *self._add_and_tell(event.now, report)]

    def _add_and_tell(self, now: float, report: CaseReport) -> Effects:
        out = self._add(now, (report,))
        news = QuarantineNews(cases=(report,))
        return [*out, *(_send(to, news) for to in self._peers)]

    def _add(self, now: float, reports: tuple[CaseReport, ...]) -> Effects:
        """Add evidence, and tell what follows from it."""
        # All of them are to be added, so no short cut at the first new one.
        merged = [self._cases.merge(now, report) for report in reports]
        return self._review(now) if any(merged) else []

    def _review(self, now: float) -> Effects:
        until_by_fingerprint = self._cases.judge()
        out: Effects = []
        for fingerprint, case in self._cases.by_fingerprint.items():
            was = case.held_until
            until = until_by_fingerprint.get(fingerprint)
            case.held_until = None if until is None or until <= now else until
            if was is None and case.held_until is not None:
                out.append(_quarantined(now, case))
            elif was is not None and case.held_until is None:
                out.append(_released(case))
        self.held = len(until_by_fingerprint)
        return out

    # The others.

    def _on_peers(self, event: SetPeers) -> Effects:
        self._peers = tuple(
            each for each in event.instance_ids if each != self.instance_id
        )
        if self._has_asked or not self._peers:
            return []
        # What was learnt before this instance started, it has to ask for.
        self._has_asked = True
        summary = self._summary(is_answer=False)
        return [_send(to, summary) for to in self._peers[:ASKED_AT_START]]

    def _receive(self, event: parts.Received) -> Effects:
        match event.message:
            case QuarantineNews(cases=reports):
                return self._add(event.now, reports)
            case QuarantineSummary():
                return self._compare(event)
        return []

    def _compare(self, event: parts.Received) -> Effects:
        """Tell what the other one may lack, and ask for what is lacked."""
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
            for each in self._news(event.now, differing)
        ]
        if not event.message.is_answer:
            summary = self._summary(is_answer=True)
            out.append(_send(event.sender, summary))
        return out

    def _news(self, now: float, buckets: set[int]) -> list[QuarantineNews]:
        reports = [
            case.report(now)
            for case in self._cases.by_fingerprint.values()
            if bucket_of(case.fingerprint) in buckets
        ]
        return [
            QuarantineNews(cases=tuple(reports[at : at + MOST_IN_MESSAGE]))
            for at in range(0, len(reports), MOST_IN_MESSAGE)
        ]

    def _summary(self, *, is_answer: bool) -> QuarantineSummary:
        return QuarantineSummary(
            checksums=self._cases.checksums(), is_answer=is_answer
        )

    def _tick(self, event: parts.Ticked) -> Effects:
        if self.is_empty or event.now < self._compare_at:
            return []
        self._compare_at = event.now + COMPARE_S
        out = self._review(event.now)
        self._cases.forget_old(event.now)
        if self.is_empty or not self._peers:
            return out
        chance = random.Random(event.entropy)
        count = min(COMPARED, len(self._peers))
        summary = self._summary(is_answer=False)
        found = chance.sample(self._peers, count)
        return [*out, *(_send(to, summary) for to in found)]


def _quarantined(now: float, case: Case) -> Quarantined:
    ends = case.counted
    return Quarantined(
        fingerprint=case.fingerprint,
        backend_ids=tuple(end.start.backend_id for end in ends),
        told_by=tuple(sorted({end.told_by for end in ends})),
        held_s=case.held_until - now,
    )


def _released(case: Case) -> Released:
    why = 'its time is over'
    if not case.counted:
        why = 'a run ended well'
        if case.lifted is not None:
            why = f'lifted by {case.lifted.operator}: {case.lifted.reason}'
    return Released(fingerprint=case.fingerprint, why=why)


def _clearing(case: Case, *, lift: ReportedLift | None) -> CaseReport:
    """Return the report that clears a call of all its ends."""
    return CaseReport(
        fingerprint=case.fingerprint,
        ends=(),
        cleared=tuple(end.start for end in case.counted),
        lift=lift,
    )


def _send(to: str, message: typing.Any) -> parts.Send:
    # Told to all there are, and again by comparison: a loss is borne better
    # than a connection to each of them.
    return parts.Send(to=to, message=message, by_datagram=True)
