"""What presence takes in, gives out and sends.

All of it is re-exported by :mod:`.presence`, which tells the protocol.
"""

import enum

import msgspec


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


class BackendStart(msgspec.Struct, frozen=True, kw_only=True):
    """One start of a backend server.

    :param incarnation: grows at every start.
    """

    backend_id: str
    incarnation: int


class BackendAnnouncement(msgspec.Struct, frozen=True, kw_only=True):
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


class BackendLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load report; it lags."""

    running: int
    waiting: int
    queued_tokens: int
    slots_used: int
    kv_bytes: int


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change in an engine's prefix cache."""

    kind: CacheEventKind
    prefix: str


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Changes in order.

    :param first: number of the first of them; numbers grow by one.
    """

    first: int
    events: tuple[CacheEvent, ...]


class BackendRenewal(msgspec.Struct, frozen=True, kw_only=True):
    """A renewal on its way.

    :param age_s: seconds since an instance received it, when it was sent on.
    """

    backend_id: str
    incarnation: int
    sequence: int
    load: BackendLoad | None
    cache_events: CacheEvents | None
    age_s: float


class BackendDeparture(msgspec.Struct, frozen=True, kw_only=True):
    """A leave on its way."""

    backend_id: str
    incarnation: int
    sequence: int


# Events.


class Announced(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server announced itself to this instance over HTTP.

    :param ticket: of the :class:`.parts.Complete` with the outcome.
    """

    now: float
    announcement: BackendAnnouncement
    ticket: str


class Renewed(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server renewed its lease at this instance over HTTP."""

    now: float
    backend_id: str
    incarnation: int
    sequence: int
    load: BackendLoad | None
    cache_events: CacheEvents | None
    ticket: str


class Left(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server told this instance over HTTP that it leaves.

    :param incarnation: the start that leaves; ``None`` if it did not say.
    """

    now: float
    backend_id: str
    incarnation: int | None
    sequence: int
    ticket: str


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server says here goes to these instances from now on.

    To be given after each accepted announcement and whenever the instances
    that dispatch to it change.
    """

    now: float
    backend_id: str
    to: tuple[str, ...]


class SetInstances(msgspec.Struct, frozen=True, kw_only=True):
    """These instances are alive; each is told of every leave."""

    now: float
    instance_ids: tuple[str, ...]


# Effects.


class BackendChanged(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server may get work from now on, or may not any more."""

    backend_id: str
    incarnation: int
    present: bool


class CacheHints(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server's cache holds, as a hint.

    :param after_gap: events before these were lost, so that what was known
        of this cache is stale.
    """

    backend_id: str
    incarnation: int
    events: tuple[CacheEvent, ...]
    after_gap: bool


# Messages.


class Presented(msgspec.Struct, frozen=True, kw_only=True):
    """An announcement, to an instance that dispatches."""

    announcement: BackendAnnouncement
    age_s: float


class PresenceBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Renewals, and leaves that the receiver must know before any of them."""

    renewals: tuple[BackendRenewal, ...]
    departures: tuple[BackendDeparture, ...]


class PresenceUnknown(msgspec.Struct, frozen=True, kw_only=True):
    """Renewals of these came, but never an announcement."""

    backend_ids: tuple[str, ...]


#: For the codec of whoever embeds this part.
MESSAGES = (Presented, PresenceBatch, PresenceUnknown)
