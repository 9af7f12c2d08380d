"""Tests of quotas on real nodes, across two nodes in one process."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web
from mesh_deployment import Deployment, TeamFields

KEY = 'k-ants-1'
OTHER_KEY = 'k-bees-1'
RATE_PER_S = 4
BURST = 2
TEAMS: tuple[TeamFields, ...] = (
    ('ants', (KEY,), None, RATE_PER_S, BURST),
    ('bees', (OTHER_KEY,), None),
)
REQUESTS = 60
YOUNG_S = 6
"""Time after which nodes that have just started support owners in full (4 s), and a bucket
holds a few tokens."""

HEARTBEAT_S = 0.5

Scenario = Callable[[Deployment], Awaitable[object]]


async def _serve(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b'served')


async def _refuse(_request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=503, headers={'Not-Executed': 'true'})


async def _report(deployment: Deployment) -> None:
    """Send heartbeats of the upstream, without which it counts as gone after 3 s."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        deployment.report()


def _run(scenario: Scenario, handler=_serve) -> object:
    async def run_in_deployment() -> object:
        async with Deployment(handler, TEAMS) as deployment:
            reports = asyncio.create_task(_report(deployment))
            try:
                return await asyncio.wait_for(scenario(deployment), 20)
            finally:
                reports.cancel()

    return asyncio.run(run_in_deployment())


async def _send(deployment: Deployment, key: str = KEY) -> tuple[int, str]:
    status, _, headers = await deployment.call('/read/a', X_Key=f'Pass {key}')
    return status, headers.get('Retry-After', '')


def test_requests_beyond_the_quota_are_refused_unsent():
    """Guards against a team that exceeds its quota, and refusals of work that ran."""

    async def scenario(deployment: Deployment) -> tuple[Counter, int, float, set]:
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        replies = await asyncio.gather(*(_send(deployment) for _ in range(REQUESTS)))
        spent_s = loop.time() - begin_s
        told = {retry_after for status, retry_after in replies if status == 429}
        statuses = Counter(status for status, _ in replies)
        return statuses, len(deployment.seen), spent_s, told

    statuses, seen, spent_s, told = _run(scenario)
    assert set(statuses) <= {200, 429}
    assert statuses[429]
    assert statuses[200] == seen
    assert seen <= (RATE_PER_S * (spent_s + 1) + BURST) * 1.1 + 20
    assert all(len(text.partition('.')[2]) == 2 for text in told)


def test_callers_that_return_when_told_are_admitted():
    """Guards against a Retry-After at which the request is refused again."""

    async def call_again(deployment: Deployment) -> tuple[int, int]:
        status, retry_after = await _send(deployment)
        if status != 429:
            return status, status
        await asyncio.sleep(float(retry_after))
        return status, (await _send(deployment))[0]

    async def scenario(deployment: Deployment) -> list[tuple[int, int]]:
        await asyncio.sleep(YOUNG_S)
        return await asyncio.gather(*(call_again(deployment) for _ in range(16)))

    ends = _run(scenario)
    assert (429, 200) in ends
    assert {end for _, end in ends} == {200}


def test_a_team_without_a_quota_costs_nothing():
    """Guards against messages and timers for teams without a limit."""

    async def scenario(deployment: Deployment) -> tuple[set[int], bool]:
        statuses = {(await _send(deployment, OTHER_KEY))[0] for _ in range(40)}
        gates = [node._quotas for node in deployment.nodes.values()]
        return statuses, any(gate._timer or gate._limiters for gate in gates)

    assert _run(scenario) == ({200}, False)


def test_tokens_flow_after_all_nodes_started():
    """Guards against a waiting period for the first node in rendezvous order."""

    async def scenario(deployment: Deployment) -> int:
        status, _ = await _send(deployment)
        while status != 200:
            await asyncio.sleep(0.05)
            status, _ = await _send(deployment)
        return status

    assert _run(scenario) == 200


def test_requests_are_admitted_while_the_other_node_is_gone():
    """Guards against a team that is refused for good after its owner was lost."""

    async def scenario(deployment: Deployment) -> tuple[set[int], int]:
        await deployment.call('/read/a', X_Key=f'Pass {KEY}')
        gate = deployment.nodes['entry']._quotas
        deployment.fault_proxy.refusing = True
        deployment.fault_proxy.reset()
        team = deployment.rules['entry'].find_team('ants')
        decisions = []
        for _ in range(100):
            decisions.append(await gate.admit(team))
            await asyncio.sleep(0.1)
        return {None} & set(decisions), len(decisions)

    admitted, _ = _run(scenario)
    assert admitted == {None}


def test_decisions_are_counted_by_team():
    """Guards against a refused team whose owner and tokens nobody can find."""

    async def scenario(deployment: Deployment) -> tuple[str, str]:
        await asyncio.gather(*(_send(deployment) for _ in range(REQUESTS)))
        return await deployment.metrics(), await deployment.metrics('back')

    entry, back = _run(scenario)
    assert 'gentianmill_quota_total{kind="refused",team="ants"}' in entry
    assert 'gentianmill_quota_total{kind="issued",team="ants"}' in entry + back
    assert 'gentianmill_quota_owned{team="ants"}' in entry + back
    assert KEY not in entry + back
