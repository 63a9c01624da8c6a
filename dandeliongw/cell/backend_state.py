"""The state that a cell's owner keeps for one backend server."""

import collections
from collections import abc
import math

import msgspec

from . import prefixes
from .cell_types import Booking
from .cell_types import CellBackend
from .health import BatchCap
from .health import Health

#: Blocks kept for each backend server, about 100 bytes each.
MAX_BLOCKS = 4_096


class FullForecast(msgspec.Struct, frozen=True, kw_only=True):
    """A cached forecast that an engine's KV cache has no room.

    :param until: when it expires, in seconds of the monotonic clock.
    :param tokens: size of the work that it was made for, prompt and longest
        answer together.
    :param pace: the rate of a stream and the answer ratio at that time.
    """

    until: float
    tokens: int
    pace: tuple[float, float]

    def covers(
        self, now: float, tokens: int, pace: tuple[float, float]
    ) -> bool:
        """Return whether the forecast also rules out other work."""
        return now < self.until and tokens >= self.tokens and pace == self.pace


class BackendState(msgspec.Struct, kw_only=True, eq=False):
    """The state that the owner keeps for one backend server."""

    backend: CellBackend
    #: Live bookings on it, by (request id, attempt id).
    bookings_by_key: dict[tuple[str, str], Booking] = msgspec.field(
        default_factory=dict
    )
    reported_running: int = 0
    reported_waiting: int = 0
    reported_queued_tokens: int = 0
    reported_at: float | None = None
    #: When it left; ``None`` while it may get work.
    left_at: float | None = None
    #: Peak of the owner's own slot count between the last two load reports,
    #: and since the last one.
    previous_peak_slots: int = 0
    peak_slots: int = 0
    #: Slots in use, as reported, for which the owner has no booking.
    foreign_slots: int = 0
    #: Cancelled streams without a confirmation; each still holds its slot.
    cancelling: int = 0
    #: Measured prefill time divided by the predicted one; above 1 is slow.
    slowness: float = 1.0
    last_prefill_at: float = 0.0
    #: Bookings whose KV cache moves over its link, by the same key. A prefill
    #: engine has them for longer than in :attr:`bookings_by_key`.
    transfers_by_key: dict[tuple[str, str], Booking] = msgspec.field(
        default_factory=dict
    )
    #: Until when it is treated as full, since it refused work for which the
    #: owner's count had room.
    full_until: float = -math.inf
    #: The last forecast that its KV cache has no room; see
    #: :meth:`clear_forecast`.
    full_forecast: FullForecast | None = None
    #: Derived from the bookings; ``None`` after a change. See
    #: :meth:`decode_ends`, :attr:`link_free_at` and :meth:`cached_tokens`.
    sorted_ends: list[float] | None = None
    last_transfer_end: float | None = None
    prefilling_blocks: frozenset[str] | None = None
    batch: BatchCap = msgspec.field(default_factory=BatchCap)
    health: Health = msgspec.field(default_factory=lambda: Health())
    #: Blocks that its prefix cache may hold, least recently used first. An
    #: approximation: cache events come late and with gaps, and the blocks of
    #: a prompt are added when its prefill ends, before an event reports them.
    blocks: collections.OrderedDict[str, None] = msgspec.field(
        default_factory=collections.OrderedDict
    )

    @property
    def slots_open(self) -> int:
        """Slots that may be used without exceeding the token gap's target."""
        if self.batch.cap is None:
            return self.backend.slots
        return min(self.backend.slots, self.batch.cap)

    @property
    def slots_used(self) -> int:
        """Slots that are booked, awaiting a cancel, or used by others."""
        return len(self.bookings_by_key) + self.cancelling + self.foreign_slots

    def update_foreign_slots(self, reported_used: int) -> None:
        """Update :attr:`foreign_slots` from a load report.

        A report is older than the owner's own count, so only the slots above
        the peak of that count since the report before the last are counted as
        used by others. A new owner has no bookings yet: without this, it
        would book slots of full engines, and imports would be refused after
        each change of owner.

        :param reported_used: slots in use, as reported.
        """
        own = max(self.previous_peak_slots, self.peak_slots)
        self.foreign_slots = max(0, reported_used - own)
        self.previous_peak_slots = self.peak_slots
        self.peak_slots = len(self.bookings_by_key) + self.cancelling

    def expire_report(self, now: float, timeout_s: float) -> None:
        """Count no foreign slots of a report whose work has ended by now.

        Reports may cease while the backend server goes on.

        :param timeout_s: longest life of a request.
        """
        if self.foreign_slots and now >= self.reported_at + timeout_s:
            self.foreign_slots = 0

    def clear_forecast(self) -> None:
        """Discard the cached forecast, as work has ended on this engine."""
        self.full_forecast = None

    def add(self, booking: Booking) -> None:
        """Add a booking, and update the peak of its own slot count."""
        self.bookings_by_key[booking.key] = booking
        self.add_transfer(booking)
        own = len(self.bookings_by_key) + self.cancelling
        self.peak_slots = max(self.peak_slots, own)

    def remove(self, booking: Booking) -> None:
        """Remove a booking, and discard what was predicted with it."""
        self.bookings_by_key.pop(booking.key, None)
        self.clear_forecast()
        self.remove_transfer(booking)

    def end_prefill(self, booking: Booking) -> None:
        """Remove a booking from a prefill engine; only its link stays in use.

        The KV cache moves from there to the decode engine.
        """
        self.bookings_by_key.pop(booking.key, None)
        self.clear_forecast()
        self.clear_plans()

    def add_transfer(self, booking: Booking) -> None:
        """Add the transfer of a booking, if one is planned."""
        if booking.transfer_ends_at:
            self.transfers_by_key[booking.key] = booking
        self.clear_plans()

    def remove_transfer(self, booking: Booking) -> None:
        self.transfers_by_key.pop(booking.key, None)
        self.clear_plans()

    @property
    def link_free_at(self) -> float:
        """When the transfers over its link will have ended; 0 if none is."""
        end = self.last_transfer_end
        if end is None:
            end = self.last_transfer_end = max(
                (
                    booking.transfer_ends_at
                    for booking in self.transfers_by_key.values()
                ),
                default=0.0,
            )
        return end

    def decode_ends(self) -> list[float]:
        """Return when the answers are expected to end, sorted."""
        ends = self.sorted_ends
        if ends is None or len(ends) != len(self.bookings_by_key):
            ends = self.sorted_ends = sorted(
                booking.decode_ends_at
                for booking in self.bookings_by_key.values()
            )
        return ends

    def clear_plans(self) -> None:
        """Discard what is derived from the bookings, as one has changed."""
        self.sorted_ends = None
        self.last_transfer_end = None
        self.prefilling_blocks = None

    def cached_tokens(self, prefix: abc.Sequence[str]) -> int:
        """Return how many leading tokens of a prompt are probably cached.

        That includes what the prefills ahead of it will leave there.
        """
        if not prefix:
            return 0
        prefilling = self._prefilling_blocks()
        count = 0
        for block in prefix:
            if block not in self.blocks and block not in prefilling:
                break
            count += 1
        return count * prefixes.BLOCK_TOKENS

    def _prefilling_blocks(self) -> frozenset[str]:
        blocks = self.prefilling_blocks
        if blocks is None:
            blocks = self.prefilling_blocks = frozenset(
                block
                for booking in self.bookings_by_key.values()
                if not booking.prefill_done
                and booking.prefill_id == self.backend.backend_id
                for block in booking.prefix
            )
        return blocks

    def add_blocks(self, prefix: abc.Iterable[str]) -> None:
        """Record that blocks are cached."""
        for block in prefix:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > MAX_BLOCKS:
            self.blocks.popitem(last=False)

    def drop_blocks(self, prefix: abc.Iterable[str]) -> None:
        """Record that blocks are no longer cached."""
        for block in prefix:
            self.blocks.pop(block, None)

    def prefill_free_at(self, now: float) -> float:
        """Return when the prefills that were sent here will have ended."""
        ends = [
            booking.prefill_ends_at
            for booking in self.bookings_by_key.values()
            if not booking.prefill_done
        ]
        return max(ends, default=now)
