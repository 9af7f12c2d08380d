"""Tests of calls, members and sheets during network partitions between nodes."""

import asyncio
import dataclasses
import operator
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import aiohttp
import pytest
import yaml

from payment_load import PaymentLoad
from process_deployments import (
    SHEET_FILE,
    upstream_specs,
    new_session,
    run_with_timeout,
)
from relayed_deployment import relayed
from standins.processes import OPERATOR_KEY, Deployment, Pair, http, wait_for
from standins.relay import PEER, TABLE, Chunk, Relay

WEST = ('tesoreria', 'catalogo', 'catalogo')
EAST = ('tesoreria', 'catalogo', 'registro')
REGIONS = ('occidente', 'oriente')
RETRY_BOUND = 4
REQUEST_COUNT = 5
OTHER_REGION_PATH = '/registro/talleres/1'
ANSWERED = (200, '')
NO_MEMBER = (503, 'no_member')
DEPARTED_STATUSES = frozenset(('dead', 'left'))
MORE_PAYMENTS = 10


@dataclasses.dataclass
class Network:
    """A deployment in two regions and the relay between its nodes."""

    deployment: Deployment
    relay: Relay

    @property
    def west(self) -> list[Pair]:
        """Return the nodes of the first region."""
        return self.deployment.pairs[: len(WEST)]

    @property
    def east(self) -> list[Pair]:
        """Return the nodes of the other region."""
        return self.deployment.pairs[len(WEST) :]

    def split(self) -> None:
        """Cut the two regions off from each other."""
        self.relay.cut_both(endpoints(self.west), endpoints(self.east))

    def heal(self) -> None:
        """End all faults and wait until all nodes know all members again."""
        self.relay.heal()
        for pair in self.deployment.pairs:
            self.deployment.wait_until_ready(pair)


def endpoints(pairs: list[Pair]) -> list[str]:
    """Return the endpoints of some nodes."""
    return [pair.spec.endpoint for pair in pairs]


@pytest.fixture(scope='module')
def started(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Network]:
    """Run three nodes in each of two regions."""
    folder = tmp_path_factory.mktemp('cuts')
    specs = upstream_specs((*WEST, *EAST), latency_ms=20)
    for number, spec in enumerate(specs):
        spec.region = REGIONS[number // len(WEST)]
        spec.zone = f'{spec.region}-a'
    sheet = _sheet(folder, window_s=600)
    with relayed(folder, sheet, specs) as (deployment, relay):
        yield Network(deployment, relay)


@pytest.fixture
def network(started: Network) -> Iterator[Network]:
    """Provide the network, and heal it afterwards."""
    yield started
    started.heal()


def _sheet(folder: Path, window_s: int) -> Path:
    sheet = yaml.safe_load(SHEET_FILE.read_text())
    sheet['regions'] = list(REGIONS)
    sheet['retry'] = {'bound': RETRY_BOUND, 'window_s': window_s, 'ratio': 1}
    path = folder / f'sheet-{window_s}.yaml'
    path.write_text(yaml.safe_dump(sheet, sort_keys=False))
    return path


def _reachable(pair: Pair) -> set[str]:
    _, report = http('GET', f'{pair.operator_url}/v1/members', key=OPERATOR_KEY)
    members = report['members']
    return {
        member['endpoint']
        for member in members
        if member['status'] not in DEPARTED_STATUSES
    }


def _read(pair: Pair, path: str, request_id: str = '') -> tuple[int, str]:
    async def exchange() -> tuple[int, str]:
        headers = {'X-Request-Id': request_id} if request_id else {}
        async with new_session() as session:
            url = f'{pair.caller_url}{path}'
            async with session.get(url, headers=headers) as response:
                await response.read()
                return response.status, response.headers.get('X-Error-Code', '')

    return run_with_timeout(exchange())


def _split_regions(network: Network) -> None:
    network.split()


def _lose_responses_of_a_guard(network: Network) -> None:
    guard, *others = network.west
    network.relay.cut([guard.spec.endpoint], endpoints([*others, *network.east]))


def _drop_and_isolate_a_guard(network: Network) -> None:
    guard, *others = network.west
    network.relay.drop(endpoints([guard]), endpoints(others))
    network.relay.cut_both(endpoints([guard]), endpoints([*others, *network.east]))


CUTS: dict[str, Callable[[Network], None]] = {
    'regions': _split_regions,
    'answers': _lose_responses_of_a_guard,
    'guard': _drop_and_isolate_a_guard,
}


@pytest.mark.parametrize('cut', list(CUTS))
def test_payments_run_at_most_once(network: Network, cut: str):
    """Guards against a payment that runs on both sides of a cut, or runs unreported."""
    load = PaymentLoad(network.deployment, f'cut-{cut}')

    async def pay() -> None:
        async with load.sending():
            await load.wait_for_answered(MORE_PAYMENTS)
            CUTS[cut](network)
            await load.wait_for_answered(4 * MORE_PAYMENTS)
            network.relay.heal()
            await load.wait_for_answered(2 * MORE_PAYMENTS)

    run_with_timeout(pay())
    assert not load.violations()


def test_both_sides_keep_working_and_rejoin(network: Network):
    """Guards against a cut that stops one side, or whose effects outlast it."""
    assert _read(network.west[0], OTHER_REGION_PATH) == ANSWERED
    network.split()
    for pair in network.deployment.pairs:
        side = network.west if pair in network.west else network.east
        _wait_for_members(pair, set(endpoints(side)))
        assert _read(pair, '/catalogo/articulos/1') == ANSWERED
    assert _read(network.west[0], OTHER_REGION_PATH) == NO_MEMBER
    # Discards the buffered bytes, which would announce the sides to each other.
    network.relay.drop(endpoints(network.west), endpoints(network.east))
    network.heal()
    wait_for(
        lambda: _read(network.west[0], OTHER_REGION_PATH) == ANSWERED,
        'a call across the former cut',
    )


def _wait_for_members(pair: Pair, expected: set[str]) -> None:
    wait_for(lambda: _reachable(pair) == expected, f'only {expected} as members')


def _resend(network: Network, request_ids: list[str]) -> None:
    """Send all requests concurrently to each node, one node after the other."""

    async def send(session: aiohttp.ClientSession, pair: Pair, request_id: str):
        url = f'{pair.caller_url}/catalogo/articulos/2'
        headers = {'X-Request-Id': request_id, 'X-Deadline-Ms': '2000'}
        async with session.get(url, headers=headers) as response:
            await response.read()

    async def send_all() -> None:
        async with new_session() as session:
            for pair in network.deployment.pairs:
                await asyncio.gather(*(send(session, pair, one) for one in request_ids))

    run_with_timeout(send_all())


def test_retries_stay_within_the_bound(network: Network):
    """Guards against entries that retry without the count of a lost home node."""
    request_ids = [f'bound-{number}' for number in range(REQUEST_COUNT)]
    catalogues = [
        pair for pair in network.deployment.pairs if pair.spec.service == 'catalogo'
    ]
    for pair in catalogues:
        network.deployment.set_behaviour(pair, lose_answers=True)
    isolated = network.west[1]
    others = [pair for pair in network.deployment.pairs if pair is not isolated]
    _resend(network, request_ids)
    network.split()
    _resend(network, request_ids)
    network.relay.cut_both(endpoints([isolated]), endpoints(others))
    _resend(network, request_ids)
    network.heal()
    _resend(network, request_ids)
    for pair in catalogues:
        network.deployment.set_behaviour(pair, lose_answers=False)
    sends = 4 * len(network.deployment.pairs)
    runs = Counter(run['request_id'] for run in network.deployment.executions())
    counts = [runs[request_id] for request_id in request_ids]
    assert max(counts) <= sends + RETRY_BOUND, counts
    # Without any retry, the bound would hold trivially.
    assert max(counts) > sends, counts


def _version(pair: Pair) -> int:
    return http('GET', f'{pair.operator_url}/health')[1]['sheet_version']


def test_a_sheet_reaches_a_node_that_was_cut_off(network: Network):
    """Guards against a node that keeps or restores an old sheet after a cut."""
    isolated, *others = network.deployment.pairs
    network.relay.cut_both(endpoints([isolated]), [*endpoints(others), TABLE])
    before = _version(isolated)
    seen: dict[str, list[int]] = {name: [] for name in endpoints([isolated, *others])}

    def all_have(pairs: list[Pair]) -> bool:
        for pair in network.deployment.pairs:
            seen[pair.spec.endpoint].append(_version(pair))
        return {seen[name][-1] for name in endpoints(pairs)} == {before + 1}

    sheet = _sheet(network.deployment.folder, window_s=700)
    network.deployment.submit_sheet(sheet, before)
    wait_for(lambda: all_have(others), 'the new sheet at the other nodes')
    assert set(seen[isolated.spec.endpoint]) == {before}
    network.heal()
    wait_for(lambda: all_have([isolated]), 'the new sheet at the node that was cut off')
    all_have(others)
    assert all(one == sorted(one) for one in seen.values()), seen


def _change(chunk: bytes, mark: bytes) -> bytes:
    position = chunk.index(mark)
    return chunk[:position] + b'~' + chunk[position + 1 :]


def _cut_end(chunk: bytes, mark: bytes) -> bytes:
    return chunk[: chunk.index(mark)]


DAMAGE: dict[str, tuple[Callable[[bytes, bytes], bytes], bytes]] = {
    'body changed': (_change, b'body_sha256'),
    'header changed': (_change, b'application/json'),
    'outcome changed': (_change, b'answered'),
    'end cut off': (_cut_end, b'body_sha256'),
}


@pytest.mark.parametrize('damage', list(DAMAGE))
def test_a_damaged_response_is_not_passed_on(network: Network, damage: str):
    """Guards against a response that was damaged between nodes and looks intact."""
    entry = network.west[0]
    alter, mark = DAMAGE[damage]
    damaged: list[Chunk] = []

    def damage_response(chunk: Chunk) -> bytes:
        is_response = (
            chunk.listener == PEER and chunk.direction[1] == entry.spec.endpoint
        )
        if not is_response or mark not in chunk.content:
            return chunk.content
        damaged.append(chunk)
        return alter(chunk.content, mark)

    wait_for(
        lambda: _read(entry, OTHER_REGION_PATH) == ANSWERED, 'a call between the nodes'
    )
    network.relay.alter = damage_response
    status, code = _read(entry, OTHER_REGION_PATH)
    network.relay.alter = operator.attrgetter('content')
    assert damaged
    assert (status, bool(code)) == (502, True)
    wait_for(
        lambda: _read(entry, OTHER_REGION_PATH) == ANSWERED, 'calls after the damage'
    )
