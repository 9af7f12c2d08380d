"""Tests of what reports prove about a departure that is not known."""

import pytest
from gentianmill.departure_doubt import LATEST_REPORT_MS, DepartureDoubt
from gentianmill.departures import Departure

INTERVAL_MS = 1500
START_UNIX_MS = 1000


def _doubt(
    *reports: tuple[float, int], start_unix_ms: int = 9, is_current: bool = False
) -> bool:
    """Return whether a doubt is left after reports at times with sequences."""
    doubt = DepartureDoubt()
    doubt.begin(INTERVAL_MS, 0, START_UNIX_MS)
    for now_ms, sequence in reports:
        start = Departure('a', start_unix_ms)
        doubt.observe(start, sequence, now_ms, is_current=is_current)
    return doubt.is_active


def test_no_doubt_without_an_earlier_process():
    """Guards against a first start that waits for its upstream."""
    assert not DepartureDoubt().is_active


@pytest.mark.parametrize(
    'reports',
    [
        [],
        [(3100, 7)],
        [(3100, 7), (3110, 8), (3120, 9)],
        [(3100, 7), (4600, 7)],
        [(3100, 7), (4600, 8)],
        [(1500 * number, 7 + number) for number in range(7)],
    ],
)
def test_late_reports_prove_nothing(reports: list[tuple[float, int]]):
    """Guards against calls to an upstream that has left, after reports from before.

    They may arrive an interval apart, each as late as the others.
    """
    assert _doubt(*reports)


def test_report_that_was_sent_since_the_start_ends_the_doubt():
    """Guards against an upstream that is not used any more after a restart."""
    assert not _doubt((1600, 8), is_current=True)


def test_report_that_was_sent_too_long_ago_can_not_arrive():
    """Guards against an upstream that reports nowhere else and is never used again."""
    assert not _doubt((LATEST_REPORT_MS, 7))


def test_upstream_that_starts_after_the_process_is_used_at_once():
    """Guards against a VM that waits after it was started as a whole."""
    assert not _doubt((100, 1), start_unix_ms=START_UNIX_MS + 1)


def test_upstream_that_has_sent_more_than_since_the_start_is_not_new():
    """Guards against a clock that was set back, by which an old upstream is a new one."""
    assert _doubt((100, 7), start_unix_ms=START_UNIX_MS + 1)


def test_doubt_is_ended_by_others_once():
    """Guards against a doubt that goes on though all departures are known."""
    doubt = DepartureDoubt()
    doubt.begin(INTERVAL_MS, 0, START_UNIX_MS)
    assert doubt.end()
    assert not doubt.end()
    assert not doubt.is_active
