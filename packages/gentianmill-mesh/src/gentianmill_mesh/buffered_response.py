"""A response that is sent to a caller in one piece."""

from http import HTTPStatus

from aiohttp import HttpVersion11, web
from aiohttp.abc import AbstractStreamWriter

from gentianmill_mesh.http_message import HttpResponse

_BODILESS = frozenset((204, 304))
"""Statuses whose responses have no body and no length, by RFC 9110."""


class BufferedResponse(web.StreamResponse):
    """Send the bytes of a response as the upstream sent them.

    ``web.Response`` encodes and checks headers one by one and adds some of its own,
    which took a tenth of the time of a call. A response without a length ends when
    the connection closes: adding a length would hide that the body may be truncated.
    """

    def __init__(self, response: HttpResponse, *, closing: bool) -> None:
        """Create a response.

        Args:
            response: The response of the upstream.
            closing: Whether to close the connection after it.
        """
        super().__init__(status=response.status)
        self._response = response
        self._closing = closing or not response.framed
        self._writer: AbstractStreamWriter | None = None

    async def prepare(self, request: web.BaseRequest) -> None:
        """Send the complete response.

        Raises:
            ConnectionError: If the caller has disconnected, or if the response ends
                when the connection closes.
        """
        transport = request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError('the caller has disconnected')
        if self._closing or not request.keep_alive:
            self.force_close()
        else:
            self._keep_alive = True
        self._writer = request.writer
        transport.write(self._head(request))
        if request.method != 'HEAD':
            transport.write(self._response.body)
        if not self._response.framed:
            transport.close()
            raise ConnectionResetError('the connection was closed to end the response')

    async def write_eof(self, _data: bytes = b'') -> None:
        """Wait for a caller that reads slowly before its next request is read."""
        if self._writer is not None:
            await self._writer.drain()

    def _head(self, request: web.BaseRequest) -> bytes:
        response = self._response
        lines = [b'HTTP/1.1 %d %b' % (response.status, _reason(response.status))]
        lines.extend(b'%b: %b' % (name, text) for name, text in response.headers)
        if response.framed and response.status not in _BODILESS:
            lines.append(b'Content-Length: %d' % len(response.body))
        if not self.keep_alive:
            lines.append(b'Connection: close')
        elif request.version < HttpVersion11:
            lines.append(b'Connection: keep-alive')
        lines.extend((b'', b''))
        return b'\r\n'.join(lines)


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        # Upstreams may use a status without a registered phrase.
        return b'Unknown'
