"""Nodes that follow a store, with fault proxies to the store and between the nodes."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
from collections.abc import AsyncIterator, Callable, Sequence

import aiohttp
from aiohttp import web
from fault_proxy import FaultProxy
from gentianmill.clock import BootClock, Clock
from gentianmill.node_table import NodeRecord
from gentianmill.upstream_status import UpstreamReport
from gentianmill_mesh.mesh_node import MeshNode
from gentianmill_mesh.mesh_settings import Address, MeshSettings
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_node.direct_server import direct_server
from gentianmill_node.web_server import WebServer
from gentianmill_platform.config_decoder import ConfigDecoder
from gentianmill_platform.store import Store
from gentianmill_platform.store_adapters import StoreNodes, StoreRules
from gentianmill_platform.store_era import StoreEra
from mesh_upstream import NAMES
from platform_store import FakeStore
from standins.processes import HOST, free_ports

CALLER_HOST = 'till.example'
SERVICE = 'back'
HEARTBEAT_S = 0.3
APPLY_MS = 2500
"""Time in which a change must be in force, the strictest of the deployments."""
FOLLOWERS = 2
UNTIL_LIMIT_S = 60


def config(version: int, prefixes: Sequence[str] = ('/read/',)) -> dict[str, object]:
    """Return a configuration whose routes lead to ``SERVICE``."""
    rules = [
        {
            'name': prefix,
            'kind': 'safe',
            'match': {'prefix': prefix},
            'action': {'service': SERVICE, 'timeout': '5s', 'maxAttempts': 2},
        }
        for prefix in prefixes
    ]
    return {
        'version': version,
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 1_000_000,
            'headerTimeout': '3s',
            'idleTimeout': '15s',
        },
        'listeners': [{'host': CALLER_HOST, 'rules': rules}],
        'clusters': [
            {'name': SERVICE, 'healthCheckPath': '/health', 'maxConnections': 100}
        ],
    }


class ResumableClock(BootClock):
    """A boot clock on which a suspension of the VM can be simulated."""

    def __init__(self) -> None:
        """Start without a suspension."""
        self.suspended_ms = 0.0

    def now_ms(self) -> float:
        """Return the time, including the simulated suspensions."""
        return super().now_ms() + self.suspended_ms


class _ProxiedNodes(StoreNodes):
    def __init__(self, store: Store, clock: Clock, port: int) -> None:
        super().__init__(store, clock)
        self._port = port

    def publish(self, record: NodeRecord) -> asyncio.Future[None]:
        return super().publish(dataclasses.replace(record, relay_port=self._port))


class FollowingNode:
    """A node of the deployment, and its proxies."""

    def __init__(self, name: str, store_port: int, upstream_port: int) -> None:
        """Create a node that is not started."""
        ports = free_ports(4)
        self.name = name
        self.versions: list[int] = []
        """Versions of the rules, in the order in which they came into force."""

        self.clock = ResumableClock()
        self.store_proxy = FaultProxy(store_port)
        self.relay_proxy = FaultProxy(ports[0])
        self.entry = f'http://{HOST}:{ports[1]}'
        self.metrics = f'http://{HOST}:{ports[3]}/metrics'
        self.rules = RulesHolder(ConfigDecoder())
        self.rules.on_change(lambda rules: self.versions.append(rules.version))
        self.upstream_port = upstream_port
        self._settings = MeshSettings(
            node=name,
            zone='a',
            region='r',
            service=SERVICE,
            upstream=Address(HOST, upstream_port),
            entry=Address(HOST, ports[1]),
            readiness=Address(HOST, ports[2]),
            relay=Address(HOST, ports[0]),
            metrics=Address(HOST, ports[3]),
            readiness_path='/ready',
            names=NAMES,
            stop_within_ms=5000,
            config_apply_ms=APPLY_MS,
        )
        self._stores: list[Store] = []
        self._heartbeats: asyncio.Task[None] | None = None
        self.node: MeshNode | None = None

    async def start(self) -> None:
        """Start the proxies and the node, and report its upstream as ready."""
        await self.store_proxy.start()
        await self.relay_proxy.start()
        address = Address(HOST, self.store_proxy.port)
        era = StoreEra()
        rules_store, nodes_store = Store(address, era), Store(address, era)
        self._stores = [rules_store, nodes_store]
        for store in self._stores:
            await store.start()
        self.node = MeshNode(
            self._settings,
            StoreRules(rules_store, self.clock),
            _ProxiedNodes(nodes_store, self.clock, self.relay_proxy.port),
            self.rules,
            self.clock,
        )
        await self.node.start()
        self._heartbeats = asyncio.ensure_future(self._report_forever())

    async def close(self) -> None:
        """Close the node and its proxies."""
        if self.node is not None:
            await self.node.close()
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for store in self._stores:
            await store.close()
        self.store_proxy.close()
        self.relay_proxy.close()

    async def _report_forever(self) -> None:
        for sequence in itertools.count(1):
            self.node.apply_report(self._report(sequence))
            await asyncio.sleep(HEARTBEAT_S)

    def _report(self, sequence: int) -> UpstreamReport:
        return UpstreamReport(
            upstream_id=f'u-{self.name}',
            service=SERVICE,
            host=HOST,
            port=self.upstream_port,
            zone='a',
            slots=4,
            draining=False,
            sequence=sequence,
            start_unix_ms=1,
            cold_ms=0,
        )


@dataclasses.dataclass
class RulesDeployment:
    """A store and the nodes that follow it."""

    store: FakeStore
    nodes: list[FollowingNode]
    upstream_port: int

    def put(
        self, version: int, prefixes: Sequence[str] = ('/read/',), **changes: object
    ) -> None:
        """Write a configuration, with changed fields, as the operator does."""
        document = json.dumps(config(version, prefixes) | changes).encode()
        self.store.put('op', 'config', document)

    async def add_node(self, name: str) -> FollowingNode:
        """Start another node, and return it."""
        node = FollowingNode(name, self.store.port, self.upstream_port)
        self.nodes.append(node)
        await node.start()
        return node

    async def followers(self) -> list[FollowingNode]:
        """Return the nodes that ask the store on behalf of others."""
        return [
            node for node in self.nodes if 'gentianmill_follower 1' in await _get(node)
        ]

    def silence(self) -> None:
        """Make all open connections silent, to the store and between the nodes."""
        for node in self.nodes:
            node.store_proxy.silence()
            node.relay_proxy.silence()

    def mute(self) -> None:
        """Forward nothing more on all open connections, to the store and between nodes."""
        for node in self.nodes:
            node.store_proxy.mute()
            node.relay_proxy.mute()

    async def until_all(self, version: int) -> None:
        """Wait until a version is in force at all nodes."""
        await until(lambda: all(node.rules.version == version for node in self.nodes))

    async def until_acquainted(self) -> None:
        """Wait until each node knows all nodes."""
        for node in self.nodes:
            while f'gentianmill_nodes {len(self.nodes)}' not in await _get(node):
                await asyncio.sleep(0.05)

    async def number_of_no_follower(self) -> int:
        """Return the number of a node that asks other nodes before the store."""
        while True:
            pages = [await _get(node) for node in self.nodes]
            numbers = [
                number
                for number, page in enumerate(pages)
                if 'gentianmill_follower 0' in page
            ]
            # Nodes that know few others choose themselves.
            if numbers and len(numbers) == len(self.nodes) - FOLLOWERS:
                return numbers[0]
            await asyncio.sleep(0.05)

    async def restart(self, number: int) -> FollowingNode:
        """Replace a node by a new process of the same name, and return it."""
        former = self.nodes[number]
        await former.close()
        node = FollowingNode(former.name, self.store.port, former.upstream_port)
        self.nodes[number] = node
        await node.start()
        return node

    async def status(self, node: FollowingNode, path: str, **sent: str) -> int:
        """Send a request to a node and return the status of the response."""
        headers = {'Host': CALLER_HOST, **sent}
        async with aiohttp.ClientSession() as session:
            async with session.get(node.entry + path, headers=headers) as response:
                return response.status


@contextlib.asynccontextmanager
async def rules_deployment(
    count: int = 3, **changes: object
) -> AsyncIterator[RulesDeployment]:
    """Run nodes that know each other, with version 1 in force, maybe changed."""
    web_server = WebServer()
    upstream_port = free_ports(1)[0]
    server = direct_server(_serve, 1_000_000, decompress=False)
    await web_server.start('upstream', server, HOST, upstream_port, None)
    async with FakeStore() as store:
        nodes = [
            FollowingNode(f'node-{number}', store.port, upstream_port)
            for number in range(count)
        ]
        deployment = RulesDeployment(store, nodes, upstream_port)
        deployment.put(1, **changes)
        try:
            for node in nodes:
                await node.start()
            await deployment.until_all(1)
            await deployment.until_acquainted()
            yield deployment
        finally:
            for node in nodes:
                await node.close()
            await web_server.close()


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the limit only ends a test that hangs."""
    async with asyncio.timeout(UNTIL_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.02)


async def _get(node: FollowingNode) -> str:
    async with aiohttp.ClientSession() as session:
        async with session.get(node.metrics) as response:
            return await response.text()


async def _serve(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b'served')
