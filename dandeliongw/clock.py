"""The clock of an instance: seconds that also pass while it is suspended."""

import time


def now() -> float:
    """Return seconds since the machine started, its suspensions included.

    The usual monotonic clock stands still while a machine is suspended. An
    instance that wakes would take its leases and confirmations for as fresh
    as before; one would see it act beside its successor, and serve an old
    document, for as long as those last. This clock shows the gap at once.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
