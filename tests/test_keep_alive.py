"""Tests that the kernel aborts a connection that has fallen silent."""

import asyncio
import errno
import socket
from collections.abc import Callable

from gentianmill_node.keep_alive import KeepAlive
from silent_socket import silence
from standins.processes import HOST

SETTINGS = KeepAlive(idle_s=1, interval_s=1, probes=1, timeout_ms=1500)
LIMIT_S = 9
"""Time within which a change must reach all nodes (docs/CAPACITY.md)."""


async def _wait_on_silent_connection(
    before_silence: Callable[[socket.socket], None],
    after_silence: Callable[[socket.socket], None],
) -> int | None:
    """Read from a connection that falls silent; return the number of the error."""
    loop = asyncio.get_running_loop()
    with socket.create_server((HOST, 0)) as server, socket.socket() as sock:
        SETTINGS.apply(sock)
        sock.setblocking(False)
        await loop.sock_connect(sock, server.getsockname())
        peer, _ = server.accept()
        with peer:
            before_silence(sock)
            silence(peer)
            after_silence(sock)
            try:
                await asyncio.wait_for(loop.sock_recv(sock, 1), LIMIT_S)
            except OSError as error:
                return error.errno
    return None


def _ignore(_sock: socket.socket) -> None:
    """Send nothing."""


def _send(sock: socket.socket) -> None:
    sock.send(b'request')


def test_idle_connection_that_is_silent_is_aborted():
    """Guards against a poll that waits for its whole time on a silent connection."""
    assert asyncio.run(_wait_on_silent_connection(_send, _ignore)) == errno.ETIMEDOUT


def test_request_on_a_silent_connection_is_aborted():
    """Guards against a request on a kept connection that fell silent while idle."""
    assert asyncio.run(_wait_on_silent_connection(_ignore, _send)) == errno.ETIMEDOUT
