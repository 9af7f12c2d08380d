"""Tests that each confirmed version of the rules is in force everywhere in time."""

import asyncio
import json
from collections.abc import Callable

import pytest
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_platform.config_decoder import ConfigDecoder
from rules_deployment import RulesDeployment, config, rules_deployment, until

APPLY_LIMIT_S = 9
"""A confirmed change is in force everywhere within this time (docs/CAPACITY.md)."""

RESUME_LIMIT_S = 6
"""Bound of a node on the platform that was suspended: it counts as connected 4 s later,
and a change must be in force 2.5 s after its confirmation."""

SUSPENSION_MS = 20_000
ADDED_ROUTES = 350


def _run(scenario: Callable[[RulesDeployment], object]) -> None:
    async def run_in_deployment() -> None:
        async with rules_deployment() as deployment:
            await scenario(deployment)

    asyncio.run(run_in_deployment())


def _document(version: int, **changes: object) -> bytes:
    return json.dumps(config(version) | changes).encode()


def _rule(**changes: object) -> bytes:
    """Return version 9 with one changed field in its only rule."""
    changed = config(9)
    rule = changed['listeners'][0]['rules'][0]
    for name, value in changes.items():
        part = (
            rule['action'] if name in {'service', 'trafficSplit', 'timeout'} else rule
        )
        part[name] = value
    return json.dumps(changed).encode()


def test_change_is_in_force_in_time_after_all_connections_fell_silent():
    """Guards against a poll that waits 23 s on a connection that was never reset."""

    async def scenario(deployment: RulesDeployment) -> None:
        deployment.silence()
        deployment.put(2)
        await asyncio.wait_for(deployment.until_all(2), APPLY_LIMIT_S)

    _run(scenario)


def test_change_is_in_force_in_time_after_the_store_dropped_all_polls():
    """Guards against a wait for a response that was lost while TCP still acknowledges."""

    async def scenario(deployment: RulesDeployment) -> None:
        deployment.mute()
        deployment.put(2)
        await asyncio.wait_for(deployment.until_all(2), APPLY_LIMIT_S)

    _run(scenario)


def test_change_during_a_suspension_is_in_force_soon_after_it():
    """Guards against timers that do not advance while the VM is suspended."""

    async def scenario(deployment: RulesDeployment) -> None:
        deployment.mute()
        deployment.put(2)
        for node in deployment.nodes:
            node.clock.suspended_ms += SUSPENSION_MS
        await asyncio.wait_for(deployment.until_all(2), RESUME_LIMIT_S)

    _run(scenario)


def test_node_that_the_store_turns_away_gets_a_change_from_another_node():
    """Guards against a change that reaches a node only with its next request."""

    async def scenario(deployment: RulesDeployment) -> None:
        deployment.nodes[0].store_proxy.refusing = True
        deployment.nodes[0].store_proxy.reset()
        deployment.put(2)
        await asyncio.wait_for(deployment.until_all(2), APPLY_LIMIT_S)

    _run(scenario)


def test_change_reaches_a_node_over_links_that_fell_silent():
    """Guards against frames that are sent on a silent link and never again."""

    async def scenario(deployment: RulesDeployment) -> None:
        for node in deployment.nodes:
            node.relay_proxy.silence()
        for node in deployment.nodes[1:]:
            node.store_proxy.refusing = True
            node.store_proxy.reset()
        deployment.put(2)
        await asyncio.wait_for(deployment.until_all(2), APPLY_LIMIT_S)

    _run(scenario)


def test_older_version_never_comes_back():
    """Guards against a stale read after a lost history that restores older rules."""

    async def scenario(deployment: RulesDeployment) -> None:
        stale = deployment.store.snapshot()
        deployment.put(2)
        await deployment.until_all(2)
        deployment.store.stale_reads = stale
        deployment.store.version += 10
        deployment.store.compacted_version = deployment.store.version
        for node in deployment.nodes:
            node.store_proxy.reset()
        deployment.put(3)
        await asyncio.sleep(0.5)
        deployment.store.stale_reads = None
        await asyncio.wait_for(deployment.until_all(3), APPLY_LIMIT_S)
        for node in deployment.nodes:
            assert node.versions == sorted(node.versions)

    _run(scenario)


INVALID_DOCUMENTS = {
    'truncated': b'{"version": 9',
    'deeply_nested': b'{"unknown": ' + b'[' * 100_000,
    'number_too_large': _document(9).replace(b'9', b'9' * 30, 1),
    'negative_version': _document(-9),
    'no_routes_to_a_service': _rule(service=None),
    'empty_service': _rule(service=''),
    'prefix_without_slashes': _rule(match={'prefix': 'read'}),
    'negative_weight': _rule(
        service=None, trafficSplit=[{'service': 'back', 'weight': -1}]
    ),
    'infinite_weight': _rule(
        service=None, trafficSplit=[{'service': 'back', 'weight': 1}]
    ).replace(b'"weight": 1', b'"weight": 1e999'),
    'no_time': _rule(timeout='0s'),
    'endless_time': _rule(timeout=f'{"9" * 400}s'),
    'no_attempts': _document(9).replace(b'"maxAttempts": 2', b'"maxAttempts": 0'),
    'no_space_for_bodies': _document(9).replace(b'1000000', b'-1'),
}


@pytest.mark.parametrize('name', INVALID_DOCUMENTS)
def test_invalid_rules_are_not_taken(name: str):
    """Guards against senseless rules that also keep later versions out."""
    holder = RulesHolder(ConfigDecoder())
    assert holder.offer(_document(1), 'test')
    assert not holder.offer(INVALID_DOCUMENTS[name], 'test')
    assert holder.offer(_document(2), 'test')


def test_feed_goes_on_after_invalid_rows():
    """Guards against a feed that ends without a log line at a row it can't read."""

    async def scenario(deployment: RulesDeployment) -> None:
        deployment.store.put('op', 'config', INVALID_DOCUMENTS['deeply_nested'])
        await asyncio.sleep(0.3)
        deployment.store.put_raw('op', 'config', 'not base64!')
        await asyncio.sleep(0.3)
        deployment.put(2)
        await asyncio.wait_for(deployment.until_all(2), APPLY_LIMIT_S)

    _run(scenario)


def test_added_routes_are_served_after_all_connections_fell_silent():
    """Guards against an added route that is answered with 404 by some nodes."""

    async def scenario(deployment: RulesDeployment) -> None:
        added = [f'/added-{number}/' for number in range(ADDED_ROUTES)]
        deployment.silence()
        deployment.put(2, ['/read/', *added])
        await asyncio.wait_for(deployment.until_all(2), APPLY_LIMIT_S)
        for node in deployment.nodes:
            statuses = {await deployment.status(node, path) for path in added[::25]}
            assert statuses == {200}

    _run(scenario)


def test_removed_route_is_not_served_any_more():
    """Guards against a node that goes on with a route that a later version dropped."""

    async def scenario(deployment: RulesDeployment) -> None:
        assert await deployment.status(deployment.nodes[0], '/read/x') == 200
        deployment.put(2, ['/other/'])
        await asyncio.wait_for(deployment.until_all(2), APPLY_LIMIT_S)
        for node in deployment.nodes:
            assert await deployment.status(node, '/read/x') == 404

    _run(scenario)


def test_listener_that_fails_does_not_end_the_feed():
    """Guards against a background task that ends without a log line."""

    async def scenario(deployment: RulesDeployment) -> None:
        def fail(_rules: object) -> None:
            raise RuntimeError('a fault in a listener')

        deployment.nodes[0].rules.on_change(fail)
        deployment.put(2)
        await until(lambda: deployment.nodes[0].rules.version == 2)
        deployment.put(3)
        await asyncio.wait_for(deployment.until_all(3), APPLY_LIMIT_S)

    _run(scenario)
