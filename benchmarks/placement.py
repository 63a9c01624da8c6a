"""Compares rendezvous hashing with a jump map: balance, moves, lookup time.

Prints one JSON line for each method, size and number of cells::

    python -m benchmarks.placement
"""

import collections
from collections import abc
import json
import statistics
import time

from benchmarks import jump_map
from dandeliongw.coordination import placement

#: Data centres by number of instances: the present scale, and the scale
#: after two years of growth.
SIZES = {9: 3, 350: 8}
CELL_COUNTS = (60, 200)
#: Sets of cell names; the figures are averages over all sets.
SETS = 10
LOOKUPS = 2000

Members = list[placement.Member]
#: Takes the members before and after a change; returns a function from a
#: cell to its owner.
Method = abc.Callable[[Members, Members], abc.Callable[[str], str]]


def rendezvous(before: Members, after: Members) -> abc.Callable[[str], str]:
    """Use rendezvous hashing of the current members."""
    return lambda cell: placement.ranked_owners(cell, after)[0]


def jump_kept(before: Members, after: Members) -> abc.Callable[[str], str]:
    """Keep all positions; mark lost members dead, append new ones."""
    all_members = [*before, *(m for m in after if m not in before)]
    remaining_ids = {member.instance_id for member in after}
    dead = {member.instance_id for member in all_members} - remaining_ids
    kept = jump_map.JumpMap.make(all_members)
    kept = jump_map.JumpMap(
        instances_by_data_centre=kept.instances_by_data_centre,
        dead=frozenset(dead),
    )
    return lambda cell: kept.ranked_owners(cell)[0]


def jump_live(before: Members, after: Members) -> abc.Callable[[str], str]:
    """Build the map from live members only, without keeping positions."""
    live = jump_map.JumpMap.make(sorted(after, key=lambda m: m.instance_id))
    return lambda cell: live.ranked_owners(cell)[0]


METHODS: dict[str, Method] = {
    'rendezvous': rendezvous,
    'jump map, positions kept': jump_kept,
    'jump map, live members': jump_live,
}


def make_members(count: int, data_centres: int) -> Members:
    """Return ``count`` instances, distributed evenly over data centres."""
    return [
        placement.Member(
            instance_id=f'gw-{number:03}',
            data_centre=f'dc-{number % data_centres}',
        )
        for number in range(count)
    ]


def changes_by_name(members: Members) -> dict[str, list[Members]]:
    """Return the members after each measured change."""
    data_centres = sorted({member.data_centre for member in members})
    losses = [members[:n] + members[n + 1 :] for n in range(len(members))]
    size = len(members) // len(data_centres)
    added = placement.Member(instance_id='gw-new', data_centre='dc-0')
    centre = [
        placement.Member(instance_id=f'gw-new-{n}', data_centre='dc-new')
        for n in range(size)
    ]
    return {
        'instance_lost': losses[:: max(1, len(losses) // 20)],
        'data_centre_lost': [
            [member for member in members if member.data_centre != lost]
            for lost in data_centres
        ],
        'instance_added': [[*members, added]],
        'data_centre_added': [[*members, *centre]],
    }


def moved_share(
    method: Method, members: Members, after: Members, cells: list[str]
) -> float:
    """Return the fraction of cells whose owner changes."""
    old, new = method(members, members), method(members, after)
    return statistics.mean(old(cell) != new(cell) for cell in cells)


def measure(
    name: str, instance_count: int, cell_count: int
) -> dict[str, float | int | str]:
    """Return the figures of one method at one size."""
    method = METHODS[name]
    members = make_members(instance_count, SIZES[instance_count])
    sets = [
        [f'service-{n}/{number}' for number in range(cell_count)]
        for n in range(SETS)
    ]
    max_cells = [
        _max_cells_of_one(method(members, members), cells) for cells in sets
    ]
    figures: dict[str, float | int | str] = {
        'method': name,
        'instances': instance_count,
        'cells': cell_count,
        'most_cells_of_one': round(statistics.mean(max_cells), 2),
        'max_over_mean': round(
            statistics.mean(max_cells) * instance_count / cell_count, 2
        ),
    }
    for change, afters in changes_by_name(members).items():
        shares = [
            moved_share(method, members, after, cells)
            for after in afters
            for cells in sets
        ]
        figures[f'moved_{change}'] = round(statistics.mean(shares), 4)
    figures['lookup_us'] = round(_lookup_us(method, members), 1)
    return figures


def _max_cells_of_one(
    owner: abc.Callable[[str], str], cells: list[str]
) -> int:
    counts = collections.Counter(owner(cell) for cell in cells)
    return max(counts.values())


def _lookup_us(method: Method, members: Members) -> float:
    owner = method(members, members)
    begun = time.process_time()
    for number in range(LOOKUPS):
        owner(f'service/{number}')
    return (time.process_time() - begun) / LOOKUPS * 1e6


def main() -> None:
    """Print all figures."""
    for instance_count in SIZES:
        for cell_count in CELL_COUNTS:
            for name in METHODS:
                print(json.dumps(measure(name, instance_count, cell_count)))


if __name__ == '__main__':
    main()
