"""Stand-ins for the platform, endpoints and clients, and nodes as processes.

Everything here follows `../given/kit/more/system/PROTOCOL.md` and `DEPLOY.md`. It uses the
standard library alone.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import signal
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS = {'inbound': 8300, 'outbound': 8304, 'ready': 8302, 'controlPlane': 8306}
APP_PORT = 8301
STORE_PORT = 8309
FIRST_STORE_ADDRESS = 100
FIRST_INTERNAL_PORT = 7620
LAST_INTERNAL_PORT = 7635
HOST = 'hulo84.example'
HEARTBEAT_S = 1.5
MEGABYTE = 1_000_000


def network() -> str:
    """Return the first three bytes of loopback addresses that nobody else uses."""
    pid = os.getpid()
    return f'127.{40 + pid % 180}.{pid // 180 % 250}'


class Record:
    """Writes what was sent, answered and run to a file, with the time of the test."""

    def __init__(self, path: Path) -> None:
        """Begin an empty file."""
        self._file = path.open('w')
        self._begin = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{time.monotonic() - self._begin:8.3f} s  {text}\n')
        self._file.flush()


@dataclasses.dataclass
class Message:
    """A request or a response."""

    first: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1')[:-4].split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return Message(first, {name.lower(): text.strip() for name, _, text in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with a length, or None at the end of the connection."""
    message = await read_head(reader)
    if message is not None:
        length = int(message.headers.get('content-length', 0))
        try:
            message.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return message


def encode(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    return '\r\n'.join([*lines, '', '']).encode() + body


class Store:
    """The platform's metadata store: rows with versions from one counter."""

    def __init__(self, ip: str) -> None:
        """Start empty."""
        self.ip = ip
        self.version = 0
        self.rows: dict[tuple[str, str], dict] = {}
        self.on_write: Callable[[dict], Awaitable[str]] | None = None
        """Returns 'lose' if the answer of a write call is to be lost, 'hold' if it is to
        be done later and its answer lost, or ''."""

        self.held: list[dict] = []
        self.turned_away: set[str] = set()
        """Own addresses of the store at which all calls are answered with 503. Each
        machine that is added with ``address_for`` calls at one of its own."""

        self.is_down = False
        """Whether all calls are answered with 503, as nothing is done."""

        self._changed = asyncio.Event()
        self._begin = time.monotonic()
        self._servers: list[asyncio.Server] = []
        self._addresses = [ip]

    def address_for(self, number: int) -> str:
        """Return an own address of the store for a machine; call it before the start."""
        network, _, _ = self.ip.rpartition('.')
        address = f'{network}.{FIRST_STORE_ADDRESS + number}'
        self._addresses.append(address)
        return address

    async def start(self) -> None:
        """Listen."""
        for address in self._addresses:
            server = await asyncio.start_server(self._serve, address, STORE_PORT)
            self._servers.append(server)

    def recover(self) -> None:
        """End an outage."""
        self.is_down = False

    def put(self, table: str, key: str, content: bytes) -> None:
        """Write a row, as the operator does."""
        self._write(table, key, base64.b64encode(content).decode())

    def content(self, table: str, key: str) -> bytes | None:
        """Return the content of a row, or None."""
        row = self.rows.get((table, key))
        if row is None or row['tombstone']:
            return None
        return base64.b64decode(row['value'])

    def _write(self, table: str, key: str, value: str, *, gone: bool = False) -> None:
        self.rows[table, key] = {
            'table': table,
            'part': '',
            'key': key,
            'value': value,
            'rowVersion': self.version + 1,
            'tombstone': gone,
        }

    def _commit(self) -> None:
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            address, _ = writer.get_extra_info('sockname')
            while (request := await read_message(reader)) is not None:
                is_refused = address in self.turned_away
                answer = None if is_refused else await self._answer(request)
                if address in self.turned_away:
                    answer = encode(503, b'')
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
        writer.close()

    async def _answer(self, request: Message) -> bytes | None:
        if self.is_down:
            return encode(503, b'')
        _, target, _ = request.first.split()
        path, _, text = target.partition('?')
        query = dict(pair.split('=', 1) for pair in text.split('&') if pair)
        if path == '/-/rows-get':
            return self._get(query)
        if path == '/-/rows-feed':
            return await self._feed(query)
        if path != '/-/rows-tx':
            return encode(404, b'')
        entries = json.loads(request.body)
        fate = await self.on_write(entries) if self.on_write else ''
        if fate == 'hold':
            self.held.append(entries)
            return None
        answer = self.apply(entries)
        return None if fate == 'lose' else answer

    def _page(self, rows: list[dict]) -> bytes:
        now_ms = int((time.monotonic() - self._begin) * 1000)
        page = {
            'rows': rows,
            'rowVersion': self.version,
            'now': f'{now_ms}ms',
            'hasMore': False,
        }
        headers = {'Content-Type': 'application/json'}
        return encode(200, json.dumps(page).encode(), headers)

    def _get(self, query: dict[str, str]) -> bytes:
        first = query.get('from', '').replace('%00', '\0')
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query['table'] and key >= first and not row['tombstone']
        ]
        return self._page(rows)

    async def _feed(self, query: dict[str, str]) -> bytes:
        after, end = (
            int(query['after']),
            time.monotonic() + int(query.get('waitMs', 0)) / 1000,
        )
        while True:
            rows = [
                row
                for (table, _), row in self.rows.items()
                if table == query['table'] and row['rowVersion'] > after
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return self._page(sorted(rows, key=lambda row: row['rowVersion']))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
            if self.is_down:
                return encode(503, b'')

    def apply(self, entries: dict) -> bytes:
        """Do a transaction if its conditions hold, and return the answer."""
        for expected in entries.get('expectedRevision', ()):
            row = self.rows.get((expected['table'], expected['key']))
            version = row['rowVersion'] if row and not row['tombstone'] else 0
            if version != expected['rowVersion']:
                found = [row] if version else []
                body = json.dumps({'rows': found, 'rowVersion': self.version})
                return encode(412, body.encode())
        for row in entries.get('writes', ()):
            self._write(row['table'], row['key'], row['value'])
        for row in entries.get('remove', ()):
            self._write(row['table'], row['key'], '', gone=True)
        self._commit()
        now_ms = int((time.monotonic() - self._begin) * 1000)
        body = json.dumps({'rowVersion': self.version, 'now': f'{now_ms}ms'})
        return encode(200, body.encode())

    def configure(self, version: int, rules: list[dict], services: list[str]) -> None:
        """Write a configuration, as the operator does."""
        config = {
            'version': version,
            'listeners': [{'host': HOST, 'rules': rules}],
            'clusters': [
                {'name': name, 'healthCheckPath': '/health', 'maxConnections': 532}
                for name in services
            ],
            'limits': LIMITS,
        }
        self.put('op', 'config', json.dumps(config).encode())
        self._commit()


LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 1048576,
    'headerTimeout': '5s',
    'idleTimeout': '15s',
}


def rule(
    name: str,
    service: str,
    kind: str,
    timeout: str,
    *,
    attempts: int = 2,
    target: str = '2s',
    priority: int = 1,
) -> dict:
    """Return a rule of the configuration."""
    return {
        'name': name,
        'match': {'prefix': f'/{name}/'},
        'kind': kind,
        'priority': priority,
        'targetLatency': target,
        'action': {'service': service, 'timeout': timeout, 'maxAttempts': attempts},
    }


class Node:
    """A machine with a node of the project, as a process of its own."""

    def __init__(self, name: str, ip: str, service: str, store: Store, folder: Path):
        """Create a node that is not started."""
        self.name = name
        self.ip = ip
        self.service = service
        self.zone = 'puget-a'
        self.memory_mb = 300
        self.link_mbps = 1000.0
        self.is_first_start = True
        self.store_ip = store.ip
        self._folder = folder
        self._processes: list[subprocess.Popen[bytes]] = []

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """Return the process that was started last."""
        return self._processes[-1]

    def start(self) -> None:
        """Start the program as the deploy file says."""
        settings = self._folder / f'{self.name}.json'
        settings.write_text(json.dumps(self._settings()))
        role = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'GENTIANMILL_NODE_FILE': str(settings),
        }
        with (self._folder / f'{self.name}.log').open('ab') as log:
            process = subprocess.Popen(
                role['roles']['node']['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        self.is_first_start = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        self.process.wait()

    def close(self) -> None:
        """End all processes."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    async def until_ready(self, limit_s: float = 20) -> None:
        """Wait until the node says that it is ready."""
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            async with asyncio.timeout(1):
                answer = await call(
                    self.ip, PORTS['ready'], b'GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n'
                )
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    def resident_mb(self) -> float:
        """Return the memory that the process takes, in MB."""
        pages = Path(f'/proc/{self.process.pid}/statm').read_text().split()[1]
        return int(pages) * os.sysconf('SC_PAGE_SIZE') / MEGABYTE

    def log_text(self) -> str:
        """Return what the processes wrote."""
        return (self._folder / f'{self.name}.log').read_text(errors='replace')

    def _settings(self) -> dict:
        return {
            'node': self.name,
            'role': 'node',
            'machineClass': 'sidecar',
            'serves': ['sidecar'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'puget',
            'zones': {'puget-a': 'puget', 'puget-b': 'puget'},
            'listenAddrs': {kind: f'{self.ip}:{port}' for kind, port in PORTS.items()},
            'internalPortRange': [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
            'seeds': [],
            'bootstrap': self.is_first_start,
            'limits': {
                'cpuShare': 0.86,
                'cpuCores': 2,
                'memoryMb': self.memory_mb,
                'maxFds': 4100,
                'linkMbps': self.link_mbps,
                'diskMb': 0,
            },
            'dataDir': None,
            'heartbeat': '1500ms',
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover'],
            'bounds': [
                'contact=4000ms',
                'ack=4000ms',
                'drain=2500ms',
                'grace=6s',
                'lossSlack=200ms',
                'configApply=2500ms',
                'rollbackSlack=250ms',
                'retryBudgetRatio=0.2',
                'budgetWindow=10s',
                'retryBudgetSlack=50',
                'recovery=15s',
            ],
            'appAddr': f'{self.ip}:{APP_PORT}',
            'service': self.service,
            'platform': {'address': f'{self.store_ip}:{STORE_PORT}', 'form': 'table'},
        }


async def call(ip: str, port: int, request: bytes) -> Message | None:
    """Send a request on a new connection and return the answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    writer.write(request)
    try:
        return await read_message(reader)
    finally:
        writer.close()


Work = Callable[['Endpoint', Message], Awaitable[bytes]]


class Endpoint:
    """An application endpoint beside a node."""

    def __init__(self, node: Node, record: Record, work: Work, slots: int = 72) -> None:
        """Create an endpoint that is not started."""
        self.node = node
        self.id = f'i-{node.name}'
        self.slots = slots
        self.runs: list[tuple[str, float]] = []
        """Ids of the requests that ran, and when they began."""

        self.sequence = 0
        self.born = 0
        self.state = 'ready'
        self._record = record
        self._work = work
        self._server: asyncio.Server | None = None
        self._reports: asyncio.Task[None] | None = None
        self._address = ''
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Serve, and send heartbeats."""
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self._server = await asyncio.start_server(self._serve, self.node.ip, APP_PORT)
        self._reports = asyncio.ensure_future(self._report_regularly())

    def stop_reports(self) -> None:
        """Send no more heartbeats."""
        self._reports.cancel()

    def close(self) -> None:
        """End."""
        self._reports.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def heartbeat(self) -> bytes:
        """Return the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                'address': f'{self.node.ip}:{APP_PORT}',
                'born': self.born,
                'info': {
                    'service': self.node.service,
                    'version': 'v1',
                    'zone': self.node.zone,
                    'slots': self.slots,
                },
                'status': {
                    'state': self.state,
                    'sequence': self.sequence,
                    'coldRemaining': '0ms',
                },
            }
        ).encode()

    async def report(self, verb: str, body: bytes) -> bool:
        """Send a heartbeat or a leave; return whether it was acknowledged."""
        ip, _, port = self._address.partition(':')
        head = (
            f'POST /-/instances/{self.id}/{verb} HTTP/1.1\r\nHost: n\r\n'
            f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        try:
            async with asyncio.timeout(1):
                answer = await call(
                    ip or self.node.ip,
                    int(port or PORTS['controlPlane']),
                    head.encode() + body,
                )
        except (OSError, TimeoutError):
            answer = None
        if answer is None or answer.status != 200:
            self._address = ''
            return False
        self._address = json.loads(answer.body).get('heartbeatAddr', self._address)
        return True

    async def _report_regularly(self) -> None:
        while True:
            is_acknowledged = await self.report('heartbeat', self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S if is_acknowledged else 0.2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                writer.write(await self._run(request))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _run(self, request: Message) -> bytes:
        attempt = request.headers.get('attempt-id', '')
        echo = {'Attempt-Id': attempt}
        if request.headers.get('expected-instance', self.id) != self.id:
            return encode(421, b'', echo | {'Instance-Id': self.id})
        if not attempt:
            return encode(400, b'', {'Not-Executed': '1'})
        self.runs.append((attempt, time.monotonic()))
        self._record.write(f'endpoint {self.id} runs {attempt}')
        body = await self._work(self, request)
        return encode(200, body, echo | {'Server-Signature': f'sig.{attempt}'})


class Deployment:
    """A small deployment: the store, and machines with a node and an endpoint each."""

    def __init__(self, folder: Path, name: str = 'record.txt') -> None:
        """Create a deployment without machines."""
        self.record = Record(folder / name)
        self._network = network()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store(f'{self._network}.250')
        self.nodes: list[Node] = []
        self.endpoints: list[Endpoint] = []

    def add(self, service: str, work: Work, slots: int = 72) -> Endpoint:
        """Add a machine that is not started."""
        number = len(self.nodes) + 1
        ip = f'{self._network}.{number}'
        node = Node(f'sidecar-{number}', ip, service, self.store, self.folder)
        endpoint = Endpoint(node, self.record, work, slots)
        self.nodes.append(node)
        self.endpoints.append(endpoint)
        return endpoint

    async def start(self, settle_s: float = 5) -> None:
        """Start everything, and wait until the nodes know each other."""
        await self.store.start()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.until_ready()
        for endpoint in self.endpoints:
            await endpoint.start()
        await asyncio.sleep(settle_s)
        self.record.write(f'{len(self.nodes)} nodes are ready')

    def close(self) -> None:
        """End everything."""
        for endpoint in self.endpoints:
            with contextlib.suppress(AttributeError):
                endpoint.close()
        for node in self.nodes:
            if node._processes:
                node.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for log in self.folder.glob('*.log'):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Platform:
    """Kills a process that takes more memory than its machine has, and restarts it."""

    check_s = 0.05
    restart_s = 0.5
    fewest_ends = 3
    fewest_machines = 2
    machine_share = 0.1

    def __init__(self, deployment: Deployment) -> None:
        """Watch the nodes of a deployment."""
        self._deployment = deployment
        self.ends = {node.name: 0 for node in deployment.nodes}
        self.peaks = {node.name: 0.0 for node in deployment.nodes}

    @property
    def is_broken(self) -> bool:
        """Return whether processes ended by themselves too often for a day to count."""
        machines = sum(count >= self.fewest_ends for count in self.ends.values())
        share = self.machine_share * len(self.ends)
        return machines >= max(self.fewest_machines, share)

    async def watch(self) -> None:
        """Compare the memory of each process with the limit in its settings."""
        while True:
            await asyncio.sleep(self.check_s)
            for node in self._deployment.nodes:
                self._check(node)

    def report(self) -> None:
        """Write down how often processes ended, and what they took at most."""
        for node in self._deployment.nodes:
            self._deployment.record.write(
                f'{node.name}: {self.ends[node.name]} ends, most memory '
                f'{self.peaks[node.name]:.0f} of {node.memory_mb} MB'
            )
        verdict = 'broken' if self.is_broken else 'held'
        self._deployment.record.write(f'Fault {verdict}')

    def _check(self, node: Node) -> None:
        if node.process.poll() is not None:
            return
        taken_mb = node.resident_mb()
        self.peaks[node.name] = max(self.peaks[node.name], taken_mb)
        if taken_mb <= node.memory_mb:
            return
        self.ends[node.name] += 1
        self._deployment.record.write(
            f'{node.name} takes {taken_mb:.0f} of {node.memory_mb} MB and is killed'
        )
        node.kill()
        asyncio.get_running_loop().call_later(self.restart_s, node.start)
