"""Tests of the claim store over the in-memory table."""

import asyncio
import contextlib
import uuid
from collections.abc import AsyncIterator

import pytest

from gentianmill.claims import ClaimRow
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill_node import _claim_committer as committer
from gentianmill_node.claim_store import (
    Claim,
    ClaimRequest,
    ClaimStore,
    StoredResponse,
)
from http_platform import http_store
from sequentially import sequentially
from standins.faults import FaultMode, Faults
from standins.table import MemoryTableStore, SimulatedTable
from virtual_time import LoopClock, run_virtual

PAUSE_MS = 40
RESPONSE = StoredResponse(201, {'X-A': 'b'}, b'done')


def _request(key: str = 'k', digest: bytes = b'd', in_ms: float = 5000) -> ClaimRequest:
    deadline_ms = LoopClock().now_ms() + in_ms
    return ClaimRequest('billing', 'shop', key, digest, deadline_ms)


def _store(table: SimulatedTable, name: str = 'n1') -> ClaimStore:
    return ClaimStore(
        MemoryTableStore(table), LoopClock(), name, lambda: PAUSE_MS, lambda: 1.8e9
    )


@contextlib.asynccontextmanager
async def _stores(table: SimulatedTable, count: int = 1) -> AsyncIterator[list]:
    stores = [_store(table, f'n{number}') for number in range(count)]
    await asyncio.gather(*(store.start() for store in stores))
    yield stores
    await asyncio.gather(*(store.close() for store in stores))


async def _claimed(store: ClaimStore, request: ClaimRequest) -> Claim:
    claim = await store.claim(request)
    assert isinstance(claim, Claim)
    return claim


async def _code(operation) -> tuple[ErrorCode, Outcome]:
    with pytest.raises(GentianmillError) as caught:
        await operation
    return caught.value.code, caught.value.outcome


def _rows(table: SimulatedTable) -> dict[str, ClaimRow]:
    return {key: ClaimRow.decode(row.value) for key, row in table.rows.items()}


def test_claims_of_one_node_share_transactions():
    """Guards against a write rate that grows with the call rate."""
    table = SimulatedTable()

    async def run() -> None:
        async with _stores(table) as stores:
            store = stores[0]
            requests = [_request(f'k{number}') for number in range(100)]
            claims = await asyncio.gather(*map(store.claim, requests))
            async for claim in sequentially(claims):
                await store.record(claim, RESPONSE)

    run_virtual(run())
    assert len(table.rows) == 200
    assert table.transactions <= 3


def test_pauses_between_transactions():
    """Guards against exceeding the write budget of the table."""
    table = SimulatedTable()

    async def run() -> float:
        async with _stores(table) as stores:
            store = stores[0]
            async for number in sequentially(range(10)):
                claim = await _claimed(store, _request(f'k{number}'))
                await store.record(claim, RESPONSE)
            return LoopClock().now_ms()

    elapsed_ms = run_virtual(run())
    assert table.transactions <= elapsed_ms / PAUSE_MS + 2


def test_resend_gets_the_recorded_response_from_any_node():
    """Guards against a second execution after a lost response."""
    table = SimulatedTable()

    async def run() -> None:
        async with _stores(table, 2) as (first, second):
            claim = await _claimed(first, _request())
            joined = asyncio.ensure_future(first.claim(_request()))
            polling = asyncio.ensure_future(second.claim(_request()))
            await asyncio.sleep(1)
            await first.record(claim, RESPONSE)
            assert await joined == RESPONSE
            assert await polling == RESPONSE
            assert await first.claim(_request()) == RESPONSE
            used = (ErrorCode.key_reused, Outcome.not_run)
            assert await _code(second.claim(_request(digest=b'x'))) == used

    run_virtual(run())


def test_keys_of_other_tenants_and_services_do_not_collide():
    """Guards against a separator within a name that leads to the row of another key."""
    rows = [
        ClaimRow('s', 'a/b', 'c', b'', 'i', 'n'),
        ClaimRow('s', 'a', 'b/c', b'', 'i', 'n'),
        ClaimRow('s', 'a%2Fb', 'c', b'', 'i', 'n'),
    ]
    assert len({row.row_key for row in rows}) == 3


def test_waiters_report_unknown_at_their_deadline():
    """Guards against reporting not_run to a caller while another call may run."""
    table = SimulatedTable()
    unknown = (ErrorCode.in_progress, Outcome.unknown)

    async def run() -> None:
        async with _stores(table, 2) as (first, second):
            claim = await _claimed(first, _request())
            waits = [first.claim(_request()), second.claim(_request())]
            assert await asyncio.gather(*map(_code, waits)) == [unknown, unknown]
            await first.record(claim, RESPONSE)

    run_virtual(run())


def test_abandoned_call_is_reported_as_unknown_without_waiting():
    """Guards against callers that wait for a response that will never arrive."""
    table = SimulatedTable()

    async def run() -> None:
        async with _stores(table, 2) as (first, second):
            claim = await _claimed(first, _request())
            joined = asyncio.ensure_future(_code(first.claim(_request())))
            await asyncio.sleep(0.1)
            await first.abandon(claim)
            assert await joined == (ErrorCode.in_progress, Outcome.unknown)
            await asyncio.sleep(0.1)
            start_ms = LoopClock().now_ms()
            await _code(second.claim(_request()))
            assert LoopClock().now_ms() - start_ms < 500
            assert first.size == 0

    run_virtual(run())


def test_released_key_goes_to_a_waiter():
    """Guards against a key that stays reserved after its call was shed."""
    table = SimulatedTable()

    async def run() -> None:
        async with _stores(table, 2) as (first, second):
            claim = await _claimed(first, _request())
            waits = [first.claim(_request()), second.claim(_request())]
            waiting = [asyncio.ensure_future(wait) for wait in waits]
            await asyncio.sleep(0.2)
            await first.release(claim)
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            assert len(done) == 1
            winner = done.pop().result()
            await (first if winner.row.holder == 'n0' else second).record(
                winner, RESPONSE
            )
            responses = await asyncio.gather(*waiting)
            assert RESPONSE in responses

    run_virtual(run())


def test_conflict_of_one_key_does_not_fail_the_others():
    """Guards against one resent key that causes the refusal of all calls of a node."""
    table = SimulatedTable()

    async def run() -> None:
        async with _stores(table, 2) as (first, second):
            held = await _claimed(first, _request('k0'))
            requests = [_request(f'k{number}') for number in range(5)]
            waiting = [asyncio.ensure_future(second.claim(r)) for r in requests]
            others = await asyncio.gather(*waiting[1:])
            assert all(isinstance(claim, Claim) for claim in others)
            await first.record(held, RESPONSE)
            assert await waiting[0] == RESPONSE
            async for claim in sequentially(others):
                await second.release(claim)

    run_virtual(run())
    assert set(_rows(table)) == {
        held_key for held_key in _rows(table) if '/k0' in held_key
    }


def test_lost_response_to_a_claim_write_is_resolved_by_the_claim_id():
    """Guards against refusing a call, or running it twice, after a lost response."""
    table = SimulatedTable()
    table.gate.faults = Faults(mode=FaultMode.lose_answers)

    async def run() -> None:
        async with _stores(table, 2) as (first, second):
            claims = [first.claim(_request()), second.claim(_request())]
            waiting = [asyncio.ensure_future(claim) for claim in claims]
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            claim = done.pop().result()
            assert isinstance(claim, Claim)
            await (first if claim.row.holder == 'n0' else second).record(
                claim, RESPONSE
            )
            assert RESPONSE in await asyncio.gather(*waiting)
            table.gate.faults = Faults()

    run_virtual(run())


def test_outage_refuses_claims_and_keeps_responses():
    """Guards against losing a response that could not be written at once."""
    table = SimulatedTable()
    refused = (ErrorCode.store_unavailable, Outcome.not_run)

    async def run() -> None:
        async with _stores(table) as stores:
            store = stores[0]
            claim = await _claimed(store, _request())
            table.gate.faults = Faults(mode=FaultMode.down)
            await store.record(claim, RESPONSE)
            async for number in sequentially(range(20)):
                assert await store.claim(_request()) == RESPONSE
                assert await _code(store.claim(_request(f'n{number}'))) == refused
                await asyncio.sleep(0.5)
            assert store.size <= 2
            table.gate.faults = Faults()
            await asyncio.sleep(2)
            assert await store.claim(_request()) == RESPONSE
            again = await _claimed(store, _request('n0'))
            await store.release(again)
            await asyncio.sleep(60)
            assert store.size == 0

    run_virtual(run())
    assert len(table.rows) == 2


class _TimeoutClient(MemoryTableStore):
    """A client whose writes time out after 2 s."""

    async def transact(self, writes):
        """Write, or report that the result is unknown."""
        try:
            return await asyncio.wait_for(super().transact(writes), 2)
        except TimeoutError as error:
            raise GentianmillError(
                ErrorCode.store_unavailable, 'table', '', 'timeout'
            ) from error


def test_late_write_of_a_refused_claim_is_released():
    """Guards against a key blocked by a write that took effect too late."""
    table = SimulatedTable()

    async def run() -> None:
        store = ClaimStore(_TimeoutClient(table), LoopClock(), 'n', lambda: PAUSE_MS)
        await store.start()
        table.gate.faults = Faults(mode=FaultMode.slow, delay_ms=6000)
        late = (ErrorCode.deadline, Outcome.expired)
        assert await _code(store.claim(_request())) == late
        table.gate.faults = Faults()
        await asyncio.sleep(60)
        assert store.size == 0
        await store.close()

    run_virtual(run())
    assert not table.rows


@pytest.mark.parametrize('after_ms', range(0, 400, 10))
@pytest.mark.parametrize('mode', [FaultMode.slow, FaultMode.lose_answers])
def test_cancelled_claim_leaves_nothing_behind(mode, after_ms):
    """Guards against a claim that a cancelled call leaves in table or memory."""
    table = SimulatedTable()
    table.gate.faults = Faults(mode=mode, delay_ms=100)

    async def run() -> None:
        async with _stores(table, 2) as (store, other):
            blocker = await _claimed(other, _request())
            task = asyncio.ensure_future(store.claim(_request()))
            single = asyncio.ensure_future(store.claim(_request('single')))
            await asyncio.sleep(after_ms / 1000)
            task.cancel()
            single.cancel()
            left = await asyncio.gather(task, single, return_exceptions=True)
            async for claim in sequentially(left):
                if isinstance(claim, Claim):
                    await store.release(claim)
            await other.release(blocker)
            table.gate.faults = Faults()
            await asyncio.sleep(60)
            assert (store.size, other.size) == (0, 0)
            assert not store._calls

    run_virtual(run())
    assert not table.rows


def test_cancelled_joiner_does_not_cancel_the_call():
    """Guards against losing the response of a call when a joined caller leaves."""
    table = SimulatedTable()

    async def run() -> None:
        async with _stores(table) as stores:
            store = stores[0]
            claim = await _claimed(store, _request())
            joiner = asyncio.ensure_future(store.claim(_request()))
            other = asyncio.ensure_future(store.claim(_request()))
            await asyncio.sleep(0.1)
            joiner.cancel()
            await asyncio.sleep(0)
            await store.record(claim, RESPONSE)
            assert await other == RESPONSE

    run_virtual(run())


def test_close_writes_pending_responses_and_refuses_claims():
    """Guards against losing responses in a planned stop."""
    table = SimulatedTable()

    async def run() -> None:
        store = _store(table)
        await store.start()
        claim = await _claimed(store, _request())
        await store.record(claim, RESPONSE)
        await store.close()
        refused = await _code(store.claim(_request('other')))
        assert refused == (ErrorCode.draining, Outcome.not_run)

    run_virtual(run())
    assert [row.response for row in _rows(table).values()] == [None, RESPONSE]


def test_close_ends_during_an_outage():
    """Guards against a node that cannot stop while the table is down."""
    table = SimulatedTable()

    async def run() -> None:
        store = _store(table)
        await store.start()
        claim = await _claimed(store, _request())
        table.gate.faults = Faults(mode=FaultMode.down)
        await store.record(claim, RESPONSE)
        await store.close(limit_ms=3000)

    run_virtual(run())


def test_old_uuid7_and_overlong_keys_are_refused():
    """Guards against running a call whose row may have been deleted."""
    table = SimulatedTable()
    now_ms = 1_800_000_000_000

    def key_of_age(age_days: float) -> str:
        stamp = int(now_ms - age_days * 86_400_000)
        return str(uuid.UUID(int=stamp << 80 | 7 << 76 | 2 << 62 | 5))

    async def run() -> None:
        async with _stores(table) as stores:
            store = stores[0]
            expired = (ErrorCode.key_expired, Outcome.not_run)
            assert await _code(store.claim(_request(key_of_age(35.1)))) == expired
            young = await _claimed(store, _request(key_of_age(34.9)))
            await store.release(young)
            bad = (ErrorCode.bad_request, Outcome.not_run)
            assert await _code(store.claim(_request('x' * 256))) == bad
            assert await _code(store.claim(_request(''))) == bad

    run_virtual(run())


class _BrokenOnce(MemoryTableStore):
    """A client whose first write raises an unexpected error."""

    def __init__(self, table: SimulatedTable) -> None:
        super().__init__(table)
        self._broken = True

    async def transact(self, writes):
        """Fail once with an error that is not one of the table's."""
        if self._broken:
            self._broken = False
            raise RuntimeError('session is closed')
        return await super().transact(writes)


def test_unexpected_errors_do_not_stop_the_loop():
    """Guards against one unexpected error that ends all writes of a node."""
    table = SimulatedTable()

    async def run() -> None:
        store = ClaimStore(_BrokenOnce(table), LoopClock(), 'n', lambda: PAUSE_MS)
        await store.start()
        refused = (ErrorCode.store_unavailable, Outcome.not_run)
        assert await _code(store.claim(_request())) == refused
        await asyncio.sleep(1)
        claim = await _claimed(store, _request())
        await store.record(claim, RESPONSE)
        await asyncio.sleep(60)
        assert store.size == 0
        await store.close()

    run_virtual(run())


def test_memory_is_bounded(monkeypatch):
    """Guards against claims that accumulate while writes are slow."""
    monkeypatch.setattr(committer, 'MAX_RESPONSE_BYTES', 1000)
    table = SimulatedTable()

    async def run() -> None:
        async with _stores(table) as stores:
            claim = await _claimed(stores[0], _request())
            table.gate.faults = Faults(mode=FaultMode.slow, delay_ms=300)
            await stores[0].record(claim, StoredResponse(200, {}, b'x' * 1000))
            refused = (ErrorCode.store_unavailable, Outcome.not_run)
            assert await _code(stores[0].claim(_request('a'))) == refused
            await asyncio.sleep(1)
            await stores[0].release(await _claimed(stores[0], _request('a')))

    run_virtual(run())


def test_claims_over_http_with_lost_responses():
    """Guards against a protocol that is correct only with the in-memory table."""

    async def run() -> None:
        async with http_store() as (table, platform):
            platform.gate.faults = Faults(mode=FaultMode.lose_answers)
            stores = [
                ClaimStore(table, LoopClock(), name, lambda: 1) for name in ('a', 'b')
            ]
            await asyncio.gather(*(store.start() for store in stores))
            claim = await _claimed(stores[0], _request('k/1'))
            resend = asyncio.ensure_future(stores[1].claim(_request('k/1')))
            await stores[0].record(claim, RESPONSE)
            assert await resend == RESPONSE
            platform.gate.faults = Faults()
            await asyncio.gather(*(store.close(100) for store in stores))

    asyncio.run(run())
