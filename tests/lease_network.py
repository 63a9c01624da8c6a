"""A fake network and journals for tests of leases; time is virtual."""

import dataclasses
import heapq
import itertools
import random
import typing

from dandeliongw.coordination import lease
from dandeliongw.coordination import parts

TICK_S = 0.02
HOP_S = 0.0005
SYNC_S = 0.002


@dataclasses.dataclass(kw_only=True)
class Node:
    """One instance: its part, its journal and its clock."""

    part: lease.Leases
    is_grantor: bool
    records: list[typing.Any] = dataclasses.field(default_factory=list)
    rate: float = 1.0
    frozen: bool = False
    starts: int = 0
    effects: list[typing.Any] = dataclasses.field(default_factory=list)


class Network:
    """Delivers effects of :class:`lease.Leases` to each other.

    :param lose: called with sender, receiver and message; true loses it.
    """

    def __init__(
        self,
        *,
        grantors: typing.Sequence[str] = ('v1', 'v2', 'v3'),
        others: typing.Sequence[str] = ('a', 'b'),
        seed: int = 1,
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.lose = lambda sender, to, message: False
        self.sent: list[typing.Any] = []
        self.grantors = tuple(grantors)
        self.nodes_by_id = {
            name: Node(
                part=make_part(name, name in grantors),
                is_grantor=name in grantors,
            )
            for name in (*grantors, *others)
        }
        self._order = itertools.count()
        self._queue: list[typing.Any] = []
        for name in self.nodes_by_id:
            self._later(self.random.random() * TICK_S, self._tick, name, 0)
            self.post(name, self._changed(name))
        for name in grantors:
            self.post(name, lease.GrantorsFormed(now=0.0))

    def clock(self, name: str) -> float:
        return 1000.0 + self.now * self.nodes_by_id[name].rate

    def want(self, name: str, *leases: str) -> None:
        names = frozenset(leases)
        self.post(name, lease.Wanted(now=self.clock(name), names=names))

    def post(self, name: str, event: typing.Any) -> None:
        """Hand an event to an instance and perform the effects."""
        node = self.nodes_by_id[name]
        for effect in node.part.handle(event):
            self._perform(name, node, effect)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        self.now = end

    def freeze(self, name: str) -> None:
        self.nodes_by_id[name].frozen = True

    def wake(self, name: str) -> None:
        self.nodes_by_id[name].frozen = False

    def restart(self, name: str, *, lose_disk: bool = False) -> None:
        node = self.nodes_by_id[name]
        node.starts += 1
        node.part = make_part(name, node.is_grantor)
        if lose_disk:
            node.records.clear()
        for record in node.records:
            node.part.restore(record)
        self._later(0.0, self._tick, name, node.starts)
        self.post(name, self._changed(name))

    def holders(self, lease_name: str) -> list[str]:
        return [
            name
            for name, node in self.nodes_by_id.items()
            if node.part.epoch_if_held(lease_name, self.clock(name))
        ]

    def epoch(self, name: str, lease_name: str) -> int | None:
        part = self.nodes_by_id[name].part
        return part.epoch_if_held(lease_name, self.clock(name))

    def _changed(self, name: str) -> lease.GrantorsChanged:
        return lease.GrantorsChanged(
            now=self.clock(name), grantors=self.grantors
        )

    def _later(self, delay: float, call: typing.Any, *arguments: typing.Any):
        entry = (self.now + delay, next(self._order), call, arguments)
        heapq.heappush(self._queue, entry)

    def _tick(self, name: str, start: int) -> None:
        node = self.nodes_by_id[name]
        if node.starts != start:
            return
        self._later(TICK_S, self._tick, name, start)
        if not node.frozen:
            entropy = self.random.getrandbits(64)
            now = self.clock(name)
            self.post(name, parts.Ticked(now=now, entropy=entropy))

    def _perform(self, name: str, node: Node, effect: typing.Any) -> None:
        if isinstance(effect, parts.Persist):
            self._later(SYNC_S, self._synced, name, node.starts, effect)
        elif isinstance(effect, parts.Send):
            self.sent.append((name, effect))
            if not self.lose(name, effect.to, effect.message):
                self._later(HOP_S, self._deliver, name, effect)
        else:
            node.effects.append(effect)

    def _synced(self, name: str, start: int, effect: parts.Persist) -> None:
        node = self.nodes_by_id[name]
        if node.starts != start:
            return
        node.records += effect.records
        now = self.clock(name)
        self.post(name, parts.Persisted(now=now, token=effect.token))

    def _deliver(self, sender: str, effect: parts.Send) -> None:
        if effect.to not in self.nodes_by_id:
            return
        if self.nodes_by_id[effect.to].frozen:
            self._later(HOP_S, self._deliver, sender, effect)
            return
        received = parts.Received(
            now=self.clock(effect.to), sender=sender, message=effect.message
        )
        self.post(effect.to, received)


def make_part(name: str, is_grantor: bool) -> lease.Leases:
    return lease.Leases(instance_id=name, is_grantor=is_grantor)
