"""The interface of the coordination parts: common events and effects.

A part is a state machine with three methods:

* ``handle(event)`` changes its state and returns a list of effects;
* ``restore(record)`` applies one journal record at a start;
* ``snapshot()`` returns the records from which ``restore`` would rebuild the
  part, so that a journal can be compacted.

``now`` in every event is the time of the instance's own monotonic clock, in
seconds. It is never compared with another instance's.
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
    """A message arrived from another instance, or from this one to itself.

    :param sender: the authenticated instance id of the sender.
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
    """Send a message, best effort: it may be lost, delayed or duplicated.

    :param to: an instance id; messages to this instance are delivered
        locally.
    :param by_datagram: whether to prefer a datagram: the message is small,
        and its loss costs the sender less than a connection to each receiver.
        A transport without datagrams may send it as any other.
    """

    to: str
    message: typing.Any
    by_datagram: bool = False


class Persist(msgspec.Struct, frozen=True, kw_only=True):
    """Append records to the journal and sync it, then post ``Persisted``.

    No message that depends on these records may be sent before then.
    """

    token: str
    records: tuple[typing.Any, ...]


class Complete(msgspec.Struct, frozen=True, kw_only=True):
    """The result of the local request that carried ``ticket``."""

    ticket: str
    result: typing.Any


class Part(typing.Protocol):
    """The interface of a part to the daemon's reducer and to embedders."""

    def handle(self, event: typing.Any) -> list[typing.Any]: ...

    def restore(self, record: typing.Any) -> None: ...

    def snapshot(self) -> abc.Sequence[typing.Any]: ...
