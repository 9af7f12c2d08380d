"""Tests of the deletion of expired claim rows."""

import asyncio
import uuid

import pytest

from gentianmill.claim_rows import DAY_MS, RETENTION_MS, ClaimRow, key_expired
from gentianmill.claim_sweep import (
    BATCH_ROWS,
    MAX_CLOCK_SKEW_MS,
    FIRST_BACKOFF_MS,
    IDLE_MS,
    ClaimSweep,
    SweepTurn,
    expired_rows,
)
from gentianmill_node.claim_sweeper import ClaimSweeper
from standins.faults import FaultMode, Faults
from standins.table import MemoryTableStore, SimulatedTable, TableRow
from virtual_time import LoopClock, run_virtual

NODES = 3
CYCLE_MS = 3000
DAY = 20_000
START_S = DAY * DAY_MS / 1000
EXPIRED_AFTER_DAYS = 37
"""Age in days at which all keys of a day are expired."""


def _row(made_ms: int, number: int = 0) -> ClaimRow:
    key = str(uuid.UUID(int=made_ms << 80 | 7 << 76 | 2 << 62 | number))
    return ClaimRow('billing', 'shop', key, b'd', f'{number:032x}', 'n')


@pytest.mark.parametrize('at_ms', [0, 1, DAY_MS - 1])
@pytest.mark.parametrize('off_ms', [-1, 0, 1, DAY_MS, 2 * DAY_MS])
def test_no_row_expires_before_every_node_refuses_its_key(at_ms: int, off_ms: int):
    """Guards against deleting a row whose key may still be claimed."""
    made_ms = DAY * DAY_MS + at_ms
    now_ms = made_ms + RETENTION_MS + MAX_CLOCK_SKEW_MS + off_ms
    row = _row(made_ms)
    expired = expired_rows([row.row_key, row.response_key], now_ms)
    assert len(expired) in {0, 2}
    assert not expired or key_expired(row.key, now_ms - MAX_CLOCK_SKEW_MS)
    assert bool(expired) or off_ms <= DAY_MS


def test_rows_without_a_date_never_expire():
    """Guards against deleting claims of opaque keys if a tenant looks like a date."""
    rows = [
        ClaimRow('s', tenant, 'k', b'', 'i', 'n') for tenant in ('@0000001', '0000001')
    ]
    assert not expired_rows([row.row_key for row in rows], 1e15)
    assert not expired_rows([row.response_key for row in rows], 1e15)


def test_nodes_sweep_round_robin_and_once_per_cycle():
    """Guards against deletions that exceed their share of the write budget."""
    turns = [SweepTurn(position, NODES, CYCLE_MS) for position in range(NODES)]
    starts = [10_000 + ClaimSweep().wait_ms(10_000, turn) for turn in turns]
    assert {start % CYCLE_MS for start in starts} == {0, 1000, 2000}
    early_ms = starts[0] - 1
    assert ClaimSweep().wait_ms(early_ms, turns[0]) == CYCLE_MS + 1


def test_pauses_grow_while_the_table_fails_or_nothing_is_expired():
    """Guards against a sweep that adds load to a slow table or reads needlessly."""
    turn = SweepTurn(0, 1, CYCLE_MS)
    sweep = ClaimSweep()
    sweep.on_failure()
    assert sweep.wait_ms(0, turn) == FIRST_BACKOFF_MS
    sweep.on_swept(9, elapsed_ms=501)
    assert sweep.wait_ms(0, turn) == FIRST_BACKOFF_MS * 2
    sweep.on_swept(9, elapsed_ms=1)
    assert sweep.wait_ms(0, turn) == CYCLE_MS
    sweep.on_swept(0, elapsed_ms=1)
    assert sweep.wait_ms(0, turn) == IDLE_MS


def _fill(table: SimulatedTable) -> set[str]:
    """Write two expired batches and rows to keep; return the keys of the latter."""
    old = [
        _row((DAY - EXPIRED_AFTER_DAYS) * DAY_MS, number)
        for number in range(BATCH_ROWS)
    ]
    young = [_row((DAY - 35) * DAY_MS, 1), _row(DAY * DAY_MS, 2)]
    opaque = ClaimRow('billing', '@0000001', 'k', b'', 'i', 'n')
    other = ClaimRow('other', 'shop', old[0].key, b'', 'i', 'n')
    kept = [*young, opaque, other]
    for row in (*old, *kept):
        for key in (row.row_key, row.response_key):
            table.rows[key] = TableRow(key, row.encode(), 1)
    return {key for row in kept for key in (row.row_key, row.response_key)}


def _sweeper(table: SimulatedTable, turn: SweepTurn) -> ClaimSweeper:
    clock = LoopClock()
    return ClaimSweeper(
        MemoryTableStore(table),
        clock,
        'billing',
        lambda: turn,
        lambda: START_S + clock.now_ms() / 1000,
    )


def test_several_nodes_delete_all_expired_rows_and_nothing_else():
    """Guards against expired rows that stay, and nodes whose deletions conflict."""
    table = SimulatedTable()
    kept = _fill(table)

    async def run() -> None:
        # Two of the nodes use the same turn.
        turns = [SweepTurn(position, 2, CYCLE_MS) for position in (0, 0, 1)]
        sweepers = [_sweeper(table, turn) for turn in turns]
        await asyncio.gather(*[sweeper.start() for sweeper in sweepers])
        table.gate.faults = Faults(mode=FaultMode.down)
        await asyncio.sleep(60)
        assert len(table.rows) == len(kept) + 2 * BATCH_ROWS
        table.gate.faults = Faults()
        await asyncio.sleep(1200)
        await asyncio.gather(*[sweeper.close() for sweeper in sweepers])

    run_virtual(run())
    assert set(table.rows) == kept
