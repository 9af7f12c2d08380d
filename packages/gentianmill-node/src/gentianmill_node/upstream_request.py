"""Requests to this node's upstream, without the extra features of aiohttp's client.

``ClientSession.request`` also handles redirects, cookies, proxies, passwords,
middlewares and traces, none of which a node uses towards its upstream. The
exchange here does only the rest: connect, send, read the response head.
"""

import asyncio
import types
from collections.abc import Iterable

import aiohttp
import yarl
from aiohttp.connector import Connection
from gentianmill.outcome import Outcome
from gentianmill.response_status import is_final_status
from multidict import CIMultiDict

from gentianmill_node.headers import OUTCOME
from gentianmill_node.logs import component

log = component('upstream')

CONNECT_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class UpstreamRequest(aiohttp.ClientRequest):
    """A request that carries exactly the headers that it is given.

    aiohttp copies the headers of each request three times to add defaults, which an
    upstream must not see, because the caller did not send them.
    """

    def update_headers(self, headers: CIMultiDict[str] | None) -> None:
        """Use the headers without a copy; they were created for this request alone.

        Args:
            headers: All headers except ``Host`` and those that describe the body.
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
            session: Its connector provides the connection.
            request: The request to send.
            timeout_s: Time in s within which the complete body must be read.
        """
        self._session = session
        self._request = request
        self._timeout = asyncio.timeout(timeout_s)
        self._response: aiohttp.ClientResponse | None = None

    async def __aenter__(self) -> aiohttp.ClientResponse:
        """Return the response, whose body has not been read.

        Raises:
            aiohttp.ClientError: If the connection could not be made or broke, or if the
                status is not that of a response.
            TimeoutError: If the timeout expires.
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
        """Release the connection, or close it if the body was not read."""
        try:
            if self._response is not None:
                await self._response.__aexit__(exc_type, error, trace)
        except BaseException as failure:
            await self._end_timeout(failure)
            raise
        await self._timeout.__aexit__(exc_type, error, trace)

    async def _end_timeout(self, error: BaseException) -> None:
        """End the timeout; this turns its cancellation into a ``TimeoutError``."""
        await self._timeout.__aexit__(type(error), error, error.__traceback__)

    async def _send(self) -> aiohttp.ClientResponse:
        request = self._request
        connection = await self._connect()
        # ``start`` releases the connection if the response is already complete.
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
        if not is_final_status(response.status):
            # The connection may be back in the pool already.
            protocol.close()
            message = f'{response.status} is not the status of a response'
            raise aiohttp.ClientConnectionError(message)
        if is_refusal(response):
            # A duplicate refusal would be read as the response to the next request.
            protocol.close()
        return response

    async def _connect(self) -> Connection:
        """Return a connection without unsolicited bytes in its buffer."""
        while True:
            connection = await self._session.connector.connect(
                self._request, traces=[], timeout=_CONNECT_TIMEOUT
            )
            if not connection.protocol.should_close:
                return connection
            log.warning('The upstream sent bytes without a request.')
            connection.close()


def is_refusal(response: aiohttp.ClientResponse) -> bool:
    """Return whether the response reports that the upstream did not run the request."""
    return response.headers.get(OUTCOME) == Outcome.not_run.value


def start_exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: yarl.URL,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> UpstreamExchange:
    """Return a context manager that sends a request and yields its response.

    Args:
        session: Its connector provides the connection.
        method: HTTP method.
        url: Absolute URL, encoded.
        headers: All headers except ``Host`` and those that describe the body.
        body: Complete body; none is sent if it is empty.
        timeout_s: Time in s within which the complete response must be read.
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
