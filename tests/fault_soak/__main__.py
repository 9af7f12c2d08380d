"""Runs the fault soak: ``python -m fault_soak``."""

import asyncio
import logging
import sys

import defopt

from fault_soak.deployment import Played, play

PLANNED_EACH = 3
"""Each third seed has planned work only."""


def soak(*, seeds: int = 10, first: int = 0, seconds: float = 15, vms: int = 6) -> None:
    """Play seeds one after the other and print what was broken.

    Args:
        seeds: Number of seeds.
        first: The first seed.
        seconds: How long faults come in each play.
        vms: Number of VMs in a play.
    """
    # Upstreams that cut a connection on purpose would fill the output.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    failed = []
    for seed in range(first, first + seeds):
        played = asyncio.run(play(seed, seconds, vms, planned=seed % PLANNED_EACH == 0))
        _report(played)
        if played.broken:
            failed.append(seed)
    print(f'{seeds - len(failed)} passed, {len(failed)} failed: {failed}')
    sys.exit(bool(failed))


def _report(played: Played) -> None:
    kind = 'planned' if played.planned else 'faults'
    print(
        f'seed {played.seed} ({kind}): {len(played.history)} faults, '
        f'{played.served} of {played.requests} served, {len(played.broken)} broken',
        flush=True,
    )
    for line in played.broken[:10]:
        print(f'  {line}', flush=True)
    if played.broken:
        print(f'  {played.history}', flush=True)


defopt.run(soak)
