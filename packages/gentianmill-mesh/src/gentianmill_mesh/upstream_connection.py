"""An HTTP connection to an upstream, with one request at a time."""

import asyncio
import enum
from collections.abc import Awaitable, Callable

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import StreamReader

from gentianmill.response_status import is_final_status, is_interim_status
from gentianmill_mesh.connection_reset import was_reset
from gentianmill_mesh.head_splitter import END, HeadSplitter
from gentianmill_mesh.http_message import HttpRequest, HttpResponse, header
from gentianmill_mesh.response_body import ResponseBody
from gentianmill_mesh.response_head import ResponseHead
from gentianmill_mesh.response_identity import ResponseIdentity
from gentianmill_mesh.response_memory import (
    MAX_BUFFERED_BYTES,
    ResponseCollector,
    ResponseMemory,
)
from gentianmill_node.background import spawn
from gentianmill_node.logs import component

READ_LIMIT_BYTES = 256 * 1024 * 1024
"""Buffer limit of the parser. Responses are read completely, so it must never pause."""

MAX_SKIPPED_RESPONSES = 16
"""Interim responses and responses to other requests before the expected one; an
unbounded number of them would keep the node busy."""

MAX_FIELD_BYTES = 64 * 1024
"""Longest status line or header of a response."""

MS_PER_S = 1000

EXIT_GRACE_S = 0.05
"""Delay before a check whether an upstream is there, as its process may be exiting."""

_CONTENT_LENGTH = b'content-length'
_KEEP_ALIVE = b'keep-alive'
_TIMEOUT_OPTION = b'timeout='


log = component('upstream')


class LossKind(enum.Enum):
    """How far a request got before its connection was lost."""

    before_send = 'before_send'
    no_time = 'no_time'
    """The time was over before any byte was sent."""

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
        self,
        loop: asyncio.AbstractEventLoop,
        request_id: bytes,
        memory: ResponseMemory,
        is_upstream_there: Callable[[], Awaitable[bool]],
    ) -> None:
        """Create a protocol without a transport.

        Args:
            loop: The running event loop.
            request_id: Name of the header with the id that upstreams echo.
            memory: Limits the bytes of incomplete responses.
            is_upstream_there: Returns whether the upstream accepts connections.
        """
        super().__init__(loop)
        self._is_upstream_there = is_upstream_there
        self._identity = ResponseIdentity(request_id)
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._messages: list[tuple[RawResponseMessage, StreamReader]] = []
        self._reusable = True
        self._idle_limit_ms: float | None = None
        self._aborted = False
        self._ended_with_connection = False
        self._is_receiving = False
        self._timer: asyncio.TimerHandle | None = None
        self._memory = memory
        self._body = ResponseBody(memory)
        self._head_splitter = HeadSplitter()
        self._head = ResponseHead()
        self._body_bytes = 0
        self._skipped = 0
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

        The connection is in use until the stream of the response, if it has one, is
        finished.

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
        if timeout_s <= 0:
            raise UpstreamLostError(LossKind.no_time, 'no time was left to send')
        self._identity.begin(request_id)
        self._messages.clear()
        self._body = ResponseBody(self._memory)
        self._is_receiving = True
        self._head_splitter = HeadSplitter()
        self._head = ResponseHead()
        self._body_bytes = 0
        self._skipped = 0
        self._waiter = self._loop.create_future()
        has_body = request.method != 'HEAD'
        if self._parser is None or self._parses_bodies is not has_body:
            self._parses_bodies = has_body
            self._parser = _response_parser(self, self._loop, has_body=has_body)
        self.transport.write(head)
        if request.body:
            self.transport.write(request.body)
        self._timer = self._loop.call_later(
            timeout_s, self._fail, LossKind.timed_out, 'the request timed out'
        )
        try:
            response = await self._waiter
        except BaseException:
            if self._body.stream is not None:
                self._body.stream.cancel()
            self._end_exchange()
            raise
        if response.stream is None:
            self._end_exchange()
        else:
            response.stream.on_finished(self._end_exchange)
        return response

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
            if not self._is_receiving or self._parser is None:
                self.close()
                return
            self._parse(piece)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; a clean close completes a response without a length."""
        self._reusable = False
        is_clean = exc is None and self._parser is not None and not self._aborted
        is_clean = is_clean and not was_reset(self.transport)
        if not (is_clean and self._ends_with_connection()):
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
        cost = self._head.count(piece, self._messages[0][1] if self._messages else None)
        if self._head.is_too_long:
            self._fail(LossKind.bad_answer, 'the head of the response is too long')
        elif self._body.stream is None:
            self._memory.add(self, cost)
        if upgraded or tail:
            self._reusable = False
        self._process_messages()

    def _end_exchange(self) -> None:
        if self._is_receiving and self._body.stream is not None:
            # The consumer has left; the upstream must notice.
            self.close()
        self._is_receiving = False
        if self._timer is not None:
            self._timer.cancel()
        self._memory.release(self)
        self._waiter = None
        if self._head.is_large:
            # The parser keeps the last head.
            self._parser = None

    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _ends_with_connection(self) -> bool:
        """Return whether the clean end of the connection may complete the response."""
        try:
            self._parser.feed_eof()
        except (HttpProcessingError, ValueError) as error:
            log.info('Response truncated.', error=repr(error))
            return False
        if not (self._is_receiving and self._messages):
            return False
        message, payload = self._messages[0]
        if payload.exception() is not None or not payload.is_eof():
            return False
        self._ended_with_connection = True
        spawn(self._confirm_end(), 'confirm end of response')
        return True

    async def _confirm_end(self) -> None:
        """Complete a response without a length, unless its upstream has crashed.

        The kernel also ends the connections of a process that crashes in the ordinary
        way, and it may end its listener some ms later.
        """
        await asyncio.sleep(EXIT_GRACE_S)
        if await self._is_upstream_there():
            self._process_messages()
        self._fail(LossKind.after_send, 'the upstream ended within its response')

    def _process_messages(self) -> None:
        while self._messages:
            message, payload = self._messages[0]
            if is_interim_status(message.code):
                self._skip()
                continue
            if not is_final_status(message.code):
                reason = f'{message.code} is not the status of a response'
                self._fail(LossKind.bad_answer, reason)
                return
            is_other = self._identity.is_other(message)
            if not self._receive_body(message, payload, is_other=is_other):
                return
            if is_other:
                self._reusable = False
                self._skip()
                continue
            self._messages.pop(0)
            self._finish(message, payload)
            return

    def _receive_body(
        self, message: RawResponseMessage, payload: StreamReader, *, is_other: bool
    ) -> bool:
        """Take what has arrived of a body, and return whether it is whole."""
        if payload.exception() is not None:
            self._fail(LossKind.after_send, 'the response is truncated')
            return False
        if (_content_length(message) or 0) > MAX_BUFFERED_BYTES:
            self._fail(LossKind.bad_answer, 'the response is too long')
            return False
        for piece in _chunks(payload):
            if not is_other:
                self._body.add(piece)
        if self._body.is_too_long:
            self._fail(LossKind.bad_answer, 'the response is too long')
            return False
        if payload.is_eof():
            return True
        can_stream = self._waiter is not None and not self._waiter.done()
        if can_stream and self._body.wants_stream and self._is_open():
            self._memory.release(self)
            length = _content_length(message)
            stream = self._body.begin_stream(length, self.transport)
            is_framed = message.chunked or length is not None
            response = self._identity.response(message, b'', stream, framed=is_framed)
            self._waiter.set_result(response)
        return False

    def _skip(self) -> None:
        """Drop an interim response or the response to another request."""
        self._messages.pop(0)
        self._memory.release(self)
        self._head.begin()
        self._body_bytes = 0
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_RESPONSES:
            self._fail(
                LossKind.bad_answer,
                'the upstream sends only responses to other requests',
            )

    def _finish(self, message: RawResponseMessage, payload: StreamReader) -> None:
        has_excess = not message.chunked and self._body_bytes > payload.total_bytes
        if message.should_close or self._messages or has_excess:
            self._reusable = False
        self._idle_limit_ms = _idle_limit_ms(message)
        self._is_receiving = False
        if self._body.stream is not None:
            self._body.stream.complete()
        elif self._waiter is not None and not self._waiter.done():
            response = self._identity.response(
                message, self._body.whole(), framed=not self._ended_with_connection
            )
            self._waiter.set_result(response)

    def _fail(self, kind: LossKind, message: str) -> None:
        self._reusable = False
        self._is_receiving = False
        if self._body.stream is not None:
            self._body.stream.fail(message)
        elif self._waiter is not None and not self._waiter.done():
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


def _content_length(message: RawResponseMessage) -> int | None:
    text = header(message.raw_headers, _CONTENT_LENGTH) or b''
    return int(text) if text.isdigit() and not message.chunked else None


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
