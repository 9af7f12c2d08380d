"""CPU time that nodes spend on a call, on real processes.

Added latency depends on the other load of the machine; CPU time depends on it much
less, so it is used to compare small changes to the call path. Calls are sent in a
closed loop through the entry whose own upstream serves them, and through two
nodes. The CPU time of the idle nodes is measured first and subtracted.
"""

import asyncio
import os
import statistics
import time
from pathlib import Path

import aiohttp
from standins.processes import Deployment, Pair

from bench.two_services import two_services


CALLERS = 4
CALLS_PER_CALLER = 750
WARM_UP_CALLS = 100
ROUNDS_PER_SEED = 2
IDLE_S = 2
US_PER_S = 1_000_000
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
"""Positions in /proc/<pid>/stat, counted from the field after the command name."""


def run(seeds: int) -> dict:
    """Run the measurement and return its result.

    Args:
        seeds: Number of seeds; two rounds are run for each.
    """
    with two_services() as deployment:
        rounds = asyncio.run(_rounds(deployment, seeds * ROUNDS_PER_SEED))
    return {'name': 'call_cpu', 'rounds': len(rounds), 'us_per_call': medians(rounds)}


def medians(rounds: list[dict[str, float]]) -> dict[str, int]:
    """Return the median of each figure over the rounds, rounded."""
    return {
        path: round(statistics.median(sample[path] for sample in rounds))
        for path in rounds[0]
    }


async def _rounds(deployment: Deployment, count: int) -> list[dict[str, float]]:
    async with aiohttp.ClientSession() as session:
        for pair in deployment.pairs:
            await send_calls(session, pair, WARM_UP_CALLS)
        idle = await _idle_cpu_shares(deployment.pairs)
        return [await _round(session, deployment.pairs, idle) for _ in range(count)]


async def _round(
    session: aiohttp.ClientSession, pairs: list[Pair], idle: list[float]
) -> dict[str, float]:
    lookup, other = pairs
    one_node, _ = await _cpu_per_call(session, lookup, pairs, idle)
    guard, entry = await _cpu_per_call(session, other, pairs, idle)
    return {
        'one_node': one_node,
        'entry': entry,
        'guard': guard,
        'two_nodes': entry + guard,
    }


async def _cpu_per_call(
    session: aiohttp.ClientSession, entry: Pair, pairs: list[Pair], idle: list[float]
) -> list[float]:
    begin_s = time.perf_counter()
    before = [cpu_s(pair.node.pid) for pair in pairs]
    await asyncio.gather(
        *(send_calls(session, entry, CALLS_PER_CALLER) for _ in range(CALLERS))
    )
    after = [cpu_s(pair.node.pid) for pair in pairs]
    elapsed_s = time.perf_counter() - begin_s
    calls = CALLERS * CALLS_PER_CALLER
    return [
        (end - start - idle_share * elapsed_s) * US_PER_S / calls
        for start, end, idle_share in zip(before, after, idle, strict=True)
    ]


async def _idle_cpu_shares(pairs: list[Pair]) -> list[float]:
    before = [cpu_s(pair.node.pid) for pair in pairs]
    await asyncio.sleep(IDLE_S)
    return [
        (cpu_s(pair.node.pid) - start) / IDLE_S
        for pair, start in zip(pairs, before, strict=True)
    ]


async def send_calls(session: aiohttp.ClientSession, entry: Pair, calls: int) -> None:
    """Send calls sequentially.

    Args:
        session: Session of the caller.
        entry: Pair whose node receives the calls.
        calls: Number of calls.
    """
    url = f'{entry.caller_url}/lookup/items/1'
    for _ in range(calls):
        async with session.get(url) as response:
            await response.read()
            response.raise_for_status()


def cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process so far, in seconds."""
    # The command name before the last parenthesis may itself contain spaces.
    _, _, rest = Path(f'/proc/{pid}/stat').read_text().rpartition(')')
    fields = rest.split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')
