"""Measures an idle system: probes, configuration queries, leases."""

import collections
from collections import abc

from tools import capacity_common as common
from tools import capacity_fits as fits
from tools import capacity_network as networks

#: Instances per voter where the number of voters varies.
INSTANCES_PER_VOTER = 4


def by_instances(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure probes, gossip and configuration queries of an idle system.

    Leases are excluded, see :func:`by_cells`. A voter's cost grows with the
    number of instances that query it and with the number of voters that it
    queries itself.
    """
    points = collections.defaultdict(list)
    points_by_querier = collections.defaultdict(list)
    for count in sizes.instances:
        by_role = _idle(count, common.VOTERS, sizes)
        for (quantity, unit), value in by_role['entry'].items():
            points[f'entry {quantity}', unit].append((count, value))
        for (quantity, unit), value in by_role['voter'].items():
            points_by_querier[f'voter {quantity}, by askers', unit].append(
                (count / common.VOTERS, value)
            )
    yield from common.fit_lines(points, 'instance')
    yield from common.fit_lines(
        points_by_querier, 'instance that asks this voter'
    )
    points.clear()
    for voters in sizes.voters:
        by_role = _idle(voters * INSTANCES_PER_VOTER, voters, sizes)
        for (quantity, unit), value in by_role['voter'].items():
            points[f'voter {quantity}, by voters', unit].append(
                (voters, value)
            )
    yield from common.fit_lines(points, 'voter')


def _idle(
    instances: int, voters: int, sizes: common.Sizes
) -> dict[str, dict[tuple[str, str], float]]:
    network = common.start_network(instances, voters, models=0)
    # Gossip about the start continues for some rounds after all instances
    # have each other in their member lists.
    network.run(sizes.settle_s)
    seconds = sizes.seconds
    common.measure(network, seconds)
    return {
        role: {
            (quantity, unit): common.mean(read(each.meter) for each in nodes)
            / seconds
            for quantity, unit, read in _QUANTITIES
        }
        for role, nodes in _by_role(network).items()
    }


def _idle_bytes(meter: networks.Meter) -> float:
    return meter.bytes - meter.bytes_by_part['leases']


def _idle_messages(meter: networks.Meter) -> float:
    return meter.messages - meter.messages_by_part['leases']


def _idle_cpu(meter: networks.Meter) -> float:
    return (meter.cpu_s - meter.cpu_s_by_part['leases']) * common.MICRO


_QUANTITIES: tuple[tuple[str, str, abc.Callable], ...] = (
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
            if common.is_voter(each) and not common.owns_cell(each)
        ],
        'entry': [
            each
            for each in nodes
            if not common.is_voter(each) and not common.owns_cell(each)
        ]
        # In the smallest systems, every instance is a voter or an owner.
        or nodes,
    }


def by_cells(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure leases: one for each cell, renewed at every voter."""
    points = collections.defaultdict(list)
    for models in sizes.models:
        network = common.start_network(
            sizes.instances[0], common.VOTERS, models
        )
        common.measure(network, sizes.seconds)
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
    yield from common.fit_lines(points, 'cell')
