"""CPU time that nodes on the platform spend on a call, on real processes.

Two node processes follow a stand-in of the store; each has an upstream that responds at
once. Calls are sent in a closed loop on kept connections: through the node whose own
upstream serves them, through two nodes, and to a service that has no upstream, which the
entry refuses. The CPU time of the idle nodes is measured first and subtracted.
"""

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

import aiohttp
from platform_store import FakeStore
from standins.processes import free_ports

from bench.call_cpu import US_PER_S, cpu_s, medians

PROGRAM = Path(__file__).parent.parent / 'platform' / 'run.py'
CALLER_HOST = 'till.example'
HOSTS = ('127.0.1.1', '127.0.1.2')
SERVICES = ('near', 'far')
ABSENT_SERVICE = 'absent'
CALLERS = 4
CALLS_PER_CALLER = 1000
WARM_UP_CALLS = 200
ROUNDS_PER_SEED = 2
IDLE_S = 2
HEARTBEAT_S = 0.5
START_LIMIT_S = 30
SLOTS = 16
TIME_LEFT_MS = 5000
SERVED = b'200'
REFUSED = b'503'


class _InstantUpstream(asyncio.Protocol):
    """Respond to each request at once; requests come one at a time and have no body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._received = b''

    def data_received(self, data: bytes) -> None:
        self._received += data
        if not self._received.endswith(b'\r\n\r\n'):
            return
        _, _, rest = self._received.partition(b'Attempt-Id: ')
        attempt, _, _ = rest.partition(b'\r\n')
        self._received = b''
        self._transport.write(
            b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Signature: s\r\n'
            b'Content-Length: 100\r\n\r\n%b' % (attempt, b'x' * 100)
        )


class _Vm:
    """A node process and its upstream."""

    def __init__(self, folder: Path, host: str, service: str, store_port: int) -> None:
        self.host = host
        ports = free_ports(5)
        ready, control, relay = ports[:3]
        self.entry_port = ports[3]
        self._upstream_port = ports[4]
        self._control = f'{host}:{control}'
        self._ready = f'http://{host}:{ready}/-/ready'
        self._service = service
        self._settings = folder / f'{service}.json'
        addresses = {'outbound': self.entry_port, 'ready': ready}
        self._settings.write_text(
            json.dumps(
                {
                    'node': service,
                    'ip': host,
                    'zone': 'a',
                    'region': 'r',
                    'listenAddrs': {
                        name: f'{host}:{port}' for name, port in addresses.items()
                    }
                    | {'controlPlane': self._control},
                    'internalPortRange': [relay, relay],
                    'appAddr': f'{host}:{self._upstream_port}',
                    'service': service,
                    'platform': {'address': f'127.0.0.1:{store_port}'},
                    'bounds': ['grace=5s'],
                }
            )
        )
        self._process: subprocess.Popen[bytes] | None = None
        self._upstream: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        return self._process.pid if self._process else 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._upstream = await loop.create_server(
            _InstantUpstream, self.host, self._upstream_port
        )
        self._process = subprocess.Popen(
            [sys.executable, str(PROGRAM)],
            env=os.environ | {'GENTIANMILL_NODE_FILE': str(self._settings)},
            stdout=subprocess.DEVNULL,
        )
        self._heartbeats = asyncio.ensure_future(self._report())

    async def close(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._process is not None:
            self._process.kill()
            self._process.wait()
        if self._upstream is not None:
            self._upstream.close()

    async def _report(self) -> None:
        sequence = 0
        async with aiohttp.ClientSession() as session:
            while True:
                sequence += 1
                # A node that is still starting gets the next heartbeat.
                with contextlib.suppress(aiohttp.ClientError):
                    await self._post(session, sequence)
                await asyncio.sleep(HEARTBEAT_S)

    async def _post(self, session: aiohttp.ClientSession, sequence: int) -> None:
        info = {'service': self._service, 'zone': 'a', 'slots': SLOTS}
        heartbeat = {
            'address': f'{self.host}:{self._upstream_port}',
            'born': 1,
            'info': info,
            'status': {'state': 'ready', 'sequence': sequence},
        }
        url = f'http://{self._control}/-/instances/u-{self._service}/heartbeat'
        async with session.post(url, json=heartbeat) as response:
            await response.read()


def run(seeds: int) -> dict:
    """Run the measurement and return its result.

    Args:
        seeds: Number of seeds; two rounds are run for each.
    """
    rounds = asyncio.run(_measure(seeds * ROUNDS_PER_SEED))
    return {
        'name': 'forwarding_cpu',
        'rounds': len(rounds),
        'us_per_call': medians(rounds),
    }


async def _measure(count: int) -> list[dict[str, float]]:
    async with _deployment() as vms:
        entry = vms[0]
        for path in SERVICES:
            await _until_served(entry, path)
            await _send_calls(entry, path, WARM_UP_CALLS, SERVED)
        idle = await _idle_cpu_shares(vms)
        return [await _round(vms, idle) for _ in range(count)]


@contextlib.asynccontextmanager
async def _deployment() -> AsyncIterator[list[_Vm]]:
    with tempfile.TemporaryDirectory() as scratch:
        async with FakeStore() as store:
            store.put('op', 'config', json.dumps(_config()).encode())
            vms = [
                _Vm(Path(scratch), host, service, store.port)
                for host, service in zip(HOSTS, SERVICES, strict=True)
            ]
            try:
                for vm in vms:
                    await vm.start()
                yield vms
            finally:
                for vm in vms:
                    await vm.close()


async def _round(vms: Sequence[_Vm], idle: list[float]) -> dict[str, float]:
    one_node, _ = await _cpu_per_call(vms, 'near', SERVED, idle)
    entry, guard = await _cpu_per_call(vms, 'far', SERVED, idle)
    refused, _ = await _cpu_per_call(vms, ABSENT_SERVICE, REFUSED, idle)
    return {
        'one_node': one_node,
        'entry': entry,
        'guard': guard,
        'two_nodes': entry + guard,
        'refused': refused,
    }


async def _cpu_per_call(
    vms: Sequence[_Vm], path: str, status: bytes, idle: list[float]
) -> list[float]:
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    before = [cpu_s(vm.pid) for vm in vms]
    await asyncio.gather(
        *(_send_calls(vms[0], path, CALLS_PER_CALLER, status) for _ in range(CALLERS))
    )
    elapsed_s = loop.time() - begin_s
    calls = CALLERS * CALLS_PER_CALLER
    return [
        (cpu_s(vm.pid) - start - idle_share * elapsed_s) * US_PER_S / calls
        for vm, start, idle_share in zip(vms, before, idle, strict=True)
    ]


async def _idle_cpu_shares(vms: Sequence[_Vm]) -> list[float]:
    before = [cpu_s(vm.pid) for vm in vms]
    await asyncio.sleep(IDLE_S)
    return [
        (cpu_s(vm.pid) - start) / IDLE_S for vm, start in zip(vms, before, strict=True)
    ]


async def _until_served(entry: _Vm, path: str) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        while True:
            # The node is starting, or does not know the other one yet.
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                await _send_calls(entry, path, 1, SERVED)
                return
            await asyncio.sleep(0.1)


async def _send_calls(entry: _Vm, path: str, calls: int, status: bytes) -> None:
    """Send calls sequentially on one connection.

    Raises:
        ValueError: If a response has another status.
    """
    reader, writer = await asyncio.open_connection(entry.host, entry.entry_port)
    try:
        for number in range(calls):
            writer.write(
                b'GET /%b/items/1 HTTP/1.1\r\nHost: %b\r\nAttempt-Id: %016x\r\n'
                b'Deadline-Ms: %d\r\n\r\n'
                % (path.encode(), CALLER_HOST.encode(), number, TIME_LEFT_MS)
            )
            head = await reader.readuntil(b'\r\n\r\n')
            if head.split(b' ', 2)[1] != status:
                raise ValueError(f'unexpected response {head!r}')
            _, _, length = head.partition(b'Content-Length: ')
            await reader.readexactly(int(length.partition(b'\r\n')[0]))
    finally:
        writer.close()


def _config() -> dict[str, object]:
    rules = [
        {
            'name': service,
            'kind': 'safe',
            'match': {'prefix': f'/{service}/'},
            'action': {'service': service, 'timeout': '5s', 'maxAttempts': 2},
        }
        for service in (*SERVICES, ABSENT_SERVICE)
    ]
    limits = {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 1_000_000,
        'headerTimeout': '3s',
        'idleTimeout': '15s',
    }
    clusters = [
        {'name': service, 'healthCheckPath': '/health', 'maxConnections': 100}
        for service in (*SERVICES, ABSENT_SERVICE)
    ]
    return {
        'version': 1,
        'limits': limits,
        'listeners': [{'host': CALLER_HOST, 'rules': rules}],
        'clusters': clusters,
    }
