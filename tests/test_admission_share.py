"""Tests of admission shares for a bottleneck in a deep call tree, without a network."""

import random

from gentianmill.admission_share import (
    REPORT_LIFETIME_MS,
    SHARE_SCALE,
    STEP_MS,
    AdmissionShare,
    ShareTable,
    admits,
)

LIMIT = 24


def _simulate(demand: float, seconds: int) -> tuple[float, float]:
    """Return the final queue length and share of a service at a constant demand.

    In each step the service completes as many calls as its limit, and the entries
    admit the share that it reported.

    Args:
        demand: Demand as a multiple of the capacity.
        seconds: Simulated time.
    """
    gauge = AdmissionShare()
    queue = float(0)
    steps = int(seconds * 1000 / STEP_MS)
    for step in range(steps):
        arriving = demand * LIMIT * gauge.share
        queue = max(queue + arriving - LIMIT, 0)
        running = min(LIMIT, queue + arriving)
        gauge.observe(int(running + queue), LIMIT, step * STEP_MS)
    return queue, gauge.share


def test_burst_is_reduced_to_the_capacity_of_the_service():
    """Guards against a queue at the bottleneck that grows during the whole burst."""
    queue, share = _simulate(demand=2, seconds=18)
    assert queue < LIMIT * 2
    assert 0.35 < share < 0.65


def test_load_below_capacity_is_not_reduced():
    """Guards against refusing requests during a demand swing below the capacity."""
    queue, share = _simulate(demand=0.9, seconds=18)
    assert queue == 0
    assert share == 1


def test_share_recovers_within_seconds():
    """Guards against an entry that keeps refusing requests after a burst has ended."""
    gauge = AdmissionShare()
    now_ms = 0
    while gauge.share > 0.3:
        now_ms += STEP_MS
        gauge.observe(LIMIT * 4, LIMIT, now_ms)
    begin_ms = now_ms
    while gauge.share < 1:
        now_ms += STEP_MS
        gauge.observe(LIMIT // 3, LIMIT, now_ms)
    assert now_ms - begin_ms <= 1000


def test_shares_of_downstream_services_reach_the_route():
    """Guards against an entry that knows only the load of the service it calls."""
    table = ShareTable()
    table.record('leaf', {'narrow': 300}, 0)
    table.add_downstream('root', {'narrow'})
    assert table.shares('root', 0) == {'narrow': 300}
    assert table.share('other', 0) == 1


def test_expired_reports_refuse_no_request():
    """Guards against refusals based on a report from before an idle period."""
    table = ShareTable()
    table.record('root', {'narrow': 100}, 0)
    assert table.share('root', 0) < 0.2
    assert table.share('root', REPORT_LIFETIME_MS) == 1


def test_least_important_requests_are_refused_first():
    """Guards against shedding payments while lookups are admitted."""
    rng = random.Random(1)
    share = 0.4
    lookups = sum(
        admits(share, 0, returning=False, rng=rng) for _ in range(SHARE_SCALE)
    )
    payments = sum(
        admits(share, 1, returning=False, rng=rng) for _ in range(SHARE_SCALE)
    )
    assert 0.3 < lookups / SHARE_SCALE < 0.5
    assert payments == SHARE_SCALE


def test_returning_callers_are_favoured():
    """Guards against refusing a caller again before others are refused once."""
    rng = random.Random(1)
    new = sum(admits(0.4, 0, returning=False, rng=rng) for _ in range(SHARE_SCALE))
    returned = sum(admits(0.4, 0, returning=True, rng=rng) for _ in range(SHARE_SCALE))
    assert returned > new * 1.5


def test_upstream_that_rejects_half_lowers_the_share():
    """Guards against admitting requests that fail: with 5 such calls, 97 in 100 do."""
    gauge = AdmissionShare()
    for number in range(200):
        gauge.on_response(accepted=number % 2 == 0, now_ms=number * 10)
    assert gauge.share < 0.35
    for number in range(200, 400):
        gauge.on_response(accepted=True, now_ms=number * 10)
    assert gauge.share > 0.95


def test_reports_of_rejections_do_not_go_round():
    """Guards against two nodes that keep a report alive, as each is an entry to the other."""
    tables = [ShareTable(), ShareTable()]
    for table in tables:
        table.add_downstream('route', {'leaf'})
    tables[0].record_trees('route', {'leaf': 100}, 0, is_inner=True)
    for now_ms in range(0, 2000, 50):
        for sender, receiver in (tables, list(reversed(tables))):
            receiver.record_trees('route', sender.forwarded_trees(now_ms), now_ms)
    assert not any(table.tree_shares(2000) for table in tables)


def test_report_of_rejections_expires():
    """Guards against refusals on a report that is older than a second."""
    table = ShareTable()
    table.record_trees('route', {'leaf': 100}, 0)
    assert table.tree_shares(0) == {'leaf': 0.1}
    assert not table.tree_shares(1000)
    table.record_trees('route', {'leaf': 100}, 2000)
    table.record_trees('route', {'leaf': 1000}, 2400)
    assert not table.tree_shares(2400)
