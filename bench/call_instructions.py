"""User-space instructions that nodes execute for a call, on real processes.

The calls are those of ``call_cpu``; the instructions of idle nodes are included.
"""

import asyncio

import aiohttp
from standins.processes import Deployment, Pair

from bench.call_cpu import CALLERS, WARM_UP_CALLS, medians, send_calls
from bench.instruction_counter import InstructionCounter
from bench.two_services import two_services

CALLS_PER_CALLER = 50
ROUNDS_PER_SEED = 10
THOUSAND = 1000


def run(seeds: int) -> dict:
    """Run the measurement and return its result.

    Args:
        seeds: Number of seeds; ten rounds are run for each.
    """
    with two_services() as deployment:
        rounds = asyncio.run(_rounds(deployment, seeds * ROUNDS_PER_SEED))
    return {
        'name': 'call_instructions',
        'rounds': len(rounds),
        'thousands_per_call': medians(rounds),
    }


async def _rounds(deployment: Deployment, count: int) -> list[dict[str, float]]:
    counters = [InstructionCounter(pair.node.pid) for pair in deployment.pairs]
    async with aiohttp.ClientSession() as session:
        for pair in deployment.pairs:
            await send_calls(session, pair, WARM_UP_CALLS)
        return [await _round(session, deployment.pairs, counters) for _ in range(count)]


async def _round(
    session: aiohttp.ClientSession,
    pairs: list[Pair],
    counters: list[InstructionCounter],
) -> dict[str, float]:
    lookup, other = pairs
    one_node, _ = await _per_call(session, lookup, counters)
    guard, entry = await _per_call(session, other, counters)
    return {'one_node': one_node, 'entry': entry, 'guard': guard}


async def _per_call(
    session: aiohttp.ClientSession, entry: Pair, counters: list[InstructionCounter]
) -> list[float]:
    before = [counter.read() for counter in counters]
    await asyncio.gather(
        *(send_calls(session, entry, CALLS_PER_CALLER) for _ in range(CALLERS))
    )
    thousands_of_calls = CALLERS * CALLS_PER_CALLER * THOUSAND
    return [
        (counter.read() - start) / thousands_of_calls
        for counter, start in zip(counters, before, strict=True)
    ]
