"""What a cell's owner knows of one backend server."""

import collections
from collections import abc
import math

import msgspec

from . import prefixes
from .health import Batch
from .health import Health
from .vocabulary import Booking
from .vocabulary import CellBackend

#: Blocks remembered for each backend server, about 100 bytes each.
MOST_BLOCKS = 4_096


class NoRoom(msgspec.Struct, frozen=True, kw_only=True):
    """A forecast that an engine's memory has no room, kept for a moment.

    :param until: when it has to be made again.
    :param tokens: of the work that it was made for, its answer included.
    :param pace: of streams and the length of answers, as known then.
    """

    until: float
    tokens: int
    pace: tuple[float, float]

    def covers(
        self, now: float, tokens: int, pace: tuple[float, float]
    ) -> bool:
        """Return whether it holds for other work, too."""
        return now < self.until and tokens >= self.tokens and pace == self.pace


class BackendState(msgspec.Struct, kw_only=True, eq=False):
    """What the owner knows of one backend server."""

    backend: CellBackend
    #: Live bookings here, by (request id, attempt id).
    bookings_by_key: dict[tuple[str, str], Booking] = msgspec.field(
        default_factory=dict
    )
    reported_running: int = 0
    reported_waiting: int = 0
    reported_queued_tokens: int = 0
    reported_at: float | None = None
    #: When it left; ``None`` while it may get work.
    left_at: float | None = None
    #: Most slots that the owner counted since the report before the last,
    #: and since the last.
    peak_used_before: int = 0
    peak_used: int = 0
    #: Slots in use that the owner knows nothing of.
    foreign: int = 0
    #: Streams that were cancelled; each holds its slot until confirmed.
    cancelling: int = 0
    #: Measured prefill time over predicted; above one is slow.
    slowness: float = 1.0
    last_prefill_at: float = 0.0
    #: When the transfers booked on this link will be over.
    link_free_at: float = 0.0
    #: Until when it is taken for full, as it refused work it had room for by
    #: our own count.
    full_until: float = -math.inf
    #: The last forecast that its memory has no room; see
    #: :meth:`forget_forecast`.
    no_room: NoRoom | None = None
    batch: Batch = msgspec.field(default_factory=Batch)
    health: Health = msgspec.field(default_factory=lambda: Health())
    #: Blocks that its prefix cache may hold, the last used at the end. A
    #: guess: cache events come late and with gaps, and blocks count from
    #: the moment a prompt is sent, long before an event tells.
    blocks: collections.OrderedDict[str, None] = msgspec.field(
        default_factory=collections.OrderedDict
    )

    @property
    def slots_open(self) -> int:
        """Slots that may be used without slowing the batch too much."""
        if self.batch.cap is None:
            return self.backend.slots
        return min(self.backend.slots, self.batch.cap)

    @property
    def slots_used(self) -> int:
        """Slots that are booked, used or not yet given back."""
        return len(self.bookings_by_key) + self.cancelling + self.foreign

    def count_foreign(self, reported_used: int) -> None:
        """Take in how many slots a report says are used.

        A report is old, and the owner's own count newer; but a new owner
        doesn't know yet what runs. What is reported above the most that the
        owner counted lately is not its own: without this a new owner would
        fill full engines, and one would notice refused imports after each
        change of owner.
        """
        own = max(self.peak_used_before, self.peak_used)
        self.foreign = max(0, reported_used - own)
        self.peak_used_before = self.peak_used
        self.peak_used = len(self.bookings_by_key) + self.cancelling

    def forget_forecast(self) -> None:
        """Note that work has ended here, so that there may be room."""
        self.no_room = None

    def cached_tokens(self, prefix: abc.Sequence[str]) -> int:
        """Return how many leading tokens are probably cached here."""
        count = 0
        for block in prefix:
            if block not in self.blocks:
                break
            count += 1
        return count * prefixes.BLOCK_TOKENS

    def add_blocks(self, prefix: abc.Iterable[str]) -> None:
        """Take in that these blocks are, or soon will be, cached here."""
        for block in prefix:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > MOST_BLOCKS:
            self.blocks.popitem(last=False)

    def drop_blocks(self, prefix: abc.Iterable[str]) -> None:
        """Take in that these blocks are no longer cached here."""
        for block in prefix:
            self.blocks.pop(block, None)

    def prefill_free_at(self, now: float) -> float:
        """Return when the prompts that were sent here will be done."""
        ends = [
            booking.prefill_ends_at
            for booking in self.bookings_by_key.values()
            if not booking.prefill_done
        ]
        return max(ends, default=now)
