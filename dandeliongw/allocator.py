"""Settings of the C library's memory allocator."""

import ctypes

from loguru import logger

#: Parameters of glibc's ``mallopt``, from ``malloc.h``.
_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8
#: Bytes from which a block is mapped on its own: glibc's first threshold.
MAPPED_BYTES = 128 << 10
#: Pools of smaller blocks that all threads share. The interpreter's lock lets
#: one thread at a time allocate, so more would only keep more.
MAX_ARENAS = 2


def return_freed_memory() -> None:
    """Have large blocks returned to the operating system when they are freed.

    By default glibc raises its threshold with each block that is freed, and
    keeps blocks below it for the thread that freed them: a process whose
    threads had read some MiB each kept several times what it needed.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if (
        mallopt is None
        or not mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES)
        or not mallopt(_M_ARENA_MAX, MAX_ARENAS)
    ):
        logger.info('the C library keeps freed memory as it likes')
