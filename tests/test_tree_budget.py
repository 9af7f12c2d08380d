"""Tests of the division of the calls that rejecting services can complete."""

import random

import pytest
from gentianmill.rejection_gauge import RejectionGauge
from gentianmill.tree_budget import MIN_CALLS, TreeBudget, TreeDemand, divide
from gentianmill.tree_costs import SAMPLE_PERIOD, TreeCosts
from hypothesis import given
from hypothesis import strategies as st

KESTREL = (
    TreeDemand('direct', 0, 122, 1),
    TreeDemand('lookup', 1, 350, 4),
    TreeDemand('transfer', 1, 203, 8),
)
LEAF = frozenset(('leaf',))
DEMANDS = st.lists(
    st.tuples(st.integers(0, 2), st.floats(0.1, 300), st.floats(0, 20)),
    min_size=1,
    max_size=6,
)


def _calls(parts: dict[str, float], demands: tuple[TreeDemand, ...]) -> float:
    return sum(parts[one.route] * one.per_s * one.calls for one in demands)


def test_important_and_cheap_trees_are_completed_first():
    """Guards against retries that are spread over all trees, so that few complete."""
    parts = divide(KESTREL, 0.164)
    assert parts['direct'] == 1
    assert parts['lookup'] < 1
    assert parts['lookup'] > parts['transfer']
    assert parts['transfer'] > 0
    assert _calls(parts, KESTREL) == pytest.approx(3146 * 0.164)


@given(DEMANDS, st.floats(0.01, 1))
def test_no_route_is_served_less_than_a_quarter_as_often_as_all(
    routes: list[tuple[int, float, float]], share: float
):
    """Guards against starving the most expensive kind of request."""
    demands = tuple(
        TreeDemand(str(number), *route) for number, route in enumerate(routes)
    )
    parts = divide(demands, share)
    usual = sum(one.per_s * one.calls for one in demands)
    requests = sum(one.per_s for one in demands)
    assert _calls(parts, demands) <= usual * share * (1 + 1e-6) + requests * MIN_CALLS
    admitted = sum(one.per_s * parts[one.route] for one in demands)
    mean = admitted / requests
    assert min(parts.values()) >= min(share, mean / 4) * 0.999 - 1e-5


def _refused(budget: TreeBudget, share: float, begin_ms: int, end_ms: int) -> int:
    shares = {'leaf': share} if share < 1 else {}
    return sum(
        not budget.admits('route', 0, LEAF, shares, lambda _: {'route': 4}, now_ms)
        for now_ms in range(begin_ms, end_ms, 100)
    )


def test_entry_admits_the_share_at_the_usual_rate():
    """Guards against admitting more since refused callers come back."""
    budget = TreeBudget(random.Random(1))
    assert not _refused(budget, 1, 0, 20_000)
    once = 100 - _refused(budget, 0.2, 20_000, 30_000)
    assert 14 <= once <= 22
    shares = {'leaf': 0.2}
    admitted = sum(
        budget.admits('route', 0, LEAF, shares, lambda _: {'route': 4}, now_ms)
        for now_ms in range(30_000, 40_000, 33)
    )
    assert 14 <= admitted <= 22


def test_nothing_is_refused_without_rejections():
    """Guards against a refusal of a request while all upstreams accept calls."""
    budget = TreeBudget(random.Random(1))
    _refused(budget, 1, 0, 20_000)
    assert _refused(budget, 0.1, 20_000, 28_000)
    assert not _refused(budget, 1, 28_000, 60_000)


def test_route_without_calls_to_the_rejecting_service_is_admitted():
    """Guards against refusing requests that do not need the service."""
    budget = TreeBudget(random.Random(1))
    assert all(
        budget.admits('other', 3, LEAF, {'leaf': 0.1}, lambda _: {'route': 4}, now_ms)
        for now_ms in range(0, 10_000, 50)
    )


def test_gauge_reports_what_the_budget_completes():
    """Guards against admitting more trees than the retries suffice for."""
    gauge = RejectionGauge()
    rng = random.Random(1)
    for now_ms in range(0, 20_000, 3):
        gauge.on_first_attempt(now_ms)
        gauge.on_response(accepted=True, now_ms=now_ms)
    assert not gauge.is_rejecting(20_000)
    for now_ms in range(20_000, 22_000, 3):
        gauge.on_response(accepted=rng.random() > 0.55, now_ms=now_ms)
    assert gauge.is_rejecting(22_000)
    retries_per_s = 1000 / 3 * 0.2
    share = gauge.completable_share(retries_per_s)
    assert share == pytest.approx(0.2 * 0.45 / 0.55, rel=0.3)


def test_gauge_notices_the_end_of_rejections():
    """Guards against refusals that go on when the service accepts all calls again."""
    gauge = RejectionGauge()
    for now_ms in range(0, 2000, 10):
        gauge.on_response(accepted=now_ms % 20 == 0, now_ms=now_ms)
    assert gauge.is_rejecting(2000)
    for now_ms in range(2000, 2200, 10):
        gauge.on_response(accepted=True, now_ms=now_ms)
    assert not gauge.is_rejecting(2200)
    assert gauge.has_ended_within(1000, 2200)


def test_calls_of_all_levels_are_counted():
    """Guards against a deep tree that looks as cheap as a direct read."""
    costs = TreeCosts(random.Random(1))
    costs.learn('middle', {'leaf': 4})
    counted = []
    for number in range(SAMPLE_PERIOD):
        costs.start(str(number))
        costs.add_call(str(number), 'middle', 'middle')
        costs.add_call(str(number), 'middle', 'middle')
        counted.append(costs.end(str(number)))
    assert sum(map(bool, counted)) == 1
    costs.learn('root', max(counted, key=len))
    assert costs.calls('root') == {'middle': 2, 'leaf': 8}
    costs.learn('root', {'middle': 2, 'leaf': 8, 'deeper': 16})
    assert costs.calls('root') == {'middle': 2, 'leaf': 8, 'deeper': 16}
    assert costs.counted == 0
