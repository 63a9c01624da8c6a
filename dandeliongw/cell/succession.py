"""Which cells this instance should own, and who gets them when it leaves."""

import typing

import msgspec

from .. import directory as directory_module
from .. import effects
from ..coordination import lease
from . import owner as owner_module

#: Seconds for which a deputy that was asked keeps trying for a lease.
DEPUTY_S = 10.0
#: Seconds that each further deputy gives the one before it.
DEPUTY_TURN_S = 3.0


class _Asked(msgspec.Struct, kw_only=True):
    """When entries asked for a cell that this instance doesn't own."""

    first_at: float
    last_at: float


class Succession:
    """Tries for the leases of cells, by rank or because entries ask.

    :param instance_id: this instance.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        directory: directory_module.Directory,
        owner: owner_module.Owner,
    ) -> None:
        self.is_leaving = False
        self._instance_id = instance_id
        self._directory = directory
        self._owner = owner
        self._wanted: frozenset[str] | None = None
        self._asked_by_cell: dict[str, _Asked] = {}

    def note_asked(self, now: float, cell: str) -> None:
        """Note that an entry asks this instance for a cell it doesn't own.

        Entries ask a deputy when the owner doesn't answer them. Its lease
        may be free long before its death is certain.
        """
        asked = self._asked_by_cell.get(cell)
        if asked is None or now - asked.last_at >= DEPUTY_S:
            asked = _Asked(first_at=now, last_at=now)
            self._asked_by_cell[cell] = asked
        asked.last_at = now

    def review(self, now: float) -> list[typing.Any]:
        """Say which leases to try for, when that has changed."""
        wanted = frozenset(
            cell
            for cell in self._directory.all_cells()
            if self._should_own(now, cell)
        )
        if wanted == self._wanted:
            return []
        self._wanted = wanted
        return [effects.Dispatch(event=lease.Wanted(now=now, names=wanted))]

    def hand_over(self, now: float) -> list[typing.Any]:
        """Give every cell to the instance that is next for it."""
        self.is_leaving = True
        # Ranked before, this instance would be its own successor.
        self._directory.forget_ranks()
        out: list[typing.Any] = []
        for cell in list(self._owner.cells_by_id):
            successors = self._directory.ranked_owners(cell)
            if not successors:
                # The last instance serves its callers to the end.
                continue
            release = lease.Release(
                now=now, name=cell, successor=successors[0]
            )
            out.append(effects.Dispatch(event=release))
        return [*out, *self.review(now)]

    def _should_own(self, now: float, cell: str) -> bool:
        """Whether to try for a cell's lease.

        Deputies that are asked for it try one after the other: when several
        try at once, none gets a majority, and the cell has no owner for
        seconds longer than it need be.
        """
        ranked = self._directory.ranked_owners(cell)
        if self._instance_id not in ranked:
            is_last = self.is_leaving and not ranked
            return is_last and cell in self._owner.cells_by_id
        place = ranked.index(self._instance_id)
        if place == 0:
            return True
        asked = self._asked_by_cell.get(cell)
        if asked is None or now - asked.last_at >= DEPUTY_S:
            return False
        return now - asked.first_at >= (place - 1) * DEPUTY_TURN_S
