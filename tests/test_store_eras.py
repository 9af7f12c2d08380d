"""Tests of a store that is restored from an older copy, and tells so by a new era."""

import asyncio
from collections.abc import Callable

import pytest
from gentianmill.clock import BootClock
from gentianmill.departures import Departure
from gentianmill.node_record_codec import encode_record
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.revisions import era_of, to_revision
from gentianmill_mesh.ports import PollTurns
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_platform.store_adapters import StoreNodes, StoreRules
from mesh_deployment import JsonRules, rules_document
from node_records import node_record
from platform_store import FakeStore
from poll_turns import ImmediateTurns, RequestedTurns, ignore_confirmation
from rules_deployment import FollowingNode, RulesDeployment, rules_deployment

TIMEOUT_S = 10
"""Ends a scenario that hangs."""

DEPLOYMENT_LIMIT_S = 40
"""The same for a deployment; nodes that follow others read the records every 15 s."""

OWN = node_record('own', slots=3)
LEFT = Departure('u-1', 5)


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


async def _follow(
    store: FakeStore, turns: PollTurns | None = None
) -> tuple[StoreNodes, NodeTable]:
    registry = StoreNodes(store.client, BootClock())
    table = NodeTable()
    await registry.start(
        table,
        lambda record: table.merge([record]),
        turns or ImmediateTurns(),
        ignore_confirmation,
    )
    await registry.poll_now()
    return registry, table


def _run(scenario) -> None:
    async def run_with_store() -> None:
        async with FakeStore() as store:
            store.era = 1
            await asyncio.wait_for(scenario(store), TIMEOUT_S)

    asyncio.run(run_with_store())


def test_own_row_is_written_again_after_a_restoration():
    """Guards against a node that nobody who starts later finds."""

    async def scenario(store: FakeStore) -> None:
        copy = store.snapshot()
        registry, table = await _follow(store)
        await registry.publish(OWN)
        store.restore(copy)
        await _until(lambda: store.content('nodes', 'own') == encode_record(OWN))
        await _until(lambda: era_of(table.find('own').revision) == 2)
        await registry.close()

    _run(scenario)


def test_own_row_is_written_again_after_the_first_restoration():
    """Guards against a row that is lost, as the store told no era before."""

    async def scenario(store: FakeStore) -> None:
        store.era = None
        copy = store.snapshot()
        registry, _ = await _follow(store, RequestedTurns())
        await registry.publish(OWN)
        store.restore(copy)
        # Another table tells this node the era; nobody asks it for the records.
        await store.client.read('op')
        await _until(lambda: store.content('nodes', 'own') == encode_record(OWN))
        await registry.close()

    _run(scenario)


def test_rows_are_read_although_their_versions_were_known():
    """Guards against a feed that skips rows whose versions are given out again."""

    async def scenario(store: FakeStore) -> None:
        copy = store.snapshot()
        registry, table = await _follow(store)
        for name in ('a', 'b'):
            store.put('nodes', name, encode_record(node_record(name)))
        await _until(lambda: table.find('b') is not None)
        store.restore(copy)
        for name in ('c', 'd'):
            store.put('nodes', name, encode_record(node_record(name)))
        await _until(lambda: table.find('c') is not None)
        await _until(lambda: table.find('d') is not None)
        await registry.close()

    _run(scenario)


def test_rules_of_the_copy_do_not_replace_those_in_force():
    """Guards against a confirmed configuration that is undone by a restoration."""

    async def scenario(store: FakeStore) -> None:
        holder = RulesHolder(JsonRules())
        source = StoreRules(store.client, BootClock())
        store.put('op', 'config', rules_document(1))
        await source.start(holder, ImmediateTurns(), ignore_confirmation)
        await _until(lambda: holder.version == 1)
        copy = store.snapshot()
        store.put('op', 'config', rules_document(2))
        await _until(lambda: holder.version == 2)
        store.restore(copy)
        await asyncio.sleep(1)
        assert holder.version == 2
        store.put('op', 'config', rules_document(3))
        await _until(lambda: holder.version == 3)
        await source.close()

    _run(scenario)


def test_era_that_a_peer_tells_makes_a_node_write_its_row():
    """Guards against a node that learns of the restoration only by its next poll."""

    async def scenario(store: FakeStore) -> None:
        copy = store.snapshot()
        registry, table = await _follow(store, RequestedTurns())
        await registry.publish(OWN)
        await _until(lambda: table.find('own') is not None)
        store.restore(copy)
        told = node_record('peer', revision=to_revision(2, 1))
        registry.records_seen([told])
        await _until(lambda: store.content('nodes', 'own') == encode_record(OWN))
        await registry.close()

    _run(scenario)


def test_era_that_the_store_does_not_tell_is_not_believed():
    """Guards against a faulty record that makes a node refuse all responses."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow(store)
        registry.records_seen([node_record('odd', revision=to_revision(900, 1))])
        store.put('nodes', 'late', encode_record(node_record('late')))
        await _until(lambda: table.find('late') is not None)
        await registry.publish(OWN)
        await registry.close()

    _run(scenario)


def test_first_era_costs_no_call():
    """Guards against calls of each start, as each call is billed."""

    async def calls(store: FakeStore, era: int | None) -> int:
        store.era = era
        before = store.calls
        registry, _ = await _follow(store, RequestedTurns())
        await registry.publish(OWN)
        await asyncio.sleep(0.3)
        await registry.close()
        return store.calls - before

    async def scenario(store: FakeStore) -> None:
        without = await calls(store, None)
        async with FakeStore() as other:
            assert await calls(other, 1) == without

    _run(scenario)


def test_row_of_a_dead_node_is_restored_and_not_forgotten():
    """Guards against a node whose acknowledged departures nobody knows at its start."""
    dead = node_record('dead', departures=(LEFT,))

    async def scenario(store: FakeStore) -> None:
        copy = store.snapshot()
        registry, table = await _follow(store)
        store.put('nodes', 'dead', encode_record(dead))
        await _until(lambda: table.find('dead') is not None)
        store.restore(copy)
        store.put('nodes', 'other', encode_record(node_record('other')))
        await _until(lambda: table.find('other') is not None)
        assert table.find('dead').departures == (LEFT,)
        assert not await registry.delete(table.find('dead'))
        await _until(lambda: era_of(table.find('dead').revision) == 2)
        assert table.find('dead').departures == (LEFT,)
        await registry.close()

    _run(scenario)


def test_removal_does_not_compare_versions_of_two_eras():
    """Guards against the removal of a live node's row that got its old version again."""

    async def scenario(store: FakeStore) -> None:
        copy = store.snapshot()
        registry, table = await _follow(store)
        store.put('nodes', 'back', encode_record(node_record('back')))
        await _until(lambda: table.find('back') is not None)
        known = table.find('back')
        store.restore(copy)
        store.put('nodes', 'back', encode_record(node_record('back', slots=7)))
        await _until(lambda: table.find('back').slots == 7)
        assert not await registry.delete(known)
        assert store.content('nodes', 'back') is not None
        await registry.close()

    _run(scenario)


def test_response_without_an_era_is_of_the_known_one():
    """Guards against a feed that ends at a response of something before the store."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow(store)
        store.era = None
        store.put('nodes', 'late', encode_record(node_record('late')))
        await _until(lambda: table.find('late') is not None)
        await registry.close()

    _run(scenario)


def _record(era: int, version: int, **fields: object) -> NodeRecord:
    return node_record('n', revision=to_revision(era, version), **fields)


def test_record_of_a_newer_era_replaces_one_with_a_higher_version():
    """Guards against a node that keeps what a restored store no longer has."""
    table = NodeTable()
    table.merge([_record(1, 90, slots=1)])
    table.merge([_record(2, 5, slots=2)])
    table.merge([_record(1, 99, slots=3)])
    assert table.find('n').slots == 2


def test_restored_record_of_an_earlier_process_is_not_taken():
    """Guards against calls to the address that a node had before its last start."""
    table = NodeTable()
    table.merge([_record(1, 90, incarnation=7, slots=1)])
    table.merge([_record(2, 5, incarnation=6, slots=2, departures=(LEFT,))])
    assert table.find('n').slots == 1
    assert table.find('n').departures == (LEFT,)
    assert table.find('n').revision == to_revision(2, 5)


def test_nodes_with_the_same_records_of_an_era_have_the_same_digest():
    """Guards against nodes that ask the store again and again after a restoration."""
    lost = node_record('lost', revision=to_revision(1, 9))
    tables = [NodeTable(), NodeTable()]
    tables[0].merge([lost, _record(1, 3)])
    for table in tables:
        table.merge([_record(2, 4)])
        table.apply_snapshot(['n'], to_revision(2, 4))
    assert tables[0].find('lost') is not None
    assert tables[0].digest == tables[1].digest


async def _all_rows(deployment: RulesDeployment) -> None:
    await _until(
        lambda: all(
            deployment.store.content('nodes', node.name) is not None
            for node in deployment.nodes
        )
    )


@pytest.mark.parametrize('cut', [0, 2], ids=['all_hear', 'half_hear'])
def test_deployment_survives_a_restoration_during_a_change(cut: int):
    """Guards against nodes that go back to old rules, or don't find each other again."""

    async def scenario() -> None:
        async with rules_deployment(4) as deployment:
            store = deployment.store
            store.era = 1
            copy = store.snapshot()
            deployment.put(2)
            await deployment.until_all(2)
            for node in deployment.nodes[:cut]:
                node.store_proxy.dropping = True
            store.restore(({}, copy[1] // 2))
            await asyncio.sleep(3)
            for node in deployment.nodes[:cut]:
                node.store_proxy.dropping = False
            deployment.put(2)
            deployment.put(3)
            await deployment.until_all(3)
            await _all_rows(deployment)
            for node in deployment.nodes:
                assert node.versions == [1, 2, 3]

    asyncio.run(asyncio.wait_for(scenario(), DEPLOYMENT_LIMIT_S))


async def _start_during_a_restoration(deployment: RulesDeployment) -> FollowingNode:
    """Start a node after a restoration to a copy without version 2, and return it."""
    store = deployment.store
    store.era = 1
    copy = store.snapshot()
    deployment.put(2)
    await deployment.until_all(2)
    store.restore(copy)
    return await deployment.add_node('late')


def test_node_that_starts_after_a_restoration_finds_the_others_and_their_rules():
    """Guards against a start that ends with what the copy holds."""

    async def scenario() -> None:
        async with rules_deployment(3) as deployment:
            await _start_during_a_restoration(deployment)
            await deployment.until_all(2)
            await deployment.until_acquainted()
            await _all_rows(deployment)

    asyncio.run(asyncio.wait_for(scenario(), DEPLOYMENT_LIMIT_S))


def test_node_that_starts_after_a_restoration_never_uses_the_older_rules():
    """Guards against requests handled by a configuration that was replaced."""

    async def scenario() -> list[int]:
        async with rules_deployment(3) as deployment:
            late = await _start_during_a_restoration(deployment)
            await deployment.until_all(2)
            return late.versions

    versions = asyncio.run(asyncio.wait_for(scenario(), DEPLOYMENT_LIMIT_S))
    assert versions == [2]
