"""Tests of departures that a node stores for another one."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import pytest
from gentianmill.clock import MonotonicClock
from gentianmill.departures import Departure
from gentianmill.node_record_codec import decode_record, encode_record
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill_platform.foreign_departures import ForeignDepartures
from gentianmill_platform.own_row import NODE_TABLE
from node_records import node_record
from platform_store import FakeStore

LIMIT_S = 10
LEFT = Departure('a', 9)
EARLIER = Departure('b', 3)
NODE = 'n'


class _Bed:
    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.table = NodeTable()
        self.table.merge([node_record(NODE, departures=(EARLIER,))])
        self.put(EARLIER)
        self.departures = ForeignDepartures(store.client, self.table, MonotonicClock())

    @property
    def stored(self) -> NodeRecord:
        """Return the record in the row of the node."""
        return decode_record(self.store.content(NODE_TABLE, NODE), NODE, 1)

    def put(self, *departures: Departure) -> None:
        """Write the row of the node as that node does."""
        record = node_record(NODE, departures=departures)
        self.store.put(NODE_TABLE, NODE, encode_record(record))


def _play(scenario: Callable[[_Bed], Awaitable[object]]) -> object:
    async def run() -> object:
        async with FakeStore() as store:
            return await scenario(_Bed(store))

    return asyncio.run(asyncio.wait_for(run(), LIMIT_S))


def test_departure_is_added_to_the_row():
    """Guards against a departure that is nowhere but in processes."""

    async def scenario(bed: _Bed) -> None:
        before = bed.stored
        assert await bed.departures.add(NODE, (LEFT,))
        added = dataclasses.replace(before, departures=(EARLIER, LEFT))
        assert bed.stored == added

    _play(scenario)


def test_departure_is_added_once_the_store_is_back():
    """Guards against a departure that is given up with the first call that fails."""

    async def scenario(bed: _Bed) -> None:
        bed.store.failing_status = 503
        adding = asyncio.ensure_future(bed.departures.add(NODE, (LEFT,)))
        await asyncio.sleep(0.1)
        bed.store.failing_status = None
        assert await adding
        assert LEFT in bed.stored.departures

    _play(scenario)


def test_several_nodes_add_it_once():
    """Guards against nodes that replace each other's rows again and again."""

    async def scenario(bed: _Bed) -> None:
        adding = (bed.departures.add(NODE, (LEFT,)) for _ in range(5))
        assert all(await asyncio.gather(*adding))
        assert bed.stored.departures == (EARLIER, LEFT)
        assert bed.store.write_calls - bed.store.conflicts == 1

    _play(scenario)


@pytest.mark.parametrize('is_told', [True, False])
def test_row_that_has_it_is_not_written(is_told: bool):
    """Guards against calls for what the node has stored itself."""

    async def scenario(bed: _Bed) -> None:
        bed.put(EARLIER, LEFT)
        if is_told:
            record = node_record(NODE, departures=(EARLIER, LEFT))
            bed.table.merge([dataclasses.replace(record, revision=9)])
        assert await bed.departures.add(NODE, (LEFT,))
        assert not bed.store.write_calls

    _play(scenario)


@pytest.mark.parametrize('is_known', [True, False])
def test_node_without_a_row_gets_none(is_known: bool):
    """Guards against the row of a removed node that comes back."""

    async def scenario(bed: _Bed) -> None:
        bed.store.remove(NODE_TABLE, NODE)
        if not is_known:
            bed.table.remove(NODE, 99)
        assert not await bed.departures.add(NODE, (LEFT,))
        assert bed.store.content(NODE_TABLE, NODE) is None

    _play(scenario)
