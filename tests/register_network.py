"""Registers on a virtual clock, over links that delay and lose messages.

:class:`tests.test_register.Cluster` delivers without delay. Here messages
have latencies, instances tick at different times, and entries stop and
restart, as on machines with slow links.
"""

from collections import abc
import random
import typing

from dandeliongw import _link
from dandeliongw.coordination import parts
from dandeliongw.coordination import register
from tests import timeline

#: Interval between two ticks of a register, as in the reducer.
TICK_S = 0.1
HOP_S = 0.0015
SYNC_S = 0.005

Delay = abc.Callable[[str, str, typing.Any], float]


class Node:
    """One instance: its register and the records on its disk."""

    def __init__(self, *, instance_id: str, is_voter: bool) -> None:
        self.instance_id = instance_id
        self.disk_id = f'disk-{instance_id}' if is_voter else None
        self.records: list[typing.Any] = []
        self.results: list[typing.Any] = []
        self.starts = 0
        self.is_down = False
        self.started_at = 0.0
        self.part: register.Register


class Network(timeline.Timeline):
    """Voters ``voter-1``, ``voter-2``, ... and entries ``entry-1``, ....

    :param ttl_s: how long a confirmation is valid, in seconds.
    """

    def __init__(
        self, *, voters: int, entries: int, ttl_s: float, seed: int = 1
    ) -> None:
        super().__init__()
        self.random = random.Random(seed)
        #: Latency in seconds, by sender, receiver and message.
        self.delay_s: Delay = lambda sender, to, message: HOP_S
        self.loses: abc.Callable[[str, str, typing.Any], bool] = (
            lambda sender, to, message: False
        )
        self.voters = tuple(f'voter-{n + 1}' for n in range(voters))
        self.entries = tuple(f'entry-{n + 1}' for n in range(entries))
        self.by_id = {
            each: Node(instance_id=each, is_voter=each in self.voters)
            for each in (*self.voters, *self.entries)
        }
        self._ttl_s = ttl_s
        for instance_id in self.by_id:
            self.start(instance_id)

    def part(self, instance_id: str) -> register.Register:
        return self.by_id[instance_id].part

    def start(self, instance_id: str) -> None:
        """Start or restart an instance with the records of its disk."""
        node = self.by_id[instance_id]
        node.starts += 1
        node.is_down = False
        node.started_at = self.now
        node.part = register.Register(
            instance_id=instance_id,
            initial_voters=self.voters,
            disk_id=node.disk_id,
            confirm_ttl_s=self._ttl_s,
        )
        for record in node.records:
            node.part.restore(record)
        self._post(node, self._introduction())
        self._later(
            self.random.random() * TICK_S, self._tick, node, node.starts
        )

    def stop(self, instance_id: str) -> None:
        self.by_id[instance_id].is_down = True

    def propose(self, instance_id: str, order: int) -> None:
        """Propose a numbered document at an instance."""
        event = register.ProposeOrdered(
            now=self.now,
            ticket=f'order-{order}',
            order=order,
            author='ana',
            document=b'{"order": %d}' % order,
            entropy=self.random.getrandbits(64),
        )
        self._post(self.by_id[instance_id], event)

    def change(self, instance_id: str, order: int) -> float:
        """Propose, wait for the acknowledgement, return its virtual time."""
        results = self.by_id[instance_id].results
        before = len(results)
        self.propose(instance_id, order)
        for _ in range(1_000):
            if len(results) > before:
                assert isinstance(results[-1], register.Applied), results[-1]
                return self.now
            self.run(0.01)
        raise AssertionError('not acknowledged within 10 virtual seconds')

    def order(self, instance_id: str) -> int:
        """Return the number of the document in force; -1 without one."""
        configuration = self.part(instance_id).configuration
        return -1 if configuration is None else configuration.order

    def _introduction(self) -> register.InstancesChanged:
        return register.InstancesChanged(
            now=self.now, instance_ids=tuple(self.by_id)
        )

    def _tick(self, node: Node, start: int) -> None:
        if node.starts != start or node.is_down:
            return
        self._later(TICK_S, self._tick, node, start)
        entropy = self.random.getrandbits(64)
        self._post(node, parts.Ticked(now=self.now, entropy=entropy))

    def _post(self, node: Node, event: typing.Any) -> None:
        if node.is_down:
            return
        for effect in node.part.handle(event):
            self._perform(node, effect)

    def _perform(self, node: Node, effect: typing.Any) -> None:
        if isinstance(effect, parts.Persist):
            self._later(SYNC_S, self._synced, node, node.starts, effect)
        elif isinstance(effect, parts.Send):
            self._send(node.instance_id, effect)
        elif isinstance(effect, parts.Complete):
            node.results.append(effect.result)

    def _send(self, sender: str, effect: parts.Send) -> None:
        sent = (sender, effect.to, effect.message)
        if not self.loses(*sent):
            self._later(self.delay_s(*sent), self._deliver, *sent)

    def _synced(self, node: Node, start: int, effect: parts.Persist) -> None:
        if node.starts != start or node.is_down:
            return
        node.records += effect.records
        self._post(node, parts.Persisted(now=self.now, token=effect.token))

    def _deliver(self, sender: str, to: str, message: typing.Any) -> None:
        received = parts.Received(now=self.now, sender=sender, message=message)
        self._post(self.by_id[to], received)


class _Connection:
    """A stream connection from one instance to another."""

    def __init__(self) -> None:
        self.is_up = True
        self.failures = 0
        self.is_backing_off = False
        self.tries = 0
        #: Effects that wait for the connection, each with its expiry time.
        self.queue: list[tuple[float, typing.Any]] = []


class CutNetwork(Network):
    """A network with partitions; it reconnects as the program itself does.

    Nothing arrives across a partition. A connection that is used meanwhile
    breaks. An attempt to connect fails after its timeout, and the next one
    follows after an exponential backoff. A message from a peer ends the
    backoff towards it.
    """

    def __init__(self, **options: typing.Any) -> None:
        self.cut: frozenset[str] = frozenset()
        self._connections: dict[tuple[str, str], _Connection] = {}
        super().__init__(**options)

    def is_cut(self, sender: str, to: str) -> bool:
        """Return whether a partition separates them.

        Each instance in ``cut`` is isolated from all others.
        """
        return bool({sender, to} & self.cut)

    def _send(self, sender: str, effect: parts.Send) -> None:
        if effect.by_datagram:
            if not self.is_cut(sender, effect.to):
                super()._send(sender, effect)
            return
        link = self._connections.setdefault((sender, effect.to), _Connection())
        link.queue.append((self.now + _link.MAX_AGE_S, effect))
        if link.is_up:
            self._flush(sender, effect.to, link)

    def _flush(self, sender: str, to: str, link: _Connection) -> None:
        if self.is_cut(sender, to):
            link.is_up = False
            self._connect(sender, to, link, link.tries)
            return
        queue, link.queue = link.queue, []
        for expires_at, effect in queue:
            if self.now <= expires_at:
                super()._send(sender, effect)

    def _connect(
        self, sender: str, to: str, link: _Connection, number: int
    ) -> None:
        if link.is_up or number != link.tries:
            return
        link.tries += 1
        link.is_backing_off = False
        if not self.is_cut(sender, to):
            link.is_up, link.failures = True, 0
            self._flush(sender, to, link)
            return
        longest = min(
            _link.MAX_BACKOFF_S, _link.MIN_BACKOFF_S * 2**link.failures
        )
        link.failures += 1
        pause = self.random.uniform(longest / 2, longest)
        self._later(_link.CONNECT_S, self._back_off, link)
        self._later(
            _link.CONNECT_S + pause,
            self._connect,
            *(sender, to, link, link.tries),
        )

    def _back_off(self, link: _Connection) -> None:
        link.is_backing_off = not link.is_up

    def _deliver(self, sender: str, to: str, message: typing.Any) -> None:
        link = self._connections.get((to, sender))
        if link is not None and link.is_backing_off:
            link.failures = 0
            self._connect(to, sender, link, link.tries)
        super()._deliver(sender, to, message)
