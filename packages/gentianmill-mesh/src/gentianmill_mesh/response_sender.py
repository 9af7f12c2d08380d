"""Sends the responses of one connection of a caller, one after the other."""

import asyncio
import dataclasses
from collections.abc import Callable

from gentianmill.byte_budget import SMALL_BYTES, ByteBudget
from gentianmill.clock import Clock
from gentianmill_mesh.body_stream import StreamEnd, stream_of
from gentianmill_mesh.connection_reset import reset_connection, reset_on_close
from gentianmill_mesh.entry_exchange import EntryExchange
from gentianmill_mesh.response_encoder import BodyEnd
from gentianmill_mesh.response_writer import ResponseWriter
from gentianmill_node.logs import component

__all__ = ('ResponseSender',)

log = component('entry')


class ResponseSender:
    """Write heads and small bodies at once, and large bodies as they are read."""

    def __init__(
        self,
        transport: asyncio.Transport,
        budget: ByteBudget,
        clock: Clock,
        on_sent: Callable[[bool], None],
        on_free: Callable[[], None],
    ) -> None:
        """Create a sender for an open connection.

        Args:
            transport: The connection.
            budget: Counts what is held for the caller.
            clock: Clock of the node.
            on_sent: Called after each response, with whether the connection closes.
            on_free: Called when the next response may be sent after a large one.
        """
        self._transport = transport
        self._budget = budget
        self._clock = clock
        self._on_sent = on_sent
        self._on_free = on_free
        self._writer: ResponseWriter | None = None
        self._is_paused = False
        self._is_starting = False
        self._is_cut = False
        self._responses = 0
        self._progress = (0, 0, 0)
        self._progress_ms = clock.now_ms()

    @property
    def is_ready(self) -> bool:
        """Return whether a response may be sent now."""
        return self._writer is None and not (self._is_paused or self._is_cut)

    def send(self, exchange: EntryExchange, *, closing: bool) -> None:
        """Send the response of an exchange.

        Args:
            exchange: The exchange.
            closing: Whether the connection closes after it.
        """
        self._responses += 1
        if exchange.ends_connection and not closing:
            exchange.replace_unmarked()
        response = exchange.response
        if response is None:
            raise ValueError('there is no response yet')
        body_end = exchange.body_end(closing=closing)
        if body_end is BodyEnd.close:
            # An end of this process must not look like the end of the body.
            reset_on_close(self._transport, enabled=True)
        if response.stream is None and len(response.body) > SMALL_BYTES:
            stream = stream_of(response.body, self._budget)
            response = dataclasses.replace(response, body=b'', stream=stream)
            exchange.response = response
        self._transport.write(exchange.encode(response, closing=closing))
        if response.stream is None or not exchange.wants_body:
            response.discard()
            self._on_sent(closing)
            return
        self._writer = ResponseWriter(
            self._transport,
            response.stream,
            body_end,
            lambda end, reason: self._end(end, reason, closing=closing),
        )
        self._is_starting = True
        self._writer.begin()
        self._is_starting = False

    def pause(self) -> None:
        """Send nothing until ``resume``, as the caller does not read."""
        self._is_paused = True
        if self._writer is not None:
            self._writer.pause()

    def resume(self) -> None:
        """Send on."""
        self._is_paused = False
        if self._writer is not None:
            self._writer.resume()

    def check_reader(self, timeout_ms: float) -> None:
        """Reset the connection if the caller has read nothing for too long.

        Args:
            timeout_ms: Longest pause.
        """
        now_ms = self._clock.now_ms()
        taken = 0 if self._writer is None else self._writer.taken
        waiting = self._transport.get_write_buffer_size()
        progress = (self._responses, taken, waiting)
        if progress != self._progress:
            self._progress = progress
            self._progress_ms = now_ms
        elif now_ms - self._progress_ms > timeout_ms:
            log.info('Response not read in time.', waiting=waiting)
            reset_connection(self._transport)

    def _end(self, end: StreamEnd, reason: str, *, closing: bool) -> None:
        self._writer = None
        if end is StreamEnd.cut:
            self._is_cut = True
            log.info('Response cut.', reason=reason)
            reset_connection(self._transport)
            return
        self._on_sent(closing)
        if not self._is_starting:
            self._on_free()
