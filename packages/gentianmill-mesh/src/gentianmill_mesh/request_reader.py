"""Reads the requests on a connection of a caller."""

import asyncio
from collections.abc import Callable

from aiohttp import hdrs
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.exchange_queue import ExchangeQueue
from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.http_message import HttpRequest, HttpResponse
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.logs import component

__all__ = ('RequestReader',)

MAX_FIELD_BYTES = 64 * 1024
"""Longest request line or header; the limit of the rules is usually lower."""

READ_LIMIT_BYTES = 256 * 1024 * 1024
"""Buffer limit of the parser. Bodies have a lower limit of their own, so it must never
pause."""

STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_EXPECTATION_FAILED = 417

log = component('entry')


class RequestReader:
    """Parse bytes into exchanges, until a request after which nothing may follow."""

    def __init__(
        self,
        exchanges: ExchangeQueue,
        names: WireNames,
        max_body_bytes: Callable[[], int],
    ) -> None:
        """Create a reader at the start of a connection.

        Args:
            exchanges: Receives each request, as soon as its head is complete.
            names: Header names of the deployment.
            max_body_bytes: Returns the longest body that is read.
        """
        self._exchanges = exchanges
        self._names = names
        self._max_body_bytes = max_body_bytes
        loop = asyncio.get_running_loop()
        # It stops after each message, so that an error in one spares those before it.
        self._parser = HttpRequestParser(
            _Unpausable(loop),
            loop,
            READ_LIMIT_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self._incomplete: tuple[EntryExchange, RawRequestMessage, StreamReader] | None
        self._incomplete = None
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

    def end(self) -> None:
        """Take no further requests."""
        self._ended = True
        self._incomplete = None

    def feed(self, data: bytes, arrived_ms: float) -> bool:
        """Parse bytes up to the end of one request.

        Args:
            data: The next bytes, or none to go on with those that were not parsed yet.
            arrived_ms: When the bytes arrived.

        Returns:
            Whether a request ended, so that further ones may follow.
        """
        self._arrived_ms = arrived_ms
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._reject(error)
            return False
        for message, payload in messages:
            self._receive(message, payload)
        has_request_ended = self._complete_body()
        self._is_in_head = bool(data) and not (messages or has_request_ended)
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
            exchange.keeps_alive = False
            exchange.awaits_continue = False
            exchange.response = response
        self.end()

    def incomplete_request(self) -> CallerRequest | None:
        """Return the request whose body has not ended, without its body."""
        if self._incomplete is None:
            return None
        return self._caller_request(self._incomplete[1], b'')

    def _receive(self, message: RawRequestMessage, payload: StreamReader) -> None:
        exchange = EntryExchange.of(message)
        self._exchanges.append(exchange)
        self._incomplete = (exchange, message, payload)
        expectation = message.headers.get(hdrs.EXPECT)
        if expectation is None or not exchange.is_http11:
            return
        if expectation.lower() == '100-continue':
            exchange.awaits_continue = True
        else:
            self.refuse(
                HttpResponse(STATUS_EXPECTATION_FAILED, [], b'unknown expectation\n')
            )

    def _complete_body(self) -> bool:
        """Take the body that is being received, and return whether it has ended."""
        if self._incomplete is None:
            return False
        exchange, message, payload = self._incomplete
        error = payload.exception()
        if error is not None:
            self._reject(error)
            return False
        if payload.total_bytes > self._max_body_bytes():
            self.refuse(HttpResponse(STATUS_TOO_LARGE, [], b'the body is too large\n'))
            return False
        if not payload.is_eof():
            return False
        body = payload.read_nowait() if payload.total_bytes else b''
        exchange.caller = self._caller_request(message, body)
        exchange.awaits_continue = False
        self._incomplete = None
        self._ended = not exchange.keeps_alive
        return True

    def _caller_request(self, message: RawRequestMessage, body: bytes) -> CallerRequest:
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
            arrived_ms=self._arrived_ms,
            time_left_ms=_milliseconds(headers.get(self._names.time_left_text)),
        )

    def _reject(self, error: BaseException) -> None:
        log.info('Request not readable.', error=repr(error))
        self.refuse(HttpResponse(STATUS_BAD_REQUEST, [], b'the request is malformed\n'))


class _Unpausable(BaseProtocol):
    """Keeps the parser going, as bodies are read completely."""

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing."""


def _milliseconds(text: str | None) -> float | None:
    if text is None or not text.strip().isdigit():
        return None
    return float(text)
