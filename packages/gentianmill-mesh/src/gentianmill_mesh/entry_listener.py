"""Accepts the requests of callers and of the upstream on the same VM."""

import asyncio

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from gentianmill.clock import Clock
from gentianmill_mesh.forwarder import CallerRequest, Forwarder
from gentianmill_mesh.http_message import HttpResponse, HttpRequest
from gentianmill_mesh.buffered_response import BufferedResponse
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.direct_server import direct_server
from gentianmill_node.logs import component

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Longest body that is read; the limit of the rules is checked later."""

MAX_HEADER_BYTES = 64 * 1024
"""Longest header line; the limit of the rules is usually lower."""

STATUS_BAD_REQUEST = 400
STATUS_BAD_GATEWAY = 502

log = component('entry')


class EntryListener:
    """Serve HTTP to callers."""

    def __init__(self, forwarder: Forwarder, names: WireNames, clock: Clock) -> None:
        """Create a listener.

        Args:
            forwarder: Returns the response to a request.
            names: Header names of the deployment.
            clock: Clock of the node.
        """
        self._forwarder = forwarder
        self._names = names
        self._clock = clock
        self._running = 0
        self._closing = False
        self._refusing: asyncio.Future[None] | None = None

    @property
    def running(self) -> int:
        """Return the number of requests that have no response yet."""
        return self._running

    def server(self) -> web.Server:
        """Return the server; call it while the event loop runs."""
        self._refusing = asyncio.get_running_loop().create_future()
        return direct_server(
            self._handle, MAX_BODY_BYTES, MAX_HEADER_BYTES, decompress=False
        )

    def close_connections(self) -> None:
        """Close each connection after its next response."""
        self._closing = True

    def refuse_new(self) -> None:
        """Refuse requests that are not forwarded yet, also those still being received."""
        self._forwarder.refuse_new()
        if self._refusing is not None and not self._refusing.done():
            self._refusing.set_result(None)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._running += 1
        try:
            response = await self._respond(request)
        except Exception:
            log.exception('Request failed with an internal error.')
            response = HttpResponse(STATUS_BAD_GATEWAY, [], b'fault\n')
        finally:
            self._running -= 1
        return BufferedResponse(response, closing=self._closing)

    async def _respond(self, request: web.BaseRequest) -> HttpResponse:
        arrived_ms = self._clock.now_ms()
        try:
            body = await self._read_body(request)
        except (HttpProcessingError, web.RequestPayloadError) as error:
            log.info('Request body not readable.', error=repr(error))
            return HttpResponse(STATUS_BAD_REQUEST, [], b'the body is not readable\n')
        return await self._forwarder.forward(
            self._caller_request(request, body, arrived_ms)
        )

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        """Return the body, or nothing if requests are refused before it ends."""
        if self._refusing is None or request.content.is_eof():
            return await request.read()
        reading = asyncio.ensure_future(request.read())
        try:
            await asyncio.wait(
                {reading, self._refusing}, return_when=asyncio.FIRST_COMPLETED
            )
            return reading.result() if reading.done() else b''
        finally:
            reading.cancel()

    def _caller_request(
        self, request: web.BaseRequest, body: bytes, arrived_ms: float
    ) -> CallerRequest:
        target = request.raw_path
        headers = self._names.forwarded_request(request.raw_headers)
        return CallerRequest(
            request=HttpRequest(
                request.method, target.encode(errors='surrogateescape'), headers, body
            ),
            request_id=request.headers.get(self._names.request_id.decode(), ''),
            host=request.headers.get('Host', '').partition(':')[0].lower(),
            path=target.partition('?')[0],
            arrived_ms=arrived_ms,
            time_left_ms=_milliseconds(
                request.headers.get(self._names.time_left.decode())
            ),
        )


def _milliseconds(text: str | None) -> float | None:
    if text is None or not text.strip().isdigit():
        return None
    return float(text)
