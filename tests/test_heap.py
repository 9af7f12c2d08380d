"""Tests of the exclusion of long-lived objects from garbage collections."""

import gc

from gentianmill_node.heap import freeze_heap


def test_present_objects_are_not_visited_again():
    """Guards against full collections that visit all modules of the node."""
    kept = [[]]
    assert any(found is kept for found in gc.get_objects())
    try:
        freeze_heap()
        assert not any(found is kept for found in gc.get_objects())
    finally:
        gc.unfreeze()
