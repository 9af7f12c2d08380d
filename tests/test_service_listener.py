"""Tests of the listeners for the platform and the upstream on the VM."""

import asyncio
from collections.abc import Awaitable, Callable

from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import MonotonicClock
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.mesh_settings import Address
from gentianmill_mesh.service_listener import (
    CONNECTIONS,
    LIMITS,
    ServiceListener,
    plain_response,
)
from mesh_upstream import NAMES
from standins.processes import HOST, free_ports

LIMIT_S = 10
POLL = b'GET /state HTTP/1.1\r\nHost: node\r\n\r\n'

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _respond(request: HttpRequest) -> HttpResponse:
    if request.target == b'/broken':
        raise LookupError('broken')
    return plain_response(200, request.target + bytes(request.body))


def _run(scenario: Callable[[int], Awaitable[None]]) -> None:
    async def run() -> None:
        budget = ByteBudget(1_000_000)
        listener = ServiceListener('test', _respond, NAMES, budget, MonotonicClock())
        port = free_ports(1)[0]
        await listener.start_when_free(Address(HOST, port))
        try:
            await asyncio.wait_for(scenario(port), LIMIT_S)
        finally:
            listener.close()

    asyncio.run(run())


async def _head_of_response(sent: bytes, port: int) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    head = await reader.readuntil(b'\r\n\r\n')
    writer.transport.abort()
    return head


def test_kept_connection_serves_one_request_after_the_other():
    """Guards against callers that have to connect for each poll."""

    async def scenario(port: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        for _ in range(3):
            writer.write(POLL)
            assert (await reader.readuntil(b'/state')).startswith(b'HTTP/1.1 200')
        writer.close()

    _run(scenario)


def test_failure_of_the_handler_is_answered():
    """Guards against a connection that hangs after an internal error."""

    async def scenario(port: int) -> None:
        head = await _head_of_response(POLL.replace(b'state', b'broken'), port)
        assert head.startswith(b'HTTP/1.1 500')

    _run(scenario)


def test_endless_head_is_refused():
    """Guards against a stranger that makes the node hold what it sends."""

    async def scenario(port: int) -> None:
        sent = b'GET / HTTP/1.1\r\nX: ' + b'x' * 2 * LIMITS.header_bytes
        head = await _head_of_response(sent, port)
        assert head.startswith((b'HTTP/1.1 431', b'HTTP/1.1 400'))

    _run(scenario)


def test_large_body_is_refused_before_it_is_read():
    """Guards against a report of any size that is held in memory."""

    async def scenario(port: int) -> None:
        sent = b'POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 200000000\r\n\r\n'
        head = await _head_of_response(sent, port)
        assert head.startswith(b'HTTP/1.1 413')

    _run(scenario)


def test_idle_connections_of_strangers_make_room():
    """Guards against polls that fail as others hold all connections."""

    async def scenario(port: int) -> None:
        strangers = [
            await asyncio.open_connection(HOST, port)
            for _ in range(CONNECTIONS.callers + CONNECTIONS.surplus)
        ]
        await asyncio.sleep(1.1)
        assert (await _head_of_response(POLL, port)).startswith(b'HTTP/1.1 200')
        for _, writer in strangers:
            writer.close()

    _run(scenario)
