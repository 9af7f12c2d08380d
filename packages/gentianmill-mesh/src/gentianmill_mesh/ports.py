"""What a platform brings: routing rules, the list of nodes, reports of upstreams."""

import abc
from collections.abc import Callable

from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill_mesh.rules_holder import RulesHolder


class RulesSource(abc.ABC):
    """Bring each new version of the routing rules."""

    @abc.abstractmethod
    async def start(self, holder: RulesHolder) -> None:
        """Begin to offer rules to a holder; returns before the first are there."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop."""


class NodeRegistry(abc.ABC):
    """Tell the nodes of each other."""

    @abc.abstractmethod
    async def start(
        self, table: NodeTable, on_accepted: Callable[[NodeRecord], None]
    ) -> None:
        """Begin to merge the records of nodes into a table.

        Args:
            table: Takes the records.
            on_accepted: Called with each own record that was accepted, with the
                revision that the registry gave it.
        """

    @abc.abstractmethod
    def publish(self, record: NodeRecord) -> None:
        """Tell the others about the own node, again and again until it worked."""

    @abc.abstractmethod
    async def delete(self, record: NodeRecord) -> bool:
        """Delete the record of a node that is gone, if it has not changed since.

        Args:
            record: The record as the registry has it.

        Returns:
            Whether the registry no longer has it.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop."""
