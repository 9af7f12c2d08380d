"""Tests of the budget for retries and hedges that a guard keeps."""

import bisect
import dataclasses
import random

import pytest
from gentianmill.arrivals import Cause
from gentianmill.retry_budget import RetryBudget, RetryBudgetSettings
from hypothesis import given
from hypothesis import strategies as st

SETTINGS = RetryBudgetSettings(ratio=0.2, window_ms=10_000, slack=0)
SPLIT_SETTINGS = RetryBudgetSettings(
    ratio=0.2, window_ms=10_000, slack=0, previous_share=0.4
)
STEP_MS = 10
"""Time between two requests of a steady load."""

RUN_MS = 60_000
LOSS_BEFORE_MOVE_MS = 200
"""Responses are lost for this long before load moves, as its upstream fails."""

DUPLICATE_CAUSES = [cause for cause in Cause if cause.is_duplicate]


def _count_in_window(times: list[float], start_ms: float) -> int:
    end_ms = start_ms + SETTINGS.window_ms
    return bisect.bisect_left(times, end_ms) - bisect.bisect_left(times, start_ms)


def _count_in_longer_window(times: list[float], end_ms: float) -> int:
    """Return the arrivals in a window and in the credit lifetime (a tenth) before it."""
    start_ms = end_ms - SETTINGS.window_ms * 1.1
    return bisect.bisect_right(times, end_ms) - bisect.bisect_left(times, start_ms)


def _allowed_by_two_windows(first_attempts: list[float], end_ms: float) -> float:
    """Return the duplicates that the first attempts of two windows permit until a time."""
    current = _count_in_longer_window(first_attempts, end_ms)
    previous = _count_in_longer_window(first_attempts, end_ms - SETTINGS.window_ms)
    return max(current, previous) * SETTINGS.ratio


@given(
    st.lists(
        st.tuples(st.floats(0, 600), st.sampled_from([*Cause, Cause.first])),
        max_size=400,
    )
)
def test_each_sliding_window_is_within_the_ratio(events: list[tuple[float, Cause]]):
    """Guards against two bursts less than a window apart that are both admitted."""
    budget = RetryBudget(SETTINGS)
    now_ms = 0.0
    first_attempts: list[float] = []
    duplicates: list[float] = []
    for pause_ms, cause in events:
        now_ms += pause_ms
        if budget.admit(cause, now_ms):
            (duplicates if cause.is_duplicate else first_attempts).append(now_ms)
    for last_ms in duplicates:
        start_ms = last_ms - SETTINGS.window_ms + 1e-3
        allowed = _count_in_longer_window(first_attempts, last_ms) * SETTINGS.ratio
        assert _count_in_window(duplicates, start_ms) <= allowed


@given(
    st.lists(
        st.tuples(
            st.floats(0, 600),
            st.integers(0, 2),
            st.sampled_from([Cause.first, Cause.first, Cause.inherited]),
            st.integers(1, 30),
        ),
        min_size=100,
        max_size=300,
    ),
    st.sampled_from([0.1, 0.4, 0.5, 1]),
)
def test_guards_that_count_two_windows_stay_within_the_larger_one(
    bursts: list[tuple[float, int, Cause, int]], previous_share: float
):
    """Guards against load that earns both where it was and where it moved to."""
    settings = dataclasses.replace(SETTINGS, previous_share=previous_share)
    budgets = [RetryBudget(settings) for _ in range(3)]
    now_ms = 0.0
    first_attempts: list[float] = []
    duplicates: list[float] = []
    for pause_ms, number, cause, count in bursts:
        now_ms += pause_ms
        if cause is Cause.first:
            first_attempts.extend(now_ms for _ in range(count))
            sum(budgets[number].admit(cause, now_ms) for _ in range(count))
            continue
        for budget in budgets:
            while budget.admit(cause, now_ms):
                duplicates.append(now_ms)
    for last_ms in set(duplicates):
        start_ms = last_ms - SETTINGS.window_ms + 1e-3
        allowed = _allowed_by_two_windows(first_attempts, last_ms)
        assert _count_in_window(duplicates, start_ms) <= allowed + 1e-6


def test_earlier_load_permits_retries_after_a_sudden_drop():
    """Guards against refusing trees at the entry and with them the budget of the rest."""
    budget = RetryBudget(SPLIT_SETTINGS)
    for now_ms in range(0, 20_000, STEP_MS):
        budget.admit(Cause.first, now_ms)
    admitted = sum(
        budget.admit(Cause.retry, now_ms) for now_ms in range(22_000, 28_000, STEP_MS)
    )
    earlier = 6000 / STEP_MS * SETTINGS.ratio * SPLIT_SETTINGS.previous_share
    assert 0.7 * earlier < admitted < earlier


def test_steady_load_earns_the_same_with_and_without_the_split():
    """Guards against fewer retries on days without rejections."""
    budgets = [RetryBudget(settings) for settings in (SETTINGS, SPLIT_SETTINGS)]
    for budget in budgets:
        for now_ms in range(0, 20_000, STEP_MS):
            budget.admit(Cause.first, now_ms)
    plain, split = (budget.earned_per_s(20_000) for budget in budgets)
    assert split == pytest.approx(plain, rel=0.11)


def test_calls_of_running_duplicates_are_refused_last():
    """Guards against hedges that use up the credit for calls of running retries."""
    budget = RetryBudget(SETTINGS)
    for _ in range(100):
        budget.admit(Cause.first, 0)
    admitted = {}
    for cause in (Cause.hedge, Cause.retry, Cause.inherited):
        admitted[cause] = sum(budget.admit(cause, 1) for _ in range(100))
    assert all(admitted.values())
    assert not budget.admit(Cause.hedge, 2)


def test_retries_of_lost_calls_may_use_most_of_the_budget():
    """Guards against lost calls without a retry while a third of the credit is left."""
    budget = RetryBudget(SETTINGS)
    for _ in range(1000):
        budget.admit(Cause.first, 0)
    allowed = 1000 * SETTINGS.ratio
    ordinary = sum(budget.admit(Cause.retry, 1, ordinary=True) for _ in range(1000))
    assert 0.8 * allowed < ordinary < allowed
    assert budget.admit(Cause.retry, 1)


@pytest.mark.parametrize('stays', [0, 0.15, 0.5])
def test_load_that_moves_to_another_upstream_earns_duplicates_once(stays: float):
    """Guards against two upstreams that each admit duplicates for the same load."""
    budgets = [RetryBudget(SETTINGS) for _ in range(2)]
    moves_ms, end_ms, step_ms, lost = 10_000, 25_000, 10, 0.3
    arrivals = [0.0, 0.0]
    duplicates: list[float] = []
    demand = 0.0
    for now_ms in range(0, end_ms, step_ms):
        moved = 1 - stays if now_ms >= moves_ms else 0
        for number, share in enumerate((1 - moved, moved)):
            arrivals[number] += share
            if arrivals[number] >= 1:
                arrivals[number] -= 1
                budgets[number].admit(Cause.first, now_ms)
        demand += lost if now_ms >= moves_ms else 0
        if demand >= 1:
            demand -= 1
            if any(budget.admit(Cause.retry, now_ms) for budget in budgets):
                duplicates.append(now_ms)
    allowed = SETTINGS.window_ms / step_ms * SETTINGS.ratio
    assert (
        max(_count_in_window(duplicates, start_ms) for start_ms in duplicates)
        <= allowed
    )
    assert len(duplicates) > allowed


def _simulate_moving_load(
    upstreams: int, rng: random.Random, settings: RetryBudgetSettings = SETTINGS
) -> list[float]:
    """Return the times of admitted duplicates while load moves between upstreams.

    A steady load moves to another upstream every few seconds. Duplicate attempts come
    in bursts, as many as all upstreams together admit.
    """
    budgets = [RetryBudget(settings) for _ in range(upstreams)]
    duplicates: list[float] = []
    active, moves_ms, fails_until_ms = 0, 0.0, 0.0
    for now_ms in range(0, RUN_MS, STEP_MS):
        if now_ms >= moves_ms:
            active = rng.randrange(upstreams)
            moves_ms = now_ms + rng.uniform(0.1, 1) * SETTINGS.window_ms
            fails_until_ms = now_ms + rng.uniform(0, 1) * SETTINGS.window_ms
        budgets[active].admit(Cause.first, now_ms)
        ends_soon = moves_ms - now_ms < LOSS_BEFORE_MOVE_MS
        if ends_soon or now_ms < fails_until_ms:
            for budget in budgets:
                while budget.admit(Cause.inherited, now_ms):
                    duplicates.append(now_ms)
    return duplicates


@pytest.mark.parametrize('settings', [SETTINGS, SPLIT_SETTINGS])
@pytest.mark.parametrize('upstreams', [1, 2, 5])
@pytest.mark.parametrize('seed', range(5))
def test_duplicates_before_load_moves_count_at_its_new_upstream(
    upstreams: int, seed: int, settings: RetryBudgetSettings
):
    """Guards against credit that is spent both where load leaves and where it goes."""
    duplicates = _simulate_moving_load(upstreams, random.Random(seed), settings)
    allowed = SETTINGS.window_ms / STEP_MS * SETTINGS.ratio
    assert (
        max(_count_in_window(duplicates, start_ms) for start_ms in duplicates)
        <= allowed
    )
    assert len(duplicates) > allowed


@pytest.mark.parametrize('cause', DUPLICATE_CAUSES)
def test_first_attempts_are_never_refused(cause: Cause):
    """Guards against an exhausted budget that refuses first attempts."""
    budget = RetryBudget(SETTINGS)
    assert not budget.admit(cause, 0)
    assert budget.admit(Cause.first, 0)


def test_slack_is_shared_by_the_guards_of_a_service():
    """Guards against a service with few calls that can retry none of them."""
    slack = RetryBudgetSettings(slack=92)
    budgets = [RetryBudget(slack) for _ in range(24)]
    assert not budgets[0].admit(Cause.retry, 0)
    admitted = 0
    for budget in budgets:
        budget.share_slack(len(budgets))
        admitted += sum(budget.admit(Cause.inherited, 0) for _ in range(100))
    assert 0 < admitted <= slack.slack / 2
