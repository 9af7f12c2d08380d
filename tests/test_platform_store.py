"""Tests that rules and node records survive faults of the platform's store."""

import asyncio
import dataclasses
from collections.abc import Callable

import msgspec

from gentianmill.clock import BootClock
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_platform.store_adapters import StoreNodes, StoreRules
from mesh_deployment import JsonRules, rules_document
from node_records import node_record
from platform_store import FakeStore
from poll_turns import ImmediateTurns, ignore_confirmation

TIMEOUT_S = 10
"""Ends a scenario that hangs."""

OWN = node_record('own', slots=3)


def _is_own(record: NodeRecord | None) -> bool:
    """Return whether a record equals the own one except for its revision."""
    return record is not None and dataclasses.replace(record, revision=1) == OWN


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def _run_scenario(scenario) -> None:
    async def run_with_store() -> None:
        async with FakeStore() as store:
            await asyncio.wait_for(scenario(store), TIMEOUT_S)

    asyncio.run(run_with_store())


async def _follow_rules(store: FakeStore) -> tuple[StoreRules, RulesHolder]:
    holder = RulesHolder(JsonRules())
    source = StoreRules(store.client, BootClock())
    await source.start(holder, ImmediateTurns(), ignore_confirmation)
    return source, holder


async def _follow_nodes(store: FakeStore) -> tuple[StoreNodes, NodeTable]:
    registry = StoreNodes(store.client, BootClock())
    table = NodeTable()
    await registry.start(
        table,
        lambda record: table.merge([record]),
        ImmediateTurns(),
        ignore_confirmation,
    )
    return registry, table


def test_rules_that_were_written_before_the_start_are_found():
    """A node that only watches for changes would never get the active rules."""

    async def scenario(store: FakeStore) -> None:
        store.put('op', 'config', rules_document(3))
        source, holder = await _follow_rules(store)
        await _until(lambda: holder.version == 3)
        await source.close()

    _run_scenario(scenario)


def test_change_during_an_outage_is_found_after_it():
    """A feed that stops after an error would leave old rules active for good."""

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

    _run_scenario(scenario)


def test_rows_are_reloaded_after_a_lost_history():
    """A store that dropped its change history must not end the feed."""

    async def scenario(store: FakeStore) -> None:
        store.put('op', 'config', rules_document(1))
        source, holder = await _follow_rules(store)
        await _until(lambda: holder.version == 1)
        store.version += 10
        store.compacted_version = store.version
        store.put('op', 'config', rules_document(2))
        await _until(lambda: holder.version == 2)
        await source.close()

    _run_scenario(scenario)


def test_unreadable_rules_do_not_replace_those_in_force():
    """A truncated document must not remove all routes."""

    async def scenario(store: FakeStore) -> None:
        store.put('op', 'config', rules_document(1))
        source, holder = await _follow_rules(store)
        await _until(lambda: holder.version == 1)
        store.put('op', 'config', b'{"version": 9')
        store.put('op', 'config', rules_document(2))
        await _until(lambda: holder.version == 2)
        await source.close()

    _run_scenario(scenario)


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

    _run_scenario(scenario)


def test_lost_acknowledgement_is_repaired():
    """A write without a response may or may not have been applied."""

    async def scenario(store: FakeStore) -> None:
        store.unanswered_writes = 1
        registry, table = await _follow_nodes(store)
        registry.publish(OWN)
        await _until(lambda: _is_own(table.find('own')))
        await registry.close()

    _run_scenario(scenario)


def test_record_of_another_writer_is_skipped():
    """An invalid row must not hide the records beside it."""

    async def scenario(store: FakeStore) -> None:
        store.put('nodes', 'bad', b'\xff')
        registry, table = await _follow_nodes(store)
        registry.publish(OWN)
        await _until(lambda: _is_own(table.find('own')))
        await registry.close()

    _run_scenario(scenario)


def test_idle_feed_makes_few_calls():
    """Each call is billed; a feed that polls would cost more than all VMs."""

    async def scenario(store: FakeStore) -> None:
        store.put('op', 'config', rules_document(1))
        source, holder = await _follow_rules(store)
        await _until(lambda: holder.version == 1)
        await asyncio.sleep(0.9)
        assert store.calls <= 3
        await source.close()

    _run_scenario(scenario)


def test_restart_after_the_clock_was_set_back_is_seen():
    """Records ordered by wall-clock time would keep the node's earlier record."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow_nodes(store)
        registry.publish(dataclasses.replace(OWN, incarnation=9, slots=7))
        await _until(lambda: table.find('own') is not None)
        registry.publish(OWN)
        await _until(lambda: _is_own(table.find('own')))
        await registry.close()

    _run_scenario(scenario)


def test_record_of_a_removed_node_is_deleted():
    """Rows of removed VMs stayed in the table for good."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow_nodes(store)
        store.put('nodes', 'gone', msgspec.json.encode(node_record('gone')))
        registry.publish(OWN)
        await _until(lambda: table.find('gone') is not None)
        assert await registry.delete(table.find('gone'))
        assert table.find('gone') is None
        assert store.content('nodes', 'gone') is None
        await registry.close()

    _run_scenario(scenario)


def test_record_that_changed_is_not_deleted():
    """A node that has returned would be unknown until it notices the deletion."""

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

    _run_scenario(scenario)


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

    _run_scenario(scenario)


def test_deletion_before_a_lost_history_is_found():
    """A reloaded table does not list the rows that were deleted meanwhile."""

    async def scenario(store: FakeStore) -> None:
        registry, table = await _follow_nodes(store)
        store.put('nodes', 'gone', msgspec.json.encode(node_record('gone')))
        registry.publish(OWN)
        await _until(lambda: table.find('gone') is not None)
        store.remove('nodes', 'gone')
        store.version += 10
        store.compacted_version = store.version
        await registry.poll_now()
        await _until(lambda: table.find('gone') is None)
        await registry.close()

    _run_scenario(scenario)


def test_changes_between_two_pages_are_found():
    """A row that changes while a long table is read would stay outdated."""

    async def scenario(store: FakeStore) -> None:
        store.page_rows = 1
        for name in ('a', 'b'):
            store.put('nodes', name, b'first')
        store.before_page = lambda: store.put('nodes', 'a', b'second')
        snapshot = await store.client.read('nodes')
        changes = await store.client.changes('nodes', snapshot.version, 0)
        assert b'second' in {row.content for row in changes.rows}

    _run_scenario(scenario)


def test_row_written_as_a_poll_ends_is_told():
    """Guards against a fake store that tells the version of a row, but not the row.

    A test that waits for the row then waits until its limit.
    """

    async def scenario() -> list[str]:
        async with FakeStore() as store:
            loop = asyncio.get_running_loop()

            def write_in_the_next_step(_request: object) -> bool:
                loop.call_soon(store.put, 'nodes', 'late', b'')
                return False

            store.fails = write_in_the_next_step
            changes = await store.client.changes('nodes', 0, 0)
            assert changes.version == 1
            return [row.key for row in changes.rows]

    assert asyncio.run(scenario()) == ['late']
