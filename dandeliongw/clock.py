"""The clock of an instance; it also runs while the machine is suspended."""

import time


def now() -> float:
    """Return seconds since the machine booted, suspensions included.

    ``CLOCK_MONOTONIC`` stops while a machine is suspended. After a resume, an
    instance would treat its leases and confirmations as still valid: until
    they expire, it would act as owner beside its successor and serve an old
    document. This clock includes the suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
