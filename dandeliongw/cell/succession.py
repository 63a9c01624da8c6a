"""Decides which cells this instance should own, and hands them over.

The directory ranks the instances for each cell. The first should own it; the
others are its deputies.
"""

import typing

import msgspec

from .. import directory as directory_module
from .. import effects
from ..coordination import lease
from . import owner as owner_module

#: Seconds for which a deputy tries to get a lease after the last request.
DEPUTY_TRY_S = 10.0
#: Delay before the next deputy in rank also tries, in seconds.
DEPUTY_DELAY_S = 3.0


#: Seconds for which an owner has to report a lapsed lease before a deputy that
#: reaches the voters tries for it. After an outage of all voters, the owner
#: gets it back sooner than that.
LAPSE_CONFIRM_S = 0.75
#: Seconds without such a report after which the next one counts as the first.
LAPSE_GAP_S = 2.0


class _Episode(msgspec.Struct, kw_only=True):
    """A time in which there are reasons to try for a cell."""

    first_at: float
    last_at: float


class Succession:
    """Requests the leases of cells, by rank or as entries need an owner.

    :param instance_id: of this instance.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        directory: directory_module.Directory,
        owner: owner_module.Owner,
    ) -> None:
        self.is_shutting_down = False
        self._instance_id = instance_id
        self._directory = directory
        self._owner = owner
        self._wanted: frozenset[str] | None = None
        self._requests_by_cell: dict[str, _Episode] = {}
        self._lapses_by_cell: dict[str, _Episode] = {}

    def record_owner_request(self, now: float, cell: str) -> None:
        """Record a request from an entry for a cell that isn't owned here.

        Entries turn to a deputy when the owner doesn't answer. The owner's
        lease may expire long before its failure is confirmed.
        """
        _note(self._requests_by_cell, now, cell, DEPUTY_TRY_S)

    def record_lapse(self, now: float, cell: str) -> None:
        """Record that a cell's owner has lost its lease and goes on.

        Called only while this instance reaches the voters.
        """
        lapse = _note(self._lapses_by_cell, now, cell, LAPSE_GAP_S)
        if now - lapse.first_at >= LAPSE_CONFIRM_S:
            self.record_owner_request(now, cell)

    def review(self, now: float) -> list[typing.Any]:
        """Return the set of wanted leases as an effect, if it changed."""
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
        """Release every cell to the first instance of its ranking."""
        self.is_shutting_down = True
        # Cached ranks still include this instance, which would be its own
        # successor.
        self._directory.clear_rankings()
        out: list[typing.Any] = []
        for cell in list(self._owner.cells_by_id):
            successors = self._directory.ranked_owners(cell)
            if not successors:
                # The last instance serves its clients to the end.
                continue
            release = lease.Release(
                now=now, name=cell, successor=successors[0]
            )
            out.append(effects.Dispatch(event=release))
        return [*out, *self.review(now)]

    def _should_own(self, now: float, cell: str) -> bool:
        """Return whether to request a cell's lease.

        Deputies request it one after the other: if several do so at once,
        none may get a majority, and the cell is without an owner for seconds
        longer than necessary.
        """
        ranked = self._directory.ranked_owners(cell)
        if self._instance_id not in ranked:
            is_last = self.is_shutting_down and not ranked
            return is_last and cell in self._owner.cells_by_id
        rank = ranked.index(self._instance_id)
        if rank == 0:
            return True
        requests = self._requests_by_cell.get(cell)
        if requests is None or now - requests.last_at >= DEPUTY_TRY_S:
            return False
        return now - requests.first_at >= (rank - 1) * DEPUTY_DELAY_S


def _note(
    found_by_cell: dict[str, _Episode],
    now: float,
    cell: str,
    gap_s: float,
) -> _Episode:
    """Note one more reason to own a cell; begin anew after a gap."""
    found = found_by_cell.get(cell)
    if found is None or now - found.last_at >= gap_s:
        found = _Episode(first_at=now, last_at=now)
        found_by_cell[cell] = found
    found.last_at = now
    return found
