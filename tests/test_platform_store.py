"""Rules and nodes reach a node whatever the platform's store does."""

import asyncio
import dataclasses
from collections.abc import Callable

import msgspec

from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_platform.store_ports import StoreNodes, StoreRules
from mesh_deployment import JsonRules, rules_document
from node_records import node_record
from platform_store import FakeStore

LIMIT_S = 10
"""Ends a run that hangs."""

OWN = node_record('own', slots=3)


def _is_own(record: NodeRecord | None) -> bool:
    """Return whether a record is the own one, whatever its revision."""
    return record is not None and dataclasses.replace(record, revision=1) == OWN


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def _play(scenario) -> None:
    async def play() -> None:
        async with FakeStore() as store:
            await asyncio.wait_for(scenario(store), LIMIT_S)

    asyncio.run(play())


async def _follow_rules(store: FakeStore) -> tuple[StoreRules, RulesHolder]:
    holder = RulesHolder(JsonRules())
    source = StoreRules(store.client)
    await source.start(holder)
    return source, holder


async def _follow_nodes(store: FakeStore) -> tuple[StoreNodes, NodeTable]:
    registry = StoreNodes(store.client)
    table = NodeTable()
    await registry.start(table, lambda record: table.merge([record]))
    return registry, table


def test_rules_that_were_written_before_the_start_are_found():
    """A node that only watches would never learn the rules in force."""

    async def scenario(store: FakeStore) -> None:
        store.put('op', 'config', rules_document(3))
        source, holder = await _follow_rules(store)
        await _until(lambda: holder.version == 3)
        await source.close()

    _play(scenario)


def test_change_during_an_outage_is_found_after_it():
    """A feed that gives up would leave old rules in force for good."""

    async def scenario(store: FakeStore) -> None:
        store.put('op', 'config', rules_document(1))
        source, holder = await _follow_rules(store)
        await _until(lambda: holder.version == 1)
        store.failing_status = 503
        store.put('op', 'config', rules_document(2))
        await asyncio.sleep(1.5)
        store.failing_status = None
        await _until(lambda: holder.version == 2)
        await source.close()

    _play(scenario)


def test_forgotten_history_is_read_anew():
    """A store that dropped its history must not end the feed."""

    async def scenario(store: FakeStore) -> None:
        store.put('op', 'config', rules_document(1))
        source, holder = await _follow_rules(store)
        await _until(lambda: holder.version == 1)
        store.version += 10
        store.forgotten = store.version
        store.put('op', 'config', rules_document(2))
        await _until(lambda: holder.version == 2)
        await source.close()

    _play(scenario)


def test_unreadable_rules_do_not_replace_those_in_force():
    """A document that is cut short must not take all routes away."""

    async def scenario(store: FakeStore) -> None:
        store.put('op', 'config', rules_document(1))
        source, holder = await _follow_rules(store)
        await _until(lambda: holder.version == 1)
        store.put('op', 'config', b'{"version": 9')
        store.put('op', 'config', rules_document(2))
        await _until(lambda: holder.version == 2)
        await source.close()

    _play(scenario)


def test_older_rules_never_come_back():
    """A node that goes back to an older version misroutes requests."""
    holder = RulesHolder(JsonRules())
    holder.offer(rules_document(5), 'test')
    assert not holder.offer(rules_document(4), 'test')
    assert holder.version == 5


def test_record_is_written_until_the_store_acknowledges_it():
    """A node whose record is lost gets no work from others."""

    async def scenario(store: FakeStore) -> None:
        store.failing_status = 429
        registry, table = await _follow_nodes(store)
        registry.publish(OWN)
        await asyncio.sleep(0.5)
        store.failing_status = None
        await _until(lambda: table.find('own') is not None)
        await registry.close()

    _play(scenario)


def test_lost_acknowledgement_is_repaired():
    """A write without an answer may or may not have been done."""

    async def scenario(store: FakeStore) -> None:
        store.losing_answers = 1
        registry, table = await _follow_nodes(store)
        registry.publish(OWN)
        await _until(lambda: _is_own(table.find('own')))
        await registry.close()

    _play(scenario)


def test_record_of_another_writer_is_skipped():
    """Bytes that are no record must not hide the records beside them."""

    async def scenario(store: FakeStore) -> None:
        store.put('nodes', 'bad', b'\xff')
        registry, table = await _follow_nodes(store)
        registry.publish(OWN)
        await _until(lambda: _is_own(table.find('own')))
        await registry.close()

    _play(scenario)


def test_idle_feed_makes_few_calls():
    """Each call is paid; a feed that polls would cost more than all VMs."""

    async def scenario(store: FakeStore) -> None:
        store.put('op', 'config', rules_document(1))
        source, holder = await _follow_rules(store)
        await _until(lambda: holder.version == 1)
        await asyncio.sleep(0.9)
        assert store.calls <= 3
        await source.close()

    _play(scenario)


def test_restart_after_the_clock_was_set_back_is_seen():
    """Records ordered by the time of day would keep the node's earlier life."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow_nodes(store)
        registry.publish(dataclasses.replace(OWN, incarnation=9, slots=7))
        await _until(lambda: table.find('own') is not None)
        registry.publish(OWN)
        await _until(lambda: _is_own(table.find('own')))
        await registry.close()

    _play(scenario)


def test_record_of_a_node_that_is_gone_is_deleted():
    """Rows of VMs that are gone stayed in the table for good."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow_nodes(store)
        store.put('nodes', 'gone', msgspec.json.encode(node_record('gone')))
        registry.publish(OWN)
        await _until(lambda: table.find('gone') is not None)
        assert await registry.delete(table.find('gone'))
        assert table.find('gone') is None
        assert store.content('nodes', 'gone') is None
        await registry.close()

    _play(scenario)


def test_record_that_changed_is_not_deleted():
    """A node that has come back would be unknown until it notices."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow_nodes(store)
        store.put('nodes', 'back', msgspec.json.encode(node_record('back')))
        registry.publish(OWN)
        await _until(lambda: table.find('back') is not None)
        known = table.find('back')
        store.put('nodes', 'back', msgspec.json.encode(node_record('back')))
        assert not await registry.delete(known)
        assert store.content('nodes', 'back') is not None
        await registry.close()

    _play(scenario)


def test_own_record_that_was_deleted_is_written_again():
    """A node that was cut off for long would get no work after its return."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow_nodes(store)
        registry.publish(OWN)
        await _until(lambda: _is_own(table.find('own')))
        store.remove('nodes', 'own')
        await registry.poll_now()
        await _until(lambda: store.content('nodes', 'own') is not None)
        await registry.close()

    _play(scenario)


def test_deletion_before_a_lost_history_is_found():
    """A table that is read anew lacks the rows that were deleted meanwhile."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow_nodes(store)
        store.put('nodes', 'gone', msgspec.json.encode(node_record('gone')))
        registry.publish(OWN)
        await _until(lambda: table.find('gone') is not None)
        store.remove('nodes', 'gone')
        store.version += 10
        store.forgotten = store.version
        await registry.poll_now()
        await _until(lambda: table.find('gone') is None)
        await registry.close()

    _play(scenario)


def test_changes_between_two_pages_are_found():
    """A row that changes while a long table is read would stay old."""

    async def scenario(store: FakeStore) -> None:
        store.page_rows = 1
        for name in ('a', 'b'):
            store.put('nodes', name, b'first')
        store.before_page = lambda: store.put('nodes', 'a', b'second')
        snapshot = await store.client.read('nodes')
        changes = await store.client.changes('nodes', snapshot.version, 0)
        assert b'second' in {row.content for row in changes.rows}

    _play(scenario)
