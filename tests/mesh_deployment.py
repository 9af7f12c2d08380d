"""Two nodes, a fault proxy between them and an upstream, all in one process."""

import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
import yarl
from aiohttp import web
from fault_proxy import FaultProxy
from gentianmill.clock import BootClock
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.route_rules import Destination, RequestLimits, RouteRule, RuleSet
from gentianmill.teams import Team, TeamDirectory, TeamEntry
from gentianmill.upstream_status import UpstreamReport
from gentianmill_mesh.mesh_node import MeshNode
from gentianmill_mesh.mesh_settings import Address, MeshSettings
from gentianmill_mesh.ports import (
    NodeRegistry,
    PollTurns,
    PresenceAge,
    RulesSource,
)
from gentianmill_mesh.rules_holder import RulesDecoder, RulesHolder
from gentianmill_node.direct_server import direct_server
from gentianmill_node.web_server import WebServer
from mesh_upstream import NAMES
from standins.processes import HOST, free_ports

SLOTS = 4
LIMITS = RequestLimits(16_384, 1_000_000, 3000, 15_000)
RULE_HOST = 'till.example'
STEADY_MS = 60_000

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class JsonRules(RulesDecoder):
    """Decode rules that consist of a version, the service of all routes, and teams."""

    def decode(self, document: bytes) -> RuleSet:
        """Return safe routes ``/read/`` and ``/open/`` and an unsafe route ``/pay/``.

        Only ``/open/`` allows requests without a key.
        """
        fields = json.loads(document)
        rules = [
            _rule('/read/', fields['service'], repeatable=True),
            _rule('/pay/', fields['service'], repeatable=False),
            dataclasses.replace(
                _rule('/open/', fields['service'], repeatable=True),
                allows_anonymous=True,
            ),
        ]
        teams = TeamDirectory(
            TeamEntry(Team(name, priority, *limits), keys)
            for name, keys, priority, *limits in fields.get('teams', ())
        )
        return RuleSet(fields['version'], rules, {}, LIMITS, teams)


def _rule(prefix: str, service: str, *, repeatable: bool) -> RouteRule:
    return RouteRule(
        name=prefix,
        host=RULE_HOST,
        prefix=prefix,
        destinations=(Destination(service, 1),),
        repeatable=repeatable,
        bulk=False,
        timeout_ms=5000,
        target_latency_ms=1000,
        max_attempts=2,
        priority=0,
    )


TeamFields = tuple[str, Sequence[str], int | None, *tuple[float, ...]]
"""Name, keys and priority of a team, and its rate and burst if it has a quota."""


def rules_document(
    version: int = 1, service: str = 'back', teams: Sequence[TeamFields] = ()
) -> bytes:
    """Return rules in the format of ``JsonRules``."""
    fields = {'version': version, 'service': service, 'teams': teams}
    return json.dumps(fields).encode()


class FixedRules(RulesSource):
    """Offer one document at the start, or none."""

    def __init__(self, document: bytes | None) -> None:
        """Set the document."""
        self._document = document

    @property
    def silent_ms(self) -> float:
        """Return 0, as the source always answers."""
        return 0

    async def start(
        self,
        holder: RulesHolder,
        _turns: PollTurns,
        on_confirmed: Callable[[float], None],
    ) -> None:
        """Offer the document as the newest."""
        if self._document is not None:
            holder.offer(self._document, 'test')
            holder.confirm_newest()
            on_confirmed(BootClock().now_ms())

    def refresh(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""


class SharedNodes(NodeRegistry):
    """Publish each record to the tables of all nodes of a deployment at once."""

    def __init__(self, tables: list[NodeTable], port: int | None) -> None:
        """Set the tables, and the relay port to publish instead of the node's own."""
        self._tables = tables
        self._port = port

    async def start(
        self,
        table: NodeTable,
        _on_accepted: Callable[[NodeRecord], None],
        _turns: PollTurns,
        on_confirmed: Callable[[float], None],
    ) -> None:
        """Add a table, with the records that others have published."""
        for known in self._tables:
            table.merge(known.records)
        self._tables.append(table)
        on_confirmed(BootClock().now_ms())

    def publish(self, record: NodeRecord) -> asyncio.Future[None]:
        """Merge a record into all tables."""
        if self._port is not None:
            record = dataclasses.replace(record, relay_port=self._port)
        known = [table.find(record.name) for table in self._tables]
        newest = max((other.revision for other in known if other), default=0)
        # A process that replaces another one begins to count anew.
        revision = max(record.revision, newest + 1)
        record = dataclasses.replace(record, revision=revision)
        for table in self._tables:
            table.merge([record])
        stored = asyncio.get_running_loop().create_future()
        stored.set_result(None)
        return stored

    def records_seen(self, records: Sequence[NodeRecord]) -> None:
        """Do nothing; the tables have no other writer."""

    async def add_departures(self, _node: str, _departures: Sequence[object]) -> bool:
        """Do nothing, as each node stores its own at once."""
        return True

    async def renew_presence(self, _longest_gap_ms: float) -> None:
        """Do nothing; the tables are always there."""

    async def presence_age(self) -> PresenceAge:
        """Tell that the tables were always there."""
        return PresenceAge(0, STEADY_MS)

    def refresh(self) -> None:
        """Do nothing."""

    async def delete(self, record: NodeRecord) -> bool:
        """Remove a record from all tables."""
        for table in self._tables:
            table.remove(record.name, record.revision + 1)
        return True

    async def close(self) -> None:
        """Do nothing."""


class Deployment:
    """Nodes ``entry`` and ``back``; only ``back`` has a running upstream."""

    def __init__(self, handler: Handler, teams: Sequence[TeamFields] = ()) -> None:
        """Set the handler for requests to the upstream of ``back``, and the teams."""
        self.teams = teams
        self.rules: dict[str, RulesHolder] = {}
        self.nodes: dict[str, MeshNode] = {}
        self.fault_proxy: FaultProxy | None = None
        self.seen: list[web.BaseRequest] = []
        self.handler = handler
        self._web = WebServer()
        self._tables: list[NodeTable] = []
        self.entry_port = 0
        self.entry_ports: dict[str, int] = {}
        self.metrics_ports: dict[str, int] = {}
        self._session: aiohttp.ClientSession | None = None
        self._upstream_port = 0
        self._sequence = 0

    async def __aenter__(self) -> 'Deployment':
        """Start both nodes and the upstream."""
        ports = free_ports(9)
        await self._web.start('upstream', self._upstream(), HOST, ports[8], None)
        self.fault_proxy = FaultProxy(ports[0])
        await self.fault_proxy.start()
        await self._start_node(
            'back', 'back', ports[:4], ports[8], self.fault_proxy.port
        )
        await self._start_node('entry', 'front', ports[4:8], ports[8], None)
        self.entry_port = ports[5]
        self.entry_ports = {'back': ports[1], 'entry': ports[5]}
        self.metrics_ports = {'back': ports[3], 'entry': ports[7]}
        self._upstream_port = ports[8]
        self.report()
        # It is published once the node has learned what an earlier process knew.
        while self.table.find('back') is None:
            await asyncio.sleep(0)
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the client, the nodes and the upstream."""
        await self._session.close()
        for node in self.nodes.values():
            await node.close()
        self.fault_proxy.close()
        await self._web.close()

    def report(self) -> None:
        """Report to the node ``back`` that its upstream is ready."""
        self._sequence += 1
        report = _report(self._upstream_port, self._sequence)
        self.nodes['back'].apply_report(report)

    async def add_guard(self, name: str, upstream_id: str) -> None:
        """Start another node whose upstream, of the same service, is ready.

        Args:
            name: Name of the node.
            upstream_id: Id of its upstream, which has the same handler.
        """
        port = self._upstream_port
        await self._start_node(name, 'back', free_ports(4), port, None)
        report = _report(port, 1)
        self.nodes[name].apply_report(
            dataclasses.replace(report, upstream_id=upstream_id)
        )
        while any(table.find(name) is None for table in self._tables):
            await asyncio.sleep(0)

    @property
    def table(self) -> NodeTable:
        """Return the node table of the entry."""
        return self._tables[-1]

    async def call(
        self,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        node: str = 'entry',
        **headers: str,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request to a node and return status, body and headers."""
        extra_headers = {name.replace('_', '-'): text for name, text in headers.items()}
        async with self._session.request(
            method,
            yarl.URL(f'http://{HOST}:{self.entry_ports[node]}{path}', encoded=True),
            headers={'Host': RULE_HOST, **extra_headers},
            data=body or None,
        ) as response:
            return response.status, await response.read(), dict(response.headers)

    async def metrics(self, node: str = 'entry') -> str:
        """Return the metrics of a node."""
        url = f'http://{HOST}:{self.metrics_ports[node]}/metrics'
        async with self._session.get(url) as response:
            return await response.text()

    def _upstream(self) -> web.Server:
        return direct_server(self._serve, 1_000_000, decompress=False)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.seen.append(request)
        return await self.handler(request)

    async def _start_node(
        self,
        name: str,
        service: str,
        ports: list[int],
        upstream_port: int,
        advertised_port: int | None,
    ) -> None:
        settings = MeshSettings(
            node=name,
            zone='a',
            region='r',
            service=service,
            upstream=Address(HOST, upstream_port),
            entry=Address(HOST, ports[1]),
            readiness=Address(HOST, ports[2]),
            relay=Address(HOST, ports[0]),
            metrics=Address(HOST, ports[3]),
            readiness_path='/ready',
            names=NAMES,
            stop_within_ms=5000,
        )
        self.rules[name] = RulesHolder(JsonRules())
        node = MeshNode(
            settings,
            FixedRules(rules_document(teams=self.teams)),
            SharedNodes(self._tables, advertised_port),
            self.rules[name],
            BootClock(),
        )
        await node.start()
        self.nodes[name] = node


def _report(port: int, sequence: int) -> UpstreamReport:
    return UpstreamReport(
        upstream_id='u1',
        service='back',
        host=HOST,
        port=port,
        zone='a',
        slots=SLOTS,
        draining=False,
        sequence=sequence,
        start_unix_ms=1,
        cold_ms=0,
    )
