"""An in-memory table service with outages and lost responses, for tests."""

from collections.abc import Sequence

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill_node.table_client import TableRow, TableStore, TableWrite


class MemoryTable(TableStore):
    """Keep rows in a dictionary."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.is_down = False
        self.loses_responses = False
        self.rows: dict[str, TableRow] = {}
        self._revision = 0

    async def read(self, key: str) -> TableRow | None:
        """Read one row."""
        self._check()
        return self.rows.get(key)

    async def scan(self, prefix: str) -> list[TableRow]:
        """Read all rows under a prefix."""
        self._check()
        return [row for key, row in self.rows.items() if key.startswith(prefix)]

    async def first_keys(self, prefix: str, limit: int) -> list[str]:
        """Return the first keys with a prefix in key order."""
        self._check()
        return sorted(key for key in self.rows if key.startswith(prefix))[:limit]

    async def transact(self, writes: Sequence[TableWrite]) -> tuple[str, ...]:
        """Apply all writes, or none."""
        self._check()
        failed = tuple(
            write.key for write in writes if not self._condition_holds(write)
        )
        if not failed:
            for write in writes:
                self._apply(write)
        if self.loses_responses:
            raise _unavailable('the response was lost')
        return failed

    def _check(self) -> None:
        if self.is_down:
            raise _unavailable('the table is down')

    def _condition_holds(self, write: TableWrite) -> bool:
        if write.expected_revision is None:
            return True
        row = self.rows.get(write.key)
        revision = row.revision if row else 0
        return write.expected_revision == revision

    def _apply(self, write: TableWrite) -> None:
        self._revision += 1
        if write.value is None:
            self.rows.pop(write.key, None)
        else:
            self.rows[write.key] = TableRow(write.key, write.value, self._revision)


def _unavailable(message: str) -> GentianmillError:
    return GentianmillError(ErrorCode.store_unavailable, 'table', '', message)
