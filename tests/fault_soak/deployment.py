"""Run a small deployment of real nodes under faults and check its guarantees."""

import asyncio
import dataclasses
import os
import random
import shutil
import signal
from pathlib import Path


from fault_soak.callers import Callers
from fault_soak.faults import Faults
from fault_soak.vm import ROOT, Vm
from fault_soak.invariants import beyond_retry_budget, violated_invariants, interrupted
from fault_soak.soak_store import SERVICES, SoakStore
from fault_soak.version_watch import VersionWatch

LOG_FOLDER = ROOT / 'build' / 'soak'
"""Where the logs of the nodes are kept if a guarantee was violated."""

CALLERS_PER_VM = 3
START_LIMIT_S = 30
SIGNAL_DELAY_S = 0.5
"""Time in which a busy process handles a signal."""

RECOVERY_S = 3
"""How long callers keep sending after the last fault, once all nodes are ready.

Of the requests that end later than half of this time after the last fault,
``MIN_SERVED_SHARE`` must be served.
"""


@dataclasses.dataclass
class RunResult:
    """The result of one run."""

    seed: int
    planned: bool
    requests: int
    served: int
    history: list[str]
    violations: list[str]


async def run_soak(
    seed: int, seconds: float, vm_count: int, *, planned: bool
) -> RunResult:
    """Run a deployment, inject faults and return which guarantees were violated.

    Args:
        seed: Seed of the faults and the load.
        seconds: How long faults are injected.
        vm_count: Number of VMs.
        planned: Whether only planned operations happen, without faults.
    """
    folder = LOG_FOLDER / f'{seed}-{os.getpid()}'
    folder.mkdir(parents=True)
    async with SoakStore() as store:
        store.write_next_rules()
        vms = _create_vms(folder, store, vm_count, seed)
        try:
            result = await _run_under_faults(vms, store, seed, seconds, planned)
        finally:
            for vm in vms:
                await vm.close()
    if not result.violations:
        shutil.rmtree(folder)
    return result


async def _run_under_faults(
    vms: list[Vm], store: SoakStore, seed: int, seconds: float, planned: bool
) -> RunResult:
    for vm in vms:
        await vm.start()
    await _until_ready(vms)
    callers = Callers(vms, CALLERS_PER_VM, seed)
    faults = Faults(vms, store, seed, planned=planned)
    callers.start()
    versions = VersionWatch(vms)
    versions.start()
    await faults.inject(seconds)
    faults_ended_s = asyncio.get_running_loop().time()
    await _until_ready(vms)
    await asyncio.sleep(RECOVERY_S)
    silenced_s = asyncio.get_running_loop().time()
    if not planned:
        for vm in vms:
            vm.send_signal(signal.SIGUSR1)
        await asyncio.sleep(SIGNAL_DELAY_S)
    store.write_next_rules()
    late = await versions.until_in_force(store.rules_version)
    await callers.stop()
    await versions.stop()
    for vm in vms:
        vm.measure_memory()
    violations = violated_invariants(
        callers.outcomes, vms, faults, (faults_ended_s + RECOVERY_S / 2, silenced_s)
    )
    violations.extend(beyond_retry_budget(callers.sent, vms))
    violations.extend((*late, *versions.violations))
    if planned:
        violations.extend(interrupted(callers.outcomes, vms))
    served = sum(outcome.status == 200 for outcome in callers.outcomes)
    return RunResult(
        seed, planned, len(callers.outcomes), served, faults.history, violations
    )


async def _until_ready(vms: list[Vm]) -> None:
    waits = asyncio.gather(*(vm.until_ready() for vm in vms))
    await asyncio.wait_for(waits, START_LIMIT_S)


def _create_vms(folder: Path, store: SoakStore, vm_count: int, seed: int) -> list[Vm]:
    """Create VMs on loopback addresses that no other run on this machine uses."""
    pid = os.getpid()
    network = f'127.{1 + pid % 254}.{pid // 254 % 254}'
    rng = random.Random(seed)
    port = store.port
    return [
        Vm(folder, f'{network}.{number + 1}', service, port, rng)
        for number, service in enumerate(
            SERVICES[number % len(SERVICES)] for number in range(vm_count)
        )
    ]
