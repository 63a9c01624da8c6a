"""The orders that an instance sends to the engines of the cells it owns."""

from collections import abc
import typing

from .. import directory as directory_module
from .. import effects
from . import cells
from ..coordination import lease
from ..coordination import parts
from ..coordination import presence
from . import document_terms
from . import orders
from . import roles

#: Burst of loads from the weight store, all cells of an instance together.
STORE_BURST = 2.0


class OrderDispatch:
    """Sets the desired state of engines, and returns the orders for it.

    Only a cell that is owned under a lease has orders.

    :param store_loads_per_s: loads from the weight store, all cells together.
    :param longest_order_s: time after which an order can't take effect any
        more.
    :param lease_wait_s: lease and margin, see :class:`.orders.Orders`.
    """

    def __init__(
        self,
        *,
        directory: directory_module.Directory,
        leases: lease.Leases,
        backends: presence.Presence,
        store_loads_per_s: float,
        longest_order_s: float,
        lease_wait_s: float,
    ) -> None:
        self._directory = directory
        self._leases = leases
        self._presence = backends
        self._budget = orders.StoreBudget(
            loads_per_s=store_loads_per_s, burst=STORE_BURST
        )
        self._longest_order_s = longest_order_s
        self._lease_wait_s = lease_wait_s
        self._revision = 0
        self.orders_by_cell: dict[str, orders.Orders] = {}
        self.counts = orders.OrderCounts()

    def gain(self, cell: str, epoch: int) -> None:
        """Start sending orders for a cell whose lease was gained."""
        self.orders_by_cell[cell] = orders.Orders(
            cell=cell,
            epoch=epoch,
            guard=self._leases,
            budget=self._budget,
            longest_order_s=self._longest_order_s,
            lease_wait_s=self._lease_wait_s,
            counts=self.counts,
        )

    def drop(self, cell: str) -> None:
        """Stop sending orders for a cell."""
        self.orders_by_cell.pop(cell, None)

    def may_send(self, order: effects.GiveOrder, now: float) -> bool:
        """Return whether an order may be sent now.

        Safe to call from any thread.
        """
        held = self.orders_by_cell.get(order.cell)
        return held is not None and held.may_send(order.order, now)

    def answer(self, event: orders.OrderAnswered) -> list[typing.Any]:
        """Process the result of one attempt of an order."""
        for held in self.orders_by_cell.values():
            held.handle(event)
        return []

    def due_orders(
        self, event: parts.Ticked, cells_by_id: abc.Mapping[str, cells.Cell]
    ) -> list[typing.Any]:
        """Return the orders that are due."""
        out = []
        for cell_id, held in self.orders_by_cell.items():
            backends = cells_by_id[cell_id].view.backends_by_id
            for order in held.handle(event):
                state = backends.get(order.backend_id)
                if state is not None:
                    out.append(
                        effects.GiveOrder(
                            cell=cell_id,
                            url=state.backend.url,
                            order=order,
                            timeout_s=self._longest_order_s,
                        )
                    )
        return out

    def update(self, now: float, cell: cells.Cell) -> None:
        """Update a cell's engines and their desired state."""
        held = self.orders_by_cell.get(cell.cell_id)
        if held is None:
            return
        values_by_role = document_terms.desired_by_role(
            self._directory.document, cell.service
        )
        switches_by_id = cell.roles.switches_by_id
        present = cell.view.backends_by_id
        for backend_id, state in present.items():
            announcement = self._presence.backends_by_id[
                backend_id
            ].announcement
            held.handle(
                orders.EngineSeen(
                    now=now,
                    backend_id=backend_id,
                    incarnation=state.backend.incarnation,
                    checks_fence=announcement.checks_fence,
                )
            )
        held.handle(
            orders.DesiredChanged(
                now=now,
                revision=self._next_revision(),
                values_by_backend={
                    backend_id: {
                        **values_by_role.get(state.backend.role, {}),
                        **_role_order(switches_by_id.get(backend_id)),
                    }
                    for backend_id, state in present.items()
                },
            )
        )

    def _next_revision(self) -> int:
        """Return a number for the desired state.

        The document's revision won't do: the desired state also changes with
        the engines.
        """
        self._revision += 1
        return self._revision


def _role_order(
    switch: roles.Switch | None,
) -> dict[orders.OrderKind, str]:
    if switch is None:
        return {}
    return {orders.OrderKind.CHANGE_ROLE: switch.role.value}
