"""Garbage collector settings of the process."""

import gc

COLLECTION_THRESHOLD_OBJECTS = 20_000
"""Net allocations that trigger a collection of the youngest generation. Python's
default of 700 collects every few calls and finds almost nothing, as calls leave
hardly any reference cycles."""

OLDER_GENERATION_RATIO = 20
"""Collections of one generation for each collection of the next older one."""


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
