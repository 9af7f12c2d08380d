"""Tests of membership and sheet distribution between nodes over loopback."""

import asyncio
import pathlib
import signal
import sys

from memory_table import MemoryTable
from node_builder import SHEET_TEXT, ControlNode, until, write_key
from standins.processes import free_ports

from gentianmill.member import MemberStatus
from gentianmill.sheet_record import SHEET_KEY, SheetRecord, encode_record
from gentianmill_node.table_client import TableWrite


async def _start(key_file, table, *node_ids, **options):
    nodes = [ControlNode(key_file, table, node_id, **options) for node_id in node_ids]
    await asyncio.gather(*[node.start() for node in nodes])
    return nodes


async def _close(*nodes):
    await asyncio.gather(*[node.close() for node in nodes])


async def _crash(node):
    await node.sheet_loop.close()
    for task in list(node.member_loop._tasks):
        task.cancel()
    node.member_loop._client.close()
    node.member_loop._server.close()
    await node.member_loop._server.wait_closed()


def _write_accepted_sheet(table, version):
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
    """Guards against a node without peers that misses accepted sheets."""

    async def scenario():
        table = MemoryTable()
        nodes = await _start(write_key(tmp_path), table, 'a')
        node = nodes[0]
        await until(
            lambda: 'accepted yet' in (node.tracker.not_ready_reason or ''),
        )
        await _write_accepted_sheet(table, 3)
        await until(lambda: node.tracker.version == 3)
        assert node.tracker.not_ready_reason is None
        await _close(node)

    asyncio.run(scenario())


def test_seeds_are_used_while_the_table_is_down(tmp_path):
    """Guards against nodes that cannot join during a table outage."""

    async def scenario():
        table = MemoryTable()
        table.is_down = True
        key_file = write_key(tmp_path)
        first = ControlNode(key_file, table, 'a')
        seed = f'127.0.0.1:{first.port}'
        second = ControlNode(key_file, table, 'b', seeds=(seed, 'not an address'))
        third = ControlNode(key_file, table, 'c', seeds=(seed, '127.0.0.1:1'))
        nodes = (first, second, third)
        await asyncio.gather(*[node.start() for node in nodes])
        await until(lambda: third.sees('a', 'b', 'c') and first.sees('a', 'b', 'c'))
        table.is_down = False
        await until(lambda: len(table.rows) == 3)
        await _close(*nodes)

    asyncio.run(scenario())


def test_a_table_outage_does_not_stop_probing(tmp_path):
    """Guards against failure detection that depends on the store."""

    async def scenario():
        table = MemoryTable()
        nodes = await _start(write_key(tmp_path), table, 'a', 'b', 'c')
        await until(lambda: all(node.sees('a', 'b', 'c') for node in nodes))
        table.is_down = True
        await _crash(nodes[2])
        await until(lambda: nodes[0].status_of('c') is MemberStatus.dead)
        await until(lambda: nodes[1].status_of('c') is MemberStatus.dead)
        await _close(*nodes[:2])

    asyncio.run(scenario())


def test_a_stopped_process_refutes_its_death_when_it_continues(tmp_path):
    """Guards against a paused node that stays dead after it resumes."""

    async def scenario():
        key_file = write_key(tmp_path)
        nodes = await _start(key_file, MemoryTable(), 'a', 'b')
        await until(lambda: all(node.sees('a', 'b') for node in nodes))
        program = pathlib.Path(__file__).with_name('control_node_process.py')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(program),
            str(key_file),
            'paused',
            str(free_ports(1)[0]),
            f'127.0.0.1:{nodes[0].port}',
        )
        try:
            await _stop_and_continue(process, nodes)
        finally:
            process.kill()
            await process.wait()
        await _close(*nodes)

    asyncio.run(scenario())


async def _stop_and_continue(process, nodes):
    await until(lambda: all(node.sees('a', 'b', 'paused') for node in nodes))
    process.send_signal(signal.SIGSTOP)
    await until(lambda: all(_is_dead(node, 'paused') for node in nodes))
    process.send_signal(signal.SIGCONT)
    await until(lambda: all(node.sees('a', 'b', 'paused') for node in nodes))
    assert nodes[0].member_loop.table.find('paused').incarnation > 1


def _is_dead(node, node_id):
    return node.status_of(node_id) is MemberStatus.dead
