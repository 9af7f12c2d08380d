"""Tests of a deployment of real nodes whose leaf service rejects calls."""

import functools

import pytest
from tree_fleet import (
    BEGIN_S,
    END_S,
    KESTREL_THIRD,
    RUN_S,
    SERVED,
    TreeFleet,
    play,
)

PREVIOUS_SHARE = 0.85
RATIO = 0.2
WINDOW_S = 10
FLOOR = 1 / 4


@functools.cache
def _run(previous_share: float) -> TreeFleet:
    return play(KESTREL_THIRD, previous_share, 1)


def _served(fleet: TreeFleet, name: str = '') -> float:
    """Return the part of the worth requested while the leaf rejects."""
    requests = [
        one for one in fleet.of(BEGIN_S, END_S) if not name or one.kind.name == name
    ]
    worth = sum(one.kind.worth for one in requests if one.outcome == SERVED)
    return worth / sum(one.kind.worth for one in requests)


def _served_often(fleet: TreeFleet, name: str = '') -> float:
    requests = [
        one for one in fleet.of(BEGIN_S, END_S) if not name or one.kind.name == name
    ]
    return sum(one.outcome == SERVED for one in requests) / len(requests)


def test_division_serves_more_worth_than_none():
    """Guards against refusals at entries that cost more than lost trees."""
    assert _served(_run(PREVIOUS_SHARE)) > _served(_run(0))


def test_direct_reads_are_not_refused_for_trees_of_more_important_routes():
    """Guards against a division in which a costly tree displaces eight direct reads."""
    reads = _served(_run(PREVIOUS_SHARE), 'calib-lineage')
    assert reads > _served(_run(0), 'calib-lineage')


@pytest.mark.parametrize('name', [kind.name for kind in KESTREL_THIRD.kinds])
def test_each_kind_is_served_a_quarter_as_often_as_all(name: str):
    """Guards against starving the kinds whose trees cost most retries."""
    fleet = _run(PREVIOUS_SHARE)
    assert _served_often(fleet, name) >= FLOOR * _served_often(fleet)


def test_duplicates_stay_within_the_budget_of_the_leaf():
    """Guards against retries and hedges beyond the bound of the deployment."""
    fleet = _run(PREVIOUS_SHARE)
    slack = KESTREL_THIRD.slack
    for begin_s in range(RUN_S):
        firsts = max(
            _count(fleet.firsts, begin_s - earlier_s)
            for earlier_s in (0, WINDOW_S / 2, WINDOW_S)
        )
        assert _count(fleet.duplicates, begin_s) <= RATIO * firsts + slack


def _count(times: list[float], begin_s: float) -> int:
    return sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in times)
