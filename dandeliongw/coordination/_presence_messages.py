"""Events, effects and messages of presence.

All of them are re-exported by :mod:`.presence`, which describes the protocol.
"""

import enum

import msgspec


class BackendRole(enum.StrEnum):
    """The kind of work that a backend server does."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


class CacheEventKind(enum.StrEnum):
    """The change of a prefix in an engine's cache."""

    STORED = 'stored'
    EVICTED = 'evicted'


class AbsenceCause(enum.StrEnum):
    """Why a backend server no longer receives work."""

    LEFT = 'it left'
    EXPIRED = 'no renewal arrived in time'
    RESTARTED = 'a new start of it was announced'
    REPLACED = 'another process started at its address'


class PresenceOutcome(enum.StrEnum):
    """The answer to a backend server."""

    ACCEPTED = 'accepted'
    #: Unknown at this instance: it has to announce itself here.
    ANNOUNCE_AGAIN = 'announce_again'
    #: A newer message was received before, perhaps of a later process.
    OLD = 'old'
    #: The message precedes the backend server's leave. It becomes present
    #: again only by an announcement with a higher sequence or incarnation
    #: than the leave.
    LEFT = 'left'
    #: Too few voters have stored the leave; the backend server has to send it
    #: again, to any instance.
    NOT_KEPT = 'not_kept'


# Parts of events and messages.


class BackendStart(msgspec.Struct, frozen=True, kw_only=True):
    """One start of a backend server.

    :param incarnation: grows at every start.
    """

    backend_id: str
    incarnation: int


class BackendAnnouncement(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server publishes about itself.

    :param incarnation: grows at every start.
    :param sequence: grows with every message within one incarnation.
    :param slots: maximum number of requests that it runs concurrently.
    :param checks_fence: whether it rejects orders with a stale fencing token.
    :param software_version: of the program that it runs, compared as text;
        ``''`` if it states none.
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
    software_version: str = ''


class BackendLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load report; it may be out of date."""

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
    """Changes in an engine's prefix cache, in order.

    :param first: number of the first event; numbers grow by one.
    """

    first: int
    events: tuple[CacheEvent, ...]


class BackendRenewal(msgspec.Struct, frozen=True, kw_only=True):
    """A renewal in a message between instances.

    :param age_s: seconds from its receipt by the front until it was
        forwarded.
    """

    backend_id: str
    incarnation: int
    sequence: int
    load: BackendLoad | None
    cache_events: CacheEvents | None
    age_s: float


class BackendDeparture(msgspec.Struct, frozen=True, kw_only=True):
    """A leave in a message between instances."""

    backend_id: str
    incarnation: int
    sequence: int


# Events.


class Announced(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server announced itself to this instance over HTTP.

    :param ticket: of the :class:`.parts.Complete` whose result is the
        :class:`PresenceOutcome`.
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


#: Sequence of a leave that ends a start for good: above those of all its
#: announcements, also of those that arrive later.
LAST_SEQUENCE = 2**62


class Left(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server notified this instance over HTTP that it leaves.

    :param incarnation: of the start that leaves; ``None`` if not given.
    """

    now: float
    backend_id: str
    incarnation: int | None
    sequence: int
    ticket: str


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """Sets the instances to which a backend server's messages are forwarded.

    Posted after each accepted announcement and whenever the instances that
    dispatch to the backend server change.
    """

    now: float
    backend_id: str
    to: tuple[str, ...]


class SetInstances(msgspec.Struct, frozen=True, kw_only=True):
    """Sets the alive instances, to each of which every leave is sent.

    :param started_ids: those of them that have started since the last event.
    """

    now: float
    instance_ids: tuple[str, ...]
    started_ids: frozenset[str] = frozenset()


class SetVoters(msgspec.Struct, frozen=True, kw_only=True):
    """Sets the voters, a majority of which stores every leave."""

    now: float
    voter_ids: frozenset[str]


# Effects.


class BackendChanged(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server became present or absent, or altered while present.

    :param cause: why it is absent; ``None`` while it is present.
    """

    backend_id: str
    incarnation: int
    present: bool
    cause: AbsenceCause | None = None


class DepartureHeard(msgspec.Struct, frozen=True, kw_only=True):
    """This instance has learned of a leave.

    :param heard_from: the instance that sent it; this one if the backend
        server itself did.
    """

    departure: BackendDeparture
    heard_from: str


class DepartureAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """This instance has acknowledged a leave to its backend server.

    :param took_s: seconds since the backend server asked.
    :param stored_by: number of voters that have it on disk.
    :param lacking_ids: the instances that have not confirmed it.
    """

    departure: BackendDeparture
    took_s: float
    stored_by: int
    lacking_ids: tuple[str, ...]


class DepartureNotKept(msgspec.Struct, frozen=True, kw_only=True):
    """This instance could not acknowledge a leave in time.

    :param stored_by: number of voters known to have it on disk.
    :param voters: number of all voters.
    """

    departure: BackendDeparture
    stored_by: int
    voters: int


class CacheHints(msgspec.Struct, frozen=True, kw_only=True):
    """Changes in the prefix cache of a backend server, as a hint.

    :param after_gap: whether earlier events were lost, so that the known
        contents of this cache are stale.
    """

    backend_id: str
    incarnation: int
    events: tuple[CacheEvent, ...]
    after_gap: bool


# Messages.


class Presented(msgspec.Struct, frozen=True, kw_only=True):
    """An announcement, forwarded to a dispatching instance.

    :param age_s: seconds since the front last received a message of the
        backend server.
    """

    announcement: BackendAnnouncement
    age_s: float


class PresenceBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Renewals, and leaves that the receiver must apply before any of them.

    :param is_repeated: whether the leaves were sent before in vain. They are
        then confirmed over a connection, as datagrams may not get through.
    """

    renewals: tuple[BackendRenewal, ...]
    departures: tuple[BackendDeparture, ...]
    is_repeated: bool = False


class PresenceUnknown(msgspec.Struct, frozen=True, kw_only=True):
    """Reports renewals of backend servers without a known announcement."""

    backend_ids: tuple[str, ...]


class DeparturesConfirmed(msgspec.Struct, frozen=True, kw_only=True):
    """Confirms leaves that came in a batch without renewals."""

    departures: tuple[BackendDeparture, ...]


class DeparturesStored(msgspec.Struct, frozen=True, kw_only=True):
    """A voter has these leaves on its disk."""

    departures: tuple[BackendDeparture, ...]


class DepartureSpread(msgspec.Struct, frozen=True, kw_only=True):
    """Tells the voters which instances still lack a leave.

    Sent by the instance that got the leave from the backend server.
    """

    departure: BackendDeparture
    lacking_ids: tuple[str, ...]


#: Message classes to register with the codec.
MESSAGES = (
    Presented,
    PresenceBatch,
    PresenceUnknown,
    DeparturesConfirmed,
    DeparturesStored,
    DepartureSpread,
)
#: Classes of journal records, likewise.
RECORDS = (BackendDeparture,)
