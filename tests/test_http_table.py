"""Tests of the HTTP table client against the simulated platform."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable

import pytest
from aiohttp import ClientSession

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.settings_models import TableModel
from gentianmill_node.http_table import HttpTableStore
from gentianmill_node.table_client import TableStore, TableWrite
from http_platform import http_store
from standins.faults import FaultMode, Faults, RateLimit
from standins.table import MemoryTableStore, SimulatedTable

SPECIAL_CHARACTER_KEYS = ('claims/a/b/c', 'a%2Fb', 'a b?c#d&e', 'é%25', '..')


@contextlib.asynccontextmanager
async def _memory_store() -> AsyncIterator[tuple]:
    table = SimulatedTable()
    yield MemoryTableStore(table), table


both_stores = pytest.mark.parametrize('make', [http_store, _memory_store])


async def _expect_unavailable(operation: Awaitable[object]) -> GentianmillError:
    with pytest.raises(GentianmillError) as caught:
        await operation
    assert caught.value.code is ErrorCode.store_unavailable
    return caught.value


def _put(key: str, revision: int | None, value: bytes | None = b'v') -> TableWrite:
    return TableWrite(key, value, revision)


@both_stores
def test_round_trip_of_keys_with_special_characters(make):
    """Guards against a key that URL quoting maps to another row."""

    async def scenario(store: TableStore) -> None:
        writes = [_put(key, 0, key.encode()) for key in SPECIAL_CHARACTER_KEYS]
        assert await store.transact(writes) == ()
        rows = await asyncio.gather(*map(store.read, SPECIAL_CHARACTER_KEYS))
        assert [row.key for row in rows] == list(SPECIAL_CHARACTER_KEYS)
        assert [row.value.decode() for row in rows] == list(SPECIAL_CHARACTER_KEYS)
        assert [row.key for row in await store.scan('a')] == ['a b?c#d&e', 'a%2Fb']
        assert await store.first_keys('a', 1) == ['a b?c#d&e']
        assert await store.first_keys('claims/a/', 9) == ['claims/a/b/c']
        assert await store.read('absent') is None

    _run(make, scenario)


@both_stores
def test_transaction_applies_all_writes_or_none(make):
    """Guards against a claim that is written although another row conflicts."""

    async def scenario(store: TableStore) -> None:
        assert await store.transact([_put('a', 0)]) == ()
        assert await store.transact([_put('a', 0), _put('b', 0)]) == ('a',)
        assert await store.read('b') is None
        row = await store.read('a')
        assert await store.transact([_put('a', row.revision, b'w')]) == ()
        assert await store.transact([_put('a', row.revision, None)]) == ('a',)
        assert await store.transact([_put('a', None, None)]) == ()
        assert await store.read('a') is None

    _run(make, scenario)


@both_stores
def test_faults_become_store_unavailable(make):
    """Guards against an outage that looks like a missing row."""

    async def run() -> None:
        async with make() as (store, owner):
            owner.gate.faults = Faults(mode=FaultMode.down)
            await _expect_unavailable(store.read('a'))
            await _expect_unavailable(store.scan('a'))
            await _expect_unavailable(store.first_keys('a', 1))
            await _expect_unavailable(store.transact([_put('a', 0)]))
            owner.gate.faults = Faults()
            assert await store.read('a') is None
            owner.gate.faults = Faults(mode=FaultMode.lose_answers)
            await _expect_unavailable(store.transact([_put('a', 0)]))
            assert (await store.read('a')).value == b'v'

    asyncio.run(run())


def test_timeout_becomes_store_unavailable_and_the_write_may_apply_later():
    """Guards against treating a timed-out write as one that had no effect."""

    async def run() -> None:
        async with http_store(timeout_ms=50) as (store, platform):
            platform.gate.faults = Faults(mode=FaultMode.slow, delay_ms=200)
            await _expect_unavailable(store.transact([_put('a', 0)]))
            platform.gate.faults = Faults()
            while not platform.table.rows:
                await asyncio.sleep(0.01)
            assert (await store.read('a')).value == b'v'

    asyncio.run(run())


def test_unexpected_status_and_closed_port_become_store_unavailable():
    """Guards against errors of the HTTP library that reach callers."""

    async def run() -> None:
        async with http_store() as (store, platform):
            platform.objects['rows'] = b'not msgpack'
            async with ClientSession() as session:
                base = f'{store._url}/objects'
                wrong_path = HttpTableStore(TableModel(url=base), session)
                await _expect_unavailable(wrong_path.transact([_put('a', 0)]))
                closed = HttpTableStore(TableModel(url='http://127.0.0.1:1'), session)
                await _expect_unavailable(closed.read('a'))

    asyncio.run(run())


def test_sends_the_key_of_the_table_service(tmp_path):
    """Guards against a key file that is read but never sent."""
    key_file = tmp_path / 'key'
    key_file.write_text('secret\n')
    settings = TableModel(url='http://127.0.0.1:1', key_file=str(key_file))

    async def run() -> dict[str, str]:
        async with ClientSession() as session:
            return HttpTableStore(settings, session)._headers

    assert asyncio.run(run()) == {'Authorization': 'Bearer secret'}


def test_faults_are_set_over_http():
    """Guards against a fault setting that is accepted but ignored."""

    async def run() -> None:
        async with http_store() as (store, platform), ClientSession() as http:
            url = f'{store._url}/faults'
            for invalid in ({'mode': 'odd'}, {'other': 1}):
                async with http.post(url, json=invalid) as refused:
                    assert refused.status == 400
            limit = {'rate_limit': {'writes': 300, 'reads': 2000}}
            async with http.post(url, json=limit) as limited:
                assert limited.status == 200
            assert platform.gate.faults.rate_limit == RateLimit(300, 2000)
            async with http.post(url, json={'mode': 'down'}) as down:
                assert down.status == 200
            await _expect_unavailable(store.read('a'))

    asyncio.run(run())


def test_objects_round_trip():
    """Guards against an object store that loses bytes."""

    async def run() -> None:
        async with http_store() as (store, _), ClientSession() as http:
            url = f'{store._url}/objects/guides/finishing.pdf'
            async with http.get(url) as absent:
                assert absent.status == 404
            async with http.put(url, data=b'\x00\xff' * 9) as written:
                assert written.status == 200
            async with http.get(url) as found:
                assert await found.read() == b'\x00\xff' * 9

    asyncio.run(run())


def _run(make, scenario) -> None:
    async def run() -> None:
        async with make() as (store, _):
            await scenario(store)

    asyncio.run(run())
