"""Tests of whether an upstream counts as alive."""

from gentianmill.upstream_liveness import UNRESPONSIVE_AFTER_MS, UpstreamLiveness


def test_unresponsive_upstream_gets_no_calls():
    """Guards against calls to a dead VM, which would wait until their deadline."""
    liveness = UpstreamLiveness()
    liveness.record_activity(0)
    assert liveness.accepts_calls(UNRESPONSIVE_AFTER_MS)
    assert not liveness.accepts_calls(UNRESPONSIVE_AFTER_MS + 1)


def test_heartbeat_ends_a_pause():
    """Guards against an upstream that restarted and gets no calls after a heartbeat."""
    liveness = UpstreamLiveness()
    liveness.record_activity(0)
    liveness.record_refusal(10)
    assert not liveness.accepts_calls(20)
    liveness.record_activity(30)
    assert liveness.accepts_calls(30)


def test_pauses_grow_with_each_refused_connection():
    """Guards against a connection attempt for each call to an upstream that is down."""
    liveness = UpstreamLiveness()
    liveness.record_activity(0)
    liveness.record_refusal(0)
    liveness.record_refusal(200)
    assert not liveness.accepts_calls(350)
