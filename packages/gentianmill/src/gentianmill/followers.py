"""Choice of the nodes that ask the platform's store on behalf of all others.

Each node decides by itself, from the records that it knows, with rendezvous hashing. Two
nodes whose records differ may both be followers, or neither, which only costs calls: a
node that hears no confirmation asks by itself.
"""

from collections.abc import Callable, Iterable, Sequence

from gentianmill.node_table import NodeRecord, NodeState
from gentianmill.rendezvous import hash_text, mix

__all__ = ('FollowerChoice', 'SilentFollowers')

MAX_CACHED_HASHES = 4096
"""Several times the nodes of the design size, replaced ones included."""


SILENT_MS = 10_000.0
"""Time for which a follower without news is not chosen. A disruption of the paths to the
store lasts about 5 s; a follower that is wrongly left out costs a few calls."""


MAX_SILENT = 4
"""Followers that are left out at once, two replaced pairs. During an outage of the whole
store all are silent, and leaving out all would make each node a follower."""


class SilentFollowers:
    """Followers that had no news when this node needed some."""

    def __init__(self) -> None:
        """Start with none."""
        self._until_ms: dict[str, float] = {}

    def mark(self, names: Iterable[str], now_ms: float) -> bool:
        """Leave out followers for a while.

        Args:
            names: Names of the followers.
            now_ms: Current time.

        Returns:
            Whether none was left out before.
        """
        is_first = all(until_ms <= now_ms for until_ms in self._until_ms.values())
        for name in names:
            self._until_ms.pop(name, None)
            self._until_ms[name] = now_ms + SILENT_MS
        while len(self._until_ms) > MAX_SILENT:
            self._until_ms.pop(next(iter(self._until_ms)))
        return is_first

    def has(self, name: str, now_ms: float) -> bool:
        """Return whether a follower is left out now."""
        return self._until_ms.get(name, now_ms) > now_ms


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

    def first(
        self, records: Sequence[NodeRecord], reaches: Callable[[NodeRecord], bool]
    ) -> NodeRecord | None:
        """Return the node that acts for the whole deployment, None if there is none.

        Args:
            records: Records of all nodes.
            reaches: Returns whether a node may be reachable.
        """
        candidates = (each for each in records if self._is_candidate(each, reaches))
        return max(candidates, key=self._score, default=None)

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
