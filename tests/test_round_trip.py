"""What a link learns of the time between two nodes."""

from gentianmill.round_trip import LONGEST_MS, RoundTrip


def test_lowest_sample_counts():
    """Waiting in a busy process must not shorten the time of later calls."""
    trip = RoundTrip()
    trip.observe(total_ms=90, spent_ms=30)
    trip.observe(total_ms=400, spent_ms=30)
    assert 60 <= trip.ms < 70


def test_longer_route_is_learned():
    """A minimum that never rises would be wrong for good after a node moved."""
    trip = RoundTrip()
    trip.observe(total_ms=1, spent_ms=0)
    for _ in range(300):
        trip.observe(total_ms=61, spent_ms=1)
    assert trip.ms > 55


def test_estimate_is_bounded():
    """One answer after a pause of seconds must not leave calls without any time."""
    trip = RoundTrip()
    trip.observe(total_ms=5000, spent_ms=10)
    assert trip.ms == LONGEST_MS


def test_nothing_is_assumed_before_the_first_answer():
    """The first calls have their whole time."""
    assert not RoundTrip().ms
