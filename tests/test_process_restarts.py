"""Tests of what nodes must not forget when their processes are killed."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from deployed_node import DeployedNode, closing_nodes, free_network, rules_document
from deployed_upstream import (
    CRASH_PREFIX,
    HEARTBEAT_S,
    DeployedUpstream,
    KeptCallers,
    send_read,
)
from fault_proxy import FaultProxy
from platform_store import FakeStore

SERVICES = ('front', 'back', 'back')
STABLE_S = 4.0
"""Time after which nodes count as in touch."""

DRAIN_S = 2.5
STORE_DOWN_S = 4.5
KILL_AFTER_S = 0.3
LATE_S = 4.0
"""Time after a leave at which a heartbeat from before it arrives."""

STAY_S = 10.0
"""Time for which an upstream runs after its leave."""

MAX_CRASHES = 3
MAX_RETRIES = 3
"""Further retries that may reach upstreams after the third crash."""

RESTARTS = 2
LIMIT_S = 100


class _Bed:
    """An entry and two nodes with upstreams of one service."""

    def __init__(self, tree: Path, folder: Path, store: FakeStore) -> None:
        self.store = store
        network = free_network()
        self.nodes = [
            DeployedNode(
                tree, folder, f'n{number}', f'{network}.{number}', store.port, service
            )
            for number, service in enumerate(SERVICES, start=1)
        ]
        self.upstreams = [DeployedUpstream(node) for node in self.nodes]
        self.paths = [FaultProxy(store.port) for _ in self.nodes]
        """The way of each node to the store."""

    @property
    def entry(self) -> DeployedNode:
        """Return the node that has callers."""
        return self.nodes[0]

    async def start(self) -> None:
        """Start everything; return when the nodes count as in touch."""
        for upstream in self.upstreams:
            await upstream.start()
        for node, path in zip(self.nodes, self.paths, strict=True):
            await path.start()
            node.store_port = path.port
            node.start()
        for node in self.nodes:
            await node.until_ready()
        await asyncio.sleep(STABLE_S)

    async def kill_and_start(self, node: DeployedNode) -> None:
        """Kill the process of a node and start the next one."""
        node.process.send_signal(signal.SIGKILL)
        await node.exit_status(node.process)
        node.start()
        await node.until_ready()

    async def kill_all(self) -> None:
        """Kill all processes at once."""
        for node in self.nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in self.nodes:
            await node.exit_status(node.process)

    def start_all(self) -> None:
        """Start the next processes, which are not the first."""
        for node in self.nodes:
            node.settings = {
                'bootstrap': False,
                'heartbeat': f'{HEARTBEAT_S:g}s',
                'bounds': ['grace=6s', 'drain=2500ms'],
            }
            node.start()

    async def close(self) -> None:
        """Stop the upstreams."""
        for upstream in self.upstreams:
            await upstream.stop()
        for path in self.paths:
            path.close()


def _play(
    tree: Path, folder: Path, scenario: Callable[[_Bed], Awaitable[None]]
) -> None:
    async def run() -> None:
        async with FakeStore() as store:
            store.put('op', 'config', rules_document())
            bed = _Bed(tree, folder, store)
            with closing_nodes(*bed.nodes):
                await bed.start()
                await scenario(bed)
                await bed.close()

    asyncio.run(asyncio.wait_for(run(), LIMIT_S))


def test_killed_node_sends_nothing_to_an_upstream_that_has_left(tree, tmp_path):
    """Guards against an acknowledged leave that is forgotten by a restart (review/4)."""

    async def scenario(bed: _Bed) -> None:
        node, leaving = bed.nodes[1], bed.upstreams[1]
        callers = KeptCallers(seed=1)
        callers.add(bed.entry, 4, work_ms=5)
        late = leaving.heartbeat()
        leaving.stop_reports()
        assert await leaving.report('leave', b'')
        left_s = asyncio.get_running_loop().time()
        await bed.kill_and_start(node)
        # It was sent before the leave.
        await leaving.report('heartbeat', late)
        await asyncio.sleep(DRAIN_S + STABLE_S)
        await callers.stop()
        late_runs = [at_s for at_s in leaving.run_times if at_s > left_s + DRAIN_S]
        assert not late_runs
        assert callers.count(200)

    _play(tree, tmp_path, scenario)


@pytest.mark.parametrize(('leave_after_s', 'late_count'), [(0, 1), (3.9, 1), (0, 3)])
def test_departure_is_not_forgotten_by_a_kill_of_all_nodes_without_a_store(
    tree, tmp_path, leave_after_s: float, late_count: int
):
    """Guards against a leave that only ended processes knew of (review/10).

    After 3.9 s, the store is back before the next processes read it. Several heartbeats
    from before the leave arrive an interval apart, each as late as the others.
    """

    async def scenario(bed: _Bed) -> None:
        leaving, staying = bed.upstreams[1:]
        callers = KeptCallers(seed=1)
        callers.add(bed.entry, 4, work_ms=5)
        bed.store.failing_status = 503
        loop = asyncio.get_running_loop()
        down_s = loop.time()
        await asyncio.sleep(leave_after_s)
        leaving.stop_reports()
        late = [leaving.heartbeat() for _ in range(late_count)]
        assert await leaving.report('leave', b'')
        left_s = loop.time()
        await asyncio.sleep(KILL_AFTER_S)
        await bed.kill_all()
        bed.start_all()
        await asyncio.sleep(max(down_s + STORE_DOWN_S - loop.time(), 0))
        bed.store.failing_status = None
        await asyncio.sleep(max(left_s + LATE_S - loop.time(), 0))
        for heartbeat in late:
            await leaving.report('heartbeat', heartbeat)
            await asyncio.sleep(HEARTBEAT_S)
        await asyncio.sleep(max(left_s + STAY_S - loop.time(), 0))
        await callers.stop()
        late_runs = [at_s for at_s in leaving.run_times if at_s > left_s + DRAIN_S]
        assert not late_runs
        assert max(staying.run_times) > left_s + LATE_S

    _play(tree, tmp_path, scenario)


@pytest.mark.parametrize('number', [1, 2])
def test_departure_is_not_forgotten_by_a_kill_of_all_nodes_of_which_one_was_cut_off(
    tree, tmp_path, number: int
):
    """Guards against a leave that only processes knew, though others had the store."""

    async def scenario(bed: _Bed) -> None:
        path, leaving = bed.paths[number], bed.upstreams[number]
        staying = bed.upstreams[3 - number]
        callers = KeptCallers(seed=1)
        callers.add(bed.entry, 4, work_ms=5)
        # Processes that start trust a store that was there for 5 s.
        await asyncio.sleep(STABLE_S)
        path.refusing = True
        path.reset()
        late = leaving.heartbeat()
        leaving.stop_reports()
        assert await leaving.report('leave', b'')
        left_s = asyncio.get_running_loop().time()
        await bed.kill_all()
        path.refusing = False
        bed.start_all()
        await asyncio.sleep(LATE_S)
        await leaving.report('heartbeat', late)
        await asyncio.sleep(STABLE_S)
        await callers.stop()
        late_runs = [at_s for at_s in leaving.run_times if at_s > left_s + DRAIN_S]
        assert not late_runs
        assert max(staying.run_times) > left_s + LATE_S

    _play(tree, tmp_path, scenario)


def test_departure_is_not_forgotten_by_a_kill_of_all_nodes_in_a_short_outage(
    tree, tmp_path
):
    """Guards against an outage that the next processes take for their restart."""

    async def scenario(bed: _Bed) -> None:
        leaving = bed.upstreams[1]
        callers = KeptCallers(seed=1)
        callers.add(bed.entry, 4, work_ms=5)
        await asyncio.sleep(STABLE_S)
        bed.store.failing_status = 503
        late = leaving.heartbeat()
        leaving.stop_reports()
        assert await leaving.report('leave', b'')
        left_s = asyncio.get_running_loop().time()
        await bed.kill_all()
        bed.store.failing_status = None
        bed.start_all()
        await asyncio.sleep(LATE_S)
        await leaving.report('heartbeat', late)
        await asyncio.sleep(STABLE_S)
        await callers.stop()
        late_runs = [at_s for at_s in leaving.run_times if at_s > left_s + DRAIN_S]
        assert not late_runs

    _play(tree, tmp_path, scenario)


def test_killed_nodes_know_which_request_crashes_upstreams(tree, tmp_path):
    """Guards against a restart after which a request crashes upstreams anew (review/5)."""

    async def scenario(bed: _Bed) -> None:
        await _send_until_refused(bed)
        crashes = sum(upstream.crashes for upstream in bed.upstreams)
        assert crashes <= MAX_CRASHES
        for _ in range(RESTARTS):
            for node in bed.nodes[1:]:
                await bed.kill_and_start(node)
            await asyncio.sleep(STABLE_S)
            await _send_until_refused(bed)
        further = sum(upstream.crashes for upstream in bed.upstreams) - crashes
        assert further <= MAX_RETRIES

    _play(tree, tmp_path, scenario)


async def _send_until_refused(bed: _Bed) -> None:
    """Send the same request until it crashes nothing, with upstreams that come back."""
    for _ in range(8):
        crashes = [upstream.crashes for upstream in bed.upstreams]
        await send_read(bed.entry, CRASH_PREFIX)
        for upstream, before in zip(bed.upstreams, crashes, strict=True):
            if upstream.crashes > before:
                await upstream.start()
        if crashes == [upstream.crashes for upstream in bed.upstreams]:
            return
        await asyncio.sleep(1)
