"""Deployments of the tests that run real processes."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import aiohttp

from standins.processes import Place

SHEET_FILE = Path(__file__).parent.parent / 'examples' / 'guild' / 'sheet.yaml'
FILES = '/guias/{name}/archivo'
REGION = 'occidente'
GROUP = ('tesoreria', 'tesoreria', 'catalogo', 'biblioteca')
CALL_LIMIT_S = 20
PAUSE_S = 0.02

_Answer = TypeVar('_Answer')


def group_places(
    services: tuple[str, ...] = GROUP, latency_ms: float = 2.0
) -> list[Place]:
    """Return one upstream for each name, in two availability zones in turn."""
    zones = itertools.cycle(('a', 'b'))
    return [
        Place(
            service,
            f'{service}-{number}',
            REGION,
            f'{REGION}-{zone}',
            latency_ms=latency_ms,
            files=FILES,
        )
        for number, (service, zone) in enumerate(zip(services, zones, strict=False))
    ]


def run_with_session(
    work: Coroutine[Any, Any, _Answer], limit_s: float = 50
) -> _Answer:
    """Run a coroutine; the limit only ends a run that hangs."""
    return asyncio.run(asyncio.wait_for(work, limit_s))


def new_session() -> aiohttp.ClientSession:
    """Return a client session that keeps no connection for later requests."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=CALL_LIMIT_S),
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; ``run_with_session`` ends a wait that hangs."""
    while not condition():
        await asyncio.sleep(PAUSE_S)
