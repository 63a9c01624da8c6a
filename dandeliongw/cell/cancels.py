"""Cancels of streams, sent again until their engine confirms them."""

import msgspec

from .backend_state import BackendState
from .cell_messages import CancelStream
from .cell_messages import StreamCancelled

#: How often an unconfirmed cancel is sent again, in seconds.
CANCEL_AGAIN_S = 1.0


class PendingCancel(msgspec.Struct, kw_only=True):
    """A cancel that its backend server hasn't confirmed."""

    effect: CancelStream
    again_at: float


class Cancels:
    """The cancels of one cell.

    A stream that is cancelled holds its slot until that is confirmed.

    :param epoch: of the owner's lease; every cancel carries it.
    """

    def __init__(self, *, epoch: int) -> None:
        self.pending_by_key: dict[tuple[str, str, str], PendingCancel] = {}
        self._epoch = epoch

    def send(
        self, now: float, state: BackendState, booking_key: tuple[str, str]
    ) -> CancelStream:
        """Return a cancel, to be sent again until it is confirmed."""
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
        """Take in that a stream has ended.

        :param state: of its backend server, if that is still known.
        """
        key = (event.backend_id, event.stream_id, event.attempt_id)
        if self.pending_by_key.pop(key, None) and state is not None:
            state.cancelling -= 1

    def forget(self, backend_id: str) -> None:
        """Drop the cancels of an incarnation that is gone, memory and all."""
        self.pending_by_key = {
            key: pending
            for key, pending in self.pending_by_key.items()
            if key[0] != backend_id
        }

    def due(self, now: float) -> list[CancelStream]:
        """Return the cancels that are sent again now."""
        effects = []
        for pending in self.pending_by_key.values():
            if now >= pending.again_at:
                pending.again_at = now + CANCEL_AGAIN_S
                effects.append(pending.effect)
        return effects
