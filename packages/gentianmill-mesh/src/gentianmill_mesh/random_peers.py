"""Random choice of the nodes that gossip is sent to."""

import random
from collections.abc import Callable

from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill_mesh.relay_links import RelayLinks

__all__ = ('RandomPeers',)


class RandomPeers:
    """Choose other nodes at random, those with an open link first."""

    def __init__(
        self,
        own_name: str,
        table: NodeTable,
        links: RelayLinks,
        rng: random.Random | None = None,
    ) -> None:
        """Create a choice among the nodes of a table.

        Args:
            own_name: Name of this node, which is never chosen.
            table: Records of the nodes.
            links: Links to the other nodes.
            rng: Source of randomness; by default a new one.
        """
        self._own_name = own_name
        self._table = table
        self._links = links
        self._rng = rng or random.Random()  # noqa: S311

    @property
    def own_name(self) -> str:
        """Return the name of this node."""
        return self._own_name

    def choose(
        self, count: int, fits: Callable[[NodeRecord], bool] | None = None
    ) -> list[NodeRecord]:
        """Return up to ``count`` nodes that are not known to be unreachable.

        Args:
            count: Largest number of nodes.
            fits: Returns whether a node may be chosen; by default all may.
        """
        others = [
            record
            for record in self._table.records
            if record.name != self._own_name
            and self._links.reaches(record)
            and (fits is None or fits(record))
        ]
        self._rng.shuffle(others)
        others.sort(key=self._links.is_connected, reverse=True)
        return others[:count]
