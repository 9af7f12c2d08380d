"""Tests of the row that shows whether the store was away."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from gentianmill.errors import GentianmillError
from gentianmill_mesh.ports import PresenceAge
from gentianmill_platform import answer_time, presence_row
from gentianmill_platform.presence_row import (
    PRESENCE_KEY,
    PRESENCE_TABLE,
    PresenceRow,
)
from platform_store import FakeStore

LIMIT_S = 10
GAP_MS = 3500


class _Times:
    """Clocks of the VM and of the store."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, fake: FakeStore) -> None:
        self._unix_ms = 1_000_000
        self._fake = fake
        monkeypatch.setattr(answer_time, 'unix_ms', self._now_ms)
        monkeypatch.setattr(presence_row, 'unix_ms', self._now_ms)

    def advance(self, step_ms: int, *, store_runs: bool = True) -> None:
        """Let time pass for the VM, and for the store unless its clock stands still."""
        self._unix_ms += step_ms
        if store_runs:
            self._fake.clock_ms += step_ms

    def _now_ms(self) -> int:
        return self._unix_ms


def _play(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[FakeStore, _Times], Awaitable[object]],
) -> object:
    async def run() -> object:
        async with FakeStore() as fake:
            return await scenario(fake, _Times(monkeypatch, fake))

    return asyncio.run(asyncio.wait_for(run(), LIMIT_S))


def test_row_that_nobody_wrote_proves_nothing(monkeypatch):
    """Guards against a start that takes a missing row for a store that was there."""

    async def scenario(fake: FakeStore, _times: _Times) -> PresenceAge | None:
        return await PresenceRow(fake.client).age()

    assert _play(monkeypatch, scenario) is None


@pytest.mark.parametrize('content', [b'', b'{}', b'{"unix_ms":-1}', b'{"unix_ms":"x"}'])
def test_row_that_is_not_readable_proves_nothing(monkeypatch, content: bytes):
    """Guards against a row of another writer that ends a start or a doubt."""

    async def scenario(fake: FakeStore, _times: _Times) -> PresenceAge | None:
        fake.put(PRESENCE_TABLE, PRESENCE_KEY, content)
        return await PresenceRow(fake.client).age()

    assert _play(monkeypatch, scenario) is None


@pytest.mark.parametrize('store_runs', [True, False])
def test_age_is_the_time_since_an_answer(monkeypatch, store_runs: bool):
    """Guards against an outage that is not seen, also if the store's clock stands still."""

    async def scenario(fake: FakeStore, times: _Times) -> PresenceAge | None:
        fake.clock_ms = 500 if store_runs else 0
        await PresenceRow(fake.client).renew(GAP_MS)
        times.advance(4000, store_runs=store_runs)
        return await PresenceRow(fake.client).age()

    assert _play(monkeypatch, scenario) == PresenceAge(4000, 4000)


def test_write_that_is_done_late_does_not_hide_an_outage(monkeypatch):
    """Guards against a renewal sent in an outage that passes for an answer in it."""

    async def scenario(fake: FakeStore, times: _Times) -> PresenceAge | None:
        row = PresenceRow(fake.client)
        await row.renew(GAP_MS)
        times.advance(4000)
        fake.held_writes = 1
        with pytest.raises(GentianmillError):
            await row.renew(GAP_MS)
        assert fake.do_held_writes() == [200]
        times.advance(100)
        return await PresenceRow(fake.client).age()

    assert _play(monkeypatch, scenario).unseen_ms == 4100


def test_two_nodes_that_renew_it_end_their_conflict(monkeypatch):
    """Guards against nodes that don't know each other and never renew it again."""

    async def scenario(fake: FakeStore, times: _Times) -> PresenceAge | None:
        rows = [PresenceRow(fake.client) for _ in range(2)]
        for _ in range(4):
            times.advance(500)
            await asyncio.gather(
                *(row.renew(GAP_MS) for row in rows), return_exceptions=True
            )
        times.advance(100)
        return await PresenceRow(fake.client).age()

    assert _play(monkeypatch, scenario).unseen_ms <= 1100


@pytest.mark.parametrize(('gap_ms', 'steady_ms'), [(3499, 4499), (3500, 1000)])
def test_outage_is_seen_after_the_row_was_renewed(
    monkeypatch, gap_ms: int, steady_ms: int
):
    """Guards against a process that hides an outage from one started together with it."""

    async def scenario(fake: FakeStore, times: _Times) -> PresenceAge | None:
        await PresenceRow(fake.client).renew(GAP_MS)
        times.advance(gap_ms)
        next_row = PresenceRow(fake.client)
        for _ in range(2):
            await next_row.renew(GAP_MS)
            times.advance(500)
        return await PresenceRow(fake.client).age()

    assert _play(monkeypatch, scenario).steady_ms == steady_ms
