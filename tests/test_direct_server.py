"""Tests of the HTTP server without a router."""

import asyncio

import aiohttp
from aiohttp import web

from gentianmill_node.direct_server import direct_server
from gentianmill_node.web_server import WebServer
from standins.processes import HOST, free_ports

LIMIT_S = 30
"""Ends a run that hangs."""

MAX_BODY_BYTES = 100


async def _echo(request: web.BaseRequest) -> web.Response:
    return web.Response(body=await request.read())


def _post(body: bytes, **options: object) -> tuple[int, bytes]:
    return asyncio.run(asyncio.wait_for(_exchange(body, options), LIMIT_S))


async def _exchange(body: bytes, options: dict) -> tuple[int, bytes]:
    server = WebServer()
    port = free_ports(1)[0]
    await server.start('calls', direct_server(_echo, MAX_BODY_BYTES), HOST, port, None)
    try:
        async with aiohttp.ClientSession() as session:
            url = f'http://{HOST}:{port}/any/path'
            async with session.post(url, data=body, **options) as response:
                return response.status, await response.read()
    finally:
        await server.close()


def test_caller_that_waits_for_continue_is_served() -> None:
    """Guards against a caller with ``Expect`` that never sends its body."""
    assert _post(b'order', expect100=True) == (200, b'order')


def test_other_expectation_is_refused() -> None:
    """Guards against a call that runs although its expectation is not met."""
    status, _ = _post(b'order', headers={'Expect': 'payment'})

    assert status == web.HTTPExpectationFailed.status_code


def test_body_above_the_limit_is_refused() -> None:
    """Guards against a server that ignores the body limit of the settings."""
    status, _ = _post(bytes(MAX_BODY_BYTES + 1))

    assert status == web.HTTPRequestEntityTooLarge.status_code
