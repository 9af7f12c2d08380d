"""The body of the response that a connection to an upstream receives."""

import asyncio

from gentianmill.byte_budget import SMALL_BYTES
from gentianmill_mesh.body_buffer import Body, BodyBuffer
from gentianmill_mesh.body_stream import BodyStream
from gentianmill_mesh.response_memory import MAX_BUFFERED_BYTES, ResponseMemory

__all__ = ('ResponseBody',)

PAUSE_BYTES = 256 * 1024
"""Bytes that wait for a slow consumer, above which the upstream is not read."""

RESUME_BYTES = PAUSE_BYTES // 2


class ResponseBody:
    """Collect a body, or pass it on while it arrives once memory is scarce."""

    def __init__(self, memory: ResponseMemory) -> None:
        """Create an empty body.

        Args:
            memory: Tells whether memory is scarce.
        """
        self._memory = memory
        self._buffer = BodyBuffer()
        self._stream: BodyStream | None = None
        self._transport: asyncio.ReadTransport | None = None
        self._received = 0

    @property
    def stream(self) -> BodyStream | None:
        """Return the stream through which the body is passed on, if it is."""
        return self._stream

    @property
    def wants_stream(self) -> bool:
        """Return whether the body should be passed on from now on."""
        is_large = len(self._buffer) > SMALL_BYTES
        return self._stream is None and is_large and self._memory.is_scarce

    @property
    def is_too_long(self) -> bool:
        """Return whether the body is longer than any may be."""
        return self._received > MAX_BUFFERED_BYTES

    def add(self, piece: bytes) -> None:
        """Append bytes that have arrived."""
        self._received += len(piece)
        if self._stream is None:
            self._buffer.add(piece)
            return
        self._stream.feed(piece)
        self._update_reading()

    def begin_stream(
        self, length: int | None, transport: asyncio.ReadTransport
    ) -> BodyStream:
        """Pass the body on from now on, and return its stream.

        Args:
            length: Bytes of the whole body, or None if it is not known.
            transport: Connection that is not read while the consumer is slow.
        """
        self._transport = transport
        self._stream = BodyStream(self._memory.budget, length)
        self._stream.on_taken(self._update_reading)
        self._stream.feed(memoryview(self._buffer.body()))
        self._buffer = BodyBuffer()
        self._update_reading()
        return self._stream

    def whole(self) -> Body:
        """Return the body, which is complete."""
        return self._buffer.body()

    def _update_reading(self) -> None:
        if self._stream is None or self._transport is None:
            return
        if self._transport.is_closing():
            return
        if self._stream.buffered > PAUSE_BYTES and self._transport.is_reading():
            self._transport.pause_reading()
        elif self._stream.buffered < RESUME_BYTES and not self._transport.is_reading():
            self._transport.resume_reading()
