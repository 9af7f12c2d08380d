"""Records that the registry answers, for processes that start later."""

from gentianmill.followers import FollowerChoice
from gentianmill.node_table import NodeTable
from gentianmill_mesh.ports import NodeRegistry
from gentianmill_mesh.relay_links import RelayLinks
from gentianmill_node.logs import component

__all__ = ('RegistryPresence',)


LONGEST_GAP_MS = 3500.0
"""Time without a record that a restart of all processes takes: two intervals of the
records, 2 s until a process is started again, and the start of the program. A shorter
outage is not told from a restart."""

SETTLE_MS = 1500.0
"""Time after an outage in which processes store what they acknowledged in it."""

log = component('recovery')


class RegistryPresence:
    """Let one node of the deployment record that the registry answers.

    If that node alone is cut off from the registry, nobody records it. A process that
    starts then waits for its upstream as after an outage.
    """

    def __init__(
        self, own_name: str, table: NodeTable, links: RelayLinks, registry: NodeRegistry
    ) -> None:
        """Create a presence that is not recorded yet.

        Args:
            own_name: Name of this node.
            table: Records of all nodes.
            links: Links to the other nodes.
            registry: The registry.
        """
        self._own_name = own_name
        self._table = table
        self._links = links
        self._registry = registry
        self._choice = FollowerChoice(own_name)

    async def renew(self) -> None:
        """Record that the registry answers, if it is this node's turn."""
        first = self._choice.first(self._table.records, self._links.reaches)
        if first is not None and first.name == self._own_name:
            await self._registry.renew_presence(LONGEST_GAP_MS)

    async def was_steady(self, uptime_ms: float) -> bool:
        """Return whether the registry was there until shortly before a start.

        Other processes may have been started at the same time, and have recorded it since.

        Args:
            uptime_ms: Time since the start.
        """
        age = await self._registry.presence_age()
        if age is None:
            return False
        unseen_ms = age.unseen_ms - uptime_ms
        steady_ms = age.steady_ms - uptime_ms
        log.info(
            'Registry before the start.',
            unseen_ms=unseen_ms,
            steady_ms=steady_ms,
        )
        return unseen_ms < LONGEST_GAP_MS and steady_ms > LONGEST_GAP_MS + SETTLE_MS
