"""Random choice of the nodes that gossip is sent to."""

import random

from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill_mesh.relay_links import RelayLinks

__all__ = ('RandomPeers',)


class RandomPeers:
    """Choose other nodes at random, those with an open link first."""

    def __init__(
        self, own_name: str, table: NodeTable, links: RelayLinks, rng: random.Random
    ) -> None:
        """Create a choice among the nodes of a table.

        Args:
            own_name: Name of this node, which is never chosen.
            table: Records of the nodes.
            links: Links to the other nodes.
            rng: Source of randomness.
        """
        self._own_name = own_name
        self._table = table
        self._links = links
        self._rng = rng

    def choose(self, count: int) -> list[NodeRecord]:
        """Return up to ``count`` nodes that are not known to be unreachable."""
        others = [
            record
            for record in self._table.records
            if record.name != self._own_name and self._links.reaches(record)
        ]
        self._rng.shuffle(others)
        others.sort(key=self._links.is_connected, reverse=True)
        return others[:count]
