"""The settings file of one instance, read when its process starts.

Settings hold the identity, addresses and limits of this instance. Services,
pools, routes and client accounts are in the shared document instead
(:mod:`dandeliongw.document`). Every time is in seconds, every size in bytes.
"""

from collections import abc
import functools
import ipaddress
import pathlib
import typing

import pydantic

from . import exceptions
from . import models

MIB = 1024 * 1024
MAX_PORT = 65535
#: More voters would cost more messages per change than their added fault
#: tolerance is worth.
MAX_VOTERS = 12

#: ``serve``: keep serving with the last confirmed document; ``refuse``:
#: refuse calls until the document is confirmed again.
Unconfirmed = typing.Literal['refuse', 'serve']
#: ``wait``: wait for the owner. ``place``: the entry assigns requests itself,
#: within its share of the backend servers' slots; this requires backend
#: servers that refuse requests beyond their capacity.
SilentOwner = typing.Literal['wait', 'place']
#: Less would hold the heads of a few answers only.
MIN_ANSWER_MEMORY_BYTES = MIB
AnswerMemory = typing.Annotated[
    int, pydantic.Field(ge=MIN_ANSWER_MEMORY_BYTES)
]
VoterCount = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_VOTERS)]
Port = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_PORT)]
LogLevel = typing.Literal['TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR']


def _check_ip(host: str) -> str:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError('must be an IP address, such as 10.0.1.5')
    return host


#: Instances connect to each other by IP address; DNS is never queried.
IpAddress = typing.Annotated[str, pydantic.AfterValidator(_check_ip)]


class Address(models.Model):
    """Where to listen; with port 0 the operating system assigns a port."""

    host: IpAddress
    """The IP address to listen on."""
    port: Port
    """0: the operating system assigns one."""

    def show(self) -> str:
        """Return ``host:port``, with an IPv6 address in brackets."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


class Listen(Address):
    """An HTTP port and its thread pool."""

    threads: models.PositiveInt = 200
    """Requests and streams that are served concurrently."""
    queue: models.PositiveInt = 64
    """Connections that may wait for a thread; more are refused."""
    advertised: IpAddress | None = None
    """The IP address announced to others, if it differs from ``host``."""


class ControlListen(Listen):
    """The port for backend servers and operators."""

    threads: models.PositiveInt = 16
    """Requests that are served concurrently."""


class PeerSettings(models.Model):
    """One instance, as the other instances reach it."""

    instance_id: models.Name
    """The same as in its own settings."""
    host: IpAddress
    """The IP address that other instances connect to."""
    port: Port
    """Its ``peer`` port."""
    data_centre: models.Name
    """The data centre of the instance."""
    region: models.Name
    """The region of that data centre."""
    voter: bool = False
    """Stores a replica of the register and of claims; needs a data folder."""


class Operator(models.Model):
    """A person who may read and change the document."""

    name: models.Name
    """Recorded as the author in the history of changes."""
    token_sha256: models.Sha256
    """SHA-256 of the operator's token; the token itself is never stored."""


class Limits(models.Model):
    """Limits of one instance; requests beyond them are refused at once."""

    max_body_bytes: models.PositiveInt = 8 * MIB
    """The longest request body."""
    max_requests: models.PositiveInt = 192
    """Concurrent requests; must be less than ``callers.threads``."""
    max_streams: models.PositiveInt = 160
    """Concurrent streams from model engines."""
    reserved_lookups: models.NonNegativeInt = 32
    """Threads that streams never use, so that lookups stay fast."""
    store_loads_per_s: models.Positive = 1.0
    """This instance's share of the weight store's load rate."""
    answer_memory_bytes: AnswerMemory | None = None
    """Memory for the answers of backend servers, all together; without it, a
    fifth of the machine's memory. If it is full, the largest answer that is
    being read is broken off."""
    max_outcome_bytes: models.PositiveInt = 65536
    """The longest recorded answer of a non-idempotent call."""
    max_claims: models.PositiveInt = 200_000
    """Keys of non-idempotent calls that a voter stores; further ones are
    refused."""


class Retries(models.Model):
    """The retry budget of a service, over all instances together.

    In any window, backend servers get at most ``part`` of the requests and
    ``saved`` more a second time, whatever the reason is.
    """

    part: models.Positive = 0.2
    """Retries that each request adds to the budget."""
    saved: models.Positive = 40.0
    """Retries in each window beyond these, so that the streams of an engine
    that fails can all be retried; each entry has an equal share."""
    window_s: models.Positive = 10.0
    """Length of a window in seconds."""


class RateTolerance(models.Model):
    """What accounts get beyond their rates before they are refused."""

    part: models.NonNegative = 0.0
    """Part of the rate and of the burst that is granted in addition."""
    amount: models.NonNegative = 0.0
    """Amount that is granted at once in addition, in each account's unit."""
    window_s: models.NonNegative = 0.0
    """An account may use its rate times this many seconds, plus its burst, in
    any window of this length; 0: the burst is all that it may use at once."""


class Overload(models.Model):
    """What protects the owner of a cell from more work than it can decide."""

    paces_bookings: bool = False
    """Whether entries bound the bookings that an owner has not answered."""
    owner_lag_s: models.Positive | None = None
    """Delay of its own ticks from which an owner declines new work before it
    looks for room, in seconds; without it, it never does."""


class Timeouts(models.Model):
    """Time-outs and intervals, all in seconds."""

    connect_s: models.Positive = 1.0
    """To open a connection."""
    first_byte_s: models.Positive = 10.0
    """From the end of the request to the first byte of the answer."""
    stall_s: models.Positive = 3.0
    """Time without data on an open connection before a new one is opened."""
    confirm_ttl_s: models.Positive = 5.0
    """How long requests are admitted after a majority of the voters has
    confirmed the revision."""
    entries_ttl_s: models.Positive = 10.0
    """How long clients may cache the list of entries."""
    lease_s: models.Positive = 2.0
    """Duration of a lease on slots that is not renewed."""
    lease_margin_s: models.Positive = 0.25
    """The holder stops using a lease this long before it expires."""
    key_proof_s: models.Positive | None = None
    """Calls with an account's key are refused if the document was confirmed
    longer ago than this; without it, ``unconfirmed`` alone decides."""
    presence_s: models.Positive = 3.0
    """A backend server without a renewal for this long gets no requests."""
    renew_s: models.Positive = 1.0
    """How often backend servers renew their announcement."""
    backend_drain_s: models.NonNegative = 0.0
    """How long a backend server goes on serving at least after its leave was
    acknowledged. One that ends sooner may have been ended by a call."""
    longest_order_s: models.Positive = 5.0
    """How long an engine may take to answer an order."""
    claim_retention_s: models.Positive = 86400.0
    """How long the recorded outcome of a call is returned to a resend."""
    first_configuration_s: models.Positive = 2.0
    """How long after the start requests wait for the first configuration."""
    shutdown_s: models.Positive = 60.0
    """How long a graceful shutdown waits for requests in flight."""

    def find_problems(self) -> abc.Iterator[exceptions.Problem]:
        pairs = (('lease_margin_s', 'lease_s'), ('renew_s', 'presence_s'))
        for short, long in pairs:
            if getattr(self, short) >= getattr(self, long):
                yield exceptions.Problem(
                    path=f'timeouts.{short}',
                    given=f'given {getattr(self, short)}',
                    allowed=(
                        f'must be less than timeouts.{long}, which is '
                        f'{getattr(self, long)}'
                    ),
                )


class Settings(models.Model):
    """The whole settings file of one instance."""

    instance_id: models.Name
    """Unique among all instances; never reused for another one."""
    data_centre: models.Name
    """The data centre of this instance."""
    region: models.Name
    """The region of that data centre."""
    data_folder: str | None = None
    """Folder for a voter's durable state; nothing is written elsewhere."""
    callers: Listen
    """The port for clients."""
    control: ControlListen
    """The port for backend servers and operators."""
    peer: Address
    """The address that other instances connect to."""
    tunnel: Address | None = None
    """The address at which this instance connects others to backend servers
    that they can't reach; without it, it serves none. Without ``peer_secret``,
    whoever reaches this address can connect through it."""
    peers: tuple[PeerSettings, ...] = ()
    """Every instance, this one included; not used together with ``seeds``."""
    seeds: tuple[Address, ...] = ()
    """Control addresses of instances that the list of all instances is
    fetched from."""
    bootstrap: bool = False
    """Set when the system starts for the first time: the seeds form its
    register."""
    regions_by_data_centre: dict[models.Name, models.Name] = {}
    """The region of every data centre; used together with ``seeds``."""
    takes_callers: bool = True
    """Whether this instance is listed as an entry for clients."""
    most_voters: VoterCount | None = None
    """Instances with a data folder become voters automatically, up to this
    number; without it the set of voters stays as it was formed."""
    moves_engines: bool = False
    """Whether owners may order engines to move to another pool."""
    silent_owner: SilentOwner = 'wait'
    """What an entry does while the owner of a cell doesn't answer."""
    unconfirmed: Unconfirmed = 'refuse'
    """What happens to calls while no majority confirms the document."""
    peer_secret: str | None = pydantic.Field(
        default=None, min_length=16, repr=False
    )
    """Shared secret that authenticates messages between instances."""
    operators: tuple[Operator, ...] = ()
    """Who may read and change the document."""
    backend_key_sha256: models.Sha256 | None = None
    """SHA-256 of the key that authenticates backend servers."""
    limits: Limits = Limits()
    """Limits of this instance."""
    retries: Retries = Retries()
    """The retry budget of the whole system."""
    rate_tolerance: RateTolerance = RateTolerance()
    """What accounts get beyond their rates."""
    overload: Overload = Overload()
    """Protection of the owners of cells."""
    timeouts: Timeouts = Timeouts()
    """Time-outs and intervals."""
    log_level: LogLevel = 'INFO'
    """The least severe level that is logged."""

    @functools.cached_property
    def peers_by_id(self) -> abc.Mapping[str, PeerSettings]:
        """All instances by id, this one included."""
        return {peer.instance_id: peer for peer in self.peers}

    @functools.cached_property
    def operators_by_token_sha256(self) -> abc.Mapping[str, Operator]:
        """All operators by the digest of their token."""
        return {entry.token_sha256: entry for entry in self.operators}

    @functools.cached_property
    def own_peer(self) -> Address:
        """The address that other instances use to connect to this one."""
        listed = self.peers_by_id.get(self.instance_id)
        if listed is None:
            return self.peer
        return Address(host=listed.host, port=listed.port)

    @functools.cached_property
    def all_regions_by_data_centre(self) -> abc.Mapping[str, str]:
        """The region of every data centre named in these settings."""
        listed = {peer.data_centre: peer.region for peer in self.peers}
        own = {self.data_centre: self.region}
        return {**self.regions_by_data_centre, **listed, **own}

    def find_problems(self) -> abc.Iterator[exceptions.Problem]:
        yield from self._find_duplicates()
        if self.seeds:
            yield from self._check_seeds()
        elif not self.peers:
            yield exceptions.Problem(
                path='peers',
                given='not given, nor seeds',
                allowed='give one of them, or no other instance is found',
            )
        else:
            yield from self._check_own_entry()
            yield from self._check_voters()
        yield from self._check_addresses()
        yield from self._check_limits()

    def _find_duplicates(self) -> abc.Iterator[exceptions.Problem]:
        ids = [peer.instance_id for peer in self.peers]
        yield from models.find_duplicates(ids, 'peers', 'instance_id')
        # Port 0 is assigned later, so peers with port 0 never collide.
        addresses = [
            Address(host=peer.host, port=peer.port).show()
            if peer.port
            else object()
            for peer in self.peers
        ]
        yield from models.find_duplicates(addresses, 'peers', 'port')
        names = [entry.name for entry in self.operators]
        yield from models.find_duplicates(names, 'operators', 'name')
        digests = [entry.token_sha256 for entry in self.operators]
        yield from models.find_duplicates(digests, 'operators', 'token_sha256')

    def _check_seeds(self) -> abc.Iterator[exceptions.Problem]:
        if self.peers:
            yield exceptions.Problem(
                path='peers',
                given='given together with seeds',
                allowed='give one of them: with seeds, peers are discovered',
            )
        region = self.regions_by_data_centre.get(self.data_centre)
        if region != self.region:
            yield exceptions.Problem(
                path='regions_by_data_centre',
                given=f'"{self.data_centre}" is in {region!r} there',
                allowed=f'must be in "{self.region}", as in region',
            )

    def _check_own_entry(self) -> abc.Iterator[exceptions.Problem]:
        own = self.peers_by_id.get(self.instance_id)
        if own is None:
            yield from models.find_unknown(
                self.instance_id, self.peers_by_id.keys(), 'instance_id'
            )
            return
        for field in ('data_centre', 'region'):
            mine, listed = getattr(self, field), getattr(own, field)
            if mine != listed:
                yield exceptions.Problem(
                    path=field,
                    given=f'given "{mine}"',
                    allowed=f'must be as in peers, which says "{listed}"',
                )
        if own.voter and self.data_folder is None:
            yield exceptions.Problem(
                path='data_folder',
                given='not given',
                allowed='a voter needs one: its state must survive restarts',
            )

    def _check_voters(self) -> abc.Iterator[exceptions.Problem]:
        count = sum(peer.voter for peer in self.peers)
        if not 1 <= count <= MAX_VOTERS:
            yield exceptions.Problem(
                path='peers',
                given=f'{count} of them have "voter": true',
                allowed=f'must be 1 to {MAX_VOTERS}; without one, no change '
                'can be accepted and no work be admitted',
            )

    def _check_addresses(self) -> abc.Iterator[exceptions.Problem]:
        path_by_address: dict[str, str] = {}
        for path in ('callers', 'control', 'peer'):
            address: Address = getattr(self, path)
            shown = address.show()
            first = path_by_address.setdefault(shown, path)
            if first != path and address.port:
                yield exceptions.Problem(
                    path=f'{path}.port',
                    given=f'given {shown}',
                    allowed=f'already taken by {first}',
                )
        host = ipaddress.ip_address(self.callers.host)
        if host.is_unspecified and self.callers.advertised is None:
            yield exceptions.Problem(
                path='callers.advertised',
                given='not given',
                allowed=f'clients cannot connect to {host}: give an address',
            )

    def _check_limits(self) -> abc.Iterator[exceptions.Problem]:
        threads = self.callers.threads
        wanted = self.limits.max_streams + self.limits.reserved_lookups
        if wanted > threads:
            yield exceptions.Problem(
                path='limits.max_streams',
                given=f'{wanted} together with limits.reserved_lookups',
                allowed=(
                    f'must not exceed callers.threads, which is {threads}'
                ),
            )
        # One thread must stay free to refuse and count excess requests. With
        # every thread busy, the HTTP server queues connections silently.
        if self.limits.max_requests >= threads:
            yield exceptions.Problem(
                path='limits.max_requests',
                given=f'given {self.limits.max_requests}',
                allowed=(
                    f'must be less than callers.threads, which is {threads}: '
                    'one thread must stay free to refuse excess requests'
                ),
            )


def parse_settings(body: bytes, source: str = '') -> Settings:
    """Return the settings parsed from JSON.

    :param source: where the body came from, for error messages.
    :raises InvalidInput: with every problem found.
    """
    return models.parse(Settings, body, source)


def load_settings(path: str | pathlib.Path) -> Settings:
    """Return the settings parsed from the file at ``path``.

    :raises InvalidInput: with every problem found, or if the file can't be
        read.
    """
    try:
        body = pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = exceptions.Problem(
            path='',
            given=f'cannot be read: {error.strerror}',
            allowed='give the path of a settings file',
        )
        raise exceptions.InvalidInput(problems=(problem,), source=str(path))
    return parse_settings(body, str(path))
