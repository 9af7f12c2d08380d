"""Time to normal goodput after an overload ends.

At 0.7 times capacity the demand doubles for 5 s while the busiest service slows
down 4 times; callers resend. The figure is the time from the end of this trigger
until the share of arriving requests that complete in time is at least 95% of the
share before the trigger, and stays so to the end of the run; the longest of all
seeds.
"""

from bench.model import Load, Request
from bench.runs import POLICIES, Job, deployment_of, outcome, run_jobs, simulate, worst
from bench.workload import DEPLOYMENTS

TARGET = 5.0
BASE_LOAD_FACTOR = 0.7
SURGE_FACTOR = 2.0
SLOWDOWN_FACTOR = 4.0
BEGIN_MS = 4000
END_MS = 9000
LAST_MS = 21000
COMPLETION_MS = 3000
"""Time after the last measured request in which the requests may complete."""

BIN_MS = 500
NORMAL_SHARE = 0.95


def _is_triggered(now_ms: float) -> bool:
    return BEGIN_MS <= now_ms < END_MS


def _surge_factor(now_ms: float) -> float:
    return SURGE_FACTOR if _is_triggered(now_ms) else 1


def _slowdown_factor(is_slowed: bool, now_ms: float) -> float:
    return SLOWDOWN_FACTOR if is_slowed and _is_triggered(now_ms) else 1


def _good_share(requests: list[Request], begin_ms: float, end_ms: float) -> float:
    chosen = [
        request.is_good
        for request in requests
        if begin_ms <= request.sent_ms < end_ms
        and request.kind.max_wait_ms <= COMPLETION_MS
    ]
    return sum(chosen) / max(1, len(chosen))


def recovery(job: Job) -> float:
    """Return the seconds from the end of the trigger to normal goodput."""
    deployment = deployment_of(job)
    rate = BASE_LOAD_FACTOR * deployment.capacity_per_s()
    slowed = deployment.busiest_service()
    load = Load(
        end_ms=LAST_MS + COMPLETION_MS,
        rate=lambda now_ms: rate * _surge_factor(now_ms),
        slowdown=lambda service, now_ms: _slowdown_factor(service == slowed, now_ms),
    )
    requests = simulate(job, load).requests
    normal = NORMAL_SHARE * _good_share(requests, BEGIN_MS / 2, BEGIN_MS)
    recovered_ms = END_MS
    for begin_ms in range(END_MS, LAST_MS, BIN_MS):
        if _good_share(requests, begin_ms, begin_ms + BIN_MS) < normal:
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
