"""Instances in one process: real reducers, a virtual clock, a fake network.

Every message is encoded, sealed, opened and decoded as between processes, and
its bytes are counted. Sockets and the rest of a process aren't simulated;
``tools/capacity_processes.py`` measures what real processes spend.
"""

import collections
from collections import abc
import dataclasses
import hashlib
import heapq
import itertools
import json
import random
import time
import typing

from dandeliongw.cell import cells
from dandeliongw.coordination import claim_messages
from dandeliongw.coordination import lease_messages
from dandeliongw.coordination import membership
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine
from dandeliongw.coordination import rates
from dandeliongw.coordination import register
from dandeliongw.coordination import register_messages
from dandeliongw import document
from dandeliongw import effects
from dandeliongw import envelopes
from dandeliongw import events
from dandeliongw import reducer
from dandeliongw import runtime
from dandeliongw import settings
from dandeliongw import verdict
from dandeliongw import wire

#: Overhead of a message beyond its envelope: gRPC 5, HTTP/2 9, TCP and IP
#: 52.
FRAME_BYTES = 66
SYNC_S = 0.002
NEAR_S = 0.0005
FAR_S = 0.03
REGIONS = ('east', 'west')
PREFILL_S = 0.3
TOKEN_S = 0.034
CALL_S = 0.05
KEY = 'a caller'
_SECRET = b'a secret of the fake network'
_CODEC = wire.make_codec()
_MESSAGES_BY_PART = {
    'membership': membership.MESSAGES,
    'register': register_messages.MESSAGES,
    'leases': lease_messages.MESSAGES,
    'claims': claim_messages.MESSAGES,
    'presence': presence.MESSAGES,
    'cells': cells.MESSAGES,
    'quarantine': quarantine.MESSAGES,
    'rates': rates.MESSAGES,
}
_PART_BY_MESSAGE = {
    message: part
    for part, messages in _MESSAGES_BY_PART.items()
    for message in messages
}


@dataclasses.dataclass(kw_only=True)
class Meter:
    """The resources that one instance has used.

    :param messages_by_part: messages sent and received.
    :param messages_by_kind: the same, by the name of the message type.
    :param bytes_by_part: bytes sent and received, with ``FRAME_BYTES``.
    :param cpu_s_by_part: processor time in the reducer, the codec and the
        sealing of envelopes.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    messages_by_part: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    messages_by_kind: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    bytes_by_part: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    cpu_s_by_part: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def bytes(self) -> int:
        """Bytes sent and received."""
        return self.sent_bytes + self.received_bytes

    @property
    def messages(self) -> int:
        """Messages sent and received."""
        return sum(self.messages_by_part.values())

    @property
    def cpu_s(self) -> float:
        """Processor time of all parts."""
        return sum(self.cpu_s_by_part.values())


@dataclasses.dataclass(kw_only=True)
class Node:
    """One instance of the network."""

    instance_id: str
    reducer: reducer.Reducer
    sealer: envelopes.Sealer
    opener: envelopes.Opener
    region: str
    is_down: bool = False
    meter: Meter = dataclasses.field(default_factory=Meter)


class Network:
    """Simulated instances, connected by a fake network.

    :param instances: number of instances.
    :param voters: how many of them are voters.
    """

    def __init__(self, *, instances: int, voters: int) -> None:
        self.now = 1000.0
        self.results_by_ticket: dict[str, typing.Any] = {}
        self.refusals: collections.Counter[str] = collections.Counter()
        self.answered = 0
        self.load = _no_load
        self._random = random.Random(1)
        self._order = itertools.count()
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._max_tokens_by_request: dict[str, int] = {}
        peers = [_peer(each, each < voters) for each in range(instances)]
        self.nodes_by_id = {
            peer['instance_id']: _make_node(peer, peers) for peer in peers
        }
        self.ids = tuple(self.nodes_by_id)
        for index, node in enumerate(self.nodes_by_id.values()):
            # Stagger the ticks; otherwise all messages would be sent at once.
            self.at(index / instances * runtime.TICK_S, self._make_tick(node))

    # Time

    def at(self, after_s: float, action: abc.Callable[[], None]) -> None:
        """Schedule a call ``after_s`` seconds from now."""
        heapq.heappush(
            self._heap, (self.now + after_s, next(self._order), action)
        )

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until

    def run_until(
        self, check: abc.Callable[[], bool], limit_s: float
    ) -> float:
        """Advance the time until a check is true.

        :returns: the virtual seconds that it took.
        :raises TimeoutError: when it isn't true within ``limit_s``.
        """
        started = self.now
        while not check():
            if self.now - started > limit_s:
                raise TimeoutError(f'timed out waiting for {check}')
            self.run(0.05)
        return self.now - started

    def reset(self) -> None:
        """Reset all meters."""
        for node in self.nodes_by_id.values():
            node.meter = Meter()

    # Events and effects

    def handle_event(
        self, instance_id: str, event: typing.Any, part: str = ''
    ) -> None:
        """Let an instance handle an event, and perform the effects.

        :param part: counts the processor time; the event's type by default.
        """
        node = self.nodes_by_id[instance_id]
        name = part or type(event).__name__
        began = time.thread_time()
        requested = node.reducer.handle(event)
        sends = [each for each in requested if isinstance(each, parts.Send)]
        sealed = [
            (each, node.sealer.seal(each.to, *_CODEC.encode(each.message)))
            for each in sends
        ]
        node.meter.cpu_s_by_part[name] += time.thread_time() - began
        for each, envelope in sealed:
            self._send(node, each, envelope)
        for each in requested:
            self._perform(node, each)

    def _send(
        self, node: Node, send: parts.Send, envelope: typing.Any
    ) -> None:
        body = envelope.SerializeToString()
        part = _PART_BY_MESSAGE.get(type(send.message), 'cells')
        size = len(body) + FRAME_BYTES
        node.meter.sent_bytes += size
        node.meter.messages_by_part[part] += 1
        node.meter.messages_by_kind[envelope.kind] += 1
        node.meter.bytes_by_part[part] += size
        target = self.nodes_by_id.get(send.to)
        if target is None:
            return
        near = target.region == node.region

        def deliver() -> None:
            if target.is_down:
                return
            target.meter.received_bytes += size
            target.meter.messages_by_part[part] += 1
            target.meter.messages_by_kind[envelope.kind] += 1
            target.meter.bytes_by_part[part] += size
            began = time.thread_time()
            received = type(envelope).FromString(body)
            problem = target.opener.check(received)
            message = _CODEC.decode(received.kind, received.body)
            elapsed_s = time.thread_time() - began
            target.meter.cpu_s_by_part[part] += elapsed_s
            if problem is None:
                event = parts.Received(
                    now=self.now, sender=node.instance_id, message=message
                )
                self.handle_event(target.instance_id, event, part)

        self.at(NEAR_S if near else FAR_S, deliver)

    def _perform(self, node: Node, effect: typing.Any) -> None:
        match effect:
            case parts.Persist(token=token):
                self.at(SYNC_S, lambda: self._persisted(node, token))
            case parts.Complete(ticket=ticket, result=result):
                self.results_by_ticket[ticket] = result
            case effects.Refuse():
                self.refusals[effect.refusal.reason.value] += 1
                self._close(node, effect.request_id)
            case effects.Complete() | effects.Replay():
                self.answered += 1
                self._close(node, effect.request_id)
            case effects.RunPrefill():
                self._step(node, effect, events.Step.PREFILL, PREFILL_S)
            case effects.RunDecode():
                tokens = self._max_tokens_by_request[effect.request_id]
                self._step(node, effect, events.Step.DECODE, tokens * TOKEN_S)
            case effects.RunCall():
                self._step(node, effect, events.Step.CALL, CALL_S)

    def _persisted(self, node: Node, token: str) -> None:
        part = token.partition('/')[0]
        event = parts.Persisted(now=self.now, token=token)
        self.handle_event(node.instance_id, event, part)

    def _step(
        self, node: Node, effect: typing.Any, step: events.Step, after_s: float
    ) -> None:
        def end() -> None:
            ended = events.StepEnded(
                now=self.now,
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                step=step,
                known=verdict.Verdict.RAN,
                kv='kv-1',
                tokens=100,
                outcome=b'{"booked": true}',
            )
            self.handle_event(node.instance_id, ended, 'requests')

        self.at(after_s, end)

    def _close(self, node: Node, request_id: str) -> None:
        self._max_tokens_by_request.pop(request_id, None)
        closed = events.RequestClosed(now=self.now, request_id=request_id)
        self.handle_event(node.instance_id, closed, 'requests')

    def _make_tick(self, node: Node) -> abc.Callable[[], None]:
        def tick() -> None:
            if node.is_down:
                return
            self.at(runtime.TICK_S, tick)
            self.load(node)
            event = parts.Ticked(
                now=self.now, entropy=self._random.getrandbits(64)
            )
            self.handle_event(node.instance_id, event, 'ticks')

        return tick

    # Callers, operators and backend servers

    def propose(self, tree: dict[str, typing.Any], change_id: str) -> None:
        """Propose a document as the next revision, at the first instance."""
        first = self.nodes_by_id[self.ids[0]]
        body = document.document_bytes(
            document.parse_document(json.dumps(tree).encode())
        )
        event = register.Propose(
            now=self.now,
            ticket=change_id,
            change_id=change_id,
            author='operator',
            expected_revision=first.reducer.register.revision or 0,
            document=body,
            entropy=self._random.getrandbits(64),
        )
        self.handle_event(first.instance_id, event)

    def revision_everywhere(self) -> int:
        """Return the lowest revision of all instances; -1 before the first."""
        revisions = [
            node.reducer.register.revision
            for node in self.nodes_by_id.values()
        ]
        return min(-1 if each is None else each for each in revisions)

    def start(self, tree: dict[str, typing.Any]) -> None:
        """Run until all serve a document and see all members as alive."""
        self.run_until(lambda: self.revision_everywhere() >= 0, 60.0)
        self.propose(tree, 'first')
        self.run_until(lambda: self.revision_everywhere() >= 1, 60.0)
        self.run_until(self._all_members_alive, 120.0)

    def _all_members_alive(self) -> bool:
        return all(
            len(node.reducer.membership.alive_ids()) == len(self.ids)
            for node in self.nodes_by_id.values()
        )

    def call(
        self, instance_id: str, request_id: str, call: events.Call
    ) -> None:
        """Deliver a caller's request to an instance."""
        self._max_tokens_by_request[request_id] = call.max_tokens
        arrived = events.RequestArrived(
            now=self.now,
            request_id=request_id,
            call=call,
            entropy=self._random.getrandbits(64),
        )
        self.handle_event(instance_id, arrived, 'requests')


def _no_load(node: Node) -> None:
    """Generate no load; the default of :attr:`Network.load`."""


def _peer(number: int, voter: bool) -> dict[str, typing.Any]:
    centre = number % 4
    return {
        'instance_id': f'entry-{number:03}',
        'host': f'10.{centre}.{number // 200}.{number % 200 + 1}',
        'port': 7002,
        'data_centre': f'centre-{centre}',
        'region': REGIONS[centre // 2],
        'voter': voter,
    }


def _make_node(
    peer: dict[str, typing.Any], peers: list[dict[str, typing.Any]]
) -> Node:
    tree = {
        'instance_id': peer['instance_id'],
        'data_centre': peer['data_centre'],
        'region': peer['region'],
        'callers': {'host': peer['host'], 'port': 7000},
        'control': {'host': peer['host'], 'port': 7001},
        'peer': {'host': peer['host'], 'port': 7002},
        'peers': peers,
        'peer_secret': _SECRET.decode(),
    }
    if peer['voter']:
        tree['data_folder'] = '/var/lib/dandeliongw'
    instance_id = peer['instance_id']
    return Node(
        instance_id=instance_id,
        reducer=reducer.Reducer(
            settings=settings.parse_settings(json.dumps(tree).encode()),
            incarnation=time.time_ns(),
            disk_id=f'disk-of-{instance_id}' if peer['voter'] else None,
            callers_url=f'http://{peer["host"]}:7000',
        ),
        sealer=envelopes.Sealer(
            sender=instance_id, incarnation=1, secret=_SECRET
        ),
        opener=envelopes.Opener(recipient=instance_id, secret=_SECRET),
        region=peer['region'],
    )


def make_document(*, models: int, accounts: int) -> dict[str, typing.Any]:
    """Return a document with model services, a plain one and accounts.

    :param models: number of model services.
    :param accounts: number of client accounts.
    """
    names = [f'model-{number}' for number in range(models)]
    services: list[dict[str, typing.Any]] = [
        {
            'name': name,
            'kind': 'model',
            'first_token_s': 0.55,
            'token_gap_s': 0.034,
            'timeout_s': 120,
        }
        for name in names
    ]
    services.append({'name': 'desk', 'kind': 'plain', 'timeout_s': 10})
    pools = [{'name': 'desk', 'service': 'desk', 'role': 'plain', 'slots': 64}]
    routes = [
        {
            'service': 'desk',
            'method': 'POST',
            'path': '/bookings',
            'idempotent': False,
        }
    ]
    for name in names:
        pools += [_pool(name, 'prefill'), _pool(name, 'decode')]
        routes.append(
            {
                'service': name,
                'method': 'POST',
                'path': '/v1/completions',
                'idempotent': True,
            }
        )
    return {
        'version': 1,
        'services': services,
        'pools': pools,
        'priorities': [{'name': 'urgent', 'rank': 0, 'max_wait_s': 60}],
        'routes': routes,
        'accounts': [_account(each, names) for each in range(accounts)],
    }


def _pool(service: str, role: str) -> dict[str, typing.Any]:
    pool = {
        'name': f'{service}-{role}',
        'service': service,
        'role': role,
        'slots': 4 if role == 'prefill' else 20,
        'link_bytes_per_s': 1e11,
    }
    if role == 'prefill':
        pool |= {'kv_bytes_per_token': 1e5, 'prefill_tokens_per_s': 1e6}
    else:
        pool |= {'decode_tokens_per_s': 600}
    return pool


def _account(number: int, names: list[str]) -> dict[str, typing.Any]:
    key = KEY if number == 0 else f'caller {number}'
    return {
        'name': f'account-{number}',
        'key_sha256': hashlib.sha256(key.encode()).hexdigest(),
        'services': [*names, 'desk'],
        'max_in_flight': 100_000,
        'requests_per_s': 100_000,
        'priority': 'urgent',
    }
