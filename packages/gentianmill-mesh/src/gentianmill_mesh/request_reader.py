"""Reads the requests on a connection of a caller."""

import asyncio
import re
from collections.abc import Callable

from aiohttp import hdrs
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from gentianmill.byte_budget import ByteBudget, HeldKind
from gentianmill.route_rules import RequestLimits
from gentianmill_mesh.body_buffer import Body, BodyBuffer
from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.exchange_queue import ExchangeQueue
from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.head_count import HeadCount
from gentianmill_mesh.head_room import HeadRoom, ParserRoom, head_cost
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.mesh_settings import ReadAheadSettings
from gentianmill_mesh.request_extent import RequestExtent
from gentianmill_mesh.request_room import RequestRoom
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.logs import component

__all__ = ('RequestReader',)

MAX_FIELD_BYTES = 64 * 1024
"""Longest request line or header; the limit of the rules is usually lower."""

READ_LIMIT_BYTES = 256 * 1024 * 1024
"""Buffer limit of the parser. Bodies have a lower limit of their own, so it must never
pause."""

FIELD_OVERHEAD_BYTES = 3
"""Fewest separators of a header: a colon and the end of the line."""

LAST_CHUNK = re.compile(rb'\r\n0+[ \t;\r]')
"""Size of the last chunk of a body, behind which trailers come. If it arrives in parts,
the bytes behind it come without bytes of the body, and count as trailers for that."""

TOO_MANY_LINES = 'Too many headers received'
"""Message of the parser's error."""

STATUS_BAD_REQUEST = 400
STATUS_HEAD_TOO_LARGE = 431
STATUS_TOO_LARGE = 413
STATUS_EXPECTATION_FAILED = 417
STATUS_UNAVAILABLE = 503

log = component('entry')


class RequestReader:
    """Parse bytes into exchanges, until a request after which nothing may follow."""

    def __init__(
        self,
        exchanges: ExchangeQueue,
        names: WireNames,
        settings: ReadAheadSettings,
        budget: ByteBudget,
        limits: Callable[[], RequestLimits],
        new_room: Callable[[], RequestRoom],
    ) -> None:
        """Create a reader at the start of a connection.

        Args:
            exchanges: Receives each request, as soon as its head is complete.
            names: Header names of the deployment.
            settings: Bounds on what is read.
            budget: Limits what the node holds.
            limits: Returns the bounds on requests.
            new_room: Returns the room for a body.
        """
        self._exchanges = exchanges
        self._names = names
        self._limits = limits
        self._new_room = new_room
        self._settings = settings
        self._budget = budget
        self._protocol = _Unpausable(asyncio.get_running_loop())
        self._parser = self._new_parser()
        self._parser_room = ParserRoom(budget)
        self._extent = RequestExtent()
        self._parsed_head = (0, 0)
        self._body_bytes = 0
        self._bytes_since_body = 0
        self._incomplete: tuple[EntryExchange, RawRequestMessage, StreamReader] | None
        self._incomplete = None
        self._body = BodyBuffer()
        self._head_count = HeadCount()
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
        # The parser keeps the last head.
        self._parser = self._new_parser()
        self._parser_room.clear()

    def feed(self, data: bytes, arrived_ms: float) -> bool:
        """Parse bytes up to the end of one request.

        Args:
            data: The next bytes, or none to go on with those that were not parsed yet.
            arrived_ms: When the bytes arrived.

        Returns:
            Whether a request ended, so that further ones may follow.
        """
        if not data and self._extent.is_at_start:
            # The parser is new.
            return False
        self._arrived_ms = arrived_ms
        body_begin = 0
        if self._incomplete is None:
            self._head_count.add(data)
        else:
            body_begin = self._incomplete[2].total_bytes
            self._head_count.add_to_body(data)
        self._extent.add(data)
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._reject(error)
            return False
        for message, payload in messages:
            self._receive(message, payload)
        has_request_ended = self._complete_body(body_begin, has_head=bool(messages))
        if not (self._ended or has_request_ended):
            self._count(data, is_head_complete=bool(messages))
        is_in_body = self._incomplete is not None
        self._is_in_head = bool(data) and not (messages or has_request_ended)
        self._is_in_head &= not is_in_body
        is_long = self._head_count.count > self._limits().header_bytes
        if self._is_in_head and is_long and not self._ended:
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
            exchange.release()
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
        is_long = self._head_count.upper_bound > limits.header_bytes
        if is_long and _head_bytes(message) > limits.header_bytes:
            self._refuse_head()
            return
        if not self._hold_head(exchange, message):
            self._refuse_for_memory()
            return
        self._head_count.end_head()
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
        log.info('Head too long.', bytes=self._head_count.count)
        self.refuse(HttpResponse(STATUS_HEAD_TOO_LARGE, [], b'the head is too large\n'))

    def _refuse_for_memory(self) -> None:
        log.info('No room for a head.', held=self._budget.held_of(HeldKind.head))
        retry = [[b'Retry-After', b'1']]
        self.refuse(HttpResponse(STATUS_UNAVAILABLE, retry, b'not run\n'))

    def _hold_head(self, exchange: EntryExchange, message: RawRequestMessage) -> bool:
        """Count a complete head, and return whether there is room for it."""
        lines = len(message.raw_headers)
        size = self._extent.head_size or _head_bytes(message)
        exchange.head_room = HeadRoom(self._budget)
        self._body_bytes = 0
        self._bytes_since_body = 0
        self._parsed_head = (lines, size)
        return exchange.head_room.resize(head_cost(lines, size))

    def _count(self, data: bytes, *, is_head_complete: bool) -> None:
        """Count what the parser holds of a request that has not ended."""
        room = self._parser_room
        if self._incomplete is None:
            has_room = room.add_to_head(data) if data else room.begin_next_head()
        else:
            has_room = self._count_trailers(data, is_head_complete=is_head_complete)
        if self._bytes_since_body > self._limits().header_bytes:
            self._refuse_head()
        elif has_room:
            return
        else:
            self._refuse_for_memory()

    def _count_trailers(self, data: bytes, *, is_head_complete: bool) -> bool:
        """Count bytes behind the last chunk, and return whether there is room."""
        _, message, payload = self._incomplete
        has_room = True
        if is_head_complete:
            has_room = self._parser_room.set_head(*self._parsed_head)
        if not (has_room and message.chunked):
            return has_room
        has_grown = payload.total_bytes > self._body_bytes
        self._body_bytes = payload.total_bytes
        if has_grown or is_head_complete:
            self._bytes_since_body = 0
            last = LAST_CHUNK.search(data)
            trailers = data[last.start() :] if last else b''
            return self._parser_room.set_trailers(trailers)
        self._bytes_since_body += len(data)
        return self._parser_room.add_to_trailers(data)

    def _go_on(
        self,
        exchange: EntryExchange,
        message: RawRequestMessage,
        body_bytes: int,
        *,
        has_head: bool,
    ) -> None:
        """Free the head that the parser keeps, or count it while it is kept."""
        behind = None
        if message.chunked:
            self._head_count.end_chunked_message(body_bytes)
        else:
            length = int(message.headers.get(hdrs.CONTENT_LENGTH, 0))
            behind = self._extent.bytes_behind(length)
            self._head_count.end_message(body_bytes, behind, has_head=has_head)
        if behind == 0:
            self._parser = self._new_parser()
            self._parser_room.clear()
            self._extent.begin()
            return
        self._extent.lose()
        self._parser_room.set_head(*self._parsed_head)
        count = self._head_count
        if not self._parser_room.keep(count.unparsed_bound, count.begun):
            exchange.keeps_alive = False
            self.end()

    def _new_parser(self) -> HttpRequestParser:
        # It stops after each message, so that an error in one spares those before it.
        return HttpRequestParser(
            self._protocol,
            self._protocol.loop,
            READ_LIMIT_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=self._settings.header_lines,
            auto_decompress=False,
            max_msg_queue_size=1,
        )

    def _complete_body(self, body_begin: int, *, has_head: bool) -> bool:
        """Take the body that is being received, and return whether it has ended.

        Args:
            body_begin: Bytes of the body that earlier pieces held.
            has_head: Whether the head ended in the last piece.
        """
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
        if exchange.keeps_alive:
            body_bytes = payload.total_bytes - body_begin
            self._go_on(exchange, message, body_bytes, has_head=has_head)
        else:
            self.end()
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
        if TOO_MANY_LINES in str(error):
            self._refuse_head()
            return
        # The message of the error may quote a header, and with it a key.
        log.info('Request not readable.', error=type(error).__name__)
        self.refuse(HttpResponse(STATUS_BAD_REQUEST, [], b'the request is malformed\n'))


class _Unpausable(BaseProtocol):
    """Keeps the parser going, as bodies are read completely."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Return the event loop."""
        return self._loop

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
