"""Tests that running requests end only with their upstream, not with late reports."""

import asyncio

import pytest
from gentianmill.admission_share import ShareTable
from gentianmill.arrivals import Cause
from gentianmill.clock import ManualClock
from gentianmill.outcome import Outcome
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill.upstream_liveness import UNRESPONSIVE_AFTER_MS
from gentianmill_mesh.guard_call import GuardCall, GuardReply
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.upstream_connection import LossKind, UpstreamLostError
from gentianmill_mesh.upstream_guard import UpstreamGuard
from mesh_upstream import NAMES, request
from test_upstream_status import _report

CHECK_MS = 250.0


class _Pool:
    """An upstream that runs requests for long, and may be gone."""

    def __init__(self, *, reachable: bool) -> None:
        self.questions = 0
        self._reachable = reachable
        self._running: list[asyncio.Future[HttpResponse]] = []

    async def run(self, *_: object) -> HttpResponse:
        self._running.append(asyncio.get_running_loop().create_future())
        return await self._running[-1]

    async def is_reachable(self) -> bool:
        self.questions += 1
        return self._reachable

    def abandon_repeatable(self) -> int:
        for running in self._running:
            running.set_exception(UpstreamLostError(LossKind.after_send, 'abandoned'))
        return len(self._running)

    def close_expired(self) -> None:
        """Do nothing."""

    def limit_idle(self, _count: int) -> None:
        """Do nothing."""

    def respond(self) -> None:
        for running in self._running:
            running.set_result(HttpResponse(200, [], b'whole'))


def _call() -> GuardCall:
    return GuardCall(
        service='s',
        request=request(),
        deadline_ms=20_000,
        rank=0,
        max_wait_ms=1000,
        repeatable=True,
        caller_service='front',
        route='read',
        cause=Cause.first,
    )


async def _silence(pool: _Pool) -> tuple[GuardReply, GuardReply]:
    """Return the replies to a read that runs during a silence, and to a later one."""
    clock = ManualClock()
    guard = UpstreamGuard('s', pool, NAMES, ShareTable(), clock, RetryBudgetSettings())
    guard.apply_report(_report())
    running = asyncio.ensure_future(guard.run(_call()))
    for _ in range(int(UNRESPONSIVE_AFTER_MS / CHECK_MS) + 8):
        clock.advance(CHECK_MS)
        guard.check()
        for _ in range(3):
            await asyncio.sleep(0)
    later = await guard.run(_call())
    if not running.done():
        pool.respond()
    return await running, later


@pytest.mark.parametrize(
    ('reachable', 'outcome'), [(True, Outcome.answered), (False, Outcome.unknown)]
)
def test_only_evidence_ends_running_requests(reachable: bool, outcome: Outcome):
    """Guards against reads that are cut as the reports of their upstream come late."""
    pool = _Pool(reachable=reachable)
    running, later = asyncio.run(asyncio.wait_for(_silence(pool), 5))
    assert running.outcome is outcome
    assert (later.outcome, later.reason) == (Outcome.not_run, 'down')
    assert pool.questions > int(not reachable)


def test_idle_upstream_is_not_asked():
    """Guards against connections that nobody needs while reports are late."""
    pool = _Pool(reachable=True)
    clock = ManualClock()
    guard = UpstreamGuard('s', pool, NAMES, ShareTable(), clock, RetryBudgetSettings())

    async def scenario() -> int:
        guard.apply_report(_report())
        for _ in range(20):
            clock.advance(CHECK_MS)
            guard.check()
            await asyncio.sleep(0)
        return pool.questions

    assert asyncio.run(scenario()) == 0
