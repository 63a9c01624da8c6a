"""What is measured with reducers in one process, each at several sizes."""

import collections
from collections import abc
import dataclasses
import gc
import hashlib
import json
import statistics
import tracemalloc
import typing

from dandeliongw.coordination import ballot as ballots
from dandeliongw.coordination import claim_messages
from dandeliongw.coordination import claims
from dandeliongw.coordination import configuration
from dandeliongw.coordination import presence
from dandeliongw.coordination import register_messages
from dandeliongw.coordination import voters as voter_sets
from dandeliongw import document
from dandeliongw import events
from dandeliongw import policy
from dandeliongw import wire

from tools import capacity_fits as fits
from tools import capacity_network as networks

#: Cache events in one renewal of a model engine.
CACHE_EVENTS = 4
#: Tokens of a call that ends soon, and seconds until bookings are all held.
_FEW_TOKENS = 10
_BOOKED_S = 3.0
#: Voters where the number of instances varies.
_VOTERS = 5
#: Instances to one voter where the number of voters varies.
ASKERS = 4
#: Virtual seconds in which the cost without calls is taken.
IDLE_S = 5.0
#: Voters that grant the leases of :func:`by_cells`.
LEASE_VOTERS = 5
_MICRO = 1e6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sizes:
    """How large and how long the runs are."""

    instances: tuple[int, ...] = (10, 24, 45)
    voters: tuple[int, ...] = (3, 5, 7)
    models: tuple[int, ...] = (0, 4, 8)
    fronts: int = 18
    replicas: tuple[int, ...] = (20, 40, 66)
    rates: tuple[int, ...] = (10, 20, 40)
    bookings: tuple[int, ...] = (0, 60, 120, 240)
    prompt_tokens: tuple[int, ...] = (64, 1024, 4096)
    accounts: tuple[int, ...] = (100, 600, 1200)
    slots: tuple[int, ...] = (1000, 4000)
    members: tuple[int, ...] = (4, 8, 16)
    records: tuple[int, ...] = (1000, 10_000)
    settle_s: float = 10.0
    seconds: float = 5.0


QUICK = Sizes(
    instances=(7, 9),
    voters=(1, 2),
    models=(0, 1),
    fronts=5,
    replicas=(5, 10),
    rates=(2, 4),
    bookings=(0, 5, 10),
    prompt_tokens=(64, 1024),
    accounts=(10, 50),
    slots=(50, 100),
    members=(3, 4),
    records=(10, 100),
    settle_s=1.0,
    seconds=1.0,
)


def all_fits(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """Measure everything, one line after the other."""
    yield from by_instances(sizes)
    yield from by_cells(sizes)
    yield from by_replicas(sizes)
    yield from by_requests(sizes)
    yield from by_bookings(sizes)
    yield from by_prompt(sizes)
    yield from by_claims(sizes)
    yield from by_changes(sizes)
    yield from by_history(sizes)
    yield from memory(sizes)


def _started(
    instances: int, voters: int, models: int, accounts: int = 1
) -> networks.Network:
    network = networks.Network(instances=instances, voters=voters)
    network.start(networks.make_document(models=models, accounts=accounts))
    # Leases are taken and first looks are over.
    network.run(4.0)
    return network


def _measured(network: networks.Network, seconds: float) -> None:
    network.reset()
    gc.collect()
    network.run(seconds)


def _mean(values: abc.Iterable[float]) -> float:
    return statistics.fmean(list(values) or [0.0])


def _owns(node: networks.Node) -> bool:
    return bool(node.reducer.owner.cells_by_id)


def _lines(
    points_by_name: dict[tuple[str, str], list[tuple[float, float]]], per: str
) -> abc.Iterator[fits.Fit]:
    for (name, unit), points in points_by_name.items():
        yield fits.fit(name, unit=unit, per=per, points=points)


def by_instances(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """An idle system: probes, news, and asks for the configuration.

    Leases are left out here, see :func:`by_cells`. A voter's cost grows
    with the instances that ask it, and with the voters that it asks.
    """
    points = collections.defaultdict(list)
    asked = collections.defaultdict(list)
    for count in sizes.instances:
        by_role = _idle(count, _VOTERS, sizes)
        for (quantity, unit), value in by_role['entry'].items():
            points[f'entry {quantity}', unit].append((count, value))
        for (quantity, unit), value in by_role['voter'].items():
            asked[f'voter {quantity}, by askers', unit].append(
                (count / _VOTERS, value)
            )
    yield from _lines(points, 'instance')
    yield from _lines(asked, 'instance that asks this voter')
    points.clear()
    for voters in sizes.voters:
        by_role = _idle(voters * ASKERS, voters, sizes)
        for (quantity, unit), value in by_role['voter'].items():
            points[f'voter {quantity}, by voters', unit].append(
                (voters, value)
            )
    yield from _lines(points, 'voter')


def _idle(
    instances: int, voters: int, sizes: Sizes
) -> dict[str, dict[tuple[str, str], float]]:
    network = _started(instances, voters, models=0)
    # News of the start goes on for some rounds after all know all.
    network.run(sizes.settle_s)
    seconds = sizes.seconds
    _measured(network, seconds)
    return {
        role: {
            (quantity, unit): _mean(read(each.meter) for each in nodes)
            / seconds
            for quantity, unit, read in _IDLE
        }
        for role, nodes in _by_role(network).items()
    }


def _idle_bytes(meter: networks.Meter) -> float:
    return meter.bytes - meter.bytes_by_part['leases']


def _idle_messages(meter: networks.Meter) -> float:
    return meter.messages - meter.messages_by_part['leases']


def _idle_cpu(meter: networks.Meter) -> float:
    return (meter.cpu_s - meter.cpu_s_by_part['leases']) * _MICRO


_IDLE: tuple[tuple[str, str, abc.Callable], ...] = (
    ('idle bytes', 'B/s', _idle_bytes),
    ('idle messages', '1/s', _idle_messages),
    ('idle processor time', 'us/s', _idle_cpu),
)


def _by_role(network: networks.Network) -> dict[str, list[networks.Node]]:
    nodes = list(network.nodes_by_id.values())
    return {
        'voter': [
            each for each in nodes if _is_voter(each) and not _owns(each)
        ],
        'entry': [
            each for each in nodes if not _is_voter(each) and not _owns(each)
        ]
        # In the smallest systems every instance is a voter or an owner.
        or nodes,
    }


def _is_voter(node: networks.Node) -> bool:
    return node.reducer.register.disk_id is not None


def by_cells(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """Leases: one for each cell, renewed at every voter."""
    points = collections.defaultdict(list)
    for models in sizes.models:
        network = _started(sizes.instances[0], LEASE_VOTERS, models)
        _measured(network, sizes.seconds)
        nodes = list(network.nodes_by_id.values())
        held = sum(len(each.reducer.owner.cells_by_id) for each in nodes)
        voters = [each.meter for each in nodes if _is_voter(each)]
        total = sum(each.meter.bytes_by_part['leases'] for each in nodes)
        of_voters = _mean(each.bytes_by_part['leases'] for each in voters)
        cpu = _mean(each.cpu_s_by_part['leases'] for each in voters)
        seconds = sizes.seconds
        points['lease bytes at a voter', 'B/s'].append(
            (held, of_voters / seconds)
        )
        points['lease bytes of all together', 'B/s'].append(
            (held, total / seconds)
        )
        messages = _mean(each.messages_by_part['leases'] for each in voters)
        points['lease messages at a voter', '1/s'].append(
            (held, messages / seconds)
        )
        points['lease processor time at a voter', 'us/s'].append(
            (held, cpu * _MICRO / seconds)
        )
    yield from _lines(points, 'cell')


class _Replicas:
    """Stand-ins for backend servers that renew once a second."""

    def __init__(
        self, network: networks.Network, count: int, slots: int = 20
    ) -> None:
        self._sequence = 1
        self._due_by_node: dict[str, list[tuple[str, float]]] = {}
        ids = network.ids
        for number in range(count):
            decodes = number % 4 != 0
            backend_id = f'engine-{number:04}'
            announcement = presence.BackendAnnouncement(
                backend_id=backend_id,
                incarnation=1,
                sequence=1,
                service='model-0',
                role=(
                    presence.BackendRole.DECODE
                    if decodes
                    else presence.BackendRole.PREFILL
                ),
                url=f'http://10.9.{number // 200}.{number % 200 + 1}:9000',
                # All in one cell, whose owner is looked at.
                data_centre=f'centre-{number % 2}',
                slots=slots,
                checks_fence=True,
            )
            front = ids[number % len(ids)]
            network.tell(
                front,
                presence.Announced(
                    now=network.now, announcement=announcement, ticket=''
                ),
            )
            self._due_by_node.setdefault(front, []).append(
                (backend_id, network.now + number / count)
            )
        self._network = network
        network.load = self.renew

    def renew(self, node: networks.Node) -> None:
        """Send what is due at one instance."""
        due = self._due_by_node.get(node.instance_id, [])
        for place, (backend_id, at) in enumerate(due):
            if at > self._network.now:
                continue
            due[place] = (backend_id, at + 1.0)
            self._sequence += 1
            self._network.tell(
                node.instance_id, self._renewed(backend_id), 'presence'
            )

    def _renewed(self, backend_id: str) -> presence.Renewed:
        number = self._sequence
        return presence.Renewed(
            now=self._network.now,
            backend_id=backend_id,
            incarnation=1,
            sequence=number,
            load=presence.BackendLoad(
                running=17,
                waiting=2,
                queued_tokens=9000 + number,
                slots_used=17,
                kv_bytes=2**34,
            ),
            cache_events=presence.CacheEvents(
                first=number * CACHE_EVENTS,
                events=tuple(
                    presence.CacheEvent(
                        kind=presence.CacheEventKind.STORED,
                        prefix=f'{number:08x}{each:08x}',
                    )
                    for each in range(CACHE_EVENTS)
                ),
            ),
            ticket='',
        )


def _owner_of(network: networks.Network, service: str) -> networks.Node:
    return next(
        node
        for node in network.nodes_by_id.values()
        for cell in node.reducer.owner.cells_by_id
        if cell.startswith(f'{service}/{networks.REGIONS[0]}/')
    )


def by_replicas(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """Renewals with load and cache events, passed on to a cell's owner."""
    points = collections.defaultdict(list)
    seconds = sizes.seconds
    for count in (0, *sizes.replicas):
        network = _started(sizes.fronts, _VOTERS, models=1)
        _Replicas(network, count)
        network.run(3.0)
        _measured(network, seconds)
        owner = _owner_of(network, 'model-0').meter
        meters = [each.meter for each in network.nodes_by_id.values()]
        total = sum(each.bytes_by_part['presence'] for each in meters)
        points['renewal bytes at the owner', 'B/s'].append(
            (count, owner.bytes_by_part['presence'] / seconds)
        )
        points['renewal bytes of all together', 'B/s'].append(
            (count, total / seconds)
        )
        points['renewal messages at the owner', '1/s'].append(
            (count, owner.messages_by_part['presence'] / seconds)
        )
        cpu = owner.cpu_s_by_part['presence'] + owner.cpu_s_by_part['ticks']
        points['renewal processor time at the owner', 'us/s'].append(
            (count, cpu * _MICRO / seconds)
        )
    yield from _lines(points, 'replica of one cell')


def _call(max_tokens: int, prompt_tokens: int) -> events.Call:
    blocks = prompt_tokens // 64
    return events.Call(
        service='model-0',
        method='POST',
        path='/v1/completions',
        streamed=True,
        key_sha256=hashlib.sha256(networks.KEY.encode()).hexdigest(),
        idempotency_key=None,
        digest=b'\1' * 32,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        prefix=tuple(f'{block:016x}' for block in range(blocks)),
    )


class _Calls:
    """Callers that send at an even rate to the instances in turn.

    :param entries: who gets them.
    """

    def __init__(
        self,
        *,
        network: networks.Network,
        entries: abc.Sequence[str],
        rate: float,
        seconds: float,
        make: abc.Callable[[int], events.Call],
    ) -> None:
        for number in range(int(rate * seconds)):
            entry = entries[number % len(entries)]
            network.at(
                number / rate,
                lambda number=number, entry=entry: network.call(
                    entry, f'{number:032x}', make(number)
                ),
            )


def _engines() -> tuple[networks.Network, networks.Node, list[networks.Node]]:
    """Return a network with engines, the owner and entries of its region."""
    network = _started(9, _VOTERS, models=1)
    _Replicas(network, 12, slots=400)
    network.run(3.0)
    _measured(network, IDLE_S)
    owner = _owner_of(network, 'model-0')
    entries = [
        each
        for each in network.nodes_by_id.values()
        if each.region == networks.REGIONS[0] and each is not owner
    ]
    return network, owner, entries


def _run_calls(
    *, rate: float, prompt_tokens: int, seconds: float
) -> tuple[dict[tuple[str, str], float], int]:
    """Return what the owner and the entries spent, and the answered calls.

    Processor time that they spend anyway is taken off.
    """
    network, owner, entries = _engines()
    _Calls(
        network=network,
        entries=[each.instance_id for each in entries],
        rate=rate,
        seconds=seconds,
        make=lambda _: _call(_FEW_TOKENS, prompt_tokens),
    )
    # To the end of the last, so that every call counts whole.
    drain_s = networks.PREFILL_S + _FEW_TOKENS * networks.TOKEN_S + 1.0
    groups = {'the owner': [owner], 'the entries': entries}
    idle = {name: _cpu(group) / IDLE_S for name, group in groups.items()}
    _measured(network, seconds + drain_s)
    if network.refusals or network.answered < int(rate * seconds):
        raise RuntimeError(
            f'{network.answered} answered, refused: {network.refusals}'
        )
    spent = {}
    for name, group in groups.items():
        spent[f'request bytes at {name}', 'B'] = sum(
            each.meter.bytes_by_part['cells'] for each in group
        )
        spent[f'request messages at {name}', '1'] = sum(
            each.meter.messages_by_part['cells'] for each in group
        )
        spent[f'request processor time at {name}', 'us'] = (
            _cpu(group) - idle[name] * (seconds + drain_s)
        ) * _MICRO
    return spent, network.answered


def _cpu(nodes: list[networks.Node]) -> float:
    return sum(each.meter.cpu_s for each in nodes)


def by_requests(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """Booking, start and release of requests that end soon."""
    points = collections.defaultdict(list)
    for rate in sizes.rates:
        spent, answered = _run_calls(
            rate=rate, prompt_tokens=64, seconds=sizes.seconds
        )
        for key, value in spent.items():
            points[key].append((answered, value))
    yield from _lines(points, 'request')


def by_bookings(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """Bookings that are held all the time, and nothing else."""
    points = collections.defaultdict(list)
    for count in sizes.bookings:
        network, owner, entries = _engines()
        tokens = int((_BOOKED_S + sizes.seconds + 2) / networks.TOKEN_S)
        _Calls(
            network=network,
            entries=[each.instance_id for each in entries],
            rate=max(1, count),
            seconds=count and 1.0,
            make=lambda _, tokens=tokens: _call(tokens, 64),
        )
        network.run(_BOOKED_S)
        _measured(network, sizes.seconds)
        if network.refusals or network.answered:
            raise RuntimeError('not all bookings were held all the time')
        for name, group in (('the owner', [owner]), ('the entries', entries)):
            for what, unit, value in (
                ('bytes', 'B/s', _bytes_of_cells(group)),
                ('processor time', 'us/s', _cpu(group) * _MICRO),
            ):
                points[f'held booking {what} at {name}', unit].append(
                    (count, value / sizes.seconds)
                )
    yield from _lines(points, 'booking')


def _bytes_of_cells(nodes: list[networks.Node]) -> float:
    return sum(each.meter.bytes_by_part['cells'] for each in nodes)


def by_prompt(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """The hashes of a prompt's blocks travel to the owner."""
    points = []
    for tokens in sizes.prompt_tokens:
        spent, answered = _run_calls(
            rate=sizes.rates[0],
            prompt_tokens=tokens,
            seconds=sizes.seconds / 2,
        )
        total = spent['request bytes at the entries', 'B']
        points.append((tokens, total / answered))
    yield fits.fit(
        'request bytes at its entry',
        unit='B',
        per='prompt token',
        points=points,
    )


def by_claims(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """Non-idempotent calls with a key: a claim before, a record after."""
    points = collections.defaultdict(list)
    for rate in sizes.rates:
        network = _started(9, 5, models=1)
        announce_desk(network)
        network.run(1.0)
        _measured(network, 0.0)
        entries = [
            each.instance_id
            for each in network.nodes_by_id.values()
            if not _is_voter(each) and each.region == networks.REGIONS[0]
        ]
        # Presence of the plain service lasts three seconds unrenewed.
        _Calls(
            network=network,
            entries=entries,
            rate=rate,
            seconds=1.0,
            make=_booking,
        )
        network.run(2.0)
        if network.answered < rate or network.refusals:
            raise RuntimeError(f'refused: {network.refusals}')
        holders = [
            each.meter
            for each in network.nodes_by_id.values()
            if _is_voter(each)
        ]
        of_entries = [network.nodes_by_id[each].meter for each in entries]
        for name, unit, value in (
            (
                'claim bytes at a voter',
                'B',
                _mean(each.bytes_by_part['claims'] for each in holders),
            ),
            (
                'claim processor time at a voter',
                'us',
                _mean(each.cpu_s_by_part['claims'] for each in holders)
                * _MICRO,
            ),
            (
                'claim bytes at the entries',
                'B',
                sum(each.bytes_by_part['claims'] for each in of_entries),
            ),
        ):
            points[name, unit].append((rate, value))
    yield from _lines(points, 'claimed call')


def announce_desk(network: networks.Network) -> None:
    """Let one plain service announce itself."""
    announcement = presence.BackendAnnouncement(
        backend_id='desk-1',
        incarnation=1,
        sequence=1,
        service='desk',
        role=presence.BackendRole.PLAIN,
        url='http://10.9.9.9:9000',
        data_centre='centre-0',
        slots=1000,
        checks_fence=False,
    )
    network.tell(
        network.ids[0],
        presence.Announced(
            now=network.now, announcement=announcement, ticket=''
        ),
    )


def _booking(number: int) -> events.Call:
    return events.Call(
        service='desk',
        method='POST',
        path='/bookings',
        streamed=False,
        key_sha256=hashlib.sha256(networks.KEY.encode()).hexdigest(),
        idempotency_key=f'{number:032x}',
        digest=b'\1' * 32,
    )


def by_changes(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """One change after the other, by the number of accounts."""
    points = collections.defaultdict(list)
    for accounts in sizes.accounts:
        tree = networks.make_document(models=6, accounts=accounts)
        network = networks.Network(instances=9, voters=5)
        network.start(tree)
        network.run(3.0)
        network.reset()
        waits = []
        changes = 3
        for number in range(changes):
            tree['accounts'][0]['max_in_flight'] -= 1
            wanted = network.revision_everywhere() + 1
            network.propose(tree, f'change-{number}')
            waits.append(
                network.run_until(
                    lambda wanted=wanted: (
                        network.revision_everywhere() >= wanted
                    ),
                    30.0,
                )
            )
        nodes = list(network.nodes_by_id.values())
        voters = [each.meter for each in nodes if _is_voter(each)]
        others = [each.meter for each in nodes if not _is_voter(each)]
        for name, unit, value in (
            ('change bytes at an entry', 'B', _register_bytes(others)),
            ('change bytes at a voter', 'B', _register_bytes(voters)),
            (
                'change processor time at an entry',
                'us',
                _mean(each.cpu_s_by_part['register'] for each in others)
                * _MICRO,
            ),
        ):
            points[name, unit].append((accounts, value / changes))
        points['seconds until in force everywhere', 's'].append(
            (accounts, max(waits))
        )
    yield from _lines(points, 'client account')


def _register_bytes(meters: list[networks.Meter]) -> float:
    return _mean(each.bytes_by_part['register'] for each in meters)


def memory(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """What one more of each costs in memory, by tracemalloc."""
    for name, per, counts, make in (
        ('memory of claims', 'claimed call', sizes.slots, _claim_slots),
        ('memory of presence', 'replica', sizes.slots, _presences),
        ('memory of known prefixes', 'block', sizes.slots, _blocks),
        ('memory of the document', 'client account', sizes.accounts, _parsed),
        ('memory of the history', 'change', sizes.records, _history),
        ('memory of a reducer', 'instance', sizes.members, _network),
    ):
        points = [(count, _allocated(make, count)) for count in counts]
        yield fits.fit(name, unit='B', per=per, points=points)
    codec = wire.make_codec()
    body = codec.encode(_claim_slot(1))[1]
    yield fits.fit(
        'journal of claims',
        unit='B',
        per='claimed call',
        # Two records: one when it is taken, one with the outcome.
        points=[(1, 2 * len(body)), (2, 4 * len(body))],
    )


def _allocated(
    make: abc.Callable[[int], tuple[typing.Any, float]], count: int
) -> float:
    gc.collect()
    tracemalloc.start()
    kept, copies = make(count)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used / copies


def by_history(sizes: Sizes) -> abc.Iterator[fits.Fit]:
    """The whole configuration, as one gets it who is far behind."""
    codec = wire.make_codec()
    points = []
    for count in sizes.records:
        full = configuration.Configuration(
            revision=count,
            document=b'',
            author='operator',
            changes=tuple(_change(number) for number in range(count)),
            voters=voter_sets.Voters(
                voters_by_id={}, joining_by_id={}, number=1
            ),
        )
        update = configuration.VersionUpdate(
            ballot=ballots.Ballot(number=1, proposer='entry-000', nonce=1),
            full=full,
        )
        confirmed = register_messages.ConfigurationConfirmed(
            ask_id=1, update=update
        )
        points.append((count, len(codec.encode(confirmed)[1])))
    yield fits.fit(
        'bytes of the whole configuration',
        unit='B',
        per='change in its history',
        points=points,
    )


def _change(number: int) -> configuration.ChangeRecord:
    return configuration.ChangeRecord(
        change_id=f'{number:032x}',
        revision=number,
        digest=number.to_bytes(configuration.DIGEST_BYTES, 'big'),
        author='maribel',
    )


def _claim_slot(number: int) -> claim_messages.ClaimSlot:
    return claim_messages.ClaimSlot(
        key=f'account-17/desk/{number:032x}',
        round=0,
        state=claim_messages.SlotState.RECORDED,
        digest=number.to_bytes(32, 'big'),
        attempt_id=f'{number:032x}',
        deadline_s=10.0,
        outcome=f'{{"booked": "a horse for {number}"}}'.encode() * 5,
        kept=True,
    )


def _claim_slots(count: int) -> tuple[typing.Any, float]:
    part = claims.Claims(
        instance_id='entry-000',
        is_holder=True,
        disk_id='disk',
        retention_s=86400.0,
        max_records=10**6,
        max_outcome_bytes=65536,
        round_trip_s=0.05,
    )
    for number in range(count):
        part.restore(_claim_slot(number))
    return part, 1


def _presences(count: int) -> tuple[typing.Any, float]:
    part = presence.Presence(instance_id='entry-000')
    for number in range(count):
        announcement = presence.BackendAnnouncement(
            backend_id=f'engine-{number:04}',
            incarnation=1,
            sequence=1,
            service='model-0',
            role=presence.BackendRole.DECODE,
            url=f'http://10.9.{number // 200}.{number % 200 + 1}:9000',
            data_centre='centre-0',
            slots=20,
            checks_fence=True,
        )
        part.handle(
            presence.Announced(now=1.0, announcement=announcement, ticket='')
        )
        part.handle(
            presence.Forward(
                now=1.0,
                backend_id=announcement.backend_id,
                to=('entry-000', 'entry-001'),
            )
        )
    return part, 1


def _blocks(count: int) -> tuple[typing.Any, float]:
    state = policy.BackendState(
        backend=policy.CellBackend(
            backend_id='engine-1',
            incarnation=1,
            role=policy.Role.PREFILL,
            url='http://10.9.9.9:9000',
            slots=4,
        )
    )
    wanted = min(count, policy.MOST_BLOCKS)
    state.add_blocks([f'{block:016x}' for block in range(wanted)])
    return state, 1


def _history(count: int) -> tuple[typing.Any, float]:
    return tuple(_change(number) for number in range(count)), 1


def _parsed(count: int) -> tuple[typing.Any, float]:
    tree = networks.make_document(models=6, accounts=count)
    body = json.dumps(tree).encode()
    del tree
    parsed = document.parse_document(body)
    return (parsed, parsed.accounts_by_key_sha256), 1


def _network(count: int) -> tuple[typing.Any, float]:
    network = networks.Network(instances=count, voters=3)
    network.start(networks.make_document(models=0, accounts=1))
    return network, count
