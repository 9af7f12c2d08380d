"""The simulated table service, and an in-process ``TableStore`` client of it."""

import asyncio
import heapq
from collections.abc import Awaitable, Sequence
from typing import TypeVar

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill_node.table_client import TableRow, TableStore, TableWrite
from standins.faults import FaultGate, LostResponseError, StoreDownError

_Content = TypeVar('_Content')


class SimulatedTable:
    """Rows with revisions, with the faults of a table service."""

    def __init__(self, gate: FaultGate | None = None) -> None:
        """Create an empty table.

        Args:
            gate: Faults to apply; none if None.
        """
        self.gate = gate or FaultGate()
        self.rows: dict[str, TableRow] = {}
        self.transactions = 0
        self._revision = 0

    async def read(self, key: str) -> TableRow | None:
        """Read one row, or None if it does not exist."""
        await self.gate.enter(writes=False)
        return self.rows.get(key)

    async def scan(self, prefix: str) -> list[TableRow]:
        """Read all rows whose key starts with a prefix, in key order."""
        await self.gate.enter(writes=False)
        return [self.rows[key] for key in sorted(self.rows) if key.startswith(prefix)]

    async def first_keys(self, prefix: str, limit: int) -> list[str]:
        """Return the first keys with a prefix in key order, at most ``limit``."""
        await self.gate.enter(writes=False)
        keys = (key for key in self.rows if key.startswith(prefix))
        return heapq.nsmallest(limit, keys)

    async def transact(self, writes: Sequence[TableWrite]) -> tuple[str, ...]:
        """Apply all writes or none; return the keys whose condition failed."""
        await self.gate.enter(writes=True)
        self.transactions += 1
        failed = tuple(
            write.key for write in writes if not self._condition_holds(write)
        )
        if not failed:
            for write in writes:
                self._apply(write)
        self.gate.leave(writes=True)
        return failed

    def _condition_holds(self, write: TableWrite) -> bool:
        row = self.rows.get(write.key)
        revision = row.revision if row else 0
        return write.expected_revision in {None, revision}

    def _apply(self, write: TableWrite) -> None:
        self._revision += 1
        if write.value is None:
            self.rows.pop(write.key, None)
            return
        self.rows[write.key] = TableRow(write.key, write.value, self._revision)


class MemoryTableStore(TableStore):
    """A client of a ``SimulatedTable`` in the same process.

    A cancelled operation still takes effect, as over a network.
    """

    def __init__(self, table: SimulatedTable) -> None:
        """Create a client.

        Args:
            table: The table, which several clients may share.
        """
        self._table = table

    async def read(self, key: str) -> TableRow | None:
        """Read one row, or None if it does not exist."""
        return await _send(self._table.read(key))

    async def scan(self, prefix: str) -> list[TableRow]:
        """Read all rows whose key starts with a prefix."""
        return await _send(self._table.scan(prefix))

    async def first_keys(self, prefix: str, limit: int) -> list[str]:
        """Return the first keys with a prefix in key order, at most ``limit``."""
        return await _send(self._table.first_keys(prefix, limit))

    async def transact(self, writes: Sequence[TableWrite]) -> tuple[str, ...]:
        """Apply all writes, or none of them; see the base class."""
        return await _send(self._table.transact(tuple(writes)))


async def _send(operation: Awaitable[_Content]) -> _Content:
    running = asyncio.ensure_future(operation)
    try:
        return await asyncio.shield(running)
    except (StoreDownError, LostResponseError) as error:
        raise GentianmillError(
            ErrorCode.store_unavailable, 'table', 'memory', type(error).__name__
        ) from error
    finally:
        running.add_done_callback(_retrieve_exception)


def _retrieve_exception(running: 'asyncio.Future[_Content]') -> None:
    if not running.cancelled():
        running.exception()
