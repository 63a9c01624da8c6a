"""Measures the costs of renewals, requests, held bookings and claims."""

import collections
from collections import abc
import hashlib

from dandeliongw.cell import cells
from dandeliongw.coordination import presence
from dandeliongw import events

from tools import capacity_common as common
from tools import capacity_fits as fits
from tools import capacity_network as networks

#: Cache events in each renewal of a model engine.
CACHE_EVENTS = 4
#: Tokens of a short call; seconds until all bookings are held.
_FEW_TOKENS = 10
_BOOKED_S = 3.0
#: Virtual seconds in which the costs without calls are measured.
IDLE_S = 5.0


class _RenewingReplicas:
    """Simulated backend servers of one service, renewed once a second."""

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
                # All in one cell, whose owner is measured.
                data_centre=f'centre-{number % 2}',
                slots=slots,
                checks_fence=True,
            )
            entry_id = ids[number % len(ids)]
            network.handle_event(
                entry_id,
                presence.Announced(
                    now=network.now, announcement=announcement, ticket=''
                ),
            )
            self._due_by_node.setdefault(entry_id, []).append(
                (backend_id, network.now + number / count)
            )
        self._network = network
        network.load = self.renew

    def renew(self, node: networks.Node) -> None:
        """Send the renewals that are due at one instance."""
        due = self._due_by_node.get(node.instance_id, [])
        for index, (backend_id, at) in enumerate(due):
            if at > self._network.now:
                continue
            due[index] = (backend_id, at + 1.0)
            self._sequence += 1
            self._network.handle_event(
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


def by_replicas(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure renewals with load and cache events, forwarded to the owner."""
    points = collections.defaultdict(list)
    seconds = sizes.seconds
    for count in (0, *sizes.replicas):
        network = common.start_network(sizes.fronts, common.VOTERS, models=1)
        _RenewingReplicas(network, count)
        network.run(3.0)
        common.measure(network, seconds)
        owner = common.owner_of(network, 'model-0').meter
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
            (count, cpu * common.MICRO / seconds)
        )
    yield from common.fit_lines(points, 'replica of one cell')


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


class _CallSchedule:
    """Schedules calls at a constant rate, to the entries in turn.

    :param rate: calls a second.
    :param seconds: how long calls are sent.
    :param make_call: returns the n-th call.
    """

    def __init__(
        self,
        *,
        network: networks.Network,
        entries: abc.Sequence[str],
        rate: float,
        seconds: float,
        make_call: abc.Callable[[int], events.Call],
    ) -> None:
        for number in range(int(rate * seconds)):
            entry = entries[number % len(entries)]
            network.at(
                number / rate,
                lambda number=number, entry=entry: network.call(
                    entry, f'{number:032x}', make_call(number)
                ),
            )


def _start_with_engines() -> tuple[
    networks.Network, networks.Node, list[networks.Node]
]:
    """Return a network with engines, the cell's owner and its entries."""
    network = common.start_network(9, common.VOTERS, models=1)
    _RenewingReplicas(network, 12, slots=400)
    network.run(3.0)
    common.measure(network, IDLE_S)
    owner = common.owner_of(network, 'model-0')
    entries = [
        each
        for each in network.nodes_by_id.values()
        if each.region == networks.REGIONS[0] and each is not owner
    ]
    return network, owner, entries


def _run_calls(
    *, rate: float, prompt_tokens: int, seconds: float
) -> tuple[dict[tuple[str, str], float], int]:
    """Return the costs of the owner and of the entries, and the answers.

    Processor time that they spend without calls is subtracted.
    """
    network, owner, entries = _start_with_engines()
    _CallSchedule(
        network=network,
        entries=[each.instance_id for each in entries],
        rate=rate,
        seconds=seconds,
        make_call=lambda _: _call(_FEW_TOKENS, prompt_tokens),
    )
    # Measure until the last call has ended, to count all of its costs.
    drain_s = networks.PREFILL_S + _FEW_TOKENS * networks.TOKEN_S + 1.0
    groups = {'the owner': [owner], 'the entries': entries}
    idle = {name: _cpu(group) / IDLE_S for name, group in groups.items()}
    common.measure(network, seconds + drain_s)
    if network.refusals or network.answered < int(rate * seconds):
        raise RuntimeError(
            f'{network.answered} answered, refused: {network.refusals}'
        )
    costs_by_name = {}
    for name, group in groups.items():
        costs_by_name[f'request bytes at {name}', 'B'] = sum(
            each.meter.bytes_by_part['cells'] for each in group
        )
        # Progress messages depend on time and are measured in by_bookings.
        costs_by_name[f'request messages at {name}', '1'] = sum(
            each.meter.messages_by_part['cells']
            - each.meter.messages_by_kind[cells.Progress.__name__]
            for each in group
        )
        costs_by_name[f'request processor time at {name}', 'us'] = (
            _cpu(group) - idle[name] * (seconds + drain_s)
        ) * common.MICRO
    return costs_by_name, network.answered


def _cpu(nodes: list[networks.Node]) -> float:
    return sum(each.meter.cpu_s for each in nodes)


def by_requests(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure booking, start and release of short requests."""
    points = collections.defaultdict(list)
    for rate in sizes.rates:
        costs_by_name, answered = _run_calls(
            rate=rate, prompt_tokens=64, seconds=sizes.seconds
        )
        for key, value in costs_by_name.items():
            points[key].append((answered, value))
    yield from common.fit_lines(points, 'request')


def by_bookings(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure bookings that are held during the whole measurement."""
    points = collections.defaultdict(list)
    for count in sizes.bookings:
        network, owner, entries = _start_with_engines()
        tokens = int((_BOOKED_S + sizes.seconds + 2) / networks.TOKEN_S)
        _CallSchedule(
            network=network,
            entries=[each.instance_id for each in entries],
            rate=max(1, count),
            seconds=count and 1.0,
            make_call=lambda _, tokens=tokens: _call(tokens, 64),
        )
        network.run(_BOOKED_S)
        common.measure(network, sizes.seconds)
        if network.refusals or network.answered:
            raise RuntimeError('a booking ended during the measurement')
        for name, group in (('the owner', [owner]), ('the entries', entries)):
            for what, unit, value in (
                ('bytes', 'B/s', _bytes_of_cells(group)),
                ('processor time', 'us/s', _cpu(group) * common.MICRO),
            ):
                points[f'held booking {what} at {name}', unit].append(
                    (count, value / sizes.seconds)
                )
    yield from common.fit_lines(points, 'booking')


def _bytes_of_cells(nodes: list[networks.Node]) -> float:
    return sum(each.meter.bytes_by_part['cells'] for each in nodes)


def by_prompt(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure the block hashes of prompts, which are sent to the owner."""
    points = []
    for tokens in sizes.prompt_tokens:
        costs_by_name, answered = _run_calls(
            rate=sizes.rates[0],
            prompt_tokens=tokens,
            seconds=sizes.seconds / 2,
        )
        total = costs_by_name['request bytes at the entries', 'B']
        points.append((tokens, total / answered))
    yield fits.fit(
        'request bytes at its entry',
        unit='B',
        per='prompt token',
        points=points,
    )


def by_claims(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure non-idempotent calls with a key: one claim, one record."""
    points = collections.defaultdict(list)
    for rate in sizes.rates:
        network = common.start_network(9, 5, models=1)
        _announce_desk(network)
        network.run(1.0)
        common.measure(network, 0.0)
        entries = [
            each.instance_id
            for each in network.nodes_by_id.values()
            if not common.is_voter(each) and each.region == networks.REGIONS[0]
        ]
        # The presence lease of the plain service lasts three seconds and
        # isn't renewed, so the measurement must end before.
        _CallSchedule(
            network=network,
            entries=entries,
            rate=rate,
            seconds=1.0,
            make_call=_booking,
        )
        network.run(2.0)
        if network.answered < rate or network.refusals:
            raise RuntimeError(f'refused: {network.refusals}')
        holders = [
            each.meter
            for each in network.nodes_by_id.values()
            if common.is_voter(each)
        ]
        of_entries = [network.nodes_by_id[each].meter for each in entries]
        for name, unit, value in (
            (
                'claim bytes at a voter',
                'B',
                common.mean(each.bytes_by_part['claims'] for each in holders),
            ),
            (
                'claim processor time at a voter',
                'us',
                common.mean(each.cpu_s_by_part['claims'] for each in holders)
                * common.MICRO,
            ),
            (
                'claim bytes at the entries',
                'B',
                sum(each.bytes_by_part['claims'] for each in of_entries),
            ),
        ):
            points[name, unit].append((rate, value))
    yield from common.fit_lines(points, 'claimed call')


def _announce_desk(network: networks.Network) -> None:
    """Announce one plain service."""
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
    network.handle_event(
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
