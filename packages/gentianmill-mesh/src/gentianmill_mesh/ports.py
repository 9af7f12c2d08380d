"""Interfaces that a platform implements: source of routing rules, registry of nodes."""

import abc
from collections.abc import Callable

from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill_mesh.rules_holder import RulesHolder


class RulesSource(abc.ABC):
    """Deliver each new version of the routing rules."""

    @property
    @abc.abstractmethod
    def silent_ms(self) -> float:
        """Return the time since the source last answered, or since the start, in ms."""

    @abc.abstractmethod
    async def start(self, holder: RulesHolder) -> None:
        """Start to offer rules to a holder; return before the first rules arrive."""

    @abc.abstractmethod
    def refresh(self) -> None:
        """Abandon the current wait for rules and ask again, on a new connection."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop."""


class NodeRegistry(abc.ABC):
    """Store the record of each node for the others."""

    @abc.abstractmethod
    async def start(
        self, table: NodeTable, on_accepted: Callable[[NodeRecord], None]
    ) -> None:
        """Start to merge the records of all nodes into a table.

        Args:
            table: Receives the records.
            on_accepted: Called with each accepted record of this node, with the
                revision that the registry gave it.
        """

    @abc.abstractmethod
    def publish(self, record: NodeRecord) -> None:
        """Store the record of this node for the others; retry until it succeeds."""

    @abc.abstractmethod
    def refresh(self) -> None:
        """Abandon the current wait for records and ask again, on a new connection."""

    @abc.abstractmethod
    async def delete(self, record: NodeRecord) -> bool:
        """Delete the record of a dead node unless it has changed since it was read.

        Args:
            record: The record as it was read from the registry.

        Returns:
            Whether the record is deleted.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop."""
