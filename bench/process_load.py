"""Send the requests of a model run to real nodes, at the same times."""

import asyncio
import json
import random
import time

import aiohttp

from bench.model import MAX_RESENDS, RESEND_PAUSE_MS, STRAGGLER_FACTOR, Request
from bench.small_deployment import MEAN_MS, PATHS
from standins.upstream import WORK_HEADER

MS_PER_S = 1000
HTTP_OK = 200
STRAGGLER_THRESHOLD_MS = MEAN_MS * STRAGGLER_FACTOR / 4
"""Longer service times are those of stragglers; others are below 8 times the mean."""


async def replay(entries: list[str], demand: list[Request]) -> list[Request]:
    """Send requests to random entries and resend those that fail.

    Args:
        entries: URLs of caller listeners.
        demand: Requests of a model run; only the decisions of the callers are used.

    Returns:
        The requests with their outcomes, in the same order.
    """
    rng = random.Random(len(demand))
    # Unlimited connections keep the client from being the bottleneck.
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        begin_s = time.monotonic()
        return await asyncio.gather(
            *(
                _Sender(session, entries, rng, begin_s).run(number, request)
                for number, request in enumerate(demand)
            )
        )


class _Sender:
    """Send one request until it completes or no resends are left."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: list[str],
        rng: random.Random,
        begin_s: float,
    ) -> None:
        self._session = session
        self._entries = entries
        self._rng = rng
        self._begin_s = begin_s

    async def run(self, number: int, planned: Request) -> Request:
        request = Request(
            kind=planned.kind,
            work_class=planned.work_class,
            rank=planned.rank,
            tenant=planned.tenant,
            sent_ms=planned.sent_ms,
        )
        await asyncio.sleep(max(0, planned.sent_ms - self._now_ms()) / MS_PER_S)
        # The model derives the rank from the same identity.
        headers = {'X-Request-Id': str(number), 'X-Tenant': request.tenant}
        latest_ms = request.sent_ms + request.kind.max_wait_ms
        # Later attempts would not count; skipping them saves time.
        while request.attempts <= MAX_RESENDS and self._now_ms() < latest_ms:
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
        remaining_ms = request.sent_ms + request.kind.max_wait_ms - self._now_ms()
        timeout_s = max(remaining_ms, 1) / MS_PER_S
        try:
            async with self._session.request(
                method,
                self._rng.choice(self._entries) + path,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                body = await response.read() if response.status == HTTP_OK else b''
                work_ms = float(response.headers.get(WORK_HEADER, 0))
        except (aiohttp.ClientError, TimeoutError):
            return False
        if not body:
            return False
        result = json.loads(body)
        request.straggled |= work_ms > STRAGGLER_THRESHOLD_MS
        return all(status == HTTP_OK for status in result['calls'])

    def _now_ms(self) -> float:
        return (time.monotonic() - self._begin_s) * MS_PER_S
