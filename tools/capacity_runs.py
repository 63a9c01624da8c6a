"""The measurements that simulate instances in one process."""

from collections import abc

from tools import capacity_calls as calls
from tools import capacity_changes as changes
from tools import capacity_common as common
from tools import capacity_fits as fits
from tools import capacity_idle as idle
from tools import capacity_memory as memory

_RUNS = (
    idle.by_instances,
    idle.by_cells,
    calls.by_replicas,
    calls.by_requests,
    calls.by_bookings,
    calls.by_prompt,
    calls.by_claims,
    changes.by_changes,
    changes.by_history,
    memory.by_memory,
)


def all_fits(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Run all measurements; yield their lines."""
    for run in _RUNS:
        yield from run(sizes)
