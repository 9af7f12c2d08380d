"""Tests that exactly the bytes that callers send reach the upstream."""

import asyncio

from aiohttp import web
from mesh_deployment import Deployment, Handler
from standins.processes import HOST

LIMIT_S = 10
"""Ends a run that hangs."""

HEAD = b'Host: till.example\r\nX-Attempt: 1\r\n'


def _run(handler: Handler, scenario) -> object:
    async def run_scenario() -> object:
        async with Deployment(handler) as deployment:
            return await asyncio.wait_for(scenario(deployment), LIMIT_S)

    return asyncio.run(run_scenario())


async def _echo_body(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=await request.read())


async def _send(deployment: Deployment, sent: bytes) -> bytes:
    """Send bytes to the entry and return what it sends until it closes or pauses."""
    reader, writer = await asyncio.open_connection(HOST, deployment.entry_port)
    writer.write(sent)
    received = b''
    try:
        while data := await asyncio.wait_for(reader.read(65536), 0.7):
            received += data
    except TimeoutError:
        pass
    writer.close()
    return received


def _post(body: bytes, extra: bytes = b'') -> bytes:
    length = b'Content-Length: %d\r\n' % len(body)
    return b'POST /pay/a HTTP/1.1\r\n' + HEAD + length + extra + b'\r\n' + body


def test_requests_on_one_connection_get_their_own_responses():
    """Guards against swapped responses, which give a caller the data of another."""

    async def scenario(deployment: Deployment) -> bytes:
        return await _send(deployment, _post(b'first') + _post(b'second'))

    received = _run(_echo_body, scenario)
    assert received.count(b'HTTP/1.1 200 OK') == 2
    assert received.index(b'first') < received.index(b'second')


def test_chunked_body_arrives_complete():
    """Guards against a body truncated at a chunk, whose remainder runs as a request."""

    async def scenario(deployment: Deployment) -> bytes:
        head = b'POST /pay/a HTTP/1.1\r\n' + HEAD + b'Transfer-Encoding: chunked\r\n'
        chunks = b'3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n'
        return await _send(deployment, head + b'\r\n' + chunks)

    assert _run(_echo_body, scenario).endswith(b'abcdefg')


def test_smuggled_request_reaches_no_upstream():
    """Guards against a caller that hides a second request by stating two lengths."""

    async def scenario(deployment: Deployment) -> tuple[bytes, list[str]]:
        hidden = b'GET /pay/hidden HTTP/1.1\r\n' + HEAD + b'\r\n'
        sent = _post(b'0\r\n\r\n' + hidden, b'Transfer-Encoding: chunked\r\n')
        received = await _send(deployment, sent)
        return received, [request.raw_path for request in deployment.seen]

    received, seen = _run(_echo_body, scenario)
    assert received.split(b' ')[1] == b'400'
    assert seen == []


def test_body_that_ends_early_reaches_no_upstream():
    """Guards against running a payment with a truncated body."""

    async def scenario(deployment: Deployment) -> int:
        reader, writer = await asyncio.open_connection(HOST, deployment.entry_port)
        writer.write(_post(b'whole')[:-2])
        await writer.drain()
        writer.close()
        await asyncio.sleep(0.3)
        return len(deployment.seen)

    assert _run(_echo_body, scenario) == 0


def test_unresponsive_upstream_fails_the_call_at_its_deadline():
    """Guards against a caller that gets no response by its deadline."""

    async def hang(_request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(LIMIT_S)
        return web.Response()

    async def scenario(deployment: Deployment) -> int:
        call = deployment.call('/pay/a', 'POST', X_Time_Left='300')
        status, _, _ = await asyncio.wait_for(call, 1)
        return status

    assert _run(hang, scenario) == 504


def test_encoded_body_is_not_decoded():
    """Guards against a body that no longer matches its Content-Encoding."""

    async def encoded(request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        return web.Response(body=body, headers={'Content-Encoding': 'deflate'})

    async def scenario(deployment: Deployment) -> bytes:
        extra = b'Content-Encoding: gzip\r\n'
        return await _send(deployment, _post(b'not gzip at all', extra))

    received = _run(encoded, scenario)
    assert b'Content-Encoding: deflate' in received
    assert received.endswith(b'not gzip at all')


def test_stopping_node_responds_and_closes_persistent_connections():
    """Guards against a caller that reuses a connection to a node that stops."""

    async def scenario(deployment: Deployment) -> bytes:
        stopping = asyncio.ensure_future(deployment.nodes['entry'].stop())
        await asyncio.sleep(0.1)
        received = await _send(deployment, _post(b'x'))
        await stopping
        return received

    received = _run(_echo_body, scenario)
    assert received.startswith(b'HTTP/1.1 200 OK')
    assert b'Connection: close' in received
