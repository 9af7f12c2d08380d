"""An upstream beside a deployed node, and callers that account for each request."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import random
from urllib.parse import parse_qs, urlsplit

from deployed_node import PORTS, UPSTREAM_PORT, DeployedNode

HOST_HEADER = 'till.example'
HEARTBEAT_S = 0.5
CRASH_PREFIX = '/read/crash'
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class HttpMessage:
    """A request or a response that was received as a whole."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Return the next message with a length, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    try:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return HttpMessage(first, headers, body)


class DeployedUpstream:
    """Runs requests as long as their query says, and reports to its node."""

    def __init__(self, node: DeployedNode, slots: int = 24) -> None:
        """Create an upstream of the node's service that does not listen yet."""
        self.slots = slots
        self.runs: collections.Counter[str] = collections.Counter()
        self.run_times: list[float] = []
        """Times at which requests began to run, in s."""

        self.crashes = 0
        self.upstream_id = ''
        self.heartbeats_acknowledged = 0
        self.follows_address = True
        """Whether heartbeats go to the address that the last response names."""

        self._named = ''
        self._node = node
        self._born = 1_700_000_000_000
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._reporting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and report regularly; each start is a new one to the node."""
        self._born += 1
        self._sequence = 0
        self.upstream_id = f'u-{self._node.name}-{self._born}'
        self._server = await asyncio.start_server(
            self._serve, self._node.ip, UPSTREAM_PORT
        )
        self._reporting = asyncio.ensure_future(self._report_regularly())

    async def stop(self) -> None:
        """End at once, as after a crash."""
        self._reporting.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop_reports(self) -> None:
        """Report nothing more."""
        self._reporting.cancel()

    def heartbeat(self) -> bytes:
        """Return the next heartbeat."""
        self._sequence += 1
        info = {
            'service': self._node.service,
            'version': 'v1',
            'zone': 'a',
            'slots': self.slots,
        }
        status = {'state': 'ready', 'sequence': self._sequence}
        return json.dumps(
            {
                'address': f'{self._node.ip}:{UPSTREAM_PORT}',
                'born': self._born,
                'info': info,
                'status': status,
            }
        ).encode()

    async def report(self, verb: str, body: bytes, address: str = '') -> bool:
        """Send a heartbeat or a leave, and return whether it was acknowledged.

        Args:
            verb: ``heartbeat`` or ``leave``.
            body: The body.
            address: Host and port, by default those in the node's settings.
        """
        host, _, port = address.partition(':')
        head = (
            f'POST /-/instances/{self.upstream_id}/{verb} HTTP/1.1\r\nHost: node\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    host or self._node.ip, port or PORTS['controlPlane']
                )
                writer.write(head.encode() + body)
                response = await read_message(reader)
                writer.close()
        except OSError:
            return False
        if response is None or response.status != 200:
            return False
        named = json.loads(response.body).get('heartbeatAddr', '')
        if self.follows_address and named:
            self._named = named
        return True

    async def _report_regularly(self) -> None:
        while True:
            if await self.report('heartbeat', self.heartbeat(), self._named):
                self.heartbeats_acknowledged += 1
            elif self._named:
                self._named = ''
                continue
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                if not await self._run(request, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def _run(self, request: HttpMessage, writer: asyncio.StreamWriter) -> bool:
        target = urlsplit(request.first_line.split()[1])
        request_id = request.headers.get('attempt-id', '')
        if request.headers.get('expected-instance') != self.upstream_id:
            writer.write(_response(421, request_id, b'', 'Not-Executed: 1\r\n'))
            return True
        self.runs[request_id] += 1
        self.run_times.append(asyncio.get_running_loop().time())
        if target.path.startswith(CRASH_PREFIX):
            self.crashes += 1
            await self.stop()
            return False
        work_ms = float(parse_qs(target.query).get('work', ['5'])[0])
        await asyncio.sleep(work_ms / 1000)
        writer.write(_response(200, request_id, request_id.encode()))
        return True


def _response(status: int, request_id: str, body: bytes, more: str = '') -> bytes:
    return (
        f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n'
        f'Attempt-Id: {request_id}\r\nServer-Signature: s.{request_id}\r\n{more}\r\n'
    ).encode() + body


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended for its caller."""

    request_id: str
    unsafe: bool
    status: int
    """0 if the connection was closed without an answer."""

    body: bytes
    at_s: float


class KeptCallers:
    """Callers that use their connections until these are closed."""

    def __init__(self, seed: int) -> None:
        """Create callers that do not send."""
        self.outcomes: list[Outcome] = []
        self.unconnected = 0
        self._rng = random.Random(seed)
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopping = False

    def add(
        self, node: DeployedNode, count: int, work_ms: int, pause_s: float = 0.1
    ) -> None:
        """Let callers of a node send until ``stop``.

        Args:
            node: Their node.
            count: Number of callers, each with one connection.
            work_ms: Time in ms for which the upstream runs each request.
            pause_s: Mean pause between two requests of a caller, in s.
        """
        for _ in range(count):
            sending = self._send_regularly(node, work_ms, pause_s)
            self._tasks.append(asyncio.ensure_future(sending))

    async def stop(self) -> None:
        """Wait for the requests under way and send no more."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)

    def count(self, *statuses: int) -> int:
        """Return how many requests ended with one of some statuses."""
        return sum(outcome.status in statuses for outcome in self.outcomes)

    def violations(self, upstreams: list[DeployedUpstream]) -> list[str]:
        """Return a line for each request that was lost, repeated or answered wrongly."""
        runs: collections.Counter[str] = collections.Counter()
        for upstream in upstreams:
            runs.update(upstream.runs)
        return [
            f'{outcome.request_id}: {fault}'
            for outcome in self.outcomes
            if (fault := _fault(outcome, runs[outcome.request_id]))
        ]

    async def _send_regularly(
        self, node: DeployedNode, work_ms: int, pause_s: float
    ) -> None:
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self._is_stopping:
            await asyncio.sleep(self._rng.uniform(0, 2 * pause_s))
            if connection is None:
                connection = await self._connect(node)
            if connection is not None:
                keeps_alive = await self._send(*connection, work_ms)
                if not keeps_alive:
                    connection[1].close()
                    connection = None
        if connection is not None:
            connection[1].close()

    async def _connect(
        self, node: DeployedNode
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        try:
            async with asyncio.timeout(1):
                return await asyncio.open_connection(node.ip, PORTS['outbound'])
        except OSError:
            self.unconnected += 1
            return None

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, work_ms: int
    ) -> bool:
        """Send a request, and return whether the connection may be used again."""
        unsafe = self._rng.random() < 0.5
        request_id = f'{self._rng.getrandbits(64):016x}'
        method, route, body = (
            ('POST', 'pay', b'x' * 200) if unsafe else ('GET', 'read', b'')
        )
        writer.write(
            f'{method} /{route}/x?work={work_ms} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n'
            f'Attempt-Id: {request_id}\r\nDeadline-Ms: 5000\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        try:
            async with asyncio.timeout(10):
                response = await read_message(reader)
        except TimeoutError:
            response = None
        status = response.status if response else 0
        answer = response.body if response else b''
        now_s = asyncio.get_running_loop().time()
        self.outcomes.append(Outcome(request_id, unsafe, status, answer, now_s))
        return response is not None and response.headers.get('connection') != 'close'


async def send_read(node: DeployedNode, path: str) -> int:
    """Send a read on a new connection; return its status, or 0 without an answer."""
    reader, writer = await asyncio.open_connection(node.ip, PORTS['outbound'])
    request_id = f'{random.getrandbits(64):016x}'
    writer.write(
        f'GET {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n'
        f'Attempt-Id: {request_id}\r\nDeadline-Ms: 5000\r\n\r\n'.encode()
    )
    response = await read_message(reader)
    writer.close()
    return response.status if response else 0


def _fault(outcome: Outcome, runs: int) -> str:
    if outcome.unsafe and runs > 1:
        return f'ran {runs} times'
    if outcome.unsafe and outcome.status in NOT_RUN_STATUSES and runs:
        return f'refused with {outcome.status} and has run'
    if not outcome.status and runs:
        return 'ran, and its connection was closed without an answer'
    if outcome.status == 200 and outcome.body != outcome.request_id.encode():
        return f'answered with {outcome.body[:40]!r}'
    return ''
