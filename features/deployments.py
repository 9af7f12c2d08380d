"""Deployments shared by the features: both users' sheets on real processes."""

import contextlib
import dataclasses
import tempfile
from collections.abc import Iterator
from pathlib import Path
from types import MappingProxyType

from standins.processes import Deployment, Pair, UpstreamSpec, http, running, wait_for
from standins.upstream import Behaviour

EXAMPLES = Path(__file__).parent.parent / 'examples'
FILES = '/guias/{name}/archivo,/templates/{name}/file'
LATENCY_MS = 20
GUILD_SLOTS = 16
CASCADIA_SLOTS = 4
CHAIN = MappingProxyType(
    {
        'catalogo': {'/articulos/a1': ['/registro/talleres/w1']},
        'registro': {'/talleres/w1': ['/biblioteca/guias']},
    }
)
SERVICES = MappingProxyType(
    {
        'guild': {'tesoreria': 3, 'catalogo': 2, 'registro': 2, 'biblioteca': 2},
        'cascadia': {'billing': 2, 'dispatch': 2, 'templates': 1},
    }
)
REGIONS = MappingProxyType({'guild': 'occidente', 'cascadia': 'puget'})
SLOTS = MappingProxyType({'guild': GUILD_SLOTS, 'cascadia': CASCADIA_SLOTS})


class SharedDeployments:
    """Start each deployment once and repair it after each scenario."""

    def __init__(self) -> None:
        """Create the collection; nothing runs yet."""
        self._stack = contextlib.ExitStack()
        self._started: dict[str, Deployment] = {}

    def get(self, name: str) -> Deployment:
        """Return the running deployment of ``guild`` or ``cascadia``."""
        if name not in self._started:
            temporary = tempfile.TemporaryDirectory()
            folder = Path(self._stack.enter_context(temporary))
            sheet_file = _write_sheet(name, folder)
            deployment = running(folder, sheet_file, _upstream_specs(name))
            self._started[name] = self._stack.enter_context(deployment)
        return self._started[name]

    def restore(self) -> None:
        """End all faults and restart what a scenario killed or stopped."""
        for deployment in self._started.values():
            deployment.set_faults()
            for pair in deployment.pairs:
                _restore(deployment, pair)
            for restored in deployment.pairs:
                deployment.wait_until_ready(restored)

    def close(self) -> None:
        """End all processes."""
        self._stack.close()


def pairs_of(deployment: Deployment, service: str) -> list[Pair]:
    """Return the upstreams of a service with their nodes."""
    return [pair for pair in deployment.pairs if pair.spec.service == service]


def pair_at(deployment: Deployment, port: int) -> Pair:
    """Return the upstream that listens at a port, with its node."""
    return next(pair for pair in deployment.pairs if pair.upstream_port == port)


def kill(process) -> None:
    """Kill a process and wait for its end."""
    process.kill()
    process.wait()


def state_of(pair: Pair) -> str:
    """Return the state that the node reports, or ``closed``."""
    try:
        _, health = http('GET', f'{pair.operator_url}/health')
    except OSError:
        return 'closed'
    return health['state']


def wait_for_idle(pair: Pair) -> None:
    """Wait until no call runs on an upstream."""
    wait_for(lambda: _in_flight(pair) == 0, f'{pair.spec.endpoint} to be idle')


def _in_flight(pair: Pair) -> int:
    _, health = http('GET', f'{pair.upstream_url}/health')
    return health['in_flight']


def _restore(deployment: Deployment, pair: Pair) -> None:
    if pair.upstream.poll() is not None:
        deployment.start_upstream(pair)
    defaults = dataclasses.asdict(Behaviour(latency_ms=LATENCY_MS))
    deployment.set_behaviour(pair, **defaults)
    wait_for(lambda: _is_settled(pair), f'{pair.spec.endpoint} to be ready or to end')
    if pair.node.poll() is not None:
        deployment.start_node(pair)


def _is_settled(pair: Pair) -> bool:
    """Return whether a node is ready, or has ended after a drain."""
    return pair.node.poll() is not None or state_of(pair) == 'ready'


def _upstream_specs(name: str) -> list[UpstreamSpec]:
    return list(_iterate_upstream_specs(name, REGIONS[name]))


def _iterate_upstream_specs(name: str, region: str) -> Iterator[UpstreamSpec]:
    for service, count in SERVICES[name].items():
        for zone in 'abc'[:count]:
            yield UpstreamSpec(
                service,
                f'{service}-{zone}',
                region,
                f'{region}-{zone}',
                slots=SLOTS[name],
                latency_ms=LATENCY_MS,
                files=FILES,
                calls=CHAIN.get(service, {}),
            )


def _write_sheet(name: str, folder: Path) -> Path:
    """Write the example's sheet with a ratio so high that only the bound limits retries."""
    text = (EXAMPLES / name / 'sheet.yaml').read_text()
    sheet_file = folder / 'sheet.yaml'
    sheet_file.write_text(text.replace('ratio: 0.1', 'ratio: 1.0'))
    return sheet_file
