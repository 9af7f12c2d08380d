"""Tests of the admission levels that an entry keeps."""

from gentianmill.level_table import LevelTable
from gentianmill.messages import LoadReport

OPEN_LEVEL = 639


def report(level: int, downstream: dict[str, list[int]] | None = None) -> LoadReport:
    return LoadReport(1, 10, 0, level, False, downstream or {})


def test_unknown_services_are_open():
    """Guards against refusing requests before the first response."""
    assert LevelTable(OPEN_LEVEL).admits('billing', OPEN_LEVEL, 0)


def test_refuses_requests_above_the_level_of_most_members():
    """Guards against refusing requests to a service because one member is slow."""
    table = LevelTable(OPEN_LEVEL)
    for node_id, level in (('a', OPEN_LEVEL), ('b', OPEN_LEVEL), ('c', 200)):
        table.update('billing', node_id, report(level), 0)
    assert table.level('billing', 0) == OPEN_LEVEL
    table.update('billing', 'b', report(300), 0)
    table.update('billing', 'a', report(300), 0)
    assert table.level('billing', 0) == 300
    assert table.admits('billing', 300, 0)
    assert not table.admits('billing', 301, 0)


def test_levels_deeper_in_the_tree_refuse_at_the_entry():
    """Guards against admitting requests that a later hop refuses."""
    tables = [LevelTable(OPEN_LEVEL) for _ in range(17)]
    tables[-1].update('service 17', 'a', report(300), 0)
    for depth in reversed(range(16)):
        callee = f'service {depth + 1}'
        tables[depth + 1].on_egress(f'service {depth + 2}', OPEN_LEVEL)
        downstream = tables[depth + 1].levels(0)
        tables[depth].update(callee, 'a', report(OPEN_LEVEL, downstream), 0)
    assert tables[0].level('service 1', 0) == OPEN_LEVEL
    assert not tables[0].admits('service 1', OPEN_LEVEL, 0)
    assert tables[0].admits('service 1', 300, 0)


def test_relayed_levels_apply_only_to_classes_that_call_the_service():
    """Guards against refusing requests that never reach the overloaded service."""
    inner, outer = LevelTable(OPEN_LEVEL), LevelTable(OPEN_LEVEL)
    inner.update('quoting', 'a', report(200), 0)
    inner.on_egress('quoting', 4 * 128)
    outer.update('billing', 'b', report(OPEN_LEVEL, inner.levels(0)), 0)
    assert not outer.admits('billing', 4 * 128, 0)
    assert outer.admits('billing', 3 * 128, 0)


def test_services_called_by_the_entry_only_are_not_relayed():
    """Guards against relaying levels of services that the own service does not call."""
    table = LevelTable(OPEN_LEVEL)
    table.update('quoting', 'a', report(200), 0)
    assert not table.levels(0)


def test_relayed_levels_do_not_refuse_protected_requests():
    """Guards against shedding billing for a service that it may not call."""
    inner, outer = LevelTable(OPEN_LEVEL), LevelTable(OPEN_LEVEL, protected_level=255)
    inner.update('quoting', 'a', report(100), 0)
    inner.on_egress('quoting', 200)
    outer.update('billing', 'b', report(OPEN_LEVEL, inner.levels(0)), 0)
    assert outer.admits('billing', 200, 0)
    outer.update('billing', 'b', report(100), 0)
    assert not outer.admits('billing', 200, 0)


def test_levels_open_without_new_reports():
    """Guards against a service that stays closed because nobody calls it."""
    table = LevelTable(OPEN_LEVEL)
    table.update('billing', 'a', report(100), 0)
    assert table.level('billing', 400) == 100
    assert 100 < table.level('billing', 2000) < OPEN_LEVEL
    assert table.level('billing', 5500) == OPEN_LEVEL


def test_services_in_a_cycle_recover():
    """Guards against two services that relay each other's stale level forever."""
    one, two = LevelTable(OPEN_LEVEL), LevelTable(OPEN_LEVEL)
    one.on_egress('two', OPEN_LEVEL)
    two.on_egress('one', OPEN_LEVEL)
    stale_levels = {'three': [100, 0, 0b11111]}
    two.update('one', 'a', report(OPEN_LEVEL, stale_levels), 0)
    assert not two.admits('one', OPEN_LEVEL, 1)
    for now_ms in range(1, 2000):
        one.update('two', 'b', report(OPEN_LEVEL, two.levels(now_ms)), now_ms)
        two.update('one', 'a', report(OPEN_LEVEL, one.levels(now_ms)), now_ms)
    assert one.admits('two', OPEN_LEVEL, 2000)
    assert two.admits('one', OPEN_LEVEL, 2000)
    assert not one.levels(2000)
