"""What a platform brings to an instance that runs on it.

The product decides, remembers and recovers; an adapter only translates. It
stands outside this package and is handed to :func:`dandeliongw.server.serve`.
"""

from collections import abc
import typing

import msgspec

from . import engine
from . import settings as settings_module
from .borders import backends
from .borders import control
from .borders import gateway
from .coordination import membership
from .entry import relay

Application = abc.Callable[
    [dict[str, typing.Any], abc.Callable], abc.Iterable[bytes]
]


class State(typing.Protocol):
    """What an adapter's own ports may ask of the instance."""

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        ...

    def entries(self) -> list[membership.Entry]:
        """Return the instances that callers may use."""
        ...

    def metrics(self) -> bytes:
        """Return the text that Prometheus reads."""
        ...


class Desk(typing.Protocol):
    """Takes in what backend servers say of themselves."""

    def announce(
        self, announcement: backends.Announcement
    ) -> backends.PresenceAnswer: ...

    def leave(self, leaving: backends.Leaving) -> None: ...


class Operators(typing.Protocol):
    """Takes numbered changes of the document, and shows it."""

    def current(self) -> control.Configuration | control.Unavailable: ...

    def propose_ordered(
        self, *, order: int, author: str, document: bytes
    ) -> control.Applied | control.Overtaken | control.Unavailable: ...


class ExtraPort(msgspec.Struct, frozen=True, kw_only=True):
    """A port that the platform wants beside those of the product.

    :param name: for messages.
    """

    name: str
    listen: settings_module.Listen
    application: Application


class Adapter(typing.Protocol):
    """All that a platform brings."""

    @property
    def dialect(self) -> gateway.Dialect: ...

    def backends(
        self, *, work: relay.Work, facts: gateway.Facts
    ) -> relay.Backends:
        """Return what sends one call to backend servers."""
        ...

    def engine_at(self, url: str, backend_id: str) -> engine.Engine:
        """Return what sends cancels and orders to an engine."""
        ...

    def control(
        self, *, inner: Application, desk: Desk, operators: Operators
    ) -> Application:
        """Return the control port's application.

        :param inner: takes what is not the platform's.
        """
        ...

    def ports(self, state: State) -> abc.Sequence[ExtraPort]: ...

    def read_seeds(self) -> abc.Sequence[settings_module.Address]:
        """Return the seeds as they are now; called now and then."""
        ...
