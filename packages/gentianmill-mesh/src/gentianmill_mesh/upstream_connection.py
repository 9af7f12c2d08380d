"""An HTTP connection to an upstream, with one request at a time."""

import asyncio
import enum

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import StreamReader

from gentianmill_mesh.head_splitter import END, HeadSplitter
from gentianmill_mesh.http_message import HttpRequest, HttpResponse, header
from gentianmill_mesh.response_memory import ResponseCollector, ResponseMemory

READ_LIMIT_BYTES = 256 * 1024 * 1024
"""Buffer limit of the parser. Responses are read completely, so it must never pause."""

MAX_HEAD_BYTES = 256 * 1024
"""Longest head of a response; an unbounded one would fill the memory."""

MAX_SKIPPED_RESPONSES = 16
"""Interim responses and responses to other requests before the expected one; an
unbounded number of them would keep the node busy."""

MAX_FIELD_BYTES = 64 * 1024
"""Longest status line or header of a response."""

MS_PER_S = 1000
FIRST_FINAL_STATUS = 200

_KEEP_ALIVE = b'keep-alive'
_TIMEOUT_OPTION = b'timeout='


class LossKind(enum.Enum):
    """How far a request got before its connection was lost."""

    before_send = 'before_send'
    after_send = 'after_send'
    bad_answer = 'bad_answer'
    timed_out = 'timed_out'


class UpstreamLostError(Exception):
    """The connection ended without a complete response."""

    def __init__(self, kind: LossKind, message: str) -> None:
        """Create an error.

        Args:
            kind: How far the request got.
            message: One sentence for the log.
        """
        super().__init__(message)
        self._kind = kind

    @property
    def kind(self) -> LossKind:
        """Return how far the request got."""
        return self._kind


class UpstreamConnection(BaseProtocol, ResponseCollector):
    """Send requests and collect complete responses.

    An upstream may send bytes that belong to no request, or a late response to an
    earlier one. Such a connection is not reused, and a response with the id of
    another request is skipped.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, request_id: bytes, memory: ResponseMemory
    ) -> None:
        """Create a protocol without a transport.

        Args:
            loop: The running event loop.
            request_id: Name of the header with the id that upstreams echo.
            memory: Limits the bytes of incomplete responses.
        """
        super().__init__(loop)
        self._id_header = request_id
        self._expected_id: bytes | None = None
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._messages: list[tuple[RawResponseMessage, StreamReader]] = []
        self._reusable = True
        self._idle_limit_ms: float | None = None
        self._aborted = False
        self._stream_ended = False
        self._memory = memory
        self._head_splitter = HeadSplitter()
        self._head_bytes = 0
        self._body_bytes = 0
        self._skipped = 0
        self._exchange_count = 0
        self._echoes_ids = False
        self._parses_bodies = False

    @property
    def reusable(self) -> bool:
        """Return whether another request may be sent on the connection."""
        return self._reusable and self._is_open()

    @property
    def idle_limit_ms(self) -> float | None:
        """Return how long the upstream keeps an idle connection open, if it is known."""
        return self._idle_limit_ms

    async def exchange(
        self,
        request: HttpRequest,
        head: bytes,
        request_id: bytes | None,
        timeout_s: float,
    ) -> HttpResponse:
        """Send a request and return its response.

        Args:
            request: The request.
            head: Request line and headers as they are sent.
            request_id: Id that the response must carry, or None.
            timeout_s: Time until the response must be complete, in s.

        Raises:
            UpstreamLostError: If no complete response arrived.
        """
        if not self.reusable:
            raise UpstreamLostError(LossKind.before_send, 'the connection was closed')
        self._expected_id = request_id
        self._exchange_count += 1
        self._messages.clear()
        self._head_splitter = HeadSplitter()
        self._head_bytes = 0
        self._body_bytes = 0
        self._skipped = 0
        self._waiter = self._loop.create_future()
        has_body = request.method != 'HEAD'
        if self._parser is None or self._parses_bodies is not has_body:
            self._parses_bodies = has_body
            self._parser = _response_parser(self, self._loop, has_body=has_body)
        self.transport.write(head + request.body)
        timer = self._loop.call_later(
            timeout_s, self._fail, LossKind.timed_out, 'the request timed out'
        )
        try:
            return await self._waiter
        finally:
            timer.cancel()
            self._end_exchange()

    def close(self) -> None:
        """Close the connection immediately."""
        self._reusable = False
        self._aborted = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handle bytes of the upstream.

        They are split at each possible end of a head and parsed piece by piece, as
        the parser drops all messages in the bytes in which it finds an error.
        """
        for piece in self._head_splitter.pieces(data):
            if self._waiter is None or self._waiter.done() or self._parser is None:
                self.close()
                return
            self._parse(piece)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; a clean close completes a response without a length."""
        self._reusable = False
        if exc is None and self._parser is not None and not self._aborted:
            self._end_of_stream()
        self._fail(LossKind.after_send, f'the upstream closed: {exc!r}')
        self._parser = None
        super().connection_lost(exc)

    def abandon(self) -> None:
        """Abort a response that takes too much memory."""
        self._fail(LossKind.bad_answer, 'the response is too long')

    def pause_reading(self) -> None:
        """Keep reading, as responses are read completely."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing, as reading never pauses."""

    def _parse(self, piece: bytes) -> None:
        if self._messages:
            self._body_bytes += len(piece)
        elif END in piece[: -len(END)]:
            # What follows a head in the same piece can't be told from its body.
            self._reusable = False
        try:
            messages, upgraded, tail = self._parser.feed_data(piece)
        except (HttpProcessingError, ValueError, AssertionError) as error:
            self._process_messages()
            self._fail(
                LossKind.bad_answer, f'the response is not valid HTTP: {error!r}'
            )
            return
        self._messages.extend(messages)
        self._count_bytes(len(piece))
        if upgraded or tail:
            self._reusable = False
        self._process_messages()

    def _count_bytes(self, received: int) -> None:
        """Count received bytes as part of a body or of an incomplete head."""
        self._head_bytes = 0 if self._messages else self._head_bytes + received
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(LossKind.bad_answer, 'the head of the response is too long')
        else:
            self._memory.add(self, received)

    def _end_exchange(self) -> None:
        self._memory.release(self)
        self._waiter = None

    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _end_of_stream(self) -> None:
        self._stream_ended = True
        try:
            self._parser.feed_eof()
        except (HttpProcessingError, ValueError) as error:
            self._fail(LossKind.after_send, f'the response is truncated: {error!r}')
            return
        self._process_messages()

    def _process_messages(self) -> None:
        while self._messages:
            message, payload = self._messages[0]
            if message.code < FIRST_FINAL_STATUS:
                self._skip()
                continue
            if payload.exception() is not None:
                self._fail(LossKind.after_send, 'the response is truncated')
                return
            if not payload.is_eof():
                return
            if self._is_for_other_request(message):
                self._reusable = False
                self._skip()
                continue
            self._messages.pop(0)
            self._finish(message, payload)
            return

    def _skip(self) -> None:
        """Drop an interim response or the response to another request."""
        self._messages.pop(0)
        self._memory.release(self)
        self._body_bytes = 0
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_RESPONSES:
            self._fail(
                LossKind.bad_answer,
                'the upstream sends only responses to other requests',
            )

    def _is_for_other_request(self, message: RawResponseMessage) -> bool:
        if self._expected_id is None:
            return False
        response_id = header(message.raw_headers, self._id_header)
        if response_id is None:
            return self._echoes_ids
        return response_id != self._expected_id

    def _finish(self, message: RawResponseMessage, payload: StreamReader) -> None:
        body = b''.join(_chunks(payload))
        has_excess = not message.chunked and self._body_bytes > payload.total_bytes
        if message.should_close or self._messages or has_excess:
            self._reusable = False
        self._idle_limit_ms = _idle_limit_ms(message)
        if self._waiter is not None and not self._waiter.done():
            response_id = header(message.raw_headers, self._id_header)
            self._echoes_ids |= response_id is not None
            response = HttpResponse(
                message.code,
                [list(pair) for pair in message.raw_headers],
                body,
                framed=not self._stream_ended,
                attributed=self._exchange_count == 1 or response_id is not None,
            )
            self._waiter.set_result(response)

    def _fail(self, kind: LossKind, message: str) -> None:
        self._reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(UpstreamLostError(kind, message))
        if self._is_open():
            self.transport.abort()


def _response_parser(
    protocol: BaseProtocol, loop: asyncio.AbstractEventLoop, *, has_body: bool
) -> HttpResponseParser:
    return HttpResponseParser(
        protocol,
        loop,
        READ_LIMIT_BYTES,
        max_line_size=MAX_FIELD_BYTES,
        max_field_size=MAX_FIELD_BYTES,
        response_with_body=has_body,
        read_until_eof=True,
        auto_decompress=False,
    )


def _chunks(payload: StreamReader) -> list[bytes]:
    chunks = []
    while chunk := payload.read_nowait(-1):
        chunks.append(chunk)
    return chunks


def _idle_limit_ms(message: RawResponseMessage) -> float | None:
    options = header(message.raw_headers, _KEEP_ALIVE) or b''
    for option in options.split(b','):
        name, _, seconds = option.strip().lower().partition(_TIMEOUT_OPTION)
        if not name and seconds.isdigit():
            return int(seconds) * MS_PER_S
    return None
