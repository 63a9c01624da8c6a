"""Events, effects and messages of the quarantine.

All of them are re-exported by :mod:`.quarantine`, which describes the
protocol.
"""

import msgspec

from ._presence_messages import BackendStart


# Events.


class Ended(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server crashed while it ran a suspect for this instance.

    :param fingerprint: of the suspect: the call, or a part of its prompt.
    :param start: of the backend server that crashed.
    :param ended_at: when the run broke off, on this instance's clock.
    :param is_trial: whether the run was a trial of the quarantined suspect.
    :param is_part: whether the suspect is a part of a prompt.
    """

    now: float
    fingerprint: str
    start: BackendStart
    ended_at: float
    is_trial: bool = False
    is_part: bool = False


class Succeeded(msgspec.Struct, frozen=True, kw_only=True):
    """A run of a suspect went on well and its backend server is present."""

    now: float
    fingerprint: str


class AskTrial(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a trial of a quarantined suspect.

    :param ticket: of the :class:`.parts.Complete` whose result is whether the
        trial is granted. It may never arrive.
    """

    now: float
    fingerprint: str
    ticket: str


class Lift(msgspec.Struct, frozen=True, kw_only=True):
    """An operator lifts the quarantine of a suspect.

    :param ticket: of the :class:`.parts.Complete` whose result is whether
        there is any evidence on it.
    """

    now: float
    fingerprint: str
    operator: str
    reason: str
    ticket: str


class SetPeers(msgspec.Struct, frozen=True, kw_only=True):
    """The set of alive instances, which replicate the evidence."""

    now: float
    instance_ids: tuple[str, ...]


# Effects.


class Quarantined(msgspec.Struct, frozen=True, kw_only=True):
    """A suspect was quarantined: no backend server may be sent it.

    :param backend_ids: the backend servers that crashed under it.
    :param told_by: the instances that forwarded it.
    :param held_s: seconds until the quarantine ends.
    :param is_part: whether it is a part of a prompt, or else a call.
    """

    fingerprint: str
    is_part: bool
    backend_ids: tuple[str, ...]
    told_by: tuple[str, ...]
    held_s: float


class Released(msgspec.Struct, frozen=True, kw_only=True):
    """The quarantine of a suspect ended.

    :param why: the reason, for the log.
    :param is_part: whether it is a part of a prompt, or else a call.
    """

    fingerprint: str
    is_part: bool
    why: str


# Messages.


class ReportedEnd(msgspec.Struct, frozen=True, kw_only=True):
    """A crash of a backend server under a suspect, in a message.

    :param age_s: seconds from the crash to the sending of the message.
    :param told_by: the instance that observed it.
    :param is_trial: whether the run was a trial of the quarantined suspect.
    """

    start: BackendStart
    age_s: float
    told_by: str
    is_trial: bool = False


class ReportedLift(msgspec.Struct, frozen=True, kw_only=True):
    """A lift of a quarantine by an operator, in a message.

    :param age_s: seconds from the lift to the sending of the message.
    """

    operator: str
    reason: str
    age_s: float


class CaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """The evidence on one suspect, or some of it.

    :param cleared: starts whose crashes no longer count.
    :param is_part: whether it is a part of a prompt, or else a call.
    :param good_age_s: seconds since a run of a part went on well, up to the
        sending of the message; ``None`` if no such run is known.
    """

    fingerprint: str
    ends: tuple[ReportedEnd, ...]
    cleared: tuple[BackendStart, ...]
    lift: ReportedLift | None
    is_part: bool = False
    good_age_s: float | None = None


class QuarantineNews(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence for the receiver to merge into its own."""

    cases: tuple[CaseReport, ...]


class QuarantineSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Checksums of the sender's evidence, for comparison.

    :param checksums: one per group of calls.
    :param is_answer: whether this answers a summary of the receiver, and so
        is not answered itself.
    """

    checksums: tuple[int, ...]
    is_answer: bool


class TrialAsked(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a trial of a quarantined call for the sender.

    :param ticket: identifies the answer.
    """

    fingerprint: str
    ticket: str


class TrialAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """An aggregator's answer to :class:`TrialAsked`."""

    ticket: str
    is_granted: bool


#: Message classes to register with the codec.
MESSAGES = (QuarantineNews, QuarantineSummary, TrialAsked, TrialAnswered)
#: Classes of journal records to register with the codec.
RECORDS = (CaseReport,)
