"""Tests of planning sheets at running nodes, with concurrent submissions."""

import json
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
import yaml

from process_deployments import REGION, SHEET_FILE, upstream_specs
from standins.processes import (
    HOST,
    OPERATOR_KEY,
    Deployment,
    Pair,
    UpstreamSpec,
    http,
    running,
    wait_for,
)

CONFLICT_EXIT_CODE = 3
POLL_INTERVAL_S = 0.05


class VersionWatch:
    """Poll the sheet version of each node."""

    def __init__(self, deployment: Deployment) -> None:
        """Start to poll."""
        self._deployment = deployment
        self._seen: dict[str, list[int]] = {}
        self._stopped = threading.Event()
        self._poll_all()
        self._thread = threading.Thread(target=self._poll_until_stopped)
        self._thread.start()

    def stop(self) -> dict[str, list[int]]:
        """Stop and return the versions seen by node id, which changes at each start."""
        self._stopped.set()
        self._thread.join()
        self._poll_all()
        return self._seen

    def _poll_until_stopped(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            self._poll_all()

    def _poll_all(self) -> None:
        for pair in self._deployment.pairs:
            self._poll(pair)

    def _poll(self, pair: Pair) -> None:
        health = _health(pair)
        if health:
            versions = self._seen.setdefault(health['node_id'], [])
            versions.append(health['sheet_version'])


@pytest.fixture(scope='module')
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run four nodes; afterwards no node may have gone back to a lower version."""
    folder = tmp_path_factory.mktemp('sheet')
    with running(folder, SHEET_FILE, upstream_specs()) as started:
        watch = VersionWatch(started)
        try:
            yield started
        finally:
            seen = watch.stop()
    assert len(seen) > len(started.pairs)
    assert all(one == sorted(one) for one in seen.values()), seen


def _health(pair: Pair) -> dict | None:
    try:
        return http('GET', f'{pair.operator_url}/health')[1]
    except (OSError, ValueError):
        return None


def _version(pair: Pair) -> int:
    health = _health(pair)
    return health['sheet_version'] if health else 0


def _sheet(deployment: Deployment, name: str, window_s: int) -> Path:
    sheet = yaml.safe_load(SHEET_FILE.read_text())
    sheet['retry']['window_s'] = window_s
    path = deployment.folder / f'{name}.yaml'
    path.write_text(yaml.safe_dump(sheet, sort_keys=False))
    return path


def _submit(deployment: Deployment, path: Path, expected: int) -> subprocess.Popen:
    return subprocess.Popen(
        [
            Path(sys.executable).parent / 'gentianmillctl',
            'submit',
            path,
            '--table',
            deployment.platform_url,
            '--expect',
            str(expected),
            '--by',
            path.stem,
            '--json',
        ],
        stdout=subprocess.PIPE,
        text=True,
    )


def _wait_for_version(deployment: Deployment, version: int) -> None:
    wait_for(
        lambda: all(_version(pair) == version for pair in deployment.pairs),
        f'version {version} at all nodes',
    )


def test_one_of_two_concurrent_submissions_wins(deployment: Deployment):
    """Guards against a submission that overwrites one its operator has not seen."""
    before = _version(deployment.pairs[0])
    submissions = {
        name: _submit(deployment, _sheet(deployment, name, window_s), before)
        for name, window_s in (('ana', 500), ('luis', 400))
    }
    outputs = {name: process.communicate()[0] for name, process in submissions.items()}
    codes = {name: process.returncode for name, process in submissions.items()}
    assert sorted(codes.values()) == [0, CONFLICT_EXIT_CODE], outputs
    winner = next(name for name, code in codes.items() if code == 0)
    loser = next(name for name, code in codes.items() if code == CONFLICT_EXIT_CODE)
    conflict = json.loads(outputs[loser])
    assert conflict['code'] == 'version_conflict'
    assert (conflict['version'], conflict['accepted_by']) == (before + 1, winner)
    assert conflict['differences']
    _wait_for_version(deployment, before + 1)
    for pair in deployment.pairs:
        _, sheet = http('GET', f'{pair.operator_url}/v1/sheet', key=OPERATOR_KEY)
        assert sheet['accepted_by'] == winner
        assert sheet['text'] == (deployment.folder / f'{winner}.yaml').read_text()


def test_versions_reach_all_nodes_in_order(deployment: Deployment):
    """Guards against an amendment that a node misses or reverts."""
    first = _version(deployment.pairs[0])
    for version in range(first, first + 3):
        path = _sheet(deployment, f'amendment-{version}', 300 + version)
        assert _submit(deployment, path, version).wait() == 0
    _wait_for_version(deployment, first + 3)


def _restart(deployment: Deployment, pair: Pair, seeds: list[str]) -> None:
    settings = yaml.safe_load(pair.settings_file.read_text())
    settings['membership']['seeds'] = seeds
    pair.settings_file.write_text(yaml.safe_dump(settings))
    pair.node.send_signal(signal.SIGKILL)
    pair.node.wait()
    deployment.start_node(pair)


@pytest.fixture
def outage(deployment: Deployment) -> Iterator[int]:
    """Make the table unavailable and yield the sheet version in force."""
    version = _version(deployment.pairs[-1])
    deployment.set_faults(mode='down')
    yield version
    deployment.set_faults()
    wait_for(
        lambda: all(_is_ready(pair, version) for pair in deployment.pairs),
        'the end of the outage',
    )


def test_a_node_restarted_during_an_outage_gets_its_sheet(
    deployment: Deployment, outage: int
):
    """Guards against a restarted node that waits for the table to get its sheet.

    One node has a seed. The other has none and is found by the peers that still
    probe its address.
    """
    unseeded, seeded, seed = deployment.pairs[:3]
    _restart(deployment, seeded, [f'{HOST}:{seed.ports["control"]}'])
    _restart(deployment, unseeded, [])
    wait_for(lambda: _version(seeded) == outage, 'the sheet from the seed')
    wait_for(lambda: _version(unseeded) == outage, 'the sheet from a peer')


def test_a_new_node_is_not_ready_during_an_outage(deployment: Deployment, outage: int):
    """Guards against a node that serves without a sheet or hides why it does not.

    No other node knows the new one, so none can send it the sheet.
    """
    new_pair = deployment.add(
        UpstreamSpec('catalogo', 'catalogo-new', REGION, f'{REGION}-a')
    )
    deployment.start_upstream(new_pair)
    deployment.start_node(new_pair)
    wait_for(lambda: 'table' in _reason(new_pair), 'the reason of the new node')
    status, health = http('GET', f'{new_pair.operator_url}/health')
    assert (status, health['ready'], health['sheet_version']) == (503, False, 0)
    status, fields = http('GET', f'{new_pair.caller_url}/tesoreria/cuotas/m1')
    assert (status, fields['code']) == (503, 'no_sheet')
    assert 'table' in fields['message']


def _is_ready(pair: Pair, version: int) -> bool:
    health = _health(pair)
    return bool(health and health['ready'] and health['sheet_version'] == version)


def _reason(pair: Pair) -> str:
    health = _health(pair)
    return health['reason'] if health else ''
