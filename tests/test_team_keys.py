"""Tests of requests with the keys of teams, across two nodes."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web
from gentianmill_mesh.mesh_metrics import MAX_TEAMS, OTHER_TEAM, MeshMetrics
from mesh_deployment import RULE_HOST, Deployment, TeamFields, rules_document
from standins.processes import HOST

KEY = 'k-ants-1'
OTHER_KEY = 'k-bees-1'
TEAMS = (('ants', (KEY, 'k-ants-2'), None), ('bees', (OTHER_KEY,), 3))

Scenario = Callable[[Deployment], Awaitable[object]]


async def _serve(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b'served')


def _run(
    scenario: Scenario, teams: tuple[TeamFields, ...] = TEAMS, handler=_serve
) -> object:
    async def run_in_deployment() -> object:
        async with Deployment(handler, teams) as deployment:
            return await asyncio.wait_for(scenario(deployment), 10)

    return asyncio.run(run_in_deployment())


def _statuses(
    path: str, *headers: dict[str, str], teams: tuple[TeamFields, ...] = TEAMS
) -> tuple[list[int], int]:
    """Return the statuses of requests, and how many reached the upstream."""

    async def scenario(deployment: Deployment) -> tuple[list[int], int]:
        statuses = [(await deployment.call(path, **sent))[0] for sent in headers]
        return statuses, len(deployment.seen)

    return _run(scenario, teams)


def test_known_keys_are_served():
    """Guards against a team whose second key is refused."""
    sent = [{'X_Key': f'Pass {key}'} for key in (KEY, 'k-ants-2', OTHER_KEY)]
    assert _statuses('/read/a', *sent) == ([200, 200, 200], 3)


@pytest.mark.parametrize('path', ['/read/a', '/pay/a', '/open/a'])
@pytest.mark.parametrize(
    'credentials',
    ['Pass k-ants-', 'Pass ', 'Pass', KEY, f'Basic {KEY}', f'Pass {KEY} x', ''],
)
def test_unknown_key_is_not_authorized(path: str, credentials: str):
    """Guards against a request that runs with a key of no team, whatever the route."""
    assert _statuses(path, {'X_Key': credentials}) == ([401], 0)


def test_scheme_is_compared_without_case():
    """Guards against a refusal of callers that write the scheme in another case."""
    assert _statuses('/read/a', {'X_Key': f'pass {KEY}'}) == ([200], 1)


@pytest.mark.parametrize(
    ('path', 'expected'), [('/read/a', 401), ('/pay/a', 401), ('/open/a', 200)]
)
def test_request_without_a_key_needs_an_open_route(path: str, expected: int):
    """Guards against work without a key, and against a public route that is closed."""
    assert _statuses(path, {}) == ([expected], int(expected == 200))


def test_missing_route_comes_before_a_missing_key():
    """Guards against a 401 for a path that no key makes available."""
    sent = ({}, {'X_Key': 'Pass none'}, {'X_Key': f'Pass {KEY}'})
    assert _statuses('/other/a', *sent) == ([404, 404, 404], 0)


@pytest.mark.parametrize('path', ['/read/a', '/open/a'])
def test_several_keys_are_not_authorized(path: str):
    """Guards against two nodes or programs that each use another of two keys."""

    async def scenario(deployment: Deployment) -> tuple[int, int]:
        reader, writer = await asyncio.open_connection(HOST, deployment.entry_port)
        line = b'X-Key: Pass %b\r\n' % KEY.encode()
        head = b'GET %b HTTP/1.1\r\nHost: %b\r\n' % (path.encode(), RULE_HOST.encode())
        writer.write(head + line + line + b'\r\n')
        status_line = await reader.readline()
        writer.close()
        return int(status_line.split()[1]), len(deployment.seen)

    assert _run(scenario) == (401, 0)


def test_refusal_names_the_scheme():
    """Guards against a 401 without the challenge that RFC 9110 requires."""

    async def scenario(deployment: Deployment) -> str:
        _, _, headers = await deployment.call('/read/a')
        return headers['WWW-Authenticate']

    assert _run(scenario) == 'Pass'


def test_upstream_learns_the_team_and_no_key():
    """Guards against a key that an upstream reads, and a team that a caller claims."""

    async def scenario(deployment: Deployment) -> list[tuple[object, object]]:
        credentials = f'Pass {OTHER_KEY}'
        await deployment.call('/read/a', X_Key=credentials, X_Team='ants')
        await deployment.call('/open/a', X_Team='ants')
        await deployment.call(
            '/pay/a', 'POST', X_Key=credentials, Connection='x-key, x-team'
        )
        return [
            (request.headers.getall('X-Team', []), request.headers.getall('X-Key', []))
            for request in deployment.seen
        ]

    assert _run(scenario) == [(['bees'], []), ([], []), (['bees'], [])]


def test_without_teams_everything_passes_as_before():
    """Guards against a deployment without teams whose upstreams miss their headers."""

    async def scenario(deployment: Deployment) -> list[list[str]]:
        await deployment.call('/read/a')
        async with aiohttp.ClientSession() as session:
            url = f'http://{HOST}:{deployment.entry_port}/read/a'
            sent = [
                ('Host', RULE_HOST),
                ('X-Key', 'Basic a'),
                ('X-Team', 'ants'),
                ('X-Key', 'b'),
            ]
            async with session.get(url, headers=sent) as response:
                assert response.status == 200
        return [
            request.headers.getall('X-Key', []) + request.headers.getall('X-Team', [])
            for request in deployment.seen
        ]

    assert _run(scenario, ()) == [[], ['Basic a', 'b', 'ants']]


def test_calls_of_an_upstream_inherit_the_team_and_need_no_key():
    """Guards against a 401 for work that a team has already paid for.

    The upstream of ``back`` calls through the node on its own VM, under an id that
    contains that of its request, and without a key.
    """

    async def scenario(deployment: Deployment) -> list[object]:
        inner: list[object] = []

        async def call_again(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == '/read/outer':
                for request_id in ('root.1', 'stranger.1'):
                    status, _, _ = await deployment.call(
                        '/pay/inner',
                        'POST',
                        node='back',
                        X_Attempt=request_id,
                        X_Team='bees',
                    )
                    inner.append(status)
            elif request.path == '/pay/inner':
                inner.append(request.headers.getall('X-Team', []))
            return web.Response(headers={'X-Attempt': request.headers['X-Attempt']})

        deployment.handler = call_again
        status, _, _ = await deployment.call(
            '/read/outer', X_Key=f'Pass {KEY}', X_Attempt='root'
        )
        assert 'team_requests_total{end="2xx",team="ants"} 1' in (
            await deployment.metrics('back')
        )
        return [status, *inner]

    assert _run(scenario) == [200, [], 200, 401]


@pytest.mark.parametrize('node', ['entry', 'back'])
def test_withdrawn_key_is_out_of_use_on_an_open_connection(node: str):
    """Guards against a key that is remembered with its connection."""

    async def scenario(deployment: Deployment) -> list[object]:
        reader, writer = await asyncio.open_connection(
            HOST, deployment.entry_ports[node]
        )

        async def ask() -> int:
            line = b'X-Key: Pass %b\r\n\r\n' % KEY.encode()
            writer.write(b'GET /read/a HTTP/1.1\r\nHost: till.example\r\n' + line)
            head = await reader.readuntil(b'\r\n\r\n')
            length = head.lower().partition(b'content-length: ')[2]
            await reader.readexactly(int(length.split()[0]))
            return int(head.split()[1])

        statuses = [await ask()]
        for document in (
            rules_document(2, teams=TEAMS[1:]),
            rules_document(1, teams=TEAMS),
            rules_document(2, teams=TEAMS),
        ):
            deployment.rules[node].offer(document, 'test')
            statuses.append(await ask())
        writer.close()
        return statuses

    assert _run(scenario) == [200, 401, 401, 401]


def test_refusals_are_logged_and_counted_without_keys(capsys):
    """Guards against a refusal without a cause, and a key in the log or the metrics."""

    async def scenario(deployment: Deployment) -> str:
        deployment.rules['entry'].offer(rules_document(2, teams=TEAMS[1:]), 'test')
        for number, key in enumerate((KEY, 'k-none-1')):
            await deployment.call(
                '/read/a', X_Key=f'Pass {key}', X_Attempt=f'r{number}'
            )
        await deployment.call('/read/a', X_Attempt='r2')
        await _send_malformed(deployment)
        return await deployment.metrics()

    metrics = _run(scenario)
    written = capsys.readouterr().out
    logged = [line for line in written.splitlines() if 'not authorized' in line]
    assert len(logged) == len(EXPECTED_LINES)
    for expected, line in zip(EXPECTED_LINES, logged, strict=True):
        assert expected in line
    assert 'team_refusals_total{reason="withdrawn_key",team="ants"} 1' in metrics
    assert 'k-' not in written
    assert 'k-' not in metrics


EXPECTED_LINES = (
    'reason=withdrawn_key request_id=r0 route=/read/ rules=2 team=ants',
    'reason=unknown_key request_id=r1 route=/read/ rules=2',
    'reason=no_key request_id=r2 route=/read/ rules=2',
)


async def _send_malformed(deployment: Deployment) -> None:
    reader, writer = await asyncio.open_connection(HOST, deployment.entry_port)
    writer.write(b'GET /read/a HTTP/1.1\r\nX-Key: Pass %b\0\r\n\r\n' % KEY.encode())
    assert b' 400 ' in await reader.readline()
    writer.close()


def test_metrics_by_team_are_bounded():
    """Guards against a page of metrics that grows with each renamed team."""
    metrics = MeshMetrics()
    for number in range(MAX_TEAMS + 50):
        metrics.on_team_request(f't{number}', 200)
        metrics.on_team_refusal(f't{number}', 'no_key')
    text = metrics.render()[0].decode()
    assert text.count('team_requests_total{') == MAX_TEAMS + 1
    assert f'team="{OTHER_TEAM}"}} 50' in text
