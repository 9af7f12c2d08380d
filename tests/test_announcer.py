"""Tests of the rows by which members announce themselves in the table."""

import asyncio

from member_factory import make_member
from memory_table import MemoryTable

from gentianmill.clock import ManualClock
from gentianmill.member import Member, MemberStatus
from gentianmill.membership import MemberTable
from gentianmill_node.announcer import STALE_MS, Announcer

MINUTE_MS = 60_000


def _announcer(
    clock: ManualClock, rows: MemoryTable, own: str, *others: Member
) -> Announcer:
    table = MemberTable(make_member(own))
    for member in others:
        table.merge(member, 0)
    return Announcer(clock, rows, table)


def test_rows_of_dead_members_are_deleted_after_ten_minutes_without_refresh():
    """Guards against keeping rows of dead members or deleting those of live ones."""

    async def run() -> None:
        clock = ManualClock()
        rows = MemoryTable()
        dead = make_member('gone', status=MemberStatus.dead)
        returned = make_member('returned', status=MemberStatus.dead)
        unrefreshed = make_member('silent')
        others = {
            member.node_id: _announcer(clock, rows, member.node_id)
            for member in (dead, returned, unrefreshed)
        }
        await asyncio.gather(*[other.refresh() for other in others.values()])
        watcher = _announcer(clock, rows, 'watcher', dead, returned, unrefreshed)
        await watcher.scan()
        clock.advance(MINUTE_MS)
        await others['returned'].refresh()
        clock.advance(STALE_MS - MINUTE_MS - 1)
        await watcher.scan()
        assert 'members/gone' in rows.rows
        clock.advance(1)
        members = await watcher.scan()
        assert {member.node_id for member in members} == {'returned', 'silent'}
        assert set(rows.rows) == {'members/returned', 'members/silent'}

    assert STALE_MS == 10 * MINUTE_MS
    asyncio.run(run())


def test_a_row_refreshed_during_the_scan_is_kept():
    """Guards against deleting the row of a member that has just come back."""

    async def run() -> None:
        clock = ManualClock()
        rows = MemoryTable()
        dead = make_member('gone', status=MemberStatus.dead)
        restarted = _announcer(clock, rows, 'gone')
        await restarted.refresh()
        watcher = _announcer(clock, rows, 'watcher', dead)
        await watcher.scan()
        clock.advance(STALE_MS)
        scanned = await rows.scan('members/')
        await restarted.refresh()
        rows.scan = lambda prefix: _done(scanned)
        await watcher.scan()
        assert 'members/gone' in rows.rows

    asyncio.run(run())


async def _done(rows: list) -> list:
    return rows
