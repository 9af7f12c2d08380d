"""Announce this node in the platform's table, and read the rows of other nodes."""

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
"""Time without a refresh after which a departed member's row is deleted, in ms."""

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _RefreshObservation:
    refresh_count: int
    since_ms: float


class Announcer:
    """Refresh this node's own row, read the other rows and delete stale ones."""

    def __init__(
        self, clock: Clock, table_store: TableStore, table: MemberTable
    ) -> None:
        """Create the announcer of one node.

        Args:
            clock: Clock of the node.
            table_store: The platform's table service.
            table: The member table; only rows of members that it lists as departed
                are deleted.
        """
        self._clock = clock
        self._table_store = table_store
        self._table = table
        self._refresh_count = 0
        self._observations: dict[str, _RefreshObservation] = {}

    async def refresh(self) -> None:
        """Write this node's row with the next refresh count.

        Raises:
            GentianmillError: With code ``store_unavailable`` on an outage.
        """
        self._refresh_count += 1
        own = self._table.own
        row = encode_row(MemberRow(own, self._refresh_count))
        write = TableWrite(row_key(own.node_id), row, None)
        await self._table_store.transact([write])

    async def withdraw(self) -> None:
        """Delete this node's row.

        Raises:
            GentianmillError: With code ``store_unavailable`` on an outage.
        """
        key = row_key(self._table.own.node_id)
        await self._table_store.transact([TableWrite(key, None, None)])

    async def scan(self) -> list[Member]:
        """Read the announced members and delete stale rows of departed members.

        Returns:
            The members of the rows that remain.

        Raises:
            GentianmillError: With code ``store_unavailable`` on an outage.
        """
        rows = await self._table_store.scan(ROW_PREFIX)
        members = []
        stale = []
        observations: dict[str, _RefreshObservation] = {}
        for row, announced in _decode_all(rows):
            observations[row.key] = self._observe(row.key, announced.refresh_count)
            if self._is_stale(observations[row.key], announced.member):
                stale.append(TableWrite(row.key, None, row.revision))
            else:
                members.append(announced.member)
        self._observations = observations
        await self._delete(stale)
        return members

    def _observe(self, key: str, refresh_count: int) -> _RefreshObservation:
        observation = self._observations.get(key)
        if observation is not None and observation.refresh_count == refresh_count:
            return observation
        return _RefreshObservation(refresh_count, self._clock.now_ms())

    def _is_stale(self, observation: _RefreshObservation, announced: Member) -> bool:
        member = self._table.find(announced.node_id)
        has_departed = member is not None and member.has_departed
        return has_departed and self._clock.now_ms() - observation.since_ms >= STALE_MS

    async def _delete(self, stale: list[TableWrite]) -> None:
        # One transaction per row: if one row was refreshed in the meantime, its
        # conflict must not prevent the deletion of the others.
        deletions = [self._table_store.transact([write]) for write in stale]
        await asyncio.gather(*deletions)
        if stale:
            _log.info('membership: Deleted rows of departed members.', count=len(stale))


def _decode_all(rows: Iterable[TableRow]) -> Iterator[tuple[TableRow, MemberRow]]:
    for row in rows:
        try:
            announced = decode_row(row.value)
        except msgspec.DecodeError as error:
            _log.warning('membership: Unreadable row.', key=row.key, cause=str(error))
            continue
        yield row, announced
