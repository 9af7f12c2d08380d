"""A caller that resends requests and checks the responses."""

import asyncio
import dataclasses
import hashlib
import json
import time

import aiohttp

from standins.upstream import file_content

MAX_SENDS = 40
MAX_UNKNOWN = 3
PAUSE_S = 0.25
DISCONNECT_ERRORS = (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError)


@dataclasses.dataclass
class Request:
    """One request of a caller."""

    service: str
    method: str
    path: str
    work_class: str
    request_id: str
    key: str = ''
    body: bytes = b''
    tenant: str = 'taller-coban'
    is_file: bool = False

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers to send."""
        headers = {'X-Request-Id': self.request_id, 'X-Tenant': self.tenant}
        if self.key:
            headers['Idempotency-Key'] = self.key
        return headers


@dataclasses.dataclass
class Result:
    """How a request ended after all resends."""

    request: Request
    outcome: str = 'lost'
    latency_ms: float = 0
    outcomes: list[str] = dataclasses.field(default_factory=list)
    fault: str = ''


class Caller:
    """Send requests to any of some entries."""

    def __init__(self, session: aiohttp.ClientSession, entries: list[str]) -> None:
        """Create a caller that rotates through the entries, one for each send."""
        self._session = session
        self._entries = entries
        self._send_count = 0

    async def send_until_settled(self, request: Request) -> Result:
        """Send a request until it is settled, at most ``MAX_SENDS`` times.

        It is settled once it is ``answered`` or has been ``unknown`` too often.
        """
        result = Result(request)
        start = time.monotonic()
        for _ in range(MAX_SENDS):
            result.outcome = await self._send(request, result)
            result.outcomes.append(result.outcome)
            settled = result.outcome == 'answered' or result.fault
            if settled or result.outcomes.count('unknown') >= MAX_UNKNOWN:
                break
            await asyncio.sleep(PAUSE_S)
        result.latency_ms = (time.monotonic() - start) * 1000
        return result

    async def _send(self, request: Request, result: Result) -> str:
        self._send_count += 1
        entry = self._entries[self._send_count % len(self._entries)]
        url = f'{entry}/{request.service}{request.path}'
        try:
            async with self._session.request(
                request.method, url, data=request.body, headers=request.headers
            ) as response:
                body = await response.read()
        except DISCONNECT_ERRORS:
            return 'unknown'
        except aiohttp.ClientConnectorError:
            return 'not_run'
        outcome = response.headers.get('X-Outcome', 'missing')
        if outcome == 'answered':
            result.fault = _fault(request, body)
        return outcome


def _fault(request: Request, body: bytes) -> str:
    if request.is_file:
        name = request.path.rsplit('/', 2)[1]
        is_complete = file_content(name, len(body)) == body and len(body) > 1000
        return '' if is_complete else 'file is truncated or corrupted'
    content = json.loads(body)
    if content['path'] != request.path:
        return 'response belongs to another request'
    expected_digest = hashlib.sha256(request.body).hexdigest()
    return (
        ''
        if content['body_sha256'] == expected_digest
        else 'response belongs to another body'
    )
