"""Tests of the requests to the upstream."""

import asyncio

from aiohttp import web

from gentianmill_node.direct_server import direct_server
from gentianmill_node.upstream_client import new_session
from gentianmill_node.web_server import WebServer
from standins.processes import HOST, free_ports

LIMIT_S = 30
"""Ends a run that hangs."""


async def _names(request: web.BaseRequest) -> web.Response:
    return web.json_response(sorted(request.headers.items()))


async def _received(port: int, headers: dict[str, str]) -> list[list[str]]:
    server = WebServer(None)
    await server.start('upstream', direct_server(_names, 1), HOST, port)
    session = new_session(1)
    try:
        async with session.get(f'http://{HOST}:{port}/', headers=headers) as response:
            return await response.json()
    finally:
        await session.close()
        await server.close()


def test_upstream_receives_only_the_headers_of_the_call() -> None:
    """Guards against client defaults that the upstream takes for the caller's."""
    port = free_ports(1)[0]
    headers = {'X-Tenant': 'carrom', 'User-Agent': 'till/2'}

    received = asyncio.run(asyncio.wait_for(_received(port, headers), LIMIT_S))

    assert received == [['Host', f'{HOST}:{port}'], *sorted(map(list, headers.items()))]
