"""Tests of what callers get while all upstreams of a leaf service reject calls."""

import bisect
import functools

import pytest
from tree_model import BEGIN_MS, END_MS, KESTREL, LIPA, RUN_MS, Policy, Site, TreeModel

PREVIOUS_SHARE = 0.75
"""As on the platform."""

RATIO = 0.2
WINDOW_MS = 10_000
SITES = pytest.mark.parametrize('site', [KESTREL, LIPA], ids=['kestrel', 'lipa'])
SEEDS = pytest.mark.parametrize('seed', [1, 2, 3])


@functools.cache
def _run(site: Site, policy: Policy, seed: int) -> TreeModel:
    previous_share = 0 if policy is Policy.today else PREVIOUS_SHARE
    model = TreeModel(site, policy, previous_share, seed)
    model.run()
    return model


def _count(times: list[float], begin_ms: float) -> int:
    end = bisect.bisect_left(times, begin_ms + WINDOW_MS)
    return end - bisect.bisect_left(times, begin_ms)


@SITES
@SEEDS
def test_division_serves_more_worth_than_today(site: Site, seed: int):
    """Guards against refusals after which callers are served worse than today."""
    worth = {policy: _run(site, policy, seed).served_worth for policy in Policy}
    assert worth[Policy.division] > worth[Policy.today]


@SEEDS
def test_division_serves_more_worth_than_a_fraction_of_all(seed: int):
    """Guards against costly trees that displace cheap and important ones.

    At the other site all trees are alike, so that there is nothing to divide.
    """
    division = _run(KESTREL, Policy.division, seed).served_worth
    assert division > _run(KESTREL, Policy.fraction, seed).served_worth


@SITES
@SEEDS
def test_division_loses_less_work_than_a_fraction_of_all(site: Site, seed: int):
    """Guards against entries that admit more than the retries suffice for."""
    division = _run(site, Policy.division, seed).failed_share
    assert division <= _run(site, Policy.fraction, seed).failed_share


@SITES
@SEEDS
def test_admitted_trees_complete(site: Site, seed: int):
    """Guards against work that is lost, as one call of its tree was rejected."""
    assert _run(site, Policy.division, seed).failed_share <= 1 / 20


@SITES
@SEEDS
def test_retries_stay_within_the_budget_of_the_service(site: Site, seed: int):
    """Guards against retries of admitted trees beyond the bound of the deployment."""
    model = _run(site, Policy.division, seed)
    for begin_ms in range(0, int(RUN_MS), 250):
        firsts = max(
            _count(model.firsts, begin_ms - earlier_ms)
            for earlier_ms in (0, WINDOW_MS / 2, WINDOW_MS)
        )
        assert _count(model.retries, begin_ms) <= RATIO * firsts + site.slack


@SITES
@SEEDS
def test_all_is_normal_before_and_a_second_after_the_rejections(site: Site, seed: int):
    """Guards against refusals while no upstream rejects."""
    model = _run(site, Policy.division, seed)
    before = model.of(0, BEGIN_MS - 1000)
    after = model.of(END_MS + 1000, RUN_MS)
    assert all(tree.served for tree in before + after)


@SEEDS
def test_each_kind_is_served_a_quarter_as_often_as_all(seed: int):
    """Guards against starving transfers, whose trees cost most retries."""
    model = _run(KESTREL, Policy.division, seed)
    trees = model.of()
    mean = sum(tree.served for tree in trees) / len(trees)
    for kind in KESTREL.kinds:
        assert model.served_share(kind.name) >= mean / 4


@SEEDS
@pytest.mark.parametrize(
    ('site', 'goal'), [(KESTREL, 0.53), (LIPA, 0.52)], ids=['kestrel', 'lipa']
)
def test_worth_reaches_the_goal(site: Site, goal: float, seed: int):
    """Guards against a budget that is not used for the trees worth most."""
    assert _run(site, Policy.division, seed).served_worth >= goal
