"""Inject faults in a random order, sequentially and overlapping."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from fault_soak.soak_store import SoakStore
from fault_soak.vm import Vm
from odd_records import ODD_ROWS

STOP_LIMIT_S = 6.0
"""The grace time of the nodes plus one second."""

Fault = Callable[[Vm], Awaitable[None]]


class Faults:
    """Inject faults into VMs and the store, in about half of the VMs at most."""

    def __init__(
        self, vms: list[Vm], store: SoakStore, seed: int, *, planned: bool
    ) -> None:
        """Create a fault injector.

        Args:
            vms: The VMs.
            store: The simulated store of the platform.
            seed: Seed of the order and the times of the faults.
            planned: Whether only planned operations happen, which must not interrupt
                any request.
        """
        self.late_stops: list[str] = []
        self.history: list[str] = []
        self._vms = vms
        self._store = store
        self._rng = random.Random(seed)
        self._planned = planned
        self._faulty_vms: set[str] = set()

    async def inject(self, seconds: float) -> None:
        """Inject faults for a time, then wait until all of them have ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        running: set[asyncio.Future[None]] = set()
        while loop.time() < end_s:
            for vm in self._vms:
                if vm.name not in self._faulty_vms:
                    vm.restart_if_exited()
            free = [vm for vm in self._vms if vm.name not in self._faulty_vms]
            if len(free) > len(self._vms) // 2:
                fault = self._rng.choice(self._enabled_faults())
                vm = self._rng.choice(free)
                running.add(asyncio.ensure_future(self._run(fault, vm)))
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
        await asyncio.gather(*running)

    def _enabled_faults(self) -> list[Fault]:
        planned = [self._stop, self._reload, self._change_rules]
        if self._planned:
            return planned
        return [
            *planned,
            self._kill,
            self._pause,
            self._blackhole_store,
            self._drop_store_responses,
            self._reset_upstream,
            self._blackhole_upstream,
            self._drop_upstream_responses,
            self._break_upstream_responses,
            self._fail_store,
            self._compact_store_history,
            self._silence_connections,
            self._suspend,
            self._mute_store,
            self._write_odd_row,
            self._overwrite_own_row,
            self._pause_beyond_deadlines,
            self._kill_after_leave,
            self._delay_heartbeats,
        ]

    async def _run(self, fault: Fault, vm: Vm) -> None:
        self.history.append(f'{fault.__name__.strip("_")} {vm.name}')
        self._faulty_vms.add(vm.name)
        try:
            await fault(vm)
        finally:
            self._faulty_vms.discard(vm.name)

    async def _stop(self, vm: Vm) -> None:
        vm.send_signal(signal.SIGTERM)
        if not await vm.wait_for_exit(STOP_LIMIT_S):
            self.late_stops.append(vm.name)
        vm.start_node()
        await vm.until_ready()

    async def _reload(self, vm: Vm) -> None:
        vm.send_signal(signal.SIGHUP)

    async def _change_rules(self, _vm: Vm) -> None:
        self._store.write_next_rules()

    async def _kill(self, vm: Vm) -> None:
        vm.send_signal(signal.SIGKILL)
        await vm.wait_for_exit(1)
        await asyncio.sleep(self._rng.uniform(0, 1))
        vm.start_node()
        await vm.until_ready()

    async def _pause(self, vm: Vm) -> None:
        vm.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.3, 3))
        vm.send_signal(signal.SIGCONT)

    async def _pause_beyond_deadlines(self, vm: Vm) -> None:
        """Stop a process until the requests that others sent to it have timed out."""
        vm.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(4.2, 7))
        vm.send_signal(signal.SIGCONT)

    async def _kill_after_leave(self, vm: Vm) -> None:
        """Kill a node that has acknowledged a leave; reports from before it still come."""
        if await vm.leave():
            vm.send_signal(signal.SIGKILL)
            await vm.wait_for_exit(1)
            vm.start_node()
            await asyncio.sleep(self._rng.uniform(3, 6))
        vm.restart_upstream()
        await vm.until_ready()

    async def _delay_heartbeats(self, vm: Vm) -> None:
        vm.heartbeat_delay_s = self._rng.uniform(1, 4)
        await asyncio.sleep(self._rng.uniform(2, 5))
        vm.heartbeat_delay_s = 0

    async def _silence_connections(self, vm: Vm) -> None:
        vm.send_signal(signal.SIGUSR1)

    async def _suspend(self, vm: Vm) -> None:
        """Stop a process for long, whose connections are lost meanwhile."""
        vm.send_signal(signal.SIGUSR1)
        vm.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(2, 6))
        vm.send_signal(signal.SIGCONT)

    async def _mute_store(self, vm: Vm) -> None:
        vm.store_proxy.mute()

    async def _write_odd_row(self, vm: Vm) -> None:
        odd = self._rng.choice(tuple(ODD_ROWS.values()))
        self._store.put('nodes', f'odd-{vm.name}', odd)

    async def _overwrite_own_row(self, vm: Vm) -> None:
        self._store.put('nodes', vm.name, self._rng.choice(tuple(ODD_ROWS.values())))

    async def _blackhole_store(self, vm: Vm) -> None:
        vm.store_proxy.dropping = True
        await asyncio.sleep(self._rng.uniform(0.5, 3))
        vm.store_proxy.dropping = False
        vm.store_proxy.reset()

    async def _drop_store_responses(self, vm: Vm) -> None:
        vm.store_proxy.dropping_responses = True
        await asyncio.sleep(self._rng.uniform(0.5, 2))
        vm.store_proxy.dropping_responses = False
        vm.store_proxy.reset()

    async def _reset_upstream(self, vm: Vm) -> None:
        vm.upstream_proxy.reset()

    async def _blackhole_upstream(self, vm: Vm) -> None:
        vm.upstream_proxy.dropping = True
        await asyncio.sleep(self._rng.uniform(0.3, 2))
        vm.upstream_proxy.dropping = False
        vm.upstream_proxy.reset()

    async def _drop_upstream_responses(self, vm: Vm) -> None:
        vm.upstream.dropping_responses = True
        await asyncio.sleep(self._rng.uniform(0.3, 2))
        vm.upstream.dropping_responses = False

    async def _break_upstream_responses(self, vm: Vm) -> None:
        vm.upstream.breaking_responses = True
        await asyncio.sleep(self._rng.uniform(0.3, 2))
        vm.upstream.breaking_responses = False

    async def _fail_store(self, _vm: Vm) -> None:
        self._store.failing_status = self._rng.choice([503, 429])
        await asyncio.sleep(self._rng.uniform(0.3, 2))
        self._store.failing_status = None

    async def _compact_store_history(self, _vm: Vm) -> None:
        self._store.compacted_version = self._store.version
