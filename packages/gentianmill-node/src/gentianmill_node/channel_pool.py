"""A bounded pool of gRPC channels to other nodes."""

import asyncio
import contextlib
import dataclasses
import ssl
from collections.abc import AsyncIterator

from grpclib.client import Channel
from grpclib.exceptions import GRPCError

from gentianmill.clock import Clock

MAX_CHANNELS = 32
"""Largest number of open channels; at 24 members, none has to be closed."""

MAX_IDLE_MS = 120_000
"""Time without a call after which a channel is closed, in ms."""

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _PooledChannel:
    channel: Channel
    used_ms: float
    users: int = 0
    is_dropped: bool = False


class ChannelPool:
    """Lend channels to callers and close the least recently used ones when full."""

    def __init__(self, clock: Clock, tls: ssl.SSLContext | None = None) -> None:
        """Create an empty pool.

        Args:
            clock: Clock for the idle time.
            tls: Context for TLS; None for plain TCP.
        """
        self._clock = clock
        self._tls = tls
        self._entries: dict[Address, _PooledChannel] = {}
        self._slots = asyncio.Semaphore(MAX_CHANNELS)

    def __len__(self) -> int:
        """Return the number of open channels."""
        return len(self._entries)

    @contextlib.asynccontextmanager
    async def lend(self, address: Address) -> AsyncIterator[Channel]:
        """Lend a channel for the duration of the block.

        Waits while ``MAX_CHANNELS`` calls are running. If the block raises anything
        but a ``GRPCError``, which is a response of the peer, the channel is removed
        from the pool and closed once its last user has finished.

        Args:
            address: Host and control port of the peer.
        """
        async with self._slots:
            entry = self._acquire(address)
            entry.users += 1
            try:
                yield entry.channel
            except GRPCError:
                raise
            except BaseException:
                self._drop(address, entry)
                raise
            finally:
                entry.users -= 1
                _close_unused(entry)

    def close_idle(self) -> None:
        """Close the channels that were not used for ``MAX_IDLE_MS``."""
        limit_ms = self._clock.now_ms() - MAX_IDLE_MS
        for address, entry in list(self._entries.items()):
            if entry.used_ms <= limit_ms:
                self._drop(address, entry)

    def close(self) -> None:
        """Close all channels."""
        for entry in self._entries.values():
            entry.channel.close()
        self._entries.clear()

    def _acquire(self, address: Address) -> _PooledChannel:
        # Removing and re-inserting the entry keeps the dict in order of last use.
        entry = self._entries.pop(address, None)
        if entry is None:
            self._evict_idle()
            host, port = address
            entry = _PooledChannel(Channel(host, port, ssl=self._tls), used_ms=0)
        entry.used_ms = self._clock.now_ms()
        self._entries[address] = entry
        return entry

    def _evict_idle(self) -> None:
        idle = [address for address, entry in self._entries.items() if not entry.users]
        excess = len(self._entries) + 1 - MAX_CHANNELS
        for address in idle[: max(excess, 0)]:
            self._drop(address, self._entries[address])

    def _drop(self, address: Address, entry: _PooledChannel) -> None:
        if self._entries.get(address) is entry:
            self._entries.pop(address)
        entry.is_dropped = True
        _close_unused(entry)


def _close_unused(entry: _PooledChannel) -> None:
    if entry.is_dropped and not entry.users:
        entry.channel.close()
