"""The connection of a caller, which may send requests ahead of the responses."""

import abc
import asyncio
import functools

from aiohttp.base_protocol import BaseProtocol

from gentianmill.byte_budget import ByteBudget
from gentianmill.clock import Clock
from gentianmill.route_rules import RequestLimits
from gentianmill_mesh.call_intake import OUT_OF_MEMORY
from gentianmill_mesh.connection_reset import reset_connection
from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.exchange_queue import ExchangeQueue, RunAheadPolicy
from gentianmill_mesh.forwarder import CallerRequest
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.lingering_close import LingeringClose, is_sending
from gentianmill_mesh.mesh_settings import ReadAheadSettings
from gentianmill_mesh.request_reader import RequestReader
from gentianmill_mesh.request_room import RequestRoom
from gentianmill_mesh.response_sender import ResponseSender
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.logs import component

__all__ = ('EntryConnection', 'EntryHandler')

STATUS_REQUEST_TIMEOUT = 408

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

log = component('entry')


class EntryHandler(RunAheadPolicy):
    """Handles the requests of all connections."""

    @property
    @abc.abstractmethod
    def limits(self) -> RequestLimits:
        """Return the bounds on requests."""

    @property
    @abc.abstractmethod
    def budget(self) -> ByteBudget:
        """Return the limit on what the node holds."""

    @abc.abstractmethod
    def start(self, exchange: EntryExchange, connection: 'EntryConnection') -> None:
        """Handle a request: set its response, or its task, which does so later."""

    @abc.abstractmethod
    def refuse(self, caller: CallerRequest, reason: str) -> HttpResponse:
        """Return the refusal of a request that was not received as a whole."""

    @abc.abstractmethod
    def opened(self, connection: 'EntryConnection') -> None:
        """Handle a new connection."""

    @abc.abstractmethod
    def closed(self, connection: 'EntryConnection') -> None:
        """Handle a connection that was closed."""


class EntryConnection(BaseProtocol):
    """Pass requests on, and send the responses in the order of the requests."""

    def __init__(
        self,
        handler: EntryHandler,
        names: WireNames,
        settings: ReadAheadSettings,
        clock: Clock,
    ) -> None:
        """Create a protocol without a transport.

        Args:
            handler: Handles the requests.
            names: Header names of the deployment.
            settings: Bounds on what is read ahead of the first open response.
            clock: Clock of the node.
        """
        super().__init__(asyncio.get_running_loop())
        self._handler = handler
        self._clock = clock
        self._exchanges = ExchangeQueue(handler, settings)
        self._reader = RequestReader(
            self._exchanges,
            names,
            settings,
            handler.budget,
            lambda: handler.limits,
            lambda: RequestRoom(
                handler.budget,
                self.proceed,
                functools.partial(self.refuse_incomplete, OUT_OF_MEMORY),
            ),
        )
        self._sender: ResponseSender | None = None
        self._received_ms = clock.now_ms()
        self._active_ms = self._received_ms
        self._has_unparsed = False
        self._is_transport_paused = False
        self._closing: LingeringClose | None = None

    @property
    def running(self) -> int:
        """Return the number of requests whose responses are owed."""
        return self._exchanges.running

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read."""
        super().connection_made(transport)
        self._closing = LingeringClose(self.transport)
        self._sender = ResponseSender(
            self.transport,
            self._handler.budget,
            self._clock,
            self._on_sent,
            self.proceed,
        )
        self._handler.opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests, as nobody waits for their responses."""
        super().connection_lost(exc)
        self._reader.end()
        if self._closing is not None:
            self._closing.cancel()
        self._sender = None
        self._exchanges.cancel()
        self._handler.closed(self)

    def data_received(self, data: bytes) -> None:
        """Handle bytes of the caller, or drop them after the last response."""
        if self._reader.ended:
            return
        self._received_ms = self._clock.now_ms()
        self._active_ms = self._received_ms
        self._read(data)
        self.proceed()

    def pause_writing(self) -> None:
        """Read and start nothing more until the caller has read what was sent."""
        super().pause_writing()
        if self._sender is not None:
            self._sender.pause()
        self._update_reading()

    def resume_writing(self) -> None:
        """Send the responses that waited for a caller that reads slowly."""
        super().resume_writing()
        if self._sender is not None:
            self._sender.resume()
        self.proceed()

    def proceed(self) -> None:
        """Send the responses that are due, and start the requests that may start."""
        may_advance = True
        while may_advance:
            may_advance = self._advance()
        if self.transport is not None and self._exchanges.take_expectation():
            self.transport.write(_CONTINUE)
        self._update_reading()

    def refuse_incomplete(self, reason: str) -> None:
        """Refuse the request that is still being received.

        Args:
            reason: Why the rest of it is not read.
        """
        caller = self._reader.incomplete_request()
        if caller is not None:
            self._reader.refuse(self._handler.refuse(caller, reason))
            self.proceed()

    def close_if_idle(self, min_idle_ms: float = 0) -> bool:
        """Close the connection unless a request is being received or handled.

        A request that crosses the close stays unread, so that its caller, which sees the
        connection end, knows that it has not run.

        Args:
            min_idle_ms: Time without bytes from the caller or for it, in ms.

        Returns:
            Whether it is closed.
        """
        if self._exchanges or self._clock.now_ms() - self._active_ms < min_idle_ms:
            return False
        if min_idle_ms and is_sending(self.transport):
            return False
        self._reader.end()
        if self.transport is not None:
            self.transport.close()
        return True

    def abort(self) -> None:
        """Close the connection immediately; a response that is owed looks cut."""
        if self.transport is None:
            return
        if self.running or is_sending(self.transport):
            reset_connection(self.transport)
        else:
            self.transport.abort()

    def check_timeouts(self, header_timeout_ms: float, idle_timeout_ms: float) -> None:
        """Close a connection whose caller is idle or stopped in the midst of a request.

        Args:
            header_timeout_ms: Longest pause in a head.
            idle_timeout_ms: Longest pause in a body, or between two requests.
        """
        if self._sender is not None and is_sending(self.transport):
            self._sender.check_reader(idle_timeout_ms)
            return
        if self._reader.ended or self.running or self._reader.is_waiting:
            return
        silent_ms = self._clock.now_ms() - self._active_ms
        is_in_head = self._reader.is_in_head
        timeout_ms = header_timeout_ms if is_in_head else idle_timeout_ms
        if silent_ms <= timeout_ms:
            return
        if is_in_head or self._reader.is_in_body:
            log.info('Request not received in time.', silent_ms=round(silent_ms))
            self._reader.refuse(
                HttpResponse(STATUS_REQUEST_TIMEOUT, [], b'not received in time\n')
            )
            self.proceed()
        else:
            self.close_if_idle()

    def _advance(self) -> bool:
        """Send, start and read what is possible; return whether more may be now."""
        self._send_due()
        if not self._paused:
            for exchange in self._exchanges.startable():
                self._handler.start(exchange, self)
        if self._is_response_due:
            return True
        if self._has_unparsed and self._may_read_on():
            self._read(b'')
            return True
        return False

    def _read(self, data: bytes) -> None:
        """Parse bytes until a bound on what is read ahead is reached."""
        self._has_unparsed = False
        while self._reader.feed(data, self._received_ms):
            data = b''
            if not self._may_read_on():
                self._has_unparsed = True
                return

    def _may_read_on(self) -> bool:
        return not self._paused and not self._reader.ended and self._exchanges.has_room

    @property
    def _is_response_due(self) -> bool:
        is_ready = self._sender is not None and self._sender.is_ready
        return is_ready and self._exchanges.is_first_due

    def _send_due(self) -> None:
        while self._is_response_due:
            self._active_ms = self._clock.now_ms()
            exchange = self._exchanges.first
            ends = not exchange.keeps_alive or exchange.ends_connection
            is_alone = self._exchanges.running == 1
            closing = is_alone and (self._handler.closing or ends)
            self._sender.send(exchange, closing=closing)

    def _on_sent(self, closing: bool) -> None:
        self._active_ms = self._clock.now_ms()
        self._exchanges.pop_first().release()
        if closing:
            self._close()

    def _update_reading(self) -> None:
        """Read while further requests are taken, or to drop what comes after the last."""
        if self.transport is None or self.transport.is_closing():
            return
        is_held = self._paused or self._has_unparsed or self._reader.is_waiting
        must_pause = is_held and not self._reader.ended
        if must_pause == self._is_transport_paused:
            return
        self._is_transport_paused = must_pause
        if must_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _close(self) -> None:
        """Close the sending side, and drop what the caller still sends for a while."""
        self._reader.end()
        self._exchanges.clear()
        self._update_reading()
        if self._closing is not None:
            self._closing.begin()
