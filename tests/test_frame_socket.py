"""Tests of the connections that carry frames between nodes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus

import aiohttp
import pytest
from aiohttp import web
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill_mesh.frame_handshake import (
    FrameAcceptor,
    HandshakeRefusedError,
    accept_frames,
    open_frames,
)
from gentianmill_mesh.frame_socket import FrameReceiver, FrameSocket
from gentianmill_node.web_server import WebServer
from standins.processes import HOST, free_ports

PATH = '/relay'
LIMIT_S = 5
LARGE = b'x' * 3_000_000


class _Log(FrameReceiver):
    """Record what arrives; the message ``bad`` is not valid, ``fault`` is a bug."""

    def __init__(self) -> None:
        self.messages: asyncio.Queue[bytes] = asyncio.Queue()
        self.pongs: asyncio.Queue[bytes] = asyncio.Queue()
        self.closed = asyncio.Event()
        self.socket: FrameSocket | None = None

    def on_received(self) -> None:
        """Do nothing."""

    def on_message(self, message: bytes) -> None:
        if message == b'bad':
            raise GentianmillError(ErrorCode.protocol, 'test', '', 'bad message')
        if message == b'fault':
            raise KeyError('bug')
        self.messages.put_nowait(message)

    def on_pong(self, key: bytes) -> None:
        self.pongs.put_nowait(key)

    def on_writable(self) -> None:
        """Do nothing."""

    def on_closed(self) -> None:
        self.closed.set()


class _Acceptor(FrameAcceptor):
    """Accept the handshakes that carry a name."""

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[_Log] = asyncio.Queue()

    @property
    def response_headers(self) -> Mapping[str, str]:
        return {'X-Name': 'server'}

    def refusal(self, headers: Mapping[str, str]) -> HTTPStatus | None:
        return None if 'X-Name' in headers else HTTPStatus.MISDIRECTED_REQUEST

    def receiver(self, headers: Mapping[str, str]) -> FrameReceiver:
        return _Log()

    def opened(self, receiver: FrameReceiver, socket: FrameSocket) -> None:
        receiver.socket = socket
        self.accepted.put_nowait(receiver)


@contextlib.asynccontextmanager
async def _listening() -> AsyncIterator[tuple[_Acceptor, int]]:
    acceptor = _Acceptor()
    server = await asyncio.get_running_loop().create_server(
        lambda: accept_frames(PATH, acceptor), HOST, 0
    )
    yield acceptor, server.sockets[0].getsockname()[1]
    server.close()


async def _connected(acceptor: _Acceptor, port: int) -> tuple[_Log, _Log]:
    own = _Log()
    opened = await open_frames(HOST, port, PATH, {'X-Name': 'client'}, own)
    own.socket = opened[0]
    assert opened[1]['X-Name'] == 'server'
    return own, await acceptor.accepted.get()


def _run(scenario) -> None:
    async def limited() -> None:
        async with _listening() as (acceptor, port):
            await scenario(acceptor, port)

    asyncio.run(asyncio.wait_for(limited(), LIMIT_S))


def test_messages_and_pings_go_both_ways():
    """Guards against a side that masks, or answers pings, wrongly."""

    async def scenario(acceptor: _Acceptor, port: int) -> None:
        client, server = await _connected(acceptor, port)
        for sender, receiver in ((client, server), (server, client)):
            for message in (b'', b'a', LARGE):
                sender.socket.send(message)
                assert await receiver.messages.get() == message
            sender.socket.ping(b'key')
            assert await sender.pongs.get() == b'key'
        client.socket.close()
        await server.closed.wait()
        await client.closed.wait()

    _run(scenario)


@pytest.mark.parametrize('message', [b'bad', b'fault'])
def test_invalid_message_closes_only_its_connection(message: bytes):
    """Guards against one malformed message that takes the process or other links down."""

    async def scenario(acceptor: _Acceptor, port: int) -> None:
        client, server = await _connected(acceptor, port)
        other, other_server = await _connected(acceptor, port)
        client.socket.send(message)
        await server.closed.wait()
        await client.closed.wait()
        other.socket.send(b'still here')
        assert await other_server.messages.get() == b'still here'
        other.socket.close()
        await other_server.closed.wait()

    _run(scenario)


@pytest.mark.parametrize(
    ('path', 'headers', 'status'), [(PATH, {}, '421'), ('/', {'X-Name': 'x'}, '404')]
)
def test_refused_handshake_is_reported(path: str, headers: dict, status: str):
    """Guards against a connection to a node that does not want it."""

    async def scenario(_acceptor: _Acceptor, port: int) -> None:
        with pytest.raises(HandshakeRefusedError, match=status):
            await open_frames(HOST, port, path, headers, _Log())

    _run(scenario)


@pytest.mark.parametrize(
    'sent', [b'\x00\r\n\r\n', b'GET /relay HTTP/1.1\r\nHost: h\r\n\r\n', b'']
)
def test_connection_without_a_handshake_is_closed(sent: bytes):
    """Guards against what is no handshake and holds a connection open."""

    async def scenario(_acceptor: _Acceptor, port: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(sent)
        writer.write_eof()
        received = await reader.read()
        writer.close()
        assert not received or b' 400 ' in received

    _run(scenario)


def test_peer_that_closes_in_the_handshake_is_reported():
    """Guards against a connection attempt that never ends."""

    async def close(_reader, writer) -> None:
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(close, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(HandshakeRefusedError):
            await open_frames(HOST, port, PATH, {}, _Log())
        server.close()

    asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))


def test_client_of_an_older_version_is_understood():
    """Guards against a link that breaks while nodes of two versions run together."""

    async def scenario(acceptor: _Acceptor, port: int) -> None:
        async with aiohttp.ClientSession() as session:
            url = f'http://{HOST}:{port}{PATH}'
            async with session.ws_connect(
                url, headers={'X-Name': 'old'}, compress=0, autoping=False
            ) as old:
                new = await acceptor.accepted.get()
                await old.send_bytes(LARGE)
                assert await new.messages.get() == LARGE
                new.socket.send(LARGE)
                assert await old.receive_bytes() == LARGE
                await old.ping(b'key')
                assert (await old.receive()).type is aiohttp.WSMsgType.PONG

    _run(scenario)


def test_server_of_an_older_version_is_understood():
    """Guards against a link that breaks while nodes of two versions run together."""

    async def echo(request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(compress=False)
        await socket.prepare(request)
        async for message in socket:
            await socket.send_bytes(message.data)
        return socket

    async def scenario() -> None:
        app = web.Application()
        app.router.add_get(PATH, echo)
        server = WebServer()
        port = free_ports(1)[0]
        await server.start('old', app, HOST, port, None)
        new = _Log()
        socket, _ = await open_frames(HOST, port, PATH, {}, new)
        socket.send(LARGE)
        assert await new.messages.get() == LARGE
        socket.ping(b'key')
        assert await new.pongs.get() == b'key'
        socket.close()
        await new.closed.wait()
        await server.close()

    asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))


def test_peer_that_is_slow_gets_all_messages_of_a_side_that_finishes():
    """Guards against a reset, by what the peer still sends, that destroys messages."""

    async def scenario(acceptor: _Acceptor, port: int) -> None:
        client, server = await _connected(acceptor, port)
        transport = client.socket._transport  # noqa: SLF001
        transport.pause_reading()
        for _ in range(5):
            server.socket.send(LARGE)
        assert server.socket.is_sending
        server.socket.finish()
        with pytest.raises(ConnectionError):
            server.socket.send(b'late')
        for _ in range(5):
            client.socket.send(LARGE)
            await asyncio.sleep(0.02)
        transport.resume_reading()
        received = [await client.messages.get() for _ in range(5)]
        assert received == [LARGE, LARGE, LARGE, LARGE, LARGE]
        await server.closed.wait()
        assert server.messages.empty()

    _run(scenario)
