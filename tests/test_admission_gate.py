"""Tests of calls that wait at the admission gate."""

import asyncio

import pytest
from gentianmill_node.admission_gate import AdmissionGate

from gentianmill.clock import ManualClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.concurrency_limit import FixedLimit
from gentianmill.outcome import Outcome
from gentianmill.sheet import WorkClass
from gentianmill.sheet_models import LimitsModel
from gentianmill.ticket import Ticket


class _Level:
    """An admission level that ignores its observations."""

    def observe(self, now_ms, queue_delay_ms, refused) -> None:
        """Do nothing."""


class _Policy:
    """The attributes of the policy that the gate reads."""

    def __init__(self) -> None:
        """Hold default limits."""
        self.limits = LimitsModel()
        self.level = _Level()


class _Harness:
    """A gate with one slot, its clock and the delays that it reported."""

    def __init__(self) -> None:
        """Create the gate."""
        self.clock = ManualClock()
        self.delays: list[tuple[str, float]] = []
        self.gate = AdmissionGate(
            _Policy(),
            FixedLimit(1),
            self.clock,
            lambda *delay: self.delays.append(delay),
        )

    def ticket(self, deadline_ms: float = 10_000) -> Ticket:
        """Return a new ticket."""
        return Ticket(
            work_class=WorkClass('billing', 0, protected=True),
            tenant='a',
            share=1,
            size='short',
            rank=1,
            deadline_ms=deadline_ms,
            operation='deposit',
        )


def test_a_waiting_call_starts_when_a_slot_is_free():
    """Guards against calls that wait forever, and delays that are not recorded."""

    async def run() -> list[tuple[str, float]]:
        harness = _Harness()
        first = harness.ticket()
        await harness.gate.enter(first)
        second = asyncio.ensure_future(harness.gate.enter(harness.ticket()))
        await asyncio.sleep(0)
        assert not second.done()
        harness.clock.advance(7)
        harness.gate.leave(first, ok=True)
        await second
        harness.gate.close()
        return harness.delays

    assert asyncio.run(run()) == [('billing', 0), ('billing', 7)]


def test_a_cancelled_wait_leaves_the_queue():
    """Guards against losing a slot to a caller that disconnects while it waits."""

    async def run() -> int:
        harness = _Harness()
        first = harness.ticket()
        await harness.gate.enter(first)
        second = asyncio.ensure_future(harness.gate.enter(harness.ticket()))
        await asyncio.sleep(0)
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        harness.gate.leave(first, ok=True)
        await harness.gate.enter(harness.ticket())
        harness.gate.close()
        return harness.gate.queue.in_flight + harness.gate.queue.queued

    assert asyncio.run(run()) == 1


def test_a_passed_deadline_is_reported_as_expired():
    """Guards against starting work whose result nobody can use."""

    async def run() -> None:
        harness = _Harness()
        harness.clock.advance(5)
        await harness.gate.enter(harness.ticket(deadline_ms=1))

    with pytest.raises(GentianmillError) as caught:
        asyncio.run(run())
    assert caught.value.code is ErrorCode.deadline
    assert caught.value.outcome is Outcome.expired
