"""Which connections to an upstream are used again."""

import asyncio

import pytest
from gentianmill.clock import ManualClock, MonotonicClock
from gentianmill_mesh.upstream_connection import UpstreamLostError
from gentianmill_mesh.upstream_pool import UNREPEATABLE_IDLE_MS, UpstreamPool
from mesh_upstream import NAMES, Script, ScriptedUpstream, request, run

WHOLE = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 2\r\n\r\nok'


def _play(scenario) -> object:
    return asyncio.run(asyncio.wait_for(scenario(), 10))


def _forgetting() -> ScriptedUpstream:
    """Return an upstream that resets the first connection at its second request."""
    return ScriptedUpstream(Script([WHOLE, b'', WHOLE], close_after=1, reset=True))


def test_a_read_survives_a_forgotten_connection():
    """An upstream that forgets idle connections would fail reads and use up retries."""

    async def scenario() -> tuple[bytes, int]:
        async with _forgetting() as upstream:
            pool = upstream.pool()
            await run(pool)
            answer = await run(pool)
            return answer.body, upstream.connections

    assert _play(scenario) == (b'ok', 2)


def test_a_payment_is_not_sent_again():
    """Nobody can tell whether the upstream ran it before it closed."""

    async def scenario() -> int:
        async with _forgetting() as upstream:
            pool = upstream.pool()
            await run(pool, repeatable=False)
            with pytest.raises(UpstreamLostError):
                await run(pool, repeatable=False)
            return len(upstream.heads)

    assert _play(scenario) == 2


def test_a_payment_takes_no_connection_that_rested():
    """Some upstreams forget connections that rested for 300 ms."""

    async def scenario() -> tuple[int, int]:
        async with ScriptedUpstream(Script([WHOLE, WHOLE, WHOLE])) as upstream:
            clock = ManualClock()
            pool = UpstreamPool('127.0.0.1', upstream.port, NAMES, clock)
            await run(pool, repeatable=False)
            clock.advance(UNREPEATABLE_IDLE_MS + 1)
            await run(pool, repeatable=False)
            opened = pool.opened
            clock.advance(UNREPEATABLE_IDLE_MS + 1)
            await run(pool)
            return opened, pool.opened

    assert _play(scenario) == (2, 2)


def test_a_read_that_breaks_late_is_not_sent_again_here():
    """A request that crashes its upstream would crash the next start at once."""

    async def scenario() -> int:
        async with _forgetting() as upstream:
            clock = ManualClock()
            pool = UpstreamPool('127.0.0.1', upstream.port, NAMES, clock)
            await run(pool)
            running = asyncio.ensure_future(run(pool))
            await asyncio.sleep(0)
            clock.advance(100)
            with pytest.raises(UpstreamLostError):
                await running
            return upstream.connections

    assert _play(scenario) == 1


def test_an_early_answer_leaves_the_rest_of_its_body_in_place():
    """Other bytes where a long body is due would become a request of their own."""
    body = b'x' * 4_000_000
    received: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(WHOLE)
        await asyncio.sleep(0.2)
        received.append(await reader.readexactly(len(body)))
        received.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(WHOLE)

    async def scenario() -> tuple[bytes, bytes]:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = UpstreamPool('127.0.0.1', port, NAMES, MonotonicClock())
        first = await run(pool, request(b'/long', 'POST', body))
        second = await run(pool, request(b'/next'))
        server.close()
        return first.body, second.body

    assert _play(scenario) == (b'ok', b'ok')
    assert received[0] == body
    assert received[1].startswith(b'GET /next HTTP/1.1\r\n')
