"""Routes by host and path, whose calls are passed on unchanged.

They stand in the document beside the routes by service. The method, the
path, the query and the body of such a call go to a backend server as they
came, and its answer goes back as it came.
"""

from collections import abc
import functools
import typing

import pydantic

from . import exceptions
from . import models

#: Whether a call may run a second time after a first run may have begun.
Repeat = typing.Literal['always', 'never', 'resume']

Host = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[a-z0-9.-]{1,253}$')
]
#: Whole segments: ``/a/`` matches ``/a/b`` and not ``/ab``.
Prefix = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^/([!-.0->@-~]+/)*$')
]


class Target(models.Model):
    """A service that a route's calls go to."""

    service: models.Name
    """The service."""
    weight: models.NotNegativeInt = 1
    """Its part of the calls, against the weights of the others."""


class HostRoute(models.Model):
    """Calls of one host below one path."""

    name: models.Name
    """What logs call it."""
    host: Host
    """Of the ``Host`` header, in lower case, without a port."""
    path_prefix: Prefix
    """Begins and ends with a slash; the longest one that fits decides."""
    targets: tuple[Target, ...]
    """The services, by weight."""
    repeat: Repeat
    """``resume``: only a stream that goes on where it broke off."""
    max_runs: models.PositiveInt
    """Backend servers that one call may run on, the first included."""
    timeout_s: models.Positive
    """The longest that a call may take in all."""
    target_s: models.Positive
    """The time to the answer, or its first piece, that is aimed at."""
    priority: models.Name
    """One of the document's priorities."""
    patience_s: models.Positive | None = None
    """Callers leave a stream on which nothing came for so long."""

    @functools.cached_property
    def total_weight(self) -> int:
        """All weights together."""
        return sum(target.weight for target in self.targets)

    def choose(self, draw: int) -> str:
        """Return a service, by weight.

        :param draw: 64 random bits.
        """
        left = draw % self.total_weight
        for target in self.targets:
            left -= target.weight
            if left < 0:
                return target.service
        raise AssertionError('the weights add up to their total')


class BorderLimits(models.Model):
    """What callers may send, and how slowly."""

    max_header_bytes: models.PositiveInt = 65536
    """Request line and headers."""
    max_body_bytes: models.PositiveInt = 8 << 20
    """The longest body."""
    header_timeout_s: models.Positive = 10.0
    """From a call's first byte to its headers' end, however slowly."""
    idle_timeout_s: models.Positive = 30.0
    """Silence until a kept connection is closed."""


class RouteTable:
    """Finds the route of a call.

    :param routes: as they stand in the document.
    """

    def __init__(self, *, routes: abc.Iterable[HostRoute]) -> None:
        self._routes_by_host: dict[str, list[HostRoute]] = {}
        for route in sorted(routes, key=lambda each: -len(each.path_prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of the path.

        :param host: in lower case, without a port.
        :param path: as it was sent, without the query.
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
    """Yield what is wrong between routes and the rest of the document."""
    places = [f'{each.host}{each.path_prefix}' for each in routes]
    yield from models.duplicates(places, 'host_routes', 'path_prefix')
    for index, route in enumerate(routes):
        path = f'host_routes[{index}]'
        yield from models.missing(
            route.priority, priorities, f'{path}.priority'
        )
        for place, target in enumerate(route.targets):
            where = f'{path}.targets[{place}].service'
            yield from models.missing(target.service, services, where)
        if not route.total_weight:
            yield exceptions.Problem(
                path=f'{path}.targets',
                given='the weights add up to 0',
                allowed='at least one must be more than 0',
            )
