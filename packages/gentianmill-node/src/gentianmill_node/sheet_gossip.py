"""Interface between the member exchange and the planning sheet."""

import abc
from collections.abc import Awaitable, Callable

from gentianmill.control_pb2 import FetchSheetReply
from gentianmill.sheet_record import SheetRecord

SheetFetch = Callable[[int], Awaitable[FetchSheetReply]]
"""Fetch the sheet of one peer if it is newer than the given version."""


class SheetGossip(abc.ABC):
    """Provide the sheet in force and receive the versions that peers report."""

    @property
    @abc.abstractmethod
    def record(self) -> SheetRecord:
        """Return the sheet in force; version 0 if there is none."""

    @abc.abstractmethod
    def on_peer_version(self, version: int, fetch: SheetFetch) -> None:
        """Handle the sheet version that a peer reported.

        Args:
            version: Version that the peer reported.
            fetch: Fetches the sheet from that peer.
        """


class NoSheets(SheetGossip):
    """Have no sheet and fetch none; for a node that only takes part in gossip."""

    @property
    def record(self) -> SheetRecord:
        """Return the empty record, with version 0."""
        return SheetRecord(0, '', '', 0)

    def on_peer_version(self, version: int, fetch: SheetFetch) -> None:
        """Ignore the version."""
