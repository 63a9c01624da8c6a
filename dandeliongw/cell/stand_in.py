"""Places the work of one entry while a cell's owner is silent.

A lease has to run out before another instance may own a cell. For those
seconds, and for as long as no majority of the voters can be reached, an entry
would turn every caller away although backend servers are free. Instead it
places its own work, within its share of every backend server: all entries
together spend no more than there is. What the former owner gave away is not
known here, so a backend server may refuse; it says then that nothing ran.
"""

from collections import abc
import typing

import msgspec

from .. import effects
from . import cells
from ..coordination import parts
from . import policy
from . import vocabulary

#: Its epoch is below that of any owner.
EPOCH = 0


class StandIns:
    """One cell of its own for each that an entry places into.

    :param terms_of: what the document says about a cell, or ``None``.
    :param backends_of: the backend servers of a cell that may get work.
    :param entries: how many entries share them, this one included.
    :param make_policy: of a new cell.
    """

    def __init__(
        self,
        *,
        terms_of: abc.Callable[[str], vocabulary.CellTerms | None],
        backends_of: abc.Callable[
            [float, str], tuple[vocabulary.CellBackend, ...]
        ],
        entries: abc.Callable[[], int],
        make_policy: abc.Callable[[], policy.Policy],
    ) -> None:
        self._terms_of = terms_of
        self._backends_of = backends_of
        self._entries = entries
        self._make_policy = make_policy
        self.cells_by_id: dict[str, cells.Cell] = {}

    def receive(self, event: parts.Received) -> list[typing.Any]:
        """Take a message of this instance's own entry."""
        message = event.message
        if isinstance(message, cells.Book):
            cell = self._refreshed(event.now, message.cell)
        else:
            cell = self.cells_by_id.get(message.cell)
        return [] if cell is None else _messages(cell.handle(event))

    def holds(self, cell_id: str, key: tuple[str, str]) -> bool:
        """Whether work was placed here, and not by the cell's owner."""
        cell = self.cells_by_id.get(cell_id)
        return cell is not None and key in cell.bookings_by_key

    def tick(self, event: parts.Ticked) -> list[typing.Any]:
        """Let time pass; forget cells that hold nothing any more."""
        out: list[typing.Any] = []
        for cell_id, cell in list(self.cells_by_id.items()):
            out += _messages(cell.handle(event))
            if not cell.bookings_by_key:
                del self.cells_by_id[cell_id]
        return out

    def _refreshed(self, now: float, cell_id: str) -> cells.Cell | None:
        """Return a cell as the document and the heartbeats have it now."""
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


def _share(terms: vocabulary.CellTerms, entries: int) -> vocabulary.CellTerms:
    return msgspec.structs.replace(
        terms,
        kv_tokens_by_role={
            role: tokens // entries
            for role, tokens in terms.kv_tokens_by_role.items()
        },
    )


def _messages(wanted: list[typing.Any]) -> list[typing.Any]:
    """Drop orders to engines: only the owner of a cell gives any."""
    kept = parts.Send | effects.Log
    return [each for each in wanted if isinstance(each, kept)]
