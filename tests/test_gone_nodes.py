"""When the record of a node that nobody reaches is deleted, and by whom."""

import collections

from gentianmill.gone_nodes import GONE_MS, KEEPER_STEP_MS, KEEPERS, GoneNodes
from node_records import node_record

NAMES = [f'node-{number}' for number in range(40)]


def _watched_by(name: str) -> list:
    return GoneNodes(name).watched([node_record(other) for other in NAMES])


def test_each_record_has_as_many_keepers_as_stated():
    """A record without a keeper stays for good; many keepers ask at once."""
    keepers = collections.Counter(
        node.record.name for name in NAMES for node in _watched_by(name)
    )
    assert keepers == dict.fromkeys(NAMES, KEEPERS)


def test_keepers_of_a_record_have_different_places():
    """Keepers of the same place would ask for the deletion at the same time."""
    places = collections.defaultdict(set)
    for name in NAMES:
        for node in _watched_by(name):
            places[node.record.name].add(node.place)
    assert all(found == set(range(KEEPERS)) for found in places.values())


def test_no_node_watches_itself():
    """A node that cannot connect to itself would delete its own record."""
    assert all(node.record.name != name for name in NAMES for node in _watched_by(name))


def _first_watched(place: int) -> tuple[GoneNodes, object]:
    for name in NAMES:
        nodes = GoneNodes(name)
        for node in nodes.watched([node_record(other) for other in NAMES]):
            if node.place == place:
                return nodes, node
    raise AssertionError('nobody has this place')


def test_node_is_gone_only_after_its_time():
    """A restart or a cut between zones must not cost a node its record."""
    nodes, node = _first_watched(0)
    assert not nodes.is_gone(node, reached=False, now_ms=0)
    assert not nodes.is_gone(node, reached=False, now_ms=GONE_MS - 1)
    assert nodes.is_gone(node, reached=False, now_ms=GONE_MS)


def test_contact_starts_the_time_anew():
    """Short absences must not add up."""
    nodes, node = _first_watched(0)
    nodes.is_gone(node, reached=False, now_ms=0)
    nodes.is_gone(node, reached=True, now_ms=GONE_MS - 1)
    assert not nodes.is_gone(node, reached=False, now_ms=GONE_MS + 1)


def test_new_record_starts_the_time_anew():
    """A node that wrote a new record has started again."""
    nodes, node = _first_watched(0)
    nodes.is_gone(node, reached=False, now_ms=0)
    newer = type(node)(node_record(node.record.name, revision=9), node.place)
    assert not nodes.is_gone(newer, reached=False, now_ms=GONE_MS)


def test_later_keepers_leave_time_to_the_first():
    """Deletions asked for by all keepers at once are paid calls for nothing."""
    nodes, node = _first_watched(1)
    nodes.is_gone(node, reached=False, now_ms=0)
    assert not nodes.is_gone(node, reached=False, now_ms=GONE_MS)
    assert nodes.is_gone(node, reached=False, now_ms=GONE_MS + KEEPER_STEP_MS)
