"""Quarantine at an entry: what crashes backend servers is not sent there."""

from collections import abc
import typing

import msgspec

from .. import decisions
from .. import effects
from .. import events
from .. import verdict
from ..coordination import quarantine as quarantines
from . import fingerprints as fingerprint_module
from . import progress
from . import refusals
from . import request as request_module

Effects = list[typing.Any]

#: Lower bound of ``Retry-After``, in seconds, once a trial is due: a trial of
#: another send may be under way.
MIN_TRIAL_RETRY_S = 2.0
#: Seconds by which each further suspect in a request delays its trial.
JOINT_TRIAL_DELAY_S = 10.0


class Held(msgspec.Struct, frozen=True, kw_only=True):
    """The reason why a request is refused: something in it is quarantined.

    :param line: log line with the evidence.
    :param suspects: fingerprints of what is quarantined: the call, or parts
        of its prompt.
    :param may_be_trial: whether this send may run as a trial, if no other
        trial is under way.
    """

    refusal: verdict.Refusal
    line: effects.Log
    suspects: tuple[str, ...]
    may_be_trial: bool


class QuarantineCheck:
    """Checks the calls of this entry against the quarantine.

    While the quarantine is empty, no fingerprints are computed for the check.
    """

    def __init__(
        self,
        *,
        quarantine: quarantines.Quarantine,
        fingerprints: fingerprint_module.Fingerprints,
    ) -> None:
        self._quarantine = quarantine
        self._fingerprints = fingerprints

    def refusal(
        self,
        now: float,
        request_id: str,
        call: events.Call,
        known: verdict.Verdict = verdict.Verdict.NOT_RUN,
    ) -> Held | None:
        """Return why a request is refused; ``None`` if it may be sent.

        :param known: proved verdict on whether this send has run.
        """
        if self._quarantine.is_empty:
            return None
        fingerprint = self.fingerprint(call)
        held = [
            each
            for each in (fingerprint, *self.parts(call))
            if self._quarantine.held_s(now, each)
        ]
        if not held:
            return None
        ends = self._quarantine.ends(held[0])
        held_s = max(self._quarantine.held_s(now, each) for each in held)
        line = decisions.CallHeld(
            request_id=request_id,
            call=fingerprint,
            parts=' '.join(each for each in held if each != fingerprint),
            backend_ids=' '.join(end.start.backend_id for end in ends),
            told_by=' '.join(sorted({end.told_by for end in ends})),
            last_ended_s=now - ends[-1].ended_at,
            held_s=held_s,
        )
        wait_s = self._wait_s(now, call, held)
        return Held(
            refusal=refusals.quarantined(
                known,
                held_s if wait_s is None else max(wait_s, MIN_TRIAL_RETRY_S),
                is_call=fingerprint in held,
            ),
            line=line.log(),
            suspects=tuple(held),
            may_be_trial=wait_s is not None and wait_s <= 0.0,
        )

    def _wait_s(
        self, now: float, call: events.Call, held: abc.Sequence[str]
    ) -> float | None:
        """Return the seconds until a trial is due; ``None`` if none will be.

        Only a call without an account or credentials gets a trial: no client
        but its own sends any other. Parts are shared by all clients. A call
        with a key gets none, as a trial runs without a claim. Of several that
        are quarantined, each delays the trial: requests that have only one of
        them tell more, and go first.
        """
        is_own = self.fingerprint(call) in held and (
            not fingerprint_module.is_shared(call)
        )
        if is_own or call.idempotency_key is not None:
            return None
        waits_s = []
        for each in held:
            trial_at = self._quarantine.trial_at(each)
            if trial_at is None:
                return None
            waits_s.append(trial_at - now)
        return max(waits_s) + (len(held) - 1) * JOINT_TRIAL_DELAY_S

    def fingerprint(self, call: events.Call) -> str:
        """Return the fingerprint that identifies a call."""
        return self._fingerprints.of(call)

    def content(self, call: events.Call) -> str:
        """Return the fingerprint of a call's content, for all clients."""
        return self._fingerprints.of_content(call)

    def parts(self, call: events.Call) -> tuple[str, ...]:
        """Return the fingerprints of a prompt's shared parts, in order."""
        return self._fingerprints.of_parts(call)

    def succeeded(
        self, now: float, request: request_module.Request
    ) -> Effects:
        """Record that a backend server completed a request."""
        fingerprint = self.fingerprint(request.call)
        self._quarantine.successes.record(now, fingerprint)
        return self._report_good(now, fingerprint)

    def answer_written(
        self, event: events.StepEnded, request: request_module.Request
    ) -> Effects:
        """Record the parts of a prompt on whose answer an engine went on.

        An answer that an engine completes after another one has failed proves
        nothing: the last pieces may have been written by then.
        """
        is_whole = (
            event.failure is None
            and not request.has_failed
            and event.pieces >= progress.MIN_PIECES
        )
        if is_whole or progress.has_gone_on(event.pieces, event.wrote_s):
            return self.answer_goes_on(
                event.now, request, written_at=event.last_piece_at
            )
        return []

    def answer_goes_on(
        self,
        now: float,
        request: request_module.Request,
        *,
        written_at: float,
    ) -> Effects:
        """Record that the parts of a prompt have crashed no engine.

        :param written_at: when the engine last wrote on the answer.
        """
        out: Effects = []
        for part in self.parts(request.call):
            self._quarantine.good_parts.record(written_at, part)
            out += self._report_good(now, part)
        return out

    def _report_good(self, now: float, fingerprint: str) -> Effects:
        if self._quarantine.is_empty:
            return []
        event = quarantines.Succeeded(now=now, fingerprint=fingerprint)
        return [effects.Dispatch(event=event)]
