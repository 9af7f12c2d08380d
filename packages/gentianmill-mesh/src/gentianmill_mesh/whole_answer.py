"""An answer that is sent to a caller in one piece."""

from http import HTTPStatus

from aiohttp import HttpVersion11, web
from aiohttp.abc import AbstractStreamWriter

from gentianmill_mesh.http_message import HttpAnswer

_BODILESS = frozenset((204, 304))
"""Statuses whose answers have no body and no length, by RFC 9110."""


class WholeAnswer(web.StreamResponse):
    """Send the bytes of an answer as the upstream gave them.

    ``web.Response`` encodes and checks headers one by one and adds some of its own,
    which took a tenth of a call. An answer without a length ends with its
    connection: a length of our own would vouch for a body that may be cut short.
    """

    def __init__(self, answer: HttpAnswer, *, closing: bool) -> None:
        """Create a response.

        Args:
            answer: The answer.
            closing: Whether the connection ends with it.
        """
        super().__init__(status=answer.status)
        self._answer = answer
        self._closing = closing or not answer.framed
        self._writer: AbstractStreamWriter | None = None

    async def prepare(self, request: web.BaseRequest) -> None:
        """Send the whole answer.

        Raises:
            ConnectionError: If the caller has left, or the end of the connection is
                the end of the answer.
        """
        transport = request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError('the caller has left')
        if self._closing or not request.keep_alive:
            self.force_close()
        else:
            self._keep_alive = True
        self._writer = request.writer
        transport.write(self._head(request))
        if request.method != 'HEAD':
            transport.write(self._answer.body)
        if not self._answer.framed:
            transport.close()
            raise ConnectionResetError('the answer ended with its connection')

    async def write_eof(self, _data: bytes = b'') -> None:
        """Wait for a caller who reads slowly, before its next request is read."""
        if self._writer is not None:
            await self._writer.drain()

    def _head(self, request: web.BaseRequest) -> bytes:
        answer = self._answer
        lines = [b'HTTP/1.1 %d %b' % (answer.status, _reason(answer.status))]
        lines.extend(b'%b: %b' % (name, text) for name, text in answer.headers)
        if answer.framed and answer.status not in _BODILESS:
            lines.append(b'Content-Length: %d' % len(answer.body))
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
        # Upstreams may use a status without a registered name.
        return b'Unknown'
