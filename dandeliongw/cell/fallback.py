"""Places the work of one entry while a cell's owner doesn't answer.

A lease has to expire before another instance may own a cell. For those
seconds, and for as long as no majority of the voters can be reached, an entry
would refuse all requests although backend servers are free. Instead it places
its own work, within its share of every backend server, so that all entries
together use no more than there is. The bookings of the former owner are
unknown here, so a backend server may be full and refuse; it then reports that
nothing ran.
"""

from collections import abc
import math
import typing

import msgspec
import xxhash

from . import cell_types
from . import cells
from ..coordination import parts
from . import policy
from . import rate_limits as rate_limits_module

#: Epoch of these cells, below that of any owner.
EPOCH = 0
#: The part of a backend server's rate limit that all entries together use. An
#: owner that is slow, not gone, still books the whole limit for the others.
RATE_LIMIT_PART = 0.5
#: Seconds without work placed here after which the buckets of rate limits
#: begin anew. Otherwise all entries would use what they saved up at once.
RATE_LIMIT_RESET_S = 2.0


def make_rate_limits(
    instance_id: str, entries: abc.Callable[[], int]
) -> rate_limits_module.RateLimits:
    """Return the limits for work that an entry places by itself.

    The entries' buckets begin with different parts of a request. If all began
    empty, a limit of one request a second would let none of ten entries send
    any for ten seconds, and then each of them one at the same time.

    :param entries: returns how many entries share a limit.
    """

    def first_tokens(backend_id: str) -> float:
        key = f'{instance_id}/{backend_id}'
        return xxhash.xxh32_intdigest(key.encode()) / 2**32

    return rate_limits_module.RateLimits(
        part=lambda: RATE_LIMIT_PART / entries(), first_tokens=first_tokens
    )


class FallbackCells:
    """Local cells, one for each cell whose owner doesn't answer.

    :param terms_of: returns a cell's settings from the document, or ``None``.
    :param backends_of: returns a cell's backend servers that may get work.
    :param entries: returns how many entries share them, with this one.
    :param make_policy: returns the policy of a new cell.
    :param rate_limits: see :func:`make_rate_limits`.
    """

    def __init__(
        self,
        *,
        terms_of: abc.Callable[[str], cell_types.CellTerms | None],
        backends_of: abc.Callable[
            [float, str], tuple[cell_types.CellBackend, ...]
        ],
        entries: abc.Callable[[], int],
        make_policy: abc.Callable[[], policy.Policy],
        rate_limits: rate_limits_module.RateLimits,
    ) -> None:
        self._terms_of = terms_of
        self._backends_of = backends_of
        self._entries = entries
        self._make_policy = make_policy
        self._rate_limits = rate_limits
        self._booked_at = -math.inf
        self.cells_by_id: dict[str, cells.Cell] = {}

    def receive(self, event: parts.Received) -> list[typing.Any]:
        """Handle a message of this instance's own entry."""
        message = event.message
        if isinstance(message, cells.Book):
            if event.now >= self._booked_at + RATE_LIMIT_RESET_S:
                self._rate_limits.reset(event.now)
            self._booked_at = event.now
            cell = self._updated_cell(event.now, message.cell)
        else:
            cell = self.cells_by_id.get(message.cell)
        return [] if cell is None else cell.handle(event)

    def holds(self, cell_id: str, key: tuple[str, str]) -> bool:
        """Return whether a booking was made here, not by the cell's owner."""
        cell = self.cells_by_id.get(cell_id)
        return cell is not None and key in cell.bookings_by_key

    def tick(self, event: parts.Ticked) -> list[typing.Any]:
        """Pass a tick to all local cells; drop those without bookings."""
        out: list[typing.Any] = []
        for cell_id, cell in list(self.cells_by_id.items()):
            out += cell.handle(event)
            if not cell.bookings_by_key:
                del self.cells_by_id[cell_id]
        return out

    def _updated_cell(self, now: float, cell_id: str) -> cells.Cell | None:
        """Return a local cell, updated from document and announcements."""
        terms = self._terms_of(cell_id)
        if terms is None:
            return None
        shared = _share(terms, self._entries())
        cell = self.cells_by_id.get(cell_id)
        if cell is None:
            cell = cells.Cell(
                cell_id=cell_id,
                service=cell_id.split('/')[0],
                epoch=EPOCH,
                document_part=shared,
                policy=self._make_policy(),
                rate_limits=self._rate_limits,
                commands_engines=False,
            )
            self.cells_by_id[cell_id] = cell
        cell.handle(cells.TermsChanged(now=now, terms=shared))
        backends = tuple(
            msgspec.structs.replace(
                each, slots=max(1, each.slots // self._entries())
            )
            for each in self._backends_of(now, cell_id)
        )
        cell.handle(cells.BackendsChanged(now=now, backends=backends))
        return cell


def _share(terms: cell_types.CellTerms, entries: int) -> cell_types.CellTerms:
    return msgspec.structs.replace(
        terms,
        kv_tokens_by_role={
            role: tokens // entries
            for role, tokens in terms.kv_tokens_by_role.items()
        },
        whole_kv_tokens_by_role=terms.kv_tokens_by_role,
    )
