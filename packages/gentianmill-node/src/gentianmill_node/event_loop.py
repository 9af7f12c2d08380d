"""The event loop of the node."""

import os
import socket
from typing import Any

import uvloop


class EventLoop(uvloop.Loop):
    """A uvloop that looks up numeric addresses without its thread pool."""

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


def new_event_loop() -> EventLoop:
    """Create the loop of the process without io_uring, which uvloop uses if let."""
    os.environ['UV_USE_IO_URING'] = '0'
    return EventLoop()
