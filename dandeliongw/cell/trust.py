"""What the owner of a cell makes of failed work, and tells of it."""

from .. import decisions
from .. import effects
from .backend_state import BackendState
from .cell_view import CellView

#: How long an engine that refused a KV cache gets no work. Estimate: some ten
#: streams of a few seconds each end about as often.
REFUSED_REST_S = 0.5


class Trust:
    """Takes trust from backend servers, and logs it.

    :param view: their state; the health in it decides.
    """

    def __init__(self, *, cell_id: str, epoch: int, view: CellView) -> None:
        self._cell_id = cell_id
        self._epoch = epoch
        self._view = view

    def blame(
        self, now: float, backend_id: str, *, is_down: bool = False
    ) -> list[effects.Log]:
        """Count a fault; return the line that tells what it changed."""
        state = self._view.backends_by_id.get(backend_id)
        if state is None:
            return []
        health = state.health
        was_ejected = health.is_ejected(now)
        faults, ended = health.count_lately(now)
        if is_down:
            health.add_refusal(now)
        else:
            health.add_fault(now, self._shared_part(now, state))
        if was_ejected or not health.is_ejected(now):
            return []
        health.is_told_distrusted = True
        distrusted = decisions.BackendDistrusted(
            backend_id=backend_id,
            cell=self._cell_id,
            epoch=self._epoch,
            why='it took no connection' if is_down else 'its work failed',
            faults=0 if is_down else faults + 1,
            ended=ended if is_down else ended + 1,
            times=health.ejections,
            left_out_s=health.ejected_until - now,
        )
        return [distrusted.log()]

    def _shared_part(self, now: float, state: BackendState) -> float:
        """Return the part of work that fails on the peers of a server.

        Answers that are lost on their way are lost for all. Judged alone,
        one of two engines was left out for six seconds while the other one,
        which lost as much, was full and calls were turned away.
        """
        found = [
            part
            for peer in self._view.backends_by_id.values()
            if peer is not state and peer.backend.role is state.backend.role
            if (part := peer.health.failed_part(now)) is not None
        ]
        return sum(found) / len(found) if found else 0.0

    def rest(self, now: float, backend_id: str) -> None:
        """Send no work for a moment to an engine that refused some.

        Its streams fill its memory whether or not the owner knows of all of
        them. Sent on at once, one prompt after the other would be read and
        refused there; one would see five refused imports in a second.
        """
        state = self._view.backends_by_id.get(backend_id)
        if state is not None:
            state.full_until = now + REFUSED_REST_S

    def tell_regained(self, now: float) -> list[effects.Log]:
        """Return a line for each that has all its slots open again."""
        back = [
            (backend_id, state.health)
            for backend_id, state in self._view.backends_by_id.items()
            if state.health.is_told_distrusted and not state.health.is_new(now)
        ]
        for _, health in back:
            health.is_told_distrusted = False
        return [
            decisions.BackendTrusted(
                backend_id=backend_id, cell=self._cell_id, epoch=self._epoch
            ).log()
            for backend_id, _ in back
        ]
