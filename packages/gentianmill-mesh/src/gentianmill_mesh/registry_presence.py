"""Records that the registry answers, for processes that start later."""

from gentianmill.followers import FollowerChoice
from gentianmill.node_table import NodeTable
from gentianmill_mesh.ports import NodeRegistry
from gentianmill_mesh.relay_links import RelayLinks

__all__ = ('RegistryPresence',)


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
            await self._registry.renew_presence()
