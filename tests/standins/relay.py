"""A TCP relay between nodes that partitions, delays, drops and alters their traffic.

The nodes bind 127.0.0.1 and announce addresses on which the relay listens. The relay
identifies the node at each end of a connection: the target by the announced address,
the source by the owner of its socket in /proc. A cut stops forwarding until it is
healed, as if the network lost all packets and TCP then retransmitted them.
"""

import asyncio
import contextlib
import dataclasses
import operator
import os
import threading
from collections.abc import Callable, Collection, Coroutine, Iterable
from pathlib import Path
from typing import Any

from standins.processes import HOST, Deployment, Pair
from standins.socket_inode import socket_inode

TABLE = 'table'
TABLE_HOST = '127.0.0.250'
PEER = 'peer'
CONTROL = 'control'
CHUNK_BYTES = 64 * 1024
POLL_S = 0.01
CLOSE_LIMIT_S = 10

Direction = tuple[str, str]
"""Endpoints of the sender and of the receiver."""


def relay_host(number: int) -> str:
    """Return the address that the node with a number announces."""
    return f'127.0.0.{number + 2}'


@dataclasses.dataclass(frozen=True)
class Chunk:
    """Bytes of one read from a connection to a listener of a node."""

    direction: Direction
    listener: str
    content: bytes


@dataclasses.dataclass(eq=False)
class _Link:
    direction: Direction
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]


class Relay:
    """Forwards TCP between the nodes of a deployment in its own thread.

    ``alter`` returns the bytes to forward for a chunk; if they are fewer than the
    chunk, the connection is closed.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Create a relay for nodes that announce ``relay_host`` of their index."""
        self.alter: Callable[[Chunk], bytes] = operator.attrgetter('content')
        self.delay_s = float()
        self._pairs = deployment.pairs
        self._platform_port = deployment.platform_port
        self._cut: frozenset[Direction] = frozenset()
        self._links: set[_Link] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def start(self) -> None:
        """Listen on the announced addresses and on the address of the table."""
        self._thread.start()
        self._run(self._listen())

    def close(self) -> None:
        """Drop all connections and end the thread."""
        self.heal()
        self._run(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def cut(self, senders: Iterable[str], receivers: Collection[str]) -> None:
        """Stop forwarding from one group of endpoints to another, on all connections."""
        self._cut |= {(first, last) for first in senders for last in receivers}

    def cut_both(self, one: Collection[str], other: Collection[str]) -> None:
        """Stop forwarding between two groups of endpoints."""
        self.cut(one, other)
        self.cut(other, one)

    def heal(self) -> None:
        """Forward everything again, starting with the delayed bytes."""
        self._cut = frozenset()

    def drop(self, one: Collection[str], other: Collection[str]) -> None:
        """Abort the open connections between two groups; delayed bytes are lost."""

        self._run(self._abort({(first, second) for first in one for second in other}))

    async def _abort(self, directions: set[Direction]) -> None:
        for link in self._links:
            if directions & {link.direction, _reversed(link.direction)}:
                for end in link.writers:
                    end.transport.abort()

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(CLOSE_LIMIT_S)

    async def _listen(self) -> None:
        for number, pair in enumerate(self._pairs):
            for listener in (PEER, CONTROL):
                address = (relay_host(number), pair.ports[listener])
                await self._serve(pair.spec.endpoint, listener, address)
        await self._serve(TABLE, TABLE, (TABLE_HOST, self._platform_port))

    async def _serve(self, target: str, listener: str, address: tuple[str, int]):
        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            ends = (writer.get_extra_info(name) for name in ('peername', 'sockname'))
            source = _owner(socket_inode(*ends), self._pairs)
            target_streams = await self._connect(address[1]) if source else None
            if target_streams is None:
                writer.transport.abort()
                return
            direction = (source, target)
            link = _Link(direction, (writer, target_streams[1]))
            self._links.add(link)
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await asyncio.gather(
                    self._forward(reader, target_streams[1], direction, listener),
                    self._forward(
                        target_streams[0], writer, _reversed(direction), listener
                    ),
                )
            self._links.discard(link)
            for end in link.writers:
                end.close()

        await asyncio.start_server(accept, *address)

    async def _connect(self, port: int):
        with contextlib.suppress(OSError):
            return await asyncio.open_connection(HOST, port)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        listener: str,
    ) -> None:
        while True:
            content = await reader.read(CHUNK_BYTES)
            await asyncio.sleep(self.delay_s)
            while direction in self._cut:
                await asyncio.sleep(POLL_S)
            forwarded = self.alter(Chunk(direction, listener, content))
            writer.write(forwarded)
            await writer.drain()
            if not content or len(forwarded) < len(content):
                raise ConnectionResetError

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _reversed(direction: Direction) -> Direction:
    return direction[1], direction[0]


def _owner(inode: int, pairs: list[Pair]) -> str:
    """Return the endpoint of the node that owns a socket, or an empty string."""
    for pair in pairs:
        if pair.node and _has_open(pair.node.pid, f'socket:[{inode}]'):
            return pair.spec.endpoint
    return ''


def _has_open(pid: int, socket_name: str) -> bool:
    for file in Path(f'/proc/{pid}/fd').glob('*'):
        # Files may be closed while the folder is read.
        with contextlib.suppress(OSError):
            if os.readlink(file) == socket_name:
                return True
    return False
