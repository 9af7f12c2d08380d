"""What an upstream in trouble writes instead of an answer."""

import abc
import asyncio
import random

from aiohttp import web
from endless_upstream import BLOCK, OK

ENDLESS_HEAD = b'X-More: 1\r\n' * 100
MOST_UNSENT = 4 * len(BLOCK)


def whole(request_id: str, body: bytes) -> bytes:
    """Return an answer as it should be."""
    head = f'Attempt-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n'
    return OK + head.encode() + body


def refusal(request_id: str) -> bytes:
    """Return the word that a request was not run."""
    head = f'Not-Executed: full\r\nAttempt-Id: {request_id}\r\nContent-Length: 0'
    return f'HTTP/1.1 503 Full\r\n{head}\r\n\r\n'.encode()


class RawAnswer(web.StreamResponse):
    """Write bytes as they are and keep the connection."""

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
        """Do nothing, as everything is written."""


class Trouble(abc.ABC):
    """One way in which a request that ran gets no proper answer."""

    @abc.abstractmethod
    async def answer(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Write something and return the rest, or raise to end the connection."""


class CutHead(Trouble):
    """Close in the middle of the head."""

    def __init__(self, rng: random.Random) -> None:
        """Set what decides where the head is cut."""
        self._rng = rng

    async def answer(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Write a part of the head.

        Raises:
            ConnectionResetError: Always.
        """
        head = whole(request_id, b'')
        request.transport.write(head[: self._rng.randrange(1, len(head) - 1)])
        request.transport.close()
        raise ConnectionResetError


class Endless(Trouble):
    """Write without end until the node closes the connection."""

    def __init__(self, start: bytes, block: bytes) -> None:
        """Set the first bytes and those that follow."""
        self._start = start
        self._block = block

    async def answer(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Write until the handler is cancelled."""
        request.transport.write(self._start)
        while True:
            if request.transport.get_write_buffer_size() < MOST_UNSENT:
                request.transport.write(self._block)
            await asyncio.sleep(0.001)


class ExtraBytes(Trouble):
    """Write bytes that belong to no request, behind a whole answer."""

    async def answer(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Return the answer and the bytes."""
        return RawAnswer(whole(request_id, body) + b'\x00 no answer')


class EarlierRefusal(Trouble):
    """Write the last refusal once more, in front of the answer."""

    def __init__(self) -> None:
        """Start without a refusal."""
        self.last = b''

    async def answer(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Return the refusal and the answer."""
        return RawAnswer(self.last + whole(request_id, body))


class Troubles:
    """Choose among the ways."""

    def __init__(self, rng: random.Random) -> None:
        """Set what decides."""
        self._rng = rng
        self._earlier = EarlierRefusal()
        self._ways: tuple[Trouble, ...] = (
            CutHead(rng),
            Endless(OK, ENDLESS_HEAD),
            Endless(OK + b'\r\n', BLOCK),
            ExtraBytes(),
            self._earlier,
        )

    def refuse(self, request_id: str) -> web.StreamResponse:
        """Return a refusal, in a part of the cases written twice."""
        self._earlier.last = refusal(request_id)
        return RawAnswer(self._earlier.last * self._rng.randint(1, 2))

    def choose(self) -> Trouble:
        """Return a way."""
        return self._rng.choice(self._ways)
