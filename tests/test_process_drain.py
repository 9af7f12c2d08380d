"""Tests of a planned stop of nodes under load."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import signal
from collections import Counter
from collections.abc import AsyncIterator, Iterator

import aiohttp
import pytest

from process_deployments import (
    SHEET_FILE,
    upstream_specs,
    new_session,
    run_with_timeout,
    wait_until,
)
from standins.processes import OPERATOR_KEY, Deployment, Pair, http, running

SERVICES = ('tesoreria', 'tesoreria', 'tesoreria', 'catalogo')
LATENCY_MS = 60
CALLERS = 8
MORE_CALLS = 40
REFUSALS = frozenset(('draining', 'no_member', 'store_unavailable'))


@dataclasses.dataclass
class Attempt:
    """One request of a caller and its result."""

    entry: str
    key: str
    is_payment: bool
    outcome: str = ''
    code: str = ''
    is_intact: bool = False


class Load:
    """Callers that send payments and reads to all entries without a pause."""

    def __init__(self, deployment: Deployment, run: str) -> None:
        """Create a load.

        Args:
            deployment: Where to send.
            run: Prefix of the keys, different for each load.
        """
        self.attempts: list[Attempt] = []
        self._entries = [pair.caller_url for pair in deployment.pairs]
        self._run = run
        self._numbers = itertools.count()
        self._pending: set[str] = set()
        self._stopped = False

    @contextlib.asynccontextmanager
    async def sending(self) -> AsyncIterator[None]:
        """Send while the context is open; then wait for the last responses."""
        async with new_session() as session:
            callers = [self._call_repeatedly(session) for _ in range(CALLERS)]
            work = asyncio.gather(*callers)
            try:
                yield
            finally:
                self._stopped = True
                await work

    async def wait_for_answered(self, count: int) -> None:
        """Wait until this many further requests have been answered."""
        target_count = len(self.answered) + count
        await wait_until(lambda: len(self.answered) >= target_count)

    async def finish_pending(self) -> None:
        """Wait until the requests that are in flight now have ended."""
        pending = frozenset(self._pending)
        await wait_until(lambda: not pending & self._pending)

    @property
    def answered(self) -> list[Attempt]:
        """Return the attempts that were answered."""
        return [attempt for attempt in self.attempts if attempt.outcome == 'answered']

    async def _call_repeatedly(self, session: aiohttp.ClientSession) -> None:
        while not self._stopped:
            number = next(self._numbers)
            entry = self._entries[number % len(self._entries)]
            attempt = Attempt(entry, f'{self._run}-{number}', number % 3 > 0)
            self._pending.add(attempt.key)
            await self._send(session, attempt)
            self._pending.remove(attempt.key)
            self.attempts.append(attempt)

    async def _send(self, session: aiohttp.ClientSession, attempt: Attempt) -> None:
        path = '/cuotas' if attempt.is_payment else f'/cuotas/{attempt.key}'
        method = 'POST' if attempt.is_payment else 'GET'
        headers = {'Idempotency-Key': attempt.key, 'X-Request-Id': attempt.key}
        url = f'{attempt.entry}/tesoreria{path}'
        try:
            async with session.request(method, url, headers=headers) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError:
            # The listener is closed: the request was not accepted.
            attempt.outcome = 'closed'
            await asyncio.sleep(0.01)
            return
        except (aiohttp.ClientError, OSError) as error:
            attempt.outcome = f'interrupted: {error!r}'
            return
        attempt.outcome = response.headers.get('X-Outcome', 'missing')
        attempt.code = response.headers.get('X-Error-Code', '')
        if attempt.outcome == 'answered':
            fields = json.loads(body)
            attempt.is_intact = fields['request_id'] == attempt.key
            attempt.is_intact &= fields['path'] == path


@pytest.fixture(scope='module')
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run a deployment with three upstreams for payments."""
    folder = tmp_path_factory.mktemp('drain')
    with running(folder, SHEET_FILE, upstream_specs(SERVICES, LATENCY_MS)) as started:
        yield started


def _check(deployment: Deployment, load: Load) -> None:
    """Check that no request was interrupted and that the runs match the outcomes."""
    results = Counter((attempt.outcome, attempt.code) for attempt in load.attempts)
    outcomes = {outcome for outcome, _ in results}
    assert outcomes <= {'answered', 'not_run', 'closed'}, results
    assert {code for _, code in results} <= REFUSALS | {''}, results
    assert all(attempt.is_intact for attempt in load.answered)
    ran = Counter(run['request_id'] for run in deployment.executions())
    for attempt in load.attempts:
        # A read may be hedged; a payment runs once.
        max_runs = 1 if attempt.is_payment else 2
        answered = attempt.outcome == 'answered'
        assert answered <= ran[attempt.key] <= answered * max_runs, attempt


def _own_calls(deployment: Deployment, pair: Pair) -> int:
    return sum(run['port'] == pair.upstream_port for run in deployment.executions())


async def _wait_for_clean_exit(deployment: Deployment, pair: Pair) -> None:
    await wait_until(lambda: pair.node.poll() is not None)
    assert pair.node.returncode == 0
    assert 'Calls are still running' not in deployment.node_log(pair)


async def _drain_under_load(deployment: Deployment, pair: Pair, load: Load) -> None:
    """Drain one node; check that its upstream gets no call after the announcement."""
    async with load.sending():
        await load.wait_for_answered(MORE_CALLS)
        pair.node.send_signal(signal.SIGTERM)
        await wait_until(lambda: _is_announced(deployment, pair))
        # Calls accepted before the announcement may still start.
        await load.finish_pending()
        last = _own_calls(deployment, pair)
        await load.wait_for_answered(MORE_CALLS)
        await _wait_for_clean_exit(deployment, pair)
        await load.wait_for_answered(MORE_CALLS)
        assert _own_calls(deployment, pair) == last
    _check(deployment, load)


def _is_announced(deployment: Deployment, pair: Pair) -> bool:
    """Return whether the node itself refuses work for its upstream."""
    try:
        _, health = http('GET', f'{pair.operator_url}/health')
    except OSError:
        return True
    return health['state'] == 'draining'


def test_a_drain_interrupts_no_request(deployment: Deployment):
    """Guards against a planned stop that loses, breaks or duplicates a request."""
    pair = deployment.pairs[0]
    load = Load(deployment, 'drain')
    run_with_timeout(_drain_under_load(deployment, pair, load))
    entries = {attempt.entry for attempt in load.answered}
    assert len(entries) == len(deployment.pairs)


def test_a_drain_does_not_need_the_table(deployment: Deployment):
    """Guards against a stop that waits for the table or breaks without it."""
    pair = deployment.pairs[1]
    load = Load(deployment, 'outage')

    async def stop_during_outage() -> None:
        async with load.sending():
            await load.wait_for_answered(MORE_CALLS)
            deployment.set_faults(mode='down')
            pair.node.send_signal(signal.SIGTERM)
            await _wait_for_clean_exit(deployment, pair)
            last = _own_calls(deployment, pair)
            await load.wait_for_answered(MORE_CALLS)
            assert _own_calls(deployment, pair) == last
            deployment.set_faults()
            await load.wait_for_answered(MORE_CALLS)

    run_with_timeout(stop_during_outage())
    _check(deployment, load)


def test_an_operator_can_drain_a_node(deployment: Deployment):
    """Guards against a drain by an operator that differs from one by a signal."""
    pair = deployment.pairs[3]
    load = Load(deployment, 'operator')

    async def stop_by_operator() -> None:
        async with load.sending():
            await load.wait_for_answered(MORE_CALLS)
            status, _ = http('POST', f'{pair.operator_url}/v1/drain', key=OPERATOR_KEY)
            assert status == 202
            await _wait_for_clean_exit(deployment, pair)
            await load.wait_for_answered(MORE_CALLS)

    run_with_timeout(stop_by_operator())
    _check(deployment, load)
