"""Head-of-line blocking of short work behind long work.

At 0.7 times capacity, 1% of the calls of short operations run 30 times
longer. The figure is the p99 latency of the short requests that contain no
such straggler, relative to their p99 in a run without stragglers; the mean
over the seeds. A request that did not complete counts with its patience.
"""

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
from bench.workload import DEPLOYMENTS

TARGET = 1.2
BASE = 0.7
SHARES = types.MappingProxyType({'none': 0.0, 'stragglers': 0.01})
BEGIN_MS = 2000
LAST_MS = 9000
TAIL_MS = 3000
PERCENTILE = 0.99


def _latency_ms(request: Request) -> float:
    if request.is_good:
        return request.done_ms - request.sent_ms
    return request.kind.patience_ms


def blocking(job: Job) -> float:
    """Return the p99 latency of short requests in ms."""
    rate = BASE * deployment_of(job).capacity_per_s()
    load = Load(
        end_ms=LAST_MS + TAIL_MS,
        rate=lambda now_ms: rate,
        straggler_share=SHARES[job.variant],
    )
    latencies = sorted(
        _latency_ms(request)
        for request in simulate(job, load).requests
        if BEGIN_MS <= request.sent_ms < LAST_MS
        and not request.straggled
        and request.kind.tree.size == 'short'
    )
    return latencies[int(PERCENTILE * len(latencies))]


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
