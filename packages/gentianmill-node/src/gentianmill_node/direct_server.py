"""An HTTP server that passes all requests to one handler.

``web.Application`` looks up a route, its middlewares and its expect handler for
each request. The listeners for calls need none of these: they have one handler,
which finds the operation in the planning sheet.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable

from aiohttp import HttpVersion11, hdrs, web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

DEFAULT_HEADER_BYTES = 8190
"""Maximum size of the request line or of a header; the default of aiohttp."""

_CONTINUE = '100-continue'


def direct_server(
    handler: Handler,
    max_body_bytes: int,
    max_header_bytes: int = DEFAULT_HEADER_BYTES,
    decompress: bool = True,
) -> web.Server:
    """Return a server; call it from the running event loop.

    Args:
        handler: Handles each request; it is cancelled when the caller disconnects.
        max_body_bytes: Maximum size of a request body; reading a larger one raises
            ``web.HTTPRequestEntityTooLarge``.
        max_header_bytes: Maximum size of the request line or of a header.
        decompress: Whether to decode request bodies according to Content-Encoding.
    """
    return web.Server(
        functools.partial(_handle, handler),
        request_factory=functools.partial(_new_request, max_body_bytes),
        handler_cancellation=True,
        access_log=None,
        auto_decompress=decompress,
        max_line_size=max_header_bytes,
        max_field_size=max_header_bytes,
    )


async def _handle(handler: Handler, request: web.BaseRequest) -> web.StreamResponse:
    if hdrs.EXPECT in request.headers:
        await _meet_expectation(request)
    return await handler(request)


async def _meet_expectation(request: web.BaseRequest) -> None:
    """Send the interim response 100 that the caller awaits before the body.

    Raises:
        web.HTTPExpectationFailed: If the caller expects anything else.
    """
    if request.version != HttpVersion11:
        return
    expectation = request.headers[hdrs.EXPECT]
    if expectation.lower() != _CONTINUE:
        raise web.HTTPExpectationFailed(text=f'unknown expectation {expectation!r}')
    await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
    # The interim response does not count towards the size of the final response.
    request.writer.output_size = 0
    await request.writer.drain()


def _new_request(max_body_bytes: int, *args: object) -> web.BaseRequest:
    return web.BaseRequest(
        *args, asyncio.get_running_loop(), client_max_size=max_body_bytes
    )
