"""Measures the cost of leases and the time without a holder at failover.

Prints JSON lines. Times of failover are virtual, on the tests' fake network
with half a millisecond a hop. Processor time is that of the machine::

    python -m benchmarks.lease
"""

from collections import abc
import json
import statistics
import time
import typing

from dandeliongw import codec
from dandeliongw.coordination import lease
from dandeliongw.coordination import lease_messages
from dandeliongw.coordination import parts
from dandeliongw.protocol import envelope_pb2
from dandeliongw.protocol import lease_pb2
from tests import lease_network

SEEDS = 300
#: Renewals of a timed run.
ROUNDS = 2000
RENEWALS_PER_S = 2.0
#: Placeholder of an envelope's keyed hash.
PROOF = bytes(32)
GRANTORS = ('v1', 'v2', 'v3')

WIRE = codec.Codec(
    data_classes=lease_messages.MESSAGES, wire_modules=[lease_pb2]
)


def quantiles(values: abc.Sequence[float]) -> dict[str, float]:
    """Return quantiles of a distribution, in seconds."""
    ordered = sorted(values)
    last = len(ordered) - 1
    shares = {'min': 0.0, 'p50': 0.5, 'p95': 0.95, 'p99': 0.99, 'max': 1.0}
    return {
        name: round(ordered[round(share * last)], 3)
        for name, share in shares.items()
    }


def begin(seed: int, candidates: int) -> lease_network.Network:
    """Return a network in which one instance holds a lease others want.

    :param candidates: number of instances, the holder included.
    """
    names = tuple(f'gw-{number}' for number in range(candidates))
    network = lease_network.Network(seed=seed, others=names)
    network.want(names[0])
    network.run_until(network.holders, 5.0)
    for name in names[1:]:
        network.want(name)
    network.run(2.0 + network.random.random())
    return network


def failover(seed: int, candidates: int) -> float:
    """Return the seconds from the holder's crash to the next holder."""
    network = begin(seed, candidates)
    network.freeze('gw-0')
    other_ids = set(network.nodes_by_id) - {'gw-0'}
    return network.run_until(lambda: other_ids & set(network.holders()), 20.0)


def failover_with_dead_grantor(seed: int) -> float:
    """Return the same if a grantor crashes as well."""
    network = begin(seed, 3)
    network.freeze('v3')
    network.freeze('gw-0')
    other_ids = set(network.nodes_by_id) - {'gw-0'}
    return network.run_until(lambda: other_ids & set(network.holders()), 20.0)


def handover(seed: int) -> float:
    """Return the seconds from a release to a named successor's lease."""
    network = begin(seed, 3)
    network.release('gw-0', 'gw-1')
    return network.run_until(lambda: network.epoch('gw-1'), 20.0)


def wire_bytes(sender: str, to: str, message: typing.Any) -> int:
    """Return the size of a message in its envelope."""
    kind, body = WIRE.encode(message)
    envelope = envelope_pb2.Envelope(
        sender=sender,
        incarnation=2**40,
        recipient=to,
        kind=kind,
        body=body,
        proof=PROOF,
    )
    return envelope.ByteSize()


def waiting_bytes() -> dict[str, float]:
    """Return the bytes a second of each instance while others wait."""
    network = begin(1, 3)
    network.sent.clear()
    network.run(60.0)
    by_instance: dict[str, float] = dict.fromkeys(network.nodes_by_id, 0.0)
    for sender, sent in network.sent:
        if sender == sent.to:
            continue
        size = wire_bytes(sender, sent.to, sent.message)
        by_instance[sender] += size / 60.0
        by_instance[sent.to] += size / 60.0
    return {name: round(rate) for name, rate in by_instance.items()}


class Renewals:
    """One holder and its three grantors, without a network.

    :param names: the names of the leases that it holds.
    """

    def __init__(self, names: frozenset[str]) -> None:
        self.now = 0.0
        self.sent: list[tuple[str, parts.Send]] = []
        self.parts_by_id = {
            name: lease.Leases(instance_id=name, is_grantor=name in GRANTORS)
            for name in ('gw-0', *GRANTORS)
        }
        for name in GRANTORS:
            self.perform(name, lease.GrantorsFormed(now=0.0))
        changed = lease.GrantorsChanged(now=0.0, grantors=GRANTORS)
        self.perform('gw-0', changed)
        self.perform('gw-0', lease.Wanted(now=0.0, names=names))
        self.round()
        if not self.parts_by_id['gw-0'].epoch_if_held(min(names), self.now):
            raise RuntimeError('the leases were not gained')

    def perform(self, name: str, event: typing.Any) -> None:
        """Let a part handle an event, and perform all effects at once."""
        for effect in self.parts_by_id[name].handle(event):
            if isinstance(effect, parts.Persist):
                synced = parts.Persisted(now=self.now, token=effect.token)
                self.perform(name, synced)
            elif isinstance(effect, parts.Send):
                self.sent.append((name, effect))
                received = parts.Received(
                    now=self.now, sender=name, message=effect.message
                )
                self.perform(effect.to, received)

    def round(self) -> None:
        """Renew all leases once."""
        self.now += 1 / RENEWALS_PER_S
        self.perform('gw-0', parts.Ticked(now=self.now, entropy=1))


def microseconds(call: abc.Callable[[], object], rounds: int) -> float:
    """Return the processor time of one call in us, the best of five runs."""
    runs = []
    for _ in range(5):
        begun = time.process_time()
        for _ in range(rounds):
            call()
        runs.append(time.process_time() - begun)
    return min(runs) / rounds * 1e6


def renewal_cost(lease_count: int, is_one_holder: bool) -> dict[str, object]:
    """Return bytes and processor time of renewals at one grantor.

    :param is_one_holder: whether one holder renews all leases in one message;
        otherwise each lease has its own holder and message.
    """
    names = frozenset(f'service/{n}' for n in range(lease_count))
    batch = names if is_one_holder else frozenset({min(names)})
    messages = 1 if is_one_holder else lease_count
    renewals = Renewals(batch)
    renewals.sent.clear()
    renewals.round()
    to_grantor = [s for s in renewals.sent if s[1].to == 'v1']
    from_grantor = [s for s in renewals.sent if s[0] == 'v1']
    exchange = to_grantor + from_grantor
    size = sum(wire_bytes(s, e.to, e.message) for s, e in exchange)
    claims, answers = to_grantor[0][1].message, from_grantor[0][1].message
    grantor = renewals.parts_by_id['v1']
    received = parts.Received(now=renewals.now, sender='gw-0', message=claims)
    encoded = [WIRE.encode(message) for message in (claims, answers)]
    rounds = max(20, ROUNDS // len(batch))
    grant_us = microseconds(lambda: grantor.handle(received), rounds)
    codec_us = microseconds(lambda: WIRE.decode(*encoded[0]), rounds)
    codec_us += microseconds(lambda: WIRE.encode(answers), rounds)
    round_us = microseconds(renewals.round, rounds)
    per_s = messages * RENEWALS_PER_S
    return {
        'leases': lease_count,
        'holders': messages,
        'bytes_per_s_at_a_grantor': round(size * per_s),
        'bytes_per_s_for_a_lease_and_grantor': round(
            size * per_s / lease_count, 1
        ),
        'grantor_reducer_us_for_a_renewal': round(grant_us / len(batch), 1),
        'grantor_codec_us_for_a_renewal': round(codec_us / len(batch), 1),
        'holder_and_grantors_reducer_us_for_a_renewal': round(
            round_us / len(batch), 1
        ),
        'grantor_core_share': round((grant_us + codec_us) * per_s / 1e6, 5),
    }


def show(name: str, **figures: object) -> None:
    """Print one JSON line."""
    print(json.dumps({'figure': name, **figures}), flush=True)


def main() -> None:
    """Run all measurements."""
    seeds = range(SEEDS)
    for candidates in (2, 3):
        times = [failover(seed, candidates) for seed in seeds]
        show(
            'failover_s',
            candidates=candidates,
            mean=round(statistics.mean(times), 3),
            **quantiles(times),
        )
    dead = [failover_with_dead_grantor(seed) for seed in seeds]
    show('failover_with_a_dead_grantor_s', **quantiles(dead))
    show('handover_s', **quantiles([handover(seed) for seed in seeds]))
    show('bytes_per_s_with_two_waiting', **waiting_bytes())
    for lease_count in (2, 60):
        for is_one_holder in (True, False):
            show('renewals', **renewal_cost(lease_count, is_one_holder))


if __name__ == '__main__':
    main()
