"""Tests of failures that operators of similar systems have reported."""

import asyncio
import math

import pytest
from aiohttp import web
from gentianmill.clock import ManualClock
from gentianmill.node_table import NodeTable
from gentianmill.relay_messages import FreshnessStatus
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.store_following import StoreFollowing
from gentianmill_platform.store_adapters import StoreNodes
from mesh_deployment import RULE_HOST, Deployment, JsonRules, rules_document
from node_records import node_record
from platform_store import FakeStore
from poll_turns import ImmediateTurns, ignore_confirmation
from standins.processes import HOST

LIMIT_S = 10
SILENCE_S = 1.0
"""Shorter than the time after which a link counts as silent."""

LATE_S = 0.05
COPIES = {
    'with_the_answer': (b'', True),
    'half_with_the_answer': (b'', False),
    'between_two_requests': (b'late', True),
}


class _NoLinks:
    """Links of a node that knows no other one."""

    def reaches(self, _record: object) -> bool:
        return False


def _run(handler, scenario) -> object:
    async def run_scenario() -> object:
        async with Deployment(handler) as deployment:
            return await scenario(deployment)

    return asyncio.run(asyncio.wait_for(run_scenario(), LIMIT_S))


def _answer(name: str) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\nX-Attempt: {name}\r\nContent-Length: {len(name)}\r\n\r\n'
        f'{name}'
    ).encode()


async def _ask(deployment: Deployment, names: list[str], pause_s: float) -> bytes:
    """Send reads on one connection and return all that is received."""
    reader, writer = await asyncio.open_connection(HOST, deployment.entry_port)
    for name in names:
        writer.write(
            f'GET /read/{name} HTTP/1.1\r\nHost: {RULE_HOST}\r\n'
            f'X-Attempt: {name}\r\nX-Time-Left: 2000\r\n\r\n'.encode()
        )
        await asyncio.sleep(pause_s)
    received = b''
    while (
        received.count(b'HTTP/1.1') < len(names) or received[-2:] != names[-1].encode()
    ):
        received += await reader.read(65536)
    writer.close()
    return received


@pytest.mark.parametrize('pause_s', [0, 2 * LATE_S])
@pytest.mark.parametrize('name', COPIES)
def test_second_copy_of_an_answer_reaches_nobody(name: str, pause_s: float):
    """Guards against a caller that gets the answer of an earlier request.

    The upstream writes each answer twice, at once or late, whole or in half; requests
    come one after the other or ahead of the answers.
    """
    late, whole = COPIES[name]

    async def answer_twice(request: web.BaseRequest) -> web.StreamResponse:
        own = _answer(request.headers['X-Attempt'])
        copy = own if whole else own[: len(own) // 2]
        transport = request.transport
        transport.write(own if late else own + copy)
        if late:
            await asyncio.sleep(LATE_S)
            transport.write(copy)
        await asyncio.sleep(LIMIT_S)
        return web.Response()

    names = ['r1', 'r2', 'r3']

    async def scenario(deployment: Deployment) -> bytes:
        return await _ask(deployment, names, pause_s)

    received = _run(answer_twice, scenario)
    bodies = [part.rpartition(b'\r\n\r\n')[2] for part in received.split(b'HTTP/1.1')]
    assert bodies[1:] == [name.encode() for name in names]


def test_record_of_a_node_that_left_is_not_accepted_after_a_restart():
    """Guards against a restarted node that learns of a server that had left from a peer.

    It has no memory of the deletion; the store's table, which it has read, lacks it.
    """
    left = node_record('left', revision=1)

    async def scenario() -> list[str]:
        async with FakeStore() as store:
            store.put('nodes', 'other', b'no record')
            table = NodeTable()
            registry = StoreNodes(store.client, ManualClock(0))
            await registry.start(
                table, lambda _: None, ImmediateTurns(), ignore_confirmation
            )
            await registry.poll_now()
            await asyncio.sleep(0.1)
            table.merge([left])
            await registry.close()
            return [record.name for record in table.records]

    assert asyncio.run(asyncio.wait_for(scenario(), LIMIT_S)) == []


@pytest.mark.parametrize('age_ms', [-1000, -(2**62)])
def test_senseless_age_confirms_nothing(age_ms: int):
    """Guards against one malformed status that keeps a node from asking forever."""
    clock = ManualClock(100_000)
    table = NodeTable()
    own = node_record('own')
    table.merge([own])
    holder = RulesHolder(JsonRules())
    holder.offer(rules_document(3), 'test')
    following = StoreFollowing(own, table, _NoLinks(), holder, clock)
    status = FreshnessStatus(3, age_ms, table.digest, age_ms)
    following.on_status(status, clock.now_ms())
    assert following.rules_age_ms == math.inf
    assert following.nodes_freshness().age_ms == math.inf


def test_running_payment_of_a_silent_node_is_neither_repeated_nor_given_up():
    """Guards against work that is started again as its node was silent for a while."""
    runs = []

    async def pay(request: web.BaseRequest) -> web.StreamResponse:
        runs.append(request.headers['X-Attempt'])
        await asyncio.sleep(SILENCE_S / 2)
        return web.Response(text='paid', headers={'X-Attempt': runs[-1]})

    async def scenario(deployment: Deployment) -> tuple[int, bytes, dict[str, str]]:
        await deployment.call('/read/x', X_Attempt='w', X_Time_Left='3000')
        runs.clear()
        paying = asyncio.ensure_future(
            deployment.call(
                '/pay/a', 'POST', b'dues', X_Attempt='p', X_Time_Left='4000'
            )
        )
        await asyncio.sleep(SILENCE_S / 4)
        deployment.fault_proxy.delay_s = SILENCE_S
        await asyncio.sleep(SILENCE_S)
        deployment.fault_proxy.delay_s = 0
        return await paying

    status, body, _ = _run(pay, scenario)
    assert (status, body) == (200, b'paid')
    assert runs == ['p']
