"""Tests of the latency estimates."""

from hypothesis import given
from hypothesis import strategies as st

from gentianmill.latency import WINDOW_SIZE, LatencyWindow, SmoothedLatency

LATENCIES = st.lists(st.floats(0, 1e6), min_size=1, max_size=400)


@given(LATENCIES)
def test_smoothed_latency_stays_within_what_was_observed(latencies):
    """Guards against a score below zero or above every latency seen."""
    smoothed = SmoothedLatency()
    for latency_ms in latencies:
        smoothed.observe(latency_ms)
    assert min(latencies) * 0.999 <= smoothed.value_ms <= max(latencies) * 1.001


@given(LATENCIES, st.floats(0.01, 1))
def test_quantile_is_a_latency_of_the_window(latencies, share):
    """Guards against a hedge delay from calls that left the window long ago."""
    window = LatencyWindow()
    for latency_ms in latencies:
        window.observe(latency_ms)
    assert window.quantile_ms(share) in latencies[-WINDOW_SIZE:]


def test_quantile_of_a_known_window():
    """Guards against a quantile that is off by one rank."""
    window = LatencyWindow()
    for latency_ms in range(1, 101):
        window.observe(latency_ms)
    assert window.quantile_ms(0.95) == 95
    assert window.quantile_ms(1) == 100
