"""A small stand-in for the platform's store, in the test's process."""

import asyncio
import base64
import dataclasses

from aiohttp import web
from gentianmill_mesh.mesh_settings import Address
from gentianmill_node.web_server import WebServer
from gentianmill_platform.store import Store
from standins.processes import HOST, free_ports


@dataclasses.dataclass
class _Row:
    table: str
    key: str
    value: str
    version: int


class FakeStore:
    """Keep rows and their changes; fail on demand."""

    def __init__(self) -> None:
        """Start empty."""
        self.version = 0
        self.calls = 0
        self.failing_status: int | None = None
        self.losing_answers = 0
        """How many further writes are done without an answer."""

        self.forgotten = 0
        """Version up to which changes are no longer known."""

        self._rows: dict[tuple[str, str], _Row] = {}
        self._changed = asyncio.Event()
        self._web = WebServer()
        self._client: Store | None = None

    async def __aenter__(self) -> 'FakeStore':
        """Listen on a free port."""
        port = free_ports(1)[0]
        app = web.Application(middlewares=[self._fail])
        app.router.add_get('/-/rows-get', self._get)
        app.router.add_get('/-/rows-feed', self._feed)
        app.router.add_post('/-/rows-tx', self._transact)
        await self._web.start('store', app, HOST, port, None)
        self._client = Store(Address(HOST, port))
        await self._client.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop."""
        await self._client.close()
        self._changed.set()

    @property
    def client(self) -> Store:
        """Return a client of this store."""
        return self._client

    def put(self, table: str, key: str, content: bytes) -> None:
        """Write a row as the operator does."""
        self._put(table, key, base64.b64encode(content).decode())

    def content(self, table: str, key: str) -> bytes | None:
        """Return what a row holds."""
        row = self._rows.get((table, key))
        return None if row is None else base64.b64decode(row.value)

    def _put(self, table: str, key: str, value: str) -> None:
        self.version += 1
        self._rows[table, key] = _Row(table, key, value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _fail(self, request: web.Request, handler) -> web.StreamResponse:
        self.calls += 1
        if self.failing_status is not None:
            return web.Response(status=self.failing_status)
        return await handler(request)

    async def _get(self, request: web.Request) -> web.Response:
        rows = [
            row
            for row in self._rows.values()
            if row.table == request.query['table']
            and row.key >= request.query.get('from', '')
        ]
        return self._page(rows)

    async def _feed(self, request: web.Request) -> web.Response:
        after = int(request.query['after'])
        if after < self.forgotten:
            return web.Response(status=410)
        changed = self._changed
        if not self._after(request.query['table'], after):
            try:
                await asyncio.wait_for(changed.wait(), 1)
            except TimeoutError:
                return self._page([])
        return self._page(self._after(request.query['table'], after))

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        for row in (await request.json())['writes']:
            self._put(row['table'], row['key'], row['value'])
        if self.losing_answers:
            self.losing_answers -= 1
            request.transport.abort()
        return web.json_response({'rowVersion': self.version, 'now': '0ms'})

    def _after(self, table: str, version: int) -> list[_Row]:
        return [
            row
            for row in self._rows.values()
            if row.table == table and row.version > version
        ]

    def _page(self, rows: list[_Row]) -> web.Response:
        described = [
            {
                'table': row.table,
                'part': '',
                'key': row.key,
                'value': row.value,
                'rowVersion': row.version,
            }
            for row in rows
        ]
        return web.json_response(
            {
                'rows': described,
                'hasMore': False,
                'rowVersion': self.version,
                'now': '0ms',
            }
        )
