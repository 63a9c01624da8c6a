"""What presence takes in, gives out and sends.

All of it is re-exported by :mod:`.presence`, which tells the protocol.
"""

import dataclasses
import enum


class BackendRole(enum.StrEnum):
    """What a backend server does."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


class CacheEventKind(enum.StrEnum):
    """What became of a prefix in an engine's cache."""

    STORED = 'stored'
    EVICTED = 'evicted'


class PresenceOutcome(enum.StrEnum):
    """The answer to a backend server."""

    ACCEPTED = 'accepted'
    #: This instance does not know it: it has to announce itself here.
    ANNOUNCE_AGAIN = 'announce_again'
    #: Something newer was said already, perhaps by a later process.
    OLD = 'old'
    #: It said this before it left. Only what has a higher sequence or
    #: incarnation than the leave, an announcement first, brings it back.
    LEFT = 'left'


# Parts of events and messages.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendAnnouncement:
    """What a backend server says of itself.

    :param incarnation: grows at every start of it.
    :param sequence: grows with all that it says in one incarnation.
    :param slots: requests that it runs at once.
    :param checks_fence: it refuses orders with an old fencing number.
    """

    backend_id: str
    incarnation: int
    sequence: int
    service: str
    role: BackendRole
    url: str
    data_centre: str
    slots: int
    checks_fence: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendLoad:
    """A load report; it lags."""

    running: int
    waiting: int
    queued_tokens: int
    slots_used: int
    kv_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """One change in an engine's prefix cache."""

    kind: CacheEventKind
    prefix: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvents:
    """Changes in order.

    :param first: number of the first of them; numbers grow by one.
    """

    first: int
    events: tuple[CacheEvent, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendRenewal:
    """A renewal on its way.

    :param age_s: seconds since an instance received it, when it was sent on.
    """

    backend_id: str
    incarnation: int
    sequence: int
    load: BackendLoad | None
    cache_events: CacheEvents | None
    age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendDeparture:
    """A leave on its way."""

    backend_id: str
    incarnation: int
    sequence: int


# Events.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announced:
    """A backend server announced itself to this instance over HTTP.

    :param ticket: of the :class:`.parts.Complete` with the outcome.
    """

    now: float
    announcement: BackendAnnouncement
    ticket: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Renewed:
    """A backend server renewed its lease at this instance over HTTP."""

    now: float
    backend_id: str
    incarnation: int
    sequence: int
    load: BackendLoad | None
    cache_events: CacheEvents | None
    ticket: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Left:
    """A backend server told this instance over HTTP that it leaves.

    :param incarnation: the start that leaves; ``None`` if it did not say.
    """

    now: float
    backend_id: str
    incarnation: int | None
    sequence: int
    ticket: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """What a backend server says here goes to these instances from now on.

    To be given after each accepted announcement and whenever the instances
    that dispatch to it change.
    """

    now: float
    backend_id: str
    to: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetInstances:
    """These instances are alive; each is told of every leave."""

    now: float
    instance_ids: tuple[str, ...]


# Effects.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendChanged:
    """A backend server may get work from now on, or may not any more."""

    backend_id: str
    incarnation: int
    present: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CacheHints:
    """What a backend server's cache holds, as a hint.

    :param after_gap: events before these were lost, so that what was known
        of this cache is stale.
    """

    backend_id: str
    incarnation: int
    events: tuple[CacheEvent, ...]
    after_gap: bool


# Messages.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Presented:
    """An announcement, to an instance that dispatches."""

    announcement: BackendAnnouncement
    age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PresenceBatch:
    """Renewals, and leaves that the receiver must know before any of them."""

    renewals: tuple[BackendRenewal, ...]
    departures: tuple[BackendDeparture, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PresenceUnknown:
    """Renewals of these came, but never an announcement."""

    backend_ids: tuple[str, ...]


#: For the codec of whoever embeds this part.
MESSAGES = (Presented, PresenceBatch, PresenceUnknown)
