"""Tests of which connections to an upstream are reused."""

import asyncio
import contextlib
import socket

import pytest
from gentianmill.clock import ManualClock, MonotonicClock
from gentianmill_mesh.upstream_connection import LossKind, UpstreamLostError
from gentianmill_mesh.upstream_pool import (
    IDLE_LIMIT_MS,
    UNREPEATABLE_IDLE_MS,
    UpstreamPool,
)
from mesh_upstream import NAMES, Script, ScriptedUpstream, request, run
from silent_socket import silence

OK_RESPONSE = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 2\r\n\r\nok'


def _run_scenario(scenario) -> object:
    return asyncio.run(asyncio.wait_for(scenario(), 10))


def _resetting_upstream() -> ScriptedUpstream:
    """Return an upstream that resets the first connection at its second request."""
    return ScriptedUpstream(
        Script([OK_RESPONSE, b'', OK_RESPONSE], close_after=1, reset=True)
    )


def test_a_read_is_resent_after_a_stale_connection():
    """Guards against reads that fail or use up retries for dropped idle connections."""

    async def scenario() -> tuple[bytes, int]:
        async with _resetting_upstream() as upstream:
            pool = upstream.pool()
            await run(pool)
            response = await run(pool)
            return response.body, upstream.connections

    assert _run_scenario(scenario) == (b'ok', 2)


def test_a_payment_is_not_resent():
    """Guards against a payment that runs twice, as it may have run before the reset."""

    async def scenario() -> int:
        async with _resetting_upstream() as upstream:
            pool = upstream.pool()
            await run(pool, repeatable=False)
            with pytest.raises(UpstreamLostError):
                await run(pool, repeatable=False)
            return len(upstream.heads)

    assert _run_scenario(scenario) == 2


def test_a_payment_does_not_reuse_an_idle_connection():
    """Guards against upstreams that drop connections after 300 ms without requests."""

    async def scenario() -> tuple[int, int]:
        async with ScriptedUpstream(
            Script([OK_RESPONSE, OK_RESPONSE, OK_RESPONSE])
        ) as upstream:
            clock = ManualClock()
            pool = UpstreamPool('127.0.0.1', upstream.port, NAMES, clock)
            await run(pool, repeatable=False)
            clock.advance(UNREPEATABLE_IDLE_MS + 1)
            await run(pool, repeatable=False)
            opened = pool.opened
            clock.advance(UNREPEATABLE_IDLE_MS + 1)
            await run(pool)
            return opened, pool.opened

    assert _run_scenario(scenario) == (2, 2)


def test_connections_that_payments_leave_behind_are_closed():
    """Guards against a connection for each payment, beyond the limit of the upstream."""

    async def scenario() -> tuple[int, int]:
        responses = [OK_RESPONSE for _ in range(200)]
        async with ScriptedUpstream(Script(responses)) as upstream:
            clock = ManualClock()
            pool = UpstreamPool('127.0.0.1', upstream.port, NAMES, clock)
            for _ in range(60):
                await run(pool, repeatable=False)
                clock.advance(UNREPEATABLE_IDLE_MS + 1)
            await asyncio.sleep(0.05)
            old = upstream.open_connections
            pool.limit_idle(3)
            for _ in range(10):
                await run(pool, repeatable=False)
                clock.advance(UNREPEATABLE_IDLE_MS + 1)
            await asyncio.sleep(0.05)
            return old, upstream.open_connections

    old, limited = _run_scenario(scenario)
    assert old <= IDLE_LIMIT_MS / UNREPEATABLE_IDLE_MS + 1
    assert limited <= 3


def test_a_read_that_breaks_late_is_not_resent_to_the_same_upstream():
    """Guards against a request that crashes its upstream again after the restart."""

    async def scenario() -> int:
        async with _resetting_upstream() as upstream:
            clock = ManualClock()
            pool = UpstreamPool('127.0.0.1', upstream.port, NAMES, clock)
            await run(pool)
            running = asyncio.ensure_future(run(pool))
            await asyncio.sleep(0)
            clock.advance(100)
            with pytest.raises(UpstreamLostError):
                await running
            return upstream.connections

    assert _run_scenario(scenario) == 1


def test_an_early_response_does_not_truncate_the_request_body():
    """Guards against the next request being sent where the rest of a body is due."""
    body = b'x' * 4_000_000
    received: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.closing(writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(OK_RESPONSE)
            await asyncio.sleep(0.2)
            received.append(await reader.readexactly(len(body)))
            received.append(await reader.readuntil(b'\r\n\r\n'))
            writer.write(OK_RESPONSE)

    async def scenario() -> tuple[bytes, bytes]:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = UpstreamPool('127.0.0.1', port, NAMES, MonotonicClock())
        first = await run(pool, request(b'/long', 'POST', body))
        second = await run(pool, request(b'/next'))
        pool.close()
        server.close()
        return first.body, second.body

    assert _run_scenario(scenario) == (b'ok', b'ok')
    assert received[0] == body
    assert received[1].startswith(b'GET /next HTTP/1.1\r\n')


def test_request_on_a_connection_that_falls_silent_ends_before_its_time():
    """Guards against a request that waits to its deadline for a response that is lost."""

    async def scenario() -> LossKind | None:
        with socket.create_server(('127.0.0.1', 0)) as server:
            port = server.getsockname()[1]
            pool = UpstreamPool('127.0.0.1', port, NAMES, MonotonicClock())
            running = asyncio.ensure_future(
                pool.run(request(), b'1', [], True, 60, lambda: True)
            )
            await asyncio.sleep(0.1)
            peer, _ = server.accept()
            with peer:
                silence(peer)
                await asyncio.wait({running}, timeout=9)
        lost = running.exception() if running.done() else None
        running.cancel()
        return lost.kind if isinstance(lost, UpstreamLostError) else None

    assert _run_scenario(scenario) is LossKind.after_send


def test_request_without_time_left_is_not_sent():
    """Guards against a payment that is sent after its deadline and counts as unknown."""

    async def scenario() -> tuple[LossKind, int]:
        async with ScriptedUpstream(Script([OK_RESPONSE])) as upstream:
            with pytest.raises(UpstreamLostError) as lost:
                await upstream.pool().run(request(), None, [], False, 0, bool)
            return lost.value.kind, len(upstream.heads)

    assert _run_scenario(scenario) == (LossKind.no_time, 0)
