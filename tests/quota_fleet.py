"""Gates of many nodes in virtual time, with a network between them."""

import asyncio
import itertools
from collections import Counter

import msgspec
from gentianmill.clock import Clock
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.relay_messages import QuotaGrant, QuotaRequest
from gentianmill.teams import Team
from gentianmill_mesh.mesh_metrics import MeshMetrics
from gentianmill_mesh.mesh_settings import Address, MeshSettings
from gentianmill_mesh.quota_gate import QuotaGate
from gentianmill_mesh.relay_handshake import NodeIdentity
from mesh_upstream import NAMES
from node_records import node_record

ADDRESS = Address('127.0.0.1', 1)
ZONE_DELAY_S = 0.0014
REGION_DELAY_S = 0.03


class _Sender:
    """The side of a link that answers."""

    def __init__(self, fleet: 'QuotaFleet', asker: str, owner: str) -> None:
        self.name = asker
        self.incarnation = 1
        self._fleet = fleet
        self._owner = owner

    def send(self, frame: QuotaGrant) -> None:
        """Deliver a grant to the asker."""
        gate = self._fleet.gates[self.name]
        self._fleet.deliver(
            self._owner, self.name, frame, lambda: gate.on_grant(self._owner, frame)
        )


class _Link:
    """The side of a link that asks."""

    connected = True

    def __init__(self, fleet: 'QuotaFleet', asker: str, owner: str) -> None:
        self._fleet = fleet
        self._sender = _Sender(fleet, asker, owner)
        self._ends = (asker, owner)

    def send_now(self, frame: QuotaRequest) -> bool:
        """Deliver a request."""
        asker, owner = self._ends
        gate = self._fleet.gates[owner]
        self._fleet.deliver(
            asker, owner, frame, lambda: gate.on_request(self._sender, frame)
        )
        return True

    async def confirm(self) -> bool:
        """Return True."""
        return True


class _Links:
    """All links of a node."""

    def __init__(self, fleet: 'QuotaFleet', own: str) -> None:
        self._fleet = fleet
        self._own = own
        self._links: dict[str, _Link] = {}

    def to(self, record: NodeRecord) -> _Link:
        """Return the link to a node."""
        if record.name not in self._links:
            self._links[record.name] = _Link(self._fleet, self._own, record.name)
        return self._links[record.name]

    def reaches(self, _record: NodeRecord) -> bool:
        """Return True."""
        return True


class QuotaFleet:
    """Nodes in six zones of three regions."""

    def __init__(self, nodes: int, teams: dict[str, Team], clock: Clock) -> None:
        """Start all nodes at once, which know each other.

        Args:
            nodes: Their number.
            teams: All teams by name.
            clock: Their clock.
        """
        self.zones = {f'z{zone}': f'r{zone // 2}' for zone in range(6)}
        zones = itertools.cycle(self.zones)
        self.zone_of = {f'n{number}': next(zones) for number in range(nodes)}
        self.sent: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self._encoder = msgspec.msgpack.Encoder()
        table = NodeTable()
        table.merge(self._records())
        self.gates = {
            name: self._gate(name, table, teams, clock) for name in self.zone_of
        }

    def in_zone(self, zone: str) -> list[str]:
        """Return the nodes of a zone."""
        return [name for name, other in self.zone_of.items() if other == zone]

    def deliver(self, source: str, target: str, frame: object, act) -> None:
        """Call a function after the delay between two nodes, and count the frame."""
        zones = self.zone_of[source], self.zone_of[target]
        is_far = self.zones[zones[0]] != self.zones[zones[1]]
        kind = 'between regions' if is_far else 'in the region'
        self.sent[kind] += 1
        self.bytes[kind] += len(self._encoder.encode(frame))
        delay_s = REGION_DELAY_S if is_far else ZONE_DELAY_S
        asyncio.get_running_loop().call_later(delay_s, act)

    def close(self) -> None:
        """Stop all timers."""
        for gate in self.gates.values():
            gate.close()

    def _records(self) -> list[NodeRecord]:
        return [
            node_record(name, zone=zone, region=self.zones[zone])
            for name, zone in self.zone_of.items()
        ]

    def _gate(
        self, name: str, table: NodeTable, teams: dict[str, Team], clock: Clock
    ) -> QuotaGate:
        zone = self.zone_of[name]
        settings = MeshSettings(
            node=name,
            zone=zone,
            region=self.zones[zone],
            service='s',
            upstream=ADDRESS,
            entry=ADDRESS,
            readiness=ADDRESS,
            relay=ADDRESS,
            metrics=ADDRESS,
            readiness_path='/ready',
            names=NAMES,
            stop_within_ms=5000,
            zones=self.zones,
        )
        gate = QuotaGate(
            settings,
            NodeIdentity(name, 1),
            table,
            _Links(self, name),
            teams.get,
            MeshMetrics(),
            clock,
        )
        gate.on_nodes_confirmed()
        return gate
