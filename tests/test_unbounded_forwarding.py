"""Tests of requests through two nodes beside unbounded responses to others."""

import asyncio

import pytest
from aiohttp import web
from endless_upstream import BLOCK, OK, peak_growth_bytes
from fault_soak.broken_responses import UnboundedResponse
from mesh_deployment import Deployment

BAD_GATEWAY = 502
SERVED = 20
"""Requests that are served while unbounded responses are being received."""

MAX_GROWTH_BYTES = 250 * 1024 * 1024
"""Memory that two nodes and the upstream, which share a process here, may use."""

TIMEOUT_S = 30

HEAD = (OK, b'a: b\r\n' * 100)
BODY = (OK + b'Content-Length: 99999999999\r\n\r\n', BLOCK)
GARBAGE = (b'', bytes(4096))


class _SometimesUnbounded:
    """Respond to requests, without end to those whose path asks for it."""

    def __init__(self, start: bytes, block: bytes) -> None:
        self._unbounded = UnboundedResponse(start, block)
        self.ended = 0

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond, or send until the node closes the connection, which cancels this."""
        if 'endless' not in request.path:
            return web.Response(body=b'whole')
        try:
            return await self._unbounded.respond(request, '', b'')
        finally:
            self.ended += 1


@pytest.mark.parametrize('endless', [HEAD, BODY, GARBAGE], ids=['head', 'body', 'none'])
@pytest.mark.parametrize(
    ('method', 'path'), [('GET', '/read/endless'), ('POST', '/pay/endless')]
)
def test_unbounded_responses_are_failures_and_delay_no_other_request(
    endless: tuple[bytes, bytes], method: str, path: str
):
    """Guards against one upstream that exhausts its node's memory or fails others."""
    upstream = _SometimesUnbounded(*endless)

    async def scenario() -> tuple[list[int], set[tuple[int, bytes]], int]:
        async with Deployment(upstream.respond) as deployment:
            calls = [
                asyncio.ensure_future(deployment.call(path, method)) for _ in range(2)
            ]
            others = set()
            for _ in range(SERVED):
                status, body, _ = await deployment.call('/read/a')
                others.add((status, body))
            ends = await asyncio.wait_for(asyncio.gather(*calls), TIMEOUT_S)
            return [end[0] for end in ends], others, len(deployment.seen)

    (statuses, others, arrivals), grown = peak_growth_bytes(scenario())
    assert statuses == [BAD_GATEWAY, BAD_GATEWAY]
    assert others == {(200, b'whole')}
    assert (arrivals, upstream.ended) == (SERVED + 2, 2)
    assert grown < MAX_GROWTH_BYTES
