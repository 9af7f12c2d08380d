"""Tests of the order of an upstream's reports."""

from gentianmill.upstream_status import UpstreamReport, UpstreamStatus


def _report(
    upstream_id: str = 'a', born_ms: int = 1, sequence: int = 1, draining: bool = False
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
        born_ms=born_ms,
        cold_ms=0,
    )


def test_late_report_is_ignored():
    """Guards against a delayed report that undoes a drain."""
    status = UpstreamStatus()
    status.take(_report(sequence=5, draining=True))
    assert not status.take(_report(sequence=4))
    assert not status.takes_calls


def test_report_of_an_earlier_start_is_ignored():
    """Guards against a report delayed by a partition that replaces a restart's."""
    status = UpstreamStatus()
    status.take(_report('b', born_ms=9, sequence=1))
    assert not status.take(_report('a', born_ms=3, sequence=50))
    assert status.report.upstream_id == 'b'


def test_restart_under_the_same_id_resets_the_sequence():
    """Guards against ignoring an upstream that restarts its sequence under its id."""
    status = UpstreamStatus()
    status.take(_report(sequence=50))
    status.leave('a')
    assert status.take(_report(born_ms=2, sequence=1))
    assert status.takes_calls


def test_drain_is_not_undone_by_a_later_report():
    """Guards against calls to an upstream whose drain was already confirmed."""
    status = UpstreamStatus()
    status.take(_report(sequence=1, draining=True))
    status.take(_report(sequence=2))
    assert not status.takes_calls


def test_leave_of_another_upstream_is_ignored():
    """Guards against a late leave of the predecessor that stops its successor."""
    status = UpstreamStatus()
    status.take(_report('b', born_ms=2))
    assert not status.leave('a')
    assert status.takes_calls
