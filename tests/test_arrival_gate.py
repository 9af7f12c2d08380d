"""Tests of what a guard tells of its retry budget."""

from gentianmill.arrivals import Cause
from gentianmill.clock import ManualClock
from gentianmill.repeat_budget import RetryBudgetSettings
from gentianmill_mesh.arrival_gate import ArrivalGate

ORDINARY_RANK = 9


def test_credit_shows_why_repeats_are_refused():
    """A refused repeat could not be told from one that came in a quiet second."""
    clock = ManualClock()
    gate = ArrivalGate(RetryBudgetSettings(), clock)
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
