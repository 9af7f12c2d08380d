"""Tests of how many calls the store gets, and how old what the nodes know becomes."""

import pytest
from following_model import (
    APPLY_MS,
    POLL_WAIT_MS,
    STEP_MS,
    FollowingModel,
    quantile_ms,
)
from seeds import seeds

SIZES = (30, 100, 300)
RUN_MS = 20_000
FOLLOWERS = 6
CALLS_PER_FOLLOWER = RUN_MS / POLL_WAIT_MS + 1

MAX_AGE_MS = APPLY_MS
"""A node that acts on rules must know that they were the newest within the bound on a
change: it waits for a confirmation, asks a follower, and polls."""


def _model(size: int, seed: int, calls_per_s: float = 10) -> FollowingModel:
    model = FollowingModel(size, seed, calls_per_s)
    model.run(5000)
    model.store_calls = 0
    model.ages_ms.clear()
    return model


@pytest.mark.parametrize('seed', seeds(2))
@pytest.mark.parametrize('size', SIZES)
def test_calls_to_the_store_do_not_grow_with_the_nodes(size: int, seed: int):
    """Guards against calls of each node for itself."""
    model = _model(size, seed)
    model.run(RUN_MS)
    assert model.store_calls <= FOLLOWERS * CALLS_PER_FOLLOWER * 1.1
    assert max(model.ages_ms) <= MAX_AGE_MS


@pytest.mark.parametrize('seed', seeds(2))
def test_nodes_without_calls_ask_followers_instead_of_the_store(seed: int):
    """Guards against a quiet night in which each node polls."""
    model = _model(100, seed, calls_per_s=0)
    model.run(RUN_MS)
    assert model.store_calls <= FOLLOWERS * CALLS_PER_FOLLOWER * 1.1
    assert max(model.ages_ms) <= MAX_AGE_MS


@pytest.mark.parametrize('seed', seeds(2))
def test_loss_of_all_followers_is_no_stampede(seed: int):
    """Guards against all nodes that poll at once, and on."""
    model = _model(100, seed)
    for node in model.followers:
        model.faults.dead.add(node.record.name)
    model.run(RUN_MS)
    assert model.store_calls <= 2 * FOLLOWERS * CALLS_PER_FOLLOWER
    assert max(model.ages_ms) <= MAX_AGE_MS


@pytest.mark.parametrize('seed', seeds(2))
def test_followers_that_the_store_turns_away_do_not_keep_others_in_the_dark(seed: int):
    """Guards against nodes that wait for followers which know nothing new."""
    model = _model(100, seed)
    for node in model.followers:
        model.faults.cut_from_store.add(node.record.name)
    model.run(RUN_MS)
    assert quantile_ms(model.ages_ms, 0.999) <= MAX_AGE_MS


@pytest.mark.parametrize('seed', seeds(2))
def test_nodes_cut_off_from_others_poll_for_themselves(seed: int):
    """Guards against a node that hears nobody and does not know that rules changed."""
    model = _model(100, seed)
    cut = model.nodes[:10]
    for node in cut:
        model.faults.cut_from_peers.add(node.record.name)
    model.run(RUN_MS)
    assert max(model.ages_ms) <= MAX_AGE_MS
    for node in cut:
        assert node.confirmed.age_ms(model.now_ms) <= POLL_WAIT_MS + 200


@pytest.mark.parametrize('seed', seeds(2))
def test_followers_cut_off_from_others_are_replaced(seed: int):
    """Guards against followers that poll for nobody."""
    model = _model(100, seed)
    cut = {node.record.name for node in model.followers}
    model.faults.cut_from_peers |= cut
    model.run(RUN_MS)
    followers = {node.record.name for node in model.followers}
    assert len(followers - cut) == FOLLOWERS
    assert max(model.ages_ms) <= MAX_AGE_MS


@pytest.mark.parametrize('seed', seeds(2))
@pytest.mark.parametrize('calls_per_s', [0, 0.5, 10])
@pytest.mark.parametrize('size', [24, 100])
@pytest.mark.parametrize('pause_ms', [1000, 1500, 2500])
def test_change_is_in_force_in_time_while_followers_are_cut_off_one_after_the_other(
    size: int, calls_per_s: float, pause_ms: int, seed: int
):
    """Guards against nodes that wait for the successors of followers, cut off as well."""
    model = _model(size, seed, calls_per_s)
    for step in range(RUN_MS // 2 // STEP_MS):
        if step * STEP_MS in {0, pause_ms, 2 * pause_ms}:
            model.cut_followers()
        model.run(STEP_MS)
        assert model.oldest_ms <= MAX_AGE_MS - STEP_MS


@pytest.mark.parametrize('seed', seeds(2))
@pytest.mark.parametrize('share', [0.35, 0.6])
@pytest.mark.parametrize('size', [24, 100])
def test_change_is_in_force_in_time_while_the_store_turns_many_away(
    size: int, share: float, seed: int
):
    """Guards against nodes that hear of no change as all that they ask are cut off."""
    model = _model(size, seed, calls_per_s=0.5)
    model.cut_followers()
    names = [node.record.name for node in model.nodes]
    cut = model.rng.sample(names, int(size * share))
    model.faults.cut_from_store.update(cut)
    for _ in range(RUN_MS // 2 // STEP_MS):
        model.run(STEP_MS)
        assert model.oldest_ms <= MAX_AGE_MS - STEP_MS


@pytest.mark.parametrize('seed', seeds(2))
@pytest.mark.parametrize('offset_ms', [100, 1250, 60_000])
def test_change_is_in_force_in_time_with_clocks_that_differ(offset_ms: int, seed: int):
    """Guards against followers whose polls end together, by wall clocks."""
    model = _model(24, seed, calls_per_s=0.5)
    for node in model.nodes:
        node.clock_offset_ms = model.rng.uniform(0, offset_ms)
    for _ in range(RUN_MS // STEP_MS):
        model.run(STEP_MS)
        assert model.oldest_ms <= MAX_AGE_MS - STEP_MS


@pytest.mark.parametrize('seed', seeds(2))
def test_change_is_in_force_in_time_with_one_follower_of_a_region_cut_off(seed: int):
    """Guards against nodes that leave out both followers as one has no news."""
    model = _model(24, seed, calls_per_s=0.5)
    regions = {node.record.region for node in model.nodes}
    for region in sorted(regions):
        cut = next(each for each in model.followers if each.record.region == region)
        model.faults.cut_from_store.add(cut.record.name)
    for _ in range(RUN_MS // 2 // STEP_MS):
        model.run(STEP_MS)
        assert model.oldest_ms <= MAX_AGE_MS - STEP_MS
