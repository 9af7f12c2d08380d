"""One VM: a node process, its upstream, and the proxies to the upstream and store."""

import asyncio
import json
import math
import os
import random
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

import aiohttp
from aiohttp import web
from fault_proxy import FaultProxy
from fault_soak.broken_responses import RawResponse, BrokenResponses, complete_response
from gentianmill_node.direct_server import direct_server
from gentianmill_node.web_server import WebServer

ROOT = Path(__file__).parent.parent.parent
NODE_PROGRAM = Path(__file__).parent / 'node_program.py'
METRICS_PORT = 9464
PORTS = {'inbound': 8300, 'outbound': 8304, 'ready': 8302, 'controlPlane': 8306}
RELAY_PORT = 7620
UPSTREAM_PORT = 8400
SLOTS = 12
GRACE = '5s'
HEARTBEAT_S = 0.3
WORK_RANGE_S = (0.005, 0.08)
UNSAFE_PREFIX = '/pay/'
DROPPED_SHARE = 0.3
REFUSED_SHARE = 0.2
BROKEN_SHARE = 0.3
RETRY_SLACK = 5
MEMORY_MB = 200
DRAIN_S = 2.5
"""Time after an acknowledged leave in which requests may still arrive."""

LARGE_MARK = 'large'
LARGE_REPEATS = 100_000
"""Repetitions of the body of a large response, some 1 MB."""
_PEAK_MEMORY = re.compile(r'^VmHWM:\s+(\d+) kB', re.MULTILINE)
_RULES_VERSION = re.compile(r'^gentianmill_rules_version\S* (\S+)$', re.MULTILINE)


class Upstream:
    """Run and record requests; drop or break some responses on demand."""

    def __init__(self, ip: str, service: str, rng: random.Random) -> None:
        """Create an upstream that does not listen yet."""
        self.upstream_id = f'u-{ip}'
        self.ran: dict[str, int] = {}
        self.violations: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        """Time and id of each request that arrived, including the refused ones."""

        self.left_s = math.inf
        """Time at which the upstream's leave was acknowledged."""

        self.dropping_responses = False
        self.breaking_responses = False
        self._broken_responses = BrokenResponses(rng)
        self._ip = ip
        self._service = service
        self._rng = rng
        self._web = WebServer()

    async def start(self) -> None:
        """Listen."""
        server = direct_server(self._serve, 1_000_000, decompress=False)
        await self._web.start('upstream', server, self._ip, UPSTREAM_PORT, None)

    async def close(self) -> None:
        """Stop listening."""
        await self._web.close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get('Attempt-Id', '')
        if request.headers.get('Expected-Instance') != self.upstream_id:
            self.violations.append(f'{request_id}: sent to the wrong upstream')
        if request.headers.get('Caller-Service') is None:
            self.violations.append(f'{request_id}: no name of the calling service')
        now_s = asyncio.get_running_loop().time()
        self.arrivals.append((now_s, request_id))
        if now_s - self.left_s > DRAIN_S:
            self.violations.append(f'{request_id}: sent to an upstream that has left')
        if self.breaking_responses and self._rng.random() < REFUSED_SHARE:
            return self._broken_responses.refuse(request_id)
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        await asyncio.sleep(self._rng.uniform(*WORK_RANGE_S))
        if self.dropping_responses and self._rng.random() < DROPPED_SHARE:
            request.transport.abort()
            raise ConnectionResetError
        repeats = LARGE_REPEATS if LARGE_MARK in request.path else 20
        body = f'{request_id} {self._service}'.encode() * repeats
        if self.breaking_responses and self._rng.random() < BROKEN_SHARE:
            return await self._broken_responses.choose().respond(
                request, request_id, body
            )
        return RawResponse(complete_response(request_id, body))


class Vm:
    """A VM of the deployment."""

    def __init__(
        self, folder: Path, ip: str, service: str, store_port: int, rng: random.Random
    ) -> None:
        """Create a VM whose processes are not started yet."""
        self.name = f'vm-{ip}'
        self.ip = ip
        self.service = service
        self.upstream = Upstream(ip, service, rng)
        self.upstream_proxy = FaultProxy(UPSTREAM_PORT, ip)
        self.store_proxy = FaultProxy(store_port)
        self.unexpected_exits: list[int] = []
        """Exit codes of node processes that ended without being stopped."""

        self.heartbeat_delay_s = 0.0
        self.peak_memory_bytes = 0
        """Most memory that a node process has taken, as last seen."""

        self._folder = folder
        self._sequence = 0
        self._born = 1
        self._late_heartbeats: set[asyncio.Task[None]] = set()
        self._process: subprocess.Popen[bytes] | None = None
        self._log: IO[bytes] | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    @property
    def entry(self) -> str:
        """Return the URL to which callers send."""
        return f'http://{self.ip}:{PORTS["outbound"]}'

    @property
    def log_file(self) -> Path:
        """Return the path of the log of the node."""
        return self._folder / f'{self.name}.log'

    async def start(self) -> None:
        """Start the proxies, the upstream, the node and the heartbeats."""
        await self.upstream_proxy.start()
        await self.store_proxy.start()
        await self.upstream.start()
        self.start_node()
        self._heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    def start_node(self) -> None:
        """Start the node process."""
        settings = self._folder / f'{self.name}.json'
        settings.write_text(json.dumps(self._settings()))
        if self._log is not None:
            self._log.close()
        self._log = self.log_file.open('ab')
        self._process = subprocess.Popen(
            [sys.executable, str(NODE_PROGRAM)],
            env=os.environ | {'GENTIANMILL_NODE_FILE': str(settings)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the node process if it is running."""
        self.measure_memory()
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)

    def measure_memory(self) -> None:
        """Note the peak memory of the node process if it is running."""
        if self._process is None:
            return
        try:
            status = Path(f'/proc/{self._process.pid}/status').read_text()
        except OSError:
            # The process has ended.
            return
        found = _PEAK_MEMORY.search(status)
        if found:
            peak = int(found.group(1)) * 1024
            self.peak_memory_bytes = max(self.peak_memory_bytes, peak)

    async def leave(self) -> bool:
        """Let the upstream leave, and return whether the node acknowledged it."""
        url = self._instance_url('leave')
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with aiohttp.ClientSession() as session:
                async with session.post(
                    url, json={'born': self._born}, timeout=timeout
                ) as response:
                    acknowledged = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            # The node is down.
            return False
        if acknowledged:
            self.upstream.left_s = asyncio.get_running_loop().time()
        return acknowledged

    def restart_upstream(self) -> None:
        """Start the upstream again, under its id."""
        self._born += 1
        self._sequence = 0
        self.upstream.left_s = math.inf

    def _instance_url(self, verb: str) -> str:
        control = f'http://{self.ip}:{PORTS["controlPlane"]}'
        return f'{control}/-/instances/{self.upstream.upstream_id}/{verb}'

    async def wait_for_exit(self, limit_s: float) -> bool:
        """Wait for the node process to exit; kill it and return False after the limit."""
        process = self._process
        if process is None:
            return True
        steps = int(limit_s / 0.05)
        for _ in range(steps):
            if process.poll() is not None:
                self._process = None
                return True
            await asyncio.sleep(0.05)
        process.kill()
        process.wait()
        self._process = None
        return False

    def restart_if_exited(self) -> None:
        """Restart the node process if it exited unexpectedly, as the platform does."""
        if self._process is not None and self._process.poll() is not None:
            self.unexpected_exits.append(self._process.returncode)
            self.start_node()

    async def until_ready(self) -> None:
        """Wait until the node reports that it is ready."""
        async with aiohttp.ClientSession() as session:
            while not await self._is_ready(session):
                self.restart_if_exited()
                await asyncio.sleep(0.1)

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        url = f'http://{self.ip}:{PORTS["ready"]}/-/ready'
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            # The node is starting; the next poll tries again.
            return False

    async def rules_version(self, session: aiohttp.ClientSession) -> tuple[int, int]:
        """Return the process id of the node, and the version of its rules.

        The version is -1 if the node does not answer.
        """
        pid = self._process.pid if self._process else 0
        url = f'http://{self.ip}:{METRICS_PORT}/metrics'
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with session.get(url, timeout=timeout) as response:
                found = _RULES_VERSION.search(await response.text())
        except (aiohttp.ClientError, TimeoutError):
            # The node is stopped or paused; the next poll asks again.
            return pid, -1
        return pid, int(float(found.group(1))) if found else -1

    async def close(self) -> None:
        """Stop everything on the VM."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self.measure_memory()
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
        if self._log is not None:
            self._log.close()
        for proxy in (self.upstream_proxy, self.store_proxy):
            proxy.close()
        await self.upstream.close()

    async def _send_heartbeats(self) -> None:
        url = self._instance_url('heartbeat')
        async with aiohttp.ClientSession() as session:
            while True:
                self._sequence += 1
                sending = asyncio.ensure_future(
                    self._post_heartbeat(session, url, self._heartbeat())
                )
                self._late_heartbeats.add(sending)
                sending.add_done_callback(self._late_heartbeats.discard)
                await asyncio.sleep(HEARTBEAT_S)

    async def _post_heartbeat(
        self, session: aiohttp.ClientSession, url: str, heartbeat: dict[str, object]
    ) -> None:
        await asyncio.sleep(self.heartbeat_delay_s)
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with session.post(url, json=heartbeat, timeout=timeout) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, RuntimeError):
            # The node is down, or the run has ended; the next heartbeat tries again.
            return

    def _heartbeat(self) -> dict[str, object]:
        info = {'service': self.service, 'version': 'v1', 'zone': 'a', 'slots': SLOTS}
        status = {'state': 'ready', 'sequence': self._sequence}
        address = f'{self.ip}:{UPSTREAM_PORT}'
        return {'address': address, 'born': self._born, 'info': info, 'status': status}

    def _settings(self) -> dict[str, object]:
        return {
            'node': self.name,
            'ip': self.ip,
            'zone': 'a',
            'region': 'r',
            'listenAddrs': {kind: f'{self.ip}:{port}' for kind, port in PORTS.items()},
            'limits': {'memoryMb': MEMORY_MB},
            'internalPortRange': [RELAY_PORT, RELAY_PORT + 15],
            'appAddr': f'127.0.0.1:{self.upstream_proxy.port}',
            'service': self.service,
            'platform': {'address': f'127.0.0.1:{self.store_proxy.port}'},
            'bounds': [f'grace={GRACE}', f'retryBudgetSlack={RETRY_SLACK}'],
        }
