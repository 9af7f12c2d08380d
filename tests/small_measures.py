"""Run each measure of the load model at a small size and print the results.

Runs in its own process, so that the order of sets and the addresses of objects
differ between two runs.
"""

import dataclasses
import json
import types

from bench import blocking, crest, goodput, recovery, runs, tail_model
from bench.model import Load, Simulation
from bench.policies import CURRENT
from bench.workload import DEPLOYMENTS, Deployment


MAX_WAIT_MS = 250
"""Short enough that attempts are cancelled within the short runs."""

SIZES = (
    (goodput, {'BEGIN_MS': 300, 'END_MS': 900, 'COMPLETION_MS': 100}),
    (recovery, {'BEGIN_MS': 400, 'END_MS': 800, 'LAST_MS': 1200, 'BIN_MS': 100}),
    (crest, {'END_MS': 800}),
    (blocking, {'BEGIN_MS': 300, 'LAST_MS': 900, 'COMPLETION_MS': 250}),
    (tail_model, {'WARM_UP_MS': 500, 'MEASURED_MS': 300}),
)
"""Times at which each measure takes about one second."""


def set_small_sizes() -> None:
    """Set the small sizes in all measures."""
    for module, times_ms in SIZES:
        for name, time_ms in times_ms.items():
            setattr(module, name, time_ms)
    runs.DEPLOYMENTS = {
        name: _with_short_wait(deployment) for name, deployment in DEPLOYMENTS.items()
    }


def _with_short_wait(deployment: Deployment) -> Deployment:
    kinds = tuple(
        dataclasses.replace(kind, max_wait_ms=MAX_WAIT_MS)
        for kind in deployment.requests
    )
    return dataclasses.replace(deployment, requests=kinds)


def model_line(module: types.ModuleType, variant: str) -> str:
    """Return the figures of a measure and how each of its requests ended.

    The figures alone are too coarse: a recovery of 0.4 s hides most differences.
    """
    results: list = []

    def simulate(job: runs.Job, load: Load, *deployments: Deployment) -> Simulation:
        simulation = runs.simulate(job, load, *deployments)
        results.extend(
            (request.done_ms, request.attempts) for request in simulation.requests
        )
        return simulation

    module.simulate = simulate
    work = getattr(module, module.__name__.removeprefix('bench.'))
    figures = [
        work(runs.Job(deployment, CURRENT, 1, variant)) for deployment in DEPLOYMENTS
    ]
    return json.dumps([figures, results])


def tail_line() -> str:
    """Return all latencies of a run of the tail model with slow upstreams."""
    deployment = tail_model.DEPLOYMENTS[1]
    model = tail_model.Model(deployment, tail_model.current_router, 1, True, True)
    model.run()
    return json.dumps(model.latencies_ms)


def main() -> None:
    """Run all measures."""
    set_small_sizes()
    measures = {
        'goodput': (goodput, 'overload'),
        'recovery': (recovery, ''),
        'crest': (crest, 'high_peak'),
        'blocking': (blocking, 'stragglers'),
    }
    lines = {name: model_line(*chosen) for name, chosen in measures.items()}
    print(json.dumps({**lines, 'tail': tail_line()}))


if __name__ == '__main__':
    main()
