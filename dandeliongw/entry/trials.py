"""Trials of quarantined calls and parts of prompts.

The instance responsible for a suspect's fingerprint grants one trial at a
time, see :mod:`..coordination.quarantine`. A trial runs on one backend
server: it is not retried, and its stream is not moved.
"""

import typing

from .. import decisions
from .. import effects
from . import attempts
from ..coordination import quarantine
from . import endings
from . import quarantine_check as quarantine_module
from .request import Phase
from .request import Request

#: Ticket prefix, by which the reducer routes the answers.
TRIAL_TICKET = 'trial:'
#: Timeout in seconds for the answer of the instance that grants trials.
GRANT_TIMEOUT_S = 0.3

Effects = list[typing.Any]


class Trials:
    """Handles the requests of one entry that wait for a trial."""

    def __init__(
        self,
        *,
        quarantine_check: quarantine_module.QuarantineCheck,
        attempts: attempts.Attempts,
        endings: endings.Endings,
    ) -> None:
        self._quarantine_check = quarantine_check
        self._attempts = attempts
        self._endings = endings

    def request_grant(
        self, now: float, request: Request, held: quarantine_module.Held
    ) -> Effects:
        """Request a trial; see :meth:`answered`.

        :param held: why the request would be refused. If several suspects
            are quarantined, the trial of the first one stands for all.
        """
        request.phase = Phase.ASKING
        request.phase_at = now
        asked = quarantine.AskTrial(
            now=now,
            fingerprint=min(held.suspects),
            ticket=TRIAL_TICKET + request.request_id,
        )
        return [effects.Dispatch(event=asked)]

    def answered(
        self, now: float, request: Request, *, is_granted: bool
    ) -> Effects:
        """Begin a granted trial, or refuse the request.

        It is refused while a trial of another send is under way.
        """
        if request.phase is not Phase.ASKING:
            return []
        held = self._attempts.held(now, request)
        if is_granted and held is not None:
            request.trial_of = held.suspects
        # Without a grant, this refuses the request, unless it has been
        # released from quarantine in the meantime.
        begun = self._attempts.begin(now, request)
        if not request.is_trial:
            return begun
        line = decisions.CallTried(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            call=self._quarantine_check.fingerprint(request.call),
            suspects=' '.join(request.trial_of),
        )
        return [line.log(), *begun]

    def tick(self, now: float, request: Request) -> Effects:
        """End the wait of a request whose trial request timed out."""
        if now - request.phase_at < GRANT_TIMEOUT_S:
            return []
        return self._attempts.begin(now, request)
