"""Tests of the start and end of node processes, as the platform starts them."""

import asyncio
import os
import signal
import socket
import subprocess
from pathlib import Path

import pytest
from deployed_node import (
    METRICS_PORT,
    PORTS,
    RELAY_PORT,
    DeployedNode,
    build_tree,
    closing_nodes,
    free_network,
    rules_document,
    run_command,
)
from platform_store import FakeStore

CLOSED_OUTPUT = ('/bin/sh', '-c', 'exec "$@" <&- >&- 2>&-', 'sh')
INTERPRETER_START_S = 0.15
"""Time after which the interpreter runs the program also on a busy machine."""


def _play(tree: Path, folder: Path, scenario) -> None:
    async def run() -> None:
        async with FakeStore() as store:
            store.put('op', 'config', rules_document())
            node = DeployedNode(tree, folder, 'n1', f'{free_network()}.1', store.port)
            with closing_nodes(node):
                await asyncio.wait_for(scenario(node), 60)

    asyncio.run(run())


def test_node_starts_in_an_empty_environment(tree, tmp_path):
    """Guards against a start that needs a variable of the environment for its modules."""

    async def scenario(node: DeployedNode) -> None:
        node.start(environment={})
        await node.until_ready()

    _play(tree, tmp_path, scenario)


def test_node_starts_with_closed_standard_descriptors(tree, tmp_path):
    """Guards against an end where the parent process has closed the output."""

    async def scenario(node: DeployedNode) -> None:
        node.start(prefix=CLOSED_OUTPUT)
        await node.until_ready()
        opened = Path(f'/proc/{node.process.pid}/fd')
        for descriptor in ('0', '1', '2'):
            assert os.readlink(opened / descriptor) == os.devnull

    _play(tree, tmp_path, scenario)


@pytest.mark.parametrize(
    'port',
    (PORTS['outbound'], PORTS['ready'], PORTS['controlPlane'], RELAY_PORT),
)
def test_start_waits_for_a_port_in_use(tree, tmp_path, port):
    """Guards against a process that ends by itself as another still has its port."""

    async def scenario(node: DeployedNode) -> None:
        with socket.create_server((node.ip, port)):
            process = node.start()
            while 'Address not free yet.' not in node.logged:
                assert process.poll() is None, node.logged
                await asyncio.sleep(0.02)
        await node.until_ready()

    _play(tree, tmp_path, scenario)


def test_metrics_port_in_use_does_not_delay_the_start(tree, tmp_path):
    """Guards against calls that are refused as the port of the metrics is taken."""

    async def scenario(node: DeployedNode) -> None:
        with socket.create_server((node.ip, METRICS_PORT)):
            node.start()
            await node.until_ready()

    _play(tree, tmp_path, scenario)


def test_start_while_the_former_process_still_stops(tree, tmp_path):
    """Guards against an end of the new process where starts and stops overlap."""

    async def scenario(node: DeployedNode) -> None:
        former = node.start()
        await node.until_ready()
        former.send_signal(signal.SIGTERM)
        latter = node.start()
        assert await node.exit_status(former) == 0
        await node.until_ready()
        assert latter.poll() is None

    _play(tree, tmp_path, scenario)


def test_start_beside_connections_in_time_wait(tree, tmp_path):
    """Guards against a start that has to wait until closed connections are forgotten."""

    async def scenario(node: DeployedNode) -> None:
        node.start()
        await node.until_ready()
        # The side that closes first keeps the connection in this state.
        opened = [
            await asyncio.open_connection(node.ip, PORTS['outbound']) for _ in range(5)
        ]
        node.process.send_signal(signal.SIGTERM)
        assert await node.exit_status(node.process) == 0
        node.start()
        await node.until_ready()
        for _, writer in opened:
            writer.close()
        assert 'Address not free yet.' not in node.logged

    _play(tree, tmp_path, scenario)


def test_stop_during_the_start(tree, tmp_path):
    """Guards against an end by the signal itself while modules are imported."""

    async def scenario(node: DeployedNode) -> None:
        process = node.start()
        await asyncio.sleep(INTERPRETER_START_S)
        process.send_signal(signal.SIGTERM)
        assert await node.exit_status(process) == 0

    _play(tree, tmp_path, scenario)


def test_stop_while_a_port_is_in_use(tree, tmp_path):
    """Guards against a start that can't be stopped while it waits."""

    async def scenario(node: DeployedNode) -> None:
        with socket.create_server((node.ip, RELAY_PORT)):
            process = node.start()
            while 'Address not free yet.' not in node.logged:
                await asyncio.sleep(0.02)
            process.send_signal(signal.SIGTERM)
            assert await node.exit_status(process) == 0

    _play(tree, tmp_path, scenario)


@pytest.mark.parametrize('number', (signal.SIGHUP, signal.SIGTERM))
def test_signals_until_the_end_of_a_stop(tree, tmp_path, number):
    """Guards against an end by a signal after the event loop has closed."""

    async def scenario(node: DeployedNode) -> None:
        process = node.start()
        await node.until_ready()
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(number)
            await asyncio.sleep(0.002)
        assert process.returncode == 0

    _play(tree, tmp_path, scenario)


def test_signal_to_reload_during_the_start(tree, tmp_path):
    """Guards against an end by a reload signal once the interpreter runs the program."""

    async def scenario(node: DeployedNode) -> None:
        process = node.start()
        await asyncio.sleep(INTERPRETER_START_S)
        for _ in range(20):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.02)
        await node.until_ready()
        assert process.poll() is None

    _play(tree, tmp_path, scenario)


def test_start_compiles_no_module(tree):
    """Guards against starts that compile: the tree is read-only, so each would."""
    program, *arguments = run_command()
    started = subprocess.run(
        [program, *arguments[:-1], '-v', arguments[-1]],
        cwd=tree,
        env={'GENTIANMILL_NODE_FILE': '/nonexistent'},
        capture_output=True,
        text=True,
        check=False,
    )
    assert 'gentianmill_mesh.mesh_node' in started.stderr
    compiled = [
        line
        for line in started.stderr.splitlines()
        if line.startswith('# code object from') and line.endswith(".py'")
    ]
    assert not compiled


def test_build_replaces_what_another_machine_has_built(tree, tmp_path):
    """Guards against a carried build folder whose libraries can't be loaded here."""
    folder = tmp_path / 'carried'
    (folder / 'target' / 'deps').mkdir(parents=True)
    for stamp in ('installed', 'installed-cpython-311-other'):
        (folder / 'target' / 'deps' / stamp).touch()
    build_tree(folder)
    assert (folder / 'target' / 'deps' / 'uvloop').is_dir()
    assert list((folder / 'target' / 'deps').glob('installed*')) == [
        folder / 'target' / 'deps' / stamp.name
        for stamp in (tree / 'target' / 'deps').glob('installed*')
    ]
