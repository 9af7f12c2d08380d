"""Tests of membership and sheet distribution between nodes over loopback."""

import asyncio

from memory_table import MemoryTable
from node_builder import SHEET_TEXT, ControlNode, until, write_key

from gentianmill.member import MemberStatus
from gentianmill.sheet_record import SHEET_KEY, SheetRecord, encode_record
from gentianmill_node.table_client import TableWrite


async def _start(key_file, table, *node_ids, **options):
    nodes = [ControlNode(key_file, table, node_id, **options) for node_id in node_ids]
    await asyncio.gather(*[node.start() for node in nodes])
    return nodes


async def _close(*nodes):
    await asyncio.gather(*[node.close() for node in nodes])


def _accept(table, version):
    record = SheetRecord(version, SHEET_TEXT, 'operator', 1)
    write = TableWrite(SHEET_KEY, encode_record(record), None)
    return table.transact([write])


def test_nodes_find_each_other_and_learn_of_a_leave(tmp_path):
    """Guards against members that never join or never disappear."""

    async def scenario():
        table = MemoryTable()
        nodes = await _start(write_key(tmp_path), table, 'a', 'b', 'c', 'd')
        await until(lambda: all(node.sees('a', 'b', 'c', 'd') for node in nodes))
        await nodes[3].close()
        assert 'members/d' not in table.rows
        await until(lambda: all(node.sees('a', 'b', 'c') for node in nodes[:3]))
        assert nodes[0].status_of('d') is MemberStatus.left
        await _close(*nodes[:3])

    asyncio.run(scenario())


def test_sheet_reaches_nodes_through_peers_while_the_table_is_down(tmp_path):
    """Guards against a sheet that waits for the table at some nodes."""

    async def scenario():
        table = MemoryTable()
        nodes = await _start(write_key(tmp_path), table, 'a', 'b', 'c')
        await until(lambda: all(node.sees('a', 'b', 'c') for node in nodes))
        table.is_down = True
        nodes[0].tracker.offer(7, SHEET_TEXT, 'operator', 1)
        await until(lambda: all(node.tracker.version == 7 for node in nodes))
        assert nodes[1].tracker.record.accepted_by == 'operator'
        await _close(*nodes)

    asyncio.run(scenario())


def test_sheet_is_polled_from_the_table(tmp_path):
    """Guards against a lone node that misses accepted sheets."""

    async def scenario():
        table = MemoryTable()
        nodes = await _start(write_key(tmp_path), table, 'a')
        node = nodes[0]
        await until(
            lambda: 'accepted yet' in (node.tracker.not_ready_reason or ''),
        )
        await _accept(table, 3)
        await until(lambda: node.tracker.version == 3)
        assert node.tracker.not_ready_reason is None
        await _close(node)

    asyncio.run(scenario())
