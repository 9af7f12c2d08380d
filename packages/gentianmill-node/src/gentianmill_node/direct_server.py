"""An HTTP server whose requests all go to one handler.

``web.Application`` looks up a route, its middlewares and its expect handler for
each request; the listeners for calls have one handler and find the operation in
the planning sheet.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable

from aiohttp import HttpVersion11, hdrs, web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

DEFAULT_HEADER_BYTES = 8190
"""Longest request line or header, as in aiohttp."""

_CONTINUE = '100-continue'


def direct_server(
    handler: Handler,
    max_body_bytes: int,
    max_header_bytes: int = DEFAULT_HEADER_BYTES,
    decompress: bool = True,
) -> web.Server:
    """Return a server; call it in the running loop.

    Args:
        handler: Takes each request; it is cancelled when the caller disconnects.
        max_body_bytes: Longest body of a request; reading a longer one raises
            ``web.HTTPRequestEntityTooLarge``.
        max_header_bytes: Longest request line or header.
        decompress: Whether bodies are given to the handler without their encoding.
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
    """Ask the caller for the body, which it holds back until then.

    Raises:
        web.HTTPExpectationFailed: If the caller expects anything else.
    """
    if request.version != HttpVersion11:
        return
    expectation = request.headers[hdrs.EXPECT]
    if expectation.lower() != _CONTINUE:
        raise web.HTTPExpectationFailed(text=f'unknown expectation {expectation!r}')
    await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
    # The interim response is not part of the size of the response.
    request.writer.output_size = 0
    await request.writer.drain()


def _new_request(max_body_bytes: int, *parts: object) -> web.BaseRequest:
    return web.BaseRequest(
        *parts, asyncio.get_running_loop(), client_max_size=max_body_bytes
    )
