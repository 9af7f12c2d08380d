"""Tests of the settlement of claims by an operator."""

import asyncio
import json

import aiohttp
import pytest
from row_table import AppThread, RowTable

from gentianmill.claims import (
    ClaimTracker,
    ClaimRow,
    ClaimState,
    ClaimStep,
    StoredResponse,
)
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill_ctl import settle
from gentianmill_ctl.cli import run
from gentianmill_ctl.settle import ClaimName, Settlement, Verdict
from gentianmill_ctl.table_access import TableAccess
from gentianmill_node.claim_store import ClaimRequest, ClaimStore
from http_platform import http_store
from virtual_time import LoopClock

CLAIM = ClaimRow('billing', 'shop', 'k', b'd', 'id1', 'n1')
HOLDER_KEY = 'members/n1'
RESPONSE = StoredResponse(201, {}, b'done')


@pytest.fixture
def table():
    """Provide a table with one claim whose holder is dead."""
    created = RowTable()
    created.put(CLAIM.row_key, CLAIM.encode())
    return created


@pytest.fixture
def url(table: RowTable, monkeypatch: pytest.MonkeyPatch):
    """Serve the table; shorten the time for which a holder's row is watched."""
    monkeypatch.setattr(settle.Settlement.send, '__defaults__', (0.04, 0.01))
    with AppThread(table.app()) as server:
        yield server.url


def _settle(url: str, status: int = 201, by: str = 'ana', key: str = 'k') -> int:
    arguments = ['settle', 'billing', 'shop', key, '--table', url, '--json']
    return run([*arguments, '--status', str(status), '--by', by])


def _row(table: RowTable, key: str) -> ClaimRow:
    return ClaimRow.decode(table.rows[key][0])


def _response_row(state: ClaimState, response: StoredResponse | None = None) -> bytes:
    fields = CLAIM.service, CLAIM.tenant, CLAIM.key, CLAIM.digest, 'id1', 'n1'
    return ClaimRow(*fields, state, response).encode()


@pytest.mark.parametrize(
    ('status', 'state'), [(201, ClaimState.recorded), (0, ClaimState.not_run)]
)
def test_a_settled_claim_names_operator_and_result(table, url, status, state, capsys):
    """Guards against a settlement that later resends or auditors cannot read."""
    assert _settle(url, status) == 0
    claim, response_row = _row(table, CLAIM.row_key), _row(table, CLAIM.response_key)
    assert (claim.state, claim.settled_by) == (ClaimState.settled, 'ana')
    assert (response_row.state, response_row.settled_by) == (state, 'ana')
    response = StoredResponse(status, {}, b'') if status else None
    assert response_row.response == response
    assert HOLDER_KEY not in table.rows
    assert _settle(url, status) == 0
    assert _settle(url, status, 'ben') == 1
    assert _settle(url, 204) == 1
    assert table.transactions == 1
    printed = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert printed['code'] == 'settlement_refused'


def test_a_claim_with_a_response_is_refused(table, url, capsys):
    """Guards against an operator who overwrites the response of an upstream."""
    table.put(CLAIM.response_key, _response_row(ClaimState.recorded, RESPONSE))
    assert _settle(url) == 1
    assert _settle(url, key='absent') == 1
    assert not table.transactions
    capsys.readouterr()


def test_an_abandoned_claim_is_settled_although_its_holder_lives(table, url, capsys):
    """Guards against calls lost in an upstream's crash that stay unknown."""
    table.put(CLAIM.response_key, _response_row(ClaimState.abandoned))
    table.put(HOLDER_KEY, b'refreshed')
    assert _settle(url) == 0
    assert _row(table, CLAIM.response_key).response.status == 201
    capsys.readouterr()


def test_a_claim_of_a_live_holder_is_refused_and_of_a_stale_one_is_not(
    table, url, capsys
):
    """Guards against settling a call that its holder may still run."""
    table.put(HOLDER_KEY, b'1')
    reads = iter(range(100))
    table.before_read = lambda: next(reads) == 4 and table.put(HOLDER_KEY, b'2')
    assert _settle(url) == 1
    assert 'may still run' in json.loads(capsys.readouterr().out)['message']
    assert not table.transactions
    table.before_read = None
    assert _settle(url) == 0
    assert table.rows[HOLDER_KEY][0] == b'2'


@pytest.mark.parametrize('key', [CLAIM.row_key, CLAIM.response_key, HOLDER_KEY])
def test_a_row_that_changes_before_the_write_is_a_conflict(table, url, key, capsys):
    """Guards against overwriting what a holder or operator wrote at the last moment."""
    row = _response_row(ClaimState.recorded, RESPONSE)
    table.before_write = lambda: table.put(key, row)
    assert _settle(url) == 3
    assert table.rows[key][0] == row
    capsys.readouterr()


def test_a_paused_holder_does_not_run_a_settled_claim():
    """Guards against a call that runs after its caller got the outcome ``not_run``."""
    tracker = ClaimTracker()
    claim = tracker.open(CLAIM)
    tracker.on_unknown(tracker.next_batch())
    settled = ClaimRow(
        'billing', 'shop', 'k', b'd', 'id1', 'n1', ClaimState.settled, None, 'ana'
    )
    assert claim.step is ClaimStep.unresolved
    tracker.on_read(claim, settled, 2, 0)
    assert claim.step is ClaimStep.releasing
    assert claim.rival == settled
    tracker.on_read(claim, settled, 2, 0)
    assert claim.step is ClaimStep.releasing


async def _resend(store, status: int) -> StoredResponse | GentianmillError:
    """Claim at a node that stops, settle the claim and resend it to another node."""
    nodes = [
        ClaimStore(store, LoopClock(), name, lambda: 1, lambda: 1.8e9)
        for name in ('n1', 'n2')
    ]
    await asyncio.gather(*[node.start() for node in nodes])
    request = ClaimRequest('billing', 'shop', 'k', b'd', LoopClock().now_ms() + 60_000)
    await nodes[0].claim(request)
    await nodes[0].close(0)
    async with aiohttp.ClientSession() as session:
        table = TableAccess(store._url, session)
        name = ClaimName('billing', 'shop', 'k')
        await Settlement(table, name, Verdict(status, 'ana')).send()
    try:
        return await nodes[1].claim(request)
    except GentianmillError as error:
        return error
    finally:
        await nodes[1].close()


def test_resends_get_the_settled_result():
    """Guards against a settled claim that stays unknown, or runs again."""

    async def scenario(status: int) -> object:
        async with http_store() as (store, _):
            return await _resend(store, status)

    assert asyncio.run(scenario(201)) == StoredResponse(201, {}, b'')
    error = asyncio.run(scenario(0))
    assert (error.code, error.outcome) == (ErrorCode.settled_not_run, Outcome.not_run)


def test_wrong_arguments_exit_with_2(capsys):
    """Guards against a mistyped argument that is reported as a refusal."""
    assert _settle('ftp://x') == 2
    assert _settle('http://127.0.0.1:1', by=' ') == 2
    assert _settle('http://127.0.0.1:1', status=99) == 2
    capsys.readouterr()
