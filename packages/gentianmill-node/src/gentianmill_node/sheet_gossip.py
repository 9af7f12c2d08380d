"""What the exchange between nodes needs to know about the planning sheet."""

import abc
from collections.abc import Awaitable, Callable

from gentianmill.control_pb2 import FetchSheetReply
from gentianmill.sheet_record import SheetRecord

SheetFetch = Callable[[int], Awaitable[FetchSheetReply]]
"""Fetch the sheet of one peer if it is newer than the given version."""


class SheetGossip(abc.ABC):
    """The sheet in force at this node and news of other versions."""

    @property
    @abc.abstractmethod
    def record(self) -> SheetRecord:
        """Return the sheet in force; version 0 if there is none."""

    @abc.abstractmethod
    def learn(self, version: int, fetch: SheetFetch) -> None:
        """Take note that a peer has a version.

        Args:
            version: Version that the peer reported.
            fetch: Fetches the sheet from that peer.
        """


class NoSheets(SheetGossip):
    """Have no sheet and want none; for a node that only takes part in gossip."""

    @property
    def record(self) -> SheetRecord:
        """Return the record without a sheet."""
        return SheetRecord(0, '', '', 0)

    def learn(self, version: int, fetch: SheetFetch) -> None:
        """Ignore the version."""
