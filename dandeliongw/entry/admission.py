"""Admission control at the entry, before a cell's owner is involved."""

import typing

import msgspec

from .. import document
from .. import events
from .. import verdict
from ..coordination import confirmation_status as status_module

_REASON = verdict.RefusalReason

#: A call whose deadline is less than this fraction of the route's timeout
#: counts as a resend: an earlier send used up the rest.
RESENT_FRACTION = 0.95
#: ``Retry-After`` in seconds of refusals for a transient reason.
TRANSIENT_RETRY_S = 1.0
#: Reasons that follow from the document. Clients do not retry after them.
_FINAL_REASONS = frozenset(
    (
        _REASON.UNKNOWN_ROUTE,
        _REASON.UNKNOWN_ACCOUNT,
        _REASON.UNKNOWN_SERVICE,
        _REASON.BAD_REQUEST,
    )
)


class Directory(typing.Protocol):
    """An entry's view of the system."""

    @property
    def document(self) -> document.Document: ...

    @property
    def is_draining(self) -> bool: ...

    def is_fresh(self, now: float) -> bool:
        """Whether a majority confirmed the document recently enough."""
        ...

    def confirmation_status(
        self, now: float
    ) -> status_module.ConfirmationStatus:
        """How current the document is."""
        ...

    def cell_of(self, service: str, request_id: str) -> str: ...

    @property
    def own_id(self) -> str:
        """The id of this instance."""
        ...

    @property
    def places_without_owner(self) -> bool:
        """Whether it places requests while an owner is unresponsive."""
        ...

    def owners_of(self, cell: str) -> tuple[str, ...]:
        """Return the ids of candidate owners, the most likely one first."""
        ...


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """An admitted call, with its parameters from the document."""

    service: document.Service
    route: document.Route
    account: document.Account
    priority: document.Priority
    streamed: bool
    timeout_s: float
    #: Upper bound for the backend servers that it may run on; ``None`` if
    #: only the limit of attempts applies.
    max_runs: int | None = None
    #: Whether the call is forwarded unchanged. Prefill then does not count as
    #: running it, and every send to a decode engine is a run of its own.
    is_pass_through: bool = False
    #: Seconds without a piece after which its client disconnects; ``None`` if
    #: not known.
    patience_s: float | None = None
    #: Whether part of its client's time is spent, because an earlier send was
    #: refused.
    is_resent: bool = False


class Admission:
    """Checks calls against the document and this instance's own limits.

    :param max_requests: upper bound for requests in flight.
    :param max_streams: upper bound for completions in flight. It leaves
        threads free for plain calls, so that no long prompt blocks a lookup.
    """

    def __init__(
        self, *, directory: Directory, max_requests: int, max_streams: int
    ) -> None:
        self._directory = directory
        self._max_requests = max_requests
        self._max_streams = max_streams
        self._requests = 0
        self._streams = 0
        self._in_flight_by_account: dict[str, int] = {}
        self._buckets_by_account: dict[str, RateBucket] = {}

    def check(
        self, now: float, call: events.Call, entropy: int = 0
    ) -> Admitted | verdict.Refusal:
        """Return the admitted call or its refusal, without counting it.

        :param entropy: 64 random bits, to choose a service by weight.
        """
        if self._directory.is_draining:
            return not_run(
                _REASON.DRAINING,
                'this instance is shutting down; use another entry',
                TRANSIENT_RETRY_S,
            )
        if not self._directory.is_fresh(now):
            # An instance on the minority side of a partition cannot verify
            # that its document is still in force, so it must not act on it.
            return not_run(
                _REASON.CONFIGURATION_STALE,
                'this instance has not confirmed its configuration lately; '
                'use another entry',
                TRANSIENT_RETRY_S,
            )
        found = (
            self._check_host(call, entropy)
            if call.host
            else self._check_document(now, call)
        )
        if isinstance(found, verdict.Refusal):
            return self._retryable_if_outdated(now, found)
        return found

    def _retryable_if_outdated(
        self, now: float, refusal: verdict.Refusal
    ) -> verdict.Refusal:
        """Make a refusal retryable if a later document may admit the call.

        With ``unconfirmed`` set to ``serve``, the instance goes on under a
        document that may be outdated. Clients take "no such route" as final,
        although the route may have been added since. Without this, single
        entries would answer 404 for seconds after an acknowledged change.
        """
        if refusal.reason not in _FINAL_REASONS:
            return refusal
        status = self._directory.confirmation_status(now)
        message = f'{refusal.message} ({status})'
        if status.is_confirmed:
            return msgspec.structs.replace(refusal, message=message)
        return not_run(
            _REASON.CONFIGURATION_STALE,
            f'{message}, and a later one may be in force; use another entry',
            TRANSIENT_RETRY_S,
        )

    def _check_host(
        self, call: events.Call, entropy: int
    ) -> Admitted | verdict.Refusal:
        """Check a call that is forwarded unchanged; it has no account."""
        described = self._directory.document
        if not described.host_routes:
            # No document was accepted yet, or this instance has not received
            # it. "No such route" would be wrong, and clients take it as final.
            return not_run(
                _REASON.CONFIGURATION_STALE,
                'this instance knows no routes yet; use another entry',
                TRANSIENT_RETRY_S,
            )
        found = described.route_table.find(call.host, call.path)
        if found is None:
            return not_run(
                _REASON.UNKNOWN_ROUTE,
                f'no route of host {call.host!r} matches {call.path!r}',
            )
        service = described.services_by_name[found.choose(entropy)]
        streamed = service.kind == 'model'
        if self._is_full(streamed):
            return _instance_full()
        return Admitted(
            service=service,
            route=document.Route(
                service=service.name,
                method='POST',
                path=found.path_prefix,
                idempotent=found.repeat != 'never',
            ),
            account=_ANONYMOUS,
            priority=described.priorities_by_name[found.priority],
            streamed=streamed,
            timeout_s=found.timeout_s,
            max_runs=found.max_runs,
            is_pass_through=True,
            patience_s=found.patience_s if streamed else None,
            is_resent=(
                call.deadline_s is not None
                and call.deadline_s < found.timeout_s * RESENT_FRACTION
            ),
        )

    def _is_full(self, streamed: bool) -> bool:
        return self._requests >= self._max_requests or (
            streamed and self._streams >= self._max_streams
        )

    def _check_document(
        self, now: float, call: events.Call
    ) -> Admitted | verdict.Refusal:
        described = self._directory.document
        account = described.accounts_by_key_sha256.get(call.key_sha256)
        if account is None:
            return not_run(
                _REASON.UNKNOWN_ACCOUNT, 'the account key is not known'
            )
        service = described.services_by_name.get(call.service)
        if service is None or service.name not in account.services:
            allowed = ', '.join(account.services)
            return not_run(
                _REASON.UNKNOWN_SERVICE,
                f'no service {call.service!r} for account '
                f'{account.name!r}; there are: {allowed}',
            )
        if (service.kind == 'model') != call.streamed:
            return not_run(
                _REASON.BAD_REQUEST,
                f'service {service.name!r} is of kind {service.kind!r} and '
                'does not take this kind of call',
            )
        route = described.route_for(call.service, call.method, call.path)
        if route is None:
            return not_run(
                _REASON.UNKNOWN_ROUTE,
                f'no route of {call.service!r} matches '
                f'{call.method} {call.path}',
            )
        return self._check_limits(now, call, service, route, account)

    def _check_limits(
        self,
        now: float,
        call: events.Call,
        service: document.Service,
        route: document.Route,
        account: document.Account,
    ) -> Admitted | verdict.Refusal:
        name = call.priority or route.priority or account.priority
        priority = self._directory.document.priorities_by_name.get(name)
        if priority is None:
            known = ', '.join(self._directory.document.priorities_by_name)
            return not_run(
                _REASON.BAD_REQUEST,
                f'no priority {name!r}; there are: {known}',
            )
        if self._is_full(call.streamed):
            return _instance_full()
        in_flight = self._in_flight_by_account.get(account.name, 0)
        if account.max_in_flight and in_flight >= account.max_in_flight:
            return not_run(
                _REASON.ACCOUNT_LIMIT,
                f'account {account.name!r} has {in_flight} requests in '
                'flight, as many as it may',
                TRANSIENT_RETRY_S,
            )
        wait_s = self._wait_for_rate(now, account)
        if wait_s > 0:
            return not_run(
                _REASON.ACCOUNT_LIMIT,
                f'account {account.name!r} sends more than '
                f'{account.requests_per_s} requests a second',
                wait_s,
            )
        return Admitted(
            service=service,
            route=route,
            account=account,
            priority=priority,
            streamed=call.streamed,
            timeout_s=service.timeout_s,
        )

    def _wait_for_rate(self, now: float, account: document.Account) -> float:
        if not account.requests_per_s:
            return 0.0
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None or bucket.rate != account.requests_per_s:
            bucket = RateBucket(rate=account.requests_per_s, now=now)
            self._buckets_by_account[account.name] = bucket
        return bucket.take(now)

    def enter(self, account: str, streamed: bool) -> None:
        """Add a request to the counts of those in flight."""
        self._requests += 1
        self._streams += streamed
        in_flight = self._in_flight_by_account.get(account, 0)
        self._in_flight_by_account[account] = in_flight + 1

    def leave(self, account: str, streamed: bool) -> None:
        """Remove a request from the counts; once for each :meth:`enter`."""
        self._requests -= 1
        self._streams -= streamed
        left = self._in_flight_by_account[account] - 1
        if left:
            self._in_flight_by_account[account] = left
        else:
            del self._in_flight_by_account[account]

    @property
    def in_flight(self) -> int:
        return self._requests


class RateBucket:
    """A token bucket that holds one second's worth, at least one token.

    :param rate: tokens per second.
    :param now: current time in seconds.
    """

    def __init__(self, *, rate: float, now: float) -> None:
        self.rate = rate
        self._size = max(1.0, rate)
        self._level = self._size
        self._updated_at = now

    def take(self, now: float) -> float:
        """Take one token and return 0, or the seconds until there is one."""
        gained = (now - self._updated_at) * self.rate
        self._level = min(self._size, self._level + gained)
        self._updated_at = now
        if self._level >= 1.0:
            self._level -= 1.0
            return 0.0
        return (1.0 - self._level) / self.rate


#: The account under which calls by host and path are counted.
_ANONYMOUS = document.Account(
    name='anybody',
    key_sha256='0' * 64,
    services=(),
    max_in_flight=1,
    requests_per_s=1.0,
    priority='none',
)


def _instance_full() -> verdict.Refusal:
    return not_run(
        _REASON.INSTANCE_FULL,
        'this instance serves as many requests as it may; use another entry',
        TRANSIENT_RETRY_S,
    )


def not_run(
    reason: verdict.RefusalReason,
    message: str,
    retry_after_s: float | None = None,
) -> verdict.Refusal:
    """Return a refusal of a call that was sent to no backend server."""
    return verdict.Refusal(
        reason=reason,
        verdict=verdict.Verdict.NOT_RUN,
        message=message,
        retry_after_s=retry_after_s,
    )
