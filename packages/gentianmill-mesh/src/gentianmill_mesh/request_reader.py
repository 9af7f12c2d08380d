"""Reads the requests on a connection of a caller."""

import asyncio
from collections.abc import Callable

from aiohttp import hdrs
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from gentianmill.route_rules import RequestLimits
from gentianmill_mesh.body_buffer import Body, BodyBuffer
from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.exchange_queue import ExchangeQueue
from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.request_room import RequestRoom
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.logs import component

__all__ = ('RequestReader',)

MAX_FIELD_BYTES = 64 * 1024
"""Longest request line or header; the limit of the rules is usually lower."""

READ_LIMIT_BYTES = 256 * 1024 * 1024
"""Buffer limit of the parser. Bodies have a lower limit of their own, so it must never
pause."""

MAX_FIELDS = 32_768
"""Headers of a request; their bytes are limited by the rules."""

FIELD_OVERHEAD_BYTES = 4
"""Separators of a header."""

STATUS_BAD_REQUEST = 400
STATUS_HEAD_TOO_LARGE = 431
STATUS_TOO_LARGE = 413
STATUS_EXPECTATION_FAILED = 417

log = component('entry')


class RequestReader:
    """Parse bytes into exchanges, until a request after which nothing may follow."""

    def __init__(
        self,
        exchanges: ExchangeQueue,
        names: WireNames,
        limits: Callable[[], RequestLimits],
        new_room: Callable[[], RequestRoom],
    ) -> None:
        """Create a reader at the start of a connection.

        Args:
            exchanges: Receives each request, as soon as its head is complete.
            names: Header names of the deployment.
            limits: Returns the bounds on requests.
            new_room: Returns the room for a body.
        """
        self._exchanges = exchanges
        self._names = names
        self._limits = limits
        self._new_room = new_room
        loop = asyncio.get_running_loop()
        # It stops after each message, so that an error in one spares those before it.
        self._parser = HttpRequestParser(
            _Unpausable(loop),
            loop,
            READ_LIMIT_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_FIELDS,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self._incomplete: tuple[EntryExchange, RawRequestMessage, StreamReader] | None
        self._incomplete = None
        self._body = BodyBuffer()
        self._head_bytes = 0
        self._arrived_ms = float(0)
        self._ended = False
        self._is_in_head = False

    @property
    def ended(self) -> bool:
        """Return whether no further requests are taken."""
        return self._ended

    @property
    def is_in_head(self) -> bool:
        """Return whether the last bytes were part of a head that has not ended."""
        return self._is_in_head

    @property
    def is_in_body(self) -> bool:
        """Return whether the body of a request has not ended."""
        return self._incomplete is not None

    @property
    def is_waiting(self) -> bool:
        """Return whether there is no room yet for the body that is being received."""
        if self._incomplete is None:
            return False
        room = self._incomplete[0].room
        return room is not None and room.is_waiting

    def end(self) -> None:
        """Take no further requests."""
        self._ended = True
        self._incomplete = None
        self._body = BodyBuffer()

    def feed(self, data: bytes, arrived_ms: float) -> bool:
        """Parse bytes up to the end of one request.

        Args:
            data: The next bytes, or none to go on with those that were not parsed yet.
            arrived_ms: When the bytes arrived.

        Returns:
            Whether a request ended, so that further ones may follow.
        """
        self._arrived_ms = arrived_ms
        self._head_bytes += len(data)
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._reject(error)
            return False
        for message, payload in messages:
            self._receive(message, payload)
        has_request_ended = self._complete_body()
        is_in_body = self._incomplete is not None
        self._is_in_head = bool(data) and not (messages or has_request_ended)
        self._is_in_head &= not is_in_body
        if self._is_in_head and self._head_bytes > self._limits().header_bytes:
            self._refuse_head()
        if upgraded:
            self._ended = True
        return has_request_ended and not self._ended

    def refuse(self, response: HttpResponse) -> None:
        """Respond to what is being received, and take no further requests.

        Args:
            response: Says why the rest is not read.
        """
        if self._incomplete is None:
            self._exchanges.append(EntryExchange.ended_by(response))
        else:
            exchange = self._incomplete[0]
            exchange.release_request()
            exchange.keeps_alive = False
            exchange.awaits_continue = False
            exchange.response = response
        self.end()

    def incomplete_request(self) -> CallerRequest | None:
        """Return the request whose body has not ended, without its body."""
        if self._incomplete is None:
            return None
        exchange, message, _ = self._incomplete
        return self._caller_request(exchange, message, b'')

    def _receive(self, message: RawRequestMessage, payload: StreamReader) -> None:
        exchange = EntryExchange.of(message)
        exchange.arrived_ms = self._arrived_ms
        self._exchanges.append(exchange)
        self._incomplete = (exchange, message, payload)
        limits = self._limits()
        is_long = self._head_bytes > limits.header_bytes
        if is_long and _head_bytes(message) > limits.header_bytes:
            self._refuse_head()
            return
        self._head_bytes = 0
        length = int(message.headers.get(hdrs.CONTENT_LENGTH, 0))
        if length > limits.body_bytes:
            self.refuse(HttpResponse(STATUS_TOO_LARGE, [], b'the body is too large\n'))
            return
        expectation = message.headers.get(hdrs.EXPECT)
        if expectation is not None and exchange.is_http11:
            exchange.awaits_continue = expectation.lower() == '100-continue'
            if not exchange.awaits_continue:
                self.refuse(_unknown_expectation())
                return
        if length or not payload.is_eof():
            exchange.room = self._new_room()
            exchange.room.reserve(length)

    def _refuse_head(self) -> None:
        log.info('Head too long.', bytes=self._head_bytes)
        self.refuse(HttpResponse(STATUS_HEAD_TOO_LARGE, [], b'the head is too large\n'))

    def _complete_body(self) -> bool:
        """Take the body that is being received, and return whether it has ended."""
        if self._incomplete is None:
            return False
        exchange, message, payload = self._incomplete
        error = payload.exception()
        if error is not None:
            self._reject(error)
            return False
        if payload.total_bytes > self._limits().body_bytes:
            self.refuse(HttpResponse(STATUS_TOO_LARGE, [], b'the body is too large\n'))
            return False
        if payload.total_bytes:
            self._body.add(payload.read_nowait())
        if not payload.is_eof():
            if exchange.room is not None:
                exchange.room.grow(len(self._body))
            return False
        body = self._body.body()
        self._body = BodyBuffer()
        exchange.caller = self._caller_request(exchange, message, body)
        exchange.awaits_continue = False
        self._incomplete = None
        self._ended = not exchange.keeps_alive
        return True

    def _caller_request(
        self, exchange: EntryExchange, message: RawRequestMessage, body: Body
    ) -> CallerRequest:
        headers = message.headers
        return CallerRequest(
            request=HttpRequest(
                message.method,
                message.path.encode(errors='surrogateescape'),
                self._names.forwarded_request(message.raw_headers),
                body,
            ),
            request_id=headers.get(self._names.request_id_text, ''),
            host=headers.get(hdrs.HOST, '').partition(':')[0].lower(),
            path=message.path.partition('?')[0],
            arrived_ms=exchange.arrived_ms,
            time_left_ms=_milliseconds(headers.get(self._names.time_left_text)),
            keys=self._names.keys(message.raw_headers),
        )

    def _reject(self, error: BaseException) -> None:
        # The message of the error may quote a header, and with it a key.
        log.info('Request not readable.', error=type(error).__name__)
        self.refuse(HttpResponse(STATUS_BAD_REQUEST, [], b'the request is malformed\n'))


class _Unpausable(BaseProtocol):
    """Keeps the parser going, as bodies are read completely."""

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing."""


def _head_bytes(message: RawRequestMessage) -> int:
    fields = sum(
        len(name) + len(text) + FIELD_OVERHEAD_BYTES
        for name, text in message.raw_headers
    )
    return len(message.method) + len(message.path) + fields


def _unknown_expectation() -> HttpResponse:
    return HttpResponse(STATUS_EXPECTATION_FAILED, [], b'unknown expectation\n')


def _milliseconds(text: str | None) -> float | None:
    if text is None or not text.strip().isdigit():
        return None
    return float(text)
