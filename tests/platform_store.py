"""A small in-process fake of the platform's store."""

import asyncio
import base64
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
        """Tells whether a call fails."""

        self.unanswered_writes = 0
        """Number of further writes that are applied but get no response."""

        self.compacted_version = 0
        """Version up to which the change history is discarded."""

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

    def put(self, table: str, key: str, content: bytes) -> None:
        """Write a row as an operator does."""
        self._put(table, key, base64.b64encode(content).decode())

    def put_raw(self, table: str, key: str, value: str) -> None:
        """Write the value of a row as it is, without encoding it as base64."""
        self._put(table, key, value)

    def snapshot(self) -> tuple[dict[tuple[str, str], _Row], int]:
        """Return the present content and its version, for ``stale_reads``."""
        return dict(self._rows), self.version

    def content(self, table: str, key: str) -> bytes | None:
        """Return the content of a row, or None if it does not exist."""
        row = self._rows.get((table, key))
        return None if row is None or row.deleted else base64.b64decode(row.value)

    def remove(self, table: str, key: str) -> None:
        """Remove a row as another writer does."""
        self._put(table, key, '', deleted=True)

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
        return await handler(request)

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
        if after < self.compacted_version:
            return web.Response(status=410)
        changed = self._changed
        if not self._after(request.query['table'], after):
            try:
                wait_s = int(request.query['waitMs']) / MS_PER_S
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                return self._page([], self.version)
        rows = self._after(request.query['table'], after)
        return self._page(rows, self.version)

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        entries = await request.json()
        for row in entries['expectedRevision']:
            current = self._rows.get((row['table'], row['key']))
            version = current.version if current else 0
            if version != row['rowVersion']:
                return web.json_response({'rows': []}, status=412)
        for row in entries['writes']:
            self._put(row['table'], row['key'], row['value'])
        for row in entries['remove']:
            self.remove(row['table'], row['key'])
        if self.unanswered_writes:
            self.unanswered_writes -= 1
            request.transport.abort()
        return web.json_response({'rowVersion': self.version, 'now': '0ms'})

    def _after(self, table: str, version: int) -> list[_Row]:
        return [
            row
            for row in self._rows.values()
            if row.table == table and row.version > version
        ]

    def _page(
        self, rows: list[_Row], version: int, max_rows: int = 500
    ) -> web.Response:
        described = [
            {
                'table': row.table,
                'part': '',
                'key': row.key,
                'value': row.value,
                'rowVersion': row.version,
                'tombstone': row.deleted,
            }
            for row in rows[:max_rows]
        ]
        return web.json_response(
            {
                'rows': described,
                'hasMore': len(rows) > max_rows,
                'rowVersion': version,
                'now': '0ms',
            }
        )
