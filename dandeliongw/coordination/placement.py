"""Which instances should own a cell, the same answer on every instance.

Rendezvous hashing: each instance gets a score for each cell from a hash of
both names, and the highest score owns. An instance that leaves moves only
its own cells, and each of them to the instance that was next for that cell.
docs/PLACEMENT.md weighs it against a jump map.
"""

from collections import abc
import dataclasses

import xxhash

#: Between the two hashed names; no instance id or cell name contains it.
_SEPARATOR = b'\0'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """An instance that could own cells.

    :param data_centre: its failure domain.
    """

    instance_id: str
    data_centre: str


def ranked_owners(
    cell: str, members: abc.Iterable[Member], count: int = 3
) -> tuple[str, ...]:
    """Return the owner of a cell and then its deputies.

    The best instance of each data centre comes before any second one of a
    data centre, so that a lost data centre leaves a deputy wherever there
    are two.

    :param cell: the cell's name.
    :param members: the live instances, in any order.
    :param count: how many to return; fewer if there are fewer members.
    """
    key = cell.encode()
    ranked = sorted(members, key=lambda member: _rank(key, member))
    depth_by_data_centre: dict[str, int] = {}
    spread = []
    for position, member in enumerate(ranked):
        depth = depth_by_data_centre.get(member.data_centre, 0)
        depth_by_data_centre[member.data_centre] = depth + 1
        spread.append((depth, position, member.instance_id))
    spread.sort()
    return tuple(instance_id for _, _, instance_id in spread[:count])


def _rank(key: bytes, member: Member) -> tuple[int, str]:
    name = member.instance_id.encode()
    score = xxhash.xxh3_64_intdigest(key + _SEPARATOR + name)
    # Equal scores must not be ordered by the order of the input.
    return -score, member.instance_id
