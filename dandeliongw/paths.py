"""How this instance reaches backend servers: directly, or through another.

A connection that can't be made says little: the backend server may have ended,
or only this instance may be cut off from it. Other instances tell the two
apart. If one of them reaches the server, calls go through it until a direct
connection succeeds again; if none does and one is refused, the server has
ended.

All methods may be called from any thread.
"""

from collections import abc
import socket
import threading
import typing
import urllib.parse

from loguru import logger
import msgspec
import urllib3.connection

from . import clock
from . import effects
from . import message_framing
from . import probe
from . import tunnels

#: Seconds that a direct connection may take while other instances could be
#: asked. A machine answers within a round trip, even in another region.
DIRECT_S = 0.3
#: Seconds that a connection through another instance may take.
THROUGH_S = 2 * tunnels.FAR_CONNECT_S
#: Instances that are asked for one connection.
MOST_ASKED = 3
#: Seconds for which an instance that didn't help is asked last.
AVOID_S = 2.0
#: Seconds between two checks whether a direct connection works again.
CHECK_S = 1.0
#: Seconds after a failure at all instances in which none of them is asked
#: for the same backend server again.
DOWN_S = 1.0
#: Seconds since its last use in which a backend server is checked, too, when
#: the path to another one turns out to be lost.
RECENT_S = 10.0
#: Seconds for which the address of a backend server that left is remembered;
#: no call waits for a connection as long.
DEPARTED_S = 600.0


class Connector(typing.Protocol):
    """Makes connections to backend servers."""

    def connect(
        self, host: str, port: int, timeout_s: float
    ) -> urllib3.connection.HTTPConnection:
        """Return an open connection.

        :raises OSError: if there is none; nothing was sent then.
        """
        ...

    def suspect(self, host: str, port: int) -> None:
        """Check an address whose connection has been silent for a while."""
        ...

    def has_departed(self, host: str, port: int) -> bool:
        """Return whether the backend server at an address has left.

        Asked right before a call is written, as it may have waited.
        """
        ...


class _Path(msgspec.Struct, kw_only=True):
    """What is known of the way to one address.

    :param through: the instance that calls go through; ``None``: direct.
    :param check_at: when to try a direct connection again.
    :param down_until: until when no other instance is asked.
    """

    used_at: float
    through: effects.TunnelPeer | None = None
    check_at: float = 0.0
    down_until: float = 0.0
    is_checking: bool = False


class _Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What other instances answered to requests for a tunnel.

    :param outcome: ``REFUSED`` if one was refused and none reaches the
        backend server: one that is refused may itself be cut off.
    :param helper: the instance that opened a tunnel, if any did.
    """

    outcome: tunnels.Outcome
    helper: effects.TunnelPeer | None = None
    connection: socket.socket | None = None


class Paths:
    """The paths to all backend servers; a :class:`Connector`.

    :param secret: shared by all instances, if they have one.
    """

    def __init__(self, *, secret: bytes | None) -> None:
        self._secret = secret
        self._lock = threading.Lock()
        self._paths_by_address: dict[tunnels.Address, _Path] = {}
        self._peers: tuple[effects.TunnelPeer, ...] = ()
        self._avoid_until_by_id: dict[str, float] = {}
        self._last_helper = ''
        self._listeners: list[abc.Callable[[str, int], None]] = []
        self._departed_at: dict[tunnels.Address, float] = {}
        self._departure_listeners: list[
            abc.Callable[[tunnels.Address], None]
        ] = []
        #: How often other instances were asked, by outcome.
        self.asked_by_outcome = dict.fromkeys(
            (each.value for each in tunnels.Outcome), 0
        )

    def on_change(self, listener: abc.Callable[[str, int], None]) -> None:
        """Call ``listener`` with host and port when a path changes.

        Connections that are kept were made over the path before.
        """
        self._listeners.append(listener)

    def on_departure(
        self, listener: abc.Callable[[tunnels.Address], None]
    ) -> None:
        """Call ``listener`` when the backend server at an address leaves."""
        self._departure_listeners.append(listener)

    def set_departed(self, url: str, *, has_departed: bool) -> None:
        """Set whether the backend server at a URL has left."""
        address, now = _address_of(url), clock.now()
        if not has_departed:
            self._departed_at.pop(address, None)
            return
        for each, at in list(self._departed_at.items()):
            if now >= at + DEPARTED_S:
                self._departed_at.pop(each, None)
        self._departed_at[address] = now
        for listener in self._departure_listeners:
            listener(address)

    def has_departed(self, host: str, port: int) -> bool:
        """Return whether the backend server at an address has left."""
        return tunnels.Address(host=host, port=port) in self._departed_at

    def may_connect_for_others(self, address: tunnels.Address) -> bool:
        """Return whether a tunnel to an address may be opened."""
        return self.is_direct(address) and address not in self._departed_at

    def set_peers(self, peers: abc.Iterable[effects.TunnelPeer]) -> None:
        """Set the other instances, in the order in which to ask them."""
        self._peers = tuple(peers)
        known = {each.instance_id for each in self._peers}
        for instance_id in self._avoid_until_by_id.keys() - known:
            self._avoid_until_by_id.pop(instance_id, None)

    def detours(self) -> int:
        """Return how many backend servers are reached through others."""
        with self._lock:
            paths = list(self._paths_by_address.values())
        return sum(each.through is not None for each in paths)

    def is_direct(self, address: tunnels.Address) -> bool:
        """Return whether this instance may be able to connect by itself."""
        path = self._paths_by_address.get(address)
        return path is None or path.through is None

    # The interface of a connector

    def connect(
        self, host: str, port: int, timeout_s: float
    ) -> urllib3.connection.HTTPConnection:
        """Return an open connection, direct or through another instance.

        :raises OSError: if there is none; nothing was sent then.
        """
        address = tunnels.Address(host=host, port=port)
        path = self._path(address)
        through = path.through
        if through is not None:
            self._check_in_background(address, path)
            opened = self._ask(through, address)
            if opened.connection is not None:
                return _connection(address, opened.connection)
        direct_s = min(timeout_s, DIRECT_S) if self._peers else timeout_s
        try:
            made = socket.create_connection((host, port), direct_s)
        except OSError as error:
            if not self._peers or clock.now() < path.down_until:
                raise
            found = self._find_detour(address, path, error)
            return _connection(address, found.connection)
        if through is not None:
            self._set_through(address, path, None)
        return _connection(address, made)

    def suspect(self, host: str, port: int) -> None:
        """Check an address whose connection has been silent for a while."""
        address = tunnels.Address(host=host, port=port)
        path = self._path(address)
        if self._peers and path.check_at <= clock.now():
            self._check_in_background(address, path)

    def is_refused(self, url: str) -> bool:
        """Return whether nothing listens at the host and port of a URL.

        Another instance has to find the same, unless there is no other: an
        instance that is cut off is refused by servers that are sound, or
        can't tell at all.
        """
        if not self._peers:
            return probe.is_refused(url)
        address = _address_of(url)
        if self.is_direct(address) and _listens(address):
            return False
        answer = self._ask_others(address)
        if answer.connection is not None:
            answer.connection.close()
        return answer.outcome is tunnels.Outcome.REFUSED

    # Other instances

    def _path(self, address: tunnels.Address) -> _Path:
        now = clock.now()
        with self._lock:
            path = self._paths_by_address.get(address)
            if path is None:
                path = _Path(used_at=now)
                self._paths_by_address[address] = path
                self._forget_unused(now)
            path.used_at = now
            return path

    def _forget_unused(self, now: float) -> None:
        for address, path in list(self._paths_by_address.items()):
            if now - path.used_at > RECENT_S and not path.is_checking:
                del self._paths_by_address[address]

    def _ranked_peers(self) -> list[effects.TunnelPeer]:
        """Return the other instances, the likeliest to help first."""
        now = clock.now()
        return sorted(
            self._peers,
            key=lambda peer: (
                now < self._avoid_until_by_id.get(peer.instance_id, 0.0),
                peer.instance_id != self._last_helper,
            ),
        )

    def _ask(
        self, peer: effects.TunnelPeer, address: tunnels.Address
    ) -> tunnels.Opened:
        opened = tunnels.open_through(
            tunnels.Address(host=peer.host, port=peer.port),
            address,
            timeout_s=THROUGH_S,
            secret=self._secret,
        )
        self.asked_by_outcome[opened.outcome.value] += 1
        if opened.outcome is tunnels.Outcome.OPENED:
            self._last_helper = peer.instance_id
        else:
            self._avoid_until_by_id[peer.instance_id] = clock.now() + AVOID_S
        return opened

    def _find_detour(
        self, address: tunnels.Address, path: _Path, error: OSError
    ) -> '_Answer':
        """Return the answer with a connection through another instance.

        :param error: of the direct connection.
        :raises OSError: if no instance reaches the backend server.
        """
        answer = self._ask_others(address)
        if answer.connection is not None:
            self._set_through(address, path, answer.helper, error)
            return answer
        path.through = None
        path.down_until = clock.now() + DOWN_S
        if answer.outcome is tunnels.Outcome.REFUSED:
            raise _refused(address) from error
        raise error

    def _ask_others(self, address: tunnels.Address) -> _Answer:
        """Ask some instances for a tunnel, until one opens it."""
        outcome = tunnels.Outcome.UNREACHABLE
        for peer in self._ranked_peers()[:MOST_ASKED]:
            opened = self._ask(peer, address)
            if opened.connection is not None:
                return _Answer(
                    outcome=opened.outcome,
                    helper=peer,
                    connection=opened.connection,
                )
            if opened.outcome is tunnels.Outcome.REFUSED:
                outcome = opened.outcome
        return _Answer(outcome=outcome)

    def _set_through(
        self,
        address: tunnels.Address,
        path: _Path,
        through: effects.TunnelPeer | None,
        error: OSError | None = None,
    ) -> None:
        is_change = path.through != through
        is_lost = path.through is None
        path.through = through
        path.check_at = clock.now() + CHECK_S
        if not is_change:
            return
        for listener in self._listeners:
            listener(address.host, address.port)
        if through is None:
            logger.info(
                'backend server is reached directly again',
                address=str(address),
            )
            return
        logger.warning(
            'backend server is reached through another instance',
            address=str(address),
            peer=through.instance_id,
            why=str(error),
        )
        if is_lost:
            self._check_others(address)

    # Checks

    def _check_others(self, lost: tunnels.Address) -> None:
        """Check the other backend servers: their paths may be lost, too.

        Kept connections to them may hang. Each would take a call with it.
        """
        now = clock.now()
        with self._lock:
            recent = [
                (address, path)
                for address, path in self._paths_by_address.items()
                if address != lost
                and path.through is None
                and now - path.used_at <= RECENT_S
            ]
        for address, path in recent:
            self._check_in_background(address, path)

    def _check_in_background(
        self, address: tunnels.Address, path: _Path
    ) -> None:
        with self._lock:
            is_due = clock.now() >= path.check_at
            if path.is_checking or not is_due:
                return
            path.is_checking = True
        threading.Thread(
            target=self._check,
            args=(address, path),
            name='path check',
            daemon=True,
        ).start()

    def _check(self, address: tunnels.Address, path: _Path) -> None:
        try:
            self._check_now(address, path)
        finally:
            path.check_at = clock.now() + CHECK_S
            path.is_checking = False

    def _check_now(self, address: tunnels.Address, path: _Path) -> None:
        try:
            socket.create_connection(
                (address.host, address.port), DIRECT_S
            ).close()
        except OSError as error:
            if path.through is not None:
                opened = self._ask(path.through, address)
                if opened.connection is not None:
                    opened.connection.close()
                    return
            try:
                self._find_detour(address, path, error).connection.close()
            except OSError:
                # No instance reaches it, so there is no path to change to.
                return
        else:
            self._set_through(address, path, None)


def _address_of(url: str) -> tunnels.Address:
    parts = urllib.parse.urlsplit(url)
    return tunnels.Address(host=parts.hostname or '', port=parts.port or 80)


def _listens(address: tunnels.Address) -> bool:
    try:
        socket.create_connection(
            (address.host, address.port), DIRECT_S
        ).close()
    except OSError:
        return False
    return True


def _connection(
    address: tunnels.Address, made: socket.socket
) -> message_framing.Connection:
    connection = message_framing.Connection(address.host, address.port)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.sock = made
    return connection


def _refused(address: tunnels.Address) -> ConnectionRefusedError:
    return ConnectionRefusedError(
        f'{address} refuses connections, also of other instances'
    )
