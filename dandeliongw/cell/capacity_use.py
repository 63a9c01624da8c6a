"""What is asked of a cell and admitted to it, by rank and account."""

from . import capacity as capacity_module
from . import comparisons
from . import prediction
from .capacity import Resource
from .cell_types import Booking
from .cell_types import CellTerms
from .cell_types import Stage
from .cell_view import CellView
from .shares import DecayingRates
from .shares import Excess
from .shares import FairShares

#: Cap of the part of a cell that is reserved for work of better rank, so that
#: a tenth is always left for the rest.
MAX_HIGHER_RANK_PART = 0.9
#: Time constant of the rates from which the reserved part is computed, in
#: seconds. In a small cell a single call would reserve most of it otherwise.
RESERVED_DECAY_S = 10.0
#: Weight of a new measurement of the part of prompts that is not cached.
SMOOTHING = 0.05


class CapacityUse:
    """Counts the work of one cell in each of its resources.

    Ranks are counted separately: many patient calls of an account don't limit
    its urgent ones.

    :param comparison: how accounts are compared.
    """

    def __init__(
        self, comparison: comparisons.Comparison | None = None
    ) -> None:
        self._comparison = comparison
        self._asked = DecayingRates()
        #: Admitted work, by rank: averages over a few seconds, which shares
        #: follow, and over longer.
        self._admitted_by_rank: dict[int, DecayingRates] = {}
        self._reserved_by_rank: dict[int, DecayingRates] = {}
        self._shares_by_kind: dict[tuple[int, Stage], FairShares] = {}
        self._uncached_part = 1.0
        self._capacity: dict[Resource, float] = {}
        self._capacity_at: tuple[float, CellTerms] | None = None

    def add_demand(self, now: float, view: CellView, booking: Booking) -> None:
        """Count work that is asked for."""
        amounts = self._cost(view, booking)
        self._asked.add(now, amounts)
        shares = self._shares(view, booking)
        shares.add_demand(now, booking.account, amounts)

    def add_usage(self, now: float, view: CellView, booking: Booking) -> None:
        """Count work that is admitted."""
        amounts = self._cost(view, booking)
        rank = prediction.rank_of(view, booking)
        admitted = self._admitted_by_rank.setdefault(rank, DecayingRates())
        admitted.add(now, amounts)
        reserved = self._reserved_by_rank.setdefault(
            rank, DecayingRates(RESERVED_DECAY_S)
        )
        reserved.add(now, amounts)
        shares = self._shares(view, booking)
        shares.add_usage(now, booking.account, amounts)

    def record_prefill(
        self, view: CellView, booking: Booking, prefill_id: str
    ) -> None:
        """Update the part of prompts that prefill engines compute."""
        state = view.backends_by_id.get(prefill_id)
        if state is None or not booking.prompt_tokens:
            return
        cached = state.cached_tokens(booking.prefix)
        uncached = max(0.0, 1.0 - cached / booking.prompt_tokens)
        self._uncached_part += SMOOTHING * (uncached - self._uncached_part)

    def excess(
        self, now: float, view: CellView, booking: Booking
    ) -> Excess | None:
        """Return by how much an account exceeds its share, if it does.

        Its share is one of what work of better rank leaves.
        """
        capacity = self._capacity_per_s(now, view)
        rank = prediction.rank_of(view, booking)
        higher_rank = _rates_below(now, rank, self._admitted_by_rank)
        least = 1.0 - MAX_HIGHER_RANK_PART
        left = {
            resource: max(
                amount - higher_rank.get(resource, 0.0), amount * least
            )
            for resource, amount in capacity.items()
        }
        return self._shares(view, booking).excess(
            now, booking.account, view.terms.share_by_account, left
        )

    def higher_rank_part(
        self, now: float, view: CellView, booking: Booking
    ) -> float:
        """Return the part of the cell that work of better rank takes.

        It is that of the resource of which such work takes most.
        """
        rank = prediction.rank_of(view, booking)
        rates = _rates_below(now, rank, self._reserved_by_rank)
        capacity = self._capacity_per_s(now, view)
        resource = capacity_module.most_used(rates, capacity)
        if resource is None:
            return 0.0
        return min(rates[resource] / capacity[resource], MAX_HIGHER_RANK_PART)

    def binding(self, now: float, view: CellView) -> Resource | None:
        """Return the resource that binds now, if any."""
        asked = self._asked.rates(now)
        capacity = self._capacity_per_s(now, view)
        resource = capacity_module.most_used(asked, capacity)
        if resource is None:
            return None
        part = asked[resource] / capacity[resource]
        return resource if part >= capacity_module.BINDS_FROM else None

    def _cost(self, view: CellView, booking: Booking) -> dict[Resource, float]:
        return capacity_module.cost(view, booking, self._uncached_part)

    def _shares(self, view: CellView, booking: Booking) -> FairShares:
        kind = prediction.rank_of(view, booking), booking.stage
        shares = self._shares_by_kind.get(kind)
        if shares is None:
            shares = FairShares(self._comparison)
            self._shares_by_kind[kind] = shares
        return shares

    def _capacity_per_s(
        self, now: float, view: CellView
    ) -> dict[Resource, float]:
        """Return the capacity, computed at most once in a tick."""
        if (
            self._capacity_at is None
            or now - self._capacity_at[0] >= capacity_module.CAPACITY_TTL_S
            or view.terms is not self._capacity_at[1]
        ):
            self._capacity = capacity_module.capacity_per_s(now, view)
            self._capacity_at = now, view.terms
        return self._capacity


def _rates_below(
    now: float, rank: int, averages_by_rank: dict[int, DecayingRates]
) -> dict[Resource, float]:
    """Return the rates of all better ranks together."""
    total: dict[Resource, float] = {}
    for each, averages in averages_by_rank.items():
        if each < rank:
            for resource, rate in averages.rates(now).items():
                total[resource] = total.get(resource, 0.0) + rate
    return total
