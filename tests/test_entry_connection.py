"""Tests of the connections of callers, without the forwarding behind them."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import MonotonicClock
from gentianmill.route_rules import RequestLimits
from gentianmill_mesh.entry_connection import EntryConnection, EntryHandler
from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.mesh_settings import ReadAheadSettings
from mesh_upstream import NAMES
from standins.processes import HOST

LIMIT_S = 5
LONG_BODY = b'x' * 16_000_000
"""More than a connection to a reader with a small buffer holds; the kernel buffers up
to 4 MB for the sender."""

SMALL_BUFFER_BYTES = 65_536
"""Receive buffer of a slow reader; the kernel lets others grow to tens of MB."""

MAX_BODY_BYTES = 1000
GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
LAST_GET = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'


class _Responder(EntryHandler):
    """Respond to each request at once."""

    def __init__(self, response: HttpResponse, *, closing: bool = False) -> None:
        self.started: list[CallerRequest] = []
        self.connections: list[EntryConnection] = []
        self._response = response
        self._closing = closing
        self._budget = ByteBudget(100_000_000)

    @property
    def closing(self) -> bool:
        return self._closing

    @property
    def limits(self) -> RequestLimits:
        return RequestLimits(65_536, MAX_BODY_BYTES, 3000, 15_000)

    @property
    def budget(self) -> ByteBudget:
        return self._budget

    def may_run_ahead(self, caller: CallerRequest) -> bool:
        return True

    def start(self, exchange: EntryExchange, connection: EntryConnection) -> None:
        self.started.append(exchange.caller)
        exchange.response = self._response

    def refuse(self, caller: CallerRequest, reason: str) -> HttpResponse:
        return HttpResponse(503, [], b'')

    def opened(self, connection: EntryConnection) -> None:
        self.connections.append(connection)

    def closed(self, connection: EntryConnection) -> None:
        self.connections.remove(connection)


async def _serve(handler: EntryHandler) -> asyncio.Server:
    return await asyncio.get_running_loop().create_server(
        lambda: EntryConnection(
            handler, NAMES, ReadAheadSettings(requests=4), MonotonicClock()
        ),
        HOST,
        0,
    )


def _port(server: asyncio.Server) -> int:
    return server.sockets[0].getsockname()[1]


def _converse(
    handler: EntryHandler,
    talk: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[object]],
) -> object:
    async def scenario() -> object:
        server = await _serve(handler)
        reader, writer = await asyncio.open_connection(HOST, _port(server))
        try:
            return await asyncio.wait_for(talk(reader, writer), LIMIT_S)
        finally:
            writer.close()
            server.close()

    return asyncio.run(scenario())


def _exchange(
    response: HttpResponse, request: bytes, *, closing: bool = False
) -> tuple[bytes, bool]:
    """Return what a caller reads, and whether the node closed the connection."""

    async def talk(reader, writer) -> tuple[bytes, bool]:
        writer.write(request)
        received = b''
        try:
            while chunk := await asyncio.wait_for(reader.read(65536), 0.5):
                received += chunk
        except TimeoutError:
            return received, False
        return received, True

    return _converse(_Responder(response, closing=closing), talk)


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


def test_head_request_gets_no_body():
    """Guards against a body that the caller takes for the next response."""
    response = HttpResponse(200, [], b'body')
    received, _ = _exchange(response, GET.replace(b'GET', b'HEAD'))
    assert received == b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'


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
    handler = _Responder(HttpResponse(200, [], LONG_BODY))

    async def scenario() -> None:
        server = await _serve(handler)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.connect((HOST, _port(server)))
        reader, writer = await asyncio.open_connection(sock=caller)
        writer.write(GET * 5)
        await asyncio.sleep(0.3)
        assert len(handler.started) == 1
        async with asyncio.timeout(LIMIT_S):
            for _ in range(5):
                await reader.readuntil(b'\r\n\r\n')
                assert await reader.readexactly(len(LONG_BODY)) == LONG_BODY
        writer.close()
        server.close()

    asyncio.run(scenario())
    assert len(handler.started) == 5


@pytest.mark.parametrize('size', [10, 4_000_000])
@pytest.mark.parametrize('request_line', [b'HTTP/1.1', b'HTTP/1.0'])
def test_body_without_a_length_is_reset_if_the_node_ends(
    size: int, request_line: bytes
):
    """Guards against half a body that looks complete as the node was killed or stopped.

    The kernel closes the connections of a killed process, by their linger times.
    """
    handler = _Responder(HttpResponse(200, [], bytes(size), framed=False))
    lingers = []

    async def talk(reader, writer) -> bytes | None:
        writer.write(GET.replace(b'HTTP/1.1', request_line))
        await reader.readuntil(b'\r\n\r\n')
        sock = handler.connections[0].transport.get_extra_info('socket')
        lingers.append(sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8))
        if size == 10:
            return await reader.read()
        handler.connections[0].abort()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        return None

    received = _converse(handler, talk)
    assert lingers == [struct.pack('ii', 1, 0)]
    assert received in {None, bytes(10)}


def test_whole_response_that_is_cut_is_reset():
    """Guards against an ordinary close in the midst of a response."""
    handler = _Responder(HttpResponse(200, [], LONG_BODY))

    async def talk(reader, writer) -> None:
        writer.write(GET)
        await reader.readuntil(b'\r\n\r\n')
        handler.connections[0].abort()
        with pytest.raises(ConnectionResetError):
            await reader.read()

    _converse(handler, talk)


def test_slow_reader_gets_all_of_the_last_response():
    """Guards against cutting a response whose reader is slower than the close."""
    response = HttpResponse(200, [], LONG_BODY)

    async def talk(reader, writer) -> bytes:
        writer.write(LAST_GET)
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(1.5)
        return await reader.read()

    assert _converse(_Responder(response), talk) == LONG_BODY


def test_thousands_of_requests_in_one_segment_are_answered():
    """Guards against a depth of calls that grows with the requests of a segment."""
    count = 20_000
    handler = _Responder(HttpResponse(204, [], b''))

    async def talk(reader, writer) -> bytes:
        writer.write(GET * count)
        return await reader.readexactly(count * len(b'HTTP/1.1 204 No Content\r\n\r\n'))

    assert _converse(handler, talk).count(b'204') == count
    assert len(handler.started) == count


def test_what_follows_the_last_response_is_dropped():
    """Guards against a reset, by unread bytes, that destroys the last response."""
    handler = _Responder(HttpResponse(200, [], b'body'))

    async def talk(reader, writer) -> bytes:
        writer.write(LAST_GET + GET * 100)
        await asyncio.sleep(0.1)
        writer.write(GET * 100)
        await asyncio.sleep(0.1)
        return await reader.read()

    assert _converse(handler, talk).endswith(b'body')
    assert len(handler.started) == 1


def test_body_beyond_the_limit_is_refused_before_it_ends():
    """Guards against a body that fills the memory before its length is checked."""
    post = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n'
    handler = _Responder(HttpResponse(200, [], b''))

    async def talk(reader, writer) -> bytes:
        writer.write(post + b'x' * (MAX_BODY_BYTES + 1))
        return await reader.read()

    assert _converse(handler, talk).startswith(b'HTTP/1.1 413 ')
    assert not handler.started


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET / HTTP/1.1\r\nHost:', b'408'),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1', b'408'),
        (b'', b''),
        (GET, b'204'),
    ],
)
def test_silent_callers_lose_their_connection(sent: bytes, status: bytes):
    """Guards against connections that are held open by callers that send nothing."""
    handler = _Responder(HttpResponse(204, [], b''))

    async def talk(reader, writer) -> bytes:
        writer.write(sent)
        await asyncio.sleep(0.2)
        handler.connections[0].check_timeouts(100, 100)
        return await reader.read()

    assert _converse(handler, talk)[9:12] == status


def test_busy_callers_keep_their_connection():
    """Guards against a time limit for idle callers that ends those who are not."""
    handler = _Responder(HttpResponse(204, [], b''))

    async def talk(reader, writer) -> int:
        for _ in range(5):
            writer.write(GET)
            await asyncio.sleep(0.08)
            handler.connections[0].check_timeouts(100, 100)
        return (await reader.read(4096)).count(b'204')

    assert _converse(handler, talk) == 5


def test_request_that_crosses_the_close_of_an_idle_connection_stays_unread():
    """Guards against a request that is read during a stop and gets no answer."""
    handler = _Responder(HttpResponse(204, [], b''))

    async def talk(reader, writer) -> bytes:
        writer.write(GET)
        await reader.readuntil(b'\r\n\r\n')
        connection = handler.connections[0]
        connection.close_if_idle()
        connection.data_received(GET)
        try:
            writer.write(GET)
            return await reader.read()
        except ConnectionResetError:
            # The request was not read.
            return b''

    assert _converse(handler, talk) == b''
    assert len(handler.started) == 1
