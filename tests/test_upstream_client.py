"""Tests of what the node reads of its upstream's answers."""

import asyncio
import contextlib
import functools
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from endless_upstream import BLOCK, OK, EndlessUpstream, peak_growth_bytes
from gentianmill.clock import MonotonicClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill.settings_models import UpstreamModel
from gentianmill_node.upstream_client import UpstreamClient
from upstream_calls import upstream_call

MAX_BODY_BYTES = 1024 * 1024
MS_PER_S = 1000
TIME_MS = 20_000
MOST_BYTES = 50 * 1024 * 1024
"""Memory that one answer may take, with copies, at a limit of 1 MiB."""

HEAD = OK + b'Content-Type: application/json\r\n'
CHUNKS = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n' + BLOCK + b'\r\n'
ENDLESS = {
    'body without a length': (HEAD + b'\r\n', BLOCK),
    'chunks': (CHUNKS, CHUNK),
    'headers': (HEAD, b'a: b\r\n' * 100),
}

_Content = TypeVar('_Content')


def _client(port: int) -> UpstreamClient:
    settings = UpstreamModel(
        service='s', endpoint='e', host='127.0.0.1', port=port, slots=1, connections=2
    )
    return UpstreamClient(settings, MAX_BODY_BYTES, MonotonicClock())


async def _with_client(
    endless: tuple[bytes, bytes],
    use: Callable[[UpstreamClient], Awaitable[_Content]],
) -> _Content:
    """Return what a use of the client gives, once the connection has been closed."""
    async with EndlessUpstream(*endless) as upstream:
        client = _client(upstream.port)
        await client.start()
        try:
            result = await use(client)
            await asyncio.wait_for(upstream.ended.wait(), TIME_MS / MS_PER_S)
            return result
        finally:
            await client.close()


@pytest.mark.parametrize('name', ENDLESS)
def test_answer_without_end_is_not_collected(name: str):
    """The body was read up to the time of the call before its length was checked."""

    async def use(client: UpstreamClient) -> ErrorCode:
        with pytest.raises(GentianmillError) as caught:
            await client.run(upstream_call(), 'token', TIME_MS)
        return caught.value.code

    code, grown = peak_growth_bytes(_with_client(ENDLESS[name], use))
    assert code is not ErrorCode.deadline
    assert grown < MOST_BYTES


@pytest.mark.parametrize('name', ENDLESS)
def test_health_report_without_end_counts_as_unreachable(name: str):
    """A report was read for the whole time of the poll."""
    play = _with_client(ENDLESS[name], UpstreamClient.health)
    state, grown = peak_growth_bytes(play)
    assert state == 'unreachable'
    assert grown < MOST_BYTES


CUT = OK + b'Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n'


async def _serve_cut(
    length: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError):
        # The connection that only notices the end of the upstream sends nothing.
        await reader.readuntil(b'\r\n\r\n')
        writer.write(CUT[:length])
        await writer.drain()
    writer.close()


@pytest.mark.parametrize('length', range(len(CUT)))
def test_answer_cut_in_its_head_is_no_answer(length: int):
    """Callers got an empty answer that was framed as whole."""

    async def scenario() -> Outcome:
        serve = functools.partial(_serve_cut, length)
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        client = _client(server.sockets[0].getsockname()[1])
        async with server:
            await client.start()
            with pytest.raises(GentianmillError) as caught:
                await client.run(upstream_call(), 'token', TIME_MS)
            await client.close()
            return caught.value.outcome

    assert asyncio.run(scenario()) is Outcome.unknown
