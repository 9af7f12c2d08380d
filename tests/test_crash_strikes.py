"""Tests of the detection of requests that crash their upstreams."""

from gentianmill.crash_strikes import LOSS_WINDOW_MS, STRIKES, CrashStrikes

CAUSE = b'cause'
NEIGHBOUR = b'neighbour'


def _crash(strikes: CrashStrikes, *digests: bytes, at_ms: float = 0) -> list[bytes]:
    for digest in digests:
        strikes.record_loss(digest, at_ms)
    return strikes.record_crash(at_ms + 1)


def test_request_is_refused_after_three_crashes():
    """Guards against a caller that crashes a whole service by resending a request."""
    strikes = CrashStrikes()
    for number in range(STRIKES):
        assert not strikes.refuses(CAUSE, number)
        _crash(strikes, CAUSE, at_ms=number)
    assert strikes.refuses(CAUSE, STRIKES)


def test_crashes_of_other_upstreams_count():
    """Guards against a request that reaches a different upstream each time."""
    strikes = CrashStrikes()
    for _ in range(STRIKES):
        strikes.merge([CAUSE], 0)
    assert strikes.refuses(CAUSE, 1)


def test_neighbours_that_complete_are_cleared():
    """Guards against refusing requests that only ran at the same time as the cause."""
    strikes = CrashStrikes()
    for _ in range(STRIKES):
        _crash(strikes, CAUSE, NEIGHBOUR)
        strikes.record_completion(NEIGHBOUR)
    assert not strikes.refuses(NEIGHBOUR, 1)


def test_loss_without_a_crash_is_not_counted():
    """Guards against blaming a request for a connection lost without a crash."""
    strikes = CrashStrikes()
    strikes.record_loss(CAUSE, 0)
    assert strikes.record_crash(LOSS_WINDOW_MS + 1) == []
