"""Search for faults that let an upstream be used after its acknowledged leave."""

import asyncio

from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from departure_model import Cluster
from virtual_time import VirtualTimeLoop

NODES = 7
STEADY_S = 8
OUTAGE_S = 4.5
"""The shortest outage of the store; a shorter one is not told from a restart."""

REUSE_S = 14
"""Time after which the upstreams that are there must be used."""

numbers = strategies.integers(0, NODES - 1)
pauses = strategies.sampled_from((0.02, 0.1, 0.4, 1, 2.5))
restarts = strategies.sampled_from((0.7, 1.4, 2))
moments = strategies.sampled_from((0, 2, 3.9))
delays = strategies.lists(strategies.sampled_from((0.5, 2, 3.5, 5, 9)), max_size=3)


class DepartureSearch(RuleBasedStateMachine):
    """Upstreams leave while the store is away and processes end."""

    @initialize(seed=strategies.integers(0, 10**6))
    def begin(self, seed):
        """Start all nodes."""
        self.loop = VirtualTimeLoop()
        self.cluster = Cluster(NODES, seed)
        self._run(self.cluster.start())
        self.wait(STEADY_S)

    @rule(number=numbers, late_s=delays)
    def leave(self, number, late_s):
        """Let an upstream leave."""
        vm = self.cluster.vms[number]
        if vm.process is not None and not vm.is_leaving:
            self._spawn(self.cluster.leave(vm, late_s))

    @rule(number=numbers)
    def replace_upstream(self, number):
        """Start an upstream where one has left."""
        vm = self.cluster.vms[number]
        if vm.is_leaving:
            self.cluster.replace_upstream(vm)

    @rule()
    def lose_store(self):
        """Let the store be away for all nodes, for some seconds."""
        if not self.cluster.is_store_away:
            self.cluster.set_paths(is_store_away=True, cut=self.cluster.cut)
            self._spawn(self._regain_store())

    @rule(number=numbers)
    def cut(self, number):
        """Let one node be cut off the store."""
        vm = self.cluster.vms[number]
        self.cluster.set_paths(is_store_away=self.cluster.is_store_away, cut=vm)

    @rule()
    def mend_cut(self):
        """Let all nodes reach the store again, if it is there."""
        self.cluster.set_paths(is_store_away=self.cluster.is_store_away, cut=None)

    @rule(number=numbers, restart_s=restarts)
    def restart(self, number, restart_s):
        """End a process, and start the next one."""
        vm = self.cluster.vms[number]
        self._run(self.cluster.kill(vm))
        self._spawn(self._start_later([vm], restart_s))

    @rule(restart_s=restarts)
    def restart_all(self, restart_s):
        """End all processes at once, and start the next ones."""
        self._run(self.cluster.kill_all())
        self._spawn(self._start_later(self.cluster.vms, restart_s))

    @rule(number=numbers, after_s=moments, late_s=delays, restart_s=restarts)
    def leave_and_restart_all(self, number, after_s, late_s, restart_s):
        """Let only processes know of a leave, and end them all."""
        self.lose_store()
        self.wait(after_s)
        self.leave(number, late_s)
        self.wait(1)
        self.restart_all(restart_s)

    @rule(number=numbers, late_s=delays, restart_s=restarts)
    def leave_cut_off_and_restart_all(self, number, late_s, restart_s):
        """Let the processes know of a leave that one of them can't store."""
        self.cut(number)
        self.leave(number, late_s)
        self.wait(1)
        self.restart_all(restart_s)
        self.mend_cut()

    @rule(pause_s=pauses)
    def wait(self, pause_s):
        """Let time pass."""
        self._run(asyncio.sleep(pause_s))

    @rule()
    def settle(self):
        """End all faults; the upstreams that are there must be used then."""
        self._run(asyncio.sleep(OUTAGE_S))
        self.cluster.set_paths(is_store_away=False, cut=None)
        self._run(self.cluster.start_all())
        self.wait(REUSE_S)
        for vm in self.cluster.vms:
            assert vm.is_leaving or vm.process.guard.accepts_calls, vm.name

    @invariant()
    def none_is_used_after_its_leave(self):
        """Guards against calls to an upstream that has left."""
        if hasattr(self, 'cluster'):
            assert not self.cluster.violations, self.cluster.violations[0]

    async def _regain_store(self):
        await asyncio.sleep(OUTAGE_S)
        self.cluster.set_paths(is_store_away=False, cut=self.cluster.cut)

    async def _start_later(self, vms, restart_s):
        await asyncio.sleep(restart_s)
        for vm in vms:
            await self.cluster.start_one(vm)

    def _spawn(self, work):
        async def spawn():
            self.cluster.spawn(work)

        self._run(spawn())

    def _run(self, work):
        self.loop.run_until_complete(work)

    def teardown(self):
        """End all nodes."""
        if hasattr(self, 'loop'):
            self._run(self.cluster.close())
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self._run(asyncio.sleep(0.01))
            self.loop.close()


DepartureSearch.TestCase.settings = settings(
    max_examples=30,
    # To shrink a run takes minutes.
    phases=(Phase.explicit, Phase.generate),
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestDepartureSearch = DepartureSearch.TestCase
