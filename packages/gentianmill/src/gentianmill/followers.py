"""Choice of the nodes that ask the platform's store on behalf of all others.

Each node decides by itself, from the records that it knows, with rendezvous hashing. Two
nodes whose records differ may both be followers, or neither, which only costs calls: a
node that hears no confirmation asks by itself.
"""

from collections.abc import Callable, Sequence

from gentianmill.node_table import NodeRecord, NodeState
from gentianmill.rendezvous import hash_text, mix

__all__ = ('FollowerChoice',)

MAX_CACHED_HASHES = 4096
"""Several times the nodes of the design size, replaced ones included."""


class FollowerChoice:
    """Choose two followers in each region, in two availability zones if it has them."""

    def __init__(self, own_name: str) -> None:
        """Create a choice.

        Args:
            own_name: Name of this node.
        """
        self._own_name = own_name
        self._subject = hash_text('store')
        self._scores: dict[str, int] = {}

    def followers(
        self,
        region: str,
        records: Sequence[NodeRecord],
        reaches: Callable[[NodeRecord], bool],
    ) -> list[NodeRecord]:
        """Return the followers of a region, as far as this node knows.

        Args:
            region: The region.
            records: Records of all nodes.
            reaches: Returns whether a node may be reachable.
        """
        candidates = [
            record
            for record in records
            if record.region == region and self._is_candidate(record, reaches)
        ]
        first = max(candidates, key=self._score, default=None)
        if first is None:
            return []
        others = [record for record in candidates if record is not first]
        elsewhere = [record for record in others if record.zone != first.zone]
        second = max(elsewhere or others, key=self._score, default=None)
        return [first] if second is None else [first, second]

    def _is_candidate(
        self, record: NodeRecord, reaches: Callable[[NodeRecord], bool]
    ) -> bool:
        if record.state is not NodeState.serving:
            return False
        return record.name == self._own_name or reaches(record)

    def _score(self, record: NodeRecord) -> int:
        name = record.name
        score = self._scores.get(name)
        if score is None:
            if len(self._scores) >= MAX_CACHED_HASHES:
                self._scores.clear()
            score = mix(self._subject, hash_text(name))
            self._scores[name] = score
        return score
