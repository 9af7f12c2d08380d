"""Nodes beside upstreams that leave, without a network; processes end and start again."""

import asyncio
import dataclasses
import random

from gentianmill.departures import Departure
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.relay_messages import KnownState, StateRequest
from gentianmill.upstream_status import UpstreamReport, UpstreamStatus
from gentianmill_mesh.guard_recovery import GuardRecovery
from gentianmill_mesh.mesh_settings import Address, MeshSettings
from gentianmill_mesh.own_state import OwnState
from gentianmill_node.background import repeat
from gentianmill_platform.store_adapters import StoreNodes
from mesh_upstream import NAMES
from node_records import node_record
from poll_turns import ImmediateTurns
from row_model import ModelStore, Mode, RowModel
from virtual_time import LoopClock

REPORT_S = 1.5
LINK_S = 0.01
LOST_S = 1.0
PRESENCE_S = 0.5
CONNECT_S = 1.0
DRAIN_S = 2.5
"""Time after an acknowledged leave from which an upstream must get no calls."""

BASE_UNIX_MS = 10**12
ADDRESS = Address('127.0.0.1', 1)


class _Crashes:
    def latest(self, _count: int) -> list[object]:
        return []

    def merge(self, _entries: object) -> list[object]:
        return []


class _Guard:
    """A guard without calls."""

    def __init__(self) -> None:
        self.status = UpstreamStatus()
        self.crashes = _Crashes()
        self.refusing = ''

    @property
    def accepts_calls(self) -> bool:
        return self.status.accepts_calls and not self.refusing

    def refuse_calls(self, reason: str) -> None:
        self.refusing = reason


@dataclasses.dataclass
class _Link:
    cluster: 'Cluster'
    sender: 'Process'
    name: str

    async def post(self, frame: StateRequest | KnownState) -> bool:
        return await self.cluster.deliver(self.sender, self.name, frame)


class _Links:
    def __init__(self, cluster: 'Cluster', sender: 'Process') -> None:
        self._cluster = cluster
        self._sender = sender

    def to(self, record: NodeRecord) -> _Link:
        return _Link(self._cluster, self._sender, record.name)

    def reaches(self, record: NodeRecord) -> bool:
        return self._cluster.process_of(record.name) is not None


class _Peers:
    def __init__(self, cluster: 'Cluster', own_name: str) -> None:
        self._cluster = cluster
        self._own_name = own_name

    def choose(self, count: int) -> list[NodeRecord]:
        names = [vm.name for vm in self._cluster.vms if vm.name != self._own_name]
        return [node_record(name) for name in self._cluster.rng.sample(names, count)]


@dataclasses.dataclass
class Vm:
    """A VM with an upstream, and the process of its node."""

    name: str
    process: 'Process | None' = None
    upstream: Departure | None = None
    sequence: int = 0
    is_leaving: bool = False
    asked_by: 'Process | None' = None
    """The process that has named the address to which the upstream reports."""


class Process:
    """A node's process, with the parts that know departures."""

    def __init__(self, cluster: 'Cluster', vm: Vm, incarnation: int) -> None:
        """Create a process that is not started."""
        clock = LoopClock()
        self.vm = vm
        self.store = ModelStore(cluster.rows)
        self.store.mode = cluster.mode_of(vm)
        self.guard = _Guard()
        self.table = NodeTable()
        self.registry = StoreNodes(self.store, clock)
        links = _Links(cluster, self)
        self.recovery = GuardRecovery(
            _settings(vm.name, is_first=not incarnation),
            self.guard,
            self.table,
            links,
            _Peers(cluster, vm.name),
            self.registry,
            clock,
        )
        record = node_record(vm.name, incarnation=incarnation + 1, revision=0)
        self.own = OwnState(
            record, self.guard, self.recovery, self.registry, self._announce
        )
        self._cluster = cluster
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to learn and to take reports."""
        self.recovery.begin(self.own.publish)
        await self.registry.start(
            self.table, self.own.accepted, ImmediateTurns(), self._on_confirmed
        )
        self._tasks = [
            repeat(self.recovery.renew_presence, PRESENCE_S, 'presence'),
            repeat(self._connect, CONNECT_S, 'connect'),
        ]

    async def close(self) -> None:
        """End the process with all that is under way."""
        for task in self._tasks:
            task.cancel()
        await self.registry.close()

    def apply(self, report: UpstreamReport, *, is_current: bool) -> None:
        """Apply a report of the upstream."""
        start = Departure(report.upstream_id, report.start_unix_ms)
        self.guard.status.doubt.observe(
            start, report.sequence, LoopClock().now_ms(), is_current=is_current
        )
        if self.guard.status.apply(report):
            self.own.publish_departures()
        if report.sequence == 1:
            self.own.publish()

    async def leave(self, upstream: Departure) -> bool:
        """Let the upstream take no more calls; return whether that is acknowledged."""
        self.guard.status.leave(
            upstream.upstream_id, upstream.start_unix_ms, BASE_UNIX_MS
        )
        self.own.publish_departures()
        return await self.own.departures_kept()

    def _on_confirmed(self, _as_of_ms: float) -> None:
        if not self.recovery.has_read_table:
            self.recovery.table_read()
            self.own.publish()

    def _announce(self, record: NodeRecord) -> None:
        self._cluster.announce(record)

    def _connect(self) -> None:
        """Ask nodes that connect, as long as the registry is silent."""
        request = self.recovery.wanted_state()
        for vm in self._cluster.vms:
            other = vm.process
            if request and other is not None and other is not self:
                self.recovery.on_state(other.recovery.state_of(request))


class Cluster:
    """All VMs, the store, and which departures were acknowledged."""

    def __init__(self, count: int, seed: int) -> None:
        """Create VMs without processes."""
        self.rng = random.Random(seed)
        self.rows = RowModel()
        self.vms = [Vm(f'n{number}') for number in range(count)]
        self.acknowledged: dict[Departure, float] = {}
        self.violations: list[tuple[Departure, float]] = []
        self.is_store_away = False
        self.cut: Vm | None = None
        self._starts = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all processes for the first time, and the upstreams."""
        for vm in self.vms:
            self.replace_upstream(vm)
        await self.start_all()
        for each in self.vms:
            self.spawn(self._report(each))
        self.spawn(self._watch())

    async def close(self) -> None:
        """End everything."""
        await self.kill_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)

    def spawn(self, work) -> None:
        """Run something beside."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def process_of(self, name: str) -> Process | None:
        """Return the running process of a node, or None."""
        return next(vm.process for vm in self.vms if vm.name == name)

    def mode_of(self, vm: Vm) -> Mode:
        """Return what becomes of the calls of a VM to the store."""
        return Mode.away if self.is_store_away or vm is self.cut else Mode.works

    def set_paths(self, *, is_store_away: bool, cut: Vm | None) -> None:
        """Change which VMs reach the store."""
        self.is_store_away = is_store_away
        self.cut = cut
        for vm in self.vms:
            if vm.process is not None:
                vm.process.store.mode = self.mode_of(vm)

    async def deliver(
        self, sender: Process, name: str, frame: StateRequest | KnownState
    ) -> bool:
        """Send a frame to a node, and return whether it arrived."""
        await asyncio.sleep(LINK_S)
        receiver = self.process_of(name)
        if receiver is None or sender.vm.process is not sender:
            await asyncio.sleep(LOST_S)
            return False
        if isinstance(frame, StateRequest):
            state = receiver.recovery.state_of(frame)
            self.spawn(self._answer(sender, state))
        else:
            receiver.recovery.on_state(frame)
        return True

    def announce(self, record: NodeRecord) -> None:
        """Tell all nodes a record."""
        for vm in self.vms:
            if vm.process is not None and vm.name != record.name:
                vm.process.table.merge([record])

    def replace_upstream(self, vm: Vm) -> None:
        """Start an upstream in place of one that has left."""
        self._starts += 1
        vm.upstream = Departure(f'u{self._starts}', BASE_UNIX_MS + self._starts)
        vm.sequence = 0
        vm.is_leaving = False
        vm.asked_by = None

    async def kill(self, vm: Vm) -> None:
        """End the process of a VM."""
        process = vm.process
        vm.process = None
        if process is not None:
            await process.close()

    async def kill_all(self) -> None:
        """End all processes."""
        for vm in self.vms:
            await self.kill(vm)

    async def start_one(self, vm: Vm) -> None:
        """Start the next process of a VM."""
        if vm.process is None:
            self._starts += 1
            is_first = not any(self.rows.find(each.name) for each in self.vms)
            vm.process = Process(self, vm, 0 if is_first else self._starts)
            await vm.process.start()

    async def start_all(self) -> None:
        """Start all processes that do not run."""
        for vm in self.vms:
            await self.start_one(vm)

    async def leave(self, vm: Vm, late_s: list[float]) -> None:
        """Let an upstream leave, with reports on their way that arrive late."""
        upstream = vm.upstream
        for delay_s in late_s:
            self.send_report(vm, delay_s)
        vm.is_leaving = True
        process = vm.process
        if process is not None and await process.leave(upstream):
            if vm.process is process:
                self.acknowledged.setdefault(upstream, LoopClock().now_ms())

    def send_report(self, vm: Vm, delay_s: float) -> None:
        """Send a report of the upstream, which knows who has asked for it."""
        vm.sequence += 1
        report = UpstreamReport(
            upstream_id=vm.upstream.upstream_id,
            service='s',
            host=vm.name,
            port=1,
            zone='a',
            slots=10,
            draining=False,
            sequence=vm.sequence,
            start_unix_ms=vm.upstream.start_unix_ms,
            cold_ms=0,
        )
        self.spawn(self._arrive(vm, report, vm.asked_by, delay_s))

    async def _arrive(
        self, vm: Vm, report: UpstreamReport, asked_by: Process | None, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        process = vm.process
        if process is None:
            return
        process.apply(report, is_current=process is asked_by)
        if not vm.is_leaving and report.upstream_id == vm.upstream.upstream_id:
            vm.asked_by = process

    async def _answer(self, asker: Process, state: KnownState) -> None:
        await asyncio.sleep(LINK_S)
        if asker.vm.process is asker:
            asker.recovery.on_state(state)

    async def _report(self, vm: Vm) -> None:
        await asyncio.sleep(self.rng.uniform(0, REPORT_S))
        while True:
            if not vm.is_leaving:
                self.send_report(vm, LINK_S)
            await asyncio.sleep(REPORT_S)

    async def _watch(self) -> None:
        """Note upstreams that are used after they have left."""
        while True:
            await asyncio.sleep(0.05)
            for vm in self.vms:
                if vm.process is not None:
                    self._check(vm.process.guard)

    def _check(self, guard: _Guard) -> None:
        report = guard.status.report
        if report is None or not guard.accepts_calls:
            return
        upstream = Departure(report.upstream_id, report.start_unix_ms)
        left_ms = self.acknowledged.get(upstream)
        now_ms = LoopClock().now_ms()
        if left_ms is not None and now_ms - left_ms > DRAIN_S * 1000:
            self.violations.append((upstream, now_ms - left_ms))


def _settings(name: str, *, is_first: bool) -> MeshSettings:
    return MeshSettings(
        node=name,
        zone='a',
        region='r',
        service='s',
        upstream=ADDRESS,
        entry=ADDRESS,
        readiness=ADDRESS,
        relay=ADDRESS,
        metrics=ADDRESS,
        readiness_path='/ready',
        names=NAMES,
        stop_within_ms=5000,
        first_start=is_first,
        report_interval_ms=REPORT_S * 1000,
    )
