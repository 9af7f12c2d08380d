"""Tests of content that crashes each upstream that runs it."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Iterator

import aiohttp
import pytest

from process_places import (
    SHEET_FILE,
    group_places,
    new_session,
    run_with_session,
    wait_until,
)
from standins.caller import Caller, Request, Result
from standins.processes import Deployment, Pair, running
from standins.upstream import CRASH_EXIT_CODE, CRASH_MARK

SERVICES = ('tesoreria', 'tesoreria', 'tesoreria', 'catalogo')
LATENCY_MS = 30
BOUND = 2
"""Upstreams that one content may crash, of section 6.6 of the design page, without
the copies that already run when the first strike is sent."""

INNOCENTS = 4
MORE = 8
RESENDS = 3


@pytest.fixture(scope='module')
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run a deployment with three upstreams for payments."""
    folder = tmp_path_factory.mktemp('suspects')
    with running(folder, SHEET_FILE, group_places(SERVICES, LATENCY_MS)) as started:
        yield started


class Supervisor:
    """Start crashed upstreams again and count the crashes."""

    def __init__(self, deployment: Deployment) -> None:
        """Create a supervisor that does not run yet."""
        self.crashes = 0
        self._deployment = deployment

    @contextlib.asynccontextmanager
    async def watching(self) -> AsyncIterator[None]:
        """Supervise while the context is open."""
        work = asyncio.create_task(self._watch())
        try:
            yield
        finally:
            work.cancel()
            self._revive()

    async def _watch(self) -> None:
        while True:
            self._revive()
            await asyncio.sleep(0.05)

    def _revive(self) -> None:
        for pair in self._deployment.pairs:
            if _has_crashed(pair):
                self.crashes += 1
                self._deployment.start_upstream(pair)


def _has_crashed(pair: Pair) -> bool:
    code = pair.upstream.poll()
    assert code in {None, CRASH_EXIT_CODE}
    return code is not None


class Innocents:
    """Callers whose reads run beside the content that crashes."""

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        """Create callers over all entries."""
        self.results: list[Result] = []
        self._caller = Caller(session, [pair.caller_url for pair in deployment.pairs])
        self._numbers = itertools.count()
        self._stopped = False

    @contextlib.asynccontextmanager
    async def calling(self) -> AsyncIterator[None]:
        """Call while the context is open; then finish the calls under way."""
        work = asyncio.gather(*(self._call_on() for _ in range(INNOCENTS)))
        try:
            yield
        finally:
            self._stopped = True
            await work

    async def more(self) -> None:
        """Wait until some more calls have ended."""
        wanted = len(self.results) + MORE
        await wait_until(lambda: len(self.results) >= wanted)

    async def _call_on(self) -> None:
        while not self._stopped:
            number = next(self._numbers)
            request = Request(
                'tesoreria', 'GET', f'/cuotas/m{number}', 'dues', f'read-{number}'
            )
            self.results.append(await self._caller.finish(request))


@contextlib.asynccontextmanager
async def _beside_innocents(deployment: Deployment, supervisor: Supervisor):
    async with new_session() as session:
        innocents = Innocents(deployment, session)
        async with supervisor.watching(), innocents.calling():
            await innocents.more()
            yield session, innocents
            await innocents.more()
    outcomes = {(one.outcome, one.fault) for one in innocents.results}
    assert outcomes == {('answered', '')}


class Culprit:
    """A caller that resends one content, each time with another key."""

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

    async def send_in_turn(self) -> None:
        """Send to one entry after the other."""
        for url in self._urls:
            await self._send(url)

    async def send_at_once(self) -> None:
        """Send to all entries at the same time."""
        await asyncio.gather(*(self._send(url) for url in self._urls))

    async def until_refused(self, send) -> None:
        """Send until all entries refuse the content, and then some more."""
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


def _runs(deployment: Deployment, name: str) -> int:
    return sum(run['key'].startswith(name) for run in deployment.executions())


def test_content_resent_in_turn(deployment: Deployment):
    """Guards against a caller whose resends crash all upstreams one by one."""
    supervisor = Supervisor(deployment)

    async def resend() -> list[str]:
        async with _beside_innocents(deployment, supervisor) as (session, _):
            culprit = Culprit(deployment, session, 'in-turn')
            await culprit.until_refused(culprit.send_in_turn)
        return culprit.codes

    codes = run_with_session(resend())
    assert 0 < supervisor.crashes <= BOUND, codes
    assert _runs(deployment, 'in-turn') <= BOUND, codes


def test_content_resent_to_all_entries_at_once(deployment: Deployment):
    """Guards against copies that run on all upstreams again after the first crash."""
    supervisor = Supervisor(deployment)
    upstreams = SERVICES.count('tesoreria')

    async def resend() -> list[str]:
        async with _beside_innocents(deployment, supervisor) as (session, _):
            culprit = Culprit(deployment, session, 'at-once')
            await culprit.until_refused(culprit.send_at_once)
        return culprit.codes

    codes = run_with_session(resend())
    # A copy may already run on each of the other upstreams at the first strike.
    assert 0 < supervisor.crashes <= BOUND + upstreams - 1, codes


def test_a_resend_with_the_same_key_runs_once(deployment: Deployment):
    """Guards against a payment with unknown outcome that is run again."""
    supervisor = Supervisor(deployment)

    async def resend() -> set[str]:
        outcomes = set()
        async with _beside_innocents(deployment, supervisor) as (session, _):
            for pair in deployment.pairs * RESENDS:
                async with session.post(
                    f'{pair.caller_url}/tesoreria/cuotas',
                    headers={'Idempotency-Key': 'one-key', 'X-Deadline-Ms': '500'},
                    data=CRASH_MARK,
                ) as response:
                    await response.read()
                outcomes.add(response.headers['X-Outcome'])
        return outcomes

    outcomes = run_with_session(resend())
    assert 'unknown' in outcomes
    assert 'answered' not in outcomes
    assert _runs(deployment, 'one-key') == supervisor.crashes == 1
