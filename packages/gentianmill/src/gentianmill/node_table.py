"""Nodes of the deployment and the services that run beside them."""

import dataclasses
import enum
import itertools
from collections.abc import Callable, Iterable

from gentianmill.departures import MAX_DEPARTURES, Departure
from gentianmill.rendezvous import hash_text
from gentianmill.revisions import era_of

MAX_TOMBSTONES = 1024
"""Tombstones to keep, enough for four days at the design size. A record that arrives
after its tombstone was dropped is added again until its watchers delete it."""


class NodeState(enum.StrEnum):
    """Whether a node accepts calls for its upstream."""

    serving = 'serving'
    leaving = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """The record that a node publishes about itself."""

    name: str
    incarnation: int
    """Start time of the process as Unix time in ms."""

    revision: int
    """The registry's era and version of the record (``gentianmill.revisions``), which
    increase with each change and across restarts. The incarnation can't order records, as the clock may be set back."""

    host: str
    relay_port: int
    service: str
    zone: str
    region: str
    slots: int
    state: NodeState
    departures: tuple[Departure, ...] = ()
    """Starts of its upstreams that take no more calls, which its next process must
    know."""

    def is_newer_than(self, other: 'NodeRecord') -> bool:
        """Return whether this record replaces another one of the same node."""
        return self.revision > other.revision


class NodeTable:
    """The newest record of each node."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[str, NodeRecord] = {}
        self._by_service: dict[str, list[NodeRecord]] = {}
        self._tombstones: dict[str, int] = {}
        self._is_connected: Callable[[NodeRecord], bool] | None = None
        self._digest = 0
        self._complete_revision = -1
        self._era = 0

    def __len__(self) -> int:
        """Return the number of nodes."""
        return len(self._records)

    @property
    def records(self) -> list[NodeRecord]:
        """Return the records of all nodes."""
        return list(self._records.values())

    @property
    def digest(self) -> int:
        """Return a digest of the records; that of an empty table is 0.

        Tables with the same nodes and revisions have the same digest. Records of an
        earlier era don't count, as nodes may keep different ones of them.
        """
        return self._digest

    def latest(self, count: int) -> list[NodeRecord]:
        """Return the records that changed last."""
        return list(itertools.islice(reversed(self._records.values()), count))

    def find(self, name: str) -> NodeRecord | None:
        """Return the record of a node, or None."""
        return self._records.get(name)

    def of_service(self, service: str) -> list[NodeRecord]:
        """Return the nodes of a service that accept calls for their upstream."""
        return self._by_service.get(service, [])

    def merge(self, records: Iterable[NodeRecord]) -> list[NodeRecord]:
        """Apply the records that are newer than the current ones.

        Args:
            records: Records in any order, possibly outdated.

        Returns:
            The records that changed the table.
        """
        changed = [record for record in records if self._is_new(record)]
        for record in changed:
            self._begin_era(era_of(record.revision))
            known = self._records.get(record.name)
            self._drop(record.name)
            self._records[record.name] = _across_eras(record, known)
            self._digest ^= self._record_hash(record)
        if changed:
            self._rebuild_index()
        return changed

    def keep_deleted_if(self, is_connected: Callable[[NodeRecord], bool]) -> None:
        """Keep deleted records of nodes that are still connected.

        The node that requested the deletion could not reach them. They write their
        records again as soon as they find them deleted.

        Args:
            is_connected: Returns whether the node of a record can be reached now.
        """
        self._is_connected = is_connected

    def remove(self, name: str, revision: int) -> None:
        """Store a tombstone for the deleted record of a node.

        Args:
            name: The node.
            revision: The registry's version of the deletion; older records of the node
                that arrive later are ignored.
        """
        self._tombstones.pop(name, None)
        self._tombstones[name] = revision
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))
        self.purge_deleted()

    def apply_snapshot(self, names: Iterable[str], revision: int) -> None:
        """Remove the records that a snapshot of the registry does not contain.

        Merge the records of the snapshot before: older ones of unknown nodes are refused
        from then on, as a peer may still know nodes that were deleted.

        Args:
            names: Names of the nodes in the snapshot.
            revision: The registry's version of the snapshot; newer records stay.
        """
        present = set(names)
        era = era_of(revision)
        self._begin_era(era)
        for record in self.records:
            # A restored registry lacks what was written after its copy was made.
            is_known = era_of(record.revision) == era
            if record.name not in present and is_known and record.revision < revision:
                self.remove(record.name, revision)
        self._complete_revision = max(self._complete_revision, revision)

    def purge_deleted(self) -> None:
        """Remove deleted records whose nodes are no longer connected."""
        purged = [
            record.name
            for record in self._records.values()
            if record.revision < self._tombstones.get(record.name, 0)
            and not (self._is_connected and self._is_connected(record))
        ]
        for name in purged:
            self._drop(name)
        if purged:
            self._rebuild_index()

    def _drop(self, name: str) -> None:
        known = self._records.pop(name, None)
        if known is not None:
            self._digest ^= self._record_hash(known)

    def _is_new(self, record: NodeRecord) -> bool:
        if record.revision < self._tombstones.get(record.name, 0):
            return False
        current = self._records.get(record.name)
        if current is None:
            # An older record that the snapshot lacked was deleted before it.
            return record.revision > self._complete_revision
        return record.is_newer_than(current)

    def _begin_era(self, era: int) -> None:
        """Count only records of a new era in the digest."""
        if era > self._era:
            self._era = era
            self._digest = 0

    def _record_hash(self, record: NodeRecord) -> int:
        if era_of(record.revision) != self._era:
            return 0
        return hash_text(f'{record.name} {record.revision}')

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for record in self._records.values():
            if record.state is NodeState.serving:
                self._by_service.setdefault(record.service, []).append(record)


def _across_eras(record: NodeRecord, known: NodeRecord | None) -> NodeRecord:
    """Return what to keep of a record that follows one of an earlier era.

    A restored registry may hold an earlier process's record, or one without departures
    that were acknowledged since. The node writes its record again.
    """
    if known is None or era_of(known.revision) == era_of(record.revision):
        return record
    newer = known if known.incarnation > record.incarnation else record
    lost = set(known.departures) - set(record.departures)
    departures = (*record.departures, *sorted(lost, key=str))[-MAX_DEPARTURES:]
    return dataclasses.replace(newer, revision=record.revision, departures=departures)
