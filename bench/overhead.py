"""Latency that nodes add to a call, on real processes.

Each round sends the same call directly, through the entry whose own upstream
serves it, and through two nodes, sequentially at 44 calls/s per path. The added
latency of a round is the quantile of a path minus the same quantile of the direct
calls; the median of the rounds is reported.
"""

import asyncio
import statistics
import time

import aiohttp
from standins.processes import Deployment

from bench.two_services import two_services

TARGET_MS = 0.38
CALLS_PER_S = 44
CALLS_PER_ROUND = 220
WARM_UP_CALLS = 60
ROUNDS_PER_SEED = 3
P50 = 50
P99 = 99
Samples = dict[str, list[float]]


def run(seeds: int) -> dict:
    """Run the measurement and return its result.

    Args:
        seeds: Number of seeds; three rounds are run for each.
    """
    with two_services() as deployment:
        rounds = asyncio.run(_rounds(deployment, seeds * ROUNDS_PER_SEED))
    return _report(rounds)


async def _rounds(deployment: Deployment, count: int) -> list[Samples]:
    lookup, other = deployment.pairs
    urls = {
        'direct': f'{lookup.upstream_url}/items/1',
        'one_node': f'{lookup.caller_url}/lookup/items/1',
        'two_nodes': f'{other.caller_url}/lookup/items/1',
    }
    async with aiohttp.ClientSession() as session:
        await _round(session, urls, WARM_UP_CALLS)
        return [await _round(session, urls, CALLS_PER_ROUND) for _ in range(count)]


async def _round(
    session: aiohttp.ClientSession, urls: dict[str, str], calls: int
) -> Samples:
    samples: Samples = {name: [] for name in urls}
    for _ in range(calls):
        begin = time.perf_counter()
        for name, url in urls.items():
            samples[name].append(await _time_call(session, url))
        await asyncio.sleep(max(begin + 1 / CALLS_PER_S - time.perf_counter(), 0))
    return samples


async def _time_call(session: aiohttp.ClientSession, url: str) -> float:
    begin = time.perf_counter()
    async with session.get(url) as response:
        await response.read()
        response.raise_for_status()
    return (time.perf_counter() - begin) * 1000


def _added_ms(samples: Samples, path: str, percent: int) -> float:
    quantiles_ms = {
        name: statistics.quantiles(samples[name], n=100)[percent - 1]
        for name in (path, 'direct')
    }
    return quantiles_ms[path] - quantiles_ms['direct']


def _report(rounds: list[Samples]) -> dict:
    paths = {
        path: {
            percent: statistics.median(
                _added_ms(samples, path, percent) for samples in rounds
            )
            for percent in (P50, P99)
        }
        for path in ('one_node', 'two_nodes')
    }
    worst = max(paths.values(), key=lambda added: added[P99])
    return {
        'name': 'overhead',
        'rounds': len(rounds),
        'added_p50_ms': round(worst[P50], 3),
        'added_p99_ms': round(worst[P99], 3),
        'paths': {
            path: {f'p{percent}_ms': round(ms, 3) for percent, ms in added.items()}
            for path, added in paths.items()
        },
        'target': TARGET_MS,
        'met': worst[P99] <= TARGET_MS,
    }
