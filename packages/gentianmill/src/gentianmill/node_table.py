"""Nodes of the deployment and the services that run beside them."""

import dataclasses
import enum
from collections.abc import Iterable


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

    def remove(self, name: str) -> None:
        """Forget a node."""
        if self._records.pop(name, None) is not None:
            self._index()

    def _is_news(self, record: NodeRecord) -> bool:
        known = self._records.get(record.name)
        return known is None or record.is_newer_than(known)

    def _index(self) -> None:
        self._by_service = {}
        for record in self._records.values():
            if record.state is NodeState.serving:
                self._by_service.setdefault(record.service, []).append(record)
