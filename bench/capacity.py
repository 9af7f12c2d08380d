"""Measure the cost of a node and of the platform's table at several sizes.

Covers what ``bench.control`` omits: group commit of claims against a table
stand-in with a fixed write latency, sheets, memory per member, sheet polls over
HTTP and CPU time per decision. ``docs/CAPACITY.md`` extrapolates from the slopes.
"""

import asyncio
import functools
import os
import pathlib
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable

import aiohttp
import structlog
import yaml
from standins.faults import FaultMode, Faults
from standins.processes import HOST
from standins.table import MemoryTableStore, SimulatedTable

from bench import control
from bench.platform_process import platform_port
from bench.sheet_turns import longest_turns
from gentianmill.admission import AdmissionQueue
from gentianmill.clock import MonotonicClock
from gentianmill.home_nodes import HomePicker
from gentianmill.concurrency_limit import FixedLimit
from gentianmill.member_codec import MemberRow, encode_row
from gentianmill.membership import MemberTable
from gentianmill.retry import RetryLedger
from gentianmill.routing import Router
from gentianmill.settings_models import NodeSettingsModel, TableModel
from gentianmill.sheet import WorkClass
from gentianmill.sheet_file import load_sheet
from gentianmill.sheet_models import LimitsModel
from gentianmill.sheet_record import SHEET_KEY, VERSION_KEY, SheetRecord, encode_record
from gentianmill.sheet_version import SheetTracker
from gentianmill.ticket import Ticket
from gentianmill_node.claim_store import ClaimRequest, ClaimStore, StoredResponse
from gentianmill_node.commit_pace import CommitPace
from gentianmill_node.http_table import HttpTableStore
from gentianmill_node.policy import Policy
from gentianmill_node.sheet_loop import SheetLoop
from gentianmill_node.table_client import TableRow, TableWrite

MEMBER_COUNTS = (100, 300, 610)
SERVICES = 54
WRITE_LATENCY_MS = 10
CLAIM_LOADS = ((12, 38.6), (35, 38.6), (70, 10), (70, 20), (70, 38.6))
"""Committing nodes and claims per second of each; 38.6 is 2,700 over 70 nodes."""

CLAIM_WARM_UP_S = 0.5
CLAIM_MEASURED_S = 2
CLAIM_DEADLINE_MS = 20_000
RESPONSE_BYTES = 200
OPERATIONS_PER_SERVICE = (2, 5, 10)
SHEET_REPETITIONS = 3
POLLS = 200
POLL_INTERVAL_S = 3
DECISIONS = 2000
HOME_LOOKUPS = 8000
"""Lookups after which nearly all of the 2,048 buckets of a picker are in use."""

WINDOW_MS = 600_000
ESTABLISHED_MS = 2 * WINDOW_MS
"""Time at which members that have been up since 0 keep retry counts."""

MS_PER_S = 1000
US_PER_S = 1_000_000
P99_INDEX = 98

Point = dict[str, float]


@functools.cache
def sheet_text(operations_per_service: int) -> str:
    """Return a sheet with the services of the design size.

    The first operation of each of six services runs at most once; the 66 to 70
    members of these services are those that commit claims.
    """
    services = {}
    for number in range(SERVICES):
        operations = [
            {
                'name': f'operation-{index}',
                'method': 'POST' if index == 0 else 'GET',
                'path': f'/resource-{index}/{{id}}',
                'class': 'billing' if index == 0 else 'lookups',
                'run': 'at_most_once' if number < 6 and not index else 'repeatable',
                'deadline_ms': 5000,
            }
            for index in range(operations_per_service)
        ]
        services[f'service-{number}'] = {'operations': operations}
    sheet = {
        'deployment': 'design',
        'regions': ['region-0', 'region-1'],
        'classes': [{'name': 'billing', 'protected': True}, {'name': 'lookups'}],
        'services': services,
    }
    return yaml.safe_dump(sheet, sort_keys=False, default_flow_style=None, width=200)


def settings() -> NodeSettingsModel:
    """Return settings of a node; reads no file and opens no port."""
    return control.node_settings(control.make_member(0, 1), pathlib.Path('unused'))


def run(seeds: int) -> dict:
    """Run all parts of the measurement.

    Args:
        seeds: Factor on the number of decisions that are timed.
    """
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    load_before = os.getloadavg()
    claims = [asyncio.run(claim_point(*load)) for load in CLAIM_LOADS]
    sheets = [sheet_point(count) for count in OPERATIONS_PER_SERVICE]
    memory = [memory_point(count) for count in MEMBER_COUNTS]
    decisions = [decision_point(count, seeds) for count in MEMBER_COUNTS]
    polls = poll_points()
    return {
        'name': 'capacity',
        'load_average': [load_before, os.getloadavg()],
        'write_latency_ms': WRITE_LATENCY_MS,
        'claims': claims,
        'sheets': sheets,
        'memory': memory,
        'polls': polls,
        'decisions': decisions,
        'slopes': {
            'sheets': slopes(sheets, 'operations'),
            'memory': slopes(memory, 'members'),
            'polls': slopes(polls, 'operations'),
            'decisions': slopes(decisions, 'members'),
        },
    }


def slopes(points: list[Point], size: str) -> dict[str, Point]:
    """Fit each measure linearly to a size; return slopes and intercepts."""
    sizes = [point[size] for point in points]
    lines = {}
    for name in points[0]:
        if name != size:
            fit = statistics.linear_regression(sizes, [row[name] for row in points])
            lines[name] = {'slope': fit.slope, 'base': fit.intercept}
    return lines


async def claim_point(nodes: int, rate_per_node: float) -> Point:
    """Claim and record at a steady rate on several nodes that share one table."""
    table = SimulatedTable()
    table.gate.faults = Faults(mode=FaultMode.slow, delay_ms=WRITE_LATENCY_MS)
    pace = claim_pace(nodes)
    clock = MonotonicClock()
    stores = [
        ClaimStore(MemoryTableStore(table), clock, f'm{number}', pace.pause_ms)
        for number in range(nodes)
    ]
    await asyncio.gather(*[store.start() for store in stores])
    rng = random.Random(nodes)
    latencies: list[float] = []
    end_s = time.monotonic() + CLAIM_WARM_UP_S + CLAIM_MEASURED_S
    callers = [
        asyncio.create_task(claim_steadily(store, rate_per_node, rng, latencies, end_s))
        for store in stores
    ]
    await asyncio.sleep(CLAIM_WARM_UP_S)
    before = (len(latencies), table.transactions, time.process_time())
    started_s = time.monotonic()
    await asyncio.sleep(CLAIM_MEASURED_S)
    elapsed_s = time.monotonic() - started_s
    measured = latencies[before[0] :]
    cpu_s = time.process_time() - before[2]
    transactions = table.transactions - before[1]
    await asyncio.gather(*callers)
    await asyncio.gather(*[store.close() for store in stores])
    return {
        'nodes': nodes,
        'offered_per_s': nodes * rate_per_node,
        'pause_ms': pace.pause_ms(),
        'claims_per_s': len(measured) / elapsed_s,
        'transactions_per_s': transactions / elapsed_s,
        'latency_p50_ms': statistics.median(measured),
        'latency_p99_ms': statistics.quantiles(measured, n=100)[P99_INDEX],
        'cpu_us_per_claim': cpu_s * US_PER_S / len(measured),
    } | row_sizes(table)


def claim_pace(nodes: int) -> CommitPace:
    """Return the commit pace of one node among a number of committing nodes."""
    tracker = SheetTracker()
    tracker.offer(1, sheet_text(2), 'bench', 0)
    members = [control.make_member(number * SERVICES, 1) for number in range(nodes)]
    return CommitPace(member_table(members), tracker, Policy(settings(), 'm0'))


def member_table(members: list) -> MemberTable:
    """Return the member table of the first member, with all the others."""
    table = MemberTable(members[0])
    for member in members[1:]:
        table.merge(member, 0)
    return table


async def claim_steadily(
    store: ClaimStore,
    rate: float,
    rng: random.Random,
    latencies: list[float],
    end_s: float,
) -> None:
    """Start claims with random gaps until the end, then wait for them."""
    running = set()
    while time.monotonic() < end_s:
        await asyncio.sleep(rng.expovariate(rate))
        key = str(rng.getrandbits(128))
        running.add(asyncio.create_task(claim_once(store, key, latencies)))
    await asyncio.gather(*running)


async def claim_once(store: ClaimStore, key: str, latencies: list[float]) -> None:
    """Claim a new key and record a response to it immediately."""
    clock = MonotonicClock()
    started_ms = clock.now_ms()
    deadline_ms = started_ms + CLAIM_DEADLINE_MS
    request = ClaimRequest('service-0', 'tenant-1', key, b'd' * 32, deadline_ms)
    claim = await store.claim(request)
    latencies.append(clock.now_ms() - started_ms)
    headers = {'Content-Type': 'application/json'}
    await store.record(claim, StoredResponse(200, headers, b'r' * RESPONSE_BYTES))


def row_sizes(table: SimulatedTable) -> Point:
    """Return the mean bytes of claim rows and response rows, with their keys."""
    rows = table.rows.values()
    claims = [row for row in rows if row.key.count('/') == 3]
    responses = [row for row in rows if row.key.count('/') == 4]
    return {
        'claim_row_bytes': statistics.mean(
            len(row.key) + len(row.value) for row in claims
        ),
        'response_row_bytes': statistics.mean(
            len(row.key) + len(row.value) for row in responses
        ),
    }


def sheet_point(operations_per_service: int) -> Point:
    """Time the steps that process a new sheet, and return its sizes."""
    text = sheet_text(operations_per_service)
    record = SheetRecord(1, text, 'bench', 0)
    policy = Policy(settings(), 'm0')
    tracker = SheetTracker()
    tracker.offer(1, text, 'bench', 0)
    sheet = tracker.sheet
    return {
        'operations': SERVICES * operations_per_service,
        'row_bytes': len(encode_record(record)),
        'node_parse_ms': median_ms(lambda: SheetTracker().offer(1, text, 'bench', 0)),
        **asyncio.run(longest_turns(text)),
        'node_apply_ms': median_ms(lambda: policy.apply(sheet)),
        'operator_check_ms': median_ms(lambda: load_sheet(text, 'sheet.yaml')),
        'node_memory_bytes': retained_bytes(lambda: tracker_with_sheet(text)),
    }


def tracker_with_sheet(text: str) -> SheetTracker:
    """Return a tracker with a parsed sheet."""
    tracker = SheetTracker()
    tracker.offer(1, text, 'bench', 0)
    return tracker


def median_ms(step: Callable[[], object]) -> float:
    """Return the median CPU time of a step in ms."""
    return (
        statistics.median(cpu_s(step, 1) for _ in range(SHEET_REPETITIONS)) * MS_PER_S
    )


def cpu_s(step: Callable[[], object], count: int) -> float:
    """Return the mean CPU time of a step in seconds."""
    started = time.process_time()
    for _ in range(count):
        step()
    return (time.process_time() - started) / count


def retained_bytes(create: Callable[[], object]) -> int:
    """Return the bytes that stay allocated while a function's result is kept."""
    tracemalloc.start()
    kept = create()
    retained = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return retained


def memory_point(count: int) -> Point:
    """Return the memory of the objects that grow with the number of members."""
    members = [control.make_member(number, 1) for number in range(count)]
    rows = [len(encode_row(MemberRow(member, 1))) for member in members]
    return {
        'members': count,
        'member_table_bytes': control.table_memory(count),
        'router_bytes': retained_bytes(lambda: router_with_calls(members)),
        'home_picker_bytes': retained_bytes(lambda: picker_with_lookups(members)),
        'announcement_row_bytes': statistics.mean(rows),
    }


def router_with_calls(members: list) -> Router:
    """Return a router that has sent calls to all members."""
    router = Router('region-0', 'zone-0', LimitsModel(), random.Random(1))
    for member in members:
        router.member_changed(member, 0)
        for _ in range(100):
            router.on_start(member.node_id, 0)
            router.on_done(member.node_id, 10, 10, ok=True)
    return router


def picker_with_lookups(members: list) -> HomePicker:
    """Return a picker that has looked up the home nodes of many requests."""
    picker = HomePicker(WINDOW_MS)
    for member in members:
        picker.member_up(member.node_id, member.region, 0)
    for number in range(HOME_LOOKUPS):
        picker.home(f'request-{number}', 'region-0', ESTABLISHED_MS)
    return picker


def decision_point(count: int, seeds: int) -> Point:
    """Return the CPU time of each decision in microseconds."""
    members = [control.make_member(number, 1) for number in range(count)]
    router = router_with_calls(members)
    picker = picker_with_lookups(members)
    ledger = RetryLedger(3, WINDOW_MS)
    pace = CommitPace(
        member_table(members),
        tracker_with_sheet(sheet_text(2)),
        Policy(settings(), 'm0'),
    )
    numbers = iter(range(DECISIONS * seeds * 3))
    steps: dict[str, Callable[[], object]] = {
        'choose': lambda: router.choose('service-1', 20_000 + next(numbers)),
        'choose_with_key': lambda: router.choose(
            'service-1', 20_000, affinity=str(next(numbers))
        ),
        'home': lambda: picker.home(
            f'request-{next(numbers)}', 'region-0', ESTABLISHED_MS
        ),
        'ledger_spend': lambda: ledger.spend(f'request-{count}', WINDOW_MS),
        'admission': admission_step(),
    }
    repetitions = DECISIONS * seeds
    timed = {
        f'{name}_us': cpu_s(step, repetitions) * US_PER_S
        for name, step in steps.items()
    }
    pace_us = cpu_s(pace.pause_ms, 100) * US_PER_S
    return {'members': count} | timed | {'commit_pace_us': pace_us}


def admission_step() -> Callable[[], object]:
    """Return a step that offers one call to a busy guard and finishes another.

    All slots are in use and some calls wait, which costs more than a free slot.
    """
    queue = AdmissionQueue(LimitsModel(), FixedLimit(70))
    work_class = WorkClass('lookups', 1, protected=False)
    running = []
    now_ms = 0.0

    def step() -> None:  # noqa: WPS430
        nonlocal now_ms
        now_ms += 0.1
        ticket = Ticket(work_class, 'tenant', 1, 'short', 1, now_ms + 5000, 'read')
        decisions = queue.offer(ticket, now_ms)
        if len(running) >= 70:
            decisions += queue.finish(running.pop(0), now_ms, ok=True)
        running.extend(
            decision.ticket
            for decision in decisions
            if decision.verdict.value == 'start'
        )

    for _ in range(90):
        step()
    return step


def poll_points() -> list[Point]:
    """Measure sheet polls over HTTP against the stand-in platform."""
    with platform_port() as port:
        return [
            asyncio.run(poll_point(port, count)) for count in OPERATIONS_PER_SERVICE
        ]


class CountingStore(HttpTableStore):
    """A table client that counts the bytes of the rows that it reads."""

    def __init__(self, settings: TableModel, session: aiohttp.ClientSession) -> None:
        """Create a client with a byte count of 0."""
        super().__init__(settings, session)
        self.read_bytes = 0

    async def read(self, key: str) -> TableRow | None:
        """Read one row and count the bytes of its value."""
        row = await super().read(key)
        self.read_bytes += len(row.value) if row else 0
        return row


async def poll_point(port: int, operations_per_service: int) -> Point:
    """Poll an unchanged sheet many times and return the mean cost of one poll."""
    async with aiohttp.ClientSession() as session:
        table = CountingStore(TableModel(url=f'http://{HOST}:{port}'), session)
        value = encode_record(
            SheetRecord(1, sheet_text(operations_per_service), 'bench', 0)
        )
        await table.transact(
            [
                TableWrite(SHEET_KEY, value, None),
                TableWrite(VERSION_KEY, b'1', None),
            ]
        )
        tracker = SheetTracker()
        loop = SheetLoop(settings(), MonotonicClock(), table, tracker, str)
        await loop.poll()
        table.read_bytes = 0
        started = time.process_time()
        for _ in range(POLLS):
            await loop.poll()
        poll_ms = (time.process_time() - started) * MS_PER_S / POLLS
    return {
        'operations': SERVICES * operations_per_service,
        'poll_cpu_ms': poll_ms,
        'cpu_share': poll_ms / MS_PER_S / POLL_INTERVAL_S,
        'value_bytes_per_s': table.read_bytes / POLLS / POLL_INTERVAL_S,
    }
