"""The one document that says what the system does for its callers.

The console, the command line and the HTTP API all produce it, and it is the
only way to change anything. Units are part of the fields' names.
"""

from collections import abc
import functools
import json
import typing

import pydantic

from . import exceptions
from . import hosts
from . import models

#: The only version that this release reads and writes.
VERSION = 1

ServiceKind = typing.Literal['model', 'plain']
PoolRole = typing.Literal['prefill', 'decode', 'plain']
Method = typing.Literal[
    'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'
]
#: A trailing ``*`` matches whatever follows.
RoutePath = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^/[!-)+->@-~]*\*?$')
]
NotNegative = typing.Annotated[float, pydantic.Field(ge=0)]

#: The fields that a pool of each role can't be planned without.
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
    """What a loss of each measure counts when the policy must choose."""

    goodput: NotNegative = 1.0
    """Against a request that misses a latency target."""
    wasted_prefill: NotNegative = 1.0
    """Against a prefill that is thrown away or done again."""


class Service(models.Model):
    """Something that callers ask for by name."""

    name: models.Name
    """What callers put into the URL."""
    kind: ServiceKind
    """``model``: prefill and decode pools; ``plain``: neither."""
    first_token_s: models.Positive | None = None
    """Target for the time to the first token; model services only."""
    token_gap_s: models.Positive | None = None
    """Target for the time between tokens; model services only."""
    timeout_s: models.Positive
    """The longest that a request may take in all."""
    weights: Weights = Weights()
    """How the policy weighs the two measures."""
    kv_life_s: models.Positive | None = None
    """How long an engine keeps a prefill's result that nobody takes."""


class Pool(models.Model):
    """Backend servers of one role for one service, by their nominal rates."""

    name: models.Name
    """Its label in metrics."""
    service: models.Name
    """The service that it serves."""
    role: PoolRole
    """What its backend servers announce themselves as."""
    slots: models.PositiveInt
    """Requests that one backend server works on at a time."""
    link_bytes_per_s: models.Positive | None = None
    """Of one backend server's link to the other pool; not for plain pools."""
    kv_bytes_per_token: models.Positive | None = None
    """Size of the KV cache of one prompt token; prefill pools need it."""
    prefill_tokens_per_s: models.Positive | None = None
    """Of one backend server, all slots together; prefill pools need it."""
    decode_tokens_per_s: models.Positive | None = None
    """Of one backend server, all slots together; decode pools need it."""
    model: models.Name | None = None
    """What its engines are ordered to load; model pools only."""
    version: models.Name | None = None
    adapter: models.Name | None = None
    tokens_per_piece: models.PositiveInt = 1
    """Tokens that one piece of an answer brings; decode pools only."""
    kv_tokens: models.PositiveInt | None = None
    """Tokens that one backend server's KV cache holds; all that fit its
    slots where none is given."""
    cell_size: models.PositiveInt = 32
    """Backend servers to one cell, and so to one owner of their slots."""


class Priority(models.Model):
    """A class of work."""

    name: models.Name
    """What routes and accounts refer to."""
    rank: models.NonNegativeInt
    """0 is the most urgent."""
    max_wait_s: models.Positive
    """Work that has waited so long goes ahead of more urgent work."""


class Route(models.Model):
    """Which calls a service takes, and whether one may be repeated."""

    service: models.Name
    """The service that takes the call."""
    method: Method
    """The HTTP method."""
    path: RoutePath
    """A trailing ``*`` matches whatever follows."""
    idempotent: bool
    """``false``: such a call runs at most once."""
    priority: models.Name | None = None
    """Goes before the account's own."""

    def matches(self, method: str, path: str) -> bool:
        """Whether a call with this method and path is meant."""
        if method != self.method:
            return False
        if self.path.endswith('*'):
            return path.startswith(self.path[:-1])
        return path == self.path


class Account(models.Model):
    """A caller."""

    name: models.Name
    """The caller, as operators know it."""
    key_sha256: models.Sha256
    """SHA-256 of the caller's key; the key itself is kept nowhere."""
    services: tuple[models.Name, ...]
    """What the caller may ask for."""
    share: models.Positive = 1.0
    """Weight against the other accounts where work has to wait."""
    max_in_flight: models.PositiveInt
    """Requests at one time through one entry; more are refused."""
    requests_per_s: models.Positive
    """Lasting rate through one entry; what is more is refused."""
    priority: models.Name
    """Of calls whose route names none."""


class Document(models.Model):
    """The whole description; without any service it is the first state."""

    version: typing.Literal[1]
    """The form of this document."""
    services: tuple[Service, ...] = ()
    """What callers ask for."""
    pools: tuple[Pool, ...] = ()
    """Backend servers by service and role."""
    priorities: tuple[Priority, ...] = ()
    """Classes of work."""
    routes: tuple[Route, ...] = ()
    """Which calls there are, and which may be repeated."""
    accounts: tuple[Account, ...] = ()
    """The callers."""
    host_routes: tuple[hosts.HostRoute, ...] = ()
    """Calls that are passed on unchanged, for callers without an account."""
    border: hosts.BorderLimits = hosts.BorderLimits()
    """What callers of host routes may send."""
    source: str | None = None
    """The text that this was translated from, to be read back unchanged."""

    @functools.cached_property
    def services_by_name(self) -> abc.Mapping[str, Service]:
        """Every service by its name."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def pools_by_name(self) -> abc.Mapping[str, Pool]:
        """Every pool by its name."""
        return {pool.name: pool for pool in self.pools}

    @functools.cached_property
    def priorities_by_name(self) -> abc.Mapping[str, Priority]:
        """Every priority by its name."""
        return {priority.name: priority for priority in self.priorities}

    @functools.cached_property
    def accounts_by_key_sha256(self) -> abc.Mapping[str, Account]:
        """Every account by the digest of its key."""
        return {account.key_sha256: account for account in self.accounts}

    @functools.cached_property
    def _routes_by_service(self) -> abc.Mapping[str, list[Route]]:
        """Routes of each service, the one that decides first."""
        routes: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=_precedence):
            routes.setdefault(route.service, []).append(route)
        return routes

    @functools.cached_property
    def route_table(self) -> hosts.RouteTable:
        """Finds the route of a call by host and path."""
        return hosts.RouteTable(routes=self.host_routes)

    def pools_of(self, service: str) -> tuple[Pool, ...]:
        """Return the pools of a service, in the document's order."""
        return tuple(pool for pool in self.pools if pool.service == service)

    def route_for(self, service: str, method: str, path: str) -> Route | None:
        """Return the route that decides a call, or ``None``.

        An exact path goes before one with ``*``, a longer before a shorter.

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
        for index, service in enumerate(self.services):
            yield from self._check_service(service, f'services[{index}]')
        for index, pool in enumerate(self.pools):
            yield from self._check_pool(pool, f'pools[{index}]')

    def _find_duplicates(self) -> abc.Iterator[exceptions.Problem]:
        for path in ('services', 'pools', 'priorities', 'accounts'):
            names = [entry.name for entry in getattr(self, path)]
            yield from models.find_duplicates(names, path, 'name')
        ranks = [priority.rank for priority in self.priorities]
        yield from models.find_duplicates(ranks, 'priorities', 'rank')
        calls = [
            f'{route.service} {route.method} {route.path}'
            for route in self.routes
        ]
        yield from models.find_duplicates(calls, 'routes', 'path')
        digests = [account.key_sha256 for account in self.accounts]
        yield from models.find_duplicates(digests, 'accounts', 'key_sha256')

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
        for index, account in enumerate(self.accounts):
            path = f'accounts[{index}]'
            for place, service in enumerate(account.services):
                yield from models.find_unknown(
                    service, services, f'{path}.services[{place}]'
                )
            yield from models.find_unknown(
                account.priority, priorities, f'{path}.priority'
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
    """Return the document that JSON describes.

    :raises InvalidInput: with every problem; a document of another version
        is told only that.
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
    # ``True`` equals 1, but is no version.
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
