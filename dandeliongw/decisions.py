"""Structured log lines on decisions about requests and on detected states.

Each class is one kind of line: its ``message`` is the text of the line, and
its fields are the fields of the line. ``docs/OPERATIONS.md`` explains them.
"""

import typing

import msgspec

from . import effects


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all lines; each class sets ``message`` and ``level``."""

    message: typing.ClassVar[str] = ''
    level: typing.ClassVar[str] = 'INFO'

    def log(self) -> effects.Log:
        """Return the effect that writes the line."""
        fields = tuple(
            (field.name, _format(getattr(self, field.name)))
            for field in msgspec.structs.fields(self)
        )
        return effects.Log(
            message=self.message, fields=fields, level=self.level
        )


class OfRequest(Decision, frozen=True, kw_only=True):
    """Base class of lines about a request.

    :param attempt_id: the attempt that the line is about.
    """

    request_id: str
    attempt_id: str


class Placed(OfRequest, frozen=True, kw_only=True):
    """Backend servers were assigned to a request.

    :param epoch: lease epoch of the owner that booked them; 0 if this entry
        booked them itself.
    :param decode_version: software version of the decode engine.
    :param pieces_received: of its stream, by its caller before this call.
    :param resumes: the call that began the stream, as its caller names it.
    :param waited_ms: since the request arrived.
    """

    message: typing.ClassVar[str] = 'request placed'
    owner: str
    epoch: int
    prefill_id: str
    decode_id: str
    plain_id: str
    decode_version: str
    pieces_received: int
    resumes: str
    waited_ms: int


class StreamTakenUp(OfRequest, frozen=True, kw_only=True):
    """A caller has come back with a stream.

    :param resumes: the call that began it, as its caller names it.
    :param software_version: the one that began it, and goes on with it.
    :param failure: why that was not found, or ``''``.
    """

    message: typing.ClassVar[str] = 'stream taken up'
    resumes: str
    pieces_received: int
    software_version: str
    failure: str
    took_ms: int


class OriginKeptLate(OfRequest, frozen=True, kw_only=True):
    """A stream begins before enough instances keep its version.

    If this instance is lost now, the stream can't be taken up.
    """

    message: typing.ClassVar[str] = 'stream begins before its version is kept'
    level: typing.ClassVar[str] = 'WARNING'


class BookedBackendLeft(OfRequest, frozen=True, kw_only=True):
    """A backend server was booked for a request although it has left.

    :param epoch: as for :class:`Placed`.
    :param left_s: seconds since this entry learned of the leave.
    """

    message: typing.ClassVar[str] = 'booked backend server has left'
    level: typing.ClassVar[str] = 'WARNING'
    owner: str
    epoch: int
    backend_id: str
    left_s: float


class LeaveStated(OfRequest, frozen=True, kw_only=True):
    """The answer to a request says that its backend server leaves."""

    message: typing.ClassVar[str] = 'answer states a leave'
    backend_id: str


class DepartureHeard(Decision, frozen=True, kw_only=True):
    """This instance has learned that a backend server leaves.

    :param incarnation: of the start that leaves.
    :param heard_from: the instance that sent it; this one if the backend
        server itself did.
    :param is_present: whether the backend server still counts as present.
    """

    message: typing.ClassVar[str] = 'backend server leaves'
    backend_id: str
    incarnation: int
    heard_from: str
    is_present: bool


class DepartureAnswered(Decision, frozen=True, kw_only=True):
    """A backend server has got the acknowledgement of its leave.

    :param stored_by: number of voters that have it on disk.
    :param lacking: some of the instances that have not confirmed it.
    """

    message: typing.ClassVar[str] = 'leave of a backend server acknowledged'
    backend_id: str
    incarnation: int
    took_ms: int
    stored_by: int
    lacking: str


class DepartureNotKept(Decision, frozen=True, kw_only=True):
    """A backend server was asked to send its leave again.

    :param stored_by: number of voters known to have it on disk.
    :param voters: number of all voters.
    """

    message: typing.ClassVar[str] = 'leave of a backend server not kept'
    level: typing.ClassVar[str] = 'WARNING'
    backend_id: str
    incarnation: int
    stored_by: int
    voters: int


class SentBeforeLeave(OfRequest, frozen=True, kw_only=True):
    """A backend server leaves while it is booked for a step under way.

    :param sent_ms: milliseconds since the step was directed.
    """

    message: typing.ClassVar[str] = 'step under way at a leaving server'
    backend_id: str
    step: str
    sent_ms: int


class Declined(OfRequest, frozen=True, kw_only=True):
    """A cell's owner rejected a request.

    :param why: the owner's view of the cell that led to it.
    """

    message: typing.ClassVar[str] = 'request declined'
    owner: str
    reason: str
    why: str
    retry_after_s: float
    waited_ms: int


class OwnerSilent(OfRequest, frozen=True, kw_only=True):
    """An owner didn't reply in time; this entry places the request itself."""

    message: typing.ClassVar[str] = 'owner silent, placing here'
    level: typing.ClassVar[str] = 'WARNING'
    cell: str
    owner: str
    silent_ms: int


class StreamResumed(OfRequest, frozen=True, kw_only=True):
    """A stream continues at the same engine, over a new connection."""

    message: typing.ClassVar[str] = 'stream resumed'
    decode_id: str
    pieces: int


class CacheMoved(OfRequest, frozen=True, kw_only=True):
    """The prompt's KV cache is sent to another decode engine."""

    message: typing.ClassVar[str] = 'cache moves to another engine'
    from_id: str
    age_ms: int


class AttemptFailed(OfRequest, frozen=True, kw_only=True):
    """An attempt failed; the request is retried or fails.

    :param again: whether it is retried.
    :param error: what the backend server, or its connection, did.
    :param known: what is proved about whether the request ran.
    :param attempts: number of attempts so far.
    :param runs: how many of them a backend server may have run.
    :param why: the reason for the decision.
    """

    message: typing.ClassVar[str] = 'attempt failed'
    again: bool
    failure: str
    error: str
    known: str
    attempts: int
    runs: int
    why: str


class RepeatSent(OfRequest, frozen=True, kw_only=True):
    """A request is sent to a backend server once more.

    :param step: what is sent.
    :param sends: sends of the request so far, this one included.
    :param retries_left: what remains of the service's retry budget here.
    :param entries: how many entries share that budget, as known here.
    """

    message: typing.ClassVar[str] = 'sent again'
    service: str
    step: str
    backend_id: str
    sends: int
    retries_left: float
    entries: int


class RateReached(Decision, frozen=True, kw_only=True):
    """An account asked for more than its rate; told now and then only.

    :param refused: requests refused by this instance since the last line.
    """

    message: typing.ClassVar[str] = 'account reached its rate'
    account: str
    refused: int


class HoldersSilent(Decision, frozen=True, kw_only=True):
    """No holder of an account's rate answers; told now and then only."""

    message: typing.ClassVar[str] = 'holders of an account do not answer'
    account: str


class HoldersAnswering(Decision, frozen=True, kw_only=True):
    """A holder answers again after a :class:`HoldersSilent`.

    :param silent_ms: since the first charge that none answered.
    """

    message: typing.ClassVar[str] = 'holder of an account answers again'
    account: str
    silent_ms: int


class RestAsked(OfRequest, frozen=True, kw_only=True):
    """A backend server has turned a request away and asked for rest.

    :param placed_ms: since the request was placed there.
    """

    message: typing.ClassVar[str] = 'backend server asks for rest'
    backend_id: str
    rest_s: float
    step: str
    placed_ms: int


class RateLimitStated(Decision, frozen=True, kw_only=True):
    """A backend server states a rate limit, or one that differs by a tenth.

    :param request_id: the request whose answer states it.
    :param per_s: requests per second, from all instances together.
    """

    message: typing.ClassVar[str] = 'backend server limits its rate'
    backend_id: str
    service: str
    request_id: str
    per_s: float


class RateLimitEnded(Decision, frozen=True, kw_only=True):
    """An answer of a backend server states no rate limit any more."""

    message: typing.ClassVar[str] = 'backend server limits its rate no more'
    backend_id: str
    service: str
    request_id: str


class BackendEnded(Decision, frozen=True, kw_only=True):
    """The process of a backend server ended while it ran a call.

    :param call: fingerprint of the call, which includes the caller.
    :param content: fingerprint of the content only: the same for all callers
        who send the same.
    :param parts: fingerprints of the parts of its prompt that other calls may
        have, too.
    :param caller: client account, or the address that the call came from.
    :param pieces: number of pieces of its answer that the server wrote.
    :param wrote_ms: milliseconds between the first and the last of them.
    :param calls_beside: other calls of this entry that it ran at that time.
    :param is_trial: whether the request was sent as a trial of something
        quarantined.
    """

    message: typing.ClassVar[str] = 'backend server ended under a call'
    level: typing.ClassVar[str] = 'WARNING'
    request_id: str
    call: str
    content: str
    parts: str
    service: str
    caller: str
    backend_id: str
    incarnation: int
    ran_ms: int
    pieces: int
    wrote_ms: int
    calls_beside: int
    is_trial: bool


class SuspectQuarantined(Decision, frozen=True, kw_only=True):
    """Something is quarantined: it is no longer sent to backend servers.

    :param backend_ids: the backend servers that ended while they ran it.
    :param told_by: the entries that observed this.
    :param held_s: seconds until the quarantine ends.
    """

    level: typing.ClassVar[str] = 'WARNING'
    backend_ids: str
    told_by: str
    held_s: float


class CallQuarantined(SuspectQuarantined, frozen=True, kw_only=True):
    """A call is quarantined.

    :param call: its fingerprint.
    """

    message: typing.ClassVar[str] = 'call quarantined'
    call: str


class PartQuarantined(SuspectQuarantined, frozen=True, kw_only=True):
    """A part of prompts is quarantined, and so is every call with it.

    :param part: its fingerprint.
    """

    message: typing.ClassVar[str] = 'prompt part quarantined'
    part: str


class CallHeld(Decision, frozen=True, kw_only=True):
    """A request is refused because something in it is quarantined.

    :param call: the call's fingerprint; the lines on the backend servers that
        ended have the same one.
    :param parts: fingerprints of the parts of its prompt that are quarantined.
    """

    message: typing.ClassVar[str] = 'call held back'
    request_id: str
    call: str
    parts: str
    backend_ids: str
    told_by: str
    last_ended_s: float
    held_s: float


class CallTried(OfRequest, frozen=True, kw_only=True):
    """A request with something quarantined is sent as a trial.

    The trial shows whether it makes backend servers end.

    :param call: the call's fingerprint.
    :param suspects: fingerprints of what is quarantined.
    """

    message: typing.ClassVar[str] = 'quarantined call is tried'
    call: str
    suspects: str


class CallReleased(Decision, frozen=True, kw_only=True):
    """The quarantine of a call has ended."""

    message: typing.ClassVar[str] = 'call released'
    level: typing.ClassVar[str] = 'WARNING'
    call: str
    why: str


class PartReleased(Decision, frozen=True, kw_only=True):
    """The quarantine of a part of prompts has ended."""

    message: typing.ClassVar[str] = 'prompt part released'
    level: typing.ClassVar[str] = 'WARNING'
    part: str
    why: str


class MemberStateChanged(Decision, frozen=True, kw_only=True):
    """The membership state of another instance has changed here.

    :param was: the state before.
    """

    message: typing.ClassVar[str] = 'member believed'
    peer: str
    state: str
    was: str
    incarnation: int
    draining: bool


class MemberStatesChanged(Decision, frozen=True, kw_only=True):
    """Summary of the :class:`MemberStateChanged` lines that were suppressed.

    :param peers: ids of some of the members.
    :param not_named: number of the other members.
    :param alive: number of all these members in this state now; likewise
        ``suspect``, ``dead`` and ``left``.
    """

    message: typing.ClassVar[str] = 'many members believed'
    peers: str
    not_named: int
    alive: int
    suspect: int
    dead: int
    left: int


class BackendDistrusted(Decision, frozen=True, kw_only=True):
    """A backend server gets no new work for some time (circuit breaker).

    :param faults: failures counted against it; 0 if it accepted no
        connection.
    :param ended: pieces of work that ended in the same period.
    :param times: how often it was excluded recently, this time included.
    :param left_out_s: seconds for which it is excluded.
    """

    message: typing.ClassVar[str] = 'backend server distrusted'
    level: typing.ClassVar[str] = 'WARNING'
    backend_id: str
    cell: str
    epoch: int
    why: str
    faults: int
    ended: int
    times: int
    left_out_s: float


class BackendTrusted(Decision, frozen=True, kw_only=True):
    """All slots of an excluded backend server may be used again."""

    message: typing.ClassVar[str] = 'backend server trusted again'
    backend_id: str
    cell: str
    epoch: int


class BindingResourceChanged(Decision, frozen=True, kw_only=True):
    """Another resource of a cell binds; logged once in 10 s at most.

    :param resource: the one of which more is asked for than there is, or
        nearly as much; ``none`` if there is enough of all.
    :param used: the part of each resource that bookings hold.
    """

    message: typing.ClassVar[str] = 'binding resource changed'
    cell: str
    epoch: int
    resource: str
    was: str
    used: str


def _format(value: typing.Any) -> str:
    if isinstance(value, float):
        return f'{value:.3f}'
    return str(value)
