"""Time to normal goodput after an overload ends.

At 0.7 times capacity the demand doubles for 5 s while the service that is
filled first slows 4 times; callers resend. The figure is the time after the
trigger from which at least 95% of the requests that arrive complete in time,
to the end of the run, relative to the share before the trigger; the worst of
all seeds.
"""

from bench.model import Load, Request
from bench.runs import POLICIES, Job, deployment_of, outcome, run_jobs, simulate, worst
from bench.workload import DEPLOYMENTS

TARGET = 5.0
BASE = 0.7
SURGE = 2.0
SLOWDOWN = 4.0
BEGIN_MS = 4000
END_MS = 9000
LAST_MS = 21000
TAIL_MS = 3000
BIN_MS = 500
NORMAL = 0.95


def _is_triggered(now_ms: float) -> bool:
    return BEGIN_MS <= now_ms < END_MS


def _surge(now_ms: float) -> float:
    return SURGE if _is_triggered(now_ms) else 1


def _slowdown(is_slowed: bool, now_ms: float) -> float:
    return SLOWDOWN if is_slowed and _is_triggered(now_ms) else 1


def _share(requests: list[Request], begin_ms: float, end_ms: float) -> float:
    chosen = [
        request.is_good
        for request in requests
        if begin_ms <= request.sent_ms < end_ms and request.kind.patience_ms <= TAIL_MS
    ]
    return sum(chosen) / max(1, len(chosen))


def recovery(job: Job) -> float:
    """Return the seconds from the end of the trigger to normal goodput."""
    deployment = deployment_of(job)
    rate = BASE * deployment.capacity_per_s()
    slowed = deployment.busiest_service()
    load = Load(
        end_ms=LAST_MS + TAIL_MS,
        rate=lambda now_ms: rate * _surge(now_ms),
        slowdown=lambda service, now_ms: _slowdown(service == slowed, now_ms),
    )
    requests = simulate(job, load).requests
    normal = NORMAL * _share(requests, BEGIN_MS / 2, BEGIN_MS)
    recovered_ms = END_MS
    for begin_ms in range(END_MS, LAST_MS, BIN_MS):
        if _share(requests, begin_ms, begin_ms + BIN_MS) < normal:
            recovered_ms = begin_ms + BIN_MS
    return (recovered_ms - END_MS) / 1000


def run(seeds: int) -> dict:
    """Run the measurement."""
    figures = run_jobs(recovery, seeds)
    by_policy = {
        policy.name: {
            name: worst(figures, deployment=name, policy=policy.name)
            for name in DEPLOYMENTS
        }
        for policy in POLICIES
    }
    return outcome('recovery', seeds, by_policy, TARGET)
