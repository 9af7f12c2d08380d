"""Runs the fault soak: ``python -m fault_soak``."""

import asyncio
import logging
import sys

import defopt

from fault_soak.deployment import RunResult, run_soak

PLANNED_SEED_STEP = 3
"""One seed in this many runs planned operations only, without faults."""


def soak(*, seeds: int = 10, first: int = 0, seconds: float = 15, vms: int = 6) -> None:
    """Run seeds sequentially and print which guarantees were violated.

    Args:
        seeds: Number of seeds.
        first: The first seed.
        seconds: How long faults are injected in each run.
        vms: Number of VMs in a run.
    """
    # Upstreams that abort connections on purpose would flood the output.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    failed = []
    for seed in range(first, first + seeds):
        result = asyncio.run(
            run_soak(seed, seconds, vms, planned=seed % PLANNED_SEED_STEP == 0)
        )
        _report(result)
        if result.violations:
            failed.append(seed)
    print(f'{seeds - len(failed)} passed, {len(failed)} failed: {failed}')
    sys.exit(bool(failed))


def _report(result: RunResult) -> None:
    kind = 'planned' if result.planned else 'faults'
    print(
        f'seed {result.seed} ({kind}): {len(result.history)} faults, '
        f'{result.served} of {result.requests} served, '
        f'{len(result.violations)} violations',
        flush=True,
    )
    for line in result.violations[:10]:
        print(f'  {line}', flush=True)
    if result.violations:
        print(f'  {result.history}', flush=True)


defopt.run(soak)
