"""The announcement of this node in the platform's table, and those of others."""

import asyncio
import dataclasses
from collections.abc import Iterable, Iterator

import msgspec
import structlog

from gentianmill.clock import Clock
from gentianmill.member import Member
from gentianmill.member_codec import (
    ROW_PREFIX,
    MemberRow,
    decode_row,
    encode_row,
    row_key,
)
from gentianmill.membership import MemberTable
from gentianmill_node.table_client import TableRow, TableStore, TableWrite

STALE_MS = 10 * 60 * 1000
"""Time without a refresh after which the row of a gone member is deleted, in ms."""

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _Sighting:
    refresh_count: int
    since_ms: float


class Announcer:
    """Refresh the own row, read the other rows and delete stale ones."""

    def __init__(
        self, clock: Clock, table_store: TableStore, table: MemberTable
    ) -> None:
        """Create the announcer of one node.

        Args:
            clock: Clock of the node.
            table_store: The platform's table service.
            table: The member table, which tells who is gone.
        """
        self._clock = clock
        self._table_store = table_store
        self._table = table
        self._refresh_count = 0
        self._sightings: dict[str, _Sighting] = {}

    async def refresh(self) -> None:
        """Write the own row.

        Raises:
            GentianmillError: With code ``store_unavailable`` on an outage.
        """
        self._refresh_count += 1
        own = self._table.own
        row = encode_row(MemberRow(own, self._refresh_count))
        write = TableWrite(row_key(own.node_id), row, None)
        await self._table_store.transact([write])

    async def withdraw(self) -> None:
        """Delete the own row.

        Raises:
            GentianmillError: With code ``store_unavailable`` on an outage.
        """
        key = row_key(self._table.own.node_id)
        await self._table_store.transact([TableWrite(key, None, None)])

    async def scan(self) -> list[Member]:
        """Read the announced members and delete rows that nobody refreshes.

        Returns:
            The members of the rows that remain.

        Raises:
            GentianmillError: With code ``store_unavailable`` on an outage.
        """
        rows = await self._table_store.scan(ROW_PREFIX)
        members = []
        stale = []
        seen: dict[str, _Sighting] = {}
        for row, announced in _decode_all(rows):
            seen[row.key] = self._sight(row.key, announced.refresh_count)
            if self._is_stale(seen[row.key], announced.member):
                stale.append(TableWrite(row.key, None, row.revision))
            else:
                members.append(announced.member)
        self._sightings = seen
        await self._delete(stale)
        return members

    def _sight(self, key: str, refresh_count: int) -> _Sighting:
        sighting = self._sightings.get(key)
        if sighting is not None and sighting.refresh_count == refresh_count:
            return sighting
        return _Sighting(refresh_count, self._clock.now_ms())

    def _is_stale(self, sighting: _Sighting, announced: Member) -> bool:
        member = self._table.find(announced.node_id)
        is_gone = member is not None and member.is_gone
        return is_gone and self._clock.now_ms() - sighting.since_ms >= STALE_MS

    async def _delete(self, stale: list[TableWrite]) -> None:
        # One transaction per row: a row refreshed meanwhile must not keep the others.
        deletions = [self._table_store.transact([write]) for write in stale]
        await asyncio.gather(*deletions)
        if stale:
            _log.info('membership: deleted rows of gone members', count=len(stale))


def _decode_all(rows: Iterable[TableRow]) -> Iterator[tuple[TableRow, MemberRow]]:
    for row in rows:
        try:
            announced = decode_row(row.value)
        except msgspec.DecodeError as error:
            _log.warning('membership: unreadable row', key=row.key, cause=str(error))
            continue
        yield row, announced
