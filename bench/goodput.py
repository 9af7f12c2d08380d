"""Goodput of complete requests at 2 times capacity.

Capacity is the demand that saturates the busiest service of the model. A request
is complete if its whole call tree ended within the maximum wait of its caller,
resends included. The figure is goodput at 2 times capacity, relative to the
best goodput at capacity that any of the policies reached.
"""

import types

from bench.model import Load
from bench.runs import (
    POLICIES_WITH_PREVIOUS,
    Job,
    deployment_of,
    mean,
    outcome,
    run_jobs,
    simulate,
)
from bench.workload import DEPLOYMENTS

TARGET = 0.95
BEGIN_MS = 3000
END_MS = 7000
COMPLETION_MS = 3000
"""Time after the last measured request in which the requests may complete."""

LOAD_FACTORS = types.MappingProxyType({'at_capacity': 1.0, 'overload': 2.0})


def goodput(job: Job) -> float:
    """Return complete requests per second, relative to the capacity."""
    capacity = deployment_of(job).capacity_per_s()
    rate = LOAD_FACTORS[job.variant] * capacity
    load = Load(end_ms=END_MS + COMPLETION_MS, rate=lambda now_ms: rate)
    requests = simulate(job, load).requests
    good_count = sum(
        request.is_good for request in requests if BEGIN_MS <= request.sent_ms < END_MS
    )
    return good_count / ((END_MS - BEGIN_MS) / 1000) / capacity


def run(seeds: int) -> dict:
    """Run the measurement."""
    figures = run_jobs(goodput, seeds, LOAD_FACTORS, POLICIES_WITH_PREVIOUS)
    by_policy = {policy.name: {} for policy in POLICIES_WITH_PREVIOUS}
    for name in DEPLOYMENTS:
        at_capacity = max(
            mean(figures, deployment=name, policy=policy, variant='at_capacity')
            for policy in by_policy
        )
        for policy, row in by_policy.items():
            overload = mean(figures, deployment=name, policy=policy, variant='overload')
            row[name] = overload / at_capacity
    return outcome('goodput', seeds, by_policy, TARGET, larger_is_better=True)
