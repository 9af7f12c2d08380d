"""Tests of when the record of an unreachable node is deleted, and by which nodes."""

import collections

from gentianmill.stale_records import (
    STALE_AFTER_MS,
    WATCHER_STAGGER_MS,
    WATCHERS_PER_RECORD,
    StaleRecords,
)
from node_records import node_record

NAMES = [f'node-{number}' for number in range(40)]


def _watched_by(name: str) -> list:
    return StaleRecords(name).watched([node_record(other) for other in NAMES])


def test_each_record_has_the_stated_number_of_watchers():
    """Guards against records that no node deletes, or that many delete at once."""
    watchers = collections.Counter(
        node.record.name for name in NAMES for node in _watched_by(name)
    )
    assert watchers == dict.fromkeys(NAMES, WATCHERS_PER_RECORD)


def test_watchers_of_a_record_have_different_ranks():
    """Guards against watchers that request a deletion at the same time."""
    ranks = collections.defaultdict(set)
    for name in NAMES:
        for node in _watched_by(name):
            ranks[node.record.name].add(node.rank)
    assert all(found == set(range(WATCHERS_PER_RECORD)) for found in ranks.values())


def test_no_node_watches_itself():
    """Guards against a node that cannot reach itself and deletes its own record."""
    assert all(node.record.name != name for name in NAMES for node in _watched_by(name))


def _first_watched(rank: int) -> tuple[StaleRecords, object]:
    for name in NAMES:
        nodes = StaleRecords(name)
        for node in nodes.watched([node_record(other) for other in NAMES]):
            if node.rank == rank:
                return nodes, node
    raise AssertionError('no node has this rank')


def test_record_is_stale_only_after_its_time_limit():
    """Guards against deleting a record in a restart or a partition between zones."""
    nodes, node = _first_watched(0)
    assert not nodes.is_stale(node, reached=False, now_ms=0)
    assert not nodes.is_stale(node, reached=False, now_ms=STALE_AFTER_MS - 1)
    assert nodes.is_stale(node, reached=False, now_ms=STALE_AFTER_MS)


def test_contact_restarts_the_time_limit():
    """Guards against adding up short absences."""
    nodes, node = _first_watched(0)
    nodes.is_stale(node, reached=False, now_ms=0)
    nodes.is_stale(node, reached=True, now_ms=STALE_AFTER_MS - 1)
    assert not nodes.is_stale(node, reached=False, now_ms=STALE_AFTER_MS + 1)


def test_new_record_restarts_the_time_limit():
    """Guards against deleting the new record of a node that has restarted."""
    nodes, node = _first_watched(0)
    nodes.is_stale(node, reached=False, now_ms=0)
    newer = type(node)(node_record(node.record.name, revision=9), node.rank)
    assert not nodes.is_stale(newer, reached=False, now_ms=STALE_AFTER_MS)


def test_later_watchers_wait_for_the_first():
    """Guards against paying for the same deletion requested by all watchers at once."""
    nodes, node = _first_watched(1)
    nodes.is_stale(node, reached=False, now_ms=0)
    assert not nodes.is_stale(node, reached=False, now_ms=STALE_AFTER_MS)
    assert nodes.is_stale(
        node, reached=False, now_ms=STALE_AFTER_MS + WATCHER_STAGGER_MS
    )
