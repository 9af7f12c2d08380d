"""Tests of what a guard reports about its retry budget."""

from gentianmill.arrivals import Cause
from gentianmill.clock import ManualClock
from gentianmill.retry_budget import RetryBudgetSettings
from gentianmill_mesh.retry_budget_gate import RetryBudgetGate

ORDINARY_RANK = 9


def test_credit_shows_why_duplicate_attempts_are_refused():
    """Guards against refusals that look the same for a spent budget and low traffic."""
    clock = ManualClock()
    gate = RetryBudgetGate(RetryBudgetSettings(), clock)
    for _ in range(20):
        gate.admit(Cause.first, ORDINARY_RANK)
    before = gate.credit
    assert gate.admit(Cause.retry, ORDINARY_RANK)
    assert gate.credit == before - 1
    while gate.admit(Cause.inherited, ORDINARY_RANK):
        assert gate.credit >= 0
    assert gate.refuses(Cause.inherited, ORDINARY_RANK)
    assert gate.credit < 1
    assert gate.refused > 0
