"""Tests of the levels kept at an entry."""

from gentianmill.level_table import LevelTable
from gentianmill.messages import LoadReport

OPEN = 639


def report(level: int, below: dict[str, int] | None = None) -> LoadReport:
    return LoadReport(1, 10, 0, level, False, below or {})


def test_unknown_services_are_open():
    """Guards against refusing requests before the first response."""
    assert LevelTable(OPEN).admits('billing', OPEN, 0)


def test_refuses_requests_above_the_level_of_most_members():
    """Guards against one slow member closing a service."""
    table = LevelTable(OPEN)
    for node_id, level in (('a', OPEN), ('b', OPEN), ('c', 200)):
        table.update('billing', node_id, report(level), 0)
    assert table.level('billing', 0) == OPEN
    table.update('billing', 'b', report(300), 0)
    table.update('billing', 'a', report(300), 0)
    assert table.level('billing', 0) == 300
    assert table.admits('billing', 300, 0)
    assert not table.admits('billing', 301, 0)


def test_levels_deeper_in_the_tree_refuse_at_the_entry():
    """Guards against work that fails at the last hop."""
    table = LevelTable(OPEN)
    table.update('dispatch', 'a', report(OPEN, {'quoting': 300}), 0)
    assert table.level('dispatch', 0) == 300
    assert table.levels(0)['dispatch'] < 310


def test_reports_open_by_themselves():
    """Guards against a service that stays closed because nobody calls it."""
    table = LevelTable(OPEN)
    table.update('billing', 'a', report(100), 0)
    assert table.level('billing', 400) == 100
    assert 100 < table.level('billing', 2000) < OPEN
    assert table.level('billing', 5500) == OPEN


def test_services_in_a_cycle_recover():
    """Guards against two services relaying each other's old level for ever."""
    one, two = LevelTable(OPEN), LevelTable(OPEN)
    two.update('one', 'a', report(OPEN, {'three': 100}), 0)
    for now_ms in range(1, 2000):
        one.update('two', 'b', report(OPEN, two.levels(now_ms)), now_ms)
        two.update('one', 'a', report(OPEN, one.levels(now_ms)), now_ms)
    assert one.level('two', 2000) == OPEN
    assert two.level('one', 2000) == OPEN
