"""Tests of what the event loop of a node does differently from uvloop."""

import asyncio
import gc
import socket

import pytest
from gentianmill_node.event_loop import new_event_loop


async def _cancel_connecting() -> int:
    """Cancel connecting on a given socket; return the descriptor the socket then owns."""
    loop = asyncio.get_running_loop()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, listener.getsockname())
        connecting = asyncio.ensure_future(
            loop.create_connection(asyncio.Protocol, sock=sock)
        )
        await asyncio.sleep(0)
        connecting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await connecting
        return sock.fileno()


def test_cancelled_connection_leaves_no_owner_of_its_descriptor():
    """Guards against a garbage-collected socket that closes another's descriptor.

    The descriptor had been reused, and responses of other connections were mixed up.
    """
    loop = new_event_loop()
    try:
        assert loop.run_until_complete(_cancel_connecting()) == -1
    finally:
        loop.close()
        gc.collect()


def test_connection_on_a_given_socket_works():
    """Guards against a loop that breaks aiohttp, which passes its own sockets to it."""

    async def connect() -> bool:
        loop = asyncio.get_running_loop()
        with socket.create_server(('127.0.0.1', 0)) as listener:
            sock = socket.socket()
            sock.setblocking(False)
            await loop.sock_connect(sock, listener.getsockname())
            transport, _ = await loop.create_connection(asyncio.Protocol, sock=sock)
            is_open = not transport.is_closing()
            transport.close()
            return is_open

    loop = new_event_loop()
    try:
        assert loop.run_until_complete(connect())
    finally:
        loop.close()
