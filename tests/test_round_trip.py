"""Tests of the estimated round trip between two nodes."""

from gentianmill.round_trip import LONGEST_MS, RoundTrip


def test_lowest_sample_sets_the_estimate():
    """Guards against a wait in a busy process that shortens the time of later calls."""
    trip = RoundTrip()
    trip.observe(total_ms=90, spent_ms=30)
    trip.observe(total_ms=400, spent_ms=30)
    assert 60 <= trip.ms < 70


def test_estimate_follows_a_longer_route():
    """Guards against a minimum that never rises after a node has moved."""
    trip = RoundTrip()
    trip.observe(total_ms=1, spent_ms=0)
    for _ in range(300):
        trip.observe(total_ms=61, spent_ms=1)
    assert trip.ms > 55


def test_estimate_is_bounded():
    """Guards against one response after seconds that leaves later calls no time."""
    trip = RoundTrip()
    trip.observe(total_ms=5000, spent_ms=10)
    assert trip.ms == LONGEST_MS


def test_estimate_is_zero_before_the_first_response():
    """Guards against an initial estimate that shortens the time of the first calls."""
    assert not RoundTrip().ms
