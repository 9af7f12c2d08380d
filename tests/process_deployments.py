"""Upstreams and helpers for tests that run deployments of real processes."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import aiohttp

from standins.processes import UpstreamSpec

SHEET_FILE = Path(__file__).parent.parent / 'examples' / 'guild' / 'sheet.yaml'
FILES = '/guias/{name}/archivo'
REGION = 'occidente'
DEFAULT_SERVICES = ('tesoreria', 'tesoreria', 'catalogo', 'biblioteca')
CALL_LIMIT_S = 20
POLL_INTERVAL_S = 0.02

_Content = TypeVar('_Content')


def upstream_specs(
    services: tuple[str, ...] = DEFAULT_SERVICES, latency_ms: float = 2.0
) -> list[UpstreamSpec]:
    """Return one upstream for each name, alternating between two zones."""
    zones = itertools.cycle(('a', 'b'))
    return [
        UpstreamSpec(
            service,
            f'{service}-{number}',
            REGION,
            f'{REGION}-{zone}',
            latency_ms=latency_ms,
            files=FILES,
        )
        for number, (service, zone) in enumerate(zip(services, zones, strict=False))
    ]


def run_with_timeout(
    work: Coroutine[Any, Any, _Content], limit_s: float = 50
) -> _Content:
    """Run a coroutine; the limit only ends a run that hangs."""
    return asyncio.run(asyncio.wait_for(work, limit_s))


def new_session() -> aiohttp.ClientSession:
    """Return a client session that keeps no connection for later requests."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=CALL_LIMIT_S),
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; ``run_with_timeout`` ends a wait that hangs."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
