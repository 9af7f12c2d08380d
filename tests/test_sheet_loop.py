"""Tests of polling for a planning sheet."""

import asyncio
from pathlib import Path

from gentianmill_node.time_slices import SLICE_MS
from gentianmill_node.table_client import TableWrite
from memory_table import MemoryTable
from node_builder import ControlNode, write_key

from gentianmill.clock import ManualClock
from gentianmill.sheet_record import (
    SHEET_KEY,
    VERSION_KEY,
    SheetRecord,
    encode_record,
)

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'guild' / 'sheet.yaml'


class _CountingTable(MemoryTable):
    """A table that remembers which rows were read."""

    def __init__(self) -> None:
        """Create an empty table."""
        super().__init__()
        self.reads: list[str] = []

    async def read(self, key):
        """Read a row and remember its key."""
        self.reads.append(key)
        return await super().read(key)


def _accept(table: MemoryTable, version: int):
    record = SheetRecord(version, EXAMPLE.read_text(), 'ana', 1)
    writes = [
        TableWrite(SHEET_KEY, encode_record(record), None),
        TableWrite(VERSION_KEY, str(version).encode(), None),
    ]
    return table.transact(writes)


def test_an_unchanged_sheet_is_not_read_again(tmp_path):
    """Guards against polls that transfer the whole sheet every 3 s."""

    async def run() -> tuple[list[str], int]:
        table = _CountingTable()
        node = ControlNode(write_key(tmp_path), table, 'node-1')
        loop = node.sheet_loop
        await _accept(table, 1)
        await loop.poll()
        await loop.poll()
        await _accept(table, 2)
        await loop.poll()
        return table.reads, node.tracker.version

    reads, version = asyncio.run(run())
    assert reads == [SHEET_KEY, VERSION_KEY, VERSION_KEY, SHEET_KEY]
    assert version == 2


class _CostlyClock(ManualClock):
    """A clock by which each step of a computation takes half a time slice."""

    def now_ms(self) -> float:
        """Advance and return the time."""
        self.advance(SLICE_MS / 2)
        return super().now_ms()


def test_other_tasks_run_while_a_sheet_is_parsed(tmp_path):
    """Guards against parsing a sheet in one go, which blocks all calls of a node."""

    async def run() -> int:
        table = MemoryTable()
        node = ControlNode(write_key(tmp_path), table, 'node-1')
        node.sheet_loop._clock = _CostlyClock()
        await _accept(table, 1)
        polls = asyncio.gather(node.sheet_loop.poll(), node.sheet_loop.poll())
        iterations = 0
        while not polls.done():
            await asyncio.sleep(0)
            iterations += 1
        assert node.tracker.version == 1
        return iterations

    assert asyncio.run(run()) > len(EXAMPLE.read_text().splitlines())
