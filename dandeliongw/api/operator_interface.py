"""The interface between the operators' API or console and the instance.

The HTTP API and the console depend only on :class:`Control`. The instance
implements it with the replicated register, and tests with a dictionary.
"""

import typing

import msgspec


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """A revision of the document, confirmed by a majority of voters.

    :param revision: 0 before the first change; each change adds one.
    :param document: canonical JSON, see ``document.document_bytes``.
    :param author: the operator who made the change; empty for revision 0.
    """

    revision: int
    document: bytes
    author: str


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """The change was accepted, now or by an earlier request.

    :param revision: the revision that the change created.
    :param repeated: whether this is the result of an earlier request with
        the same change id.
    """

    revision: int
    repeated: bool


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """Another change was accepted first; nothing was applied.

    :param current: the accepted configuration.
    """

    current: Configuration


class Overtaken(msgspec.Struct, frozen=True, kw_only=True):
    """A change with this order number or a higher one is stored already.

    :param order: the stored order number.
    """

    order: int


class ChangeIdReused(msgspec.Struct, frozen=True, kw_only=True):
    """The change id belongs to another change; nothing was applied."""

    change_id: str


class Unavailable(msgspec.Struct, frozen=True, kw_only=True):
    """No majority answered in time; a proposed change may still take effect.

    :param message: one sentence to show to the operator.
    """

    message: str


class InForce(typing.TypedDict):
    """The progress of a revision over the instances.

    ``confirmed`` instances use this revision or a later one. ``expired``
    instances are disconnected and have stopped admitting work. The others
    are pending.
    """

    revision: int
    confirmed: int
    expired: int
    instances: int


class InstanceStatus(typing.TypedDict):
    """One instance, from the view of the answering instance."""

    instance_id: str
    data_centre: str
    region: str
    voter: bool
    heard: bool
    revision: int | None


class LeaseStatus(typing.TypedDict):
    """The holder of one lease, such as that of a cell."""

    name: str
    holder: str | None
    epoch: int


class PoolStatus(typing.TypedDict):
    """Slots and queue length of a pool, summed over the cells known here."""

    name: str
    service: str
    backends: int
    slots: int
    used: int
    queue: int


class Status(typing.TypedDict):
    """The answer to ``GET /v1/status``.

    ``disks`` has the voting disks by instance id; ``joining`` has the set
    that will replace them, and is empty if no replacement is in progress.
    """

    instance_id: str
    revision: int
    author: str
    in_force: InForce
    instances: list[InstanceStatus]
    disks: dict[str, str]
    joining: dict[str, str]
    leases: list[LeaseStatus]
    pools: list[PoolStatus]


class BackendStatus(typing.TypedDict):
    """One backend server, from the view of the answering instance."""

    backend_id: str
    service: str
    role: str
    url: str
    data_centre: str
    state: str
    slots: int
    used: int
    checks_fence: bool


class HistoryEntry(typing.TypedDict):
    """One accepted change; ``time`` is in ISO 8601, ``None`` if unknown."""

    revision: int
    author: str
    change_id: str
    time: str | None


#: Pattern of a call's fingerprint.
CALL_PATTERN = '^[0-9a-f]{32}$'
#: Longest reason that an operator may give when a quarantine is lifted.
MAX_REASON_CHARACTERS = 200


class EndEntry(typing.TypedDict):
    """A backend server that ended while it ran a call."""

    backend_id: str
    told_by: str
    age_s: float


class LiftEntry(typing.TypedDict):
    """Who lifted a quarantine, and why."""

    operator: str
    reason: str
    age_s: float


class SuspectEntry(typing.TypedDict):
    """A call, or a part of prompts, that is suspected of ending servers.

    ``call`` is its fingerprint, ``kind`` is ``call`` or ``part``. ``held_s``
    is the remaining time of its quarantine in seconds, 0 if it may be sent.
    ``ends`` lists the ends that count against it; ``cleared`` is the number of
    those that no longer do.
    """

    call: str
    kind: typing.Literal['call', 'part']
    held_s: float
    ends: list[EndEntry]
    cleared: int
    lifted: LiftEntry | None


ProposeResult = Applied | Conflict | ChangeIdReused | Unavailable


class Control(typing.Protocol):
    """The operations that operators can use; called from HTTP threads.

    Every method returns within a bounded time.
    """

    def current(self) -> Configuration | Unavailable:
        """Return the accepted configuration, as a majority confirms it."""
        ...

    def propose(
        self,
        *,
        change_id: str,
        author: str,
        expected_revision: int,
        document: bytes,
    ) -> ProposeResult:
        """Propose the document as the revision after the expected one.

        :param document: canonical JSON of a validated document.
        """
        ...

    def status(self) -> Status: ...

    def backends(self) -> list[BackendStatus]: ...

    def history(self) -> list[HistoryEntry]:
        """Return the recorded accepted changes, newest first."""
        ...

    def suspects(self) -> list[SuspectEntry]:
        """Return what is suspected of ending backend servers."""
        ...

    def lift(self, *, call: str, operator: str, reason: str) -> bool:
        """Lift a quarantine, at every instance.

        :param call: fingerprint of the call, or part of prompts.
        :returns: whether this instance has records of it.
        """
        ...

    def in_force(self, revision: int) -> InForce: ...
