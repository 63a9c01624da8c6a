"""Placement of cells on instances; every instance computes the same result.

Rendezvous hashing: each instance gets a score for each cell from a hash of
both names, and the instance with the highest score owns the cell. When an
instance leaves, only its own cells move, and each of them moves to the
instance that was ranked next for that cell. docs/PLACEMENT.md compares this
with a jump map.
"""

from collections import abc

import msgspec
import xxhash


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that could own cells.

    :param data_centre: its failure domain.
    """

    instance_id: str
    data_centre: str


def ranked_owners(
    cell: str, members: abc.Iterable[Member], count: int = 3
) -> tuple[str, ...]:
    """Return the owner of a cell, followed by its deputies.

    The highest-ranked instance of each data centre comes before the second
    one of any data centre. So with at least two data centres, and a
    ``count`` of at least two, one of the instances returned survives the loss
    of a data centre. The call costs a hash for each member: cache the result
    until the members change.

    :param cell: the cell's name.
    :param members: the live instances, in any order.
    :param count: how many to return; fewer if there are fewer members.
    """
    score = xxhash.xxh3_64_intdigest
    seed = score(cell.encode())
    data_centres = {
        # The id breaks ties between equal scores, so that the result does
        # not depend on the order of the input.
        (
            score(member.instance_id.encode(), seed),
            member.instance_id,
        ): member.data_centre
        for member in members
    }
    ranked = sorted(data_centres, reverse=True)
    owners: list[str] = []
    while ranked and len(owners) < count:
        # Each round takes the highest-ranked remaining instance of each data
        # centre.
        seen: set[str] = set()
        left = []
        for rank in ranked:
            if data_centres[rank] in seen:
                left.append(rank)
                continue
            seen.add(data_centres[rank])
            owners.append(rank[1])
            if len(owners) == count:
                break
        ranked = left
    return tuple(owners)
