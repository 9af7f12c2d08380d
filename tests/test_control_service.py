"""Tests of the control service and its client over loopback."""

import asyncio
import contextlib

import pytest
from member_factory import make_member
from memory_table import MemoryTable
from node_builder import PEER_KEY, SHEET_TEXT, ControlNode, until, write_key

from gentianmill import control_pb2, member_codec
from gentianmill.clock import MonotonicClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.member import MemberStatus
from gentianmill_node.channel_pool import MAX_CHANNELS
from gentianmill_node.control_auth import PEER_KEY_HEADER, key_matches
from gentianmill_node.control_client import ControlClient


def _run_with_node(tmp_path, scenario):
    async def run():
        node = ControlNode(write_key(tmp_path), MemoryTable(), 'a')
        await node.start()
        node.tracker.offer(4, SHEET_TEXT, 'operator', 1)
        try:
            await scenario(node, ('127.0.0.1', node.port))
        finally:
            await node.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    'key', ['wrong', PEER_KEY.upper(), f'{PEER_KEY}2', PEER_KEY[:-1]]
)
def test_a_wrong_key_is_refused_and_changes_nothing(tmp_path, key):
    """Guards against access to members and sheets without the key."""

    async def scenario(node, address):
        client = ControlClient(MonotonicClock(), key)
        intruder = [member_codec.to_update(make_member('intruder'))]
        before = node.member_loop.table.members
        ping = control_pb2.PingRequest(sender_id='intruder', updates=intruder)
        sync = control_pb2.SyncRequest(sender_id='intruder', members=intruder)
        indirect = control_pb2.IndirectPingRequest(sender_id='x', target_id='a')
        failures = await asyncio.gather(
            client.ping(address, ping, 2000),
            client.sync(address, sync, 2000),
            client.indirect_ping(address, indirect, 2000),
            client.fetch_sheet(address, 0, 2000),
            return_exceptions=True,
        )
        assert all(isinstance(failure, GentianmillError) for failure in failures)
        codes = {failure.code for failure in failures}
        assert codes == {ErrorCode.unauthorised}
        client.close()
        assert node.member_loop.table.members == before

    _run_with_node(tmp_path, scenario)


def test_the_key_must_be_present_and_equal(tmp_path):
    """Guards against an empty key that admits every peer."""
    assert key_matches({PEER_KEY_HEADER: 'k'}, 'k')
    assert not key_matches({}, 'k')
    with pytest.raises(GentianmillError, match='fewer than 16 bytes'):
        ControlNode(write_key(tmp_path, '\n'), MemoryTable(), 'a')


def test_ping_exchanges_members_and_versions(tmp_path):
    """Guards against a probe that carries no member updates."""

    async def scenario(node, address):
        client = ControlClient(MonotonicClock(), PEER_KEY)
        updates = [member_codec.to_update(make_member('b', host='127.0.0.9'))]
        request = control_pb2.PingRequest(sender_id='b', target_id='a', updates=updates)
        reply = await client.ping(address, request, 2000)
        assert (reply.node_id, reply.sheet_version) == ('a', 4)
        assert node.status_of('b') is not None
        sheet = await client.fetch_sheet(address, 3, 2000)
        assert (sheet.version, sheet.text) == (4, SHEET_TEXT)
        assert (await client.fetch_sheet(address, 4, 2000)).version == 0
        client.close()

    _run_with_node(tmp_path, scenario)


def test_an_unknown_status_does_not_invalidate_the_message(tmp_path):
    """Guards against a newer node whose updates fail the probes of older ones."""

    async def scenario(node, address):
        client = ControlClient(MonotonicClock(), PEER_KEY)
        odd = member_codec.to_update(make_member('odd'))
        odd.status = 77
        updates = [odd, member_codec.to_update(make_member('b'))]
        request = control_pb2.PingRequest(sender_id='b', target_id='a', updates=updates)
        await client.ping(address, request, 2000)
        assert node.status_of('odd') is None
        assert node.status_of('b') is MemberStatus.alive
        client.close()

    _run_with_node(tmp_path, scenario)


def test_channels_are_bounded_and_closed(tmp_path):
    """Guards against one open channel per member at 610 members."""

    async def scenario(node, address):
        client = ControlClient(MonotonicClock(), PEER_KEY)
        listeners = await asyncio.gather(*[_listen() for _ in range(MAX_CHANNELS + 20)])
        request = control_pb2.PingRequest(sender_id='b', target_id='a')
        await client.ping(address, request, 2000)
        assert client.open_channels == 1
        await asyncio.gather(
            *[_ping_unresponsive(client, port, request) for _, port in listeners]
        )
        assert client.open_channels <= MAX_CHANNELS
        client.close()
        assert client.open_channels == 0
        for server, _ in listeners:
            server.close()

    _run_with_node(tmp_path, scenario)


async def _ignore(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read to the end of a connection without an answer."""
    with contextlib.closing(writer):
        await reader.read()


async def _listen():
    server = await asyncio.start_server(_ignore, '127.0.0.1', 0)
    return server, server.sockets[0].getsockname()[1]


async def _ping_unresponsive(client, port, request):
    with pytest.raises(GentianmillError) as failure:
        await client.ping(('127.0.0.1', port), request, 300)
    assert failure.value.code is ErrorCode.connection_lost
    assert client.open_channels <= MAX_CHANNELS


def test_a_replacement_responds_for_the_earlier_node_id(tmp_path):
    """Guards against a replaced member that seems alive because its port responds."""

    async def scenario(node, address):
        watcher = ControlNode(write_key(tmp_path), MemoryTable(), 'watcher')
        earlier = make_member('earlier', 9, host='127.0.0.1')
        update = member_codec.to_update(earlier)
        update.control_port = node.port
        watcher.member_loop.table.merge(member_codec.from_update(update), 0)
        await watcher.start()
        await until(lambda: watcher.status_of('a') is MemberStatus.alive)
        assert watcher.status_of('earlier') is MemberStatus.left
        await watcher.close()

    _run_with_node(tmp_path, scenario)
