"""Metrics and log lines on which resource of each owned cell binds."""

from collections import abc

import msgspec

from .. import decisions
from .. import effects
from . import capacity
from . import cells
from .policy import ReportsBinding

#: Seconds between two readings of the cells.
REPORT_INTERVAL_S = 1.0
#: Shortest time between two log lines on one cell, in seconds.
LOG_INTERVAL_S = 10.0
#: The name for no resource.
NONE = 'none'


class _Logged(msgspec.Struct, frozen=True):
    resource: str
    at: float


class CapacityReports:
    """Reads the cells once per second and keeps what metrics export."""

    def __init__(self) -> None:
        self._next_at = 0.0
        self._logged_by_cell: dict[str, _Logged] = {}
        self._used: dict[tuple[str, str], float] = {}
        self._binding: dict[tuple[str, str], float] = {}

    def update(
        self, now: float, cells_by_id: abc.Mapping[str, cells.Cell]
    ) -> list[effects.Log]:
        """Read all cells; return a line for each whose resource changed."""
        if now < self._next_at:
            return []
        self._next_at = now + REPORT_INTERVAL_S
        used: dict[tuple[str, str], float] = {}
        binding: dict[tuple[str, str], float] = {}
        lines = []
        for cell_id, cell in cells_by_id.items():
            found = _binding_of(now, cell)
            parts = capacity.used_parts(now, cell.view)
            for resource, part in parts.items():
                used[cell_id, resource.value] = part
                binding[cell_id, resource.value] = float(resource is found)
            lines += self._log(now, cell, found, parts)
        for cell_id in self._logged_by_cell.keys() - cells_by_id.keys():
            del self._logged_by_cell[cell_id]
        # Metrics are read in other threads: these are replaced, not changed.
        self._used, self._binding = used, binding
        return lines

    def used_by_label(self) -> dict[tuple[str, str], float]:
        """Return the part in use by (cell, resource).

        Safe to call from any thread.
        """
        return self._used

    def binding_by_label(self) -> dict[tuple[str, str], float]:
        """Return 1 for the resource that binds, by (cell, resource).

        Safe to call from any thread.
        """
        return self._binding

    def _log(
        self,
        now: float,
        cell: cells.Cell,
        found: capacity.Resource | None,
        parts: abc.Mapping[capacity.Resource, float],
    ) -> abc.Iterator[effects.Log]:
        resource = found.value if found else NONE
        last = self._logged_by_cell.get(cell.cell_id, _Logged(NONE, -1e9))
        if resource == last.resource or now < last.at + LOG_INTERVAL_S:
            return
        self._logged_by_cell[cell.cell_id] = _Logged(resource, now)
        yield decisions.BindingResourceChanged(
            cell=cell.cell_id,
            epoch=cell.epoch,
            resource=resource,
            was=last.resource,
            used=' '.join(
                f'{each.value}={part:.2f}' for each, part in parts.items()
            ),
        ).log()


def _binding_of(now: float, cell: cells.Cell) -> capacity.Resource | None:
    if isinstance(cell.policy, ReportsBinding):
        return cell.policy.binding(now=now, view=cell.view)
    return None
