"""Deletes the records of dead nodes from the registry."""

import asyncio

from gentianmill.clock import Clock
from gentianmill.stale_records import StaleRecords, WatchedRecord
from gentianmill.node_table import NodeTable
from gentianmill_mesh.ports import NodeRegistry
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_node.logs import component

log = component('registry')


class NodeReaper:
    """Check the nodes that this node watches."""

    def __init__(
        self,
        own_name: str,
        table: NodeTable,
        links: RelayLinks,
        registry: NodeRegistry,
        clock: Clock,
    ) -> None:
        """Create a reaper; call ``check`` regularly.

        Args:
            own_name: Name of this node.
            table: Records of all nodes.
            links: Links to the other nodes.
            registry: Stores the records.
            clock: Clock of the node.
        """
        self._stale_records = StaleRecords(own_name)
        self._table = table
        self._links = links
        self._registry = registry
        self._clock = clock

    async def check(self) -> None:
        """Try to reach the watched nodes and delete the records of dead ones."""
        watched = self._stale_records.watched(self._table.records)
        reached = await asyncio.gather(
            *(self._links.to(node.record).reach() for node in watched)
        )
        for node, is_reached in zip(watched, reached, strict=True):
            if self._stale_records.is_stale(node, is_reached, self._clock.now_ms()):
                await self._delete(node)

    async def _delete(self, node: WatchedRecord) -> None:
        if not self._links.is_well_connected:
            log.info(
                'Node not deleted, few others are reachable from here.',
                node=node.record.name,
            )
            return
        if await self._registry.delete(node.record):
            log.info(
                'Node deleted.',
                node=node.record.name,
                state=node.record.state.value,
                revision=node.record.revision,
                place=node.rank,
            )
