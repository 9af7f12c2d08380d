"""A faulty upstream that sends unbounded responses until the caller disconnects."""

import asyncio
import resource
import types
from collections.abc import Coroutine
from typing import Any, TypeVar

OK = b'HTTP/1.1 200 OK\r\n'
BLOCK = b'x' * 65_536
KIB = 1024

_Content = TypeVar('_Content')


class EndlessUpstream:
    """Send a start and then the same block repeatedly on each connection."""

    def __init__(self, start: bytes, block: bytes, pause_s: float = 0) -> None:
        """Create an upstream that does not listen yet.

        Args:
            start: Bytes sent first after each request head.
            block: Bytes repeated after that without end.
            pause_s: Delay between the start and the first block, in s.
        """
        self._start = start
        self._block = block
        self._pause_s = pause_s
        self._server: asyncio.Server | None = None
        self._client_closed = asyncio.Event()

    @property
    def client_closed(self) -> asyncio.Event:
        """Return the event that is set once the caller has closed its connection."""
        return self._client_closed

    @property
    def port(self) -> int:
        """Return the TCP port."""
        return self._server.sockets[0].getsockname()[1]

    async def __aenter__(self) -> 'EndlessUpstream':
        """Listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._start)
            await asyncio.sleep(self._pause_s)
            while True:
                writer.write(self._block)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            self._client_closed.set()
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()


def peak_growth_bytes(work: Coroutine[Any, Any, _Content]) -> tuple[_Content, int]:
    """Run a coroutine; return its result and the growth of the peak memory."""
    before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    result = asyncio.run(work)
    after_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return result, (after_kib - before_kib) * KIB
