"""Who votes on the register, and which sets of voters are a quorum."""

from collections import abc

import msgspec


def is_majority(
    disk_ids: abc.Set[str], voters_by_id: abc.Mapping[str, str]
) -> bool:
    """Return whether a set holds more than half of the voters' disks."""
    present = disk_ids & set(voters_by_id.values())
    return 2 * len(present) > len(voters_by_id)


class Voters(msgspec.Struct, frozen=True, kw_only=True):
    """Disk ids by instance id, of the present and of the joining voters.

    A voter is identified by its disk: an instance whose disk was lost comes
    back with a new disk id. Its votes don't count in place of the lost
    disk's, whose promises it no longer has.

    :param voters_by_id: the present voters.
    :param joining_by_id: the whole set that is to replace them; empty when
        no change of the voters is in progress. While it is set, a quorum
        needs a majority of both sets, so that majorities before and after
        the change overlap.
    :param number: version of the two sets; grows with every change of
        either. It is the same at every instance, so that messages can name
        the sets that they rely on.
    """

    voters_by_id: dict[str, str]
    joining_by_id: dict[str, str] = msgspec.field(default_factory=dict)
    number: int = 0

    def has_quorum(self, disk_ids: abc.Set[str]) -> bool:
        """Return whether these disks form a quorum."""
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

    @property
    def joiner(self) -> str:
        """The instance whose disk is joining; ``''`` without a change."""
        return next(
            (
                instance_id
                for instance_id, disk_id in sorted(self.joining_by_id.items())
                if self.voters_by_id.get(instance_id) != disk_id
            ),
            '',
        )

    def is_joining(self, disk_id: str | None) -> bool:
        """Return whether a disk is in the joining set but not a voter yet."""
        return (
            disk_id in self.joining_by_id.values()
            and disk_id not in self.voters_by_id.values()
        )

    def replace(self, instance_id: str, by: str, disk_id: str) -> 'Voters':
        """Start a replacement; one that was in progress is abandoned.

        This is safe on top of any value, because quorums include a majority
        of the present voters before, during and after the exchange of the
        joining set.
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
        """Start to add one voter; as safe as :meth:`replace`."""
        return Voters(
            voters_by_id=self.voters_by_id,
            joining_by_id={**self.voters_by_id, instance_id: disk_id},
            number=self.number + 1,
        )

    def remove(self, instance_id: str) -> 'Voters':
        """Start to remove one voter of an even number; as safe as the above.

        A majority of the smaller set has one disk less. So what a majority
        of the larger set holds, a majority of the smaller one holds too: no
        disk has to catch up before the end.
        """
        joining = dict(self.voters_by_id)
        del joining[instance_id]
        return Voters(
            voters_by_id=self.voters_by_id,
            joining_by_id=joining,
            number=self.number + 1,
        )

    def withdraw(self) -> 'Voters':
        """Abandon the joining set; the present voters never stopped voting."""
        return Voters(voters_by_id=self.voters_by_id, number=self.number + 1)

    def finish(self) -> 'Voters':
        """Make the joining set the only one."""
        return Voters(voters_by_id=self.joining_by_id, number=self.number + 1)
