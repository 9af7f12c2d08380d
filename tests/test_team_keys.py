"""Tests of requests with the keys of teams, across two nodes."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web
from mesh_deployment import RULE_HOST, Deployment, TeamFields
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
