"""Interface of the platform's transactional table service."""

import abc
import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class TableRow:
    """A row that was read; its revision changes with each write."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableWrite:
    """A conditional write of one row.

    ``expected_revision`` 0 means that the row must not exist; None means that
    there is no condition. A value of None deletes the row.
    """

    key: str
    value: bytes | None
    expected_revision: int | None


class TableStore(abc.ABC):
    """The table service; on an outage, each method raises ``store_unavailable``."""

    @abc.abstractmethod
    async def read(self, key: str) -> TableRow | None:
        """Read one row, or None if it does not exist."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[TableRow]:
        """Read all rows whose key starts with a prefix."""

    @abc.abstractmethod
    async def first_keys(self, prefix: str, limit: int) -> list[str]:
        """Return the first keys with a prefix in key order, at most ``limit``."""

    @abc.abstractmethod
    async def transact(self, writes: Sequence[TableWrite]) -> tuple[str, ...]:
        """Apply all writes, or none of them.

        Args:
            writes: Conditional writes of different rows.

        Returns:
            The keys whose condition failed; empty if all writes were applied.

        Raises:
            GentianmillError: With code ``store_unavailable`` if it is not known
                whether the writes were applied.
        """
