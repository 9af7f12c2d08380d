"""Tests that a reset is noticed on the event loop of the nodes."""

import asyncio
import contextlib
import socket
import struct
import threading

from gentianmill.clock import MonotonicClock
from gentianmill_mesh.upstream_connection import UpstreamLostError
from gentianmill_mesh.upstream_pool import UpstreamPool
from gentianmill_node.event_loop import new_event_loop
from mesh_upstream import NAMES, request

RUNS = 50
CALLERS = 20
HALF = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nhalf of it'


def _serve(server: socket.socket) -> None:
    """Send half a body to each request, and reset its connection at once."""
    with contextlib.suppress(OSError):
        for _ in range(RUNS * CALLERS):
            peer, _ = server.accept()
            peer.recv(65_536)
            peer.sendall(HALF)
            linger = struct.pack('ii', 1, 0)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            peer.close()


def _may_not_resend() -> bool:
    return False


async def _count_whole(pool: UpstreamPool) -> int:
    whole = 0
    for _ in range(RUNS):
        with contextlib.suppress(UpstreamLostError):
            await pool.run(request(), b'1', [], True, 3, _may_not_resend)
            whole += 1
    return whole


def test_body_that_is_reset_as_it_arrives_is_lost():
    """Guards against half a body that is taken for whole.

    Bytes and reset arrive together here, which libuv reports as the end of the stream.
    """

    async def scenario(port: int) -> int:
        pool = UpstreamPool('127.0.0.1', port, NAMES, MonotonicClock())
        counts = await asyncio.gather(*(_count_whole(pool) for _ in range(CALLERS)))
        return sum(counts)

    with socket.create_server(('127.0.0.1', 0), backlog=100) as server:
        threading.Thread(target=_serve, args=(server,), daemon=True).start()
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            whole = runner.run(scenario(server.getsockname()[1]))
        server.shutdown(socket.SHUT_RDWR)
    assert whole == 0
