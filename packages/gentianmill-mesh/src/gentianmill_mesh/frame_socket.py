"""A connection between two nodes that carries frames in both directions."""

import abc
import asyncio

from gentianmill.errors import GentianmillError
from gentianmill_mesh.frame_codec import FrameKind, FrameParser, encode_frame
from gentianmill_node.logs import component

__all__ = ('MAX_FRAME_BYTES', 'FrameReceiver', 'FrameSocket')

MAX_FRAME_BYTES = 80 * 1024 * 1024
"""Longest message: the largest body that callers may send, plus headers."""

WRITE_BUFFER_BYTES = 128 * 1024
"""Bytes that wait for the network, above which parts of large bodies are not sent: other
frames must not wait for long behind them."""

CLOSE_CODE = b'\x03\xe8'
"""Code 1000 of RFC 6455: the connection is not needed any more."""

log = component('relay')


class FrameReceiver(abc.ABC):
    """Receives what arrives on a connection."""

    @abc.abstractmethod
    def on_received(self) -> None:
        """Handle the arrival of bytes, before their frames."""

    @abc.abstractmethod
    def on_message(self, message: bytes) -> None:
        """Handle a message.

        Raises:
            GentianmillError: If it is not valid; the connection is closed.
        """

    @abc.abstractmethod
    def on_pong(self, key: bytes) -> None:
        """Handle the response to a ping."""

    @abc.abstractmethod
    def on_writable(self) -> None:
        """Handle that the connection takes more bytes again."""

    @abc.abstractmethod
    def on_closed(self) -> None:
        """Handle the end of the connection."""


class FrameSocket(asyncio.Protocol):
    """Send frames, and pass those that arrive to a receiver without a task."""

    def __init__(
        self, transport: asyncio.Transport, receiver: FrameReceiver, *, opened_it: bool
    ) -> None:
        """Take over a connection after its handshake.

        Args:
            transport: The connection; its protocol becomes this object.
            receiver: Receives frames, and the end of the connection.
            opened_it: Whether this node opened the connection.
        """
        self._transport = transport
        self._receiver = receiver
        self._masked = opened_it
        self._parser = FrameParser(MAX_FRAME_BYTES)
        self._closed = False
        self._is_paused = False
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        transport.set_protocol(self)

    @property
    def closed(self) -> bool:
        """Return whether nothing can be sent any more."""
        return self._closed or self._transport.is_closing()

    @property
    def is_sending(self) -> bool:
        """Return whether frames wait for the network."""
        return self._transport.get_write_buffer_size() > 0

    @property
    def writable(self) -> bool:
        """Return whether large messages may be sent now."""
        return not (self._is_paused or self.closed)

    def pause_writing(self) -> None:
        """Handle a peer that reads more slowly than this node sends."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Handle a peer that has read what was sent."""
        self._is_paused = False
        self._receiver.on_writable()

    def send(self, message: bytes) -> None:
        """Send a message, without waiting for a peer that reads slowly.

        Raises:
            ConnectionError: If the connection is closed.
        """
        self._write(FrameKind.message, message)

    def ping(self, key: bytes = b'') -> None:
        """Ask the peer for a sign of life.

        Raises:
            ConnectionError: If the connection is closed.
        """
        self._write(FrameKind.ping, key)

    def close(self) -> None:
        """Close the connection when all frames were sent."""
        if not self.closed:
            self._write(FrameKind.close, CLOSE_CODE)
        self._closed = True
        self._transport.close()

    def finish(self) -> None:
        """Send nothing more, and let the peer close when it has received everything.

        A connection that is closed with unread bytes, or that gets some after its close,
        is reset, which destroys what the peer has not received.
        """
        if not self.closed:
            self._write(FrameKind.close, CLOSE_CODE)
        self._closed = True

    def abort(self) -> None:
        """Close the connection immediately, as its peer does not respond."""
        self._closed = True
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handle bytes of the peer."""
        if self._closed:
            return
        self._receiver.on_received()
        try:
            self._handle(data)
        except GentianmillError as error:
            log.warning('Link closed.', error=str(error))
            self.close()
        except Exception:
            # The link must not stay open in an unknown state.
            log.exception('Link closed after a fault.')
            self.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tell the receiver that the connection ended."""
        self._closed = True
        if exc is not None:
            log.info('Link broke.', error=repr(exc))
        self._receiver.on_closed()

    def _handle(self, data: bytes) -> None:
        for frame in self._parser.feed(data):
            if frame.kind is FrameKind.message:
                self._receiver.on_message(frame.payload)
            elif frame.kind is FrameKind.ping:
                self._answer(frame.payload)
            elif frame.kind is FrameKind.pong:
                self._receiver.on_pong(frame.payload)
            else:
                self.close()
                return

    def _answer(self, key: bytes) -> None:
        if not self.closed:
            self._write(FrameKind.pong, key)

    def _write(self, kind: FrameKind, payload: bytes) -> None:
        if self.closed:
            raise ConnectionResetError('the connection is closed')
        self._transport.write(encode_frame(kind, payload, masked=self._masked))
