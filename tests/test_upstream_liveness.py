"""Tests of whether an upstream counts as alive."""

from gentianmill.upstream_liveness import SILENCE_MS, UpstreamLiveness


def test_unresponsive_upstream_gets_no_calls():
    """Guards against calls to a dead VM, which would wait until their deadline."""
    liveness = UpstreamLiveness()
    liveness.sign(0)
    assert liveness.takes_calls(SILENCE_MS)
    assert not liveness.takes_calls(SILENCE_MS + 1)


def test_heartbeat_ends_a_pause():
    """Guards against an upstream that restarted and gets no calls after a heartbeat."""
    liveness = UpstreamLiveness()
    liveness.sign(0)
    liveness.refused(10)
    assert not liveness.takes_calls(20)
    liveness.sign(30)
    assert liveness.takes_calls(30)


def test_pauses_grow_with_each_refused_connection():
    """Guards against a connection attempt for each call to an upstream that is down."""
    liveness = UpstreamLiveness()
    liveness.sign(0)
    liveness.refused(0)
    liveness.refused(200)
    assert not liveness.takes_calls(350)
