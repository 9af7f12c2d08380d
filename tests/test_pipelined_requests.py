"""Tests of callers that send further requests before the first one is answered."""

import asyncio
import re
import time
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web
from gentianmill_mesh.mesh_settings import ReadAheadSettings
from mesh_deployment import RULE_HOST, Deployment
from standins.processes import HOST

LIMIT_S = 10
"""Ends a scenario that hangs."""

SLOW_S = 0.4
BRIEF_S = 0.05
GARBAGE = b'\x00 is no request\r\n\r\n'

Scenario = Callable[
    [Deployment, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[object]
]


def _run(handler, scenario: Scenario) -> object:
    async def run_scenario() -> object:
        async with Deployment(handler) as deployment:
            reader, writer = await asyncio.open_connection(HOST, deployment.entry_port)
            try:
                return await scenario(deployment, reader, writer)
            finally:
                writer.close()

    return asyncio.run(asyncio.wait_for(run_scenario(), LIMIT_S))


def _request(
    name: str, *, path: str = '/read/', method: str = 'GET', extra: str = ''
) -> bytes:
    return (
        f'{method} {path}{name} HTTP/1.1\r\nHost: {RULE_HOST}\r\n'
        f'X-Attempt: {name}\r\nX-Time-Left: 2000\r\n{extra}\r\n'
    ).encode()


def _post(name: str, body: bytes) -> bytes:
    extra = f'Content-Length: {len(body)}\r\n'
    return _request(name, path='/pay/', method='POST', extra=extra) + body


async def _echo_name(request: web.BaseRequest) -> web.StreamResponse:
    name = request.headers['X-Attempt']
    if name.startswith('slow'):
        await asyncio.sleep(SLOW_S)
    return web.Response(text=name, headers={'X-Attempt': name})


async def _without_length(request: web.BaseRequest) -> web.StreamResponse:
    """Respond to requests named ``open`` with a body that ends with the connection."""
    name = request.headers['X-Attempt']
    if not name.startswith('open'):
        return await _echo_name(request)
    await asyncio.sleep(SLOW_S / 2)
    head = f'HTTP/1.1 200 OK\r\nX-Attempt: {name}\r\nConnection: close\r\n\r\n'
    request.transport.write(head.encode() + name.encode())
    request.transport.close()
    raise ConnectionResetError


async def _read_responses(reader: asyncio.StreamReader, count: int) -> list[bytes]:
    return [await _read_response(reader) for _ in range(count)]


async def _read_response(reader: asyncio.StreamReader) -> bytes:
    """Return the body of the next response, or its status if that is not 200."""
    head = await reader.readuntil(b'\r\n\r\n')
    status = head.split(b' ', 2)[1]
    if b'chunked' in head:
        size = int(await reader.readuntil(b'\r\n'), 16)
        body = await reader.readexactly(size)
        assert await reader.readexactly(7) == b'\r\n0\r\n\r\n'
    else:
        _, _, length = head.partition(b'Content-Length: ')
        body = await reader.readexactly(int(length.partition(b'\r\n')[0]))
    return body if status == b'200' else status


def _running(metrics: str) -> int:
    """Return the requests under way at an entry."""
    return int(
        float(re.search(r'^gentianmill_entry_running\S* (\S+)$', metrics, re.M)[1])
    )


def _names(deployment: Deployment) -> list[str]:
    return [request.headers['X-Attempt'] for request in deployment.seen]


def test_reads_behind_a_slow_one_are_forwarded_at_once():
    """Guards against reads that lose their time to the work of those before them."""

    async def scenario(deployment, reader, writer) -> float:
        begin_s = time.monotonic()
        writer.write(b''.join(_request(f'slow{number}') for number in range(3)))
        assert await _read_responses(reader, 3) == [b'slow0', b'slow1', b'slow2']
        return time.monotonic() - begin_s

    # One after the other they would take three times as long.
    assert _run(_echo_name, scenario) < 2 * SLOW_S


def test_responses_are_sent_in_the_order_of_the_requests():
    """Guards against a fast response that overtakes a slow one of the connection."""

    async def scenario(deployment, reader, writer) -> list[bytes]:
        writer.write(_request('slow') + _request('fast') + _request('last'))
        return await _read_responses(reader, 3)

    assert _run(_echo_name, scenario) == [b'slow', b'fast', b'last']


def test_requests_split_at_any_byte_get_their_own_responses():
    """Guards against requests that are lost or mixed up where a segment ends."""
    sent = _request('slow') + _post('pay', b'dues') + _request('last')

    async def scenario(deployment, reader, writer) -> None:
        for cut in range(1, len(sent), 7):
            writer.write(sent[:cut])
            await asyncio.sleep(0)
            writer.write(sent[cut:])
            assert await _read_responses(reader, 3) == [b'slow', b'pay', b'last']

    async def no_delay(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text=request.headers['X-Attempt'])

    _run(no_delay, scenario)


def test_time_of_a_request_counts_from_its_arrival():
    """Guards against a request that waited and gets more time than its caller has."""

    async def scenario(deployment, reader, writer) -> int:
        writer.write(_request('slow') + _post('pay', b'dues'))
        await _read_responses(reader, 2)
        return int(deployment.seen[1].headers['X-Time-Left'])

    assert _run(_echo_name, scenario) <= 2000 - SLOW_S * 1000


def test_request_whose_time_ended_while_it_waited_is_refused():
    """Guards against work that nobody waits for, and against a false refusal."""

    async def scenario(deployment, reader, writer) -> tuple[list[bytes], list[str]]:
        late = _post('pay', b'dues').replace(b'2000', b'200')
        writer.write(_request('slow') + late)
        return await _read_responses(reader, 2), _names(deployment)

    assert _run(_echo_name, scenario) == ([b'slow', b'503'], ['slow'])


def test_payment_waits_for_the_responses_before_it():
    """Guards against a payment that runs behind a response that closes the connection.

    Its caller counts it as not read and sends it again.
    """

    async def scenario(deployment, reader, writer) -> list[str]:
        writer.write(_request('open') + _post('pay', b'dues'))
        await reader.read()
        await asyncio.sleep(SLOW_S)
        return _names(deployment)

    assert _run(_without_length, scenario) == ['open']


def test_read_behind_a_response_without_a_length_is_answered():
    """Guards against a read that was passed on and is cut by the response before it.

    That response can't be delivered: its end would be marked, though nobody knows whether
    its upstream has cut it.
    """

    async def scenario(deployment, reader, writer) -> list[bytes]:
        writer.write(_request('open') + _request('last'))
        return await _read_responses(reader, 2)

    assert _run(_without_length, scenario) == [b'502', b'last']


def test_response_without_a_length_ends_with_the_connection():
    """Guards against a length that hides that such a body may be cut."""

    async def scenario(deployment, reader, writer) -> bytes:
        writer.write(_request('open'))
        return await reader.read()

    received = _run(_without_length, scenario)
    assert b'Content-Length' not in received
    assert b'chunked' not in received
    assert received.endswith(b'open')


@pytest.mark.parametrize('split', [False, True])
def test_requests_before_a_malformed_one_are_answered(split: bool):
    """Guards against valid requests that fail with a later one of the same segment."""

    async def scenario(deployment, reader, writer) -> tuple[list[bytes], bytes]:
        writer.write(_request('slow') + _request('fast'))
        if split:
            await asyncio.sleep(SLOW_S / 4)
        writer.write(GARBAGE + _request('hidden'))
        return await _read_responses(reader, 3), await reader.read()

    async def check() -> None:
        async with Deployment(_echo_name) as deployment:
            reader, writer = await asyncio.open_connection(HOST, deployment.entry_port)
            responses, rest = await scenario(deployment, reader, writer)
            writer.close()
            assert responses == [b'slow', b'fast', b'400']
            assert rest == b''
            assert sorted(_names(deployment)) == ['fast', 'slow']

    asyncio.run(asyncio.wait_for(check(), LIMIT_S))


def test_nothing_behind_a_request_that_closes_the_connection_is_passed_on():
    """Guards against running a request that its caller will send again."""

    async def scenario(deployment, reader, writer) -> list[str]:
        closing = _request('slow', extra='Connection: close\r\n')
        writer.write(closing + _request('behind') + _post('pay', b'dues'))
        received = await reader.read()
        assert received.endswith(b'slow')
        await asyncio.sleep(SLOW_S / 2)
        return _names(deployment)

    assert _run(_echo_name, scenario) == ['slow']


def test_stop_answers_what_was_passed_on_and_nothing_behind_it():
    """Guards against a planned stop that cuts reads or runs what was not answered."""

    async def scenario(deployment, reader, writer) -> tuple[list[bytes], list[str]]:
        writer.write(_request('slow1') + _request('slow2') + _post('pay', b'dues'))
        await asyncio.sleep(SLOW_S / 2)
        stopping = asyncio.ensure_future(deployment.nodes['entry'].stop())
        responses = await _read_responses(reader, 2)
        assert await reader.read() == b''
        writer.close()
        await stopping
        return responses, sorted(_names(deployment))

    responses, names = _run(_echo_name, scenario)
    assert responses == [b'slow1', b'slow2']
    assert names == ['slow1', 'slow2']


def test_too_large_body_is_refused_and_its_response_survives():
    """Guards against a reset that destroys the response, as the rest stays unread."""

    async def scenario(deployment, reader, writer) -> tuple[list[bytes], list[str]]:
        writer.write(_request('slow') + _post('large', b'x' * 4_000_000))
        responses = await _read_responses(reader, 2)
        assert await reader.read() == b''
        return responses, _names(deployment)

    assert _run(_echo_name, scenario) == ([b'slow', b'413'], ['slow'])


def test_requests_read_ahead_are_bounded():
    """Guards against a caller that fills the memory of the node with requests."""
    limit = ReadAheadSettings().requests
    names = [f'{number}' for number in range(limit * 3)]

    async def brief(request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(BRIEF_S)
        return await _echo_name(request)

    async def scenario(deployment, reader, writer) -> list[int]:
        writer.write(b''.join(_request(name) for name in names))
        reading = asyncio.ensure_future(_read_responses(reader, len(names)))
        running = []
        while not reading.done():
            running.append(_running(await deployment.metrics()))
            await asyncio.sleep(BRIEF_S / 4)
        for name, response in zip(names, reading.result(), strict=True):
            # The load of the upstream may refuse some.
            assert response in {name.encode(), b'503'}
        return running

    assert 1 < max(_run(brief, scenario)) <= limit


def test_caller_that_leaves_ends_all_its_requests():
    """Guards against work for a caller that has closed its connection."""
    ended = []

    async def record_end(request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await _echo_name(request)
        except asyncio.CancelledError:
            ended.append(request.headers['X-Attempt'])
            raise

    async def scenario(deployment, reader, writer) -> list[str]:
        writer.write(_request('slow1') + _request('slow2'))
        await asyncio.sleep(SLOW_S / 2)
        writer.close()
        await asyncio.sleep(SLOW_S / 4)
        return sorted(ended)

    assert _run(record_end, scenario) == ['slow1', 'slow2']


def test_interim_response_waits_for_the_responses_before_it():
    """Guards against an interim response that is taken for that of another request."""

    async def scenario(deployment, reader, writer) -> list[bytes]:
        expecting = _post('pay', b'dues').replace(
            b'\r\n\r\ndues', b'\r\nExpect: 100-continue\r\n\r\n'
        )
        writer.write(_request('slow') + expecting)
        first = await _read_response(reader)
        interim = await reader.readuntil(b'\r\n\r\n')
        writer.write(b'dues')
        return [first, interim, await _read_response(reader)]

    assert _run(_echo_name, scenario) == [
        b'slow',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'pay',
    ]
