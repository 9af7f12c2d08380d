"""What operators may see of a node, and do to it."""

import abc
import dataclasses
from collections.abc import Sequence

from gentianmill.member import Member


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """Whether the node takes calls, and the reason if it does not."""

    ready: bool
    reason: str
    node_id: str
    state: str
    sheet_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsReport:
    """Load and limits of the guard; delays in ms."""

    in_flight: int
    queued: int
    limit: int
    queue_delay_ms: float
    level: int
    levels: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReport:
    """A member that drains, as far as this node knows."""

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
    """What the operator listener may see and do."""

    @abc.abstractmethod
    def health(self) -> HealthReport:
        """Return whether the node takes calls."""

    @abc.abstractmethod
    def members(self) -> Sequence[Member]:
        """Return the members that the node knows."""

    @abc.abstractmethod
    def limits(self) -> LimitsReport:
        """Return the load and the limits of the guard."""

    @abc.abstractmethod
    def drains(self) -> Sequence[DrainReport]:
        """Return the members that drain."""

    @abc.abstractmethod
    def sheet(self) -> SheetReport:
        """Return the sheet in force."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Start the drain of this node and return at once; repeatable."""

    @abc.abstractmethod
    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
