"""Tests of responses that are sent to callers in one piece."""

import asyncio
import socket

import pytest
from aiohttp import web
from gentianmill_mesh.buffered_response import BufferedResponse
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_node.direct_server import direct_server
from gentianmill_node.web_server import WebServer
from standins.processes import HOST, free_ports

LIMIT_S = 5
LONG_BODY = b'x' * 16_000_000
"""More than a connection to a reader with a small buffer holds; the kernel buffers up
to 4 MB for the sender."""

SMALL_BUFFER_BYTES = 65_536
"""Receive buffer of a slow reader; the kernel lets others grow to tens of MB."""

GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
LAST_GET = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'


def _exchange(
    response: HttpResponse, request: bytes, *, closing: bool = False
) -> tuple[bytes, bool]:
    """Return what a caller reads, and whether the node closed the connection."""

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        return BufferedResponse(response, closing=closing)

    async def scenario() -> tuple[bytes, bool]:
        server = WebServer()
        port = free_ports(1)[0]
        await server.start('entry', direct_server(handle, 1000), HOST, port, None)
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(request)
        received = b''
        closed = True
        try:
            while chunk := await asyncio.wait_for(reader.read(65536), 0.5):
                received += chunk
        except TimeoutError:
            closed = False
        writer.close()
        await server.close()
        return received, closed

    return asyncio.run(scenario())


def test_headers_are_passed_on_byte_for_byte():
    """Guards against decoding headers as text, which alters non-UTF-8 bytes."""
    response = HttpResponse(200, [[b'X-Name', b'\xe9t\xe9']], b'body')
    received, closed = _exchange(response, GET)
    assert received == (
        b'HTTP/1.1 200 OK\r\nX-Name: \xe9t\xe9\r\nContent-Length: 4\r\n\r\nbody'
    )
    assert not closed


@pytest.mark.parametrize('status', [204, 304])
def test_responses_without_a_body_have_no_length(status: int):
    """Guards against a caller that waits for a body that never comes."""
    received, _ = _exchange(HttpResponse(status, [], b''), GET)
    assert b'Content-Length' not in received
    assert received.endswith(b'\r\n\r\n')


def test_connection_closes_if_the_caller_or_the_node_asks_for_it():
    """Guards against a stopping node that gets requests on connections it left open."""
    response = HttpResponse(200, [], b'body')
    for request, closing in ((LAST_GET, False), (GET, True)):
        received, closed = _exchange(response, request, closing=closing)
        assert closed
        assert b'Connection: close' in received


def test_unknown_statuses_are_passed_on():
    """Guards against refusing a status that the HTTP library does not know."""
    received, _ = _exchange(HttpResponse(299, [], b'body'), GET)
    assert received.startswith(b'HTTP/1.1 299 ')


def test_a_slow_reader_delays_its_own_next_request():
    """Guards against unread responses that accumulate in the node's memory."""
    started = []

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        started.append(len(started))
        return BufferedResponse(HttpResponse(200, [], LONG_BODY), closing=False)

    async def scenario() -> None:
        server = WebServer()
        port = free_ports(1)[0]
        await server.start('entry', direct_server(handle, 1000), HOST, port, None)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.connect((HOST, port))
        reader, writer = await asyncio.open_connection(sock=caller)
        writer.write(GET * 5)
        await asyncio.sleep(0.3)
        assert len(started) == 1
        async with asyncio.timeout(LIMIT_S):
            for _ in range(5):
                await reader.readuntil(b'\r\n\r\n')
                assert await reader.readexactly(len(LONG_BODY)) == LONG_BODY
        writer.close()
        await server.close()

    asyncio.run(scenario())
    assert len(started) == 5
