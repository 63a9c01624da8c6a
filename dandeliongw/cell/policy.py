"""What a policy decides for a cell.

The owner (:mod:`.cells`) asks a :class:`Policy` where a piece of work goes,
when, or why not. Policies are pure.
"""

import typing

import msgspec

from ..verdict import RefusalReason
from .cell_view import CellView
from .vocabulary import Booking
from .vocabulary import Role

#: Retry-After where nothing better is known.
DEFAULT_RETRY_AFTER_S = 1.0


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """Start the work on these backend servers in ``start_in_s``."""

    prefill_id: str = ''
    decode_id: str = ''
    plain_id: str = ''
    start_in_s: float = 0.0


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """Keep the work in the queue; it starts in about ``expected_s``."""

    expected_s: float


class Decline(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse at once."""

    reason: RefusalReason
    message: str
    retry_after_s: float


Decision = Place | Wait | Decline


class Policy(typing.Protocol):
    """Decides for one cell; may keep state of its own."""

    def decide(
        self, *, now: float, view: CellView, booking: Booking
    ) -> Decision:
        """Say where a new piece of work goes."""
        ...

    def dispatch(
        self, *, now: float, view: CellView
    ) -> list[tuple[Booking, Decision]]:
        """Say which of ``view.queue`` start now, or are refused after all.

        The caller applies the decisions and asks again until there are
        none, so an implementation may return one at a time.
        """
        ...


def no_backend(role: Role) -> Decline:
    """Return the refusal for a role that no backend server fills."""
    return Decline(
        reason=RefusalReason.NO_BACKEND,
        message=f'no {role.value} backend server is ready',
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )
