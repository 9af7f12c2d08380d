"""Protected work at the peak of a demand swing.

The demand swings from 0.5 times capacity to a peak and back within 8 s; the
protected classes, sent in batches at closing time, have 3 times their usual weight.
At the high peak protected work alone exceeds the capacity of a service. The figure
is the number of protected calls refused while unprotected work ran on an upstream
that caused the refusal, per 1,000 protected requests; the highest of all seeds and
peaks.
"""

import math
import types

from bench.model import Load
from bench.runs import POLICIES, Job, deployment_of, outcome, run_jobs, simulate, worst
from bench.workload import DEPLOYMENTS

TARGET = 0.0
BASE_LOAD_FACTOR = 0.5
PEAK_LOAD_FACTORS = types.MappingProxyType({'peak': 2.0, 'high_peak': 4.0})
PROTECTED_WEIGHT_FACTOR = 3.0
END_MS = 8000


def _wave(now_ms: float) -> float:
    """Return a value that rises from 0 to 1 and falls back during the run."""
    return (1 - math.cos(2 * math.pi * now_ms / END_MS)) / 2


def crest(job: Job) -> float:
    """Return early refusals of protected calls per 1,000 protected requests."""
    deployment = deployment_of(job)
    capacity = deployment.capacity_per_s()
    amplitude = PEAK_LOAD_FACTORS[job.variant] - BASE_LOAD_FACTOR

    load = Load(
        end_ms=END_MS,
        rate=lambda now_ms: capacity * (BASE_LOAD_FACTOR + amplitude * _wave(now_ms)),
        weight=lambda class_rank: (
            PROTECTED_WEIGHT_FACTOR if class_rank < deployment.protected_count else 1
        ),
    )
    simulation = simulate(job, load)
    protected = sum(request.work_class.protected for request in simulation.requests)
    return 1000 * simulation.protected_shed_early / protected


def run(seeds: int) -> dict:
    """Run the measurement."""
    figures = run_jobs(crest, seeds, PEAK_LOAD_FACTORS)
    by_policy = {
        policy.name: {
            name: worst(figures, deployment=name, policy=policy.name)
            for name in DEPLOYMENTS
        }
        for policy in POLICIES
    }
    return outcome('crest', seeds, by_policy, TARGET)
