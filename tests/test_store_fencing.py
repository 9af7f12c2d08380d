"""Tests that a node's row is only replaced by a write of the same or a later process."""

import asyncio
import dataclasses
from collections.abc import Callable

import pytest
from gentianmill.clock import BootClock
from gentianmill.departures import Departure
from gentianmill.node_record_codec import encode_record
from gentianmill.node_table import NodeRecord, NodeState, NodeTable
from gentianmill_mesh.ports import PollTurns
from gentianmill_platform.store_adapters import StoreNodes
from node_records import node_record
from platform_store import FakeStore
from poll_turns import ImmediateTurns, RequestedTurns, ignore_confirmation

TIMEOUT_S = 10
"""Ends a scenario that hangs."""

EARLIER = node_record('own', incarnation=1_000, state=NodeState.leaving)
LATER = node_record('own', incarnation=2_000, slots=3)


@dataclasses.dataclass
class _Process:
    """The registry of a node's process, and the table that it fills."""

    registry: StoreNodes
    table: NodeTable


async def _start(store: FakeStore, turns: PollTurns | None = None) -> _Process:
    registry = StoreNodes(store.client, BootClock())
    table = NodeTable()
    await registry.start(
        table,
        lambda record: table.merge([record]),
        turns or ImmediateTurns(),
        ignore_confirmation,
    )
    await registry.poll_now()
    return _Process(registry, table)


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def _run(scenario) -> None:
    async def run_with_store() -> None:
        async with FakeStore() as store:
            await asyncio.wait_for(scenario(store), TIMEOUT_S)

    asyncio.run(run_with_store())


def _holds(store: FakeStore, record: NodeRecord) -> bool:
    return store.content('nodes', 'own') == encode_record(record)


def test_late_write_of_an_ended_process_does_not_replace_its_successor():
    """Guards against a node that all others take as leaving, with nobody to correct it."""

    async def scenario(store: FakeStore) -> None:
        store.held_writes = 1
        ended = await _start(store)
        ended.registry.publish(EARLIER)
        await _until(lambda: not store.held_writes)
        await ended.registry.close()
        running = await _start(store)
        await running.registry.publish(LATER)
        assert store.do_held_writes() == [412]
        assert _holds(store, LATER)
        await running.registry.close()

    _run(scenario)


@pytest.mark.parametrize('tells_rows', [True, False])
def test_late_write_between_the_read_and_the_write_of_a_successor(tells_rows: bool):
    """Guards against a process that starts and gives way to one that has ended."""

    async def scenario(store: FakeStore) -> None:
        store.tells_conflicts = tells_rows
        store.held_writes = 1
        ended = await _start(store)
        ended.registry.publish(EARLIER)
        await _until(lambda: not store.held_writes)
        await ended.registry.close()
        running = await _start(store)
        assert store.do_held_writes() == [200]
        await running.registry.publish(LATER)
        assert _holds(store, LATER)
        await running.registry.close()

    _run(scenario)


def test_process_whose_clock_was_set_back_does_not_give_way_to_itself():
    """Guards against a later record that counts as older than the first one."""
    first = node_record('own', incarnation=500, slots=3)
    later = dataclasses.replace(first, slots=4)

    async def scenario(store: FakeStore) -> None:
        store.put('nodes', 'own', encode_record(EARLIER))
        running = await _start(store)
        await running.registry.publish(first)
        stored = store.content('nodes', 'own')
        await running.registry.publish(later)
        # A write of its own that is done late, as an earlier release makes it.
        store.put('nodes', 'own', stored)
        await running.registry.poll_now()
        expected = dataclasses.replace(later, incarnation=EARLIER.incarnation + 1)
        await _until(lambda: _holds(store, expected))
        await running.registry.close()

    _run(scenario)


def test_departure_that_another_node_added_is_kept():
    """Guards against a process that replaces a departure which it does not know."""
    left = Departure('a', 9)

    async def scenario(store: FakeStore) -> None:
        store.put('nodes', 'own', encode_record(EARLIER))
        running = await _start(store)
        added = dataclasses.replace(EARLIER, departures=(left,))
        store.put('nodes', 'own', encode_record(added))
        await running.registry.publish(LATER)
        assert _holds(store, dataclasses.replace(LATER, departures=(left,)))
        await running.registry.close()

    _run(scenario)


def test_departure_that_another_node_adds_meanwhile_is_kept():
    """Guards against a process that replaces it with its next record, or without end."""
    left = Departure('a', 9)

    async def scenario(store: FakeStore) -> None:
        running = await _start(store)
        await running.registry.publish(LATER)
        added = dataclasses.replace(LATER, departures=(left,))
        store.put('nodes', 'own', encode_record(added))
        await running.registry.poll_now()
        draining = dataclasses.replace(LATER, state=NodeState.leaving, revision=9)
        await running.registry.publish(draining)
        assert _holds(store, dataclasses.replace(draining, departures=(left,)))
        await _until(lambda: running.table.find('own').departures == (left,))
        calls = store.write_calls
        await asyncio.sleep(1)
        assert store.write_calls == calls
        await running.registry.close()

    _run(scenario)


def test_late_first_write_after_a_removal_is_replaced():
    """Guards against the row of an ended process that comes back where there is none."""

    async def scenario(store: FakeStore) -> None:
        store.held_writes = 1
        ended = await _start(store)
        ended.registry.publish(EARLIER)
        await _until(lambda: not store.held_writes)
        await ended.registry.close()
        running = await _start(store, RequestedTurns())
        await running.registry.publish(LATER)
        store.remove('nodes', 'own')
        assert store.do_held_writes() == [200]
        await running.registry.poll_now()
        await _until(lambda: _holds(store, LATER))
        await running.registry.close()

    _run(scenario)


def test_row_that_an_earlier_process_replaced_is_written_again():
    """Guards against an unconditional late write, as an earlier release makes it."""

    async def scenario(store: FakeStore) -> None:
        running = await _start(store)
        await running.registry.publish(LATER)
        store.put('nodes', 'own', encode_record(EARLIER))
        await running.registry.poll_now()
        await _until(lambda: _holds(store, LATER))
        await running.registry.close()

    _run(scenario)


def test_row_that_gossip_tells_to_be_replaced_is_written_again():
    """Guards against waiting for the next poll, which most nodes make rarely."""

    async def scenario(store: FakeStore) -> None:
        running = await _start(store, RequestedTurns())
        await running.registry.publish(LATER)
        store.put('nodes', 'own', encode_record(EARLIER))
        told = dataclasses.replace(EARLIER, revision=store.version)
        running.registry.records_seen([told])
        await _until(lambda: _holds(store, LATER))
        await running.registry.close()

    _run(scenario)


def test_faulty_record_in_gossip_does_not_keep_a_node_from_writing():
    """Guards against a node that gives way to a process that does not exist."""
    odd = node_record('own', incarnation=9_000, host='elsewhere', revision=999)
    changed = dataclasses.replace(LATER, state=NodeState.leaving, revision=2)

    async def scenario(store: FakeStore) -> None:
        running = await _start(store, RequestedTurns())
        await running.registry.publish(LATER)
        running.registry.records_seen([odd])
        await running.registry.publish(changed)
        assert _holds(store, changed)
        await running.registry.close()

    _run(scenario)


def test_row_of_a_later_process_elsewhere_is_not_replaced():
    """Guards against a replaced VM that comes back and takes the calls of its successor."""
    successor = dataclasses.replace(LATER, host='elsewhere')

    async def scenario(store: FakeStore) -> None:
        outdated = await _start(store)
        await outdated.registry.publish(EARLIER)
        store.put('nodes', 'own', encode_record(successor))
        outdated.registry.publish(dataclasses.replace(EARLIER, revision=2))
        await outdated.registry.poll_now()
        await asyncio.sleep(0.5)
        assert _holds(store, successor)
        await outdated.registry.close()

    _run(scenario)


def test_clock_that_was_set_back_does_not_keep_a_process_from_writing():
    """Guards against a node that is out of use until its clock has caught up."""

    async def scenario(store: FakeStore) -> None:
        store.put('nodes', 'own', encode_record(LATER))
        running = await _start(store)
        await running.registry.publish(EARLIER)
        await _until(lambda: running.table.find('own').state is EARLIER.state)
        assert running.table.find('own').incarnation > LATER.incarnation
        await running.registry.close()

    _run(scenario)


def test_late_first_write_from_before_the_clock_was_set_back_is_replaced():
    """Guards against a process that takes its predecessor's late row for a successor's."""

    async def scenario(store: FakeStore) -> None:
        store.held_writes = 1
        ended = await _start(store)
        ended.registry.publish(LATER)
        await _until(lambda: not store.held_writes)
        await ended.registry.close()
        running = await _start(store)
        assert store.do_held_writes() == [200]
        await running.registry.publish(EARLIER)
        await _until(lambda: running.table.find('own').state is EARLIER.state)
        await running.registry.close()

    _run(scenario)


def test_retry_accepts_its_own_unanswered_write():
    """Guards against a process that fails on, or repeats, what it has written itself."""

    async def scenario(store: FakeStore) -> None:
        store.unanswered_writes = 1
        running = await _start(store)
        await running.registry.publish(LATER)
        assert _holds(store, LATER)
        assert store.version == 1
        await running.registry.close()

    _run(scenario)


def test_own_late_write_does_not_replace_a_newer_one():
    """Guards against a leaving node that is taken as serving by its own late write."""
    changed = dataclasses.replace(LATER, state=NodeState.leaving, revision=2)

    async def scenario(store: FakeStore) -> None:
        store.held_writes = 1
        running = await _start(store)
        running.registry.publish(LATER)
        await _until(lambda: not store.held_writes)
        await running.registry.publish(changed)
        assert store.do_held_writes() == [412]
        assert _holds(store, changed)
        await running.registry.close()

    _run(scenario)


def test_newer_record_follows_an_unanswered_write():
    """Guards against a state that is kept back by the node's own earlier write."""
    changed = dataclasses.replace(LATER, state=NodeState.leaving, revision=2)

    async def scenario(store: FakeStore) -> None:
        store.unanswered_writes = 1
        running = await _start(store)
        running.registry.publish(LATER)
        await _until(lambda: not store.unanswered_writes)
        await running.registry.publish(changed)
        assert _holds(store, changed)
        await running.registry.close()

    _run(scenario)


def test_usual_write_is_one_call():
    """Guards against a condition that costs a read, as each call is billed."""

    async def scenario(store: FakeStore) -> None:
        store.put('nodes', 'own', encode_record(EARLIER))
        running = await _start(store)
        for revision in (1, 2, 3):
            changed = dataclasses.replace(LATER, revision=revision)
            await running.registry.publish(changed)
        assert store.write_calls == 3
        assert store.conflicts == 0
        await running.registry.close()

    _run(scenario)


def test_late_removal_does_not_remove_a_row_that_was_written_since():
    """Guards against a node that returns and is removed by an earlier decision."""

    async def scenario(store: FakeStore) -> None:
        store.put('nodes', 'own', encode_record(EARLIER))
        watcher = await _start(store)
        await _until(lambda: watcher.table.find('own') is not None)
        store.held_writes = 1
        assert not await watcher.registry.delete(watcher.table.find('own'))
        running = await _start(store)
        await running.registry.publish(LATER)
        assert store.do_held_writes() == [412]
        assert _holds(store, LATER)
        await running.registry.close()
        await watcher.registry.close()

    _run(scenario)


def test_removal_that_fails_on_a_newer_row_learns_it():
    """Guards against calls to a node's former address until the next poll."""

    async def scenario(store: FakeStore) -> None:
        store.put('nodes', 'own', encode_record(EARLIER))
        watcher = await _start(store, RequestedTurns())
        await _until(lambda: watcher.table.find('own') is not None)
        store.put('nodes', 'own', encode_record(LATER))
        assert not await watcher.registry.delete(watcher.table.find('own'))
        assert watcher.table.find('own').state is LATER.state
        await watcher.registry.close()

    _run(scenario)
