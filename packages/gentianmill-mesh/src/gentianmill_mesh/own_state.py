"""The record that a node publishes about itself."""

import asyncio
import dataclasses
from collections.abc import Callable

from gentianmill.node_table import NodeRecord, NodeState
from gentianmill_mesh.guard_recovery import GuardRecovery
from gentianmill_mesh.mesh_settings import MeshSettings
from gentianmill_mesh.ports import NodeRegistry
from gentianmill_mesh.relay_handshake import NodeIdentity
from gentianmill_mesh.upstream_guard import UpstreamGuard
from gentianmill_node.logs import component

__all__ = ('OwnState', 'own_record')

log = component('node')


class OwnState:
    """Publish whether the guard takes calls, and which upstreams have left."""

    def __init__(
        self,
        record: NodeRecord,
        guard: UpstreamGuard,
        recovery: GuardRecovery,
        registry: NodeRegistry,
        announce: Callable[[NodeRecord], None],
    ) -> None:
        """Create a state that is not published.

        Args:
            record: Record of this node, whose upstream takes no calls yet.
            guard: Guard of the upstream.
            recovery: Knows when the record of an earlier process may be overwritten.
            registry: Stores the record.
            announce: Tells other nodes the record.
        """
        self._record = record
        self._guard = guard
        self._recovery = recovery
        self._registry = registry
        self._announce = announce
        self._stored: asyncio.Future[None] | None = None

    def publish(self) -> None:
        """Publish the state, once what an earlier process published is known."""
        status = self._guard.status
        if not self._recovery.may_publish or status.is_blank:
            return
        slots = status.report.slots if status.report else 0
        self._record = dataclasses.replace(
            self._record,
            revision=self._record.revision + 1,
            state=(
                NodeState.serving if self._guard.accepts_calls else NodeState.leaving
            ),
            slots=slots,
            departures=status.departures,
        )
        self._stored = self._registry.publish(self._record)
        log.info(
            'Own state.',
            state=self._record.state.value,
            slots=slots,
            upstream=status.report.upstream_id if status.report else None,
            departures=len(status.departures),
        )

    def publish_departures(self) -> None:
        """Publish the state if an upstream has left since."""
        if self._record.departures != self._guard.status.departures:
            self.publish()

    def accepted(self, record: NodeRecord) -> None:
        """Learn the record as the registry has it, with what other nodes have added."""
        accepted_calls = self._guard.accepts_calls
        self._recovery.restore(record.departures, 'registry')
        if self._guard.accepts_calls != accepted_calls:
            self.publish()
        self._announce(record)

    async def departures_kept(self) -> bool:
        """Return whether what upstreams said of their leaving outlives this process.

        It waits for the registry or for other nodes, for less than a second.
        """
        return await self._recovery.keep(self._stored)


def own_record(settings: MeshSettings, identity: NodeIdentity) -> NodeRecord:
    """Return the record of a node whose upstream takes no calls yet."""
    return NodeRecord(
        name=settings.node,
        incarnation=identity.incarnation,
        revision=0,
        host=settings.relay.host,
        relay_port=settings.relay.port,
        service=settings.service,
        zone=settings.zone,
        region=settings.region,
        slots=0,
        state=NodeState.leaving,
    )
