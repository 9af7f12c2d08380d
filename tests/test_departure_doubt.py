"""Tests of what reports prove about a departure that is not known."""

import pytest
from gentianmill.departure_doubt import LATEST_REPORT_MS, DepartureDoubt
from gentianmill.departures import Departure

INTERVAL_MS = 1500
START_UNIX_MS = 1000


def _doubt(*reports: tuple[float, int], start_unix_ms: int = 9) -> bool:
    """Return whether a doubt is left after reports at times with sequences."""
    doubt = DepartureDoubt()
    doubt.begin(INTERVAL_MS, 0, START_UNIX_MS)
    for now_ms, sequence in reports:
        doubt.observe(Departure('a', start_unix_ms), sequence, now_ms)
    return doubt.is_active


def test_no_doubt_without_an_earlier_process():
    """Guards against a first start that waits for a second report."""
    assert not DepartureDoubt().is_active


@pytest.mark.parametrize(
    'reports',
    [
        [],
        [(3100, 7)],
        [(3100, 7), (3110, 8), (3120, 9)],
        [(3100, 7), (4600, 7)],
        [(3100, 7), (4600, 6)],
    ],
)
def test_late_reports_prove_nothing(reports: list[tuple[float, int]]):
    """Guards against calls to an upstream that has left, after a report from before."""
    assert _doubt(*reports)


@pytest.mark.parametrize(
    'reports',
    [
        [(100, 7), (1600, 8)],
        [(100, 5), (1000, 9)],
        [(100, 7), (110, 8), (1600, 9)],
        [(LATEST_REPORT_MS, 7)],
    ],
)
def test_reports_that_go_on_end_the_doubt(reports: list[tuple[float, int]]):
    """Guards against an upstream that is not used any more after a restart."""
    assert not _doubt(*reports)


def test_upstream_that_starts_after_the_process_is_used_at_once():
    """Guards against a VM that waits after it was started as a whole."""
    assert not _doubt((100, 1), start_unix_ms=START_UNIX_MS + 1)


def test_doubt_starts_anew_with_another_start():
    """Guards against taking the reports of two starts for one series."""
    doubt = DepartureDoubt()
    doubt.begin(INTERVAL_MS, 0, START_UNIX_MS)
    doubt.observe(Departure('a', 8), 1, 0)
    doubt.observe(Departure('a', 9), 2, 2000)
    assert doubt.is_active
    assert doubt.end()
    assert not doubt.is_active
