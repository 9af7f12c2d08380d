"""A small deployment of real nodes, and one play of it under faults."""

import asyncio
import dataclasses
import os
import random
import shutil
from pathlib import Path


from fault_soak.callers import Callers
from fault_soak.faults import Faults
from fault_soak.place import ROOT, Place
from fault_soak.promises import beyond_retry_budget, broken_promises, interrupted
from fault_soak.soak_store import SERVICES, SoakStore

LOGS = ROOT / 'build' / 'soak'
"""Where the logs of the nodes stay if a promise was broken."""

CALLERS_PER_PLACE = 3
START_LIMIT_S = 30
CALM_S = 3
"""Time after the last fault; what is recovered by then is served again."""


@dataclasses.dataclass
class Played:
    """How a play went."""

    seed: int
    planned: bool
    requests: int
    served: int
    history: list[str]
    broken: list[str]


async def play(seed: int, seconds: float, vms: int, *, planned: bool) -> Played:
    """Run a deployment, harm it and return which promises were broken.

    Args:
        seed: Faults and load follow from it.
        seconds: How long faults come.
        vms: Number of VMs.
        planned: Whether only planned work happens.
    """
    folder = LOGS / f'{seed}-{os.getpid()}'
    folder.mkdir(parents=True)
    async with SoakStore() as store:
        store.next_rules()
        places = _places(folder, store, vms, seed)
        try:
            played = await _play(places, store, seed, seconds, planned)
        finally:
            for place in places:
                await place.close()
    if not played.broken:
        shutil.rmtree(folder)
    return played


async def _play(
    places: list[Place], store: SoakStore, seed: int, seconds: float, planned: bool
) -> Played:
    for place in places:
        await place.start()
    await _until_ready(places)
    callers = Callers(places, CALLERS_PER_PLACE, seed)
    faults = Faults(places, store, seed, planned=planned)
    callers.start()
    await faults.play(seconds)
    calm_s = asyncio.get_running_loop().time()
    await _until_ready(places)
    await asyncio.sleep(CALM_S)
    await callers.stop()
    broken = broken_promises(
        callers.told, places, faults, recovered_s=calm_s + CALM_S / 2
    )
    broken.extend(beyond_retry_budget(callers.sent, places))
    if planned:
        broken.extend(interrupted(callers.told, places))
    served = sum(told.status == 200 for told in callers.told)
    return Played(seed, planned, len(callers.told), served, faults.history, broken)


async def _until_ready(places: list[Place]) -> None:
    waits = asyncio.gather(*(place.until_ready() for place in places))
    await asyncio.wait_for(waits, START_LIMIT_S)


def _places(folder: Path, store: SoakStore, vms: int, seed: int) -> list[Place]:
    """Return VMs on loopback addresses that no other run on the machine uses."""
    pid = os.getpid()
    network = f'127.{1 + pid % 254}.{pid // 254 % 254}'
    rng = random.Random(seed)
    port = store.port
    return [
        Place(folder, f'{network}.{number + 1}', service, port, rng)
        for number, service in enumerate(
            SERVICES[number % len(SERVICES)] for number in range(vms)
        )
    ]
