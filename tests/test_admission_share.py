"""Load patterns of a deep tree through a narrow service, without a network."""

import random

from gentianmill.admission_share import (
    REPORT_MS,
    STEP_MS,
    WHOLE,
    AdmissionShare,
    ShareTable,
    admits,
)

LIMIT = 24


def _served_after(demand: float, seconds: int) -> tuple[float, float]:
    """Return the last queue and share at a service with a demand per capacity.

    Each step the service works off its limit; entries let in the told share.
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


def test_burst_is_cut_to_what_the_service_can_take():
    """Without the cut, the queue at the narrow service grows as long as the burst."""
    queue, share = _served_after(demand=2, seconds=18)
    assert queue < LIMIT * 2
    assert 0.35 < share < 0.65


def test_usual_load_is_not_cut():
    """A swing below capacity must not cost a single request."""
    queue, share = _served_after(demand=0.9, seconds=18)
    assert queue == 0
    assert share == 1


def test_share_recovers_within_seconds():
    """An entry that refuses after the burst has ended loses work for nothing."""
    gauge = AdmissionShare()
    now_ms = 0
    while gauge.share > 0.3:
        now_ms += STEP_MS
        gauge.observe(LIMIT * 4, LIMIT, now_ms)
    begin_ms = now_ms
    while gauge.share < 1:
        now_ms += STEP_MS
        gauge.observe(LIMIT // 3, LIMIT, now_ms)
    assert now_ms - begin_ms <= 5000


def test_shares_of_deep_services_reach_the_route():
    """An entry sees only its own callee, but must know what lies below it."""
    table = ShareTable()
    table.learn('leaf', {'narrow': 300}, 0)
    table.add_below('root', {'narrow'})
    assert table.shares('root', 0) == {'narrow': 300}
    assert table.share('other', 0) == 1


def test_old_reports_refuse_nobody():
    """A report from before a quiet spell says nothing about the present."""
    table = ShareTable()
    table.learn('root', {'narrow': 100}, 0)
    assert table.share('root', 0) < 0.2
    assert table.share('root', REPORT_MS) == 1


def test_least_important_requests_are_refused_first():
    """Payments must not be shed while lookups run."""
    rng = random.Random(1)
    share = 0.4
    lookups = sum(admits(share, 0, returning=False, rng=rng) for _ in range(WHOLE))
    payments = sum(admits(share, 1, returning=False, rng=rng) for _ in range(WHOLE))
    assert 0.3 < lookups / WHOLE < 0.5
    assert payments == WHOLE


def test_returning_callers_are_favoured():
    """A caller who was refused once and came back must not be refused again first."""
    rng = random.Random(1)
    new = sum(admits(0.4, 0, returning=False, rng=rng) for _ in range(WHOLE))
    back = sum(admits(0.4, 0, returning=True, rng=rng) for _ in range(WHOLE))
    assert back > new * 1.5


def test_upstream_that_rejects_half_lowers_the_share():
    """A request with five calls to such a service fails 97 times in 100."""
    gauge = AdmissionShare()
    for number in range(200):
        gauge.on_answer(accepted=number % 2 == 0)
    assert gauge.share < 0.35
    for _ in range(100):
        gauge.on_answer(accepted=True)
    assert gauge.share > 0.95
