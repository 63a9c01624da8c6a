"""The interface between an instance and the platform that it runs on.

All decisions, state and recovery are in this package; a platform adapter only
translates between protocols. Adapters are implemented outside this package
and passed to :func:`dandeliongw.server.serve`.
"""

from collections import abc
import typing

import msgspec

from . import answer_memory
from . import engine
from . import paths as paths_module
from . import settings as settings_module
from .api import backends
from .api import gateway
from .api import operator_interface
from .coordination import membership
from .entry import relay

Application = abc.Callable[
    [dict[str, typing.Any], abc.Callable], abc.Iterable[bytes]
]


class State(typing.Protocol):
    """State of the instance that an adapter's own ports may read."""

    @property
    def is_ready(self) -> bool:
        """Whether callers may be routed to this instance."""
        ...

    def entries(self) -> list[membership.ClientEndpoint]:
        """Return the instances that callers may use."""
        ...

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...


class PresenceFacade(typing.Protocol):
    """Accepts announcements and leaves of backend servers."""

    def announce(
        self, announcement: backends.Announcement
    ) -> backends.PresenceAnswer: ...

    def leave(self, leaving: backends.Leaving) -> None: ...


class Operators(typing.Protocol):
    """Returns the document and accepts numbered changes of it."""

    def current(
        self,
    ) -> operator_interface.Configuration | operator_interface.Unavailable: ...

    def propose_ordered(
        self, *, order: int, author: str, document: bytes
    ) -> (
        operator_interface.Applied
        | operator_interface.Overtaken
        | operator_interface.Unavailable
    ): ...


class ExtraPort(msgspec.Struct, frozen=True, kw_only=True):
    """An additional port that the platform adapter serves.

    :param name: name of the port in error messages.
    """

    name: str
    listen: settings_module.Listen
    application: Application


class Adapter(typing.Protocol):
    """What a platform implements."""

    @property
    def header_parser(self) -> gateway.HeaderParser: ...

    def use_paths(self, paths: paths_module.Paths) -> None:
        """Make the connections of calls along these paths.

        Called once, before the first call.
        """
        ...

    def use_memory(self, memory: answer_memory.AnswerMemory) -> None:
        """Account for what is held of answers.

        Called once, before the first call.
        """
        ...

    def backends(
        self, *, payload: relay.RequestPayload, metadata: gateway.CallMetadata
    ) -> relay.Backends:
        """Return the adapters that send one call to backend servers."""
        ...

    def engine_at(self, url: str, backend_id: str) -> engine.Engine:
        """Return the adapter that sends cancels and orders to an engine."""
        ...

    def control(
        self,
        *,
        inner: Application,
        presence_facade: PresenceFacade,
        operators: Operators,
    ) -> Application:
        """Return the control port's application.

        :param inner: serves all requests that are not the platform's own.
        """
        ...

    def ports(self, state: State) -> abc.Sequence[ExtraPort]: ...

    def read_seeds(self) -> abc.Sequence[settings_module.Address]:
        """Return the current seeds; called repeatedly."""
        ...
