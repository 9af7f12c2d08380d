"""Tests of the connection that detects the end of an upstream process."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from endless_upstream import BLOCK
from gentianmill.clock import MonotonicClock
from gentianmill_node.liveness import LivenessConnection

MAX_BLOCKS = 4096
"""Blocks of 64 KiB after which an upstream stops sending: 256 MiB."""

TIMEOUT_S = 30

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def _connect_until(serve: Serve, ended: asyncio.Event) -> LivenessConnection:
    """Keep a connection open until the upstream reports that it has ended."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    liveness = LivenessConnection('127.0.0.1', port, MonotonicClock())
    async with server:
        await liveness.start()
        await asyncio.wait_for(ended.wait(), TIMEOUT_S)
    return liveness


def test_unbounded_bytes_on_an_idle_connection_are_not_buffered():
    """An upstream that sent bytes without a request filled its node's memory."""

    async def scenario() -> tuple[bool, bool]:
        ended = asyncio.Event()
        closed_by_node = False

        async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal closed_by_node
            try:
                for block in itertools.repeat(BLOCK, MAX_BLOCKS):
                    writer.write(block)
                    await writer.drain()
            except ConnectionError:
                closed_by_node = True
            ended.set()
            writer.close()

        liveness = await _connect_until(serve, ended)
        lost = liveness.lost_recently()
        await liveness.close()
        return closed_by_node, lost

    assert asyncio.run(scenario()) == (True, False)


def test_closed_connection_counts_as_lost():
    """A crash of an upstream that restarted at once was not detected."""

    async def scenario() -> bool:
        ended = asyncio.Event()

        async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()
            await writer.wait_closed()
            await asyncio.sleep(0)
            ended.set()

        liveness = await _connect_until(serve, ended)
        while not liveness.lost_recently():
            await asyncio.sleep(0)
        await liveness.close()
        return True

    assert asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
