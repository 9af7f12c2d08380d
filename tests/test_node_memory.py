"""Measures real node processes that hold what callers and upstreams make them hold."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from memory_bed import MB, MemoryBed, Payments

SETTLE_S = 0.5
LIMIT_S = 90
ANSWERED = (200, 502, 503)
SERIES_LIMIT_MB = 200
SERIES_PEAK_MB = 180
"""Goal for a limit of 200 MB, after any order of the loads (issue 42)."""

Load = Callable[[MemoryBed], Awaitable[None]]


async def _endless_bodies(bed: MemoryBed) -> None:
    """Have 24 bodies without end under way."""
    callers = [
        await bed.open('GET /read/endless HTTP/1.1\r\nDeadline-Ms: 4000')
        for _ in range(24)
    ]
    for caller in callers:
        caller.writer.write(b'\r\n')
    readings = [asyncio.ensure_future(caller.read(2 * MB)) for caller in callers]
    await asyncio.wait(readings, timeout=6)
    for reading in readings:
        reading.cancel()
    for caller in callers:
        caller.close()


async def _slow_readers(
    bed: MemoryBed, count: int, size: int, bytes_per_s: int
) -> None:
    """Have answers read slowly; each must arrive whole."""
    callers = []
    for _ in range(count):
        caller = await bed.open(f'GET /read/blob?bytes={size} HTTP/1.1')
        caller.writer.write(b'\r\n')
        callers.append(caller)
    ends = await asyncio.gather(*(caller.read(bytes_per_s) for caller in callers))
    for caller in callers:
        caller.close()
    assert set(ends) == {(200, size, size)}


async def _unfinished_uploads(bed: MemoryBed) -> None:
    """Have 250 bodies of 0.9 MB of which the last byte never comes."""
    size = 900_000
    callers = [
        await bed.open(f'POST /pay/x HTTP/1.1\r\nContent-Length: {size}')
        for _ in range(250)
    ]
    for caller in callers:
        caller.writer.write(b'\r\n' + bytes(size - 1))
    await asyncio.sleep(3)
    for caller in callers:
        caller.close()


async def _large_uploads(bed: MemoryBed) -> None:
    """Send six bodies of 60 MiB at once; each is served or refused as not run."""
    size = 60 * 1024 * 1024

    async def upload() -> int:
        caller = await bed.open(f'POST /pay/x HTTP/1.1\r\nContent-Length: {size}')
        caller.writer.write(b'\r\n')
        sending = asyncio.ensure_future(_send(caller.writer, size))
        status, _, _ = await caller.read(MB)
        sending.cancel()
        caller.close()
        return status

    statuses = await asyncio.gather(*(upload() for _ in range(6)))
    assert set(statuses) <= {200, 503}
    assert 200 in statuses


async def _send(writer: asyncio.StreamWriter, size: int) -> None:
    block = bytes(65_536)
    for _ in range(size // len(block)):
        writer.write(block)
        await writer.drain()


async def _unfinished_heads(bed: MemoryBed) -> None:
    """Have 250 heads of 15 KB that don't end."""
    callers = [await bed.open('GET /read/x HTTP/1.1') for _ in range(250)]
    for caller in callers:
        caller.writer.write(b'X-Pad: ' + b'x' * 15_000)
    await asyncio.sleep(1)
    for caller in callers:
        caller.close()


async def _strangers(bed: MemoryBed) -> None:
    """Send reports of 200 MB and heads without end to the other ports of the entry."""
    node = bed.entry
    report = (
        b'POST /-/instances/x/heartbeat HTTP/1.1\r\nContent-Length: 200000000\r\n\r\n'
    )
    head = b'GET / HTTP/1.1\r\nX-Pad: '
    for host, port in node.service_addresses:
        for begin in (report, head):
            await asyncio.gather(
                *(_send_to(host, port, begin, 200 * MB) for _ in range(4))
            )


async def _send_to(host: str, port: int, begin: bytes, size: int) -> None:
    """Send as much as is read within a second."""
    _, writer = await asyncio.open_connection(host, port)
    writer.write(begin)
    with contextlib.suppress(ConnectionError, TimeoutError):
        await asyncio.wait_for(_send(writer, size), 1)
    writer.transport.abort()


SERIES: dict[str, Load] = {
    'unfinished uploads': _unfinished_uploads,
    'unfinished heads': _unfinished_heads,
    'strangers': _strangers,
}

LOADS: dict[str, Load] = {
    'endless bodies': _endless_bodies,
    'slow readers': lambda bed: _slow_readers(bed, 80, 2 * MB, 400_000),
    'large answers': lambda bed: _slow_readers(bed, 8, 20 * MB, 4 * MB),
    'unfinished uploads': _unfinished_uploads,
    'large uploads': _large_uploads,
}


@pytest.mark.parametrize('memory_mb', [200, 300, 552])
def test_memory_stays_below_its_limit(memory_mb: int, tmp_path: Path):
    """Guards against a node that is ended for its memory, with the payments on it."""

    async def scenario() -> None:
        async with MemoryBed(tmp_path, memory_mb) as bed:
            payments = Payments()
            paying = [
                asyncio.ensure_future(bed.pay_regularly(payments)) for _ in range(4)
            ]
            for name, load in LOADS.items():
                await asyncio.wait_for(load(bed), LIMIT_S)
                await asyncio.sleep(SETTLE_S)
                peaks = {node.name: node.peak_bytes // MB for node in bed.nodes}
                rests = {node.name: node.resident_bytes // MB for node in bed.nodes}
                print(name, 'peak', peaks, 'then', rests)
                assert all(node.is_running for node in bed.nodes)
                assert max(peaks.values()) < memory_mb
            for task in paying:
                task.cancel()
            assert set(payments.statuses) == {200}
            assert len(payments.statuses) > 100

    asyncio.run(scenario())


def test_memory_does_not_add_up_over_a_series_of_loads(tmp_path: Path):
    """Guards against a process that is ended as what one load took is kept in the next."""

    async def scenario() -> None:
        async with MemoryBed(tmp_path, SERIES_LIMIT_MB) as bed:
            payments = Payments()
            paying = asyncio.ensure_future(bed.pay_regularly(payments))
            for name, load in (*SERIES.items(), *SERIES.items()):
                await asyncio.wait_for(load(bed), LIMIT_S)
                await asyncio.sleep(SETTLE_S)
                peaks = {node.name: node.peak_bytes // MB for node in bed.nodes}
                print(name, 'peak', peaks)
                assert max(peaks.values()) <= SERIES_PEAK_MB
            paying.cancel()
            assert set(payments.statuses) == {200}

    asyncio.run(scenario())
