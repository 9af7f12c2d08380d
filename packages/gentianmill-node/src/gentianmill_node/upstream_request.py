"""Requests to the own upstream, without the defaults of aiohttp's client.

``ClientSession.request`` also handles redirects, cookies, proxies, passwords,
middlewares and traces, none of which a node uses towards its upstream. The
exchange here is its remaining part: connect, send, read the head.
"""

import asyncio
import types
from collections.abc import Iterable

import aiohttp
import yarl
from aiohttp.connector import Connection
from gentianmill.outcome import Outcome
from multidict import CIMultiDict

from gentianmill_node.headers import OUTCOME
from gentianmill_node.logs import component

log = component('upstream')

CONNECT_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class UpstreamRequest(aiohttp.ClientRequest):
    """A request that carries exactly the headers that it is given.

    aiohttp copies the headers of each request three times to add defaults that
    an upstream must not see, because the caller did not send them.
    """

    def update_headers(self, headers: CIMultiDict[str] | None) -> None:
        """Take the headers over; they were made for this request alone.

        Args:
            headers: All headers but those on the body.
        """
        self.headers = CIMultiDict() if headers is None else headers
        self.headers[aiohttp.hdrs.HOST] = self.url.host_port_subcomponent

    def update_auto_headers(self, skip_auto_headers: Iterable[str] | None) -> None:
        """Add no default headers."""
        self._skip_auto_headers = None


class UpstreamExchange:
    """Send a request and hold its response while the context is open."""

    __slots__ = ('_request', '_response', '_session', '_timeout')

    def __init__(
        self,
        session: aiohttp.ClientSession,
        request: UpstreamRequest,
        timeout_s: float,
    ) -> None:
        """Create an exchange that has not started.

        Args:
            session: Its connector gives the connection.
            request: What to send.
            timeout_s: Time until the whole body must have been read, in s.
        """
        self._session = session
        self._request = request
        self._timeout = asyncio.timeout(timeout_s)
        self._response: aiohttp.ClientResponse | None = None

    async def __aenter__(self) -> aiohttp.ClientResponse:
        """Return the response, whose body has not been read.

        Raises:
            aiohttp.ClientError: If the connection could not be made or broke.
            TimeoutError: If the time is over.
        """
        await self._timeout.__aenter__()
        try:
            self._response = await self._send()
        except BaseException as error:
            await self._end_timeout(error)
            raise
        return await self._response.__aenter__()

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Give the connection back, or close it if the body was not read."""
        try:
            if self._response is not None:
                await self._response.__aexit__(exc_type, error, trace)
        except BaseException as failure:
            await self._end_timeout(failure)
            raise
        await self._timeout.__aexit__(exc_type, error, trace)

    async def _end_timeout(self, error: BaseException) -> None:
        """End the timer; turns its cancellation into a ``TimeoutError``."""
        await self._timeout.__aexit__(type(error), error, error.__traceback__)

    async def _send(self) -> aiohttp.ClientResponse:
        request = self._request
        connection = await self._connect()
        # The connection is given back at the end of the answer, which may be here.
        protocol = connection.protocol
        try:
            protocol.set_response_params(
                skip_payload=request.method == aiohttp.hdrs.METH_HEAD,
                read_until_eof=True,
                auto_decompress=False,
            )
            response = await request.send(connection)
            await response.start(connection)
        except BaseException:
            connection.close()
            raise
        if is_refusal(response):
            # Written once more, it would refuse the next request as well.
            protocol.close()
        return response

    async def _connect(self) -> Connection:
        """Return a connection without bytes that belong to no request."""
        while True:
            connection = await self._session.connector.connect(
                self._request, traces=[], timeout=_CONNECT_TIMEOUT
            )
            if not connection.protocol.should_close:
                return connection
            log.warning('The upstream sent bytes without a request.')
            connection.close()


def is_refusal(response: aiohttp.ClientResponse) -> bool:
    """Return whether the upstream says that it did not run a request."""
    return response.headers.get(OUTCOME) == Outcome.not_run.value


def start_exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: yarl.URL,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> UpstreamExchange:
    """Return a context that sends a request and gives its response.

    Args:
        session: Its connector gives the connection.
        method: HTTP method.
        url: Whole address, encoded.
        headers: All headers but ``Host`` and those on the body.
        body: Whole body; none is sent if it is empty.
        timeout_s: Time until the whole response must have been read, in s.
    """
    request = UpstreamRequest(
        method,
        url,
        headers=CIMultiDict(headers),
        data=body or None,
        loop=asyncio.get_running_loop(),
        session=session,
    )
    return UpstreamExchange(session, request, timeout_s)
