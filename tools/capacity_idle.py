"""An idle system: probes, asks for the configuration, leases."""

import collections
from collections import abc

from tools import capacity_common as common
from tools import capacity_fits as fits
from tools import capacity_network as networks

#: Instances to one voter where the number of voters varies.
ASKERS = 4


def by_instances(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """An idle system: probes, news, and asks for the configuration.

    Leases are left out here, see :func:`by_cells`. A voter's cost grows
    with the instances that ask it, and with the voters that it asks.
    """
    points = collections.defaultdict(list)
    asked = collections.defaultdict(list)
    for count in sizes.instances:
        by_role = _idle(count, common.VOTERS, sizes)
        for (quantity, unit), value in by_role['entry'].items():
            points[f'entry {quantity}', unit].append((count, value))
        for (quantity, unit), value in by_role['voter'].items():
            asked[f'voter {quantity}, by askers', unit].append(
                (count / common.VOTERS, value)
            )
    yield from common.lines(points, 'instance')
    yield from common.lines(asked, 'instance that asks this voter')
    points.clear()
    for voters in sizes.voters:
        by_role = _idle(voters * ASKERS, voters, sizes)
        for (quantity, unit), value in by_role['voter'].items():
            points[f'voter {quantity}, by voters', unit].append(
                (voters, value)
            )
    yield from common.lines(points, 'voter')


def _idle(
    instances: int, voters: int, sizes: common.Sizes
) -> dict[str, dict[tuple[str, str], float]]:
    network = common.started(instances, voters, models=0)
    # News of the start goes on for some rounds after all know all.
    network.run(sizes.settle_s)
    seconds = sizes.seconds
    common.measured(network, seconds)
    return {
        role: {
            (quantity, unit): common.mean(read(each.meter) for each in nodes)
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
    return (meter.cpu_s - meter.cpu_s_by_part['leases']) * common.MICRO


_IDLE: tuple[tuple[str, str, abc.Callable], ...] = (
    ('idle bytes', 'B/s', _idle_bytes),
    ('idle messages', '1/s', _idle_messages),
    ('idle processor time', 'us/s', _idle_cpu),
)


def _by_role(network: networks.Network) -> dict[str, list[networks.Node]]:
    nodes = list(network.nodes_by_id.values())
    return {
        'voter': [
            each
            for each in nodes
            if common.is_voter(each) and not common.owns(each)
        ],
        'entry': [
            each
            for each in nodes
            if not common.is_voter(each) and not common.owns(each)
        ]
        # In the smallest systems every instance is a voter or an owner.
        or nodes,
    }


def by_cells(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Leases: one for each cell, renewed at every voter."""
    points = collections.defaultdict(list)
    for models in sizes.models:
        network = common.started(sizes.instances[0], common.VOTERS, models)
        common.measured(network, sizes.seconds)
        nodes = list(network.nodes_by_id.values())
        held = sum(len(each.reducer.owner.cells_by_id) for each in nodes)
        voters = [each.meter for each in nodes if common.is_voter(each)]
        total = sum(each.meter.bytes_by_part['leases'] for each in nodes)
        of_voters = common.mean(
            each.bytes_by_part['leases'] for each in voters
        )
        cpu = common.mean(each.cpu_s_by_part['leases'] for each in voters)
        seconds = sizes.seconds
        points['lease bytes at a voter', 'B/s'].append(
            (held, of_voters / seconds)
        )
        points['lease bytes of all together', 'B/s'].append(
            (held, total / seconds)
        )
        messages = common.mean(
            each.messages_by_part['leases'] for each in voters
        )
        points['lease messages at a voter', '1/s'].append(
            (held, messages / seconds)
        )
        points['lease processor time at a voter', 'us/s'].append(
            (held, cpu * common.MICRO / seconds)
        )
    yield from common.lines(points, 'cell')
