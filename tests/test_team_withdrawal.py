"""Tests that a withdrawn key is out of use at nodes that follow a store."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web
from gentianmill.clock import BootClock, ManualClock
from gentianmill.node_table import NodeTable
from gentianmill.relay_messages import FreshnessStatus
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.store_following import StoreFollowing
from gentianmill_platform.config_decoder import ConfigDecoder
from gentianmill_platform.store_adapters import StoreRules
from mesh_deployment import JsonRules, rules_document
from node_records import node_record
from platform_store import FakeStore
from poll_turns import ImmediateTurns, ignore_confirmation
from rules_deployment import (
    CALLER_HOST,
    FollowingNode,
    RulesDeployment,
    config,
    rules_deployment,
    until,
)

KEPT = {'name': 'ants', 'apiKeys': ['k-kept']}
WITH_KEY = [KEPT, {'name': 'bees', 'apiKeys': ['k-lost']}]
WITHOUT_KEY = [KEPT, {'name': 'bees', 'apiKeys': []}]
SENT = {'X-Key': 'Pass k-lost'}

APPLY_LIMIT_S = 9
"""A confirmed change is in force everywhere within this time (docs/CAPACITY.md)."""

OBSERVED_S = 1.5
"""Time for which an answer must not change: several polls and announcements."""

UNKNOWN_MS = -1


def _run(
    scenario: Callable[[RulesDeployment], Awaitable[None]], count: int = 3
) -> None:
    async def run_in_deployment() -> None:
        async with rules_deployment(count, tenants=WITH_KEY) as deployment:
            await until(lambda: all(_serves(node) for node in deployment.nodes))
            await scenario(deployment)

    asyncio.run(run_in_deployment())


def _serves(node: FollowingNode) -> bool:
    return node.rules.served is not None


def _is_rules_call(request: web.Request) -> bool:
    return request.query.get('table') == 'op'


def _is_rules_read(request: web.Request) -> bool:
    return _is_rules_call(request) and request.path == '/-/rows-get'


async def _observed(
    deployment: RulesDeployment, node: FollowingNode, seconds: float
) -> set[int]:
    """Return the statuses of the withdrawn key for some time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    statuses = set()
    while loop.time() < end_s:
        statuses.add(await deployment.status(node, '/read/a', **SENT))
        await asyncio.sleep(0.02)
    return statuses


def test_node_that_hears_only_other_nodes_refuses_a_withdrawn_key():
    """Guards against a key that stays in use where the store can't be reached."""

    async def scenario(deployment: RulesDeployment) -> None:
        isolated = deployment.nodes[0]
        isolated.store_proxy.refusing = True
        isolated.store_proxy.reset()
        async with aiohttp.ClientSession(
            headers={'Host': CALLER_HOST, **SENT}
        ) as session:
            async with session.get(f'{isolated.entry}/read/a') as response:
                assert response.status == 200
                await response.read()
            deployment.put(2, tenants=WITHOUT_KEY)
            await asyncio.wait_for(deployment.until_all(2), APPLY_LIMIT_S)
            async with session.get(f'{isolated.entry}/read/a') as response:
                assert response.status == 401

    _run(scenario)


def test_older_configuration_brings_no_withdrawn_key_back():
    """Guards against a key that a delayed write or an isolated node restores."""

    async def scenario(deployment: RulesDeployment) -> None:
        deployment.put(2, tenants=WITHOUT_KEY)
        await asyncio.wait_for(deployment.until_all(2), APPLY_LIMIT_S)
        deployment.put(1, tenants=WITH_KEY)
        for node in deployment.nodes:
            assert await _observed(deployment, node, OBSERVED_S / 3) == {401}
        deployment.put(3, tenants=WITHOUT_KEY)
        await asyncio.wait_for(deployment.until_all(3), APPLY_LIMIT_S)
        for node in deployment.nodes:
            assert node.versions == sorted(node.versions)
            assert await deployment.status(node, '/read/a', **SENT) == 401

    _run(scenario)


def test_restarted_node_does_not_trust_rules_that_nobody_confirms():
    """Guards against a key that comes back with the old rules of another node.

    The store's rows of the rules can't be read, so that the restarted node gets them
    from a node that has not heard of the withdrawal either.
    """

    async def scenario(deployment: RulesDeployment) -> None:
        number = await deployment.number_of_no_follower()
        deployment.store.fails = _is_rules_call
        deployment.put(2, tenants=WITHOUT_KEY)
        restarted = await deployment.restart(number)
        await until(lambda: restarted.rules.version == 1)
        assert await _observed(deployment, restarted, OBSERVED_S) == {503}
        deployment.store.fails = lambda _request: False
        await until(lambda: _serves(restarted))
        assert restarted.rules.version == 2
        assert await _observed(deployment, restarted, OBSERVED_S / 3) == {401}

    _run(scenario, 4)


def test_restarted_node_serves_what_other_nodes_have_confirmed_since():
    """Guards against a node that serves nothing while only others reach the store.

    It would begin with a read of the whole table; the others wait for changes.
    """

    async def scenario(deployment: RulesDeployment) -> None:
        number = await deployment.number_of_no_follower()
        deployment.store.fails = _is_rules_read
        restarted = await deployment.restart(number)
        await asyncio.wait_for(until(lambda: _serves(restarted)), APPLY_LIMIT_S)
        assert await deployment.status(restarted, '/read/a', **SENT) == 200

    _run(scenario, 4)


def _offered(version: int, tenants: object) -> bytes:
    return json.dumps(config(version) | {'tenants': tenants}).encode()


async def _follow(
    store: FakeStore,
    holder: RulesHolder,
    on_confirmed: Callable[[float], None] = ignore_confirmation,
) -> StoreRules:
    source = StoreRules(store.client, BootClock())
    await source.start(holder, ImmediateTurns(), on_confirmed)
    return source


def _run_with_store(
    scenario: Callable[[FakeStore, RulesHolder], Awaitable[None]],
) -> None:
    async def run_with_store() -> None:
        async with FakeStore() as store:
            await asyncio.wait_for(scenario(store, RulesHolder(ConfigDecoder())), 20)

    asyncio.run(run_with_store())


def test_read_of_an_earlier_content_does_not_bring_a_key_back():
    """Guards against a node that starts with a read from before a withdrawal."""

    async def scenario(store: FakeStore, holder: RulesHolder) -> None:
        store.put('op', 'config', _offered(1, WITH_KEY))
        store.stale_reads = store.snapshot()
        store.put('op', 'config', _offered(2, WITHOUT_KEY))
        source = await _follow(store, holder)
        await until(lambda: holder.rules is not None)
        assert (holder.version, holder.served) == (1, None)
        await until(lambda: holder.served is not None)
        assert holder.version == 2
        await source.close()

    _run_with_store(scenario)


def test_invalid_configuration_does_not_confirm_the_rules_of_another_node():
    """Guards against a key that was withdrawn by a version which nobody can read now."""

    async def scenario(store: FakeStore, holder: RulesHolder) -> None:
        invalid = _offered(5, [KEPT, KEPT])
        store.put('op', 'config', invalid)
        holder.offer(_offered(3, WITH_KEY), 'another node')
        polls: list[float] = []
        source = await _follow(store, holder, polls.append)
        await until(lambda: len(polls) > 1)
        assert holder.rejected == invalid
        assert holder.served is None
        store.put('op', 'config', _offered(6, WITHOUT_KEY))
        await until(lambda: holder.served is not None)
        assert holder.version == 6
        await source.close()

    _run_with_store(scenario)


class _Links:
    """Count the questions to other nodes."""

    def __init__(self) -> None:
        self.asked = 0

    def reaches(self, _record: object) -> bool:
        return True

    def to(self, _record: object) -> '_Links':
        return self

    async def ask_status(self, _request: object) -> None:
        self.asked += 1


def _following(
    teams: bool, links: _Links | None = None
) -> tuple[StoreFollowing, RulesHolder, ManualClock]:
    clock = ManualClock(100_000)
    table = NodeTable()
    own = node_record('own')
    table.merge([own, node_record('other')])
    holder = RulesHolder(JsonRules())
    listed = [('bees', ['k-lost'], None)] if teams else []
    holder.offer(rules_document(3, teams=listed), 'test')
    return StoreFollowing(own, table, links or _Links(), holder, clock), holder, clock


@pytest.mark.parametrize(
    ('version', 'age_ms', 'expected'),
    [
        pytest.param(3, 1000, True, id='since_the_start'),
        pytest.param(3, 2001, False, id='before_the_start'),
        pytest.param(3, UNKNOWN_MS, False, id='unknown_age'),
        pytest.param(2, 0, False, id='older_version'),
        pytest.param(4, 0, False, id='newer_version_not_told_yet'),
    ],
)
def test_rules_with_teams_need_a_confirmation_since_the_start(
    version: int, age_ms: int, expected: bool
):
    """Guards against a node that trusts what another one knew before the restart."""
    following, holder, clock = _following(teams=True)
    clock.advance(2000)
    status = FreshnessStatus(version, age_ms, 0, UNKNOWN_MS)
    following.on_status(status, clock.now_ms())
    assert (holder.served is not None) is expected


def test_node_that_serves_nothing_confirms_nothing():
    """Guards against restarted nodes that confirm old rules to each other."""
    following, holder, clock = _following(teams=True)
    following.rules_confirmed(clock.now_ms())
    assert following.status().rules_age_ms == UNKNOWN_MS
    holder.confirm_newest()
    assert following.status().rules_age_ms == 0


def test_rules_without_teams_are_served_at_once():
    """Guards against a later start of nodes whose rules hold no keys."""
    following, holder, clock = _following(teams=False)
    assert holder.served is holder.rules
    following.rules_confirmed(clock.now_ms())
    assert following.status().rules_age_ms == 0


def test_follower_that_serves_nothing_asks_others():
    """Guards against a restarted follower that is refused by the store and waits for it."""

    async def scenario() -> list[int]:
        links = _Links()
        following, holder, _ = _following(teams=True, links=links)
        assert following.is_follower
        following.check()
        await asyncio.sleep(0)
        counts = [links.asked]
        holder.confirm_newest()
        following.check()
        await asyncio.sleep(0)
        return [*counts, links.asked]

    assert asyncio.run(scenario()) == [1, 1]
