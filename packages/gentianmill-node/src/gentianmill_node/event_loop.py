"""The event loop of the node."""

import asyncio
import os
import socket
from collections.abc import Callable
from typing import Any

import uvloop


class EventLoop(uvloop.Loop):
    """A uvloop with two corrections for the way in which aiohttp connects.

    It looks up numeric addresses without its thread pool, and a connection that is
    given up while it is made leaves no second owner of its file descriptor.
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
        ``sock_connect``, which aiohttp uses for each new connection, gives none,
        so each connection cost a round trip through a library thread.

        Args:
            host: Name or numeric address.
            port: Port number or service name.
            family: Address family; 0 stands for any.
            type: Socket type; 0 stands for a stream socket here.
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

        If it is cancelled, uvloop closes the descriptor of a given socket and the
        socket object does not know. Once it is collected as garbage it closes the
        same number again, which may be another connection by then, and the answers
        of two connections get mixed.

        Args:
            protocol_factory: Returns the protocol of the connection.
            host: Host to connect to, without a socket.
            port: Its port.
            sock: A connected socket, which the loop takes over.
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
    """Create the loop of the process without io_uring, which uvloop uses if let."""
    os.environ['UV_USE_IO_URING'] = '0'
    return EventLoop()
