"""Which instances should own a cell, the same answer on every instance.

Rendezvous hashing: each instance gets a score for each cell from a hash of
both names, and the highest score owns. An instance that leaves moves only
its own cells, and each of them to the instance that was next for that cell.
docs/PLACEMENT.md weighs it against a jump map.
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
    """Return the owner of a cell and then its deputies.

    The best instance of each data centre comes before any second one of a
    data centre, so that a lost data centre leaves a deputy wherever there
    are two. The answer costs a hash for each member: keep it until the
    members change.

    :param cell: the cell's name.
    :param members: the live instances, in any order.
    :param count: how many to return; fewer if there are fewer members.
    """
    score = xxhash.xxh3_64_intdigest
    seed = score(cell.encode())
    data_centres = {
        # An id after its score: equal scores must not go by the input.
        (
            score(member.instance_id.encode(), seed),
            member.instance_id,
        ): member.data_centre
        for member in members
    }
    ranked = sorted(data_centres, reverse=True)
    owners: list[str] = []
    while ranked and len(owners) < count:
        # A round takes the best that is left of each data centre.
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
