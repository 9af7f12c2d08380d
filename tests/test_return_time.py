"""Tests of the pause that refused callers get until their next attempt."""

import random

from gentianmill.return_time import MIN_PAUSE_MS, return_after_ms

RNG = random.Random(1)


def _pauses(share: float, time_left_ms: float | None) -> list[float]:
    return [return_after_ms(share, time_left_ms, RNG) for _ in range(500)]


def test_pause_in_an_overload_outlasts_the_demand_peak():
    """Guards against callers that return within the same peak and are refused again."""
    assert min(_pauses(0.3, 10_000)) > 1000


def test_pause_without_an_overload_is_short():
    """Guards against a wait of seconds after a refusal during a restart."""
    assert max(_pauses(1, 10_000)) <= 900


def test_pause_fits_the_time_that_callers_have_left():
    """Guards against a pause too long for callers, who then retry at once or never."""
    assert max(_pauses(0.1, 1500)) <= 500


def test_pauses_of_callers_refused_together_are_spread():
    """Guards against callers that return together and cause the next peak."""
    pauses = _pauses(0.5, None)
    assert max(pauses) - min(pauses) > MIN_PAUSE_MS
