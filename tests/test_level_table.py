"""Tests of the levels kept at an entry."""

from gentianmill.level_table import LevelTable
from gentianmill.messages import LoadReport

OPEN = 639


def report(level: int, below: dict[str, list[int]] | None = None) -> LoadReport:
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
    tables = [LevelTable(OPEN) for _ in range(17)]
    tables[-1].update('service 17', 'a', report(300), 0)
    for depth in reversed(range(16)):
        callee = f'service {depth + 1}'
        tables[depth + 1].on_egress(f'service {depth + 2}', OPEN)
        below = tables[depth + 1].levels(0)
        tables[depth].update(callee, 'a', report(OPEN, below), 0)
    assert tables[0].level('service 1', 0) == OPEN
    assert not tables[0].admits('service 1', OPEN, 0)
    assert tables[0].admits('service 1', 300, 0)


def test_relayed_levels_concern_only_the_classes_that_get_there():
    """Guards against refusing requests that never reach the full service."""
    inner, outer = LevelTable(OPEN), LevelTable(OPEN)
    inner.update('quoting', 'a', report(200), 0)
    inner.on_egress('quoting', 4 * 128)
    outer.update('billing', 'b', report(OPEN, inner.levels(0)), 0)
    assert not outer.admits('billing', 4 * 128, 0)
    assert outer.admits('billing', 3 * 128, 0)


def test_services_called_by_the_entry_only_are_not_relayed():
    """Guards against a node that relays levels its own service has no part in."""
    table = LevelTable(OPEN)
    table.update('quoting', 'a', report(200), 0)
    assert not table.levels(0)


def test_relayed_levels_do_not_refuse_protected_requests():
    """Guards against shedding billing for a service that it may not call."""
    inner, outer = LevelTable(OPEN), LevelTable(OPEN, protected_level=255)
    inner.update('quoting', 'a', report(100), 0)
    inner.on_egress('quoting', 200)
    outer.update('billing', 'b', report(OPEN, inner.levels(0)), 0)
    assert outer.admits('billing', 200, 0)
    outer.update('billing', 'b', report(100), 0)
    assert not outer.admits('billing', 200, 0)


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
    one.on_egress('two', OPEN)
    two.on_egress('one', OPEN)
    old = {'three': [100, 0, 0b11111]}
    two.update('one', 'a', report(OPEN, old), 0)
    assert not two.admits('one', OPEN, 1)
    for now_ms in range(1, 2000):
        one.update('two', 'b', report(OPEN, two.levels(now_ms)), now_ms)
        two.update('one', 'a', report(OPEN, one.levels(now_ms)), now_ms)
    assert one.admits('two', OPEN, 2000)
    assert two.admits('one', OPEN, 2000)
    assert not one.levels(2000)
