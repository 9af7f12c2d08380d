"""The objects that live as long as the process."""

import gc


def freeze_heap() -> None:
    """Exclude all present objects from later garbage collections.

    The modules and the parts of the node stay until the end. A full collection
    that visits them blocks the loop for 50 to 75 ms, mostly while a new sheet is
    read.
    """
    gc.collect()
    gc.freeze()
