"""Send the demand of a model run to real nodes, at the same times."""

import asyncio
import json
import random
import time

import aiohttp

from bench.model import RESEND_PAUSE_MS, RESENDS, STRAGGLER_FACTOR, Request
from bench.small_shape import MEAN_MS, PATHS
from standins.upstream import WORK_HEADER

MS_PER_S = 1000
OK = 200
STRAGGLED_MS = MEAN_MS * STRAGGLER_FACTOR / 4
"""A longer service time is that of a straggler; without one it is below 8 times the mean."""


async def replay(entries: list[str], demand: list[Request]) -> list[Request]:
    """Send requests to random entries and resend those that fail.

    Args:
        entries: URLs of caller listeners.
        demand: Requests of a model run; only what the callers decided is used.

    Returns:
        The requests with what became of them, in the same order.
    """
    rng = random.Random(len(demand))
    # The client must not be a limit: no bound on its connections.
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        begin = time.monotonic()
        return await asyncio.gather(
            *(
                _Sender(session, entries, rng, begin).run(number, request)
                for number, request in enumerate(demand)
            )
        )


class _Sender:
    """Send one request until it is complete or its resends are used up."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: list[str],
        rng: random.Random,
        begin: float,
    ) -> None:
        self._session = session
        self._entries = entries
        self._rng = rng
        self._begin = begin

    async def run(self, number: int, planned: Request) -> Request:
        request = Request(
            kind=planned.kind,
            work_class=planned.work_class,
            rank=planned.rank,
            tenant=planned.tenant,
            sent_ms=planned.sent_ms,
        )
        await asyncio.sleep(max(0, planned.sent_ms - self._now_ms()) / MS_PER_S)
        # The model hashes the same identity into the rank.
        headers = {'X-Request-Id': str(number), 'X-Tenant': request.tenant}
        last_ms = request.sent_ms + request.kind.patience_ms
        # What ends later does not count, so it is not sent, to save time.
        while request.attempts <= RESENDS and self._now_ms() < last_ms:
            request.attempts += 1
            if await self._attempt(request, headers):
                request.done_ms = self._now_ms()
                break
            pause_ms = RESEND_PAUSE_MS * 2 ** (request.attempts - 1)
            pause_ms *= 0.5 + self._rng.random()
            await asyncio.sleep(pause_ms / MS_PER_S)
        return request

    async def _attempt(self, request: Request, headers: dict[str, str]) -> bool:
        method, path = PATHS[request.kind.name]
        left_ms = request.sent_ms + request.kind.patience_ms - self._now_ms()
        patience_s = max(left_ms, 1) / MS_PER_S
        try:
            async with self._session.request(
                method,
                self._rng.choice(self._entries) + path,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=patience_s),
            ) as response:
                body = await response.read() if response.status == OK else b''
                work_ms = float(response.headers.get(WORK_HEADER, 0))
        except (aiohttp.ClientError, TimeoutError):
            return False
        if not body:
            return False
        answer = json.loads(body)
        request.straggled |= work_ms > STRAGGLED_MS
        return all(status == OK for status in answer['calls'])

    def _now_ms(self) -> float:
        return (time.monotonic() - self._begin) * MS_PER_S
