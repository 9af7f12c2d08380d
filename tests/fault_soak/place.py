"""One VM: a node process, its upstream, and the relays in front of both."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

import aiohttp
from aiohttp import web
from cable import Cable
from fault_soak.trouble import RawAnswer, Troubles, whole
from gentianmill_node.direct_server import direct_server
from gentianmill_node.web_server import WebServer

ROOT = Path(__file__).parent.parent.parent
PORTS = {'inbound': 8300, 'outbound': 8304, 'ready': 8302, 'controlPlane': 8306}
RELAY_PORT = 7620
UPSTREAM_PORT = 8400
SLOTS = 12
GRACE = '5s'
HEARTBEAT_S = 0.3
WORK_S = (0.005, 0.08)
UNSAFE_PREFIX = '/pay/'
LOST = 0.3
REFUSED = 0.2
TROUBLED = 0.3
RETRY_SLACK = 5


class Upstream:
    """Run requests, remember which ones ran, and lose some answers on demand."""

    def __init__(self, ip: str, service: str, rng: random.Random) -> None:
        """Create an upstream that does not listen."""
        self.upstream_id = f'u-{ip}'
        self.ran: dict[str, int] = {}
        self.wrong: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        """When requests arrived, also those that were refused, and their ids."""

        self.losing = False
        self.troubled = False
        self._troubles = Troubles(rng)
        self._ip = ip
        self._service = service
        self._rng = rng
        self._web = WebServer()

    async def start(self) -> None:
        """Listen."""
        server = direct_server(self._serve, 1_000_000, decompress=False)
        await self._web.start('upstream', server, self._ip, UPSTREAM_PORT, None)

    async def close(self) -> None:
        """Stop."""
        await self._web.close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        sent_id = request.headers.get('Attempt-Id', '')
        if request.headers.get('Expected-Instance') != self.upstream_id:
            self.wrong.append(f'{sent_id}: meant for another upstream')
        if request.headers.get('Caller-Service') is None:
            self.wrong.append(f'{sent_id}: no calling service')
        self.arrivals.append((asyncio.get_running_loop().time(), sent_id))
        if self.troubled and self._rng.random() < REFUSED:
            return self._troubles.refuse(sent_id)
        self.ran[sent_id] = self.ran.get(sent_id, 0) + 1
        await asyncio.sleep(self._rng.uniform(*WORK_S))
        if self.losing and self._rng.random() < LOST:
            request.transport.abort()
            raise ConnectionResetError
        body = f'{sent_id} {self._service}'.encode() * 20
        if self.troubled and self._rng.random() < TROUBLED:
            return await self._troubles.choose().answer(request, sent_id, body)
        return RawAnswer(whole(sent_id, body))


class Place:
    """A VM of the deployment."""

    def __init__(
        self, folder: Path, ip: str, service: str, store_port: int, rng: random.Random
    ) -> None:
        """Create a VM whose processes do not run."""
        self.name = f'vm-{ip}'
        self.ip = ip
        self.service = service
        self.upstream = Upstream(ip, service, rng)
        self.to_upstream = Cable(UPSTREAM_PORT, ip)
        self.to_store = Cable(store_port)
        self.own_ends: list[int] = []
        """Exit codes of node processes that nobody ended."""

        self._folder = folder
        self._sequence = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._log: IO[bytes] | None = None
        self._beating: asyncio.Task[None] | None = None

    @property
    def entry(self) -> str:
        """Return the URL of the entry."""
        return f'http://{self.ip}:{PORTS["outbound"]}'

    @property
    def log_file(self) -> Path:
        """Return where the node writes its log."""
        return self._folder / f'{self.name}.log'

    async def start(self) -> None:
        """Start the relays, the upstream, the node and the heartbeats."""
        await self.to_upstream.start()
        await self.to_store.start()
        await self.upstream.start()
        self.start_node()
        self._beating = asyncio.ensure_future(self._beat())

    def start_node(self) -> None:
        """Start the node process."""
        settings = self._folder / f'{self.name}.json'
        settings.write_text(json.dumps(self._settings()))
        if self._log is not None:
            self._log.close()
        self._log = self.log_file.open('ab')
        self._process = subprocess.Popen(
            [sys.executable, str(ROOT / 'platform' / 'run.py')],
            env=os.environ | {'GENTIANMILL_NODE_FILE': str(settings)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the node process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_for_end(self, limit_s: float) -> bool:
        """Wait until the node process has ended; kill it when the time is over."""
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

    def restart_if_ended(self) -> None:
        """Start the node process again if it ended by itself, as the platform does."""
        if self._process is not None and self._process.poll() is not None:
            self.own_ends.append(self._process.returncode)
            self.start_node()

    async def until_ready(self) -> None:
        """Wait until the node says that it is ready."""
        async with aiohttp.ClientSession() as session:
            while not await self._is_ready(session):
                self.restart_if_ended()
                await asyncio.sleep(0.1)

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        url = f'http://{self.ip}:{PORTS["ready"]}/-/ready'
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            # It starts; the next question finds it.
            return False

    async def close(self) -> None:
        """End everything on the VM."""
        if self._beating is not None:
            self._beating.cancel()
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
        if self._log is not None:
            self._log.close()
        for cable in (self.to_upstream, self.to_store):
            cable.close()
        await self.upstream.close()

    async def _beat(self) -> None:
        url = (
            f'http://{self.ip}:{PORTS["controlPlane"]}'
            f'/-/instances/{self.upstream.upstream_id}/heartbeat'
        )
        async with aiohttp.ClientSession() as session:
            while True:
                self._sequence += 1
                try:
                    await self._post(session, url)
                except (aiohttp.ClientError, TimeoutError):
                    # The node is away; the next heartbeat finds it.
                    pass
                await asyncio.sleep(HEARTBEAT_S)

    async def _post(self, session: aiohttp.ClientSession, url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=1)
        async with session.post(url, json=self._heartbeat(), timeout=timeout) as answer:
            await answer.read()

    def _heartbeat(self) -> dict[str, object]:
        info = {'service': self.service, 'version': 'v1', 'zone': 'a', 'slots': SLOTS}
        status = {'state': 'ready', 'sequence': self._sequence}
        address = f'{self.ip}:{UPSTREAM_PORT}'
        return {'address': address, 'born': 1, 'info': info, 'status': status}

    def _settings(self) -> dict[str, object]:
        return {
            'node': self.name,
            'ip': self.ip,
            'zone': 'a',
            'region': 'r',
            'listenAddrs': {kind: f'{self.ip}:{port}' for kind, port in PORTS.items()},
            'internalPortRange': [RELAY_PORT, RELAY_PORT + 15],
            'appAddr': f'127.0.0.1:{self.to_upstream.port}',
            'service': self.service,
            'platform': {'address': f'127.0.0.1:{self.to_store.port}'},
            'bounds': [f'grace={GRACE}', f'retryBudgetSlack={RETRY_SLACK}'],
        }
