"""Measures membership and presence on a virtual clock; prints JSON lines.

Run ``python -m benchmarks.membership [section ...]``; all sections together
take about ten minutes. Only the reducers run, in one process. Bytes are those
of sealed envelopes plus the headers below. Processor time is that of
``handle`` only, without the transport.
"""

import collections
import functools
import heapq
import itertools
import json
import random
import statistics
import sys
import time
import typing

from dandeliongw import codec
from dandeliongw.coordination import membership
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw import envelopes
from dandeliongw.protocol import membership_pb2
from dandeliongw.protocol import presence_pb2

TICK_S = 0.1
DELAY_S = 0.002
#: Headers of a message: gRPC prefix, HTTP/2 frame, TCP with timestamps, IP.
HEADER_BYTES = 5 + 9 + 32 + 20
#: A TCP acknowledgement without data, sent by the receiver.
TCP_ACK_BYTES = 52
CODEC = codec.Codec(
    data_classes=membership.MESSAGES + presence.MESSAGES,
    wire_modules=[membership_pb2, presence_pb2],
)


class Network:
    """A simulated network between parts of one kind, one per instance.

    :param part_by_id: the parts by instance id.
    :param loss: fraction of messages that are lost.
    :param seed: of the entropy of the ticks and of the losses.
    """

    def __init__(
        self,
        *,
        part_by_id: dict[str, typing.Any],
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.now = 0.0
        self.part_by_id = part_by_id
        self.stopped: set[str] = set()
        #: One side of a partition; its instances reach only each other.
        self.cut_off: set[str] = set()
        self.handle_s = 0.0
        self.sent: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()
        #: (seconds, observer, effect other than a send)
        self.log: list[tuple[float, str, typing.Any]] = []
        self._loss = loss
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._in_flight: list[tuple] = []
        self._sealers = {
            each: envelopes.Sealer(
                sender=each, incarnation=1_790_000_000_000, secret=b'secret'
            )
            for each in part_by_id
        }

    def reset(self) -> None:
        """Reset all counters and the log."""
        self.handle_s = 0.0
        self.sent.clear()
        self.sent_bytes.clear()
        self.received_bytes.clear()
        self.log.clear()

    def run(
        self,
        seconds: float,
        each_tick: typing.Callable[[], None] = lambda: None,
    ) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            each_tick()
            for instance_id in self.part_by_id:
                entropy = self._random.getrandbits(64)
                event = parts.Ticked(now=self.now, entropy=entropy)
                self.handle_event(instance_id, event)
            while (
                self._in_flight and self._in_flight[0][0] <= self.now + TICK_S
            ):
                at, _, sender, to, message = heapq.heappop(self._in_flight)
                event = parts.Received(now=at, sender=sender, message=message)
                self.handle_event(to, event, at)

    def handle_event(
        self, instance_id: str, event: typing.Any, now: float | None = None
    ) -> None:
        if instance_id in self.stopped:
            return
        start = time.perf_counter()
        effects = self.part_by_id[instance_id].handle(event)
        self.handle_s += time.perf_counter() - start
        for effect in effects:
            if isinstance(effect, parts.Send):
                self._send(now or self.now, instance_id, effect)
            else:
                self.log.append((now or self.now, instance_id, effect))

    def per_instance(self, seconds: float) -> dict[str, float]:
        """Return the mean costs of an instance in a second."""
        count = len(self.part_by_id) * seconds
        return {
            'messages_sent': round(self.sent.total() / count, 2),
            'bytes_sent': round(self.sent_bytes.total() / count),
            'most_bytes_received': round(
                max(self.received_bytes.values()) / seconds
            ),
            'handle_us': round(1e6 * self.handle_s / count),
        }

    def _send(self, now: float, sender: str, effect: parts.Send) -> None:
        if effect.to != sender:
            self._count(sender, effect)
            if self._random.random() < self._loss:
                return
            if (sender in self.cut_off) != (effect.to in self.cut_off):
                return
        item = (now + DELAY_S, next(self._order), sender, effect.to)
        heapq.heappush(self._in_flight, (*item, effect.message))

    def _count(self, sender: str, effect: parts.Send) -> None:
        kind, body = CODEC.encode(effect.message)
        envelope = self._sealers[sender].seal(effect.to, kind, body)
        size = envelope.ByteSize() + HEADER_BYTES
        self.sent[sender] += 1
        self.sent_bytes[sender] += size
        self.received_bytes[effect.to] += size
        # The receiver of a message sends the acknowledgement.
        self.sent_bytes[effect.to] += TCP_ACK_BYTES
        self.received_bytes[sender] += TCP_ACK_BYTES


def measure_partition(count: int, share: float, seconds: float) -> dict:
    """Partition the network, then heal the partition.

    :param share: fraction of the instances that are cut off.
    :param seconds: how long the partition lasts once it is detected.
    """
    network = make_members(count)
    network.run(110)
    ids = sorted(network.part_by_id)
    network.cut_off = set(ids[: round(count * share)])
    parting = until_settled(
        network,
        lambda each: (
            set(ids) - network.cut_off
            if each not in network.cut_off
            else network.cut_off
        ),
    )
    network.run(seconds)
    network.cut_off = set()
    healing = until_settled(network, lambda each: set(ids))
    return {
        'instances': count,
        'cut_off': round(count * share),
        'seconds': seconds,
        'parting': parting,
        'healing': healing,
    }


def until_settled(
    network: Network, expected: typing.Callable[[str], set[str]]
) -> dict:
    """Run until each instance has only the expected ones as alive.

    :param expected: returns the ids for an observer.
    """
    seconds, peak, most = 0, 0.0, 0.0
    handle_s = 0.0
    while seconds < 300:
        network.reset()
        network.run(1)
        seconds += 1
        handle_s += network.handle_s
        peak = max(peak, network.sent_bytes.total() / len(network.part_by_id))
        most = max(most, *network.received_bytes.values())
        if all(
            set(part.alive_ids()) == expected(each)
            for each, part in network.part_by_id.items()
        ):
            break
    return {
        'seconds': seconds,
        'peak_bytes_sent': round(peak),
        'most_bytes_received': round(most),
        'handle_us': round(1e6 * handle_s / seconds / len(network.part_by_id)),
    }


def make_members(count: int, loss: float = 0.0, seed: int = 1) -> Network:
    """Return a network of instances that have joined."""
    infos = {
        f'gw-{number:03}': membership.InstanceInfo(
            host=f'10.0.{number // 250}.{number % 250}',
            port=7000,
            data_centre=f'dc-{number % 4}',
            region=f'region-{number % 2}',
            callers_address=f'http://10.0.{number // 250}.{number % 250}:80',
        )
        for number in range(count)
    }
    seeds = {each: infos[each] for each in list(infos)[:9]}
    network = Network(
        part_by_id={
            each: membership.Membership(
                instance_id=each,
                incarnation=1_790_000_000_000,
                self_info=info,
                seeds_by_id=seeds,
            )
            for each, info in infos.items()
        },
        loss=loss,
        seed=seed,
    )
    network.run(10)
    return network


def measure_quiet(count: int, seconds: float) -> dict:
    """Return the costs of an idle network, and those of joining."""
    network = make_members(count)
    joining = network.per_instance(10)
    network.run(110)
    network.reset()
    network.run(seconds)
    alive = {len(each.alive_ids()) for each in network.part_by_id.values()}
    return {
        'instances': count,
        'seconds': seconds,
        'quiet': network.per_instance(seconds),
        'joining_10_s': joining,
        'alive_counts': sorted(alive),
        'changes': len(network.log),
    }


def measure_deaths(count: int, networks: int, deaths: int) -> dict:
    """Stop instances one after another; return the times of detection."""
    times_by_name: dict[str, list[float]] = collections.defaultdict(list)
    missed = 0
    for seed in range(networks):
        network = make_members(count, seed=seed)
        network.run(20)
        rng = random.Random(seed)
        for _ in range(deaths):
            network.run(rng.uniform(0.1, 2.0))
            missed += stop_one(network, rng, times_by_name)
    return {
        'instances': count,
        'deaths': networks * deaths,
        'missed': missed,
        **{name: spread(times) for name, times in times_by_name.items()},
    }


def stop_one(
    network: Network,
    rng: random.Random,
    times_by_name: dict[str, list[float]],
) -> int:
    """Stop an instance and record the times of its detection.

    :returns: how many instances didn't detect it within 30 s.
    """
    living = sorted(network.part_by_id.keys() - network.stopped)
    victim = rng.choice(living)
    network.stopped.add(victim)
    start = network.now
    network.log.clear()
    network.run(30)
    suspected = changes(network, victim, 'SUSPECT')
    dead = changes(network, victim, 'DEAD')
    times_by_name['first_suspicion_s'].append(min(suspected) - start)
    times_by_name['suspected_by_all_s'].append(max(suspected) - start)
    times_by_name['first_verdict_s'].append(min(dead) - start)
    times_by_name['known_to_all_s'].append(max(dead) - start)
    return len(living) - 1 - len(dead)


def changes(network: Network, member: str, state: str) -> list[float]:
    return [
        at
        for at, _, effect in network.log
        if isinstance(effect, membership.MemberChanged)
        and effect.member.instance_id == member
        and effect.member.state.name == state
    ]


def spread(values: list[float]) -> dict[str, float]:
    return {
        'min': round(min(values), 1),
        'median': round(statistics.median(values), 1),
        'max': round(max(values), 1),
    }


def measure_loss(count: int, seconds: float, loss: float) -> dict:
    """Lose messages at random; count false suspicions and false deaths."""
    network = make_members(count, loss)
    network.run(20)
    network.reset()
    network.run(seconds)
    states = collections.Counter(
        effect.member.state.name
        for _, _, effect in network.log
        if isinstance(effect, membership.MemberChanged)
    )
    suspected = {
        (effect.member.instance_id, effect.member.revision)
        for _, _, effect in network.log
        if isinstance(effect, membership.MemberChanged)
        and effect.member.state is membership.MemberState.SUSPECT
    }
    reconnects = sum(
        isinstance(effect, membership.Reconnect)
        for _, _, effect in network.log
    )
    return {
        'instances': count,
        'seconds': seconds,
        'loss': loss,
        'false_deaths': states['DEAD'],
        'false_suspicions': len(suspected),
        'reconnects': reconnects,
        **network.per_instance(seconds),
    }


def measure_presence(instances: int, backends: int, cell: int) -> dict:
    """Renew every backend server once a second.

    :param cell: backend servers of a cell; each cell has one owner.
    """
    ids = [f'gw-{number:03}' for number in range(instances)]
    network = Network(
        part_by_id={each: presence.Presence(instance_id=each) for each in ids}
    )
    rng = random.Random(5)
    fronts = [rng.choice(ids) for _ in range(backends)]
    for number, front in enumerate(fronts):
        owner = ids[number // cell % instances]
        announce(network, number, front, owner)
    network.run(1)
    network.reset()
    seconds = 20
    renewals = itertools.count(2)

    def renew() -> None:
        sequence = next(renewals)
        for number in range(sequence % 10, backends, 10):
            renew_one(network, number, fronts[number], sequence)

    network.run(seconds, renew)
    usable = sum(
        len(part.usable('dieline-llm', network.now))
        for part in network.part_by_id.values()
    )
    per_instance = network.per_instance(seconds)
    renewed = backends * seconds
    return {
        'instances': instances,
        'backends': backends,
        'cell': cell,
        'usable': usable,
        'handle_us_per_renewal': round(1e6 * network.handle_s / renewed, 1),
        'bytes_per_renewal': round(network.sent_bytes.total() / renewed),
        **per_instance,
    }


def announce(network: Network, number: int, front: str, owner: str) -> None:
    announcement = presence.BackendAnnouncement(
        backend_id=f'decode-{number:04}',
        incarnation=1_790_000_000_000,
        sequence=1,
        service='dieline-llm',
        role=presence.BackendRole.DECODE,
        url=f'http://10.9.{number // 250}.{number % 250}:9000',
        data_centre='austin-a',
        slots=20,
        checks_fence=True,
    )
    network.handle_event(
        front,
        presence.Announced(
            now=network.now, announcement=announcement, ticket=''
        ),
    )
    network.handle_event(
        front,
        presence.Forward(
            now=network.now, backend_id=announcement.backend_id, to=(owner,)
        ),
    )


def renew_one(
    network: Network, number: int, front: str, sequence: int
) -> None:
    load = presence.BackendLoad(
        running=18,
        waiting=3,
        queued_tokens=21_000,
        slots_used=18,
        kv_bytes=40_000_000_000,
    )
    network.handle_event(
        front,
        presence.Renewed(
            now=network.now,
            backend_id=f'decode-{number:04}',
            incarnation=1_790_000_000_000,
            sequence=sequence,
            load=load,
            cache_events=None,
            ticket='',
        ),
    )


#: The measurements of each section, in order.
SECTIONS_BY_NAME: dict[str, list[typing.Callable[[], dict]]] = {
    'quiet': [
        functools.partial(measure_quiet, count, 60) for count in (9, 100, 350)
    ],
    'deaths': [
        functools.partial(measure_deaths, *sizes)
        for sizes in ((9, 10, 3), (100, 2, 10), (350, 1, 8))
    ],
    'loss': [
        functools.partial(measure_loss, count, seconds, 0.05)
        for count, seconds in ((9, 3600), (100, 300), (350, 60))
    ],
    'presence': [
        functools.partial(measure_presence, *sizes)
        for sizes in ((9, 100, 12), (350, 1300, 30), (350, 1300, 4))
    ],
    'partition': [
        functools.partial(measure_partition, count, share, 60)
        for count, share in ((9, 0.34), (100, 0.25), (350, 0.25), (350, 0.5))
    ],
}


def main() -> None:
    for name in sys.argv[1:] or SECTIONS_BY_NAME:
        for measure in SECTIONS_BY_NAME[name]:
            print(json.dumps({'section': name, **measure()}), flush=True)


if __name__ == '__main__':
    main()
