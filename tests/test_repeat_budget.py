"""Tests of the budget of repeats that a guard keeps."""

import bisect
import random

import pytest
from gentianmill.arrivals import Cause
from gentianmill.repeat_budget import RepeatBudget, RetryBudgetSettings
from hypothesis import given
from hypothesis import strategies as st

SETTINGS = RetryBudgetSettings(ratio=0.2, window_ms=10_000, slack=0)
STEP_MS = 10
"""Time between two requests of a steady load."""

PLAY_MS = 60_000
LOST_MS = 200
"""Time before load moves in which answers are lost, as its upstream breaks."""

REPEATS = [cause for cause in Cause if cause.is_repeat]


def _within(times: list[float], start_ms: float) -> int:
    end_ms = start_ms + SETTINGS.window_ms
    return bisect.bisect_left(times, end_ms) - bisect.bisect_left(times, start_ms)


def _longer(times: list[float], end_ms: float) -> int:
    """Return the arrivals in a window and the one slot before it."""
    start_ms = end_ms - SETTINGS.window_ms * 1.1
    return bisect.bisect_right(times, end_ms) - bisect.bisect_left(times, start_ms)


@given(
    st.lists(
        st.tuples(st.floats(0, 600), st.sampled_from([*Cause, Cause.first])),
        max_size=400,
    )
)
def test_each_sliding_window_is_within_the_ratio(events: list[tuple[float, Cause]]):
    """Two bursts less than a window apart were both permitted."""
    budget = RepeatBudget(SETTINGS)
    now_ms = 0.0
    firsts: list[float] = []
    repeats: list[float] = []
    for pause_ms, cause in events:
        now_ms += pause_ms
        if budget.admit(cause, now_ms):
            (repeats if cause.is_repeat else firsts).append(now_ms)
    for last_ms in repeats:
        start_ms = last_ms - SETTINGS.window_ms + 1e-3
        permitted = _longer(firsts, last_ms) * SETTINGS.ratio
        assert _within(repeats, start_ms) <= permitted


def test_calls_of_running_repeats_are_refused_last():
    """A second copy that nobody needs took the room of a repeat's calls."""
    budget = RepeatBudget(SETTINGS)
    for _ in range(100):
        budget.admit(Cause.first, 0)
    granted = {}
    for cause in (Cause.hedge, Cause.retry, Cause.inherited):
        granted[cause] = sum(budget.admit(cause, 1) for _ in range(100))
    assert all(granted.values())
    assert not budget.admit(Cause.hedge, 2)


def test_lost_work_may_use_most_of_the_budget():
    """Lost calls got no retry while a third of the permitted repeats was unused."""
    budget = RepeatBudget(SETTINGS)
    for _ in range(1000):
        budget.admit(Cause.first, 0)
    permitted = 1000 * SETTINGS.ratio
    ordinary = sum(budget.admit(Cause.retry, 1, ordinary=True) for _ in range(1000))
    assert 0.8 * permitted < ordinary < permitted
    assert budget.admit(Cause.retry, 1)


@pytest.mark.parametrize('stays', [0, 0.15, 0.5])
def test_load_that_moves_to_another_upstream_permits_repeats_once(stays: float):
    """Both upstreams let repeats in for the same load, one for that of the past."""
    budgets = [RepeatBudget(SETTINGS) for _ in range(2)]
    moves_ms, end_ms, step_ms, lost = 10_000, 25_000, 10, 0.3
    arrivals = [0.0, 0.0]
    repeats: list[float] = []
    wanted = 0.0
    for now_ms in range(0, end_ms, step_ms):
        moved = 1 - stays if now_ms >= moves_ms else 0
        for number, share in enumerate((1 - moved, moved)):
            arrivals[number] += share
            if arrivals[number] >= 1:
                arrivals[number] -= 1
                budgets[number].admit(Cause.first, now_ms)
        wanted += lost if now_ms >= moves_ms else 0
        if wanted >= 1:
            wanted -= 1
            if any(budget.admit(Cause.retry, now_ms) for budget in budgets):
                repeats.append(now_ms)
    permitted = SETTINGS.window_ms / step_ms * SETTINGS.ratio
    assert max(_within(repeats, start_ms) for start_ms in repeats) <= permitted
    assert len(repeats) > permitted


def _play_moving_load(upstreams: int, rng: random.Random) -> list[float]:
    """Return when repeats are let in while a steady load moves between upstreams.

    Every few seconds all requests go to another upstream. Repeats are wanted in
    bursts, as many as all upstreams together let in.
    """
    budgets = [RepeatBudget(SETTINGS) for _ in range(upstreams)]
    repeats: list[float] = []
    loaded, moves_ms, fails_until_ms = 0, 0.0, 0.0
    for now_ms in range(0, PLAY_MS, STEP_MS):
        if now_ms >= moves_ms:
            loaded = rng.randrange(upstreams)
            moves_ms = now_ms + rng.uniform(0.1, 1) * SETTINGS.window_ms
            fails_until_ms = now_ms + rng.uniform(0, 1) * SETTINGS.window_ms
        budgets[loaded].admit(Cause.first, now_ms)
        ends_soon = moves_ms - now_ms < LOST_MS
        if ends_soon or now_ms < fails_until_ms:
            for budget in budgets:
                while budget.admit(Cause.inherited, now_ms):
                    repeats.append(now_ms)
    return repeats


@pytest.mark.parametrize('upstreams', [1, 2, 5])
@pytest.mark.parametrize('seed', range(5))
def test_repeats_before_load_moves_count_at_its_new_upstream(upstreams: int, seed: int):
    """An unused budget was spent as load moved away, and spent again where it went."""
    repeats = _play_moving_load(upstreams, random.Random(seed))
    permitted = SETTINGS.window_ms / STEP_MS * SETTINGS.ratio
    assert max(_within(repeats, start_ms) for start_ms in repeats) <= permitted
    assert len(repeats) > permitted


@pytest.mark.parametrize('cause', REPEATS)
def test_first_arrivals_are_never_refused(cause: Cause):
    """A budget in use must not turn work away that nobody has tried."""
    budget = RepeatBudget(SETTINGS)
    assert not budget.admit(cause, 0)
    assert budget.admit(Cause.first, 0)


def test_slack_is_shared_by_the_guards_of_a_service():
    """A service with few calls could send none of them again."""
    slack = RetryBudgetSettings(slack=92)
    budgets = [RepeatBudget(slack) for _ in range(24)]
    assert not budgets[0].admit(Cause.retry, 0)
    granted = 0
    for budget in budgets:
        budget.share_slack(len(budgets))
        granted += sum(budget.admit(Cause.inherited, 0) for _ in range(100))
    assert 0 < granted <= slack.slack / 2
