"""Print one line per measure of the load model, at a small size.

Run as a process of its own, so that the order of sets and the addresses of
objects differ between two runs.
"""

import dataclasses
import json
import types

from bench import blocking, crest, goodput, recovery, runs, tail_model
from bench.model import Load, Simulation
from bench.policies import CURRENT
from bench.workload import DEPLOYMENTS, Deployment


PATIENCE_MS = 250
"""Short, so that attempts are cancelled within the short runs."""

SIZES = (
    (goodput, {'BEGIN_MS': 300, 'END_MS': 900, 'TAIL_MS': 100}),
    (recovery, {'BEGIN_MS': 400, 'END_MS': 800, 'LAST_MS': 1200, 'BIN_MS': 100}),
    (crest, {'END_MS': 800}),
    (blocking, {'BEGIN_MS': 300, 'LAST_MS': 900, 'TAIL_MS': 250}),
    (tail_model, {'WARM_UP_MS': 500, 'MEASURED_MS': 300}),
)
"""Times with which each measure takes about a second."""


def shorten() -> None:
    """Put the small sizes in force."""
    for module, times_ms in SIZES:
        for name, time_ms in times_ms.items():
            setattr(module, name, time_ms)
    runs.DEPLOYMENTS = {name: _impatient(place) for name, place in DEPLOYMENTS.items()}


def _impatient(place: Deployment) -> Deployment:
    kinds = tuple(
        dataclasses.replace(kind, patience_ms=PATIENCE_MS) for kind in place.requests
    )
    return dataclasses.replace(place, requests=kinds)


def model_line(module: types.ModuleType, variant: str) -> str:
    """Return the figures of a measure and what became of each of its requests.

    A figure alone is too coarse: 0.4 s of recovery hides most differences.
    """
    ended: list = []

    def simulate(job: runs.Job, load: Load, *shape: Deployment) -> Simulation:
        found = runs.simulate(job, load, *shape)
        ended.extend((one.done_ms, one.attempts) for one in found.requests)
        return found

    module.simulate = simulate
    work = getattr(module, module.__name__.removeprefix('bench.'))
    figures = [work(runs.Job(place, CURRENT, 1, variant)) for place in DEPLOYMENTS]
    return json.dumps([figures, ended])


def tail_line() -> str:
    """Return all latencies of a run of the tail model with slowed upstreams."""
    place = tail_model.DEPLOYMENTS[1]
    model = tail_model.Model(place, tail_model.current_router, 1, True, True)
    model.run()
    return json.dumps(model.latencies_ms)


def main() -> None:
    """Run all measures."""
    shorten()
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
