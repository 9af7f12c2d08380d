"""Tests of the machine resources that a running node uses."""

import contextlib
from collections.abc import Iterator
from pathlib import Path

import pytest

from process_deployments import (
    upstream_specs,
    new_session,
    run_with_timeout,
    SHEET_FILE,
)
from standins.caller import Caller, Request
from standins.processes import Deployment, running

LIBRARY_THREADS = 5
"""Idle threads: libuv starts four at the first lookup of an address, and aiomisc
creates a pool of one thread with the event loop."""


@pytest.fixture(scope='module')
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run a deployment that has answered calls through all nodes."""
    folder = tmp_path_factory.mktemp('limits')
    with running(folder, SHEET_FILE, upstream_specs()) as started:
        run_with_timeout(_call_all_nodes(started))
        yield started


async def _call_all_nodes(deployment: Deployment) -> None:
    entries = [pair.caller_url for pair in deployment.pairs]
    async with new_session() as session:
        caller = Caller(session, entries)
        for number in range(len(entries) * 2):
            pay = Request(
                'tesoreria', 'POST', '/cuotas', 'dues', f'p{number}', f'k{number}'
            )
            read = Request(
                'catalogo', 'GET', f'/articulos/{number}', 'catalogue', f'r{number}'
            )
            file = Request(
                'biblioteca',
                'GET',
                f'/guias/g{number}/archivo',
                'guides',
                f'f{number}',
                is_file=True,
            )
            for request in (pay, read, file):
                result = await caller.send_until_settled(request)
                assert result.outcome == 'answered', result


def _proc_folders(deployment: Deployment) -> list[Path]:
    return [Path('/proc') / str(pair.node.pid) for pair in deployment.pairs]


def _descriptors(node: Path) -> list[str]:
    found = []
    for link in (node / 'fd').iterdir():
        # A descriptor may be closed between the listing and the reading.
        with contextlib.suppress(FileNotFoundError):
            found.append(str(link.readlink()))
    return found


def test_descriptors_can_be_read(deployment: Deployment):
    """Guards against a check of descriptors that sees none."""
    for node in _proc_folders(deployment):
        found = _descriptors(node)
        assert any(link.startswith('socket:') for link in found), found


def test_no_io_uring(deployment: Deployment):
    """Guards against an event loop that opens io_uring, as uvloop does by default."""
    for node in _proc_folders(deployment):
        found = [link for link in _descriptors(node) if 'io_uring' in link]
        assert found == []


def test_only_one_thread_runs(deployment: Deployment):
    """Guards against work on several threads, which the node has no locks for."""
    before = [_context_switches(node) for node in _proc_folders(deployment)]
    run_with_timeout(_call_all_nodes(deployment))
    for node, start in zip(_proc_folders(deployment), before, strict=True):
        end = _context_switches(node)
        ran = [thread for thread, count in end.items() if start.get(thread) != count]
        assert ran == [node.name], (start, end)
        assert len(end) <= 1 + LIBRARY_THREADS, end


def _context_switches(node: Path) -> dict[str, int]:
    """Return the number of context switches of each thread."""
    return {
        thread.name: _count_switches(thread / 'status') for thread in _threads(node)
    }


def _threads(node: Path) -> list[Path]:
    return list((node / 'task').iterdir())


def _count_switches(status: Path) -> int:
    lines = status.read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines if 'ctxt_switches' in line)


def test_no_child_process(deployment: Deployment):
    """Guards against a library that starts helper processes."""
    for node in _proc_folders(deployment):
        for thread in _threads(node):
            assert not (thread / 'children').read_text().split()


def test_no_shared_memory(deployment: Deployment):
    """Guards against memory shared with another process."""
    for node in _proc_folders(deployment):
        mappings = (node / 'maps').read_text().splitlines()
        assert any('python' in line for line in mappings)
        shared = [line for line in mappings if line.split()[1].endswith('s')]
        names = ('/dev/shm', '/memfd:', '/SYSV')
        shared += [line for line in mappings if any(name in line for name in names)]
        shared += [link for link in _descriptors(node) if '/dev/shm' in link]
        found = [line for line in shared if not _is_file_cache(line)]
        assert found == []


def _is_file_cache(mapping: str) -> bool:
    # glibc maps its table of character set converters shared and read-only.
    return mapping.endswith('gconv-modules.cache') and mapping.split()[1] == 'r--s'
