"""Calls to the upstream on the same VM."""

import asyncio
import json

import aiohttp
import yarl
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill.settings_models import UpstreamModel

from gentianmill_node.bounded_body import read_body
from gentianmill_node.call import Call, CallResult
from gentianmill_node.headers import (
    CALL_CONTEXT,
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    TENANT,
    end_to_end,
)
from gentianmill_node.liveness import LivenessConnection
from gentianmill_node.upstream_request import (
    CONNECT_TIMEOUT_S,
    UpstreamExchange,
    UpstreamRequest,
    is_refusal,
    start_exchange,
)

EXIT_GRACE_S = 0.05
"""Delay before the second check; an exiting process may close a call's connection a
few ms before its listener."""

MAX_HEALTH_REPORT_BYTES = 65_536
"""Maximum size of a health report; an unbounded one would fill the memory."""

JSON_TYPE = 'application/json'
MS_PER_S = 1000
STEP = 'run'


def new_session(connections: int) -> aiohttp.ClientSession:
    """Create a session that never resends a request by itself.

    Calls use only its connector. Health requests go through the session, where
    aiohttp would resend them when a kept-alive connection closes and so hide that
    the upstream exited.

    Args:
        connections: Maximum number of open connections.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=connections, use_dns_cache=False),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        request_class=UpstreamRequest,
        timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S),
    )
    session._retry_connection = False  # noqa: SLF001
    return session


class UpstreamClient:
    """Run calls on this node's upstream."""

    def __init__(
        self, settings: UpstreamModel, max_body_bytes: int, clock: Clock
    ) -> None:
        """Create a client; call ``start`` before use.

        Args:
            settings: Address and limits of the upstream.
            max_body_bytes: Maximum size of a response body that is not bulk.
            clock: Clock of the node.
        """
        self._settings = settings
        self._max_body_bytes = max_body_bytes
        self._base_url = f'http://{settings.host}:{settings.port}'
        self._session: aiohttp.ClientSession | None = None
        self._liveness = LivenessConnection(str(settings.host), settings.port, clock)

    @property
    def name(self) -> str:
        """Return the upstream's address, for errors and logs."""
        return f'{self._settings.host}:{self._settings.port}'

    async def start(self) -> None:
        """Open the session."""
        self._session = new_session(self._settings.connections)
        await self._liveness.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._liveness.close()
        if self._session:
            await self._session.close()

    def request(
        self, call: Call, token: str, time_left_ms: float, extra_headers: dict[str, str]
    ) -> UpstreamExchange:
        """Start a request to the upstream.

        Args:
            call: The call to run.
            token: Opaque context token, valid while the call runs.
            time_left_ms: Time until the deadline in ms; then the request is aborted.
            extra_headers: Further headers, such as ``Range``.

        Returns:
            A context manager that yields the response.
        """
        if self._session is None:
            raise RuntimeError('the upstream client is not started')
        headers = end_to_end(call.headers)
        headers[CALL_CONTEXT] = token
        headers[DEADLINE_MS] = str(int(time_left_ms))
        headers[REQUEST_ID] = call.request_id
        headers[TENANT] = call.tenant
        if call.idempotency_key:
            headers[IDEMPOTENCY_KEY] = call.idempotency_key
        headers.update(extra_headers)
        return start_exchange(
            self._session,
            call.method,
            yarl.URL(self._base_url + call.path, encoded=True),
            headers,
            call.body,
            time_left_ms / MS_PER_S,
        )

    def raise_refusal(self, response: aiohttp.ClientResponse) -> None:
        """Raise if the response reports that the upstream did not run the call.

        Raises:
            GentianmillError: With code ``upstream_refused``.
        """
        if is_refusal(response):
            raise GentianmillError(
                ErrorCode.upstream_refused,
                STEP,
                self.name,
                'the upstream refused the call before it ran',
            )

    async def run(self, call: Call, token: str, time_left_ms: float) -> CallResult:
        """Run a call and read the complete response.

        Args:
            call: The call to run.
            token: Opaque context token, valid while the call runs.
            time_left_ms: Time until the deadline in ms.

        Returns:
            The upstream's response.

        Raises:
            GentianmillError: With outcome ``not_run`` if no connection could be
                made, ``unknown`` if it broke after the request was sent.
        """
        try:
            return await self._run(call, token, time_left_ms)
        except aiohttp.ClientConnectorError as error:
            raise self._error(
                ErrorCode.upstream_unreachable, error, Outcome.not_run
            ) from error
        except asyncio.TimeoutError as error:
            raise self._error(ErrorCode.deadline, error, Outcome.unknown) from error
        except (aiohttp.ClientPayloadError, ValueError) as error:
            raise self._error(ErrorCode.short_answer, error, Outcome.unknown) from error
        except (aiohttp.ClientError, OSError) as error:
            raise self._error(
                ErrorCode.connection_lost, error, Outcome.unknown
            ) from error

    async def crashed(self) -> bool:
        """Return whether the process died; call it after a call lost its connection."""
        if await self._looks_dead():
            return True
        await asyncio.sleep(EXIT_GRACE_S)
        return await self._looks_dead()

    async def _looks_dead(self) -> bool:
        reachable = await self._reachable()
        return not reachable or self._liveness.lost_recently()

    async def _reachable(self) -> bool:
        address = (str(self._settings.host), self._settings.port)
        try:
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(*address), CONNECT_TIMEOUT_S
            )
        except (OSError, asyncio.TimeoutError):
            return False
        writer.close()
        return True

    async def health(self) -> str:
        """Return the state that the upstream reports, or ``unreachable``."""
        if self._session is None:
            return 'unreachable'
        url = self._base_url + self._settings.health_path
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await read_body(response, MAX_HEALTH_REPORT_BYTES)
                is_json = response.content_type == JSON_TYPE
                report = json.loads(body) if is_json else None
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError):
            return 'unreachable'
        state = report.get('state') if isinstance(report, dict) else None
        return state if isinstance(state, str) else 'unreachable'

    async def _run(self, call: Call, token: str, time_left_ms: float) -> CallResult:
        async with self.request(call, token, time_left_ms, {}) as response:
            self.raise_refusal(response)
            body = await read_body(response, self._max_body_bytes)
            return CallResult(
                outcome=Outcome.answered,
                status=response.status,
                headers=end_to_end(response.headers),
                body=body,
            )

    def _error(
        self, code: ErrorCode, cause: BaseException, outcome: Outcome
    ) -> GentianmillError:
        message = f'the upstream gave no complete response: {cause!r}'
        return GentianmillError(code, STEP, self.name, message, outcome)
