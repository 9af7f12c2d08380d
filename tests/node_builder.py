"""Builds nodes with membership and sheet loops on loopback, for tests."""

import asyncio
import pathlib
from collections.abc import Callable

from memory_table import MemoryTable
from standins.processes import free_ports

from gentianmill.clock import MonotonicClock
from gentianmill.member import Member, MemberStatus
from gentianmill.settings_models import NodeSettingsModel
from gentianmill.sheet_version import SheetTracker
from gentianmill_node.member_loop import MemberLoop
from gentianmill_node.sheet_loop import SheetLoop

PEER_KEY = 'peer-key-for-tests'
SHEET_TEXT = """
deployment: example
regions: [north]
classes: [{name: billing, protected: true}]
services:
  billing:
    operations:
      - {name: deposit, method: POST, path: /deposits, class: billing}
"""


def write_key(directory: pathlib.Path, key: str = PEER_KEY) -> pathlib.Path:
    """Write a key file."""
    path = directory / 'peer.key'
    path.write_text(key)
    return path


class ControlNode:
    """A node's membership and sheet loops."""

    def __init__(
        self,
        key_file: pathlib.Path,
        table: MemoryTable,
        node_id: str,
        port: int | None = None,
        seeds: tuple[str, ...] = (),
        incarnation: int = 1,
    ) -> None:
        """Create the loops, which are not started yet."""
        self.port = port or free_ports(1)[0]
        self.changes: list[Member] = []
        self.tracker = SheetTracker()
        settings = NodeSettingsModel.model_validate(
            {
                'node': {'id': node_id, 'region': 'north', 'zone': 'north-1'},
                'upstream': {
                    'service': 'billing',
                    'endpoint': node_id,
                    'host': '127.0.0.1',
                    'port': 9,
                    'slots': 5,
                    'connections': 5,
                },
                'listeners': {
                    'host': '127.0.0.1',
                    'caller_port': 1,
                    'egress_port': 2,
                    'peer_port': 3,
                    'control_port': self.port,
                    'operator_port': 5,
                },
                'keys': {
                    'peer_key_file': str(key_file),
                    'operator_key_file': str(key_file),
                },
                'table': {'url': 'http://127.0.0.1:9'},
                'membership': {
                    'probe_interval_ms': 100,
                    'probe_timeout_ms': 80,
                    'suspicion_ms': 400,
                    'announce_interval_ms': 300,
                    'sync_interval_ms': 1000,
                    'sheet_poll_ms': 100,
                    'seeds': list(seeds),
                },
            }
        )
        own = Member(
            node_id=node_id,
            incarnation=incarnation,
            status=MemberStatus.alive,
            host='127.0.0.1',
            peer_port=3,
            control_port=self.port,
            region='north',
            zone='north-1',
            service='billing',
            endpoint=node_id,
            slots=5,
        )
        clock = MonotonicClock()
        self.sheet_loop = SheetLoop(
            settings, clock, table, self.tracker, lambda sheet: None
        )
        self.member_loop = MemberLoop(
            settings, clock, table, own, self.changes.append, self.sheet_loop
        )

    async def start(self) -> None:
        """Start both loops."""
        await self.member_loop.start()
        await self.sheet_loop.start()

    async def close(self) -> None:
        """Close both loops."""
        await self.sheet_loop.close()
        await self.member_loop.close()

    def status_of(self, node_id: str) -> MemberStatus | None:
        """Return the status of another node in this node's member table."""
        member = self.member_loop.table.find(node_id)
        return None if member is None else member.status

    def sees(self, *node_ids: str) -> bool:
        """Return whether exactly these members, itself included, are alive here."""
        alive = {
            member.node_id
            for member in self.member_loop.table.members
            if member.status is MemberStatus.alive
        }
        return alive == set(node_ids)


async def until(condition: Callable[[], bool], limit_s: float = 20) -> None:
    """Wait for a condition; the limit only ends a test that hangs."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.02)
