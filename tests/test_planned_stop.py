"""Tests of requests that arrive late during a planned stop."""

import asyncio
import re

from aiohttp import web
from gentianmill_mesh.mesh_node import STOP_NOTICE_MS
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
