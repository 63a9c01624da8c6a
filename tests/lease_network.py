"""A fake network and journals for tests of leases; time is virtual.

At every start, an instance's monotonic clock gets a new base; its rate may
differ from other clocks. After each event, the network checks that there is
at most one holder and that no epoch was gained by two instances.
"""

from collections import abc
import dataclasses
import random
import typing

from dandeliongw.coordination import lease
from dandeliongw.coordination import parts
from tests import timeline

CELL = 'cell-1'
TICK_S = 0.02
HOP_S = 0.0005
SYNC_S = 0.002


@dataclasses.dataclass(kw_only=True)
class Node:
    """One instance: its part, journal records and clock rate."""

    name: str
    is_grantor: bool
    rate: float = 1.0
    starts: int = 0
    is_frozen: bool = False
    records: list[typing.Any] = dataclasses.field(default_factory=list)
    effects: list[typing.Any] = dataclasses.field(default_factory=list)
    inbox: list[parts.Send] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.inbox.clear()
        self.part = lease.Leases(
            instance_id=self.name, is_grantor=self.is_grantor
        )
        for record in self.records:
            self.part.restore(record)


class Network(timeline.Timeline):
    """Grantors, by default ``v1`` to ``v3``, and other instances."""

    def __init__(
        self,
        *,
        grantors: abc.Sequence[str] = ('v1', 'v2', 'v3'),
        others: abc.Sequence[str] = ('a', 'b'),
        seed: int = 1,
    ) -> None:
        super().__init__()
        self.random = random.Random(seed)
        #: Both are called with sender, receiver and message.
        self.loses: abc.Callable[..., bool] = lambda *sent: False
        self.delay_s: abc.Callable[..., float] = lambda *sent: HOP_S
        self.sent: list[tuple[str, parts.Send]] = []
        self.violations: list[str] = []
        self.quorum = {
            'grantors': tuple(grantors),
            'joining': (),
            'version': 0,
        }
        self.nodes_by_id = {
            name: Node(name=name, is_grantor=name in grantors)
            for name in (*grantors, *others)
        }
        self._gained_by_epoch: dict[int, tuple[str, int]] = {}
        for name in self.nodes_by_id:
            self.start(name)
        for name in grantors:
            self.post(name, lease.GrantorsFormed(now=self.clock(name)))
        self.run(0.01)

    # Operations for tests

    def clock(self, name: str) -> float:
        node = self.nodes_by_id[name]
        base = sum(name.encode()) * 1000.0 - node.starts * 50000.0
        return base + self.now * node.rate

    def post(self, name: str, event: typing.Any) -> None:
        """Let an instance handle an event, and perform the effects."""
        node = self.nodes_by_id[name]
        for effect in node.part.handle(event):
            self._perform(node, effect)
        self._check(node)

    def run_until(
        self, is_done: abc.Callable[[], bool], limit: float
    ) -> float:
        """Run until the condition holds; return the virtual seconds.

        :raises AssertionError: after ``limit`` seconds.
        """
        begun = self.now
        while not is_done():
            if self.now - begun > limit:
                raise AssertionError(f'condition not met within {limit} s')
            self.run(TICK_S / 4)
        return self.now - begun

    def want(self, name: str, *leases: str) -> None:
        names = frozenset(leases or (CELL,))
        self.post(name, lease.Wanted(now=self.clock(name), names=names))

    def release(self, name: str, successor: str | None = None) -> None:
        released = lease.Release(
            now=self.clock(name), name=CELL, successor=successor
        )
        self.post(name, released)

    def change_grantors(self, **changed: typing.Any) -> None:
        self.quorum = changed
        for name in self.nodes_by_id:
            self._notify_quorum(name)

    def freeze(self, name: str) -> None:
        self.nodes_by_id[name].is_frozen = True

    def wake(self, name: str) -> None:
        node = self.nodes_by_id[name]
        node.is_frozen = False
        waiting, node.inbox = node.inbox, []
        for sender, effect in waiting:
            self._deliver(sender, effect)

    def start(self, name: str, *, loses_disk: bool = False) -> None:
        """Start or restart an instance."""
        node = self.nodes_by_id[name]
        node.is_frozen = False
        if loses_disk:
            node.records.clear()
        node.start()
        self._later(
            self.random.random() * TICK_S, self._tick, node, node.starts
        )
        self._notify_quorum(name)

    def cut(self, name: str) -> None:
        """Lose all messages from and to an instance."""
        self.loses = lambda sender, to, message: name in (sender, to)

    def epoch(self, name: str) -> int | None:
        part = self.nodes_by_id[name].part
        return part.epoch_if_held(CELL, self.clock(name))

    def holders(self) -> list[str]:
        return [name for name in self.nodes_by_id if self.epoch(name)]

    def effects(self, name: str, kind: type) -> list[typing.Any]:
        effects = self.nodes_by_id[name].effects
        return [effect for effect in effects if isinstance(effect, kind)]

    # Implementation

    def _notify_quorum(self, name: str) -> None:
        changed = lease.GrantorsChanged(now=self.clock(name), **self.quorum)
        self.post(name, changed)

    def _check(self, node: Node) -> None:
        holders = self.holders()
        if len(holders) > 1:
            self.violations.append(f'{self.now}: {holders} hold the lease')
        for gained in self.effects(node.name, lease.LeaseGained)[-1:]:
            owner = (node.name, node.starts)
            first = self._gained_by_epoch.setdefault(gained.epoch, owner)
            if first[0] != node.name:
                self.violations.append(f'{first}, {owner}: {gained}')

    def _tick(self, node: Node, start: int) -> None:
        if node.starts != start:
            return
        self._later(TICK_S, self._tick, node, start)
        if not node.is_frozen:
            entropy = self.random.getrandbits(64)
            now = self.clock(node.name)
            self.post(node.name, parts.Ticked(now=now, entropy=entropy))

    def _perform(self, node: Node, effect: typing.Any) -> None:
        if isinstance(effect, parts.Persist):
            self._later(SYNC_S, self._synced, node, node.starts, effect)
        elif isinstance(effect, parts.Send):
            self.sent.append((node.name, effect))
            sent = (node.name, effect.to, effect.message)
            if not self.loses(*sent):
                delay = self.delay_s(*sent)
                self._later(delay, self._deliver, node.name, effect)
        else:
            node.effects.append(effect)

    def _synced(self, node: Node, start: int, effect: parts.Persist) -> None:
        if node.starts != start:
            return
        node.records += effect.records
        now = self.clock(node.name)
        self.post(node.name, parts.Persisted(now=now, token=effect.token))

    def _deliver(self, sender: str, effect: parts.Send) -> None:
        node = self.nodes_by_id[effect.to]
        if node.is_frozen:
            node.inbox.append((sender, effect))
            return
        received = parts.Received(
            now=self.clock(node.name), sender=sender, message=effect.message
        )
        self.post(node.name, received)
