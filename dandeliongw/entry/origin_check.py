"""Streams go on only at the software version that began them.

A request is bound to a version at its first booking, or, if it takes up a
stream, to the one that began that stream. Everything that runs it later is
booked and checked under this version: retries, moves of its KV cache, bookings
after a leave, and those that its entry makes itself.
"""

import hashlib
import typing

from .. import decisions
from .. import effects
from .. import verdict
from . import _refusal
from . import admission
from ..cell import cell_types
from ..cell import declines
from ..coordination import origins
from .request import Phase
from .request import Request

#: Ticket prefixes, by which the reducer routes the answers.
LOOK_UP_TICKET = 'origin:'
KEEP_TICKET = 'keep:'
#: Seconds for which an origin is kept at least.
MIN_KEEP_S = 60.0
#: Seconds by which it is kept longer than its caller may wait, since callers
#: measure their deadline themselves.
KEEP_MARGIN_S = 5.0
_KEY_BYTES = 16

Effects = list[typing.Any]

_MESSAGES_BY_FAILURE = {
    origins.LookUpFailure.UNKNOWN: 'no instance knows which software version '
    'began it; begin it anew',
    origins.LookUpFailure.UNANSWERED: 'the instances that know which software '
    'version began it do not answer just now',
    origins.LookUpFailure.SEVERAL: 'the call does not name the call that '
    'began it, and several software versions have begun streams lately; '
    'begin it anew',
}


class Gate(typing.Protocol):
    """Matches calls with routes; see :class:`.admission.Admission`."""

    def match_service(
        self, call: typing.Any, service: str
    ) -> admission.Admitted | verdict.Refusal: ...


class Directory(typing.Protocol):
    """Names the cell of a service."""

    def cell_of(self, service: str, request_id: str) -> str: ...


class OriginCheck:
    """Binds the requests of one entry to the versions of their streams.

    :param gate: tells whether a route allows the service of a stream.
    """

    def __init__(self, *, gate: Gate, directory: Directory) -> None:
        self._gate = gate
        self._directory = directory

    # Streams that are taken up

    def must_look_up(self, request: Request) -> bool:
        """Whether what began its stream has to be found before it is booked.

        A call that takes up a stream without naming the call that began it
        goes on only where a single version has begun streams lately, and
        serves now.
        """
        call = request.call
        takes_up = request.admitted.streamed and call.pieces_received > 0
        request.needs_sole_version = takes_up and not call.resumes
        return takes_up

    def look_up(self, now: float, request: Request) -> Effects:
        """Look up what began a stream; see :meth:`found`."""
        request.phase = Phase.RESOLVING
        request.phase_at = now
        ticket = LOOK_UP_TICKET + request.request_id
        look_up: origins.LookUp | origins.LookUpSole
        if request.call.resumes:
            look_up = origins.LookUp(
                now=now,
                ticket=ticket,
                stream_key=_stream_key(request, request.call.resumes),
            )
        else:
            look_up = origins.LookUpSole(
                now=now,
                ticket=ticket,
                services=request.admitted.route_services or (request.service,),
            )
        return [effects.Dispatch(event=look_up)]

    def found(
        self,
        now: float,
        request: Request,
        result: origins.StreamOrigin | origins.LookUpFailure,
    ) -> tuple[effects.Log, verdict.Refusal | None]:
        """Bind a request to the origin that was found.

        :returns: a line, and the refusal of a request that can't go on.
        """
        refusal = None
        if isinstance(result, origins.LookUpFailure):
            refusal = _not_taken_up(
                request, result, _MESSAGES_BY_FAILURE[result]
            )
        elif result.service != request.service:
            refusal = self._change_service(request, result.service)
        is_found = isinstance(result, origins.StreamOrigin)
        if is_found and refusal is None:
            request.origin = result
        line = decisions.StreamTakenUp(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            resumes=request.call.resumes,
            pieces_received=request.call.pieces_received,
            software_version=result.software_version if is_found else '',
            failure='' if is_found else result.value,
            took_ms=round((now - request.phase_at) * 1000),
        )
        return line.log(), refusal

    def _change_service(
        self, request: Request, service: str
    ) -> verdict.Refusal | None:
        """Move a request to the service that began its stream."""
        matched = self._gate.match_service(request.call, service)
        if isinstance(matched, verdict.Refusal) or not matched.streamed:
            return _not_taken_up(
                request,
                origins.LookUpFailure.UNKNOWN,
                f'service {service!r} began it, and its route no longer '
                'leads there; begin it anew',
            )
        request.admitted = matched
        request.cell = self._directory.cell_of(service, request.request_id)
        return None

    # Bookings

    def allows(self, request: Request) -> bool:
        """Whether a request may run on the decode engine booked for it."""
        return (
            request.stage is cell_types.Stage.PLAIN
            or request.origin is None
            or request.origin.software_version == request.booked.decode_version
        )

    def bind(self, now: float, request: Request) -> Effects:
        """Bind a request to what it is booked on, before anything is sent.

        If its caller may take up the stream, its answer is held until other
        instances keep what began it; the prefill goes on meanwhile.
        """
        if (
            request.stage is cell_types.Stage.PLAIN
            or request.origin is not None
        ):
            return []
        request.origin = origins.StreamOrigin(
            service=request.service,
            software_version=request.booked.decode_version,
        )
        may_come_back = (
            request.admitted.is_pass_through
            and request.admitted.route.idempotent
            and not request.call.pieces_received
        )
        if not may_come_back:
            return []
        request.is_answer_held = True
        keep = origins.Keep(
            now=now,
            ticket=KEEP_TICKET + request.request_id,
            stream_key=_stream_key(request, request.call.caller_id),
            origin=request.origin,
            keep_s=max(MIN_KEEP_S, request.left_s(now) + KEEP_MARGIN_S),
        )
        return [effects.Dispatch(event=keep)]

    def kept(self, request: Request, result: origins.KeepResult) -> Effects:
        """Let the answer of a request go on.

        :param result: other than ``TAKEN``; see :func:`id_taken`.
        """
        request.is_answer_held = False
        allow = effects.AllowAnswer(request_id=request.request_id)
        if result is origins.KeepResult.KEPT:
            return [allow]
        late = decisions.OriginKeptLate(
            request_id=request.request_id, attempt_id=request.attempt_id
        )
        return [late.log(), allow]


def id_taken(request: Request) -> verdict.Refusal:
    """Return the refusal of a call whose id has begun another stream."""
    return verdict.Refusal(
        reason=verdict.RefusalReason.STREAM_UNKNOWN,
        verdict=request.verdict_if_aborted(),
        message=f'a call with id {request.call.caller_id!r} has begun a '
        'stream at another software version; each call needs an id of its '
        'own',
        retry_after_s=declines.LOST_STREAM_RETRY_S,
    )


def _stream_key(request: Request, caller_id: str) -> bytes:
    """Return the key of a stream: no account reaches those of another."""
    account = request.admitted.account.name
    return hashlib.blake2b(
        f'{len(account)}:{account}{caller_id}'.encode(),
        digest_size=_KEY_BYTES,
    ).digest()


def _not_taken_up(
    request: Request, failure: origins.LookUpFailure, message: str
) -> verdict.Refusal:
    is_transient = failure is origins.LookUpFailure.UNANSWERED
    resumes = request.call.resumes
    name = f'stream {resumes!r}' if resumes else 'a stream'
    return _refusal.not_run(
        verdict.RefusalReason.STREAM_UNKNOWN,
        f'{name} is not taken up: {message}',
        _refusal.TRANSIENT_RETRY_S
        if is_transient
        else declines.LOST_STREAM_RETRY_S,
    )
