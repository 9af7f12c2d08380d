"""A small table service that runs in the test process."""

import asyncio
import socket
import threading
from collections.abc import Callable
from urllib.parse import unquote

import msgspec
from aiohttp import web


class RowTable:
    """Rows with revisions; requests are refused or their responses lost on demand."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.refused_requests = 0
        self.lost_responses = 0
        self.transactions = 0
        self.required_key = ''
        self.before_read: Callable[[], object] | None = None
        self.before_write: Callable[[], None] | None = None
        self.after_lost_write: Callable[[], None] | None = None
        self._revision = 0

    def app(self) -> web.Application:
        app = web.Application(
            client_max_size=8 * 1024 * 1024, middlewares=[self._check_request]
        )
        app.router.add_get('/rows/{key:.+}', self._read)
        app.router.add_post('/transact', self._transact)
        return app

    def put(self, key: str, value: bytes) -> None:
        self._revision += 1
        self.rows[key] = (value, self._revision)

    def revision(self, key: str) -> int:
        return self.rows[key][1] if key in self.rows else 0

    @web.middleware
    async def _check_request(self, request: web.Request, handler):
        if self.required_key:
            if request.headers.get('Authorization') != f'Bearer {self.required_key}':
                return web.Response(status=401)
        if self.refused_requests:
            self.refused_requests -= 1
            return web.Response(status=503)
        return await handler(request)

    async def _read(self, request: web.Request) -> web.Response:
        key = unquote(request.match_info['key'])
        if self.before_read:
            self.before_read()
        if key not in self.rows:
            return web.Response(status=404)
        value, revision = self.rows[key]
        return web.Response(body=value, headers={'X-Revision': str(revision)})

    async def _transact(self, request: web.Request) -> web.Response:
        writes = msgspec.msgpack.decode(await request.read())
        self.transactions += 1
        if self.before_write:
            self.before_write()
            self.before_write = None
        failed = [
            key
            for key, _, expected in writes
            if expected is not None and expected != self.revision(key)
        ]
        if failed:
            return web.Response(status=409, body=msgspec.msgpack.encode(failed))
        for key, value, _ in writes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.put(key, value)
        if self.lost_responses:
            self.lost_responses -= 1
            if self.after_lost_write:
                self.after_lost_write()
            request.transport.abort()
        return web.Response()


class AppThread:
    """Serve an application on a loopback port from another thread."""

    def __init__(self, app: web.Application) -> None:
        self._app = app
        self._loop = asyncio.new_event_loop()
        self._socket = socket.create_server(('127.0.0.1', 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        return f'127.0.0.1:{self._socket.getsockname()[1]}'

    @property
    def url(self) -> str:
        return f'http://{self.address}'

    def __enter__(self) -> 'AppThread':
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _serve(self) -> None:
        asyncio.set_event_loop(self._loop)
        runner = web.AppRunner(self._app, access_log=None)
        self._loop.run_until_complete(runner.setup())
        self._loop.run_until_complete(web.SockSite(runner, self._socket).start())
        self._loop.run_forever()
        self._loop.run_until_complete(runner.cleanup())
        self._loop.close()
