"""Tests of responses whose status is no status: they count as no response."""

import asyncio
import contextlib
import time

import pytest
from aiohttp import web
from gentianmill.clock import MonotonicClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill.relay_messages import GuardLoad, RelayAnswer, RelayCall
from gentianmill.settings_models import UpstreamModel
from gentianmill_mesh.relay_link import reply_of
from gentianmill_mesh.upstream_connection import LossKind, UpstreamLostError
from gentianmill_node.upstream_client import UpstreamClient
from mesh_deployment import Deployment
from mesh_upstream import Script, ScriptedUpstream, request, run
from upstream_calls import upstream_call

STATUSES = ('000', '099', '101', '600', '999', '0200', '20', 'abc', '2x0', '-20')
FIELDS = b'X-Attempt: 1\r\nX-Secret: s\r\nContent-Length: 2\r\n\r\n'
GOOD = b'HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 4\r\n\r\ngood'
PROMPT_S = 0.9
"""Less than the time of a request in these tests."""

EARNING = 20
"""First attempts from which a guard earns the budget of a few retries."""

AT_ONCE = 6
"""Calls under way at once, so that both upstreams of four slots get some. One after the
other, all go to the upstream whose link opens faster, if it opens much faster."""


def _response(status: str) -> bytes:
    return b'HTTP/1.1 %b X\r\n%bno' % (status.encode(), FIELDS)


@pytest.mark.parametrize('repeatable', [True, False])
@pytest.mark.parametrize('is_kept', [True, False])
@pytest.mark.parametrize('status', STATUSES)
def test_response_without_a_valid_status_is_no_response(
    status: str, is_kept: bool, repeatable: bool
):
    """Guards against a wait for the timeout, and against passing on such a response."""

    before = [GOOD] if is_kept else []

    async def scenario() -> tuple[LossKind, bytes, int]:
        async with ScriptedUpstream(
            Script([*before, _response(status), GOOD])
        ) as upstream:
            pool = upstream.pool()
            for _ in before:
                await run(pool, repeatable=repeatable)
            connections = upstream.connections
            started_s = time.monotonic()
            with pytest.raises(UpstreamLostError) as caught:
                await run(pool, repeatable=repeatable)
            assert time.monotonic() - started_s < PROMPT_S
            after = await run(pool, request(b'/b'), repeatable=repeatable)
            opened = upstream.connections - connections
            return caught.value.kind, after.body, opened

    kind, body, opened = asyncio.run(scenario())
    assert kind is LossKind.bad_answer
    assert body == b'good'
    assert opened == 2 - is_kept


@pytest.mark.parametrize('repeatable', [True, False])
def test_body_behind_such_a_response_belongs_to_no_request(repeatable: bool):
    """Guards against a body that is read as the response to the next request."""

    async def scenario() -> bytes:
        hidden = GOOD.replace(b'good', b'evil')
        bad = b'HTTP/1.1 000 X\r\nX-Attempt: 1\r\nContent-Length: %d\r\n\r\n%b'
        script = Script([bad % (len(hidden), hidden), GOOD])
        async with ScriptedUpstream(script) as upstream:
            pool = upstream.pool()
            with pytest.raises(UpstreamLostError):
                await run(pool, repeatable=repeatable)
            return (await run(pool, repeatable=repeatable)).body

    assert asyncio.run(scenario()) == b'good'


@pytest.mark.parametrize('status', ['100', '102', '103', '199'])
def test_interim_responses_are_still_skipped(status: str):
    """Guards against a rule on statuses that takes interim responses for faults."""

    async def scenario() -> int:
        interim = b'HTTP/1.1 %b X\r\n\r\n' % status.encode()
        async with ScriptedUpstream(Script([interim + GOOD])) as upstream:
            return (await run(upstream.pool())).status

    assert asyncio.run(scenario()) == 200


@pytest.mark.parametrize('status', ['000', '099', '600', '999', '0200', 'abc'])
@pytest.mark.parametrize(('path', 'method'), [('/read/a', 'GET'), ('/pay/a', 'POST')])
def test_caller_gets_502_without_the_headers_of_the_upstream(
    status: str, path: str, method: str
):
    """Guards against a caller that gets such a status, or waits for its time.

    There is one upstream, so that a repeatable request has nowhere else to go.
    """

    async def respond(request: web.BaseRequest) -> web.StreamResponse:
        request.transport.write(_response(status))
        await asyncio.sleep(10)
        return web.Response()

    async def scenario() -> tuple[int, dict[str, str], int]:
        async with Deployment(respond) as deployment:
            calling = deployment.call(path, method=method, X_Attempt='1')
            got, _, headers = await asyncio.wait_for(calling, 3)
            return got, headers, len(deployment.seen)

    got, headers, runs = asyncio.run(scenario())
    assert got == 502
    assert 'X-Secret' not in headers
    assert runs == 1 or method == 'GET'


@pytest.mark.parametrize('status', ['000', '099', '600', '999', '0200', 'abc'])
@pytest.mark.parametrize(
    ('path', 'method', 'ends'),
    [('/read/a', 'GET', (200, 2)), ('/pay/a', 'POST', (502, 1))],
)
def test_only_a_repeatable_request_is_retried(
    status: str, path: str, method: str, ends: tuple[int, int]
):
    """Guards against a request that ends with such a response, or runs twice."""

    bad: list[bytes] = []

    async def respond(request: web.BaseRequest) -> web.StreamResponse:
        if not bad:
            return web.Response(headers={'X-Attempt': '1'})
        request.transport.write(bad.pop())
        await asyncio.sleep(10)
        return web.Response()

    async def scenario() -> tuple[int, int]:
        async with Deployment(respond) as deployment:
            await deployment.add_guard('other', 'u2')
            while min(_runs(deployment, 'u1'), _runs(deployment, 'u2')) < EARNING:
                calls = (
                    deployment.call('/read/a', X_Attempt='1') for _ in range(AT_ONCE)
                )
                await asyncio.gather(*calls)
            before = len(deployment.seen)
            bad.append(_response(status))
            got, _, _ = await deployment.call(path, method=method, X_Attempt='1')
            return got, len(deployment.seen) - before

    assert asyncio.run(asyncio.wait_for(scenario(), 20)) == ends


def _runs(deployment: Deployment, upstream_id: str) -> int:
    return sum(seen.headers['X-Expected'] == upstream_id for seen in deployment.seen)


def _answer(status: int) -> RelayAnswer:
    return RelayAnswer(
        key=1,
        outcome=Outcome.answered.value,
        status=status,
        headers=[[b'X-Secret', b's']],
        body=b'no',
        reason='',
        framed=True,
        rules_version=1,
        load=GuardLoad(running=0, limit=1, queued=0),
        spent_ms=1,
    )


def _call() -> RelayCall:
    return RelayCall(
        key=1,
        service='s',
        method='GET',
        target=b'/',
        headers=[],
        body=b'',
        time_left_ms=1000,
        rank=0,
        patience_ms=1000,
        repeatable=True,
        caller_service='',
        route='r',
        cause='first',
    )


@pytest.mark.parametrize('status', [-1, 0, 99, 100, 101, 199, 600, 999, 70_000])
def test_frame_with_an_invalid_status_is_no_response(status: int):
    """Guards against a status that a node of an earlier version passes on."""
    reply = reply_of(_answer(status), _call(), b'x-attempt')
    assert reply.outcome is Outcome.unknown
    assert reply.response is None


@pytest.mark.parametrize('status', [200, 204, 404, 599])
def test_frame_with_a_valid_status_is_a_response(status: int):
    """Guards against a check of frames that refuses what may be passed on."""
    reply = reply_of(_answer(status), _call(), b'x-attempt')
    assert reply.outcome is Outcome.answered
    assert reply.response.status == status


class _RawUpstream:
    """Answer each request with the next response, and count connections."""

    def __init__(self, responses: list[bytes]) -> None:
        self.heads: list[int] = []
        self._responses = responses
        self._connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        number = self._connections
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(self._responses[len(self.heads)])
                self.heads.append(number)
        writer.close()


@pytest.mark.parametrize('is_kept', [True, False])
@pytest.mark.parametrize('status', STATUSES)
def test_own_interface_treats_it_as_no_response(status: str, is_kept: bool):
    """Guards against a client of the node's own interface that passes it on."""

    async def scenario() -> tuple[GentianmillError, list[int], bytes]:
        before = [GOOD] if is_kept else []
        upstream = _RawUpstream([*before, _response(status), GOOD])
        server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        settings = UpstreamModel(
            service='s',
            endpoint='e',
            host='127.0.0.1',
            port=port,
            slots=1,
            connections=2,
        )
        client = UpstreamClient(settings, 1024, MonotonicClock())
        async with server:
            await client.start()
            for _ in before:
                await client.run(upstream_call(), 'token', 1000)
            with pytest.raises(GentianmillError) as caught:
                await client.run(upstream_call(), 'token', 1000)
            after = await client.run(upstream_call(), 'token', 1000)
            await client.close()
            return caught.value, upstream.heads, after.body

    error, connections, body = asyncio.run(scenario())
    assert error.outcome is Outcome.unknown
    assert error.code is ErrorCode.connection_lost
    assert body == b'good'
    assert connections[-1] != connections[-2]
