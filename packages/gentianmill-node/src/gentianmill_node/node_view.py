"""Interface between the operator listener and a node."""

import abc
import dataclasses
from collections.abc import Sequence

from gentianmill.member import Member


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """Whether the node accepts calls, and the reason if it does not."""

    ready: bool
    reason: str
    node_id: str
    state: str
    sheet_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsReport:
    """Load and limits of the guard; the queue delay is in ms."""

    in_flight: int
    queued: int
    limit: int
    queue_delay_ms: float
    level: int
    levels: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReport:
    """A draining member; ``in_flight`` is known only for this node."""

    node_id: str
    service: str
    in_flight: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class SheetReport:
    """The sheet in force; version 0 and no text if there is none."""

    version: int
    text: str
    accepted_by: str
    accepted_unix_ms: int


class NodeView(abc.ABC):
    """State of a node that operators can read, and the drain that they can start."""

    @abc.abstractmethod
    def health(self) -> HealthReport:
        """Return whether the node accepts calls."""

    @abc.abstractmethod
    def members(self) -> Sequence[Member]:
        """Return the members known to the node."""

    @abc.abstractmethod
    def limits(self) -> LimitsReport:
        """Return the load and the limits of the guard."""

    @abc.abstractmethod
    def drains(self) -> Sequence[DrainReport]:
        """Return the draining members."""

    @abc.abstractmethod
    def sheet(self) -> SheetReport:
        """Return the sheet in force."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Start the drain of this node without waiting for its end; idempotent."""

    @abc.abstractmethod
    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
