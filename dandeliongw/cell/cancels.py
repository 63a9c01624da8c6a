"""Cancels of streams, resent until their engine confirms them."""

import msgspec

from .backend_state import BackendState
from .cell_messages import CancelStream
from .cell_messages import StreamCancelled

#: Interval between two sends of an unconfirmed cancel, in seconds.
CANCEL_AGAIN_S = 1.0


class PendingCancel(msgspec.Struct, kw_only=True):
    """A cancel that its backend server hasn't confirmed yet."""

    effect: CancelStream
    again_at: float


class Cancels:
    """The cancels of one cell.

    A cancelled stream holds its slot until its engine confirms the cancel.

    :param epoch: of the owner's lease; every cancel carries it.
    """

    def __init__(self, *, epoch: int) -> None:
        self.pending_by_key: dict[tuple[str, str, str], PendingCancel] = {}
        self._epoch = epoch

    def send(
        self, now: float, state: BackendState, booking_key: tuple[str, str]
    ) -> CancelStream:
        """Return a cancel, which is resent until it is confirmed."""
        stream_id, attempt_id = booking_key
        effect = CancelStream(
            backend_id=state.backend.backend_id,
            url=state.backend.url,
            stream_id=stream_id,
            attempt_id=attempt_id,
            epoch=self._epoch,
        )
        key = (effect.backend_id, stream_id, attempt_id)
        if key not in self.pending_by_key:
            state.cancelling += 1
        self.pending_by_key[key] = PendingCancel(
            effect=effect, again_at=now + CANCEL_AGAIN_S
        )
        return effect

    def confirm(
        self, event: StreamCancelled, state: BackendState | None
    ) -> None:
        """Remove a confirmed cancel and free the stream's slot.

        :param state: of its backend server, if the cell still has it.
        """
        key = (event.backend_id, event.stream_id, event.attempt_id)
        if self.pending_by_key.pop(key, None) and state is not None:
            state.cancelling -= 1

    def forget(self, backend_id: str) -> None:
        """Drop the cancels of a backend server that restarted or is gone."""
        self.pending_by_key = {
            key: pending
            for key, pending in self.pending_by_key.items()
            if key[0] != backend_id
        }

    def due(self, now: float) -> list[CancelStream]:
        """Return the cancels that are due for another send."""
        effects = []
        for pending in self.pending_by_key.values():
            if now >= pending.again_at:
                pending.again_at = now + CANCEL_AGAIN_S
                effects.append(pending.effect)
        return effects
