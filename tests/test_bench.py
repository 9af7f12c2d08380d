"""Tests of the load model behind the measurements."""

import importlib
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from bench.measure import MEASUREMENTS, measure
from bench.model import Load, Simulation
from bench.policies import CURRENT, FIXED_LIMIT, NO_CONTROL, Policy
from bench.workload import CASCADIA, GUILD, chain
from gentianmill import level


ROOT = Path(__file__).parent.parent
PROCESS_SETTINGS = (
    {'PYTHONHASHSEED': '1'},
    # Another allocator places objects at other addresses, so sets of objects differ.
    {'PYTHONHASHSEED': '2', 'PYTHONMALLOC': 'malloc'},
)


def run(policy: Policy, factor: float, seed: int = 1) -> Simulation:
    rate = factor * GUILD.capacity_per_s()
    load = Load(end_ms=1500, rate=lambda now_ms: rate)
    return Simulation(GUILD, policy, load, seed).run()


def demand(simulation: Simulation) -> list[tuple]:
    return [
        (entry.kind.name, entry.sent_ms, entry.tenant) for entry in simulation.requests
    ]


@pytest.fixture(scope='module')
def small_lines() -> list[dict[str, str]]:
    """Return the results of two processes with different hashes and addresses."""
    running = [
        subprocess.Popen(
            [sys.executable, '-m', 'small_measures'],
            stdout=subprocess.PIPE,
            env={**os.environ, **settings, 'PYTHONPATH': 'tests:.'},
            cwd=ROOT,
        )
        for settings in PROCESS_SETTINGS
    ]
    outputs = [process.communicate()[0] for process in running]
    assert not any(process.returncode for process in running)
    return [json.loads(output) for output in outputs]


@pytest.mark.parametrize('name', ['goodput', 'recovery', 'crest', 'blocking', 'tail'])
def test_a_measure_of_a_seed_gives_the_same_line(small_lines, name):
    """Guards against figures that depend on the order of sets or on addresses."""
    first, second = (lines[name] for lines in small_lines)
    # Compared outside the assertion, since the lines are too long to print.
    is_same = first == second
    assert is_same, f'{name} differs between two runs of one seed'


def test_a_seed_gives_the_same_run():
    """Guards against figures that cannot be reproduced."""
    first, second = run(CURRENT, 1.5), run(CURRENT, 1.5)
    assert len(first.requests) > 100
    assert [entry.done_ms for entry in first.requests] == [
        entry.done_ms for entry in second.requests
    ]


def test_policies_get_the_same_demand():
    """Guards against comparing policies under different loads."""
    assert demand(run(NO_CONTROL, 0.5)) == demand(run(CURRENT, 0.5))


@pytest.mark.parametrize('policy', [NO_CONTROL, FIXED_LIMIT, CURRENT])
def test_a_light_load_is_served_by_every_policy(policy):
    """Guards against a model in which calls get lost."""
    simulation = run(policy, 0.2)
    early = [entry for entry in simulation.requests if entry.sent_ms < 500]
    short = [entry for entry in early if entry.kind.tree.size == 'short']
    assert short
    assert all(entry.is_good for entry in short if entry.kind.name != 'deep_lookup')


def test_overrides_hold_only_while_applied():
    """Guards against an earlier policy whose overrides leak into the current one."""
    before = level.DELAY_MS
    policy = Policy('earlier', 'gentianmill', (('level.DELAY_MS', before + 1),))
    with policy.applied():
        assert before + 1 == level.DELAY_MS
    assert before == level.DELAY_MS


def test_call_trees_are_up_to_17_deep():
    """Guards against a model without deep call trees."""
    depths = {
        len(list(kind.tree.steps())) for kind in (*CASCADIA.requests, *GUILD.requests)
    }
    assert {1, 2, 17} <= depths
    assert len(list(chain(('a', 'b'), 5, 10).steps())) == 5


def test_each_measurement_has_a_run_function():
    """Guards against a registry entry without a module."""
    for path in MEASUREMENTS.values():
        assert callable(importlib.import_module(path).run)


def test_unknown_measurements_and_no_seeds_are_refused():
    """Guards against a measurement that silently measures nothing."""
    with pytest.raises(ValueError, match='no measurement'):
        measure('nothing')
    with pytest.raises(ValueError, match='at least 1 seed'):
        measure('goodput', seeds=0)
