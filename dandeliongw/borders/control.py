"""What the operators' border asks of the rest of the daemon.

The HTTP API and the console know only :class:`Control`; the daemon's server
implements it over the register, and tests over a dictionary.
"""

import typing

import msgspec


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """A revision of the document, as a majority of voters confirmed it.

    :param revision: 0 before the first change; each change adds one.
    :param document: canonical JSON, see ``document.document_bytes``.
    :param author: the operator whose change it was; empty for revision 0.
    """

    revision: int
    document: bytes
    author: str


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """The change was accepted, now or when it was sent before.

    :param revision: the revision that the change made.
    :param repeated: whether this is the first result, told again.
    """

    revision: int
    repeated: bool


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """Another change came first; nothing was applied.

    :param current: what is accepted now.
    """

    current: Configuration


class Overtaken(msgspec.Struct, frozen=True, kw_only=True):
    """A change with this number or a higher one is held.

    :param order: the number that is held.
    """

    order: int


class ChangeIdReused(msgspec.Struct, frozen=True, kw_only=True):
    """The change id names another change; nothing was applied."""

    change_id: str


class Unavailable(msgspec.Struct, frozen=True, kw_only=True):
    """No majority answered in time; a change may still take effect.

    :param message: one sentence for a person.
    """

    message: str


class InForce(typing.TypedDict):
    """How far a revision has come.

    ``confirmed`` instances work by it or a later one, ``expired`` ones are
    out of touch and have stopped admitting work; the rest is waited for.
    """

    revision: int
    confirmed: int
    expired: int
    instances: int


class InstanceStatus(typing.TypedDict):
    """One instance, as the answering instance sees it."""

    instance_id: str
    data_centre: str
    region: str
    voter: bool
    heard: bool
    revision: int | None


class LeaseStatus(typing.TypedDict):
    """Who owns a cell or another leased job."""

    name: str
    holder: str | None
    epoch: int


class PoolStatus(typing.TypedDict):
    """Slots and queue of a pool, over the cells known here."""

    name: str
    service: str
    backends: int
    slots: int
    used: int
    queue: int


class Status(typing.TypedDict):
    """The answer to ``GET /v1/status``.

    ``disks`` are those that vote, by instance id; ``joining`` the set that
    is to replace them, empty when no replacement is under way.
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
    """One backend server, as the answering instance sees it."""

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
    """One accepted change; ``time`` is ISO 8601, or ``None`` if unknown."""

    revision: int
    author: str
    change_id: str
    time: str | None


#: Of a call's fingerprint.
CALL_PATTERN = '^[0-9a-f]{32}$'
#: Of the reason for which a call may be sent again.
MOST_REASON_CHARACTERS = 200


class EndEntry(typing.TypedDict):
    """A backend server that ended under a call."""

    backend_id: str
    told_by: str
    age_s: float


class LiftEntry(typing.TypedDict):
    """Who let a call through again, and why."""

    operator: str
    reason: str
    age_s: float


class SuspectEntry(typing.TypedDict):
    """A call under which backend servers ended.

    ``call`` is its fingerprint; ``held_s`` 0 where it may be sent; ``ends``
    has those that count, ``cleared`` how many don't any more.
    """

    call: str
    held_s: float
    ends: list[EndEntry]
    cleared: int
    lifted: LiftEntry | None


ProposeResult = Applied | Conflict | ChangeIdReused | Unavailable


class Control(typing.Protocol):
    """The daemon, as operators see it; called from HTTP threads.

    Every method returns within a bounded time.
    """

    def current(self) -> Configuration | Unavailable:
        """Return the accepted document after a majority's word."""
        ...

    def propose(
        self,
        *,
        change_id: str,
        author: str,
        expected_revision: int,
        document: bytes,
    ) -> ProposeResult:
        """Make the document the next revision after the expected one.

        :param document: canonical JSON of a document that was validated.
        """
        ...

    def status(self) -> Status: ...

    def backends(self) -> list[BackendStatus]: ...

    def history(self) -> list[HistoryEntry]:
        """Return the accepted changes that are still known, newest first."""
        ...

    def suspects(self) -> list[SuspectEntry]:
        """Return the calls under which backend servers ended."""
        ...

    def lift(self, *, call: str, operator: str, reason: str) -> bool:
        """Let a call be sent again, at every instance.

        :returns: whether anything is known of the call here.
        """
        ...

    def in_force(self, revision: int) -> InForce: ...
