"""Tests of which starts of upstreams take no more calls."""

from gentianmill.departures import (
    MAX_DEPARTURES,
    MAX_NODES,
    Departure,
    Departures,
    DepartureTable,
)
from gentianmill.node_record_codec import decode_record, encode_record
from gentianmill.upstream_status import UpstreamStatus
from node_records import node_record
from test_upstream_status import NOW_UNIX_MS, _report


def test_departure_covers_earlier_starts_only():
    """Guards against an upstream that starts again and is never used."""
    departures = Departures()
    assert departures.add(Departure('a', 5))
    assert not departures.add(Departure('a', 4))
    assert departures.covers('a', 5)
    assert departures.covers('a', 3)
    assert not departures.covers('a', 6)
    assert not departures.covers('b', 1)


def test_only_the_last_departures_are_kept():
    """Guards against a record that grows with each upstream that ever left."""
    departures = Departures()
    for number in range(MAX_DEPARTURES + 3):
        departures.add(Departure(f'u{number}', 1))
    assert len(departures.entries) == MAX_DEPARTURES
    assert not departures.covers('u0', 1)


def test_table_keeps_a_bounded_number_of_nodes():
    """Guards against memory for each node that was ever replaced."""
    table = DepartureTable()
    for number in range(MAX_NODES + 2):
        assert table.add(f'n{number}', [Departure('u', 1)])
    assert len(table) == MAX_NODES
    assert table.of_node('n0') == ()
    assert table.of_node(f'n{MAX_NODES}') == (Departure('u', 1),)


def test_departures_survive_the_registry():
    """Guards against a restarted node that does not find what was acknowledged."""
    record = node_record('n', departures=(Departure('u', 7),))
    assert decode_record(encode_record(record), 'n', 1).departures == record.departures


def test_records_without_departures_are_valid():
    """Guards against ignoring the records of nodes of an earlier version."""
    document = encode_record(node_record('n')).replace(b',"departures":[]', b'')
    assert decode_record(document, 'n', 1).departures == ()


def test_late_leave_of_an_earlier_start_is_ignored():
    """Guards against an upstream that started again and gets no calls for good."""
    status = UpstreamStatus()
    status.apply(_report(start_unix_ms=9))
    assert not status.leave('a', 5, NOW_UNIX_MS)
    assert status.accepts_calls


def test_leave_before_the_first_report_of_a_process_counts():
    """Guards against a leave that is acknowledged and dropped after a restart."""
    for told_ms in (0, 9):
        status = UpstreamStatus()
        status.leave('a', told_ms, NOW_UNIX_MS)
        status.apply(_report(start_unix_ms=9))
        assert not status.accepts_calls


def test_restored_departures_stop_late_reports():
    """Guards against a report from before a leave that a new process believes."""
    status = UpstreamStatus()
    status.restore([Departure('a', 9)])
    status.apply(_report(start_unix_ms=9))
    assert not status.accepts_calls
    status.apply(_report(start_unix_ms=10))
    assert status.accepts_calls


def test_drain_is_a_departure():
    """Guards against a drain that a restarted node forgets."""
    status = UpstreamStatus()
    status.apply(_report(start_unix_ms=9, draining=True))
    assert status.departures == (Departure('a', 9),)
