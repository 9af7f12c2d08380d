"""Tests of the order of an upstream's reports."""

from gentianmill.upstream_status import UpstreamReport, UpstreamStatus

NOW_UNIX_MS = 1000


def _report(
    upstream_id: str = 'a',
    start_unix_ms: int = 1,
    sequence: int = 1,
    draining: bool = False,
) -> UpstreamReport:
    return UpstreamReport(
        upstream_id=upstream_id,
        service='s',
        host='h',
        port=1,
        zone='z',
        slots=10,
        draining=draining,
        sequence=sequence,
        start_unix_ms=start_unix_ms,
        cold_ms=0,
    )


def test_late_report_is_ignored():
    """Guards against a delayed report that undoes a drain."""
    status = UpstreamStatus()
    status.apply(_report(sequence=5, draining=True))
    assert not status.apply(_report(sequence=4))
    assert not status.accepts_calls


def test_report_of_an_earlier_start_is_ignored():
    """Guards against a report, delayed by a partition, that replaces a later start's."""
    status = UpstreamStatus()
    status.apply(_report('b', start_unix_ms=9, sequence=1))
    assert not status.apply(_report('a', start_unix_ms=3, sequence=50))
    assert status.report.upstream_id == 'b'


def test_restart_under_the_same_id_resets_the_sequence():
    """Guards against ignoring an upstream that restarts its sequence under its id."""
    status = UpstreamStatus()
    status.apply(_report(sequence=50))
    status.leave('a', 0, NOW_UNIX_MS)
    assert status.apply(_report(start_unix_ms=2, sequence=1))
    assert status.accepts_calls


def test_drain_is_not_undone_by_a_later_report():
    """Guards against calls to an upstream whose drain was already confirmed."""
    status = UpstreamStatus()
    status.apply(_report(sequence=1, draining=True))
    status.apply(_report(sequence=2))
    assert not status.accepts_calls


def test_leave_of_another_upstream_is_ignored():
    """Guards against a late leave of the predecessor that stops its successor."""
    status = UpstreamStatus()
    status.apply(_report('b', start_unix_ms=2))
    assert not status.leave('a', 0, NOW_UNIX_MS)
    assert status.accepts_calls
