"""Routes by host and path, whose calls are passed on unchanged.

They are part of the document, like the routes by service. Method, path, query
and body of such a call go to a backend server unchanged, and its answer goes
to the caller unchanged.
"""

from collections import abc
import functools
import typing

import pydantic

from . import exceptions
from . import models

#: Whether a call may be retried after an attempt that may have run.
Repeat = typing.Literal['always', 'never', 'resume']

Host = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[a-z0-9.-]{1,253}$')
]
#: Whole segments: ``/a/`` matches ``/a/b`` and not ``/ab``.
Prefix = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^/([!-.0->@-~]+/)*$')
]


class Target(models.Model):
    """A service that calls of a route are sent to."""

    service: models.Name
    """The service."""
    weight: models.NonNegativeInt = 1
    """Its share of the calls, relative to the weights of the other targets."""


class HostRoute(models.Model):
    """A route for the calls to one host below one path."""

    name: models.Name
    """The name of the route in log lines."""
    host: Host
    """The host in the ``Host`` header, in lower case, without a port."""
    path_prefix: Prefix
    """Begins and ends with a slash; the longest matching prefix is used."""
    targets: tuple[Target, ...]
    """The services, chosen by weight."""
    repeat: Repeat
    """Retries after a possible run; ``resume``: only to continue a stream."""
    max_runs: models.PositiveInt
    """Most backend servers that may run a call, including the first."""
    timeout_s: models.Positive
    """Maximum total duration of a call."""
    target_s: models.Positive
    """Target latency until the answer, or until its first piece."""
    priority: models.Name
    """One of the document's priorities."""
    patience_s: models.Positive | None = None
    """Callers abandon a stream after this time without data."""
    allows_anonymous: bool = False
    """Whether calls without a key are accepted; matters only if calls by host
    need one."""

    @functools.cached_property
    def total_weight(self) -> int:
        """Sum of all weights."""
        return sum(target.weight for target in self.targets)

    def choose(self, draw: int) -> str:
        """Return a service, chosen by weight.

        :param draw: 64 random bits.
        """
        left = draw % self.total_weight
        for target in self.targets:
            left -= target.weight
            if left < 0:
                return target.service
        raise AssertionError('the weights add up to their total')


class BorderLimits(models.Model):
    """Limits on the size and the speed of callers' requests."""

    max_header_bytes: models.PositiveInt = 65536
    """Maximum size of request line and headers."""
    max_body_bytes: models.PositiveInt = 8 << 20
    """Maximum size of a body."""
    header_timeout_s: models.Positive = 10.0
    """Maximum time from a request's first byte to the end of its headers."""
    idle_timeout_s: models.Positive = 30.0
    """Time after which an idle persistent connection is closed."""


class RouteTable:
    """Finds the route of a call.

    :param routes: the routes of the document, in any order.
    """

    def __init__(self, *, routes: abc.Iterable[HostRoute]) -> None:
        self._routes_by_host: dict[str, list[HostRoute]] = {}
        for route in sorted(routes, key=lambda each: -len(each.path_prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest matching prefix of the path.

        :param host: in lower case, without a port.
        :param path: path as the caller sent it, without the query.
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def find_problems(
    routes: abc.Sequence[HostRoute],
    services: abc.Collection[str],
    priorities: abc.Collection[str],
) -> abc.Iterator[exceptions.Problem]:
    """Yield inconsistencies of the routes with the rest of the document."""
    locations = [f'{each.host}{each.path_prefix}' for each in routes]
    yield from models.find_duplicates(locations, 'host_routes', 'path_prefix')
    for index, route in enumerate(routes):
        path = f'host_routes[{index}]'
        yield from models.find_unknown(
            route.priority, priorities, f'{path}.priority'
        )
        for position, target in enumerate(route.targets):
            target_path = f'{path}.targets[{position}].service'
            yield from models.find_unknown(
                target.service, services, target_path
            )
        if not route.total_weight:
            yield exceptions.Problem(
                path=f'{path}.targets',
                given='the weights add up to 0',
                allowed='at least one must be more than 0',
            )
