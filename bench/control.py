"""Measure the control cost of one node at several numbers of members.

The node runs the real loops in this process. The other members are loopback
addresses that one counterpart process serves; it responds as they would and sends
the node the probes that it would receive. Full exchanges are measured at a higher
rate and scaled. The spread of a sheet to all nodes is simulated in rounds of probes.
"""

import asyncio
import contextlib
import logging
import multiprocessing
import os
import pathlib
import random
import resource
import socket
import statistics
import sys
import tempfile
import types
import time
import tracemalloc
from collections.abc import Callable
from multiprocessing.process import BaseProcess
from multiprocessing.synchronize import Event

import msgspec
import structlog
from grpclib.server import Server

from gentianmill import control_pb2, member_codec
from gentianmill.clock import MonotonicClock
from gentianmill.errors import GentianmillError
from gentianmill.member import Member, MemberStatus
from gentianmill.membership import MemberTable
from gentianmill.settings_models import MembershipModel, NodeSettingsModel
from gentianmill.sheet_version import SheetTracker
from gentianmill_node.control_client import ControlClient
from gentianmill_node.control_service import ControlHandler, ControlService
from gentianmill_node.member_loop import MemberLoop
from gentianmill_node.sheet_loop import SheetLoop
from gentianmill_node.table_client import TableRow, TableStore, TableWrite

SIZES = (100, 300, 610)
WARM_UP_S = 1
MEASURED_S = 6
FAST_SYNC_MS = 400
FAST_SYNC_MEASURED_S = 4
SYNCS_PER_S = 2 / 60
"""Full exchanges of one node: every 60 s it starts one and receives one."""

PROCESS_LIMIT_S = 50
PEER_KEY = 'peer-key'
OWN_ID = 'm0'
BYTES_PER_KB = 1024
SPREADS_PER_SEED = 5
TARGETS = types.MappingProxyType(
    {'cpu_share': 0.011, 'memory_bytes': 128_000_000, 'bytes_per_s': 25_000}
)
"""Upper bounds of the control cost of a node at the design size."""

CHANGES_PER_DAY = 232
DAY_S = 86400


def make_member(number: int, port: int) -> Member:
    """Return a member; the first one is the node that is measured."""
    return Member(
        node_id=f'm{number}',
        incarnation=1764838800000 + number,
        status=MemberStatus.alive,
        host=f'127.1.{number // 250}.{number % 250 + 1}',
        peer_port=7001,
        control_port=port,
        region=f'region-{number % 2}',
        zone=f'zone-{number % 6}',
        service=f'service-{number % 54}',
        endpoint=f'endpoint-{number}',
        slots=70,
    )


class AnnouncedMembers(TableStore):
    """A table that holds the announcements of all members."""

    def __init__(self, members: list[Member]) -> None:
        """Create the rows."""
        self._no_row: TableRow | None = None
        self._rows = [
            TableRow(
                member_codec.row_key(member.node_id),
                member_codec.encode_row(member_codec.MemberRow(member, 1)),
                1,
            )
            for member in members
        ]

    async def read(self, key: str) -> TableRow | None:
        """Return no row; there is no sheet."""
        return self._no_row

    async def scan(self, prefix: str) -> list[TableRow]:
        """Return the announcements."""
        return self._rows

    async def first_keys(self, prefix: str, limit: int) -> list[str]:
        """Return no keys; there are no claims."""
        return []

    async def transact(self, writes: list[TableWrite]) -> tuple[str, ...]:
        """Accept all writes."""
        return ()


class OtherMembers(ControlHandler):
    """Responses of all other members, behind one listener."""

    def __init__(self, members: list[Member], rng: random.Random) -> None:
        """Create the members."""
        self._updates = [member_codec.to_update(member) for member in members]
        self._count = len(members)
        self._rng = rng

    def sample_updates(self) -> list[control_pb2.MemberUpdate]:
        """Return as many updates as a message carries at the daily rate of changes."""
        per_message = CHANGES_PER_DAY * 30 / DAY_S
        extra = int(self._rng.random() < per_message)
        return self._rng.sample(self._updates, 1 + extra)

    def handle_ping(self, request: control_pb2.PingRequest) -> control_pb2.PingReply:
        """Respond as the target."""
        return control_pb2.PingReply(
            node_id=request.target_id, updates=self.sample_updates()
        )

    async def handle_indirect_ping(
        self, request: control_pb2.IndirectPingRequest
    ) -> control_pb2.IndirectPingReply:
        """Respond that the target was reached."""
        return control_pb2.IndirectPingReply(reached=True)

    def handle_sync(self, request: control_pb2.SyncRequest) -> control_pb2.SyncReply:
        """Respond with all members."""
        return control_pb2.SyncReply(members=self._updates)

    def handle_fetch_sheet(
        self, request: control_pb2.FetchSheetRequest
    ) -> control_pb2.FetchSheetReply:
        """Respond that there is no sheet."""
        return control_pb2.FetchSheetReply()


async def serve_others(size: int, port: int, ready: Event) -> None:
    """Serve the other members and send the node their probes."""
    rng = random.Random(size)
    members = [make_member(number, port) for number in range(1, size)]
    others = OtherMembers(members, rng)
    server = Server([ControlService(PEER_KEY, others)])
    await server.start('0.0.0.0', port)
    ready.set()
    own = make_member(0, port + 1)
    address = (own.host, own.control_port)
    deadline = time.monotonic() + PROCESS_LIMIT_S
    while time.monotonic() < deadline:
        # On average one member probes the node each second, over a new channel.
        client = ControlClient(MonotonicClock(), PEER_KEY)
        request = control_pb2.PingRequest(
            sender_id=f'm{rng.randrange(1, size)}',
            target_id=OWN_ID,
            updates=others.sample_updates(),
        )
        try:
            await client.ping(address, request, 400)
        except GentianmillError:
            await asyncio.sleep(0)
        client.close()
        await asyncio.sleep(rng.expovariate(1))


def run_counterpart(size: int, port: int, ready: Event) -> None:
    """Serve the other members; the entry point of the counterpart process."""
    asyncio.run(serve_others(size, port, ready))


def node_settings(own: Member, key_file: pathlib.Path) -> NodeSettingsModel:
    """Return settings with the default intervals."""
    return NodeSettingsModel.model_validate(
        {
            'node': {'id': own.node_id, 'region': own.region, 'zone': own.zone},
            'upstream': {
                'service': own.service,
                'endpoint': own.endpoint,
                'host': '127.0.0.1',
                'port': 9,
                'slots': own.slots,
                'connections': 530,
            },
            'listeners': {
                'host': own.host,
                'caller_port': 1,
                'egress_port': 2,
                'peer_port': own.peer_port,
                'control_port': own.control_port,
                'operator_port': 5,
            },
            'keys': {
                'peer_key_file': str(key_file),
                'operator_key_file': str(key_file),
            },
            'table': {'url': 'http://127.0.0.1:9'},
        }
    )


class ByteCount:
    """Bytes that the sockets of this process receive and send."""

    def __init__(self) -> None:
        """Start counting at zero."""
        self.received = 0
        self.sent = 0
        self._patch()

    def _patch(self) -> None:
        transport = asyncio.selector_events._SelectorSocketTransport  # noqa: WPS437
        transport.write = _counting(transport.write, self._count_sent)
        protocol = sys.modules['grpclib.protocol'].H2Protocol
        protocol.data_received = _counting(protocol.data_received, self._count_received)

    def _count_sent(self, size: int) -> None:
        self.sent += size

    def _count_received(self, size: int) -> None:
        self.received += size


def _counting(method: Callable, add_bytes: Callable[[int], None]) -> Callable:
    def counted(target: object, chunk: bytes) -> None:  # noqa: WPS430
        add_bytes(len(chunk))
        method(target, chunk)

    return counted


async def measure_node(
    settings: NodeSettingsModel, size: int, traffic: ByteCount, measured_s: float
) -> dict[str, float]:
    """Run one node for a number of seconds and return its cost."""
    port = settings.listeners.control_port - 1
    members = [make_member(number, port) for number in range(1, size)]
    own = make_member(0, port + 1)
    clock = MonotonicClock()
    store = AnnouncedMembers(members)
    sheets = SheetLoop(settings, clock, store, SheetTracker(), lambda sheet: None)
    node = MemberLoop(settings, clock, store, own, lambda member: None, sheets)
    await node.start()
    await sheets.start()
    await asyncio.sleep(WARM_UP_S)
    start = (time.process_time(), time.monotonic(), traffic.received, traffic.sent)
    await asyncio.sleep(measured_s)
    elapsed_s = time.monotonic() - start[1]
    cpu_s = time.process_time() - start[0]
    point = {
        'members': size,
        'syncs_per_s': 1000 / settings.membership.sync_interval_ms,
        'cpu_share': cpu_s / elapsed_s,
        'in_bytes_per_s': (traffic.received - start[2]) / elapsed_s,
        'out_bytes_per_s': (traffic.sent - start[3]) / elapsed_s,
        'alive': sum(
            member.status is MemberStatus.alive for member in node.table.members
        ),
    }
    await sheets.close()
    await node.close()
    return point


def sync_cost(size: int) -> dict[str, float]:
    """Return CPU time and bytes of one full exchange, without the transport."""
    members = [make_member(number, 1) for number in range(size)]
    table = MemberTable(members[0])
    started = time.process_time()
    updates = [member_codec.to_update(member) for member in members]
    encoded = control_pb2.SyncRequest(members=updates).SerializeToString()
    decoded = control_pb2.SyncRequest.FromString(encoded)
    for update in decoded.members:
        table.merge(member_codec.from_update(update), 0)
    cpu_ms = (time.process_time() - started) * 1000
    return {'members': size, 'cpu_ms': cpu_ms, 'bytes': len(encoded)}


def table_memory(size: int) -> int:
    """Return the bytes of a member table."""
    encoded = [msgspec.msgpack.encode(make_member(number, 1)) for number in range(size)]
    tracemalloc.start()
    members = [msgspec.msgpack.decode(row, type=Member) for row in encoded]
    table = MemberTable(members[0])
    for member in members[1:]:
        table.merge(member, 0)
    retained = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return retained


def spread_rounds(size: int, seed: int) -> int:
    """Return the rounds until a sheet has spread from one node to all.

    Each node probes one random member per round; the sheet spreads in both
    directions. The table is not used, as in an outage.
    """
    rng = random.Random(seed)
    informed = {0}
    rounds = 0
    while len(informed) < size:
        rounds += 1
        for node in rng.sample(range(size), size):
            target = rng.randrange(size)
            if node in informed or target in informed:
                informed |= {node, target}
    return rounds


def slope(points: list[dict[str, float]], name: str) -> dict[str, float]:
    """Fit a measure linearly to the number of members."""
    sizes = [point['members'] for point in points]
    fit = statistics.linear_regression(sizes, [point[name] for point in points])
    return {'per_member': fit.slope, 'base': fit.intercept}


def consecutive_ports() -> int:
    """Return the first of two consecutive ports; the second one is free."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1] - 1


class _TerminateOnClose:
    """Terminate a process on close."""

    def __init__(self, process: BaseProcess) -> None:
        self._process = process

    def close(self) -> None:
        self._process.terminate()
        self._process.join()


def combine(pings: dict[str, float], syncs: dict[str, float]) -> dict[str, float]:
    """Add the cost of full exchanges, measured at a higher rate, to that of pings."""
    names = ('cpu_share', 'in_bytes_per_s', 'out_bytes_per_s')
    point = {'members': pings['members'], 'alive': pings['alive']}
    for name in names:
        per_sync = (syncs[name] - pings[name]) / syncs['syncs_per_s']
        point[f'{name}_pings_only'] = pings[name]
        point[f'{name}_per_sync'] = per_sync
        point[name] = pings[name] + SYNCS_PER_S * per_sync
    return point


def measure_size(
    size: int, key_file: pathlib.Path, traffic: ByteCount
) -> dict[str, float]:
    """Measure one node in a deployment with a number of members."""
    port = consecutive_ports()
    context = multiprocessing.get_context('spawn')
    ready = context.Event()
    process = context.Process(
        target=run_counterpart, args=(size, port, ready), daemon=True
    )
    process.start()
    with contextlib.closing(_TerminateOnClose(process)):
        ready.wait(PROCESS_LIMIT_S)
        own = make_member(0, port + 1)
        settings = node_settings(own, key_file)
        pings = asyncio.run(measure_node(settings, size, traffic, MEASURED_S))
        settings.membership.sync_interval_ms = FAST_SYNC_MS
        syncs = asyncio.run(measure_node(settings, size, traffic, FAST_SYNC_MEASURED_S))
    return combine(pings, syncs)


def run(seeds: int) -> dict:
    """Measure all sizes and return the figures.

    Args:
        seeds: Factor on the number of simulated spreads of a sheet.
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    traffic = ByteCount()
    with tempfile.TemporaryDirectory() as directory:
        key_file = pathlib.Path(directory) / 'peer.key'
        key_file.write_text(PEER_KEY)
        points = [measure_size(size, key_file, traffic) for size in SIZES]
    return _report(points, seeds)


def _report(points: list[dict[str, float]], seeds: int) -> dict:
    memory = [{'members': size, 'bytes': table_memory(size)} for size in SIZES]
    peak_rss_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    largest = points[-1]
    traffic = largest['in_bytes_per_s'] + largest['out_bytes_per_s']
    figures = {
        'cpu_share': largest['cpu_share'],
        'memory_bytes': peak_rss_kb * BYTES_PER_KB,
        'bytes_per_s': traffic,
    }
    return {
        'name': 'control',
        'rounds': len(points),
        'load_average': os.getloadavg(),
        'probe_interval_ms': MembershipModel().probe_interval_ms,
        'figures': figures,
        'target': dict(TARGETS),
        'met': all(figures[name] <= bound for name, bound in TARGETS.items()),
        'node': points,
        'sync': [sync_cost(size) for size in SIZES],
        'table_memory': memory,
        'peak_rss_kb': peak_rss_kb,
        'sheet_spread': [
            {
                'members': size,
                'rounds': [
                    spread_rounds(size, seed)
                    for seed in range(SPREADS_PER_SEED * seeds)
                ],
            }
            for size in SIZES
        ],
        'slopes': {
            name: slope(points, name)
            for name in ('cpu_share', 'in_bytes_per_s', 'out_bytes_per_s')
        }
        | {'table_bytes': slope(memory, 'bytes')},
    }
