"""Checks that the rules in force at each node are the newest, and never go back."""

import asyncio

import aiohttp

from fault_soak.vm import Vm

APPLY_LIMIT_S = 9.0
"""A confirmed change is in force everywhere within this time (docs/CAPACITY.md)."""

POLL_INTERVAL_S = 0.3


class VersionWatch:
    """Poll the version of the rules at all nodes."""

    def __init__(self, vms: list[Vm]) -> None:
        """Create a watch that is not started."""
        self.violations: list[str] = []
        self._vms = vms
        self._newest: dict[tuple[str, int], int] = {}
        """Newest version that each process had in force."""

        self._current: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to poll."""
        self._task = asyncio.ensure_future(self._poll())

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})

    async def until_in_force(self, version: int) -> list[str]:
        """Wait until a version is in force at all nodes; return a line for each late one."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + APPLY_LIMIT_S
        while loop.time() < end_s and self._late(version):
            await asyncio.sleep(POLL_INTERVAL_S / 3)
        return [
            f'{name} has version {self._current.get(name)} instead of {version}'
            for name in self._late(version)
        ]

    def _late(self, version: int) -> list[str]:
        return [vm.name for vm in self._vms if self._current.get(vm.name) != version]

    async def _poll(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.gather(*(self._check(vm, session) for vm in self._vms))
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _check(self, vm: Vm, session: aiohttp.ClientSession) -> None:
        pid, version = await vm.rules_version(session)
        if version < 0:
            return
        newest = self._newest.get((vm.name, pid), -1)
        if version < newest:
            self.violations.append(f'{vm.name} went back from {newest} to {version}')
        self._newest[vm.name, pid] = max(version, newest)
        self._current[vm.name] = version
