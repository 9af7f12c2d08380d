"""Nodes of the deployment and the services that run beside them."""

import dataclasses
import enum
from collections.abc import Callable, Iterable

MAX_DELETED = 1024
"""Deletions that are remembered, four days of them at the design size; a record that
is told later than that comes back until its keepers find it again."""


class NodeState(enum.StrEnum):
    """Whether a node takes calls for its upstream."""

    serving = 'serving'
    leaving = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """What a node tells the others about itself."""

    name: str
    incarnation: int
    """Start of the process as Unix time in ms."""

    revision: int
    """Rises with each change, through restarts; the registry's version of it. The
    incarnation can't order records, as the time of day may be set back."""

    host: str
    relay_port: int
    service: str
    zone: str
    region: str
    slots: int
    state: NodeState

    def is_newer_than(self, other: 'NodeRecord') -> bool:
        """Return whether this record replaces another one of the same node."""
        return self.revision > other.revision


class NodeTable:
    """The newest record of each node."""

    def __init__(self) -> None:
        """Know no node."""
        self._records: dict[str, NodeRecord] = {}
        self._by_service: dict[str, list[NodeRecord]] = {}
        self._deleted: dict[str, int] = {}
        self._is_in_touch: Callable[[NodeRecord], bool] | None = None

    def __len__(self) -> int:
        """Return the number of nodes."""
        return len(self._records)

    @property
    def records(self) -> list[NodeRecord]:
        """Return the records of all nodes."""
        return list(self._records.values())

    def find(self, name: str) -> NodeRecord | None:
        """Return the record of a node, or None."""
        return self._records.get(name)

    def of_service(self, service: str) -> list[NodeRecord]:
        """Return the nodes beside upstreams of a service that take calls."""
        return self._by_service.get(service, [])

    def merge(self, records: Iterable[NodeRecord]) -> list[NodeRecord]:
        """Take over the records that are newer than the known ones.

        Args:
            records: Records in any order, possibly old.

        Returns:
            The records that changed the table.
        """
        changed = [record for record in records if self._is_news(record)]
        for record in changed:
            self._records[record.name] = record
        if changed:
            self._index()
        return changed

    def spare_if(self, is_in_touch: Callable[[NodeRecord], bool]) -> None:
        """Keep deleted records of nodes that are in touch.

        The node that asked for the deletion could not reach them; they write their
        records again as soon as they see that these are gone.

        Args:
            is_in_touch: Tells whether the node of a record can be reached now.
        """
        self._is_in_touch = is_in_touch

    def remove(self, name: str, revision: int) -> None:
        """Take note that the record of a node was deleted.

        Args:
            name: The node.
            revision: The registry's version of the deletion; an older record of the
                node that is told later is not taken.
        """
        self._deleted.pop(name, None)
        self._deleted[name] = revision
        while len(self._deleted) > MAX_DELETED:
            self._deleted.pop(next(iter(self._deleted)))
        self.forget_deleted()

    def retain(self, names: Iterable[str], revision: int) -> None:
        """Take note of all records that the registry had at a version.

        Args:
            names: Their nodes; the records of others were deleted before.
            revision: The registry's version; newer records stay.
        """
        kept = set(names)
        for record in self.records:
            if record.name not in kept and record.revision < revision:
                self.remove(record.name, revision)

    def forget_deleted(self) -> None:
        """Forget the nodes whose deleted records were kept while they were in touch."""
        gone = [
            record.name
            for record in self._records.values()
            if record.revision < self._deleted.get(record.name, 0)
            and not (self._is_in_touch and self._is_in_touch(record))
        ]
        for name in gone:
            self._records.pop(name)
        if gone:
            self._index()

    def _is_news(self, record: NodeRecord) -> bool:
        if record.revision < self._deleted.get(record.name, 0):
            return False
        known = self._records.get(record.name)
        return known is None or record.is_newer_than(known)

    def _index(self) -> None:
        self._by_service = {}
        for record in self._records.values():
            if record.state is NodeState.serving:
                self._by_service.setdefault(record.service, []).append(record)
