"""Head-of-line blocking of short work behind long work.

At 0.8 times capacity, 1% of the calls of short operations run 30 times longer,
which fills most of the busiest service. Bulk work has a quarter of its usual
weight: otherwise biblioteca, which has bulk work only, is the busiest service
of the Guild, and the services with short work have half of their slots free.
The figure is the p99 of the time that short requests to the busiest service
take, relative to their time without any load, over the same p99 in a run
without stragglers; the mean over the seeds. Without that relation the request
types with the longest call trees decide the p99, whatever the queues do.
Requests that contain a straggler do not count; one that did not complete
counts with its patience.
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
BASE = 0.8
BULK_WEIGHT = 0.25
SHARES = types.MappingProxyType({'none': 0.0, 'stragglers': 0.01})
BEGIN_MS = 2000
LAST_MS = 9000
TAIL_MS = 3000
PERCENTILE = 0.99


def _latency_ms(request: Request) -> float:
    if request.is_good:
        return request.done_ms - request.sent_ms
    return request.kind.patience_ms


def shape_of(deployment: Deployment) -> Deployment:
    """Return the deployment with less bulk work."""
    kinds = tuple(
        dataclasses.replace(kind, weight=kind.weight * BULK_WEIGHT)
        if kind.tree.size == 'bulk'
        else kind
        for kind in deployment.requests
    )
    return dataclasses.replace(deployment, requests=kinds)


def blocking(job: Job) -> float:
    """Return the p99 of short requests, relative to their time without load."""
    shape = shape_of(deployment_of(job))
    rate = BASE * shape.capacity_per_s()
    load = Load(
        end_ms=LAST_MS + TAIL_MS,
        rate=lambda now_ms: rate,
        straggler_share=SHARES[job.variant],
    )
    busiest = shape.busiest_service()
    slowdowns = sorted(
        _latency_ms(request) / request.kind.tree.hold_ms()
        for request in simulate(job, load, shape).requests
        if BEGIN_MS <= request.sent_ms < LAST_MS
        and not request.straggled
        and request.kind.tree.size == 'short'
        and request.kind.tree.service == busiest
    )
    return slowdowns[int(PERCENTILE * len(slowdowns))]


def run(seeds: int) -> dict:
    """Run the measurement."""
    figures = run_jobs(blocking, seeds, SHARES, POLICIES_WITH_PREVIOUS)
    by_policy = {policy.name: {} for policy in POLICIES_WITH_PREVIOUS}
    for policy, row in by_policy.items():
        for name in DEPLOYMENTS:
            with_stragglers, without = (
                mean(figures, deployment=name, policy=policy, variant=variant)
                for variant in ('stragglers', 'none')
            )
            row[name] = with_stragglers / without
    return outcome('blocking', seeds, by_policy, TARGET)
