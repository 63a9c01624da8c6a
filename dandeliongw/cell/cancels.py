"""Cancels of streams, resent until their engine confirms them."""

import msgspec

from .backend_state import BackendState
from .cell_messages import CancelStream
from .cell_messages import StreamCancelled

#: Interval between two sends of an unconfirmed cancel, in seconds.
CANCEL_AGAIN_S = 1.0


class PendingCancel(msgspec.Struct, kw_only=True):
    """A cancel that its backend server hasn't confirmed yet.

    :param state: of the backend server, on which the stream holds a slot.
    """

    effect: CancelStream
    state: BackendState
    sent_at: float
    again_at: float


class Cancels:
    """The cancels of one cell.

    A cancelled stream holds its slot until its engine confirms the cancel, or
    for the longest life of a request.

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
        pending = self.pending_by_key.get(key)
        if pending is None:
            state.cancelling += 1
            pending = self.pending_by_key[key] = PendingCancel(
                effect=effect, state=state, sent_at=now, again_at=now
            )
        pending.again_at = now + CANCEL_AGAIN_S
        return effect

    def confirm(self, event: StreamCancelled) -> None:
        """Remove a confirmed cancel and free the stream's slot."""
        key = (event.backend_id, event.stream_id, event.attempt_id)
        self._remove(key)

    def _remove(self, key: tuple[str, str, str]) -> None:
        pending = self.pending_by_key.pop(key, None)
        if pending is not None:
            pending.state.cancelling -= 1

    def forget(self, backend_id: str) -> None:
        """Drop the cancels of a backend server that restarted or is gone."""
        self.pending_by_key = {
            key: pending
            for key, pending in self.pending_by_key.items()
            if key[0] != backend_id
        }

    def due(self, now: float, timeout_s: float) -> list[CancelStream]:
        """Return the cancels that are due for another send.

        :param timeout_s: longest life of a request. A stream whose cancel was
            sent that long ago has ended, whether its engine answers or not.
        """
        effects = []
        for key, pending in list(self.pending_by_key.items()):
            if now >= pending.sent_at + timeout_s:
                self._remove(key)
            elif now >= pending.again_at:
                pending.again_at = now + CANCEL_AGAIN_S
                effects.append(pending.effect)
        return effects
