"""Tests of unbounded responses, which are ended whatever the upstream sends."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from endless_upstream import BLOCK, OK, EndlessUpstream, peak_growth_bytes
from gentianmill.clock import MonotonicClock
from gentianmill_mesh.head_splitter import END, HeadSplitter
from gentianmill_mesh.response_memory import ResponseCollector, ResponseMemory
from gentianmill_mesh.upstream_connection import LossKind, UpstreamLostError
from gentianmill_mesh.upstream_pool import UpstreamPool
from mesh_upstream import NAMES, Script, ScriptedUpstream, request, run

COMPLETE = OK + b'X-Attempt: 1\r\nContent-Length: 2\r\n\r\nok'
LATE = OK + b'X-Attempt: 0\r\nContent-Length: 0\r\n\r\n'
TIMEOUT_S = 30
"""Time limit of a call; the size limit ends an unbounded response long before it."""

MAX_GROWTH_BYTES = 200 * 1024 * 1024
"""Memory that one response may use, copies included; VMs have at least 200 MB."""

UNBOUNDED = {
    'reason of the status': (OK[:-2], b'a' * 512),
    'header name': (OK, b'a' * 512),
    'header value': (OK + b'a: ', b'b' * 512),
    'short headers': (OK, b'a: b\r\n' * 100),
    'long headers': (OK, b'a: ' + b'b' * 60_000 + b'\r\n'),
    'body without a length': (OK + b'\r\n', BLOCK),
    'body of a huge length': (OK + b'Content-Length: 99999999999\r\n\r\n', BLOCK),
    'chunks': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + BLOCK + b'\r\n',
    ),
    'chunk extension': (OK + b'Transfer-Encoding: chunked\r\n\r\n1;a=', b'b' * 4096),
    'trailers': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'a: b\r\n' * 1000,
    ),
    'interim answers': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 50),
    'answers to another request': (b'', LATE * 50),
    'zeros': (b'', bytes(4096)),
}


_Content = TypeVar('_Content')


async def _use(
    upstream: EndlessUpstream, use: Callable[[UpstreamPool], Awaitable[_Content]]
) -> _Content:
    """Return the result of ``use`` on a pool, once the connection has been closed."""
    async with upstream:
        result = await use(
            UpstreamPool('127.0.0.1', upstream.port, NAMES, MonotonicClock())
        )
        await asyncio.wait_for(upstream.client_closed.wait(), TIMEOUT_S)
        return result


@pytest.mark.parametrize('name', UNBOUNDED)
def test_unbounded_response_is_ended_by_its_size(name: str):
    """Guards against filling the few hundred MB of a VM until the call times out."""

    async def use(pool: UpstreamPool) -> LossKind:
        with pytest.raises(UpstreamLostError) as caught:
            await pool.run(request(), b'1', [], True, TIMEOUT_S, lambda: True)
        return caught.value.kind

    kind, grown = peak_growth_bytes(_use(EndlessUpstream(*UNBOUNDED[name]), use))
    assert kind is LossKind.bad_answer
    assert grown < MAX_GROWTH_BYTES


@pytest.mark.parametrize('pause_s', [0, 0.2])
def test_unbounded_bytes_after_a_complete_response_close_the_connection(pause_s: float):
    """Guards against losing a complete response because of bytes that follow it."""

    async def use(pool: UpstreamPool) -> bytes:
        return (await run(pool)).body

    upstream = EndlessUpstream(COMPLETE, BLOCK, pause_s)
    assert asyncio.run(_use(upstream, use)) == b'ok'


EARLIER = OK + b'X-Attempt: 0\r\nContent-Length: 1\r\n\r\nx'
CHUNKED = OK + b'X-Attempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'


@pytest.mark.parametrize('whole', [COMPLETE, CHUNKED], ids=['length', 'chunks'])
@pytest.mark.parametrize('before', [b'', EARLIER], ids=['alone', 'after another'])
def test_invalid_bytes_in_the_same_segment_lose_no_response(
    whole: bytes, before: bytes
):
    """Guards against losing a response because the parser raises for its segment."""

    async def scenario() -> tuple[bytes, int]:
        script = Script([before + whole + b'\x00no answer'])
        async with ScriptedUpstream(script) as upstream:
            pool = upstream.pool()
            response = await run(pool)
            with pytest.raises(UpstreamLostError):
                await run(pool)
            return response.body, upstream.connections

    assert asyncio.run(scenario()) == (b'ok', 2)


@pytest.mark.parametrize('size', [1, 2, 3, 5, 1000])
def test_responses_are_found_in_segments_of_any_size(size: int):
    """Guards against missing the end of a head that is split across segments."""
    stream = EARLIER + CHUNKED + EARLIER + COMPLETE
    splitter = HeadSplitter()
    pieces = []
    for start in range(0, len(stream), size):
        pieces.extend(splitter.pieces(stream[start : start + size]))
    assert b''.join(pieces) == stream
    ends = [len(b''.join(pieces[: number + 1])) for number in range(len(pieces))]
    heads = [
        position + 4
        for position in range(len(stream))
        if stream.startswith(END, position)
    ]
    assert set(heads) <= set(ends)


class _Collector(ResponseCollector):
    def __init__(self, abandoned: list['_Collector']) -> None:
        self._abandoned = abandoned

    def abandon(self) -> None:
        """Record that this response was abandoned."""
        self._abandoned.append(self)


def test_the_longest_response_is_dropped_to_free_memory():
    """Guards against an unbounded response that ends the short ones beside it."""
    abandoned: list[ResponseCollector] = []
    memory = ResponseMemory(100)
    short, unbounded = _Collector(abandoned), _Collector(abandoned)
    memory.add(short, 20)
    for _ in range(9):
        memory.add(unbounded, 10)
    assert abandoned == [unbounded]
    memory.add(short, 30)
    assert memory.buffered_bytes == 50
    memory.release(short)
    assert memory.buffered_bytes == 0
