"""Measure the tail latency with a tenth of the upstreams slowed 5 times.

``.venv/bin/python bench/tail.py [policies] [seeds]`` prints one JSON line. The ratio
of a policy is its p99 with slowed upstreams over its own p99 with none slowed; the
worse of the two deployments counts.
"""

import itertools
import json
import math
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from types import MappingProxyType

sys.path.insert(0, str(Path(__file__).parent))

from baseline_routers import BASELINES  # noqa: E402
from previous_version import measure_previous  # noqa: E402
from pull_tokens import TokenPool  # noqa: E402
from tail_model import DEPLOYMENTS, Model, current_router  # noqa: E402

NAME = 'tail'
TARGET = 1.3
SEEDS = (1, 2, 3)
WORKERS = 4
POLICIES = MappingProxyType(
    {'current': current_router, 'pull_tokens': TokenPool, **BASELINES}
)


def measure(policy: str, deployment_number: int, seed: int) -> dict[str, float]:
    """Return p99 in ms and the shares of hedges and of attempts on slowed upstreams."""
    deployment = DEPLOYMENTS[deployment_number]
    factory = POLICIES[policy.removesuffix('_no_hedge')]
    hedged = policy == 'current'
    figures: dict[str, float] = {}
    for state in ('none', 'slowed'):
        create_router = factory() if factory is TokenPool else factory
        model = Model(deployment, create_router, seed, state == 'slowed', hedged)
        model.run()
        latencies_ms = sorted(model.latencies_ms)
        rank = math.ceil(0.99 * len(latencies_ms)) - 1
        figures[f'{state}_p99_ms'] = latencies_ms[rank]
        figures[f'{state}_hedge_share'] = model.hedges / model.calls
        figures[f'{state}_slow_share'] = model.slow_attempts / model.attempts
    figures['ratio'] = figures['slowed_p99_ms'] / figures['none_p99_ms']
    return figures


def run(seeds: int) -> dict:
    """Run all policies with seeds from 1 to the given number."""
    return compare(tuple(range(1, seeds + 1)))


def compare(seeds: tuple[int, ...], policies: tuple[str, ...] = ()) -> dict:
    """Run policies.

    Args:
        seeds: Seeds of the runs.
        policies: Names of policies; all of them if empty.

    Returns:
        Figures of the current router and of the baselines, averaged over seeds.
    """
    names = policies or ('current', 'current_no_hedge', 'pull_tokens', *BASELINES)
    deployment_numbers = range(len(DEPLOYMENTS))
    jobs = list(itertools.product(names, deployment_numbers, seeds))
    with ProcessPoolExecutor(WORKERS) as pool:
        measured = list(pool.map(measure, *zip(*jobs, strict=True)))
    runs_by_policy: dict = {name: [] for name in names}
    for job, run_figures in zip(jobs, measured, strict=True):
        runs_by_policy[job[0]].append((job[1], run_figures))
    figures = {policy: _summary(runs) for policy, runs in runs_by_policy.items()}
    if not policies:
        previous = measure_previous(seeds)
        if previous is not None:
            figures['previous'] = previous
    ratio = figures['current']['ratio']
    return {
        'name': NAME,
        'seeds': list(seeds),
        'baselines': {
            policy: runs for policy, runs in figures.items() if policy != 'current'
        },
        'current': figures['current'],
        'ratio': ratio,
        'target': TARGET,
        'met': ratio <= TARGET,
    }


def _summary(numbered_runs: list[tuple[int, dict[str, float]]]) -> dict:
    summary: dict = {}
    for number, deployment in enumerate(DEPLOYMENTS):
        runs = [figures for other, figures in numbered_runs if other == number]
        summary[deployment.name] = {
            key: round(statistics.mean(figures[key] for figures in runs), 3)
            for key in runs[0]
        }
        summary[deployment.name]['worst_seed_ratio'] = round(
            max(figures['ratio'] for figures in runs), 3
        )
    summary['ratio'] = max(summary[each.name]['ratio'] for each in DEPLOYMENTS)
    return summary


if __name__ == '__main__':
    chosen = tuple(word for word in sys.argv[1:] if not word.isdigit())
    chosen_seeds = tuple(int(word) for word in sys.argv[1:] if word.isdigit())
    print(json.dumps(compare(chosen_seeds or SEEDS, chosen)))
