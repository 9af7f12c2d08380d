"""Tests of calls on links that fall silent without a reset."""

import asyncio

from aiohttp import web
from mesh_deployment import Deployment

LIMIT_S = 10
SILENT_S = 0.5
"""How long a link has been silent when a call is sent on it."""

SHORT_CALL_MS = 700
"""Time of the shortest calls that upstreams make on the users' platform."""


def _run(handler, scenario) -> object:
    async def run_scenario() -> object:
        async with Deployment(handler) as deployment:
            await deployment.call('/read/warm', X_Attempt='w', X_Time_Left='3000')
            return await asyncio.wait_for(scenario(deployment), LIMIT_S)

    return asyncio.run(run_scenario())


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    name = request.headers['X-Attempt']
    return web.Response(text=name, headers={'X-Attempt': name})


def test_short_call_on_a_link_that_is_silent_is_served():
    """Guards against a call that waits for its end on a link that fell silent before."""

    async def scenario(deployment: Deployment) -> tuple[int, bytes]:
        deployment.fault_proxy.silence()
        await asyncio.sleep(SILENT_S)
        status, body, _ = await deployment.call(
            '/read/a', X_Attempt='a', X_Time_Left=str(SHORT_CALL_MS)
        )
        return status, body

    assert _run(_answer, scenario) == (200, b'a')


def test_payment_on_a_link_that_falls_silent_runs_once_and_is_answered():
    """Guards against a payment that is given up, or runs again, on the next link."""
    runs = []

    async def pay(request: web.BaseRequest) -> web.StreamResponse:
        runs.append(request.headers['X-Attempt'])
        await asyncio.sleep(0.3)
        return await _answer(request)

    async def scenario(deployment: Deployment) -> tuple[int, bytes]:
        paying = asyncio.ensure_future(
            deployment.call('/pay/a', 'POST', b'x', X_Attempt='p', X_Time_Left='3000')
        )
        await asyncio.sleep(0.1)
        deployment.fault_proxy.silence()
        status, body, _ = await paying
        return status, body

    assert _run(pay, scenario) == (200, b'p')
    assert runs.count('p') == 1
