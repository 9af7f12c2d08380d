"""Tests of the concurrency limits."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianmill.concurrency_limit import AdaptiveLimit, FixedLimit


class ClosedLoop:
    """Keep an upstream busy up to the limit; latency grows beyond its slots."""

    def __init__(self, limit, slots: int, seed: int = 1) -> None:
        self.limit = limit
        self.slots = slots
        self.slowdown = 1.0
        self.straggler_share = 0.0
        self.rng = random.Random(seed)
        self.now_ms = 0.0

    def run(self, calls: int) -> None:
        for _ in range(calls):
            in_flight = self.limit.limit
            latency_ms = 20 * self.slowdown * max(1, in_flight / self.slots)
            latency_ms *= self.rng.lognormvariate(0, 0.4)
            if self.rng.random() < self.straggler_share:
                latency_ms *= 50
            self.now_ms += latency_ms / in_flight
            self.limit.on_done(self.now_ms, latency_ms, in_flight, ok=True)


def test_fixed_limit_does_not_change():
    """Guards against a limit of zero, which would stop all work."""
    limit = FixedLimit(0)
    limit.on_done(0, 1e6, 1, ok=False)
    assert limit.limit == 1


def test_shrinks_towards_the_slots_when_started_too_high():
    """Guards against an upstream kept above its capacity."""
    loop = ClosedLoop(AdaptiveLimit(40, 1, 500), slots=40)
    loop.run(10_000)
    loop.slots = 20
    loop.run(20_000)
    assert 15 <= loop.limit.limit <= 34


def test_grows_towards_the_slots_when_started_too_low():
    """Guards against unused slots after a cold start."""
    loop = ClosedLoop(AdaptiveLimit(5, 1, 500), slots=50)
    loop.run(40_000)
    assert loop.limit.limit >= 40


def test_keeps_the_limit_while_a_neighbour_slows_the_upstream():
    """Guards against losing capacity when a lower limit does not reduce latency."""
    loop = ClosedLoop(AdaptiveLimit(50, 1, 500), slots=50)
    loop.run(10_000)
    loop.slowdown = 5
    loop.run(10_000)
    assert loop.limit.limit >= 35


def test_stragglers_do_not_shrink_the_limit():
    """Guards against a mean that a few long calls dominate."""
    loop = ClosedLoop(AdaptiveLimit(50, 1, 500), slots=50)
    loop.run(5000)
    loop.straggler_share = 0.02
    loop.run(20_000)
    assert loop.limit.limit >= 40


def test_failed_calls_do_not_change_the_limit():
    """Guards against shrinking because a downstream service fails fast."""
    loop = ClosedLoop(AdaptiveLimit(50, 1, 500), slots=50)
    loop.run(20_000)
    before = loop.limit.limit
    for _ in range(5000):
        loop.now_ms += 1
        loop.limit.on_done(loop.now_ms, 1, before, ok=False)
    assert loop.limit.limit == before
    loop.run(20_000)
    assert loop.limit.limit >= 40


@settings(deadline=None, max_examples=50)
@given(
    st.integers(-5, 300),
    st.integers(1, 300),
    st.lists(
        st.tuples(
            st.floats(0, 500), st.floats(0.001, 1e5), st.integers(0, 600), st.booleans()
        ),
        max_size=400,
    ),
)
def test_the_limit_stays_within_its_bounds(initial, maximum, calls):
    """Guards against a limit below 1 or above the upstream's connections."""
    limit = AdaptiveLimit(initial, 1, maximum)
    now_ms = 0.0
    for step_ms, latency_ms, in_flight, ok in calls:
        now_ms += step_ms
        limit.on_done(now_ms, latency_ms, in_flight, ok)
        assert 1 <= limit.limit <= maximum
