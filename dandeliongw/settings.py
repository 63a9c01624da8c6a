"""What one process reads from its own file before it does anything.

Settings say who and where this instance is. What the system does for its
callers is in the shared document (:mod:`dandeliongw.document`) instead.
Every time is in seconds, every size in bytes.
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
#: More would cost every change more messages than they add in safety.
MAX_VOTERS = 12

#: ``serve``: go on with the last document that was confirmed.
Unconfirmed = typing.Literal['refuse', 'serve']
#: ``place``: place its own work within its share of the backend servers,
#: which have to refuse honestly what they have no room for.
SilentOwner = typing.Literal['wait', 'place']
VoterCount = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_VOTERS)]
Port = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_PORT)]
LogLevel = typing.Literal['TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR']


def _check_ip(host: str) -> str:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError('must be an IP number, such as 10.0.1.5')
    return host


#: Instances find each other by IP number; no name service is asked.
IpAddress = typing.Annotated[str, pydantic.AfterValidator(_check_ip)]


class Address(models.Model):
    """Where to listen; port 0 lets the system choose one."""

    host: IpAddress
    """The IP number to listen on."""
    port: Port
    """0: the system chooses."""

    def show(self) -> str:
        """Return ``host:port``, with an IPv6 number in brackets."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


class Listen(Address):
    """An HTTP port with its threads."""

    threads: models.PositiveInt = 200
    """Requests and streams that are served at one time."""
    queue: models.PositiveInt = 64
    """Connections that wait for a thread; more are refused."""
    advertised: IpAddress | None = None
    """The number that others are told, where it isn't ``host``."""


class ControlListen(Listen):
    """The port for backend servers and operators."""

    threads: models.PositiveInt = 16
    """Calls that are served at one time."""


class PeerSettings(models.Model):
    """One instance as all the others find it."""

    instance_id: models.Name
    """The same as in its own settings."""
    host: IpAddress
    """The IP number that others connect to."""
    port: Port
    """Its ``peer`` port."""
    data_centre: models.Name
    """Where it stands."""
    region: models.Name
    """The region of that data centre."""
    voter: bool = False
    """Holds a copy of the register and of claims; needs a data folder."""


class Operator(models.Model):
    """Who may read and change the document."""

    name: models.Name
    """Goes into the history of changes."""
    token_sha256: models.Sha256
    """SHA-256 of the operator's token; the token itself is kept nowhere."""


class Limits(models.Model):
    """What one instance takes on; what is more is refused at once."""

    max_body_bytes: models.PositiveInt = 8 * MIB
    """The longest request body."""
    max_requests: models.PositiveInt = 192
    """Requests in hand at one time; less than ``callers.threads``."""
    max_streams: models.PositiveInt = 160
    """Streams from model engines at one time."""
    reserved_lookups: models.NonNegativeInt = 32
    """Threads that streams never take, so that lookups stay quick."""
    store_loads_per_s: models.Positive = 1.0
    """This instance's share of the weight store's rate."""
    max_outcome_bytes: models.PositiveInt = 65536
    """The longest recorded answer of a non-idempotent call."""
    max_claims: models.PositiveInt = 200_000
    """Keys of non-idempotent calls that a voter keeps; no more are taken."""


class Retries(models.Model):
    """Attempts after the first, of all instances together, for a service."""

    part: models.Positive = 0.2
    """Gained with each request."""
    saved: models.Positive = 40.0
    """Most that are saved up, for an engine that dies with its streams; each
    entry has an equal share."""


class Timeouts(models.Model):
    """All in seconds."""

    connect_s: models.Positive = 1.0
    """To open a connection."""
    first_byte_s: models.Positive = 10.0
    """From the end of sending to the first byte back."""
    stall_s: models.Positive = 3.0
    """Silence on an open connection before a new one is tried."""
    confirm_ttl_s: models.Positive = 5.0
    """How long a majority's word on the revision lets work in."""
    entries_ttl_s: models.Positive = 10.0
    """How long callers may keep the list of entries."""
    lease_s: models.Positive = 2.0
    """How long an owner of slots holds them without renewal."""
    lease_margin_s: models.Positive = 0.25
    """The holder stops this long before the lease's end."""
    presence_s: models.Positive = 3.0
    """A backend server that hasn't renewed for so long gets no work."""
    renew_s: models.Positive = 1.0
    """How often backend servers renew."""
    longest_order_s: models.Positive = 5.0
    """How long an engine may take to answer an order."""
    claim_retention_s: models.Positive = 86400.0
    """How long a resend gets the recorded outcome."""
    first_configuration_s: models.Positive = 2.0
    """How long after the start calls wait for the first configuration."""
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
    """Unique over all instances, and never given to another one."""
    data_centre: models.Name
    """Where this instance stands."""
    region: models.Name
    """The region of that data centre."""
    data_folder: str | None = None
    """Where a voter keeps what must survive; nothing else is written."""
    callers: Listen
    """The port for callers."""
    control: ControlListen
    """The port for backend servers and operators."""
    peer: Address
    """Where the other instances connect to."""
    peers: tuple[PeerSettings, ...] = ()
    """Every instance, this one included, where none are found by seeds."""
    seeds: tuple[Address, ...] = ()
    """Control addresses of instances that tell who the others are."""
    bootstrap: bool = False
    """The system starts for the first time: the seeds form its register."""
    regions_by_data_centre: dict[models.Name, models.Name] = {}
    """Every data centre, where instances are found by seeds."""
    takes_callers: bool = True
    """Whether callers are told of this instance."""
    most_voters: VoterCount | None = None
    """Instances with a data folder become voters by themselves, up to so
    many; without it the voters stay as they were formed."""
    moves_engines: bool = False
    """Whether owners order engines from one pool into the other."""
    silent_owner: SilentOwner = 'wait'
    """What an entry does while the owner of a cell doesn't answer."""
    unconfirmed: Unconfirmed = 'refuse'
    """What happens to calls while no majority confirms the document."""
    peer_secret: str | None = pydantic.Field(
        default=None, min_length=16, repr=False
    )
    """What instances prove themselves to each other with."""
    operators: tuple[Operator, ...] = ()
    """Who may read and change the document."""
    backend_key_sha256: models.Sha256 | None = None
    """SHA-256 of the key that backend servers announce themselves with."""
    limits: Limits = Limits()
    """What this instance takes on."""
    retries: Retries = Retries()
    """How often the whole system tries again."""
    timeouts: Timeouts = Timeouts()
    """When waiting ends."""
    log_level: LogLevel = 'INFO'
    """The least severe level that is written."""

    @functools.cached_property
    def peers_by_id(self) -> abc.Mapping[str, PeerSettings]:
        """Every instance by its id, this one included."""
        return {peer.instance_id: peer for peer in self.peers}

    @functools.cached_property
    def operators_by_token_sha256(self) -> abc.Mapping[str, Operator]:
        """Every operator by the digest of the token."""
        return {entry.token_sha256: entry for entry in self.operators}

    @functools.cached_property
    def own_peer(self) -> Address:
        """Where the other instances connect to this one."""
        listed = self.peers_by_id.get(self.instance_id)
        if listed is None:
            return self.peer
        return Address(host=listed.host, port=listed.port)

    @functools.cached_property
    def all_regions_by_data_centre(self) -> abc.Mapping[str, str]:
        """The region of every data centre that is known."""
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
                allowed='give either, or the others are never found',
            )
        else:
            yield from self._check_own_entry()
            yield from self._check_voters()
        yield from self._check_addresses()
        yield from self._check_limits()

    def _find_duplicates(self) -> abc.Iterator[exceptions.Problem]:
        ids = [peer.instance_id for peer in self.peers]
        yield from models.find_duplicates(ids, 'peers', 'instance_id')
        # Port 0 is no address yet, so each of them counts as its own.
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
                allowed='give either: instances that are found need no list',
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
                allowed='a voter needs one: its promises must survive',
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
                allowed=f'callers cannot connect to {host}: give a number',
            )

    def _check_limits(self) -> abc.Iterator[exceptions.Problem]:
        threads = self.callers.threads
        wanted = self.limits.max_streams + self.limits.reserved_lookups
        if wanted > threads:
            yield exceptions.Problem(
                path='limits.max_streams',
                given=f'{wanted} together with limits.reserved_lookups',
                allowed=f'must fit in callers.threads, which is {threads}',
            )
        # With every thread busy, nobody is left to refuse and to count:
        # the HTTP server holds further connections without a word.
        if self.limits.max_requests >= threads:
            yield exceptions.Problem(
                path='limits.max_requests',
                given=f'given {self.limits.max_requests}',
                allowed=(
                    f'must be less than callers.threads, which is {threads}: '
                    'a thread has to be left that refuses what is too much'
                ),
            )


def parse_settings(body: bytes, source: str = '') -> Settings:
    """Return the settings that JSON describes.

    :raises InvalidInput: with every problem.
    """
    return models.parse(Settings, body, source)


def load_settings(path: str | pathlib.Path) -> Settings:
    """Return the settings in the file at ``path``.

    :raises InvalidInput: with every problem, or that it can't be read.
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
