"""Quarantined calls at an entry: those that crash backend servers."""

import typing

import msgspec

from .. import decisions
from .. import effects
from .. import events
from .. import verdict
from ..coordination import quarantine as quarantines
from . import fingerprints as fingerprint_module
from . import refusals
from . import request as request_module

Effects = list[typing.Any]


class Held(msgspec.Struct, frozen=True, kw_only=True):
    """The reason why a request is refused: its call is quarantined.

    :param line: log line with the evidence.
    :param may_be_trial: whether this send may run as a trial, if no other
        trial is under way.
    """

    refusal: verdict.Refusal
    line: effects.Log
    may_be_trial: bool


#: Lower bound of ``Retry-After``, in seconds, once a trial is due: a trial of
#: another send may be under way.
MIN_TRIAL_RETRY_S = 2.0


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
        held_s = self._quarantine.held_s(now, fingerprint)
        if not held_s:
            return None
        ends = self._quarantine.ends(fingerprint)
        line = decisions.CallHeld(
            request_id=request_id,
            call=fingerprint,
            backend_ids=' '.join(end.start.backend_id for end in ends),
            told_by=' '.join(sorted({end.told_by for end in ends})),
            last_ended_s=now - ends[-1].ended_at,
            held_s=held_s,
        )
        wait_s = self._wait_s(now, fingerprint, call)
        return Held(
            refusal=refusals.quarantined(
                known,
                held_s if wait_s is None else max(wait_s, MIN_TRIAL_RETRY_S),
            ),
            line=line.log(),
            may_be_trial=wait_s is not None and wait_s <= 0.0,
        )

    def _wait_s(
        self, now: float, fingerprint: str, call: events.Call
    ) -> float | None:
        """Return the seconds until a trial is due; ``None`` if none will be.

        Only a call without an account or credentials gets a trial: no client
        but its own sends any other.
        """
        if not fingerprint_module.is_shared(call):
            return None
        trial_at = self._quarantine.trial_at(fingerprint)
        return None if trial_at is None else trial_at - now

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
        if self._quarantine.is_empty:
            return []
        event = quarantines.Succeeded(now=now, fingerprint=fingerprint)
        return [effects.Dispatch(event=event)]
