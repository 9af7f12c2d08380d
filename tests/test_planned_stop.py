"""Tests of requests that arrive late during a planned stop."""

import asyncio
import contextlib
import re
import socket
import time
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web
from gentianmill_mesh.mesh_node import STOP_NOTICE_MS, MeshNode
from mesh_deployment import RULE_HOST, Deployment
from standins.processes import HOST

STOP_NOTICE_S = STOP_NOTICE_MS / 1000
TIME_LEFT_MS = 20_000
TIMEOUT_S = 12
"""Ends a scenario that hangs."""

UPSTREAM_MARGIN_S = 0.3
BODY = b'dues'


async def _answer(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b'paid')


async def _answer_at_the_deadline(request: web.BaseRequest) -> web.StreamResponse:
    left_s = int(request.headers['X-Time-Left']) / 1000
    await asyncio.sleep(left_s - UPSTREAM_MARGIN_S)
    return web.Response(status=504, body=b'own')


def _payment_head(length: int) -> bytes:
    return (
        f'POST /pay/a HTTP/1.1\r\nHost: {RULE_HOST}\r\nX-Attempt: late\r\n'
        f'X-Time-Left: {TIME_LEFT_MS}\r\nContent-Length: {length}\r\n\r\n'
    ).encode()


async def _pay_in_two_parts(deployment: Deployment, pause_s: float) -> bytes:
    """Send a payment whose body ends after a pause; return the response, if any."""
    reader, writer = await asyncio.open_connection(HOST, deployment.entry_port)
    writer.write(_payment_head(len(BODY)) + BODY[:1])
    await asyncio.sleep(pause_s)
    writer.write(BODY[1:])
    response = await _read_response(reader)
    writer.close()
    return response


async def _read_response(reader: asyncio.StreamReader) -> bytes:
    """Return the next response; its connection may stay open until the process ends."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = re.search(rb'Content-Length: (\d+)', head)
    return head + await reader.readexactly(int(length.group(1)))


def _run(handler, scenario) -> tuple[bytes, int]:
    async def run_in_deployment() -> tuple[bytes, int]:
        async with Deployment(handler) as deployment:
            stopping = asyncio.ensure_future(deployment.nodes['entry'].stop())
            response = await scenario(deployment)
            await stopping
            return response, len(deployment.seen)

    return asyncio.run(asyncio.wait_for(run_in_deployment(), TIMEOUT_S))


def test_payment_whose_body_ends_late_in_a_stop_is_refused():
    """Guards against a payment that is read late in a stop and cut without an answer."""

    async def scenario(deployment: Deployment) -> bytes:
        return await _pay_in_two_parts(deployment, STOP_NOTICE_S + 0.5)

    response, seen = _run(_answer_at_the_deadline, scenario)
    assert response.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in response
    assert not seen


def test_payment_early_in_a_stop_gets_the_response_of_its_upstream():
    """Guards against an upstream that works beyond the stop and whose response is cut."""

    async def scenario(deployment: Deployment) -> bytes:
        return await _pay_in_two_parts(deployment, 0)

    response, seen = _run(_answer_at_the_deadline, scenario)
    assert response.startswith(b'HTTP/1.1 504')
    assert response.endswith(b'own')
    assert seen == 1


def test_payment_early_in_a_stop_is_served():
    """Guards against a stop that refuses what it has time for."""

    async def scenario(deployment: Deployment) -> bytes:
        return await _pay_in_two_parts(deployment, 0.2)

    response, seen = _run(_answer, scenario)
    assert response.endswith(b'paid')
    assert seen == 1


def test_late_request_on_a_kept_connection_is_not_passed_on():
    """Guards against a request on an idle connection that is taken late and then cut."""

    async def scenario(deployment: Deployment) -> bytes:
        reader, writer = await asyncio.open_connection(HOST, deployment.entry_port)
        await asyncio.sleep(STOP_NOTICE_S + 0.3)
        try:
            writer.write(_payment_head(len(BODY)) + BODY)
            response = await reader.read()
        except ConnectionError:
            response = b''
        writer.close()
        return response

    response, seen = _run(_answer, scenario)
    assert not response or response.startswith(b'HTTP/1.1 503')
    assert not seen


LARGE_BYTES = 40_000_000
"""More than the kernel buffers for a caller, and than it reads before the notice ends."""

READ_S = 3.4
"""Time in which a slow caller reads a large response: beyond the notice of a stop, and
within its limit of 4.2 s."""

RECEIVE_BUFFER_BYTES = 65_536
PIECE_BYTES = 100_000
STOP_WITHIN_S = 5.0
"""Limit of a stop in the deployment, after which a platform kills the process."""


async def _answer_at_length(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=bytes(LARGE_BYTES))


class _Download:
    """A caller that reads a large response at a steady rate, or stops reading."""

    def __init__(self, deployment: Deployment) -> None:
        self.received = 0
        self._deployment = deployment
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def begin(self) -> None:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.connect((HOST, self._deployment.entry_port))
        reader, writer = await asyncio.open_connection(sock=caller)
        self._reader = reader
        self._writer = writer
        self._writer.write(
            f'GET /read/a HTTP/1.1\r\nHost: {RULE_HOST}\r\n\r\n'.encode()
        )
        await self._reader.readuntil(b'\r\n\r\n')

    async def read(self) -> bool:
        """Return whether the whole response arrived."""
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        with contextlib.suppress(ConnectionError):
            while piece := await self._reader.read(PIECE_BYTES):
                self.received += len(piece)
                if self.received == LARGE_BYTES:
                    break
                due_s = begin_s + READ_S * self.received / LARGE_BYTES
                await asyncio.sleep(max(due_s - loop.time(), 0))
        self.close()
        return self.received == LARGE_BYTES

    def close(self) -> None:
        self._writer.close()


async def _timed_stop(node: MeshNode) -> float:
    begin_s = time.monotonic()
    await node.stop()
    return time.monotonic() - begin_s


def _run_stop(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def run_in_deployment() -> None:
        async with Deployment(_answer_at_length) as deployment:
            await scenario(deployment)

    asyncio.run(asyncio.wait_for(run_in_deployment(), TIMEOUT_S))


@pytest.mark.parametrize('breaks', [False, True])
def test_stop_of_a_guard_cuts_no_large_response(breaks: bool):
    """Guards against an end while the rest of a body waits for a slow receiver.

    In one case the link breaks meanwhile, and the body goes on over another.
    """

    async def scenario(deployment: Deployment) -> None:
        downloads = [_Download(deployment) for _ in range(2)]
        for download in downloads:
            await download.begin()
        stopping = asyncio.ensure_future(_timed_stop(deployment.nodes['back']))
        reading = asyncio.gather(*(download.read() for download in downloads))
        await asyncio.sleep(0)
        assert not deployment.nodes['back'].ready
        if breaks:
            await asyncio.sleep(STOP_NOTICE_S + 0.2)
            deployment.fault_proxy.reset()
        assert await reading == [True, True]
        assert await stopping < STOP_WITHIN_S

    _run_stop(scenario)


def test_stop_ends_in_time_if_a_response_is_not_read():
    """Guards against a stop that waits for a caller until its process is killed."""

    async def scenario(deployment: Deployment) -> None:
        download = _Download(deployment)
        await download.begin()
        stopping = asyncio.ensure_future(_timed_stop(deployment.nodes['back']))
        await asyncio.sleep(0)
        assert not deployment.nodes['back'].ready
        assert await stopping < STOP_WITHIN_S
        download.close()

    _run_stop(scenario)


def test_stop_waits_for_no_large_response_that_has_arrived():
    """Guards against stops that take all of their time after each large response."""

    async def scenario(deployment: Deployment) -> None:
        response = await deployment.call('/read/a')
        assert len(response[1]) == LARGE_BYTES
        assert await _timed_stop(deployment.nodes['back']) < STOP_NOTICE_S + 1

    _run_stop(scenario)
