"""Nodes whose rows are in a store without a network, with late writes and outages."""

import asyncio
import contextlib
import enum
from collections.abc import Callable

from gentianmill.departures import Departure, Departures
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.revisions import era_of, to_revision, version_of
from gentianmill_platform.answer_time import AnswerTime
from gentianmill_platform.own_row import NODE_TABLE
from gentianmill_platform.store import RowConflictError, Snapshot, StoredRow
from gentianmill_platform.store_adapters import StoreNodes
from gentianmill_platform.store_era import StoreEra
from node_records import node_record
from poll_turns import ImmediateTurns
from virtual_time import LoopClock

OWN = 'own'
CALL_S = 0.004
LOST_S = 1.0
"""Time after which a caller gives up a call without a response."""


class Mode(enum.Enum):
    """What becomes of the calls of a node."""

    works = 'works'
    away = 'away'
    held = 'held'
    """Writes get no response, and are done later if their condition holds then."""

    unanswered = 'unanswered'
    """Writes are done and get no response."""


class RowModel:
    """The rows of all tables, with their versions."""

    def __init__(self) -> None:
        """Create a store without rows, in its first era."""
        self.era = 1
        self.version = 0
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.held: list[Callable[[], int]] = []
        self.on_change: Callable[[], None] | None = None

    def find(self, key: str, table: str = NODE_TABLE) -> StoredRow | None:
        """Return a row that was not removed."""
        row = self.rows.get((table, key))
        return None if row is None or row.deleted else row

    def put(
        self, place: tuple[str, str], content: bytes, expected: int, *, deleted: bool
    ) -> int:
        """Write or remove a row if it has a version, and return the new revision."""
        table, key = place
        row = self.find(key, table)
        version = version_of(row.version) if row else 0
        if version != expected:
            raise conflict(row)
        self.version += 1
        revision = to_revision(self.era, self.version)
        self.rows[place] = StoredRow(key, content, deleted, revision)
        if self.on_change is not None:
            self.on_change()
        return revision

    def restore(self, copy: tuple[dict[tuple[str, str], StoredRow], int]) -> None:
        """Go back to a copy, in a new era; writes that are held get lost."""
        self.held.clear()
        self.era += 1
        rows, version = copy
        self.version = version
        self.rows = {
            place: StoredRow(
                row.key,
                row.content,
                row.deleted,
                to_revision(self.era, version_of(row.version)),
            )
            for place, row in rows.items()
        }

    def copy(self) -> tuple[dict[tuple[str, str], StoredRow], int]:
        """Return what the store holds."""
        return dict(self.rows), self.version

    def do_held(self) -> None:
        """Do all writes that are held, as far as their conditions hold."""
        held = tuple(self.held)
        self.held.clear()
        for write in held:
            with contextlib.suppress(RowConflictError):
                write()


class ModelStore:
    """A client of the rows, in place of ``Store``."""

    def __init__(self, model: RowModel) -> None:
        """Create a client whose calls work."""
        self.model = model
        self.mode = Mode.works
        self.era = StoreEra()
        self.writes = 0
        self.last_answer = AnswerTime(0, 0)

    def renew(self) -> None:
        """Do nothing, as there are no connections."""

    async def read(self, table: str) -> Snapshot:
        """Return all rows."""
        await self._begin()
        rows = [row for row in self._rows(table) if not row.deleted]
        return Snapshot(rows, self._revision(), is_complete=True)

    async def changes(self, table: str, after: int, _wait_ms: int) -> Snapshot:
        """Return the rows that have changed."""
        await self._begin()
        if era_of(after) != self.model.era:
            return await self.read(table)
        rows = [row for row in self._rows(table) if row.version > after]
        return Snapshot(rows, self._revision(), is_complete=False)

    async def find(self, table: str, key: str) -> StoredRow | None:
        """Return a row, or None."""
        await self._begin()
        return self.model.find(key, table)

    async def write(self, table: str, key: str, content: bytes, version: int) -> int:
        """Write a row."""
        return await self._put((table, key), content, version, deleted=False)

    async def remove(self, table: str, key: str, version: int) -> int:
        """Remove a row."""
        return await self._put((table, key), b'', version, deleted=True)

    def _rows(self, table: str) -> list[StoredRow]:
        rows = self.model.rows.items()
        return [row for (in_table, _), row in rows if in_table == table]

    def _revision(self) -> int:
        return to_revision(self.model.era, self.model.version)

    async def _begin(self) -> None:
        if self.mode is Mode.away:
            await asyncio.sleep(LOST_S)
            raise no_answer()
        await asyncio.sleep(CALL_S)
        self.era.of_response(str(self.model.era))
        # The steady clock of the store never tells 0.
        self.last_answer = AnswerTime(0, LoopClock().now_ms() + 1)

    async def _put(
        self, place: tuple[str, str], content: bytes, revision: int, *, deleted: bool
    ) -> int:
        if revision and era_of(revision) != self.era.current:
            raise conflict(None)
        self.writes += 1

        def put() -> int:
            expected = version_of(revision)
            return self.model.put(place, content, expected, deleted=deleted)

        if self.mode is Mode.held:
            self.model.held.append(put)
            await asyncio.sleep(LOST_S)
            raise no_answer()
        await self._begin()
        if self.mode is Mode.unanswered:
            with contextlib.suppress(RowConflictError):
                put()
            await asyncio.sleep(LOST_S)
            raise no_answer()
        return put()


class ModelProcess:
    """A process of a node, which learns the departures of the processes before."""

    def __init__(self, model: RowModel, name: str, incarnation: int) -> None:
        """Create a process that is not started."""
        self.store = ModelStore(model)
        self.record = node_record(name, incarnation=incarnation, slots=0)
        self.departures = Departures()
        self.table = NodeTable()
        self.registry = StoreNodes(self.store, LoopClock())
        self.has_read = False

    async def start(self) -> None:
        """Start to follow the rows; the own row is written once they are read."""
        await self.registry.start(
            self.table, self._on_accepted, ImmediateTurns(), self._on_confirmed
        )

    async def close(self) -> None:
        """End the process."""
        await self.registry.close()

    def leave(self, departure: Departure) -> None:
        """Note that an upstream has left."""
        self.departures.add(departure)

    def publish(self) -> 'asyncio.Future[None] | None':
        """Write the own row; None if what it held is not known yet."""
        if not self.has_read:
            return None
        self.record = node_record(
            self.record.name,
            incarnation=self.record.incarnation,
            slots=self.record.slots + 1,
            departures=self.departures.entries,
        )
        return self.registry.publish(self.record)

    def _on_confirmed(self, _as_of_ms: float) -> None:
        if not self.has_read:
            self.has_read = True
            self._learn(self.table.find(self.record.name))
            self.publish()

    def _on_accepted(self, record: NodeRecord) -> None:
        self._learn(record)
        self.table.merge([record])

    def _learn(self, record: NodeRecord | None) -> None:
        for departure in record.departures if record else ():
            self.departures.add(departure)


def covers(departures: tuple[Departure, ...], departure: Departure) -> bool:
    """Return whether departures tell of one."""
    known = Departures()
    for each in departures:
        known.add(each)
    return known.covers(departure.upstream_id, departure.start_unix_ms)


def conflict(row: StoredRow | None) -> RowConflictError:
    """Return the error of a write whose condition does not hold."""
    error = RowConflictError(ErrorCode.version_conflict, 'store', '', 'has changed')
    error.rows = () if row is None else (row,)
    return error


def no_answer() -> GentianmillError:
    """Return the error of a call without a response."""
    return GentianmillError(ErrorCode.store_unavailable, 'store', '', 'no answer')
