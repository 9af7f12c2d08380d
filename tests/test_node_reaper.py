"""Tests of which nodes delete the registry records of unreachable nodes."""

import asyncio

from gentianmill.clock import Clock
from gentianmill.node_table import NodeRecord, NodeTable
from gentianmill.stale_records import (
    STALE_AFTER_MS,
    WATCHER_STAGGER_MS,
    WATCHERS_PER_RECORD,
)
from gentianmill_mesh.node_reaper import NodeReaper
from node_records import node_record

DELETED_BY_MS = STALE_AFTER_MS + WATCHERS_PER_RECORD * WATCHER_STAGGER_MS


class _Clock(Clock):
    def __init__(self) -> None:
        self.ms = float(0)

    def now_ms(self) -> float:
        return self.ms


class _Link:
    def __init__(self, *, reachable: bool) -> None:
        self._reachable = reachable

    async def reach(self) -> bool:
        """Return whether the node can be reached."""
        return self._reachable


class _Links:
    def __init__(self) -> None:
        self.unreachable: set[str] = set()
        self.is_well_connected = True

    def to(self, record: NodeRecord) -> _Link:
        """Return the link to a node."""
        return _Link(reachable=record.name not in self.unreachable)


class _Registry:
    def __init__(self) -> None:
        self.deleted: list[str] = []

    async def delete(self, record: NodeRecord) -> bool:
        """Record a deletion."""
        self.deleted.append(record.name)
        return True


def _reap(links: _Links, *, times_ms: tuple[float, ...]) -> list[str]:
    clock = _Clock()
    registry = _Registry()
    table = NodeTable()
    table.merge([node_record(name) for name in ('own', 'a', 'b', 'c')])
    reaper = NodeReaper('own', table, links, registry, clock)

    async def check() -> None:
        for now_ms in times_ms:
            clock.ms = now_ms
            await reaper.check()

    asyncio.run(check())
    return registry.deleted


def test_node_that_is_unreachable_for_long_is_deleted():
    """Each node would keep trying to connect to the address of a stale record."""
    links = _Links()
    links.unreachable = {'b'}
    assert _reap(links, times_ms=(0, DELETED_BY_MS)) == ['b']


def test_node_that_is_unreachable_briefly_is_kept():
    """A node that restarts is unreachable for some seconds."""
    links = _Links()
    links.unreachable = {'b'}
    assert not _reap(links, times_ms=(0, STALE_AFTER_MS / 2))


def test_node_that_reaches_few_others_deletes_none():
    """An isolated node would delete the records of all nodes that it watches."""
    links = _Links()
    links.unreachable = {'a', 'b', 'c'}
    links.is_well_connected = False
    assert not _reap(links, times_ms=(0, DELETED_BY_MS))
