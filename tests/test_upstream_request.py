"""Tests of the requests to the upstream."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
import yarl
from aiohttp import web

from gentianmill_node.direct_server import Handler, direct_server
from gentianmill_node.upstream_client import new_session
from gentianmill_node.upstream_request import UpstreamExchange, start_exchange
from gentianmill_node.web_server import WebServer
from standins.processes import HOST, free_ports

LIMIT_S = 30
"""Ends a run that hangs."""

SHORT_S = 0.1
HEADERS = {'X-Tenant': 'carrom', 'User-Agent': 'till/2'}

Exchange = Callable[[float], UpstreamExchange]


async def _describe(request: web.BaseRequest) -> web.Response:
    return web.json_response(dict(request.headers))


async def _never_answer(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.Event().wait()


async def _never_end(request: web.BaseRequest) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b'part')
    await asyncio.Event().wait()


async def _read(exchange: Exchange, timeout_s: float) -> bytes:
    async with exchange(timeout_s) as response:
        return await response.read()


async def _with_upstream(
    handler: Handler, use: Callable[[Exchange, yarl.URL], Awaitable[None]]
) -> None:
    server = WebServer()
    port = free_ports(1)[0]
    await server.start('upstream', direct_server(handler, 1), HOST, port, None)
    session = new_session(1)
    url = yarl.URL(f'http://{HOST}:{port}/')
    try:
        await use(lambda left_s: _exchange(session, url, left_s), url)
    finally:
        await session.close()
        await server.close()


def _exchange(
    session: aiohttp.ClientSession, url: yarl.URL, timeout_s: float
) -> UpstreamExchange:
    return start_exchange(session, 'GET', url, HEADERS, b'', timeout_s)


def _run(handler: Handler, use: Callable[[Exchange, yarl.URL], Awaitable]) -> None:
    asyncio.run(asyncio.wait_for(_with_upstream(handler, use), LIMIT_S))


def test_upstream_receives_only_the_headers_of_the_call() -> None:
    """Guards against default headers of the client that look like the caller's."""

    async def use(exchange: Exchange, url: yarl.URL) -> None:
        async with exchange(LIMIT_S) as response:
            headers = await response.json()
        assert headers == {'Host': url.host_port_subcomponent, **HEADERS}

    _run(_describe, use)


@pytest.mark.parametrize('handler', [_never_answer, _never_end])
def test_timeout_ends_the_exchange(handler: Handler) -> None:
    """Guards against an unresponsive upstream that holds a call beyond its deadline."""

    async def use(exchange: Exchange, _url: yarl.URL) -> None:
        with pytest.raises(TimeoutError):
            await _read(exchange, SHORT_S)
        assert not asyncio.current_task().cancelling()

    _run(handler, use)
