"""Head-of-line blocking of short work behind long work.

At 0.8 times capacity, 1% of the calls of short operations run 30 times longer,
which occupies most of the busiest service. Bulk work has a quarter of its usual
weight: otherwise biblioteca, which has bulk work only, is the busiest service
of the Guild, and the services with short work have half of their slots free.
For each short request to the busiest service, the slowdown is its latency
relative to its latency without any load. The figure is the p99 of the slowdown
divided by the p99 in a run without stragglers, averaged over the seeds. With plain
latencies the request types with the longest call trees would decide the p99,
whatever the queues do. Requests that contain a straggler are left out; a request
that did not complete counts with its maximum wait.
"""

import dataclasses
import types

from bench.model import Load, Request
from bench.runs import (
    POLICIES_WITH_PREVIOUS,
    Job,
    deployment_of,
    mean,
    outcome,
    run_jobs,
    simulate,
)
from bench.workload import DEPLOYMENTS, Deployment

TARGET = 1.2
LOAD_FACTOR = 0.8
BULK_WEIGHT = 0.25
STRAGGLER_SHARES = types.MappingProxyType({'none': 0.0, 'stragglers': 0.01})
BEGIN_MS = 2000
LAST_MS = 9000
COMPLETION_MS = 3000
"""Time after the last measured request in which the requests may complete."""

PERCENTILE = 0.99


def _latency_ms(request: Request) -> float:
    if request.is_good:
        return request.done_ms - request.sent_ms
    return request.kind.max_wait_ms


def with_less_bulk(deployment: Deployment) -> Deployment:
    """Return the deployment with a reduced weight of bulk requests."""
    kinds = tuple(
        dataclasses.replace(kind, weight=kind.weight * BULK_WEIGHT)
        if kind.tree.size == 'bulk'
        else kind
        for kind in deployment.requests
    )
    return dataclasses.replace(deployment, requests=kinds)


def blocking(job: Job) -> float:
    """Return the p99 of the slowdown of short requests to the busiest service."""
    reduced_bulk = with_less_bulk(deployment_of(job))
    rate = LOAD_FACTOR * reduced_bulk.capacity_per_s()
    load = Load(
        end_ms=LAST_MS + COMPLETION_MS,
        rate=lambda now_ms: rate,
        straggler_share=STRAGGLER_SHARES[job.variant],
    )
    busiest = reduced_bulk.busiest_service()
    slowdowns = sorted(
        _latency_ms(request) / request.kind.tree.hold_ms()
        for request in simulate(job, load, reduced_bulk).requests
        if BEGIN_MS <= request.sent_ms < LAST_MS
        and not request.straggled
        and request.kind.tree.size == 'short'
        and request.kind.tree.service == busiest
    )
    return slowdowns[int(PERCENTILE * len(slowdowns))]


def run(seeds: int) -> dict:
    """Run the measurement."""
    figures = run_jobs(blocking, seeds, STRAGGLER_SHARES, POLICIES_WITH_PREVIOUS)
    by_policy = {policy.name: {} for policy in POLICIES_WITH_PREVIOUS}
    for policy, row in by_policy.items():
        for name in DEPLOYMENTS:
            with_stragglers, without = (
                mean(figures, deployment=name, policy=policy, variant=variant)
                for variant in ('stragglers', 'none')
            )
            row[name] = with_stragglers / without
    return outcome('blocking', seeds, by_policy, TARGET)
