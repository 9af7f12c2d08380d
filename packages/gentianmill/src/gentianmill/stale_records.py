"""Detect stale node records, those of nodes that have been unreachable for long.

Records stay in the registry until they are deleted, and each stale one costs every
node memory and connection attempts. Each record is watched by a few nodes, chosen by
rendezvous hashing, so that at any cluster size a node watches about as many records
as a record has watchers.
"""

import dataclasses
from collections.abc import Sequence

from gentianmill.node_table import NodeRecord
from gentianmill.rendezvous import hash_text, mix

WATCHERS_PER_RECORD = 3
"""Watchers of each record, so that two may fail within the same minute."""

STALE_AFTER_MS = 60_000.0
"""Time without contact after which a record is stale. Restarts and partitions between
zones end sooner. Each replaced VM leaves a record, 230 a day at the design size."""

WATCHER_STAGGER_MS = 25_000.0
"""Additional delay of each further watcher. It exceeds the longest interval between two
reads of the registry, so that normally only one watcher requests the deletion."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchedRecord:
    """A record that this node watches."""

    record: NodeRecord
    rank: int
    """Rank of this node among the watchers of the record; 0 for the first."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Outage:
    revision: int
    since_ms: float


class StaleRecords:
    """Watch the records that are assigned to this node."""

    def __init__(self, own_name: str) -> None:
        """Start without outages.

        Args:
            own_name: Name of this node.
        """
        self._own_name = own_name
        self._own_hash = hash_text(own_name)
        self._outages: dict[str, _Outage] = {}

    def watched(self, records: Sequence[NodeRecord]) -> list[WatchedRecord]:
        """Return the records that this node watches.

        Args:
            records: All records, with or without that of this node.
        """
        hashes = {record.name: hash_text(record.name) for record in records}
        watched = []
        for record in records:
            rank = self._rank(record.name, hashes)
            if record.name != self._own_name and rank < WATCHERS_PER_RECORD:
                watched.append(WatchedRecord(record, rank))
        names = {node.record.name for node in watched}
        self._outages = {
            name: outage for name, outage in self._outages.items() if name in names
        }
        return watched

    def is_stale(self, node: WatchedRecord, reached: bool, now_ms: float) -> bool:
        """Return whether the record of a node should be deleted.

        Args:
            node: A watched record.
            reached: Whether its node can be reached now.
            now_ms: Current time.
        """
        record = node.record
        if reached:
            self._outages.pop(record.name, None)
            return False
        outage = self._outages.get(record.name)
        if outage is None or outage.revision != record.revision:
            outage = _Outage(record.revision, now_ms)
            self._outages[record.name] = outage
        return (
            now_ms - outage.since_ms >= STALE_AFTER_MS + node.rank * WATCHER_STAGGER_MS
        )

    def _rank(self, name: str, hashes: dict[str, int]) -> int:
        """Return how many other nodes score higher; stops at ``WATCHERS_PER_RECORD``."""
        target = hashes[name]
        own_score = mix(target, self._own_hash)
        rank = 0
        for other, other_hash in hashes.items():
            if other in {name, self._own_name}:
                continue
            rank += mix(target, other_hash) > own_score
            if rank == WATCHERS_PER_RECORD:
                break
        return rank
