"""Tests that changes of the settings file take effect while the node runs."""

import asyncio
import json
from pathlib import Path

from gentianmill_mesh.mesh_settings import Address
from gentianmill_platform.boot_settings import BootSettings, parse_boot_settings
from gentianmill_platform.settings_watch import SettingsWatch
from gentianmill_platform.store import Store
from platform_store import FakeStore

FIELDS = {
    'node': 'n',
    'ip': '127.0.0.1',
    'zone': 'a',
    'region': 'r',
    'limits': {'memoryMb': 200},
    'listenAddrs': {
        'outbound': '127.0.0.1:1',
        'ready': '127.0.0.1:2',
        'controlPlane': '127.0.0.1:3',
    },
    'internalPortRange': [4, 5],
    'appAddr': '127.0.0.1:6',
    'service': 's',
    'platform': {'address': '127.0.0.1:7'},
    'bounds': ['grace=6s'],
}


class _Bench:
    def __init__(self, folder: Path) -> None:
        self.path = folder / 'boot.json'
        self.applied: list[BootSettings] = []
        self.write(FIELDS)
        current = parse_boot_settings(self.path.read_bytes())
        self.watch = SettingsWatch(self.path, current, self.applied.append)

    def write(self, fields: dict[str, object]) -> None:
        """Write the file."""
        self.path.write_text(json.dumps(fields))


def test_unchanged_file_changes_nothing(tmp_path: Path):
    """Guards against a reload that interrupts what runs."""
    bench = _Bench(tmp_path)
    bench.watch.reload()
    bench.watch.check()
    assert not bench.applied


def test_change_takes_effect_with_and_without_a_signal(tmp_path: Path):
    """Guards against a new address of the store that is never used."""
    bench = _Bench(tmp_path)
    bench.write(FIELDS | {'platform': {'address': '127.0.0.1:8'}})
    bench.watch.check()
    bench.write(FIELDS | {'bounds': ['grace=9s'], 'appAddr': '127.0.0.1:9'})
    bench.watch.reload()
    assert [settings.store.port for settings in bench.applied] == [8, 7]
    assert bench.applied[1].mesh.stop_within_ms == 9000
    assert bench.applied[1].mesh.upstream == Address('127.0.0.1', 9)


def test_invalid_file_leaves_the_former_settings(tmp_path: Path):
    """Guards against half a file, or a wrong one, that ends or changes the node."""
    bench = _Bench(tmp_path)
    for content in ('', '{', '[]', json.dumps(FIELDS | {'appAddr': 'x'})):
        bench.path.write_text(content)
        bench.watch.check()
    bench.path.unlink()
    bench.watch.check()
    assert not bench.applied
    bench.write(FIELDS | {'bounds': ['grace=7s']})
    bench.watch.check()
    assert len(bench.applied) == 1


def test_store_is_called_at_its_new_address():
    """Guards against a store that has moved and is lost until a restart."""

    async def scenario() -> int:
        async with FakeStore() as first, FakeStore() as second:
            second.put('op', 'config', b'x')
            store = Store(Address('127.0.0.1', first.port))
            await store.start()
            store.move(Address('127.0.0.1', second.port))
            snapshot = await store.read('op')
            await store.close()
            return len(snapshot.rows)

    assert asyncio.run(scenario()) == 1


def test_memory_limit_is_read(tmp_path: Path):
    """Guards against a node that does not know what memory it has."""
    bench = _Bench(tmp_path)
    assert parse_boot_settings(bench.path.read_bytes()).mesh.memory_bytes == 200_000_000
