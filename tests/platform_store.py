"""A small in-process fake of the platform's store."""

import asyncio
import base64
import contextlib
import dataclasses
from collections.abc import Callable

from aiohttp import web
from gentianmill_mesh.mesh_settings import Address
from gentianmill_node.web_server import WebServer
from gentianmill_platform.store import Store
from standins.processes import HOST, free_ports

MS_PER_S = 1000
STATUS_UNAVAILABLE = 503


@dataclasses.dataclass
class _Row:
    table: str
    key: str
    value: str
    version: int
    deleted: bool = False


class FakeStore:
    """A store of rows and their changes that fails on demand."""

    def __init__(self) -> None:
        """Start empty."""
        self.version = 0
        self.calls = 0
        self.failing_status: int | None = None
        self.fails: Callable[[web.Request], bool] = lambda _request: False
        """Tells whether a call fails; a poll is asked about at its end again."""

        self.unanswered_writes = 0
        """Number of further writes that are applied but get no response."""

        self.held_writes = 0
        """Number of further writes that get no response and are held until
        ``do_held_writes``."""

        self.tells_conflicts = True
        """Whether the response to a write whose condition fails has the current rows."""

        self.write_calls = 0
        self.conflicts = 0
        self._held: list[dict] = []
        self.compacted_version = 0
        """Version up to which the change history is discarded."""

        self.era: int | None = None
        """Era that all responses tell, or None if they tell none."""

        self.clock_ms = 0
        """Time by the steady clock that all responses tell."""

        self.page_rows = 500
        self.before_page: Callable[[], None] | None = None
        """Called before each page of a read except the first."""

        self.stale_reads: tuple[dict[tuple[str, str], _Row], int] | None = None
        """An earlier content of the store and its version, which reads return."""

        self._rows: dict[tuple[str, str], _Row] = {}
        self._changed = asyncio.Event()
        self._web = WebServer()
        self._client: Store | None = None
        self.port = free_ports(1)[0]

    async def __aenter__(self) -> 'FakeStore':
        """Listen on a free port."""
        app = web.Application(middlewares=[self._inject_failure])
        app.router.add_get('/-/rows-get', self._get)
        app.router.add_get('/-/rows-feed', self._feed)
        app.router.add_post('/-/rows-tx', self._transact)
        await self._web.start('store', app, HOST, self.port, None)
        self._client = Store(Address(HOST, self.port))
        await self._client.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the client and end the open feeds."""
        await self._client.close()
        self._changed.set()

    @property
    def client(self) -> Store:
        """Return a client of this store."""
        return self._client

    @property
    def _now(self) -> str:
        return f'{self.clock_ms}ms'

    def put(self, table: str, key: str, content: bytes) -> None:
        """Write a row as an operator does."""
        self._put(table, key, base64.b64encode(content).decode())

    def put_raw(self, table: str, key: str, value: str) -> None:
        """Write the value of a row as it is, without encoding it as base64."""
        self._put(table, key, value)

    def snapshot(self) -> tuple[dict[tuple[str, str], _Row], int]:
        """Return the present content and its version, for ``stale_reads``."""
        return dict(self._rows), self.version

    def restore(self, copy: tuple[dict[tuple[str, str], _Row], int]) -> None:
        """Go back to an earlier ``snapshot``, in a new era; versions are reissued."""
        rows, version = copy
        self.version = version
        self._rows = dict(rows)
        self.era = (self.era or 0) + 1
        self._changed.set()
        self._changed = asyncio.Event()

    def content(self, table: str, key: str) -> bytes | None:
        """Return the content of a row, or None if it does not exist."""
        row = self._rows.get((table, key))
        return None if row is None or row.deleted else base64.b64decode(row.value)

    def remove(self, table: str, key: str) -> None:
        """Remove a row as another writer does."""
        self._put(table, key, '', deleted=True)

    def do_held_writes(self) -> list[int]:
        """Do the held writes whose conditions hold, and return their statuses."""
        held = tuple(self._held)
        self._held.clear()
        return [self._apply(entries).status for entries in held]

    def _put(self, table: str, key: str, value: str, *, deleted: bool = False) -> None:
        self.version += 1
        self._rows[table, key] = _Row(table, key, value, self.version, deleted)
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _inject_failure(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        self.calls += 1
        if self.failing_status is not None:
            return web.Response(status=self.failing_status)
        if self.fails(request):
            return web.Response(status=STATUS_UNAVAILABLE)
        response = await handler(request)
        if self.era is not None:
            response.headers['Store-Era'] = str(self.era)
        return response

    async def _get(self, request: web.Request) -> web.Response:
        start = request.query.get('from', '')
        if start and self.before_page is not None:
            self.before_page()
        stored, version = self.stale_reads or self.snapshot()
        rows = [
            row
            for key, row in sorted(stored.items())
            if key[0] == request.query['table'] and key[1] >= start and not row.deleted
        ]
        return self._page(rows, version, self.page_rows)

    async def _feed(self, request: web.Request) -> web.Response:
        after = int(request.query['after'])
        if after < self.compacted_version or after > self.version:
            return web.Response(status=410)
        loop, era = asyncio.get_running_loop(), self.era
        end_s = loop.time() + int(request.query['waitMs']) / MS_PER_S
        while not self._after(request.query['table'], after):
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), end_s - loop.time())
            if self.fails(request):
                return web.Response(status=STATUS_UNAVAILABLE)
            # Changes of other tables don't end the wait, a restored store does.
            if loop.time() >= end_s or self.era != era:
                break
        if after > self.version:
            return web.Response(status=410)
        rows = self._after(request.query['table'], after)
        return self._page(rows, self.version)

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        entries = await request.json()
        self.write_calls += 1
        if self.held_writes:
            self.held_writes -= 1
            self._held.append(entries)
            request.transport.abort()
            return web.Response()
        response = self._apply(entries)
        if self.unanswered_writes:
            self.unanswered_writes -= 1
            request.transport.abort()
        return response

    def _apply(self, entries: dict) -> web.Response:
        for expected in entries['expectedRevision']:
            current = self._rows.get((expected['table'], expected['key']))
            exists = current is not None and not current.deleted
            version = current.version if exists else 0
            if expected['rowVersion'] != version:
                self.conflicts += 1
                return self._conflict([current] if exists else [])
        for row in entries['writes']:
            self._put(row['table'], row['key'], row['value'])
        for row in entries['remove']:
            self.remove(row['table'], row['key'])
        return web.json_response({'rowVersion': self.version, 'now': self._now})

    def _conflict(self, current: list[_Row]) -> web.Response:
        told = current if self.tells_conflicts else []
        rows = [_described(row) for row in told]
        described = {'rows': rows, 'rowVersion': self.version, 'now': self._now}
        return web.json_response(described, status=412)

    def _after(self, table: str, version: int) -> list[_Row]:
        return [
            row
            for row in self._rows.values()
            if row.table == table and row.version > version
        ]

    def _page(
        self, rows: list[_Row], version: int, max_rows: int = 500
    ) -> web.Response:
        return web.json_response(
            {
                'rows': [_described(row) for row in rows[:max_rows]],
                'hasMore': len(rows) > max_rows,
                'rowVersion': version,
                'now': self._now,
            }
        )


def _described(row: _Row) -> dict[str, object]:
    return {
        'table': row.table,
        'part': '',
        'key': row.key,
        'value': row.value,
        'rowVersion': row.version,
        'tombstone': row.deleted,
    }
