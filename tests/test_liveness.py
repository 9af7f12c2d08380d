"""Tests of the connection that notices the end of an upstream process."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from endless_upstream import BLOCK
from gentianmill.clock import MonotonicClock
from gentianmill_node.liveness import LivenessConnection

MOST_BLOCKS = 4096
"""Blocks of 64 KiB after which an upstream stops sending: 256 MiB."""

TIME_S = 30

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def _hold(serve: Serve, ended: asyncio.Event) -> LivenessConnection:
    """Hold a connection until the upstream says that it has ended."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    liveness = LivenessConnection('127.0.0.1', port, MonotonicClock())
    async with server:
        await liveness.start()
        await asyncio.wait_for(ended.wait(), TIME_S)
    return liveness


def test_bytes_without_end_on_an_idle_connection_are_not_kept():
    """An upstream that sends without a request filled the memory of its node."""

    async def scenario() -> tuple[bool, bool]:
        ended = asyncio.Event()
        closed_by_node = False

        async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal closed_by_node
            try:
                for block in itertools.repeat(BLOCK, MOST_BLOCKS):
                    writer.write(block)
                    await writer.drain()
            except ConnectionError:
                closed_by_node = True
            ended.set()
            writer.close()

        liveness = await _hold(serve, ended)
        lost = liveness.lost_recently()
        await liveness.close()
        return closed_by_node, lost

    assert asyncio.run(scenario()) == (True, False)


def test_end_of_the_connection_is_a_loss():
    """An upstream that died and was started again at once looked as before."""

    async def scenario() -> bool:
        ended = asyncio.Event()

        async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()
            await writer.wait_closed()
            await asyncio.sleep(0)
            ended.set()

        liveness = await _hold(serve, ended)
        while not liveness.lost_recently():
            await asyncio.sleep(0)
        await liveness.close()
        return True

    assert asyncio.run(asyncio.wait_for(scenario(), TIME_S))
