"""Broken responses of a faulty upstream."""

import abc
import asyncio
import random

from aiohttp import web
from endless_upstream import BLOCK, OK
from gentianmill_mesh.connection_reset import reset_connection

HEADER_LINES = b'X-More: 1\r\n' * 100
MAX_UNSENT_BYTES = 4 * len(BLOCK)


def complete_response(request_id: str, body: bytes) -> bytes:
    """Return a correct response."""
    head = f'Attempt-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n'
    return OK + head.encode() + body


def refusal(request_id: str) -> bytes:
    """Return a response which states that the request was not run."""
    head = f'Not-Executed: full\r\nAttempt-Id: {request_id}\r\nContent-Length: 0'
    return f'HTTP/1.1 503 Full\r\n{head}\r\n\r\n'.encode()


class RawResponse(web.StreamResponse):
    """Write raw bytes and keep the connection open."""

    def __init__(self, raw: bytes) -> None:
        """Set the bytes."""
        super().__init__()
        self._raw = raw

    async def prepare(self, request: web.BaseRequest) -> None:
        """Write the bytes."""
        self._keep_alive = True
        if request.transport is not None:
            request.transport.write(self._raw)

    async def write_eof(self, _data: bytes = b'') -> None:
        """Do nothing, as everything has been written."""


class BrokenResponse(abc.ABC):
    """One way to break the response to a request that ran."""

    @abc.abstractmethod
    async def respond(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Write some bytes and return the rest, or raise to close the connection."""


class TruncatedHead(BrokenResponse):
    """Close the connection in the middle of the head."""

    def __init__(self, rng: random.Random) -> None:
        """Set the generator that decides where the head is truncated."""
        self._rng = rng

    async def respond(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Write a prefix of the head.

        Raises:
            ConnectionResetError: Always.
        """
        head = complete_response(request_id, b'')
        request.transport.write(head[: self._rng.randrange(1, len(head) - 1)])
        request.transport.close()
        raise ConnectionResetError


class UnboundedResponse(BrokenResponse):
    """Write an unbounded response until the node closes the connection."""

    def __init__(self, start: bytes, block: bytes) -> None:
        """Set the first bytes and the block that is repeated after them."""
        self._start = start
        self._block = block

    async def respond(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Write until the handler is cancelled."""
        request.transport.write(self._start)
        while True:
            if request.transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
                request.transport.write(self._block)
            await asyncio.sleep(0.001)


class ExtraBytes(BrokenResponse):
    """Write extra bytes that belong to no request after a complete response."""

    async def respond(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Return the response followed by the extra bytes."""
        return RawResponse(complete_response(request_id, body) + b'\x00 no answer')


class WithoutLength(BrokenResponse):
    """Write a response whose body ends with its connection, whole or reset half way."""

    def __init__(self, *, whole: bool) -> None:
        """Set whether the body is whole."""
        self._whole = whole

    async def respond(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Write the body, and close or reset the connection.

        Raises:
            ConnectionResetError: Always.
        """
        head = OK + f'Attempt-Id: {request_id}\r\n\r\n'.encode()
        written = body if self._whole else body[: len(body) // 2]
        request.transport.write(head + written)
        if self._whole:
            request.transport.close()
        else:
            reset_connection(request.transport)
        raise ConnectionResetError


class StaleRefusal(BrokenResponse):
    """Write the last refusal again before the response."""

    def __init__(self) -> None:
        """Start without an earlier refusal."""
        self.last = b''

    async def respond(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Return the refusal followed by the response."""
        return RawResponse(self.last + complete_response(request_id, body))


class BrokenResponses:
    """Choose how responses are broken."""

    def __init__(self, rng: random.Random) -> None:
        """Set the generator that makes the choices."""
        self._rng = rng
        self._stale_refusal = StaleRefusal()
        self._kinds: tuple[BrokenResponse, ...] = (
            TruncatedHead(rng),
            UnboundedResponse(OK, HEADER_LINES),
            UnboundedResponse(OK + b'\r\n', BLOCK),
            UnboundedResponse(
                OK + b'Transfer-Encoding: chunked\r\n\r\n',
                b'10000\r\n' + BLOCK + b'\r\n',
            ),
            WithoutLength(whole=True),
            WithoutLength(whole=False),
            ExtraBytes(),
            self._stale_refusal,
        )

    def refuse(self, request_id: str) -> web.StreamResponse:
        """Return a refusal, written once or twice at random."""
        self._stale_refusal.last = refusal(request_id)
        return RawResponse(self._stale_refusal.last * self._rng.randint(1, 2))

    def choose(self) -> BrokenResponse:
        """Return a random way to break a response."""
        return self._rng.choice(self._kinds)
