"""Compare the load model with real processes of the same small deployment.

Each scenario runs in the model first; its demand (times, types, identities and
tenants of requests) is then sent to nodes and upstreams that are processes.
Goodput is relative to the demand at capacity. Latency ratios use p90, since a
run has only a few hundred requests.
"""

import asyncio
import functools
import os
import statistics
import tempfile
import types
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from standins.processes import Deployment, Pair, UpstreamSpec, running

from bench.model import SERVICE_TIME_SIGMA, Load, Request, Simulation
from bench.policies import CURRENT
from bench.process_load import replay
from bench.small_deployment import MAX_WAIT_MS, MEAN_MS, SHEET, SMALL, SLOTS, SUB_CALLS

WARM_UP_MS = 1000
END_MS = 3500
COMPLETION_MS = MAX_WAIT_MS
"""Time after the last request in which the requests may complete."""

AFTER_OVERLOAD_MS = 3500
"""Time at the normal rate after the overload."""

AFTER_OVERLOAD_SKIPPED_MS = 2000
MODEL_RUNS = 2
"""Runs of the model per seed, for the range of its figures."""

SETTLE_S = 0.2
PERCENTILE = 0.9
WORKERS = 2
NORMAL_LOAD_FACTOR = 0.6
ENDPOINT_SLOWDOWN = 5.0
STRAGGLER_SHARE = 0.01

TOLERANCE = 0.1
"""Margin around the range of the model figures, as a share of the highest one."""

Figures = dict[str, float]

SCENARIOS = types.MappingProxyType(
    {
        'plain': (NORMAL_LOAD_FACTOR, {}),
        'stragglers': (NORMAL_LOAD_FACTOR, {'straggler_share': STRAGGLER_SHARE}),
        'one_slowed': (NORMAL_LOAD_FACTOR, {'slowed_endpoint': ENDPOINT_SLOWDOWN}),
        'at_capacity': (1.0, {}),
        'overload': (2.0, {}),
    }
)
"""Load relative to capacity, and the other fields of ``Load``.

The overload runs last, because the nodes keep their state between scenarios, while
each scenario of the model starts with new nodes.
"""


def run(seeds: int) -> dict:
    """Run all scenarios in the model and on processes.

    Args:
        seeds: The model runs twice for each; the processes run the demand
            of the first run.
    """
    load_before = os.getloadavg()
    with ProcessPoolExecutor(WORKERS) as pool:
        modelled = list(pool.map(_model, range(1, seeds * MODEL_RUNS + 1)))
    measured = _figures(_measure(modelled[0]))
    by_run = [_figures(requests) for requests in modelled]
    figures = {
        name: _compared(figure, [model_figures[name] for model_figures in by_run])
        for name, figure in measured.items()
    }
    return {
        'name': 'processes',
        'seeds': seeds,
        'load_average': [load_before[0], os.getloadavg()[0]],
        'figures': figures,
        'model_is_off': [
            name for name, compared in figures.items() if not compared.pop('fits')
        ],
    }


def _compared(measured: float, predicted: list[float]) -> dict:
    lowest, highest = min(predicted), max(predicted)
    margin = TOLERANCE * highest
    return {
        'model': round(statistics.fmean(predicted), 3),
        'model_range': [round(lowest, 3), round(highest, 3)],
        'processes': round(measured, 3),
        'fits': lowest - margin <= measured <= highest + margin,
    }


def _model(seed: int) -> dict[str, list[Request]]:
    return {name: simulate_scenario(name, seed) for name in SCENARIOS}


def simulate_scenario(name: str, seed: int) -> list[Request]:
    """Run a scenario in the model and return its requests."""
    factor, fields = SCENARIOS[name]
    sent_ms = _sent_ms(name)
    load = Load(
        end_ms=sent_ms + COMPLETION_MS,
        rate=functools.partial(_rate, factor * SMALL.capacity_per_s()),
        **fields,
    )
    requests = Simulation(SMALL, CURRENT, load, seed).run().requests
    return [request for request in requests if request.sent_ms < sent_ms]


def _sent_ms(name: str) -> float:
    return END_MS + AFTER_OVERLOAD_MS if name == 'overload' else END_MS


def _rate(scenario_rate: float, now_ms: float) -> float:
    return (
        scenario_rate
        if now_ms < END_MS
        else NORMAL_LOAD_FACTOR * SMALL.capacity_per_s()
    )


def _measure(modelled: dict[str, list[Request]]) -> dict[str, list[Request]]:
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        sheet_file = folder / 'sheet.yaml'
        sheet_file.write_text(SHEET)
        with running(folder, sheet_file, _upstream_specs()) as deployment:
            return {
                name: _run_scenario(deployment, name, demand)
                for name, demand in modelled.items()
            }


def _upstream_specs() -> list[UpstreamSpec]:
    return [
        UpstreamSpec(
            service,
            f'{service}-{number}',
            'north',
            'a',
            slots=slots,
            latency_ms=MEAN_MS,
            calls=SUB_CALLS.get(service, {}),
        )
        for service, slots in SLOTS.items()
        for number in range(SMALL.endpoints)
    ]


def _run_scenario(
    deployment: Deployment, name: str, demand: list[Request]
) -> list[Request]:
    fields = SCENARIOS[name][1]
    for pair in deployment.pairs:
        deployment.set_behaviour(
            pair,
            spread=SERVICE_TIME_SIGMA,
            straggler_share=fields.get('straggler_share', 0),
            slow_factor=1,
        )
    deployment.set_behaviour(
        _pairs_of_busiest_service(deployment)[0],
        slow_factor=fields.get('slowed_endpoint', 1),
    )
    entries = [each.caller_url for each in deployment.pairs]
    return asyncio.run(_replay_and_settle(entries, demand))


def _pairs_of_busiest_service(deployment: Deployment) -> list[Pair]:
    busiest = SMALL.busiest_service()
    return [pair for pair in deployment.pairs if pair.spec.service == busiest]


async def _replay_and_settle(
    entries: list[str], demand: list[Request]
) -> list[Request]:
    requests = await replay(entries, demand)
    await asyncio.sleep(SETTLE_S)
    return requests


def _figures(runs: dict[str, list[Request]]) -> Figures:
    capacity = SMALL.capacity_per_s()
    figures = {}
    for name in ('at_capacity', 'overload'):
        good = sum(request.is_good for request in _measured(runs[name]))
        figures[f'goodput_{name}'] = good / ((END_MS - WARM_UP_MS) / 1000) / capacity
    overload = _measured(runs['overload'])
    for rank, work_class in enumerate(SMALL.classes):
        chosen = [each for each in overload if each.work_class.rank == rank]
        figures[f'shed_{work_class}'] = 1 - _good_share(chosen)
    after = _measured(
        runs['overload'], END_MS + AFTER_OVERLOAD_SKIPPED_MS, END_MS + AFTER_OVERLOAD_MS
    )
    figures['good_share_after_overload'] = _good_share(after)
    plain = _p90_ms(_measured(runs['plain']))
    figures['p90_ms_plain'] = plain
    figures['blocking_p90_ratio'] = _p90_ms(_measured(runs['stragglers'])) / plain
    figures['slowed_p90_ratio'] = _p90_ms(_measured(runs['one_slowed'])) / plain
    figures['after_overload_p90_ratio'] = _p90_ms(after) / plain
    return figures


def _measured(
    requests: list[Request], begin_ms: float = WARM_UP_MS, end_ms: float = END_MS
) -> list[Request]:
    return [request for request in requests if begin_ms <= request.sent_ms < end_ms]


def _good_share(requests: list[Request]) -> float:
    return sum(request.is_good for request in requests) / len(requests)


def _p90_ms(requests: list[Request]) -> float:
    """Return the p90 latency of lookups without a straggler, in ms."""
    latencies = sorted(
        _latency_ms(request)
        for request in requests
        if request.kind.name == 'lookup' and not request.straggled
    )
    return latencies[int(PERCENTILE * len(latencies))]


def _latency_ms(request: Request) -> float:
    if request.is_good:
        return request.done_ms - request.sent_ms
    return request.kind.max_wait_ms
