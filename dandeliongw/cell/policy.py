"""The interface of scheduling policies.

The owner of a cell (:mod:`.cells`) calls a :class:`Policy` to decide where
and when a booking starts, or why it is refused. Policies do no I/O and read
no clock.
"""

import typing

import msgspec

from ..verdict import RefusalReason
from .capacity import Resource
from .cell_types import Booking
from .cell_types import Role
from .cell_view import CellView

#: Retry-After in seconds, if there is no better estimate.
DEFAULT_RETRY_AFTER_S = 1.0


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """Start the work on these backend servers, in ``start_in_s``."""

    prefill_id: str = ''
    decode_id: str = ''
    plain_id: str = ''
    start_in_s: float = 0.0


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """Queue the work; it is expected to start in ``expected_s``."""

    expected_s: float


class Decline(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse the work."""

    reason: RefusalReason
    message: str
    retry_after_s: float


Decision = Place | Wait | Decline


class Policy(typing.Protocol):
    """Decides for one cell; may keep state of its own."""

    def decide(
        self, *, now: float, view: CellView, booking: Booking
    ) -> Decision:
        """Decide on a new booking."""
        ...

    def dispatch(
        self, *, now: float, view: CellView
    ) -> list[tuple[Booking, Decision]]:
        """Decide which bookings of ``view.queue`` start now or are refused.

        The caller applies the decisions and calls this again until there are
        none, so an implementation may return one at a time.
        """
        ...


@typing.runtime_checkable
class ReportsBinding(typing.Protocol):
    """A policy that knows which resource of its cell binds."""

    def binding(self, *, now: float, view: CellView) -> Resource | None:
        """Return the resource that binds now, if any."""
        ...


def no_backend(role: Role) -> Decline:
    """Return the refusal if there is no backend server of a role."""
    return Decline(
        reason=RefusalReason.NO_BACKEND,
        message=f'no {role.value} backend server is ready',
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )
