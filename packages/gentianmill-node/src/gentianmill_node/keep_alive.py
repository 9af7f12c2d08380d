"""TCP options with which the kernel notices a connection that has fallen silent."""

import dataclasses
import functools
import socket
from asyncio.trsock import TransportSocket
from collections.abc import Callable
from typing import Any

__all__ = ('KeepAlive', 'socket_factory')


@dataclasses.dataclass(frozen=True, slots=True)
class KeepAlive:
    """Bounds on the silence of a connection."""

    idle_s: int
    """Time in s without received data until the first probe."""

    interval_s: int
    """Time in s between two probes."""

    probes: int
    """Probes without an answer after which the kernel aborts the connection."""

    timeout_ms: int = 0
    """Time in ms for which sent data may stay unacknowledged or a peer may not read
    before the kernel aborts the connection; if not 0, it also replaces ``probes``."""

    def apply(self, sock: socket.socket | TransportSocket) -> None:
        """Set the options of a TCP socket.

        Raises:
            OSError: If the kernel rejects an option.
        """
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, self.probes)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.timeout_ms)


def socket_factory(keep_alive: KeepAlive) -> Callable[[Any], socket.socket]:
    """Return a function that creates the sockets of a client of aiohttp.

    Args:
        keep_alive: Options of each socket.
    """
    return functools.partial(_create_socket, keep_alive)


def _create_socket(keep_alive: KeepAlive, address: Any) -> socket.socket:
    family, kind, protocol, *_ = address
    sock = socket.socket(family, kind, protocol)
    keep_alive.apply(sock)
    return sock
