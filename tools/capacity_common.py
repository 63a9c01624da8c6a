"""Sizes and helpers that all measurements of the capacity tool share."""

from collections import abc
import dataclasses
import gc
import statistics

from tools import capacity_fits as fits
from tools import capacity_network as networks

#: Number of voters where another size varies.
VOTERS = 5
MICRO = 1e6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sizes:
    """Sizes and durations of the measurements."""

    instances: tuple[int, ...] = (10, 24, 45)
    voters: tuple[int, ...] = (3, 5, 7)
    models: tuple[int, ...] = (0, 4, 8)
    fronts: int = 18
    replicas: tuple[int, ...] = (20, 40, 66)
    rates: tuple[int, ...] = (10, 20, 40)
    bookings: tuple[int, ...] = (0, 60, 120, 240)
    prompt_tokens: tuple[int, ...] = (64, 1024, 4096)
    accounts: tuple[int, ...] = (100, 600, 1200)
    slots: tuple[int, ...] = (1000, 4000)
    members: tuple[int, ...] = (4, 8, 16)
    records: tuple[int, ...] = (1000, 10_000)
    settle_s: float = 10.0
    seconds: float = 5.0


QUICK = Sizes(
    instances=(7, 9),
    voters=(1, 2),
    models=(0, 1),
    fronts=5,
    replicas=(5, 10),
    rates=(2, 4),
    bookings=(0, 5, 10),
    prompt_tokens=(64, 1024),
    accounts=(10, 50),
    slots=(50, 100),
    members=(3, 4),
    records=(10, 100),
    settle_s=1.0,
    seconds=1.0,
)


def start_network(
    instances: int, voters: int, models: int, accounts: int = 1
) -> networks.Network:
    """Return an idle network in which a document is in force."""
    network = networks.Network(instances=instances, voters=voters)
    network.start(networks.make_document(models=models, accounts=accounts))
    # Let leases be acquired and the first lookups end.
    network.run(4.0)
    return network


def measure(network: networks.Network, seconds: float) -> None:
    """Reset all meters, then run for ``seconds`` of virtual time."""
    network.reset()
    gc.collect()
    network.run(seconds)


def mean(values: abc.Iterable[float]) -> float:
    """Return the mean; zero for no values."""
    return statistics.fmean(list(values) or [0.0])


def owns_cell(node: networks.Node) -> bool:
    """Return whether an instance owns a cell."""
    return bool(node.reducer.owner.cells_by_id)


def is_voter(node: networks.Node) -> bool:
    """Return whether an instance is a voter."""
    return node.reducer.register.disk_id is not None


def owner_of(network: networks.Network, service: str) -> networks.Node:
    """Return the owner of a service's cell in the first region."""
    return next(
        node
        for node in network.nodes_by_id.values()
        for cell in node.reducer.owner.cells_by_id
        if cell.startswith(f'{service}/{networks.REGIONS[0]}/')
    )


def fit_lines(
    points_by_name: dict[tuple[str, str], list[tuple[float, float]]], per: str
) -> abc.Iterator[fits.Fit]:
    """Fit a line through the points of each name and unit."""
    for (name, unit), points in points_by_name.items():
        yield fits.fit(name, unit=unit, per=per, points=points)
