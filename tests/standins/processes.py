"""Start a deployment as separate processes: platform, upstreams and nodes."""

import contextlib
import dataclasses
import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import IO
from urllib import error as url_error
from urllib import request as url_request

import yaml

TESTS = Path(__file__).parent.parent
HOST = '127.0.0.1'
START_LIMIT_S = 60
PORTS = range(12_000, 32_000)
"""Below 32768, where the ephemeral port range of Linux starts. Within that range, an
outgoing connection took a port after it was chosen and before its listener started.
"""

LISTENERS = ('caller', 'egress', 'peer', 'control', 'operator')
PORT_LOCKS = Path(tempfile.gettempdir()) / 'gentianmill-test-ports'
_reserved_ports: dict[int, IO[bytes]] = {}
PEER_KEY = 'peer-key-for-tests-0123456789'
OPERATOR_KEY = 'operator-key-for-tests-0123456789'


def free_ports(count: int) -> list[int]:
    """Return TCP ports of the loopback address that are free now.

    Nothing listens on them yet, so this process remembers them: without that, two of
    the 55 ports of nine upstreams would be equal in 7% of deployments (calculated).
    A file lock, held until the process ends, reserves them against other test runs
    on the machine: two concurrent runs gave port 12196 to an upstream each, and one
    could not bind it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.choice(PORTS)
        if port not in _reserved_ports and reserve_port(port):
            ports.append(port)
    return ports


def reserve_port(port: int) -> bool:
    """Return whether a port is free and no other test process has reserved it."""
    PORT_LOCKS.mkdir(exist_ok=True)
    lock = (PORT_LOCKS / str(port)).open('ab')
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return False
    if not _is_free(port):
        lock.close()
        return False
    _reserved_ports[port] = lock
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


@dataclasses.dataclass
class UpstreamSpec:
    """Location, capacity and behaviour of an upstream, and location of its node."""

    service: str
    endpoint: str
    region: str
    zone: str
    slots: int = 32
    latency_ms: float = 2.0
    files: str = '/files/{name}'
    calls: dict[str, list[str]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Pair:
    """An upstream and the node beside it, with their processes."""

    spec: UpstreamSpec
    ports: dict[str, int]
    upstream_port: int
    settings_file: Path
    upstream: subprocess.Popen | None = None
    node: subprocess.Popen | None = None

    @property
    def caller_url(self) -> str:
        """Return the URL of the caller listener."""
        return f'http://{HOST}:{self.ports["caller"]}'

    @property
    def operator_url(self) -> str:
        """Return the URL of the operator listener."""
        return f'http://{HOST}:{self.ports["operator"]}'

    @property
    def upstream_url(self) -> str:
        """Return the URL of the upstream."""
        return f'http://{HOST}:{self.upstream_port}'


class Deployment:
    """A deployment in a scratch folder; kills the processes that it started."""

    def __init__(
        self, folder: Path, sheet_file: Path, specs: list[UpstreamSpec]
    ) -> None:
        """Prepare a deployment.

        Args:
            folder: Scratch folder for settings and logs.
            sheet_file: The planning sheet to submit.
            specs: The upstreams to start.
        """
        self.folder = folder
        self.execution_log = folder / 'executions.jsonl'
        self.execution_log.touch()
        self.platform_port = free_ports(1)[0]
        self.platform: subprocess.Popen | None = None
        self._sheet_file = sheet_file
        (folder / 'peer.key').write_text(PEER_KEY)
        (folder / 'operator.key').write_text(OPERATOR_KEY)
        self.pairs: list[Pair] = []
        for spec in specs:
            self.add(spec)

    @property
    def platform_url(self) -> str:
        """Return the URL of the simulated platform."""
        return f'http://{HOST}:{self.platform_port}'

    def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        self.start_platform()
        for pair in self.pairs:
            self._spawn_upstream(pair)
        for pair in self.pairs:
            _wait_for_upstream(pair)
        self.submit_sheet(self._sheet_file, 0)
        for pair in self.pairs:
            self.start_node(pair)
        for pair in self.pairs:
            self.wait_until_ready(pair)

    def add(self, spec: UpstreamSpec) -> Pair:
        """Prepare a pair that is not started yet and unknown to the nodes."""
        pair = self._prepare(spec)
        self.pairs.append(pair)
        return pair

    def wait_until_ready(self, pair: Pair) -> None:
        """Wait until a node is ready and knows all members."""
        wait_for(lambda: self._knows_all(pair), self._node_description(pair))

    def close(self) -> None:
        """Kill all processes."""
        processes = [process for pair in self.pairs for process in _processes(pair)]
        processes += [self.platform] if self.platform else []
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()

    def start_platform(self) -> None:
        """Start the platform's table service and object store."""
        self.platform = self._popen(
            'standins.platform', '--host', HOST, '--port', str(self.platform_port)
        )
        wait_for(lambda: is_open(self.platform_port), 'the platform')

    def start_upstream(self, pair: Pair) -> None:
        """Start the upstream of a pair and wait until it listens."""
        self._spawn_upstream(pair)
        _wait_for_upstream(pair)

    def _spawn_upstream(self, pair: Pair) -> None:
        spec = pair.spec
        pair.upstream = self._popen(
            'standins.upstream',
            f'--port={pair.upstream_port}',
            f'--service={spec.service}',
            f'--slots={spec.slots}',
            f'--latency-ms={spec.latency_ms}',
            f'--egress=http://{HOST}:{pair.ports["egress"]}',
            f'--calls={json.dumps(spec.calls)}',
            f'--files={spec.files}',
            f'--log={self.execution_log}',
        )

    def start_node(self, pair: Pair) -> None:
        """Start the node of a pair."""
        pair.node = self._popen(
            'gentianmill_node', str(pair.settings_file), log=_node_log(pair)
        )

    def submit_sheet(self, sheet_file: Path, expected: int) -> None:
        """Submit a sheet with ``gentianmillctl``."""
        subprocess.run(
            [
                Path(sys.executable).parent / 'gentianmillctl',
                'submit',
                sheet_file,
                '--table',
                self.platform_url,
                '--expect',
                str(expected),
                '--by',
                'demo',
            ],
            check=True,
            stdout=subprocess.DEVNULL,
        )

    def executions(self) -> list[dict]:
        """Return the executions of the upstreams in the order of their log."""
        lines = self.execution_log.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def set_behaviour(self, pair: Pair, **changes: object) -> None:
        """Change the behaviour of an upstream."""
        http('POST', f'{pair.upstream_url}/_control/behaviour', changes)

    def set_faults(self, **faults: object) -> None:
        """Set the faults of the simulated platform."""
        http('POST', f'{self.platform_url}/faults', faults)

    def _prepare(self, spec: UpstreamSpec) -> Pair:
        ports = free_ports(len(LISTENERS) + 1)
        names = dict(zip(LISTENERS, ports, strict=False))
        settings = {
            'node': {'region': spec.region, 'zone': spec.zone},
            'upstream': {
                'service': spec.service,
                'endpoint': spec.endpoint,
                'host': HOST,
                'port': ports[-1],
                'slots': spec.slots,
                'connections': spec.slots * 8,
                'poll_ms': 200,
            },
            'listeners': {
                'host': HOST,
                **{f'{name}_port': port for name, port in names.items()},
            },
            'keys': {
                'peer_key_file': str(self.folder / 'peer.key'),
                'operator_key_file': str(self.folder / 'operator.key'),
            },
            'table': {'url': self.platform_url},
            'membership': {
                'probe_interval_ms': 300,
                'probe_timeout_ms': 150,
                'suspicion_ms': 1500,
                'sheet_poll_ms': 500,
            },
            'drain': {'notice_ms': 700, 'limit_ms': 20000},
        }
        path = self.folder / f'{spec.endpoint}.yaml'
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        return Pair(spec, names, ports[-1], path)

    def _knows_all(self, pair: Pair) -> bool:
        try:
            status, _ = http('GET', f'{pair.operator_url}/health')
            _, content = http(
                'GET', f'{pair.operator_url}/v1/members', key=OPERATOR_KEY
            )
        except OSError:
            return False
        return status == 200 and _count_alive(content) == len(self.pairs)

    def node_log(self, pair: Pair) -> str:
        """Return what the node of a pair has logged."""
        return Path(_node_log(pair, self.folder)).read_text()

    def _node_description(self, pair: Pair) -> str:
        return f'the node of {pair.spec.endpoint}, see {_node_log(pair, self.folder)}'

    def _popen(
        self, module: str, *arguments: str, log: str = 'standins.log'
    ) -> subprocess.Popen:
        with (self.folder / log).open('ab') as output:
            return subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=output,
                stderr=output,
                env={**os.environ, 'PYTHONPATH': str(TESTS)},
            )


def http(
    method: str, url: str, body: object = None, key: str = ''
) -> tuple[int, object]:
    """Send a JSON request and return the status and the decoded JSON body."""
    request = url_request.Request(url, method=method)
    if key:
        request.add_header('Authorization', f'Bearer {key}')
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        request.add_header('Content-Type', 'application/json')
    try:
        with url_request.urlopen(request, data, timeout=5) as response:
            return response.status, json.loads(response.read() or b'null')
    except url_error.HTTPError as error:
        return error.code, json.loads(error.read() or b'null')


def wait_for(condition, what: str) -> None:
    """Wait until a condition holds; the limit only ends a run that hangs."""
    end = time.monotonic() + START_LIMIT_S
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f'condition not met within {START_LIMIT_S} s: {what}')
        time.sleep(0.05)


@contextlib.contextmanager
def running(
    folder: Path, sheet_file: Path, specs: list[UpstreamSpec]
) -> Iterator[Deployment]:
    """Run a deployment while the context is open."""
    deployment = Deployment(folder, sheet_file, specs)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.close()


def is_open(port: int) -> bool:
    """Return whether a loopback port accepts connections."""
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0


def _wait_for_upstream(pair: Pair) -> None:
    wait_for(lambda: is_open(pair.upstream_port), 'the upstream')


def _count_alive(content: object) -> int:
    members = content['members'] if isinstance(content, dict) else content
    return sum(member['status'] == 'alive' for member in members)


def _processes(pair: Pair) -> list[subprocess.Popen]:
    return [process for process in (pair.node, pair.upstream) if process]


def _node_log(pair: Pair, folder: Path | None = None) -> str:
    name = f'{pair.spec.endpoint}.log'
    return str(folder / name) if folder else name
