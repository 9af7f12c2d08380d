"""A request that crashes each upstream that runs it."""

from gentianmill.crash_strikes import LOSS_WINDOW_MS, STRIKES, CrashStrikes

CAUSE = b'cause'
NEIGHBOUR = b'neighbour'


def _crash(strikes: CrashStrikes, *digests: bytes, at_ms: float = 0) -> list[bytes]:
    for digest in digests:
        strikes.lost(digest, at_ms)
    return strikes.crashed(at_ms + 1)


def test_request_is_refused_after_three_crashes():
    """A caller who sends it again and again would take the service down."""
    strikes = CrashStrikes()
    for number in range(STRIKES):
        assert not strikes.refuses(CAUSE, number)
        _crash(strikes, CAUSE, at_ms=number)
    assert strikes.refuses(CAUSE, STRIKES)


def test_crashes_of_other_upstreams_count():
    """It arrives at another upstream each time."""
    strikes = CrashStrikes()
    for _ in range(STRIKES):
        strikes.merge([CAUSE], 0)
    assert strikes.refuses(CAUSE, 1)


def test_neighbours_that_are_answered_are_cleared():
    """Requests that happened to run beside the cause must not be refused."""
    strikes = CrashStrikes()
    for _ in range(STRIKES):
        _crash(strikes, CAUSE, NEIGHBOUR)
        strikes.completed(NEIGHBOUR)
    assert not strikes.refuses(NEIGHBOUR, 1)


def test_loss_without_a_crash_counts_nothing():
    """A connection that breaks on its own says nothing about the request."""
    strikes = CrashStrikes()
    strikes.lost(CAUSE, 0)
    assert strikes.crashed(LOSS_WINDOW_MS + 1) == []
