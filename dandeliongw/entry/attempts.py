"""The attempts of a request: beginning, retry with backoff, giving up."""

import typing

import msgspec

from .. import decisions
from .. import effects
from .. import verdict
from . import account_check as account_check_module
from ..cell import cell_types
from ..cell import cells
from ..coordination import presence
from . import departures as departures_module
from . import endings
from . import quarantine_check as quarantine_module
from . import refusals
from . import reservations
from . import sends
from .request import Phase
from .request import Request

#: Upper bound for the attempts of one request, the first included.
MAX_ATTEMPTS = 4
#: Mean backoff in seconds before the third attempt, doubled for each further
#: one. The second attempt has none, as it uses another backend server.
BACKOFF_S = 0.1
#: Characters of an error that are logged; it may show a part of an answer.
MAX_ERROR_LENGTH = 200

Effects = list[typing.Any]


class Attempts:
    """Begins attempts and decides on retries.

    :param departure_check: backend servers that have left, which are sent
        nothing.
    :param sends: takes repeated sends from the retry budget.
    :param quarantine_check: quarantined calls, which are not attempted.
    :param account_check: keys that were taken away, whose calls are not
        attempted.
    """

    def __init__(
        self,
        *,
        reservations: reservations.Reservations,
        departure_check: departures_module.DepartureCheck,
        endings: endings.Endings,
        sends: sends.Sends,
        quarantine_check: quarantine_module.QuarantineCheck,
        account_check: account_check_module.AccountCheck,
    ) -> None:
        self._quarantine_check = quarantine_check
        self._account_check = account_check
        self._reservations = reservations
        self._departure_check = departure_check
        self._endings = endings
        self._sends = sends

    def begin(self, now: float, request: Request) -> Effects:
        """Begin another attempt, with a new id."""
        held = self.held(now, request)
        if held is not None:
            refused = self._endings.refuse(now, request, held.refusal)
            return [held.line, *refused]
        key_refusal = self.key_refusal(now, request)
        if key_refusal is not None:
            return self._endings.refuse(now, request, key_refusal)
        request.attempts += 1
        request.owner = ''
        return self.search(now, request)

    def search(self, now: float, request: Request) -> Effects:
        """Search for an owner that books the current attempt."""
        asked = self._reservations.search(now, request)
        return self.handle_no_owner(now, request, asked)

    def rebook(
        self,
        now: float,
        request: Request,
        departures: tuple[presence.BackendDeparture, ...],
        excluded: tuple[str, ...] = (),
    ) -> Effects:
        """Book again what was booked on backend servers that may not run it.

        Nothing was sent there, so this is no other attempt.

        :param departures: of those that have left.
        :param excluded: other ones.
        """
        out = self._departure_check.report(now, request, departures)
        if departures_module.is_booked_too_often(request):
            refusal = refusals.barred_backends(request)
            return [*out, *self._endings.give_up(now, request, refusal)]
        request.rebookings += 1
        request.exclude += excluded
        request.exclude += tuple(each.backend_id for each in departures)
        if request.stage is not cell_types.Stage.DECODE:
            out += self._reservations.release(request, cells.Outcome.CANCELLED)
            # The next booking has to differ from the released one.
            request.owner = ''
        return [*out, *self.search(now, request)]

    def handle_no_owner(
        self, now: float, request: Request, asked: Effects | None
    ) -> Effects:
        """Return the messages, or wait or refuse if there is no owner.

        :param asked: the messages that book the request; ``None`` if there is
            no candidate owner.
        """
        if asked is not None:
            return asked
        if (
            now - request.phase_at < request.search_timeout_s
            and request.attempts > 1
        ):
            # Earlier attempts have invested work, so wait for an owner.
            request.asked_at = now
            return []
        return self._endings.give_up(now, request, refusals.no_owner(request))

    def retry(
        self,
        now: float,
        request: Request,
        *,
        failure: verdict.RetryReason,
        message: str,
        failed_id: str = '',
        is_fault: bool = True,
        entropy: int = 0,
    ) -> Effects:
        """End the attempt, and begin another one if the limits allow it.

        :param failure: why the attempt failed.
        :param failed_id: id of the backend server that failed, else ``''``.
        :param is_fault: whether that counts against it; one that asks for
            rest is left alone for that time, and needs no further doubt.
        :param entropy: 64 random bits for the jitter.
        """
        out = self._release_attempt(request, failure, failed_id, is_fault)
        if request.caller_gone:
            refusal = refusals.caller_gone(request)
            return [*out, *self._endings.refuse(now, request, refusal)]
        if not request.may_run_again:
            refusal = refusals.backend_failed(message)
            line = _retry_log(
                request, failure, message, 'the call may have run', again=False
            )
            return [*out, line, *self._endings.refuse(now, request, refusal)]
        held = self.held(now, request)
        if held is not None:
            line = _retry_log(
                request, failure, message, 'it is quarantined', again=False
            )
            refused = self._endings.refuse(now, request, held.refusal)
            return [*out, line, held.line, *refused]
        wait_s = self._backoff_s(request, entropy)
        obstacle = self._why_no_retry(now, wait_s, request)
        if obstacle:
            refusal = refusals.retries_spent(request, message)
            line = _retry_log(request, failure, message, obstacle, again=False)
            return [*out, line, *self._endings.refuse(now, request, refusal)]
        out.append(
            _retry_log(
                request, failure, message, 'a retry is allowed', again=True
            )
        )
        count = effects.CountRetry(reason=failure)
        if not wait_s:
            return [*out, count, *self.begin(now, request)]
        request.retry_at = now + wait_s
        return [*out, count]

    def key_refusal(
        self, now: float, request: Request
    ) -> verdict.Refusal | None:
        """Return why its key no longer allows a send; ``None`` if it does.

        Checked before each send to a backend server: a request may have
        waited since it was admitted. What the send tells of its account is
        brought up to date.
        """
        admitted = request.admitted
        checked = self._account_check.check_again(
            now, admitted.account, request.call, admitted.told_account
        )
        if isinstance(checked, verdict.Refusal):
            return msgspec.structs.replace(checked, verdict=request.known)
        if checked.name != admitted.told_account:
            request.admitted = msgspec.structs.replace(
                admitted, told_account=checked.name
            )
        return None

    def held(
        self, now: float, request: Request
    ) -> quarantine_module.Held | None:
        """Return why a request may not be sent; ``None`` if it may.

        A request that is a trial may run once, while nothing else in it has
        been quarantined.
        """
        held = self._quarantine_check.refusal(
            now, request.request_id, request.call, request.known
        )
        is_tried = (
            held is not None
            and not request.has_failed
            and set(held.suspects) <= set(request.trial_of)
        )
        return None if is_tried else held

    def _release_attempt(
        self,
        request: Request,
        failure: verdict.RetryReason,
        failed_id: str,
        is_fault: bool,
    ) -> Effects:
        wasted = request.prefilled_tokens
        release = self._reservations.release(
            request,
            cells.Outcome.FAILED,
            fault=failed_id if is_fault else '',
            is_down=failure is verdict.RetryReason.CONNECT_REFUSED,
            wasted=wasted,
        )
        request.phase = Phase.BACKOFF
        request.booked = None
        request.drop_kv()
        request.last_resume_offset = -1
        if failed_id:
            request.exclude += (failed_id,)
        if request.stage is cell_types.Stage.DECODE:
            request.stage = cell_types.Stage.PAIR
        return [*release, *refusals.count_waste(failure, wasted)]

    def _backoff_s(self, request: Request, entropy: int) -> float:
        """Return the backoff in seconds, with jitter against retry waves."""
        if request.attempts < 2:
            return 0.0
        jitter = 0.5 + entropy / 2**64
        return BACKOFF_S * 2 ** (request.attempts - 2) * jitter

    def _why_no_retry(
        self, now: float, wait_s: float, request: Request
    ) -> str:
        """Return why no other attempt may begin; ``''`` if one may.

        Takes the attempt's sends from the retry budget when it returns
        ``''``.
        """
        if request.attempts >= MAX_ATTEMPTS:
            return f'all {request.attempts} attempts are used up'
        if request.has_used_up_runs:
            return f'may have run on {request.runs} backend servers already'
        if now + wait_s + request.prefill_s >= request.deadline_at:
            return 'not enough time before the deadline'
        with_prefill = request.stage is not cell_types.Stage.PLAIN
        if not self._sends.reserve(now, request, with_prefill=with_prefill):
            return 'retry budget is used up'
        return ''


def _retry_log(
    request: Request,
    failure: verdict.RetryReason,
    error: str,
    why: str,
    *,
    again: bool,
) -> effects.Log:
    return decisions.AttemptFailed(
        request_id=request.request_id,
        attempt_id=request.attempt_id,
        again=again,
        failure=failure.value,
        error=error[:MAX_ERROR_LENGTH],
        known=request.known.value,
        attempts=request.attempts,
        runs=request.runs,
        why=why,
    ).log()
