"""Who may have what served at this entry, before any owner is asked."""

import typing

import msgspec

from .. import document
from .. import events
from .. import verdict
from ..coordination import standing as standings

_REASON = verdict.RefusalReason

#: A caller that gives less than this part of the route's time came before.
RESENT_PART = 0.95
#: Seconds after which a caller may find a transient refusal gone.
SOON_S = 1.0
#: Refusals that the document gives the reason for, and after which a caller
#: doesn't come back.
_FINAL_REASONS = frozenset(
    (
        _REASON.UNKNOWN_ROUTE,
        _REASON.UNKNOWN_ACCOUNT,
        _REASON.UNKNOWN_SERVICE,
        _REASON.BAD_REQUEST,
    )
)


class Directory(typing.Protocol):
    """What an entry knows about the system around it."""

    @property
    def document(self) -> document.Document: ...

    @property
    def is_draining(self) -> bool: ...

    def is_fresh(self, now: float) -> bool:
        """Whether the document was confirmed by a majority lately."""
        ...

    def standing(self, now: float) -> standings.Standing:
        """How current the document is."""
        ...

    def cell_of(self, service: str, request_id: str) -> str: ...

    @property
    def own_id(self) -> str:
        """This instance."""
        ...

    @property
    def places_alone(self) -> bool:
        """Whether it places by itself while a cell's owner is silent."""
        ...

    def owners_of(self, cell: str) -> tuple[str, ...]:
        """Return instance ids to ask, the likeliest owner first."""
        ...


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """A call that is allowed, with what the document says of it."""

    service: document.Service
    route: document.Route
    account: document.Account
    priority: document.Priority
    streamed: bool
    timeout_s: float
    #: Backend servers that it may run on; ``None`` where only the limit of
    #: attempts counts.
    max_runs: int | None = None
    #: Passed on unchanged: reading the prompt alone runs nothing, and every
    #: send to a decode engine is a run of its own.
    is_passed_on: bool = False
    #: Seconds without a piece after which its caller leaves, if that is known.
    patience_s: float | None = None
    #: Part of its caller's time is spent: it was turned away before.
    is_resent: bool = False


class Admission:
    """Checks calls against the document and this instance's own limits.

    :param max_requests: requests in flight at this instance.
    :param max_streams: completions in flight, so that the threads left
        over always serve plain calls: no long prompt blocks a lookup.
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
        """Return what the call is, or why it is refused; counts nothing.

        :param entropy: 64 random bits, to choose a service by weight.
        """
        if self._directory.is_draining:
            return not_run(
                _REASON.DRAINING,
                'this instance is shutting down; use another entry',
                SOON_S,
            )
        if not self._directory.is_fresh(now):
            # An instance that is cut off can't know whether its document is
            # still the accepted one, so it must not act on it.
            return not_run(
                _REASON.CONFIGURATION_STALE,
                'this instance has not confirmed its configuration lately; '
                'use another entry',
                SOON_S,
            )
        found = (
            self._check_host(call, entropy)
            if call.host
            else self._check_document(now, call)
        )
        if isinstance(found, verdict.Refusal):
            return self._unless_outdated(now, found)
        return found

    def _unless_outdated(
        self, now: float, refusal: verdict.Refusal
    ) -> verdict.Refusal:
        """Let a caller come again where a later document may have its call.

        With ``unconfirmed`` set to ``serve`` work goes on under a document
        that may be an old one. "No such route" from that is final for the
        caller, and false once the route was added; one sees 404 at single
        entries after a change that was acknowledged seconds ago.
        """
        if refusal.reason not in _FINAL_REASONS:
            return refusal
        standing = self._directory.standing(now)
        message = f'{refusal.message} ({standing})'
        if standing.is_confirmed:
            return msgspec.structs.replace(refusal, message=message)
        return not_run(
            _REASON.CONFIGURATION_STALE,
            f'{message}, and a later one may be in force; use another entry',
            SOON_S,
        )

    def _check_host(
        self, call: events.Call, entropy: int
    ) -> Admitted | verdict.Refusal:
        """Find the route of a call that is passed on; it has no account."""
        described = self._directory.document
        if not described.host_routes:
            # Nothing was accepted yet, or this instance hasn't heard of it.
            # "No such route" would be final for the caller, and false.
            return not_run(
                _REASON.CONFIGURATION_STALE,
                'this instance knows no routes yet; use another entry',
                SOON_S,
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
            account=_ANYBODY,
            priority=described.priorities_by_name[found.priority],
            streamed=streamed,
            timeout_s=found.timeout_s,
            max_runs=found.max_runs,
            is_passed_on=True,
            patience_s=found.patience_s if streamed else None,
            is_resent=(
                call.deadline_s is not None
                and call.deadline_s < found.timeout_s * RESENT_PART
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
                SOON_S,
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
        """Count a request in."""
        self._requests += 1
        self._streams += streamed
        in_flight = self._in_flight_by_account.get(account, 0)
        self._in_flight_by_account[account] = in_flight + 1

    def leave(self, account: str, streamed: bool) -> None:
        """Count a request out; once for each :meth:`enter`."""
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

    :param rate: tokens a second.
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


#: Whom calls by host and path are counted for.
_ANYBODY = document.Account(
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
        SOON_S,
    )


def not_run(
    reason: verdict.RefusalReason,
    message: str,
    retry_after_s: float | None = None,
) -> verdict.Refusal:
    """Return a refusal of something that was never sent anywhere."""
    return verdict.Refusal(
        reason=reason,
        verdict=verdict.Verdict.NOT_RUN,
        message=message,
        retry_after_s=retry_after_s,
    )
