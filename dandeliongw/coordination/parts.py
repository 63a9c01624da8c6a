"""What every coordination part takes in and gives out.

A part is a state machine with three methods:

* ``handle(event)`` changes its state and returns a list of effects;
* ``restore(record)`` takes one journal record back in at a start;
* ``snapshot()`` returns the records from which ``restore`` would rebuild the
  part, so that a journal can be compacted.

``now`` in every event is the instance's own monotonic clock in seconds. It
is never compared with another instance's.
"""

from collections import abc
import typing

import msgspec


class Ticked(msgspec.Struct, frozen=True, kw_only=True):
    """Time has passed.

    :param now: monotonic seconds.
    :param entropy: 64 fresh random bits, for jitter and identities.
    """

    now: float
    entropy: int


class Received(msgspec.Struct, frozen=True, kw_only=True):
    """A message came from another instance (or from this one to itself).

    :param sender: the instance id that the sender proved.
    :param message: a message data class of the part it is addressed to.
    """

    now: float
    sender: str
    message: typing.Any


class Persisted(msgspec.Struct, frozen=True, kw_only=True):
    """The records of the :class:`Persist` with this token are synced."""

    now: float
    token: str


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """Send a message once, at most; it may be lost, late or doubled.

    :param to: an instance id; one's own id is delivered locally.
    :param by_datagram: it is small, and its sender bears a loss better than
        a connection to each receiver; a transport without datagrams may send
        it as any other.
    """

    to: str
    message: typing.Any
    by_datagram: bool = False


class Persist(msgspec.Struct, frozen=True, kw_only=True):
    """Append records to the journal and sync it, then post ``Persisted``.

    Nothing that tells others of these records may be sent before then.
    """

    token: str
    records: tuple[typing.Any, ...]


class Complete(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a local request that carried ``ticket``."""

    ticket: str
    result: typing.Any


class Part(typing.Protocol):
    """A coordination part, as the daemon's reducer and embedders see it."""

    def handle(self, event: typing.Any) -> list[typing.Any]: ...

    def restore(self, record: typing.Any) -> None: ...

    def snapshot(self) -> abc.Sequence[typing.Any]: ...
