"""Model check of sheet acceptance and distribution."""

import functools
import random

import pytest
from minicheck import check_safety
from models.sheet_model import (
    NO_SHEET,
    NODES,
    RACE,
    RETRIES,
    SUCCESSIONS,
    System,
    Variant,
    build,
    sheet_text,
)

from gentianmill.sheet_version import SheetTracker
from seeds import seeds

MAX_STATES = 200_000
COUNTEREXAMPLE_STATES = 20_000
"""Limit of the search for a counterexample, which need not be exhaustive."""

WALKS = 50
WALK_STEPS = 60


def _has_stale_read(node):
    return any(read.version < node.sheet.version for read in node.reads)


def _is_replaced_while_lost(operator, system):
    if operator.phase != 'lost' or operator.write.sheet == system.row:
        return False
    return operator.write.sheet in system.accepted


SITUATIONS = {
    'third version accepted': lambda system: system.row.version == 3,
    'third version at a node': lambda system: any(
        node.sheet.version == 3 for node in system.nodes
    ),
    'both nodes restarted': lambda system: all(node.restarts for node in system.nodes),
    'old read': lambda system: any(map(_has_stale_read, system.nodes)),
    'own sheet replaced while its answer is lost': lambda system: any(
        _is_replaced_while_lost(operator, system) for operator in system.operators
    ),
    'two copies of a write in flight': lambda system: any(
        len(operator.in_flight) > 1 for operator in system.operators
    ),
}
"""Situations that the model must reach; each is checked as an invariant to violate."""


def _is_never(situation, state):
    return not situation(state['system'])


@functools.cache
def _explore(bounds):
    protocol = build(Variant.correct, bounds)
    rules = set(protocol.invariants)
    for name, situation in SITUATIONS.items():
        protocol.invariants[name] = functools.partial(_is_never, situation)
    return rules, check_safety(protocol, MAX_STATES)


@pytest.mark.parametrize('bounds', [RETRIES, SUCCESSIONS])
def test_the_rules_hold_in_every_reachable_state(bounds):
    """Guards against races of operators, lost responses, restarts and stale reads."""
    rules, checked = _explore(bounds)
    assert checked['exhaustive']
    assert len(rules) == 6
    for name in rules:
        verdict = checked['properties'][name]
        assert verdict['holds'] is True, (name, verdict['counterexample'])


@pytest.mark.parametrize(
    ('bounds', 'situation'),
    [
        (SUCCESSIONS, 'third version accepted'),
        (SUCCESSIONS, 'third version at a node'),
        (RETRIES, 'both nodes restarted'),
        (RETRIES, 'old read'),
        (RETRIES, 'own sheet replaced while its answer is lost'),
        (RETRIES, 'two copies of a write in flight'),
    ],
)
def test_the_model_reaches_the_situations_it_is_about(bounds, situation):
    """Guards against invariants that hold because nothing happens."""
    checked = _explore(bounds)[1]
    assert checked['properties'][situation]['holds'] is False


@pytest.mark.parametrize(
    ('variant', 'bounds', 'broken'),
    [
        (
            Variant.write_without_compare,
            RETRIES,
            'an accepted version is never replaced by a lower one',
        ),
        (
            Variant.write_without_compare,
            RETRIES,
            'no two texts are accepted under one version',
        ),
        (
            Variant.node_accepts_lower,
            RACE,
            'the version of a running node never falls',
        ),
        (
            Variant.retry_overwrites,
            RETRIES,
            'no sheet is replaced that its operator has not seen',
        ),
    ],
)
def test_a_broken_rule_gives_a_counterexample(variant, bounds, broken):
    """Guards against a model that cannot detect a fault."""
    checked = check_safety(build(variant, bounds), COUNTEREXAMPLE_STATES)
    verdict = checked['properties'][broken]
    assert verdict['holds'] is False
    assert verdict['counterexample']


@pytest.mark.parametrize('seed', seeds(5))
def test_long_lived_trackers_follow_random_walks_of_the_model(seed):
    """Guards against a tracker whose result depends on sheets before the last one."""
    rng = random.Random(seed)
    protocol = build(Variant.correct, SUCCESSIONS)
    for _ in range(WALKS):
        state = protocol.initial
        trackers = [SheetTracker() for _ in NODES]
        steps = protocol.transitions(state)
        for _ in range(WALK_STEPS):
            label, after = rng.choice(steps)
            for index in NODES:
                trackers[index] = _follow(
                    trackers[index], index, label, (state[0], after[0])
                )
                assert trackers[index].version == after[0].nodes[index].sheet.version
            state = after
            steps = protocol.transitions(state)


def _follow(
    tracker: SheetTracker, index: int, label: str, change: tuple[System, System]
) -> SheetTracker:
    before, after = change
    if label == f'node {index} restarts':
        return SheetTracker()
    if not label.startswith(f'node {index} offers'):
        return tracker
    remaining = list(after.nodes[index].reads)
    read = next(
        sheet
        for sheet in before.nodes[index].reads
        if before.nodes[index].reads.count(sheet) > remaining.count(sheet)
    )
    in_force = after.nodes[index].sheet
    accepted = tracker.offer(read.version, sheet_text(read.text), 'operator', 1)
    assert accepted == (in_force != before.nodes[index].sheet)
    assert in_force != NO_SHEET
    return tracker
