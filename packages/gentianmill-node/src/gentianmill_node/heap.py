"""The objects that live as long as the process."""

import gc

COLLECT_AFTER = 20_000
"""New objects, beyond those freed, until cycles are searched; at Python's 700 that
happens every few calls and finds nothing, as calls leave almost no cycles."""

OLDER_AFTER = 20
"""Searches of the young objects per search of older ones."""


def freeze_heap() -> None:
    """Exclude all present objects from later garbage collections.

    The modules and the parts of the node stay until the end. A full collection
    that visits them blocks the loop for 50 to 75 ms, mostly while a new sheet is
    read.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, OLDER_AFTER, OLDER_AFTER)
