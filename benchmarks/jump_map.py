"""A jump map that selects owners of cells, an alternative to rendezvous.

It follows the public description of the jump placement map of DAOS: a tree
of data centres and instances with fixed positions, traversed with jump
consistent hashing. On a collision the key is permuted by a CRC and hashed
again.
"""

from collections import abc
import dataclasses
import zlib

import jump
import xxhash

from dandeliongw.coordination import placement

#: Limit of attempts to find owners; far above what real maps need.
_MAX_ATTEMPTS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JumpMap:
    """Instances at fixed positions; dead instances keep theirs.

    :param instances_by_data_centre: new entries are only appended.
    :param dead: instances that must not own cells.
    """

    instances_by_data_centre: dict[str, list[str]]
    dead: frozenset[str] = frozenset()

    @classmethod
    def make(cls, members: abc.Iterable[placement.Member]) -> 'JumpMap':
        """Return a map of these members, in the given order."""
        instances: dict[str, list[str]] = {}
        for member in members:
            instances.setdefault(member.data_centre, []).append(
                member.instance_id
            )
        return cls(instances_by_data_centre=instances)

    def ranked_owners(self, cell: str, count: int = 3) -> tuple[str, ...]:
        """Return the owner of a cell, followed by its deputies."""
        key = xxhash.xxh3_64_intdigest(cell.encode())
        data_centres = list(self.instances_by_data_centre)
        used: set[str] = set()
        used_data_centres: set[str] = set()
        owners: list[str] = []
        for _ in range(_MAX_ATTEMPTS):
            if len(owners) == count:
                break
            if len(used_data_centres) == len(data_centres):
                used_data_centres.clear()
            data_centre = data_centres[jump.hash(key, len(data_centres))]
            instances = self.instances_by_data_centre[data_centre]
            instance = instances[jump.hash(_permute(key), len(instances))]
            key = _permute(key + 1)
            if data_centre in used_data_centres or instance in used:
                continue
            if instance in self.dead:
                if self.dead.issuperset(instances):
                    used_data_centres.add(data_centre)
                continue
            used.add(instance)
            used_data_centres.add(data_centre)
            owners.append(instance)
        return tuple(owners)


def _permute(key: int) -> int:
    """Permute a key so that similar keys differ; a CRC fills each half."""
    data = (key % 2**64).to_bytes(8, 'big')
    high = zlib.crc32(data)
    return high << 32 | zlib.crc32(data, high)
