"""Tests of what the node reads of its upstream's answers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from endless_upstream import BLOCK, OK, EndlessUpstream, peak_growth_bytes
from gentianmill.clock import MonotonicClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.settings_models import UpstreamModel
from gentianmill_node.call import Call
from gentianmill_node.upstream_client import UpstreamClient

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


async def _with_client(
    endless: tuple[bytes, bytes],
    use: Callable[[UpstreamClient], Awaitable[_Content]],
) -> _Content:
    """Return what a use of the client gives, once the connection has been closed."""
    async with EndlessUpstream(*endless) as upstream:
        settings = UpstreamModel(
            service='s',
            endpoint='e',
            host='127.0.0.1',
            port=upstream.port,
            slots=1,
            connections=2,
        )
        client = UpstreamClient(settings, MAX_BODY_BYTES, MonotonicClock())
        await client.start()
        try:
            result = await use(client)
            await asyncio.wait_for(upstream.ended.wait(), TIME_MS / MS_PER_S)
            return result
        finally:
            await client.close()


def _call() -> Call:
    return Call(
        service='s',
        method='GET',
        path='/',
        headers={},
        body=b'',
        operation=None,
        tenant='t',
        request_id='1',
        identity='',
        home='',
        depth=0,
        rank=0,
        deadline_ms=0,
        digest=b'',
    )


@pytest.mark.parametrize('name', ENDLESS)
def test_answer_without_end_is_not_collected(name: str):
    """The body was read up to the time of the call before its length was checked."""

    async def use(client: UpstreamClient) -> ErrorCode:
        with pytest.raises(GentianmillError) as caught:
            await client.run(_call(), 'token', TIME_MS)
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
