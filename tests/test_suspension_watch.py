"""Tests of how a suspension of the process is noticed."""

from gentianmill.clock import ManualClock
from gentianmill_mesh.suspension_watch import SuspensionWatch


def _resumptions(*pauses_ms: float) -> int:
    clock = ManualClock()
    resumed: list[float] = []
    watch = SuspensionWatch(clock, lambda: resumed.append(clock.now_ms()))
    for pause_ms in pauses_ms:
        clock.advance(pause_ms)
        watch.check()
    return len(resumed)


def test_suspension_is_noticed_once():
    """Guards against waits that go on for their whole time after a suspension."""
    assert _resumptions(250, 20_000, 250, 250) == 1


def test_late_checks_are_no_suspension():
    """Guards against polls that are repeated whenever the event loop is busy."""
    assert not _resumptions(250, 700, 900, 250)
