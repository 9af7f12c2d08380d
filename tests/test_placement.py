"""Tests of placement under load patterns, without a network."""

import random
from collections import Counter

from gentianmill.node_table import NodeRecord, NodeState, NodeTable
from gentianmill.placement import FIRST_PAUSE_MS, Placement
from node_records import node_record

ROUTE = 'r'


def _node(name: str, zone: str = 'a1', region: str = 'a', **fields) -> NodeRecord:
    return node_record(name, zone=zone, region=region, **fields)


NEAR = _node('near')
NEXT = _node('next', zone='a2')
FAR = _node('far', zone='b1', region='b')


def _placement() -> Placement:
    return Placement('a1', 'a', random.Random(1))


def _place_calls(placement: Placement, count: int) -> Counter:
    """Place calls that do not end, and count them by node."""
    placed = Counter()
    for _ in range(count):
        node = placement.choose([NEAR, NEXT, FAR], ROUTE, 0)
        placement.record_start(node.name)
        placed[node.name] += 1
    return placed


def test_own_zone_comes_first():
    """Traffic between availability zones is billed by volume."""
    assert _place_calls(_placement(), 5) == {'near': 5}


def test_peak_in_one_zone_spills_over_before_callers_wait():
    """A zone at its peak must use the slots of its neighbours."""
    placed = _place_calls(_placement(), 18)
    assert placed['next'] >= 6
    assert placed['far'] == 0


def test_region_at_its_peak_spills_over_to_another():
    """A region whose callers wait must use the capacity of another region."""
    placed = _place_calls(_placement(), 60)
    assert placed['far'] > 5
    assert placed['far'] < placed['next']


def test_slow_upstream_gets_less():
    """An upstream that is five times slower must not keep its share of the work."""
    placement = _placement()
    for _ in range(30):
        placement.record_response('near', ROUTE, 500)
        placement.record_response('next', ROUTE, 100)
    assert placement.choose([NEAR, NEXT], ROUTE, 0) == NEXT


def test_failing_upstream_is_avoided_and_tried_again():
    """An upstream that fails part of its work looks fast; it must get fewer calls."""
    placement = _placement()
    for now_ms in range(10):
        placement.record_failure('near', now_ms)
    assert placement.choose([NEAR, NEXT], ROUTE, 10) == NEXT
    assert placement.choose([NEAR, NEXT], ROUTE, 60_000) == NEAR


def test_pause_ends():
    """A node that was once unable to run a call must be used again soon."""
    placement = _placement()
    placement.pause('near', 0)
    assert placement.choose([NEAR], ROUTE, 1) is None
    assert placement.choose([NEAR], ROUTE, FIRST_PAUSE_MS) == NEAR


def test_excluded_nodes_are_not_chosen():
    """A retry on the upstream that failed the call fails again."""
    assert _placement().choose([NEAR, FAR], ROUTE, 0, {'near'}) == FAR


def test_older_record_is_ignored():
    """A row that was written late must not bring a drained node back."""
    table = NodeTable()
    table.merge([_node('x', revision=2, state=NodeState.leaving)])
    assert not table.merge([_node('x', revision=1)])
    assert table.of_service('s') == []


def test_restarted_node_replaces_its_earlier_record():
    """A node that restarts after its clock was set back must be used again."""
    table = NodeTable()
    table.merge([_node('x', incarnation=9, revision=9)])
    assert table.merge([_node('x', incarnation=2, revision=10, slots=5)])
    assert table.find('x').slots == 5


def test_only_small_responses_cross_zones_to_save_time():
    """A large response from another zone costs its bytes, a small one saves time."""
    placements = {}
    for size_bytes in (200, 8000):
        placement = _placement()
        for _ in range(50):
            placement.record_response('near', ROUTE, 60, size_bytes)
            placement.record_response('next', ROUTE, 40, size_bytes)
        placements[size_bytes] = placement.choose([NEAR, NEXT], ROUTE, 0).name
    assert placements == {200: 'next', 8000: 'near'}
