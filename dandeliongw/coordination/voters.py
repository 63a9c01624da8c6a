"""Who votes on the register, and which sets of voters are a quorum."""

from collections import abc

import msgspec


def is_majority(
    disk_ids: abc.Set[str], voters_by_id: abc.Mapping[str, str]
) -> bool:
    """Tell whether more than half of the voters' disks are in a set."""
    present = disk_ids & set(voters_by_id.values())
    return 2 * len(present) > len(voters_by_id)


class Voters(msgspec.Struct, frozen=True, kw_only=True):
    """Disk ids by instance id, of the present and of the coming voters.

    A voter is its disk: an instance whose disk was lost comes back under a
    new disk id and can't lend its name to promises that it has forgotten.

    :param voters_by_id: the voters.
    :param joining_by_id: the whole set that is to replace them; empty when
        no replacement is going on. While it is set, a quorum needs a
        majority of both sets, so that majorities before and after overlap.
    :param number: grows with every change of either set; the same at every
        instance, so that messages can name the sets they count on.
    """

    voters_by_id: dict[str, str]
    joining_by_id: dict[str, str] = msgspec.field(default_factory=dict)
    number: int = 0

    def has_quorum(self, disk_ids: abc.Set[str]) -> bool:
        """Tell whether these disks can decide."""
        if not is_majority(disk_ids, self.voters_by_id):
            return False
        return not self.joining_by_id or is_majority(
            disk_ids, self.joining_by_id
        )

    @property
    def instance_by_disk(self) -> dict[str, str]:
        """Return the instance id of every disk in either set."""
        both = (*self.voters_by_id.items(), *self.joining_by_id.items())
        return {disk_id: instance_id for instance_id, disk_id in both}

    def is_joining(self, disk_id: str | None) -> bool:
        """Tell whether a disk is in the coming set but not a voter yet."""
        return (
            disk_id in self.joining_by_id.values()
            and disk_id not in self.voters_by_id.values()
        )

    def replace(self, instance_id: str, by: str, disk_id: str) -> 'Voters':
        """Start a replacement; one that was going on is given up.

        That is safe on top of any value, because the present voters are
        asked before, while and after the coming set is exchanged.
        """
        joining = dict(self.voters_by_id)
        del joining[instance_id]
        joining[by] = disk_id
        return Voters(
            voters_by_id=self.voters_by_id,
            joining_by_id=joining,
            number=self.number + 1,
        )

    def add(self, instance_id: str, disk_id: str) -> 'Voters':
        """Start to take one more voter in; as safe as a replacement."""
        return Voters(
            voters_by_id=self.voters_by_id,
            joining_by_id={**self.voters_by_id, instance_id: disk_id},
            number=self.number + 1,
        )

    def withdraw(self) -> 'Voters':
        """Give up the coming set; the present voters never stopped voting."""
        return Voters(voters_by_id=self.voters_by_id, number=self.number + 1)

    def finish(self) -> 'Voters':
        """Make the coming set the only one."""
        return Voters(voters_by_id=self.joining_by_id, number=self.number + 1)
