"""Tests of the operator listener."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from aiohttp import ClientSession, web

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.member import Member, MemberStatus
from gentianmill_node.node_view import (
    DrainReport,
    HealthReport,
    LimitsReport,
    NodeView,
    SheetReport,
)
from gentianmill_node.operator_listener import operator_app

KEY = b'operator-key-0123'
WITH_KEY = {'Authorization': 'Bearer operator-key-0123'}
MEMBER = Member(
    'n1', 1, MemberStatus.draining, '127.0.0.1', 1, 2, 'puget', 'a', 'billing', 'b1', 70
)


class FakeNode(NodeView):
    """A node that reports fixed values."""

    def __init__(self, reason: str = '') -> None:
        self.drained = 0
        self.failure: Exception | None = None
        self._reason = reason

    def health(self) -> HealthReport:
        state = 'draining' if self.drained else 'ready'
        return HealthReport(not self._reason, self._reason, 'n1', state, 7)

    def members(self) -> list[Member]:
        if self.failure:
            raise self.failure
        return [MEMBER]

    def limits(self) -> LimitsReport:
        return LimitsReport(1, 2, 30, 4.5, 0, {'billing': 0})

    def drains(self) -> list[DrainReport]:
        return [DrainReport('n1', 'billing', 3)]

    def sheet(self) -> SheetReport:
        return SheetReport(7, 'deployment: x\n', 'ana', 1700000000000)

    async def drain(self) -> None:
        self.drained += 1

    def metrics(self) -> tuple[bytes, str]:
        return b'gentianmill_level 0\n', 'text/plain; version=0.0.4; charset=utf-8'


async def _report(session: ClientSession, url: str, name: str) -> dict[str, Any]:
    async with session.get(f'{url}/v1/{name}', headers=WITH_KEY) as response:
        assert response.status == 200
        return await response.json()


Probe = Callable[[ClientSession, str], Awaitable[None]]


def _run(node: NodeView, probe: Probe) -> None:
    async def run() -> None:
        runner = web.AppRunner(operator_app(node, KEY))
        await runner.setup()
        listener = socket.create_server(('127.0.0.1', 0))
        await web.SockSite(runner, listener).start()
        try:
            async with ClientSession() as session:
                port = listener.getsockname()[1]
                await probe(session, f'http://127.0.0.1:{port}')
        finally:
            await runner.cleanup()

    asyncio.run(run())


@pytest.mark.parametrize(
    'header', [None, 'Bearer ', 'Bearer operator-key-012', 'Basic x']
)
@pytest.mark.parametrize('path', ['members', 'limits', 'drains', 'sheet', 'drain', 'x'])
def test_refuses_requests_without_the_key(header: str | None, path: str):
    """Guards against a drain by anyone who reaches the port."""
    node = FakeNode()

    async def probe(session: ClientSession, url: str) -> None:
        headers = {'Authorization': header} if header else {}
        method = 'POST' if path == 'drain' else 'GET'
        async with session.request(
            method, f'{url}/v1/{path}', headers=headers
        ) as response:
            fields = await response.json()
            assert response.status == 401
            assert fields['code'] == 'unauthorised'
            assert fields['step'] == 'authorise'
            assert fields['peer'] == '127.0.0.1'

    _run(node, probe)
    assert not node.drained


def test_health_and_metrics_need_no_key():
    """Guards against scrapers and health probes that are locked out."""

    async def probe(session: ClientSession, url: str) -> None:
        async with session.get(f'{url}/health') as response:
            assert response.status == 200
            assert (await response.json())['ready'] is True
        async with session.get(f'{url}/metrics') as response:
            assert response.headers['Content-Type'].startswith('text/plain; version')
            assert await response.text() == 'gentianmill_level 0\n'

    _run(FakeNode(), probe)


def test_health_gives_the_reason_for_not_being_ready():
    """Guards against a node that is not ready and does not say why."""

    async def probe(session: ClientSession, url: str) -> None:
        async with session.get(f'{url}/health') as response:
            assert response.status == 503
            assert (await response.json())['reason'] == 'no sheet'

    _run(FakeNode('no sheet'), probe)


def test_reports_members_limits_drains_and_sheet():
    """Guards against reports that lose fields."""

    async def probe(session: ClientSession, url: str) -> None:
        names = ('members', 'limits', 'drains', 'sheet')
        bodies = await asyncio.gather(*(_report(session, url, name) for name in names))
        reports = dict(zip(names, bodies, strict=True))
        assert reports['members']['members'][0]['status'] == 'draining'
        assert reports['members']['members'][0]['slots'] == 70
        assert reports['limits']['limit'] == 30
        assert reports['drains']['drains'][0]['in_flight'] == 3
        assert reports['sheet']['text'] == 'deployment: x\n'
        assert reports['sheet']['accepted_by'] == 'ana'

    _run(FakeNode(), probe)


def test_drain_is_accepted_and_only_by_post():
    """Guards against a drain started by a link or a crawler."""
    node = FakeNode()

    async def probe(session: ClientSession, url: str) -> None:
        async with session.get(f'{url}/v1/drain', headers=WITH_KEY) as response:
            assert response.status == 405
            assert response.headers['Allow'] == 'POST'
            assert (await response.json())['code'] == 'bad_request'
        assert not node.drained
        async with session.post(f'{url}/v1/drain', headers=WITH_KEY) as response:
            assert response.status == 202
            assert (await response.json())['state'] == 'draining'

    _run(node, probe)
    assert node.drained == 1


def test_refuses_oversized_and_unknown_requests():
    """Guards against a large body buffered in memory, and HTML error pages."""
    node = FakeNode()

    async def probe(session: ClientSession, url: str) -> None:
        drain = f'{url}/v1/drain'
        async with session.post(drain, headers=WITH_KEY, data=b'x' * 9000) as response:
            assert response.status == 413
            assert (await response.json())['code'] == 'body_too_large'
        async with session.get(f'{url}/v1/unheard', headers=WITH_KEY) as response:
            assert response.status == 404
            assert (await response.json())['code'] == 'bad_request'

    _run(node, probe)
    assert not node.drained


def test_failures_become_errors_with_code_step_and_peer():
    """Guards against a failure that reaches operators without its cause."""
    node = FakeNode()

    async def probe(session: ClientSession, url: str) -> None:
        members = f'{url}/v1/members'
        node.failure = GentianmillError(ErrorCode.no_sheet, 'sheet', 'n1', 'no sheet')
        async with session.get(members, headers=WITH_KEY) as response:
            assert response.status == 503
            assert (await response.json())['code'] == 'no_sheet'
        node.failure = KeyError('secret detail')
        async with session.get(members, headers=WITH_KEY) as response:
            assert response.status == 500
            assert (await response.json())['code'] == 'internal'
            assert 'secret' not in await response.text()

    _run(node, probe)


def test_malformed_request_gets_status_400():
    """Guards against a listener that stops at bytes that are not HTTP."""

    async def probe(session: ClientSession, url: str) -> None:
        port = int(url.rpartition(':')[2])
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'\x00\x01 nonsense\r\n\r\n')
        assert b' 400 ' in await reader.readline()
        writer.close()
        async with session.get(f'{url}/health') as response:
            assert response.status == 200

    _run(FakeNode(), probe)
