"""Tests of forged and malformed messages at each listener of running nodes."""

from collections.abc import Iterator
from typing import Any

import aiohttp
import pytest

from gentianmill import control_pb2
from gentianmill.clock import MonotonicClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.messages import CallFrame
from gentianmill_node.control_client import ControlClient
from gentianmill_node.frames import encode
from process_deployments import (
    SHEET_FILE,
    upstream_specs,
    new_session,
    run_with_timeout,
)
from standins.processes import (
    HOST,
    OPERATOR_KEY,
    PEER_KEY,
    Deployment,
    Pair,
    http,
    running,
)

FORGED = {
    'X-Call-Context': 'made-up-token',
    'X-Outcome': 'answered',
    'X-Error-Code': 'internal',
}
WRONG_KEY = 'wrong-key-0123456789'
PAY = '/tesoreria/cuotas'
READ = '/tesoreria/cuotas/m1'
OVERSIZED = bytes(1024 * 1024 + 1)
OPERATOR_ROUTES = ('/v1/members', '/v1/limits', '/v1/drains', '/v1/sheet')


@pytest.fixture(scope='module')
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run a deployment of four nodes."""
    folder = tmp_path_factory.mktemp('intruders')
    with running(folder, SHEET_FILE, upstream_specs()) as started:
        yield started


@pytest.fixture
def pair(deployment: Deployment) -> Iterator[Pair]:
    """Provide a node; afterwards it must still respond and no call may have run."""
    node = deployment.pairs[0]
    before = deployment.executions()
    yield node
    assert deployment.executions() == before
    assert node.node.poll() is None
    assert http('GET', f'{node.operator_url}/health')[0] == 200
    status, fields = http('GET', f'{node.caller_url}{READ}')
    assert (status, fields['path']) == (200, '/cuotas/m1')


def _call(
    url: str, method: str = 'GET', **options: Any
) -> tuple[aiohttp.ClientResponse, Any]:
    async def exchange() -> tuple[aiohttp.ClientResponse, Any]:
        async with new_session() as session:
            async with session.request(method, url, **options) as response:
                return response, await response.json()

    return run_with_timeout(exchange())


def _check_refusal(
    response: aiohttp.ClientResponse, fields: Any, status: int, code: str
) -> None:
    assert response.status == status, fields
    assert fields['code'] == code
    assert fields['step']
    assert 'peer' in fields
    assert fields['message']


def _bearer(key: str | None) -> dict[str, str]:
    return {'Authorization': f'Bearer {key}'} if key else {}


REFUSED_CALLS = {
    'unknown service': ('GET', '/nobody/x', {}, b'', 404, 'unknown_service'),
    'no path': ('GET', '/', {}, b'', 404, 'unknown_service'),
    'unknown path': ('GET', '/tesoreria/secret', {}, b'', 404, 'unknown_operation'),
    'other method': ('DELETE', PAY, {}, b'', 404, 'unknown_operation'),
    'no key': ('POST', PAY, {}, b'due', 400, 'key_missing'),
    'empty key': ('POST', PAY, {'Idempotency-Key': ''}, b'due', 400, 'key_missing'),
    'long key': ('POST', PAY, {'Idempotency-Key': 'k' * 256}, b'', 400, 'bad_request'),
    'oversized body': (
        'POST',
        PAY,
        {'Idempotency-Key': 'big'},
        OVERSIZED,
        413,
        'body_too_large',
    ),
    'word as deadline': ('GET', READ, {'X-Deadline-Ms': 'x'}, b'', 400, 'bad_request'),
    'fraction': ('GET', READ, {'X-Deadline-Ms': '1.5'}, b'', 400, 'bad_request'),
    'negative': ('GET', READ, {'X-Deadline-Ms': '-1'}, b'', 400, 'bad_request'),
    'empty': ('GET', READ, {'X-Deadline-Ms': ''}, b'', 400, 'bad_request'),
    'many digits': (
        'GET',
        READ,
        {'X-Deadline-Ms': '9' * 5000},
        b'',
        400,
        'bad_request',
    ),
}


@pytest.mark.parametrize('listener', ['caller', 'egress'])
@pytest.mark.parametrize('case', list(REFUSED_CALLS))
def test_a_malformed_call_is_refused(pair: Pair, listener: str, case: str):
    """Guards against a malformed call that runs or ends without a clear error."""
    request, (status, code) = REFUSED_CALLS[case][:4], REFUSED_CALLS[case][4:]
    method, path, headers, body = request
    url = f'http://{HOST}:{pair.ports[listener]}{path}'
    response, fields = _call(url, method, headers=headers, data=body)
    _check_refusal(response, fields, status, code)
    assert fields['step'] == 'request'
    assert response.headers['X-Outcome'] == 'not_run'
    assert response.headers['X-Error-Code'] == code
    assert response.headers['X-Error-Step'] == 'request'
    assert 'X-Error-Peer' in response.headers


@pytest.mark.parametrize('listener', ['caller', 'egress'])
def test_forged_context_is_dropped(deployment: Deployment, listener: str):
    """Guards against callers that set the context or the outcome of a call."""
    pair = deployment.pairs[0]
    executed_before = len(deployment.executions())
    url = f'http://{HOST}:{pair.ports[listener]}{READ}-{listener}'
    response, fields = _call(url, headers=FORGED)
    assert response.status == 200, fields
    assert response.headers.getall('X-Outcome') == ['answered']
    assert 'X-Error-Code' not in response.headers
    ran = deployment.executions()[executed_before:]
    assert [run['path'] for run in ran] == [f'/cuotas/m1-{listener}']
    assert ran[0]['context'] not in {'', FORGED['X-Call-Context']}
    assert ran[0]['outcome'] == ''


@pytest.mark.parametrize('path', ['/calls', '/bulk', '/other'])
@pytest.mark.parametrize('key', [None, WRONG_KEY, OPERATOR_KEY, PEER_KEY[:-1]])
def test_the_peer_listener_needs_the_key(pair: Pair, path: str, key: str | None):
    """Guards against clients without the key that run calls as if they were nodes."""
    headers = {**_bearer(key), 'Connection': 'Upgrade', 'Upgrade': 'websocket'}
    url = f'http://{HOST}:{pair.ports["peer"]}{path}'
    response, fields = _call(url, headers=headers)
    _check_refusal(response, fields, 401, 'unauthorised')
    assert fields['peer'] == HOST


FRAME = CallFrame(
    call_id=1,
    service='tesoreria',
    method='POST',
    path='/cuotas',
    tenant='t',
    request_id='r',
    identity='',
    digest=b'',
    time_left_ms=5000,
    rank=0,
    home='',
    depth=0,
    at_most_once=True,
    body=b'due',
    idempotency_key='',
    headers={},
)
GARBAGE = {
    'empty': b'',
    'no msgpack': b'\xc1\xff\x00',
    'text': b'crash-upstream',
    'unknown tag': b'\x92\xa7Unknown\x01',
    'cut short': encode(FRAME)[:-4],
    'bytes after the frame': encode(FRAME) + b'\x00',
    'deep nesting': b'\x91' * 100_000,
}


@pytest.mark.parametrize('case', list(GARBAGE))
def test_garbage_ends_only_its_connection(pair: Pair, case: str):
    """Guards against a message with the right key that stops the node."""
    assert _closed_after(pair, GARBAGE[case])


def test_a_text_frame_ends_its_connection(pair: Pair):
    """Guards against a text message that is decoded as a frame."""
    assert _closed_after(pair, encode(FRAME).decode('latin-1'))


def test_an_oversized_frame_ends_its_connection(pair: Pair):
    """Guards against a message that exhausts the memory of the node."""
    assert _closed_after(pair, bytes(4 * 1024 * 1024 + 1))


def _closed_after(pair: Pair, message: bytes | str) -> bool:
    async def exchange() -> bool:
        url = f'http://{HOST}:{pair.ports["peer"]}/calls'
        async with new_session() as session:
            async with session.ws_connect(url, headers=_bearer(PEER_KEY)) as socket:
                try:
                    await _send(socket, message)
                except ConnectionError:
                    # The node may close before it has read a long message.
                    return True
                reply = await socket.receive()
        return reply.type in {aiohttp.WSMsgType.CLOSE, aiohttp.WSMsgType.CLOSED}

    return run_with_timeout(exchange())


async def _send(socket: aiohttp.ClientWebSocketResponse, message: bytes | str) -> None:
    if isinstance(message, str):
        await socket.send_str(message)
    else:
        await socket.send_bytes(message)


@pytest.mark.parametrize('text', ['', 'no base64!', 'AAAA', '/////w=='])
def test_a_malformed_bulk_call_is_refused(pair: Pair, text: str):
    """Guards against a download request that stops the node."""
    url = f'http://{HOST}:{pair.ports["peer"]}/bulk'
    headers = {**_bearer(PEER_KEY), 'X-Call-Frame': text}
    response, fields = _call(url, headers=headers)
    _check_refusal(response, fields, 503, 'protocol')
    assert fields['peer'] == HOST


@pytest.mark.parametrize('key', [WRONG_KEY, OPERATOR_KEY])
def test_the_control_listener_needs_the_key(pair: Pair, key: str):
    """Guards against clients without the key that add members or read the sheet."""

    async def exchange() -> list[object]:
        client = ControlClient(MonotonicClock(), key)
        address = (HOST, pair.ports['control'])
        failures = [
            await _failure(
                client.ping(address, control_pb2.PingRequest(sender_id='x'), 5000)
            ),
            await _failure(
                client.sync(address, control_pb2.SyncRequest(sender_id='x'), 5000)
            ),
            await _failure(client.fetch_sheet(address, 0, 5000)),
        ]
        client.close()
        return failures

    for failure in run_with_timeout(exchange()):
        assert isinstance(failure, GentianmillError)
        assert failure.code is ErrorCode.unauthorised
        assert failure.step
        assert failure.peer


async def _failure(work: Any) -> object:
    try:
        return await work
    except GentianmillError as error:
        return error


@pytest.mark.parametrize('key', [None, WRONG_KEY, PEER_KEY, OPERATOR_KEY[:-1]])
def test_operator_routes_need_the_key(pair: Pair, key: str | None):
    """Guards against clients without the key that read a node's state or drain it."""
    routes = [('GET', path) for path in OPERATOR_ROUTES]
    routes += [('POST', '/v1/drain'), ('GET', '/v1/other')]
    for method, path in routes:
        url = f'{pair.operator_url}{path}'
        response, fields = _call(url, method, headers=_bearer(key))
        _check_refusal(response, fields, 401, 'unauthorised')
        assert fields['peer'] == HOST
