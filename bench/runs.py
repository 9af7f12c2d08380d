"""Run simulations in parallel and collect their figures."""

import dataclasses
import itertools
import os
import statistics
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor

from bench.model import Load, Simulation
from bench.policies import CURRENT, FIXED_LIMIT, NO_CONTROL, PREVIOUS, Policy
from bench.workload import DEPLOYMENTS, Deployment

# Leaves processors for the other work on the machine.
WORKERS = min(5, os.cpu_count() or 1)

POLICIES = (NO_CONTROL, FIXED_LIMIT, CURRENT)
"""Policies of every measurement."""

POLICIES_WITH_PREVIOUS = (NO_CONTROL, FIXED_LIMIT, PREVIOUS, CURRENT)
"""Policies of measurements that are short enough to include an earlier version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One simulation; ``variant`` names the load, out of those of the measurement."""

    deployment: str
    policy: Policy
    seed: int
    variant: str = ''


def run_jobs(
    work: Callable[[Job], float],
    seeds: int,
    variants: Iterable[str] = ('',),
    policies: Iterable[Policy] = POLICIES,
) -> dict[Job, float]:
    """Run a measurement for each deployment, policy, seed and variant.

    Args:
        work: Runs one job and returns its figure; a module-level function, since it is
            sent to other processes.
        seeds: Number of seeds, at least 1.
        variants: Loads of the measurement.
        policies: Policies to compare.

    Returns:
        The figure of each job.
    """
    combinations = itertools.product(
        DEPLOYMENTS, policies, range(1, seeds + 1), tuple(variants)
    )
    jobs = [Job(*combination) for combination in combinations]
    with ProcessPoolExecutor(WORKERS) as pool:
        return dict(zip(jobs, pool.map(work, jobs), strict=True))


def simulate(job: Job, load: Load, deployment: Deployment | None = None) -> Simulation:
    """Run the simulation of a job, on its deployment unless another is given."""
    simulated_deployment = deployment or deployment_of(job)
    return Simulation(simulated_deployment, job.policy, load, job.seed).run()


def deployment_of(job: Job) -> Deployment:
    """Return the deployment of a job."""
    return DEPLOYMENTS[job.deployment]


def mean(figures: dict[Job, float], **fields: str) -> float:
    """Return the mean figure of the jobs whose fields have the given values."""
    return statistics.fmean(_matching(figures, fields))


def worst(figures: dict[Job, float], **fields: str) -> float:
    """Return the largest figure of the jobs whose fields have the given values."""
    return max(_matching(figures, fields))


def _matching(figures: dict[Job, float], fields: dict[str, str]) -> list[float]:
    return [
        figure
        for job, figure in figures.items()
        if all(_field(job, name) == value for name, value in fields.items())
    ]


def _field(job: Job, name: str) -> str:
    return job.policy.name if name == 'policy' else getattr(job, name)


def outcome(
    name: str,
    seeds: int,
    by_policy: dict[str, dict[str, float]],
    target: float,
    larger_is_better: bool = False,
) -> dict:
    """Build the result of a measurement.

    Args:
        name: Name of the measurement.
        seeds: Number of seeds.
        by_policy: Figure per policy and deployment.
        target: Bound from section 1.3 of the design page.
        larger_is_better: Whether the target is a lower bound.

    Returns:
        The fields of the result. The figure of a policy is that of its worse
        deployment; ``ratio`` is current / best baseline.
    """
    worst_of = min if larger_is_better else max
    best_of = max if larger_is_better else min
    figures = {policy: worst_of(row.values()) for policy, row in by_policy.items()}
    current = figures.pop('current')
    best_baseline = best_of(figures.values())
    return {
        'name': name,
        'seeds': seeds,
        'baselines': _rounded(figures),
        'current': round(current, 3),
        'ratio': round(current / best_baseline, 3) if best_baseline else None,
        'target': target,
        'met': current >= target if larger_is_better else current <= target,
        'deployments': {policy: _rounded(row) for policy, row in by_policy.items()},
    }


def _rounded(figures: dict[str, float]) -> dict[str, float]:
    return {name: round(figure, 3) for name, figure in figures.items()}
