"""Opens and accepts the connections that carry frames (RFC 6455, section 4)."""

import abc
import asyncio
import base64
import binascii
import hashlib
import os
from collections.abc import Mapping
from http import HTTPStatus

from aiohttp import hdrs
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import (
    HttpRequestParser,
    HttpResponseParser,
    RawRequestMessage,
    RawResponseMessage,
)

from gentianmill_mesh.frame_socket import FrameReceiver, FrameSocket
from gentianmill_node.logs import component

__all__ = ('FrameAcceptor', 'HandshakeRefusedError', 'accept_frames', 'open_frames')

HANDSHAKE_TIMEOUT_S = 5.0
"""Time in which a peer that has connected must send its handshake."""

READ_LIMIT_BYTES = 64 * 1024

MAX_HANDSHAKE_BYTES = 16 * 1024
"""Longest handshake of a peer; those of nodes take under 1 KB."""

KEY_BYTES = 16
_ACCEPT_SUFFIX = b'258EAFA5-E914-47DA-95CA-C5AB0DC85B11'

log = component('relay')


class HandshakeRefusedError(ConnectionError):
    """The peer does not accept the connection."""


class FrameAcceptor(abc.ABC):
    """Decides which connections of other nodes are accepted."""

    @property
    @abc.abstractmethod
    def response_headers(self) -> Mapping[str, str]:
        """Return the headers that identify this node."""

    @abc.abstractmethod
    def refusal(self, headers: Mapping[str, str]) -> HTTPStatus | None:
        """Return the status with which a handshake is refused, or None.

        Args:
            headers: Headers of the handshake.
        """

    @abc.abstractmethod
    def receiver(self, headers: Mapping[str, str]) -> FrameReceiver:
        """Return the receiver of a connection that is accepted."""

    @abc.abstractmethod
    def opened(self, receiver: FrameReceiver, socket: FrameSocket) -> None:
        """Handle a connection that was accepted, before its first frame."""


async def open_frames(
    host: str,
    port: int,
    path: str,
    headers: Mapping[str, str],
    receiver: FrameReceiver,
) -> tuple[FrameSocket, Mapping[str, str]]:
    """Open a connection and return it with the headers of the peer's response.

    Args:
        host: IP address of the peer.
        port: TCP port of the peer.
        path: Path of the handshake.
        headers: Further headers of the handshake.
        receiver: Receives the frames.

    Raises:
        HandshakeRefusedError: If the peer does not accept the connection.
        OSError: If there is no connection.
    """
    loop = asyncio.get_running_loop()
    key = base64.b64encode(os.urandom(KEY_BYTES))
    transport, protocol = await loop.create_connection(
        lambda: _Opening(loop, key), host, port
    )
    try:
        transport.write(_request(f'{host}:{port}', path, key, headers))
        response, rest = await protocol.response
    except BaseException:
        transport.abort()
        raise
    socket = FrameSocket(transport, receiver, opened_it=True)
    if rest:
        socket.data_received(rest)
    return socket, response.headers


def accept_frames(path: str, acceptor: FrameAcceptor) -> BaseProtocol:
    """Return the protocol of a new connection that waits for a handshake.

    Args:
        path: Path of the handshake.
        acceptor: Decides whether to accept it.
    """
    return _Accepting(asyncio.get_running_loop(), path, acceptor)


class _Opening(BaseProtocol):
    """Wait for the response to a handshake."""

    def __init__(self, loop: asyncio.AbstractEventLoop, key: bytes) -> None:
        super().__init__(loop)
        self._expected = _accept_value(key)
        self._parser = HttpResponseParser(
            self, loop, READ_LIMIT_BYTES, auto_decompress=False
        )
        self.response: asyncio.Future[tuple[RawResponseMessage, bytes]]
        self.response = loop.create_future()

    def data_received(self, data: bytes) -> None:
        if self.response.done():
            return
        try:
            messages, upgraded, rest = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._refuse(f'the response is malformed: {error!r}')
            return
        if not messages:
            return
        message = messages[0][0]
        accepted = message.headers.get(hdrs.SEC_WEBSOCKET_ACCEPT)
        if upgraded and accepted == self._expected:
            self.response.set_result((message, rest))
        else:
            self._refuse(f'status {message.code}')

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._refuse(f'the peer closed: {exc!r}')

    def _refuse(self, reason: str) -> None:
        if not self.response.done():
            self.response.set_exception(HandshakeRefusedError(reason))


class _Accepting(BaseProtocol):
    """Wait for a handshake."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: str, acceptor: FrameAcceptor
    ) -> None:
        super().__init__(loop)
        self._path = path
        self._acceptor = acceptor
        self._parser = HttpRequestParser(
            self, loop, READ_LIMIT_BYTES, auto_decompress=False
        )
        self._received = 0
        self._timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self._time_out)

    def data_received(self, data: bytes) -> None:
        try:
            messages, upgraded, rest = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            log.info('Handshake not readable.', error=repr(error))
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        if not messages:
            self._count(len(data))
            return
        message = messages[0][0]
        refusal = self._refusal(message, upgraded=upgraded)
        if refusal is None:
            self._accept(message, rest)
        else:
            self._refuse(refusal)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._timer.cancel()

    def _refusal(
        self, message: RawRequestMessage, *, upgraded: bool
    ) -> HTTPStatus | None:
        if message.path != self._path:
            return HTTPStatus.NOT_FOUND
        if not upgraded or not _is_key(message.headers.get(hdrs.SEC_WEBSOCKET_KEY, '')):
            return HTTPStatus.BAD_REQUEST
        return self._acceptor.refusal(message.headers)

    def _accept(self, message: RawRequestMessage, rest: bytes) -> None:
        self._timer.cancel()
        key = message.headers[hdrs.SEC_WEBSOCKET_KEY].encode()
        headers = {
            hdrs.UPGRADE: 'websocket',
            hdrs.CONNECTION: 'Upgrade',
            hdrs.SEC_WEBSOCKET_ACCEPT: _accept_value(key),
            **self._acceptor.response_headers,
        }
        self.transport.write(
            _head(_status_line(HTTPStatus.SWITCHING_PROTOCOLS), headers)
        )
        receiver = self._acceptor.receiver(message.headers)
        socket = FrameSocket(self.transport, receiver, opened_it=False)
        self._acceptor.opened(receiver, socket)
        if rest:
            socket.data_received(rest)

    def _count(self, size: int) -> None:
        self._received += size
        if self._received > MAX_HANDSHAKE_BYTES:
            log.info('Handshake too long.')
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status: HTTPStatus) -> None:
        if self.transport is not None:
            headers = {hdrs.CONTENT_LENGTH: '0', hdrs.CONNECTION: 'close'}
            self.transport.write(_head(_status_line(status), headers))
            self.transport.close()

    def _time_out(self) -> None:
        log.info('No handshake in time.')
        if self.transport is not None:
            self.transport.abort()


def _request(host: str, path: str, key: bytes, headers: Mapping[str, str]) -> bytes:
    own = {
        hdrs.HOST: host,
        hdrs.UPGRADE: 'websocket',
        hdrs.CONNECTION: 'Upgrade',
        hdrs.SEC_WEBSOCKET_VERSION: '13',
        hdrs.SEC_WEBSOCKET_KEY: key.decode(),
    }
    return _head(f'GET {path} HTTP/1.1', own | dict(headers))


def _status_line(status: HTTPStatus) -> str:
    return f'HTTP/1.1 {status.value} {status.phrase}'


def _head(first_line: str, headers: Mapping[str, str]) -> bytes:
    lines = [first_line, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join((*lines, '', '')).encode()


def _accept_value(key: bytes) -> str:
    digest = hashlib.sha1(key + _ACCEPT_SUFFIX, usedforsecurity=False).digest()
    return base64.b64encode(digest).decode()


def _is_key(text: str) -> bool:
    try:
        return len(base64.b64decode(text, validate=True)) == KEY_BYTES
    except (binascii.Error, ValueError):
        # Not Base64: the handshake is refused and logged there.
        return False
