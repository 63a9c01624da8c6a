"""Admission control at the entry, before a cell's owner is involved."""

import typing

import msgspec

from .. import answer_memory
from .. import document
from .. import events
from .. import verdict
from . import account_check
from ..coordination import confirmation_status as status_module
from ._refusal import not_run
from ._refusal import TRANSIENT_RETRY_S

_REASON = verdict.RefusalReason

#: A call whose deadline is less than this fraction of the route's timeout
#: counts as a resend: an earlier send used up the rest.
RESENT_FRACTION = 0.95
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

    def places_without_owner(self, cell: str) -> bool:
        """Return whether it places requests while an owner is unresponsive."""
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
    #: Services to one of which the route leads, for such a call.
    route_services: tuple[str, ...] = ()
    #: Seconds without a piece after which its client disconnects; ``None`` if
    #: not known.
    patience_s: float | None = None
    #: Seconds from arrival to the first token; 0 for the service's target.
    target_s: float = 0.0
    #: Whether part of its client's time is spent, because an earlier send was
    #: refused.
    is_resent: bool = False
    #: Name that backend servers are told of the account, instead of the
    #: caller's key; ``''`` for an anonymous call. ``None``: the call's headers
    #: are forwarded, as no key is needed.
    told_account: str | None = None


def out_of_memory() -> verdict.Refusal:
    """Return the refusal of a call whose answer could not be held."""
    return not_run(
        _REASON.INSTANCE_FULL,
        f'{answer_memory.FULL}; use another entry',
        TRANSIENT_RETRY_S,
    )


class Admission:
    """Checks calls against the document and this instance's own limits.

    :param max_requests: upper bound for requests in flight.
    :param max_streams: upper bound for completions in flight. It leaves
        threads free for plain calls, so that no long prompt blocks a lookup.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        account_check: account_check.AccountCheck,
        max_requests: int,
        max_streams: int,
    ) -> None:
        self._directory = directory
        self._account_check = account_check
        self._max_requests = max_requests
        self._max_streams = max_streams
        self._requests = 0
        self._streams = 0
        self._in_flight_by_account: dict[str, int] = {}

    def check(
        self, now: float, call: events.Call, entropy: int = 0
    ) -> Admitted | verdict.Refusal:
        """Return the admitted call or its refusal, without counting it.

        Whether the account's rate allows it is not checked here.

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
        found = self._check_document(now, call, entropy)
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

    def _check_document(
        self, now: float, call: events.Call, entropy: int
    ) -> Admitted | verdict.Refusal:
        """Check a call: route, account, freshness of its key, then room.

        The account's rate is charged last, see :mod:`.charges`.
        """
        matched = (
            self._match_host(call, entropy)
            if call.host
            else self._match_service(call)
        )
        if isinstance(matched, verdict.Refusal):
            return matched
        refusal = (
            self._account_check.check_proof(now, matched.account)
            or self._check_room(matched)
            or self._check_in_flight(matched.account)
        )
        return matched if refusal is None else refusal

    def match_service(
        self, call: events.Call, service: str
    ) -> Admitted | verdict.Refusal:
        """Match a call that was admitted with one service of its route."""
        return self._match_host(call, 0, service)

    def _match_host(
        self, call: events.Call, entropy: int, service_name: str = ''
    ) -> Admitted | verdict.Refusal:
        """Find route and account of a call that is forwarded unchanged.

        :param service_name: of the route's services; by default, one of them
            is chosen by weight.
        """
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
        account = self._account_check.account_of_host_call(
            call, allows_anonymous=found.allows_anonymous
        )
        if isinstance(account, verdict.Refusal):
            return account
        if service_name and service_name not in (
            target.service for target in found.targets
        ):
            return not_run(
                _REASON.UNKNOWN_SERVICE,
                f'the route of {call.path!r} does not lead to service '
                f'{service_name!r}',
            )
        service = described.services_by_name[
            service_name or found.choose(entropy)
        ]
        streamed = service.kind == 'model'
        return Admitted(
            service=service,
            route=document.Route(
                service=service.name,
                method='POST',
                path=found.path_prefix,
                idempotent=found.repeat != 'never',
            ),
            account=account,
            priority=described.priorities_by_name[
                account.priority or found.priority
            ],
            streamed=streamed,
            timeout_s=found.timeout_s,
            max_runs=found.max_runs,
            is_pass_through=True,
            route_services=tuple(target.service for target in found.targets),
            patience_s=found.patience_s if streamed else None,
            target_s=found.target_s if streamed else 0.0,
            is_resent=(
                call.deadline_s is not None
                and call.deadline_s < found.timeout_s * RESENT_FRACTION
            ),
            told_account=_told_account(described, account),
        )

    def _match_service(self, call: events.Call) -> Admitted | verdict.Refusal:
        """Find account and route of a call to a service by its name."""
        described = self._directory.document
        account = self._account_check.find(call)
        if account is None:
            return account_check.unknown_account()
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
        name = call.priority or route.priority or account.priority
        priority = described.priorities_by_name.get(name)
        if priority is None:
            known = ', '.join(described.priorities_by_name)
            return not_run(
                _REASON.BAD_REQUEST,
                f'no priority {name!r}; there are: {known}',
            )
        return Admitted(
            service=service,
            route=route,
            account=account,
            priority=priority,
            streamed=call.streamed,
            timeout_s=service.timeout_s,
        )

    def _check_room(self, matched: Admitted) -> verdict.Refusal | None:
        is_full = self._requests >= self._max_requests or (
            matched.streamed and self._streams >= self._max_streams
        )
        if not is_full:
            return None
        return not_run(
            _REASON.INSTANCE_FULL,
            'this instance serves as many requests as it may; use another '
            'entry',
            TRANSIENT_RETRY_S,
        )

    def _check_in_flight(
        self, account: document.Account
    ) -> verdict.Refusal | None:
        in_flight = self._in_flight_by_account.get(account.name, 0)
        if account.max_in_flight is None or in_flight < account.max_in_flight:
            return None
        return not_run(
            _REASON.ACCOUNT_LIMIT,
            f'account {account.name!r} has {in_flight} requests in flight, '
            'as many as it may',
            TRANSIENT_RETRY_S,
        )

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


def _told_account(
    described: document.Document, account: document.Account
) -> str | None:
    if not described.host_calls_need_key:
        return None
    return account_check.told(account).name
