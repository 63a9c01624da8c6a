"""Records faults of backend servers, and logs ejections and recoveries."""

from .. import decisions
from .. import effects
from .backend_state import BackendState
from .cell_view import CellView

#: Seconds for which an engine that refused a KV cache gets no work. Of some
#: ten streams of a few seconds each, one ends about as often.
REFUSED_PAUSE_S = 0.5


class FaultRecorder:
    """Records faults in the health of backend servers, and logs ejections.

    :param view: holds the backend servers' health.
    """

    def __init__(self, *, cell_id: str, epoch: int, view: CellView) -> None:
        self._cell_id = cell_id
        self._epoch = epoch
        self._view = view

    def record_fault(
        self, now: float, backend_id: str, *, is_down: bool = False
    ) -> list[effects.Log]:
        """Record a fault of a backend server.

        :param backend_id: unknown ones, and the empty id, are ignored.
        :param is_down: no connection to it could be made.
        :returns: a log line if the fault ejected it, else nothing.
        """
        state = self._view.backends_by_id.get(backend_id)
        if state is None:
            return []
        health = state.health
        was_ejected = health.is_ejected(now)
        faults, ended = health.count_recent(now)
        if is_down:
            health.add_connection_failure(now)
        else:
            health.add_fault(now, self._shared_failure_rate(now, state))
        if was_ejected or not health.is_ejected(now):
            return []
        health.is_ejection_logged = True
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

    def _shared_failure_rate(self, now: float, state: BackendState) -> float:
        """Return the mean failure rate of a server's peers.

        Answers that the network loses are lost for all backend servers. When
        each was judged alone, one of two engines was ejected for six seconds
        while the other one, which lost as much, was full and calls were
        refused.

        :returns: between 0 and 1; 0 if it isn't known for any peer.
        """
        found = [
            part
            for peer in self._view.backends_by_id.values()
            if peer is not state and peer.backend.role is state.backend.role
            if (part := peer.health.failure_rate(now)) is not None
        ]
        return sum(found) / len(found) if found else 0.0

    def pause(self, now: float, backend_id: str) -> None:
        """Send no work to an engine that refused some, for a short time.

        Its memory may be full of streams for which the owner has no booking.
        Without this, one KV cache after another would be sent to it and
        refused, five in a second, each after its prefill.
        """
        state = self._view.backends_by_id.get(backend_id)
        if state is not None:
            state.full_until = now + REFUSED_PAUSE_S

    def log_recovered(self, now: float) -> list[effects.Log]:
        """Return a log line for each that has all its slots open again."""
        back = [
            (backend_id, state.health)
            for backend_id, state in self._view.backends_by_id.items()
            if state.health.is_ejection_logged
            and not state.health.is_limited(now)
        ]
        for _, health in back:
            health.is_ejection_logged = False
        return [
            decisions.BackendTrusted(
                backend_id=backend_id, cell=self._cell_id, epoch=self._epoch
            ).log()
            for backend_id, _ in back
        ]
