"""Measures real node processes that hold requests with very many header lines.

One load runs at a time, with few connections. The bounds are the limits in the settings
of the nodes.
"""

import asyncio
import contextlib
import itertools
import string
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import pytest
from deployed_upstream import read_message
from memory_bed import CALLER_HOST, HOST, MB, MemoryBed

MEMORY_MB = 200
MAX_FDS = 1000
CROWD = 250
HEAD_BYTES = 16_100
"""Header lines of a request, with which its head stays below ``maxHeaderBytes``."""

PIPELINED_HEAD_BYTES = 12_000
"""Header lines of a pipelined request, whose size is computed from its fields."""

SERVICE_HEAD_BYTES = 8000
"""Header lines of a request to another listener, of which the limit is 8,192 bytes."""

SERVICE_CALLERS = 14
"""Connections to each other listener; each takes 16."""

PIPELINED = 16
"""Requests on a connection, as many as are read ahead of a response by default."""

LONG_VALUE = b'v' * 60_000
HOLD_S = 3
LIMIT_S = 90

Load = Callable[[MemoryBed], Awaitable[None]]


def _lines(pattern: bytes, size: int = HEAD_BYTES) -> bytes:
    """Return header lines of different names; ``%b`` in the pattern is the name."""
    names = itertools.product(string.ascii_letters, repeat=2)
    lines = (pattern % ''.join(name).encode() for name in itertools.cycle(names))
    return _fill(lines, size)


def _fill(lines: Iterable[bytes], size: int) -> bytes:
    taken = []
    left = size
    for line in lines:
        left -= len(line)
        if left < 0:
            break
        taken.append(line)
    return b''.join(taken)


HEADS = {
    'one-byte names without values': b'a:\r\n' * (HEAD_BYTES // 4),
    'one-byte names and values': b'a:b\r\n' * (HEAD_BYTES // 5),
    'different names': _lines(b'%b:1\r\n'),
    'different names without values': _lines(b'%b:\r\n'),
    'different names with blanks': _lines(b'%b: 12 \r\n'),
    'one repeated name': b'Cookie:xy\r\n' * (HEAD_BYTES // 11),
    'one long name': b'n' * (HEAD_BYTES - 5) + b':v\r\n',
    'folded lines': b'A: b\r\n' + b' c\r\n' * (HEAD_BYTES // 4 - 2),
    'lines without a colon': b'ab\r\n' * (HEAD_BYTES // 4),
}


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer the requests of one connection, or never, as the path says."""
    with contextlib.suppress(ConnectionError, asyncio.CancelledError):
        while (request := await read_message(reader)) is not None:
            path = request.first_line.split()[1]
            if path.endswith('/hold'):
                await asyncio.Event().wait()
            attempt = request.headers.get('attempt-id', '')
            writer.write(_answer(path, attempt))
            if path.endswith('/trailers'):
                for number in range(100):
                    writer.write(b'T%d: %b\r\n' % (number, LONG_VALUE))
                    await writer.drain()
                await asyncio.Event().wait()
    writer.close()


def _answer(path: str, attempt: str) -> bytes:
    head = f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: s\r\n'
    if path.endswith('/trailers'):
        return f'{head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n'.encode()
    more = b''
    if path.endswith('/heads'):
        more = b''.join(b'H%d: %b\r\n' % (number, b'v' * 2000) for number in range(100))
    return b'%bContent-Length: 2\r\n%b\r\nok' % (head.encode(), more)


class Crowd:
    """Connections whose responses are read and dropped."""

    def __init__(self) -> None:
        """Create a crowd without connections."""
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    def __enter__(self) -> 'Crowd':
        """Return the crowd."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def open(self, host: str, port: int) -> asyncio.StreamWriter | None:
        """Return a new connection, or None if it is not accepted."""
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            return None
        self._writers.append(writer)
        self._tasks.append(asyncio.ensure_future(_drop(reader)))
        return writer

    async def send(self, bed: MemoryBed, count: int, request: bytes) -> None:
        """Send bytes to the entry on a number of connections."""
        address = (HOST, bed.entry.entry)
        await self.send_to(address, count, request)

    async def send_to(
        self, address: tuple[str, int], count: int, request: bytes
    ) -> None:
        """Send bytes to a listener on a number of connections."""
        for _ in range(count):
            writer = await self.open(*address)
            if writer is not None:
                self._tasks.append(asyncio.ensure_future(_send(writer, request)))


async def _drop(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(ConnectionError):
        while await reader.read(65_536):
            """Drop it."""


async def _send(writer: asyncio.StreamWriter, request: bytes) -> None:
    """Send bytes in pieces, as long as the other side takes them."""
    with contextlib.suppress(ConnectionError):
        for start in range(0, len(request), 65_536):
            writer.write(request[start : start + 65_536])
            await writer.drain()


def _request(path: str, lines: bytes) -> bytes:
    host = CALLER_HOST.encode()
    return b'GET %b HTTP/1.1\r\nHost: %b\r\n%b\r\n' % (path.encode(), host, lines)


def _held(name: str) -> Load:
    async def load(bed: MemoryBed) -> None:
        with Crowd() as crowd:
            await crowd.send(bed, CROWD, _request('/read/hold', HEADS[name]))
            await asyncio.sleep(HOLD_S)

    return load


async def _pipelined(bed: MemoryBed) -> None:
    """Pipeline requests, of which the first is not answered."""
    request = _request('/read/hold', _lines(b'%b:1\r\n', PIPELINED_HEAD_BYTES))
    with Crowd() as crowd:
        await crowd.send(bed, CROWD // 5, request * PIPELINED)
        await asyncio.sleep(HOLD_S)


async def _pipelined_unsafe(bed: MemoryBed) -> None:
    """Pipeline requests that wait for each other."""
    request = _request('/pay/hold', _lines(b'%b:1\r\n', PIPELINED_HEAD_BYTES))
    with Crowd() as crowd:
        await crowd.send(bed, CROWD // 5, request * PIPELINED)
        await asyncio.sleep(HOLD_S)


async def _answered_and_kept(bed: MemoryBed) -> None:
    """Leave connections open after an answered request."""
    with Crowd() as crowd:
        request = _request('/read/x', HEADS['different names'])
        await crowd.send(bed, CROWD, request)
        await asyncio.sleep(HOLD_S)


async def _endless_heads(bed: MemoryBed) -> None:
    """Have heads that stop before their end."""
    head = _request('/read/x', HEADS['different names'])[:-2]
    with Crowd() as crowd:
        await crowd.send(bed, CROWD, head)
        await asyncio.sleep(HOLD_S)


async def _slow_heads(bed: MemoryBed) -> None:
    """Have heads that arrive in small pieces."""
    head = _request('/read/x', HEADS['different names'])[:-2]
    size = len(head) // 20
    with Crowd() as crowd:
        writers = [await crowd.open(HOST, bed.entry.entry) for _ in range(CROWD)]
        for start in range(0, len(head), size):
            for writer in filter(None, writers):
                writer.write(head[start : start + size])
            await asyncio.sleep(HOLD_S / 20)


async def _trailers(bed: MemoryBed) -> None:
    """Have trailers of long lines that don't end."""
    lines = b'Transfer-Encoding: chunked\r\n'
    begin = _request('/read/x', lines) + b'1\r\nx\r\n0\r\n'
    trailers = b''.join(b'T%d: %b\r\n' % (number, LONG_VALUE) for number in range(100))
    with Crowd() as crowd:
        await crowd.send(bed, CROWD // 3, begin + trailers)
        await asyncio.sleep(HOLD_S)


async def _short_trailers(bed: MemoryBed) -> None:
    """Have trailers of short lines that don't end."""
    lines = b'Transfer-Encoding: chunked\r\n'
    begin = _request('/read/x', lines) + b'1\r\nx\r\n0\r\n'
    with Crowd() as crowd:
        trailers = HEADS['different names'] * 2
        await crowd.send(bed, CROWD, begin + trailers)
        await asyncio.sleep(HOLD_S)


async def _chunk_extensions(bed: MemoryBed) -> None:
    """Have chunk extensions of 4 MB that don't end."""
    lines = b'Transfer-Encoding: chunked\r\n'
    begin = _request('/read/x', lines) + b'1;x='
    with Crowd() as crowd:
        await crowd.send(bed, CROWD // 3, begin + b'e' * 4 * MB)
        await asyncio.sleep(HOLD_S)


async def _other_listeners(bed: MemoryBed) -> None:
    """Have heads and trailers that don't end at the ports that callers don't use."""
    head = b'GET / HTTP/1.1\r\nHost: node\r\n'
    lines = _lines(b'%b:1\r\n', SERVICE_HEAD_BYTES)
    chunked = b'POST / HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n'
    trailers = b''.join(b'T%d: %b\r\n' % (number, LONG_VALUE) for number in range(100))
    for request in (head + lines, chunked + b'1\r\nx\r\n0\r\n' + trailers):
        with Crowd() as crowd:
            for address in bed.entry.service_addresses:
                await crowd.send_to(address, SERVICE_CALLERS, request)
            await asyncio.sleep(HOLD_S)


async def _response_heads(bed: MemoryBed) -> None:
    """Have answers with heads of 200 KB, which guards keep for a while."""
    request = _request('/read/heads', b'')
    with Crowd() as crowd:
        for _ in range(10):
            await crowd.send(bed, CROWD // 3, request)
            await asyncio.sleep(HOLD_S / 10)


async def _response_trailers(bed: MemoryBed) -> None:
    """Have answers with trailers that don't end."""
    with Crowd() as crowd:
        await crowd.send(bed, CROWD // 3, _request('/read/trailers', b''))
        await asyncio.sleep(HOLD_S)


LOADS: dict[str, Load] = {
    **{f'held, {name}': _held(name) for name in HEADS},
    'pipelined': _pipelined,
    'pipelined, one at a time': _pipelined_unsafe,
    'answered and kept': _answered_and_kept,
    'endless heads': _endless_heads,
    'slow heads': _slow_heads,
    'trailers': _trailers,
    'short trailers': _short_trailers,
    'chunk extensions': _chunk_extensions,
    'other listeners': _other_listeners,
    'heads of responses': _response_heads,
    'trailers of responses': _response_trailers,
}


@pytest.mark.parametrize('name', LOADS)
def test_header_lines_do_not_exhaust_the_memory(name: str, tmp_path: Path):
    """Guards against a node that is killed as it holds heads beyond what it counts."""

    async def scenario() -> None:
        bed = MemoryBed(tmp_path, MEMORY_MB, max_fds=MAX_FDS, serve=_serve)
        async with bed:
            await asyncio.wait_for(LOADS[name](bed), LIMIT_S)
            descriptors = {node.name: node.descriptors for node in bed.nodes}
            async with asyncio.timeout(LIMIT_S):
                while await bed.pay() != 200:
                    await asyncio.sleep(0.2)
            peaks = {node.name: node.peak_bytes // MB for node in bed.nodes}
            rests = {node.name: node.resident_bytes // MB for node in bed.nodes}
            print(name, 'peak', peaks, 'then', rests, 'descriptors', descriptors)
            assert all(node.is_running for node in bed.nodes)
            assert max(peaks.values()) < MEMORY_MB
            assert max(descriptors.values()) < MAX_FDS

    asyncio.run(scenario())


def test_a_request_with_as_many_lines_as_fit_is_served(tmp_path: Path):
    """Guards against a limit on lines that a caller within the other limits meets."""

    async def scenario() -> None:
        bed = MemoryBed(tmp_path, MEMORY_MB, max_fds=MAX_FDS, serve=_serve)
        async with bed:
            for lines in (
                HEADS['one-byte names without values'],
                HEADS['different names'],
                HEADS['one repeated name'],
                HEADS['one long name'],
            ):
                caller = await bed.open('GET /read/x HTTP/1.1')
                # The host and the id of the attempt are sent already.
                caller.writer.write(lines + b'\r\n')
                status, _, _ = await asyncio.wait_for(caller.read(MB), LIMIT_S)
                caller.close()
                assert status == 200

    asyncio.run(scenario())
