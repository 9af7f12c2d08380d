"""Two node processes with a memory limit, their store, and an upstream beside one."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
from aiohttp import web
from gentianmill_node.web_server import WebServer
from platform_store import FakeStore
from standins.processes import HOST, free_ports

ROOT = Path(__file__).parent.parent
CALLER_HOST = 'till.example'
SERVICE = 'back'
SLOTS = 200
HEARTBEAT_S = 0.5
MAX_BODY_BYTES = 64 * 1024 * 1024
BLOCK = b'x' * 65_536
START_LIMIT_S = 60
METRICS_PORT = 9464
MB = 1_000_000
_addresses = itertools.count(1)

ServeConnection = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def _config() -> bytes:
    rules = [
        {
            'name': name,
            'kind': kind,
            'match': {'prefix': f'/{name}/'},
            'action': {'service': SERVICE, 'timeout': '60s', 'maxAttempts': 1},
        }
        for name, kind in (('read', 'safe'), ('pay', 'unsafe'))
    ]
    return json.dumps(
        {
            'version': 1,
            'limits': {
                'maxHeaderBytes': 16_384,
                'maxBodyBytes': MAX_BODY_BYTES,
                'headerTimeout': '3s',
                'idleTimeout': '15s',
            },
            'listeners': [{'host': CALLER_HOST, 'rules': rules}],
            'clusters': [
                {'name': SERVICE, 'healthCheckPath': '/health', 'maxConnections': 500}
            ],
        }
    ).encode()


class NodeProcess:
    """A node as the platform starts it."""

    def __init__(self, name: str, service: str, folder: Path) -> None:
        """Create a node that is not started."""
        self.name = name
        ports = free_ports(4)
        self.entry = ports[0]
        self.ready = ports[1]
        self.control = ports[2]
        self.relay = ports[3]
        self._service = service
        self._file = folder / f'{name}.json'
        self._log = (folder / f'{name}.log').open('w')
        # The metrics port is fixed, so each node needs an address of its own.
        self._ip = f'127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.'
        self._ip += str(next(_addresses))
        self._process: asyncio.subprocess.Process | None = None

    async def start(
        self, limits: dict[str, int], store_port: int, app_port: int
    ) -> None:
        """Start the process."""
        settings = {
            'node': self.name,
            'ip': self._ip,
            'zone': 'a',
            'region': 'r',
            'bootstrap': True,
            'limits': limits,
            'listenAddrs': {
                'outbound': f'{HOST}:{self.entry}',
                'ready': f'{HOST}:{self.ready}',
                'controlPlane': f'{HOST}:{self.control}',
            },
            'internalPortRange': [self.relay, self.relay],
            'appAddr': f'{HOST}:{app_port}',
            'service': self._service,
            'platform': {'address': f'{HOST}:{store_port}'},
        }
        self._file.write_text(json.dumps(settings))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            'platform/run.py',
            cwd=ROOT,
            env={**os.environ, 'GENTIANMILL_NODE_FILE': str(self._file)},
            stdout=self._log,
            stderr=self._log,
        )

    @property
    def service_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses that callers do not use."""
        ports = (self.ready, self.control)
        own = ((self._ip, self.relay), (self._ip, METRICS_PORT))
        return [*((HOST, port) for port in ports), *own]

    @property
    def peak_bytes(self) -> int:
        """Return the most memory that the process has taken."""
        return self._status('VmHWM')

    @property
    def resident_bytes(self) -> int:
        """Return the memory that the process takes now."""
        return self._status('VmRSS')

    @property
    def descriptors(self) -> int:
        """Return the number of descriptors that the process has open."""
        return len(os.listdir(f'/proc/{self._process.pid}/fd'))

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.returncode is None

    def stop(self) -> None:
        """Kill the process."""
        if self._process is not None and self.is_running:
            self._process.send_signal(signal.SIGKILL)

    def _status(self, field: str) -> int:
        status = Path(f'/proc/{self._process.pid}/status').read_text()
        line = next(line for line in status.splitlines() if line.startswith(field))
        return int(line.split()[1]) * 1024


@dataclasses.dataclass
class Payments:
    """Outcomes of the payments that other callers make meanwhile."""

    statuses: list[int] = dataclasses.field(default_factory=list)
    lost: int = 0


class MemoryBed:
    """Nodes ``entry`` and ``back``; the upstream is beside ``back``."""

    def __init__(
        self,
        folder: Path,
        memory_mb: int,
        *,
        max_fds: int | None = None,
        serve: ServeConnection | None = None,
    ) -> None:
        """Create a bed that is not started.

        Args:
            folder: Folder of the settings files and logs.
            memory_mb: Memory that each node may take.
            max_fds: Descriptors that each node may open, or None if the system decides.
            serve: Serves a connection of the upstream, or None for the usual upstream.
        """
        self.entry = NodeProcess('entry', 'front', folder)
        self.back = NodeProcess('back', SERVICE, folder)
        self.nodes = (self.entry, self.back)
        self._limits = {'memoryMb': memory_mb}
        if max_fds is not None:
            self._limits['maxFds'] = max_fds
        self._serve_connection = serve
        self._stack = contextlib.AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> 'MemoryBed':
        """Start everything, and wait until a payment is answered."""
        store = await self._stack.enter_async_context(FakeStore())
        store.put('op', 'config', _config())
        app_port = free_ports(1)[0]
        await self._start_upstream(app_port)
        self._session = await self._stack.enter_async_context(aiohttp.ClientSession())
        for node in self.nodes:
            await node.start(self._limits, store.port, app_port)
        self._tasks.append(asyncio.ensure_future(self._report(app_port)))
        async with asyncio.timeout(START_LIMIT_S):
            while await self.pay() != 200:
                await asyncio.sleep(0.2)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop what was started."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.stop()
        await self._stack.aclose()

    async def pay(self) -> int:
        """Return the status of a payment on a kept connection, or 0 if it was cut."""
        url = f'http://{HOST}:{self.entry.entry}/pay/x'
        headers = {'Host': CALLER_HOST, 'Attempt-Id': os.urandom(8).hex()}
        try:
            async with self._session.post(url, headers=headers, data=b'1') as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def pay_regularly(self, payments: Payments) -> None:
        """Pay twenty times a second until cancelled."""
        while True:
            payments.statuses.append(await self.pay())
            await asyncio.sleep(0.05)

    async def open(self, head: str) -> 'Caller':
        """Return a caller that has sent a head to the entry."""
        reader, writer = await asyncio.open_connection(
            HOST, self.entry.entry, limit=65_536
        )
        attempt = os.urandom(8).hex()
        writer.write(
            f'{head}\r\nHost: {CALLER_HOST}\r\nAttempt-Id: {attempt}\r\n'.encode()
        )
        return Caller(reader, writer)

    async def _start_upstream(self, app_port: int) -> None:
        if self._serve_connection is not None:
            server = await asyncio.start_server(self._serve_connection, HOST, app_port)
            self._stack.callback(server.close)
            return
        app = web.Application(client_max_size=MAX_BODY_BYTES * 2)
        app.router.add_route('*', '/{tail:.*}', _serve)
        upstream = WebServer()
        await upstream.start('upstream', app, HOST, app_port, None)
        self._stack.push_async_callback(upstream.close)

    async def _report(self, app_port: int) -> None:
        born = 1_700_000_000_000
        for sequence in itertools.count(1):
            beat = {
                'address': f'{HOST}:{app_port}',
                'born': born,
                'info': {'service': SERVICE, 'zone': 'a', 'slots': SLOTS},
                'status': {'state': 'ready', 'sequence': sequence},
            }
            url = f'http://{HOST}:{self.back.control}/-/instances/u1/heartbeat'
            with contextlib.suppress(aiohttp.ClientError):
                async with self._session.post(url, json=beat) as response:
                    await response.read()
            await asyncio.sleep(HEARTBEAT_S)


@dataclasses.dataclass
class Caller:
    """A connection of a caller."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read(self, bytes_per_s: float) -> tuple[int, int, int]:
        """Read a response slowly; return status, told length and bytes of the body."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        status = int(head.split()[1])
        length = -1
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                length = int(line.split(b':')[1])
        received = 0
        started_s = asyncio.get_running_loop().time()
        while received < length or length < 0:
            piece = await self.reader.read(65_536)
            if not piece:
                break
            received += len(piece)
            due_s = started_s + received / bytes_per_s
            await asyncio.sleep(max(due_s - asyncio.get_running_loop().time(), 0))
        return status, length, received

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def _serve(request: web.Request) -> web.StreamResponse:
    await request.read()
    headers = {'Attempt-Id': request.headers['Attempt-Id'], 'Server-Signature': 's'}
    if request.path.endswith('/endless'):
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        while True:
            await response.write(BLOCK)
    length = int(request.query.get('bytes', 2))
    return web.Response(body=b'x' * length, headers=headers)
