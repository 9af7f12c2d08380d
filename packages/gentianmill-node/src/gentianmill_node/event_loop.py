"""The event loop of the node."""

import asyncio
import os
import socket
from collections.abc import Callable
from typing import Any

import uvloop


class EventLoop(uvloop.Loop):
    """A uvloop with two workarounds for the way in which aiohttp connects.

    It resolves numeric addresses without the thread pool, and a connection attempt
    that is cancelled leaves no second owner of its file descriptor.
    """

    async def getaddrinfo(
        self,
        host: Any,
        port: Any,
        *,
        family: int = 0,
        type: int = 0,
        proto: int = 0,
        flags: int = 0,
    ) -> list[Any]:
        """Return the addresses of a host, as the base class does.

        uvloop parses a numeric address itself only if the socket type is given.
        ``sock_connect``, which aiohttp uses for each new connection, passes none,
        so each connection would cost a round trip through a thread of the pool.

        Args:
            host: Name or numeric address.
            port: Port number or service name.
            family: Address family; 0 stands for any.
            type: Socket type; 0 stands for a stream socket, unlike in the base class.
            proto: Protocol number; 0 stands for any.
            flags: Flags of ``socket.getaddrinfo``.

        Returns:
            Tuples of family, type, protocol, canonical name and address.
        """
        return await super().getaddrinfo(
            host,
            port,
            family=family,
            type=type or socket.SOCK_STREAM,
            proto=proto,
            flags=flags,
        )

    async def create_connection(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: socket.socket | None = None,
        **options: Any,
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Connect, as the base class does.

        If the call is cancelled, uvloop closes the file descriptor of ``sock``, but
        the socket object still refers to it. When that object is garbage collected,
        it closes the same descriptor number again. By then the number may belong to
        another connection, and the responses of two connections get mixed up. The
        socket is therefore detached from its descriptor on failure.

        Args:
            protocol_factory: Returns the protocol of the connection.
            host: Host to connect to, without a socket.
            port: Its port.
            sock: A connected socket, whose ownership passes to the loop.
            options: Further options of the base class.
        """
        try:
            return await super().create_connection(
                protocol_factory, host, port, sock=sock, **options
            )
        except BaseException:
            if sock is not None:
                sock.detach()
            raise


def new_event_loop() -> EventLoop:
    """Create the event loop without io_uring, which uvloop would otherwise use."""
    os.environ['UV_USE_IO_URING'] = '0'
    return EventLoop()
