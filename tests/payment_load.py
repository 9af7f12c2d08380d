"""Callers that resend payments with the same key, and their history."""

import asyncio
import contextlib
import hashlib
import itertools
import json
from collections.abc import AsyncIterator

import aiohttp

import history
from gentianmill.outcome import Outcome
from process_deployments import new_session, wait_until
from standins.processes import Deployment

CALLERS = 6
MAX_SENDS = 100
MAX_UNKNOWN = 4
RETRY_DELAY_S = 0.1
DEADLINE_MS = 1500
RESPONSE_LIMIT_S = 4
PATH = '/cuotas'


class PaymentLoad:
    """Send payments continuously to all entries; each payment has its own key.

    Each attempt is a call in the history. Its number is part of the request id, which
    the execution log of the upstreams uses to show which attempt ran.
    """

    def __init__(self, deployment: Deployment, run: str) -> None:
        """Create a load.

        Args:
            deployment: The deployment to send to.
            run: Prefix of the keys, different for each load.
        """
        self.history = history.History()
        self.settled: dict[str, Outcome] = {}
        self._deployment = deployment
        self._entries = itertools.cycle([pair.caller_url for pair in deployment.pairs])
        self._run = run
        self._numbers = itertools.count()
        self._stopped = False

    @contextlib.asynccontextmanager
    async def sending(self) -> AsyncIterator[None]:
        """Send while the context is open, then settle the payments in progress."""
        async with new_session() as session:
            work = asyncio.gather(
                *(self._pay_until_stopped(session) for _ in range(CALLERS))
            )
            try:
                yield
            finally:
                self._stopped = True
                await work

    async def wait_for_answered(self, count: int) -> None:
        """Wait until this many further payments have the outcome ``answered``."""
        target_count = self.answered + count
        await wait_until(lambda: self.answered >= target_count)

    @property
    def answered(self) -> int:
        """Return the number of payments with the outcome ``answered``."""
        return list(self.settled.values()).count(Outcome.answered)

    def violations(self) -> list[str]:
        """Return the violations that the history shows."""
        calls = {self._request_id(call): call for call in self.history.calls}
        for run in self._deployment.executions():
            call = calls.get(run['request_id'])
            if call is not None:
                self.history.execute(call, self._response(call))
        unsettled = [
            f'{key} ended as {outcome}'
            for key, outcome in self.settled.items()
            if outcome not in {Outcome.answered, Outcome.unknown}
        ]
        return [
            *history.at_most_once(self.history),
            *history.not_run_means_no_execution(self.history),
            *history.complete_responses(self.history),
            *unsettled,
        ]

    async def _pay_until_stopped(self, session: aiohttp.ClientSession) -> None:
        while not self._stopped:
            key = f'{self._run}-{next(self._numbers)}'
            self.settled[key] = await self._settle(session, key)

    async def _settle(self, session: aiohttp.ClientSession, key: str) -> Outcome:
        unknown = 0
        for _ in range(MAX_SENDS):
            outcome = await self._send(session, key)
            unknown += outcome is Outcome.unknown
            if outcome is Outcome.answered or unknown >= MAX_UNKNOWN:
                return outcome
            await asyncio.sleep(RETRY_DELAY_S)
        return outcome

    async def _send(self, session: aiohttp.ClientSession, key: str) -> Outcome:
        call = self.history.invoke(key, key.encode(), 0)
        completion = await self._exchange(session, call)
        self.history.complete(call, completion)
        return completion.outcome

    async def _exchange(
        self, session: aiohttp.ClientSession, call: history.Call
    ) -> history.Completion:
        headers = {
            'Idempotency-Key': call.key,
            'X-Request-Id': self._request_id(call),
            'X-Deadline-Ms': str(DEADLINE_MS),
        }
        url = f'{next(self._entries)}/tesoreria{PATH}'
        try:
            async with session.post(
                url,
                headers=headers,
                data=call.body,
                timeout=aiohttp.ClientTimeout(total=RESPONSE_LIMIT_S),
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError:
            return history.Completion(Outcome.not_run)
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return history.Completion(Outcome.unknown)
        return history.Completion(Outcome(response.headers['X-Outcome']), body)

    def _request_id(self, call: history.Call) -> str:
        return f'{self._run}-call-{call.number}'

    def _response(self, call: history.Call) -> bytes:
        """Return the response that the simulated upstream gives."""
        return json.dumps(
            {
                'service': 'tesoreria',
                'path': PATH,
                'request_id': self._request_id(call),
                'body_sha256': hashlib.sha256(call.body).hexdigest(),
                'calls': [],
            }
        ).encode()
