"""Nodes that are built and started by the commands of the deploy file."""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import subprocess
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY_FILE = ROOT / 'deploy' / 'system.toml'
BUILT_FILES = ('deploy', 'packages', 'platform', 'requirements.txt')
PORTS = {'inbound': 8300, 'outbound': 8304, 'ready': 8302, 'controlPlane': 8306}
UPSTREAM_PORT = 8301
RELAY_PORT = 7620
METRICS_PORT = 9464
SETTINGS_VARIABLE = 'GENTIANMILL_NODE_FILE'
POLL_S = 0.02

_networks = itertools.count()


def build_tree(folder: Path) -> None:
    """Build the system in a clean copy of the repository.

    Raises:
        subprocess.CalledProcessError: If the build fails.
    """
    for name in BUILT_FILES:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns('__pycache__', '*.egg-info')
            shutil.copytree(source, folder / name, ignore=ignored)
        else:
            shutil.copy(source, folder / name)
    command = tomllib.loads(DEPLOY_FILE.read_text())['build']
    subprocess.run(command, shell=True, cwd=folder, check=True, capture_output=True)


def run_command() -> list[str]:
    """Return the program of a node and its arguments."""
    role = tomllib.loads(DEPLOY_FILE.read_text())['roles']['node']
    program, *arguments = role['run'].split()
    path = shutil.which(program)
    # A launcher of several versions is a shell script, which handles no signal.
    found = subprocess.check_output(
        [path, '-c', 'import sys; print(sys.executable)'], text=True
    )
    return [found.strip(), *arguments]


def free_network() -> str:
    """Return the first three bytes of loopback addresses of this process alone."""
    pid = os.getpid()
    return f'127.{20 + pid % 200}.{(pid // 200 + 7 * next(_networks)) % 250}'


class DeployedNode:
    """A node process on a loopback address of its own."""

    def __init__(
        self,
        tree: Path,
        folder: Path,
        name: str,
        ip: str,
        store_port: int,
        service: str = 'back',
    ) -> None:
        """Create a node that is not started.

        Args:
            tree: A tree that was built.
            folder: Folder of the settings file and the log.
            name: Name of the node.
            ip: Its address.
            store_port: Port of the store on 127.0.0.1.
            service: Service of its upstream.
        """
        self.name = name
        self.ip = ip
        self.limits = {'memoryMb': 300, 'maxFds': 4100}
        self.settings: dict[str, object] = {}
        """Settings that replace those of the same names at the next start."""

        self._tree = tree
        self._settings = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self.store_port = store_port
        self.service = service
        self._processes: list[subprocess.Popen[bytes]] = []

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """Return the process that was started last."""
        return self._processes[-1]

    @property
    def logged(self) -> str:
        """Return what the processes have logged."""
        return self._log.read_text(errors='replace')

    def start(
        self,
        environment: Mapping[str, str] | None = None,
        prefix: Sequence[str] = (),
        **options: object,
    ) -> subprocess.Popen[bytes]:
        """Start a process; an earlier one may still run.

        Args:
            environment: Variables beside that of the settings file; by default those
                that the platform passes on.
            prefix: Words in front of the command.
            options: Options of the process.
        """
        self._settings.write_text(json.dumps(self._document()))
        if environment is None:
            environment = {
                'PATH': os.environ['PATH'],
                'PYTHONPATH': str(self._tree / 'target' / 'deps'),
            }
        with self._log.open('ab') as log:
            process = subprocess.Popen(
                [*prefix, *run_command()],
                cwd=self._tree,
                env={**environment, SETTINGS_VARIABLE: str(self._settings)},
                **{'stdout': log, 'stderr': log, **options},
            )
        self._processes.append(process)
        return process

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        head = b'GET /-/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n'
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, PORTS['ready'])
                writer.write(head)
                response = await reader.read()
                writer.close()
        except OSError:
            return False
        return response.startswith(b'HTTP/1.1 200')

    async def until_ready(self, limit_s: float = 30) -> None:
        """Wait until the node is ready.

        Raises:
            AssertionError: If its last process has ended.
            TimeoutError: If it takes longer than the limit.
        """
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                status = self.process.poll()
                assert status is None, f'ended with {status}: {self.logged[-1000:]}'
                await asyncio.sleep(POLL_S)

    async def exit_status(
        self, process: subprocess.Popen[bytes], limit_s: float = 15
    ) -> int:
        """Wait for the end of a process and return its exit status.

        Raises:
            TimeoutError: If it takes longer than the limit.
        """
        async with asyncio.timeout(limit_s):
            while process.poll() is None:
                await asyncio.sleep(POLL_S)
        return process.returncode

    def close(self) -> None:
        """Kill the processes that are left."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def _document(self) -> dict[str, object]:
        return {
            'node': self.name,
            'ip': self.ip,
            'zone': 'a',
            'region': 'r',
            'bootstrap': True,
            'limits': self.limits,
            'listenAddrs': {kind: f'{self.ip}:{port}' for kind, port in PORTS.items()},
            'internalPortRange': [RELAY_PORT, RELAY_PORT + 15],
            'appAddr': f'{self.ip}:{UPSTREAM_PORT}',
            'service': self.service,
            'platform': {'address': f'127.0.0.1:{self.store_port}'},
            'bounds': ['grace=6s'],
            **self.settings,
        }


@contextlib.contextmanager
def closing_nodes(*nodes: DeployedNode) -> Iterator[None]:
    """End what is left of nodes after a block."""
    try:
        yield
    finally:
        for node in nodes:
            node.close()


def rules_document(version: int = 1) -> bytes:
    """Return rules with a route for payments and one for reads."""
    rules = [
        {
            'name': name,
            'kind': kind,
            'match': {'prefix': f'/{name}/'},
            'action': {'service': 'back', 'timeout': '5s', 'maxAttempts': 2},
        }
        for name, kind in (('pay', 'unsafe'), ('read', 'safe'))
    ]
    return json.dumps(
        {
            'version': version,
            'limits': {
                'maxHeaderBytes': 16_384,
                'maxBodyBytes': 1_000_000,
                'headerTimeout': '5s',
                'idleTimeout': '15s',
            },
            'listeners': [{'host': 'till.example', 'rules': rules}],
            'clusters': [
                {'name': 'back', 'healthCheckPath': '/health', 'maxConnections': 500}
            ],
        }
    ).encode()
