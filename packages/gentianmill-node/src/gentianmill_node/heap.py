"""Settings of the garbage collector and of the allocator of the process."""

import ctypes
import gc

from gentianmill_node.logs import component

__all__ = ('freeze_heap', 'limit_retained_memory', 'return_free_memory')

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
"""Parameters of ``mallopt`` of the GNU C library."""

LARGE_BLOCK_BYTES = 128 * 1024
"""Blocks from this size on are returned to the system when they are freed. By default the
library raises this bound up to 32 MiB with each such block, and keeps the later ones."""

COLLECTION_THRESHOLD_OBJECTS = 20_000
"""Net allocations that trigger a collection of the youngest generation. Python's
default of 700 collects every few calls and finds almost nothing, as calls leave
hardly any reference cycles."""

OLDER_GENERATION_RATIO = 20
"""Collections of one generation for each collection of the next older one."""


log = component('memory')


def limit_retained_memory() -> None:
    """Let the allocator return the memory of large blocks when they are freed."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        log.info('Allocator not adjustable.', error=repr(error))
        return
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    mallopt(M_TRIM_THRESHOLD, LARGE_BLOCK_BYTES)


def return_free_memory() -> None:
    """Return what only reference cycles hold, and free memory between blocks in use.

    It takes some ms. Failed connections leave cycles with all that they have received,
    which regular collections find late, as few objects are involved.
    """
    gc.collect()
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError) as error:
        log.debug('Free memory not returned.', error=repr(error))


def freeze_heap() -> None:
    """Exclude all present objects from later garbage collections.

    The modules and the components of the node live as long as the process. A full
    collection that visits them blocks the event loop for 50 to 75 ms, mostly while
    a new sheet is parsed.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        COLLECTION_THRESHOLD_OBJECTS, OLDER_GENERATION_RATIO, OLDER_GENERATION_RATIO
    )
