"""Tests of request content that crashes every upstream that runs it."""

import asyncio
import contextlib
import itertools
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
from standins.caller import Caller, Request, Result
from standins.processes import Deployment, Pair, running
from standins.upstream import CRASH_EXIT_CODE, CRASH_MARK

SERVICES = ('tesoreria', 'tesoreria', 'tesoreria', 'catalogo')
LATENCY_MS = 30
MAX_CRASHES = 2
"""Most upstreams that one content may crash (design page, section 6.6), not counting
copies that already run when the first strike is sent."""

BACKGROUND_CALLERS = 4
READS_TO_WAIT_FOR = 8
RESENDS = 3


@pytest.fixture(scope='module')
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run a deployment with three upstreams for payments."""
    folder = tmp_path_factory.mktemp('suspects')
    with running(folder, SHEET_FILE, upstream_specs(SERVICES, LATENCY_MS)) as started:
        yield started


class Supervisor:
    """Restart crashed upstreams and count the crashes."""

    def __init__(self, deployment: Deployment) -> None:
        """Create a supervisor that has not started."""
        self.crashes = 0
        self._deployment = deployment

    @contextlib.asynccontextmanager
    async def supervising(self) -> AsyncIterator[None]:
        """Supervise while the context is open."""
        task = asyncio.create_task(self._supervise())
        try:
            yield
        finally:
            task.cancel()
            self._restart_crashed()

    async def _supervise(self) -> None:
        while True:
            self._restart_crashed()
            await asyncio.sleep(0.05)

    def _restart_crashed(self) -> None:
        for pair in self._deployment.pairs:
            if _has_crashed(pair):
                self.crashes += 1
                self._deployment.start_upstream(pair)


def _has_crashed(pair: Pair) -> bool:
    code = pair.upstream.poll()
    assert code in {None, CRASH_EXIT_CODE}
    return code is not None


class BackgroundReads:
    """Callers whose reads run beside the content that crashes upstreams."""

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        """Create callers over all entries."""
        self.results: list[Result] = []
        self._caller = Caller(session, [pair.caller_url for pair in deployment.pairs])
        self._numbers = itertools.count()
        self._stopped = False

    @contextlib.asynccontextmanager
    async def calling(self) -> AsyncIterator[None]:
        """Call while the context is open, then wait for the calls in flight."""
        task = asyncio.gather(
            *(self._call_repeatedly() for _ in range(BACKGROUND_CALLERS))
        )
        try:
            yield
        finally:
            self._stopped = True
            await task

    async def wait_for_reads(self) -> None:
        """Wait until ``READS_TO_WAIT_FOR`` more calls have ended."""
        target_count = len(self.results) + READS_TO_WAIT_FOR
        await wait_until(lambda: len(self.results) >= target_count)

    async def _call_repeatedly(self) -> None:
        while not self._stopped:
            number = next(self._numbers)
            request = Request(
                'tesoreria', 'GET', f'/cuotas/m{number}', 'dues', f'read-{number}'
            )
            self.results.append(await self._caller.send_until_settled(request))


@contextlib.asynccontextmanager
async def _with_background_reads(deployment: Deployment, supervisor: Supervisor):
    async with new_session() as session:
        background = BackgroundReads(deployment, session)
        async with supervisor.supervising(), background.calling():
            await background.wait_for_reads()
            yield session, background
            await background.wait_for_reads()
    outcomes = {(result.outcome, result.fault) for result in background.results}
    assert outcomes == {('answered', '')}


class CrashingCaller:
    """Resend one content, each time with a new idempotency key."""

    def __init__(
        self, deployment: Deployment, session: aiohttp.ClientSession, name: str
    ) -> None:
        """Create a caller over all entries."""
        self.codes: list[str] = []
        self._session = session
        self._urls = [
            f'{pair.caller_url}/tesoreria/cuotas' for pair in deployment.pairs
        ]
        self._name = name
        self._numbers = itertools.count()

    async def send_sequentially(self) -> None:
        """Send to the entries one after another."""
        for url in self._urls:
            await self._send(url)

    async def send_at_once(self) -> None:
        """Send to all entries at the same time."""
        await asyncio.gather(*(self._send(url) for url in self._urls))

    async def send_until_refused(self, send) -> None:
        """Send until all entries refuse the content, then ``RESENDS`` more times."""
        while set(self.codes[-len(self._urls) :]) != {'crash_suspect'}:
            await send()
        for _ in range(RESENDS):
            await send()

    async def _send(self, url: str) -> None:
        headers = {'Idempotency-Key': f'{self._name}-{next(self._numbers)}'}
        body = CRASH_MARK + self._name.encode()
        async with self._session.post(url, headers=headers, data=body) as response:
            await response.read()
        assert response.headers['X-Outcome'] in {'not_run', 'unknown'}
        self.codes.append(response.headers['X-Error-Code'])


def _count_runs(deployment: Deployment, name: str) -> int:
    return sum(run['key'].startswith(name) for run in deployment.executions())


def test_content_resent_to_entries_sequentially(deployment: Deployment):
    """Guards against a caller whose resends crash all upstreams one by one."""
    supervisor = Supervisor(deployment)

    async def resend() -> list[str]:
        async with _with_background_reads(deployment, supervisor) as (session, _):
            caller = CrashingCaller(deployment, session, 'in-turn')
            await caller.send_until_refused(caller.send_sequentially)
        return caller.codes

    codes = run_with_timeout(resend())
    assert 0 < supervisor.crashes <= MAX_CRASHES, codes
    assert _count_runs(deployment, 'in-turn') <= MAX_CRASHES, codes


def test_content_resent_to_all_entries_at_once(deployment: Deployment):
    """Guards against copies that crash all upstreams again after the first crash."""
    supervisor = Supervisor(deployment)
    upstreams = SERVICES.count('tesoreria')

    async def resend() -> list[str]:
        async with _with_background_reads(deployment, supervisor) as (session, _):
            caller = CrashingCaller(deployment, session, 'at-once')
            await caller.send_until_refused(caller.send_at_once)
        return caller.codes

    codes = run_with_timeout(resend())
    # A copy may already run on each of the other upstreams at the first strike.
    assert 0 < supervisor.crashes <= MAX_CRASHES + upstreams - 1, codes


def test_a_resend_with_the_same_key_runs_once(deployment: Deployment):
    """Guards against a payment with unknown outcome that is run again."""
    supervisor = Supervisor(deployment)

    async def resend() -> set[str]:
        outcomes = set()
        async with _with_background_reads(deployment, supervisor) as (session, _):
            for pair in deployment.pairs * RESENDS:
                async with session.post(
                    f'{pair.caller_url}/tesoreria/cuotas',
                    headers={'Idempotency-Key': 'one-key', 'X-Deadline-Ms': '500'},
                    data=CRASH_MARK,
                ) as response:
                    await response.read()
                outcomes.add(response.headers['X-Outcome'])
        return outcomes

    outcomes = run_with_timeout(resend())
    assert 'unknown' in outcomes
    assert 'answered' not in outcomes
    assert _count_runs(deployment, 'one-key') == supervisor.crashes == 1
