"""Tests that a node which restarts knows what it has acknowledged before."""

import asyncio
import dataclasses
import gc

import pytest
from gentianmill.clock import ManualClock
from gentianmill.departure_doubt import LATEST_REPORT_MS
from gentianmill.departures import Departure
from gentianmill.relay_messages import (
    DepartureEntry,
    KnownState,
    StateRequest,
    StrikeEntry,
)
from gentianmill_mesh import guard_recovery
from gentianmill_mesh.guard_recovery import PROMPT_READ_MS, GuardRecovery
from gentianmill_mesh.mesh_settings import Address, MeshSettings
from gentianmill_mesh.own_state import OwnState
from gentianmill_mesh.ports import PresenceAge
from gentianmill_mesh.registry_presence import LONGEST_GAP_MS, SETTLE_MS
from mesh_upstream import NAMES
from node_records import node_record
from gentianmill.node_table import NodeRecord, NodeState, NodeTable
from gentianmill.upstream_status import UpstreamStatus
from test_upstream_status import _report

LEFT = Departure('a', 9)
LEFT_ENTRY = DepartureEntry('a', 9)
OTHERS = [f'n{number}' for number in range(8)]
STEADY_MS = LONGEST_GAP_MS + SETTLE_MS + 1


class _Guard:
    def __init__(self) -> None:
        self.status = UpstreamStatus()
        self.refusing = ''
        self.crashes = _Crashes()

    @property
    def accepts_calls(self) -> bool:
        return self.status.accepts_calls and not self.refusing

    def refuse_calls(self, reason: str) -> None:
        self.refusing = reason


class _Crashes:
    def __init__(self) -> None:
        self.merged: list[object] = []

    def latest(self, _count: int) -> list[object]:
        return []

    def merge(self, entries: list[object]) -> list[object]:
        self.merged += entries
        return []


class _Links:
    """Links to other nodes, of which some answer."""

    def __init__(self, known: dict[str, KnownState], *, reachable: bool = True) -> None:
        self.posted: list[tuple[str, object]] = []
        self.recovery: GuardRecovery | None = None
        self.known = known
        self._reachable = reachable

    def to(self, record) -> '_Link':
        return _Link(self, record.name)

    async def deliver(self, name: str, frame: object) -> bool:
        self.posted.append((name, frame))
        if not self._reachable:
            return False
        if isinstance(frame, StateRequest) and name in self.known:
            self.recovery.on_state(self.known[name])
        return True


@dataclasses.dataclass
class _Link:
    links: _Links
    name: str

    async def post(self, frame: object) -> bool:
        return await self.links.deliver(self.name, frame)


class _Peers:
    def choose(self, _count: int) -> list[object]:
        return []


class _Registry:
    def __init__(self) -> None:
        self.age: PresenceAge | None = None
        self.fails = False
        self.answer = asyncio.Event()
        self.answer.set()
        self.added: list[tuple[str, tuple[Departure, ...]]] = []
        self.published: list[NodeRecord] = []

    def publish(self, record: NodeRecord) -> asyncio.Future[None]:
        self.published.append(record)
        return asyncio.get_running_loop().create_future()

    async def add_departures(
        self, node: str, departures: tuple[Departure, ...]
    ) -> bool:
        self.added.append((node, departures))
        return True

    async def presence_age(self) -> PresenceAge | None:
        if self.fails:
            raise ValueError('not readable')
        await self.answer.wait()
        return self.age


class _Bench:
    def __init__(
        self,
        known: dict[str, KnownState] | None = None,
        *,
        reachable: bool = True,
        first_start: bool = False,
        report_interval_ms: float = 0,
    ) -> None:
        self.clock = ManualClock()
        self.guard = _Guard()
        self.table = NodeTable()
        self.links = _Links(known or {}, reachable=reachable)
        self.registry = _Registry()
        self.ended = 0
        self.recovery = GuardRecovery(
            _settings(first_start, report_interval_ms),
            self.guard,
            self.table,
            self.links,
            _Peers(),
            self.registry,
            self.clock,
        )
        self.links.recovery = self.recovery
        self.recovery.begin(self._end)

    def _end(self) -> None:
        self.ended += 1

    def read(self, own: tuple[Departure, ...] | None = None) -> None:
        """Read the table of the registry."""
        self.table.merge([node_record(name) for name in OTHERS])
        if own is not None:
            self.table.merge([node_record('own', departures=own)])
        self.recovery.table_read()

    @property
    def uses(self) -> bool:
        """Return whether a report from before the leave makes the upstream used."""
        self.guard.status.apply(_report(start_unix_ms=9))
        return self.guard.accepts_calls


def _settings(first_start: bool, report_interval_ms: float) -> MeshSettings:
    address = Address('127.0.0.1', 1)
    return MeshSettings(
        node='own',
        zone='a',
        region='r',
        service='s',
        upstream=address,
        entry=address,
        readiness=address,
        relay=address,
        metrics=address,
        readiness_path='/ready',
        names=NAMES,
        stop_within_ms=5000,
        first_start=first_start,
        report_interval_ms=report_interval_ms,
    )


def _run(scenario) -> object:
    return asyncio.run(asyncio.wait_for(scenario(), 5))


async def _settle() -> None:
    for _ in range(9):
        await asyncio.sleep(0)


def test_guard_takes_no_calls_before_it_has_learned():
    """Guards against calls to an upstream of which nothing is known yet."""

    async def scenario() -> tuple[bool, bool, bool]:
        bench = _Bench()
        before = bench.uses
        bench.read()
        await _settle()
        return before, bench.uses, bench.recovery.may_publish

    assert _run(scenario) == (False, True, True)


@pytest.mark.parametrize('source', ['registry', 'node'])
def test_departure_is_learned_before_calls_are_taken(source: str):
    """Guards against payments to an upstream that has left, after a kill of its node."""

    async def scenario() -> tuple[bool, int]:
        state = KnownState('own', [LEFT_ENTRY])
        known = dict.fromkeys(OTHERS, state) if source == 'node' else {}
        bench = _Bench(known)
        bench.read((LEFT,) if source == 'registry' else None)
        await _settle()
        return bench.uses, bench.ended

    assert _run(scenario) == (False, 1)


def test_departure_that_is_found_in_the_own_row_ends_the_use_of_the_upstream():
    """Guards against a departure that is kept in the registry and not heeded."""

    async def scenario() -> tuple[bool, bool, NodeRecord, list[NodeRecord]]:
        bench = _Bench()
        bench.read()
        await _settle()
        announced: list[NodeRecord] = []
        own = node_record('own')
        state = OwnState(
            own, bench.guard, bench.recovery, bench.registry, announced.append
        )
        before = bench.uses
        stored = dataclasses.replace(own, departures=(LEFT,))
        state.accepted(stored)
        state.accepted(stored)
        published = bench.registry.published
        assert announced == [stored, stored]
        return before, bench.uses, published[-1], published

    before, after, record, published = _run(scenario)
    assert before
    assert not after
    assert record.state is NodeState.leaving
    assert record.departures == (LEFT,)
    assert len(published) == 1


def test_node_that_connects_tells_while_the_registry_is_silent():
    """Guards against an upstream that takes no calls as long as the registry is away."""

    async def scenario() -> tuple[StateRequest | None, bool, StateRequest | None, bool]:
        bench = _Bench()
        asked = bench.recovery.wanted_state()
        bench.recovery.on_state(KnownState('own', []))
        return (
            asked,
            bench.uses,
            bench.recovery.wanted_state(),
            bool(bench.recovery.may_publish),
        )

    assert _run(scenario) == (StateRequest('own'), True, None, False)


def test_first_start_asks_nobody():
    """Guards against a start of all nodes at once in which each asks the others."""

    async def scenario() -> tuple[int, int]:
        bench = _Bench(first_start=True)
        bench.read()
        await _settle()
        return len(bench.links.posted), bench.ended

    assert _run(scenario) == (0, 1)


def test_departure_is_kept_by_the_registry():
    """Guards against an acknowledgement before anything outlives the process."""

    async def scenario() -> tuple[bool, bool, int]:
        bench = _Bench()
        bench.read()
        await _settle()
        bench.links.posted.clear()
        bench.guard.status.leave('a', 9, 1000)
        stored = asyncio.get_running_loop().create_future()
        keeping = asyncio.ensure_future(bench.recovery.keep(stored))
        await asyncio.sleep(0.02)
        before = keeping.done()
        stored.set_result(None)
        return before, await keeping, len(bench.links.posted)

    assert _run(scenario) == (False, True, 0)


@pytest.mark.parametrize('reachable', [True, False])
def test_departure_is_kept_by_other_nodes_while_the_registry_is_away(reachable: bool):
    """Guards against a leave that waits for the registry, or is forgotten without it."""

    async def scenario() -> tuple[bool, bool]:
        bench = _Bench(reachable=reachable)
        bench.read()
        await _settle()
        bench.guard.status.leave('a', 9, 1000)
        stored = asyncio.get_running_loop().create_future()
        kept = await bench.recovery.keep(stored)
        told = any(
            isinstance(frame, KnownState) and frame.departures == [LEFT_ENTRY]
            for _, frame in bench.links.posted
        )
        return kept, told

    assert _run(scenario) == (reachable, True)


def test_same_nodes_are_told_and_asked():
    """Guards against asking nodes at a start that were not told before."""

    async def scenario() -> tuple[set[str], set[str]]:
        first = _Bench()
        first.read()
        await _settle()
        first.links.posted.clear()
        first.guard.status.leave('a', 9, 1000)
        await first.recovery.keep(asyncio.get_running_loop().create_future())
        await _settle()
        second = _Bench()
        second.read()
        await _settle()
        return (
            {name for name, _ in first.links.posted},
            {name for name, _ in second.links.posted},
        )

    told, asked = _run(scenario)
    assert told == asked
    assert len(told) > 1


def test_keepers_store_what_a_node_may_not_have_stored():
    """Guards against a departure that is lost with all processes, though some had the store.

    It reaches all nodes, of which five keep it.
    """

    async def scenario() -> tuple[set[str], set[str]]:
        bench = _Bench()
        bench.table.merge([node_record('own')])
        bench.read()
        for node in OTHERS:
            bench.recovery.on_state(KnownState(node, [LEFT_ENTRY]))
        await _settle()
        kept = {
            node
            for node in OTHERS
            if 'own' in {keeper.name for keeper in bench.recovery._keepers(node)}
        }
        assert kept != set(OTHERS)
        return {node for node, added in bench.registry.added if added == (LEFT,)}, kept

    stored, kept = _run(scenario)
    assert stored == kept
    assert kept


def test_other_nodes_are_told_what_is_known_of_them():
    """Guards against a node that keeps a departure and does not tell it."""

    async def scenario() -> tuple[KnownState, KnownState]:
        bench = _Bench()
        bench.recovery.on_state(KnownState('x', [LEFT_ENTRY]))
        bench.table.merge([node_record('y', departures=(LEFT,))])
        return tuple(bench.recovery.state_of(StateRequest(name)) for name in 'xy')

    assert _run(scenario) == (
        KnownState('x', [LEFT_ENTRY], [], 'own'),
        KnownState('y', [LEFT_ENTRY], [], 'own'),
    )


def test_strikes_are_learned_before_calls_are_taken():
    """Guards against a request that crashes endpoints again after a kill of their nodes."""
    strike = StrikeEntry(b'digest', [1, 2, 3], [])

    async def scenario() -> list[object]:
        state = KnownState('own', [], [strike])
        bench = _Bench({OTHERS[0]: state, OTHERS[3]: state})
        bench.recovery._keepers = lambda _node: bench.table.records
        bench.read()
        await _settle()
        return bench.guard.crashes.merged

    assert strike in _run(scenario)


def test_state_that_is_not_valid_is_ignored():
    """Guards against a malformed message that ends the learning."""

    async def scenario() -> int:
        bench = _Bench()
        bench.recovery.on_state(KnownState('own', [DepartureEntry('', -1)]))
        return bench.ended

    assert _run(scenario) == 0


@pytest.mark.parametrize(
    ('told', 'uptime_ms', 'doubts'),
    [
        (5, LATEST_REPORT_MS, False),
        (4, LATEST_REPORT_MS, False),
        (3, LATEST_REPORT_MS, True),
        (5, LATEST_REPORT_MS - 1, True),
        (0, 0, True),
    ],
)
def test_departures_are_doubted_unless_enough_nodes_would_know(
    told: int, uptime_ms: float, doubts: bool
):
    """Guards against a departure that was known to processes only, which have ended.

    Two of five nodes are enough for an acknowledgement, so four must say that there is
    none, and they must have been there.
    """

    async def scenario() -> tuple[bool, bool]:
        bench = _Bench(report_interval_ms=1500)
        before = bench.guard.status.doubt.is_active
        bench.table.merge([node_record(name) for name in OTHERS])
        for record in bench.recovery._keepers('own')[:told]:
            told_ms = int(uptime_ms and uptime_ms + PROMPT_READ_MS)
            state = KnownState('own', [], [], record.name, told_ms)
            bench.links.known[record.name] = state
        bench.clock.advance(PROMPT_READ_MS)
        bench.read()
        await _settle()
        return before, bench.guard.status.doubt.is_active

    assert _run(scenario) == (True, doubts)


@pytest.mark.parametrize(('first_start', 'interval_ms'), [(True, 1500), (False, 0)])
def test_departures_are_not_doubted_without_reason(
    first_start: bool, interval_ms: float
):
    """Guards against a wait at the first start, or where the settings don't ask for it."""
    bench = _Bench(first_start=first_start, report_interval_ms=interval_ms)
    assert not bench.guard.status.doubt.is_active


@pytest.mark.parametrize('keepers_answer', [True, False])
def test_upstream_is_used_as_soon_as_the_registry_is_trusted(keepers_answer: bool):
    """Guards against a wait of 1 s for nodes that are down, after a kill of all nodes."""

    async def scenario() -> list[tuple[bool, int]]:
        bench = _Bench(report_interval_ms=1500)
        bench.registry.age = PresenceAge(0, STEADY_MS)
        bench.registry.answer.clear()
        if not keepers_answer:
            bench.links.deliver = _never_deliver
        bench.read()
        await _settle()
        states = [(bench.guard.status.doubt.is_active, bench.ended)]
        bench.registry.answer.set()
        await _settle()
        return [*states, (bench.guard.status.doubt.is_active, bench.ended)]

    published = (1, 2) if keepers_answer else (0, 0)
    assert _run(scenario) == [(True, published[0]), (False, published[1])]


def test_registry_that_fails_to_tell_does_not_keep_a_guard_from_calls():
    """Guards against a row of the presence that keeps a node from serving."""

    async def scenario() -> tuple[int, bool]:
        bench = _Bench(report_interval_ms=1500)
        bench.registry.fails = True
        bench.read()
        await _settle()
        return bench.ended, bench.guard.status.doubt.is_active

    assert _run(scenario) == (1, True)


def test_nodes_that_do_not_answer_are_no_fault(monkeypatch):
    """Guards against tracebacks of each start while other nodes are down."""
    monkeypatch.setattr(guard_recovery, 'ASK_TIMEOUT_S', 0.05)
    faults = []

    async def scenario() -> int:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: faults.append(context))
        bench = _Bench()
        bench.links.deliver = _never_deliver
        bench.read()
        await asyncio.sleep(0.1)
        gc.collect()
        return bench.ended

    assert _run(scenario) == 1
    assert not faults


async def _never_deliver(_name: str, _frame: object) -> bool:
    return await asyncio.get_running_loop().create_future()


@pytest.mark.parametrize(
    ('read_ms', 'before', 'doubts'),
    [
        (PROMPT_READ_MS - 1, (LONGEST_GAP_MS - 1, STEADY_MS), False),
        (PROMPT_READ_MS - 1, (LONGEST_GAP_MS, STEADY_MS), True),
        (PROMPT_READ_MS - 1, (0, STEADY_MS - 1), True),
        (PROMPT_READ_MS - 1, (-100, -100), True),
        (PROMPT_READ_MS - 1, None, True),
        (PROMPT_READ_MS, (0, STEADY_MS), True),
    ],
)
def test_departures_are_doubted_if_the_registry_was_away(
    read_ms: float, before: tuple[float, float] | None, doubts: bool
):
    """Guards against a leave that is forgotten as the store is back before the start.

    Departures are acknowledged without the registry only while it does not answer. If it
    was there, no upstream is to be used late after a kill of all nodes. Negative times
    are those of processes that were started together with this one.
    """

    async def scenario() -> bool:
        bench = _Bench(report_interval_ms=1500)
        bench.clock.advance(read_ms)
        if before is not None:
            bench.registry.age = PresenceAge(*(time + read_ms for time in before))
        bench.read()
        await _settle()
        return bench.guard.status.doubt.is_active

    assert _run(scenario) == doubts
