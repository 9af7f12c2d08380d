"""Tests of how much the node reads of its upstream's responses."""

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
CALL_TIME_MS = 20_000
MAX_GROWTH_BYTES = 50 * 1024 * 1024
"""Memory that one response may take, with copies, at a limit of 1 MiB."""

HEAD = OK + b'Content-Type: application/json\r\n'
CHUNKS = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n' + BLOCK + b'\r\n'
UNBOUNDED = {
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
    unbounded: tuple[bytes, bytes],
    use: Callable[[UpstreamClient], Awaitable[_Content]],
) -> _Content:
    """Return the result of using a client once its connection has been closed."""
    async with EndlessUpstream(*unbounded) as upstream:
        client = _client(upstream.port)
        await client.start()
        try:
            result = await use(client)
            await asyncio.wait_for(
                upstream.client_closed.wait(), CALL_TIME_MS / MS_PER_S
            )
            return result
        finally:
            await client.close()


@pytest.mark.parametrize('name', UNBOUNDED)
def test_unbounded_response_is_not_buffered(name: str):
    """Guards against reading the body until the timeout before checking its length."""

    async def use(client: UpstreamClient) -> ErrorCode:
        with pytest.raises(GentianmillError) as caught:
            await client.run(upstream_call(), 'token', CALL_TIME_MS)
        return caught.value.code

    code, grown = peak_growth_bytes(_with_client(UNBOUNDED[name], use))
    assert code is not ErrorCode.deadline
    assert grown < MAX_GROWTH_BYTES


@pytest.mark.parametrize('name', UNBOUNDED)
def test_unbounded_health_report_counts_as_unreachable(name: str):
    """Guards against a report that is read and buffered until the poll times out."""
    poll = _with_client(UNBOUNDED[name], UpstreamClient.health)
    state, grown = peak_growth_bytes(poll)
    assert state == 'unreachable'
    assert grown < MAX_GROWTH_BYTES


EMPTY_RESPONSE = OK + b'Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n'


async def _serve_truncated(
    length: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError):
        # The connection that only watches for the end of the upstream sends nothing.
        await reader.readuntil(b'\r\n\r\n')
        writer.write(EMPTY_RESPONSE[:length])
        await writer.drain()
    writer.close()


@pytest.mark.parametrize('length', range(len(EMPTY_RESPONSE)))
def test_response_truncated_in_its_head_is_not_complete(length: int):
    """Guards against an empty response that is passed on as complete."""

    async def scenario() -> Outcome:
        serve = functools.partial(_serve_truncated, length)
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        client = _client(server.sockets[0].getsockname()[1])
        async with server:
            await client.start()
            with pytest.raises(GentianmillError) as caught:
                await client.run(upstream_call(), 'token', CALL_TIME_MS)
            await client.close()
            return caught.value.outcome

    assert asyncio.run(scenario()) is Outcome.unknown
