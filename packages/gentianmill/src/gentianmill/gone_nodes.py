"""Which nodes are gone for good, judged by a few that cannot reach them.

Records last in the registry until somebody deletes them, and each one left behind
costs every node memory and attempts to connect. Each record has a few keepers, found
by rendezvous hashing, so that at any size a node watches about as many others as a
record has keepers.
"""

import dataclasses
from collections.abc import Sequence

from gentianmill.node_table import NodeRecord
from gentianmill.rendezvous import hash_text, mix

KEEPERS = 3
"""Keepers of a record: two may be lost in the same minute."""

GONE_MS = 60_000.0
"""Time without contact: restarts and cuts between zones end sooner, and VMs that are
replaced leave one record each, 230 a day at the design size."""

KEEPER_STEP_MS = 25_000.0
"""Lead of a keeper over the next one, longer than the longest pause between two reads
of the registry, so that one deletion is asked for as a rule."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchedNode:
    """A record that this node keeps."""

    record: NodeRecord
    place: int
    """0 for the first keeper of the record."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Absence:
    revision: int
    since_ms: float


class GoneNodes:
    """Watch the records of which the own node is a keeper."""

    def __init__(self, own_name: str) -> None:
        """Watch nothing yet.

        Args:
            own_name: Name of the own node.
        """
        self._own_name = own_name
        self._own_hash = hash_text(own_name)
        self._absences: dict[str, _Absence] = {}

    def watched(self, records: Sequence[NodeRecord]) -> list[WatchedNode]:
        """Return the records that the own node keeps.

        Args:
            records: All records, the own one among them or not.
        """
        hashes = {record.name: hash_text(record.name) for record in records}
        watched = []
        for record in records:
            place = self._place(record.name, hashes)
            if record.name != self._own_name and place < KEEPERS:
                watched.append(WatchedNode(record, place))
        names = {node.record.name for node in watched}
        self._absences = {
            name: absence for name, absence in self._absences.items() if name in names
        }
        return watched

    def is_gone(self, node: WatchedNode, reached: bool, now_ms: float) -> bool:
        """Return whether the record of a node should be deleted.

        Args:
            node: A watched record.
            reached: Whether its node can be reached now.
            now_ms: Current time.
        """
        record = node.record
        if reached:
            self._absences.pop(record.name, None)
            return False
        absence = self._absences.get(record.name)
        if absence is None or absence.revision != record.revision:
            absence = _Absence(record.revision, now_ms)
            self._absences[record.name] = absence
        return now_ms - absence.since_ms >= GONE_MS + node.place * KEEPER_STEP_MS

    def _place(self, name: str, hashes: dict[str, int]) -> int:
        """Return how many other nodes come before this one; stops at ``KEEPERS``."""
        target = hashes[name]
        own_score = mix(target, self._own_hash)
        place = 0
        for other, other_hash in hashes.items():
            if other in {name, self._own_name}:
                continue
            place += mix(target, other_hash) > own_score
            if place == KEEPERS:
                break
        return place
