"""Tests that odd entries of other writers neither end the feed nor name a node."""

import asyncio
import dataclasses

import pytest
from gentianmill.clock import BootClock
from gentianmill.node_table import NodeTable
from gentianmill.relay_messages import NodeEntry
from gentianmill.node_record_codec import check_record, encode_record
from gentianmill_platform.heartbeats import parse_heartbeat
from gentianmill_platform.store_adapters import StoreNodes
from node_records import node_record
from odd_records import NESTED, ODD_ROWS
from platform_store import FakeStore
from poll_turns import ImmediateTurns, ignore_confirmation

TIMEOUT_S = 10
"""Ends a scenario that hangs."""


async def _feed_with(write_odd_row) -> NodeTable:
    """Follow a table in which an odd row appears between two valid ones."""
    async with FakeStore() as store:
        table = NodeTable()
        registry = StoreNodes(store.client, BootClock())
        store.put('nodes', 'good', encode_record(node_record('good')))
        await registry.start(
            table, lambda _: None, ImmediateTurns(), ignore_confirmation
        )
        while table.find('good') is None:
            await asyncio.sleep(0.01)
        write_odd_row(store)
        store.put('nodes', 'late', encode_record(node_record('late')))
        while table.find('late') is None:
            await registry.poll_now()
        await registry.close()
        return table


@pytest.mark.parametrize('name', ODD_ROWS)
def test_odd_row_neither_ends_the_feed_nor_names_a_node(name: str):
    """Guards against an odd entry that ends the process or the feed of the nodes."""

    async def scenario() -> NodeTable:
        return await asyncio.wait_for(
            _feed_with(lambda store: store.put('nodes', 'odd', ODD_ROWS[name])),
            TIMEOUT_S,
        )

    table = asyncio.run(scenario())
    assert table.find('odd') is None
    assert table.find('good').host == 'good'


def test_row_that_is_no_base64_does_not_end_the_feed():
    """Guards against a feed that ends before its rows are looked at one by one."""

    async def scenario() -> NodeTable:
        return await asyncio.wait_for(
            _feed_with(lambda store: store.put_raw('nodes', 'odd', '%%%')), TIMEOUT_S
        )

    assert asyncio.run(scenario()).find('odd') is None


def test_node_whose_row_turns_odd_is_kept():
    """Guards against a node that gets no more calls as another writer spoiled its row."""

    async def scenario() -> NodeTable:
        return await asyncio.wait_for(
            _feed_with(lambda store: store.put('nodes', 'good', ODD_ROWS['nested'])),
            TIMEOUT_S,
        )

    assert asyncio.run(scenario()).find('good') is not None


def test_own_row_that_was_overwritten_is_written_again():
    """Guards against a node that later nodes never find."""
    own = node_record('own')

    async def scenario() -> None:
        async with FakeStore() as store:
            table = NodeTable()
            registry = StoreNodes(store.client, BootClock())
            await registry.start(
                table,
                lambda record: table.merge([record]),
                ImmediateTurns(),
                ignore_confirmation,
            )
            registry.publish(own)
            while table.find('own') is None:
                await asyncio.sleep(0.01)
            store.put('nodes', 'own', ODD_ROWS['nested'])
            while store.content('nodes', 'own') != encode_record(own):
                await registry.poll_now()
            await registry.close()

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


@pytest.mark.parametrize(
    ('field', 'odd'),
    [('relay_port', 70_000), ('relay_port', -1), ('slots', 2**63), ('host', '')],
)
def test_odd_record_in_gossip_is_rejected(field: str, odd: object):
    """Guards against an entry that an earlier build read from the table and spread."""
    fields = dataclasses.asdict(node_record('odd', host='127.0.0.1'))
    with pytest.raises(ValueError):
        check_record(NodeEntry(**(fields | {field: odd})))


ODD_HEARTBEATS = {
    'nested': b'{"unknown": ' + NESTED,
    'port_above_range': b'"address": "127.0.0.1:70000"',
    'negative_port': b'"address": "127.0.0.1:-1"',
    'port_in_other_digits': '"address": "127.0.0.1:²"'.encode(),
    'huge_sequence': b'"sequence": 1' + b'0' * 30,
    'huge_slots': b'"slots": 1' + b'0' * 30,
    'huge_start': b'"born": 1' + b'0' * 30,
}
HEARTBEAT = (
    b'{"address": "127.0.0.1:1", "born": 1,'
    b' "info": {"service": "s", "zone": "z", "slots": 4},'
    b' "status": {"state": "ready", "sequence": 1}}'
)
HEARTBEAT_FIELDS = {
    b'"address"': b'"address": "127.0.0.1:1"',
    b'"sequence"': b'"sequence": 1',
    b'"slots"': b'"slots": 4',
    b'"born"': b'"born": 1',
}


@pytest.mark.parametrize('name', ODD_HEARTBEATS)
def test_odd_heartbeat_is_rejected(name: str):
    """Guards against a heartbeat that raises anything but the expected error."""
    odd = ODD_HEARTBEATS[name]
    field = HEARTBEAT_FIELDS.get(odd.partition(b':')[0])
    document = HEARTBEAT.replace(field, odd) if field else odd
    assert parse_heartbeat('i', HEARTBEAT).slots == 4
    with pytest.raises(ValueError):
        parse_heartbeat('i', document)
