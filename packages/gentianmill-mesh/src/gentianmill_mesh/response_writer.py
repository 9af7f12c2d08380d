"""Writes the body of a response to a caller as it arrives, no faster than it is read."""

import asyncio
from collections.abc import Callable

from gentianmill_mesh.body_stream import BodyStream, StreamEnd
from gentianmill_mesh.response_encoder import BodyEnd

__all__ = ('ResponseWriter',)

LAST_CHUNK = b'0\r\n\r\n'
PIECE_BYTES = 64 * 1024


class ResponseWriter:
    """Pass the bytes of one body on to a connection."""

    def __init__(
        self,
        transport: asyncio.WriteTransport,
        stream: BodyStream,
        body_end: BodyEnd,
        on_end: Callable[[StreamEnd, str], None],
    ) -> None:
        """Create a writer; call ``begin`` after the head was written.

        Args:
            transport: Connection of the caller.
            stream: The body.
            body_end: How the caller finds the end of the body.
            on_end: Called when all bytes were written, or when the rest is missing, with
                the reason.
        """
        self._transport = transport
        self._stream = stream
        self._body_end = body_end
        self._on_end = on_end
        self._is_paused = False
        self._has_ended = False

    @property
    def taken(self) -> int:
        """Return the bytes of the body that were written."""
        return self._stream.taken

    def begin(self) -> None:
        """Write what has arrived, and what arrives from now on."""
        self._stream.on_ready(self._write)
        self._write()

    def pause(self) -> None:
        """Write nothing until ``resume``, as the caller does not read."""
        self._is_paused = True

    def resume(self) -> None:
        """Write on."""
        self._is_paused = False
        self._write()

    def cancel(self) -> None:
        """Stop, as the caller has left."""
        self._has_ended = True
        self._stream.cancel()

    def _write(self) -> None:
        while not (self._is_paused or self._has_ended):
            piece = self._stream.take(PIECE_BYTES)
            if not piece:
                self._end()
                return
            self._transport.write(self._encode(piece))

    def _end(self) -> None:
        end = self._stream.end
        if end is StreamEnd.none or self._has_ended:
            return
        self._has_ended = True
        if end is StreamEnd.complete and self._body_end is BodyEnd.chunks:
            self._transport.write(LAST_CHUNK)
        self._on_end(end, self._stream.reason)

    def _encode(self, piece: bytes) -> bytes:
        if self._body_end is BodyEnd.chunks:
            return b'%x\r\n%b\r\n' % (len(piece), piece)
        return piece
