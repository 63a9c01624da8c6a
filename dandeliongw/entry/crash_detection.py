"""Detection of backend servers that crashed while running a call.

To the entry, a reset connection, a broken link and the end of the server's
process look alike. After the end of a process, its machine refuses
connections to its address, so the address is probed when a connection breaks.
The probe runs in the background: the call's next attempt does not wait for
it.
"""

import typing

import msgspec

from .. import decisions
from .. import effects
from .. import events
from ..coordination import presence
from ..coordination import quarantine
from . import progress

#: Seconds from the break to each probe of the address. The listening socket
#: may be closed a moment after the connection; a supervisor restarts the
#: process about a second later.
PROBE_DELAYS_S = (0.0, 0.1, 0.4)

Effects = list[typing.Any]


class InterruptedRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run that was interrupted by a broken connection.

    :param fingerprint: of the call.
    :param content: fingerprint of the call's content, the same for all
        clients.
    :param parts: fingerprints of the parts of its prompt that other calls may
        have, too.
    :param caller: the client account, or the address it came from.
    :param url: of the backend server.
    :param ran_s: seconds from the start of the run until it broke off.
    :param pieces: number of pieces of its answer that the server wrote.
    :param wrote_s: seconds between the first and the last of these pieces.
    :param trial_of: quarantined suspects of which it was a trial.
    """

    request_id: str
    fingerprint: str
    content: str
    parts: tuple[str, ...] = ()
    service: str
    caller: str
    start: presence.BackendStart
    url: str
    ran_s: float
    pieces: int = 0
    wrote_s: float = 0.0
    trial_of: tuple[str, ...] = ()

    @property
    def suspects(self) -> tuple[str, ...]:
        """What the crash counts against: the call and parts of its prompt."""
        if progress.has_gone_on(self.pieces, self.wrote_s):
            return (self.fingerprint,)
        return (self.fingerprint, *self.parts)


class _Interruption(msgspec.Struct, kw_only=True):
    """One start of a backend server on which runs were interrupted.

    :param probes: number of probes of its address so far.
    """

    url: str
    broke_at: float
    runs_by_request: dict[str, InterruptedRun]
    probes: int = 0
    is_probing: bool = False


class CrashDetector:
    """Determines during which runs a backend server ended."""

    def __init__(self) -> None:
        self._interruptions_by_start: dict[
            presence.BackendStart, _Interruption
        ] = {}

    def add(self, now: float, run: InterruptedRun) -> Effects:
        """Record an interrupted run; return the probe of its server."""
        interruption = self._interruptions_by_start.get(run.start)
        if interruption is None:
            interruption = _Interruption(
                url=run.url, broke_at=now, runs_by_request={}
            )
            self._interruptions_by_start[run.start] = interruption
        known = interruption.runs_by_request.get(run.request_id)
        if known is None or run.pieces >= known.pieces:
            # A resume at a server that has ended breaks again, with nothing
            # written. It must not hide what was written before.
            interruption.runs_by_request[run.request_id] = run
        return self._probe(now, run.start, interruption)

    def tick(self, now: float) -> Effects:
        """Return the probes that are due."""
        out: Effects = []
        for start, interruption in self._interruptions_by_start.items():
            out += self._probe(now, start, interruption)
        return out

    def _probe(
        self,
        now: float,
        start: presence.BackendStart,
        interruption: _Interruption,
    ) -> Effects:
        if (
            interruption.is_probing
            or now
            < interruption.broke_at + PROBE_DELAYS_S[interruption.probes]
        ):
            return []
        interruption.is_probing = True
        interruption.probes += 1
        return [effects.ProbeBackend(start=start, url=interruption.url)]

    def process_probe(self, event: events.BackendProbed) -> Effects:
        """Process the result of a probe of a server's address."""
        interruption = self._interruptions_by_start.get(event.start)
        if interruption is None:
            return []
        interruption.is_probing = False
        if event.is_refused:
            del self._interruptions_by_start[event.start]
            return _report_ended(event, interruption)
        if interruption.probes >= len(PROBE_DELAYS_S):
            # Only the connection broke; the process did not end.
            del self._interruptions_by_start[event.start]
        return []


def _report_ended(
    event: events.BackendProbed, interruption: _Interruption
) -> Effects:
    out: Effects = []
    for run in interruption.runs_by_request.values():
        line = decisions.BackendEnded(
            request_id=run.request_id,
            call=run.fingerprint,
            content=run.content,
            parts=' '.join(run.parts),
            service=run.service,
            caller=run.caller,
            backend_id=event.start.backend_id,
            incarnation=event.start.incarnation,
            ran_ms=round(run.ran_s * 1000),
            pieces=run.pieces,
            wrote_ms=round(run.wrote_s * 1000),
            calls_beside=len(interruption.runs_by_request) - 1,
            is_trial=bool(run.trial_of),
        )
        out.append(line.log())
        for suspect in run.suspects:
            ended = quarantine.Ended(
                now=event.now,
                fingerprint=suspect,
                start=event.start,
                ended_at=interruption.broke_at,
                is_trial=suspect in run.trial_of,
                is_part=suspect != run.fingerprint,
            )
            out.append(effects.Dispatch(event=ended))
    return out
