"""Tests of the exclusion of long-lived objects from garbage collections."""

import gc

from gentianmill_node.heap import COLLECTION_THRESHOLD_OBJECTS, freeze_heap


def test_present_objects_are_not_visited_again():
    """Guards against full collections that visit all modules of the node."""
    before = gc.get_threshold()
    kept = [[]]
    assert any(found is kept for found in gc.get_objects())
    try:
        freeze_heap()
        assert not any(found is kept for found in gc.get_objects())
    finally:
        gc.unfreeze()
        gc.set_threshold(*before)


def test_cycles_are_searched_seldom():
    """Guards against collecting every few calls, which took an eighth of their time."""
    before = gc.get_threshold()
    try:
        freeze_heap()
        assert gc.get_threshold()[0] >= COLLECTION_THRESHOLD_OBJECTS
    finally:
        gc.unfreeze()
        gc.set_threshold(*before)
