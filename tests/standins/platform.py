"""Simulated platform: table service and object store in one process.

Run with ``PYTHONPATH=tests python -m standins.platform --host H --port P``.
"""

import argparse
import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from gentianmill_node.table_client import TableRow, TableWrite
from standins.faults import FaultGate, Faults, LostResponseError, StoreDownError
from standins.table import SimulatedTable

MAX_BODY_BYTES = 64 * 1024 * 1024
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_Writes = list[tuple[str, bytes | None, int | None]]


@web.middleware
async def apply_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Translate faults of the table into status 503 or a dropped connection."""
    try:
        return await handler(request)
    except StoreDownError:
        return web.Response(status=503)
    except LostResponseError:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)


class Platform:
    """HTTP handlers of the simulated platform."""

    def __init__(self) -> None:
        """Start with an empty table, no objects and no faults."""
        self.gate = FaultGate()
        self.table = SimulatedTable(self.gate)
        self.objects: dict[str, bytes] = {}

    def application(self) -> web.Application:
        """Return the application with all routes."""
        application = web.Application(
            middlewares=[apply_faults], client_max_size=MAX_BODY_BYTES
        )
        application.add_routes(
            [
                web.get('/rows/{key}', self.read_row),
                web.get('/scan', self.scan_rows),
                web.get('/keys', self.list_keys),
                web.post('/transact', self.transact),
                web.get('/objects/{key:.+}', self.read_object),
                web.put('/objects/{key:.+}', self.write_object),
                web.post('/faults', self.set_faults),
                web.get('/faults', self.show_faults),
            ]
        )
        return application

    async def read_row(self, request: web.Request) -> web.Response:
        """Respond with the value of a row and its revision, or 404."""
        row = await self.table.read(request.match_info['key'])
        if row is None:
            return web.Response(status=404)
        headers = {'X-Revision': str(row.revision)}
        return web.Response(body=row.value, headers=headers)

    async def scan_rows(self, request: web.Request) -> web.Response:
        """Respond with all rows whose key starts with a prefix."""
        rows = await self.table.scan(request.query.get('prefix', ''))
        return _msgpack_response([_entry(row) for row in rows])

    async def list_keys(self, request: web.Request) -> web.Response:
        """Respond with the first keys that start with a prefix."""
        limit = int(request.query['limit'])
        return _msgpack_response(
            await self.table.first_keys(request.query['prefix'], limit)
        )

    async def transact(self, request: web.Request) -> web.Response:
        """Apply a transaction, or respond with 409 and the keys whose condition failed."""
        entries = msgspec.msgpack.decode(await request.read(), type=_Writes)
        failed = await self.table.transact([TableWrite(*entry) for entry in entries])
        return _msgpack_response(failed, status=409) if failed else web.Response()

    async def read_object(self, request: web.Request) -> web.Response:
        """Respond with an object, or 404."""
        await self.gate.enter(writes=False)
        body = self.objects.get(request.match_info['key'])
        return web.Response(status=404) if body is None else web.Response(body=body)

    async def write_object(self, request: web.Request) -> web.Response:
        """Store an object."""
        body = await request.read()
        await self.gate.enter(writes=True)
        self.objects[request.match_info['key']] = body
        self.gate.leave(writes=True)
        return web.Response()

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the faults by those in the JSON body, or respond with 400."""
        try:
            self.gate.faults = msgspec.json.decode(await request.read(), type=Faults)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        return web.Response()

    async def show_faults(self, request: web.Request) -> web.Response:
        """Respond with the active faults."""
        body = msgspec.json.encode(self.gate.faults)
        return web.Response(body=body, content_type='application/json')


def _entry(row: TableRow) -> tuple[str, bytes, int]:
    return (row.key, row.value, row.revision)


def _msgpack_response(content: object, status: int = 200) -> web.Response:
    body = msgspec.msgpack.encode(content)
    return web.Response(status=status, body=body, content_type='application/msgpack')


def main() -> None:
    """Serve until the process is interrupted or terminated."""
    parser = argparse.ArgumentParser(description='Simulated platform.')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    options = parser.parse_args()
    loop = asyncio.new_event_loop()
    web.run_app(
        Platform().application(),
        host=options.host,
        port=options.port,
        print=None,
        access_log=None,
        loop=loop,
    )


if __name__ == '__main__':
    main()
