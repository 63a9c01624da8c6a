"""The shared configuration document: services, pools, routes and accounts.

The console, the command line and the HTTP API all submit a document, and a
new document is the only way to change the configuration. Units are part of
the field names.
"""

from collections import abc
import functools
import json
import typing

import pydantic

from . import accounts as accounts_module
from . import exceptions
from . import hosts
from . import models

Account = accounts_module.Account
#: The only version that this release reads and writes.
VERSION = 1

ServiceKind = typing.Literal['model', 'plain']
PoolRole = typing.Literal['prefill', 'decode', 'plain']
Method = typing.Literal[
    'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'
]
#: A trailing ``*`` matches any suffix.
RoutePath = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^/[!-)+->@-~]*\*?$')
]

#: Fields that a pool must have, by its role; capacity is planned from them.
_POOL_NEEDS_BY_ROLE = {
    'prefill': (
        'link_bytes_per_s',
        'kv_bytes_per_token',
        'prefill_tokens_per_s',
    ),
    'decode': ('link_bytes_per_s', 'decode_tokens_per_s'),
    'plain': (),
}
_MODEL_POOL_FIELDS = (
    'link_bytes_per_s',
    'kv_bytes_per_token',
    'prefill_tokens_per_s',
    'decode_tokens_per_s',
    'model',
    'version',
    'adapter',
    'kv_tokens',
)
_ROLES_BY_KIND = {'model': ('prefill', 'decode'), 'plain': ('plain',)}
_TARGETS = ('first_token_s', 'token_gap_s')


class Weights(models.Model):
    """Relative costs that the scheduling policy weighs against each other."""

    goodput: models.NonNegative = 1.0
    """Cost of a request that misses a latency target."""
    wasted_prefill: models.NonNegative = 1.0
    """Cost of a prefill that is discarded or repeated."""


class Service(models.Model):
    """A service that clients request by name."""

    name: models.Name
    """The name in the URL."""
    kind: ServiceKind
    """``model``: has prefill and decode pools; ``plain``: has plain pools."""
    first_token_s: models.Positive | None = None
    """Target for the time to the first token; model services only."""
    token_gap_s: models.Positive | None = None
    """Target for the time between tokens; model services only."""
    timeout_s: models.Positive
    """The longest total duration of a request."""
    weights: Weights = Weights()
    """Relative costs of a missed target and of wasted prefill."""
    kv_life_s: models.Positive | None = None
    """How long an engine keeps a prefill's result that no decode fetches."""


class Pool(models.Model):
    """Backend servers of one role for one service, with nominal rates."""

    name: models.Name
    """Its label in metrics."""
    service: models.Name
    """The service that the pool belongs to."""
    role: PoolRole
    """The role that its backend servers announce."""
    slots: models.PositiveInt
    """Concurrent requests per backend server."""
    link_bytes_per_s: models.Positive | None = None
    """Bandwidth of one backend server's link to the other pool; not for plain
    pools."""
    kv_bytes_per_token: models.Positive | None = None
    """Size of the KV cache of one prompt token; prefill pools need it."""
    prefill_tokens_per_s: models.Positive | None = None
    """Rate of one backend server, all slots together; prefill pools need
    it."""
    decode_tokens_per_s: models.Positive | None = None
    """Rate of one backend server, all slots together; decode pools need
    it."""
    model: models.Name | None = None
    """The model that its engines are ordered to load; model pools only."""
    version: models.Name | None = None
    adapter: models.Name | None = None
    tokens_per_piece: models.PositiveInt = 1
    """Tokens in each streamed piece of an answer; decode pools only."""
    kv_tokens: models.PositiveInt | None = None
    """Capacity of one backend server's KV cache in tokens; if absent, only
    the slots limit it."""
    cell_size: models.PositiveInt = 32
    """Backend servers per cell; one owner leases all slots of a cell."""


class Priority(models.Model):
    """A priority class of requests."""

    name: models.Name
    """The name that routes and accounts refer to."""
    rank: models.NonNegativeInt
    """0 is the most urgent."""
    max_wait_s: models.Positive
    """Requests that have waited this long go ahead of more urgent ones."""


class Route(models.Model):
    """Which calls a service accepts, and whether they may be retried."""

    service: models.Name
    """The service that handles the call."""
    method: Method
    """The HTTP method."""
    path: RoutePath
    """A trailing ``*`` matches any suffix."""
    idempotent: bool
    """``false``: such a call runs at most once."""
    priority: models.Name | None = None
    """Overrides the account's priority."""

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route applies to this method and path."""
        if method != self.method:
            return False
        if self.path.endswith('*'):
            return path.startswith(self.path[:-1])
        return path == self.path


class Document(models.Model):
    """The whole configuration; a new system starts without any service."""

    version: typing.Literal[1]
    """The version of the document format."""
    services: tuple[Service, ...] = ()
    """Services that clients request."""
    pools: tuple[Pool, ...] = ()
    """Backend servers by service and role."""
    priorities: tuple[Priority, ...] = ()
    """Priority classes."""
    routes: tuple[Route, ...] = ()
    """Which calls are accepted, and which may be retried."""
    accounts: tuple[Account, ...] = ()
    """Client accounts."""
    host_routes: tuple[hosts.HostRoute, ...] = ()
    """Routes by host whose calls are forwarded unchanged."""
    host_calls_need_key: bool = False
    """Whether calls by host need the key of an account, unless their route
    allows anonymous calls; a key is then not forwarded."""
    border: hosts.BorderLimits = hosts.BorderLimits()
    """Limits for clients of host routes."""
    source: str | None = None
    """The text that this document was translated from, returned unchanged
    when it is read."""

    @functools.cached_property
    def services_by_name(self) -> abc.Mapping[str, Service]:
        """All services by name."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def pools_by_name(self) -> abc.Mapping[str, Pool]:
        """All pools by name."""
        return {pool.name: pool for pool in self.pools}

    @functools.cached_property
    def priorities_by_name(self) -> abc.Mapping[str, Priority]:
        """All priorities by name."""
        return {priority.name: priority for priority in self.priorities}

    @functools.cached_property
    def accounts_by_key_sha256(self) -> abc.Mapping[str, Account]:
        """All accounts by the digest of each of their keys."""
        return {
            digest: account
            for account in self.accounts
            for digest in account.keys_sha256
        }

    @functools.cached_property
    def _routes_by_service(self) -> abc.Mapping[str, list[Route]]:
        """Routes of each service, in the order in which they are matched."""
        routes: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=_precedence):
            routes.setdefault(route.service, []).append(route)
        return routes

    @functools.cached_property
    def route_table(self) -> hosts.RouteTable:
        """The table that finds a call's route by host and path."""
        return hosts.RouteTable(routes=self.host_routes)

    def pools_of(self, service: str) -> tuple[Pool, ...]:
        """Return the pools of a service, in the document's order."""
        return tuple(pool for pool in self.pools if pool.service == service)

    def route_for(self, service: str, method: str, path: str) -> Route | None:
        """Return the route that applies to a call, or ``None``.

        An exact path takes precedence over one with ``*``, a longer path over
        a shorter one.

        :param path: without the query.
        """
        for route in self._routes_by_service.get(service, ()):
            if route.matches(method, path):
                return route
        return None

    def find_problems(self) -> abc.Iterator[exceptions.Problem]:
        yield from self._find_duplicates()
        yield from self._find_dangling()
        yield from hosts.find_problems(
            self.host_routes,
            self.services_by_name.keys(),
            self.priorities_by_name.keys(),
        )
        yield from accounts_module.find_problems(
            self.accounts,
            self.services_by_name.keys(),
            self.priorities_by_name.keys(),
        )
        for index, service in enumerate(self.services):
            yield from self._check_service(service, f'services[{index}]')
        for index, pool in enumerate(self.pools):
            yield from self._check_pool(pool, f'pools[{index}]')

    def _find_duplicates(self) -> abc.Iterator[exceptions.Problem]:
        for path in ('services', 'pools', 'priorities'):
            names = [entry.name for entry in getattr(self, path)]
            yield from models.find_duplicates(names, path, 'name')
        ranks = [priority.rank for priority in self.priorities]
        yield from models.find_duplicates(ranks, 'priorities', 'rank')
        calls = [
            f'{route.service} {route.method} {route.path}'
            for route in self.routes
        ]
        yield from models.find_duplicates(calls, 'routes', 'path')

    def _find_dangling(self) -> abc.Iterator[exceptions.Problem]:
        services = self.services_by_name.keys()
        priorities = self.priorities_by_name.keys()
        for index, pool in enumerate(self.pools):
            path = f'pools[{index}].service'
            yield from models.find_unknown(pool.service, services, path)
        for index, route in enumerate(self.routes):
            path = f'routes[{index}]'
            yield from models.find_unknown(
                route.service, services, f'{path}.service'
            )
            if route.priority is not None:
                yield from models.find_unknown(
                    route.priority, priorities, f'{path}.priority'
                )

    def _check_service(
        self, service: Service, path: str
    ) -> abc.Iterator[exceptions.Problem]:
        if not service.weights.goodput + service.weights.wasted_prefill:
            yield exceptions.Problem(
                path=f'{path}.weights',
                given='both given 0',
                allowed='at least one must be more than 0',
            )
        for field in _TARGETS:
            given = getattr(service, field) is not None
            if given != (service.kind == 'model'):
                yield _presence_problem(
                    f'{path}.{field}', given, f'{service.kind} service'
                )
        found = {pool.role for pool in self.pools_of(service.name)}
        for role in _ROLES_BY_KIND[service.kind]:
            if role not in found:
                yield exceptions.Problem(
                    path=path,
                    given=f'{service.name!r} has no {role} pool',
                    allowed=f'a {service.kind} service needs at least one',
                )

    def _check_pool(
        self, pool: Pool, path: str
    ) -> abc.Iterator[exceptions.Problem]:
        service = self.services_by_name.get(pool.service)
        if service is not None:
            roles = _ROLES_BY_KIND[service.kind]
            if pool.role not in roles:
                yield exceptions.Problem(
                    path=f'{path}.role',
                    given=f'given "{pool.role}"',
                    allowed=(
                        f'{pool.service!r} is a {service.kind} service, '
                        f'whose pools are: {", ".join(roles)}'
                    ),
                )
        for field in _POOL_NEEDS_BY_ROLE[pool.role]:
            if getattr(pool, field) is None:
                yield _presence_problem(
                    f'{path}.{field}', False, f'{pool.role} pool'
                )
        if pool.role == 'plain':
            for field in _MODEL_POOL_FIELDS:
                if getattr(pool, field) is not None:
                    yield _presence_problem(
                        f'{path}.{field}', True, 'plain pool'
                    )


#: The first state of a new system.
EMPTY = Document(version=VERSION)


def parse_document(body: bytes, source: str = '') -> Document:
    """Return the document parsed from JSON.

    :param source: where the body came from, for error messages.
    :raises InvalidInput: with every problem found; for a document of another
        version the only problem reported is the version.
    """
    value = models.load_json(body, source)
    if isinstance(value, dict):
        _check_version(value, source)
    return models.parse(Document, body, source)


def document_bytes(document: Document) -> bytes:
    """Return canonical JSON: equal documents give equal bytes."""
    value = document.model_dump(mode='json', exclude_none=True)
    text = json.dumps(
        value, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    )
    return text.encode()


def _check_version(value: dict[str, typing.Any], source: str) -> None:
    version = value.get('version')
    # ``True`` equals 1 in Python, but is not a version number.
    if version == VERSION and type(version) is int:
        return
    given = f'given {version!r}' if 'version' in value else 'not given'
    problem = exceptions.Problem(
        path='version',
        given=given,
        allowed=(
            f'this release reads version {VERSION} only; a newer one may '
            'read others'
        ),
    )
    raise exceptions.InvalidInput(problems=(problem,), source=source)


def _precedence(route: Route) -> tuple[bool, int]:
    return route.path.endswith('*'), -len(route.path)


def _presence_problem(
    path: str, given: bool, owner: str
) -> exceptions.Problem:
    if given:
        return exceptions.Problem(
            path=path, given='given', allowed=f'a {owner} has none'
        )
    return exceptions.Problem(
        path=path, given='not given', allowed=f'a {owner} needs it'
    )
