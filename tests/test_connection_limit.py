"""Tests of the limits on the connections of a node."""

import asyncio
import dataclasses
import resource

from deployed_node import (
    DeployedNode,
    closing_nodes,
    free_network,
    rules_document,
)
from deployed_upstream import DeployedUpstream, KeptCallers
from gentianmill.connection_limit import ConnectionSettings
from gentianmill_mesh.caller_connections import MIN_IDLE_MS, CallerConnections
from hypothesis import given
from hypothesis import strategies as st
from platform_store import FakeStore

DESCRIPTORS = 256
CALLERS = 300
LOAD_S = 4


class _Connection:
    """A connection whose idle time is given."""

    def __init__(self, idle_ms: float) -> None:
        self.is_closed = False
        self._idle_ms = idle_ms

    def close_if_idle(self, min_idle_ms: float) -> bool:
        self.is_closed = self._idle_ms >= min_idle_ms
        return self.is_closed


SETTINGS = ConnectionSettings(callers=3, surplus=2, upstream=1)


@given(st.integers(min_value=32, max_value=1_000_000))
def test_parts_leave_descriptors_for_links(descriptors):
    """Guards against limits that sum up to all descriptors."""
    settings = ConnectionSettings.for_descriptors(descriptors)
    parts = dataclasses.astuple(settings)
    assert min(parts) > 0
    assert sum(parts) <= descriptors * 0.8


def test_idle_connection_makes_room_for_a_new_one():
    """Guards against new callers that are refused beside connections nobody uses."""
    connections = CallerConnections(SETTINGS)
    idle = _Connection(MIN_IDLE_MS)
    busy = [_Connection(0) for _ in range(2)]
    for connection in (busy[0], idle, busy[1]):
        connections.add(connection)
    late = _Connection(0)
    connections.add(late)
    assert idle.is_closed
    assert not connections.is_surplus(late)


def test_connection_beyond_the_limit_is_surplus_until_another_closes():
    """Guards against callers that are refused though others have left."""
    connections = CallerConnections(SETTINGS)
    busy = [_Connection(0) for _ in range(3)]
    for connection in busy:
        connections.add(connection)
    late = _Connection(0)
    connections.add(late)
    assert connections.is_surplus(late)
    connections.discard(busy[0])
    assert not connections.is_surplus(late)


def test_no_more_connections_are_accepted_than_the_limits_allow():
    """Guards against connections that are closed as no descriptor is left."""
    connections = CallerConnections(SETTINGS)
    for _ in range(4):
        connections.add(_Connection(0))
    assert connections.has_room(opening=0)
    assert not connections.has_room(opening=1)


def test_no_request_ends_without_an_answer_at_the_limit_of_descriptors(tree, tmp_path):
    """Guards against connections that are accepted and closed for want of descriptors."""

    async def scenario() -> None:
        async with FakeStore() as store:
            store.put('op', 'config', rules_document())
            network = free_network()
            entry, back = (
                DeployedNode(
                    tree, tmp_path, name, f'{network}.{number}', store.port, name
                )
                for number, name in enumerate(('front', 'back'), start=1)
            )
            upstreams = [DeployedUpstream(node, slots=400) for node in (entry, back)]
            with closing_nodes(entry, back):
                for upstream in upstreams:
                    await upstream.start()
                for node in (entry, back):
                    node.limits = {'memoryMb': 300, 'maxFds': DESCRIPTORS}
                    node.start(preexec_fn=_limit_descriptors)
                    await node.until_ready()
                callers = KeptCallers(seed=1)
                callers.add(entry, CALLERS, work_ms=300, pause_s=0.3)
                await asyncio.sleep(LOAD_S)
                assert await entry.is_ready()
                assert await back.is_ready()
                await callers.stop()
                for upstream in upstreams:
                    await upstream.stop()
        assert not callers.violations(upstreams)
        assert not callers.count(0)
        assert callers.count(200) > CALLERS
        for node in (entry, back):
            assert 'Too many open files' not in node.logged

    asyncio.run(asyncio.wait_for(scenario(), 60))


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
