"""Tests that the feed of a table outlives faults of the store and of its rows."""

import asyncio

import structlog
from gentianmill.clock import BootClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill_mesh.mesh_settings import Address
from gentianmill_platform.store import Snapshot, Store, StoredRow
from gentianmill_platform.table_feed import PollTiming, TableFeed
from platform_store import FakeStore
from poll_turns import ImmediateTurns
from virtual_time import LoopClock, run_virtual

TIMING = PollTiming(wait_ms=1000, min_pause_s=0.1, max_pause_s=0.1)
OUTAGE_S = 3600

MAX_CALLS = 4
"""Most calls in 1 s: the first, and one after each pause of 0.15 s or longer, which
double."""

ROW = StoredRow('config', b'content', deleted=False, version=1)


class _ScriptedStore(Store):
    """Respond with an error until a time, then with one row."""

    def __init__(self, failing_until_s: float) -> None:
        super().__init__(Address('127.0.0.1', 1))
        self._failing_until_s = failing_until_s

    async def read(self, table: str) -> Snapshot:
        if asyncio.get_running_loop().time() < self._failing_until_s:
            raise GentianmillError(ErrorCode.store_unavailable, 'store', '', 'down')
        return Snapshot([ROW], 1, is_complete=True)

    async def changes(self, table: str, after: int, wait_ms: int) -> Snapshot:
        await asyncio.sleep(wait_ms / 1000)
        return Snapshot([], after, is_complete=False)


def test_feed_outlives_a_long_outage_of_the_store():
    """Guards against a pause that overflows after 1,024 failures and ends the feed."""

    async def scenario() -> float:
        found = asyncio.Event()
        feed = TableFeed(
            _ScriptedStore(OUTAGE_S), 'op', lambda _: found.set(), TIMING, LoopClock()
        )
        feed.start()
        await asyncio.wait_for(found.wait(), 2 * OUTAGE_S)
        await feed.close()
        return asyncio.get_running_loop().time()

    assert run_virtual(scenario()) < OUTAGE_S + 5


def test_feed_goes_on_after_a_fault_in_its_reader():
    """Guards against a feed that ends without a log line."""

    async def scenario() -> int:
        calls = 0

        def fail(_snapshot: Snapshot) -> None:
            nonlocal calls
            calls += 1
            raise RuntimeError('a fault')

        feed = TableFeed(_ScriptedStore(0), 'op', fail, TIMING, LoopClock())
        feed.start()
        await asyncio.sleep(10)
        await feed.close()
        return calls

    with structlog.testing.capture_logs() as lines:
        assert run_virtual(scenario()) > 1
    assert 'Feed failed, reading again.' in {line['event'] for line in lines}


def test_table_that_is_gone_is_not_read_without_pauses():
    """Guards against a node that does nothing but read a table that answers 410."""

    async def scenario() -> int:
        async with FakeStore() as store:
            store.failing_status = 410
            feed = TableFeed(
                store.client,
                'op',
                lambda _: None,
                TIMING,
                BootClock(),
                ImmediateTurns(),
            )
            feed.start()
            await asyncio.sleep(1)
            await feed.close()
            return store.calls

    assert asyncio.run(scenario()) <= MAX_CALLS
