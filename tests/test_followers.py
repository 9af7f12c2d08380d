"""Tests of the choice of nodes that ask the store for all others."""

import dataclasses
from collections.abc import Collection

from gentianmill.confirmed import UNKNOWN_AGE_MS, Confirmed
from gentianmill.followers import FollowerChoice
from gentianmill.node_table import NodeRecord, NodeState, NodeTable
from node_records import node_record

REGIONS = ('north', 'south')
ZONES = ('a', 'b', 'c')
SIZES = (6, 30, 100, 300, 610)


def _records(count: int) -> list[NodeRecord]:
    records = []
    for number in range(count):
        region = REGIONS[number % len(REGIONS)]
        zone = f'{region}-{ZONES[number % len(ZONES)]}'
        record = node_record(f'node-{number}')
        records.append(dataclasses.replace(record, region=region, zone=zone))
    return records


def _chosen(records: list[NodeRecord], lost: Collection[str] = ()) -> set[str]:
    """Return the nodes that take themselves for followers."""

    def reaches(other: NodeRecord) -> bool:
        return other.name not in lost

    chosen = set()
    for record in records:
        choice = FollowerChoice(record.name)
        if reaches(record) and record in choice.followers(
            record.region, records, reaches
        ):
            chosen.add(record.name)
    return chosen


def test_followers_do_not_grow_with_the_nodes():
    """Guards against calls to the store that grow with the nodes."""
    for size in SIZES:
        assert len(_chosen(_records(size))) == 2 * len(REGIONS)


def test_followers_of_a_region_are_in_two_zones():
    """Guards against followers that are all lost with one zone."""
    records = _records(60)
    by_name = {record.name: record for record in records}
    zones = {by_name[name].zone for name in _chosen(records)}
    assert len(zones) == 2 * len(REGIONS)


def test_lost_followers_are_replaced():
    """Guards against a region that nobody follows for."""
    records = _records(60)
    lost = _chosen(records)
    replaced = _chosen(records, lost)
    assert len(replaced) == 2 * len(REGIONS)
    assert not replaced & lost


def test_leaving_nodes_are_no_followers():
    """Guards against followers that stop in the next seconds."""
    records = _records(60)
    leaving = _chosen(records)
    records = [
        dataclasses.replace(record, state=NodeState.leaving)
        if record.name in leaving
        else record
        for record in records
    ]
    assert not _chosen(records) & leaving


def test_region_with_one_node_has_one_follower():
    """Guards against a single node that finds no follower and hears nothing."""
    assert len(_chosen(_records(1))) == 1


def test_confirmation_never_goes_back():
    """Guards against an old confirmation that arrives late and hides a newer one."""
    confirmed = Confirmed()
    assert confirmed.wire_age_ms(0) == UNKNOWN_AGE_MS
    confirmed.confirm(1000)
    confirmed.confirm(500)
    assert confirmed.age_ms(1500) == 500
    assert confirmed.wire_age_ms(1500.2) == 501


def test_digest_depends_on_the_records_only():
    """Guards against tables that are taken for the same, or for different ones."""
    records = _records(20)
    table, reversed_table = NodeTable(), NodeTable()
    table.merge(records)
    reversed_table.merge(reversed(records))
    assert table.digest == reversed_table.digest
    assert table.digest
    newer = dataclasses.replace(records[0], revision=records[0].revision + 1)
    table.merge([newer])
    assert table.digest != reversed_table.digest
    reversed_table.merge([newer])
    assert table.digest == reversed_table.digest
    for record in records:
        table.remove(record.name, record.revision + 2)
    assert table.digest == 0
