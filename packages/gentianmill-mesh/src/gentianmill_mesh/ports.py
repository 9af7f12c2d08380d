"""Interfaces that a platform implements: source of routing rules, registry of nodes."""

import abc
import asyncio
import dataclasses
from collections.abc import Callable, Sequence

from gentianmill.departures import Departure
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill_mesh.rules_holder import RulesHolder


@dataclasses.dataclass(frozen=True, slots=True)
class PresenceAge:
    """For how long the registry has answered."""

    unseen_ms: float
    """Time since its last known answer."""

    steady_ms: float
    """Time since its first answer after the last outage."""


class PollTurns(abc.ABC):
    """Decides when a platform's store is polled, as nodes follow it together."""

    @abc.abstractmethod
    def wait_ms(self, longest_ms: int) -> int:
        """Return how long the next poll should wait for a change, at most a given time."""

    @abc.abstractmethod
    async def until_due(self) -> None:
        """Wait until this node must poll; others may confirm meanwhile what it knows."""


class RulesSource(abc.ABC):
    """Deliver each new version of the routing rules."""

    @property
    @abc.abstractmethod
    def silent_ms(self) -> float:
        """Return the time since the source last answered, or since the start, in ms."""

    @abc.abstractmethod
    async def start(
        self,
        holder: RulesHolder,
        turns: PollTurns,
        on_confirmed: Callable[[float], None],
    ) -> None:
        """Start to offer rules to a holder; return before the first rules arrive.

        Args:
            holder: Receives each version, and is told once the rules in force are known
                to be the newest; rules with teams serve nothing before.
            turns: Decides when to poll.
            on_confirmed: Called after each poll, with a time in ms, by the clock of the
                node, at which there was no newer version.
        """

    @abc.abstractmethod
    def refresh(self) -> None:
        """Abandon the current wait for rules and ask again, on a new connection."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop."""


class NodeRegistry(abc.ABC):
    """Store the record of each node for the others."""

    @abc.abstractmethod
    async def start(
        self,
        table: NodeTable,
        on_accepted: Callable[[NodeRecord], None],
        turns: PollTurns,
        on_confirmed: Callable[[float], None],
    ) -> None:
        """Start to merge the records of all nodes into a table.

        Args:
            table: Receives the records.
            on_accepted: Called with each accepted record of this node, with the
                revision that the registry gave it.
            turns: Decides when to poll.
            on_confirmed: Called after each poll, with a time in ms, by the clock of the
                node, at which there were no other records.
        """

    @abc.abstractmethod
    def publish(self, record: NodeRecord) -> 'asyncio.Future[None]':
        """Store the record of this node for the others; retry until it succeeds.

        Returns:
            A future that is done when this record or a later one is stored.
        """

    @abc.abstractmethod
    def records_seen(self, records: Sequence[NodeRecord]) -> None:
        """Check records that another node has passed on.

        If one tells that an earlier process of this node has replaced what this one
        stored, or that the registry was restored from a copy, it is stored again.

        Args:
            records: The records, with the registry's revisions of them.
        """

    @abc.abstractmethod
    async def add_departures(self, node: str, departures: Sequence[Departure]) -> bool:
        """Add departures to the record of another node, which may not reach the registry.

        Args:
            node: Name of that node.
            departures: What it has acknowledged.

        Returns:
            Whether the registry holds them.
        """

    @abc.abstractmethod
    async def renew_presence(self, longest_gap_ms: float) -> None:
        """Record that the registry answers; one node of the deployment does so.

        Args:
            longest_gap_ms: Time from which on a gap between two records counts as an
                outage.
        """

    @abc.abstractmethod
    async def presence_age(self) -> PresenceAge | None:
        """Return what these records tell, or None if they can't be read."""

    @abc.abstractmethod
    def refresh(self) -> None:
        """Abandon the current wait for records and ask again, on a new connection."""

    @abc.abstractmethod
    async def delete(self, record: NodeRecord) -> bool:
        """Delete the record of a dead node unless it has changed since it was read.

        Args:
            record: The record as it was read from the registry.

        Returns:
            Whether the record is deleted.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop."""
