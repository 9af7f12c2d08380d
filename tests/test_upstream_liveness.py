"""Tests of the signs of life of an upstream."""

from gentianmill.upstream_liveness import SILENCE_MS, UpstreamLiveness


def test_silent_upstream_gets_no_calls():
    """Calls to a VM that died would be held until their deadline."""
    liveness = UpstreamLiveness()
    liveness.sign(0)
    assert liveness.takes_calls(SILENCE_MS)
    assert not liveness.takes_calls(SILENCE_MS + 1)


def test_sign_ends_a_pause():
    """An upstream that restarted must get calls with its first heartbeat."""
    liveness = UpstreamLiveness()
    liveness.sign(0)
    liveness.refused(10)
    assert not liveness.takes_calls(20)
    liveness.sign(30)
    assert liveness.takes_calls(30)


def test_pauses_grow():
    """An upstream that stays down must not cost a connection for each call."""
    liveness = UpstreamLiveness()
    liveness.sign(0)
    liveness.refused(0)
    liveness.refused(200)
    assert not liveness.takes_calls(350)
