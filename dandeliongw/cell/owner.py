"""The cells that this instance owns, for as long as it holds their leases."""

import collections
import typing

from .. import directory as directory_module
from .. import document as document_module
from .. import effects
from . import capacity_reports as capacity_reports_module
from . import cell_types
from . import cells
from ..coordination import lease
from ..coordination import parts
from ..coordination import presence
from . import document_terms
from . import fallback
from . import order_dispatch
from . import policy
from . import rate_limits as rate_limits_module
from . import scheduler
from . import takeover

#: Seconds between two reviews of the pools' sizes.
ROLE_REVIEW_INTERVAL_S = 0.5
#: Seconds between two messages to the deputies of a cell without a lease.
LAPSED_INTERVAL_S = 0.5
#: Deputies that get them; some may be cut off as well.
LAPSED_DEPUTIES = 3
#: The messages that are addressed to the owner of ``message.cell``.
OWNER_MESSAGES = (
    cells.Book,
    cells.PrefillDone,
    cells.Progress,
    cells.Release,
    cells.Reclaim,
    cells.RateLimitReported,
    cells.RestReported,
)


class Owner:
    """Creates a cell when its lease is gained, drops it when that is lost.

    A cell's state is not handed over: entries send a new owner the bookings
    that they hold, see ``takeover.py``, and backend servers renew their
    announcements within a second.

    :param rate_limits: of backend servers, for work that this entry places
        while an owner is silent; see ``fallback.py``.
    """

    def __init__(
        self,
        *,
        directory: directory_module.Directory,
        leases: lease.Leases,
        backends: presence.Presence,
        rate_limits: rate_limits_module.RateLimits,
        store_loads_per_s: float = 1.0,
        longest_order_s: float = 5.0,
        lease_wait_s: float = 2.25,
        moves_engines: bool = False,
        owner_lag_s: float | None = None,
    ) -> None:
        self._directory = directory
        self._leases = leases
        self._presence = backends
        self._moves_engines = moves_engines
        self._owner_lag_s = owner_lag_s
        #: Bookings that were declined as this owner was late, by rank.
        self._shed_by_rank: collections.Counter[int] = collections.Counter()
        self._roles_at = 0.0
        self._lapsed_at = 0.0
        self.order_dispatch = order_dispatch.OrderDispatch(
            directory=directory,
            leases=leases,
            backends=backends,
            store_loads_per_s=store_loads_per_s,
            longest_order_s=longest_order_s,
            lease_wait_s=lease_wait_s,
        )
        self._epochs_by_cell: dict[str, int] = {}
        self._load_times_by_id: dict[str, float] = {}
        self._takeovers_by_cell: dict[str, takeover.Takeover] = {}
        #: Cells that are kept without a lease, see :meth:`keep_without_lease`.
        self._kept_cells: set[str] = set()
        self.cells_by_id: dict[str, cells.Cell] = {}
        self.capacity_reports = capacity_reports_module.CapacityReports()
        self.fallback_cells = fallback.FallbackCells(
            terms_of=lambda cell: self._terms(cell.split('/')[0]),
            backends_of=self._backends_of,
            entries=directory.count_entries,
            make_policy=self.make_policy,
            rate_limits=rate_limits,
        )

    def gain(
        self, now: float, cell: str, epoch: int, instance_ids: frozenset[str]
    ) -> list[typing.Any]:
        """Start owning a cell.

        :param instance_ids: the instances that may hold bookings of it.
        """
        self._epochs_by_cell[cell] = epoch
        self._kept_cells.discard(cell)
        service = cell.split('/')[0]
        terms = self._terms(service)
        if terms is None:
            return []
        self.cells_by_id[cell] = cells.Cell(
            cell_id=cell,
            service=service,
            epoch=epoch,
            document_part=terms,
            policy=self.make_policy(),
            owner_lag_s=self._owner_lag_s,
        )
        current = takeover.Takeover(
            now=now, cell=cell, epoch=epoch, awaited=instance_ids
        )
        self._takeovers_by_cell[cell] = current
        self.order_dispatch.gain(cell, epoch)
        return [*self._update_backends(now, cell), *current.announce()]

    def make_policy(self) -> policy.Policy:
        """Return the policy of a new cell; subclasses may override this."""
        return scheduler.Scheduler()

    def lose(self, cell: str) -> None:
        """Stop owning a cell and drop its state."""
        self._epochs_by_cell.pop(cell, None)
        self._drop(cell)

    def keep_without_lease(self, cell: str) -> bool:
        """Keep a cell whose lease expired while no voter could be reached.

        If the voters are down, no other instance can get it. If the cell were
        dropped, each entry would place work within its own part of every
        backend server. With 200 entries that part is smaller than one
        request, and with more than 20 the entries don't get announcements of
        backend servers at all: all would answer "no backend server is ready"
        until the voters are back. No orders are sent to engines, as those
        need a lease.

        The voters may also be up and only this instance cut off from them.
        So the deputies are told, see :meth:`_notify_deputies`.

        :returns: whether there was a cell to keep.
        """
        if cell not in self.cells_by_id or cell in self._takeovers_by_cell:
            return False
        self._epochs_by_cell.pop(cell, None)
        self.order_dispatch.drop(cell)
        self._kept_cells.add(cell)
        return True

    def yield_to(self, cell: str, epoch: int) -> None:
        """Drop a kept cell once another owner has a lease for it."""
        held = self.cells_by_id.get(cell)
        if cell in self._kept_cells and held.epoch < epoch:
            self._drop(cell)

    def _drop(self, cell: str) -> None:
        self._kept_cells.discard(cell)
        dropped = self.cells_by_id.pop(cell, None)
        if dropped is not None:
            self._shed_by_rank += dropped.shedding.counts_by_rank
        self._takeovers_by_cell.pop(cell, None)
        self.order_dispatch.drop(cell)

    def change_document(
        self, now: float, instance_ids: frozenset[str]
    ) -> list[typing.Any]:
        """Apply a new document; drop cells whose service was removed.

        A service can be added again before the lease of its cell is released.
        No event will then announce the lease, as it is held already, so the
        cell is created here.
        """
        out = []
        for cell_id, cell in list(self.cells_by_id.items()):
            terms = self._terms(cell.service)
            if terms is None:
                self._drop(cell_id)
                continue
            out.extend(cell.handle(cells.TermsChanged(now=now, terms=terms)))
            self.order_dispatch.update(now, cell)
        for cell_id, epoch in list(self._epochs_by_cell.items()):
            if cell_id not in self.cells_by_id:
                out.extend(self.gain(now, cell_id, epoch, instance_ids))
        return out

    def receive(self, event: parts.Received) -> list[typing.Any]:
        """Handle a message for a cell, or answer that it isn't owned here."""
        message = event.message
        if self._is_for_fallback(event):
            return self.fallback_cells.receive(event)
        cell = self._held_cell(event.now, message.cell)
        if cell is None:
            return self._not_owner(event)
        current = self._takeovers_by_cell.get(message.cell)
        if current is None:
            return cell.handle(event)
        if isinstance(message, cells.Book):
            return current.delay_book(event)
        if isinstance(message, cells.Progress) and message.queued:
            event = current.without_delayed(event)
        if isinstance(message, cells.Reclaim):
            current.record_reclaim(event.sender)
        return [*cell.handle(event), *self._end_takeovers(event.now)]

    def _is_for_fallback(self, event: parts.Received) -> bool:
        """Return whether it is for work that this entry places by itself."""
        message = event.message
        if isinstance(message, cells.Book):
            return message.unowned
        if isinstance(message, (cells.Release, cells.PrefillDone)):
            key = (message.request_id, message.attempt_id)
            return self.fallback_cells.holds(message.cell, key)
        return False

    def _end_takeovers(self, now: float) -> list[typing.Any]:
        out = []
        for cell_id, current in list(self._takeovers_by_cell.items()):
            if not current.is_over(now):
                out.extend(current.repeat_request(now))
                continue
            del self._takeovers_by_cell[cell_id]
            for delayed in current.release(now):
                out.extend(self.receive(delayed))
        return out

    def _held_cell(self, now: float, cell_id: str) -> cells.Cell | None:
        """Return a cell if its lease is valid now, or it is kept without one.

        A process that was suspended past its lease resumes with its cells
        still in memory and messages waiting in its sockets. The lease is
        checked for each message, so that no slots are booked that the next
        owner has already booked.
        """
        cell = self.cells_by_id.get(cell_id)
        if cell is None or cell_id in self._kept_cells:
            return cell
        if self._leases.epoch_if_held(cell_id, now) != cell.epoch:
            return None
        return cell

    def _not_owner(self, event: parts.Received) -> list[typing.Any]:
        message = event.message
        holder = self._leases.known_holder(message.cell) or ''
        if isinstance(message, cells.Book):
            about = message
        elif isinstance(message, cells.Progress) and (
            message.bookings or message.queued
        ):
            about = (*message.queued, *message.bookings)[0]
            # Entries ask in this way, too, whether a silent owner is still
            # it; only instances that have tried for a lease know its holder.
            if message.queued:
                holder = holder or self._directory.last_owner(message.cell)
        else:
            return []
        reply = cells.NotOwner(
            cell=message.cell,
            request_id=about.request_id,
            attempt_id=about.attempt_id,
            holder=holder,
        )
        return [parts.Send(to=event.sender, message=reply)]

    def handle_in_all(self, event: typing.Any) -> list[typing.Any]:
        """Pass an event to every cell whose lease is held."""
        out = []
        for cell_id in list(self.cells_by_id):
            cell = self._held_cell(event.now, cell_id)
            if cell is not None:
                out.extend(cell.handle(event))
        return out

    def tick(self, event: parts.Ticked) -> list[typing.Any]:
        """Run the periodic work, after passing on new load reports."""
        return [
            *self._update_loads(event.now),
            *self.handle_in_all(event),
            *self._end_takeovers(event.now),
            *self._notify_deputies(event.now),
            *self.fallback_cells.tick(event),
            *self._review_roles(event.now),
            *self.capacity_reports.update(event.now, self.cells_by_id),
            *self.order_dispatch.due_orders(event, self.cells_by_id),
        ]

    def _notify_deputies(self, now: float) -> list[typing.Any]:
        """Tell the deputies of cells that are kept without a lease.

        A deputy that reaches the voters takes such a cell over. Without this,
        an owner that only lost its own links would go on without news of
        backend servers for as long as these are down.
        """
        if now < self._lapsed_at + LAPSED_INTERVAL_S:
            return []
        self._lapsed_at = now
        return [
            parts.Send(
                to=deputy,
                message=cells.LeaseLapsed(
                    cell=cell, epoch=self.cells_by_id[cell].epoch
                ),
                by_datagram=True,
            )
            for cell in sorted(self._kept_cells)
            for deputy in self._deputies(cell)
        ]

    def _deputies(self, cell: str) -> list[str]:
        ranked = self._directory.ranked_owners(cell)
        others = [each for each in ranked if each != self._directory.own_id]
        return others[:LAPSED_DEPUTIES]

    def change_backend(self, now: float, backend_id: str) -> list[typing.Any]:
        """Update the cell of a backend server whose presence changed."""
        backend = self._presence.backends_by_id.get(backend_id)
        if backend is None:
            return []
        announcement = backend.announcement
        cell = self._directory.cell_of_backend(
            announcement.service, announcement.data_centre
        )
        return [] if cell is None else self._update_backends(now, cell)

    def hint(self, now: float, hints: presence.CacheHints) -> list[typing.Any]:
        """Pass cache events on; they come late and may have gaps."""
        kind = presence.CacheEventKind
        return self.handle_in_all(
            cells.CacheHint(
                now=now,
                backend_id=hints.backend_id,
                stored=_prefixes(hints, kind.STORED),
                evicted=_prefixes(hints, kind.EVICTED),
                gap=hints.after_gap,
            )
        )

    def _review_roles(self, now: float) -> list[typing.Any]:
        """Move engines between the pools of a cell, and log each move."""
        if now < self._roles_at or not self._moves_engines:
            return []
        self._roles_at = now + ROLE_REVIEW_INTERVAL_S
        out: list[typing.Any] = []
        for cell_id, cell in self.cells_by_id.items():
            if cell_id in self._kept_cells or not cell.review_roles(now):
                continue
            self.order_dispatch.update(now, cell)
            out += [
                effects.log(
                    'an engine is moved to another pool',
                    cell=cell_id,
                    backend_id=switch.backend_id,
                    role=switch.role.value,
                )
                for switch in cell.roles.switches_by_id.values()
                if switch.since == now
            ]
        return out

    def epochs_by_cell(self) -> dict[str, int]:
        """Return the epochs of the cells owned here.

        Safe to call from any thread.
        """
        return self._epochs_by_cell.copy()

    def shed_by_rank(self) -> dict[str, int]:
        """Return how many bookings were declined as this owner was late.

        Safe to call from any thread.
        """
        counts = self._shed_by_rank.copy()
        for cell in self.cells_by_id.copy().values():
            counts += cell.shedding.counts_by_rank.copy()
        return {str(rank): count for rank, count in counts.items()}

    def lags_by_cell(self, now: float) -> dict[str, float]:
        """Return the longest recent delay of a tick in each owned cell.

        Safe to call from any thread.
        """
        return {
            cell_id: cell.shedding.longest_lag_s(now)
            for cell_id, cell in self.cells_by_id.copy().items()
        }

    def pool_loads(self) -> tuple[effects.PoolLoad, ...]:
        """Return slots and queue of every pool, summed over owned cells."""
        return tuple(
            self._pool_load(pool) for pool in self._directory.document.pools
        )

    def _pool_load(self, pool: document_module.Pool) -> effects.PoolLoad:
        owned = [
            cell
            for cell in self.cells_by_id.values()
            if cell.service == pool.service
        ]
        states = [
            state
            for cell in owned
            for state in cell.view.backends_by_id.values()
            if state.backend.role.value == pool.role
        ]
        limits = [
            limit
            for cell in owned
            for limit in cell.view.rate_limits.of(
                state.backend for state in states
            )
        ]
        return effects.PoolLoad(
            pool=pool.name,
            backends=len(states),
            limited=len(limits),
            slots=sum(state.backend.slots for state in states),
            used=sum(len(state.bookings_by_key) for state in states),
            queue=sum(_waiting(cell) for cell in owned),
        )

    def _update_loads(self, now: float) -> list[typing.Any]:
        out = []
        if not self.cells_by_id:
            return out
        for backend_id, backend in self._presence.backends_by_id.items():
            load, load_at = backend.load, backend.load_at
            if load is None or (
                self._load_times_by_id.get(backend_id) == load_at
            ):
                continue
            self._load_times_by_id[backend_id] = load_at
            reported = cells.LoadReported(
                now=now,
                backend_id=backend_id,
                running=load.running,
                waiting=load.waiting,
                queued_tokens=load.queued_tokens,
                slots_used=load.slots_used,
                kv_bytes=load.kv_bytes,
            )
            out.extend(self.handle_in_all(reported))
        return out

    def _update_backends(self, now: float, cell_id: str) -> list[typing.Any]:
        cell = self.cells_by_id.get(cell_id)
        if cell is None:
            return []
        backends = self._backends_of(now, cell_id)
        out = cell.handle(cells.BackendsChanged(now=now, backends=backends))
        self.order_dispatch.update(now, cell)
        return out

    def _backends_of(
        self, now: float, cell_id: str
    ) -> tuple[cell_types.CellBackend, ...]:
        """Return the backend servers of a cell that may get work."""
        service = cell_id.split('/')[0]
        terms = self._terms(service)
        slots_by_role = {} if terms is None else terms.slots_by_role
        return tuple(
            document_terms.cell_backend(each.announcement, slots_by_role)
            for each in self._presence.usable(service, now)
            if self._directory.cell_of_backend(
                service, each.announcement.data_centre
            )
            == cell_id
        )

    def _terms(self, service: str) -> cell_types.CellTerms | None:
        return document_terms.terms_of(self._directory.document, service)


def _waiting(cell: cells.Cell) -> int:
    return sum(
        booking.start_at is None for booking in cell.bookings_by_key.values()
    )


def _prefixes(
    hints: presence.CacheHints, kind: presence.CacheEventKind
) -> tuple[str, ...]:
    return tuple(each.prefix for each in hints.events if each.kind is kind)
